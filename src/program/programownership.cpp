#include "program/programcontrollerprivate.h"

#include "journal/programid.h"
#include "membership/membershipsection.h"

#include <algorithm>

namespace filbertgw {

using internal::Call;
using internal::CallPhase;
using internal::ChainCalls;
using internal::makeFailure;
using internal::OwnedTree;
using internal::shortRetryDelay;
using internal::storeRetryDelay;
using internal::WaitingRequest;

std::shared_ptr<OwnedTree> ProgramController::Private::ownedTree(const ProgramId &root) const
{
    const std::unordered_map<ProgramId, std::shared_ptr<OwnedTree>>::const_iterator found = ownedTrees_.find(root);
    return found == ownedTrees_.end() ? nullptr : found->second;
}

std::shared_ptr<OwnedTree> ProgramController::Private::ownedTreeAt(const ProgramId &root, Offset fencing) const
{
    const std::shared_ptr<OwnedTree> owned = ownedTree(root);
    return owned && owned->fencing_ == fencing ? owned : nullptr;
}

ProgramId ProgramController::Private::rootOf(const ProgramId &program) const
{
    const TreeState *tree = fold_->treeOf(program);
    return tree == nullptr ? program : tree->root_;
}

bool ProgramController::Private::isStoreUp() const
{
    const bool isSlow = !pending_.empty() && pending_.begin()->second.since_ + settings_.storeTimeout_ < now();
    return tailReachable_ && writer_->isUp() && !isSlow;
}

bool ProgramController::Private::isOwnerGone(const NodeId &owner) const
{
    // If the owner is this node although it doesn't own the tree, the owner was an earlier process of this node.
    return owner.isEmpty() || owner == self_ || !hooks_.isAlive_(owner);
}

NodeId ProgramController::Private::preferredNodeFor(const ProgramId &program) const
{
    const std::optional<ProgramIdParts> parts = splitProgramId(program);
    return hooks_.preferredNode_(parts ? parts->slot_ : 0);
}

OwnerView ProgramController::Private::ownerViewOf(const ProgramId &root, const NodeId &owner) const
{
    if (ownedTree(root) || (pendingClaims_.count(root) != 0 && isStoreUp())) {
        return {Ownership::Own, self_};
    }
    if (pendingClaims_.count(root) != 0) {
        return {Ownership::Unknown, NodeId()};
    }
    if (!isOwnerGone(owner)) {
        return {Ownership::Other, owner};
    }
    // Peers may not have noticed yet that this node's process has restarted, and still forward calls for its programs.
    const NodeId preferred = owner == self_ ? self_ : preferredNodeFor(root);
    if (!preferred.isEmpty() && preferred != self_) {
        return {Ownership::Other, preferred};
    }
    if (draining_ || !ready_ || !isStoreUp()) {
        return {Ownership::Unknown, NodeId()};
    }
    return {Ownership::Own, self_};
}

void ProgramController::Private::addOwnedTree(const ProgramId &root, Offset fencing, bool takenOver)
{
    const std::shared_ptr<OwnedTree> owned = std::make_shared<OwnedTree>();
    owned->fencing_ = fencing;
    owned->takenOver_ = takenOver;
    ownedTrees_[root] = owned;
}

void ProgramController::Private::ensureClaim(const ProgramId &root)
{
    const TreeState *tree = fold_->tree(root);
    const IdleProgram *idle = fold_->idle(root);
    if (draining_ || !ready_ || !isStoreUp() || pendingClaims_.count(root) != 0 || ownedTree(root)) {
        return;
    }
    if ((tree == nullptr && idle == nullptr) || (tree != nullptr && tree->isEnded())) {
        return;
    }
    const NodeId owner = tree != nullptr ? tree->owner_ : fold_->ownerOfIdle(*idle);
    if (!isOwnerGone(owner) || (owner != self_ && preferredNodeFor(root) != self_)) {
        return;
    }
    ClaimBody body;
    body.supersedes_ = tree != nullptr ? tree->fencing_ : idle->fencing_;
    if (tree != nullptr) {
        // The reservation of the former owner counts as spent.
        const Spend available = clampedToZero(tree->budget_ - tree->spent_ - tree->reserved_);
        body.reserved_ = minimum(allowanceFor(*tree->chain(root), Spend()), available);
    }
    pendingClaims_.insert(root);
    Record record = makeRecord(RecordType::Claim, root, root, body);
    write(std::move(record), [this, root](const JournalFoldResult &result) {
        pendingClaims_.erase(root);
        if (result.verdict_ == JournalVerdict::Accepted) {
            logEvent("program_claimed", {{"program", root.value()}, {"former_owner", result.formerOwner_.value()}});
            addOwnedTree(root, result.offset_, true);
        }
        retryWaitingFor(root);
    });
}

void ProgramController::Private::dropTree(const ProgramId &root)
{
    const std::unordered_map<ProgramId, std::shared_ptr<OwnedTree>>::iterator found = ownedTrees_.find(root);
    if (found == ownedTrees_.end()) {
        return;
    }
    const std::shared_ptr<OwnedTree> owned = found->second;
    ownedTrees_.erase(found);
    for (std::pair<const ProgramId, ChainCalls> &entry : owned->chains_) {
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
                answerFailure(
                    *call,
                    makeFailure(FailureType::OwnerUnavailable, false, "another node took over", shortRetryDelay));
            }
        }
    }
}

void ProgramController::Private::claimOrphans()
{
    const bool massLoss = blackboard_->read<MembershipSection>().massLoss_;
    if (massLoss && !massLoss_) {
        massLossStart_ = now();
    }
    massLoss_ = massLoss;
    if (!ready_ || draining_ || !isStoreUp()) {
        return;
    }
    std::uint32_t allowed = UINT32_MAX;
    if (massLossStart_.count() != 0 && now() < massLossStart_ + settings_.massLossPause_) {
        return;
    }
    if (massLoss_) {
        allowed = settings_.massLossClaimsPerSecond_;
    }
    std::vector<ProgramId> roots;
    for (const std::pair<const ProgramId, std::unique_ptr<TreeState>> &entry : fold_->trees()) {
        const bool isCandidate = !entry.second->isEnded() && ownedTrees_.count(entry.first) == 0
            && isOwnerGone(entry.second->owner_) && roots.size() < allowed;
        if (isCandidate) {
            roots.push_back(entry.first);
        }
    }
    // The iteration order of the container isn't deterministic; sorting makes bench runs reproducible.
    std::sort(roots.begin(), roots.end());
    for (const ProgramId &root : roots) {
        ensureClaim(root);
    }
}

void ProgramController::Private::scanIdlePrograms()
{
    const Duration maxCheckpointAge = settings_.retention_ / 3;
    std::vector<ProgramId> due;
    for (const IdleProgram &idle : fold_->idlePrograms()) {
        const Time written = std::chrono::seconds(idle.checkpointS_);
        const Time idleSince = std::chrono::seconds(idle.idleSinceS_);
        const bool isExpired = (idle.deadlineS_ != 0 && std::chrono::seconds(idle.deadlineS_) < now())
            || idleSince + settings_.idleExpiry_ < now();
        if ((isExpired || written + maxCheckpointAge < now()) && isOwnerGone(fold_->ownerOfIdle(idle))) {
            due.push_back(joinProgramId({idle.slot_, idle.random_}));
        }
    }
    for (const ProgramId &root : due) {
        if (preferredNodeFor(root) == self_) {
            restoreCheckpoint(fold_->idle(root)->checkpoint_);
            ensureClaim(root);
        }
    }
}

void ProgramController::Private::restoreCheckpoint(Offset checkpoint)
{
    if (!restoring_.insert(checkpoint).second) {
        return;
    }
    const std::weak_ptr<Private> weak = weak_from_this();
    hooks_.log_.read_("journal", checkpoint, Duration(0), [weak, checkpoint](bool reached, const LogPage &page) {
        const std::shared_ptr<Private> self = weak.lock();
        if (!self) {
            return;
        }
        self->restoring_.erase(checkpoint);
        if (!reached || page.entries_.empty()) {
            return;
        }
        for (const JournalFoldResult &result : self->fold_->restore(page.entries_.front())) {
            self->handle(result);
        }
        std::string error;
        if (const std::optional<Record> record = parseRecord(page.entries_.front().body_, error)) {
            self->retryWaitingFor(record->root_);
        }
    });
}

void ProgramController::Private::restoreRequiredCheckpoints()
{
    for (const Offset offset : fold_->requiredCheckpoints()) {
        restoreCheckpoint(offset);
    }
}

void ProgramController::Private::waitForOwner(const ProgramId &program,
                                              Time deadline,
                                              bool unknownProgram,
                                              std::function<void()> retry,
                                              std::function<void(const Failure &)> fail)
{
    waitingRequests_.push_back({program, deadline, unknownProgram, std::move(retry), std::move(fail)});
    if (unknownProgram) {
        probeJournalEnd(program);
    }
}

void ProgramController::Private::probeJournalEnd(const ProgramId &program)
{
    // The tail may lag behind, after a pause by more than one long poll. Only a read that starts now can prove that the
    // program doesn't exist.
    const std::weak_ptr<Private> weak = weak_from_this();
    hooks_.log_.read_("journal", fold_->offset() + 1, Duration(0), [weak, program](bool reached, const LogPage &page) {
        const std::shared_ptr<Private> self = weak.lock();
        if (self && reached) {
            self->onJournalProbe(program, page);
        }
    });
}

bool ProgramController::Private::isVerifyingOwnership()
{
    // Other nodes may have claimed this node's programs while it was paused.
    if (!verifyingOwnership_ && lastTick_.count() != 0 && lastTick_ + settings_.lease_ < now()) {
        logEvent("pause_noticed", {{"seconds", toSeconds(now() - lastTick_)}});
        verifyingOwnership_ = true;
        verifyOwnership();
    }
    return verifyingOwnership_;
}

void ProgramController::Private::verifyOwnership()
{
    verifyRetryDue_ = false;
    const std::weak_ptr<Private> weak = weak_from_this();
    hooks_.log_.read_("journal", fold_->offset() + 1, Duration(0), [weak](bool reached, const LogPage &page) {
        if (const std::shared_ptr<Private> self = weak.lock()) {
            self->onOwnershipRead(reached, page);
        }
    });
}

void ProgramController::Private::onOwnershipRead(bool reached, const LogPage &page)
{
    if (!reached) {
        verifyRetryDue_ = true;
        return;
    }
    applyPage(page);
    if (!page.entries_.empty()) {
        verifyOwnership();
        return;
    }
    verifyingOwnership_ = false;
    std::vector<std::pair<ProgramId, ProgramId>> chains;
    for (const std::pair<const ProgramId, std::shared_ptr<OwnedTree>> &entry : ownedTrees_) {
        for (const std::pair<const ProgramId, ChainCalls> &chain : entry.second->chains_) {
            chains.push_back({entry.first, chain.first});
        }
    }
    std::sort(chains.begin(), chains.end());
    for (const std::pair<ProgramId, ProgramId> &chain : chains) {
        startNextCall(chain.first, chain.second);
    }
}

void ProgramController::Private::applyPage(const LogPage &page)
{
    for (const LogEntry &entry : page.entries_) {
        if (entry.offset_ == fold_->offset() + 1) {
            handle(fold_->apply(entry));
        }
    }
}

void ProgramController::Private::onJournalProbe(const ProgramId &program, const LogPage &page)
{
    applyPage(page);
    if (fold_->treeOf(program) != nullptr || fold_->idle(program) != nullptr) {
        retryWaitingFor(rootOf(program));
        return;
    }
    if (!page.entries_.empty()) {
        probeJournalEnd(program);
        return;
    }
    std::vector<WaitingRequest> unknown;
    for (std::size_t i = 0; i < waitingRequests_.size();) {
        if (waitingRequests_[i].program_ == program && waitingRequests_[i].unknownProgram_) {
            unknown.push_back(std::move(waitingRequests_[i]));
            waitingRequests_.erase(waitingRequests_.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
    for (const WaitingRequest &entry : unknown) {
        entry.fail_(makeFailure(FailureType::NotFound, true, "no such program"));
    }
}

void ProgramController::Private::retryWaitingFor(const ProgramId &root)
{
    std::vector<WaitingRequest> waiting;
    for (std::size_t i = 0; i < waitingRequests_.size();) {
        if (waitingRequests_[i].program_ == root || rootOf(waitingRequests_[i].program_) == root) {
            waiting.push_back(std::move(waitingRequests_[i]));
            waitingRequests_.erase(waitingRequests_.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
    for (const WaitingRequest &entry : waiting) {
        entry.retry_();
    }
}

void ProgramController::Private::retryWaiting()
{
    std::vector<WaitingRequest> waiting;
    std::vector<WaitingRequest> rest;
    for (WaitingRequest &entry : waitingRequests_) {
        (entry.unknownProgram_ ? rest : waiting).push_back(std::move(entry));
    }
    waitingRequests_ = std::move(rest);
    for (const WaitingRequest &entry : waiting) {
        entry.retry_();
    }
}

void ProgramController::Private::expireWaiting()
{
    std::vector<WaitingRequest> late;
    for (std::size_t i = 0; i < waitingRequests_.size();) {
        if (waitingRequests_[i].expiresAt_ <= now()) {
            late.push_back(std::move(waitingRequests_[i]));
            waitingRequests_.erase(waitingRequests_.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
    for (const WaitingRequest &entry : late) {
        if (!isStoreUp() || !ready_) {
            entry.fail_(makeFailure(FailureType::StoreUnavailable, false, "the log can't be reached", storeRetryDelay));
        } else {
            entry.fail_(
                makeFailure(FailureType::OwnerUnavailable, false, "the takeover takes too long", shortRetryDelay));
        }
    }
}

} // namespace filbertgw
