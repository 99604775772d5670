#include "node/dispatcher.h"

#include "config/configsection.h"
#include "node/errortable.h"

#include <algorithm>

namespace filbertgw {
namespace internal {
namespace {

constexpr std::int64_t bytesPerToken = 4; ///< Typical for natural language.

const EndpointInfo *findEndpoint(const Blackboard &blackboard, const EndpointId &id)
{
    const ConfigSection &config = blackboard.read<ConfigSection>();
    const auto found = config.endpoints_.find(id);
    return found == config.endpoints_.end() ? nullptr : &found->second;
}

} // namespace
} // namespace internal

std::int64_t estimateTokens(const std::string &text)
{
    return (std::int64_t(text.size()) + internal::bytesPerToken - 1) / internal::bytesPerToken;
}

Dispatcher::Dispatcher(
    const NodeHooks &hooks, const Blackboard &blackboard, TextStreams &streams, Metrics &metrics, Limits limits)
    : hooks_(hooks)
    , blackboard_(blackboard)
    , streams_(streams)
    , metrics_(metrics)
    , limits_(std::move(limits))
    , engines_(hooks, limits_.maxResponseBytes_, limits_.orderKey_)
    , tools_(hooks, limits_.maxResponseBytes_)
{
}

void Dispatcher::setControllers(DispatcherHooks controllers)
{
    controllers_ = std::move(controllers);
}

void Dispatcher::dispatch(const Dispatch &dispatch)
{
    const CallRequest &call = dispatch.call_;
    const Key key{call.program_, call.requestId_};
    Running &running = running_[key];
    running = Running();
    running.dispatch_ = dispatch;
    running.startedAt_ = hooks_.now_();

    ScheduleRequest request;
    request.requestId_ = call.requestId_;
    request.program_ = call.program_;
    request.root_ = dispatch.root_;
    request.account_ = call.account_;
    request.kind_ = call.kind_;
    request.target_ = call.target_;
    request.idempotent_ = call.idempotent_;
    request.runAlone_ = dispatch.runAlone_;
    request.promptTokens_ = estimateTokens(dispatch.prompt_);
    request.maxTokens_ = call.maxTokens_;
    request.homeEngine_ = dispatch.homeEngine_;
    request.deadline_ = call.deadline_;
    request.fencing_ = dispatch.fencing_;
    // A program with a home engine has had turns. After a takeover only this shows that it has started.
    request.turn_ = dispatch.homeEngine_.isEmpty() ? 0 : 1;
    hooks_.logEvent_("call_dispatched",
                     {{"program", call.program_.value()},
                      {"request", call.requestId_.value()},
                      {"kind", nameOf(call.kind_)},
                      {"target", call.target_},
                      {"attempt", dispatch.attempt_}});
    // Posted because the scheduler may call back at once, which must not happen inside the program controller.
    hooks_.post_([this, request] {
        if (running_.count({request.program_, request.requestId_}) != 0) {
            controllers_.submit_(request);
        }
    });
}

void Dispatcher::cancel(const ProgramId &program, const RequestId &request)
{
    if (running_.count({program, request}) != 0) {
        hooks_.post_([this, program, request] { controllers_.cancel_(program, request); });
    }
}

Dispatcher::Attempt *Dispatcher::findAttempt(const Key &key, std::uint32_t attempt)
{
    const auto running = running_.find(key);
    if (running == running_.end()) {
        return nullptr;
    }
    const auto found = running->second.attempts_.find(attempt);
    return found == running->second.attempts_.end() ? nullptr : &found->second;
}

Duration Dispatcher::timeoutOf(const Dispatch &dispatch) const
{
    const Time deadline = dispatch.call_.deadline_;
    if (deadline.count() == 0) {
        return limits_.callTimeout_;
    }
    return std::max(deadline - hooks_.now_(), Duration(1));
}

void Dispatcher::reportNotSent(const StartOrder &order)
{
    AttemptResult result;
    result.requestId_ = order.requestId_;
    result.program_ = order.program_;
    result.endpoint_ = order.endpoint_;
    result.attempt_ = order.attempt_;
    result.status_ = AttemptStatus::NotSent;
    hooks_.post_([this, result] { controllers_.attemptEnded_(result); });
}

bool Dispatcher::mayHaveRun(const Running &running)
{
    for (const auto &[number, attempt] : running.attempts_) {
        if (!attempt.ended_ || attempt.response_.status_ != AttemptStatus::NotSent) {
            return true;
        }
    }
    return false;
}

void Dispatcher::refuseRetry(const StartOrder &order)
{
    hooks_.logEvent_(
        "retry_not_covered",
        {{"program", order.program_.value()}, {"request", order.requestId_.value()}, {"attempt", order.attempt_}});
    AttemptResult result;
    result.requestId_ = order.requestId_;
    result.program_ = order.program_;
    result.endpoint_ = order.endpoint_;
    result.attempt_ = order.attempt_;
    result.status_ = AttemptStatus::Cancelled;
    hooks_.post_([this, result] {
        controllers_.cancel_(result.program_, result.requestId_);
        controllers_.attemptEnded_(result);
    });
}

void Dispatcher::start(const StartOrder &order)
{
    const Key key{order.program_, order.requestId_};
    const auto found = running_.find(key);
    const EndpointInfo *endpoint = internal::findEndpoint(blackboard_, order.endpoint_);
    if (found == running_.end() || endpoint == nullptr) {
        reportNotSent(order);
        return;
    }
    if (mayHaveRun(found->second) && !controllers_.reserveRetry_(order.program_, order.requestId_)) {
        refuseRetry(order);
        return;
    }
    const Dispatch &dispatch = found->second.dispatch_;
    Attempt &attempt = found->second.attempts_[order.attempt_];
    attempt = Attempt();
    attempt.order_ = order;
    attempt.startedAt_ = hooks_.now_();
    hooks_.logEvent_("attempt_started",
                     {{"program", order.program_.value()},
                      {"request", order.requestId_.value()},
                      {"endpoint", order.endpoint_.value()},
                      {"attempt", order.attempt_},
                      {"reason", order.reason_}});
    metrics_.count("attempts_total", "kind=\"" + std::string(nameOf(dispatch.call_.kind_)) + "\"");

    const std::uint32_t number = order.attempt_;
    const auto done = [this, key, number](const EndpointResponse &response) { onDone(key, number, response); };
    if (dispatch.call_.kind_ == CallKind::Model) {
        const EndpointInfo *source = internal::findEndpoint(blackboard_, order.importFrom_);
        if (source != nullptr) {
            EndpointOrder import;
            import.kind_ = OrderKind::Import;
            import.endpoint_ = order.endpoint_;
            import.program_ = order.program_;
            import.peer_ = order.importFrom_;
            import.fencing_ = dispatch.fencing_;
            engines_.control(*endpoint, import, source->address_);
        }
        const auto text = [this, key, number](const std::string &part) { onText(key, number, part); };
        const auto runsAlone = [this, key, number] { controllers_.runsAlone_(key.first, key.second, number); };
        attempt.http_ = engines_.start(*endpoint, dispatch, order, timeoutOf(dispatch), {text, done, runsAlone});
    } else {
        controllers_.paused_(order.program_, dispatch.call_.target_);
        attempt.http_ = tools_.start(*endpoint, dispatch, timeoutOf(dispatch), done);
    }
}

void Dispatcher::onText(const Key &key, std::uint32_t number, const std::string &text)
{
    Attempt *attempt = findAttempt(key, number);
    if (attempt == nullptr || attempt->ended_) {
        return;
    }
    if (attempt->firstTokenAt_.count() == 0) {
        attempt->firstTokenAt_ = hooks_.now_();
        metrics_.observe("first_token_seconds", attempt->firstTokenAt_ - attempt->startedAt_);
        controllers_.firstToken_(key.first, key.second, number);
    }
    attempt->text_ += text;
    Running &running = running_[key];
    if (!running.isStreaming_) {
        running.isStreaming_ = true;
        running.streamedAttempt_ = number;
        streams_.rerun(key.first, key.second);
    }
    if (running.streamedAttempt_ == number) {
        streams_.append(key.first, key.second, text);
    }
}

void Dispatcher::onDone(const Key &key, std::uint32_t number, const EndpointResponse &response)
{
    Attempt *attempt = findAttempt(key, number);
    if (attempt == nullptr || attempt->ended_) {
        return;
    }
    attempt->ended_ = true;
    attempt->response_ = response;
    Running &running = running_[key];
    if (running.isStreaming_ && running.streamedAttempt_ == number && response.status_ != AttemptStatus::Answered) {
        running.isStreaming_ = false;
    }
    AttemptResult result;
    result.requestId_ = key.second;
    result.program_ = key.first;
    result.endpoint_ = attempt->order_.endpoint_;
    result.attempt_ = number;
    result.status_ = response.status_;
    result.promptTokens_ = response.promptTokens_;
    result.cachedTokens_ = response.cachedTokens_;
    result.generatedTokens_ = response.generatedTokens_;
    result.latency_ = hooks_.now_() - attempt->startedAt_;
    result.firstToken_ =
        attempt->firstTokenAt_.count() == 0 ? Duration(0) : attempt->firstTokenAt_ - attempt->startedAt_;
    hooks_.logEvent_("attempt_ended",
                     {{"program", key.first.value()},
                      {"request", key.second.value()},
                      {"endpoint", result.endpoint_.value()},
                      {"attempt", number},
                      {"status", nameOf(response.status_)},
                      {"prompt_tokens", response.promptTokens_},
                      {"cached_tokens", response.cachedTokens_},
                      {"generated_tokens", response.generatedTokens_},
                      {"error", response.error_}});
    metrics_.count("attempts_ended_total", "status=\"" + std::string(nameOf(response.status_)) + "\"");
    metrics_.count("prompt_tokens_total", {}, std::uint64_t(std::max<std::int64_t>(0, response.promptTokens_)));
    metrics_.count("cached_tokens_total", {}, std::uint64_t(std::max<std::int64_t>(0, response.cachedTokens_)));
    metrics_.count("generated_tokens_total", {}, std::uint64_t(std::max<std::int64_t>(0, response.generatedTokens_)));
    controllers_.attemptEnded_(result);
}

Spend Dispatcher::usageOf(const Dispatch &dispatch, const EndpointResponse &response) const
{
    const ConfigSection &config = blackboard_.read<ConfigSection>();
    Spend usage;
    usage.calls_ = 1;
    if (dispatch.call_.kind_ != CallKind::Model) {
        usage.moneyMicros_ = dispatch.call_.priceMicros_;
        return usage;
    }
    usage.tokens_ = response.promptTokens_ + response.generatedTokens_;
    const auto model = config.models_.find(ModelId(dispatch.call_.target_));
    usage.moneyMicros_ = model == config.models_.end() ? 0 : usage.tokens_ * model->second.priceMicrosPerToken_;
    return usage;
}

void Dispatcher::abandon(const Dispatch &dispatch, const Attempt &attempt)
{
    hooks_.cancelHttp_(attempt.http_);
    const EndpointInfo *endpoint = internal::findEndpoint(blackboard_, attempt.order_.endpoint_);
    if (endpoint != nullptr && dispatch.call_.kind_ == CallKind::Model) {
        engines_.cancelRequest(*endpoint, dispatch.call_.program_, dispatch.call_.requestId_);
    }
    AttemptResult result;
    result.requestId_ = dispatch.call_.requestId_;
    result.program_ = dispatch.call_.program_;
    result.endpoint_ = attempt.order_.endpoint_;
    result.attempt_ = attempt.order_.attempt_;
    result.status_ = AttemptStatus::Cancelled;
    result.latency_ = hooks_.now_() - attempt.startedAt_;
    hooks_.logEvent_("attempt_abandoned",
                     {{"program", result.program_.value()},
                      {"request", result.requestId_.value()},
                      {"endpoint", result.endpoint_.value()},
                      {"attempt", result.attempt_}});
    hooks_.post_([this, result] { controllers_.attemptEnded_(result); });
}

void Dispatcher::finish(const ScheduleResult &result)
{
    const Key key{result.program_, result.requestId_};
    const auto found = running_.find(key);
    if (found == running_.end()) {
        return;
    }
    const Running running = std::move(found->second);
    running_.erase(found);
    DispatchOutcome outcome;
    outcome.program_ = result.program_;
    outcome.requestId_ = result.requestId_;
    outcome.status_ = result.status_;
    outcome.failure_ = result.failure_;
    outcome.endpoint_ = result.endpoint_;
    outcome.crashes_ = result.crashes_;
    for (const auto &[number, attempt] : running.attempts_) {
        if (!attempt.ended_) {
            abandon(running.dispatch_, attempt);
        } else if (attempt.response_.status_ == AttemptStatus::Answered && result.status_ == DispatchStatus::Answered) {
            outcome.body_ = attempt.response_.body_;
            outcome.endpoint_ = attempt.order_.endpoint_;
            outcome.usage_ = usageOf(running.dispatch_, attempt.response_);
        } else if (attempt.response_.status_ == AttemptStatus::Crashed && result.status_ != DispatchStatus::Answered) {
            // The retry that would have shown whether the request causes crashes may have been refused.
            outcome.crashes_ = std::max<std::uint32_t>(outcome.crashes_, 1);
        }
    }
    if (outcome.status_ != DispatchStatus::Answered && !outcome.failure_) {
        outcome.failure_ = makeFailure(FailureType::EndpointFailed, outcome.status_ == DispatchStatus::NotSent);
    }
    hooks_.logEvent_("call_ended",
                     {{"program", key.first.value()},
                      {"request", key.second.value()},
                      {"status", nameOf(outcome.status_)},
                      {"endpoint", outcome.endpoint_.value()},
                      {"crashes", outcome.crashes_},
                      {"reason", outcome.failure_ ? outcome.failure_->detail_ : ""}});
    metrics_.observe("call_seconds", hooks_.now_() - running.startedAt_);
    streams_.end(key.first, key.second);
    hooks_.post_([this, outcome] { controllers_.outcome_(outcome); });
}

void Dispatcher::order(const EndpointOrder &order)
{
    const EndpointInfo *endpoint = internal::findEndpoint(blackboard_, order.endpoint_);
    if (endpoint == nullptr) {
        return;
    }
    if (order.kind_ == OrderKind::Cancel) {
        const auto found = running_.find({order.program_, order.requestId_});
        if (found != running_.end()) {
            for (const auto &[number, attempt] : found->second.attempts_) {
                if (attempt.order_.endpoint_ == order.endpoint_ && !attempt.ended_) {
                    hooks_.cancelHttp_(attempt.http_);
                }
            }
        }
        engines_.cancelRequest(*endpoint, order.program_, order.requestId_);
        return;
    }
    hooks_.logEvent_("endpoint_order",
                     {{"order", nameOf(order.kind_)},
                      {"endpoint", order.endpoint_.value()},
                      {"program", order.program_.value()},
                      {"subject", order.subject_},
                      {"reason", order.reason_}});
    metrics_.count("endpoint_orders_total", "order=\"" + std::string(nameOf(order.kind_)) + "\"");
    const EndpointInfo *peer = internal::findEndpoint(blackboard_, order.peer_);
    engines_.control(*endpoint, order, peer == nullptr ? "" : peer->address_);
}

std::size_t Dispatcher::runningCalls() const
{
    return running_.size();
}

} // namespace filbertgw
