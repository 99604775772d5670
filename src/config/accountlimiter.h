#ifndef FILBERTGW_CONFIG_ACCOUNTLIMITER_H
#define FILBERTGW_CONFIG_ACCOUNTLIMITER_H

#include "config/configsection.h"
#include "core/failure.h"
#include "core/time.h"

#include <unordered_map>

namespace filbertgw {

/**
 * \brief Enforces the accounts' limits on request rate, concurrent calls and open programs at one node.
 *
 * Keeps state only for accounts that are not idle. \sa maxLimiterAccounts
 */
class AccountLimiter
{
public:
    /**
     * \brief Share of each limit that this node grants, in (0, 1]; 1 by default.
     *
     * The load balancer spreads an account's calls over the nodes, so the limit holds for a fleet of n nodes if each
     * grants 1/n of it. Concurrent calls and open programs are rounded up, so that a small limit still admits one.
     */
    void setShare(double share);

    /** \brief Admits a call, or fails as rate_limited with the time after which to retry. */
    Result<void> admitCall(const AccountConfig &account, Time now);
    /** \brief Releases an admitted call. */
    void callEnded(const AccountId &account, Time now);

    /** \brief Admits a new program, or fails as rate_limited. */
    Result<void> admitProgram(const AccountConfig &account, Time now);
    /** \brief Counts a program that another node admitted and this node has taken over; no limit applies. */
    void programTakenOver(const AccountId &account, Time now);
    void programEnded(const AccountId &account, Time now);

    /** \brief Drops the idle accounts in the next `scan` hash buckets. Call it regularly. */
    void evictIdle(Time now, std::size_t scan);

    /** \brief Number of accounts that have state. */
    std::size_t size() const
    {
        return states_.size();
    }

private:
    struct State
    {
        Time updated_{0};
        Time fullAt_{0}; ///< When the token bucket is full again; from then on the account counts as idle.
        double tokens_ = 0;
        std::int32_t calls_ = 0;
        std::int32_t programs_ = 0;
    };

    State &stateOf(const AccountId &account, Time now);
    double ratePerSecond(const AccountConfig &account) const;
    double burst(const AccountConfig &account) const;
    std::int64_t shareOf(std::int64_t limit) const;
    static bool isIdle(const State &state, Time now);

    double share_ = 1.0;
    std::unordered_map<AccountId, State> states_;
    std::size_t nextBucket_ = 0;
};

/** \brief Capacity of a token bucket in seconds of its rate; it holds at least one call. */
constexpr double limiterBurstSeconds = 2.0;

/** \brief Number of accounts with state from which on idle ones are evicted; bounds memory to about 12 MB. */
constexpr std::size_t maxLimiterAccounts = 100'000;

} // namespace filbertgw

#endif
