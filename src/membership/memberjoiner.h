#ifndef FILBERTGW_MEMBERSHIP_MEMBERJOINER_H
#define FILBERTGW_MEMBERSHIP_MEMBERJOINER_H

#include "membership/digestexchange.h"

#include <map>
#include <string>
#include <vector>

namespace filbertgw::internal {

/**
 * \brief Joins the fleet through seeds and the VM list, and handles join requests of other nodes.
 *
 * The section, the view, the messenger, the gossip, the exchange and the hooks must outlive it.
 */
class MemberJoiner
{
public:
    MemberJoiner(const MembershipSection &section,
                 MemberView &view,
                 MemberMessenger &messenger,
                 MemberGossip &gossip,
                 DigestExchange &exchange,
                 const MembershipHooks &hooks);

    void setSeeds(std::vector<std::string> udpAddresses);
    /** \brief Sets the listed VMs that are not members, with their UDP addresses. Replaces the previous ones. */
    void setUnknownVms(std::map<NodeId, std::string> vms);
    /** \brief Records that an authentic datagram of any node was received. */
    void onContact(Time now);
    /** \brief Sends join requests that are due. */
    void tick(Time now);

    void onJoin(MessageReader &reader);

private:
    void joinByAddress(Time now);
    /** \brief Addresses of the seeds that are not members. */
    std::vector<std::string> unknownSeeds() const;

    const MembershipSection &section_;
    MemberView &view_;
    MemberMessenger &messenger_;
    MemberGossip &gossip_;
    DigestExchange &exchange_;
    const MembershipHooks &hooks_;
    std::vector<std::string> seeds_;
    std::map<NodeId, std::string> unknownVms_;
    Time nextJoin_{0};
    Time nextSeedJoin_{0};
    Time lastContact_{0};
};

} // namespace filbertgw::internal

#endif
