#include "membership/claimcodec.h"

namespace filbertgw::internal {

void appendClaim(nlohmann::json &message, const Claim &claim)
{
    message.push_back(claim.subject_);
    message.push_back(static_cast<std::uint64_t>(claim.state_));
    message.push_back(claim.incarnation_);
}

std::vector<Claim> readClaims(MessageReader &reader)
{
    std::vector<Claim> claims;
    while (!reader.atEnd() && reader.isValid()) {
        Claim claim;
        claim.subject_ = reader.number();
        const std::uint64_t state = reader.number();
        claim.incarnation_ = reader.number();
        if (!reader.isValid() || state > static_cast<std::uint64_t>(MemberState::Dead)) {
            return {};
        }
        claim.state_ = static_cast<MemberState>(state);
        claims.push_back(claim);
    }
    return claims;
}

} // namespace filbertgw::internal
