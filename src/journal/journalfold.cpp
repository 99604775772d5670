#include "journal/journalfold.h"

#include "journal/treeupdates.h"

#include <algorithm>

namespace filbertgw {

namespace {

/** \brief Maximum number of entries with a newer schema that retained() returns. */
constexpr std::size_t maxRetained = 10'000;

JournalVerdict verdictOf(bool isAccepted)
{
    return isAccepted ? JournalVerdict::Accepted : JournalVerdict::Refused;
}

} // namespace

JournalFold::JournalFold(FoldSettings settings)
    : settings_(settings)
{
}

JournalFoldResult JournalFold::apply(const LogEntry &entry)
{
    JournalFoldResult result;
    if (entry.offset_ <= offset_) {
        result.verdict_ = JournalVerdict::Duplicate;
        return result;
    }
    if (start_ == 0) {
        start_ = entry.offset_;
    }
    offset_ = entry.offset_;
    time_ = std::max(time_, entry.time_);
    expire();
    std::optional<Record> record = parseRecord(entry.body_, result.error_);
    if (!record) {
        ++malformed_;
        return result;
    }
    if (record->schema_ > recordSchema) {
        retain(entry);
        result.verdict_ = JournalVerdict::Retained;
        result.record_ = std::move(*record);
        return result;
    }
    if (!recordIds_.insert(record->id_) && settings_.checkDuplicates_) {
        result.verdict_ = JournalVerdict::Duplicate;
        result.record_ = std::move(*record);
        return result;
    }
    return applyRecord({std::move(*record), entry.offset_, entry.time_});
}

void JournalFold::retain(const LogEntry &entry)
{
    retained_.push_back(entry);
    if (retained_.size() > maxRetained) {
        retained_.pop_front();
    }
}

void JournalFold::expire()
{
    while (!ended_.empty() && ended_.front().first + settings_.endedRetention_ < time_) {
        trees_.erase(ended_.front().second);
        ended_.pop_front();
    }
    if (suspects_.empty()) {
        return;
    }
    for (std::map<std::string, SuspectState>::iterator entry = suspects_.begin(); entry != suspects_.end();) {
        const bool old = entry->second.time_ + settings_.quarantineRetention_ < time_;
        entry = old ? suspects_.erase(entry) : std::next(entry);
    }
}

JournalFoldResult JournalFold::applyRecord(LoggedRecord logged)
{
    JournalFoldResult result;
    result.offset_ = logged.offset_;
    result.root_ = logged.record_.root_;
    result.verdict_ = dispatch(logged, result);
    result.record_ = std::move(logged.record_);
    return result;
}

JournalVerdict JournalFold::dispatch(const LoggedRecord &logged, JournalFoldResult &result)
{
    const Record &record = logged.record_;
    if (record.type_ == RecordType::Quarantine) {
        return applyQuarantine(std::get<QuarantineBody>(record.body_), logged.time_);
    }
    if (IdleProgram *idle = idle_.find(record.root_)) {
        return applyToIdle(*idle, logged, result);
    }
    if (record.type_ == RecordType::Create && record.root_ == record.program_) {
        return applyCreate(logged, result);
    }
    TreeState *tree = trees_.find(record.root_);
    return tree == nullptr ? applyToUnknown(logged) : applyToTree(*tree, logged, result);
}

JournalVerdict JournalFold::applyToTree(TreeState &tree, const LoggedRecord &logged, JournalFoldResult &result)
{
    const Record &record = logged.record_;
    if (record.type_ == RecordType::Claim) {
        const NodeId formerOwner = tree.owner_;
        if (!internal::changeOwner(tree, record.node_, std::get<ClaimBody>(record.body_), logged.offset_)) {
            return JournalVerdict::Refused;
        }
        result.formerOwner_ = formerOwner;
        return JournalVerdict::Accepted;
    }
    const bool isOwner = record.fencing_ == tree.fencing_ && !tree.owner_.isEmpty();
    if (isOwner || !settings_.checkFencing_) {
        return applyOwned(tree, logged);
    }
    if (record.fencing_ <= tree.fencing_ || !isBeforeStart(record.fencing_)) {
        return JournalVerdict::Fenced;
    }
    // The tree was restored from a former owner's checkpoint, and the claim that superseded it has expired from the
    // log.
    return applyToUnknown(logged);
}

bool JournalFold::isBeforeStart(Offset fencing) const
{
    return fencing != 0 && fencing < start_;
}

JournalVerdict JournalFold::applyToUnknown(const LoggedRecord &logged)
{
    return logged.record_.type_ == RecordType::Checkpoint ? insertUnknown(logged) : storeOrphan(logged);
}

JournalVerdict JournalFold::storeOrphan(const LoggedRecord &logged)
{
    const Record &record = logged.record_;
    const bool isClaim = record.type_ == RecordType::Claim;
    const Offset basis = isClaim ? std::get<ClaimBody>(record.body_).supersedes_ : record.fencing_;
    // An unknown program that was created after the first entry has ended and was erased by expire().
    if (orphans_.count(record.root_) != 0 || isBeforeStart(basis)) {
        orphans_[record.root_].push_back(logged);
    }
    return JournalVerdict::UnknownProgram;
}

Offset JournalFold::newestOrphanClaim(const ProgramId &root) const
{
    const std::map<ProgramId, std::vector<LoggedRecord>>::const_iterator found = orphans_.find(root);
    Offset newest = 0;
    if (found != orphans_.end()) {
        for (const LoggedRecord &orphan : found->second) {
            newest = orphan.record_.type_ == RecordType::Claim ? orphan.offset_ : newest;
        }
    }
    return newest;
}

JournalVerdict JournalFold::insertUnknown(const LoggedRecord &logged)
{
    const Record &record = logged.record_;
    const Offset newestClaim = newestOrphanClaim(record.root_);
    if (newestClaim > record.fencing_) {
        return JournalVerdict::Fenced; // A former owner wrote this checkpoint; the current owner writes its own.
    }
    if (!isBeforeStart(record.fencing_) && newestClaim != record.fencing_) {
        return JournalVerdict::UnknownProgram;
    }
    std::optional<TreeState> state = treeFromJson(std::get<CheckpointBody>(record.body_).state_);
    if (!state || state->root_ != record.root_ || state->fencing_ != record.fencing_) {
        return JournalVerdict::Refused;
    }
    insertFromCheckpoint(std::move(*state), logged);
    return JournalVerdict::Accepted;
}

void JournalFold::insertFromCheckpoint(TreeState state, const LoggedRecord &checkpoint)
{
    const ProgramId root = state.root_;
    const CheckpointBody &body = std::get<CheckpointBody>(checkpoint.record_.body_);
    std::vector<LoggedRecord> waiting;
    const std::map<ProgramId, std::vector<LoggedRecord>>::iterator found = orphans_.find(root);
    if (found != orphans_.end()) {
        waiting = std::move(found->second);
        orphans_.erase(found);
    }
    state.replayFromTime_ = checkpoint.time_;
    state.replayFromOffset_ = checkpoint.offset_;
    if (state.isEnded()) {
        ended_.push_back({checkpoint.time_, root});
    }
    trees_.insert(std::move(state));
    for (const LoggedRecord &orphan : waiting) {
        if (orphan.offset_ > body.coveredOffset_) {
            JournalFoldResult ignored;
            dispatch(orphan, ignored);
        }
    }
    if (body.idle_) {
        moveToIdle(root, checkpoint);
    }
}

JournalVerdict JournalFold::applyCreate(const LoggedRecord &logged, JournalFoldResult &result)
{
    const CreateBody &body = std::get<CreateBody>(logged.record_.body_);
    result.existingProgram_ = trees_.createdBy(body.account_, body.requestId_);
    if (!result.existingProgram_.isEmpty() || trees_.find(logged.record_.program_) != nullptr) {
        return JournalVerdict::Refused;
    }
    trees_.insert(internal::makeTree(logged.record_, body, logged.offset_, logged.time_));
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyOwned(TreeState &tree, const LoggedRecord &logged)
{
    const Record &record = logged.record_;
    if (record.type_ == RecordType::Checkpoint) {
        return applyCheckpoint(tree, logged);
    }
    if (tree.isEnded()) {
        return JournalVerdict::Refused;
    }
    bool isAccepted = false;
    switch (record.type_) {
    case RecordType::Create:
        isAccepted = applySubAgent(tree, record);
        break;
    case RecordType::Reserve:
        internal::reserve(tree, std::get<ReserveBody>(record.body_));
        isAccepted = true;
        break;
    case RecordType::Release:
        internal::release(tree, std::get<ReleaseBody>(record.body_));
        isAccepted = true;
        break;
    default: {
        const std::map<ProgramId, ChainState>::iterator found = tree.chains_.find(record.program_);
        const bool isLive = found != tree.chains_.end() && !found->second.endReason_;
        isAccepted = isLive && applyToChain(tree, found->second, logged);
        break;
    }
    }
    if (isAccepted) {
        tree.lastOffset_ = logged.offset_;
        tree.lastTime_ = logged.time_;
    }
    return verdictOf(isAccepted);
}

bool JournalFold::applyToChain(TreeState &tree, ChainState &chain, const LoggedRecord &logged)
{
    const Record &record = logged.record_;
    switch (record.type_) {
    case RecordType::Intent:
        return internal::openIntent(tree, chain, std::get<IntentBody>(record.body_), settings_.checkDuplicates_);
    case RecordType::Turn:
    case RecordType::Outcome:
        return applyTurn(tree, chain, record);
    case RecordType::End:
        applyEnd(tree, logged);
        return true;
    default:
        return false;
    }
}

bool JournalFold::applySubAgent(TreeState &tree, const Record &record)
{
    const CreateBody &body = std::get<CreateBody>(record.body_);
    if (!internal::addSubAgent(tree, record.program_, body)) {
        return false;
    }
    trees_.insertSubAgent(tree, record.program_, body);
    return true;
}

bool JournalFold::applyTurn(TreeState &tree, ChainState &chain, const Record &record)
{
    const TurnBody &turn = std::get<TurnBody>(record.body_);
    if (!internal::recordTurn(tree, chain, turn, record.type_ == RecordType::Outcome)) {
        return false;
    }
    if (turn.status_ == TurnStatus::Answered) {
        const std::map<std::string, SuspectState>::iterator suspected = suspects_.find(turn.contentHash_);
        if (suspected != suspects_.end() && !suspected->second.isPoison_) {
            suspects_.erase(suspected);
        }
    }
    return true;
}

void JournalFold::applyEnd(TreeState &tree, const LoggedRecord &logged)
{
    const ProgramId &program = logged.record_.program_;
    internal::endProgram(tree, program, std::get<EndBody>(logged.record_.body_).reason_);
    if (program == tree.root_) {
        ended_.push_back({logged.time_, program});
    }
}

JournalVerdict JournalFold::applyCheckpoint(TreeState &tree, const LoggedRecord &logged)
{
    const CheckpointBody &body = std::get<CheckpointBody>(logged.record_.body_);
    if (tree.lastOffset_ > body.coveredOffset_) {
        // The checkpoint lacks a record of the tree; a new reader would miss it once the entries before the checkpoint
        // expire.
        return JournalVerdict::Refused;
    }
    tree.replayFromTime_ = logged.time_;
    tree.replayFromOffset_ = logged.offset_;
    if (body.idle_) {
        moveToIdle(tree.root_, logged);
    }
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyQuarantine(const QuarantineBody &body, Time time)
{
    SuspectState &state = suspects_[body.contentHash_];
    state.isPoison_ = state.isPoison_ || body.isPoison_;
    state.time_ = time;
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyToIdle(IdleProgram &idle, const LoggedRecord &logged, JournalFoldResult &result)
{
    const Record &record = logged.record_;
    if (deferred_.count(record.root_) == 0) {
        if (record.type_ == RecordType::Claim) {
            result.formerOwner_ = idle_.ownerOf(idle);
            idle_.setOwner(idle, record.node_);
            idle.fencing_ = logged.offset_;
            return JournalVerdict::Accepted;
        }
        if (record.fencing_ != idle.fencing_) {
            return JournalVerdict::Fenced;
        }
        if (record.type_ == RecordType::Release) {
            idle_.setOwner(idle, NodeId());
            return JournalVerdict::Accepted;
        }
        const CheckpointBody *checkpoint = std::get_if<CheckpointBody>(&record.body_);
        if (checkpoint != nullptr && checkpoint->idle_ && checkpoint->coveredOffset_ >= idle.fencing_) {
            idle.checkpoint_ = logged.offset_;
            idle.checkpointS_ = internal::wholeSeconds(logged.time_);
            return JournalVerdict::Accepted;
        }
    }
    deferred_[record.root_].push_back(logged);
    return JournalVerdict::Deferred;
}

void JournalFold::moveToIdle(const ProgramId &root, const LoggedRecord &checkpoint)
{
    const TreeState &tree = *trees_.find(root);
    if (idle_.insert(tree, checkpoint.offset_, checkpoint.time_)) {
        trees_.eraseWithoutSubAgents(tree.root_);
    }
}

std::vector<Offset> JournalFold::requiredCheckpoints() const
{
    std::vector<Offset> result;
    for (const std::pair<const ProgramId, std::vector<LoggedRecord>> &entry : deferred_) {
        if (const IdleProgram *found = idle(entry.first)) {
            result.push_back(found->checkpoint_);
        }
    }
    return result;
}

std::vector<JournalFoldResult> JournalFold::restore(const LogEntry &checkpoint)
{
    std::vector<JournalFoldResult> results;
    std::string error;
    const std::optional<Record> record = parseRecord(checkpoint.body_, error);
    if (!record || record->type_ != RecordType::Checkpoint) {
        return results;
    }
    const IdleProgram *found = idle(record->root_);
    std::optional<TreeState> state = treeFromJson(std::get<CheckpointBody>(record->body_).state_);
    if (found == nullptr || found->checkpoint_ != checkpoint.offset_ || !state) {
        return results;
    }
    TreeState tree = restoredTree(std::move(*state), *found, checkpoint);
    idle_.erase(*found);
    trees_.insert(std::move(tree));
    const std::map<ProgramId, std::vector<LoggedRecord>>::iterator waiting = deferred_.find(record->root_);
    if (waiting == deferred_.end()) {
        return results;
    }
    std::vector<LoggedRecord> records = std::move(waiting->second);
    deferred_.erase(waiting);
    for (LoggedRecord &logged : records) {
        results.push_back(applyRecord(std::move(logged)));
    }
    return results;
}

TreeState JournalFold::restoredTree(TreeState state, const IdleProgram &idle, const LogEntry &checkpoint) const
{
    state.replayFromTime_ = checkpoint.time_;
    state.replayFromOffset_ = checkpoint.offset_;
    state.owner_ = idle_.ownerOf(idle);
    if (state.fencing_ != idle.fencing_ || state.owner_.isEmpty()) {
        state.spent_ = state.owner_.isEmpty() ? state.spent_ : state.spent_ + state.reserved_;
        state.reserved_ = Spend();
    }
    state.fencing_ = idle.fencing_;
    return state;
}

const TreeState *JournalFold::tree(const ProgramId &root) const
{
    return trees_.find(root);
}

const TreeState *JournalFold::treeOf(const ProgramId &program) const
{
    return trees_.findOf(program);
}

const ChainState *JournalFold::chain(const ProgramId &program) const
{
    const TreeState *tree = treeOf(program);
    return tree == nullptr ? nullptr : tree->chain(program);
}

ProgramId JournalFold::createdBy(const AccountId &account, const RequestId &request) const
{
    return trees_.createdBy(account, request);
}

const SuspectState *JournalFold::suspect(const std::string &contentHash) const
{
    const std::map<std::string, SuspectState>::const_iterator found = suspects_.find(contentHash);
    return found == suspects_.end() ? nullptr : &found->second;
}

const IdleProgram *JournalFold::idle(const ProgramId &program) const
{
    return idle_.find(program);
}

NodeId JournalFold::ownerOfIdle(const IdleProgram &idle) const
{
    return idle_.ownerOf(idle);
}

std::string historyText(const ChainState &chain)
{
    std::string text;
    for (const TurnBody &turn : chain.turns_) {
        if (turn.status_ == TurnStatus::Refused) {
            continue;
        }
        text += turn.input_;
        text += '\n';
        text += turn.status_ == TurnStatus::Unknown ? std::string("[outcome unknown]") : turn.answer_;
        text += '\n';
    }
    return text;
}

} // namespace filbertgw
