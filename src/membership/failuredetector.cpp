#include "membership/failuredetector.h"

#include <algorithm>
#include <utility>

namespace filbertgw::internal {

namespace {

constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration probeTimeout = std::chrono::seconds(1);
/** \brief Probes are repeated within probeTimeout, so that one lost datagram doesn't cause a suspicion. */
constexpr Duration probeInterval = std::chrono::milliseconds(300);
/** \brief Maximum number of relayed probes that wait for an acknowledgement. */
constexpr std::size_t maxRelays = 64;

} // namespace

FailureDetector::FailureDetector(MemberView &view,
                                 MemberMessenger &messenger,
                                 MemberGossip &gossip,
                                 DigestExchange &exchange,
                                 const MembershipHooks &hooks)
    : view_(view)
    , messenger_(messenger)
    , gossip_(gossip)
    , exchange_(exchange)
    , hooks_(hooks)
{
}

void FailureDetector::tick(Time now)
{
    sendHeartbeats(now);
    checkMonitored(now);
    checkSuspects(now);
}

void FailureDetector::sendHeartbeatNow()
{
    nextHeartbeat_ = Time(0);
    sendHeartbeats(hooks_.now_());
}

void FailureDetector::sendHeartbeats(Time now)
{
    if (now < nextHeartbeat_) {
        return;
    }
    nextHeartbeat_ = std::max(nextHeartbeat_ + heartbeatInterval, now + heartbeatInterval / 2);
    const Claim own = view_.selfClaim();
    nlohmann::json heartbeat = messenger_.messageFromSelf(DatagramType::Heartbeat);
    heartbeat.push_back(own.incarnation_);
    heartbeat.push_back(++sequence_);
    heartbeat.push_back(hooks_.configOffset_ ? hooks_.configOffset_() : 0);
    heartbeat.push_back(own.state_ == MemberState::Leaving ? std::uint64_t(1) : std::uint64_t(0));
    for (MemberHash monitor : view_.monitors()) {
        messenger_.sendTo(monitor, heartbeat);
    }
}

void FailureDetector::checkMonitored(Time now)
{
    for (MemberHash hash : view_.monitored()) {
        Peer &peer = *view_.find(hash);
        if (peer.suspectDeadline_ != Time(0) && peer.suspectedLocally_) {
            continue;
        }
        if (peer.nonce_ == 0 && now >= peer.lastReceivedAt_ + heartbeatTimeout) {
            peer.nonce_ = messenger_.newNonce();
            peer.probeDeadline_ = now + probeTimeout;
            peer.nextProbe_ = now;
        }
        if (peer.nonce_ != 0 && now >= peer.probeDeadline_) {
            view_.suspect(hash);
            const Claim claim{hash, MemberState::Suspected, peer.incarnation_};
            gossip_.disseminate({claim}, hash);
            messenger_.sendClaims(hash, {claim});
        } else if (peer.nonce_ != 0 && now >= peer.nextProbe_) {
            probe(hash, now);
        }
    }
}

void FailureDetector::probe(MemberHash hash, Time now)
{
    Peer &peer = *view_.find(hash);
    peer.nextProbe_ = now + probeInterval;
    nlohmann::json direct = messenger_.messageFromSelf(DatagramType::Probe);
    direct.push_back(peer.nonce_);
    messenger_.sendTo(hash, direct);
    nlohmann::json indirect = messenger_.messageFromSelf(DatagramType::ProbeRequest);
    indirect.push_back(hash);
    indirect.push_back(peer.nonce_);
    for (MemberHash helper : messenger_.randomMembers(1, hash)) {
        messenger_.sendTo(helper, indirect);
    }
}

void FailureDetector::checkSuspects(Time now)
{
    std::vector<Claim> deaths;
    const std::vector<MemberHash> suspects(view_.suspects().begin(), view_.suspects().end());
    for (MemberHash hash : suspects) {
        Peer &peer = *view_.find(hash);
        if (now >= peer.suspectDeadline_) {
            if (peer.suspectedLocally_) {
                deaths.push_back(Claim{hash, MemberState::Dead, peer.incarnation_});
            }
            view_.declareDead(hash);
        } else if (!peer.suspectedLocally_ && now >= peer.confirmationProbeAt_) {
            peer.confirmationProbeAt_ = peer.suspectDeadline_;
            peer.nonce_ = peer.nonce_ != 0 ? peer.nonce_ : messenger_.newNonce();
            probe(hash, now);
        }
    }
    gossip_.disseminate(deaths, 0);
    for (const Claim &death : deaths) {
        messenger_.sendClaims(death.subject_, {death});
    }
}

void FailureDetector::onHeartbeat(MessageReader &reader, MemberHash sender)
{
    const std::uint64_t incarnation = reader.number();
    const std::uint64_t sequence = reader.number();
    const std::uint64_t offset = reader.number();
    const bool isLeaving = reader.number() != 0;
    Peer *peer = view_.find(sender);
    if (!reader.isValid() || peer == nullptr) {
        return;
    }
    // A repeated or delayed heartbeat is no sign of life, so it must not keep a dead member alive.
    if (std::make_pair(incarnation, sequence) <= std::make_pair(peer->receivedIncarnation_, peer->receivedSequence_)) {
        return;
    }
    peer->receivedIncarnation_ = incarnation;
    peer->receivedSequence_ = sequence;
    const MemberState state = isLeaving ? MemberState::Leaving : MemberState::Alive;
    view_.apply(Claim{sender, state, incarnation}, ClaimSource::Gossip);
    view_.memberOf(*peer).configOffset_ = offset;
    gossip_.onAlive(sender, incarnation);
    if (hooks_.peerOffset_) {
        hooks_.peerOffset_(peer->id_, offset);
    }
}

void FailureDetector::onProbe(MessageReader &reader, MemberHash sender)
{
    const std::uint64_t nonce = reader.number();
    if (!reader.isValid()) {
        return;
    }
    nlohmann::json reply = messenger_.messageFromSelf(DatagramType::Ack);
    reply.push_back(view_.selfClaim().incarnation_);
    reply.push_back(nonce);
    messenger_.sendTo(sender, reply);
    const std::vector<MemberHash> &monitors = view_.monitors();
    if (view_.isLive(sender) && std::find(monitors.begin(), monitors.end(), sender) == monitors.end()) {
        // The sender probes this node but is not one of its monitors, so its view of the ring differs; an exchange
        // finds the difference.
        exchange_.scheduleSoon();
    }
}

void FailureDetector::onAck(MessageReader &reader, MemberHash subject)
{
    const std::uint64_t incarnation = reader.number();
    const std::uint64_t nonce = reader.number();
    if (!reader.isValid()) {
        return;
    }
    const std::map<std::uint64_t, Relay>::iterator relay = relays_.find(nonce);
    if (relay != relays_.end()) {
        relayAck(relay->second, subject, incarnation);
        relays_.erase(relay);
        return;
    }
    Peer *peer = view_.find(subject);
    if (peer == nullptr || peer->nonce_ == 0 || peer->nonce_ != nonce) {
        return;
    }
    view_.apply(Claim{subject, MemberState::Alive, incarnation}, ClaimSource::Gossip);
    peer->receivedIncarnation_ = std::max(peer->receivedIncarnation_, incarnation);
    gossip_.onAlive(subject, incarnation);
}

void FailureDetector::onProbeRequest(MessageReader &reader, MemberHash sender)
{
    const MemberHash subject = reader.number();
    const std::uint64_t nonce = reader.number();
    if (!reader.isValid() || view_.find(subject) == nullptr) {
        return;
    }
    if (relays_.size() >= maxRelays) {
        relays_.erase(relays_.begin());
    }
    const std::uint64_t ownNonce = messenger_.newNonce();
    relays_[ownNonce] = Relay{sender, nonce};
    nlohmann::json probe = messenger_.messageFromSelf(DatagramType::Probe);
    probe.push_back(ownNonce);
    messenger_.sendTo(subject, probe);
}

void FailureDetector::relayAck(const Relay &relay, MemberHash subject, std::uint64_t incarnation)
{
    nlohmann::json reply = messageOf(DatagramType::Ack);
    reply.push_back(subject);
    reply.push_back(incarnation);
    reply.push_back(relay.nonce_);
    messenger_.sendTo(relay.requester_, reply);
}

} // namespace filbertgw::internal
