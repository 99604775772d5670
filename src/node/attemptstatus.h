#ifndef FILBERTGW_NODE_ATTEMPTSTATUS_H
#define FILBERTGW_NODE_ATTEMPTSTATUS_H

#include "net/httptypes.h"
#include "policy/schedulertypes.h"

#include <optional>

namespace filbertgw {

/** \brief Status of an attempt whose exchange did not end with a whole answer; nothing if it did. */
std::optional<AttemptStatus> statusOfFailedExchange(HttpOutcome outcome);

} // namespace filbertgw

#endif
