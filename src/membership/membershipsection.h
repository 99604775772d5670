#ifndef FILBERTGW_MEMBERSHIP_MEMBERSHIPSECTION_H
#define FILBERTGW_MEMBERSHIP_MEMBERSHIPSECTION_H

#include "core/ids.h"
#include "core/nametable.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace filbertgw {

enum class MemberState : std::uint8_t { Alive, Suspected, Leaving, Dead };

template<>
struct NameTable<MemberState>
{
    static constexpr std::array<std::pair<MemberState, std::string_view>, 4> entries{{
        {MemberState::Alive, "alive"},
        {MemberState::Suspected, "suspected"},
        {MemberState::Leaving, "leaving"},
        {MemberState::Dead, "dead"},
    }};
};

/** \brief Addresses and state of one entry node. */
struct Member
{
    NodeId id_;
    FailureDomain domain_;
    std::string udpAddress_; ///< host:port for membership datagrams.
    std::string peerAddress_; ///< host:port of the peer link.
    std::string httpAddress_; ///< host:port for callers and operators.
    MemberState state_ = MemberState::Alive;
    std::uint64_t incarnation_ = 0;
    std::uint64_t configOffset_ = 0; ///< Offset of the configuration in force there, by its newest heartbeat.
};

/** \brief Blackboard section with the entry nodes; written by MembershipController. */
struct MembershipSection
{
    NodeId self_;
    std::map<NodeId, Member> members_; ///< Includes this node.
    std::uint64_t version_ = 0; ///< Incremented with each change.
    bool massLoss_ = false; ///< More than a third failed at about the same time; programs then move on demand only.
};

} // namespace filbertgw

#endif
