#ifndef FILBERTGW_MEMBERSHIP_CLAIMCODEC_H
#define FILBERTGW_MEMBERSHIP_CLAIMCODEC_H

#include "membership/datagram.h"
#include "membership/memberview.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace filbertgw::internal {

/** \brief Largest encoded claim: three CBOR integers of at most 9, 1 and 9 bytes. */
constexpr std::size_t maxClaimBytes = 19;
/** \brief Maximum number of claims in one datagram. */
constexpr std::size_t maxClaimsPerDatagram = maxListBytes / maxClaimBytes;

/** \brief Appends the subject, state and incarnation of a claim to a message. */
void appendClaim(nlohmann::json &message, const Claim &claim);

/** \brief Reads claims up to the end of a message. \return no claims if one of them is malformed. */
std::vector<Claim> readClaims(MessageReader &reader);

} // namespace filbertgw::internal

#endif
