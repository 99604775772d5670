#include "journal/journalfold.h"

#include "journal/treeupdates.h"

#include <algorithm>

namespace filbertgw {

namespace {

/** \brief Records of a newer schema that are kept for the report. */
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
    while (!ended_.empty() && ended_.front().first + settings_.endedKept_ < time_) {
        trees_.erase(ended_.front().second);
        ended_.pop_front();
    }
    if (suspects_.empty()) {
        return;
    }
    for (std::map<std::string, SuspectState>::iterator entry = suspects_.begin(); entry != suspects_.end();) {
        const bool old = entry->second.time_ + settings_.quarantineKept_ < time_;
        entry = old ? suspects_.erase(entry) : std::next(entry);
    }
}

JournalFoldResult JournalFold::applyRecord(PlacedRecord placed)
{
    JournalFoldResult result;
    result.offset_ = placed.offset_;
    result.root_ = placed.record_.root_;
    result.verdict_ = dispatch(placed, result);
    result.record_ = std::move(placed.record_);
    return result;
}

JournalVerdict JournalFold::dispatch(const PlacedRecord &placed, JournalFoldResult &result)
{
    const Record &record = placed.record_;
    if (record.type_ == RecordType::Quarantine) {
        return applyQuarantine(std::get<QuarantineBody>(record.body_), placed.time_);
    }
    if (IdleProgram *idle = idle_.find(record.root_)) {
        return applyToIdle(*idle, placed, result);
    }
    if (record.type_ == RecordType::Create && record.root_ == record.program_) {
        return applyCreate(placed, result);
    }
    TreeState *tree = trees_.find(record.root_);
    return tree == nullptr ? applyToUnknown(placed) : applyToTree(*tree, placed, result);
}

JournalVerdict JournalFold::applyToTree(TreeState &tree, const PlacedRecord &placed, JournalFoldResult &result)
{
    const Record &record = placed.record_;
    if (record.type_ == RecordType::Claim) {
        const NodeId formerOwner = tree.owner_;
        if (!internal::changeOwner(tree, record.node_, std::get<ClaimBody>(record.body_), placed.offset_)) {
            return JournalVerdict::Refused;
        }
        result.formerOwner_ = formerOwner;
        return JournalVerdict::Accepted;
    }
    const bool isOwner = record.fencing_ == tree.fencing_ && !tree.owner_.isEmpty();
    if (isOwner || !settings_.checkFencing_) {
        return applyOwned(tree, placed);
    }
    if (record.fencing_ <= tree.fencing_ || !isBeforeStart(record.fencing_)) {
        return JournalVerdict::Fenced;
    }
    // The tree came from a former owner's checkpoint; the claim that superseded it has expired.
    return applyToUnknown(placed);
}

bool JournalFold::isBeforeStart(Offset fencing) const
{
    return fencing != 0 && fencing < start_;
}

JournalVerdict JournalFold::applyToUnknown(const PlacedRecord &placed)
{
    return placed.record_.type_ == RecordType::Checkpoint ? adopt(placed) : keepOrphan(placed);
}

JournalVerdict JournalFold::keepOrphan(const PlacedRecord &placed)
{
    const Record &record = placed.record_;
    const bool isClaim = record.type_ == RecordType::Claim;
    const Offset basis = isClaim ? std::get<ClaimBody>(record.body_).supersedes_ : record.fencing_;
    // A program that began after the first entry and is unknown has ended and was forgotten.
    if (orphans_.count(record.root_) != 0 || isBeforeStart(basis)) {
        orphans_[record.root_].push_back(placed);
    }
    return JournalVerdict::UnknownProgram;
}

Offset JournalFold::newestOrphanClaim(const ProgramId &root) const
{
    const std::map<ProgramId, std::vector<PlacedRecord>>::const_iterator found = orphans_.find(root);
    Offset newest = 0;
    if (found != orphans_.end()) {
        for (const PlacedRecord &orphan : found->second) {
            newest = orphan.record_.type_ == RecordType::Claim ? orphan.offset_ : newest;
        }
    }
    return newest;
}

JournalVerdict JournalFold::adopt(const PlacedRecord &placed)
{
    const Record &record = placed.record_;
    const Offset newestClaim = newestOrphanClaim(record.root_);
    if (newestClaim > record.fencing_) {
        return JournalVerdict::Fenced; // A former owner's checkpoint; the new owner writes its own.
    }
    if (!isBeforeStart(record.fencing_) && newestClaim != record.fencing_) {
        return JournalVerdict::UnknownProgram;
    }
    std::optional<TreeState> state = treeFromJson(std::get<CheckpointBody>(record.body_).state_);
    if (!state || state->root_ != record.root_ || state->fencing_ != record.fencing_) {
        return JournalVerdict::Refused;
    }
    insertAdopted(std::move(*state), placed);
    return JournalVerdict::Accepted;
}

void JournalFold::insertAdopted(TreeState state, const PlacedRecord &checkpoint)
{
    const ProgramId root = state.root_;
    const CheckpointBody &body = std::get<CheckpointBody>(checkpoint.record_.body_);
    std::vector<PlacedRecord> waiting;
    const std::map<ProgramId, std::vector<PlacedRecord>>::iterator found = orphans_.find(root);
    if (found != orphans_.end()) {
        waiting = std::move(found->second);
        orphans_.erase(found);
    }
    state.neededTime_ = checkpoint.time_;
    state.neededOffset_ = checkpoint.offset_;
    if (state.isEnded()) {
        ended_.push_back({checkpoint.time_, root});
    }
    trees_.insert(std::move(state));
    for (const PlacedRecord &orphan : waiting) {
        if (orphan.offset_ > body.covers_) {
            JournalFoldResult ignored;
            dispatch(orphan, ignored);
        }
    }
    if (body.idle_) {
        compact(root, checkpoint);
    }
}

JournalVerdict JournalFold::applyCreate(const PlacedRecord &placed, JournalFoldResult &result)
{
    const CreateBody &body = std::get<CreateBody>(placed.record_.body_);
    result.existing_ = trees_.createdBy(body.account_, body.requestId_);
    if (!result.existing_.isEmpty() || trees_.find(placed.record_.program_) != nullptr) {
        return JournalVerdict::Refused;
    }
    trees_.insert(internal::makeTree(placed.record_, body, placed.offset_, placed.time_));
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyOwned(TreeState &tree, const PlacedRecord &placed)
{
    const Record &record = placed.record_;
    if (record.type_ == RecordType::Checkpoint) {
        return applyCheckpoint(tree, placed);
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
        isAccepted = isLive && applyToChain(tree, found->second, placed);
        break;
    }
    }
    if (isAccepted) {
        tree.lastOffset_ = placed.offset_;
        tree.lastTime_ = placed.time_;
    }
    return verdictOf(isAccepted);
}

bool JournalFold::applyToChain(TreeState &tree, ChainState &chain, const PlacedRecord &placed)
{
    const Record &record = placed.record_;
    switch (record.type_) {
    case RecordType::Intent:
        return internal::openIntent(tree, chain, std::get<IntentBody>(record.body_), settings_.checkDuplicates_);
    case RecordType::Turn:
    case RecordType::Outcome:
        return applyTurn(tree, chain, record);
    case RecordType::End:
        applyEnd(tree, placed);
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
        if (suspected != suspects_.end() && !suspected->second.convicted_) {
            suspects_.erase(suspected);
        }
    }
    return true;
}

void JournalFold::applyEnd(TreeState &tree, const PlacedRecord &placed)
{
    const ProgramId &program = placed.record_.program_;
    internal::endProgram(tree, program, std::get<EndBody>(placed.record_.body_).reason_);
    if (program == tree.root_) {
        ended_.push_back({placed.time_, program});
    }
}

JournalVerdict JournalFold::applyCheckpoint(TreeState &tree, const PlacedRecord &placed)
{
    const CheckpointBody &body = std::get<CheckpointBody>(placed.record_.body_);
    if (tree.lastOffset_ > body.covers_) {
        // A record of the tree came between; a new reader would miss it if older entries were given up.
        return JournalVerdict::Refused;
    }
    tree.neededTime_ = placed.time_;
    tree.neededOffset_ = placed.offset_;
    if (body.idle_) {
        compact(tree.root_, placed);
    }
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyQuarantine(const QuarantineBody &body, Time time)
{
    SuspectState &state = suspects_[body.contentHash_];
    state.convicted_ = state.convicted_ || body.convicted_;
    state.time_ = time;
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyToIdle(IdleProgram &idle, const PlacedRecord &placed, JournalFoldResult &result)
{
    const Record &record = placed.record_;
    if (deferred_.count(record.root_) == 0) {
        if (record.type_ == RecordType::Claim) {
            result.formerOwner_ = idle_.ownerOf(idle);
            idle_.setOwner(idle, record.node_);
            idle.fencing_ = placed.offset_;
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
        if (checkpoint != nullptr && checkpoint->idle_ && checkpoint->covers_ >= idle.fencing_) {
            idle.checkpoint_ = placed.offset_;
            idle.checkpointS_ = internal::wholeSeconds(placed.time_);
            return JournalVerdict::Accepted;
        }
    }
    deferred_[record.root_].push_back(placed);
    return JournalVerdict::Deferred;
}

void JournalFold::compact(const ProgramId &root, const PlacedRecord &checkpoint)
{
    const TreeState &tree = *trees_.find(root);
    if (idle_.insert(tree, checkpoint.offset_, checkpoint.time_)) {
        trees_.eraseSingle(tree.root_);
    }
}

std::vector<Offset> JournalFold::wantedCheckpoints() const
{
    std::vector<Offset> result;
    for (const std::pair<const ProgramId, std::vector<PlacedRecord>> &entry : deferred_) {
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
    const std::map<ProgramId, std::vector<PlacedRecord>>::iterator waiting = deferred_.find(record->root_);
    if (waiting == deferred_.end()) {
        return results;
    }
    std::vector<PlacedRecord> records = std::move(waiting->second);
    deferred_.erase(waiting);
    for (PlacedRecord &placed : records) {
        results.push_back(applyRecord(std::move(placed)));
    }
    return results;
}

TreeState JournalFold::restoredTree(TreeState state, const IdleProgram &idle, const LogEntry &checkpoint) const
{
    state.neededTime_ = checkpoint.time_;
    state.neededOffset_ = checkpoint.offset_;
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
