#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr Duration shortWait = std::chrono::milliseconds(300);
/** Until the coordinators can't have forgotten a claim, so that the first turn of a program runs before its record. */
constexpr Duration claimsAreKnown = std::chrono::seconds(11);
constexpr std::size_t nodeCount = 5;

/** \brief Origin of the turns of a test. Without the store only turns of the root agent are granted. */
enum class TurnOrigin : std::uint8_t { SubAgents, RootAgent };

/** Enough for three turns of 300 tokens. */
constexpr std::uint64_t smallBudget = 1000;
/** Enough for seven turns of 300 tokens. */
constexpr std::uint64_t largeBudget = 2100;

/** \brief Sends one turn to each node at the same time. \return the number of turns that reached an engine. */
std::size_t sendToAllNodes(GatewayRig &rig,
                           const std::string &program,
                           const std::string &round,
                           TurnOrigin origin,
                           std::size_t firstNode = 0,
                           std::uint64_t budget = smallBudget)
{
    const std::size_t before = rig.attempts_.size();
    for (std::size_t node = firstNode; node < rig.nodes_.size(); ++node) {
        if (rig.nodes_[node]) {
            const std::string id = round + std::to_string(node);
            GatewayRequest request = turn(id, program, origin == TurnOrigin::RootAgent ? program : "sub-" + id);
            request.tokenBudget_ = budget;
            rig.send(node, std::move(request));
        }
    }
    rig.run(std::chrono::milliseconds(1200));
    return rig.attempts_.size() - before;
}

/** \brief Completes the attempts from \p first on with three events of 100 tokens, the maximum of a turn. */
void completeTurns(GatewayRig &rig, std::size_t first)
{
    for (std::size_t i = first; i < rig.attempts_.size(); ++i) {
        rig.stream(i, {"a", "b", "c"}, true);
    }
    rig.run(shortWait);
}

} // namespace

/** \brief State of the store while turns of one program arrive at all nodes at the same time. */
struct BudgetCase
{
    const char *name_;
    bool down_;
    std::size_t refusedNodes_;
    std::uint64_t lostAnswers_;
    std::uint64_t budget_; ///< Tokens; each turn reserves 300.
    std::size_t minRuns_;
    std::size_t maxRuns_; ///< Before the store returns to normal.
    std::size_t maxTurns_; ///< Turns that fit into the budget.
};

class BudgetUnder : public testing::TestWithParam<BudgetCase>
{
};

// Guards against nodes that each grant turns from their own knowledge, so that the sum exceeds the budget.
TEST_P(BudgetUnder, ConcurrentTurnsNeverExceedTheBudget)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.run(claimsAreKnown);
    rig.store_.down_ = GetParam().down_;
    for (std::size_t i = 0; i < GetParam().refusedNodes_; ++i) {
        rig.store_.refuses_["node" + std::to_string(i)] = true;
    }
    rig.store_.loseAnswers_ = GetParam().lostAnswers_;
    rig.run(std::chrono::seconds(3));
    const TurnOrigin origin = GetParam().down_ ? TurnOrigin::RootAgent : TurnOrigin::SubAgents;
    const std::size_t first = sendToAllNodes(rig, "p", "a", origin, 0, GetParam().budget_);
    EXPECT_LE(first, GetParam().maxRuns_);
    completeTurns(rig, 0);
    sendToAllNodes(rig, "p", "b", origin, 0, GetParam().budget_);
    sendToAllNodes(rig, "p", "c", origin, 0, GetParam().budget_);
    EXPECT_LE(rig.attempts_.size(), GetParam().maxRuns_);
    EXPECT_GE(rig.attempts_.size(), GetParam().minRuns_);
    completeTurns(rig, first);
    // Once the store is back, turns granted without it must count as spent.
    rig.store_.down_ = false;
    rig.store_.refuses_.clear();
    rig.run(std::chrono::seconds(5));
    sendToAllNodes(rig, "p", "d", origin, 0, GetParam().budget_);
    sendToAllNodes(rig, "p", "e", origin, 0, GetParam().budget_);
    EXPECT_LE(rig.attempts_.size(), GetParam().maxTurns_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BudgetUnder,
                         testing::Values(BudgetCase{"Calm", false, 0, 0, smallBudget, 1, 3, 3},
                                         BudgetCase{"LostAnswers", false, 0, 3, smallBudget, 1, 3, 3},
                                         BudgetCase{"SomeNodesRefused", false, 3, 0, smallBudget, 1, 3, 3},
                                         BudgetCase{"StoreDownNearTheLimit", true, 0, 0, smallBudget, 1, 1, 3},
                                         BudgetCase{"StoreDown", true, 0, 0, largeBudget, 1, 1, 7}),
                         [](const testing::TestParamInfo<BudgetCase> &info) { return info.param.name_; });

/** \brief The node that is killed when the store returns. */
class BudgetAfterOutage : public testing::TestWithParam<std::size_t>
{
};

// Guards against grants of an outage that are lost if the node that gave or got them is killed before it records them.
TEST_P(BudgetAfterOutage, GrantsSurviveTheDeathOfOneNode)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.run(claimsAreKnown);
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(3));
    ASSERT_EQ(sendToAllNodes(rig, "p", "a", TurnOrigin::RootAgent, 0, largeBudget), 1U);
    completeTurns(rig, 0);
    rig.kill(GetParam());
    rig.store_.down_ = false;
    rig.run(std::chrono::seconds(5));
    sendToAllNodes(rig, "p", "b", TurnOrigin::RootAgent, 0, largeBudget);
    completeTurns(rig, 1);
    sendToAllNodes(rig, "p", "c", TurnOrigin::RootAgent, 0, largeBudget);
    EXPECT_EQ(rig.attempts_.size(), 7U);
}

INSTANTIATE_TEST_SUITE_P(Table, BudgetAfterOutage, testing::Range(std::size_t{0}, nodeCount));

// Guards against turns that do not count because they start before the node has detected the outage of the store.
TEST(Budget, TurnsAtTheBeginOfAnOutageCount)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.run(claimsAreKnown);
    std::size_t before = 0;
    for (std::size_t program = 0; program < 10; ++program) {
        const std::string name = "p" + std::to_string(program);
        rig.store_.down_ = program % 2 == 0;
        before = rig.attempts_.size();
        // The first turn of a program does not wait for the store.
        rig.send(0, turn("t" + name, name, name));
        rig.run(shortWait);
        EXPECT_EQ(rig.attempts_.size(), before + 1);
        completeTurns(rig, before);
        rig.store_.down_ = true;
        rig.run(std::chrono::seconds(2));
        sendToAllNodes(rig, name, name + "a", TurnOrigin::RootAgent, 1);
        completeTurns(rig, before + 1);
        sendToAllNodes(rig, name, name + "b", TurnOrigin::RootAgent, 1);
        EXPECT_LE(rig.attempts_.size(), before + 3) << name;
        rig.store_.down_ = false;
        rig.run(std::chrono::seconds(5));
    }
}

// Guards against overspending by the many sub-agents of a looping program while no node reaches the store.
TEST(Budget, SubAgentsWaitForTheStore)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(3));
    EXPECT_EQ(sendToAllNodes(rig, "p", "a", TurnOrigin::SubAgents), 0U);
    rig.store_.down_ = false;
    rig.run(std::chrono::seconds(5));
    EXPECT_GE(sendToAllNodes(rig, "p", "b", TurnOrigin::SubAgents), 1U);
}

// Guards against a node that starts in an outage and reserves in the store before others have recorded their grants.
TEST(Budget, NodeStartedInAnOutageWaitsForTheGrantsOfOthers)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.run(claimsAreKnown);
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(3));
    ASSERT_EQ(sendToAllNodes(rig, "p", "a", TurnOrigin::RootAgent, 0, largeBudget), 1U);
    completeTurns(rig, 0);
    rig.kill(4);
    rig.restart(4);
    rig.run(std::chrono::seconds(2));
    rig.store_.down_ = false;
    for (int round = 0; round < 15; ++round) {
        rig.run(std::chrono::milliseconds(100));
        GatewayRequest request = turn("b" + std::to_string(round), "p", "p");
        request.tokenBudget_ = largeBudget;
        rig.send(4, std::move(request));
    }
    rig.run(std::chrono::seconds(3));
    EXPECT_LE(rig.attempts_.size(), 7U);
}

// Guards against nodes that all start together and wait for records of an outage although the store was never down.
TEST(Budget, NodesThatStartTogetherDecideAtOnceIfTheStoreWasNeverAway)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    for (std::size_t node = 0; node < nodeCount; ++node) {
        rig.kill(node);
    }
    for (std::size_t node = 0; node < nodeCount; ++node) {
        rig.restart(node);
    }
    rig.run(std::chrono::milliseconds(600));
    for (std::size_t node = 0; node < nodeCount; ++node) {
        const std::string id = "p" + std::to_string(node);
        rig.send(node, turn(id, id, id));
    }
    rig.run(std::chrono::milliseconds(300));
    EXPECT_EQ(rig.attempts_.size(), nodeCount);
}

// Guards against budgets that are reset when their coordinator stops during an outage.
TEST(Budget, DecisionsOfAnOutageSurviveTheStopOfEachNodeInTurn)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.run(claimsAreKnown);
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(3));
    for (std::size_t program = 0; program < 10; ++program) {
        const std::string name = "p" + std::to_string(program);
        const std::size_t before = rig.attempts_.size();
        sendToAllNodes(rig, name, name + "a", TurnOrigin::RootAgent, 0, largeBudget);
        EXPECT_EQ(rig.attempts_.size() - before, 1U);
        completeTurns(rig, before);
    }
    const std::size_t granted = rig.attempts_.size();
    for (std::size_t node = 0; node < 2; ++node) {
        rig.kill(node);
        rig.run(std::chrono::seconds(2));
        for (std::size_t program = 0; program < 10; ++program) {
            const std::string name = "p" + std::to_string(program);
            sendToAllNodes(rig, name, name + "b" + std::to_string(node), TurnOrigin::RootAgent, 0, largeBudget);
        }
    }
    EXPECT_EQ(rig.attempts_.size(), granted);
}

// Guards against a budget that is spent twice because all nodes are lost before the store is back. Grants made without
// the store are lost with them, so they must not exceed one turn.
TEST(Budget, LossOfAllNodesInAnOutageForgetsOneTurnAtMost)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.run(std::chrono::seconds(2));
    rig.store_.down_ = true;
    // The first turn starts before the node has detected the outage.
    rig.send(0, turn("a", "p", "p"));
    rig.run(shortWait);
    completeTurns(rig, 0);
    rig.run(std::chrono::seconds(2));
    for (int round = 0; round < 3; ++round) {
        const std::size_t before = rig.attempts_.size();
        sendToAllNodes(rig, "p", "b" + std::to_string(round), TurnOrigin::RootAgent, 0);
        completeTurns(rig, before);
    }
    for (std::size_t node = 0; node < nodeCount; ++node) {
        rig.kill(node);
    }
    rig.store_.down_ = false;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        rig.restart(node);
    }
    rig.run(std::chrono::seconds(5));
    for (int round = 0; round < 3; ++round) {
        const std::size_t before = rig.attempts_.size();
        sendToAllNodes(rig, "p", "c" + std::to_string(round), TurnOrigin::SubAgents);
        completeTurns(rig, before);
    }
    EXPECT_LE(rig.attempts_.size(), 4U);
}

// Guards against claims of one node that arrive out of order, so that only one of its concurrent turns is counted.
TEST(Budget, ConcurrentTurnsOfOneNodeAllCountWithoutTheStore)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.run(claimsAreKnown);
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(3));
    for (int i = 0; i < 8; ++i) {
        GatewayRequest request = turn("a" + std::to_string(i), "p", "p");
        request.tokenBudget_ = largeBudget;
        rig.send(0, std::move(request));
    }
    rig.run(std::chrono::milliseconds(1200));
    EXPECT_EQ(rig.attempts_.size(), 1U);
}

// Guards against an isolated node that appoints itself coordinator.
TEST(Budget, NodeThatHearsNobodyGrantsNothingWithoutTheStore)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.store_.refuses_["node0"] = true;
    rig.isolatedNodes_.insert("node0");
    rig.run(std::chrono::seconds(3));
    const std::shared_ptr<ClientResponse> client = rig.send(0, turn("t1", "p", "p"));
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(client->status_, 503);
    EXPECT_TRUE(rig.attempts_.empty());
}

/** \brief Starts a program with a large budget at node 0, which then holds an allowance for two more turns. */
void beginProgram(GatewayRig &rig)
{
    rig.run(std::chrono::seconds(2));
    GatewayRequest request = turn("begin", "p", "p");
    request.tokenBudget_ = largeBudget;
    rig.send(0, std::move(request));
    rig.run(std::chrono::seconds(1));
    completeTurns(rig, 0);
}

/** \brief Sends turns to all nodes in four rounds, which use up what can be granted. \return all attempts so far. */
std::size_t runUntilRefused(GatewayRig &rig, const std::string &round, TurnOrigin origin)
{
    for (int i = 0; i < 4; ++i) {
        const std::size_t before = rig.attempts_.size();
        sendToAllNodes(rig, "p", round + std::to_string(i), origin, 0, largeBudget);
        completeTurns(rig, before);
    }
    return rig.attempts_.size();
}

/** \brief Nodes that are restarted during an outage in which an allowance is used. */
enum class NodeLoss : std::uint8_t { None, Holder, AllNodes };

class BudgetAllowance : public testing::TestWithParam<NodeLoss>
{
};

// Guards against turns of sub-agents that are refused in an outage although an allowance covers them, and against an
// allowance that is spent twice.
TEST_P(BudgetAllowance, IsSpentOnceWithoutTheStore)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    beginProgram(rig);
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(runUntilRefused(rig, "a", TurnOrigin::SubAgents), 3U);
    for (std::size_t node = 0; node < nodeCount; ++node) {
        if (GetParam() == NodeLoss::AllNodes || (GetParam() == NodeLoss::Holder && node == 0)) {
            rig.kill(node);
            rig.restart(node);
        }
    }
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(runUntilRefused(rig, "b", TurnOrigin::SubAgents), 3U);
    rig.store_.down_ = false;
    rig.run(std::chrono::seconds(5));
    EXPECT_EQ(runUntilRefused(rig, "c", TurnOrigin::SubAgents), 7U);
}

INSTANTIATE_TEST_SUITE_P(Table, BudgetAllowance, testing::Values(NodeLoss::None, NodeLoss::Holder, NodeLoss::AllNodes));

// Guards against an allowance that stays reserved after the planned shutdown of its holder.
TEST(Budget, PlannedStopGivesTheAllowanceBack)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    beginProgram(rig);
    rig.nodes_[0]->beginStop(std::chrono::seconds(8));
    rig.run(std::chrono::seconds(1));
    rig.kill(0);
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(runUntilRefused(rig, "a", TurnOrigin::SubAgents), 7U);
}

// Guards against a program of two turns that is refused as out of budget because its node was killed in the first turn
// while it held most of the rest of the budget.
TEST(Budget, ProgramOfTwoTurnsOutlivesItsNode)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    const auto send = [&rig](std::size_t node, const std::string &id) {
        GatewayRequest request = turn(id, "p", "p");
        request.tokenBudget_ = 940; // Two turns of 300 tokens and half as much again.
        return rig.send(node, std::move(request));
    };
    send(0, "a");
    rig.run(std::chrono::milliseconds(600));
    rig.kill(0);
    rig.run(std::chrono::seconds(2));
    for (const char *id : {"b", "c"}) {
        send(1, id);
        rig.run(shortWait);
        rig.stream(rig.attempts_.size() - 1, {"x"}, true);
        rig.run(shortWait);
    }
    EXPECT_EQ(rig.attempts_.size(), 3U);
}

// Guards against turns that are granted by other nodes, or finally refused, while the holder of an allowance does not
// answer.
TEST(Budget, UnresponsiveHolderCausesNoFinalRefusal)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    beginProgram(rig);
    rig.unresponsiveNodes_.insert("node0");
    for (int i = 0; i < 8; ++i) {
        GatewayRequest request = turn("a" + std::to_string(i), "p", "sub-" + std::to_string(i));
        request.tokenBudget_ = largeBudget;
        const std::shared_ptr<ClientResponse> client = rig.send(1, std::move(request));
        rig.run(std::chrono::seconds(1));
        EXPECT_NE(client->status_, 402);
        completeTurns(rig, rig.attempts_.size() - 1);
    }
    EXPECT_LE(rig.attempts_.size(), 5U);
}

// Guards against refusals of sub-agents that start through several nodes at once, each of which acquires an allowance
// that the others need.
TEST(Budget, SubAgentsOfAYoungProgramAreNotRefused)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.run(std::chrono::seconds(2));
    GatewayRequest request = turn("begin", "p", "p");
    request.tokenBudget_ = largeBudget;
    rig.send(0, std::move(request));
    rig.run(std::chrono::milliseconds(100));
    rig.stream(0, {"a"}, true);
    EXPECT_EQ(sendToAllNodes(rig, "p", "a", TurnOrigin::SubAgents, 1, largeBudget), nodeCount - 1);
}

// Guards against a turn that is refused as out of budget because one holder of an allowance has used it up, while
// others still hold enough: turns that come through one node after the other leave an allowance at many.
TEST(Budget, AllHoldersAreAskedBeforeATurnIsRefused)
{
    constexpr std::size_t nodes = 12;
    constexpr std::uint64_t budget = 6000;
    constexpr std::uint64_t turnTokens = 300;
    GatewayRig rig(nodes, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.run(std::chrono::seconds(2));
    std::shared_ptr<ClientResponse> client;
    for (std::size_t i = 0; i < 2 * budget / turnTokens && (!client || client->status_ != 402); ++i) {
        GatewayRequest request = turn("t" + std::to_string(i), "p", "p");
        request.tokenBudget_ = budget;
        const std::size_t before = rig.attempts_.size();
        client = rig.send(i % nodes, std::move(request));
        rig.run(std::chrono::milliseconds(150));
        completeTurns(rig, before);
    }
    EXPECT_LE(rig.attempts_.size() * turnTokens, budget);
    // The most that a program needs is two thirds of its budget. Of the rest, each holder may have too little for a
    // turn.
    EXPECT_GE(rig.attempts_.size() * turnTokens, budget * 2 / 3);
}

// Guards against an append for each turn of a program that has an allowance.
TEST(Budget, TurnsFromTheAllowanceNeedNoAppend)
{
    GatewayRig rig(nodeCount, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    beginProgram(rig);
    rig.run(std::chrono::seconds(1));
    const std::size_t appends = rig.store_.appends();
    for (std::size_t node = 0; node < nodeCount; ++node) {
        GatewayRequest request = turn("a" + std::to_string(node), "p", "p");
        request.tokenBudget_ = largeBudget;
        rig.send(node, std::move(request));
        rig.run(shortWait);
        ASSERT_EQ(rig.attempts_.size(), node + 2);
        rig.stream(rig.attempts_.size() - 1, {"a"}, true);
        rig.run(shortWait);
    }
    EXPECT_LE(rig.store_.appends(), appends + 2);
}

// Guards against budgets that are reset when all nodes are killed at once.
TEST(Budget, SpendingSurvivesTheLossOfAllNodes)
{
    GatewayRig rig(3, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    for (int i = 0; i < 3; ++i) {
        rig.send(0, turn("t" + std::to_string(i), "p", "p"));
        rig.run(shortWait);
        completeTurns(rig, rig.attempts_.size() - 1);
    }
    ASSERT_EQ(rig.attempts_.size(), 3U);
    for (std::size_t node = 0; node < 3; ++node) {
        rig.kill(node);
    }
    rig.store_.trim();
    for (std::size_t node = 0; node < 3; ++node) {
        rig.restart(node);
    }
    rig.run(std::chrono::seconds(2));
    const std::shared_ptr<ClientResponse> client = rig.send(1, turn("t9", "p", "p"));
    rig.run(shortWait);
    EXPECT_EQ(client->status_, 402);
    EXPECT_EQ(rig.attempts_.size(), 3U);
}

// Guards against reservations that are not reduced to the tokens that were generated.
TEST(Budget, UnusedTokensAreGivenBack)
{
    GatewayRig rig(2, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    for (int i = 0; i < 7; ++i) {
        rig.send(i % 2, turn("t" + std::to_string(i), "p", "p"));
        rig.run(shortWait);
        ASSERT_EQ(rig.attempts_.size(), static_cast<std::size_t>(i) + 1);
        rig.stream(rig.attempts_.size() - 1, {"a"}, true);
        rig.run(shortWait);
    }
}

// Guards against a turn that runs although it is refused for lack of budget.
TEST(Budget, RefusedTurnReachesNoEngine)
{
    GatewayRig rig(1, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 1);
    GatewayRequest large = turn("t1", "p", "p");
    large.maxOutputTokens_ = 1001;
    EXPECT_EQ(rig.send(0, large)->status_, 402);
    EXPECT_TRUE(rig.attempts_.empty());
}

// Guards against a large fleet that exceeds the append rate of a ledger partition.
TEST(Budget, AppendsOfALargeFleetStayWithinWhatAPartitionTakes)
{
    constexpr std::size_t nodes = 60;
    constexpr std::size_t maxAppends = 200; // Per second; the store takes up to 4 ms for an append.
    GatewayRig rig(nodes, {streamingRoute(false, 1, false)}, std::size_t{1});
    rig.addEndpoints("engines", "e", 400);
    rig.run(claimsAreKnown);
    const std::size_t before = rig.store_.appends();
    for (int round = 0; round < 20; ++round) {
        for (std::size_t node = 0; node < nodes; ++node) {
            const std::string id = std::to_string(round) + "-" + std::to_string(node);
            rig.send(node, turn(id, id, id));
        }
        rig.run(std::chrono::milliseconds(100));
    }
    EXPECT_LE(rig.store_.appends() - before, 2 * maxAppends);
}

/** \brief A fleet in which one node's appends take long. */
struct SlowWriterCase
{
    const char *name_;
    std::size_t nodes_;
};

class SlowWriter : public testing::TestWithParam<SlowWriterCase>
{
};

// Guards against a budget that is spent a second time because a turn that runs is not recorded yet.
TEST_P(SlowWriter, TurnsThatItHasNotRecordedCountAtOtherNodes)
{
    constexpr std::uint64_t turnTokens = 300;
    constexpr std::uint64_t budget = 1000;
    const std::size_t nodes = GetParam().nodes_;
    GatewayRig rig(nodes, {streamingRoute(false, 1, false)}, std::size_t{1});
    rig.addEndpoints("engines", "e", 4);
    rig.run(claimsAreKnown);
    rig.appendDelays_["node0"] = std::chrono::seconds(3);
    rig.send(0, turn("first", "p", "p"));
    rig.run(std::chrono::milliseconds(20));
    ASSERT_EQ(rig.attempts_.size(), 1U);
    rig.run(std::chrono::milliseconds(880));
    for (std::size_t i = 1; i <= 6; ++i) {
        rig.send(i % (nodes - 1) + 1, turn("t" + std::to_string(i), "p", "sub-agent" + std::to_string(i)));
        rig.run(std::chrono::milliseconds(200));
    }
    EXPECT_LE(rig.attempts_.size() * turnTokens, budget);
    EXPECT_EQ(rig.attempts_.size(), budget / turnTokens);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         SlowWriter,
                         testing::Values(SlowWriterCase{"SmallFleet", 4}, SlowWriterCase{"LargeFleet", 60}),
                         [](const testing::TestParamInfo<SlowWriterCase> &info) { return info.param.name_; });

/** \brief Nodes that receive the first turn of a program, one after the other, while no record is durable yet. */
struct RepeatedFirstTurnCase
{
    const char *name_;
    std::size_t nodes_;
    Duration pause_; ///< Between two attempts of the client.
    std::size_t killedNode_ = 0; ///< Ends after the first attempt; 0 for none.
};

class RepeatedFirstTurn : public testing::TestWithParam<RepeatedFirstTurnCase>
{
};

// Guards against a first turn that its client repeats at other nodes and that each of them grants without a record.
TEST_P(RepeatedFirstTurn, IsGrantedWithoutARecordByOneNodeOnly)
{
    constexpr std::uint64_t turnTokens = 300;
    constexpr std::uint64_t budget = 1000;
    const std::size_t nodes = GetParam().nodes_;
    GatewayRig rig(nodes, {streamingRoute(false, 1, false)}, std::size_t{1});
    rig.addEndpoints("engines", "e", 4);
    rig.run(claimsAreKnown);
    for (std::size_t node = 0; node < nodes; ++node) {
        rig.appendDelays_["node" + std::to_string(node)] = std::chrono::seconds(6);
    }
    for (std::size_t i = 0; i < 6; ++i) {
        rig.send(i % (nodes - 1) + 1, turn("t" + std::to_string(i), "p", "p"));
        rig.run(GetParam().pause_);
        if (i == 0 && GetParam().killedNode_ > 0) {
            rig.kill(GetParam().killedNode_);
        }
    }
    EXPECT_GE(rig.attempts_.size(), 1U);
    EXPECT_LE(rig.attempts_.size() * turnTokens, budget + turnTokens);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RepeatedFirstTurn,
                         testing::Values(RepeatedFirstTurnCase{"SmallFleet", 7, std::chrono::milliseconds(400)},
                                         RepeatedFirstTurnCase{"LargeFleet", 60, std::chrono::milliseconds(400)},
                                         RepeatedFirstTurnCase{"QuickRetries", 12, std::chrono::milliseconds(60)},
                                         RepeatedFirstTurnCase{"FirstNodeLost", 12, std::chrono::milliseconds(400), 1}),
                         [](const testing::TestParamInfo<RepeatedFirstTurnCase> &info) { return info.param.name_; });

// Guards against a second turn that runs before the first one is recorded: nodes that reserve in the store see neither.
TEST(Budget, SecondTurnWaitsUntilTheFirstIsRecorded)
{
    GatewayRig rig(7, {streamingRoute(false, 1, false)}, std::size_t{1});
    rig.addEndpoints("engines", "e", 4);
    rig.run(claimsAreKnown);
    for (std::size_t node = 0; node < rig.nodes_.size(); ++node) {
        rig.appendDelays_["node" + std::to_string(node)] = std::chrono::seconds(6);
    }
    for (std::size_t node = 1; node <= 2; ++node) {
        GatewayRequest request = turn("t" + std::to_string(node), "p", "p");
        request.tokenBudget_ = largeBudget;
        rig.send(node, std::move(request));
        rig.run(std::chrono::milliseconds(100));
    }
    EXPECT_EQ(rig.attempts_.size(), 1U);
}

} // namespace filbertgw::test
