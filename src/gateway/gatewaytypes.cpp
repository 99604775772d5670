#include "gateway/gatewaytypes.h"

namespace filbertgw {

int statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoRoute:
    case RefusalReason::TurnMissing:
        return 404;
    case RefusalReason::InvalidRequest:
        return 400;
    case RefusalReason::TurnTooLarge:
        return 413;
    case RefusalReason::BudgetSpent:
        return 402;
    case RefusalReason::OutcomeUnknown:
        return 502;
    case RefusalReason::TimedOut:
        return 504;
    case RefusalReason::NoConfiguration:
    case RefusalReason::BudgetUnknown:
    case RefusalReason::TurnUnknown:
    case RefusalReason::NoEndpoint:
    case RefusalReason::EndpointsFull:
    case RefusalReason::Overloaded:
    case RefusalReason::Stopping:
        break;
    }
    return 503;
}

} // namespace filbertgw
