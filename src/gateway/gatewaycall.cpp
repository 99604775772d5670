#include "gateway/gatewaycall.h"

#include "core/failure.h"

#include <algorithm>
#include <cstdio>

namespace filbertgw::internal {

namespace {

/** An attempt that has less time than this is not worth sending. */
constexpr Duration shortestAttempt{15'000};
/** Sends of one request, refused ones included. */
constexpr std::uint32_t mostSends = 12;
/** Urgency of the most important route; each rank below adds urgencyPerRank, so that ranks never mix. */
constexpr std::uint32_t highestUrgency = 1;
constexpr std::uint32_t urgencyPerRank = 3;
/** Programs under way go before new ones of their rank: what they have spent would be lost. */
constexpr std::uint32_t urgencyOfFirstTurn = 1;
constexpr std::uint32_t lowestUrgency = 9;
/** Events over which the pace of a stream is measured. */
constexpr std::uint64_t eventsPerObservation = 3;

std::string secondsText(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", toSeconds(duration));
    return text.data();
}

/** A uniformly distributed number from 0 to 1. */
double drawFrom(const RandomSource &random)
{
    constexpr int unusedBits = 11; // A double holds 53 of 64 bits.
    return static_cast<double>(random() >> unusedBits) / static_cast<double>(1ULL << (64 - unusedBits));
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

} // namespace

GatewayCall::GatewayCall(std::shared_ptr<Gateway::Private> gateway,
                         GatewayRequest request,
                         std::shared_ptr<HttpReply> reply)
    : gateway_(std::move(gateway))
    , routing_(gateway_->routing_)
    , request_(std::make_shared<GatewayRequest>(std::move(request)))
    , reply_(std::move(reply))
    , arrived_(gateway_->hooks_.now_())
{
}

void GatewayCall::start()
{
    reply_->onClosed([self = shared_from_this()] { self->clientLeft(); });
    if (!routing_) {
        refuse(RefusalReason::NoConfiguration);
        return;
    }
    route_ = routing_->find(request_->host_, pathOf(request_->target_));
    if (route_ == nullptr) {
        refuse(RefusalReason::NoRoute);
        return;
    }
    Duration allowed = route_->timeout_ > Duration{0} ? route_->timeout_ : gateway_->settings_.defaultTimeout_;
    if (request_->timeLeft_) {
        allowed = std::min(allowed, *request_->timeLeft_);
    }
    deadline_ = arrived_ + allowed;
    timer_ = gateway_->hooks_.after_(allowed, [self = shared_from_this()] { self->timedOut(); });
    lastEventId_ = request_->lastEventId_;
    chooseService();
    if (!admitProgram()) {
        refuse(RefusalReason::Overloaded);
        return;
    }
    loadChain();
}

/** Notes how the program proceeds. \return false if it is a new one that is not admitted. */
bool GatewayCall::admitProgram()
{
    const bool isMainLine = route_->kind_ == RouteKind::Streaming && request_->session_ == request_->program_;
    if (!isMainLine || request_->program_.empty()) {
        return true;
    }
    const ServiceLoad load = gateway_->loadOf(serviceName_);
    const Duration finishIn = request_->finishIn_.value_or(Duration{0});
    if (!beginsProgram()) {
        gateway_->pace_.continued(serviceName_, request_->program_, finishIn, load.stretch_);
        return true;
    }
    if (!gateway_->admission_.admits(load, route_->rank_, drawFrom(gateway_->hooks_.random_))) {
        gateway_->hooks_.logEvent_("program_refused",
                                   {{"request", request_->id_},
                                    {"program", request_->program_},
                                    {"load", load.perSlot_},
                                    {"stretch", load.stretch_},
                                    {"allowed", load.allowedStretch_.value_or(0.0)}});
        return false;
    }
    gateway_->pace_.began(request_->program_, finishIn);
    return true;
}

Duration GatewayCall::timeLeft() const
{
    return deadline_ - gateway_->hooks_.now_();
}

bool GatewayCall::retainsTurn() const
{
    return route_->kind_ == RouteKind::Streaming && route_->retainsTurns_ && !request_->id_.empty();
}

/** Draws one of the services of the route by their weights. */
void GatewayCall::chooseService()
{
    double total = 0.0;
    for (const RouteTarget &target : route_->targets_) {
        total += target.weight_;
    }
    double point = total * drawFrom(gateway_->hooks_.random_);
    for (const RouteTarget &target : route_->targets_) {
        serviceName_ = target.service_;
        point -= target.weight_;
        if (point < 0.0) {
            break;
        }
    }
    service_ = routing_->service(serviceName_);
}

/** True for the first turn of a program: nothing has been spent on it yet. */
bool GatewayCall::beginsProgram() const
{
    return route_->kind_ == RouteKind::Streaming && !request_->program_.empty()
        && request_->session_ == request_->program_ && request_->previousTurn_.empty()
        && gateway_->ledger_.spent(request_->program_) == 0;
}

void GatewayCall::loadChain()
{
    if (!retainsTurn() || request_->previousTurn_.empty()) {
        body_ = std::shared_ptr<const std::string>(request_, &request_->body_);
        reserveBudget();
        return;
    }
    gateway_->turns_.chain(request_->conversations_,
                           request_->previousTurn_,
                           [self = shared_from_this()](ChainStatus status, const std::string &text) {
                               if (self->step_ == Step::Preparing) {
                                   self->chainLoaded(status, text);
                               }
                           });
}

void GatewayCall::chainLoaded(ChainStatus status, const std::string &text)
{
    const Duration took = gateway_->hooks_.now_() - arrived_;
    if (took > Duration{0} || status != ChainStatus::Found) {
        gateway_->hooks_.logEvent_("turn_chain_read",
                                   {{"request", request_->id_},
                                    {"program", request_->program_},
                                    {"previous", request_->previousTurn_},
                                    {"status", nameOf(status)},
                                    {"bytes", text.size()},
                                    {"ms", milliseconds(took)}});
    }
    if (status != ChainStatus::Found) {
        refuse(status == ChainStatus::Missing ? RefusalReason::TurnMissing : RefusalReason::TurnUnknown);
        return;
    }
    body_ = std::make_shared<const std::string>(text + request_->body_);
    reserveBudget();
}

void GatewayCall::reserveBudget()
{
    if (route_->kind_ != RouteKind::Streaming || request_->program_.empty() || !request_->tokenBudget_) {
        place();
        return;
    }
    TurnReservation turn;
    turn.program_ = request_->program_;
    turn.budget_ = *request_->tokenBudget_;
    turn.tokens_ = request_->maxOutputTokens_;
    turn.mainLine_ = request_->session_ == request_->program_;
    gateway_->budget_.reserve(turn, [self = shared_from_this()](const BudgetGrant &grant) {
        self->grant_ = grant;
        if (self->step_ == Step::Preparing) {
            self->budgetDecided(grant);
        } else {
            self->settleBudget();
        }
    });
}

void GatewayCall::budgetDecided(const BudgetGrant &grant)
{
    if (grant.decision_ == BudgetDecision::Granted) {
        place();
        return;
    }
    refuse(grant.decision_ == BudgetDecision::Exhausted ? RefusalReason::BudgetSpent : RefusalReason::BudgetUnknown);
}

const Endpoint *GatewayCall::chooseEndpoint()
{
    return gateway_->placement_.choose(gateway_->directory_.ready(serviceName_), service_, *request_, excluded_);
}

void GatewayCall::place()
{
    step_ = Step::Placing;
    if (sends_ >= mostSends || timeLeft() < shortestAttempt) {
        refuse(runs_ > 0 ? RefusalReason::OutcomeUnknown : RefusalReason::EndpointsFull);
        return;
    }
    const Endpoint *endpoint = chooseEndpoint();
    if (endpoint != nullptr) {
        send(*endpoint);
        return;
    }
    if (gateway_->directory_.ready(serviceName_).empty()) {
        refuse(RefusalReason::NoEndpoint);
        return;
    }
    // Every endpoint has refused: they are asked again while the request is still worth it.
    if (timeLeft() < gateway_->settings_.capacityRetry_ * 2) {
        refuse(runs_ > 0 ? RefusalReason::OutcomeUnknown : RefusalReason::EndpointsFull);
        return;
    }
    excluded_.clear();
    gateway_->hooks_.after_(gateway_->settings_.capacityRetry_, [self = shared_from_this()] {
        if (self->step_ == Step::Placing) {
            self->place();
        }
    });
}

void GatewayCall::send(const Endpoint &endpoint)
{
    step_ = Step::Running;
    ++sends_;
    endpoint_ = endpoint.id_;
    lastEndpoint_ = endpoint.id_;
    sentAt_ = gateway_->hooks_.now_();
    headArrived_ = false;
    head_ = AttemptHead();
    answer_.clear();
    splitter_ = EventSplitter();
    attemptEvents_ = 0;
    EndpointAttempt attempt;
    attempt.address_ = endpoint.address_;
    attempt.endpoint_ = endpoint.id_;
    attempt.request_ = request_;
    attempt.body_ = body_;
    attempt.lastEventId_ = lastEventId_;
    attempt.timeLeft_ = timeLeft();
    attempt.maxIdleAge_ =
        route_->mayRepeat() ? gateway_->settings_.idleReuseRepeatable_ : gateway_->settings_.idleReuse_;
    if (service_ != nullptr && service_->engine_) {
        attempt.urgency_ = urgency();
    }
    start_ = gateway_->placement_.started(endpoint, *request_);
    AttemptHandlers handlers;
    handlers.onHead_ = [self = shared_from_this()](const AttemptHead &head) { self->headArrived(head); };
    handlers.onPart_ = [self = shared_from_this()](const std::string &part) { self->partArrived(part); };
    handlers.onEnd_ = [self = shared_from_this()](AttemptEnd ended) { self->attemptEnded(ended); };
    attempt_ = gateway_->hooks_.startAttempt_(std::move(attempt), std::move(handlers));
}

std::uint32_t GatewayCall::urgency() const
{
    const bool isFirstTurn = gateway_->ledger_.spent(request_->program_) <= grant_.tokens_;
    const std::uint32_t urgency =
        highestUrgency + route_->rank_ * urgencyPerRank + (isFirstTurn ? urgencyOfFirstTurn : 0);
    return std::min(urgency, lowestUrgency);
}

void GatewayCall::headArrived(const AttemptHead &head)
{
    if (step_ != Step::Running && step_ != Step::Relaying) {
        return;
    }
    headArrived_ = true;
    head_ = head;
    const bool isStream = route_->kind_ == RouteKind::Streaming && head.status_ / 100 == 2;
    if (isStream && head.fromEndpoint_ && !head.notRun_ && step_ == Step::Running) {
        startRelay();
    }
}

void GatewayCall::startRelay()
{
    step_ = Step::Relaying;
    std::string contentType;
    for (const std::pair<const std::string, std::string> &header : head_.headers_) {
        if (header.first == "content-type") {
            contentType = header.second;
        } else {
            reply_->setHeader(header.first, header.second);
        }
    }
    reply_->startStream(head_.status_, contentType);
}

void GatewayCall::partArrived(const std::string &part)
{
    if (step_ == Step::Running) {
        answer_ += part;
        if (answer_.size() > gateway_->settings_.answerBytes_) {
            gateway_->hooks_.cancelAttempt_(attempt_);
            leaveEndpoint();
            refuse(RefusalReason::OutcomeUnknown);
        }
        return;
    }
    if (step_ != Step::Relaying) {
        return;
    }
    if (!splitter_.add(part) || !relayEvents()) {
        gateway_->hooks_.cancelAttempt_(attempt_);
        attemptEnded(AttemptEnd::Broken);
    }
}

/** Passes whole events on. \return false if the stream is not the one that is expected. */
bool GatewayCall::relayEvents()
{
    StreamEvent event;
    const Time now = gateway_->hooks_.now_();
    while (splitter_.next(event)) {
        reply_->write(event.bytes_);
        if (!event.id_.empty()) {
            lastEventId_ = event.id_;
        }
        if (retainsTurn()) {
            output_ += event.data_;
            output_ += '\n';
        }
        ++events_;
        if (attemptEvents_++ == 0) {
            firstEventAt_ = now;
            gateway_->hooks_.observe_("first_event_seconds", now - arrived_);
            noteFirstEvent(now);
        }
        observePace(now);
    }
    return true;
}

/** Tells the model of the engine how long it took to begin; a stream that goes on elsewhere has other work there. */
void GatewayCall::noteFirstEvent(Time now)
{
    if (service_ != nullptr && service_->engine_ && events_ == attemptEvents_ && request_->lastEventId_.empty()) {
        gateway_->placement_.observeFirstEvent(serviceName_, start_, now - sentAt_);
    }
}

/** Reports the pace of the endpoint while the stream runs: an engine that has turned slow is known within few events.
 */
void GatewayCall::observePace(Time now)
{
    if (service_ == nullptr || !service_->engine_) {
        return;
    }
    if (attemptEvents_ == 1) {
        pacedEvents_ = 1;
        pacedAt_ = now;
    } else if (attemptEvents_ - pacedEvents_ >= eventsPerObservation) {
        const std::uint64_t tokens = (attemptEvents_ - pacedEvents_) * service_->engine_->tokensPerEvent_;
        gateway_->placement_.observeTokens(serviceName_, endpoint_, tokens, now - pacedAt_);
        pacedEvents_ = attemptEvents_;
        pacedAt_ = now;
    }
}

/** Gives back the place at the endpoint of the attempt. */
void GatewayCall::leaveEndpoint()
{
    if (!endpoint_.empty()) {
        gateway_->placement_.ended(endpoint_);
        endpoint_.clear();
    }
}

void GatewayCall::attemptEnded(AttemptEnd ended)
{
    if (endpoint_.empty() || (step_ != Step::Running && step_ != Step::Relaying)) {
        return;
    }
    const std::string endpoint = endpoint_;
    leaveEndpoint();
    if (ended == AttemptEnd::NotSent) {
        gateway_->placement_.failed(endpoint);
        excluded_.insert(endpoint);
        place();
        return;
    }
    const bool refused = ended == AttemptEnd::Complete && (head_.notRun_ || head_.wrongInstance_);
    if (refused) {
        head_.wrongInstance_ ? gateway_->placement_.failed(endpoint) : gateway_->placement_.refusedAsFull(endpoint);
        excluded_.insert(endpoint);
        afterRefusal();
        return;
    }
    ++runs_;
    if (ended == AttemptEnd::Complete && head_.fromEndpoint_ && step_ == Step::Running) {
        gateway_->placement_.succeeded(endpoint);
        gateway_->placement_.observeService(endpoint, gateway_->hooks_.now_() - sentAt_);
        passOnAnswer();
        return;
    }
    if (ended == AttemptEnd::Complete && step_ == Step::Relaying && !splitter_.isInsideEvent()) {
        gateway_->placement_.succeeded(endpoint);
        if (service_ != nullptr && service_->engine_) {
            gateway_->placement_.observeSize(serviceName_, start_, attemptEvents_ * service_->engine_->tokensPerEvent_);
        }
        streamComplete();
        return;
    }
    gateway_->placement_.failed(endpoint);
    excluded_.insert(endpoint);
    afterFailure(ended);
}

void GatewayCall::afterRefusal()
{
    gateway_->hooks_.count_("endpoint_refusals_total", {});
    place();
}

bool GatewayCall::mayRunAgain() const
{
    return route_->mayRepeat() && runs_ < std::max<std::uint32_t>(1, route_->maxAttempts_)
        && timeLeft() >= shortestAttempt;
}

void GatewayCall::afterFailure(AttemptEnd ended)
{
    gateway_->hooks_.logEvent_("attempt_failed",
                               {{"request", request_->id_},
                                {"program", request_->program_},
                                {"endpoint", lastEndpoint_},
                                {"end", nameOf(ended)},
                                {"status", head_.status_},
                                {"runs", runs_},
                                {"events", events_},
                                {"may_run_again", mayRunAgain()}});
    if (mayRunAgain()) {
        place();
        return;
    }
    if (step_ == Step::Relaying) {
        abortAnswer("endpoint_broke_off");
        return;
    }
    refuse(ended == AttemptEnd::TimedOut ? RefusalReason::TimedOut : RefusalReason::OutcomeUnknown);
}

void GatewayCall::passOnAnswer()
{
    std::string contentType;
    for (const std::pair<const std::string, std::string> &header : head_.headers_) {
        if (header.first == "content-type") {
            contentType = header.second;
        } else {
            reply_->setHeader(header.first, header.second);
        }
    }
    reply_->send(head_.status_, contentType, answer_);
    end(head_.status_ / 100 == 2 ? "served" : "endpoint_error");
}

void GatewayCall::streamComplete()
{
    if (!retainsTurn() || request_->conversations_.empty()) {
        reply_->finish();
        end("served");
        return;
    }
    step_ = Step::Storing;
    RetainedTurn turn;
    turn.id_ = request_->id_;
    turn.previous_ = request_->previousTurn_;
    turn.text_ = request_->body_ + output_;
    turn.retention_ = route_->retention_;
    if (!gateway_->turns_.fits(turn.text_.size())) {
        abortAnswer("turn_too_large");
        return;
    }
    storing_ = gateway_->turns_.store(
        request_->conversations_.front(), std::move(turn), [self = shared_from_this()] { self->turnDurable(); });
}

void GatewayCall::turnDurable()
{
    storing_ = 0;
    if (step_ == Step::Storing) {
        reply_->finish();
        end("served");
    }
}

void GatewayCall::refuse(RefusalReason reason)
{
    if (step_ == Step::Ended) {
        return;
    }
    const int status = statusOf(reason);
    if (step_ == Step::Relaying) {
        abortAnswer("no_endpoint_to_resume");
        return;
    }
    if (status == 503) {
        const Duration after =
            gateway_->retryAfter_.retryAfter(reason, gateway_->isStoreAway(), drawFrom(gateway_->hooks_.random_));
        reply_->setHeader("Retry-After", secondsText(after));
    }
    reply_->send(status, "application/json", "{\"error\":\"" + std::string(nameOf(reason)) + "\"}");
    end(std::string(nameOf(reason)).c_str());
}

/** Closes the connection, so that the answer is visibly incomplete. */
void GatewayCall::abortAnswer(const char *why)
{
    reply_->abort();
    end(why);
}

void GatewayCall::clientLeft()
{
    if (step_ == Step::Ended) {
        return;
    }
    end("client_left");
}

void GatewayCall::timedOut()
{
    timer_ = 0;
    if (step_ == Step::Ended) {
        return;
    }
    if (step_ == Step::Relaying || step_ == Step::Storing) {
        abortAnswer("timed_out_midway");
        return;
    }
    refuse(runs_ > 0 || !endpoint_.empty() ? RefusalReason::TimedOut : RefusalReason::EndpointsFull);
}

void GatewayCall::settleBudget()
{
    const std::uint64_t each = service_ != nullptr && service_->engine_ ? service_->engine_->tokensPerEvent_ : 1;
    gateway_->budget_.settle(grant_, events_ * each);
    grant_ = BudgetGrant();
}

void GatewayCall::end(const char *outcome)
{
    const std::shared_ptr<GatewayCall> self = shared_from_this();
    step_ = Step::Ended;
    if (timer_ != 0) {
        gateway_->hooks_.cancelTimer_(timer_);
    }
    if (!endpoint_.empty()) {
        gateway_->hooks_.cancelAttempt_(attempt_);
    }
    const std::string endpoint = endpoint_;
    leaveEndpoint();
    if (storing_ != 0) {
        gateway_->turns_.abandon(storing_);
    }
    settleBudget();
    reply_->onClosed(nullptr);
    const Duration took = gateway_->hooks_.now_() - arrived_;
    gateway_->hooks_.count_("requests_total", outcome);
    gateway_->hooks_.observe_("request_seconds", took);
    gateway_->hooks_.logEvent_("request_ended",
                               {{"request", request_->id_},
                                {"program", request_->program_},
                                {"route", route_ != nullptr ? route_->name_ : ""},
                                {"outcome", outcome},
                                {"endpoint", lastEndpoint_},
                                {"first_ms", firstEventAt_ > Time{0} ? milliseconds(firstEventAt_ - arrived_) : 0.0},
                                {"sent_ms", sends_ > 0 ? milliseconds(sentAt_ - arrived_) : 0.0},
                                {"status", head_.status_},
                                {"sends", sends_},
                                {"unread", start_.unread_},
                                {"others", start_.others_},
                                {"runs", runs_},
                                {"events", events_},
                                {"budget", request_->tokenBudget_.value_or(0)},
                                {"main_line", request_->session_ == request_->program_},
                                {"most_tokens", request_->maxOutputTokens_},
                                {"ms", milliseconds(took)}});
    gateway_->calls_.erase(self);
}

} // namespace filbertgw::internal
