#include "membership/memberjoiner.h"

#include "membership/memberrecord.h"
#include "membership/slotmap.h"

#include <algorithm>

namespace filbertgw::internal {

namespace {

constexpr Duration joinInterval = std::chrono::seconds(1);
/** \brief Interval of join requests to seeds that are not members; their VMs may have been removed for good. */
constexpr Duration seedJoinInterval = std::chrono::seconds(5);
/** \brief A node that receives no datagram for this long joins again. */
constexpr Duration isolationTimeout = std::chrono::seconds(4);

} // namespace

MemberJoiner::MemberJoiner(const MembershipSection &section,
                           MemberView &view,
                           MemberMessenger &messenger,
                           MemberGossip &gossip,
                           DigestExchange &exchange,
                           const MembershipHooks &hooks)
    : section_(section)
    , view_(view)
    , messenger_(messenger)
    , gossip_(gossip)
    , exchange_(exchange)
    , hooks_(hooks)
{
}

void MemberJoiner::setSeeds(std::vector<std::string> udpAddresses)
{
    seeds_ = std::move(udpAddresses);
}

void MemberJoiner::setUnknownVms(std::map<NodeId, std::string> vms)
{
    unknownVms_ = std::move(vms);
}

void MemberJoiner::onContact(Time now)
{
    lastContact_ = now;
}

void MemberJoiner::tick(Time now)
{
    if (now < nextJoin_) {
        return;
    }
    nextJoin_ = now + joinInterval;
    joinByAddress(now);
    for (const std::pair<const NodeId, std::string> &vm : unknownVms_) {
        if (view_.isRingNeighbourOf(rendezvousHash(vm.first.value()))) {
            messenger_.sendJoin(vm.second);
        }
    }
}

void MemberJoiner::joinByAddress(Time now)
{
    std::vector<std::string> addresses = unknownSeeds();
    const bool isSeedUnknown = !addresses.empty();
    const bool isIsolated = now >= lastContact_ + isolationTimeout;
    if (isIsolated) {
        for (const std::pair<const NodeId, Member> &entry : section_.members_) {
            if (entry.first != section_.self_) {
                addresses.push_back(entry.second.udpAddress_);
            }
        }
    }
    // Groups that formed around different seeds merge through a seed that is not a member of one of them.
    const bool isDue = view_.ring().size() == 1 || isIsolated || now >= nextSeedJoin_;
    if (!addresses.empty() && isDue) {
        nextSeedJoin_ = isSeedUnknown ? now + seedJoinInterval : now;
        messenger_.sendJoin(addresses[hooks_.random_() % addresses.size()]);
    }
}

std::vector<std::string> MemberJoiner::unknownSeeds() const
{
    std::vector<std::string> addresses = seeds_;
    for (const std::pair<const NodeId, Member> &entry : section_.members_) {
        addresses.erase(std::remove(addresses.begin(), addresses.end(), entry.second.udpAddress_), addresses.end());
    }
    return addresses;
}

void MemberJoiner::onJoin(MessageReader &reader)
{
    const std::optional<Member> record = decodeMember(reader.array());
    if (!record || record->id_ == section_.self_) {
        return;
    }
    const MemberHash hash = rendezvousHash(record->id_.value());
    const bool isNew = view_.applyRecord(*record);
    if (isNew) {
        gossip_.disseminateRecord(encodeMember(*record), hash);
    }
    if (view_.find(hash) == nullptr) {
        return;
    }
    gossip_.requestRefutation(hash, false);
    if (isNew) {
        messenger_.sendRecords(record->udpAddress_, view_.ring());
        return;
    }
    // The request is repeated: the digest leads to an exchange of claims only if the views differ.
    exchange_.sendDigest(hash);
    messenger_.sendRecords(record->udpAddress_, {view_.self()});
}

} // namespace filbertgw::internal
