#ifndef FILBERTGW_MEMBERSHIP_MEMBERSHIPCONTROLLER_H
#define FILBERTGW_MEMBERSHIP_MEMBERSHIPCONTROLLER_H

#include "blackboard/blackboard.h"
#include "core/time.h"
#include "membership/membershipsection.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Dependencies and callbacks of a MembershipController. */
struct MembershipHooks
{
    Clock now_;
    RandomSource random_;
    std::function<void(const std::string &udpAddress, const std::string &datagram)> send_;
    std::function<void()> changed_; ///< Called after the section has changed; may be empty.
    std::function<std::uint64_t()> configOffset_; ///< Configuration offset of this node, sent in heartbeats.
    /** \brief Called with the configuration offset in a member's heartbeat; may be empty. */
    std::function<void(const NodeId &member, std::uint64_t offset)> peerOffset_;
};

/**
 * \brief Maintains the list of entry nodes with heartbeats to a few monitors, gossip and the platform's VM list.
 *
 * The traffic of a node doesn't depend on the number of members. Writes MembershipSection. The state of this node there
 * also becomes Leaving when the VM list has it as leaving; the node then drains.
 */
class MembershipController
{
public:
    class Builder;

    ~MembershipController();

    void onDatagram(const std::string &datagram);
    /**
     * \brief Handles the platform's list of entry VMs, which may be out of date.
     *
     * The future ring neighbours of an unknown VM contact it and add it when it replies. A member that is listed as
     * leaving is marked as leaving. A dead member that is no longer listed is removed.
     */
    void onVmList(const std::vector<Member> &vms);
    /** \brief Sends heartbeats, probes and gossip that are due. Call at least every 100 ms. */
    void tick();
    /** \brief Announces to the other members that this node is leaving. */
    void announceLeaving();
    /** \brief Replaces the shared keys: the first one signs, all are accepted. */
    void setKeys(const std::vector<std::string> &keys);

private:
    struct Private;
    explicit MembershipController(std::unique_ptr<Private> d);
    std::unique_ptr<Private> d_;
};

/** \brief Builds a MembershipController; the Blackboard must outlive it. */
class MembershipController::Builder
{
public:
    Builder(Blackboard &blackboard, MembershipHooks hooks);
    /** \brief This node: id, failure domain and its three addresses. Required. */
    Builder &self(Member self);
    /** \brief UDP addresses of a few nodes to send join requests to. */
    Builder &seeds(std::vector<std::string> udpAddresses);
    /** \brief Shared keys: the first one signs, all are accepted. Required. */
    Builder &keys(std::vector<std::string> keys);
    std::unique_ptr<MembershipController> build();

private:
    Blackboard &blackboard_;
    MembershipHooks hooks_;
    Member self_;
    std::vector<std::string> seeds_;
    std::vector<std::string> keys_;
};

/** \brief Returns the section as JSON for the `state` command. */
nlohmann::json dumpMembership(const MembershipSection &section);

} // namespace filbertgw

#endif
