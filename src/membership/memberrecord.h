#ifndef FILBERTGW_MEMBERSHIP_MEMBERRECORD_H
#define FILBERTGW_MEMBERSHIP_MEMBERRECORD_H

#include "membership/membershipsection.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace filbertgw::internal {

/** \brief A member as array: id, domain, UDP, peer and HTTP address, state, incarnation. */
nlohmann::json encodeMember(const Member &member);

/** \brief The member of such an array, or nothing if an element is missing, of the wrong type or too long. */
std::optional<Member> decodeMember(const nlohmann::json &record);

/** \brief Later states win over earlier ones of the same incarnation: alive, suspected, leaving, dead. */
int precedence(MemberState state);

} // namespace filbertgw::internal

#endif
