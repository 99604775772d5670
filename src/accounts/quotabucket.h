#ifndef FILBERTGW_ACCOUNTS_QUOTABUCKET_H
#define FILBERTGW_ACCOUNTS_QUOTABUCKET_H

#include "core/time.h"

namespace filbertgw {

/** \brief Token bucket whose rate and capacity may change; a token is one request. Its owner passes the time in. */
class QuotaBucket
{
public:
    QuotaBucket(double level, Time now);

    /** \brief Adds what has accrued since the last call, then limits the level to \p capacity. */
    void refill(double requestsPerSecond, double capacity, Time now);
    /** \brief Takes a number of requests if that leaves at least \p reserve. */
    bool take(double requests, double reserve);
    /** \brief Adds requests up to \p capacity; a level that is above it already stays. */
    void putBack(double requests, double capacity);
    /** \brief The time since the last call of refill() accrues nothing; lowers the level to \p most. */
    void restart(double most, Time now);
    /** \brief Time until the level has risen to \p level, at most 60 s. */
    Duration timeUntil(double level, double requestsPerSecond) const;
    double level() const;

private:
    double level_;
    Time refilledAt_;
};

} // namespace filbertgw

#endif
