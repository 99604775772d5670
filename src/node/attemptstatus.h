#ifndef FILBERTGW_NODE_ATTEMPTSTATUS_H
#define FILBERTGW_NODE_ATTEMPTSTATUS_H

#include "net/httptypes.h"
#include "policy/schedulertypes.h"

#include <optional>

namespace filbertgw {

/** \brief Status of an attempt whose HTTP exchange ended without a complete response; nothing if it was complete. */
std::optional<AttemptStatus> statusOfFailedExchange(HttpOutcome outcome);

} // namespace filbertgw

#endif
