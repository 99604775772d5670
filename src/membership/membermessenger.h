#ifndef FILBERTGW_MEMBERSHIP_MEMBERMESSENGER_H
#define FILBERTGW_MEMBERSHIP_MEMBERMESSENGER_H

#include "membership/datagram.h"
#include "membership/membershipcontroller.h"
#include "membership/memberview.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace filbertgw::internal {

/** \brief A message that has its type and no other elements yet. */
nlohmann::json messageOf(DatagramType type);

/** \brief Signs messages and sends them to members. The view and the hooks must outlive it. */
class MemberMessenger
{
public:
    MemberMessenger(MemberView &view, const MembershipHooks &hooks);

    /** \brief The first key signs what is sent. Without keys nothing is sent. */
    void setKeys(std::vector<std::string> keys);
    const std::vector<std::string> &keys() const
    {
        return keys_;
    }

    /** \brief A message with its type and this node as sender. */
    nlohmann::json messageFromSelf(DatagramType type) const;
    /** \brief Sends to a UDP address. A message above maxDatagramBytes is dropped. */
    void send(const std::string &address, const nlohmann::json &message);
    void sendTo(MemberHash peer, const nlohmann::json &message);
    /** \brief Sends claims in as many gossip datagrams as they need. */
    void sendClaims(MemberHash peer, const std::vector<Claim> &claims);
    /** \brief Sends the records of known members in as many datagrams as they need. */
    void sendRecords(const std::string &address, const std::vector<MemberHash> &subjects);
    /** \brief Asks a node, which need not be a member, to add this node. */
    void sendJoin(const std::string &address);

    /** \brief Up to `count` different live members other than this node and `except`. */
    std::vector<MemberHash> randomMembers(std::size_t count, MemberHash except);
    /** \brief A random nonce that is not 0. */
    std::uint64_t newNonce();

private:
    MemberView &view_;
    const MembershipHooks &hooks_;
    std::vector<std::string> keys_;
};

} // namespace filbertgw::internal

#endif
