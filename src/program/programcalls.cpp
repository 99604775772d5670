#include "program/programcontrollerprivate.h"

#include "core/digest.h"

#include <algorithm>

namespace filbertgw {

using internal::byteCount;
using internal::Call;
using internal::CallPhase;
using internal::makeFailure;
using internal::maxPromptTokens;
using internal::OwnedTree;
using internal::shortRetryDelay;
using internal::storeRetryDelay;

void ProgramController::Private::prepareCall(const ChainState &chain, Call &call) const
{
    const CallRequest &request = call.request_;
    call.worstCase_ = Spend{0, 1, request.priceMicros_};
    call.prompt_.clear();
    if (request.kind_ == CallKind::Model) {
        const std::int64_t generated = request.maxTokens_ > 0 ? request.maxTokens_ : settings_.defaultMaxTokens_;
        call.worstCase_.tokens_ = maxPromptTokens(chain) + byteCount(request.input_) + generated;
        call.prompt_ = historyText(chain) + request.input_;
    }
    call.worstCasePerRun_ = call.worstCase_;
    const std::string &content = request.kind_ == CallKind::Model ? call.prompt_ : request.input_;
    call.contentHash_ = sha256(std::string(nameOf(request.kind_)) + '\n' + request.target_ + '\n' + content);
    const SuspectState *suspect = fold_->suspect(call.contentHash_);
    call.runAlone_ = suspect != nullptr;
}

bool ProgramController::Private::findRefusal(
    const ProgramId &root, const TreeState &tree, const ChainState &chain, Call &call, Failure &failure)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    const bool notRun = isCertainlyNotRun(*owned, call);
    if (chain.endReason_) {
        failure = makeFailure(*chain.endReason_, notRun, "the program has ended");
        return true;
    }
    const bool isLoop = chain.repeats_ >= settings_.loopRepeats_;
    if (isLoop || chain.nextSequence_ >= chain.maxTurns_) {
        const FailureType reason = isLoop ? FailureType::LoopDetected : FailureType::ProgramEnded;
        if (owned->ending_.count(chain.id_) == 0) {
            writeEnd(root, chain.id_, reason, {});
        }
        failure = makeFailure(reason, notRun, isLoop ? "the same turn was repeated" : "turn limit reached");
        return true;
    }
    const SuspectState *suspect = fold_->suspect(call.contentHash_);
    if (suspect != nullptr && suspect->isPoison_) {
        failure = makeFailure(FailureType::Quarantined, notRun, "this content crashed two endpoints");
        return true;
    }
    if (safeguards_.budget_ && !fitsIn(call.worstCase_, owned->budgetTracker_.remaining(tree.budget_, tree.spent_))) {
        failure = makeFailure(FailureType::BudgetExceeded, notRun, "the call's worst case exceeds the budget's rest");
        return true;
    }
    return false;
}

void ProgramController::Private::startNextCall(const ProgramId &root, const ProgramId &program)
{
    for (;;) {
        const std::shared_ptr<OwnedTree> owned = ownedTree(root);
        const TreeState *tree = fold_->tree(root);
        const ChainState *chain = tree == nullptr ? nullptr : tree->chain(program);
        if (!owned || chain == nullptr) {
            return;
        }
        ChainCalls &calls = owned->chains_[program];
        if (calls.current_ || calls.queue_.empty() || owned->releasing_ || isVerifyingOwnership()) {
            return;
        }
        if (draining_ && !(owned->isRunning() && now() < drainStart_ + settings_.drainGrace_)) {
            releaseIfNotRunning(root);
            return;
        }
        const std::shared_ptr<Call> call = calls.queue_.front();
        prepareCall(*chain, *call);
        Failure failure;
        calls.queue_.pop_front();
        const TurnBody *turn = safeguards_.dedup_ ? findTurn(*chain, call->request_.requestId_) : nullptr;
        if (turn != nullptr) {
            answer(*call, answerOf(program, *turn));
        } else if (findRefusal(root, *tree, *chain, *call, failure)) {
            const bool isFinal =
                failure.type_ == FailureType::BudgetExceeded || failure.type_ == FailureType::Quarantined;
            if (isFinal && !chain->intent_) {
                calls.current_ = call;
                recordRefused(root, call, failure);
                return;
            }
            answerFailure(*call, failure);
        } else {
            calls.current_ = call;
            startCall(root, call);
            return;
        }
    }
}

void ProgramController::Private::startCall(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    const bool needsIntent = !call->request_.idempotent_ && safeguards_.intent_;
    const bool isReserved =
        !safeguards_.budget_ || owned->budgetTracker_.fitsReserved(call->worstCase_, fold_->tree(root)->reserved_);
    call->startedAt_ = now();
    owned->budgetTracker_.startCall(call->worstCase_);
    owned->largestCall_ = maximum(owned->largestCall_, call->worstCase_);
    if (needsIntent) {
        writeIntent(root, call);
    } else if (isReserved) {
        dispatch(root, call);
    } else {
        writeReservation(root, call);
    }
}

Spend ProgramController::Private::allowanceFor(const ChainState &chain, const Spend &largest) const
{
    // Covers the next call and one retry, provided that they are no larger than earlier calls.
    Spend allowance = settings_.allowance_;
    allowance.tokens_ += std::max(maxPromptTokens(chain), 2 * largest.tokens_);
    allowance.moneyMicros_ += 2 * largest.moneyMicros_;
    return allowance;
}

BudgetEntry ProgramController::Private::prepareBudget(const ProgramId &root,
                                                      const ProgramId &program,
                                                      const Spend &usage,
                                                      const Spend &worst) const
{
    const TreeState &tree = *fold_->tree(root);
    return ownedTree(root)->budgetTracker_.prepareEntry(
        tree.budget_, tree.spent_, usage, worst, allowanceFor(*tree.chain(program), ownedTree(root)->largestCall_));
}

void ProgramController::Private::writeReservation(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    call->phase_ = CallPhase::Reserving;
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    const BudgetEntry entry = prepareBudget(root, call->request_.program_, Spend(), Spend());
    ReserveBody body{entry.reserved_, entry.spent_};
    Record record = makeRecord(RecordType::Reserve, call->request_.program_, root, body);
    const Time writtenAt = now();
    write(std::move(record), [this, root, owned, call, writtenAt](const JournalFoldResult &result) {
        owned->budgetTracker_.onFolded();
        if (ownedTree(root) != owned || owned->chains_[call->request_.program_].current_ != call) {
            return;
        }
        if (result.verdict_ == JournalVerdict::Accepted && !call->givenUp_ && writtenAt + settings_.lease_ >= now()) {
            dispatch(root, call);
            return;
        }
        failUnsent(root, call);
    });
}

void ProgramController::Private::failUnsent(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    owned->budgetTracker_.cancelCall(call->worstCase_);
    answerFailure(*call,
                  makeFailure(FailureType::StoreUnavailable,
                              isCertainlyNotRun(*owned, *call),
                              "the call was not started",
                              shortRetryDelay));
    finishCurrentCall(root, call->request_.program_);
}

void ProgramController::Private::writeIntent(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    call->phase_ = CallPhase::Announcing;
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
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
    Record record = makeRecord(RecordType::Intent, request.program_, root, body);
    const Time writtenAt = now();
    write(std::move(record), [this, root, owned, call, writtenAt](const JournalFoldResult &result) {
        owned->budgetTracker_.onFolded();
        if (ownedTree(root) != owned || owned->chains_[call->request_.program_].current_ != call) {
            return;
        }
        if (result.verdict_ != JournalVerdict::Accepted) {
            failUnsent(root, call);
        } else if (call->givenUp_) {
            recordAbandoned(root,
                            call,
                            makeFailure(FailureType::DeadlinePassed, true, "timed out before the call was sent"),
                            Spend());
        } else if (writtenAt + settings_.lease_ < now()) {
            recordAbandoned(
                root,
                call,
                makeFailure(FailureType::StoreUnavailable, true, "the intent was recorded too late", storeRetryDelay),
                Spend());
        } else {
            dispatch(root, call);
        }
    });
}

void ProgramController::Private::dispatch(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    call->phase_ = CallPhase::Running;
    Dispatch outgoing;
    outgoing.call_ = call->request_;
    outgoing.prompt_ = std::move(call->prompt_);
    outgoing.root_ = root;
    outgoing.fencing_ = owned->fencing_;
    outgoing.attempt_ = owned->chains_[call->request_.program_].attempts_[call->request_.requestId_]++;
    outgoing.homeEngine_ = fold_->chain(call->request_.program_)->homeEngine_;
    outgoing.contentHash_ = call->contentHash_;
    outgoing.runAlone_ = call->runAlone_;
    hooks_.dispatch_(outgoing);
}

void ProgramController::Private::recordAbandoned(const ProgramId &root,
                                                 const std::shared_ptr<Call> &call,
                                                 const Failure &failure,
                                                 const Spend &cost)
{
    DispatchOutcome outcome;
    outcome.usage_ = cost;
    recordTurn(root, call, TurnStatus::Abandoned, outcome, failure);
}

void ProgramController::Private::recordRefused(const ProgramId &root,
                                               const std::shared_ptr<Call> &call,
                                               const Failure &failure)
{
    DispatchOutcome outcome;
    outcome.body_ = failure.detail_;
    call->worstCase_ = Spend();
    recordTurn(root, call, TurnStatus::Refused, outcome, failure);
}

void ProgramController::Private::recordTurn(const ProgramId &root,
                                            const std::shared_ptr<Call> &call,
                                            TurnStatus status,
                                            const DispatchOutcome &outcome,
                                            const Failure &failure)
{
    call->phase_ = CallPhase::Recording;
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
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
    const BudgetEntry entry = prepareBudget(root, request.program_, turn.usage_, call->worstCase_);
    turn.reserved_ = entry.reserved_;
    turn.spent_ = entry.spent_;
    const bool closesIntent = !request.idempotent_ && safeguards_.intent_ && status != TurnStatus::Refused;
    Record record =
        makeRecord(closesIntent ? RecordType::Outcome : RecordType::Turn, request.program_, root, std::move(turn));
    write(std::move(record), [this, root, owned, call, status, failure](const JournalFoldResult &result) {
        owned->budgetTracker_.onFolded();
        const ProgramId program = call->request_.program_;
        if (ownedTree(root) != owned || owned->chains_[program].current_ != call) {
            return;
        }
        owned->chains_[program].attempts_.erase(call->request_.requestId_);
        if (result.verdict_ != JournalVerdict::Accepted) {
            answerFailure(
                *call,
                makeFailure(
                    FailureType::OwnerUnavailable, false, "the turn was refused by the journal", shortRetryDelay));
        } else if (status == TurnStatus::Abandoned || status == TurnStatus::Refused) {
            answerFailure(*call, failure);
        } else {
            CallAnswer recorded = answerOf(program, std::get<TurnBody>(result.record_.body_));
            recorded.replayed_ = false;
            answer(*call, recorded);
        }
        finishCurrentCall(root, program);
    });
}

void ProgramController::Private::recordCrashes(const Call &call, const DispatchOutcome &outcome)
{
    if (outcome.crashes_ == 0) {
        return;
    }
    const SuspectState *suspect = fold_->suspect(call.contentHash_);
    const bool isPoison = outcome.crashes_ >= 2 || (suspect != nullptr && call.runAlone_);
    Record record;
    record.type_ = RecordType::Quarantine;
    record.program_ = call.request_.program_;
    record.root_ = record.program_;
    record.node_ = self_;
    record.body_ = QuarantineBody{call.contentHash_, isPoison};
    logEvent(isPoison ? "request_quarantined" : "request_suspected",
             {{"program", call.request_.program_.value()}, {"content_hash", call.contentHash_}});
    write(std::move(record), {});
}

void ProgramController::Private::onOutcome(const DispatchOutcome &outcome)
{
    const ProgramId root = rootOf(outcome.program_);
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    if (!owned) {
        return;
    }
    const std::shared_ptr<Call> call = owned->chains_[outcome.program_].current_;
    if (!call || call->phase_ != CallPhase::Running || call->request_.requestId_ != outcome.requestId_) {
        return;
    }
    recordCrashes(*call, outcome);
    DispatchOutcome recordedOutcome = outcome;
    if (recordedOutcome.usage_.calls_ == 0 && outcome.status_ == DispatchStatus::Answered) {
        recordedOutcome.usage_.calls_ = 1;
    }
    // The cost of earlier attempts of the dispatch is unknown, so their worst case is charged.
    recordedOutcome.usage_ = recordedOutcome.usage_ + (call->worstCase_ - call->worstCasePerRun_);
    if (outcome.status_ == DispatchStatus::Answered) {
        recordTurn(root, call, TurnStatus::Answered, recordedOutcome, Failure());
    } else if (call->request_.idempotent_) {
        failUnrecorded(root, call, recordedOutcome);
    } else if (outcome.status_ == DispatchStatus::Unknown) {
        recordedOutcome.usage_ = call->worstCase_;
        recordedOutcome.body_.clear();
        if (safeguards_.intent_) {
            recordTurn(root, call, TurnStatus::Unknown, recordedOutcome, Failure());
        } else {
            failUnrecorded(root, call, outcome);
        }
    } else {
        Failure failure =
            outcome.failure_.value_or(makeFailure(FailureType::NotRun, true, "not sent", shortRetryDelay));
        failure.notRun_ = true;
        if (safeguards_.intent_) {
            const Spend cost = outcome.status_ == DispatchStatus::NotSent ? Spend() : outcome.usage_;
            recordAbandoned(root, call, failure, cost);
        } else {
            failUnrecorded(root, call, outcome);
        }
    }
}

void ProgramController::Private::failUnrecorded(const ProgramId &root,
                                                const std::shared_ptr<Call> &call,
                                                const DispatchOutcome &outcome)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    Failure failure = outcome.failure_.value_or(
        makeFailure(FailureType::EndpointFailed, false, "no endpoint answered", shortRetryDelay));
    if (outcome.status_ == DispatchStatus::NotSent) {
        owned->budgetTracker_.cancelCall(call->worstCase_);
        std::map<RequestId, std::uint32_t> &attempts = owned->chains_[call->request_.program_].attempts_;
        const std::map<RequestId, std::uint32_t>::iterator attempt = attempts.find(call->request_.requestId_);
        if (attempt != attempts.end() && attempt->second <= 1) {
            attempts.erase(attempt);
        }
        failure.notRun_ = isCertainlyNotRun(*owned, *call);
    } else {
        // The cost of a failed run is unknown, so its worst case is charged.
        owned->budgetTracker_.endUnrecordedCall(call->worstCase_, call->worstCase_);
        failure.notRun_ = false;
    }
    answerFailure(*call, failure);
    finishCurrentCall(root, call->request_.program_);
}

void ProgramController::Private::finishCurrentCall(const ProgramId &root, const ProgramId &program)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    if (!owned) {
        return;
    }
    owned->chains_[program].current_.reset();
    startNextCall(root, program);
    if (draining_) {
        releaseIfNotRunning(root);
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
