#include "journal/treeupdates.h"

#include <set>
#include <utility>

namespace filbertgw::internal {

namespace {

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

ChainState makeChain(const ProgramId &program, const CreateBody &body)
{
    ChainState chain;
    chain.id_ = program;
    chain.deadline_ = body.deadline_;
    chain.maxTurns_ = body.maxTurns_;
    return chain;
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

/** \brief Closes the open intent: whether its owner sent the call isn't known, so the outcome stays unknown. */
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

/** \brief The ids of a program and its sub-agents at any depth. */
std::set<ProgramId> subtreeOf(const TreeState &tree, const ProgramId &program)
{
    // A sub-agent may precede its parent in the order of ids, so repeat until no program is added.
    std::set<ProgramId> found{program};
    for (std::size_t before = 0; before != found.size();) {
        before = found.size();
        for (const std::pair<const ProgramId, ChainState> &entry : tree.chains_) {
            if (found.count(entry.second.parent_) != 0) {
                found.insert(entry.first);
            }
        }
    }
    return found;
}

} // namespace

TreeState makeTree(const Record &record, const CreateBody &body, Offset offset, Time time)
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
    tree.replayFromTime_ = time;
    tree.replayFromOffset_ = offset;
    tree.chains_[record.program_] = makeChain(record.program_, body);
    return tree;
}

bool addSubAgent(TreeState &tree, const ProgramId &program, const CreateBody &body)
{
    const std::map<ProgramId, ChainState>::const_iterator parent = tree.chains_.find(body.parent_);
    if (parent == tree.chains_.end() || parent->second.endReason_ || tree.chains_.count(program) != 0) {
        return false;
    }
    ChainState chain = makeChain(program, body);
    chain.parent_ = body.parent_;
    tree.chains_[program] = std::move(chain);
    tree.spent_ = tree.spent_ + body.spent_;
    setReserved(tree, body.reserved_);
    return true;
}

bool changeOwner(TreeState &tree, const NodeId &owner, const ClaimBody &body, Offset offset)
{
    if (tree.isEnded()) {
        return false;
    }
    for (std::pair<const ProgramId, ChainState> &entry : tree.chains_) {
        closeIntentAsUnknown(entry.second);
    }
    tree.owner_ = owner;
    tree.fencing_ = offset;
    tree.lastOffset_ = offset;
    tree.spent_ = tree.spent_ + tree.reserved_;
    setReserved(tree, body.reserved_);
    return true;
}

void reserve(TreeState &tree, const ReserveBody &body)
{
    tree.spent_ = tree.spent_ + body.spent_;
    setReserved(tree, body.reserved_);
}

bool openIntent(TreeState &tree, ChainState &chain, const IntentBody &intent, bool checkDuplicates)
{
    if (checkDuplicates && (chain.intent_ || findTurn(chain, intent.requestId_) != nullptr)) {
        return false;
    }
    chain.intent_ = intent;
    tree.spent_ = tree.spent_ + intent.spent_;
    setReserved(tree, intent.reserved_);
    return true;
}

bool recordTurn(TreeState &tree, ChainState &chain, const TurnBody &turn, bool closesIntent)
{
    if (turn.sequence_ != chain.nextSequence_ || closesIntent != chain.intent_.has_value()) {
        return false;
    }
    chain.intent_.reset();
    tree.spent_ = tree.spent_ + turn.usage_ + turn.spent_;
    setReserved(tree, turn.reserved_);
    if (turn.status_ != TurnStatus::Abandoned) {
        appendTurn(chain, turn);
    }
    return true;
}

void release(TreeState &tree, const ReleaseBody &body)
{
    tree.owner_ = NodeId();
    tree.spent_ = tree.spent_ + body.spent_;
    tree.reserved_ = Spend();
}

void endProgram(TreeState &tree, const ProgramId &program, FailureType reason)
{
    for (const ProgramId &id : subtreeOf(tree, program)) {
        ChainState &chain = tree.chains_.at(id);
        closeIntentAsUnknown(chain);
        if (!chain.endReason_) {
            chain.endReason_ = reason;
        }
    }
    if (program == tree.root_) {
        tree.spent_ = tree.spent_ + tree.reserved_;
        tree.reserved_ = Spend();
    }
}

} // namespace filbertgw::internal
