#include "gateway/gatewaycall.h"

#include "core/numbers.h"
#include "memory/releasetext.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

// The second half of GatewayCall: from the head of the endpoint's response to the end of the client's.
namespace filbertgw::internal {

namespace {

/** Tells the node that has passed a request on to try another one. */
constexpr int misdirectedStatus = 421;
/** Outcomes "served" and "served_by_peer". */
const std::string servedPrefix = "served";
/** Events over which the token rate of a stream is measured. */
constexpr std::uint64_t eventsPerRateSample = 3;

std::string secondsText(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", toSeconds(duration));
    return text.data();
}

} // namespace

std::string GatewayCall::relayHeaders()
{
    std::string contentType;
    for (const std::pair<const std::string, std::string> &header : head_.headers_) {
        if (header.first == "content-type") {
            contentType = header.second;
        } else {
            reply_->setHeader(header.first, header.second);
        }
    }
    return contentType;
}

void GatewayCall::startRelay()
{
    step_ = Step::Relaying;
    if (std::exchange(isRelayStarted_, true)) {
        return; // The answer keeps the head of the first run.
    }
    const std::string contentType = relayHeaders();
    reply_->startStream(head_.status_, contentType);
}

bool GatewayCall::isReceiving() const
{
    return !endpoint_.empty() || forwardAttempt_ != 0;
}

const std::string &GatewayCall::endpoint() const
{
    return endpoint_;
}

Duration GatewayCall::unansweredFor() const
{
    return endpoint_.empty() || headReceived_ ? Duration{0} : gateway_->hooks_.now_() - sentAt_;
}

std::size_t GatewayCall::bufferedBytes() const
{
    return responseBody_.size() + splitter_.bufferedBytes() + output_.size() + heldBytes_.size();
}

void GatewayCall::countBufferedBytes()
{
    const std::size_t now = step_ == Step::Ended ? 0 : bufferedBytes();
    gateway_->bufferedBytes_ += now;
    gateway_->bufferedBytes_ -= std::exchange(countedBytes_, now);
}

void GatewayCall::cutAnswer()
{
    if (forwardAttempt_ != 0) {
        cutForward();
        return;
    }
    gateway_->hooks_.cancelAttempt_(attempt_);
    releaseText(responseBody_);
    splitter_ = EventSplitter();
    attemptEnded(AttemptEnd::Broken);
    countBufferedBytes();
}

void GatewayCall::bodyReceived(const std::string &part)
{
    bool isValid = false;
    if (step_ == Step::Running) {
        responseBody_ += part;
        isValid = responseBody_.size() <= gateway_->settings_.maxResponseBytes_;
    } else if (step_ == Step::Relaying) {
        isValid = splitter_.add(part) && relayEvents();
    } else {
        return;
    }
    countBufferedBytes();
    if (!isValid) {
        cutAnswer();
        return;
    }
    gateway_->limitBufferedBytes();
}

bool GatewayCall::relayEvents()
{
    StreamEvent event;
    std::vector<OutputEvent> shared;
    bool isInOrder = true;
    while (isInOrder && splitter_.next(event)) {
        isInOrder = sequence_.take(event);
        if (isInOrder) {
            relayEvent(event, shared);
        }
    }
    shareOutput(std::move(shared));
    if (!isInOrder) {
        reportRejectedAnswer("out_of_order", event.id_);
    }
    return isInOrder;
}

void GatewayCall::relayEvent(const StreamEvent &event, std::vector<OutputEvent> &shared)
{
    const Time now = gateway_->hooks_.now_();
    relay(event.bytes_);
    if (retainsTurn()) {
        output_ += event.data_;
        output_ += '\n';
    }
    ++relayedEvents_;
    if (sharesOutput()) {
        shared.push_back(OutputEvent{event.id_, event.data_});
    }
    if (attemptEvents_++ == 0) {
        firstEventAt_ = now;
        origin_ = StreamOrigin{serviceName_, version_};
        gateway_->hooks_.observe_("first_event_seconds", now - arrivedAt_);
        observeTimeToFirstEvent(now);
    }
    observeTokenRate(now);
}

void GatewayCall::relay(const std::string &bytes)
{
    if (!sharesOutput()) {
        reply_->write(bytes);
        return;
    }
    const bool isFirst = heldBytes_.empty();
    heldBytes_ += bytes;
    if (isFirst) {
        gateway_->hooks_.after_(gateway_->settings_.outputs_.lead_, [self = shared_from_this()] {
            if (self->step_ != Step::Ended) {
                self->relayHeld();
            }
        });
    }
}

void GatewayCall::relayHeld()
{
    if (!heldBytes_.empty()) {
        reply_->write(heldBytes_);
        heldBytes_.clear();
    }
}

void GatewayCall::observeTimeToFirstEvent(Time now)
{
    // A resumed stream does other work before its first event.
    if (service_ != nullptr && service_->engine_ && relayedEvents_ == attemptEvents_
        && request_->lastEventId_.empty()) {
        gateway_->placement_.observeFirstEvent(serviceName_, start_, now - sentAt_);
    }
}

void GatewayCall::observeTokenRate(Time now)
{
    if (service_ == nullptr || !service_->engine_) {
        return;
    }
    if (attemptEvents_ == 1) {
        rateSampledEvents_ = 1;
        rateSampledAt_ = now;
    } else if (attemptEvents_ - rateSampledEvents_ >= eventsPerRateSample) {
        const std::uint64_t tokens = (attemptEvents_ - rateSampledEvents_) * service_->engine_->tokensPerEvent_;
        gateway_->placement_.observeTokens(serviceName_, endpoint_, tokens, now - rateSampledAt_);
        rateSampledEvents_ = attemptEvents_;
        rateSampledAt_ = now;
    }
}

void GatewayCall::relayResponse()
{
    const std::string contentType = relayHeaders();
    reply_->send(head_.status_, contentType, responseBody_);
    releaseText(responseBody_); // Timers may keep the ended call for a while.
    end(head_.status_ / 100 == 2 ? "served" : "endpoint_error");
}

void GatewayCall::completeStream()
{
    if (!retainsTurn()) {
        reply_->finish();
        end("served");
        return;
    }
    step_ = Step::Storing;
    EndedTurn turn;
    turn.id_ = request_->scopedAttempt();
    turn.chain_ = earlierTurns_;
    turn.text_ = request_->body_ + output_;
    turn.retention_ = route_->retention_;
    if (!gateway_->turns_.fits(turn)) {
        abortResponse("turn_too_large");
        return;
    }
    storeOperation_ = gateway_->turns_.store(turn, [self = shared_from_this()] { self->turnStored(); });
}

void GatewayCall::turnStored()
{
    storeOperation_ = 0;
    if (step_ == Step::Storing) {
        relayHeld();
        reply_->finish();
        end("served");
    }
}

void GatewayCall::refuse(RefusalReason reason)
{
    if (step_ == Step::Ended) {
        return;
    }
    reason = truthfulReason(reason, mayHaveRun());
    const int status =
        request_->isForwarded_ && reason == RefusalReason::Unreachable ? misdirectedStatus : statusOf(reason);
    if (isRelayStarted_) {
        abortResponse("no_endpoint_to_resume");
        return;
    }
    if (status == 503) {
        const Duration after = gateway_->retryAfter_.retryAfter(
            reason, gateway_->isStoreUnavailable(), drawFrom(gateway_->hooks_.random_));
        reply_->setHeader("Retry-After", secondsText(after));
    }
    if (status == 429) {
        reply_->setHeader("Retry-After", secondsText(quotaRetryAfter_));
    }
    reply_->send(status, "application/json", "{\"error\":\"" + std::string(nameOf(reason)) + "\"}");
    end(std::string(nameOf(reason)).c_str());
}

void GatewayCall::abortResponse(const char *outcome)
{
    relayHeld();
    reply_->abort();
    end(outcome);
}

void GatewayCall::clientDisconnected()
{
    if (step_ == Step::Ended) {
        return;
    }
    if (isRelayStarted_ && origin_) {
        checkLastEndpoint([] {}); // It may take the stream up at another node.
    }
    end("client_left");
}

void GatewayCall::endForStop()
{
    if (step_ == Step::Ended) {
        return;
    }
    if (isRelayStarted_) {
        abortResponse("stopped_midway");
        return;
    }
    refuse(mayHaveRun() ? RefusalReason::OutcomeUnknown : RefusalReason::Stopping);
}

bool GatewayCall::mayHaveRun() const
{
    return runs_ > 0 || !endpoint_.empty() || forwardAttempt_ != 0;
}

void GatewayCall::timedOut()
{
    timer_ = 0;
    if (step_ == Step::Ended) {
        return;
    }
    if (isRelayStarted_) {
        abortResponse("timed_out_midway");
        return;
    }
    refuse(mayHaveRun() ? RefusalReason::TimedOut : RefusalReason::EndpointsFull);
}

namespace {

std::uint64_t tokensPerEvent(const Service *service)
{
    return service != nullptr && service->engine_ ? service->engine_->tokensPerEvent_ : 1;
}

} // namespace

std::uint64_t GatewayCall::mostTokensPerEvent() const
{
    if (forwardedTo_.empty()) {
        return tokensPerEvent(service_);
    }
    std::uint64_t most = 1;
    for (const RouteTarget &target : route_->targets_) {
        most = std::max(most, tokensPerEvent(routing_->service(target.service_)));
    }
    return most;
}

void GatewayCall::settleBudget()
{
    gateway_->budget_.settle(grant_, relayedEvents_ * mostTokensPerEvent());
    grant_ = BudgetGrant();
}

void GatewayCall::countForAccount(const std::string &outcome)
{
    if (outcome == nameOf(RefusalReason::Unauthenticated)) {
        gateway_->hooks_.count_("unauthenticated_total", std::string(nameOf(keyCheck_)));
    }
    if (!request_->hasAccounts_) {
        return;
    }
    std::string result = "failed";
    if (outcome.compare(0, servedPrefix.size(), servedPrefix) == 0) {
        result = "served";
    } else if (valueOf<RefusalReason>(outcome)) {
        result = "refused";
    }
    const std::string account = request_->account_.empty() ? "none" : request_->account_;
    gateway_->hooks_.count_("account_requests_total",
                            gateway_->accountLabels_.labelOf(account) + ",result=\"" + result + '"');
}

void GatewayCall::end(const char *outcome)
{
    const std::shared_ptr<GatewayCall> self = shared_from_this();
    const Duration unansweredFor = this->unansweredFor();
    step_ = Step::Ended;
    if (timer_ != 0) {
        gateway_->hooks_.cancelTimer_(timer_);
    }
    if (!endpoint_.empty()) {
        gateway_->hooks_.cancelAttempt_(attempt_);
        reportSilence();
    }
    releaseEndpoint(AttemptEnd::Cancelled);
    if (forwardAttempt_ != 0) {
        gateway_->hooks_.cancelAttempt_(std::exchange(forwardAttempt_, 0));
    }
    if (storeOperation_ != 0) {
        gateway_->turns_.abandon(storeOperation_);
    }
    settleBudget();
    returnPermit();
    countBufferedBytes();
    reply_->onClosed(nullptr);
    const Duration took = gateway_->hooks_.now_() - arrivedAt_;
    gateway_->hooks_.count_("requests_total", outcome);
    countForAccount(outcome);
    gateway_->hooks_.observe_("request_seconds", took);
    gateway_->hooks_.logEvent_(
        "request_ended",
        {{"request", request_->id_},
         {"program", request_->program_},
         {"route", route_ != nullptr ? route_->name_ : ""},
         {"account", request_->account_},
         {"auth", nameOf(keyCheck_)}, // The logger hides fields with the name "key".
         {"configuration", routing_ ? routing_->version() : 0},
         {"outcome", outcome},
         {"endpoint", lastEndpoint_},
         {"first_ms", firstEventAt_ > Time{0} ? toMilliseconds(firstEventAt_ - arrivedAt_) : 0.0},
         {"sent_ms", sends_ > 0 ? toMilliseconds(sentAt_ - arrivedAt_) : 0.0},
         {"status", head_.status_},
         {"sends", sends_},
         {"unanswered_ms", toMilliseconds(unansweredFor)},
         {"prompt", request_->totalPromptTokens()},
         {"chain", earlierTurns_.size()},
         {"unread", start_.uncachedTokens_},
         {"others", start_.otherRequests_},
         {"runs", runs_},
         {"events", relayedEvents_},
         {"resumes", request_->resumes_},
         {"after_event", request_->lastEventId_},
         {"version", version_},
         {"forwarded", request_->isForwarded_},
         {"peer", forwardedTo_},
         {"budget", request_->tokenBudget_.value_or(0)},
         {"grant", nameOf(grantBasis_)},
         {"content", fingerprints_ ? fingerprints_->content_ : std::string()},
         {"main_line", request_->session_ == request_->program_},
         {"most_tokens", request_->maxOutputTokens_},
         {"ms", toMilliseconds(took)}});
    gateway_->calls_.erase(self);
}

} // namespace filbertgw::internal
