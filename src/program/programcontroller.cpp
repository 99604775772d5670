#include "program/programcontrollerprivate.h"

#include "core/digest.h"

#include <algorithm>

namespace filbertgw {

using internal::Call;
using internal::CallPhase;
using internal::ChainCalls;
using internal::OwnedTree;
using nlohmann::json;

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
    Time waitUntil = d_->now() + d_->settings_.ownerWaitLimit_;
    if (request.deadline_.count() != 0) {
        waitUntil = std::min(waitUntil, request.deadline_);
    }
    d_->submitCall(request, waitUntil, std::move(done));
}

void ProgramController::end(const ProgramId &program, const AccountId &account, AnswerDone done)
{
    d_->end(program, account, d_->now() + d_->settings_.ownerWaitLimit_, done);
}

std::optional<CallAnswer> ProgramController::recordedAnswer(const ProgramId &program, const RequestId &request) const
{
    const ChainState *chain = d_->fold_->chain(program);
    const TurnBody *turn = chain == nullptr ? nullptr : findTurn(*chain, request);
    return turn == nullptr ? std::nullopt : std::optional<CallAnswer>(answerOf(program, *turn));
}

void ProgramController::onCallerGone(const ProgramId &program, const RequestId &request)
{
    const std::shared_ptr<OwnedTree> owned = d_->ownedTree(d_->rootOf(program));
    if (!owned) {
        return;
    }
    ChainCalls &chain = owned->chains_[program];
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

bool ProgramController::reserveRetry(const ProgramId &program, const RequestId &request)
{
    const ProgramId root = d_->rootOf(program);
    const std::shared_ptr<OwnedTree> owned = d_->ownedTree(root);
    const TreeState *tree = d_->fold_->tree(root);
    if (!owned || tree == nullptr) {
        return false;
    }
    const std::shared_ptr<Call> call = owned->chains_[program].current_;
    const bool isRunning = call && call->phase_ == CallPhase::Running && call->request_.requestId_ == request;
    if (!isRunning || !call->request_.idempotent_) {
        return false;
    }
    if (d_->safeguards_.budget_ && !owned->budgetTracker_.fitsReserved(call->worstCasePerRun_, tree->reserved_)) {
        return false;
    }
    owned->budgetTracker_.startCall(call->worstCasePerRun_);
    call->worstCase_ = call->worstCase_ + call->worstCasePerRun_;
    return true;
}

OwnerView ProgramController::ownerOf(const ProgramId &program) const
{
    if (const TreeState *tree = d_->fold_->treeOf(program)) {
        return d_->ownerViewOf(tree->root_, tree->owner_);
    }
    if (const IdleProgram *idle = d_->fold_->idle(program)) {
        return d_->ownerViewOf(program, d_->fold_->ownerOfIdle(*idle));
    }
    return d_->ownerViewOf(program, NodeId());
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
    d_->logEvent("drain_started", {{"programs", d_->ownedTrees_.size()}});
    tick();
}

bool ProgramController::isDrained() const
{
    return d_->draining_ && d_->ownedTrees_.empty() && d_->pending_.empty() && d_->waitingRequests_.empty()
        && d_->pendingCreates_.empty();
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
                   {"checkpoint", tree->replayFromOffset_},
                   {"state", chain.endReason_ ? nameOf(*chain.endReason_) : "live"},
                   {"calls", json::array()}};
    if (chain.intent_) {
        result["intent"] = chain.intent_->requestId_.value();
    }
    if (const std::shared_ptr<OwnedTree> owned = d_->ownedTree(tree->root_)) {
        const std::map<ProgramId, ChainCalls>::const_iterator found = owned->chains_.find(program);
        if (found != owned->chains_.end()) {
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
            {"owned_trees", d_->ownedTrees_.size()},
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
    writer.maxBacklogBytes_ = settings_.backlogBytes_;
    writer.readBack_ = safeguards_.readBack_;
    d->writer_ = std::make_unique<JournalWriter>(writer, JournalWriterHooks{hooks_.now_, hooks_.log_});
    // The random part keeps a restarted process with the same node name from reusing record ids.
    d->writerName_ = self_.value() + '.' + sha256(std::to_string(hooks_.random_())).substr(0, 12);
    return std::unique_ptr<ProgramController>(new ProgramController(std::move(d)));
}

} // namespace filbertgw
