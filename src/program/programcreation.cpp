#include "program/programcontrollerprivate.h"

#include "journal/programid.h"

namespace filbertgw {

using internal::Call;
using internal::CallPhase;
using internal::makeFailure;
using internal::OwnedTree;
using internal::shortRetryDelay;
using internal::storeRetryDelay;

namespace {

constexpr int maxSlotTries =
    1024; // Finds a slot of this node with a probability of 93% for 390 nodes, and practically always for 12.

} // namespace

void ProgramController::Private::create(const CreateRequest &request, CreateDone done)
{
    const std::pair<AccountId, RequestId> key(request.account_, request.requestId_);
    const ProgramId known = fold_->createdBy(request.account_, request.requestId_);
    if (!known.isEmpty() && safeguards_.dedup_) {
        done(Result<ProgramId>(known));
        return;
    }
    const std::map<std::pair<AccountId, RequestId>, std::vector<CreateDone>>::iterator running =
        pendingCreates_.find(key);
    if (running != pendingCreates_.end()) {
        running->second.push_back(std::move(done));
        return;
    }
    if (draining_) {
        done(failedResult<ProgramId>(makeFailure(FailureType::OwnerUnavailable, true, "this node is leaving")));
        return;
    }
    if (!ready_ || !isStoreUp() || !writer_->hasRoom(settings_.maxRequestBytes_)) {
        done(failedResult<ProgramId>(
            makeFailure(FailureType::StoreUnavailable, true, "programs can't be recorded now", storeRetryDelay)));
        return;
    }
    pendingCreates_[key].push_back(std::move(done));
    writeCreate(request);
}

void ProgramController::Private::writeCreate(const CreateRequest &request)
{
    const std::pair<AccountId, RequestId> key(request.account_, request.requestId_);
    const bool isRoot = request.parent_.isEmpty();
    const ProgramId root = isRoot ? ProgramId() : rootOf(request.parent_);
    const std::shared_ptr<OwnedTree> parentTree = isRoot ? nullptr : ownedTree(root);
    if (!isRoot && (!parentTree || parentTree->releasing_ || parentTree->compacting_)) {
        finishCreate(
            key,
            failedResult<ProgramId>(makeFailure(
                FailureType::OwnerUnavailable, true, "the parent program has another owner", shortRetryDelay)));
        return;
    }
    ProgramId program;
    for (int i = 0; i < maxSlotTries && program.isEmpty(); ++i) {
        const std::uint64_t bits = hooks_.random_();
        const std::uint16_t slot = static_cast<std::uint16_t>(bits & 0xfffU);
        if (!isRoot) {
            program = joinProgramId({splitProgramId(root).value_or(ProgramIdParts()).slot_, bits});
        } else if (hooks_.preferredNode_(slot) == self_) {
            program = joinProgramId({slot, hooks_.random_()});
        }
    }
    if (program.isEmpty()) {
        finishCreate(key,
                     failedResult<ProgramId>(makeFailure(
                         FailureType::OwnerUnavailable, true, "this node is preferred for no slot", shortRetryDelay)));
        return;
    }
    CreateBody body;
    body.requestId_ = request.requestId_;
    body.account_ = request.account_;
    body.parent_ = request.parent_;
    body.budget_ = request.budget_;
    body.deadline_ = request.deadline_;
    body.maxTurns_ = request.maxTurns_;
    if (isRoot) {
        body.reserved_ = minimum(settings_.allowance_, request.budget_);
    } else {
        const BudgetEntry entry = prepareBudget(root, root, Spend(), Spend());
        body.reserved_ = entry.reserved_;
        body.spent_ = entry.spent_;
    }
    Record record = makeRecord(RecordType::Create, program, isRoot ? program : root, body);
    write(std::move(record), [this, key, program, root, isRoot](const JournalFoldResult &result) {
        if (!isRoot && ownedTree(root)) {
            ownedTree(root)->budgetTracker_.onFolded();
        }
        if (result.verdict_ == JournalVerdict::Accepted) {
            if (isRoot) {
                addOwnedTree(program, result.offset_, false);
            }
            finishCreate(key, Result<ProgramId>(program));
        } else if (!result.existingProgram_.isEmpty()) {
            finishCreate(key, Result<ProgramId>(result.existingProgram_));
        } else {
            finishCreate(
                key,
                failedResult<ProgramId>(makeFailure(
                    FailureType::OwnerUnavailable, true, "another node took over the parent", shortRetryDelay)));
        }
    });
}

void ProgramController::Private::finishCreate(const std::pair<AccountId, RequestId> &key,
                                              const Result<ProgramId> &result)
{
    const std::map<std::pair<AccountId, RequestId>, std::vector<CreateDone>>::iterator found =
        pendingCreates_.find(key);
    if (found == pendingCreates_.end()) {
        return;
    }
    const std::vector<CreateDone> waiting = std::move(found->second);
    pendingCreates_.erase(found);
    if (result) {
        for (const CreateDone &done : waiting) {
            done(result);
        }
        return;
    }
    const Failure failure = failureOf(result);
    for (const CreateDone &done : waiting) {
        done(failedResult<ProgramId>(failure));
    }
}

void ProgramController::Private::end(const ProgramId &program,
                                     const AccountId &account,
                                     Time waitUntil,
                                     const AnswerDone &done)
{
    const std::function<void(const Failure &)> fail = [program, done](const Failure &failure) {
        CallAnswer answer;
        answer.program_ = program;
        answer.failure_ = failure;
        done(answer);
    };
    const std::function<void()> retry = [this, program, account, waitUntil, done]() {
        end(program, account, waitUntil, done);
    };
    const TreeState *tree = fold_->treeOf(program);
    if (tree != nullptr && tree->account_ != account) {
        fail(makeFailure(FailureType::Forbidden, true, "the program belongs to another account"));
        return;
    }
    if (tree != nullptr && tree->chain(program)->endReason_) {
        CallAnswer answer;
        answer.program_ = program;
        done(answer);
        return;
    }
    if (!ensureOwned(program, waitUntil, retry, fail)) {
        return;
    }
    writeEnd(fold_->treeOf(program)->root_, program, FailureType::ProgramEnded, [this, program, done, fail]() {
        const ChainState *chain = fold_->chain(program);
        if (chain != nullptr && !chain->endReason_) {
            fail(makeFailure(FailureType::OwnerUnavailable, false, "another node took over", shortRetryDelay));
            return;
        }
        CallAnswer answer;
        answer.program_ = program;
        done(answer);
    });
}

void ProgramController::Private::writeEnd(const ProgramId &root,
                                          const ProgramId &program,
                                          FailureType reason,
                                          std::function<void()> done)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    owned->ending_[program] = true;
    Record record = makeRecord(RecordType::End, program, root, EndBody{reason});
    write(std::move(record), [this, root, program, owned, done = std::move(done)](const JournalFoldResult &result) {
        owned->ending_.erase(program);
        const TreeState *tree = fold_->tree(root);
        if (result.verdict_ == JournalVerdict::Accepted && ownedTree(root) == owned && tree != nullptr) {
            std::vector<ProgramId> ended;
            for (const std::pair<const ProgramId, ChainState> &entry : tree->chains_) {
                if (entry.second.endReason_) {
                    ended.push_back(entry.first);
                }
            }
            for (const ProgramId &id : ended) {
                ChainCalls &chain = owned->chains_[id];
                std::deque<std::shared_ptr<Call>> calls = std::move(chain.queue_);
                chain.queue_.clear();
                if (chain.current_) {
                    const CallPhase phase = chain.current_->phase_;
                    const bool isRunning = phase == CallPhase::Running;
                    if (isRunning) {
                        owned->budgetTracker_.endUnrecordedCall(chain.current_->worstCase_, chain.current_->worstCase_);
                    } else if (phase != CallPhase::Recording) {
                        owned->budgetTracker_.cancelCall(chain.current_->worstCase_);
                    }
                    calls.push_front(chain.current_);
                    chain.current_.reset();
                    if (isRunning) {
                        hooks_.cancel_(id, calls.front()->request_.requestId_);
                    }
                }
                for (const std::shared_ptr<Call> &call : calls) {
                    const bool wasSent = call->phase_ == CallPhase::Running || call->phase_ == CallPhase::Recording;
                    const FailureType type = wasSent && !call->request_.idempotent_
                        ? FailureType::OutcomeUnknown
                        : tree->chain(id)->endReason_.value_or(FailureType::ProgramEnded);
                    answerFailure(*call, makeFailure(type, false, "the program has ended"));
                }
            }
            if (tree->isEnded()) {
                ownedTrees_.erase(root);
            }
        }
        if (done) {
            done();
        }
    });
}

} // namespace filbertgw
