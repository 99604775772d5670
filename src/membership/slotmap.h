#ifndef FILBERTGW_MEMBERSHIP_SLOTMAP_H
#define FILBERTGW_MEMBERSHIP_SLOTMAP_H

#include "core/ids.h"
#include "membership/membershipsection.h"

#include <cstdint>
#include <vector>

namespace filbertgw {

/** \brief Number of slots that program ids are distributed over. */
constexpr std::uint32_t slotCount = 4096;

/** \brief Slot of a program id: the three hexadecimal digits after the leading 'p'; other characters count as 0. */
std::uint32_t slotOf(const ProgramId &program);

/** \brief Returns a program id in a slot with 64 random bits. */
ProgramId makeProgramId(std::uint32_t slot, std::uint64_t randomBits);

/**
 * \brief Preferred node of each slot, by rendezvous hashing over the members that are alive or suspected.
 *
 * When a node joins or leaves, only its own slots move.
 */
class SlotMap
{
public:
    /** \brief Recomputes the map; leaving and dead members get no slots. */
    void rebuild(const MembershipSection &members);
    /** \brief Preferred node of a slot; empty if no member is alive or suspected. */
    const NodeId &preferred(std::uint32_t slot) const;
    /** \brief Slots for which a node is preferred. */
    std::vector<std::uint32_t> slotsOf(const NodeId &node) const;

private:
    std::vector<NodeId> preferred_ = std::vector<NodeId>(slotCount);
    std::vector<std::uint64_t> liveHashes_; ///< Of the members with slots; if unchanged, rebuild() does nothing.
};

/**
 * \brief Hash of node ids, slots and record ids; stable across processes, versions and machines.
 *
 * Its values differ from those of stableHash() and must not change: nodes of all versions have to agree on them.
 */
std::uint64_t rendezvousHash(const std::string &text);

/** \brief Rendezvous weight of a node for a key; the highest weight wins. Stable across processes and versions. */
std::uint64_t rendezvousWeight(const std::string &node, const std::string &key);

} // namespace filbertgw

#endif
