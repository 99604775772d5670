#ifndef FILBERTGW_GATEWAY_RETRYAFTERPOLICY_H
#define FILBERTGW_GATEWAY_RETRYAFTERPOLICY_H

#include "gateway/gatewaytypes.h"

namespace filbertgw {

struct RetryAfterSettings
{
    Duration defaultDelay_{300'000}; ///< Where another node may serve the request at once.
    Duration storeOutageDelay_{1'500'000}; ///< Where no node can before the record store is back.
    double jitter_ = 0.2; ///< Part by which outage_ varies, so that clients don't return all at once.
};

/**
 * \brief Decides when a client that is refused should come back.
 *
 * Answers the load of an outage of the record store: clients give a program up after a few refusals, so those that
 * come back soon have lost all its work long before the store returns.
 */
class RetryAfterPolicy
{
public:
    explicit RetryAfterPolicy(RetryAfterSettings settings);

    /**
     * \param storeAway no living node is known to reach the record store.
     * \param draw uniformly distributed from 0 to 1.
     */
    Duration retryAfter(RefusalReason reason, bool storeUnavailable, double draw) const;

private:
    RetryAfterSettings settings_;
};

} // namespace filbertgw

#endif
