#include "routing/gatewaytypes.h"

#include "accounts/accountscope.h"
#include "core/numbers.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace filbertgw {

std::string GatewayRequest::scopedAttempt() const
{
    return scopedId(scope_, id_);
}

std::string GatewayRequest::scopedProgram() const
{
    return scopedId(scope_, program_);
}

std::string GatewayRequest::scopedPreviousTurn() const
{
    return scopedId(scope_, previousTurn_);
}

std::string GatewayRequest::scopedResumes() const
{
    return scopedId(scope_, resumes_);
}

std::uint64_t GatewayRequest::totalPromptTokens() const
{
    std::uint64_t tokens = 0;
    for (const PromptPart &part : prompt_) {
        tokens = saturatingSum(tokens, part.tokens_);
    }
    return tokens;
}

std::string Endpoint::incarnation() const
{
    return id_ + '@' + std::to_string(startedAtMs_);
}

AnswerFormat formatOf(const AttemptHead &head)
{
    const auto header = head.headers_.find("content-type");
    if (header == head.headers_.end()) {
        return AnswerFormat::Unnamed;
    }
    const std::string type = boost::algorithm::trim_copy(header->second.substr(0, header->second.find(';')));
    return boost::algorithm::iequals(type, "text/event-stream") ? AnswerFormat::EventStream : AnswerFormat::Other;
}

int statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoRoute:
    case RefusalReason::TurnMissing:
        return 404;
    case RefusalReason::Unauthenticated:
        return 401;
    case RefusalReason::RateLimited:
        return 429;
    case RefusalReason::InvalidRequest:
        return 400;
    case RefusalReason::TurnTooLarge:
        return 413;
    case RefusalReason::BudgetSpent:
        return 402;
    case RefusalReason::OutcomeUnknown:
    case RefusalReason::Quarantined: // Earlier attempts have run: a status that promises the opposite would be wrong.
        return 502;
    case RefusalReason::TimedOut:
        return 504;
    case RefusalReason::NoConfiguration:
    case RefusalReason::BudgetUnknown:
    case RefusalReason::TurnUnknown:
    case RefusalReason::NoEndpoint:
    case RefusalReason::OriginUnknown:
    case RefusalReason::OutputUnknown:
    case RefusalReason::NoEndpointOfVersion:
    case RefusalReason::EndpointsFull:
    case RefusalReason::Unreachable:
    case RefusalReason::Overloaded:
    case RefusalReason::Stopping:
        break;
    }
    return 503;
}

bool promisesNotRun(int status)
{
    return status == 402 || status == 408 || status == 421 || status == 429 || status == 503;
}

RefusalReason truthfulReason(RefusalReason reason, bool mayHaveRun)
{
    return mayHaveRun && promisesNotRun(statusOf(reason)) ? RefusalReason::OutcomeUnknown : reason;
}

} // namespace filbertgw
