#include "membership/membershipcontroller.h"

#include "membership/datagram.h"
#include "membership/memberrecord.h"
#include "membership/memberview.h"
#include "membership/slotmap.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace filbertgw {

using internal::Claim;
using internal::ClaimEffect;
using internal::ClaimSource;
using internal::MemberHash;
using internal::MemberView;
using internal::Peer;

namespace {

constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration probeTimeout = std::chrono::seconds(1);
/** \brief Probes are repeated within the timeout, so that one lost datagram doesn't decide. */
constexpr Duration probeInterval = std::chrono::milliseconds(300);
constexpr std::size_t fanOut = 4;
constexpr Duration digestInterval = std::chrono::seconds(2);
/** \brief Next digest after one that found a difference. */
constexpr Duration digestRetry = std::chrono::milliseconds(400);
/** \brief One digest in this many goes to a dead member, so that the sides of a split find each other again. */
constexpr std::uint64_t deadDigestShare = 4;
constexpr Duration joinInterval = std::chrono::seconds(1);
/** \brief Pause between two attempts at a seed that isn't a member; its VM may be gone for good. */
constexpr Duration seedJoinInterval = std::chrono::seconds(5);
/** \brief A node that has heard from nobody for this long joins again. */
constexpr Duration isolationLimit = std::chrono::seconds(4);
constexpr Duration correctionInterval = std::chrono::milliseconds(300);
/** \brief A gap between two ticks that means that this process was paused: what it missed is no evidence. */
constexpr Duration pauseLimit = std::chrono::seconds(1);
/** \brief Relayed probes that wait for an answer. */
constexpr std::size_t maxRelays = 64;
constexpr std::size_t bucketHashBytes = 4;
/** \brief Payload of a message that carries a list; leaves room for the MAC and the elements before the list. */
constexpr std::size_t maxListBytes = 1100;
/** \brief Three CBOR integers of at most 9, 1 and 9 bytes. */
constexpr std::size_t claimBytes = 19;
constexpr std::size_t maxClaims = maxListBytes / claimBytes;

nlohmann::json message(DatagramType type)
{
    return nlohmann::json::array({static_cast<std::uint64_t>(type)});
}

void appendClaim(nlohmann::json &list, const Claim &claim)
{
    list.push_back(claim.subject_);
    list.push_back(static_cast<std::uint64_t>(claim.state_));
    list.push_back(claim.incarnation_);
}

std::vector<Claim> readClaims(MessageReader &reader)
{
    std::vector<Claim> claims;
    while (!reader.atEnd() && reader.isValid()) {
        Claim claim;
        claim.subject_ = reader.number();
        const std::uint64_t state = reader.number();
        claim.incarnation_ = reader.number();
        if (!reader.isValid() || state > static_cast<std::uint64_t>(MemberState::Dead)) {
            return {};
        }
        claim.state_ = static_cast<MemberState>(state);
        claims.push_back(claim);
    }
    return claims;
}

} // namespace

struct MembershipController::Private
{
    Private(Blackboard &blackboard, MembershipHooks hooks, Member self)
        : section_(blackboard.write<MembershipSection>())
        , hooks_(std::move(hooks))
        , view_(section_, std::move(self), hooks_.now_)
    {
    }

    void send(const std::string &address, const nlohmann::json &message);
    void sendTo(MemberHash peer, const nlohmann::json &message);
    nlohmann::json messageFromSelf(DatagramType type) const;
    void sendClaims(MemberHash peer, const std::vector<Claim> &claims);
    void gossip(const std::vector<Claim> &claims, MemberHash except);
    void gossipRecord(const nlohmann::json &record, MemberHash except);
    void sendRecords(const std::string &address, const std::vector<MemberHash> &subjects);
    void sendEntries(MemberHash peer, std::uint64_t mask, bool wantAnswer);
    std::vector<MemberHash> randomMembers(std::size_t count, MemberHash except);
    std::vector<MemberHash> gossipReceivers(MemberHash except);
    void join(const std::string &address);

    void onHeartbeat(MessageReader &reader, MemberHash sender);
    void onProbe(MessageReader &reader, MemberHash sender);
    void onAck(MessageReader &reader, MemberHash subject);
    void onProbeRequest(MessageReader &reader, MemberHash sender);
    void onGossip(MessageReader &reader, MemberHash sender);
    void onJoin(MessageReader &reader);
    void onRecords(MessageReader &reader, MemberHash sender, bool forward);
    void onDigest(MessageReader &reader, MemberHash sender);
    void onBuckets(MessageReader &reader, MemberHash sender);
    void onEntries(MessageReader &reader, MemberHash sender);
    void onWant(MessageReader &reader, MemberHash sender);
    void dispatch(MessageReader &reader);

    void heard(MemberHash hash, std::uint64_t incarnation);
    void correct(MemberHash hash, bool isStale);
    void onClaimAboutSelf(const Claim &claim, MemberHash sender);
    std::vector<Claim> applyClaims(const std::vector<Claim> &claims, ClaimSource source, MemberHash sender);

    void sendHeartbeats(Time now);
    void watch(Time now);
    void probe(MemberHash hash, Time now);
    void checkSuspects(Time now);
    void sendDigest(Time now);
    void joinIfNeeded(Time now);
    void notify();

    MembershipSection &section_;
    MembershipHooks hooks_;
    MemberView view_;
    std::vector<std::string> keys_;
    std::vector<std::string> seeds_;
    std::map<std::uint64_t, std::pair<MemberHash, std::uint64_t>> relays_; ///< Own nonce to requester and its nonce.
    std::map<NodeId, std::string> unknownVms_; ///< UDP addresses of listed VMs that have not answered yet.
    std::uint64_t sequence_ = 0;
    Time lastTick_{0};
    Time nextHeartbeat_{0};
    Time nextDigest_{0};
    Time nextJoin_{0};
    Time nextSeedJoin_{0};
    Time lastContact_{0};
    std::uint64_t digests_ = 0;
};

void MembershipController::Private::send(const std::string &address, const nlohmann::json &message)
{
    if (keys_.empty() || address.empty()) {
        return;
    }
    const std::string datagram = sealDatagram(message, keys_.front());
    if (datagram.size() <= maxDatagramBytes) {
        hooks_.send_(address, datagram);
    }
}

void MembershipController::Private::sendTo(MemberHash peer, const nlohmann::json &message)
{
    const Peer *found = view_.find(peer);
    if (found != nullptr) {
        send(view_.memberOf(*found).udpAddress_, message);
    }
}

nlohmann::json MembershipController::Private::messageFromSelf(DatagramType type) const
{
    return nlohmann::json::array({static_cast<std::uint64_t>(type), view_.self()});
}

std::vector<MemberHash> MembershipController::Private::randomMembers(std::size_t count, MemberHash except)
{
    std::vector<MemberHash> chosen;
    const std::vector<MemberHash> &ring = view_.ring();
    const std::size_t attempts = count * 8;
    for (std::size_t i = 0; i < attempts && chosen.size() < count && ring.size() > 1; ++i) {
        const MemberHash candidate = ring[hooks_.random_() % ring.size()];
        const bool isTaken = std::find(chosen.begin(), chosen.end(), candidate) != chosen.end();
        if (candidate != view_.self() && candidate != except && !isTaken) {
            chosen.push_back(candidate);
        }
    }
    return chosen;
}

std::vector<MemberHash> MembershipController::Private::gossipReceivers(MemberHash except)
{
    // Random receivers alone miss 2% of the members. The ring successor makes a miss need two members that were missed.
    std::vector<MemberHash> receivers = randomMembers(fanOut, except);
    const std::vector<MemberHash> &successors = view_.monitors();
    if (!successors.empty() && successors.front() != except
        && std::find(receivers.begin(), receivers.end(), successors.front()) == receivers.end()) {
        receivers.push_back(successors.front());
    }
    return receivers;
}

void MembershipController::Private::sendClaims(MemberHash peer, const std::vector<Claim> &claims)
{
    for (std::size_t begin = 0; begin < claims.size(); begin += maxClaims) {
        nlohmann::json message = messageFromSelf(DatagramType::Gossip);
        const std::size_t end = std::min(claims.size(), begin + maxClaims);
        for (std::size_t i = begin; i < end; ++i) {
            appendClaim(message, claims[i]);
        }
        sendTo(peer, message);
    }
}

void MembershipController::Private::gossip(const std::vector<Claim> &claims, MemberHash except)
{
    if (claims.empty()) {
        return;
    }
    for (MemberHash peer : gossipReceivers(except)) {
        sendClaims(peer, claims);
    }
}

void MembershipController::Private::gossipRecord(const nlohmann::json &record, MemberHash except)
{
    nlohmann::json message = messageFromSelf(DatagramType::RecordGossip);
    message.push_back(record);
    for (MemberHash peer : gossipReceivers(except)) {
        sendTo(peer, message);
    }
}

void MembershipController::Private::sendRecords(const std::string &address, const std::vector<MemberHash> &subjects)
{
    nlohmann::json message = messageFromSelf(DatagramType::Records);
    std::size_t bytes = 0;
    for (MemberHash subject : subjects) {
        if (subject != view_.self() && view_.find(subject) == nullptr) {
            continue;
        }
        const nlohmann::json record = internal::encodeMember(view_.recordOf(subject));
        const std::size_t size = nlohmann::json::to_cbor(record).size();
        if (bytes + size > maxListBytes) {
            send(address, message);
            message = messageFromSelf(DatagramType::Records);
            bytes = 0;
        }
        message.push_back(record);
        bytes += size;
    }
    if (bytes > 0) {
        send(address, message);
    }
}

void MembershipController::Private::join(const std::string &address)
{
    nlohmann::json request = message(DatagramType::Join);
    request.push_back(internal::encodeMember(view_.recordOf(view_.self())));
    send(address, request);
}

void MembershipController::Private::dispatch(MessageReader &reader)
{
    if (reader.type() == DatagramType::Join) {
        onJoin(reader);
        return;
    }
    const MemberHash sender = reader.number();
    if (!reader.isValid() || sender == view_.self()) {
        return;
    }
    switch (reader.type()) {
    case DatagramType::Heartbeat:
        onHeartbeat(reader, sender);
        break;
    case DatagramType::Probe:
        onProbe(reader, sender);
        break;
    case DatagramType::Ack:
        onAck(reader, sender);
        break;
    case DatagramType::ProbeRequest:
        onProbeRequest(reader, sender);
        break;
    case DatagramType::Gossip:
        onGossip(reader, sender);
        break;
    case DatagramType::RecordGossip:
        onRecords(reader, sender, true);
        break;
    case DatagramType::Records:
        onRecords(reader, sender, false);
        break;
    case DatagramType::Digest:
        onDigest(reader, sender);
        break;
    case DatagramType::Buckets:
        onBuckets(reader, sender);
        break;
    case DatagramType::Entries:
        onEntries(reader, sender);
        break;
    case DatagramType::Want:
        onWant(reader, sender);
        break;
    case DatagramType::Join:
        break;
    }
}

void MembershipController::Private::onHeartbeat(MessageReader &reader, MemberHash sender)
{
    const std::uint64_t incarnation = reader.number();
    const std::uint64_t sequence = reader.number();
    const std::uint64_t offset = reader.number();
    const bool isLeaving = reader.number() != 0;
    Peer *peer = view_.find(sender);
    if (!reader.isValid() || peer == nullptr) {
        return;
    }
    // A repeated or delayed heartbeat must not keep a dead member alive.
    if (std::make_pair(incarnation, sequence) <= std::make_pair(peer->heardIncarnation_, peer->heardSequence_)) {
        return;
    }
    peer->heardIncarnation_ = incarnation;
    peer->heardSequence_ = sequence;
    const MemberState state = isLeaving ? MemberState::Leaving : MemberState::Alive;
    view_.apply(Claim{sender, state, incarnation}, ClaimSource::Gossip);
    view_.memberOf(*peer).configOffset_ = offset;
    heard(sender, incarnation);
    if (hooks_.peerOffset_) {
        hooks_.peerOffset_(peer->id_, offset);
    }
}

void MembershipController::Private::heard(MemberHash hash, std::uint64_t incarnation)
{
    view_.heard(hash);
    correct(hash, incarnation < view_.find(hash)->incarnation_);
}

void MembershipController::Private::correct(MemberHash hash, bool isStale)
{
    // A member that lives but is suspected or dead here, or is known by a later life, has to refute that for all.
    Peer &peer = *view_.find(hash);
    const Time now = hooks_.now_();
    const bool isDoubted = peer.state_ == MemberState::Dead || peer.state_ == MemberState::Suspected;
    if ((isDoubted || isStale) && now >= peer.lastCorrection_ + correctionInterval) {
        peer.lastCorrection_ = now;
        sendClaims(hash, {Claim{hash, isDoubted ? peer.state_ : MemberState::Suspected, peer.incarnation_}});
    }
}

void MembershipController::Private::onProbe(MessageReader &reader, MemberHash sender)
{
    const std::uint64_t nonce = reader.number();
    if (!reader.isValid()) {
        return;
    }
    nlohmann::json answer = messageFromSelf(DatagramType::Ack);
    answer.push_back(view_.ownClaim().incarnation_);
    answer.push_back(nonce);
    sendTo(sender, answer);
    const std::vector<MemberHash> &monitors = view_.monitors();
    if (view_.isTrusted(sender) && std::find(monitors.begin(), monitors.end(), sender) == monitors.end()) {
        // A prober that gets no heartbeats from here has another view of the ring; an exchange finds the difference.
        nextDigest_ = std::min(nextDigest_, hooks_.now_() + digestRetry);
    }
}

void MembershipController::Private::onAck(MessageReader &reader, MemberHash subject)
{
    const std::uint64_t incarnation = reader.number();
    const std::uint64_t nonce = reader.number();
    if (!reader.isValid()) {
        return;
    }
    const auto relay = relays_.find(nonce);
    if (relay != relays_.end()) {
        nlohmann::json answer = message(DatagramType::Ack);
        answer.push_back(subject);
        answer.push_back(incarnation);
        answer.push_back(relay->second.second);
        sendTo(relay->second.first, answer);
        relays_.erase(relay);
        return;
    }
    Peer *peer = view_.find(subject);
    if (peer == nullptr || peer->nonce_ == 0 || peer->nonce_ != nonce) {
        return;
    }
    view_.apply(Claim{subject, MemberState::Alive, incarnation}, ClaimSource::Gossip);
    peer->heardIncarnation_ = std::max(peer->heardIncarnation_, incarnation);
    heard(subject, incarnation);
}

void MembershipController::Private::onProbeRequest(MessageReader &reader, MemberHash sender)
{
    const MemberHash subject = reader.number();
    const std::uint64_t nonce = reader.number();
    if (!reader.isValid() || view_.find(subject) == nullptr) {
        return;
    }
    if (relays_.size() >= maxRelays) {
        relays_.erase(relays_.begin());
    }
    const std::uint64_t ownNonce = hooks_.random_() | 1U;
    relays_[ownNonce] = {sender, nonce};
    nlohmann::json probe = messageFromSelf(DatagramType::Probe);
    probe.push_back(ownNonce);
    sendTo(subject, probe);
}

std::vector<Claim>
MembershipController::Private::applyClaims(const std::vector<Claim> &claims, ClaimSource source, MemberHash sender)
{
    std::vector<Claim> news;
    nlohmann::json wanted = messageFromSelf(DatagramType::Want);
    for (const Claim &claim : claims) {
        switch (view_.apply(claim, source)) {
        case ClaimEffect::News:
            news.push_back(claim);
            break;
        case ClaimEffect::Unknown:
            wanted.push_back(claim.subject_);
            break;
        case ClaimEffect::Doubt:
            sendClaims(claim.subject_, {claim});
            break;
        case ClaimEffect::AboutSelf:
            onClaimAboutSelf(claim, sender);
            break;
        case ClaimEffect::None:
            break;
        }
    }
    if (wanted.size() > 2) {
        sendTo(sender, wanted);
    }
    return news;
}

void MembershipController::Private::onClaimAboutSelf(const Claim &claim, MemberHash sender)
{
    const Claim own = view_.ownClaim();
    const bool isFalse = claim.state_ == MemberState::Suspected || claim.state_ == MemberState::Dead;
    if (claim.incarnation_ < own.incarnation_) {
        if (isFalse) {
            sendClaims(sender, {own});
        }
        return;
    }
    if (claim.state_ == MemberState::Leaving && own.state_ != MemberState::Leaving) {
        // The platform's list says that this VM is going.
        view_.setOwn(MemberState::Leaving, claim.incarnation_);
        gossip({view_.ownClaim()}, 0);
        return;
    }
    if (isFalse || claim.incarnation_ > own.incarnation_) {
        view_.setOwn(own.state_, claim.incarnation_ + 1);
        gossip({view_.ownClaim()}, sender);
        sendClaims(sender, {view_.ownClaim()});
    }
}

void MembershipController::Private::onGossip(MessageReader &reader, MemberHash sender)
{
    const std::vector<Claim> claims = readClaims(reader);
    if (view_.isTrusted(sender)) {
        gossip(applyClaims(claims, ClaimSource::Gossip, sender), sender);
        return;
    }
    // A member that was cut off blames everyone else. Only what it says of itself and of this node counts.
    for (const Claim &claim : claims) {
        if (claim.subject_ == view_.self()) {
            onClaimAboutSelf(claim, sender);
        } else if (claim.subject_ == sender && claim.state_ != MemberState::Dead) {
            gossip(applyClaims({claim}, ClaimSource::Gossip, sender), sender);
        }
    }
}

void MembershipController::Private::onJoin(MessageReader &reader)
{
    const std::optional<Member> record = internal::decodeMember(reader.array());
    if (!record || record->id_ == section_.self_) {
        return;
    }
    const MemberHash hash = stableHash(record->id_.value());
    const bool isNew = view_.applyRecord(*record);
    if (isNew) {
        gossipRecord(internal::encodeMember(*record), hash);
    }
    if (view_.find(hash) == nullptr) {
        return;
    }
    correct(hash, false);
    if (isNew) {
        sendRecords(record->udpAddress_, view_.ring());
        return;
    }
    // The answer to a repeated request: the whole list again only if the views differ.
    nlohmann::json digest = messageFromSelf(DatagramType::Digest);
    digest.push_back(view_.digest());
    sendTo(hash, digest);
    sendRecords(record->udpAddress_, {view_.self()});
}

void MembershipController::Private::onRecords(MessageReader &reader, MemberHash sender, bool forward)
{
    while (!reader.atEnd()) {
        const std::optional<Member> record = internal::decodeMember(reader.array());
        if (!record) {
            return;
        }
        const MemberHash hash = stableHash(record->id_.value());
        if (hash == view_.self()) {
            onClaimAboutSelf(Claim{hash, record->state_, record->incarnation_}, sender);
        } else if (view_.applyRecord(*record) && forward) {
            gossipRecord(internal::encodeMember(*record), sender);
        }
    }
}

void MembershipController::Private::onDigest(MessageReader &reader, MemberHash sender)
{
    const std::uint64_t digest = reader.number();
    if (!reader.isValid() || view_.find(sender) == nullptr) {
        return;
    }
    correct(sender, false);
    if (digest == view_.digest()) {
        return;
    }
    nlohmann::json answer = messageFromSelf(DatagramType::Buckets);
    std::vector<std::uint8_t> bytes;
    for (std::uint32_t bucket : view_.buckets()) {
        for (std::size_t i = 0; i < bucketHashBytes; ++i) {
            bytes.push_back(static_cast<std::uint8_t>(bucket >> (8 * i)));
        }
    }
    answer.push_back(nlohmann::json::binary(std::move(bytes)));
    sendTo(sender, answer);
}

void MembershipController::Private::onBuckets(MessageReader &reader, MemberHash sender)
{
    const std::string bytes = reader.bytes(internal::bucketCount * bucketHashBytes);
    if (!reader.isValid()) {
        return;
    }
    const std::array<std::uint32_t, internal::bucketCount> own = view_.buckets();
    std::uint64_t mask = 0;
    for (std::size_t bucket = 0; bucket < internal::bucketCount; ++bucket) {
        std::uint32_t other = 0;
        for (std::size_t i = 0; i < bucketHashBytes; ++i) {
            const std::uint32_t byte = static_cast<std::uint8_t>(bytes[bucket * bucketHashBytes + i]);
            other |= byte << (8 * i);
        }
        mask |= other != own[bucket] ? 1ULL << bucket : 0;
    }
    nextDigest_ = std::min(nextDigest_, hooks_.now_() + digestRetry);
    sendEntries(sender, mask, true);
}

void MembershipController::Private::sendEntries(MemberHash peer, std::uint64_t mask, bool wantAnswer)
{
    std::vector<Claim> claims;
    std::uint64_t included = 0;
    const auto flush = [&] {
        nlohmann::json message = messageFromSelf(DatagramType::Entries);
        message.push_back(wantAnswer ? std::uint64_t(1) : std::uint64_t(0));
        message.push_back(included);
        for (const Claim &claim : claims) {
            appendClaim(message, claim);
        }
        sendTo(peer, message);
        claims.clear();
        included = 0;
    };
    for (std::size_t bucket = 0; bucket < internal::bucketCount; ++bucket) {
        if ((mask >> bucket & 1U) == 0) {
            continue;
        }
        std::vector<Claim> added = view_.claimsOf(bucket);
        added.resize(std::min(added.size(), maxClaims));
        if (claims.size() + added.size() > maxClaims) {
            flush();
        }
        claims.insert(claims.end(), added.begin(), added.end());
        included |= 1ULL << bucket;
    }
    if (included != 0) {
        flush();
    }
}

void MembershipController::Private::onEntries(MessageReader &reader, MemberHash sender)
{
    const bool wantsAnswer = reader.number() != 0;
    const std::uint64_t mask = reader.number();
    const std::vector<Claim> claims = readClaims(reader);
    if (!reader.isValid() || view_.find(sender) == nullptr) {
        return;
    }
    if (wantsAnswer) {
        sendEntries(sender, mask, false);
    }
    applyClaims(claims, ClaimSource::Exchange, sender);
}

void MembershipController::Private::onWant(MessageReader &reader, MemberHash sender)
{
    std::vector<MemberHash> subjects;
    while (!reader.atEnd()) {
        subjects.push_back(reader.number());
    }
    const Peer *peer = view_.find(sender);
    if (reader.isValid() && peer != nullptr) {
        sendRecords(view_.memberOf(*peer).udpAddress_, subjects);
    }
}

void MembershipController::Private::sendHeartbeats(Time now)
{
    if (now < nextHeartbeat_) {
        return;
    }
    nextHeartbeat_ = std::max(nextHeartbeat_ + heartbeatInterval, now + heartbeatInterval / 2);
    const Claim own = view_.ownClaim();
    nlohmann::json heartbeat = messageFromSelf(DatagramType::Heartbeat);
    heartbeat.push_back(own.incarnation_);
    heartbeat.push_back(++sequence_);
    heartbeat.push_back(hooks_.configOffset_ ? hooks_.configOffset_() : 0);
    heartbeat.push_back(own.state_ == MemberState::Leaving ? std::uint64_t(1) : std::uint64_t(0));
    for (MemberHash monitor : view_.monitors()) {
        sendTo(monitor, heartbeat);
    }
}

void MembershipController::Private::watch(Time now)
{
    for (MemberHash hash : view_.watched()) {
        Peer &peer = *view_.find(hash);
        if (peer.suspectDeadline_ != Time(0) && peer.ownSuspicion_) {
            continue;
        }
        if (peer.nonce_ == 0 && now >= peer.lastHeard_ + internal::silenceLimit) {
            peer.nonce_ = hooks_.random_() | 1U;
            peer.probeDeadline_ = now + probeTimeout;
            peer.nextProbe_ = now;
        }
        if (peer.nonce_ != 0 && now >= peer.probeDeadline_) {
            view_.suspect(hash);
            const Claim claim{hash, MemberState::Suspected, peer.incarnation_};
            gossip({claim}, hash);
            sendClaims(hash, {claim});
        } else if (peer.nonce_ != 0 && now >= peer.nextProbe_) {
            probe(hash, now);
        }
    }
}

void MembershipController::Private::probe(MemberHash hash, Time now)
{
    Peer &peer = *view_.find(hash);
    peer.nextProbe_ = now + probeInterval;
    nlohmann::json direct = messageFromSelf(DatagramType::Probe);
    direct.push_back(peer.nonce_);
    sendTo(hash, direct);
    nlohmann::json indirect = messageFromSelf(DatagramType::ProbeRequest);
    indirect.push_back(hash);
    indirect.push_back(peer.nonce_);
    for (MemberHash helper : randomMembers(1, hash)) {
        sendTo(helper, indirect);
    }
}

void MembershipController::Private::checkSuspects(Time now)
{
    std::vector<Claim> deaths;
    const std::vector<MemberHash> suspects(view_.suspects().begin(), view_.suspects().end());
    for (MemberHash hash : suspects) {
        Peer &peer = *view_.find(hash);
        if (now >= peer.suspectDeadline_) {
            if (peer.ownSuspicion_) {
                deaths.push_back(Claim{hash, MemberState::Dead, peer.incarnation_});
            }
            view_.declareDead(hash);
        } else if (!peer.ownSuspicion_ && now >= peer.confirmAt_) {
            peer.confirmAt_ = peer.suspectDeadline_;
            peer.nonce_ = peer.nonce_ != 0 ? peer.nonce_ : hooks_.random_() | 1U;
            probe(hash, now);
        }
    }
    gossip(deaths, 0);
    for (const Claim &death : deaths) {
        sendClaims(death.subject_, {death});
    }
}

void MembershipController::Private::sendDigest(Time now)
{
    if (now < nextDigest_) {
        return;
    }
    nextDigest_ = now + digestInterval;
    ++digests_;
    nlohmann::json message = messageFromSelf(DatagramType::Digest);
    message.push_back(view_.digest());
    const std::vector<MemberHash> dead = digests_ % deadDigestShare == 0 ? view_.dead() : std::vector<MemberHash>();
    if (!dead.empty()) {
        sendTo(dead[hooks_.random_() % dead.size()], message);
        return;
    }
    for (MemberHash peer : randomMembers(1, view_.self())) {
        sendTo(peer, message);
    }
}

void MembershipController::Private::joinIfNeeded(Time now)
{
    if (now < nextJoin_) {
        return;
    }
    nextJoin_ = now + joinInterval;
    std::vector<std::string> addresses = seeds_;
    for (const std::pair<const NodeId, Member> &entry : section_.members_) {
        addresses.erase(std::remove(addresses.begin(), addresses.end(), entry.second.udpAddress_), addresses.end());
    }
    const bool isSeedUnknown = !addresses.empty();
    if (now >= lastContact_ + isolationLimit) {
        for (const std::pair<const NodeId, Member> &entry : section_.members_) {
            if (entry.first != section_.self_) {
                addresses.push_back(entry.second.udpAddress_);
            }
        }
    }
    // Two groups that formed around different seeds find each other by a seed that one of them doesn't know.
    const bool isDue = view_.ring().size() == 1 || now >= lastContact_ + isolationLimit || now >= nextSeedJoin_;
    if (!addresses.empty() && isDue) {
        nextSeedJoin_ = isSeedUnknown ? now + seedJoinInterval : now;
        join(addresses[hooks_.random_() % addresses.size()]);
    }
    for (const std::pair<const NodeId, std::string> &vm : unknownVms_) {
        if (view_.isNeighbourOf(stableHash(vm.first.value()))) {
            join(vm.second);
        }
    }
}

void MembershipController::Private::notify()
{
    if (view_.takeChanged() && hooks_.changed_) {
        hooks_.changed_();
    }
}

MembershipController::MembershipController(std::unique_ptr<Private> d)
    : d_(std::move(d))
{
}

MembershipController::~MembershipController() = default;

void MembershipController::onDatagram(const std::string &datagram)
{
    const std::optional<nlohmann::json> message = openDatagram(datagram, d_->keys_);
    if (!message) {
        return;
    }
    d_->lastContact_ = d_->hooks_.now_();
    MessageReader reader(*message);
    d_->dispatch(reader);
    d_->notify();
}

void MembershipController::onVmList(const std::vector<Member> &vms)
{
    std::set<internal::MemberHash> listed;
    d_->unknownVms_.clear();
    for (const Member &vm : vms) {
        const internal::MemberHash hash = stableHash(vm.id_.value());
        listed.insert(hash);
        const bool isLeaving = vm.state_ == MemberState::Leaving;
        if (vm.id_ == d_->section_.self_) {
            if (isLeaving) {
                announceLeaving();
            }
            continue;
        }
        const internal::Peer *peer = d_->view_.find(hash);
        if (peer == nullptr && !isLeaving) {
            d_->unknownVms_[vm.id_] = vm.udpAddress_;
        } else if (peer != nullptr && isLeaving && peer->state_ != MemberState::Dead) {
            d_->view_.apply(Claim{hash, MemberState::Leaving, peer->incarnation_}, ClaimSource::Gossip);
        }
    }
    for (internal::MemberHash hash : d_->view_.dead()) {
        if (listed.count(hash) == 0) {
            d_->view_.remove(hash);
        }
    }
    d_->notify();
}

void MembershipController::tick()
{
    const Time now = d_->hooks_.now_();
    if (d_->lastTick_ != Time(0) && now > d_->lastTick_ + pauseLimit) {
        d_->view_.resume(now - d_->lastTick_);
        d_->lastContact_ = now;
    }
    d_->lastTick_ = now;
    d_->sendHeartbeats(now);
    d_->watch(now);
    d_->checkSuspects(now);
    d_->sendDigest(now);
    d_->joinIfNeeded(now);
    d_->view_.tick();
    d_->notify();
}

void MembershipController::announceLeaving()
{
    const Claim own = d_->view_.ownClaim();
    if (own.state_ == MemberState::Leaving) {
        return;
    }
    d_->view_.setOwn(MemberState::Leaving, own.incarnation_);
    d_->gossip({d_->view_.ownClaim()}, 0);
    d_->nextHeartbeat_ = Time(0);
    d_->sendHeartbeats(d_->hooks_.now_());
    d_->notify();
}

void MembershipController::setKeys(const std::vector<std::string> &keys)
{
    d_->keys_ = keys;
}

MembershipController::Builder::Builder(Blackboard &blackboard, MembershipHooks hooks)
    : blackboard_(blackboard)
    , hooks_(std::move(hooks))
{
}

MembershipController::Builder &MembershipController::Builder::self(Member self)
{
    self_ = std::move(self);
    return *this;
}

MembershipController::Builder &MembershipController::Builder::seeds(std::vector<std::string> udpAddresses)
{
    seeds_ = std::move(udpAddresses);
    return *this;
}

MembershipController::Builder &MembershipController::Builder::keys(std::vector<std::string> keys)
{
    keys_ = std::move(keys);
    return *this;
}

std::unique_ptr<MembershipController> MembershipController::Builder::build()
{
    const Time now = hooks_.now_();
    if (self_.incarnation_ == 0) {
        // Seconds, so that a restarted node's incarnation is normally above that of its last life.
        const std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
        self_.incarnation_ = static_cast<std::uint64_t>(std::max<std::int64_t>(seconds, 1));
    }
    const MembershipSection &section = blackboard_.write<MembershipSection>();
    blackboard_.setDumper("membership", [&section] { return dumpMembership(section); });
    std::unique_ptr<Private> d = std::make_unique<Private>(blackboard_, hooks_, self_);
    d->seeds_ = seeds_;
    d->keys_ = keys_;
    d->lastContact_ = now;
    // Spreads the first digests, so that a fleet that starts at once doesn't send them all together.
    d->nextDigest_ = now + Duration(hooks_.random_() % static_cast<std::uint64_t>(digestInterval.count()));
    return std::unique_ptr<MembershipController>(new MembershipController(std::move(d)));
}

nlohmann::json dumpMembership(const MembershipSection &section)
{
    nlohmann::json members = nlohmann::json::array();
    for (const std::pair<const NodeId, Member> &entry : section.members_) {
        const Member &member = entry.second;
        members.push_back({{"id", member.id_.value()},
                           {"domain", member.domain_.value()},
                           {"state", nameOf(member.state_)},
                           {"incarnation", member.incarnation_},
                           {"config_offset", member.configOffset_},
                           {"http", member.httpAddress_}});
    }
    return {{"self", section.self_.value()},
            {"version", section.version_},
            {"mass_loss", section.massLoss_},
            {"members", members}};
}

} // namespace filbertgw
