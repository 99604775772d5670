#ifndef FILBERTGW_MEMBERSHIP_MEMBERSHIPCONTROLLER_H
#define FILBERTGW_MEMBERSHIP_MEMBERSHIPCONTROLLER_H

#include "blackboard/blackboard.h"
#include "core/time.h"
#include "membership/membershipsection.h"

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
};

/**
 * \brief Keeps the list of entry nodes by heartbeats to a few monitors, rumours and the VM list.
 *
 * Traffic of a node doesn't depend on the number of members. Writes MembershipSection.
 */
class MembershipController
{
public:
    class Builder;

    ~MembershipController();

    void onDatagram(const std::string &datagram);
    /** \brief Entry VMs by the platform's list; late. */
    void onVmList(const std::vector<Member> &vms);
    /** \brief Heartbeats, probes and rumours that are due. Call at least every 100 ms. */
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

} // namespace filbertgw

#endif
