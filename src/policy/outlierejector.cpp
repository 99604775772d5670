#include "policy/outlierejector.h"

#include <algorithm>

namespace filbertgw {

namespace internal {

constexpr std::uint32_t failuresToEject = 2; ///< Consecutive failures.
constexpr Duration firstEjection = std::chrono::seconds(5);
constexpr std::uint32_t maxEjectionDoublings = 4;
constexpr double minUsableShare = 0.5; ///< Share of the endpoints that is never ejected.

} // namespace internal

OutlierEjector::OutlierEjector(Blackboard &blackboard, bool enabled, Clock now)
    : section_(blackboard.write<HealthSection>())
    , endpoints_(blackboard.read<EndpointSection>())
    , enabled_(enabled)
    , now_(std::move(now))
{
}

void OutlierEjector::onSuccess(const EndpointId &endpoint)
{
    const std::unordered_map<EndpointId, HealthSection::Record>::iterator it = section_.records_.find(endpoint);
    if (it != section_.records_.end()) {
        section_.records_.erase(it);
    }
}

std::size_t OutlierEjector::ejectedCount() const
{
    const Time now = now_();
    return static_cast<std::size_t>(
        std::count_if(section_.records_.begin(),
                      section_.records_.end(),
                      [now](const std::pair<const EndpointId, HealthSection::Record> &entry) {
                          return entry.second.ejectedUntil_ > now;
                      }));
}

void OutlierEjector::onFailure(const EndpointId &endpoint)
{
    if (!enabled_ || endpoints_.endpoints_.count(endpoint) == 0) {
        return;
    }
    HealthSection::Record &record = section_.records_[endpoint];
    ++record.consecutiveFailures_;
    if (record.consecutiveFailures_ < internal::failuresToEject || record.ejectedUntil_ > now_()) {
        return;
    }
    const double allowed = static_cast<double>(endpoints_.endpoints_.size()) * (1 - internal::minUsableShare);
    if (static_cast<double>(ejectedCount() + 1) > allowed) {
        return;
    }
    record.ejectedUntil_ =
        now_() + internal::firstEjection * (1 << std::min(record.ejections_, internal::maxEjectionDoublings));
    ++record.ejections_;
    // A single failure after the ejection ejects the endpoint again.
    record.consecutiveFailures_ = internal::failuresToEject - 1;
}

void OutlierEjector::onDown(const EndpointId &endpoint)
{
    if (enabled_ && !isEjected(endpoint)) {
        section_.records_[endpoint].consecutiveFailures_ = internal::failuresToEject;
        onFailure(endpoint);
    }
}

bool OutlierEjector::isEjected(const EndpointId &endpoint) const
{
    const std::unordered_map<EndpointId, HealthSection::Record>::const_iterator it = section_.records_.find(endpoint);
    return it != section_.records_.end() && it->second.ejectedUntil_ > now_();
}

} // namespace filbertgw
