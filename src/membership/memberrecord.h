#ifndef FILBERTGW_MEMBERSHIP_MEMBERRECORD_H
#define FILBERTGW_MEMBERSHIP_MEMBERRECORD_H

#include "membership/membershipsection.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace filbertgw::internal {

/** \brief Encodes a member as an array: id, domain, UDP, peer and HTTP address, state, incarnation. */
nlohmann::json encodeMember(const Member &member);

/** \brief Decodes such an array. \return nothing if an element is missing, of the wrong type or too long. */
std::optional<Member> decodeMember(const nlohmann::json &record);

/** \brief Rank of a state within one incarnation; the higher rank wins: alive, suspected, leaving, dead. */
int precedence(MemberState state);

} // namespace filbertgw::internal

#endif
