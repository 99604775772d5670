#include "journal/journalfold.h"

#include "journal/programid.h"

#include <algorithm>

namespace filbertgw {

namespace {

constexpr std::size_t maxRetained = 10'000; // Records of a newer schema that are kept for the report.
constexpr std::size_t maxOtherIds = 10'000;

std::uint32_t wholeSeconds(Time time)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

bool idleBefore(const IdleProgram &a, const IdleProgram &b)
{
    return std::tie(a.slot_, a.random_) < std::tie(b.slot_, b.random_);
}

bool isSameTurn(const TurnBody &a, const TurnBody &b)
{
    return a.kind_ == b.kind_ && a.status_ == b.status_ && a.target_ == b.target_ && a.input_ == b.input_
        && a.answer_ == b.answer_;
}

/** \brief Keeps spent plus reserved within the budget. */
void setReserved(TreeState &tree, const Spend &reserved)
{
    tree.reserved_ = minimum(reserved, clampedToZero(tree.budget_ - tree.spent_));
}

void appendTurn(ChainState &chain, TurnBody turn)
{
    const bool repeated = !chain.turns_.empty() && isSameTurn(chain.turns_.back(), turn);
    chain.repeats_ = repeated ? chain.repeats_ + 1 : 1;
    if (turn.kind_ == CallKind::Model) {
        chain.homeEngine_ = turn.endpoint_;
    }
    chain.turns_.push_back(std::move(turn));
    ++chain.nextSequence_;
}

/** \brief Nobody knows whether the former owner has sent the call, so its outcome stays unknown for good. */
void closeIntentAsUnknown(ChainState &chain)
{
    if (!chain.intent_) {
        return;
    }
    TurnBody turn;
    turn.sequence_ = chain.nextSequence_;
    turn.status_ = TurnStatus::Unknown;
    turn.requestId_ = chain.intent_->requestId_;
    turn.requestHash_ = chain.intent_->requestHash_;
    turn.kind_ = chain.intent_->kind_;
    turn.target_ = chain.intent_->target_;
    turn.input_ = chain.intent_->input_;
    chain.intent_.reset();
    appendTurn(chain, std::move(turn));
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
        retained_.push_back(entry);
        if (retained_.size() > maxRetained) {
            retained_.pop_front();
        }
        result.verdict_ = JournalVerdict::Retained;
        result.record_ = std::move(*record);
        return result;
    }
    if (isKnownId(record->id_) && settings_.checkDuplicates_) {
        result.verdict_ = JournalVerdict::Duplicate;
        result.record_ = std::move(*record);
        return result;
    }
    return applyRecord(std::move(*record), entry.offset_, entry.time_);
}

bool JournalFold::isKnownId(const RecordId &id)
{
    const std::string &text = id.value();
    const std::size_t mark = text.rfind('#');
    if (mark != std::string::npos && mark + 1 < text.size() && text.size() - mark <= 19
        && text.find_first_not_of("0123456789", mark + 1) == std::string::npos) {
        // A writer appends its records in order, so that its highest number stands for all of them.
        const std::uint64_t number = std::stoull(text.substr(mark + 1));
        Writer &writer = writers_[text.substr(0, mark)];
        if (number <= writer.number_) {
            return true;
        }
        writer.number_ = number;
        return false;
    }
    if (!otherIds_.insert(id).second) {
        return true;
    }
    otherIdOrder_.push_back(id);
    if (otherIdOrder_.size() > maxOtherIds) {
        otherIds_.erase(otherIdOrder_.front());
        otherIdOrder_.pop_front();
    }
    return false;
}

void JournalFold::expire()
{
    while (!ended_.empty() && ended_.front().first + settings_.endedKept_ < time_) {
        forget(ended_.front().second);
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

JournalFoldResult JournalFold::applyRecord(Record record, Offset offset, Time time)
{
    JournalFoldResult result;
    result.offset_ = offset;
    result.root_ = record.root_;
    result.verdict_ = dispatch(record, offset, time, result);
    result.record_ = std::move(record);
    return result;
}

JournalVerdict JournalFold::dispatch(const Record &record, Offset offset, Time time, JournalFoldResult &result)
{
    if (record.type_ == RecordType::Quarantine) {
        return applyQuarantine(std::get<QuarantineBody>(record.body_), time);
    }
    if (IdleProgram *idle = findIdle(record.root_)) {
        return applyToIdle(*idle, record, offset, time, result);
    }
    if (record.type_ == RecordType::Create && record.root_ == record.program_) {
        return applyCreate(record, offset, time, result);
    }
    const std::unordered_map<ProgramId, std::unique_ptr<TreeState>>::iterator found = trees_.find(record.root_);
    if (found == trees_.end()) {
        return record.type_ == RecordType::Checkpoint ? adopt(record, offset, time)
                                                      : applyUnknown(record, offset, time);
    }
    TreeState &tree = *found->second;
    if (record.type_ == RecordType::Claim) {
        return applyClaim(tree, record, offset, result);
    }
    const bool isOwner = record.fencing_ == tree.fencing_ && !tree.owner_.isEmpty();
    if (!isOwner && settings_.checkFencing_) {
        if (record.fencing_ <= tree.fencing_ || !isBeforeStart(record.fencing_)) {
            return JournalVerdict::Fenced;
        }
        // The tree came from a former owner's checkpoint; the claim that superseded it has expired.
        return record.type_ == RecordType::Checkpoint ? adopt(record, offset, time)
                                                      : applyUnknown(record, offset, time);
    }
    return applyOwned(tree, record, offset, time);
}

bool JournalFold::isBeforeStart(Offset fencing) const
{
    return fencing != 0 && fencing < start_;
}

JournalVerdict JournalFold::applyUnknown(const Record &record, Offset offset, Time time)
{
    const bool isClaim = record.type_ == RecordType::Claim;
    const Offset basis = isClaim ? std::get<ClaimBody>(record.body_).supersedes_ : record.fencing_;
    const std::map<ProgramId, std::vector<Placed>>::iterator known = orphans_.find(record.root_);
    // A program that began after the first entry and is unknown has ended and was forgotten.
    if (known == orphans_.end() && !isBeforeStart(basis)) {
        return JournalVerdict::UnknownProgram;
    }
    orphans_[record.root_].push_back({record, offset, time});
    return JournalVerdict::UnknownProgram;
}

JournalVerdict JournalFold::applyCreate(const Record &record, Offset offset, Time time, JournalFoldResult &result)
{
    const CreateBody &body = std::get<CreateBody>(record.body_);
    const std::map<std::pair<AccountId, RequestId>, ProgramId>::const_iterator known =
        createdBy_.find({body.account_, body.requestId_});
    if (known != createdBy_.end()) {
        result.existing_ = known->second;
        return JournalVerdict::Refused;
    }
    if (trees_.count(record.program_) != 0) {
        return JournalVerdict::Refused;
    }
    return applyRoot(record, body, offset, time);
}

JournalVerdict JournalFold::applyRoot(const Record &record, const CreateBody &body, Offset offset, Time time)
{
    TreeState tree;
    tree.root_ = record.program_;
    tree.account_ = body.account_;
    tree.createRequest_ = body.requestId_;
    tree.owner_ = record.node_;
    tree.fencing_ = offset;
    tree.budget_ = body.budget_;
    setReserved(tree, body.reserved_);
    tree.lastTime_ = time;
    tree.lastOffset_ = offset;
    tree.neededTime_ = time;
    tree.neededOffset_ = offset;
    ChainState chain;
    chain.id_ = record.program_;
    chain.deadline_ = body.deadline_;
    chain.maxTurns_ = body.maxTurns_;
    tree.chains_[chain.id_] = std::move(chain);
    insert(std::move(tree));
    return JournalVerdict::Accepted;
}

TreeState &JournalFold::insert(TreeState state)
{
    createdBy_[{state.account_, state.createRequest_}] = state.root_;
    for (const std::pair<const ProgramId, ChainState> &entry : state.chains_) {
        if (entry.first != state.root_) {
            rootOf_[entry.first] = state.root_;
        }
    }
    std::unique_ptr<TreeState> &place = trees_[state.root_];
    place = std::make_unique<TreeState>(std::move(state));
    return *place;
}

JournalVerdict JournalFold::applySubAgent(TreeState &tree, const Record &record, const CreateBody &body)
{
    const std::map<ProgramId, ChainState>::const_iterator parent = tree.chains_.find(body.parent_);
    if (parent == tree.chains_.end() || parent->second.endReason_ || tree.chains_.count(record.program_) != 0) {
        return JournalVerdict::Refused;
    }
    ChainState chain;
    chain.id_ = record.program_;
    chain.parent_ = body.parent_;
    chain.deadline_ = body.deadline_;
    chain.maxTurns_ = body.maxTurns_;
    tree.chains_[chain.id_] = std::move(chain);
    createdBy_[{body.account_, body.requestId_}] = record.program_;
    rootOf_[record.program_] = tree.root_;
    tree.spent_ = tree.spent_ + body.spent_;
    setReserved(tree, body.reserved_);
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyClaim(TreeState &tree, const Record &record, Offset offset, JournalFoldResult &result)
{
    if (tree.isEnded()) {
        return JournalVerdict::Refused;
    }
    result.formerOwner_ = tree.owner_;
    for (std::pair<const ProgramId, ChainState> &entry : tree.chains_) {
        closeIntentAsUnknown(entry.second);
    }
    tree.owner_ = record.node_;
    tree.fencing_ = offset;
    tree.lastOffset_ = offset;
    tree.spent_ = tree.spent_ + tree.reserved_;
    setReserved(tree, std::get<ClaimBody>(record.body_).reserved_);
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyOwned(TreeState &tree, const Record &record, Offset offset, Time time)
{
    if (record.type_ == RecordType::Checkpoint) {
        return applyCheckpoint(tree, record, offset, time);
    }
    JournalVerdict verdict = JournalVerdict::Refused;
    const std::map<ProgramId, ChainState>::iterator found = tree.chains_.find(record.program_);
    const bool isLive = found != tree.chains_.end() && !found->second.endReason_;
    if (tree.isEnded()) {
        return verdict;
    }
    switch (record.type_) {
    case RecordType::Create:
        verdict = applySubAgent(tree, record, std::get<CreateBody>(record.body_));
        break;
    case RecordType::Reserve: {
        const ReserveBody &body = std::get<ReserveBody>(record.body_);
        tree.spent_ = tree.spent_ + body.spent_;
        setReserved(tree, body.reserved_);
        verdict = JournalVerdict::Accepted;
        break;
    }
    case RecordType::Intent:
        if (isLive) {
            verdict = applyIntent(tree, found->second, std::get<IntentBody>(record.body_));
        }
        break;
    case RecordType::Turn:
    case RecordType::Outcome:
        if (isLive) {
            verdict =
                applyTurn(tree, found->second, std::get<TurnBody>(record.body_), record.type_ == RecordType::Outcome);
        }
        break;
    case RecordType::Release:
        tree.owner_ = NodeId();
        tree.spent_ = tree.spent_ + std::get<ReleaseBody>(record.body_).spent_;
        tree.reserved_ = Spend();
        verdict = JournalVerdict::Accepted;
        break;
    case RecordType::End:
        if (isLive) {
            verdict = applyEnd(tree, record.program_, std::get<EndBody>(record.body_).reason_, time);
        }
        break;
    default:
        break;
    }
    if (verdict == JournalVerdict::Accepted) {
        tree.lastOffset_ = offset;
        tree.lastTime_ = time;
    }
    return verdict;
}

JournalVerdict JournalFold::applyIntent(TreeState &tree, ChainState &chain, const IntentBody &intent)
{
    if (settings_.checkDuplicates_ && (chain.intent_ || findTurn(chain, intent.requestId_) != nullptr)) {
        return JournalVerdict::Refused;
    }
    chain.intent_ = intent;
    tree.spent_ = tree.spent_ + intent.spent_;
    setReserved(tree, intent.reserved_);
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyTurn(TreeState &tree, ChainState &chain, const TurnBody &turn, bool closesIntent)
{
    if (turn.sequence_ != chain.nextSequence_ || (closesIntent && !chain.intent_) || (!closesIntent && chain.intent_)) {
        return JournalVerdict::Refused;
    }
    if (closesIntent) {
        chain.intent_.reset();
    }
    tree.spent_ = tree.spent_ + turn.usage_ + turn.spent_;
    setReserved(tree, turn.reserved_);
    if (turn.status_ == TurnStatus::Answered) {
        const std::map<std::string, SuspectState>::iterator suspected = suspects_.find(turn.contentHash_);
        if (suspected != suspects_.end() && !suspected->second.convicted_) {
            suspects_.erase(suspected);
        }
    }
    if (turn.status_ != TurnStatus::Abandoned) {
        appendTurn(chain, turn);
    }
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyEnd(TreeState &tree, const ProgramId &program, FailureType reason, Time time)
{
    // Parents are not ordered before their sub-agents by id, so descend until nothing changes.
    std::set<ProgramId> ending{program};
    for (std::size_t before = 0; before != ending.size();) {
        before = ending.size();
        for (const std::pair<const ProgramId, ChainState> &entry : tree.chains_) {
            if (ending.count(entry.second.parent_) != 0) {
                ending.insert(entry.first);
            }
        }
    }
    for (const ProgramId &id : ending) {
        ChainState &chain = tree.chains_.at(id);
        closeIntentAsUnknown(chain);
        if (!chain.endReason_) {
            chain.endReason_ = reason;
        }
    }
    if (program == tree.root_) {
        tree.spent_ = tree.spent_ + tree.reserved_;
        tree.reserved_ = Spend();
        ended_.push_back({time, program});
    }
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::applyCheckpoint(TreeState &tree, const Record &record, Offset offset, Time time)
{
    const CheckpointBody &body = std::get<CheckpointBody>(record.body_);
    if (tree.lastOffset_ > body.covers_) {
        // A record of the tree came between; a new reader would miss it if older entries were given up.
        return JournalVerdict::Refused;
    }
    tree.neededTime_ = time;
    tree.neededOffset_ = offset;
    if (body.idle_) {
        compact(tree.root_, offset, time);
    }
    return JournalVerdict::Accepted;
}

JournalVerdict JournalFold::adopt(const Record &record, Offset offset, Time time)
{
    const CheckpointBody &body = std::get<CheckpointBody>(record.body_);
    const std::map<ProgramId, std::vector<Placed>>::iterator found = orphans_.find(record.root_);
    Offset newestClaim = 0;
    if (found != orphans_.end()) {
        for (const Placed &orphan : found->second) {
            newestClaim = orphan.record_.type_ == RecordType::Claim ? orphan.offset_ : newestClaim;
        }
    }
    if (newestClaim > record.fencing_) {
        return JournalVerdict::Fenced; // A former owner's checkpoint; the new owner writes its own.
    }
    if (!isBeforeStart(record.fencing_) && newestClaim != record.fencing_) {
        return JournalVerdict::UnknownProgram;
    }
    std::optional<TreeState> state = treeFromJson(body.state_);
    if (!state || state->root_ != record.root_ || state->fencing_ != record.fencing_) {
        return JournalVerdict::Refused;
    }
    std::vector<Placed> waiting;
    if (found != orphans_.end()) {
        waiting = std::move(found->second);
        orphans_.erase(found);
    }
    state->neededTime_ = time;
    state->neededOffset_ = offset;
    if (state->isEnded()) {
        ended_.push_back({time, state->root_});
    }
    insert(std::move(*state));
    for (const Placed &orphan : waiting) {
        if (orphan.offset_ > body.covers_) {
            JournalFoldResult ignored;
            dispatch(orphan.record_, orphan.offset_, orphan.time_, ignored);
        }
    }
    if (body.idle_) {
        compact(record.root_, offset, time);
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

JournalVerdict
JournalFold::applyToIdle(IdleProgram &idle, const Record &record, Offset offset, Time time, JournalFoldResult &result)
{
    const std::map<ProgramId, std::vector<Placed>>::iterator waiting = deferred_.find(record.root_);
    const bool isSimple = waiting == deferred_.end();
    if (isSimple && record.type_ == RecordType::Claim) {
        result.formerOwner_ = ownerOfIdle(idle);
        idle.owner_ = ownerIndex(record.node_);
        idle.fencing_ = offset;
        return JournalVerdict::Accepted;
    }
    if (isSimple && record.fencing_ != idle.fencing_) {
        return JournalVerdict::Fenced;
    }
    if (isSimple && record.type_ == RecordType::Release) {
        idle.owner_ = ownerIndex(NodeId());
        return JournalVerdict::Accepted;
    }
    const bool isIdleCheckpoint =
        record.type_ == RecordType::Checkpoint && std::get<CheckpointBody>(record.body_).idle_;
    if (isSimple && isIdleCheckpoint && std::get<CheckpointBody>(record.body_).covers_ >= idle.fencing_) {
        idle.checkpoint_ = offset;
        idle.checkpointS_ = wholeSeconds(time);
        return JournalVerdict::Accepted;
    }
    deferred_[record.root_].push_back({record, offset, time});
    return JournalVerdict::Deferred;
}

void JournalFold::compact(const ProgramId &root, Offset offset, Time time)
{
    const TreeState &tree = *trees_.at(root);
    const ChainState &chain = tree.chains_.at(root);
    IdleProgram idle;
    const bool fits = tree.chains_.size() == 1 && !chain.intent_ && !chain.endReason_;
    const std::optional<ProgramIdParts> parts = splitProgramId(root);
    if (!fits || !parts) {
        return;
    }
    idle.slot_ = parts->slot_;
    idle.random_ = parts->random_;
    idle.checkpoint_ = offset;
    idle.fencing_ = tree.fencing_;
    idle.idleSinceS_ = wholeSeconds(tree.lastTime_);
    idle.checkpointS_ = wholeSeconds(time);
    idle.deadlineS_ = wholeSeconds(chain.deadline_);
    idle.owner_ = ownerIndex(tree.owner_);
    createdBy_.erase({tree.account_, tree.createRequest_});
    trees_.erase(root);
    if (idle_.size() == idle_.capacity()) {
        idle_.reserve(idle_.size() + idle_.size() / 8 + 16); // Doubling would waste up to half of the memory.
    }
    idle_.insert(std::lower_bound(idle_.begin(), idle_.end(), idle, idleBefore), idle);
}

std::vector<Offset> JournalFold::wantedCheckpoints() const
{
    std::vector<Offset> result;
    for (const std::pair<const ProgramId, std::vector<Placed>> &entry : deferred_) {
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
    state->neededTime_ = checkpoint.time_;
    state->neededOffset_ = checkpoint.offset_;
    state->owner_ = ownerOfIdle(*found);
    if (state->fencing_ != found->fencing_ || state->owner_.isEmpty()) {
        state->spent_ = state->owner_.isEmpty() ? state->spent_ : state->spent_ + state->reserved_;
        state->reserved_ = Spend();
    }
    state->fencing_ = found->fencing_;
    idle_.erase(idle_.begin() + (found - idle_.data()));
    insert(std::move(*state));
    const std::map<ProgramId, std::vector<Placed>>::iterator waiting = deferred_.find(record->root_);
    if (waiting == deferred_.end()) {
        return results;
    }
    std::vector<Placed> records = std::move(waiting->second);
    deferred_.erase(waiting);
    for (Placed &placed : records) {
        results.push_back(applyRecord(std::move(placed.record_), placed.offset_, placed.time_));
    }
    return results;
}

void JournalFold::forget(const ProgramId &root)
{
    const std::unordered_map<ProgramId, std::unique_ptr<TreeState>>::iterator found = trees_.find(root);
    if (found == trees_.end()) {
        return;
    }
    for (std::map<std::pair<AccountId, RequestId>, ProgramId>::iterator entry =
             createdBy_.lower_bound({found->second->account_, RequestId()});
         entry != createdBy_.end() && entry->first.first == found->second->account_;) {
        const bool isOfTree = found->second->chains_.count(entry->second) != 0;
        entry = isOfTree ? createdBy_.erase(entry) : std::next(entry);
    }
    for (const std::pair<const ProgramId, ChainState> &entry : found->second->chains_) {
        rootOf_.erase(entry.first);
    }
    trees_.erase(found);
}

const TreeState *JournalFold::tree(const ProgramId &root) const
{
    const std::unordered_map<ProgramId, std::unique_ptr<TreeState>>::const_iterator found = trees_.find(root);
    return found == trees_.end() ? nullptr : found->second.get();
}

const TreeState *JournalFold::treeOf(const ProgramId &program) const
{
    const std::unordered_map<ProgramId, ProgramId>::const_iterator root = rootOf_.find(program);
    return tree(root == rootOf_.end() ? program : root->second);
}

const ChainState *JournalFold::chain(const ProgramId &program) const
{
    const TreeState *tree = treeOf(program);
    return tree == nullptr ? nullptr : tree->chain(program);
}

ProgramId JournalFold::createdBy(const AccountId &account, const RequestId &request) const
{
    const std::map<std::pair<AccountId, RequestId>, ProgramId>::const_iterator found =
        createdBy_.find({account, request});
    return found == createdBy_.end() ? ProgramId() : found->second;
}

const SuspectState *JournalFold::suspect(const std::string &contentHash) const
{
    const std::map<std::string, SuspectState>::const_iterator found = suspects_.find(contentHash);
    return found == suspects_.end() ? nullptr : &found->second;
}

const IdleProgram *JournalFold::idle(const ProgramId &program) const
{
    return const_cast<JournalFold *>(this)->findIdle(program);
}

IdleProgram *JournalFold::findIdle(const ProgramId &program)
{
    const std::optional<ProgramIdParts> parts = idle_.empty() ? std::nullopt : splitProgramId(program);
    if (!parts) {
        return nullptr;
    }
    IdleProgram key;
    key.slot_ = parts->slot_;
    key.random_ = parts->random_;
    const std::vector<IdleProgram>::iterator found = std::lower_bound(idle_.begin(), idle_.end(), key, idleBefore);
    const bool isFound = found != idle_.end() && found->slot_ == key.slot_ && found->random_ == key.random_;
    return isFound ? &*found : nullptr;
}

NodeId JournalFold::ownerOfIdle(const IdleProgram &idle) const
{
    return ownerNames_.at(idle.owner_);
}

std::uint16_t JournalFold::ownerIndex(const NodeId &node)
{
    const std::vector<NodeId>::const_iterator found = std::find(ownerNames_.begin(), ownerNames_.end(), node);
    if (found != ownerNames_.end()) {
        return static_cast<std::uint16_t>(found - ownerNames_.begin());
    }
    ownerNames_.push_back(node);
    return static_cast<std::uint16_t>(ownerNames_.size() - 1);
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
