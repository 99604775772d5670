#ifndef FILBERTGW_MEMBERSHIP_SLOTMAP_H
#define FILBERTGW_MEMBERSHIP_SLOTMAP_H

#include "core/ids.h"
#include "membership/membershipsection.h"

#include <cstdint>
#include <vector>

namespace filbertgw {

/** \brief Number of slots that program ids are spread over. */
constexpr std::uint32_t slotCount = 4096;

/** \brief The slot that a program id carries: its three hexadecimal digits after the leading 'p'. */
std::uint32_t slotOf(const ProgramId &program);

/** \brief A program id in a slot, with 64 random bits. */
ProgramId makeProgramId(std::uint32_t slot, std::uint64_t randomBits);

/**
 * \brief Preferred node of each slot, by rendezvous hashing over the members that are alive or suspected.
 *
 * A join or a leave moves only the slots of the node concerned.
 */
class SlotMap
{
public:
    /** \brief Computes the map; leaving and dead members are preferred for nothing. */
    void rebuild(const MembershipSection &members);
    /** \brief The preferred node of a slot; empty if there is no live member. */
    const NodeId &preferred(std::uint32_t slot) const;
    /** \brief The slots that a node is preferred for. */
    std::vector<std::uint32_t> slotsOf(const NodeId &node) const;

private:
    std::vector<NodeId> preferred_ = std::vector<NodeId>(slotCount);
    std::vector<std::uint64_t> liveHashes_; ///< Of the live members of the last rebuild, which is skipped if equal.
};

/**
 * \brief Hash of node ids, slots and record ids; stable across processes, versions and machines.
 *
 * Its values differ from those of stableHash(), and nodes of all versions have to agree on them.
 */
std::uint64_t rendezvousHash(const std::string &text);

/** \brief Rendezvous weight of a node for a key; the highest weight wins. Stable across processes and versions. */
std::uint64_t rendezvousWeight(const std::string &node, const std::string &key);

} // namespace filbertgw

#endif
