#ifndef FILBERTGW_FLEET_FLEETGROUPS_H
#define FILBERTGW_FLEET_FLEETGROUPS_H

#include "fleet/fleetmessage.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace filbertgw {

/**
 * \brief Divides the nodes of a large fleet into groups, so that load reports spread quickly with few messages.
 *
 * The load of an engine changes within the duration of a turn. Reports that a node sends to all others round robin
 * would arrive too late in a fleet of many nodes with few requests each. Instead a node sends its report to the nodes
 * of its group, and a summary of the group to some nodes of other groups. With as many groups as nodes in a group, the
 * number of messages for each node grows with the square root of the number of nodes.
 */
class FleetGroups
{
public:
    /** \param others the other nodes, all of which have a domain. They must outlive this object. */
    FleetGroups(const FleetMember &self, const std::vector<const FleetMember *> &others);

    const FleetGroup &localGroup() const;
    /** \brief The other nodes of this node's group. */
    const std::vector<const FleetMember *> &peers() const;
    bool isPeer(const std::string &name) const;
    /**
     * \brief The nodes of other groups to which this node sends the summaries of its group.
     *
     * Each of them gets the summaries of the reporting node of this group that has the highest rendezvous hash with it,
     * so that peers with different views of the group agree on most targets.
     *
     * \param isReporting whether reports of a peer arrive.
     */
    std::vector<const FleetMember *> summaryTargets(const std::function<bool(const FleetMember &)> &isReporting) const;

private:
    FleetGroup localGroup_;
    std::uint64_t hash_ = 0; ///< Of this node's name.
    std::vector<const FleetMember *> peers_;
    std::vector<std::uint64_t> peerHashes_; ///< Of the names of peers_.
    std::vector<const FleetMember *> others_; ///< Nodes of other groups.
    std::vector<std::uint64_t> otherHashes_; ///< Of the names of others_.
};

} // namespace filbertgw

#endif
