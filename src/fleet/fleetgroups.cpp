#include "fleet/fleetgroups.h"

#include "core/stablehash.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace filbertgw {

namespace internal {
namespace {

/** Number of groups in each domain. \param nodes number of nodes by domain. */
std::map<std::string, std::uint64_t> groupCounts(const std::map<std::string, std::size_t> &nodes)
{
    double all = 0.0;
    for (const std::pair<const std::string, std::size_t> &domain : nodes) {
        all += static_cast<double>(domain.second);
    }
    std::map<std::string, std::uint64_t> counts;
    for (const std::pair<const std::string, std::size_t> &domain : nodes) {
        const double groups = std::round(static_cast<double>(domain.second) / std::sqrt(all));
        counts[domain.first] = static_cast<std::uint64_t>(std::max(1.0, groups));
    }
    return counts;
}

FleetGroup groupOf(const FleetMember &member, const std::map<std::string, std::uint64_t> &counts)
{
    const std::uint64_t count = counts.at(member.domain_);
    return FleetGroup{member.domain_, stableHash(member.name_) % count, count};
}

} // namespace
} // namespace internal

FleetGroups::FleetGroups(const FleetMember &self, const std::vector<const FleetMember *> &others)
    : hash_(stableHash(self.name_))
{
    std::map<std::string, std::size_t> nodes{{self.domain_, 1}};
    for (const FleetMember *other : others) {
        ++nodes[other->domain_];
    }
    const std::map<std::string, std::uint64_t> counts = internal::groupCounts(nodes);
    localGroup_ = internal::groupOf(self, counts);
    for (const FleetMember *other : others) {
        const FleetGroup group = internal::groupOf(*other, counts);
        const bool isOwnGroup = group.domain_ == localGroup_.domain_ && group.index_ == localGroup_.index_;
        (isOwnGroup ? peers_ : others_).push_back(other);
        (isOwnGroup ? peerHashes_ : otherHashes_).push_back(stableHash(other->name_));
    }
}

const FleetGroup &FleetGroups::localGroup() const
{
    return localGroup_;
}

const std::vector<const FleetMember *> &FleetGroups::peers() const
{
    return peers_;
}

bool FleetGroups::isPeer(const std::string &name) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&name](const FleetMember *peer) { return peer->name_ == name; });
}

std::vector<const FleetMember *>
FleetGroups::summaryTargets(const std::function<bool(const FleetMember &)> &isReporting) const
{
    std::vector<std::uint64_t> reporting;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        if (isReporting(*peers_[i])) {
            reporting.push_back(peerHashes_[i]);
        }
    }
    std::vector<const FleetMember *> chosen;
    for (std::size_t i = 0; i < others_.size(); ++i) {
        const std::uint64_t weight = stableHash(hash_, otherHashes_[i]);
        const bool isResponsible = std::none_of(reporting.begin(), reporting.end(), [&](std::uint64_t peer) {
            return stableHash(peer, otherHashes_[i]) > weight;
        });
        if (isResponsible) {
            chosen.push_back(others_[i]);
        }
    }
    return chosen;
}

} // namespace filbertgw
