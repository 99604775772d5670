#include "membership/membermessenger.h"

#include "membership/claimcodec.h"
#include "membership/memberrecord.h"

#include <algorithm>

namespace filbertgw::internal {

nlohmann::json messageOf(DatagramType type)
{
    return nlohmann::json::array({static_cast<std::uint64_t>(type)});
}

MemberMessenger::MemberMessenger(MemberView &view, const MembershipHooks &hooks)
    : view_(view)
    , hooks_(hooks)
{
}

void MemberMessenger::setKeys(std::vector<std::string> keys)
{
    keys_ = std::move(keys);
}

nlohmann::json MemberMessenger::messageFromSelf(DatagramType type) const
{
    return nlohmann::json::array({static_cast<std::uint64_t>(type), view_.self()});
}

void MemberMessenger::send(const std::string &address, const nlohmann::json &message)
{
    if (keys_.empty() || address.empty()) {
        return;
    }
    const std::string datagram = sealDatagram(message, keys_.front());
    if (datagram.size() <= maxDatagramBytes) {
        hooks_.send_(address, datagram);
    }
}

void MemberMessenger::sendTo(MemberHash peer, const nlohmann::json &message)
{
    const Peer *found = view_.find(peer);
    if (found != nullptr) {
        send(view_.memberOf(*found).udpAddress_, message);
    }
}

void MemberMessenger::sendClaims(MemberHash peer, const std::vector<Claim> &claims)
{
    for (std::size_t begin = 0; begin < claims.size(); begin += maxClaimsPerDatagram) {
        nlohmann::json message = messageFromSelf(DatagramType::Gossip);
        const std::size_t end = std::min(claims.size(), begin + maxClaimsPerDatagram);
        for (std::size_t i = begin; i < end; ++i) {
            appendClaim(message, claims[i]);
        }
        sendTo(peer, message);
    }
}

void MemberMessenger::sendRecords(const std::string &address, const std::vector<MemberHash> &subjects)
{
    nlohmann::json message = messageFromSelf(DatagramType::Records);
    std::size_t bytes = 0;
    for (MemberHash subject : subjects) {
        if (subject != view_.self() && view_.find(subject) == nullptr) {
            continue;
        }
        const nlohmann::json record = encodeMember(view_.recordOf(subject));
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

void MemberMessenger::sendJoin(const std::string &address)
{
    nlohmann::json request = messageOf(DatagramType::Join);
    request.push_back(encodeMember(view_.recordOf(view_.self())));
    send(address, request);
}

std::vector<MemberHash> MemberMessenger::randomMembers(std::size_t count, MemberHash except)
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

std::uint64_t MemberMessenger::newNonce()
{
    return hooks_.random_() | 1U;
}

} // namespace filbertgw::internal
