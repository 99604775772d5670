#ifndef FILBERTGW_MEMBERSHIP_DIGESTEXCHANGE_H
#define FILBERTGW_MEMBERSHIP_DIGESTEXCHANGE_H

#include "membership/membergossip.h"

#include <cstdint>

namespace filbertgw::internal {

/**
 * \brief Anti-entropy: finds by hashes what this node and a random member know differently, and exchanges it.
 *
 * Digest, then the hashes of all buckets if it differs, then the claims of the buckets that differ, in both directions.
 * The view, the messenger, the gossip and the hooks must outlive it.
 */
class DigestExchange
{
public:
    DigestExchange(MemberView &view, MemberMessenger &messenger, MemberGossip &gossip, const MembershipHooks &hooks);

    /** \brief Sets the first digest to a random time, so that a fleet that starts at once doesn't send all together. */
    void start(Time now);
    /** \brief Sends a digest if one is due. */
    void tick(Time now);
    /** \brief Brings the next digest forward, because the views may differ. */
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
