#include "node/errortable.h"

namespace filbertgw {
namespace internal {
namespace {

struct ErrorRow
{
    FailureType type_;
    int status_;
    const char *message_; ///< Used where a failure has no detail.
};

constexpr std::array<ErrorRow, 18> errorRows{{
    {FailureType::NotRun, 503, "the request was not run"},
    {FailureType::OutcomeUnknown, 502, "the request was sent, its outcome is unknown and it is not sent again"},
    {FailureType::BudgetExceeded, 402, "the worst case of the request exceeds the rest of the budget"},
    {FailureType::DeadlinePassed, 504, "the deadline has passed"},
    {FailureType::Quarantined, 422, "the request crashed endpoints and is quarantined"},
    {FailureType::Unauthenticated, 401, "a valid bearer key is required"},
    {FailureType::Forbidden, 403, "the key does not permit this"},
    {FailureType::NotFound, 404, "not found"},
    {FailureType::InvalidRequest, 400, "invalid request"},
    {FailureType::TooLarge, 413, "the request is too large"},
    {FailureType::RateLimited, 429, "a limit of the account is reached"},
    {FailureType::Overloaded, 503, "the endpoints are overloaded"},
    {FailureType::StoreUnavailable, 503, "the log can't be reached"},
    {FailureType::OwnerUnavailable, 503, "the owner of the program can't be reached"},
    {FailureType::EndpointFailed, 502, "the endpoint failed"},
    {FailureType::LoopDetected, 409, "the program repeats the same call"},
    {FailureType::Conflict, 409, "the request conflicts with another one"},
    {FailureType::ProgramEnded, 410, "the program has ended"},
}};

const ErrorRow &rowOf(FailureType type)
{
    for (const ErrorRow &row : errorRows) {
        if (row.type_ == type) {
            return row;
        }
    }
    return errorRows.front();
}

const char *promiseOf(const Failure &failure)
{
    if (failure.notRun_) {
        return "not_run";
    }
    return failure.type_ == FailureType::OutcomeUnknown ? "never_sent_again" : "none";
}

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

} // namespace
} // namespace internal

int httpStatusOf(FailureType type)
{
    return internal::rowOf(type).status_;
}

nlohmann::json errorObject(const Failure &failure)
{
    return {{"error",
             {{"type", nameOf(failure.type_)},
              {"message", failure.detail_.empty() ? internal::rowOf(failure.type_).message_ : failure.detail_},
              {"promise", internal::promiseOf(failure)},
              {"retry_after_ms", internal::milliseconds(failure.retryAfter_)}}}};
}

std::int64_t retryAfterSeconds(const Failure &failure)
{
    return std::chrono::ceil<std::chrono::seconds>(failure.retryAfter_).count();
}

Failure makeFailure(FailureType type, bool notRun, std::string detail, Duration retryAfter)
{
    return Failure{type, notRun, std::move(detail), retryAfter};
}

nlohmann::json failureToJson(const Failure &failure)
{
    return {{"type", nameOf(failure.type_)},
            {"not_run", failure.notRun_},
            {"detail", failure.detail_},
            {"retry_after_us", failure.retryAfter_.count()}};
}

Failure failureFromJson(const nlohmann::json &json)
{
    Failure failure;
    failure.type_ = valueOf<FailureType>(json.value("type", "")).value_or(FailureType::OwnerUnavailable);
    failure.notRun_ = json.value("not_run", false);
    failure.detail_ = json.value("detail", "");
    failure.retryAfter_ = Duration(json.value("retry_after_us", std::int64_t(0)));
    return failure;
}

std::string jsonText(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace filbertgw
