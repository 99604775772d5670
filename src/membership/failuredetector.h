#ifndef FILBERTGW_MEMBERSHIP_FAILUREDETECTOR_H
#define FILBERTGW_MEMBERSHIP_FAILUREDETECTOR_H

#include "membership/digestexchange.h"

#include <cstdint>
#include <map>

namespace filbertgw::internal {

/**
 * \brief Sends heartbeats to this node's monitors and detects the failure of the members that this node monitors.
 *
 * A member without heartbeats is probed directly and through another member, then suspected, then declared dead.
 * The view, the messenger, the gossip, the exchange and the hooks must outlive it.
 */
class FailureDetector
{
public:
    FailureDetector(MemberView &view,
                    MemberMessenger &messenger,
                    MemberGossip &gossip,
                    DigestExchange &exchange,
                    const MembershipHooks &hooks);

    /** \brief Sends heartbeats and probes that are due, and declares suspects dead. */
    void tick(Time now);
    /** \brief Sends a heartbeat at once, even if none is due. */
    void sendHeartbeatNow();

    void onHeartbeat(MessageReader &reader, MemberHash sender);
    void onProbe(MessageReader &reader, MemberHash sender);
    void onAck(MessageReader &reader, MemberHash subject);
    void onProbeRequest(MessageReader &reader, MemberHash sender);

private:
    /** \brief A probe that this node sent on behalf of another member. */
    struct Relay
    {
        MemberHash requester_ = 0;
        std::uint64_t nonce_ = 0; ///< Nonce of the requester.
    };

    void sendHeartbeats(Time now);
    void checkMonitored(Time now);
    void probe(MemberHash hash, Time now);
    void checkSuspects(Time now);
    void relayAck(const Relay &relay, MemberHash subject, std::uint64_t incarnation);

    MemberView &view_;
    MemberMessenger &messenger_;
    MemberGossip &gossip_;
    DigestExchange &exchange_;
    const MembershipHooks &hooks_;
    std::map<std::uint64_t, Relay> relays_; ///< Keyed by the nonce of this node's probe.
    std::uint64_t sequence_ = 0;
    Time nextHeartbeat_{0};
};

} // namespace filbertgw::internal

#endif
