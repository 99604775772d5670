#include "program/programcontrollerprivate.h"

namespace filbertgw {

using internal::Call;
using internal::CallPhase;
using internal::ChainCalls;
using internal::makeFailure;
using internal::OwnedTree;
using internal::requestHashOf;
using internal::shortRetryDelay;
using internal::storeRetryDelay;

bool ProgramController::Private::ensureOwned(const ProgramId &program,
                                             Time waitUntil,
                                             const std::function<void()> &retry,
                                             const std::function<void(const Failure &)> &fail)
{
    const TreeState *tree = fold_->treeOf(program);
    if (tree == nullptr) {
        const IdleProgram *idle = fold_->idle(program);
        if (idle != nullptr) {
            restoreCheckpoint(idle->checkpoint_);
        }
        waitForOwner(program, waitUntil, idle == nullptr && ready_, retry, fail);
        return false;
    }
    if (const std::shared_ptr<OwnedTree> owned = ownedTree(tree->root_)) {
        if (!owned->releasing_ && !owned->compacting_) {
            return true;
        }
        waitForOwner(program, waitUntil, false, retry, fail);
        return false;
    }
    const OwnerView view = ownerViewOf(tree->root_, tree->owner_);
    if (view.ownership_ == Ownership::Other || draining_) {
        fail(makeFailure(FailureType::OwnerUnavailable, false, "another node owns the program", shortRetryDelay));
        return false;
    }
    ensureClaim(tree->root_);
    waitForOwner(program, waitUntil, false, retry, fail);
    return false;
}

void ProgramController::Private::submitCall(CallRequest request, Time waitUntil, AnswerDone done)
{
    const std::function<void(const Failure &)> fail = [request, done](const Failure &failure) {
        CallAnswer answer;
        answer.requestId_ = request.requestId_;
        answer.program_ = request.program_;
        answer.failure_ = failure;
        done(answer);
    };
    const TreeState *tree = fold_->treeOf(request.program_);
    if (tree != nullptr) {
        const ChainState &chain = *tree->chain(request.program_);
        if (tree->account_ != request.account_) {
            fail(makeFailure(FailureType::Forbidden, true, "the program belongs to another account"));
            return;
        }
        const TurnBody *turn = safeguards_.dedup_ ? findTurn(chain, request.requestId_) : nullptr;
        if (turn != nullptr && turn->requestHash_ != requestHashOf(request)) {
            fail(makeFailure(FailureType::Conflict, true, "the request id was used for another call"));
            return;
        }
        if (turn != nullptr) {
            done(answerOf(request.program_, *turn));
            return;
        }
        if (chain.endReason_) {
            fail(makeFailure(*chain.endReason_, !request.idempotent_, "the program has ended"));
            return;
        }
    }
    const std::function<void()> retry = [this, request, waitUntil, done]() { submitCall(request, waitUntil, done); };
    if (ensureOwned(request.program_, waitUntil, retry, fail)) {
        attachOrEnqueue(request, rootOf(request.program_), done);
    }
}

void ProgramController::Private::attachOrEnqueue(const CallRequest &request,
                                                 const ProgramId &root,
                                                 const AnswerDone &done)
{
    ChainCalls &chain = ownedTree(root)->chains_[request.program_];
    std::vector<std::shared_ptr<Call>> calls(chain.queue_.begin(), chain.queue_.end());
    if (chain.current_) {
        calls.push_back(chain.current_);
    }
    for (const std::shared_ptr<Call> &call : calls) {
        if (call->request_.requestId_ != request.requestId_ || !safeguards_.dedup_) {
            continue;
        }
        CallAnswer answer;
        answer.requestId_ = request.requestId_;
        answer.program_ = request.program_;
        if (call->requestHash_ != requestHashOf(request)) {
            answer.failure_ = makeFailure(FailureType::Conflict, true, "the request id was used for another call");
            done(answer);
        } else if (call->givenUp_ && call->phase_ < CallPhase::Running) {
            answer.failure_ = makeFailure(
                FailureType::NotRun, !request.idempotent_, "an earlier attempt is being withdrawn", shortRetryDelay);
            done(answer);
        } else {
            // The deadline of the repeated request replaces the earlier one.
            call->givenUp_ = false;
            call->request_.deadline_ = request.deadline_;
            call->waiters_.push_back(done);
        }
        return;
    }
    enqueue(request, root, done);
}

void ProgramController::Private::enqueue(const CallRequest &request, const ProgramId &root, const AnswerDone &done)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    ChainCalls &chain = owned->chains_[request.program_];
    const std::shared_ptr<Call> call = std::make_shared<Call>();
    call->request_ = request;
    call->requestHash_ = requestHashOf(request);
    call->waiters_.push_back(done);
    const bool notRun = isCertainlyNotRun(*owned, *call);
    if (chain.queue_.size() >= settings_.maxQueuedCalls_ || request.input_.size() > settings_.maxRequestBytes_) {
        const FailureType type =
            request.input_.size() > settings_.maxRequestBytes_ ? FailureType::TooLarge : FailureType::Overloaded;
        answerFailure(
            *call,
            makeFailure(type, notRun, "the limit of queued calls or of the input size is exceeded", shortRetryDelay));
        return;
    }
    const std::size_t neededBytes = request.input_.size() + settings_.maxRequestBytes_;
    if (!writer_->hasRoom(neededBytes) || (!request.idempotent_ && !isStoreUp())) {
        answerFailure(
            *call, makeFailure(FailureType::StoreUnavailable, notRun, "calls can't be recorded now", storeRetryDelay));
        return;
    }
    chain.queue_.push_back(call);
    startNextCall(root, request.program_);
}

bool ProgramController::Private::isCertainlyNotRun(const OwnedTree &owned, const Call &call) const
{
    if (!call.request_.idempotent_) {
        return true; // An earlier run would have left an intent in the journal.
    }
    const std::map<ProgramId, ChainCalls>::const_iterator chain = owned.chains_.find(call.request_.program_);
    const bool wasDispatched =
        chain != owned.chains_.end() && chain->second.attempts_.count(call.request_.requestId_) != 0;
    return !owned.takenOver_ && !wasDispatched;
}

} // namespace filbertgw
