#include "policy/concurrencylimiter.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

constexpr double latencyTolerance = 2; ///< Latency may double before the limit shrinks.
constexpr double limitSmoothing = 0.1;
constexpr double baselineRiseWeight = 0.01; ///< The baseline follows higher latencies slowly and lower ones at once.

} // namespace internal

ConcurrencyLimiter::ConcurrencyLimiter(bool enabled)
    : enabled_(enabled)
{
}

double ConcurrencyLimiter::limit(const EndpointId &endpoint, const LimitBounds &bounds) const
{
    const std::unordered_map<EndpointId, Record>::const_iterator it = records_.find(endpoint);
    return !enabled_ || it == records_.end() ? bounds.max_ : std::clamp(it->second.limit_, bounds.min_, bounds.max_);
}

double ConcurrencyLimiter::baselineSeconds(const EndpointId &endpoint) const
{
    const std::unordered_map<EndpointId, Record>::const_iterator it = records_.find(endpoint);
    return it == records_.end() ? 0 : it->second.baselineSeconds_;
}

void ConcurrencyLimiter::onSample(
    const EndpointId &endpoint, const LimitBounds &bounds, double load, double seconds, double expectedSeconds)
{
    if (!enabled_ || seconds <= 0) {
        return;
    }
    Record &record = records_.try_emplace(endpoint, Record{bounds.max_, seconds}).first->second;
    record.baselineSeconds_ = seconds < record.baselineSeconds_
        ? seconds
        : record.baselineSeconds_ + internal::baselineRiseWeight * (seconds - record.baselineSeconds_);
    const double expected = expectedSeconds > 0 ? expectedSeconds : record.baselineSeconds_;
    const double gradient = std::clamp(internal::latencyTolerance * expected / seconds, 0.5, 1.0);
    // Shrink from the load at the time of the sample: a limit far above it would take many samples to become effective.
    const double base = gradient < 1 ? std::min(record.limit_, std::max(load, bounds.min_)) : record.limit_;
    const double target = base * gradient + (gradient < 1 ? 0 : std::sqrt(record.limit_));
    record.limit_ += internal::limitSmoothing * (target - record.limit_);
    record.limit_ = std::clamp(record.limit_, bounds.min_, bounds.max_);
}

void ConcurrencyLimiter::forget(const EndpointId &endpoint)
{
    records_.erase(endpoint);
}

} // namespace filbertgw
