#ifndef FILBERTGW_MEMBERSHIP_MEMBERVIEW_H
#define FILBERTGW_MEMBERSHIP_MEMBERVIEW_H

#include "core/time.h"
#include "membership/membershipsection.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace filbertgw::internal {

/** \brief Stable hash of a member's id, which identifies it in datagrams. */
using MemberHash = std::uint64_t;

/** \brief State of a member as reported by itself or by another member. */
struct Claim
{
    MemberHash subject_ = 0;
    MemberState state_ = MemberState::Alive;
    std::uint64_t incarnation_ = 0;
};

/** \brief How a claim arrived. Gossip is current; a death from a digest exchange may have been refuted since. */
enum class ClaimSource : std::uint8_t { Gossip, Exchange };

enum class ClaimEffect : std::uint8_t {
    None, ///< Already known or outdated.
    Applied, ///< Changed the view; has to be forwarded.
    UnknownMember, ///< The record of the subject is needed first.
    UnconfirmedDeath, ///< A death from an exchange: applied as a suspicion, so that the subject can refute it first.
    AboutSelf, ///< The subject is this node.
};

/** \brief State of a member other than this node; its addresses are in the section. */
struct Peer
{
    NodeId id_;
    MemberState state_ = MemberState::Alive; ///< Ignores hold-down, unlike the state in the section.
    std::uint64_t incarnation_ = 0;
    std::uint64_t receivedIncarnation_ = 0; ///< Of its newest heartbeat or acknowledgement.
    std::uint64_t receivedSequence_ = 0; ///< Of its newest heartbeat.
    Time lastReceivedAt_{0};
    std::uint64_t nonce_ = 0; ///< Of the probes in progress; 0 if none.
    Time nextProbe_{0};
    Time probeDeadline_{0};
    Time suspectDeadline_{0}; ///< When it is declared dead; 0 if it isn't suspected or was heard from since.
    Time confirmationProbeAt_{0}; ///< When it is probed to confirm a suspicion that others reported.
    bool suspectedLocally_ = false; ///< This node raised the suspicion as a monitor.
    Time lastRefutationRequest_{0};
    Time lastRevival_{0};
    std::uint32_t revivals_ = 0; ///< Revivals in a row, each within flapWindow of the previous one.
    Time holdDownUntil_{0}; ///< Until then the section has it as dead.
};

/** \brief Number of members that receive the heartbeats of one node. */
constexpr std::size_t monitorCount = 3;
constexpr std::size_t bucketCount = 64;
/** \brief Time without a heartbeat after which a member is probed: four heartbeats and the interval of tick(). */
constexpr Duration heartbeatTimeout = std::chrono::milliseconds(2100);
/** \brief Time that a suspected member has for a refutation before its monitor declares it dead. */
constexpr Duration refutationTimeout = std::chrono::milliseconds(500);

/**
 * \brief State of all members as known to this node, with the ring, hold-down and digests. Writes MembershipSection.
 *
 * The claim with the higher incarnation wins, then the one whose state has the higher precedence().
 */
class MemberView
{
public:
    MemberView(MembershipSection &section, Member self, Clock now);

    ClaimEffect apply(const Claim &claim, ClaimSource source);
    /** \brief Adds a member, or updates its addresses and state. \return true if its record has to be forwarded. */
    bool applyRecord(const Member &record);
    /** \brief Suspects a member that this node monitors. */
    void suspect(MemberHash hash);
    void declareDead(MemberHash hash);
    /** \brief Records a sign of life of a member and cancels its probes and pending death. */
    void recordContact(MemberHash hash);
    /** \brief Removes a dead member; a tombstone keeps outdated claims from adding it again for a while. */
    void remove(MemberHash hash);
    void setSelfState(MemberState state, std::uint64_t incarnation);
    /** \brief Ends hold-downs and updates massLoss_. */
    void tick();
    /** \brief Restarts heartbeat timeouts and extends suspicions by the time `gap` that this process was paused. */
    void resume(Duration gap);

    MemberHash self() const
    {
        return self_;
    }
    Claim selfClaim() const;
    Peer *find(MemberHash hash);
    Member &memberOf(const Peer &peer);
    /** \brief Record of a member or this node, with its state before hold-down. */
    Member recordOf(MemberHash hash) const;
    /** \brief Returns true for a known member that is not dead. */
    bool isLive(MemberHash hash) const;
    /** \brief Members that are not dead, including this node, sorted by hash. */
    const std::vector<MemberHash> &ring() const
    {
        return ring_;
    }
    /** \brief Members that receive the heartbeats of this node: its successors in the ring. */
    const std::vector<MemberHash> &monitors() const
    {
        return monitors_;
    }
    /** \brief Members that send heartbeats to this node: its predecessors in the ring. */
    const std::vector<MemberHash> &monitored() const
    {
        return monitored_;
    }
    const std::set<MemberHash> &suspects() const
    {
        return suspects_;
    }
    std::vector<MemberHash> dead() const;
    /** \brief Returns true if this node is, or would be, a ring neighbour of a member on either side. */
    bool isRingNeighbourOf(MemberHash hash) const;

    /** \brief Hash of all members that are not dead. */
    std::uint64_t digest() const;
    /** \brief Hash of the members in each bucket that are not dead. */
    std::array<std::uint32_t, bucketCount> buckets() const;
    static std::size_t bucketOf(MemberHash hash);
    std::vector<Claim> claimsOf(std::size_t bucket) const;

    /** \brief Returns true if the section changed since the last call. */
    bool takeChanged();

private:
    void applySuspicion(MemberHash hash, Peer &peer, std::uint64_t incarnation);
    void revive(MemberHash hash, Peer &peer, MemberState state, std::uint64_t incarnation);
    void holdDownIfFlapping(MemberHash hash, Peer &peer);
    /** \brief Writes the state of a member to the section; a member in hold-down is written as dead. */
    void publish(const Peer &peer);
    void rebuildRing();
    std::uint64_t fingerprint(MemberHash hash, MemberState state, std::uint64_t incarnation) const;

    MembershipSection &section_;
    Clock now_;
    MemberHash self_;
    std::unordered_map<MemberHash, Peer> peers_;
    std::vector<MemberHash> ring_;
    std::vector<MemberHash> monitors_;
    std::vector<MemberHash> monitored_;
    std::set<MemberHash> suspects_;
    std::set<MemberHash> heldDown_;
    std::map<MemberHash, std::uint64_t> tombstones_; ///< Incarnations of removed members.
    std::deque<Time> deaths_; ///< Times of deaths within massLossWindow, without members that were leaving.
    bool changed_ = true;
};

} // namespace filbertgw::internal

#endif
