#include "membership/membergossip.h"

#include "membership/claimcodec.h"
#include "membership/memberrecord.h"
#include "membership/slotmap.h"

#include <algorithm>

namespace filbertgw::internal {

namespace {

constexpr std::size_t fanOut = 4;
constexpr Duration refutationRequestInterval = std::chrono::milliseconds(300);

} // namespace

MemberGossip::MemberGossip(MemberView &view, MemberMessenger &messenger, const MembershipHooks &hooks)
    : view_(view)
    , messenger_(messenger)
    , hooks_(hooks)
{
}

void MemberGossip::onGossip(MessageReader &reader, MemberHash sender)
{
    const std::vector<Claim> claims = readClaims(reader);
    if (view_.isLive(sender)) {
        disseminate(apply(claims, ClaimSource::Gossip, sender), sender);
        return;
    }
    // A sender that is unknown or was declared dead may have been partitioned, and then it claims that all others are
    // dead. Only its claims about itself and about this node are considered.
    for (const Claim &claim : claims) {
        if (claim.subject_ == view_.self()) {
            onClaimAboutSelf(claim, sender);
        } else if (claim.subject_ == sender && claim.state_ != MemberState::Dead) {
            disseminate(apply({claim}, ClaimSource::Gossip, sender), sender);
        }
    }
}

void MemberGossip::onRecords(MessageReader &reader, MemberHash sender, bool forward)
{
    while (!reader.atEnd()) {
        const std::optional<Member> record = decodeMember(reader.array());
        if (!record) {
            return;
        }
        const MemberHash hash = rendezvousHash(record->id_.value());
        if (hash == view_.self()) {
            onClaimAboutSelf(Claim{hash, record->state_, record->incarnation_}, sender);
        } else if (view_.applyRecord(*record) && forward) {
            disseminateRecord(encodeMember(*record), sender);
        }
    }
}

void MemberGossip::disseminate(const std::vector<Claim> &claims, MemberHash except)
{
    if (claims.empty()) {
        return;
    }
    for (MemberHash peer : gossipTargets(except)) {
        messenger_.sendClaims(peer, claims);
    }
}

void MemberGossip::disseminateRecord(const nlohmann::json &record, MemberHash except)
{
    nlohmann::json message = messenger_.messageFromSelf(DatagramType::RecordGossip);
    message.push_back(record);
    for (MemberHash peer : gossipTargets(except)) {
        messenger_.sendTo(peer, message);
    }
}

std::vector<MemberHash> MemberGossip::gossipTargets(MemberHash except)
{
    // Random targets alone miss 2% of the members. With the ring successor as a further target, a member is missed only
    // if its predecessor is missed, too.
    std::vector<MemberHash> chosen = messenger_.randomMembers(fanOut, except);
    const std::vector<MemberHash> &successors = view_.monitors();
    if (!successors.empty() && successors.front() != except
        && std::find(chosen.begin(), chosen.end(), successors.front()) == chosen.end()) {
        chosen.push_back(successors.front());
    }
    return chosen;
}

std::vector<Claim> MemberGossip::apply(const std::vector<Claim> &claims, ClaimSource source, MemberHash sender)
{
    std::vector<Claim> applied;
    nlohmann::json recordRequest = messenger_.messageFromSelf(DatagramType::RecordRequest);
    for (const Claim &claim : claims) {
        switch (view_.apply(claim, source)) {
        case ClaimEffect::Applied:
            applied.push_back(claim);
            break;
        case ClaimEffect::UnknownMember:
            recordRequest.push_back(claim.subject_);
            break;
        case ClaimEffect::UnconfirmedDeath:
            messenger_.sendClaims(claim.subject_, {claim});
            break;
        case ClaimEffect::AboutSelf:
            onClaimAboutSelf(claim, sender);
            break;
        case ClaimEffect::None:
            break;
        }
    }
    if (recordRequest.size() > 2) {
        messenger_.sendTo(sender, recordRequest);
    }
    return applied;
}

void MemberGossip::onClaimAboutSelf(const Claim &claim, MemberHash sender)
{
    const Claim own = view_.selfClaim();
    const bool isFalse = claim.state_ == MemberState::Suspected || claim.state_ == MemberState::Dead;
    if (claim.incarnation_ < own.incarnation_) {
        if (isFalse) {
            messenger_.sendClaims(sender, {own});
        }
        return;
    }
    if (claim.state_ == MemberState::Leaving && own.state_ != MemberState::Leaving) {
        // The platform lists this VM as leaving.
        view_.setSelfState(MemberState::Leaving, claim.incarnation_);
        disseminate({view_.selfClaim()}, 0);
        return;
    }
    if (isFalse || claim.incarnation_ > own.incarnation_) {
        view_.setSelfState(own.state_, claim.incarnation_ + 1);
        disseminate({view_.selfClaim()}, sender);
        messenger_.sendClaims(sender, {view_.selfClaim()});
    }
}

void MemberGossip::onAlive(MemberHash hash, std::uint64_t incarnation)
{
    view_.recordContact(hash);
    requestRefutation(hash, incarnation < view_.find(hash)->incarnation_);
}

void MemberGossip::requestRefutation(MemberHash hash, bool isStale)
{
    // A live member that this node has as suspected or dead, or knows by a higher incarnation, has to announce a new
    // incarnation to all members.
    Peer &peer = *view_.find(hash);
    const Time now = hooks_.now_();
    const bool isSuspectedOrDead = peer.state_ == MemberState::Dead || peer.state_ == MemberState::Suspected;
    if ((isSuspectedOrDead || isStale) && now >= peer.lastRefutationRequest_ + refutationRequestInterval) {
        peer.lastRefutationRequest_ = now;
        messenger_.sendClaims(
            hash, {Claim{hash, isSuspectedOrDead ? peer.state_ : MemberState::Suspected, peer.incarnation_}});
    }
}

} // namespace filbertgw::internal
