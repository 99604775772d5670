#include "program/programcontrollerprivate.h"

#include <algorithm>

namespace filbertgw {

using internal::Call;
using internal::CallPhase;
using internal::ChainCalls;
using internal::makeFailure;
using internal::OwnedTree;
using internal::scanPeriod;
using internal::storeRetryDelay;

namespace {

constexpr Duration idleScanPeriod = std::chrono::seconds(10);

} // namespace

Time ProgramController::Private::deadlineOf(const ProgramId &root, const CallRequest &request) const
{
    const TreeState *tree = fold_->tree(root);
    const ChainState *chain = tree == nullptr ? nullptr : tree->chain(request.program_);
    const Time programDeadline = chain == nullptr ? Time(0) : chain->deadline_;
    if (request.deadline_.count() == 0 || programDeadline.count() == 0) {
        return std::max(request.deadline_, programDeadline);
    }
    return std::min(request.deadline_, programDeadline);
}

void ProgramController::Private::expireCall(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    const bool wasSent = call->phase_ == CallPhase::Running || call->phase_ == CallPhase::Recording;
    const bool isUnknown = call->phase_ == CallPhase::Running && !call->request_.idempotent_;
    call->givenUp_ = true;
    if (call->phase_ == CallPhase::Running) {
        hooks_.cancel_(call->request_.program_, call->request_.requestId_);
    }
    if (isUnknown) {
        answerFailure(*call, makeFailure(FailureType::OutcomeUnknown, false, "no answer within the deadline"));
        return;
    }
    const bool notRun = !wasSent && isCertainlyNotRun(*owned, *call);
    const Time deadline = deadlineOf(root, call->request_);
    if (deadline.count() == 0 || now() < deadline) {
        answerFailure(*call,
                      makeFailure(FailureType::StoreUnavailable, notRun, "the log is too slow", storeRetryDelay));
        return;
    }
    const Duration retryAfter = wasSent || !isStoreUp() ? storeRetryDelay : Duration(0);
    answerFailure(*call, makeFailure(FailureType::DeadlinePassed, notRun, "the deadline has passed", retryAfter));
}

void ProgramController::Private::expireOverdueCalls(const ProgramId &root)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    std::vector<std::shared_ptr<Call>> late;
    for (std::pair<const ProgramId, ChainCalls> &entry : owned->chains_) {
        std::deque<std::shared_ptr<Call>> &queue = entry.second.queue_;
        const std::deque<std::shared_ptr<Call>>::iterator firstLate =
            std::stable_partition(queue.begin(), queue.end(), [this, &root](const std::shared_ptr<Call> &call) {
                const Time deadline = deadlineOf(root, call->request_);
                return deadline.count() == 0 || now() < deadline;
            });
        late.insert(late.end(), firstLate, queue.end());
        queue.erase(firstLate, queue.end());
        const std::shared_ptr<Call> &current = entry.second.current_;
        if (current && !current->givenUp_) {
            const Time deadline = deadlineOf(root, current->request_);
            const bool isUnsent = current->phase_ < CallPhase::Running;
            // A record that took longer than the lease doesn't start the call, so the caller needn't wait for it.
            const bool isStuck = isUnsent && current->startedAt_ + settings_.lease_ < now();
            if (isStuck || (deadline.count() != 0 && now() >= deadline)) {
                late.push_back(current);
            }
        }
    }
    for (const std::shared_ptr<Call> &call : late) {
        if (ownedTree(root) == owned) {
            expireCall(root, call);
        }
    }
}

void ProgramController::Private::writeCheckpoint(const ProgramId &root, bool idle)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    TreeState state = *fold_->tree(root);
    if (idle) {
        state.reserved_ = Spend();
    }
    owned->checkpointing_ = true;
    owned->compacting_ = idle;
    CheckpointBody body;
    body.coveredOffset_ = fold_->offset();
    body.idle_ = idle;
    body.state_ = toJson(state);
    Record record = makeRecord(RecordType::Checkpoint, root, root, std::move(body));
    write(std::move(record), [this, root, owned](const JournalFoldResult & /*result*/) {
        owned->checkpointing_ = false;
        owned->compacting_ = false;
        if (fold_->tree(root) == nullptr && ownedTree(root) == owned) {
            ownedTrees_.erase(root);
        }
        retryWaitingFor(root);
    });
}

void ProgramController::Private::writeSettlement(const ProgramId &root)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    const BudgetEntry entry = prepareBudget(root, root, Spend(), Spend());
    Record record = makeRecord(RecordType::Reserve, root, root, ReserveBody{entry.reserved_, entry.spent_});
    write(std::move(record), [owned](const JournalFoldResult & /*result*/) { owned->budgetTracker_.onFolded(); });
}

void ProgramController::Private::releaseIfNotRunning(const ProgramId &root)
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    if (!owned || owned->releasing_ || owned->isRunning() || owned->checkpointing_ || !owned->ending_.empty()) {
        return;
    }
    owned->releasing_ = true;
    // No call is running, so only costs without a turn are left to record. Nothing stays reserved, since the successor
    // would count it as spent.
    const TreeState &tree = *fold_->tree(root);
    const BudgetEntry entry = owned->budgetTracker_.prepareEntry(tree.budget_, tree.spent_, Spend(), Spend(), Spend());
    Record record = makeRecord(RecordType::Release, root, root, ReleaseBody{entry.spent_});
    write(std::move(record), [this, root, owned](const JournalFoldResult & /*result*/) {
        if (ownedTree(root) == owned) {
            dropTree(root);
        }
        retryWaitingFor(root);
    });
}

void ProgramController::Private::tickTree(const ProgramId &root)
{
    expireOverdueCalls(root);
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    const TreeState *tree = fold_->tree(root);
    if (!owned || tree == nullptr) {
        return;
    }
    if (draining_) {
        releaseIfNotRunning(root);
        return;
    }
    std::vector<ProgramId> expired;
    for (const std::pair<const ProgramId, ChainState> &entry : tree->chains_) {
        const ChainState &chain = entry.second;
        const bool isLate = chain.deadline_.count() != 0 && chain.deadline_ <= now();
        const bool isIdleTooLong = entry.first == root && tree->lastTime_ + settings_.idleExpiry_ < now();
        if (!chain.endReason_ && (isLate || isIdleTooLong) && owned->ending_.count(entry.first) == 0) {
            expired.push_back(entry.first);
        }
    }
    for (const ProgramId &program : expired) {
        const bool isLate = tree->chain(program)->deadline_.count() != 0;
        writeEnd(root, program, isLate ? FailureType::DeadlinePassed : FailureType::ProgramEnded, {});
    }
    const bool isQuiet = !owned->isBusy() && owned->budgetTracker_.isSettled() && owned->ending_.empty();
    if (!expired.empty() || owned->checkpointing_ || owned->budgetTracker_.hasPendingEntries()
        || !owned->ending_.empty() || !isStoreUp()) {
        return;
    }
    const bool isDue = tree->lastTime_ + settings_.idleTimeout_ < now() && tree->chains_.size() == 1;
    if (isDue && !owned->isBusy() && !owned->budgetTracker_.isSettled()) {
        writeSettlement(root);
        return;
    }
    const bool isIdle = isQuiet && isDue;
    const bool isOld = tree->replayFromTime_ + settings_.retention_ / 3 < now();
    if (isIdle) {
        writeCheckpoint(root, true);
    } else if (isOld) {
        writeCheckpoint(root, false);
    }
}

void ProgramController::Private::tick()
{
    isVerifyingOwnership();
    lastTick_ = now();
    if (verifyRetryDue_) {
        verifyOwnership();
    }
    writer_->tick();
    if (!tailReadPending_ && now() >= nextTailRead_) {
        readTail();
    }
    restoreRequiredCheckpoints();
    expireWaiting();
    const bool isScanDue = now() >= nextScan_;
    std::vector<ProgramId> roots;
    for (const std::pair<const ProgramId, std::shared_ptr<OwnedTree>> &entry : ownedTrees_) {
        // A program without calls has only deadlines and checkpoints, for which one check a second is sufficient.
        if (isScanDue || draining_ || entry.second->isBusy()) {
            roots.push_back(entry.first);
        }
    }
    std::sort(roots.begin(), roots.end());
    for (const ProgramId &root : roots) {
        if (ownedTree(root)) {
            tickTree(root);
        }
    }
    if (isScanDue) {
        nextScan_ = now() + scanPeriod;
        claimOrphans();
        retryWaiting();
    }
    if (now() >= nextIdleScan_) {
        nextIdleScan_ = now() + idleScanPeriod;
        scanIdlePrograms();
    }
}

} // namespace filbertgw
