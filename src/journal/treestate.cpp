#include "journal/treestate.h"

namespace filbertgw {

using nlohmann::json;

namespace {

json chainToJson(const ChainState &chain)
{
    json turns = json::array();
    for (const TurnBody &turn : chain.turns_) {
        turns.push_back(turnToJson(turn));
    }
    json result = {{"id", chain.id_.value()},
                   {"parent", chain.parent_.value()},
                   {"deadline_us", chain.deadline_.count()},
                   {"max_turns", chain.maxTurns_},
                   {"next_sequence", chain.nextSequence_},
                   {"turns", std::move(turns)},
                   {"repeats", chain.repeats_},
                   {"home_engine", chain.homeEngine_.value()}};
    if (chain.endReason_) {
        result["end_reason"] = nameOf(*chain.endReason_);
    }
    if (chain.intent_) {
        const IntentBody &intent = *chain.intent_;
        result["intent"] = {{"request_id", intent.requestId_.value()},
                            {"request_hash", intent.requestHash_},
                            {"kind", nameOf(intent.kind_)},
                            {"target", intent.target_},
                            {"input", intent.input_}};
    }
    return result;
}

IntentBody intentFromJson(const json &value)
{
    IntentBody intent;
    intent.requestId_ = RequestId(value.at("request_id").get<std::string>());
    intent.requestHash_ = value.at("request_hash").get<std::string>();
    intent.kind_ = valueOf<CallKind>(value.at("kind").get<std::string>()).value_or(CallKind::Tool);
    intent.target_ = value.at("target").get<std::string>();
    intent.input_ = value.at("input").get<std::string>();
    return intent;
}

bool chainFromJson(const json &value, ChainState &chain)
{
    chain.id_ = ProgramId(value.at("id").get<std::string>());
    chain.parent_ = ProgramId(value.at("parent").get<std::string>());
    chain.deadline_ = Time(value.at("deadline_us").get<std::int64_t>());
    chain.maxTurns_ = value.at("max_turns").get<std::uint32_t>();
    chain.nextSequence_ = value.at("next_sequence").get<std::uint64_t>();
    chain.repeats_ = value.at("repeats").get<std::uint32_t>();
    chain.homeEngine_ = EndpointId(value.at("home_engine").get<std::string>());
    for (const json &entry : value.at("turns")) {
        TurnBody turn;
        if (!turnFromJson(entry, turn)) {
            return false;
        }
        chain.turns_.push_back(std::move(turn));
    }
    if (value.contains("end_reason")) {
        chain.endReason_ = valueOf<FailureType>(value.at("end_reason").get<std::string>());
    }
    if (value.contains("intent")) {
        chain.intent_ = intentFromJson(value.at("intent"));
    }
    return true;
}

bool readTree(const json &value, TreeState &tree)
{
    tree.root_ = ProgramId(value.at("root").get<std::string>());
    tree.account_ = AccountId(value.at("account").get<std::string>());
    tree.createRequest_ = RequestId(value.at("create_request").get<std::string>());
    tree.owner_ = NodeId(value.at("owner").get<std::string>());
    tree.fencing_ = value.at("fencing").get<Offset>();
    tree.lastTime_ = Time(value.at("last_time_us").get<std::int64_t>());
    tree.lastOffset_ = value.at("last_offset").get<Offset>();
    if (!spendFromJson(value.at("budget"), tree.budget_) || !spendFromJson(value.at("spent"), tree.spent_)
        || !spendFromJson(value.at("reserved"), tree.reserved_)) {
        return false;
    }
    for (const json &entry : value.at("chains")) {
        ChainState chain;
        if (!chainFromJson(entry, chain)) {
            return false;
        }
        tree.chains_[chain.id_] = std::move(chain);
    }
    return tree.chains_.count(tree.root_) == 1;
}

} // namespace

const ChainState *TreeState::chain(const ProgramId &program) const
{
    const std::map<ProgramId, ChainState>::const_iterator found = chains_.find(program);
    return found == chains_.end() ? nullptr : &found->second;
}

bool TreeState::isEnded() const
{
    const ChainState *root = chain(root_);
    return root == nullptr || root->endReason_.has_value();
}

const TurnBody *findTurn(const ChainState &chain, const RequestId &request)
{
    for (std::vector<TurnBody>::const_reverse_iterator turn = chain.turns_.rbegin(); turn != chain.turns_.rend();
         ++turn) {
        if (turn->requestId_ == request) {
            return &*turn;
        }
    }
    return nullptr;
}

json toJson(const TreeState &tree)
{
    json chains = json::array();
    for (const std::pair<const ProgramId, ChainState> &entry : tree.chains_) {
        chains.push_back(chainToJson(entry.second));
    }
    return {{"root", tree.root_.value()},
            {"account", tree.account_.value()},
            {"create_request", tree.createRequest_.value()},
            {"owner", tree.owner_.value()},
            {"fencing", tree.fencing_},
            {"budget", spendToJson(tree.budget_)},
            {"spent", spendToJson(tree.spent_)},
            {"reserved", spendToJson(tree.reserved_)},
            {"last_time_us", tree.lastTime_.count()},
            {"last_offset", tree.lastOffset_},
            {"chains", std::move(chains)}};
}

std::optional<TreeState> treeFromJson(const json &value)
{
    TreeState tree;
    // The log is external input: a malformed state must not terminate the process.
    try {
        if (!readTree(value, tree)) {
            return std::nullopt;
        }
    } catch (const json::exception &) {
        return std::nullopt;
    }
    return tree;
}

CallAnswer answerOf(const ProgramId &program, const TurnBody &turn)
{
    CallAnswer answer;
    answer.requestId_ = turn.requestId_;
    answer.program_ = program;
    answer.body_ = turn.answer_;
    answer.usage_ = turn.usage_;
    answer.replayed_ = true;
    if (turn.status_ == TurnStatus::Unknown) {
        Failure failure;
        failure.type_ = FailureType::OutcomeUnknown;
        failure.detail_ = "the call was sent, or may have been sent, and its outcome is unknown";
        answer.failure_ = failure;
    } else if (turn.status_ == TurnStatus::Refused) {
        Failure failure;
        failure.type_ = turn.refusal_;
        failure.notRun_ = turn.refusalNotRun_;
        failure.detail_ = turn.answer_;
        answer.body_.clear();
        answer.failure_ = failure;
    }
    return answer;
}

} // namespace filbertgw
