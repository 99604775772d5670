#include "membership/membergossip.h"

#include "membership/claimcodec.h"
#include "membership/memberrecord.h"
#include "membership/slotmap.h"

#include <algorithm>

namespace filbertgw::internal {

namespace {

constexpr std::size_t fanOut = 4;
constexpr Duration correctionInterval = std::chrono::milliseconds(300);

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
    if (view_.isTrusted(sender)) {
        spread(apply(claims, ClaimSource::Gossip, sender), sender);
        return;
    }
    // A member that was cut off blames everyone else. Only what it says of itself and of this node counts.
    for (const Claim &claim : claims) {
        if (claim.subject_ == view_.self()) {
            onClaimAboutSelf(claim, sender);
        } else if (claim.subject_ == sender && claim.state_ != MemberState::Dead) {
            spread(apply({claim}, ClaimSource::Gossip, sender), sender);
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
            spreadRecord(encodeMember(*record), sender);
        }
    }
}

void MemberGossip::spread(const std::vector<Claim> &claims, MemberHash except)
{
    if (claims.empty()) {
        return;
    }
    for (MemberHash peer : receivers(except)) {
        messenger_.sendClaims(peer, claims);
    }
}

void MemberGossip::spreadRecord(const nlohmann::json &record, MemberHash except)
{
    nlohmann::json message = messenger_.messageFromSelf(DatagramType::RecordGossip);
    message.push_back(record);
    for (MemberHash peer : receivers(except)) {
        messenger_.sendTo(peer, message);
    }
}

std::vector<MemberHash> MemberGossip::receivers(MemberHash except)
{
    // Random receivers alone miss 2% of the members. The ring successor makes a miss need two members that were missed.
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
    std::vector<Claim> news;
    nlohmann::json wanted = messenger_.messageFromSelf(DatagramType::Want);
    for (const Claim &claim : claims) {
        switch (view_.apply(claim, source)) {
        case ClaimEffect::News:
            news.push_back(claim);
            break;
        case ClaimEffect::Unknown:
            wanted.push_back(claim.subject_);
            break;
        case ClaimEffect::Doubt:
            messenger_.sendClaims(claim.subject_, {claim});
            break;
        case ClaimEffect::AboutSelf:
            onClaimAboutSelf(claim, sender);
            break;
        case ClaimEffect::None:
            break;
        }
    }
    if (wanted.size() > 2) {
        messenger_.sendTo(sender, wanted);
    }
    return news;
}

void MemberGossip::onClaimAboutSelf(const Claim &claim, MemberHash sender)
{
    const Claim own = view_.ownClaim();
    const bool isFalse = claim.state_ == MemberState::Suspected || claim.state_ == MemberState::Dead;
    if (claim.incarnation_ < own.incarnation_) {
        if (isFalse) {
            messenger_.sendClaims(sender, {own});
        }
        return;
    }
    if (claim.state_ == MemberState::Leaving && own.state_ != MemberState::Leaving) {
        // The platform's list says that this VM is going.
        view_.setOwn(MemberState::Leaving, claim.incarnation_);
        spread({view_.ownClaim()}, 0);
        return;
    }
    if (isFalse || claim.incarnation_ > own.incarnation_) {
        view_.setOwn(own.state_, claim.incarnation_ + 1);
        spread({view_.ownClaim()}, sender);
        messenger_.sendClaims(sender, {view_.ownClaim()});
    }
}

void MemberGossip::onAlive(MemberHash hash, std::uint64_t incarnation)
{
    view_.heard(hash);
    correct(hash, incarnation < view_.find(hash)->incarnation_);
}

void MemberGossip::correct(MemberHash hash, bool isStale)
{
    // A member that lives but is suspected or dead here, or is known by a later life, has to refute that for all.
    Peer &peer = *view_.find(hash);
    const Time now = hooks_.now_();
    const bool isDoubted = peer.state_ == MemberState::Dead || peer.state_ == MemberState::Suspected;
    if ((isDoubted || isStale) && now >= peer.lastCorrection_ + correctionInterval) {
        peer.lastCorrection_ = now;
        messenger_.sendClaims(hash, {Claim{hash, isDoubted ? peer.state_ : MemberState::Suspected, peer.incarnation_}});
    }
}

} // namespace filbertgw::internal
