#ifndef FILBERTGW_MEMBERSHIP_MEMBERMESSENGER_H
#define FILBERTGW_MEMBERSHIP_MEMBERMESSENGER_H

#include "membership/datagram.h"
#include "membership/membershipcontroller.h"
#include "membership/memberview.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace filbertgw::internal {

/** \brief Returns a message that consists of its type only. */
nlohmann::json messageOf(DatagramType type);

/** \brief Signs messages and sends them to members. The view and the hooks must outlive it. */
class MemberMessenger
{
public:
    MemberMessenger(MemberView &view, const MembershipHooks &hooks);

    /** \brief Sets the keys; the first one signs datagrams. Without keys nothing is sent. */
    void setKeys(std::vector<std::string> keys);
    const std::vector<std::string> &keys() const
    {
        return keys_;
    }

    /** \brief Returns a message that consists of its type and this node as sender. */
    nlohmann::json messageFromSelf(DatagramType type) const;
    /** \brief Sends a message to a UDP address, or drops it if its datagram exceeds maxDatagramBytes. */
    void send(const std::string &address, const nlohmann::json &message);
    void sendTo(MemberHash peer, const nlohmann::json &message);
    /** \brief Sends claims, split into several Gossip datagrams if necessary. */
    void sendClaims(MemberHash peer, const std::vector<Claim> &claims);
    /** \brief Sends the records of known members, split into several datagrams if necessary. */
    void sendRecords(const std::string &address, const std::vector<MemberHash> &subjects);
    /** \brief Sends a join request for this node; the receiver need not be a member. */
    void sendJoin(const std::string &address);

    /** \brief Chooses up to `count` distinct live members other than this node and `except`. */
    std::vector<MemberHash> randomMembers(std::size_t count, MemberHash except);
    /** \brief Returns a random nonce that is not 0. */
    std::uint64_t newNonce();

private:
    MemberView &view_;
    const MembershipHooks &hooks_;
    std::vector<std::string> keys_;
};

} // namespace filbertgw::internal

#endif
