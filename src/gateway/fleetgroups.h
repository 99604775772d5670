#ifndef FILBERTGW_GATEWAY_FLEETGROUPS_H
#define FILBERTGW_GATEWAY_FLEETGROUPS_H

#include "gateway/fleetmessage.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace filbertgw {

/**
 * \brief Divides the nodes of a large fleet into groups, so that all of them soon know the load of all.
 *
 * Answers the load of many nodes with few requests each: the load of an engine changes within the time of a turn, and
 * if a node told each other one in turn it would be heard too late. A node tells its group what it runs, and some nodes
 * of other groups what its group runs. With groups as large as there are groups, both take as many messages as the
 * square root of the number of nodes.
 */
class FleetGroups
{
public:
    /** \param others without this node; all have a domain. They must outlive this object. */
    FleetGroups(const FleetMember &self, const std::vector<const FleetMember *> &others);

    const FleetGroup &localGroup() const;
    /** \brief The other nodes of this node's group. */
    const std::vector<const FleetMember *> &peers() const;
    bool isPeer(const std::string &name) const;
    /**
     * \brief The nodes of other groups that this node tells of its group.
     *
     * Each of them is told by the node of the group that has the highest rendezvous hash with it of those that speak,
     * so that nodes which disagree about one of them disagree about few others.
     * \param isReporting whether a node of this group is heard.
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
