#ifndef FILBERTGW_MEMBERSHIP_MEMBERGOSSIP_H
#define FILBERTGW_MEMBERSHIP_MEMBERGOSSIP_H

#include "membership/membermessenger.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace filbertgw::internal {

/**
 * \brief Applies claims and records of other members, spreads what is news and refutes what is false.
 *
 * The view, the messenger and the hooks must outlive it.
 */
class MemberGossip
{
public:
    MemberGossip(MemberView &view, MemberMessenger &messenger, const MembershipHooks &hooks);

    void onGossip(MessageReader &reader, MemberHash sender);
    /** \param forward whether records that are news are spread further. */
    void onRecords(MessageReader &reader, MemberHash sender, bool forward);

    void disseminate(const std::vector<Claim> &claims, MemberHash except);
    void disseminateRecord(const nlohmann::json &record, MemberHash except);
    /** \brief Applies claims and asks their sender for records that are missing. \return those that are news. */
    std::vector<Claim> apply(const std::vector<Claim> &claims, ClaimSource source, MemberHash sender);
    /** \brief A sign of life of a member. */
    void onAlive(MemberHash hash, std::uint64_t incarnation);
    /** \brief Tells a live member that it is doubted here or, if `isStale`, known by a later incarnation. */
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
