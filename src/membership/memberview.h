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

/** \brief Stable hash of a member's id; names it in datagrams. */
using MemberHash = std::uint64_t;

/** \brief What one member says of another. */
struct Claim
{
    MemberHash subject_ = 0;
    MemberState state_ = MemberState::Alive;
    std::uint64_t incarnation_ = 0;
};

/** \brief How a claim arrived. A death from a digest exchange may be older than its refutation; gossip is current. */
enum class ClaimSource : std::uint8_t { Gossip, Exchange };

enum class ClaimEffect : std::uint8_t {
    None, ///< Known, or older than what is known.
    Applied, ///< Applied; to be forwarded.
    UnknownMember, ///< Of a member whose record is needed first.
    UnconfirmedDeath, ///< A death from an exchange: the member is asked before it is believed.
    AboutSelf,
};

/** \brief A member other than this node; its addresses are in the section. */
struct Peer
{
    NodeId id_;
    MemberState state_ = MemberState::Alive; ///< Without hold-down, unlike the section's.
    std::uint64_t incarnation_ = 0;
    std::uint64_t receivedIncarnation_ = 0; ///< Of its newest heartbeat or answer.
    std::uint64_t receivedSequence_ = 0; ///< Of its newest heartbeat.
    Time lastReceivedAt_{0};
    std::uint64_t nonce_ = 0; ///< Of the probes in progress, 0 if none.
    Time nextProbe_{0};
    Time probeDeadline_{0};
    Time suspectDeadline_{0}; ///< When it counts as dead; 0 if it isn't suspected or was heard of since.
    Time confirmationProbeAt_{0}; ///< When it is probed before a suspicion that others reported becomes a death.
    bool suspectedLocally_ = false;
    Time lastRefutationRequest_{0};
    Time lastRevival_{0};
    std::uint32_t revivals_ = 0; ///< From death, each within flapWindow of the one before.
    Time holdDownUntil_{0};
};

/** \brief Members that get the heartbeats of one node. */
constexpr std::size_t monitorCount = 3;
constexpr std::size_t bucketCount = 64;
/** \brief Four missed heartbeats and the interval of tick(). */
constexpr Duration heartbeatTimeout = std::chrono::milliseconds(2100);
/** \brief Time that a suspected member has to refute before its monitor declares it dead. */
constexpr Duration refutationTimeout = std::chrono::milliseconds(500);

/**
 * \brief This node's knowledge of the members: claims, ring, hold-down, digests. Writes the MembershipSection.
 *
 * Of two claims the one with the higher incarnation counts, then the one with the later state.
 */
class MemberView
{
public:
    MemberView(MembershipSection &section, Member self, Clock now);

    ClaimEffect apply(const Claim &claim, ClaimSource source);
    /** \brief Adds a member, or updates its addresses and state. \return true if it is news. */
    bool applyRecord(const Member &record);
    /** \brief A monitor's own suspicion. */
    void suspect(MemberHash hash);
    void declareDead(MemberHash hash);
    /** \brief Marks a member as heard of: pending probes and deaths are off. */
    void recordContact(MemberHash hash);
    /** \brief Removes a dead member; its incarnation is remembered for a while. */
    void remove(MemberHash hash);
    void setSelfState(MemberState state, std::uint64_t incarnation);
    /** \brief Ends hold-downs and updates massLoss_. */
    void tick();
    /** \brief Forgets what this process can't have heard while it was paused. */
    void resume(Duration gap);

    MemberHash self() const
    {
        return self_;
    }
    Claim selfClaim() const;
    Peer *find(MemberHash hash);
    Member &memberOf(const Peer &peer);
    /** \brief Record of a member, this node included, with its state before hold-down. */
    Member recordOf(MemberHash hash) const;
    bool isLive(MemberHash hash) const;
    /** \brief Members that are not dead, this node included, sorted. */
    const std::vector<MemberHash> &ring() const
    {
        return ring_;
    }
    const std::vector<MemberHash> &monitors() const
    {
        return monitors_;
    }
    /** \brief Members that send their heartbeats to this node. */
    const std::vector<MemberHash> &monitored() const
    {
        return monitored_;
    }
    const std::set<MemberHash> &suspects() const
    {
        return suspects_;
    }
    std::vector<MemberHash> dead() const;
    /** \brief True if this node would be a ring neighbour of an id, on either side. */
    bool isRingNeighbourOf(MemberHash hash) const;

    std::uint64_t digest() const;
    std::array<std::uint32_t, bucketCount> buckets() const;
    static std::size_t bucketOf(MemberHash hash);
    std::vector<Claim> claimsOf(std::size_t bucket) const;

    /** \brief True if the section changed since the last call. */
    bool takeChanged();

private:
    void applySuspicion(MemberHash hash, Peer &peer, std::uint64_t incarnation);
    void revive(MemberHash hash, Peer &peer, MemberState state, std::uint64_t incarnation);
    void holdDownIfFlapping(MemberHash hash, Peer &peer);
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
    std::map<MemberHash, std::uint64_t> tombstones_;
    std::deque<Time> deaths_; ///< Of members that were not leaving, within massLossWindow.
    bool changed_ = true;
};

} // namespace filbertgw::internal

#endif
