#include "ledger/budgetcontroller.h"

#include <algorithm>

namespace filbertgw {

namespace internal {
namespace {

const char *const reserveType = "budget_reserve";
const char *const spendingType = "budget_note";
const char *const claimType = "budget_first_turn";
const char *const settleType = "budget_settle";
const char *const allowanceType = "budget_allowance";
const char *const repeatTimeKey = "repeat_ms"; ///< Nodes of the version before do not send it.
/** Limit on the wait for the holder of an allowance. */
constexpr Duration allowanceTimeout{300'000};
/** Limit on the wait for the coordinator's answer to a claim; without one the turn waits for its record. */
constexpr Duration claimTimeout{150'000};
/** Limit on the wait for another node's decision. */
constexpr Duration decisionTimeout{900'000};
/** Limit on the wait for the backup coordinator; a grant is given without its acknowledgement after this. */
constexpr Duration spendingTimeout{150'000};

BudgetDecision decodeDecision(const std::optional<nlohmann::json> &answer)
{
    if (!answer || !answer->is_object() || !answer->contains("decision") || !(*answer)["decision"].is_string()) {
        return BudgetDecision::Unavailable;
    }
    return valueOf<BudgetDecision>((*answer)["decision"].get<std::string>()).value_or(BudgetDecision::Unavailable);
}

/** \brief Node name of a writer, whose name is `NODE.INCARNATION`. */
std::string nodeOfWriter(const std::string &writer)
{
    return writer.substr(0, writer.rfind('.'));
}

/** \brief True if the answering node has reserved the tokens itself in the store. */
bool isDurable(const nlohmann::json &answer)
{
    return answer.contains("durable") && answer["durable"] == true;
}

bool hasUnsigned(const nlohmann::json &body, const char *name)
{
    return body.contains(name) && body[name].is_number_unsigned();
}

bool hasString(const nlohmann::json &body, const char *name)
{
    return body.contains(name) && body[name].is_string();
}

std::uint64_t milliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count())) / 1'000;
}

Duration decodeRepeatTime(const nlohmann::json &body)
{
    if (!hasUnsigned(body, repeatTimeKey)) {
        return TurnReservation::maxRepeatTime;
    }
    constexpr std::uint64_t most = TurnReservation::maxRepeatTime.count() / 1'000;
    return std::chrono::milliseconds(std::min(body[repeatTimeKey].get<std::uint64_t>(), most));
}

nlohmann::json toJson(const WriterSpending &spending)
{
    return {{"writer", spending.writer_},
            {"tokens", spending.tokens_},
            {"recorded", spending.recorded_},
            {"group", spending.batch_},
            {"claim", spending.version_}};
}

std::optional<WriterSpending> decodeSpending(const nlohmann::json &body)
{
    const bool isComplete = body.is_object() && hasString(body, "writer") && hasUnsigned(body, "tokens")
        && hasUnsigned(body, "recorded") && hasUnsigned(body, "group") && hasUnsigned(body, "claim");
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

BudgetController::BudgetController(BudgetControllerHooks hooks, Clock now, PartitionedLedger &ledger, Fleet &fleet)
    : hooks_(std::move(hooks))
    , ledger_(ledger)
    , fleet_(fleet)
    , claims_(std::move(now))
{
}

void BudgetController::reserve(const TurnReservation &turn, std::function<void(const BudgetGrant &)> decided)
{
    if (ledger_.ledgerOf(turn.program_).takeAllowance(turn)) {
        decided(BudgetGrant{BudgetDecision::Granted, turn.program_, turn.tokens_, {}, GrantBasis::Allowance});
        return;
    }
    requestFromHolders(ledger_.ledgerOf(turn.program_).allowanceHolders(turn),
                       turn,
                       decided,
                       [this, turn, decided](HolderResponse result) { reserveInStore(turn, result, decided); });
}

void BudgetController::requestFromHolders(const std::vector<std::string> &writers,
                                          const TurnReservation &turn,
                                          const Decided &granted,
                                          const std::function<void(HolderResponse)> &refused,
                                          HolderResponse response)
{
    const auto isAlive = [this](const std::string &writer) { return findAliveHolder({writer}).has_value(); };
    const auto next = std::find_if(writers.begin(), writers.end(), isAlive);
    if (next == writers.end()) {
        refused(response);
        return;
    }
    const std::vector<std::string> others(next + 1, writers.end());
    const auto tryOthers = [this, others, turn, granted, refused, response](HolderResponse result) {
        const HolderResponse worst = std::max(result, response);
        requestFromHolders(others, turn, granted, refused, worst);
    };
    requestFromHolder(*findAliveHolder({*next}), turn, granted, tryOthers);
}

std::optional<BudgetController::AllowanceHolder>
BudgetController::findAliveHolder(const std::vector<std::string> &writers) const
{
    for (const std::string &writer : writers) {
        const std::optional<FleetMember> node = fleet_.findAlive(internal::nodeOfWriter(writer));
        if (node && endedWriters_.count(writer) == 0) {
            return AllowanceHolder{writer, *node};
        }
    }
    return std::nullopt;
}

void BudgetController::requestFromHolder(const AllowanceHolder &holder,
                                         const TurnReservation &turn,
                                         const Decided &granted,
                                         const std::function<void(HolderResponse)> &refused)
{
    const nlohmann::json body = {{"program", turn.program_},
                                 {"tokens", turn.tokens_},
                                 {"budget", turn.budget_},
                                 {"main_line", turn.isRootAgentTurn_},
                                 {"holder", holder.writer_}};
    const auto answered = [this, holder, turn, granted, refused](const std::optional<nlohmann::json> &answer) {
        if (internal::decodeDecision(answer) == BudgetDecision::Granted) {
            granted(BudgetGrant{BudgetDecision::Granted,
                                turn.program_,
                                turn.tokens_,
                                holder.node_.linkAddress_,
                                GrantBasis::PeerAllowance});
            return;
        }
        const bool hasEnded = answer && answer->is_object() && answer->contains("gone");
        if (hasEnded) {
            endedWriters_.insert(holder.writer_);
        }
        hooks_.logEvent_("allowance_refused",
                         {{"program", turn.clientProgram_},
                          {"peer", holder.node_.name_},
                          {"answered", answer.has_value()},
                          {"gone", hasEnded}});
        const bool isPending = answer && answer->is_object() && answer->contains("pending");
        refused(answer && !isPending ? HolderResponse::Refused : HolderResponse::Undecided);
    };
    hooks_.askPeer_(holder.node_.linkAddress_, internal::allowanceType, body, internal::allowanceTimeout, answered);
}

void BudgetController::reserveInStore(const TurnReservation &turn, HolderResponse response, const Decided &decided)
{
    if (!ledger_.ledgerOf(turn.program_).isCurrent()) {
        reserveAtPeer(turn, decided);
        return;
    }
    decideAheadOfRecord(turn, decided, [this, turn, response, decided](ReservationOptions options) {
        // Sub-agents run concurrently through several nodes, whose allowances together would use up the budget.
        options.mayAcquireAllowance_ = turn.isRootAgentTurn_ && response != HolderResponse::Undecided;
        reserveInLedger(turn, options, response, decided);
    });
}

void BudgetController::decideAheadOfRecord(const TurnReservation &turn,
                                           const Decided &granted,
                                           const std::function<void(ReservationOptions)> &undecided)
{
    if (!ledger_.ledgerOf(turn.program_).isFirstTurn(turn)) {
        undecided(ReservationOptions());
        return;
    }
    claimFirstTurn(turn, [this, turn, granted, undecided](const std::string &holder) {
        ReservationOptions options;
        options.mayRunUnrecorded_ = holder == ledger_.writer();
        const std::optional<AllowanceHolder> other =
            holder.empty() || options.mayRunUnrecorded_ ? std::nullopt : findAliveHolder({holder});
        if (!other) {
            undecided(options);
            return;
        }
        requestFromHolder(*other, turn, granted, [undecided, options](HolderResponse) { undecided(options); });
    });
}

void BudgetController::claimFirstTurn(const TurnReservation &turn,
                                      const std::function<void(const std::string &holder)> &claimed)
{
    const std::optional<FleetMember> coordinator = fleet_.coordinatorOf(turn.program_);
    if (!coordinator) {
        claimed({});
        return;
    }
    if (fleet_.isSelf(*coordinator)) {
        claimed(decideClaim(turn, ledger_.writer()));
        return;
    }
    const auto answered = [claimed](const std::optional<nlohmann::json> &answer) {
        const bool isAnswer = answer && answer->is_object() && internal::hasString(*answer, "holder");
        claimed(isAnswer ? (*answer)["holder"].get<std::string>() : std::string());
    };
    hooks_.askPeer_(coordinator->linkAddress_,
                    internal::claimType,
                    {{"program", turn.program_},
                     {"writer", ledger_.writer()},
                     {internal::repeatTimeKey, internal::milliseconds(turn.repeatTime_)}},
                    internal::claimTimeout,
                    answered);
}

std::string BudgetController::decideClaim(const TurnReservation &turn, const std::string &writer)
{
    const std::string holder = claims_.holderOf(turn.program_);
    if (!holder.empty()) {
        return holder;
    }
    // An earlier claim may have been made at another node, or at this one before it started.
    const bool knowsClaims = fleet_.hasCoordinated(turn.program_, turn.repeatTime_);
    return knowsClaims ? claims_.claim(turn.program_, writer) : std::string();
}

void BudgetController::releaseFirstTurn(const std::string &program)
{
    const std::optional<FleetMember> coordinator = fleet_.coordinatorOf(program);
    if (!coordinator || fleet_.isSelf(*coordinator)) {
        claims_.release(program, ledger_.writer());
        return;
    }
    hooks_.askPeer_(coordinator->linkAddress_,
                    internal::claimType,
                    {{"program", program}, {"writer", ledger_.writer()}, {"release", true}},
                    internal::claimTimeout,
                    [](const std::optional<nlohmann::json> &) {});
}

std::string BudgetController::applyClaim(const std::string &program, const nlohmann::json &body)
{
    if (!internal::hasString(body, "writer")) {
        return {};
    }
    const std::string writer = body["writer"].get<std::string>();
    if (body.contains("release")) {
        claims_.release(program, writer);
        return {};
    }
    TurnReservation turn;
    turn.program_ = program;
    turn.repeatTime_ = internal::decodeRepeatTime(body);
    return decideClaim(turn, writer);
}

void BudgetController::reserveInLedger(const TurnReservation &turn,
                                       const ReservationOptions &options,
                                       HolderResponse response,
                                       const Decided &decided)
{
    ProgramLedger &ledger = ledger_.ledgerOf(turn.program_);
    const bool runsUnrecorded = options.mayRunUnrecorded_ && ledger.isFirstTurn(turn);
    const GrantBasis basis = runsUnrecorded ? GrantBasis::FirstTurn : GrantBasis::Store;
    const bool isClaimed = options.mayRunUnrecorded_;
    const auto reserved = [this, turn, response, basis, isClaimed, decided](BudgetDecision decision) {
        if (isClaimed && decision != BudgetDecision::Granted) {
            releaseFirstTurn(turn.program_);
        }
        if (decision == BudgetDecision::Exhausted) {
            refuse(turn, response, decided);
        } else if (decision == BudgetDecision::Unavailable) {
            reserveAtPeer(turn, decided);
        } else {
            decided(BudgetGrant{decision, turn.program_, turn.tokens_, {}, basis});
        }
    };
    ledger.reserve(turn, options, reserved);
}

void BudgetController::refuse(const TurnReservation &turn, HolderResponse response, const Decided &decided)
{
    const auto refused = [turn, decided, response](HolderResponse result) {
        const bool isUndecided = std::max(result, response) == HolderResponse::Undecided;
        const BudgetDecision decision = isUndecided ? BudgetDecision::Unavailable : BudgetDecision::Exhausted;
        decided(BudgetGrant{decision, turn.program_, 0, {}});
    };
    // Also those whose recorded allowance is too small: unused tokens may have been returned to it since.
    requestFromHolders(ledger_.ledgerOf(turn.program_).formerAllowanceHolders(turn), turn, decided, refused);
}

void BudgetController::reserveAtPeer(const TurnReservation &turn, const Decided &decided)
{
    const std::optional<FleetMember> current = fleet_.nodeWithCurrentLedger(turn.program_);
    if (!current && !turn.isRootAgentTurn_) {
        decided(BudgetGrant{BudgetDecision::Unavailable, turn.program_, 0, {}});
        return;
    }
    const std::optional<FleetMember> chosen = current ? current : fleet_.coordinatorOf(turn.program_);
    if (!chosen) {
        decided(BudgetGrant{BudgetDecision::Unavailable, turn.program_, 0, {}});
        return;
    }
    if (fleet_.isSelf(*chosen)) {
        decideWithoutStore(turn, decided);
    } else {
        requestDecision(*chosen, turn, !current, decided);
    }
}

void BudgetController::decideWithoutStore(const TurnReservation &turn, const Decided &decided)
{
    const bool isClaimed = decideClaim(turn, ledger_.writer()) == ledger_.writer();
    const BudgetDecision decision =
        isClaimed ? ledger_.ledgerOf(turn.program_).reserveWithoutStore(turn) : BudgetDecision::Unavailable;
    replicateToBackup(turn.program_, [decision, turn, decided] {
        decided(BudgetGrant{decision, turn.program_, turn.tokens_, {}, GrantBasis::Coordinator});
    });
}

void BudgetController::replicateToBackup(const std::string &program, const std::function<void()> &done)
{
    const std::optional<FleetMember> backup = fleet_.backupCoordinatorOf(program);
    if (!backup) {
        done();
        return;
    }
    sendSpending(*backup, program, ledger_.ledgerOf(program).spendingByWriter(program), done);
}

void BudgetController::sendSpending(const FleetMember &member,
                                    const std::string &program,
                                    const std::vector<WriterSpending> &spending,
                                    const std::function<void()> &done)
{
    nlohmann::json spent = nlohmann::json::array();
    for (const WriterSpending &entry : spending) {
        spent.push_back(internal::toJson(entry));
    }
    hooks_.askPeer_(member.linkAddress_,
                    internal::spendingType,
                    {{"program", program}, {"spent", spent}},
                    internal::spendingTimeout,
                    [done](const std::optional<nlohmann::json> &) { done(); });
}

void BudgetController::announceSpending(const std::string &program)
{
    const std::optional<FleetMember> coordinator = fleet_.coordinatorOf(program);
    if (coordinator && !fleet_.isSelf(*coordinator)) {
        // Only its own spending: of other writers the coordinator may have newer data.
        sendSpending(*coordinator, program, {ledger_.ledgerOf(program).ownSpending(program)}, [] {});
    } else if (coordinator) {
        replicateToBackup(program, [] {});
    }
}

void BudgetController::requestDecision(const FleetMember &member,
                                       const TurnReservation &turn,
                                       bool withClaim,
                                       const Decided &decided)
{
    nlohmann::json body = {{"program", turn.program_},
                           {"budget", turn.budget_},
                           {"tokens", turn.tokens_},
                           {"main_line", turn.isRootAgentTurn_},
                           {internal::repeatTimeKey, internal::milliseconds(turn.repeatTime_)}};
    if (withClaim) {
        // Counted before it is granted, so that each claim includes all turns that wait for a decision.
        ledger_.ledgerOf(turn.program_).addPending(turn.program_, turn.tokens_);
        body["claim"] = internal::toJson(ledger_.ledgerOf(turn.program_).ownSpending(turn.program_));
    }
    const auto answered = [this, member, turn, withClaim, decided](const std::optional<nlohmann::json> &answer) {
        const BudgetDecision decision = internal::decodeDecision(answer);
        hooks_.logEvent_("budget_asked",
                         {{"program", turn.clientProgram_},
                          {"peer", member.name_},
                          {"answered", answer.has_value()},
                          {"decision", nameOf(decision)}});
        const bool isOwnReservation = decision == BudgetDecision::Granted && !internal::isDurable(*answer);
        if (withClaim && !isOwnReservation) {
            ledger_.ledgerOf(turn.program_).settle(turn.program_, turn.tokens_, 0);
        }
        BudgetGrant grant{decision, turn.program_, turn.tokens_, member.linkAddress_, GrantBasis::Peer};
        if (isOwnReservation) {
            grant.holder_.clear();
            grant.basis_ = GrantBasis::Coordinator;
        } else if (answer && answer->is_object() && internal::hasString(*answer, "holder")) {
            grant.holder_ = (*answer)["holder"].get<std::string>();
        }
        decided(grant);
    };
    hooks_.askPeer_(member.linkAddress_, internal::reserveType, body, internal::decisionTimeout, answered);
}

void BudgetController::settle(const BudgetGrant &grant, std::uint64_t used)
{
    if (grant.decision_ != BudgetDecision::Granted) {
        return;
    }
    const bool ranAheadOfRecord = grant.basis_ == GrantBasis::FirstTurn || grant.basis_ == GrantBasis::Coordinator;
    if (ranAheadOfRecord && used == 0) {
        releaseFirstTurn(grant.program_);
    }
    if (grant.holder_.empty()) {
        ledger_.ledgerOf(grant.program_).settle(grant.program_, grant.tokens_, used);
        if (!ledger_.ledgerOf(grant.program_).isCurrent()) {
            announceSpending(grant.program_);
        }
        return;
    }
    const nlohmann::json body = {{"program", grant.program_}, {"reserved", grant.tokens_}, {"used", used}};
    // If the request is lost the reservation stays: the budget is then undershot, never exceeded.
    hooks_.askPeer_(grant.holder_,
                    internal::settleType,
                    body,
                    internal::decisionTimeout,
                    [](const std::optional<nlohmann::json> &) {});
}

void BudgetController::decideForPeer(const TurnReservation &turn,
                                     const std::optional<WriterSpending> &claim,
                                     const std::function<void(const nlohmann::json &)> &answer)
{
    if (ledger_.ledgerOf(turn.program_).isCurrent()) {
        const Decided granted = [answer](const BudgetGrant &grant) {
            answer({{"decision", nameOf(grant.decision_)}, {"durable", true}, {"holder", grant.holder_}});
        };
        decideAheadOfRecord(turn, granted, [this, turn, answer](ReservationOptions options) {
            options.mayAcquireAllowance_ = turn.isRootAgentTurn_;
            const bool isClaimed = options.mayRunUnrecorded_;
            ledger_.ledgerOf(turn.program_)
                .reserve(turn, options, [this, turn, isClaimed, answer](BudgetDecision decision) {
                    if (isClaimed && decision != BudgetDecision::Granted) {
                        releaseFirstTurn(turn.program_);
                    }
                    answer({{"decision", nameOf(decision)}, {"durable", true}});
                });
        });
        return;
    }
    const std::optional<FleetMember> coordinator =
        fleet_.nodeWithCurrentLedger(turn.program_) ? std::nullopt : fleet_.coordinatorOf(turn.program_);
    const bool isCoordinator = coordinator && fleet_.isSelf(*coordinator);
    const bool mayDecide = isCoordinator && turn.isRootAgentTurn_ && claim;
    if (!mayDecide || decideClaim(turn, claim->writer_) != claim->writer_) {
        answer({{"decision", nameOf(BudgetDecision::Unavailable)}, {"durable", false}});
        return;
    }
    const BudgetDecision decision = ledger_.ledgerOf(turn.program_).decideForPeer(turn, *claim);
    replicateToBackup(turn.program_, [decision, answer] {
        answer({{"decision", nameOf(decision)}, {"durable", false}});
    });
}

void BudgetController::applySpending(const std::string &program, const nlohmann::json &body)
{
    if (!body.contains("spent") || !body["spent"].is_array()) {
        return;
    }
    for (const nlohmann::json &entry : body["spent"]) {
        if (const std::optional<WriterSpending> spending = internal::decodeSpending(entry)) {
            ledger_.ledgerOf(program).applyGrant(program, *spending);
        }
    }
}

nlohmann::json BudgetController::grantFromAllowance(const std::string &program, const nlohmann::json &body)
{
    if (!internal::hasUnsigned(body, "tokens") || !internal::hasString(body, "holder")) {
        return {};
    }
    if (body["holder"] != ledger_.writer()) {
        // The request is for an earlier incarnation of this node.
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
    const bool isKnown = type == internal::reserveType || type == internal::settleType || type == internal::spendingType
        || type == internal::allowanceType || type == internal::claimType;
    if (!isKnown) {
        return false;
    }
    if (!body.is_object() || !internal::hasString(body, "program")) {
        answer({});
        return true;
    }
    const std::string program = body["program"].get<std::string>();
    if (type == internal::settleType) {
        if (internal::hasUnsigned(body, "reserved") && internal::hasUnsigned(body, "used")) {
            ledger_.ledgerOf(program).settle(
                program, body["reserved"].get<std::uint64_t>(), body["used"].get<std::uint64_t>());
        }
        answer({{"settled", true}});
        return true;
    }
    if (type == internal::claimType) {
        answer({{"holder", applyClaim(program, body)}});
        return true;
    }
    if (type == internal::allowanceType) {
        answer(grantFromAllowance(program, body));
        return true;
    }
    if (type == internal::spendingType) {
        applySpending(program, body);
        answer({{"noted", true}});
        return true;
    }
    const bool isComplete = internal::hasUnsigned(body, "budget") && internal::hasUnsigned(body, "tokens")
        && body.contains("main_line") && body["main_line"].is_boolean();
    if (!isComplete) {
        answer({});
        return true;
    }
    const TurnReservation turn{program,
                               body["budget"].get<std::uint64_t>(),
                               body["tokens"].get<std::uint64_t>(),
                               body["main_line"].get<bool>(),
                               internal::decodeRepeatTime(body)};
    const std::optional<WriterSpending> claim =
        body.contains("claim") ? internal::decodeSpending(body["claim"]) : std::nullopt;
    decideForPeer(turn, claim, answer);
    return true;
}

} // namespace filbertgw
