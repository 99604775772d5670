#include "gateway/retryafterpolicy.h"

namespace filbertgw {

namespace internal {
namespace {

/** \brief True if only the record store can change the answer. */
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

Duration RetryAfterPolicy::retryAfter(RefusalReason reason, bool storeAway, double draw) const
{
    if (!storeAway || !internal::needsStore(reason)) {
        return settings_.soon_;
    }
    const double part = 1.0 + settings_.spread_ * (2.0 * draw - 1.0);
    return Duration(static_cast<std::int64_t>(part * static_cast<double>(settings_.outage_.count())));
}

} // namespace filbertgw
