#include "placement/retryafterpolicy.h"

namespace filbertgw {

namespace internal {
namespace {

/** \brief Whether the request can only succeed with access to the record store. */
bool needsStore(RefusalReason reason)
{
    return reason == RefusalReason::BudgetUnknown || reason == RefusalReason::TurnUnknown;
}

} // namespace
} // namespace internal

RetryAfterPolicy::RetryAfterPolicy(RetryAfterSettings settings)
    : settings_(settings)
{
}

Duration RetryAfterPolicy::retryAfter(RefusalReason reason, bool storeUnavailable, double draw) const
{
    if (!storeUnavailable || !internal::needsStore(reason)) {
        return settings_.defaultDelay_;
    }
    const double factor = 1.0 + settings_.jitter_ * (2.0 * draw - 1.0);
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(settings_.storeOutageDelay_.count())));
}

} // namespace filbertgw
