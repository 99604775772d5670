#include "program/programcontrollerprivate.h"

#include <algorithm>

namespace filbertgw {

using internal::Call;
using internal::CallPhase;
using internal::ChainWork;
using internal::makeFailure;
using internal::retryStore;
using internal::scanPeriod;
using internal::TreeWork;

namespace {

constexpr Duration idleScanPeriod = std::chrono::seconds(10);

} // namespace

Time ProgramController::Private::deadlineOf(const ProgramId &root, const CallRequest &request) const
{
    const TreeState *tree = fold_->tree(root);
    const ChainState *chain = tree == nullptr ? nullptr : tree->chain(request.program_);
    const Time programs = chain == nullptr ? Time(0) : chain->deadline_;
    if (request.deadline_.count() == 0 || programs.count() == 0) {
        return std::max(request.deadline_, programs);
    }
    return std::min(request.deadline_, programs);
}

void ProgramController::Private::giveUp(const ProgramId &root, const std::shared_ptr<Call> &call)
{
    const std::shared_ptr<TreeWork> work = mine(root);
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
    const bool notRun = !wasSent && isCertainlyNotRun(*work, *call);
    const Time deadline = deadlineOf(root, call->request_);
    if (deadline.count() == 0 || now() < deadline) {
        answerFailure(*call, makeFailure(FailureType::StoreUnavailable, notRun, "the log is too slow", retryStore));
        return;
    }
    const Duration retryAfter = wasSent || !isStoreUp() ? retryStore : Duration(0);
    answerFailure(*call, makeFailure(FailureType::DeadlinePassed, notRun, "the deadline has passed", retryAfter));
}

void ProgramController::Private::giveUpLate(const ProgramId &root)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    std::vector<std::shared_ptr<Call>> late;
    for (std::pair<const ProgramId, ChainWork> &entry : work->chains_) {
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
            // Its record comes too late to be acted on, so its caller needn't wait for it.
            const bool isStuck = isUnsent && current->startedAt_ + settings_.lease_ < now();
            if (isStuck || (deadline.count() != 0 && now() >= deadline)) {
                late.push_back(current);
            }
        }
    }
    for (const std::shared_ptr<Call> &call : late) {
        if (mine(root) == work) {
            giveUp(root, call);
        }
    }
}

void ProgramController::Private::checkpoint(const ProgramId &root, bool idle)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    TreeState state = *fold_->tree(root);
    if (idle) {
        state.reserved_ = Spend();
    }
    work->checkpointing_ = true;
    work->idling_ = idle;
    CheckpointBody body;
    body.covers_ = fold_->offset();
    body.idle_ = idle;
    body.state_ = toJson(state);
    Record record = recordFor(RecordType::Checkpoint, root, root, std::move(body));
    write(std::move(record), [this, root, work](const JournalFoldResult & /*result*/) {
        work->checkpointing_ = false;
        work->idling_ = false;
        if (fold_->tree(root) == nullptr && mine(root) == work) {
            work_.erase(root);
        }
        resume(root);
    });
}

void ProgramController::Private::settle(const ProgramId &root)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    const BudgetEntry entry = prepareBudget(root, root, Spend(), Spend());
    Record record = recordFor(RecordType::Reserve, root, root, ReserveBody{entry.reserved_, entry.spent_});
    write(std::move(record), [work](const JournalFoldResult & /*result*/) { work->book_.onFolded(); });
}

void ProgramController::Private::maybeRelease(const ProgramId &root)
{
    const std::shared_ptr<TreeWork> work = mine(root);
    if (!work || work->releasing_ || work->isRunning() || work->checkpointing_ || !work->ending_.empty()) {
        return;
    }
    work->releasing_ = true;
    // Nothing runs, so that only costs outside of turns are left to settle; the successor counts no reservation.
    const TreeState &tree = *fold_->tree(root);
    const BudgetEntry entry = work->book_.prepare(tree.budget_, tree.spent_, Spend(), Spend(), Spend());
    Record record = recordFor(RecordType::Release, root, root, ReleaseBody{entry.spent_});
    write(std::move(record), [this, root, work](const JournalFoldResult & /*result*/) {
        if (mine(root) == work) {
            dropTree(root);
        }
        resume(root);
    });
}

void ProgramController::Private::tickTree(const ProgramId &root)
{
    giveUpLate(root);
    const std::shared_ptr<TreeWork> work = mine(root);
    const TreeState *tree = fold_->tree(root);
    if (!work || tree == nullptr) {
        return;
    }
    if (draining_) {
        maybeRelease(root);
        return;
    }
    std::vector<ProgramId> over;
    for (const std::pair<const ProgramId, ChainState> &entry : tree->chains_) {
        const ChainState &chain = entry.second;
        const bool isLate = chain.deadline_.count() != 0 && chain.deadline_ <= now();
        const bool isIdleTooLong = entry.first == root && tree->lastTime_ + settings_.idleEnd_ < now();
        if (!chain.endReason_ && (isLate || isIdleTooLong) && work->ending_.count(entry.first) == 0) {
            over.push_back(entry.first);
        }
    }
    for (const ProgramId &program : over) {
        const bool isLate = tree->chain(program)->deadline_.count() != 0;
        writeEnd(root, program, isLate ? FailureType::DeadlinePassed : FailureType::ProgramEnded, {});
    }
    const bool isQuiet = !work->isBusy() && work->book_.isClear() && work->ending_.empty();
    if (!over.empty() || work->checkpointing_ || work->book_.hasUnderWay() || !work->ending_.empty() || !isStoreUp()) {
        return;
    }
    const bool isDue = tree->lastTime_ + settings_.idleAfter_ < now() && tree->chains_.size() == 1;
    if (isDue && !work->isBusy() && !work->book_.isClear()) {
        settle(root);
        return;
    }
    const bool isIdle = isQuiet && isDue;
    const bool isOld = tree->neededTime_ + settings_.retention_ / 3 < now();
    if (isIdle) {
        checkpoint(root, true);
    } else if (isOld) {
        checkpoint(root, false);
    }
}

void ProgramController::Private::tick()
{
    isConfirming();
    lastTick_ = now();
    if (confirmDue_) {
        confirm();
    }
    writer_->tick();
    if (!reading_ && now() >= readAt_) {
        readTail();
    }
    wakeWanted();
    expireParked();
    const bool isScanDue = now() >= scanAt_;
    std::vector<ProgramId> roots;
    for (const std::pair<const ProgramId, std::shared_ptr<TreeWork>> &entry : work_) {
        // A program without calls has only deadlines and checkpoints, for which one look a second is enough.
        if (isScanDue || draining_ || entry.second->isBusy()) {
            roots.push_back(entry.first);
        }
    }
    std::sort(roots.begin(), roots.end());
    for (const ProgramId &root : roots) {
        if (mine(root)) {
            tickTree(root);
        }
    }
    if (isScanDue) {
        scanAt_ = now() + scanPeriod;
        claimOrphans();
        retryParked();
    }
    if (now() >= idleScanAt_) {
        idleScanAt_ = now() + idleScanPeriod;
        scanIdle();
    }
}

} // namespace filbertgw
