#include "program/programcontrollerprivate.h"

#include "core/digest.h"

#include <algorithm>

namespace filbertgw {

using internal::byteCount;
using internal::Call;
using internal::CallPhase;
using internal::makeFailure;
using internal::promptTokensAtMost;
using internal::retrySoon;
using internal::retryStore;
using internal::TreeWork;

void ProgramController::Private::prepareCall(const ChainState &chain, Call &call) const
{
    const CallRequest &request = call.request_;
    call.worst_ = Spend{0, 1, request.priceMicros_};
    call.prompt_.clear();
    if (request.kind_ == CallKind::Model) {
        const std::int64_t generated = request.maxTokens_ > 0 ? request.maxTokens_ : settings_.defaultMaxTokens_;
        call.worst_.tokens_ = promptTokensAtMost(chain) + byteCount(request.input_) + generated;
        call.prompt_ = historyText(chain) + request.input_;
    }
    call.worstOfRun_ = call.worst_;
    const std::string &content = request.kind_ == CallKind::Model ? call.prompt_ : request.input_;
    call.contentHash_ = sha256(std::string(nameOf(request.kind_)) + '\n' + request.target_ + '\n' + content);
    const SuspectState *suspect = fold_->suspect(call.contentHash_);
    call.runAlone_ = suspect != nullptr;
}

bool ProgramController::Private::refuseFront(
    const ProgramId &root, const TreeState &tree, const ChainState &chain, Call &call, Failure &why)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    const bool notRun = isCertainlyNotRun(*work, call);
    if (chain.endReason_) {
        why = makeFailure(*chain.endReason_, notRun, "the program has ended");
        return true;
    }
    const bool isLoop = chain.repeats_ >= settings_.loopRepeats_;
    if (isLoop || chain.nextSequence_ >= chain.maxTurns_) {
        const FailureType reason = isLoop ? FailureType::LoopDetected : FailureType::ProgramEnded;
        if (work->ending_.count(chain.id_) == 0) {
            writeEnd(root, chain.id_, reason, {});
        }
        why = makeFailure(reason, notRun, isLoop ? "the same turn was repeated" : "turn limit reached");
        return true;
    }
    const SuspectState *suspect = fold_->suspect(call.contentHash_);
    if (suspect != nullptr && suspect->convicted_) {
        why = makeFailure(FailureType::Quarantined, notRun, "this content crashed two endpoints");
        return true;
    }
    if (safeguards_.budget_ && !fitsIn(call.worst_, work->book_.remaining(tree.budget_, tree.spent_))) {
        why = makeFailure(FailureType::BudgetExceeded, notRun, "the call's worst case exceeds the budget's rest");
        return true;
    }
    return false;
}

void ProgramController::Private::pump(const ProgramId &root, const ProgramId &program)
{
    for (;;) {
        const std::shared_ptr<TreeWork> work = mine(root);
        const TreeState *tree = fold_->tree(root);
        const ChainState *chain = tree == nullptr ? nullptr : tree->chain(program);
        if (!work || chain == nullptr) {
            return;
        }
        ChainWork &calls = work->chains_[program];
        if (calls.current_ || calls.queue_.empty() || work->releasing_ || isConfirming()) {
            return;
        }
        if (draining_ && !(work->isRunning() && now() < drainStart_ + settings_.drainServe_)) {
            maybeRelease(root);
            return;
        }
        const std::shared_ptr<Call> call = calls.queue_.front();
        prepareCall(*chain, *call);
        Failure why;
        calls.queue_.pop_front();
        const TurnBody *turn = safeguards_.dedup_ ? findTurn(*chain, call->request_.requestId_) : nullptr;
        if (turn != nullptr) {
            answer(*call, answerOf(program, *turn));
        } else if (refuseFront(root, *tree, *chain, *call, why)) {
            const bool isFinal = why.type_ == FailureType::BudgetExceeded || why.type_ == FailureType::Quarantined;
            if (isFinal && !chain->intent_) {
                calls.current_ = call;
                refuse(root, call, why);
                return;
            }
            answerFailure(*call, why);
        } else {
            calls.current_ = call;
            startCall(root, call);
            return;
        }
    }
}

void ProgramController::Private::startCall(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    const bool announced = !call->request_.idempotent_ && safeguards_.intent_;
    const bool covered = !safeguards_.budget_ || work->book_.fitsReserved(call->worst_, fold_->tree(root)->reserved_);
    call->startedAt_ = now();
    work->book_.start(call->worst_);
    work->largest_ = maximum(work->largest_, call->worst_);
    if (announced) {
        announce(root, call);
    } else if (covered) {
        dispatch(root, call);
    } else {
        reserveFor(root, call);
    }
}

Spend ProgramController::Private::aheadFor(const ChainState &chain, const Spend &largest) const
{
    // Covers the next call and one retry of it, if they are like the earlier ones.
    Spend ahead = settings_.ahead_;
    ahead.tokens_ += std::max(promptTokensAtMost(chain), 2 * largest.tokens_);
    ahead.moneyMicros_ += 2 * largest.moneyMicros_;
    return ahead;
}

BudgetEntry ProgramController::Private::prepareBudget(const ProgramId &root,
                                                      const ProgramId &program,
                                                      const Spend &usage,
                                                      const Spend &worst) const
{
    const TreeState &tree = *fold_->tree(root);
    return mine(root)->book_.prepare(
        tree.budget_, tree.spent_, usage, worst, aheadFor(*tree.chain(program), mine(root)->largest_));
}

void ProgramController::Private::reserveFor(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    call->phase_ = CallPhase::Reserving;
    const std::shared_ptr<TreeWork> work = mine(root);
    const BudgetEntry entry = prepareBudget(root, call->request_.program_, Spend(), Spend());
    ReserveBody body{entry.reserved_, entry.spent_};
    Record record = recordFor(RecordType::Reserve, call->request_.program_, root, body);
    const Time writtenAt = now();
    write(std::move(record), [this, root, work, call, writtenAt](const JournalFoldResult &result) {
        work->book_.onFolded();
        if (mine(root) != work || work->chains_[call->request_.program_].current_ != call) {
            return;
        }
        if (result.verdict_ == JournalVerdict::Accepted && !call->givenUp_ && writtenAt + settings_.lease_ >= now()) {
            dispatch(root, call);
            return;
        }
        dropUnsent(root, call);
    });
}

void ProgramController::Private::dropUnsent(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    work->book_.cancel(call->worst_);
    answerFailure(
        *call, makeFailure(FailureType::StoreUnavailable, isCertainlyNotRun(*work, *call), "not started", retrySoon));
    finishCurrent(root, call->request_.program_);
}

void ProgramController::Private::announce(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    call->phase_ = CallPhase::Announcing;
    const std::shared_ptr<TreeWork> work = mine(root);
    const CallRequest &request = call->request_;
    const BudgetEntry entry = prepareBudget(root, request.program_, Spend(), Spend());
    IntentBody body;
    body.requestId_ = request.requestId_;
    body.requestHash_ = call->requestHash_;
    body.kind_ = request.kind_;
    body.target_ = request.target_;
    body.input_ = request.input_;
    body.reserved_ = entry.reserved_;
    body.spent_ = entry.spent_;
    Record record = recordFor(RecordType::Intent, request.program_, root, body);
    const Time writtenAt = now();
    write(std::move(record), [this, root, work, call, writtenAt](const JournalFoldResult &result) {
        work->book_.onFolded();
        if (mine(root) != work || work->chains_[call->request_.program_].current_ != call) {
            return;
        }
        if (result.verdict_ != JournalVerdict::Accepted) {
            dropUnsent(root, call);
        } else if (call->givenUp_) {
            abandon(root, call, makeFailure(FailureType::DeadlinePassed, true, "given up before it was sent"), Spend());
        } else if (writtenAt + settings_.lease_ < now()) {
            abandon(root,
                    call,
                    makeFailure(FailureType::StoreUnavailable, true, "the intent was recorded too late", retryStore),
                    Spend());
        } else {
            dispatch(root, call);
        }
    });
}

void ProgramController::Private::dispatch(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    call->phase_ = CallPhase::Running;
    Dispatch order;
    order.call_ = call->request_;
    order.prompt_ = std::move(call->prompt_);
    order.root_ = root;
    order.fencing_ = work->fencing_;
    order.attempt_ = work->chains_[call->request_.program_].attempts_[call->request_.requestId_]++;
    order.homeEngine_ = fold_->chain(call->request_.program_)->homeEngine_;
    order.contentHash_ = call->contentHash_;
    order.runAlone_ = call->runAlone_;
    hooks_.dispatch_(order);
}

void ProgramController::Private::abandon(const ProgramId &root,
                                         const std::shared_ptr<Call> &call,
                                         const Failure &why,
                                         const Spend &cost)
{
    DispatchOutcome outcome;
    outcome.usage_ = cost;
    recordTurn(root, call, TurnStatus::Abandoned, outcome, why);
}

void ProgramController::Private::refuse(const ProgramId &root, const std::shared_ptr<Call> &call, const Failure &why)
{
    DispatchOutcome outcome;
    outcome.body_ = why.detail_;
    call->worst_ = Spend();
    recordTurn(root, call, TurnStatus::Refused, outcome, why);
}

void ProgramController::Private::recordTurn(const ProgramId &root,
                                            const std::shared_ptr<Call> &call,
                                            TurnStatus status,
                                            const DispatchOutcome &outcome,
                                            const Failure &failure)
{
    call->phase_ = CallPhase::Recording;
    const std::shared_ptr<TreeWork> work = mine(root);
    const CallRequest &request = call->request_;
    TurnBody turn;
    turn.sequence_ = fold_->chain(request.program_)->nextSequence_;
    turn.status_ = status;
    turn.requestId_ = request.requestId_;
    turn.requestHash_ = call->requestHash_;
    turn.contentHash_ = call->contentHash_;
    turn.kind_ = request.kind_;
    turn.target_ = request.target_;
    turn.input_ = request.input_;
    turn.answer_ = outcome.body_;
    turn.usage_ = outcome.usage_;
    turn.endpoint_ = outcome.endpoint_;
    turn.refusal_ = failure.type_;
    turn.refusalNotRun_ = failure.notRun_;
    const BudgetEntry entry = prepareBudget(root, request.program_, turn.usage_, call->worst_);
    turn.reserved_ = entry.reserved_;
    turn.spent_ = entry.spent_;
    const bool closesIntent = !request.idempotent_ && safeguards_.intent_ && status != TurnStatus::Refused;
    Record record =
        recordFor(closesIntent ? RecordType::Outcome : RecordType::Turn, request.program_, root, std::move(turn));
    write(std::move(record), [this, root, work, call, status, failure](const JournalFoldResult &result) {
        work->book_.onFolded();
        const ProgramId program = call->request_.program_;
        if (mine(root) != work || work->chains_[program].current_ != call) {
            return;
        }
        work->chains_[program].attempts_.erase(call->request_.requestId_);
        if (result.verdict_ != JournalVerdict::Accepted) {
            answerFailure(*call, makeFailure(FailureType::OwnerUnavailable, false, "the turn was refused", retrySoon));
        } else if (status == TurnStatus::Abandoned || status == TurnStatus::Refused) {
            answerFailure(*call, failure);
        } else {
            CallAnswer recorded = answerOf(program, std::get<TurnBody>(result.record_.body_));
            recorded.replayed_ = false;
            answer(*call, recorded);
        }
        finishCurrent(root, program);
    });
}

void ProgramController::Private::countCrashes(const Call &call, const DispatchOutcome &outcome)
{
    if (outcome.crashes_ == 0) {
        return;
    }
    const SuspectState *suspect = fold_->suspect(call.contentHash_);
    const bool convicted = outcome.crashes_ >= 2 || (suspect != nullptr && call.runAlone_);
    Record record;
    record.type_ = RecordType::Quarantine;
    record.program_ = call.request_.program_;
    record.root_ = record.program_;
    record.node_ = self_;
    record.body_ = QuarantineBody{call.contentHash_, convicted};
    logEvent(convicted ? "request_quarantined" : "request_suspected",
             {{"program", call.request_.program_.value()}, {"content_hash", call.contentHash_}});
    write(std::move(record), {});
}

void ProgramController::Private::onOutcome(const DispatchOutcome &outcome)
{
    const ProgramId root = rootOf(outcome.program_);
    const std::shared_ptr<TreeWork> work = mine(root);
    if (!work) {
        return;
    }
    const std::shared_ptr<Call> call = work->chains_[outcome.program_].current_;
    if (!call || call->phase_ != CallPhase::Running || call->request_.requestId_ != outcome.requestId_) {
        return;
    }
    countCrashes(*call, outcome);
    DispatchOutcome known = outcome;
    if (known.usage_.calls_ == 0 && outcome.status_ == DispatchStatus::Answered) {
        known.usage_.calls_ = 1;
    }
    // What the earlier runs of the dispatch cost is not known.
    known.usage_ = known.usage_ + (call->worst_ - call->worstOfRun_);
    if (outcome.status_ == DispatchStatus::Answered) {
        recordTurn(root, call, TurnStatus::Answered, known, Failure());
    } else if (call->request_.idempotent_) {
        failIdempotent(root, call, known);
    } else if (outcome.status_ == DispatchStatus::Unknown) {
        known.usage_ = call->worst_;
        known.body_.clear();
        if (safeguards_.intent_) {
            recordTurn(root, call, TurnStatus::Unknown, known, Failure());
        } else {
            failIdempotent(root, call, outcome);
        }
    } else {
        Failure failure = outcome.failure_.value_or(makeFailure(FailureType::NotRun, true, "not sent", retrySoon));
        failure.notRun_ = true;
        if (safeguards_.intent_) {
            const Spend cost = outcome.status_ == DispatchStatus::NotSent ? Spend() : outcome.usage_;
            abandon(root, call, failure, cost);
        } else {
            failIdempotent(root, call, outcome);
        }
    }
}

void ProgramController::Private::failIdempotent(const ProgramId &root,
                                                const std::shared_ptr<Call> &call,
                                                const DispatchOutcome &outcome)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    Failure failure =
        outcome.failure_.value_or(makeFailure(FailureType::EndpointFailed, false, "no endpoint answered", retrySoon));
    if (outcome.status_ == DispatchStatus::NotSent) {
        work->book_.cancel(call->worst_);
        std::map<RequestId, std::uint32_t> &attempts = work->chains_[call->request_.program_].attempts_;
        const std::map<RequestId, std::uint32_t>::iterator tries = attempts.find(call->request_.requestId_);
        if (tries != attempts.end() && tries->second <= 1) {
            attempts.erase(tries);
        }
        failure.notRun_ = isCertainlyNotRun(*work, *call);
    } else {
        // An endpoint's error says nothing of what the run cost.
        work->book_.burn(call->worst_, call->worst_);
        failure.notRun_ = false;
    }
    answerFailure(*call, failure);
    finishCurrent(root, call->request_.program_);
}

void ProgramController::Private::finishCurrent(const ProgramId &root, const ProgramId &program)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    if (!work) {
        return;
    }
    work->chains_[program].current_.reset();
    pump(root, program);
    if (draining_) {
        maybeRelease(root);
    }
}

void ProgramController::Private::answer(Call &call, const CallAnswer &answer) const
{
    const std::vector<AnswerDone> waiters = std::move(call.waiters_);
    call.waiters_.clear();
    for (const AnswerDone &done : waiters) {
        done(answer);
    }
}

void ProgramController::Private::answerFailure(Call &call, const Failure &failure) const
{
    CallAnswer result;
    result.requestId_ = call.request_.requestId_;
    result.program_ = call.request_.program_;
    result.failure_ = failure;
    answer(call, result);
}

} // namespace filbertgw
