#include "membership/membershipcontroller.h"

#include "membership/datagram.h"
#include "membership/digestexchange.h"
#include "membership/failuredetector.h"
#include "membership/membergossip.h"
#include "membership/memberjoiner.h"
#include "membership/membermessenger.h"
#include "membership/memberview.h"
#include "membership/slotmap.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace filbertgw {

using internal::Claim;
using internal::ClaimSource;
using internal::MemberHash;
using internal::MemberView;
using internal::Peer;

namespace {

/** \brief A longer gap between two ticks means that this process was paused, so missed heartbeats prove no failure. */
constexpr Duration maxTickGap = std::chrono::seconds(1);

} // namespace

struct MembershipController::Private
{
    Private(Blackboard &blackboard, MembershipHooks hooks, Member self)
        : section_(blackboard.write<MembershipSection>())
        , hooks_(std::move(hooks))
        , view_(section_, std::move(self), hooks_.now_)
        , messenger_(view_, hooks_)
        , gossip_(view_, messenger_, hooks_)
        , exchange_(view_, messenger_, gossip_, hooks_)
        , detector_(view_, messenger_, gossip_, exchange_, hooks_)
        , joiner_(section_, view_, messenger_, gossip_, exchange_, hooks_)
    {
    }

    void dispatch(MessageReader &reader);
    /** \brief Handles a listed VM other than this node; adds it to `unknown` if it is neither a member nor leaving. */
    void handleListedVm(const Member &vm, std::map<NodeId, std::string> &unknown);
    void removeUnlistedDead(const std::set<MemberHash> &listed);
    void notify();

    MembershipSection &section_;
    MembershipHooks hooks_;
    MemberView view_;
    internal::MemberMessenger messenger_;
    internal::MemberGossip gossip_;
    internal::DigestExchange exchange_;
    internal::FailureDetector detector_;
    internal::MemberJoiner joiner_;
    Time lastTick_{0};
};

void MembershipController::Private::dispatch(MessageReader &reader)
{
    if (reader.type() == DatagramType::Join) {
        joiner_.onJoin(reader);
        return;
    }
    const MemberHash sender = reader.number();
    if (!reader.isValid() || sender == view_.self()) {
        return;
    }
    switch (reader.type()) {
    case DatagramType::Heartbeat:
        detector_.onHeartbeat(reader, sender);
        break;
    case DatagramType::Probe:
        detector_.onProbe(reader, sender);
        break;
    case DatagramType::Ack:
        detector_.onAck(reader, sender);
        break;
    case DatagramType::ProbeRequest:
        detector_.onProbeRequest(reader, sender);
        break;
    case DatagramType::Gossip:
        gossip_.onGossip(reader, sender);
        break;
    case DatagramType::RecordGossip:
        gossip_.onRecords(reader, sender, true);
        break;
    case DatagramType::Records:
        gossip_.onRecords(reader, sender, false);
        break;
    case DatagramType::Digest:
        exchange_.onDigest(reader, sender);
        break;
    case DatagramType::Buckets:
        exchange_.onBuckets(reader, sender);
        break;
    case DatagramType::Entries:
        exchange_.onEntries(reader, sender);
        break;
    case DatagramType::RecordRequest:
        exchange_.onRecordRequest(reader, sender);
        break;
    case DatagramType::Join:
        break;
    }
}

void MembershipController::Private::handleListedVm(const Member &vm, std::map<NodeId, std::string> &unknown)
{
    const MemberHash hash = rendezvousHash(vm.id_.value());
    const bool isLeaving = vm.state_ == MemberState::Leaving;
    const Peer *peer = view_.find(hash);
    if (peer == nullptr && !isLeaving) {
        unknown[vm.id_] = vm.udpAddress_;
    } else if (peer != nullptr && isLeaving && peer->state_ != MemberState::Dead) {
        view_.apply(Claim{hash, MemberState::Leaving, peer->incarnation_}, ClaimSource::Gossip);
    }
}

void MembershipController::Private::removeUnlistedDead(const std::set<MemberHash> &listed)
{
    for (MemberHash hash : view_.dead()) {
        if (listed.count(hash) == 0) {
            view_.remove(hash);
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
    const std::optional<nlohmann::json> message = openDatagram(datagram, d_->messenger_.keys());
    if (!message) {
        return;
    }
    d_->joiner_.onContact(d_->hooks_.now_());
    MessageReader reader(*message);
    d_->dispatch(reader);
    d_->notify();
}

void MembershipController::onVmList(const std::vector<Member> &vms)
{
    std::set<MemberHash> listed;
    std::map<NodeId, std::string> unknown;
    for (const Member &vm : vms) {
        listed.insert(rendezvousHash(vm.id_.value()));
        const bool isLeaving = vm.state_ == MemberState::Leaving;
        if (vm.id_ != d_->section_.self_) {
            d_->handleListedVm(vm, unknown);
        } else if (isLeaving) {
            announceLeaving();
        }
    }
    d_->joiner_.setUnknownVms(std::move(unknown));
    d_->removeUnlistedDead(listed);
    d_->notify();
}

void MembershipController::tick()
{
    const Time now = d_->hooks_.now_();
    if (d_->lastTick_ != Time(0) && now > d_->lastTick_ + maxTickGap) {
        d_->view_.resume(now - d_->lastTick_);
        d_->joiner_.onContact(now);
    }
    d_->lastTick_ = now;
    d_->detector_.tick(now);
    d_->exchange_.tick(now);
    d_->joiner_.tick(now);
    d_->view_.tick();
    d_->notify();
}

void MembershipController::announceLeaving()
{
    const Claim own = d_->view_.selfClaim();
    if (own.state_ == MemberState::Leaving) {
        return;
    }
    d_->view_.setSelfState(MemberState::Leaving, own.incarnation_);
    d_->gossip_.disseminate({d_->view_.selfClaim()}, 0);
    d_->detector_.sendHeartbeatNow();
    d_->notify();
}

void MembershipController::setKeys(const std::vector<std::string> &keys)
{
    d_->messenger_.setKeys(keys);
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
        // The time in seconds, so that the incarnation normally exceeds that of the previous process of this node.
        const std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
        self_.incarnation_ = static_cast<std::uint64_t>(std::max<std::int64_t>(seconds, 1));
    }
    const MembershipSection &section = blackboard_.write<MembershipSection>();
    blackboard_.setDumper("membership", [&section] { return dumpMembership(section); });
    std::unique_ptr<Private> d = std::make_unique<Private>(blackboard_, hooks_, self_);
    d->messenger_.setKeys(keys_);
    d->joiner_.setSeeds(seeds_);
    d->joiner_.onContact(now);
    d->exchange_.start(now);
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
