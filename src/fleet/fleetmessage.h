#ifndef FILBERTGW_FLEET_FLEETMESSAGE_H
#define FILBERTGW_FLEET_FLEETMESSAGE_H

#include "endpoints/crashrecord.h"
#include "endpoints/endpointoutcomes.h"
#include "endpoints/ratelimitnotice.h"
#include "ledger/fleetmember.h"
#include "placement/accountload.h"
#include "placement/pacetracker.h"
#include "placement/placement.h"
#include "streams/streamorigin.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace filbertgw {

/** \brief State of a node's ledger of program spending. */
struct LedgerState
{
    bool current_ = false; ///< Up to date, so that the node can reserve tokens in the store.
    bool complete_ = false; ///< Was up to date at some time since the start of the node.
};

/** \brief Periodic report of a node, or the sum of the reports of a group. */
struct NodeReport
{
    LedgerState ledger_;
    std::vector<std::pair<std::string, std::uint32_t>> load_; ///< Running requests by endpoint.
    std::vector<CachedPart> cachedParts_; ///< Prompt parts that engines have recently read for it.
    std::vector<ServicePace> paces_; ///< Progress of running programs by service.
    std::size_t nodes_ = 1; ///< Number of nodes that the report covers.
    std::vector<CrashRecord> crashes_; ///< What it has learned lately about requests that end endpoints.
    std::vector<RateLimitNotice> limits_; ///< What it has learned lately about limits of endpoints.
    std::vector<EndpointOutcomes> outcomes_; ///< Of requests to endpoints that lately failed some; none in calm.
    std::vector<EjectionNotice> ejections_; ///< What it has learned lately about ejected endpoints.
    std::vector<StreamOriginNotice> origins_; ///< Of streams that it has begun lately.
    bool reachesEndpoints_ = true; ///< The node can open connections to endpoints.
    std::uint64_t configurationVersion_ = 0; ///< That the sender offers to others; 0 for none. \sa ConfigurationPeers
    /** Running requests by account; not in every report, and never without client accounts. */
    std::optional<std::vector<AccountLoad>> accounts_;
    bool mayMissGrants_ = false; ///< \sa MissedGrantDetector
};

/** \brief One of several groups into which the nodes of a failure domain are divided. */
struct FleetGroup
{
    std::string domain_;
    std::uint64_t index_ = 0;
    std::uint64_t count_ = 1; ///< Number of groups in the domain.

    std::string name() const;
};

/** \brief Member of a group, as reported by another member. */
struct GroupMember
{
    std::string name_;
    LedgerState ledger_;
    bool reachesEndpoints_ = true; ///< \sa NodeReport::reachesEndpoints_
};

/** \brief A datagram between nodes. */
struct FleetMessage
{
    std::string sender_;
    NodeReport report_;
    std::optional<FleetGroup> group_; ///< Group that the report covers; only the sender if not set.
    std::vector<GroupMember> members_; ///< Live members of the group; not in every summary.
    std::optional<FleetMember> introduction_; ///< Addresses of a sender that has started recently.
};

/** \brief Encodes a message as CBOR. */
std::string encode(const FleetMessage &message);
/** \brief Decodes a datagram, skipping malformed list entries. \return nothing if it is not a valid message. */
std::optional<FleetMessage> decodeFleetMessage(const std::string &datagram);

} // namespace filbertgw

#endif
