#include "membership/memberview.h"

#include "membership/memberrecord.h"
#include "membership/slotmap.h"

#include <algorithm>

namespace filbertgw::internal {

namespace {

/**
 * \brief Time without heartbeats that a new monitor assumes, because the previous monitors may have failed together
 * with the member.
 */
constexpr Duration assumedSilence = std::chrono::milliseconds(600);
/**
 * \brief Time after which a member that others suspect is declared dead without a further claim.
 *
 * Gossip that is forwarded once reaches only 98% of the members, so this node may have missed the death or the
 * refutation. The member is therefore probed after half of the time.
 */
constexpr Duration remoteSuspicionTimeout = std::chrono::milliseconds(1000);
/** \brief A member that revives again within this time is flapping. */
constexpr Duration flapWindow = std::chrono::minutes(5);
constexpr Duration initialHoldDown = std::chrono::seconds(2);
constexpr std::uint32_t maxHoldDownDoublings = 5; ///< Limits a hold-down to 64 s.
constexpr Duration massLossWindow = std::chrono::seconds(10);
constexpr std::size_t maxTombstones = 1024;
/** \brief Ten times the target fleet; limits the memory that a faulty member can make others use. */
constexpr std::size_t maxMembers = 4096;

/** \brief Mixing steps of the SplitMix64 finaliser. */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

MemberView::MemberView(MembershipSection &section, Member self, Clock now)
    : section_(section)
    , now_(std::move(now))
    , self_(rendezvousHash(self.id_.value()))
{
    section_ = MembershipSection();
    section_.self_ = self.id_;
    section_.members_[section_.self_] = std::move(self);
    ++section_.version_;
    rebuildRing();
}

Peer *MemberView::find(MemberHash hash)
{
    const auto found = peers_.find(hash);
    return found == peers_.end() ? nullptr : &found->second;
}

Member &MemberView::memberOf(const Peer &peer)
{
    return section_.members_[peer.id_];
}

Member MemberView::recordOf(MemberHash hash) const
{
    if (hash == self_) {
        return section_.members_.at(section_.self_);
    }
    const auto found = peers_.find(hash);
    if (found == peers_.end()) {
        return Member();
    }
    Member member = section_.members_.at(found->second.id_);
    member.state_ = found->second.state_;
    member.incarnation_ = found->second.incarnation_;
    return member;
}

Claim MemberView::selfClaim() const
{
    const Member &own = section_.members_.at(section_.self_);
    return Claim{self_, own.state_, own.incarnation_};
}

bool MemberView::isLive(MemberHash hash) const
{
    const auto found = peers_.find(hash);
    return found != peers_.end() && found->second.state_ != MemberState::Dead;
}

std::vector<MemberHash> MemberView::dead() const
{
    std::vector<MemberHash> result;
    for (const std::pair<const MemberHash, Peer> &entry : peers_) {
        if (entry.second.state_ == MemberState::Dead) {
            result.push_back(entry.first);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

ClaimEffect MemberView::apply(const Claim &claim, ClaimSource source)
{
    if (claim.subject_ == self_) {
        return ClaimEffect::AboutSelf;
    }
    Peer *peer = find(claim.subject_);
    if (peer == nullptr) {
        const auto tombstone = tombstones_.find(claim.subject_);
        const bool isOutdated = tombstone != tombstones_.end() && tombstone->second >= claim.incarnation_;
        return isOutdated || claim.state_ == MemberState::Dead ? ClaimEffect::None : ClaimEffect::UnknownMember;
    }
    const bool isSame = claim.incarnation_ == peer->incarnation_;
    if (claim.incarnation_ < peer->incarnation_ || (isSame && precedence(claim.state_) <= precedence(peer->state_))) {
        return ClaimEffect::None;
    }
    switch (claim.state_) {
    case MemberState::Alive:
    case MemberState::Leaving:
        revive(claim.subject_, *peer, claim.state_, claim.incarnation_);
        return ClaimEffect::Applied;
    case MemberState::Suspected:
        applySuspicion(claim.subject_, *peer, claim.incarnation_);
        return ClaimEffect::Applied;
    case MemberState::Dead:
        break;
    }
    if (source == ClaimSource::Exchange) {
        applySuspicion(claim.subject_, *peer, claim.incarnation_);
        return ClaimEffect::UnconfirmedDeath;
    }
    peer->incarnation_ = claim.incarnation_;
    declareDead(claim.subject_);
    return ClaimEffect::Applied;
}

bool MemberView::applyRecord(const Member &record)
{
    const MemberHash hash = rendezvousHash(record.id_.value());
    Peer *known = find(hash);
    if (known != nullptr) {
        if (known->id_ != record.id_) {
            return false;
        }
        if (record.incarnation_ > known->incarnation_) {
            Member &member = memberOf(*known);
            member.domain_ = record.domain_;
            member.udpAddress_ = record.udpAddress_;
            member.peerAddress_ = record.peerAddress_;
            member.httpAddress_ = record.httpAddress_;
        }
        return apply(Claim{hash, record.state_, record.incarnation_}, ClaimSource::Exchange) == ClaimEffect::Applied;
    }
    const auto tombstone = tombstones_.find(hash);
    const bool isOutdated = tombstone != tombstones_.end() && tombstone->second >= record.incarnation_;
    if (hash == self_ || isOutdated || record.state_ == MemberState::Dead || peers_.size() >= maxMembers) {
        return false;
    }
    Peer &peer = peers_[hash];
    peer.id_ = record.id_;
    peer.state_ = record.state_ == MemberState::Leaving ? MemberState::Leaving : MemberState::Alive;
    peer.incarnation_ = record.incarnation_;
    peer.lastReceivedAt_ = now_();
    section_.members_[record.id_] = record;
    section_.members_[record.id_].configOffset_ = 0;
    publish(peer);
    rebuildRing();
    ++section_.version_;
    changed_ = true;
    return true;
}

void MemberView::applySuspicion(MemberHash hash, Peer &peer, std::uint64_t incarnation)
{
    if (peer.state_ == MemberState::Dead) {
        revive(hash, peer, MemberState::Alive, incarnation);
    }
    peer.incarnation_ = incarnation;
    if (peer.state_ != MemberState::Leaving) {
        peer.state_ = MemberState::Suspected;
    }
    if (peer.suspectDeadline_ == Time(0)) {
        peer.suspectedLocally_ = false;
        peer.suspectDeadline_ = now_() + remoteSuspicionTimeout;
        peer.confirmationProbeAt_ = now_() + remoteSuspicionTimeout / 2;
        suspects_.insert(hash);
    }
    publish(peer);
}

void MemberView::suspect(MemberHash hash)
{
    Peer &peer = peers_.at(hash);
    if (peer.state_ == MemberState::Alive) {
        peer.state_ = MemberState::Suspected;
    }
    peer.suspectedLocally_ = true;
    peer.suspectDeadline_ = now_() + refutationTimeout;
    suspects_.insert(hash);
    publish(peer);
}

void MemberView::declareDead(MemberHash hash)
{
    Peer &peer = peers_.at(hash);
    if (peer.state_ == MemberState::Dead) {
        return;
    }
    if (peer.state_ != MemberState::Leaving) {
        deaths_.push_back(now_());
    }
    peer.state_ = MemberState::Dead;
    peer.suspectDeadline_ = Time(0);
    peer.nonce_ = 0;
    suspects_.erase(hash);
    publish(peer);
    rebuildRing();
}

void MemberView::revive(MemberHash hash, Peer &peer, MemberState state, std::uint64_t incarnation)
{
    const bool wasDead = peer.state_ == MemberState::Dead;
    peer.state_ = state;
    peer.incarnation_ = incarnation;
    peer.suspectDeadline_ = Time(0);
    suspects_.erase(hash);
    if (wasDead) {
        peer.lastReceivedAt_ = now_();
        holdDownIfFlapping(hash, peer);
        rebuildRing();
    }
    publish(peer);
}

void MemberView::holdDownIfFlapping(MemberHash hash, Peer &peer)
{
    const Time now = now_();
    const bool isFlapping = peer.revivals_ > 0 && now < peer.lastRevival_ + flapWindow;
    peer.revivals_ = isFlapping ? peer.revivals_ + 1 : 1;
    peer.lastRevival_ = now;
    if (peer.revivals_ < 2) {
        return;
    }
    peer.holdDownUntil_ = now + initialHoldDown * (1U << std::min(peer.revivals_ - 2, maxHoldDownDoublings));
    heldDown_.insert(hash);
}

void MemberView::publish(const Peer &peer)
{
    Member &member = section_.members_[peer.id_];
    const MemberState shown = now_() < peer.holdDownUntil_ ? MemberState::Dead : peer.state_;
    if (member.state_ != shown || member.incarnation_ != peer.incarnation_) {
        member.state_ = shown;
        member.incarnation_ = peer.incarnation_;
        ++section_.version_;
        changed_ = true;
    }
}

void MemberView::recordContact(MemberHash hash)
{
    Peer &peer = peers_.at(hash);
    peer.lastReceivedAt_ = now_();
    peer.nonce_ = 0;
    peer.suspectDeadline_ = Time(0);
    suspects_.erase(hash);
}

void MemberView::remove(MemberHash hash)
{
    const auto found = peers_.find(hash);
    if (found == peers_.end()) {
        return;
    }
    if (tombstones_.size() >= maxTombstones) {
        tombstones_.erase(tombstones_.begin());
    }
    tombstones_[hash] = found->second.incarnation_;
    section_.members_.erase(found->second.id_);
    suspects_.erase(hash);
    heldDown_.erase(hash);
    peers_.erase(found);
    rebuildRing();
    ++section_.version_;
    changed_ = true;
}

void MemberView::setSelfState(MemberState state, std::uint64_t incarnation)
{
    Member &own = section_.members_[section_.self_];
    if (own.state_ != state || own.incarnation_ != incarnation) {
        own.state_ = state;
        own.incarnation_ = incarnation;
        ++section_.version_;
        changed_ = true;
    }
}

void MemberView::tick()
{
    const Time now = now_();
    for (auto item = heldDown_.begin(); item != heldDown_.end();) {
        const Peer &peer = peers_.at(*item);
        if (now < peer.holdDownUntil_) {
            ++item;
            continue;
        }
        publish(peer);
        item = heldDown_.erase(item);
    }
    while (!deaths_.empty() && deaths_.front() + massLossWindow <= now) {
        deaths_.pop_front();
    }
    const bool massLoss = deaths_.size() * 3 > ring_.size() + deaths_.size();
    if (massLoss != section_.massLoss_) {
        section_.massLoss_ = massLoss;
        ++section_.version_;
        changed_ = true;
    }
}

void MemberView::resume(Duration gap)
{
    const Time now = now_();
    for (MemberHash hash : monitored_) {
        Peer &peer = peers_.at(hash);
        peer.lastReceivedAt_ = now;
        peer.nonce_ = 0;
    }
    for (MemberHash hash : suspects_) {
        Peer &peer = peers_.at(hash);
        peer.suspectDeadline_ += gap;
        peer.confirmationProbeAt_ += gap;
    }
}

void MemberView::rebuildRing()
{
    ring_.clear();
    ring_.push_back(self_);
    for (const std::pair<const MemberHash, Peer> &entry : peers_) {
        if (entry.second.state_ != MemberState::Dead) {
            ring_.push_back(entry.first);
        }
    }
    std::sort(ring_.begin(), ring_.end());
    const std::size_t size = ring_.size();
    const std::size_t position =
        static_cast<std::size_t>(std::lower_bound(ring_.begin(), ring_.end(), self_) - ring_.begin());
    const std::size_t neighbours = std::min(monitorCount, size - 1);
    const std::vector<MemberHash> previouslyMonitored = std::move(monitored_);
    monitors_.clear();
    monitored_.clear();
    for (std::size_t i = 1; i <= neighbours; ++i) {
        monitors_.push_back(ring_[(position + i) % size]);
        monitored_.push_back(ring_[(position + size - i) % size]);
    }
    for (MemberHash hash : monitored_) {
        if (std::find(previouslyMonitored.begin(), previouslyMonitored.end(), hash) == previouslyMonitored.end()) {
            Peer &peer = peers_.at(hash);
            peer.lastReceivedAt_ = now_() - assumedSilence;
            peer.nonce_ = 0;
        }
    }
}

bool MemberView::isRingNeighbourOf(MemberHash hash) const
{
    const std::size_t size = ring_.size();
    const std::size_t own =
        static_cast<std::size_t>(std::lower_bound(ring_.begin(), ring_.end(), self_) - ring_.begin());
    const std::size_t other =
        static_cast<std::size_t>(std::lower_bound(ring_.begin(), ring_.end(), hash) - ring_.begin());
    const std::size_t ahead = (other + size - own) % size;
    return ahead <= monitorCount || size - ahead < monitorCount;
}

std::uint64_t MemberView::fingerprint(MemberHash hash, MemberState state, std::uint64_t incarnation) const
{
    // Suspicions are short and local; if the digest included them, two members would rarely agree.
    const std::uint64_t leaving = state == MemberState::Leaving ? 1 : 0;
    return mix(hash ^ mix(incarnation * 2 + leaving + 1));
}

std::uint64_t MemberView::digest() const
{
    const Claim own = selfClaim();
    std::uint64_t result = fingerprint(own.subject_, own.state_, own.incarnation_);
    for (const std::pair<const MemberHash, Peer> &entry : peers_) {
        if (entry.second.state_ != MemberState::Dead) {
            result ^= fingerprint(entry.first, entry.second.state_, entry.second.incarnation_);
        }
    }
    return result;
}

std::array<std::uint32_t, bucketCount> MemberView::buckets() const
{
    std::array<std::uint32_t, bucketCount> result{};
    const Claim own = selfClaim();
    result[bucketOf(self_)] ^= static_cast<std::uint32_t>(fingerprint(self_, own.state_, own.incarnation_));
    for (const std::pair<const MemberHash, Peer> &entry : peers_) {
        if (entry.second.state_ != MemberState::Dead) {
            result[bucketOf(entry.first)] ^=
                static_cast<std::uint32_t>(fingerprint(entry.first, entry.second.state_, entry.second.incarnation_));
        }
    }
    return result;
}

std::size_t MemberView::bucketOf(MemberHash hash)
{
    return hash % bucketCount;
}

std::vector<Claim> MemberView::claimsOf(std::size_t bucket) const
{
    std::vector<Claim> claims;
    if (bucketOf(self_) == bucket) {
        claims.push_back(selfClaim());
    }
    for (const std::pair<const MemberHash, Peer> &entry : peers_) {
        if (bucketOf(entry.first) == bucket) {
            claims.push_back(Claim{entry.first, entry.second.state_, entry.second.incarnation_});
        }
    }
    return claims;
}

bool MemberView::takeChanged()
{
    const bool changed = changed_;
    changed_ = false;
    return changed;
}

} // namespace filbertgw::internal
