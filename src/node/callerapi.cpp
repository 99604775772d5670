#include "node/callerapi.h"

#include "node/errortable.h"

#include <sstream>
#include <utility>
#include <vector>

namespace filbertgw {
namespace internal {
namespace {

Failure invalidRequest(std::string detail)
{
    return makeFailure(FailureType::InvalidRequest, true, std::move(detail));
}

std::vector<std::string> pathParts(const std::string &target)
{
    std::vector<std::string> parts;
    std::istringstream stream(target.substr(0, target.find('?')));
    std::string part;
    while (std::getline(stream, part, '/')) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

/** \brief True if a text has the format of a program id; the slot can't be read from any other text. */
bool isProgramId(const std::string &text)
{
    constexpr std::size_t minLength = 4; // 'p' and three digits of the slot.
    constexpr std::size_t maxLength = 64;
    if (text.size() < minLength || text.size() > maxLength || text[0] != 'p') {
        return false;
    }
    return text.find_first_not_of("0123456789abcdef", 1) == std::string::npos;
}

std::string header(const HttpRequest &request, const char *name)
{
    const auto found = request.headers_.find(name);
    return found == request.headers_.end() ? "" : found->second;
}

std::string stringMember(const nlohmann::json &body, const char *name)
{
    return body.is_object() && body.contains(name) && body[name].is_string() ? body[name].get<std::string>() : "";
}

bool boolMember(const nlohmann::json &body, const char *name)
{
    return body.is_object() && body.contains(name) && body[name].is_boolean() && body[name].get<bool>();
}

/** \brief Text that is new to the program: messages up to the last one of the assistant are in its history already. */
std::string newMessageText(const nlohmann::json &messages)
{
    std::string text;
    for (const nlohmann::json &message : messages) {
        if (stringMember(message, "role") == "assistant") {
            text.clear();
            continue;
        }
        text += (text.empty() ? "" : "\n") + stringMember(message, "content");
    }
    return text;
}

} // namespace
} // namespace internal

CallerApi::CallerApi(const NodeHooks &hooks,
                     Authenticator &authenticator,
                     AccountLimitHooks accountLimits,
                     ProgramForwarder &forwarder,
                     Metrics &metrics)
    : hooks_(hooks)
    , authenticator_(authenticator)
    , accountLimits_(std::move(accountLimits))
    , forwarder_(forwarder)
    , metrics_(metrics)
{
}

RequestId CallerApi::randomRequestId() const
{
    std::ostringstream text;
    text << "r" << std::hex << hooks_.random_() << hooks_.random_();
    return RequestId(text.str());
}

void CallerApi::handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const std::optional<AccountId> account = authenticator_.accountOf(request);
    if (!account) {
        metrics_.count("refused_requests_total", "type=\"unauthenticated\"");
        sendFailure(*reply, makeFailure(FailureType::Unauthenticated, true));
        return;
    }
    if (request.method_ == "POST" && request.target_ == "/v1/chat/completions") {
        chat(request, *account, reply);
        return;
    }
    const Route route = routeOf(request, *account);
    if (route.failure_) {
        sendFailure(*reply, *route.failure_);
        return;
    }
    run(route, reply);
}

CallerApi::Route CallerApi::routeOf(const HttpRequest &request, const AccountId &account) const
{
    Route route = programRoute(request, account);
    if (route.failure_ || request.method_ != "POST") {
        return route;
    }
    route.request_.body_ = nlohmann::json::parse(request.body_, nullptr, false);
    if (!route.request_.body_.is_object()) {
        route.failure_ = internal::invalidRequest("the body must be a JSON object");
        return route;
    }
    route.request_.requestId_ = RequestId(internal::stringMember(route.request_.body_, "request_id"));
    route.streamed_ = internal::boolMember(route.request_.body_, "stream");
    if (route.request_.operation_ == ApiOperation::Create) {
        const std::string parent = internal::stringMember(route.request_.body_, "parent");
        if (!parent.empty() && !internal::isProgramId(parent)) {
            route.failure_ = makeFailure(FailureType::NotFound, true, "no such program");
        }
        route.request_.program_ = ProgramId(parent);
        if (route.request_.requestId_.isEmpty()) {
            const std::string key = internal::header(request, "idempotency-key");
            route.request_.requestId_ = key.empty() ? randomRequestId() : RequestId(key);
        }
    }
    return route;
}

CallerApi::Route CallerApi::programRoute(const HttpRequest &request, const AccountId &account) const
{
    Route route;
    ApiRequest &api = route.request_;
    api.account_ = account;
    const std::vector<std::string> parts = internal::pathParts(request.target_);
    const std::string &method = request.method_;
    const std::size_t count = parts.size();
    if (count < 2 || count > 5 || parts[0] != "v1" || parts[1] != "programs") {
        route.failure_ = makeFailure(FailureType::NotFound, true);
        return route;
    }
    if (count > 2) {
        api.program_ = ProgramId(parts[2]);
    }
    if (count == 2 && method == "POST") {
        api.operation_ = ApiOperation::Create;
    } else if (count == 3 && method == "GET") {
        api.operation_ = ApiOperation::Status;
    } else if (count == 3 && method == "DELETE") {
        api.operation_ = ApiOperation::End;
    } else if (count == 4 && parts[3] == "calls" && method == "POST") {
        api.operation_ = ApiOperation::Call;
    } else if (count == 4 && parts[3] == "history" && method == "GET") {
        api.operation_ = ApiOperation::History;
    } else if (count == 5 && parts[3] == "calls" && method == "GET") {
        api.operation_ = ApiOperation::CallAnswer;
        api.requestId_ = RequestId(parts[4]);
    } else {
        route.failure_ = makeFailure(FailureType::NotFound, true);
    }
    if (!route.failure_ && count > 2 && !internal::isProgramId(parts[2])) {
        route.failure_ = makeFailure(FailureType::NotFound, true, "no such program");
    }
    return route;
}

void CallerApi::run(const Route &route, const std::shared_ptr<HttpReply> &reply)
{
    if (route.request_.operation_ == ApiOperation::Call) {
        runCall(route, reply);
        return;
    }
    ApiSink sink;
    sink.done_ = [reply](const ApiResult &result) {
        if (result.failure_) {
            sendFailure(*reply, *result.failure_);
        } else {
            reply->send(200, "application/json", jsonText(result.body_));
        }
    };
    if (route.request_.operation_ == ApiOperation::Create) {
        runCreate(route.request_, reply, sink);
        return;
    }
    reply->onClosed(forwarder_.run(route.request_, sink));
}

// Not cancelled when the caller disconnects: the account's count of open programs depends on the result.
void CallerApi::runCreate(const ApiRequest &request, const std::shared_ptr<HttpReply> &reply, const ApiSink &sink)
{
    const std::optional<Failure> refused = accountLimits_.beginProgram_(request.account_);
    if (refused) {
        metrics_.count("refused_requests_total", "type=\"" + std::string(nameOf(refused->type_)) + "\"");
        logFailure(request, *refused);
        sendFailure(*reply, *refused);
        return;
    }
    ApiSink counted;
    counted.done_ = [this, account = request.account_, sink](const ApiResult &result) {
        const bool created = !result.failure_;
        accountLimits_.programCreated_(account, ProgramId(created ? result.body_.value("program", "") : ""));
        sink.done_(result);
    };
    forwarder_.run(request, counted);
}

void CallerApi::logFailure(const ApiRequest &request, const Failure &failure) const
{
    hooks_.logEvent_("request_failed",
                     {{"program", request.program_.value()},
                      {"request", request.requestId_.value()},
                      {"account", request.account_.value()},
                      {"type", nameOf(failure.type_)},
                      {"not_run", failure.notRun_},
                      {"reason", failure.detail_}});
}

void CallerApi::runCall(const Route &route, const std::shared_ptr<HttpReply> &reply)
{
    const AccountId account = route.request_.account_;
    const std::optional<Failure> refused = accountLimits_.beginCall_(account);
    if (refused) {
        metrics_.count("refused_requests_total", "type=\"" + std::string(nameOf(refused->type_)) + "\"");
        logFailure(route.request_, *refused);
        sendFailure(*reply, *refused);
        return;
    }
    const Time startedAt = hooks_.now_();
    // A caller may disconnect while the end of a finished response is being sent; the call is counted down only once.
    const std::shared_ptr<bool> ended = std::make_shared<bool>(false);
    const auto endCall = [this, account, ended] {
        if (!std::exchange(*ended, true)) {
            accountLimits_.endCall_(account);
        }
    };
    const std::string model = internal::stringMember(route.request_.body_, "target");
    const std::shared_ptr<CallerStream> stream =
        std::make_shared<CallerStream>(reply, route.format_, route.streamed_, model);
    ApiSink sink = stream->sink();
    const ApiRequest request = route.request_;
    sink.done_ = [this, endCall, startedAt, stream, request](const ApiResult &result) {
        endCall();
        if (result.failure_) {
            logFailure(request, *result.failure_);
        }
        metrics_.observe("caller_seconds", hooks_.now_() - startedAt);
        metrics_.count("answers_total",
                       "type=\"" + (result.failure_ ? std::string(nameOf(result.failure_->type_)) : "answered") + "\"");
        stream->done(result);
    };
    const ApiCancel cancel = forwarder_.run(route.request_, sink);
    reply->onClosed([endCall, cancel] {
        endCall();
        cancel();
    });
}

void CallerApi::chat(const HttpRequest &request, const AccountId &account, const std::shared_ptr<HttpReply> &reply)
{
    const nlohmann::json body = nlohmann::json::parse(request.body_, nullptr, false);
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array()) {
        sendFailure(*reply, internal::invalidRequest("the body must be a JSON object with messages"));
        return;
    }
    const std::string program = internal::header(request, "x-program");
    if (!program.empty()) {
        if (!internal::isProgramId(program)) {
            sendFailure(*reply, makeFailure(FailureType::NotFound, true, "no such program"));
            return;
        }
        chatInProgram(ProgramId(program), request, body, account, reply);
        return;
    }
    ApiRequest create;
    create.operation_ = ApiOperation::Create;
    create.account_ = account;
    create.requestId_ = randomRequestId();
    ApiSink sink;
    sink.done_ = [this, request, body, account, reply](const ApiResult &result) {
        if (result.failure_) {
            sendFailure(*reply, *result.failure_);
            return;
        }
        chatInProgram(ProgramId(result.body_.value("program", "")), request, body, account, reply);
    };
    runCreate(create, reply, sink);
}

void CallerApi::chatInProgram(const ProgramId &program,
                              const HttpRequest &request,
                              const nlohmann::json &body,
                              const AccountId &account,
                              const std::shared_ptr<HttpReply> &reply)
{
    const std::string id = internal::header(request, "x-request-id");
    Route route;
    route.format_ = ResponseFormat::ChatCompletion;
    route.streamed_ = internal::boolMember(body, "stream");
    route.request_.operation_ = ApiOperation::Call;
    route.request_.account_ = account;
    route.request_.program_ = program;
    route.request_.requestId_ = id.empty() ? randomRequestId() : RequestId(id);
    route.request_.body_ = {{"kind", "model"},
                            {"target", internal::stringMember(body, "model")},
                            {"input", internal::newMessageText(body["messages"])}};
    if (body.contains("max_tokens")) {
        route.request_.body_["max_tokens"] = body["max_tokens"];
    }
    reply->setHeader("X-Program", program.value());
    runCall(route, reply);
}

} // namespace filbertgw
