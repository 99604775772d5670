#include "program/programcontrollerprivate.h"

#include "journal/programid.h"
#include "membership/membershipsection.h"

#include <algorithm>

namespace filbertgw {

using internal::Call;
using internal::CallPhase;
using internal::ChainWork;
using internal::makeFailure;
using internal::Parked;
using internal::retrySoon;
using internal::retryStore;
using internal::TreeWork;

std::shared_ptr<TreeWork> ProgramController::Private::mine(const ProgramId &root) const
{
    const std::unordered_map<ProgramId, std::shared_ptr<TreeWork>>::const_iterator found = work_.find(root);
    return found == work_.end() ? nullptr : found->second;
}

std::shared_ptr<TreeWork> ProgramController::Private::mineAt(const ProgramId &root, Offset fencing) const
{
    const std::shared_ptr<TreeWork> work = mine(root);
    return work && work->fencing_ == fencing ? work : nullptr;
}

ProgramId ProgramController::Private::rootOf(const ProgramId &program) const
{
    const TreeState *tree = fold_->treeOf(program);
    return tree == nullptr ? program : tree->root_;
}

bool ProgramController::Private::isStoreUp() const
{
    const bool isSlow = !pending_.empty() && pending_.begin()->second.since_ + settings_.slowStore_ < now();
    return tailUp_ && writer_->isUp() && !isSlow;
}

bool ProgramController::Private::isGone(const NodeId &owner) const
{
    // An owner of this name that holds no work here is an earlier process of this node.
    return owner.isEmpty() || owner == self_ || !hooks_.isAlive_(owner);
}

NodeId ProgramController::Private::preferredFor(const ProgramId &program) const
{
    const std::optional<ProgramIdParts> parts = splitProgramId(program);
    return hooks_.preferredNode_(parts ? parts->slot_ : 0);
}

OwnerView ProgramController::Private::viewOf(const ProgramId &root, const NodeId &owner) const
{
    if (mine(root) || (claiming_.count(root) != 0 && isStoreUp())) {
        return {Ownership::Own, self_};
    }
    if (claiming_.count(root) != 0) {
        return {Ownership::Unknown, NodeId()};
    }
    if (!isGone(owner)) {
        return {Ownership::Other, owner};
    }
    // Peers may not have noticed that this node's process restarted, and go on sending its programs' calls here.
    const NodeId preferred = owner == self_ ? self_ : preferredFor(root);
    if (!preferred.isEmpty() && preferred != self_) {
        return {Ownership::Other, preferred};
    }
    if (draining_ || !ready_ || !isStoreUp()) {
        return {Ownership::Unknown, NodeId()};
    }
    return {Ownership::Own, self_};
}

void ProgramController::Private::own(const ProgramId &root, Offset fencing, bool takenOver)
{
    const std::shared_ptr<TreeWork> work = std::make_shared<TreeWork>();
    work->fencing_ = fencing;
    work->takenOver_ = takenOver;
    work_[root] = work;
}

void ProgramController::Private::ensureClaim(const ProgramId &root)
{
    const TreeState *tree = fold_->tree(root);
    const IdleProgram *idle = fold_->idle(root);
    if (draining_ || !ready_ || !isStoreUp() || claiming_.count(root) != 0 || mine(root)) {
        return;
    }
    if ((tree == nullptr && idle == nullptr) || (tree != nullptr && tree->isEnded())) {
        return;
    }
    const NodeId owner = tree != nullptr ? tree->owner_ : fold_->ownerOfIdle(*idle);
    if (!isGone(owner) || (owner != self_ && preferredFor(root) != self_)) {
        return;
    }
    ClaimBody body;
    body.supersedes_ = tree != nullptr ? tree->fencing_ : idle->fencing_;
    if (tree != nullptr) {
        // What the former owner had reserved counts as spent.
        const Spend room = clampedToZero(tree->budget_ - tree->spent_ - tree->reserved_);
        body.reserved_ = minimum(aheadFor(*tree->chain(root), Spend()), room);
    }
    claiming_.insert(root);
    Record record = recordFor(RecordType::Claim, root, root, body);
    write(std::move(record), [this, root](const JournalFoldResult &result) {
        claiming_.erase(root);
        if (result.verdict_ == JournalVerdict::Accepted) {
            logEvent("program_claimed", {{"program", root.value()}, {"former_owner", result.formerOwner_.value()}});
            own(root, result.offset_, true);
        }
        resume(root);
    });
}

void ProgramController::Private::dropTree(const ProgramId &root)
{
    const std::unordered_map<ProgramId, std::shared_ptr<TreeWork>>::iterator found = work_.find(root);
    if (found == work_.end()) {
        return;
    }
    const std::shared_ptr<TreeWork> work = found->second;
    work_.erase(found);
    for (std::pair<const ProgramId, ChainWork> &entry : work->chains_) {
        std::vector<std::shared_ptr<Call>> calls(entry.second.queue_.begin(), entry.second.queue_.end());
        if (entry.second.current_) {
            calls.insert(calls.begin(), entry.second.current_);
        }
        for (const std::shared_ptr<Call> &call : calls) {
            const bool wasSent = call->phase_ == CallPhase::Running || call->phase_ == CallPhase::Recording;
            if (call->phase_ == CallPhase::Running) {
                hooks_.cancel_(entry.first, call->request_.requestId_);
            }
            if (wasSent && !call->request_.idempotent_) {
                answerFailure(*call, makeFailure(FailureType::OutcomeUnknown, false, "another node took over"));
            } else {
                answerFailure(*call,
                              makeFailure(FailureType::OwnerUnavailable, false, "another node took over", retrySoon));
            }
        }
    }
}

void ProgramController::Private::claimOrphans()
{
    const bool massLoss = blackboard_->read<MembershipSection>().massLoss_;
    if (massLoss && !massLoss_) {
        massLossAt_ = now();
    }
    massLoss_ = massLoss;
    if (!ready_ || draining_ || !isStoreUp()) {
        return;
    }
    std::uint32_t allowed = UINT32_MAX;
    if (massLossAt_.count() != 0 && now() < massLossAt_ + settings_.massLossPause_) {
        return;
    }
    if (massLoss_) {
        allowed = settings_.massLossClaims_;
    }
    std::vector<ProgramId> roots;
    for (const std::pair<const ProgramId, std::unique_ptr<TreeState>> &entry : fold_->trees()) {
        const bool isCandidate = !entry.second->isEnded() && work_.count(entry.first) == 0
            && isGone(entry.second->owner_) && roots.size() < allowed;
        if (isCandidate) {
            roots.push_back(entry.first);
        }
    }
    // The order of the container differs between nodes; sorted, a run of the bench can be repeated.
    std::sort(roots.begin(), roots.end());
    for (const ProgramId &root : roots) {
        ensureClaim(root);
    }
}

void ProgramController::Private::scanIdle()
{
    const Duration age = settings_.retention_ / 3;
    std::vector<ProgramId> due;
    for (const IdleProgram &idle : fold_->idlePrograms()) {
        const Time written = std::chrono::seconds(idle.checkpointS_);
        const Time idleSince = std::chrono::seconds(idle.idleSinceS_);
        const bool isOver = (idle.deadlineS_ != 0 && std::chrono::seconds(idle.deadlineS_) < now())
            || idleSince + settings_.idleEnd_ < now();
        if ((isOver || written + age < now()) && isGone(fold_->ownerOfIdle(idle))) {
            due.push_back(joinProgramId({idle.slot_, idle.random_}));
        }
    }
    for (const ProgramId &root : due) {
        if (preferredFor(root) == self_) {
            wake(fold_->idle(root)->checkpoint_);
            ensureClaim(root);
        }
    }
}

void ProgramController::Private::wake(Offset checkpoint)
{
    if (!waking_.insert(checkpoint).second) {
        return;
    }
    const std::weak_ptr<Private> weak = weak_from_this();
    hooks_.log_.read_("journal", checkpoint, Duration(0), [weak, checkpoint](bool reached, const LogPage &page) {
        const std::shared_ptr<Private> self = weak.lock();
        if (!self) {
            return;
        }
        self->waking_.erase(checkpoint);
        if (!reached || page.entries_.empty()) {
            return;
        }
        for (const JournalFoldResult &result : self->fold_->restore(page.entries_.front())) {
            self->handle(result);
        }
        std::string error;
        if (const std::optional<Record> record = parseRecord(page.entries_.front().body_, error)) {
            self->resume(record->root_);
        }
    });
}

void ProgramController::Private::wakeWanted()
{
    for (const Offset offset : fold_->wantedCheckpoints()) {
        wake(offset);
    }
}

void ProgramController::Private::park(const ProgramId &program,
                                      Time deadline,
                                      bool unknownProgram,
                                      std::function<void()> retry,
                                      std::function<void(const Failure &)> fail)
{
    parked_.push_back({program, deadline, unknownProgram, std::move(retry), std::move(fail)});
    if (unknownProgram) {
        probeEnd(program);
    }
}

void ProgramController::Private::probeEnd(const ProgramId &program)
{
    // The tail may lag behind, after a pause even by more than one long poll; only a read that begins now can prove
    // that the program doesn't exist.
    const std::weak_ptr<Private> weak = weak_from_this();
    hooks_.log_.read_("journal", fold_->offset() + 1, Duration(0), [weak, program](bool reached, const LogPage &page) {
        const std::shared_ptr<Private> self = weak.lock();
        if (self && reached) {
            self->onProbe(program, page);
        }
    });
}

bool ProgramController::Private::isConfirming()
{
    // A node that was paused doesn't know whether others have claimed its programs meanwhile.
    if (!confirming_ && lastTick_.count() != 0 && lastTick_ + settings_.lease_ < now()) {
        logEvent("pause_noticed", {{"seconds", toSeconds(now() - lastTick_)}});
        confirming_ = true;
        confirm();
    }
    return confirming_;
}

void ProgramController::Private::confirm()
{
    confirmDue_ = false;
    const std::weak_ptr<Private> weak = weak_from_this();
    hooks_.log_.read_("journal", fold_->offset() + 1, Duration(0), [weak](bool reached, const LogPage &page) {
        if (const std::shared_ptr<Private> self = weak.lock()) {
            self->onConfirm(reached, page);
        }
    });
}

void ProgramController::Private::onConfirm(bool reached, const LogPage &page)
{
    if (!reached) {
        confirmDue_ = true;
        return;
    }
    applyProbe(page);
    if (!page.entries_.empty()) {
        confirm();
        return;
    }
    confirming_ = false;
    std::vector<std::pair<ProgramId, ProgramId>> chains;
    for (const std::pair<const ProgramId, std::shared_ptr<TreeWork>> &entry : work_) {
        for (const std::pair<const ProgramId, ChainWork> &chain : entry.second->chains_) {
            chains.push_back({entry.first, chain.first});
        }
    }
    std::sort(chains.begin(), chains.end());
    for (const std::pair<ProgramId, ProgramId> &chain : chains) {
        pump(chain.first, chain.second);
    }
}

void ProgramController::Private::applyProbe(const LogPage &page)
{
    for (const LogEntry &entry : page.entries_) {
        if (entry.offset_ == fold_->offset() + 1) {
            handle(fold_->apply(entry));
        }
    }
}

void ProgramController::Private::onProbe(const ProgramId &program, const LogPage &page)
{
    applyProbe(page);
    if (fold_->treeOf(program) != nullptr || fold_->idle(program) != nullptr) {
        resume(rootOf(program));
        return;
    }
    if (!page.entries_.empty()) {
        probeEnd(program);
        return;
    }
    std::vector<Parked> unknown;
    for (std::size_t i = 0; i < parked_.size();) {
        if (parked_[i].program_ == program && parked_[i].unknownProgram_) {
            unknown.push_back(std::move(parked_[i]));
            parked_.erase(parked_.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
    for (const Parked &entry : unknown) {
        entry.fail_(makeFailure(FailureType::NotFound, true, "no such program"));
    }
}

void ProgramController::Private::resume(const ProgramId &root)
{
    std::vector<Parked> waiting;
    for (std::size_t i = 0; i < parked_.size();) {
        if (parked_[i].program_ == root || rootOf(parked_[i].program_) == root) {
            waiting.push_back(std::move(parked_[i]));
            parked_.erase(parked_.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
    for (const Parked &entry : waiting) {
        entry.retry_();
    }
}

void ProgramController::Private::retryParked()
{
    std::vector<Parked> waiting;
    std::vector<Parked> rest;
    for (Parked &entry : parked_) {
        (entry.unknownProgram_ ? rest : waiting).push_back(std::move(entry));
    }
    parked_ = std::move(rest);
    for (const Parked &entry : waiting) {
        entry.retry_();
    }
}

void ProgramController::Private::expireParked()
{
    std::vector<Parked> late;
    for (std::size_t i = 0; i < parked_.size();) {
        if (parked_[i].giveUpAt_ <= now()) {
            late.push_back(std::move(parked_[i]));
            parked_.erase(parked_.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
    for (const Parked &entry : late) {
        if (!isStoreUp() || !ready_) {
            entry.fail_(makeFailure(FailureType::StoreUnavailable, false, "the log can't be reached", retryStore));
        } else {
            entry.fail_(makeFailure(FailureType::OwnerUnavailable, false, "the takeover takes too long", retrySoon));
        }
    }
}

} // namespace filbertgw
