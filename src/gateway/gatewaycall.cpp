#include "gateway/gatewaycall.h"
#include "memory/releasetext.h"

#include "accounts/accountscope.h"
#include "core/numbers.h"

#include <algorithm>
#include <utility>

namespace filbertgw::internal {

namespace {

/** A request with less time left is not sent any more. */
constexpr Duration minAttemptTime{15'000};
/** An answer that does not begin within the time left divided by this may have been lost: another endpoint is asked. */
constexpr std::int64_t silenceDivisor = 3;
constexpr Duration silenceMargin{200'000};
/** Limit on the attempts of a request, refused ones included. */
constexpr std::uint32_t maxSends = 12;
/** Urgency of the most important routes. Each lower priority adds urgencyPerPriority, which exceeds
 * firstTurnUrgencyPenalty, so that priorities do not overlap. */
constexpr std::uint32_t highestUrgency = 1;
constexpr std::uint32_t urgencyPerPriority = 3;
/** Running programs go before new ones of the same priority: the tokens they have spent would be wasted. */
constexpr std::uint32_t firstTurnUrgencyPenalty = 1;
constexpr std::uint32_t lowestUrgency = 9;

/** A client sends a turn that has failed again from its start, so often in all and after a pause. */
constexpr std::int64_t turnTries = 3;
constexpr Duration longestTurnPause{400'000};

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

GatewayCall::GatewayCall(std::shared_ptr<Gateway::Private> gateway,
                         GatewayRequest request,
                         std::shared_ptr<HttpReply> reply)
    : gateway_(std::move(gateway))
    , request_(std::make_shared<GatewayRequest>(std::move(request)))
    , reply_(std::move(reply))
    , arrivedAt_(gateway_->hooks_.now_())
{
}

void GatewayCall::start()
{
    reply_->onClosed([self = shared_from_this()] { self->clientDisconnected(); });
    routing_ = gateway_->routing_;
    if (!routing_) {
        refuse(RefusalReason::NoConfiguration);
        return;
    }
    route_ = routing_->find(request_->host_, pathOf(request_->target_));
    if (route_ == nullptr) {
        refuse(RefusalReason::NoRoute);
        return;
    }
    const std::optional<RefusalReason> refusal = request_->isForwarded_ ? adoptAccount() : identifyAccount();
    if (refusal) {
        refuse(*refusal);
        return;
    }
    Duration allowed = route_->timeout_ > Duration{0} ? route_->timeout_ : gateway_->settings_.defaultTimeout_;
    if (request_->timeLeft_) {
        allowed = std::min(allowed, *request_->timeLeft_);
    }
    deadline_ = arrivedAt_ + allowed;
    if (gateway_->isTooLateForStop(allowed)) {
        refuse(RefusalReason::Stopping);
        return;
    }
    timer_ = gateway_->hooks_.after_(allowed, [self = shared_from_this()] { self->timedOut(); });
    if (resumesStream()) {
        sequence_.continueAfter(request_->lastEventId_);
    }
    if (isQuarantined()) {
        refuse(RefusalReason::Quarantined);
        return;
    }
    if (request_->isForwarded_ && (gateway_->reachability_.isCutOff() || !gateway_->isReady())) {
        refuse(RefusalReason::Unreachable);
        return;
    }
    if (mustForward() && forward()) {
        return;
    }
    if (resumesStream()) {
        readRegistry();
        return;
    }
    findOutput();
}

std::optional<RefusalReason> GatewayCall::identifyAccount()
{
    const AccountDirectory *accounts = routing_->accounts();
    if (accounts == nullptr) {
        return std::nullopt;
    }
    const std::string key = std::exchange(request_->apiKey_, {});
    const ClientAccount *account = accounts->findByKey(key);
    const KeyCheck withoutAccount = AccountDirectory::isKey(key) ? KeyCheck::Unknown : KeyCheck::Malformed;
    keyCheck_ = key.empty() ? KeyCheck::Missing : account == nullptr ? withoutAccount : KeyCheck::Known;
    return setAccount(account) ? std::nullopt : std::optional(RefusalReason::Unauthenticated);
}

/** The key does not leave the node that has checked it. */
std::optional<RefusalReason> GatewayCall::adoptAccount()
{
    const AccountDirectory *accounts = routing_->accounts();
    const std::optional<std::string> &name = request_->peerAccount_;
    if (accounts == nullptr && !name) {
        return std::nullopt;
    }
    // Else the nodes have different versions of the configuration: another node may have that of the first.
    const bool isComparable = accounts != nullptr && name;
    const ClientAccount *account = isComparable ? accounts->findByName(*name) : nullptr;
    keyCheck_ = KeyCheck::ByPeer;
    const bool isKnown = isComparable && (account != nullptr || name->empty());
    return isKnown && setAccount(account) ? std::nullopt : std::optional(RefusalReason::Unreachable);
}

bool GatewayCall::setAccount(const ClientAccount *account)
{
    request_->hasAccounts_ = true;
    request_->account_ = account != nullptr ? account->name_ : std::string();
    request_->scope_ = accountScope(request_->account_);
    account_ = route_->isOpen_ ? nullptr : account;
    return account != nullptr || route_->isOpen_;
}

std::uint32_t GatewayCall::priority() const
{
    return account_ != nullptr ? account_->priority_.value_or(route_->priority_) : route_->priority_;
}

void GatewayCall::prepare()
{
    chooseService();
    acquirePermit([this] {
        if (!admitProgram()) {
            refuse(RefusalReason::Overloaded);
            return;
        }
        loadChain();
    });
}

double GatewayCall::refusedShare(const ServiceLoad &load) const
{
    const auto ofPriority = [this, &load](std::uint32_t priority) {
        return gateway_->admission_.refusedShare(load, priority);
    };
    return account_ == nullptr
        ? ofPriority(priority())
        : gateway_->accountAdmission_.refusalProbability(serviceName_, account_->name_, priority(), ofPriority);
}

void GatewayCall::reportRefusedProgram(const ServiceLoad &load, double refusedShare) const
{
    nlohmann::json fields = {{"request", request_->id_},
                             {"program", request_->program_},
                             {"load", load.requestsPerSlot_},
                             {"stretch", load.slowdown_},
                             {"allowed", load.allowedSlowdown_.value_or(0.0)}};
    if (account_ != nullptr) {
        fields["account"] = account_->name_;
        fields["refused_share"] = refusedShare;
        gateway_->hooks_.count_("account_refusals_total",
                                gateway_->accountLabels_.labelOf(account_->name_) + ",cause=\"fair_share\"");
    }
    gateway_->hooks_.logEvent_("program_refused", fields);
}

bool GatewayCall::isTooLate() const
{
    if (account_ == nullptr || origin_ || request_->expectedOutputTokens_ == 0 || !service_ || !service_->engine_) {
        return false;
    }
    const std::uint64_t tokens = request_->maxOutputTokens_ > 0
        ? std::min(request_->expectedOutputTokens_, request_->maxOutputTokens_)
        : request_->expectedOutputTokens_;
    const std::optional<Duration> needed = gateway_->placement_.engines().minTurnTime(serviceName_, tokens);
    return needed && timeLeft() < *needed;
}

bool GatewayCall::admitProgram()
{
    const bool isRootAgentTurn = route_->kind_ == RouteKind::Streaming && request_->session_ == request_->program_;
    if (!isRootAgentTurn || request_->program_.empty()) {
        return true;
    }
    const ServiceLoad load = gateway_->loadOf(serviceName_);
    const Duration finishIn = request_->finishIn_.value_or(Duration{0});
    if (!startsProgram()) {
        gateway_->pace_.turnStarted(serviceName_, request_->scopedProgram(), finishIn, load.slowdown_);
        return true;
    }
    const double refused = refusedShare(load);
    if (Admission::drawOf(request_->scopedProgram()) < refused) {
        reportRefusedProgram(load, refused);
        return false;
    }
    gateway_->pace_.programStarted(request_->scopedProgram(), finishIn);
    return true;
}

Duration GatewayCall::timeLeft() const
{
    return deadline_ - gateway_->hooks_.now_();
}

Duration GatewayCall::turnRepeatTime() const
{
    const Duration timeout = route_->timeout_ > Duration{0} ? route_->timeout_ : gateway_->settings_.defaultTimeout_;
    return (timeout + longestTurnPause) * turnTries;
}

bool GatewayCall::retainsTurn() const
{
    return route_->kind_ == RouteKind::Streaming && route_->retainsTurns_ && !request_->id_.empty();
}

void GatewayCall::chooseService()
{
    if (origin_) {
        serviceName_ = origin_->service_;
        service_ = routing_->service(serviceName_);
        return;
    }
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

std::uint64_t GatewayCall::spentTokens() const
{
    const std::string program = request_->scopedProgram();
    return gateway_->ledger_.ledgerOf(program).spent(program);
}

bool GatewayCall::startsProgram() const
{
    return route_->kind_ == RouteKind::Streaming && !request_->program_.empty()
        && request_->session_ == request_->program_ && request_->previousTurn_.empty() && spentTokens() == 0;
}

void GatewayCall::loadChain()
{
    if (!retainsTurn() || request_->previousTurn_.empty()) {
        body_ = std::shared_ptr<const std::string>(request_, &request_->body_);
        reserveBudget();
        return;
    }
    gateway_->turns_.findChain(request_->scopedPreviousTurn(), [self = shared_from_this()](const TurnChain &chain) {
        if (self->step_ == Step::Preparing) {
            self->chainLoaded(chain);
        }
    });
}

void GatewayCall::chainLoaded(const TurnChain &chain)
{
    const Duration took = gateway_->hooks_.now_() - arrivedAt_;
    if (took > Duration{0} || chain.status_ != ChainStatus::Found) {
        gateway_->hooks_.logEvent_("turn_chain_read",
                                   {{"request", request_->id_},
                                    {"program", request_->program_},
                                    {"previous", request_->previousTurn_},
                                    {"status", nameOf(chain.status_)},
                                    {"turns", chain.turns_.size()},
                                    {"bytes", chain.text_.size()},
                                    {"ms", toMilliseconds(took)}});
    }
    if (chain.status_ != ChainStatus::Found) {
        refuse(chain.status_ == ChainStatus::Missing ? RefusalReason::TurnMissing : RefusalReason::TurnUnknown);
        return;
    }
    body_ = std::make_shared<const std::string>(chain.text_ + request_->body_);
    earlierTurns_ = chain.turns_;
    reserveBudget();
}

void GatewayCall::reserveBudget()
{
    if (route_->kind_ != RouteKind::Streaming || request_->program_.empty() || !request_->tokenBudget_) {
        place();
        return;
    }
    if (request_->isForwarded_ && request_->isBudgetReserved_) {
        grantBasis_ = GrantBasis::ForwardingNode;
        place();
        return;
    }
    TurnReservation turn;
    turn.program_ = request_->scopedProgram();
    turn.clientProgram_ = request_->program_;
    turn.budget_ = *request_->tokenBudget_;
    turn.tokens_ = request_->maxOutputTokens_;
    turn.isRootAgentTurn_ = request_->session_ == request_->program_;
    turn.repeatTime_ = std::min(TurnReservation::maxRepeatTime, turnRepeatTime());
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
        grantBasis_ = grant.basis_;
        place();
        return;
    }
    refuse(grant.decision_ == BudgetDecision::Exhausted ? RefusalReason::BudgetSpent : RefusalReason::BudgetUnknown);
}

const RequestFingerprints &GatewayCall::fingerprints()
{
    if (!fingerprints_) {
        fingerprints_ = RequestFingerprints::of(*request_);
    }
    return *fingerprints_;
}

bool GatewayCall::isQuarantined()
{
    Quarantine &quarantine = gateway_->quarantine_;
    if (quarantine.isEmpty()) {
        return false;
    }
    if (quarantine.isQuarantined(fingerprints().content_)) {
        return true;
    }
    if (isTrial_ || !quarantine.isQuarantined(fingerprints().target_)) {
        return false;
    }
    isTrial_ = quarantine.tryAgain(fingerprints().target_);
    return !isTrial_;
}

void GatewayCall::reportAnswered()
{
    gateway_->answeredTargets_.add(*request_);
    if (!gateway_->quarantine_.isEmpty()) {
        gateway_->quarantine_.requestAnswered(fingerprints().content_);
        gateway_->quarantine_.requestAnswered(fingerprints().target_);
    }
}

void GatewayCall::place()
{
    if (isQuarantined()) {
        refuse(RefusalReason::Quarantined);
        return;
    }
    if (mustForward() && forward()) {
        return;
    }
    step_ = Step::Placing;
    if (sends_ >= maxSends || timeLeft() < minAttemptTime) {
        refuse(RefusalReason::EndpointsFull);
        return;
    }
    if (isTooLate()) {
        gateway_->hooks_.count_("account_refusals_total",
                                gateway_->accountLabels_.labelOf(account_->name_) + ",cause=\"too_late\"");
        refuse(RefusalReason::Overloaded);
        return;
    }
    if (mustYield()) {
        waitForEndpoint();
        return;
    }
    const Endpoint *endpoint = chooseEndpoint();
    if (endpoint != nullptr) {
        origin_ ? sendRest(*endpoint) : send(*endpoint);
        return;
    }
    if (eligibleEndpoints_ == 0) {
        refuse(origin_ ? RefusalReason::NoEndpointOfVersion : RefusalReason::NoEndpoint);
        return;
    }
    if (isLimited_) {
        waitForLimits();
        return;
    }
    // Every endpoint refused or failed: retry them all while there is enough time left.
    waitForEndpoint();
}

void GatewayCall::waitForEndpoint()
{
    if (timeLeft() < gateway_->settings_.endpointRetryDelay_ * 2) {
        refuse(RefusalReason::EndpointsFull);
        return;
    }
    excluded_.clear();
    const bool isLaterTurn = account_ != nullptr && route_->kind_ == RouteKind::Streaming && !isFirstTurn();
    gateway_->waitingTurns_[serviceName_] += isLaterTurn ? 1 : 0;
    // The service of the call may change while it waits.
    const auto retry = [self = shared_from_this(), isLaterTurn, service = serviceName_] {
        self->gateway_->waitingTurns_[service] -= isLaterTurn ? 1 : 0;
        if (self->step_ == Step::Placing) {
            self->place();
        }
    };
    gateway_->hooks_.after_(gateway_->settings_.endpointRetryDelay_, retry);
}

bool GatewayCall::mustYield() const
{
    const bool isRun = service_ != nullptr && service_->engine_ && route_->kind_ == RouteKind::Streaming;
    if (account_ == nullptr || !isRun || origin_ || !isFirstTurn()) {
        return false;
    }
    const auto waiting = gateway_->waitingTurns_.find(serviceName_);
    return waiting != gateway_->waitingTurns_.end() && waiting->second > 0;
}

void GatewayCall::send(const Endpoint &endpoint)
{
    if (!usePermit()) {
        step_ = Step::Placing;
        acquirePermit([this] { place(); });
        return;
    }
    step_ = Step::Running;
    ++sends_;
    endpoint_ = endpoint.id_;
    lastEndpoint_ = endpoint.id_;
    sentAt_ = gateway_->hooks_.now_();
    headReceived_ = false;
    isNoStream_ = false;
    head_ = AttemptHead();
    releaseText(responseBody_);
    splitter_ = EventSplitter();
    attemptEvents_ = 0;
    EndpointAttempt attempt;
    attempt.address_ = endpoint.address_;
    attempt.endpoint_ = endpoint.id_;
    attempt.request_ = request_;
    attempt.body_ = body_;
    attempt.lastEventId_ = sequence_.lastId();
    attempt.timeLeft_ = timeLeft();
    attempt.maxResponseBytes_ = gateway_->settings_.maxResponseBytes_;
    attempt.maxIdleAge_ = maxIdleAge();
    if (service_ != nullptr && service_->engine_) {
        attempt.urgency_ = urgency();
        isCountedForAccount_ = account_ != nullptr;
    }
    if (isCountedForAccount_) {
        gateway_->accountAdmission_.started(serviceName_, account_->name_, priority());
    }
    start_ = gateway_->placement_.started(endpoint, *request_);
    incarnation_ = endpoint.incarnation();
    version_ = endpoint.version_;
    recordOrigin(endpoint);
    gateway_->limits_.sent(incarnation_);
    if (sends_ == 1) {
        gateway_->retries_.requestSent(serviceName_);
    }
    crashWatch_ = gateway_->crashDetector_.attemptStarted(endpoint, request_);
    attempt_ = gateway_->hooks_.startAttempt_(std::move(attempt), handlersOfAttempt());
    watchForAnswer();
}

void GatewayCall::watchForAnswer()
{
    const bool canRunElsewhere = route_->kind_ == RouteKind::Idempotent && runs_ + 1 < route_->maxAttempts_;
    if (!canRunElsewhere || step_ != Step::Running) {
        return;
    }
    // Not before the silence is noticed that a node meets which is cut off from all endpoints.
    const Duration noticed = gateway_->settings_.reachability_.silence_ + silenceMargin;
    gateway_->hooks_.after_(std::max(timeLeft() / silenceDivisor, noticed),
                            [self = shared_from_this(), number = sends_] {
                                if (self->sends_ == number) {
                                    self->replaceSilentAttempt();
                                }
                            });
}

void GatewayCall::replaceSilentAttempt()
{
    const bool isSilent = step_ == Step::Running && !endpoint_.empty() && !headReceived_;
    const std::vector<const Endpoint *> &candidates = gateway_->directory_.ready(serviceName_);
    const bool hasOther = std::any_of(candidates.begin(), candidates.end(), [this](const Endpoint *candidate) {
        return candidate->id_ != endpoint_ && excluded_.count(candidate->id_) == 0;
    });
    if (isSilent && hasOther && gateway_->retries_.take(serviceName_)) {
        gateway_->hooks_.count_("silent_attempts_replaced_total", {});
        gateway_->hooks_.cancelAttempt_(attempt_);
        attemptEnded(AttemptEnd::TimedOut);
    }
}

AttemptHandlers GatewayCall::handlersOfAttempt()
{
    AttemptHandlers handlers;
    handlers.onHead_ = [self = shared_from_this(), number = sends_](const AttemptHead &head) {
        if (self->sends_ == number) {
            self->headReceived(head);
        }
    };
    handlers.onPart_ = [self = shared_from_this(), number = sends_](const std::string &part) {
        if (self->sends_ == number) {
            self->bodyReceived(part);
        }
    };
    handlers.onEnd_ = [self = shared_from_this(), number = sends_](AttemptEnd ended) {
        if (self->sends_ == number) {
            self->attemptEnded(ended);
        }
    };
    return handlers;
}

bool GatewayCall::isFirstTurn() const
{
    return spentTokens() <= grant_.tokens_;
}

std::uint32_t GatewayCall::urgency() const
{
    const std::uint32_t urgency =
        highestUrgency + priority() * urgencyPerPriority + (isFirstTurn() ? firstTurnUrgencyPenalty : 0);
    return std::min(urgency, lowestUrgency);
}

void GatewayCall::headReceived(const AttemptHead &head)
{
    if (step_ != Step::Running && step_ != Step::Relaying) {
        return;
    }
    headReceived_ = true;
    head_ = head;
    gateway_->reachability_.answered(endpoint_);
    if (head.isLeaving_) {
        gateway_->retireEndpoint(head.wrongInstance_ ? successorOf(endpoint_) : incarnation_, "leaving");
    }
    if (head.wrongInstance_) {
        gateway_->limits_.observe(successorOf(endpoint_), head);
    } else if (head.fromEndpoint_ || head.notRun_) {
        gateway_->limits_.observe(incarnation_, head);
    }
    if (!head.fromEndpoint_ && !head.notRun_ && !head.wrongInstance_) {
        cutAnswer(); // Whatever follows is no answer of the endpoint, and may have no end.
        return;
    }
    const bool isStream = route_->kind_ == RouteKind::Streaming && head.status_ / 100 == 2;
    if (!isStream || !head.fromEndpoint_ || head.notRun_ || step_ != Step::Running) {
        return;
    }
    if (!isStreamHead(head)) {
        isNoStream_ = true;
        reportRejectedAnswer("not_a_stream", {});
        cutAnswer();
        return;
    }
    startRelay();
}

std::string GatewayCall::successorOf(const std::string &endpoint) const
{
    const Endpoint *former = gateway_->directory_.find(endpoint);
    const Endpoint *successor = former != nullptr ? gateway_->directory_.findAt(former->address_) : nullptr;
    return successor != nullptr && successor != former ? successor->incarnation() : std::string();
}

void GatewayCall::releaseEndpoint(AttemptEnd ended)
{
    if (!endpoint_.empty()) {
        gateway_->placement_.ended(endpoint_);
        gateway_->crashDetector_.attemptEnded(crashWatch_, ended);
        if (std::exchange(isCountedForAccount_, false)) {
            gateway_->accountAdmission_.ended(serviceName_, account_->name_);
        }
        endpoint_.clear();
    }
}

void GatewayCall::attemptEnded(AttemptEnd ended)
{
    if (endpoint_.empty() || (step_ != Step::Running && step_ != Step::Relaying)) {
        return;
    }
    const std::string endpoint = endpoint_;
    releaseEndpoint(ended);
    if (ended != AttemptEnd::Complete) {
        gateway_->hooks_.count_("endpoint_failures_total", std::string(nameOf(ended)));
    }
    if (ended != AttemptEnd::Complete && !isNoStream_) {
        doubtEndpoint(endpoint);
    }
    if (ended == AttemptEnd::NotSent) {
        keepPermit();
        gateway_->reachability_.connectFailed(endpoint);
        gateway_->placement_.failed(endpoint);
        excluded_.insert(endpoint);
        place();
        return;
    }
    const bool refused = ended == AttemptEnd::Complete && (head_.notRun_ || head_.wrongInstance_);
    if (refused) {
        keepPermit();
        if (head_.wrongInstance_) {
            gateway_->retireEndpoint(incarnation_, "replaced");
            gateway_->crashDetector_.endpointEnded(incarnation_, CrashEvidence::Replaced);
        }
        head_.wrongInstance_ ? gateway_->placement_.failed(endpoint) : gateway_->placement_.refusedAsFull(endpoint);
        excluded_.insert(endpoint);
        handleRefusal();
        return;
    }
    ++runs_;
    reportOutcome(ended);
    if (ended == AttemptEnd::Complete && head_.fromEndpoint_ && step_ == Step::Running && !isRelayStarted_) {
        answerReceived(endpoint);
        return;
    }
    if (ended == AttemptEnd::Complete && step_ == Step::Relaying && endsStream()) {
        gateway_->placement_.succeeded(endpoint);
        // The run of a resumed stream makes only the rest of the output.
        if (service_ != nullptr && service_->engine_ && relayedEvents_ == attemptEvents_
            && request_->lastEventId_.empty()) {
            gateway_->placement_.observeSize(serviceName_, start_, attemptEvents_ * service_->engine_->tokensPerEvent_);
        }
        reportAnswered();
        completeStream();
        return;
    }
    gateway_->placement_.failed(endpoint);
    excluded_.insert(endpoint);
    handleFailure(ended);
}

void GatewayCall::answerReceived(const std::string &endpoint)
{
    reportAnswered();
    if (!isServerError()) {
        gateway_->placement_.succeeded(endpoint);
        gateway_->placement_.observeRequestTime(endpoint, gateway_->hooks_.now_() - sentAt_);
        relayResponse();
        return;
    }
    // An error comes at once, so its time says nothing of the endpoint's speed.
    gateway_->placement_.failed(endpoint);
    if (mayRetry() && gateway_->retries_.take(serviceName_)) {
        excluded_.insert(endpoint);
        place();
        return;
    }
    relayResponse();
}

void GatewayCall::handleRefusal()
{
    gateway_->hooks_.count_("endpoint_refusals_total", {});
    place();
}

bool GatewayCall::mayRetry() const
{
    return route_->isRetryable() && runs_ < std::max<std::uint32_t>(1, route_->maxAttempts_)
        && timeLeft() >= minAttemptTime;
}

Duration GatewayCall::maxIdleAge() const
{
    const GatewaySettings &settings = gateway_->settings_;
    return route_->isRetryable() ? settings.maxReuseIdleTimeRepeatable_ : settings.maxReuseIdleTime_;
}

void GatewayCall::handleFailure(AttemptEnd ended)
{
    gateway_->hooks_.logEvent_("attempt_failed",
                               {{"request", request_->id_},
                                {"program", request_->program_},
                                {"content", fingerprints().content_},
                                {"endpoint", lastEndpoint_},
                                {"end", nameOf(ended)},
                                {"status", head_.status_},
                                {"runs", runs_},
                                {"events", relayedEvents_},
                                {"may_run_again", mayRetry()}});
    if (mayRetry()) {
        origin_ ? resumeElsewhere() : place();
        return;
    }
    if (isRelayStarted_) {
        checkLastEndpoint([] {}); // Its client may take the stream up at another node.
        abortResponse("endpoint_broke_off");
        return;
    }
    refuse(ended == AttemptEnd::TimedOut ? RefusalReason::TimedOut : RefusalReason::OutcomeUnknown);
}

} // namespace filbertgw::internal
