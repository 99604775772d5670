#include "gateway/budgetcontroller.h"

namespace filbertgw {

namespace internal {
namespace {

const char *const reserveType = "budget_reserve";
const char *const noteType = "budget_note";
const char *const settleType = "budget_settle";
const char *const allowanceType = "budget_allowance";
/** Longest time that a turn waits for the holder of an allowance. */
constexpr Duration allowanceTimeout{300'000};
/** Longest time that a turn waits for another node's decision. */
constexpr Duration askTimeout{900'000};
/** Longest time that a grant waits until the next node in line knows of it. */
constexpr Duration noteTimeout{150'000};

BudgetDecision decisionIn(const std::optional<nlohmann::json> &answer)
{
    if (!answer || !answer->is_object() || !answer->contains("decision") || !(*answer)["decision"].is_string()) {
        return BudgetDecision::Unavailable;
    }
    return valueOf<BudgetDecision>((*answer)["decision"].get<std::string>()).value_or(BudgetDecision::Unavailable);
}

/** \brief Name of the node in that of a writer, which ends with the number of its incarnation. */
std::string nodeOf(const std::string &writer)
{
    return writer.substr(0, writer.rfind('.'));
}

/** \brief True if the other node has reserved the tokens itself, in the store. */
bool isDurable(const nlohmann::json &answer)
{
    return answer.contains("durable") && answer["durable"] == true;
}

bool isNumber(const nlohmann::json &body, const char *name)
{
    return body.contains(name) && body[name].is_number_unsigned();
}

bool isText(const nlohmann::json &body, const char *name)
{
    return body.contains(name) && body[name].is_string();
}

nlohmann::json toJson(const WriterSpending &spending)
{
    return {{"writer", spending.writer_},
            {"tokens", spending.tokens_},
            {"recorded", spending.recorded_},
            {"group", spending.batch_},
            {"claim", spending.version_}};
}

std::optional<WriterSpending> spendingIn(const nlohmann::json &body)
{
    const bool isComplete = body.is_object() && isText(body, "writer") && isNumber(body, "tokens")
        && isNumber(body, "recorded") && isNumber(body, "group") && isNumber(body, "claim");
    if (!isComplete) {
        return std::nullopt;
    }
    return WriterSpending{body["writer"].get<std::string>(),
                          body["tokens"].get<std::uint64_t>(),
                          body["recorded"].get<std::uint64_t>(),
                          body["group"].get<std::uint64_t>(),
                          body["claim"].get<std::uint64_t>()};
}

} // namespace
} // namespace internal

BudgetController::BudgetController(BudgetControllerHooks hooks, PartitionedLedger &ledger, Fleet &fleet)
    : hooks_(std::move(hooks))
    , ledger_(ledger)
    , fleet_(fleet)
{
}

void BudgetController::reserve(const TurnReservation &turn, std::function<void(const BudgetGrant &)> decided)
{
    if (ledger_.ledgerOf(turn.program_).takeAllowance(turn)) {
        decided(BudgetGrant{BudgetDecision::Granted, turn.program_, turn.tokens_, {}});
        return;
    }
    const std::optional<AllowanceHolder> holder = livingOf(ledger_.ledgerOf(turn.program_).allowanceHolders(turn));
    if (!holder) {
        reserveInStore(turn, HolderState::NotAsked, decided);
        return;
    }
    askHolder(
        *holder, turn, decided, [this, turn, decided](HolderState state) { reserveInStore(turn, state, decided); });
}

/** Finds the first of several writers that is a living node. */
std::optional<BudgetController::AllowanceHolder>
BudgetController::livingOf(const std::vector<std::string> &writers) const
{
    for (const std::string &writer : writers) {
        const std::optional<FleetMember> node = fleet_.aliveNode(internal::nodeOf(writer));
        if (node && goneWriters_.count(writer) == 0) {
            return AllowanceHolder{writer, *node};
        }
    }
    return std::nullopt;
}

void BudgetController::askHolder(const AllowanceHolder &holder,
                                 const TurnReservation &turn,
                                 const Decided &granted,
                                 const std::function<void(HolderState)> &refused)
{
    const nlohmann::json body = {{"program", turn.program_}, {"tokens", turn.tokens_}, {"holder", holder.writer_}};
    const auto answered = [this, holder, turn, granted, refused](const std::optional<nlohmann::json> &answer) {
        if (internal::decisionIn(answer) == BudgetDecision::Granted) {
            granted(BudgetGrant{BudgetDecision::Granted, turn.program_, turn.tokens_, holder.node_.linkAddress_});
            return;
        }
        const bool isGone = answer && answer->is_object() && answer->contains("gone");
        if (isGone) {
            goneWriters_.insert(holder.writer_);
        }
        hooks_.logEvent_("allowance_refused",
                         {{"program", turn.program_},
                          {"peer", holder.node_.name_},
                          {"answered", answer.has_value()},
                          {"gone", isGone}});
        const bool isPending = answer && answer->is_object() && answer->contains("pending");
        refused(answer && !isPending ? HolderState::Refused : HolderState::Undecided);
    };
    hooks_.askPeer_(holder.node_.linkAddress_, internal::allowanceType, body, internal::allowanceTimeout, answered);
}

void BudgetController::reserveInStore(const TurnReservation &turn, HolderState holder, const Decided &decided)
{
    if (!ledger_.ledgerOf(turn.program_).isCurrent()) {
        reserveElsewhere(turn, decided);
        return;
    }
    // Sub-agents run side by side: each of several nodes would reserve ahead, and together more than the budget holds.
    const bool mayAcquire = turn.mainLine_ && holder != HolderState::Undecided;
    ledger_.ledgerOf(turn.program_).reserve(turn, mayAcquire, [this, turn, holder, decided](BudgetDecision made) {
        if (made == BudgetDecision::Exhausted) {
            refuse(turn, holder, decided);
        } else if (made == BudgetDecision::Unavailable) {
            reserveElsewhere(turn, decided);
        } else {
            decided(BudgetGrant{made, turn.program_, turn.tokens_, {}});
        }
    });
}

/** Refuses a turn that does not fit, unless the holder of an allowance still has tokens for it. */
void BudgetController::refuse(const TurnReservation &turn, HolderState holder, const Decided &decided)
{
    const std::optional<AllowanceHolder> former = holder == HolderState::NotAsked
        ? livingOf(ledger_.ledgerOf(turn.program_).formerAllowanceHolders(turn))
        : std::nullopt;
    if (former) {
        askHolder(*former, turn, decided, [this, turn, decided](HolderState state) { refuse(turn, state, decided); });
        return;
    }
    const BudgetDecision made =
        holder == HolderState::Undecided ? BudgetDecision::Unavailable : BudgetDecision::Exhausted;
    decided(BudgetGrant{made, turn.program_, 0, {}});
}

void BudgetController::reserveElsewhere(const TurnReservation &turn, const Decided &decided)
{
    const std::optional<FleetMember> current = fleet_.currentNode(turn.program_);
    if (!current && !turn.mainLine_) {
        decided(BudgetGrant{BudgetDecision::Unavailable, turn.program_, 0, {}});
        return;
    }
    const std::optional<FleetMember> chosen = current ? current : fleet_.homeOf(turn.program_);
    if (!chosen) {
        decided(BudgetGrant{BudgetDecision::Unavailable, turn.program_, 0, {}});
        return;
    }
    if (fleet_.isSelf(*chosen)) {
        decideAlone(turn, decided);
    } else {
        ask(*chosen, turn, !current, decided);
    }
}

void BudgetController::decideAlone(const TurnReservation &turn, const Decided &decided)
{
    const BudgetDecision made = ledger_.ledgerOf(turn.program_).reserveWithoutStore(turn);
    tellWitness(turn.program_, [made, turn, decided] { decided(BudgetGrant{made, turn.program_, turn.tokens_, {}}); });
}

/** Tells the node that decides next, should this one die before the store is back, what has been spent. */
void BudgetController::tellWitness(const std::string &program, const std::function<void()> &then)
{
    const std::optional<FleetMember> witness = fleet_.witnessOf(program);
    if (!witness) {
        then();
        return;
    }
    sendNote(*witness, program, ledger_.ledgerOf(program).spendingByWriter(program), then);
}

void BudgetController::sendNote(const FleetMember &member,
                                const std::string &program,
                                const std::vector<WriterSpending> &spending,
                                const std::function<void()> &then)
{
    nlohmann::json spent = nlohmann::json::array();
    for (const WriterSpending &entry : spending) {
        spent.push_back(internal::toJson(entry));
    }
    hooks_.askPeer_(member.linkAddress_,
                    internal::noteType,
                    {{"program", program}, {"spent", spent}},
                    internal::noteTimeout,
                    [then](const std::optional<nlohmann::json> &) { then(); });
}

void BudgetController::announceSpending(const std::string &program)
{
    const std::optional<FleetMember> home = fleet_.homeOf(program);
    if (home && !fleet_.isSelf(*home)) {
        // Of others this node may know less than the receiver does.
        sendNote(*home, program, {ledger_.ledgerOf(program).ownSpending(program)}, [] {});
    } else if (home) {
        tellWitness(program, [] {});
    }
}

/** Asks a node that reserves in the store, or the one that decides without it, which \p claims. */
void BudgetController::ask(const FleetMember &member, const TurnReservation &turn, bool claims, const Decided &decided)
{
    nlohmann::json body = {
        {"program", turn.program_}, {"budget", turn.budget_}, {"tokens", turn.tokens_}, {"main_line", turn.mainLine_}};
    if (claims) {
        // Counted before it is granted, so that each claim contains the turns that wait for the answer to another.
        ledger_.ledgerOf(turn.program_).addPending(turn.program_, turn.tokens_);
        body["claim"] = internal::toJson(ledger_.ledgerOf(turn.program_).ownSpending(turn.program_));
    }
    const auto answered = [this, member, turn, claims, decided](const std::optional<nlohmann::json> &answer) {
        const BudgetDecision made = internal::decisionIn(answer);
        hooks_.logEvent_("budget_asked",
                         {{"program", turn.program_},
                          {"peer", member.name_},
                          {"answered", answer.has_value()},
                          {"decision", nameOf(made)}});
        const bool isOurs = made == BudgetDecision::Granted && !internal::isDurable(*answer);
        if (claims && !isOurs) {
            ledger_.ledgerOf(turn.program_).settle(turn.program_, turn.tokens_, 0);
        }
        decided(BudgetGrant{made, turn.program_, turn.tokens_, isOurs ? std::string() : member.linkAddress_});
    };
    hooks_.askPeer_(member.linkAddress_, internal::reserveType, body, internal::askTimeout, answered);
}

void BudgetController::settle(const BudgetGrant &grant, std::uint64_t used)
{
    if (grant.decision_ != BudgetDecision::Granted) {
        return;
    }
    if (grant.holder_.empty()) {
        ledger_.ledgerOf(grant.program_).settle(grant.program_, grant.tokens_, used);
        if (!ledger_.ledgerOf(grant.program_).isCurrent()) {
            announceSpending(grant.program_);
        }
        return;
    }
    const nlohmann::json body = {{"program", grant.program_}, {"reserved", grant.tokens_}, {"used", used}};
    // Without an answer the reservation stands, which errs on the safe side.
    hooks_.askPeer_(
        grant.holder_, internal::settleType, body, internal::askTimeout, [](const std::optional<nlohmann::json> &) {});
}

/** Decides for a node that has lost the store. */
void BudgetController::decideForOthers(const TurnReservation &turn,
                                       const std::optional<WriterSpending> &claim,
                                       const std::function<void(const nlohmann::json &)> &answer)
{
    if (ledger_.ledgerOf(turn.program_).isCurrent()) {
        ledger_.ledgerOf(turn.program_).reserve(turn, turn.mainLine_, [answer](BudgetDecision made) {
            answer({{"decision", nameOf(made)}, {"durable", true}});
        });
        return;
    }
    const std::optional<FleetMember> home =
        fleet_.currentNode(turn.program_) ? std::nullopt : fleet_.homeOf(turn.program_);
    const bool isHome = home && fleet_.isSelf(*home);
    if (!isHome || !turn.mainLine_ || !claim) {
        answer({{"decision", nameOf(BudgetDecision::Unavailable)}, {"durable", false}});
        return;
    }
    const BudgetDecision made = ledger_.ledgerOf(turn.program_).decideForPeer(turn, *claim);
    tellWitness(turn.program_, [made, answer] { answer({{"decision", nameOf(made)}, {"durable", false}}); });
}

void BudgetController::takeNote(const std::string &program, const nlohmann::json &body)
{
    if (!body.contains("spent") || !body["spent"].is_array()) {
        return;
    }
    for (const nlohmann::json &entry : body["spent"]) {
        if (const std::optional<WriterSpending> spending = internal::spendingIn(entry)) {
            ledger_.ledgerOf(program).applyGrant(program, *spending);
        }
    }
}

/** Grants a turn of another node from this node's allowance. */
nlohmann::json BudgetController::grantFromAllowance(const std::string &program, const nlohmann::json &body)
{
    if (!internal::isNumber(body, "tokens") || !internal::isText(body, "holder")) {
        return {};
    }
    if (body["holder"] != ledger_.writer()) {
        // Asked for is a former incarnation of this node.
        return {{"decision", nameOf(BudgetDecision::Unavailable)}, {"gone", true}};
    }
    TurnReservation turn;
    turn.program_ = program;
    turn.tokens_ = body["tokens"].get<std::uint64_t>();
    if (ledger_.ledgerOf(turn.program_).takeAllowance(turn)) {
        return {{"decision", nameOf(BudgetDecision::Granted)}};
    }
    nlohmann::json refusal = {{"decision", nameOf(BudgetDecision::Unavailable)}};
    if (ledger_.ledgerOf(program).hasPendingAllowance(program)) {
        refusal["pending"] = true;
    }
    return refusal;
}

bool BudgetController::onPeerRequest(const std::string &type,
                                     const nlohmann::json &body,
                                     const std::function<void(const nlohmann::json &)> &answer)
{
    const bool isKnown = type == internal::reserveType || type == internal::settleType || type == internal::noteType
        || type == internal::allowanceType;
    if (!isKnown) {
        return false;
    }
    if (!body.is_object() || !internal::isText(body, "program")) {
        answer({});
        return true;
    }
    const std::string program = body["program"].get<std::string>();
    if (type == internal::settleType) {
        if (internal::isNumber(body, "reserved") && internal::isNumber(body, "used")) {
            ledger_.ledgerOf(program).settle(
                program, body["reserved"].get<std::uint64_t>(), body["used"].get<std::uint64_t>());
        }
        answer({{"settled", true}});
        return true;
    }
    if (type == internal::allowanceType) {
        answer(grantFromAllowance(program, body));
        return true;
    }
    if (type == internal::noteType) {
        takeNote(program, body);
        answer({{"noted", true}});
        return true;
    }
    const bool isComplete = internal::isNumber(body, "budget") && internal::isNumber(body, "tokens")
        && body.contains("main_line") && body["main_line"].is_boolean();
    if (!isComplete) {
        answer({});
        return true;
    }
    const TurnReservation turn{program,
                               body["budget"].get<std::uint64_t>(),
                               body["tokens"].get<std::uint64_t>(),
                               body["main_line"].get<bool>()};
    const std::optional<WriterSpending> claim =
        body.contains("claim") ? internal::spendingIn(body["claim"]) : std::nullopt;
    decideForOthers(turn, claim, answer);
    return true;
}

} // namespace filbertgw
