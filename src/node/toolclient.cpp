#include "node/toolclient.h"

#include "node/attemptstatus.h"
#include "node/errortable.h"

namespace filbertgw {
namespace internal {
namespace {

bool reportsNotRun(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return false;
    }
    if (json.contains("not_run") && json["not_run"].is_boolean()) {
        return json["not_run"].get<bool>();
    }
    if (!json.contains("error") || !json["error"].is_object()) {
        return false;
    }
    const std::string type = json["error"].value("type", "");
    return json["error"].value("promise", "") == "not_run" || type == "not_run" || type == "overloaded";
}

AttemptStatus toolStatus(const HttpResult &result, bool idempotent)
{
    if (const std::optional<AttemptStatus> status = statusOfFailedExchange(result.outcome_)) {
        return *status;
    }
    if (result.status_ / 100 == 2) {
        return AttemptStatus::Answered;
    }
    return idempotent || reportsNotRun(result.body_) ? AttemptStatus::Rejected : AttemptStatus::ConnectionLost;
}

} // namespace
} // namespace internal

ToolClient::ToolClient(const NodeHooks &hooks, std::size_t maxResponseBytes)
    : hooks_(hooks)
    , maxResponseBytes_(maxResponseBytes)
{
}

std::uint64_t ToolClient::start(const EndpointInfo &endpoint,
                                const Dispatch &dispatch,
                                Duration timeout,
                                std::function<void(const EndpointResponse &)> done)
{
    HttpCall call;
    call.address_ = endpoint.address_;
    call.request_.method_ = "POST";
    call.request_.target_ = "/call/" + dispatch.call_.target_;
    call.request_.headers_ = {
        {"content-type", "application/json"},
        {"x-program", dispatch.call_.program_.value()},
        {"x-fencing", std::to_string(dispatch.fencing_)},
        {"idempotency-key", endpointRequestId(dispatch.call_.program_, dispatch.call_.requestId_)}};
    call.request_.body_ = dispatch.call_.input_;
    call.timeout_ = timeout;
    call.maxResponseBytes_ = maxResponseBytes_;
    call.mayReuse_ = dispatch.call_.idempotent_;
    const bool idempotent = dispatch.call_.idempotent_;
    call.onDone_ = [done = std::move(done), idempotent](const HttpResult &result) {
        EndpointResponse response;
        response.status_ = internal::toolStatus(result, idempotent);
        if (response.status_ == AttemptStatus::Answered) {
            response.body_ = result.body_;
        } else {
            response.error_ = "status " + std::to_string(result.status_) + " " + result.body_;
        }
        done(response);
    };
    return hooks_.startHttp_(std::move(call));
}

} // namespace filbertgw
