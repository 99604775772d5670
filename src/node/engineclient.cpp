#include "node/engineclient.h"

#include "net/ordersignature.h"
#include "node/attemptstatus.h"
#include "node/errortable.h"
#include "node/ssereader.h"

#include <memory>

namespace filbertgw {
namespace internal {
namespace {

constexpr Duration controlTimeout = std::chrono::seconds(10);
constexpr Duration probeTimeout = std::chrono::seconds(1);
/** \brief Comment line by which an engine confirms `x-alone`. */
constexpr const char *aloneComment = "alone";

/** \brief Parser and partial result of one streamed response of an engine. */
struct EngineStream
{
    explicit EngineStream(EngineClient::Handlers handlers)
        : handlers_(std::move(handlers))
        , reader_([this](const std::string &data) { handleEvent(data); },
                  [this](const std::string &comment) { handleComment(comment); })
    {
    }

    void handleEvent(const std::string &data)
    {
        if (data == "[DONE]") {
            ended_ = true;
            return;
        }
        const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
        if (!event.is_object()) {
            malformed_ = true;
            return;
        }
        if (event.contains("error")) {
            response_.error_ = jsonText(event["error"]);
            return;
        }
        handleChoices(event);
        handleUsage(event);
    }

    void handleComment(const std::string &comment) const
    {
        if (comment == aloneComment && handlers_.runsAlone_) {
            handlers_.runsAlone_();
        }
    }

    void handleChoices(const nlohmann::json &event)
    {
        if (!event.contains("choices") || !event["choices"].is_array() || event["choices"].empty()) {
            return;
        }
        const nlohmann::json &choice = event["choices"][0];
        isCancelled_ =
            isCancelled_ || (choice.is_object() && choice.value("finish_reason", nlohmann::json()) == "cancelled");
        if (!choice.is_object() || !choice.contains("delta") || !choice["delta"].is_object()) {
            return;
        }
        const nlohmann::json &delta = choice["delta"];
        if (!delta.contains("content") || !delta["content"].is_string()) {
            return;
        }
        const std::string text = delta["content"].get<std::string>();
        if (!text.empty()) {
            response_.body_ += text;
            handlers_.text_(text);
        }
    }

    static std::int64_t count(const nlohmann::json &object, const char *name)
    {
        return object.contains(name) && object[name].is_number_integer() ? object[name].get<std::int64_t>() : 0;
    }

    void handleUsage(const nlohmann::json &event)
    {
        if (!event.contains("usage") || !event["usage"].is_object()) {
            return;
        }
        const nlohmann::json &usage = event["usage"];
        response_.promptTokens_ = count(usage, "prompt_tokens");
        response_.generatedTokens_ = count(usage, "completion_tokens");
        response_.cachedTokens_ = count(usage, "cached_tokens");
        if (usage.contains("prompt_tokens_details") && usage["prompt_tokens_details"].is_object()) {
            response_.cachedTokens_ = count(usage["prompt_tokens_details"], "cached_tokens");
        }
    }

    EngineClient::Handlers handlers_;
    SseReader reader_;
    EndpointResponse response_;
    std::string errorBody_;
    bool ended_ = false; ///< `[DONE]` was received.
    bool malformed_ = false;
    bool isCancelled_ = false; ///< The engine stopped on a cancel request; the text is incomplete.
};

AttemptStatus statusOf(const HttpResult &result, const EngineStream &stream)
{
    if (const std::optional<AttemptStatus> status = statusOfFailedExchange(result.outcome_)) {
        return *status;
    }
    if (result.status_ / 100 != 2 || !stream.response_.error_.empty()) {
        return AttemptStatus::Rejected;
    }
    if (stream.isCancelled_) {
        return AttemptStatus::Cancelled;
    }
    // The engine closed the connection before it had sent the last event.
    return stream.ended_ && !stream.malformed_ ? AttemptStatus::Answered : AttemptStatus::ConnectionLost;
}

nlohmann::json callBody(const Dispatch &dispatch)
{
    nlohmann::json body{{"model", dispatch.call_.target_},
                        {"messages", {{{"role", "user"}, {"content", dispatch.prompt_}}}},
                        {"stream", true},
                        {"stream_options", {{"include_usage", true}}}};
    if (dispatch.call_.maxTokens_ > 0) {
        body["max_tokens"] = dispatch.call_.maxTokens_;
    }
    return body;
}

} // namespace
} // namespace internal

std::string endpointRequestId(const ProgramId &program, const RequestId &request)
{
    return program.value() + "/" + request.value();
}

EngineClient::EngineClient(const NodeHooks &hooks, std::size_t maxResponseBytes, std::string orderKey)
    : hooks_(hooks)
    , maxResponseBytes_(maxResponseBytes)
    , orderKey_(std::move(orderKey))
{
}

HttpCall
EngineClient::signedOrderCall(const EndpointInfo &engine, const std::string &target, const std::string &body) const
{
    HttpCall call;
    call.address_ = engine.address_;
    call.request_.method_ = "POST";
    call.request_.target_ = target;
    call.request_.headers_ = {{"content-type", "application/json"}};
    if (!orderKey_.empty()) {
        call.request_.headers_[orderSignatureHeader] = signOrder(orderKey_, hooks_.now_(), target, body);
    }
    call.request_.body_ = body;
    call.timeout_ = internal::controlTimeout;
    return call;
}

std::uint64_t EngineClient::start(
    const EndpointInfo &engine, const Dispatch &dispatch, const StartOrder &order, Duration timeout, Handlers handlers)
{
    const std::shared_ptr<internal::EngineStream> stream =
        std::make_shared<internal::EngineStream>(std::move(handlers));
    HttpCall call;
    call.address_ = engine.address_;
    call.request_.method_ = "POST";
    call.request_.target_ = "/v1/chat/completions";
    call.request_.headers_ = {{"content-type", "application/json"},
                              {"x-program", dispatch.call_.program_.value()},
                              {"x-priority", std::to_string(order.priority_)},
                              {"x-fencing", std::to_string(dispatch.fencing_)},
                              {"x-request-id", endpointRequestId(dispatch.call_.program_, dispatch.call_.requestId_)}};
    if (order.alone_) {
        call.request_.headers_["x-alone"] = "1";
    }
    call.request_.body_ = jsonText(internal::callBody(dispatch));
    call.timeout_ = timeout;
    call.maxResponseBytes_ = maxResponseBytes_;
    call.onPart_ = [stream](int status, const std::string &part) {
        if (status / 100 != 2) {
            stream->errorBody_ += part;
        } else if (!stream->reader_.add(part)) {
            stream->malformed_ = true;
        }
    };
    call.onDone_ = [this, stream, engine](const HttpResult &result) {
        EndpointResponse response = stream->response_;
        response.status_ = internal::statusOf(result, *stream);
        if (response.status_ == AttemptStatus::Rejected && response.error_.empty()) {
            response.error_ = "status " + std::to_string(result.status_) + " " + stream->errorBody_ + result.body_;
        }
        if (response.status_ == AttemptStatus::ConnectionLost) {
            probe(engine, response, stream->handlers_.done_);
        } else {
            stream->handlers_.done_(response);
        }
    };
    return hooks_.startHttp_(std::move(call));
}

// A broken stream doesn't show whether the engine crashed or only the connection was lost. The difference matters: a
// crash counts against the request.
void EngineClient::probe(const EndpointInfo &engine,
                         EndpointResponse response,
                         std::function<void(const EndpointResponse &)> done)
{
    HttpCall call;
    call.address_ = engine.address_;
    call.request_.method_ = "GET";
    call.request_.target_ = "/v1/load";
    call.connectTimeout_ = internal::probeTimeout;
    call.timeout_ = internal::probeTimeout;
    call.mayReuse_ = false;
    call.onDone_ = [response = std::move(response), done = std::move(done)](const HttpResult &result) {
        EndpointResponse probed = response;
        if (result.outcome_ != HttpOutcome::Complete || result.status_ / 100 != 2) {
            probed.status_ = AttemptStatus::Crashed;
            probed.error_ = "the engine stopped while it ran the request";
        } else {
            probed.error_ = "the connection to the engine was lost";
        }
        done(probed);
    };
    hooks_.startHttp_(std::move(call));
}

void EngineClient::cancelRequest(const EndpointInfo &engine, const ProgramId &program, const RequestId &request)
{
    const std::string body = jsonText({{"request_id", endpointRequestId(program, request)}});
    HttpCall call = signedOrderCall(engine, "/v1/cancel", body);
    call.onDone_ = [](const HttpResult &) {};
    hooks_.startHttp_(std::move(call));
}

void EngineClient::control(const EndpointInfo &engine, const EndpointOrder &order, const std::string &peerAddress)
{
    nlohmann::json body{{"action", nameOf(order.kind_)}, {"fencing", order.fencing_}};
    if (!order.program_.isEmpty()) {
        body["program"] = order.program_.value();
    }
    if (!order.subject_.empty()) {
        body[order.kind_ == OrderKind::LoadAdapter   ? "adapter"
                 : order.kind_ == OrderKind::SetRole ? "role"
                                                     : "model"] = order.subject_;
    }
    if (!peerAddress.empty()) {
        body["from"] = peerAddress;
    }
    HttpCall call = signedOrderCall(engine, "/v1/control", jsonText(body));
    call.onDone_ = [this, order](const HttpResult &result) {
        if (result.outcome_ != HttpOutcome::Complete || result.status_ / 100 != 2) {
            hooks_.logEvent_("order_failed",
                             {{"endpoint", order.endpoint_.value()},
                              {"order", nameOf(order.kind_)},
                              {"program", order.program_.value()},
                              {"status", result.status_}});
        }
    };
    hooks_.startHttp_(std::move(call));
}

} // namespace filbertgw
