#include "node/attemptstatus.h"

namespace filbertgw {

std::optional<AttemptStatus> statusOfFailedExchange(HttpOutcome outcome)
{
    switch (outcome) {
    case HttpOutcome::NotConnected:
        return AttemptStatus::NotSent;
    case HttpOutcome::TimedOut:
        return AttemptStatus::TimedOut;
    case HttpOutcome::Cancelled:
        return AttemptStatus::Cancelled;
    case HttpOutcome::Interrupted:
        return AttemptStatus::ConnectionLost;
    case HttpOutcome::Complete:
        break;
    }
    return std::nullopt;
}

} // namespace filbertgw
