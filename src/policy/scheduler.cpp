#include "policy/scheduler.h"

#include "policy/admissioncontroller.h"
#include "policy/capacityquota.h"
#include "policy/concurrencylimiter.h"
#include "policy/endpointtracker.h"
#include "policy/enginechooser.h"
#include "policy/outlierejector.h"
#include "policy/programtracker.h"
#include "policy/retentioncontroller.h"
#include "policy/retrypolicy.h"
#include "policy/servicechooser.h"
#include "policy/suspectisolation.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <deque>

namespace filbertgw {

namespace internal {

constexpr std::size_t maxQueuedCalls = 20'000; ///< Per node.
/** \brief Longest wait for a usable endpoint; longer than the restart of an engine. */
constexpr Duration maxEndpointWait = std::chrono::seconds(60);
/** \brief A dispatch ends after this many calls that can't be placed; the next load report triggers another one. */
constexpr std::size_t maxUnplaced = 6;
constexpr std::size_t maxDecisions = 256;
/** \brief Seconds added to the expected time to first token before the excess counts as queueing. */
constexpr double firstTokenAllowance = 1.0;
/** \brief Exponent of the projected slowdown in the priority; larger values favour delayed programs more. */
constexpr double urgencyExponent = 1;
/** \brief Added to the prefill time in the priority, so that very short prefills are not preferred to short ones. */
constexpr double prefillOffsetSeconds = 0.5;
constexpr double priorityScale = 10'000;
constexpr std::int32_t alonePriority = -1'000'000'000; ///< Before all others at the engine.
/** \brief Queue of an engine, as a share of its maximum streams; further calls wait here for any engine. */
constexpr double engineQueueShare = 0.5;

using CallKey = std::pair<ProgramId, RequestId>;

/** \brief A call that is queued or running. */
struct SubmittedCall
{
    ScheduleRequest request_;
    Time submittedAt_{0};
    Time notBefore_{0};
    std::uint64_t sequence_ = 0;
    std::uint32_t attempts_ = 0;
    bool running_ = false;
    bool awaitsAdmission_ = false; ///< First call of a program that has not been admitted.
    bool mayHaveRun_ = false; ///< At least one attempt may have reached an endpoint.
    bool rejected_ = false;
    std::set<EndpointId> failedEndpoints_;
    CrashHistory crashHistory_;
    std::optional<AttemptResult> lastCrash_; ///< Last crash of a poison request, until it has been reviewed.
    std::int64_t newTokens_ = 0; ///< Prompt tokens beyond the cached prefix at submission.
    double urgency_ = 0; ///< Projected slowdown of the program.
    bool overShare_ = false; ///< Awaits admission and its account is over its share.
};

/** \brief An attempt that was started and has not ended. */
struct Attempt
{
    EndpointId endpoint_;
    std::uint64_t commitment_ = 0;
    EndpointId importFrom_;
    std::int64_t uncachedTokens_ = 0;
    double load_ = 0; ///< Streams or calls at the endpoint when it was sent.
    bool hasFirstToken_ = false;
    bool alone_ = false;
    bool confirmedAlone_ = false; ///< The engine has confirmed that it runs nothing else.
};

} // namespace internal

using internal::Attempt;
using internal::CallKey;
using internal::SubmittedCall;

struct Scheduler::Private
{
    Private(SchedulerHooks hooks, Blackboard *blackboard, const EngineCosts &costs, const DisabledMechanisms &disabled);

    void dispatch();
    void sortQueue(std::vector<SubmittedCall *> &queue);
    bool tryStart(SubmittedCall &call);
    bool tryStartModel(SubmittedCall &call);
    bool tryStartService(SubmittedCall &call);
    PlacementConstraints constraintsFor(const SubmittedCall &call) const;
    std::int32_t priorityOf(const SubmittedCall &call, std::int64_t uncachedTokens) const;
    void start(SubmittedCall &call, const EngineChoice &choice);
    void sendAttempt(SubmittedCall &call, Attempt attempt, StartOrder startOrder);
    void endAttempt(const AttemptResult &result, const Attempt &attempt);
    void recordLatency(const AttemptResult &result, const Attempt &attempt);
    void onCrashed(SubmittedCall &call, const AttemptResult &result, const Attempt &attempt);
    void reviewCrashes();
    void retryOrFail(SubmittedCall &call, const AttemptResult &result);
    void finish(const CallKey &key, ScheduleResult result);
    void fail(const CallKey &key, FailureType type, const std::string &detail, Duration retryAfter);
    void expireQueued();
    void recordDecision(const ProgramId &program, const std::string &text);
    bool enabled(Mechanism mechanism) const
    {
        return disabled_.count(mechanism) == 0;
    }
    static LimitBounds engineBounds(const EndpointState &endpoint);

    SchedulerHooks hooks_;
    DisabledMechanisms disabled_;
    EngineCosts costs_;
    std::unique_ptr<Blackboard> ownBlackboard_;
    Blackboard *blackboard_;
    EndpointTracker endpoints_;
    ProgramTracker programs_;
    OutlierEjector ejector_;
    ConcurrencyLimiter limiter_;
    CapacityQuota quota_;
    EngineChooser engineChooser_;
    ServiceChooser serviceChooser_;
    AdmissionController admission_;
    RetentionController retention_;
    RetryPolicy retries_;
    SuspectIsolation isolation_;
    std::map<CallKey, SubmittedCall> calls_;
    std::map<std::pair<CallKey, std::uint32_t>, Attempt> attempts_;
    std::set<CallKey> queued_;
    std::deque<std::pair<Time, CallKey>>
        reviews_; ///< Calls with SubmittedCall::lastCrash_, by the time of their review.
    std::uint64_t sequence_ = 0;
    bool dispatching_ = false;
    bool dispatchAgain_ = false;
};

Scheduler::Private::Private(SchedulerHooks hooks,
                            Blackboard *blackboard,
                            const EngineCosts &costs,
                            const DisabledMechanisms &disabled)
    : hooks_(std::move(hooks))
    , disabled_(disabled)
    , costs_(costs)
    , ownBlackboard_(blackboard == nullptr ? std::make_unique<Blackboard>() : nullptr)
    , blackboard_(blackboard == nullptr ? ownBlackboard_.get() : blackboard)
    , endpoints_(*blackboard_, costs, enabled(Mechanism::Commitments), hooks_.now_)
    , programs_(*blackboard_, costs, hooks_.now_)
    , ejector_(*blackboard_, enabled(Mechanism::Ejection), hooks_.now_)
    , limiter_(enabled(Mechanism::Limits))
    , quota_(endpoints_, hooks_.random_, hooks_.liveNodes_)
    , engineChooser_(*blackboard_, endpoints_, programs_, ejector_, quota_, costs, disabled, hooks_.random_)
    , serviceChooser_(*blackboard_, ejector_, limiter_, hooks_.random_)
    , admission_(*blackboard_, endpoints_, programs_, disabled, quota_, hooks_.now_, hooks_.liveNodes_)
    , retention_(endpoints_, programs_, blackboard_->read<ProgramSection>(), disabled, hooks_.now_, hooks_.order_)
    , retries_(enabled(Mechanism::Backoff), hooks_.random_)
    , isolation_(enabled(Mechanism::Isolation))
{
}

LimitBounds Scheduler::Private::engineBounds(const EndpointState &endpoint)
{
    const double streams = endpoint.info_.maxStreams_;
    return LimitBounds{streams, streams * (1 + internal::engineQueueShare)};
}

void Scheduler::Private::sortQueue(std::vector<SubmittedCall *> &queue)
{
    Time oldestQueued = hooks_.now_();
    for (SubmittedCall *call : queue) {
        call->urgency_ =
            enabled(Mechanism::Priority) ? programs_.projectedSlowdown(call->request_, call->submittedAt_) : 0;
        call->overShare_ = call->awaitsAdmission_ && admission_.isOverShare(call->request_.account_);
        oldestQueued = call->awaitsAdmission_ ? std::min(oldestQueued, call->submittedAt_) : oldestQueued;
    }
    admission_.setOldestQueued(oldestQueued);
    std::sort(queue.begin(), queue.end(), [](const SubmittedCall *a, const SubmittedCall *b) {
        if (a->awaitsAdmission_ != b->awaitsAdmission_) {
            return b->awaitsAdmission_;
        }
        if (a->overShare_ != b->overShare_) {
            return b->overShare_;
        }
        return a->urgency_ != b->urgency_ ? a->urgency_ > b->urgency_ : a->sequence_ < b->sequence_;
    });
}

void Scheduler::Private::dispatch()
{
    if (dispatching_) {
        dispatchAgain_ = true;
        return;
    }
    dispatching_ = true;
    do {
        dispatchAgain_ = false;
        std::vector<SubmittedCall *> queue;
        for (const CallKey &key : queued_) {
            SubmittedCall &call = calls_.at(key);
            if (call.notBefore_ <= hooks_.now_()) {
                queue.push_back(&call);
            }
        }
        sortQueue(queue);
        std::size_t unplaced = 0;
        for (SubmittedCall *call : queue) {
            const CallKey key{call->request_.program_, call->request_.requestId_};
            // The hooks of an earlier start may have finished or cancelled this call.
            if (queued_.count(key) == 0) {
                continue;
            }
            if (tryStart(*call)) {
                continue;
            }
            if (++unplaced >= internal::maxUnplaced) {
                break;
            }
        }
    } while (dispatchAgain_);
    dispatching_ = false;
}

bool Scheduler::Private::tryStart(SubmittedCall &call)
{
    return call.request_.kind_ == CallKind::Model ? tryStartModel(call) : tryStartService(call);
}

PlacementConstraints Scheduler::Private::constraintsFor(const SubmittedCall &call) const
{
    PlacementConstraints constraints;
    constraints.excluded_ = &call.failedEndpoints_;
    constraints.allowed_ = [this, &call](const EndpointState &endpoint) {
        if (call.crashHistory_.runAlone_) {
            return isolation_.isAssigned(
                call.request_.program_, call.crashHistory_, endpoint, blackboard_->read<EndpointSection>());
        }
        if (isolation_.isReserved(endpoint.info_.id_)) {
            return false;
        }
        if (call.awaitsAdmission_) {
            const std::int64_t tokens = call.request_.promptTokens_ - call.request_.sharedTokens_;
            return admission_.hasCapacity(endpoint, call.request_.account_, tokens);
        }
        return endpoints_.streams(endpoint) < limiter_.limit(endpoint.info_.id_, engineBounds(endpoint));
    };
    return constraints;
}

bool Scheduler::Private::tryStartModel(SubmittedCall &call)
{
    const std::optional<EngineChoice> choice = engineChooser_.choose(call.request_, constraintsFor(call));
    if (!choice) {
        return false;
    }
    start(call, *choice);
    return true;
}

std::int32_t Scheduler::Private::priorityOf(const SubmittedCall &call, std::int64_t uncachedTokens) const
{
    const ProgramState *program = programs_.find(call.request_.program_);
    if (!enabled(Mechanism::Priority) || program == nullptr) {
        return 0;
    }
    const double prefill = static_cast<double>(uncachedTokens) / costs_.prefillTokensPerSecond_;
    const double index = std::pow(call.urgency_, internal::urgencyExponent)
        / (programs_.expectedIdealSeconds(*program) * (prefill + internal::prefillOffsetSeconds));
    return -static_cast<std::int32_t>(internal::priorityScale * std::log(index));
}

void Scheduler::Private::start(SubmittedCall &call, const EngineChoice &choice)
{
    const ProgramState *program = programs_.find(call.request_.program_);
    const bool isHome = program != nullptr && program->home_ == choice.endpoint_ && program->exportEngine_.isEmpty();
    const EndpointState *endpoint = endpoints_.find(choice.endpoint_);
    Attempt attempt;
    attempt.endpoint_ = choice.endpoint_;
    attempt.importFrom_ = choice.importFrom_;
    attempt.uncachedTokens_ = choice.uncachedTokens_;
    attempt.load_ = endpoints_.streams(*endpoint);
    attempt.alone_ = call.crashHistory_.runAlone_;
    StartOrder startOrder;
    startOrder.endpoint_ = choice.endpoint_;
    startOrder.importFrom_ = choice.importFrom_;
    startOrder.alone_ = attempt.alone_;
    startOrder.reason_ = choice.reason_;
    startOrder.priority_ = attempt.alone_ ? internal::alonePriority : priorityOf(call, choice.uncachedTokens_);
    if (program != nullptr && !program->home_.isEmpty() && program->home_ != choice.endpoint_) {
        quota_.consumeMove(choice.endpoint_);
    }
    const std::int64_t growth =
        isHome ? choice.uncachedTokens_ : call.request_.promptTokens_ - call.request_.sharedTokens_;
    endpoints_.onMemoryChange(choice.endpoint_,
                              growth + static_cast<std::int64_t>(programs_.expectedGeneratedTokens()));
    programs_.onSent(call.request_.program_, choice.endpoint_);
    if (call.awaitsAdmission_) {
        call.awaitsAdmission_ = false;
        admission_.onStarted(call.request_.account_, choice.endpoint_);
        programs_.onAdmitted(call.request_.program_);
    }
    sendAttempt(call, attempt, startOrder);
}

void Scheduler::Private::sendAttempt(SubmittedCall &call, Attempt attempt, StartOrder startOrder)
{
    const CallKey key{call.request_.program_, call.request_.requestId_};
    queued_.erase(key);
    call.running_ = true;
    attempt.commitment_ = ++sequence_;
    startOrder.requestId_ = call.request_.requestId_;
    startOrder.program_ = call.request_.program_;
    startOrder.attempt_ = ++call.attempts_;
    endpoints_.onSent(attempt.endpoint_, attempt.commitment_, attempt.uncachedTokens_);
    if (attempt.alone_) {
        isolation_.onStarted(attempt.endpoint_);
    }
    attempts_[{key, startOrder.attempt_}] = attempt;
    recordDecision(call.request_.program_,
                   "start " + call.request_.requestId_.value() + " at " + attempt.endpoint_.value() + " "
                       + startOrder.reason_);
    hooks_.start_(startOrder);
}

bool Scheduler::Private::tryStartService(SubmittedCall &call)
{
    const std::optional<EndpointId> endpoint = serviceChooser_.choose(call.request_, call.failedEndpoints_);
    if (!endpoint) {
        return false;
    }
    Attempt attempt;
    attempt.endpoint_ = *endpoint;
    attempt.load_ = endpoints_.find(*endpoint)->inFlight_;
    StartOrder startOrder;
    startOrder.endpoint_ = *endpoint;
    startOrder.reason_ = "fewest calls of two";
    sendAttempt(call, attempt, startOrder);
    return true;
}

void Scheduler::Private::recordDecision(const ProgramId &program, const std::string &text)
{
    std::deque<Decision> &last = blackboard_->write<DecisionSection>().last_;
    last.push_back(Decision{hooks_.now_(), program, text});
    if (last.size() > internal::maxDecisions) {
        last.pop_front();
    }
}

void Scheduler::Private::recordLatency(const AttemptResult &result, const Attempt &attempt)
{
    const EndpointState *endpoint = endpoints_.find(result.endpoint_);
    if (endpoint == nullptr) {
        return;
    }
    if (endpoint->info_.kind_ != CallKind::Model) {
        limiter_.onSample(result.endpoint_, LimitBounds{}, attempt.load_, toSeconds(result.latency_), 0);
        return;
    }
    const double chunks = static_cast<double>(attempt.uncachedTokens_) / costs_.chunkTokens_ + 1;
    const double chunkSeconds =
        costs_.chunkTokens_ / costs_.prefillTokensPerSecond_ + costs_.step(endpoint->info_.maxStreams_);
    const double expected = chunks * chunkSeconds + internal::firstTokenAllowance;
    limiter_.onSample(
        result.endpoint_, engineBounds(*endpoint), attempt.load_, toSeconds(result.firstToken_), expected);
}

void Scheduler::Private::endAttempt(const AttemptResult &result, const Attempt &attempt)
{
    endpoints_.onEnded(attempt.endpoint_, attempt.commitment_);
    if (attempt.alone_) {
        isolation_.onEnded(attempt.endpoint_);
    }
    switch (result.status_) {
    case AttemptStatus::Answered:
        ejector_.onSuccess(result.endpoint_);
        recordLatency(result, attempt);
        break;
    case AttemptStatus::Crashed:
    case AttemptStatus::NotSent:
        // The endpoint is down until a health check, which is delayed, reports it healthy again.
        ejector_.onDown(result.endpoint_);
        programs_.onCacheLost(result.endpoint_);
        endpoints_.onHealth(result.endpoint_, false);
        break;
    case AttemptStatus::Rejected:
    case AttemptStatus::TimedOut:
    case AttemptStatus::ConnectionLost:
        ejector_.onFailure(result.endpoint_);
        break;
    case AttemptStatus::Cancelled:
        break;
    }
}

void Scheduler::Private::onCrashed(SubmittedCall &call, const AttemptResult &result, const Attempt &attempt)
{
    CrashedAttempt crashed;
    crashed.endpoint_ = result.endpoint_;
    crashed.at_ = hooks_.now_();
    crashed.hadFirstToken_ = attempt.hasFirstToken_;
    crashed.alone_ = attempt.alone_;
    crashed.confirmedAlone_ = attempt.confirmedAlone_;
    isolation_.onCrash(call.crashHistory_, crashed);
    if (!call.crashHistory_.isPoison()) {
        retryOrFail(call, result);
        return;
    }
    call.failedEndpoints_.insert(result.endpoint_);
    call.lastCrash_ = result;
    call.running_ = false;
    reviews_.emplace_back(hooks_.now_() + SuspectIsolation::attributionDelay,
                          CallKey{call.request_.program_, call.request_.requestId_});
}

void Scheduler::Private::reviewCrashes()
{
    while (!reviews_.empty() && reviews_.front().first <= hooks_.now_()) {
        const std::map<CallKey, SubmittedCall>::iterator call = calls_.find(reviews_.front().second);
        reviews_.pop_front();
        if (call == calls_.end() || !call->second.lastCrash_) {
            continue;
        }
        const AttemptResult result = *call->second.lastCrash_;
        call->second.lastCrash_.reset();
        isolation_.reviewLastCrash(call->second.crashHistory_, call->second.failedEndpoints_);
        retryOrFail(call->second, result);
    }
}

void Scheduler::Private::retryOrFail(SubmittedCall &call, const AttemptResult &result)
{
    const CallKey key{call.request_.program_, call.request_.requestId_};
    call.failedEndpoints_.insert(result.endpoint_);
    call.rejected_ = result.status_ == AttemptStatus::Rejected;
    const std::optional<Duration> delay =
        call.crashHistory_.isPoison() ? std::nullopt : retries_.retryAfter(call.request_, result, call.attempts_);
    if (delay) {
        call.running_ = false;
        call.notBefore_ = hooks_.now_() + *delay;
        queued_.insert(key);
        return;
    }
    const bool isPoison = call.crashHistory_.isPoison();
    fail(key,
         FailureType::EndpointFailed,
         isPoison ? "the request crashes endpoints" : "the attempt failed: " + std::string(nameOf(result.status_)),
         isPoison ? Duration{0} : Duration(std::chrono::seconds(1)));
}

void Scheduler::Private::fail(const CallKey &key, FailureType type, const std::string &detail, Duration retryAfter)
{
    const SubmittedCall &call = calls_.at(key);
    ScheduleResult result;
    Failure failure;
    failure.type_ = type;
    failure.notRun_ = !call.mayHaveRun_;
    failure.detail_ = detail;
    failure.retryAfter_ = retryAfter;
    result.failure_ = failure;
    result.status_ = !call.mayHaveRun_ ? DispatchStatus::NotSent
        : call.rejected_               ? DispatchStatus::Failed
                                       : DispatchStatus::Unknown;
    result.crashes_ = call.crashHistory_.isPoison() && !call.lastCrash_ ? call.crashHistory_.crashes_ : 0;
    finish(key, result);
}

void Scheduler::Private::finish(const CallKey &key, ScheduleResult result)
{
    const std::map<CallKey, SubmittedCall>::iterator it = calls_.find(key);
    const SubmittedCall &call = it->second;
    result.program_ = key.first;
    result.requestId_ = key.second;
    const double seconds = toSeconds(hooks_.now_() - call.submittedAt_);
    programs_.onCallEnded(
        call.request_, seconds, costs_.idealSeconds(call.newTokens_, programs_.expectedGeneratedTokens()));
    if (call.awaitsAdmission_) {
        admission_.onDequeued(call.request_.account_);
    }
    queued_.erase(key);
    calls_.erase(it);
    hooks_.finished_(result);
}

void Scheduler::Private::expireQueued()
{
    std::vector<CallKey> expired;
    for (const CallKey &key : queued_) {
        const SubmittedCall &call = calls_.at(key);
        if (!call.awaitsAdmission_ && hooks_.now_() - call.submittedAt_ > internal::maxEndpointWait) {
            expired.push_back(key);
        }
    }
    for (const CallKey &key : expired) {
        fail(key, FailureType::Overloaded, "no endpoint could take the call in time", std::chrono::seconds(2));
    }
}

Scheduler::Scheduler(std::unique_ptr<Private> d)
    : d_(std::move(d))
{
}

Scheduler::~Scheduler() = default;

std::unique_ptr<Scheduler> Scheduler::Builder::build()
{
    return std::unique_ptr<Scheduler>(new Scheduler(std::make_unique<Private>(hooks_, blackboard_, costs_, disabled_)));
}

void Scheduler::setWeights(double latency, double wastedCache)
{
    d_->admission_.setWeights(latency, wastedCache);
}

void Scheduler::setEndpoints(const std::vector<EndpointInfo> &endpoints)
{
    d_->endpoints_.setEndpoints(endpoints);
    d_->dispatch();
}

void Scheduler::onLoadReport(const LoadReport &report)
{
    d_->endpoints_.onLoadReport(report);
    d_->quota_.onReport(report.endpoint_);
    d_->dispatch();
}

void Scheduler::onCacheEvent(const CacheEvent &event)
{
    d_->programs_.onCacheEvent(event);
}

void Scheduler::onEndpointHealth(const EndpointId &endpoint, bool healthy)
{
    if (!healthy) {
        d_->programs_.onCacheLost(endpoint);
    }
    d_->endpoints_.onHealth(endpoint, healthy);
}

std::optional<Failure> Scheduler::admitProgram(const ProgramId & /*program*/,
                                               const AccountId &account,
                                               std::int64_t /*promptTokens*/,
                                               Time deadline)
{
    return d_->admission_.admit(account, deadline);
}

void Scheduler::submit(const ScheduleRequest &request)
{
    const CallKey key{request.program_, request.requestId_};
    if (d_->calls_.count(key) > 0) {
        return;
    }
    if (const ProgramState *known = d_->programs_.find(request.program_)) {
        d_->retention_.onResumed(*known);
    }
    const ProgramState &program = d_->programs_.onSubmit(request);
    SubmittedCall &call = d_->calls_[key];
    call.request_ = request;
    call.submittedAt_ = d_->hooks_.now_();
    call.sequence_ = ++d_->sequence_;
    const std::int64_t prefix = std::max(program.prefixTokens_, request.sharedTokens_);
    call.newTokens_ = std::max<std::int64_t>(1, request.promptTokens_ - prefix);
    call.crashHistory_.runAlone_ = request.runAlone_ && d_->enabled(Mechanism::Isolation);
    call.crashHistory_.crashes_ = request.runAlone_ ? 1 : 0;
    const bool root = request.root_.isEmpty() || request.root_ == request.program_;
    call.awaitsAdmission_ = root && request.kind_ == CallKind::Model && !program.admitted_ && request.turn_ == 0;
    if (call.awaitsAdmission_) {
        d_->admission_.onQueued(request.account_);
    }
    d_->retries_.onCall();
    d_->queued_.insert(key);
    if (d_->queued_.size() > internal::maxQueuedCalls) {
        d_->fail(key, FailureType::Overloaded, "the queue is full", std::chrono::seconds(5));
        return;
    }
    d_->dispatch();
}

void Scheduler::cancel(const ProgramId &program, const RequestId &request)
{
    const CallKey key{program, request};
    const std::map<CallKey, SubmittedCall>::iterator it = d_->calls_.find(key);
    if (it == d_->calls_.end()) {
        return;
    }
    const std::map<std::pair<CallKey, std::uint32_t>, Attempt>::const_iterator attempt =
        d_->attempts_.find({key, it->second.attempts_});
    if (it->second.running_ && attempt != d_->attempts_.end()) {
        it->second.mayHaveRun_ = true;
        EndpointOrder order;
        order.kind_ = OrderKind::Cancel;
        order.endpoint_ = attempt->second.endpoint_;
        order.program_ = program;
        order.requestId_ = request;
        order.reason_ = "cancelled";
        d_->fail(key, FailureType::EndpointFailed, "the call was cancelled", Duration{0});
        d_->hooks_.order_(order);
        return;
    }
    d_->fail(key, FailureType::NotRun, "the call was cancelled", Duration{0});
}

void Scheduler::onRunsAlone(const ProgramId &program, const RequestId &request, std::uint32_t attempt)
{
    const std::map<std::pair<CallKey, std::uint32_t>, Attempt>::iterator it =
        d_->attempts_.find({CallKey{program, request}, attempt});
    if (it != d_->attempts_.end()) {
        it->second.confirmedAlone_ = true;
    }
}

void Scheduler::onFirstToken(const ProgramId &program, const RequestId &request, std::uint32_t attempt)
{
    const CallKey key{program, request};
    const std::map<std::pair<CallKey, std::uint32_t>, Attempt>::iterator it = d_->attempts_.find({key, attempt});
    const std::map<CallKey, SubmittedCall>::const_iterator call = d_->calls_.find(key);
    if (it == d_->attempts_.end()) {
        return;
    }
    it->second.hasFirstToken_ = true;
    d_->endpoints_.onFirstToken(it->second.endpoint_, it->second.commitment_);
    if (call != d_->calls_.end()) {
        d_->programs_.onMoved(program, it->second.endpoint_, call->second.request_.promptTokens_);
        d_->retention_.onMoved(program, it->second.endpoint_);
    }
}

void Scheduler::onAttemptEnded(const AttemptResult &result)
{
    const CallKey key{result.program_, result.requestId_};
    const std::map<std::pair<CallKey, std::uint32_t>, Attempt>::iterator it =
        d_->attempts_.find({key, result.attempt_});
    if (it == d_->attempts_.end()) {
        return;
    }
    const Attempt attempt = it->second;
    d_->attempts_.erase(it);
    d_->endAttempt(result, attempt);
    const std::map<CallKey, SubmittedCall>::iterator call = d_->calls_.find(key);
    if (call == d_->calls_.end()) {
        d_->dispatch();
        return;
    }
    call->second.mayHaveRun_ = call->second.mayHaveRun_ || result.status_ != AttemptStatus::NotSent;
    if (result.status_ == AttemptStatus::Answered) {
        d_->programs_.onAnswered(call->second.request_, result);
        ScheduleResult done;
        done.endpoint_ = result.endpoint_;
        d_->finish(key, done);
    } else if (result.status_ == AttemptStatus::Crashed) {
        d_->onCrashed(call->second, result, attempt);
    } else {
        d_->retryOrFail(call->second, result);
    }
    d_->dispatch();
}

void Scheduler::onProgramPaused(const ProgramId &program, const std::string &tool)
{
    d_->programs_.onPaused(program, tool);
}

void Scheduler::onProgramEnded(const ProgramId &program)
{
    const ProgramState *state = d_->programs_.find(program);
    if (state == nullptr) {
        return;
    }
    std::vector<RequestId> open;
    for (std::map<CallKey, SubmittedCall>::const_iterator it = d_->calls_.lower_bound({program, RequestId()});
         it != d_->calls_.end() && it->first.first == program;
         ++it) {
        open.push_back(it->first.second);
    }
    for (const RequestId &request : open) {
        cancel(program, request);
    }
    if (state->admitted_) {
        d_->admission_.onEnded(state->account_);
    }
    d_->retention_.onEnded(program);
    d_->programs_.onEnded(program);
    d_->dispatch();
}

void Scheduler::onHeldPrograms(const EndpointId &endpoint, const std::vector<ProgramId> &programs)
{
    d_->retention_.onHeldPrograms(endpoint, programs);
}

void Scheduler::tick()
{
    d_->retention_.tick();
    d_->programs_.tick();
    d_->reviewCrashes();
    d_->expireQueued();
    if (!d_->queued_.empty()) {
        d_->dispatch();
    }
}

std::size_t Scheduler::pendingCalls() const
{
    return d_->calls_.size();
}

nlohmann::json Scheduler::dump() const
{
    nlohmann::json result;
    for (const std::pair<const EndpointId, EndpointState> &entry :
         d_->blackboard_->read<EndpointSection>().endpoints_) {
        const EndpointState &state = entry.second;
        result["endpoints"][entry.first.value()] = {{"healthy", state.healthy_},
                                                    {"ejected", d_->ejector_.isEjected(entry.first)},
                                                    {"leaving", state.info_.leaving_ || state.report_.leaving_},
                                                    {"streams", d_->endpoints_.streams(state)},
                                                    {"used_tokens", d_->endpoints_.usedTokens(state)},
                                                    {"in_flight", state.inFlight_}};
    }
    result["programs"] = d_->blackboard_->read<ProgramSection>().programs_.size();
    result["queued"] = d_->queued_.size();
    result["running"] = d_->attempts_.size();
    const AccountSection &accounts = d_->blackboard_->read<AccountSection>();
    result["programs_live"] = accounts.live_;
    result["programs_held"] = accounts.queued_;
    result["decisions"] = nlohmann::json::array();
    for (const Decision &decision : d_->blackboard_->read<DecisionSection>().last_) {
        result["decisions"].push_back(
            {{"at_us", decision.at_.count()}, {"program", decision.program_.value()}, {"decision", decision.text_}});
    }
    return result;
}

nlohmann::json Scheduler::explain(const ProgramId &program) const
{
    nlohmann::json result;
    const ProgramState *state = d_->programs_.find(program);
    if (state == nullptr) {
        return result;
    }
    result["home"] = state->home_.value();
    result["prefix_tokens"] = state->prefixTokens_;
    result["exported_at"] = state->exportEngine_.value();
    result["paused"] = state->paused_;
    result["late_s"] = state->delaySeconds_;
    result["decisions"] = nlohmann::json::array();
    for (const Decision &decision : d_->blackboard_->read<DecisionSection>().last_) {
        if (decision.program_ == program) {
            result["decisions"].push_back({{"at_us", decision.at_.count()}, {"decision", decision.text_}});
        }
    }
    return result;
}

} // namespace filbertgw
