#ifndef FILBERTGW_PLACEMENT_RETRYAFTERPOLICY_H
#define FILBERTGW_PLACEMENT_RETRYAFTERPOLICY_H

#include "routing/gatewaytypes.h"

namespace filbertgw {

struct RetryAfterSettings
{
    Duration defaultDelay_{300'000}; ///< If another node may be able to serve the request.
    Duration storeOutageDelay_{1'500'000}; ///< If no node can serve it before the record store is back.
    double jitter_ =
        0.2; ///< Relative variation of storeOutageDelay_, so that clients do not all retry at the same time.
};

/**
 * \brief Chooses the Retry-After time of refused requests.
 *
 * Clients abandon a program after a few refusals. During an outage of the record store short retry times would use up
 * these attempts before the store is back, and the work of the program would be lost.
 */
class RetryAfterPolicy
{
public:
    explicit RetryAfterPolicy(RetryAfterSettings settings);

    /**
     * \param storeUnavailable no live node is known to reach the record store.
     * \param draw uniformly distributed in [0, 1).
     */
    Duration retryAfter(RefusalReason reason, bool storeUnavailable, double draw) const;

private:
    RetryAfterSettings settings_;
};

} // namespace filbertgw

#endif
