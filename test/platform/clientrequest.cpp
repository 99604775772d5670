#include "clientrequest.h"

#include "platform/wirenames.h"

#include <algorithm>
#include <cstdlib>

namespace filbertgw::testing {

namespace wire = platform::wire;

namespace {

constexpr Duration retryPause{50'000};
constexpr Duration longestRetryAfter{1'000'000};
const char *const clientHost = "ficu95.example";

std::string fieldOf(const std::string &line, const std::string &name)
{
    const std::string prefix = name + ": ";
    return line.compare(0, prefix.size(), prefix) == 0 ? line.substr(prefix.size()) : std::string();
}

bool isPromise(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/** \brief True for an answer after which no client tries again. */
bool isFinal(int status)
{
    switch (status) {
    case 400:
    case 401:
    case 402:
    case 403:
    case 404:
    case 413:
    case 431:
        return true;
    default:
        return false;
    }
}

} // namespace

bool ClientTry::isSuccess() const
{
    return status_ >= 200 && status_ < 300;
}

ReceivedEvents readEvents(const std::string &body)
{
    ReceivedEvents received;
    std::size_t at = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", at)) {
        const std::string block = body.substr(at, end - at);
        at = end + 2;
        // The stand-in's events consist of these two lines.
        const std::size_t line = block.find('\n');
        ReceivedEvent event;
        event.id_ = fieldOf(block.substr(0, line), "id");
        event.data_ = line == std::string::npos ? std::string() : fieldOf(block.substr(line + 1), "data");
        const bool isEvent = !event.id_.empty() && !event.data_.empty()
            && std::all_of(event.id_.begin(), event.id_.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
        if (isEvent) {
            received.events_.push_back(event);
        } else if (received.strange_.empty()) {
            received.strange_ = block;
        }
    }
    received.rest_ = body.substr(at);
    return received;
}

ClientRequest::ClientRequest(IoLoop &loop, HttpClient &http, ClientTask task, Hooks hooks)
    : loop_(loop)
    , http_(http)
    , task_(std::move(task))
    , hooks_(std::move(hooks))
{
}

void ClientRequest::start()
{
    sendTry();
}

void ClientRequest::sendTry()
{
    const std::shared_ptr<ClientTry> attempt = std::make_shared<ClientTry>();
    attempt->node_ = hooks_.pickNode_();
    attempt->attempt_ = hooks_.newAttemptId_();
    attempt->lastEventId_ = lastEventId_;
    attempt->resumes_ = lastEventId_.empty() ? std::string() : origin_;
    attempt->sentAt_ = loop_.now();
    tries_.push_back(attempt);
    HttpCall call;
    call.address_ = attempt->node_;
    call.request_.method_ = task_.body_.empty() ? "GET" : "POST";
    call.request_.target_ = task_.route_.path_ + (task_.body_.empty() ? task_.token_ : "2f");
    call.request_.body_ = task_.body_;
    std::map<std::string, std::string> &headers = call.request_.headers_;
    headers["host"] = clientHost;
    headers[wire::attemptId] = attempt->attempt_;
    headers[wire::timeLeft] = std::to_string(task_.timeLeft_.count() / 1000);
    if (task_.route_.isStreaming_) {
        headers["x-filbertgw-model"] = "m";
        headers[wire::tokenUsage] = "400,400";
        headers[wire::promptPrefix] = "5c1e07a2:300,91bd3f06:100";
        headers[wire::programId] = task_.program_;
        headers[wire::sessionId] = task_.program_ + "-s";
        headers[wire::finishIn] = "20000";
        headers[wire::tokenBudget] = "1000000";
    }
    if (!task_.key_.empty()) {
        headers[wire::apiKey] = task_.key_;
        headers[wire::account] = "made-up";
        headers[wire::peerAccount] = "made-up";
    }
    if (!task_.previousTurn_.empty()) {
        headers[wire::previousTurn] = task_.previousTurn_;
    }
    if (!attempt->lastEventId_.empty()) {
        headers[wire::lastEventId] = attempt->lastEventId_;
        headers[wire::resumes] = attempt->resumes_;
    }
    // A retry goes out on a new connection.
    call.mayReuse_ = tries_.size() == 1;
    call.timeout_ = task_.timeLeft_ + Duration{1'000'000};
    call.onHead_ = [attempt](const HttpHead &head) {
        ++attempt->heads_;
        attempt->status_ = head.status_;
        attempt->headers_ = head.headers_;
    };
    call.onPart_ = [self = shared_from_this(), attempt](int, const std::string &part) {
        attempt->body_ += part;
        self->leaveIfPlanned(*attempt);
    };
    call.onDone_ = [self = shared_from_this(), attempt](const HttpResult &result) {
        attempt->result_ = result;
        attempt->endedAt_ = self->loop_.now();
        attempt->hasEnded_ = true;
        self->tryEnded();
    };
    call_ = http_.start(std::move(call));
}

void ClientRequest::leaveIfPlanned(const ClientTry &attempt)
{
    const bool isPlanned = task_.leavesAfter_ > 0 && tries_.size() == 1 && !hasLeft_;
    if (!isPlanned || !attempt.isSuccess() || readEvents(attempt.body_).events_.size() < task_.leavesAfter_) {
        return;
    }
    hasLeft_ = true;
    loop_.post([self = shared_from_this(), call = call_] { self->http_.cancel(call); });
}

void ClientRequest::tryEnded()
{
    const ClientTry &ended = *tries_.back();
    if (ended.isSuccess() && task_.route_.isStreaming_) {
        const std::vector<ReceivedEvent> events = readEvents(ended.body_).events_;
        if (!events.empty()) {
            origin_ = lastEventId_.empty() ? ended.attempt_ : origin_;
            lastEventId_ = events.back().id_;
        }
    }
    isServed_ = ended.isSuccess() && ended.result_.outcome_ == HttpOutcome::Complete;
    if (isServed_ || tries_.size() >= task_.mostTries_ || !mayRetry(ended)) {
        hooks_.onDone_();
        return;
    }
    loop_.after(pauseAfter(ended), [self = shared_from_this()] { self->sendTry(); });
}

bool ClientRequest::mayRetry(const ClientTry &ended) const
{
    if (ended.result_.outcome_ == HttpOutcome::NotConnected) {
        return true;
    }
    const bool isWholeFailure = ended.result_.outcome_ == HttpOutcome::Complete;
    if (isWholeFailure && isFinal(ended.status_)) {
        return false;
    }
    const bool mayRepeat = task_.route_.isIdempotent_ || task_.route_.isResumable_;
    return mayRepeat || (isWholeFailure && isPromise(ended.status_));
}

Duration ClientRequest::pauseAfter(const ClientTry &ended) const
{
    const auto header = ended.headers_.find("retry-after");
    if (header == ended.headers_.end()) {
        return retryPause;
    }
    return std::clamp(fromSeconds(std::strtod(header->second.c_str(), nullptr)), retryPause, longestRetryAfter);
}

const ClientTask &ClientRequest::task() const
{
    return task_;
}

const std::vector<std::shared_ptr<ClientTry>> &ClientRequest::tries() const
{
    return tries_;
}

bool ClientRequest::isServed() const
{
    return isServed_;
}

const std::string &ClientRequest::servedAttempt() const
{
    return tries_.back()->attempt_;
}

std::vector<std::string> ClientRequest::output() const
{
    std::vector<std::string> output;
    for (const std::shared_ptr<ClientTry> &attempt : tries_) {
        if (!attempt->isSuccess()) {
            continue;
        }
        for (const ReceivedEvent &event : readEvents(attempt->body_).events_) {
            output.push_back(event.data_);
        }
    }
    return output;
}

} // namespace filbertgw::testing
