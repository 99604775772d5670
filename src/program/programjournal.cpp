#include "program/programcontrollerprivate.h"

namespace filbertgw {

using internal::FoldedHook;
using internal::OwnedTree;
using internal::PendingRecord;
using nlohmann::json;

namespace {

constexpr Duration tailRetry = std::chrono::milliseconds(200);

} // namespace

void ProgramController::Private::readTail()
{
    if (tailReadPending_) {
        return;
    }
    tailReadPending_ = true;
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
    tailReadPending_ = false;
    if (reached != tailReachable_) {
        logEvent(reached ? "journal_reached" : "journal_unreachable", json::object());
    }
    tailReachable_ = reached;
    if (!reached) {
        nextTailRead_ = now() + tailRetry;
        return;
    }
    if (page.firstOffset_ > from && fold_->offset() != 0) {
        resetFold(page.firstOffset_);
    }
    for (const LogEntry &entry : page.entries_) {
        handle(fold_->apply(entry));
    }
    restoreRequiredCheckpoints();
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
    // Entries expired before this node read them. The checkpoints after the gap contain every live program.
    logEvent("journal_gap", {{"offset", fold_->offset()}, {"first_offset", firstOffset}});
    std::vector<ProgramId> roots;
    for (const std::pair<const ProgramId, std::shared_ptr<OwnedTree>> &entry : ownedTrees_) {
        roots.push_back(entry.first);
    }
    for (const ProgramId &root : roots) {
        dropTree(root);
    }
    fold_ = std::make_unique<JournalFold>(foldSettings_);
    pendingClaims_.clear();
    restoring_.clear();
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
        const std::unordered_map<ProgramId, std::shared_ptr<OwnedTree>>::const_iterator ownedHere =
            ownedTrees_.find(result.root_);
        if (record.type_ == RecordType::Claim && ownedHere != ownedTrees_.end()) {
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
        completePendingRecord(result);
    }
    const bool mayUnblockRequests = record.type_ == RecordType::Claim || record.type_ == RecordType::Create
        || record.type_ == RecordType::Release || record.type_ == RecordType::End;
    if (result.verdict_ == JournalVerdict::Accepted && mayUnblockRequests) {
        retryWaitingFor(result.root_);
    }
}

void ProgramController::Private::completePendingRecord(const JournalFoldResult &result)
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

Record ProgramController::Private::makeRecord(RecordType type,
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
    if (const std::shared_ptr<OwnedTree> owned = ownedTree(root)) {
        record.fencing_ = owned->fencing_;
    }
    return record;
}

} // namespace filbertgw
