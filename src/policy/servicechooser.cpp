#include "policy/servicechooser.h"

namespace filbertgw {

ServiceChooser::ServiceChooser(const Blackboard &blackboard,
                               const OutlierEjector &ejector,
                               const ConcurrencyLimiter &limiter,
                               RandomSource random)
    : section_(blackboard.read<EndpointSection>())
    , ejector_(ejector)
    , limiter_(limiter)
    , random_(std::move(random))
{
}

bool ServiceChooser::isKnown(const std::string &target) const
{
    const std::map<std::string, std::vector<std::size_t>>::const_iterator all = section_.byTarget_.find(target);
    return all != section_.byTarget_.end() && !all->second.empty();
}

std::optional<EndpointId> ServiceChooser::choose(const ScheduleRequest &request, const std::set<EndpointId> &excluded)
{
    const std::map<std::string, std::vector<std::size_t>>::const_iterator all =
        section_.byTarget_.find(request.target_);
    if (all == section_.byTarget_.end() || all->second.empty()) {
        return std::nullopt;
    }
    const EndpointState *best = nullptr;
    std::size_t found = 0;
    // Starts at a random endpoint and takes the less loaded of the first two usable ones.
    const std::size_t start = random_() % all->second.size();
    for (std::size_t i = 0; i < all->second.size() && found < 2; ++i) {
        const EndpointState &endpoint = *section_.byNumber_[all->second[(start + i) % all->second.size()]];
        const EndpointId &id = endpoint.info_.id_;
        const bool usable = endpoint.healthy_ && !endpoint.indexedTargets_.empty() && !ejector_.isEjected(id);
        if (!usable || excluded.count(id) > 0 || endpoint.inFlight_ >= limiter_.limit(id, LimitBounds{})) {
            continue;
        }
        ++found;
        best = best == nullptr || endpoint.inFlight_ < best->inFlight_ ? &endpoint : best;
    }
    return best == nullptr ? std::nullopt : std::optional<EndpointId>(best->info_.id_);
}

} // namespace filbertgw
