#include "policy/concurrencylimiter.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

constexpr double limitTolerance = 2; ///< Latency may double before the limit shrinks.
constexpr double limitSmoothing = 0.1;
constexpr double learnUp = 0.01; ///< The latency without a queue rises slowly and falls at once.

} // namespace internal

ConcurrencyLimiter::ConcurrencyLimiter(bool enabled)
    : enabled_(enabled)
{
}

double ConcurrencyLimiter::limit(const EndpointId &endpoint, const LimitBounds &bounds) const
{
    const std::unordered_map<EndpointId, Record>::const_iterator it = records_.find(endpoint);
    return !enabled_ || it == records_.end() ? bounds.most_
                                             : std::clamp(it->second.limit_, bounds.least_, bounds.most_);
}

double ConcurrencyLimiter::learnedSeconds(const EndpointId &endpoint) const
{
    const std::unordered_map<EndpointId, Record>::const_iterator it = records_.find(endpoint);
    return it == records_.end() ? 0 : it->second.learnedSeconds_;
}

void ConcurrencyLimiter::onSample(
    const EndpointId &endpoint, const LimitBounds &bounds, double load, double seconds, double expectedSeconds)
{
    if (!enabled_ || seconds <= 0) {
        return;
    }
    Record &record = records_.try_emplace(endpoint, Record{bounds.most_, seconds}).first->second;
    record.learnedSeconds_ = seconds < record.learnedSeconds_
        ? seconds
        : record.learnedSeconds_ + internal::learnUp * (seconds - record.learnedSeconds_);
    const double expected = expectedSeconds > 0 ? expectedSeconds : record.learnedSeconds_;
    const double gradient = std::clamp(internal::limitTolerance * expected / seconds, 0.5, 1.0);
    // The load that the sample saw is what has to shrink; a limit above it would take long to come down.
    const double base = gradient < 1 ? std::min(record.limit_, std::max(load, bounds.least_)) : record.limit_;
    const double wanted = base * gradient + (gradient < 1 ? 0 : std::sqrt(record.limit_));
    record.limit_ += internal::limitSmoothing * (wanted - record.limit_);
    record.limit_ = std::clamp(record.limit_, bounds.least_, bounds.most_);
}

void ConcurrencyLimiter::forget(const EndpointId &endpoint)
{
    records_.erase(endpoint);
}

} // namespace filbertgw
