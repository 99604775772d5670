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
/** Fields of requests and answers that nodes of ddb871d neither send nor read. */
const char *const reserveKey = "reserve"; ///< Outage reserve in tokens; in a request, that the node records one.
const char *const stateKey = "state"; ///< A replica is to keep the whole state of a program, and answers what it knows.
const char *const laterKey = "later"; ///< The granted turn is not the first one of its program.
const char *const endedKey = "ended"; ///< A turn that was granted without the store has ended.
/** In place of a writer: a first turn was reserved in the store without a claim, so that nobody may run it unrecorded.
 */
const char *const storeWriter = "store";
/** Programs whose outage reserve is released in one run, so that the messages are spread over some time. */
constexpr std::size_t maxReleases = 50;
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

nlohmann::json toJson(const std::vector<WriterSpending> &spending)
{
    nlohmann::json list = nlohmann::json::array();
    for (const WriterSpending &entry : spending) {
        list.push_back(toJson(entry));
    }
    return list;
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

BudgetController::BudgetController(BudgetControllerHooks hooks, PartitionedLedger &ledger)
    : hooks_(std::move(hooks))
    , ledger_(ledger)
    , claims_(hooks_.now_)
    , outagePrograms_(hooks_.now_)
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
        const std::optional<FleetMember> node = hooks_.nodes_.findAlive_(internal::nodeOfWriter(writer));
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
        undecided(optionsFor(turn, 0));
        return;
    }
    claimFirstTurn(turn, [this, turn, granted, undecided](const std::string &holder, std::uint64_t outageReserve) {
        ReservationOptions options = optionsFor(turn, outageReserve);
        options.mayRunUnrecorded_ = holder == ledger_.writer() && outageReserve == 0;
        if (options.mayRunUnrecorded_) {
            options.outageReserve_ = 0; // The coordinator knows that nothing was granted before.
        }
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
                                      const std::function<void(const std::string &, std::uint64_t)> &claimed)
{
    const std::optional<FleetMember> coordinator = hooks_.nodes_.coordinatorOf_(turn.program_);
    if (!coordinator) {
        claimed({}, openReserve(turn.program_));
        return;
    }
    if (hooks_.nodes_.isSelf_(*coordinator)) {
        claimed(decideClaimOrStore(turn, ledger_.writer()), openReserve(turn.program_));
        return;
    }
    const auto answered = [claimed](const std::optional<nlohmann::json> &answer) {
        const bool isAnswer = answer && answer->is_object() && internal::hasString(*answer, "holder");
        const bool hasReserve = isAnswer && internal::hasUnsigned(*answer, internal::reserveKey);
        claimed(isAnswer ? (*answer)["holder"].get<std::string>() : std::string(),
                hasReserve ? (*answer)[internal::reserveKey].get<std::uint64_t>() : 0);
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
    const bool knowsClaims =
        !hooks_.nodes_.mayMissGrants_() && hooks_.nodes_.hasCoordinated_(turn.program_, turn.repeatTime_);
    return knowsClaims ? claims_.claim(turn.program_, writer) : std::string();
}

std::string BudgetController::decideClaimOrStore(const TurnReservation &turn, const std::string &writer)
{
    const std::string holder = decideClaim(turn, writer);
    return holder.empty() ? claims_.claim(turn.program_, internal::storeWriter) : holder;
}

ReservationOptions BudgetController::optionsFor(const TurnReservation &turn, std::uint64_t outageReserve) const
{
    ReservationOptions options;
    options.outageReserve_ = outageReserve;
    if (hooks_.nodes_.mayMissGrants_()) {
        options.outageReserve_ = std::max(outageReserve, ProgramLedger::outageReserveOf(turn.budget_));
    }
    return options;
}

std::uint64_t BudgetController::openReserve(const std::string &program) const
{
    return outagePrograms_.contains(program) ? ledger_.ledgerOf(program).outageReserve(program) : 0;
}

void BudgetController::releaseFirstTurn(const std::string &program)
{
    const std::optional<FleetMember> coordinator = hooks_.nodes_.coordinatorOf_(program);
    if (!coordinator || hooks_.nodes_.isSelf_(*coordinator)) {
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
    return decideClaimOrStore(turn, writer);
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
    const auto refused = [this, turn, decided, response](HolderResponse result) {
        const bool isUndecided = std::max(result, response) == HolderResponse::Undecided;
        const BudgetDecision decision = isUndecided ? BudgetDecision::Unavailable : BudgetDecision::Exhausted;
        const ProgramLedger &ledger = ledger_.ledgerOf(turn.program_);
        hooks_.logEvent_("budget_refused",
                         {{"program", turn.clientProgram_},
                          {"budget", turn.budget_},
                          {"tokens", turn.tokens_},
                          {"spent", ledger.spent(turn.program_)},
                          {"own", ledger.own(turn.program_)},
                          {"decision", nameOf(decision)}});
        decided(BudgetGrant{decision, turn.program_, 0, {}});
    };
    // Also those whose recorded allowance is too small: unused tokens may have been returned to it since.
    requestFromHolders(ledger_.ledgerOf(turn.program_).formerAllowanceHolders(turn), turn, decided, refused);
}

void BudgetController::reserveAtPeer(const TurnReservation &turn, const Decided &decided)
{
    const std::optional<FleetMember> current = hooks_.nodes_.withCurrentLedger_(turn.program_);
    if (!current && !turn.isRootAgentTurn_) {
        decided(BudgetGrant{BudgetDecision::Unavailable, turn.program_, 0, {}});
        return;
    }
    const std::optional<FleetMember> chosen = current ? current : hooks_.nodes_.coordinatorOf_(turn.program_);
    if (!chosen) {
        decided(BudgetGrant{BudgetDecision::Unavailable, turn.program_, 0, {}});
        return;
    }
    if (hooks_.nodes_.isSelf_(*chosen)) {
        decideWithoutStore(turn, decided);
    } else {
        requestDecision(*chosen, turn, !current, decided);
    }
}

void BudgetController::decideWithoutStore(const TurnReservation &turn, const Decided &decided)
{
    ProgramLedger &ledger = ledger_.ledgerOf(turn.program_);
    const GrantBasis basis = basisWithoutStore(turn, ledger_.writer());
    const BudgetDecision decision =
        basis == GrantBasis::None ? BudgetDecision::Unavailable : ledger.reserveWithoutStore(turn);
    if (decision != BudgetDecision::Granted) {
        replicateToBackup(turn.program_, [decision, turn, decided] {
            decided(BudgetGrant{decision, turn.program_, 0, {}});
        });
        return;
    }
    if (basis == GrantBasis::Coordinator && mayOpen(turn.program_)) {
        ledger.setOutageReserve(turn.program_, ProgramLedger::outageReserveOf(turn.budget_));
        outagePrograms_.add(turn.program_);
    }
    confirmWithReplicas(turn, ledger_.writer(), basis, [this, turn, basis, decided](bool confirmed) {
        if (!confirmed) {
            ledger_.ledgerOf(turn.program_).settle(turn.program_, turn.tokens_, 0);
        }
        const BudgetDecision decision = confirmed ? BudgetDecision::Granted : BudgetDecision::Unavailable;
        decided(BudgetGrant{decision, turn.program_, turn.tokens_, {}, basis});
    });
}

bool BudgetController::mayOpen(const std::string &program) const
{
    // While the ledger is empty, nodes that start after a loss could not tell that anything was granted.
    return hooks_.nodes_.maySpendReserves_() && ledger_.hasRecords() && ledger_.ledgerOf(program).knowsGrants();
}

GrantBasis BudgetController::basisWithoutStore(const TurnReservation &turn, const std::string &writer)
{
    if (hooks_.nodes_.mayMissGrants_()) {
        return GrantBasis::None;
    }
    const ProgramLedger &ledger = ledger_.ledgerOf(turn.program_);
    if (outagePrograms_.contains(turn.program_)) {
        const std::string running = outagePrograms_.runningWriter(turn.program_);
        const bool runs = !running.empty() && (running == ledger_.writer() || findAliveHolder({running}));
        const bool mayRun = !runs && ledger.outageReserve(turn.program_) > 0 && hooks_.nodes_.maySpendReserves_();
        return mayRun ? GrantBasis::Replicas : GrantBasis::None;
    }
    if (ledger.outageReserve(turn.program_) > 0) {
        return GrantBasis::None; // Charged for an earlier outage, or granted by a coordinator that this node missed.
    }
    return decideClaim(turn, writer) == writer ? GrantBasis::Coordinator : GrantBasis::None;
}

void BudgetController::confirmWithReplicas(const TurnReservation &turn,
                                           const std::string &writer,
                                           GrantBasis basis,
                                           const std::function<void(bool confirmed)> &done)
{
    if (!outagePrograms_.contains(turn.program_)) {
        replicateToBackup(turn.program_, [done] { done(true); });
        return;
    }
    outagePrograms_.beginTurn(turn.program_, writer);
    replicateState(turn.program_, [this, turn, writer, basis, done](bool acknowledged) {
        // What the replicas know has been merged, so that of two coordinators one sees the other's grant.
        const bool isWithin = ledger_.ledgerOf(turn.program_).isWithinReserve(turn);
        const bool confirmed = basis == GrantBasis::Coordinator || (acknowledged && isWithin);
        if (!confirmed) {
            outagePrograms_.endTurn(turn.program_, writer);
        }
        const char *const granted = basis == GrantBasis::Coordinator ? "first_turn" : "later_turn";
        hooks_.count_("outage_turns_total", confirmed ? granted : "refused");
        hooks_.logEvent_("budget_granted_by_replicas",
                         {{"program", turn.program_},
                          {"first_turn", basis == GrantBasis::Coordinator},
                          {"acknowledged", acknowledged},
                          {"granted", confirmed},
                          {"tokens", ledger_.ledgerOf(turn.program_).granted(turn.program_)},
                          {"reserve", ledger_.ledgerOf(turn.program_).outageReserve(turn.program_)}});
        done(confirmed);
    });
}

nlohmann::json BudgetController::stateOf(const std::string &program)
{
    return internal::toJson(ledger_.ledgerOf(program).spendingByWriter(program));
}

void BudgetController::replicateState(const std::string &program, const std::function<void(bool acknowledged)> &done)
{
    const std::size_t needed = hooks_.nodes_.copies_() - 1;
    const std::vector<FleetMember> replicas = hooks_.nodes_.successorsOf_(program, needed);
    if (needed == 0 || replicas.size() < needed) {
        done(needed == 0);
        return;
    }
    struct Progress
    {
        std::size_t pending_ = 0;
        bool acknowledged_ = true;
    };
    const auto progress = std::make_shared<Progress>(Progress{needed, true});
    const auto answered = [this, program, progress, done](const std::optional<nlohmann::json> &answer) {
        const bool isState = answer && answer->is_object() && answer->contains("spent");
        progress->acknowledged_ = progress->acknowledged_ && isState;
        if (isState) {
            applySpending(program, *answer);
        }
        if (--progress->pending_ == 0) {
            done(progress->acknowledged_);
        }
    };
    const nlohmann::json body = {{"program", program}, {"spent", stateOf(program)}, {internal::stateKey, true}};
    for (const FleetMember &replica : replicas) {
        hooks_.askPeer_(replica.linkAddress_, internal::spendingType, body, internal::spendingTimeout, answered);
    }
}

void BudgetController::reportEnd(const std::string &program)
{
    outagePrograms_.endTurn(program, ledger_.writer());
    const std::optional<FleetMember> coordinator = hooks_.nodes_.coordinatorOf_(program);
    if (!coordinator || hooks_.nodes_.isSelf_(*coordinator)) {
        return;
    }
    const nlohmann::json spent = internal::toJson(ledger_.ledgerOf(program).ownReport(program));
    hooks_.askPeer_(coordinator->linkAddress_,
                    internal::spendingType,
                    {{"program", program}, {"spent", spent}, {internal::endedKey, ledger_.writer()}},
                    internal::spendingTimeout,
                    [](const std::optional<nlohmann::json> &) {});
}

nlohmann::json BudgetController::applySpendingRequest(const std::string &program, const nlohmann::json &body)
{
    applySpending(program, body);
    if (internal::hasString(body, internal::endedKey)) {
        outagePrograms_.endTurn(program, body[internal::endedKey].get<std::string>());
    }
    nlohmann::json answer = {{"noted", true}};
    if (body.contains(internal::stateKey) && !hooks_.nodes_.mayMissGrants_()) {
        outagePrograms_.add(program);
        answer["spent"] = stateOf(program);
    }
    return answer;
}

void BudgetController::releaseReserves()
{
    outagePrograms_.expire();
    if (hooks_.nodes_.mayMissGrants_()) {
        outagePrograms_.clear(); // What is known of these programs may not be all.
        return;
    }
    std::size_t released = 0;
    for (const std::string &program : outagePrograms_.programs()) {
        const ProgramLedger &ledger = ledger_.ledgerOf(program);
        if (released >= internal::maxReleases || !ledger.isCurrent() || !ledger.isRecorded(program)) {
            continue;
        }
        if (ledger.outageReserve(program) == 0) {
            outagePrograms_.remove(program);
            continue;
        }
        const std::optional<FleetMember> coordinator = hooks_.nodes_.coordinatorOf_(program);
        if (!coordinator || !hooks_.nodes_.isSelf_(*coordinator)) {
            continue;
        }
        ++released;
        replicateState(program, [this, program](bool acknowledged) {
            ProgramLedger &known = ledger_.ledgerOf(program);
            if (acknowledged && known.isRecorded(program) && outagePrograms_.contains(program)) {
                hooks_.count_("outage_reserves_released_total", {});
                known.releaseOutageReserve(program);
                outagePrograms_.remove(program);
            }
        });
    }
}

void BudgetController::replicateToBackup(const std::string &program, const std::function<void()> &done)
{
    const std::optional<FleetMember> backup = hooks_.nodes_.backupCoordinatorOf_(program);
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
    const nlohmann::json spent = internal::toJson(spending);
    hooks_.askPeer_(member.linkAddress_,
                    internal::spendingType,
                    {{"program", program}, {"spent", spent}},
                    internal::spendingTimeout,
                    [done](const std::optional<nlohmann::json> &) { done(); });
}

void BudgetController::announceSpending(const std::string &program)
{
    const std::optional<FleetMember> coordinator = hooks_.nodes_.coordinatorOf_(program);
    if (coordinator && !hooks_.nodes_.isSelf_(*coordinator)) {
        // Only its own spending: of other writers the coordinator may have newer data.
        sendSpending(*coordinator, program, ledger_.ledgerOf(program).ownReport(program), [] {});
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
    ProgramLedger &ledger = ledger_.ledgerOf(turn.program_);
    const bool hadReserve = ledger.outageReserve(turn.program_) > 0;
    if (withClaim) {
        // Set before the turn is counted, so that no record of it can reach the store without the reserve.
        ledger.setOutageReserve(turn.program_, ProgramLedger::outageReserveOf(turn.budget_));
        body[internal::reserveKey] = ledger.outageReserve(turn.program_);
        // Counted before it is granted, so that each claim includes all turns that wait for a decision.
        ledger_.ledgerOf(turn.program_).addPending(turn.program_, turn.tokens_);
        body["claim"] = internal::toJson(ledger_.ledgerOf(turn.program_).ownSpending(turn.program_));
    }
    const auto answered =
        [this, member, turn, withClaim, hadReserve, decided](const std::optional<nlohmann::json> &answer) {
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
            const bool hasReserve = answer && answer->is_object() && answer->contains(internal::reserveKey);
            ProgramLedger &ledger = ledger_.ledgerOf(turn.program_);
            if (withClaim && !hadReserve && !hasReserve && (answer || ledger.own(turn.program_) == 0)) {
                ledger.dropUnsentReserve(turn.program_);
            }
            BudgetGrant grant{decision, turn.program_, turn.tokens_, member.linkAddress_, GrantBasis::Peer};
            if (isOwnReservation) {
                grant.holder_.clear();
                const bool isLater = answer->contains(internal::laterKey);
                grant.basis_ = isLater ? GrantBasis::Replicas : GrantBasis::Coordinator;
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
        if (grant.basis_ == GrantBasis::Coordinator || grant.basis_ == GrantBasis::Replicas) {
            reportEnd(grant.program_);
        } else if (!ledger_.ledgerOf(grant.program_).isCurrent()) {
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
                                     bool recordsReserve,
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
        hooks_.nodes_.withCurrentLedger_(turn.program_) ? std::nullopt : hooks_.nodes_.coordinatorOf_(turn.program_);
    const bool isCoordinator = coordinator && hooks_.nodes_.isSelf_(*coordinator);
    const bool mayDecide = isCoordinator && turn.isRootAgentTurn_ && claim;
    if (!mayDecide) {
        answer({{"decision", nameOf(BudgetDecision::Unavailable)}, {"durable", false}});
        return;
    }
    grantToPeer(turn, *claim, recordsReserve, answer);
}

void BudgetController::grantToPeer(const TurnReservation &turn,
                                   const WriterSpending &claim,
                                   bool recordsReserve,
                                   const std::function<void(const nlohmann::json &)> &answer)
{
    ProgramLedger &ledger = ledger_.ledgerOf(turn.program_);
    const GrantBasis basis = basisWithoutStore(turn, claim.writer_);
    // A node of ddb871d would record its part without the reserve.
    const bool mayRun = basis == GrantBasis::Coordinator || (basis == GrantBasis::Replicas && recordsReserve);
    const BudgetDecision decision = mayRun ? ledger.decideForPeer(turn, claim) : BudgetDecision::Unavailable;
    nlohmann::json reply = {{"decision", nameOf(decision)}, {"durable", false}};
    if (decision != BudgetDecision::Granted) {
        if (openReserve(turn.program_) > 0) {
            reply[internal::reserveKey] = openReserve(turn.program_);
        }
        answer(reply);
        return;
    }
    if (basis == GrantBasis::Coordinator && recordsReserve && mayOpen(turn.program_)) {
        ledger.setOutageReserve(turn.program_, ProgramLedger::outageReserveOf(turn.budget_));
        outagePrograms_.add(turn.program_);
    }
    confirmWithReplicas(turn, claim.writer_, basis, [this, turn, claim, basis, answer](bool confirmed) {
        if (!confirmed) {
            ledger_.ledgerOf(turn.program_).revokeForPeer(turn, claim);
        }
        const BudgetDecision decision = confirmed ? BudgetDecision::Granted : BudgetDecision::Unavailable;
        nlohmann::json reply = {{"decision", nameOf(decision)}, {"durable", false}};
        if (openReserve(turn.program_) > 0) {
            reply[internal::reserveKey] = openReserve(turn.program_);
        }
        if (basis == GrantBasis::Replicas) {
            reply[internal::laterKey] = true;
        }
        answer(reply);
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
        nlohmann::json reply = {{"holder", applyClaim(program, body)}};
        if (openReserve(program) > 0) {
            reply[internal::reserveKey] = openReserve(program);
        }
        answer(reply);
        return true;
    }
    if (type == internal::allowanceType) {
        answer(grantFromAllowance(program, body));
        return true;
    }
    if (type == internal::spendingType) {
        answer(applySpendingRequest(program, body));
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
    decideForPeer(turn, claim, body.contains(internal::reserveKey), answer);
    return true;
}

} // namespace filbertgw
