#include "program/programcontroller.h"

#include "core/digest.h"
#include "journal/journalfold.h"
#include "journal/journalwriter.h"
#include "journal/programid.h"
#include "membership/membershipsection.h"
#include "program/treework.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace filbertgw {

using internal::Call;
using internal::CallPhase;
using internal::ChainWork;
using internal::TreeWork;
using nlohmann::json;

namespace {

constexpr Duration tailRetry = std::chrono::milliseconds(200);
constexpr Duration scanPeriod = std::chrono::seconds(1);
constexpr Duration idleScanPeriod = std::chrono::seconds(10);
constexpr Duration retrySoon = std::chrono::milliseconds(100);
constexpr Duration retryStore = std::chrono::seconds(2);
constexpr int slotTries = 1024; // Finds a preferred slot among 390 nodes in 93 of 100 cases, among 12 always.
constexpr std::int64_t promptOverheadTokens = 16; // Tokens that a chat template adds.

using FoldedHook = std::function<void(const JournalFoldResult &)>;

struct PendingRecord
{
    Time since_{0};
    FoldedHook folded_;
};

/** \brief A request that waits for a takeover, a read-back or the store. */
struct Parked
{
    ProgramId program_;
    Time giveUpAt_{0};
    bool unknownProgram_ = false; ///< Waits until the journal is proven to hold no such program.
    std::function<void()> retry_;
    std::function<void(const Failure &)> fail_;
};

Failure makeFailure(FailureType type, bool notRun, const char *detail, Duration retryAfter = Duration(0))
{
    Failure failure;
    failure.type_ = type;
    failure.notRun_ = notRun;
    failure.detail_ = detail;
    failure.retryAfter_ = retryAfter;
    return failure;
}

std::string requestHashOf(const CallRequest &request)
{
    const std::string head = std::string(nameOf(request.kind_)) + '\n' + request.target_ + '\n';
    return sha256(head + request.input_).substr(0, 32);
}

std::int64_t byteCount(const std::string &text)
{
    return static_cast<std::int64_t>(text.size());
}

/** \brief Most tokens that a program's prompt can have: measured by the engine, and one a byte for what is newer. */
std::int64_t promptTokensAtMost(const ChainState &chain)
{
    std::int64_t tokens = promptOverheadTokens;
    for (std::vector<TurnBody>::const_reverse_iterator turn = chain.turns_.rbegin(); turn != chain.turns_.rend();
         ++turn) {
        if (turn->kind_ == CallKind::Model && turn->usage_.tokens_ > 0) {
            return tokens + turn->usage_.tokens_;
        }
        tokens += byteCount(turn->input_) + byteCount(turn->answer_) + 2;
    }
    return tokens;
}

} // namespace

struct ProgramController::Private : std::enable_shared_from_this<ProgramController::Private>
{
    NodeId self_;
    const Blackboard *blackboard_ = nullptr;
    ProgramHooks hooks_;
    ProgramSettings settings_;
    ProgramSafeguards safeguards_;
    FoldSettings foldSettings_;
    std::unique_ptr<JournalFold> fold_;
    std::unique_ptr<JournalWriter> writer_;
    std::string writerName_;
    std::uint64_t lastRecord_ = 0;
    std::map<std::uint64_t, PendingRecord> pending_; ///< Records that are not yet folded, by number.
    std::unordered_map<ProgramId, std::shared_ptr<TreeWork>> work_; ///< Trees that this node owns, by root.
    std::set<ProgramId> claiming_;
    std::set<Offset> waking_; ///< Checkpoints that are being read back.
    std::vector<Parked> parked_;
    std::map<std::pair<AccountId, RequestId>, std::vector<CreateDone>> creating_;
    bool ready_ = false;
    bool tailUp_ = true;
    bool reading_ = false;
    Time readAt_{0};
    Time scanAt_{0};
    Time idleScanAt_{0};
    Time massLossAt_{0};
    Time lastTick_{0};
    bool confirming_ = false; ///< After a pause, until the journal has been read to its end.
    bool confirmDue_ = false; ///< The log couldn't be reached for that.
    bool massLoss_ = false;
    bool draining_ = false;
    Time drainStart_{0};

    Time now() const
    {
        return hooks_.now_();
    }
    void logEvent(const std::string &event, const json &fields) const
    {
        if (hooks_.logEvent_) {
            hooks_.logEvent_(event, fields);
        }
    }

    void readTail();
    void onTail(Offset from, bool reached, const LogPage &page);
    void resetFold(Offset firstOffset);
    void handle(const JournalFoldResult &result);
    void notifyWriterOf(const JournalFoldResult &result);
    std::uint64_t write(Record record, FoldedHook folded);
    Record recordFor(RecordType type, const ProgramId &program, const ProgramId &root, RecordBody body) const;

    std::shared_ptr<TreeWork> mine(const ProgramId &root) const;
    std::shared_ptr<TreeWork> mineAt(const ProgramId &root, Offset fencing) const;
    ProgramId rootOf(const ProgramId &program) const;
    bool isStoreUp() const;
    bool isGone(const NodeId &owner) const;
    NodeId preferredFor(const ProgramId &program) const;
    OwnerView viewOf(const ProgramId &root, const NodeId &owner) const;

    void own(const ProgramId &root, Offset fencing, bool takenOver);
    void ensureClaim(const ProgramId &root);
    void dropTree(const ProgramId &root);
    void claimOrphans();
    void scanIdle();
    void wake(Offset checkpoint);
    void wakeWanted();
    void park(const ProgramId &program,
              Time deadline,
              bool unknownProgram,
              std::function<void()> retry,
              std::function<void(const Failure &)> fail);
    bool isConfirming();
    void confirm();
    void onConfirm(bool reached, const LogPage &page);
    void applyProbe(const LogPage &page);
    void probeEnd(const ProgramId &program);
    void onProbe(const ProgramId &program, const LogPage &page);
    void resume(const ProgramId &root);
    void expireParked();
    void retryParked();

    void create(const CreateRequest &request, CreateDone done);
    void writeCreate(const CreateRequest &request);
    void finishCreate(const std::pair<AccountId, RequestId> &key, const Result<ProgramId> &result);
    void route(CallRequest request, Time parkUntil, AnswerDone done);
    bool reach(const ProgramId &program,
               Time parkUntil,
               const std::function<void()> &retry,
               const std::function<void(const Failure &)> &fail);
    void accept(const CallRequest &request, const ProgramId &root, const AnswerDone &done);
    void enqueue(const CallRequest &request, const ProgramId &root, const AnswerDone &done);
    void end(const ProgramId &program, const AccountId &account, Time parkUntil, const AnswerDone &done);
    void writeEnd(const ProgramId &root, const ProgramId &program, FailureType reason, std::function<void()> done);

    void pump(const ProgramId &root, const ProgramId &program);
    bool refuseFront(const ProgramId &root, const TreeState &tree, const ChainState &chain, Call &call, Failure &why);
    void prepareCall(const ChainState &chain, Call &call) const;
    void startCall(const ProgramId &root, const std::shared_ptr<Call> &call);
    void reserveFor(const ProgramId &root, const std::shared_ptr<Call> &call);
    void announce(const ProgramId &root, const std::shared_ptr<Call> &call);
    void abandon(const ProgramId &root, const std::shared_ptr<Call> &call, const Failure &why, const Spend &cost);
    void refuse(const ProgramId &root, const std::shared_ptr<Call> &call, const Failure &why);
    void dispatch(const ProgramId &root, const std::shared_ptr<Call> &call);
    void dropUnsent(const ProgramId &root, const std::shared_ptr<Call> &call);
    void recordTurn(const ProgramId &root,
                    const std::shared_ptr<Call> &call,
                    TurnStatus status,
                    const DispatchOutcome &outcome,
                    const Failure &failure);
    void failIdempotent(const ProgramId &root, const std::shared_ptr<Call> &call, const DispatchOutcome &outcome);
    void countCrashes(const Call &call, const DispatchOutcome &outcome);
    void onOutcome(const DispatchOutcome &outcome);
    void finishCurrent(const ProgramId &root, const ProgramId &program);
    BudgetEntry
    prepareBudget(const ProgramId &root, const ProgramId &program, const Spend &usage, const Spend &worst) const;
    Spend aheadFor(const ChainState &chain, const Spend &largest) const;
    bool isCertainlyNotRun(const TreeWork &work, const Call &call) const;
    void answer(Call &call, const CallAnswer &answer) const;
    void answerFailure(Call &call, const Failure &failure) const;
    Time deadlineOf(const ProgramId &root, const CallRequest &request) const;

    void tick();
    void tickTree(const ProgramId &root);
    void giveUpLate(const ProgramId &root);
    void giveUp(const ProgramId &root, const std::shared_ptr<Call> &call);
    void checkpoint(const ProgramId &root, bool idle);
    void settle(const ProgramId &root);
    void maybeRelease(const ProgramId &root);
};

// Reading the journal

void ProgramController::Private::readTail()
{
    if (reading_) {
        return;
    }
    reading_ = true;
    const Offset from = fold_->offset() + 1;
    const std::weak_ptr<Private> weak = weak_from_this();
    hooks_.log_.read_(
        "journal", from, ready_ ? settings_.longPoll_ : Duration(0), [weak, from](bool reached, const LogPage &page) {
            if (const std::shared_ptr<Private> self = weak.lock()) {
                self->onTail(from, reached, page);
            }
        });
}

void ProgramController::Private::onTail(Offset from, bool reached, const LogPage &page)
{
    reading_ = false;
    if (reached != tailUp_) {
        logEvent(reached ? "journal_reached" : "journal_unreachable", json::object());
    }
    tailUp_ = reached;
    if (!reached) {
        readAt_ = now() + tailRetry;
        return;
    }
    if (page.firstOffset_ > from && fold_->offset() != 0) {
        resetFold(page.firstOffset_);
    }
    for (const LogEntry &entry : page.entries_) {
        handle(fold_->apply(entry));
    }
    wakeWanted();
    writer_->onReadUpTo(fold_->offset());
    const bool isEnd = page.entries_.empty();
    if (isEnd && !ready_) {
        ready_ = true;
        logEvent("journal_ready", {{"offset", fold_->offset()}});
        claimOrphans();
    }
    readTail();
}

void ProgramController::Private::resetFold(Offset firstOffset)
{
    // Entries expired before they were read here; the checkpoints behind the gap hold every live program.
    logEvent("journal_gap", {{"offset", fold_->offset()}, {"first_offset", firstOffset}});
    std::vector<ProgramId> roots;
    for (const std::pair<const ProgramId, std::shared_ptr<TreeWork>> &entry : work_) {
        roots.push_back(entry.first);
    }
    for (const ProgramId &root : roots) {
        dropTree(root);
    }
    fold_ = std::make_unique<JournalFold>(foldSettings_);
    claiming_.clear();
    waking_.clear();
    ready_ = false;
}

void ProgramController::Private::handle(const JournalFoldResult &result)
{
    const Record &record = result.record_;
    if (result.verdict_ == JournalVerdict::Retained || result.verdict_ == JournalVerdict::Malformed) {
        logEvent("record_not_applied",
                 {{"verdict", nameOf(result.verdict_)}, {"id", record.id_.value()}, {"error", result.error_}});
    }
    const bool isOwn = record.id_.value().compare(0, writerName_.size() + 1, writerName_ + '#') == 0;
    if (result.verdict_ == JournalVerdict::Accepted) {
        const std::unordered_map<ProgramId, std::shared_ptr<TreeWork>>::const_iterator held = work_.find(result.root_);
        if (record.type_ == RecordType::Claim && held != work_.end()) {
            dropTree(result.root_);
        }
        if (record.type_ == RecordType::Release && !isOwn) {
            ensureClaim(result.root_);
        }
        if (record.type_ == RecordType::End && hooks_.programEnded_) {
            const TreeState *tree = fold_->tree(result.root_);
            for (const std::pair<const ProgramId, ChainState> &entry : tree->chains_) {
                if (entry.second.endReason_) {
                    hooks_.programEnded_(entry.first);
                }
            }
        }
    }
    if (isOwn) {
        notifyWriterOf(result);
    }
    const bool isNews = record.type_ == RecordType::Claim || record.type_ == RecordType::Create
        || record.type_ == RecordType::Release || record.type_ == RecordType::End;
    if (result.verdict_ == JournalVerdict::Accepted && isNews) {
        resume(result.root_);
    }
}

void ProgramController::Private::notifyWriterOf(const JournalFoldResult &result)
{
    if (result.verdict_ == JournalVerdict::Duplicate || result.verdict_ == JournalVerdict::Deferred) {
        return;
    }
    const std::uint64_t number = std::stoull(result.record_.id_.value().substr(writerName_.size() + 1));
    const std::map<std::uint64_t, PendingRecord>::iterator found = pending_.find(number);
    if (found == pending_.end()) {
        return;
    }
    const FoldedHook folded = std::move(found->second.folded_);
    pending_.erase(found);
    if (folded) {
        folded(result);
    }
}

std::uint64_t ProgramController::Private::write(Record record, FoldedHook folded)
{
    const std::uint64_t number = ++lastRecord_;
    record.id_ = RecordId(writerName_ + '#' + std::to_string(number));
    pending_[number] = {now(), std::move(folded)};
    writer_->append(record, {});
    return number;
}

Record ProgramController::Private::recordFor(RecordType type,
                                             const ProgramId &program,
                                             const ProgramId &root,
                                             RecordBody body) const
{
    Record record;
    record.type_ = type;
    record.program_ = program;
    record.root_ = root;
    record.node_ = self_;
    record.body_ = std::move(body);
    if (const std::shared_ptr<TreeWork> work = mine(root)) {
        record.fencing_ = work->fencing_;
    }
    return record;
}

// Ownership

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

// Creating and ending programs

void ProgramController::Private::create(const CreateRequest &request, CreateDone done)
{
    const std::pair<AccountId, RequestId> key(request.account_, request.requestId_);
    const ProgramId known = fold_->createdBy(request.account_, request.requestId_);
    if (!known.isEmpty() && safeguards_.dedup_) {
        done(Result<ProgramId>(known));
        return;
    }
    const std::map<std::pair<AccountId, RequestId>, std::vector<CreateDone>>::iterator running = creating_.find(key);
    if (running != creating_.end()) {
        running->second.push_back(std::move(done));
        return;
    }
    if (draining_) {
        done(failedResult<ProgramId>(makeFailure(FailureType::OwnerUnavailable, true, "this node is leaving")));
        return;
    }
    if (!ready_ || !isStoreUp() || !writer_->hasRoom(settings_.maxRequestBytes_)) {
        done(failedResult<ProgramId>(
            makeFailure(FailureType::StoreUnavailable, true, "programs can't be recorded now", retryStore)));
        return;
    }
    creating_[key].push_back(std::move(done));
    writeCreate(request);
}

void ProgramController::Private::writeCreate(const CreateRequest &request)
{
    const std::pair<AccountId, RequestId> key(request.account_, request.requestId_);
    const bool isRoot = request.parent_.isEmpty();
    const ProgramId root = isRoot ? ProgramId() : rootOf(request.parent_);
    const std::shared_ptr<TreeWork> parentWork = isRoot ? nullptr : mine(root);
    if (!isRoot && (!parentWork || parentWork->releasing_ || parentWork->idling_)) {
        finishCreate(key,
                     failedResult<ProgramId>(
                         makeFailure(FailureType::OwnerUnavailable, true, "the parent has another owner", retrySoon)));
        return;
    }
    ProgramId program;
    for (int i = 0; i < slotTries && program.isEmpty(); ++i) {
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
                         FailureType::OwnerUnavailable, true, "this node is preferred for no slot", retrySoon)));
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
        body.reserved_ = minimum(settings_.ahead_, request.budget_);
    } else {
        const BudgetEntry entry = prepareBudget(root, root, Spend(), Spend());
        body.reserved_ = entry.reserved_;
        body.spent_ = entry.spent_;
    }
    Record record = recordFor(RecordType::Create, program, isRoot ? program : root, body);
    write(std::move(record), [this, key, program, root, isRoot](const JournalFoldResult &result) {
        if (!isRoot && mine(root)) {
            mine(root)->book_.onFolded();
        }
        if (result.verdict_ == JournalVerdict::Accepted) {
            if (isRoot) {
                own(program, result.offset_, false);
            }
            finishCreate(key, Result<ProgramId>(program));
        } else if (!result.existing_.isEmpty()) {
            finishCreate(key, Result<ProgramId>(result.existing_));
        } else {
            finishCreate(key,
                         failedResult<ProgramId>(makeFailure(
                             FailureType::OwnerUnavailable, true, "another node took over the parent", retrySoon)));
        }
    });
}

void ProgramController::Private::finishCreate(const std::pair<AccountId, RequestId> &key,
                                              const Result<ProgramId> &result)
{
    const std::map<std::pair<AccountId, RequestId>, std::vector<CreateDone>>::iterator found = creating_.find(key);
    if (found == creating_.end()) {
        return;
    }
    const std::vector<CreateDone> waiting = std::move(found->second);
    creating_.erase(found);
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
                                     Time parkUntil,
                                     const AnswerDone &done)
{
    const std::function<void(const Failure &)> fail = [program, done](const Failure &failure) {
        CallAnswer answer;
        answer.program_ = program;
        answer.failure_ = failure;
        done(answer);
    };
    const std::function<void()> retry = [this, program, account, parkUntil, done]() {
        end(program, account, parkUntil, done);
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
    if (!reach(program, parkUntil, retry, fail)) {
        return;
    }
    writeEnd(fold_->treeOf(program)->root_, program, FailureType::ProgramEnded, [this, program, done, fail]() {
        const ChainState *chain = fold_->chain(program);
        if (chain != nullptr && !chain->endReason_) {
            fail(makeFailure(FailureType::OwnerUnavailable, false, "another node took over", retrySoon));
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
    const std::shared_ptr<TreeWork> work = mine(root);
    work->ending_[program] = true;
    Record record = recordFor(RecordType::End, program, root, EndBody{reason});
    write(std::move(record), [this, root, program, work, done = std::move(done)](const JournalFoldResult &result) {
        work->ending_.erase(program);
        const TreeState *tree = fold_->tree(root);
        if (result.verdict_ == JournalVerdict::Accepted && mine(root) == work && tree != nullptr) {
            std::vector<ProgramId> ended;
            for (const std::pair<const ProgramId, ChainState> &entry : tree->chains_) {
                if (entry.second.endReason_) {
                    ended.push_back(entry.first);
                }
            }
            for (const ProgramId &id : ended) {
                ChainWork &chain = work->chains_[id];
                std::deque<std::shared_ptr<Call>> calls = std::move(chain.queue_);
                chain.queue_.clear();
                if (chain.current_) {
                    const CallPhase phase = chain.current_->phase_;
                    const bool isRunning = phase == CallPhase::Running;
                    if (isRunning) {
                        work->book_.burn(chain.current_->worst_, chain.current_->worst_);
                    } else if (phase != CallPhase::Recording) {
                        work->book_.cancel(chain.current_->worst_);
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
                work_.erase(root);
            }
        }
        if (done) {
            done();
        }
    });
}

// Submitting calls

bool ProgramController::Private::reach(const ProgramId &program,
                                       Time parkUntil,
                                       const std::function<void()> &retry,
                                       const std::function<void(const Failure &)> &fail)
{
    const TreeState *tree = fold_->treeOf(program);
    if (tree == nullptr) {
        const IdleProgram *idle = fold_->idle(program);
        if (idle != nullptr) {
            wake(idle->checkpoint_);
        }
        park(program, parkUntil, idle == nullptr && ready_, retry, fail);
        return false;
    }
    if (const std::shared_ptr<TreeWork> work = mine(tree->root_)) {
        if (!work->releasing_ && !work->idling_) {
            return true;
        }
        park(program, parkUntil, false, retry, fail);
        return false;
    }
    const OwnerView view = viewOf(tree->root_, tree->owner_);
    if (view.ownership_ == Ownership::Other || draining_) {
        fail(makeFailure(FailureType::OwnerUnavailable, false, "another node owns the program", retrySoon));
        return false;
    }
    ensureClaim(tree->root_);
    park(program, parkUntil, false, retry, fail);
    return false;
}

void ProgramController::Private::route(CallRequest request, Time parkUntil, AnswerDone done)
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
    const std::function<void()> retry = [this, request, parkUntil, done]() { route(request, parkUntil, done); };
    if (reach(request.program_, parkUntil, retry, fail)) {
        accept(request, rootOf(request.program_), done);
    }
}

void ProgramController::Private::accept(const CallRequest &request, const ProgramId &root, const AnswerDone &done)
{
    ChainWork &chain = mine(root)->chains_[request.program_];
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
            answer.failure_ =
                makeFailure(FailureType::NotRun, !request.idempotent_, "an earlier attempt is withdrawn", retrySoon);
            done(answer);
        } else {
            // The caller's new deadline counts from now on.
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
    const std::shared_ptr<TreeWork> work = mine(root);
    ChainWork &chain = work->chains_[request.program_];
    const std::shared_ptr<Call> call = std::make_shared<Call>();
    call->request_ = request;
    call->requestHash_ = requestHashOf(request);
    call->waiters_.push_back(done);
    const bool notRun = isCertainlyNotRun(*work, *call);
    if (chain.queue_.size() >= settings_.maxQueuedCalls_ || request.input_.size() > settings_.maxRequestBytes_) {
        const FailureType type =
            request.input_.size() > settings_.maxRequestBytes_ ? FailureType::TooLarge : FailureType::Overloaded;
        answerFailure(*call, makeFailure(type, notRun, "limit of queued calls or of input size", retrySoon));
        return;
    }
    const std::size_t room = request.input_.size() + settings_.maxRequestBytes_;
    if (!writer_->hasRoom(room) || (!request.idempotent_ && !isStoreUp())) {
        answerFailure(*call,
                      makeFailure(FailureType::StoreUnavailable, notRun, "calls can't be recorded now", retryStore));
        return;
    }
    chain.queue_.push_back(call);
    pump(root, request.program_);
}

bool ProgramController::Private::isCertainlyNotRun(const TreeWork &work, const Call &call) const
{
    if (!call.request_.idempotent_) {
        return true; // An earlier run would have left an intent.
    }
    const std::map<ProgramId, ChainWork>::const_iterator chain = work.chains_.find(call.request_.program_);
    const bool isTried = chain != work.chains_.end() && chain->second.attempts_.count(call.request_.requestId_) != 0;
    return !work.takenOver_ && !isTried;
}

// Running calls

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

// What is due by time

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

// Interface

ProgramController::ProgramController(std::shared_ptr<Private> d)
    : d_(std::move(d))
{
}

ProgramController::~ProgramController() = default;

void ProgramController::start()
{
    d_->readTail();
}

void ProgramController::tick()
{
    d_->tick();
}

void ProgramController::onMembership()
{
    d_->claimOrphans();
}

void ProgramController::create(const CreateRequest &request, CreateDone done)
{
    d_->create(request, std::move(done));
}

void ProgramController::submit(const CallRequest &request, AnswerDone done)
{
    Time parkUntil = d_->now() + d_->settings_.parkLimit_;
    if (request.deadline_.count() != 0) {
        parkUntil = std::min(parkUntil, request.deadline_);
    }
    d_->route(request, parkUntil, std::move(done));
}

void ProgramController::end(const ProgramId &program, const AccountId &account, AnswerDone done)
{
    d_->end(program, account, d_->now() + d_->settings_.parkLimit_, done);
}

std::optional<CallAnswer> ProgramController::recordedAnswer(const ProgramId &program, const RequestId &request) const
{
    const ChainState *chain = d_->fold_->chain(program);
    const TurnBody *turn = chain == nullptr ? nullptr : findTurn(*chain, request);
    return turn == nullptr ? std::nullopt : std::optional<CallAnswer>(answerOf(program, *turn));
}

void ProgramController::onCallerGone(const ProgramId &program, const RequestId &request)
{
    const std::shared_ptr<TreeWork> work = d_->mine(d_->rootOf(program));
    if (!work) {
        return;
    }
    ChainWork &chain = work->chains_[program];
    if (chain.current_ && chain.current_->request_.requestId_ == request) {
        chain.current_->callerGone_ = true;
    }
    for (const std::shared_ptr<Call> &call : chain.queue_) {
        call->callerGone_ = call->callerGone_ || call->request_.requestId_ == request;
    }
}

void ProgramController::onOutcome(const DispatchOutcome &outcome)
{
    d_->onOutcome(outcome);
}

bool ProgramController::coverRetry(const ProgramId &program, const RequestId &request)
{
    const ProgramId root = d_->rootOf(program);
    const std::shared_ptr<TreeWork> work = d_->mine(root);
    const TreeState *tree = d_->fold_->tree(root);
    if (!work || tree == nullptr) {
        return false;
    }
    const std::shared_ptr<Call> call = work->chains_[program].current_;
    const bool isRunning = call && call->phase_ == CallPhase::Running && call->request_.requestId_ == request;
    if (!isRunning || !call->request_.idempotent_) {
        return false;
    }
    if (d_->safeguards_.budget_ && !work->book_.fitsReserved(call->worstOfRun_, tree->reserved_)) {
        return false;
    }
    work->book_.start(call->worstOfRun_);
    call->worst_ = call->worst_ + call->worstOfRun_;
    return true;
}

OwnerView ProgramController::ownerOf(const ProgramId &program) const
{
    if (const TreeState *tree = d_->fold_->treeOf(program)) {
        return d_->viewOf(tree->root_, tree->owner_);
    }
    if (const IdleProgram *idle = d_->fold_->idle(program)) {
        return d_->viewOf(program, d_->fold_->ownerOfIdle(*idle));
    }
    return d_->viewOf(program, NodeId());
}

AccountId ProgramController::accountOf(const ProgramId &program) const
{
    const TreeState *tree = d_->fold_->treeOf(program);
    return tree == nullptr ? AccountId() : tree->account_;
}

void ProgramController::drain()
{
    if (!d_->draining_) {
        d_->drainStart_ = d_->now();
    }
    d_->draining_ = true;
    d_->logEvent("drain_started", {{"programs", d_->work_.size()}});
    tick();
}

bool ProgramController::isDrained() const
{
    return d_->draining_ && d_->work_.empty() && d_->pending_.empty() && d_->parked_.empty() && d_->creating_.empty();
}

bool ProgramController::isReady() const
{
    return d_->ready_;
}

bool ProgramController::isStoreUp() const
{
    return d_->isStoreUp();
}

json ProgramController::explain(const ProgramId &program) const
{
    const TreeState *tree = d_->fold_->treeOf(program);
    if (tree == nullptr) {
        const IdleProgram *idle = d_->fold_->idle(program);
        return idle == nullptr ? json()
                               : json{{"program", program.value()},
                                      {"state", "idle"},
                                      {"owner", d_->fold_->ownerOfIdle(*idle).value()},
                                      {"checkpoint", idle->checkpoint_}};
    }
    const ChainState &chain = *tree->chain(program);
    json result = {{"program", program.value()},
                   {"root", tree->root_.value()},
                   {"account", tree->account_.value()},
                   {"owner", tree->owner_.value()},
                   {"fencing", tree->fencing_},
                   {"turns", chain.turns_.size()},
                   {"max_turns", chain.maxTurns_},
                   {"deadline_us", chain.deadline_.count()},
                   {"budget", spendToJson(tree->budget_)},
                   {"spent", spendToJson(tree->spent_)},
                   {"reserved", spendToJson(tree->reserved_)},
                   {"home_engine", chain.homeEngine_.value()},
                   {"checkpoint", tree->neededOffset_},
                   {"state", chain.endReason_ ? nameOf(*chain.endReason_) : "live"},
                   {"calls", json::array()}};
    if (chain.intent_) {
        result["intent"] = chain.intent_->requestId_.value();
    }
    if (const std::shared_ptr<TreeWork> work = d_->mine(tree->root_)) {
        const std::map<ProgramId, ChainWork>::const_iterator found = work->chains_.find(program);
        if (found != work->chains_.end()) {
            std::vector<std::shared_ptr<Call>> calls(found->second.queue_.begin(), found->second.queue_.end());
            if (found->second.current_) {
                calls.insert(calls.begin(), found->second.current_);
            }
            for (const std::shared_ptr<Call> &call : calls) {
                result["calls"].push_back({{"request_id", call->request_.requestId_.value()},
                                           {"phase", nameOf(call->phase_)},
                                           {"given_up", call->givenUp_},
                                           {"caller_gone", call->callerGone_}});
            }
        }
    }
    return result;
}

std::string ProgramController::history(const ProgramId &program) const
{
    const ChainState *chain = d_->fold_->chain(program);
    std::string text;
    if (chain == nullptr) {
        return text;
    }
    for (const TurnBody &turn : chain->turns_) {
        text += std::to_string(turn.sequence_) + ' ' + std::string(nameOf(turn.kind_)) + ' ' + turn.target_ + ' '
            + std::string(nameOf(turn.status_)) + ' ' + turn.requestId_.value() + '\n';
        text += turn.input_ + '\n' + turn.answer_ + '\n';
    }
    return text;
}

bool ProgramController::isLive(const ProgramId &program) const
{
    const ChainState *chain = d_->fold_->chain(program);
    return chain == nullptr ? d_->fold_->idle(program) != nullptr : !chain->endReason_.has_value();
}

Offset ProgramController::journalOffset() const
{
    return d_->fold_->offset();
}

json ProgramController::dump() const
{
    return {{"journal_offset", d_->fold_->offset()},
            {"ready", d_->ready_},
            {"store_up", d_->isStoreUp()},
            {"draining", d_->draining_},
            {"owned_trees", d_->work_.size()},
            {"known_trees", d_->fold_->trees().size()},
            {"idle_programs", d_->fold_->idlePrograms().size()},
            {"retained_records", d_->fold_->retained().size()},
            {"malformed_records", d_->fold_->malformedCount()},
            {"records_under_way", d_->pending_.size()},
            {"backlog_bytes", d_->writer_->backlogBytes()},
            {"appends", d_->writer_->appends()}};
}

ProgramController::Builder::Builder(NodeId self, const Blackboard &blackboard, ProgramHooks hooks)
    : self_(std::move(self))
    , blackboard_(blackboard)
    , hooks_(std::move(hooks))
{
}

ProgramController::Builder &ProgramController::Builder::setSettings(const ProgramSettings &settings)
{
    settings_ = settings;
    return *this;
}

ProgramController::Builder &ProgramController::Builder::setSafeguards(const ProgramSafeguards &safeguards)
{
    safeguards_ = safeguards;
    return *this;
}

std::unique_ptr<ProgramController> ProgramController::Builder::build()
{
    std::shared_ptr<Private> d = std::make_shared<Private>();
    d->self_ = self_;
    d->blackboard_ = &blackboard_;
    d->hooks_ = hooks_;
    d->settings_ = settings_;
    d->safeguards_ = safeguards_;
    d->foldSettings_.checkFencing_ = safeguards_.fencing_;
    d->foldSettings_.checkDuplicates_ = safeguards_.dedup_;
    d->fold_ = std::make_unique<JournalFold>(d->foldSettings_);
    JournalWriterSettings writer;
    writer.backlogBytes_ = settings_.backlogBytes_;
    writer.readBack_ = safeguards_.readBack_;
    d->writer_ = std::make_unique<JournalWriter>(writer, JournalWriterHooks{hooks_.now_, hooks_.log_});
    // A process that restarts under the same name must not reuse record ids.
    d->writerName_ = self_.value() + '.' + sha256(std::to_string(hooks_.random_())).substr(0, 12);
    return std::unique_ptr<ProgramController>(new ProgramController(std::move(d)));
}

} // namespace filbertgw
