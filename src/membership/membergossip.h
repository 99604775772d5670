#ifndef FILBERTGW_MEMBERSHIP_MEMBERGOSSIP_H
#define FILBERTGW_MEMBERSHIP_MEMBERGOSSIP_H

#include "membership/membermessenger.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace filbertgw::internal {

/**
 * \brief Applies claims and records of other members, disseminates new ones and refutes false ones about this node.
 *
 * The view, the messenger and the hooks must outlive it.
 */
class MemberGossip
{
public:
    MemberGossip(MemberView &view, MemberMessenger &messenger, const MembershipHooks &hooks);

    void onGossip(MessageReader &reader, MemberHash sender);
    /** \param forward whether to disseminate records that changed the view. */
    void onRecords(MessageReader &reader, MemberHash sender, bool forward);

    /** \brief Sends claims to a few random members and the ring successor, but not to `except`. */
    void disseminate(const std::vector<Claim> &claims, MemberHash except);
    /** \brief Sends a record to members that are chosen as for disseminate(). */
    void disseminateRecord(const nlohmann::json &record, MemberHash except);
    /** \brief Applies claims and requests missing records from the sender. \return the claims to forward. */
    std::vector<Claim> apply(const std::vector<Claim> &claims, ClaimSource source, MemberHash sender);
    /** \brief Handles evidence that a member is alive. */
    void onAlive(MemberHash hash, std::uint64_t incarnation);
    /**
     * \brief Requests a refutation from a live member if this node has it as suspected or dead.
     * \param isStale the member uses an incarnation lower than the known one, which it has to exceed.
     */
    void requestRefutation(MemberHash hash, bool isStale);

private:
    std::vector<MemberHash> gossipTargets(MemberHash except);
    void onClaimAboutSelf(const Claim &claim, MemberHash sender);

    MemberView &view_;
    MemberMessenger &messenger_;
    const MembershipHooks &hooks_;
};

} // namespace filbertgw::internal

#endif
