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

/** \brief What a MembershipController needs from outside. */
struct MembershipHooks
{
    Clock now_;
    RandomSource random_;
    std::function<void(const std::string &udpAddress, const std::string &datagram)> send_;
    std::function<void()> changed_; ///< The section has changed.
    std::function<std::uint64_t()> configOffset_; ///< This node's configuration offset, carried by heartbeats.
    /** \brief A member's heartbeat carried this configuration offset; may be empty. */
    std::function<void(const NodeId &member, std::uint64_t offset)> peerOffset_;
};

/**
 * \brief Keeps the list of entry nodes by heartbeats to a few monitors, gossip and the VM list.
 *
 * Traffic of a node doesn't depend on the number of members. Writes MembershipSection. This node's own state there
 * becomes Leaving also when the platform's list says so; the node then drains.
 */
class MembershipController
{
public:
    class Builder;

    ~MembershipController();

    void onDatagram(const std::string &datagram);
    /**
     * \brief Entry VMs by the platform's list; late.
     *
     * An unknown VM is contacted by its future ring neighbours and added when it answers. A VM that the list has as
     * leaving is leaving. A dead member that is off the list is removed.
     */
    void onVmList(const std::vector<Member> &vms);
    /** \brief Sends heartbeats, probes and gossip that are due. Call at least every 100 ms. */
    void tick();
    /** \brief Tells the others that this node is leaving. */
    void announceLeaving();
    /** \brief Rotates keys: the first signs, all are accepted. */
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
    /** \brief UDP addresses of a few members, to join by. */
    Builder &seeds(std::vector<std::string> udpAddresses);
    /** \brief Shared keys: the first signs, all are accepted. Required. */
    Builder &keys(std::vector<std::string> keys);
    std::unique_ptr<MembershipController> build();

private:
    Blackboard &blackboard_;
    MembershipHooks hooks_;
    Member self_;
    std::vector<std::string> seeds_;
    std::vector<std::string> keys_;
};

/** \brief The section as JSON for `state`. */
nlohmann::json dumpMembership(const MembershipSection &section);

} // namespace filbertgw

#endif
