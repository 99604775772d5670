#ifndef FILBERTGW_MEMBERSHIP_DIGESTEXCHANGE_H
#define FILBERTGW_MEMBERSHIP_DIGESTEXCHANGE_H

#include "membership/membergossip.h"

#include <cstdint>

namespace filbertgw::internal {

/**
 * \brief Anti-entropy: compares the view with that of a random member by hashes and exchanges the differences.
 *
 * The sender's digest covers all members. If it differs, the receiver replies with the hashes of its buckets, and both
 * sides send the claims of the buckets that differ.
 * The view, the messenger, the gossip and the hooks must outlive it.
 */
class DigestExchange
{
public:
    DigestExchange(MemberView &view, MemberMessenger &messenger, MemberGossip &gossip, const MembershipHooks &hooks);

    /** \brief Schedules the first digest at a random time, to spread the traffic of nodes that start together. */
    void start(Time now);
    /** \brief Sends a digest if one is due. */
    void tick(Time now);
    /** \brief Moves the next digest forward because the views may differ. */
    void scheduleSoon();
    void sendDigest(MemberHash peer);

    void onDigest(MessageReader &reader, MemberHash sender);
    void onBuckets(MessageReader &reader, MemberHash sender);
    void onEntries(MessageReader &reader, MemberHash sender);
    void onRecordRequest(MessageReader &reader, MemberHash sender);

private:
    void sendEntries(MemberHash peer, std::uint64_t mask, bool wantsReply);

    MemberView &view_;
    MemberMessenger &messenger_;
    MemberGossip &gossip_;
    const MembershipHooks &hooks_;
    Time nextDigest_{0};
    std::uint64_t digestsSent_ = 0;
};

} // namespace filbertgw::internal

#endif
