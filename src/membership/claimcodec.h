#ifndef FILBERTGW_MEMBERSHIP_CLAIMCODEC_H
#define FILBERTGW_MEMBERSHIP_CLAIMCODEC_H

#include "membership/datagram.h"
#include "membership/memberview.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace filbertgw::internal {

/** \brief Largest encoded claim: three CBOR integers of at most 9, 1 and 9 bytes. */
constexpr std::size_t maxClaimBytes = 19;
/** \brief Most claims of one datagram. */
constexpr std::size_t maxClaimsPerDatagram = maxListBytes / maxClaimBytes;

/** \brief Appends subject, state and incarnation to a message. */
void appendClaim(nlohmann::json &message, const Claim &claim);

/** \brief The claims that make up the rest of a message; none if one of them is malformed. */
std::vector<Claim> readClaims(MessageReader &reader);

} // namespace filbertgw::internal

#endif
