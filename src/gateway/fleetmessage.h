#ifndef FILBERTGW_GATEWAY_FLEETMESSAGE_H
#define FILBERTGW_GATEWAY_FLEETMESSAGE_H

#include "gateway/pacetracker.h"
#include "gateway/placement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace filbertgw {

/** \brief Another node, as it registered itself in the record store. */
struct FleetMember
{
    std::string name_;
    std::string datagramAddress_; ///< host:port
    std::string linkAddress_; ///< host:port
    std::string domain_; ///< Failure domain; empty for nodes of a version that reports to each node directly.
};

/** \brief What a node knows of the spending of programs. */
struct LedgerState
{
    bool current_ = false; ///< It knows what programs have spent and can reserve in the store.
    bool complete_ = false; ///< It knew it at some time since its start.
};

/** \brief What a node says of itself several times a second, or what it has heard from all nodes of its group. */
struct NodeReport
{
    LedgerState ledger_;
    std::vector<std::pair<std::string, std::uint32_t>> load_; ///< Requests that it runs, by endpoint.
    std::vector<ReadPart> cachedParts_; ///< Prompt parts that engines have read for it lately.
    std::vector<ServicePace> paces_; ///< How its programs proceed, by service.
    std::size_t nodes_ = 1; ///< Nodes that the report is of.
};

/** \brief One of several groups into which the nodes of a failure domain are divided. */
struct FleetGroup
{
    std::string domain_;
    std::uint64_t index_ = 0;
    std::uint64_t count_ = 1; ///< Groups of the domain.

    std::string name() const;
};

/** \brief A node of a group, as another one of the group has heard of it. */
struct GroupMember
{
    std::string name_;
    LedgerState ledger_;
};

/** \brief A datagram between nodes. */
struct FleetMessage
{
    std::string sender_;
    NodeReport report_;
    std::optional<FleetGroup> group_; ///< Group that the report sums up; of the sender alone if there is none.
    std::vector<GroupMember> members_; ///< Nodes of that group that were heard of lately; not in each message.
    std::optional<FleetMember> introduction_; ///< How to reach a sender that has started lately.
};

std::string encode(const FleetMessage &message);
/** \brief Decodes a datagram. \return nothing if it is none of a node. Entries that are malformed are passed over. */
std::optional<FleetMessage> decodeFleetMessage(const std::string &datagram);

} // namespace filbertgw

#endif
