#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr Duration shortWait = std::chrono::milliseconds(300);

GatewayRequest turnAfter(const std::string &id, const std::string &previous, const std::string &program = "p")
{
    GatewayRequest request = turn(id, program, "s");
    request.previousTurn_ = previous;
    request.tokenBudget_ = 100'000;
    return request;
}

/** \brief Runs a turn to its end. */
void playTurn(GatewayRig &rig, std::size_t node, const GatewayRequest &request, const std::vector<std::string> &output)
{
    const std::size_t before = rig.attempts_.size();
    const std::shared_ptr<ClientResponse> client = rig.send(node, request);
    rig.run(shortWait);
    ASSERT_EQ(rig.attempts_.size(), before + 1) << request.id_ << " reached no engine, status " << client->status_;
    rig.stream(before, output, true);
    rig.run(shortWait);
    ASSERT_TRUE(client->ended_) << request.id_;
}

} // namespace

// Guards against lost or mixed-up chains when turns move between nodes.
TEST(Retention, ChainIsPutTogetherAtAnyNode)
{
    GatewayRig rig(3, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    playTurn(rig, 0, turnAfter("t1", ""), {"x", "y"});
    playTurn(rig, 1, turnAfter("t2", "t1"), {"z"});
    playTurn(rig, 2, turnAfter("t3", "t2"), {"w"});
    EXPECT_EQ(*rig.attempts_[1].attempt_.body_, "input-t1;x\ny\ninput-t2;");
    EXPECT_EQ(*rig.attempts_[2].attempt_.body_, "input-t1;x\ny\ninput-t2;z\ninput-t3;");
}

// Guards against retained turns that are lost with the nodes, also when another program continues them.
TEST(Retention, TurnsSurviveTheLossOfAllNodes)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    playTurn(rig, 0, turnAfter("t1", ""), {"x"});
    playTurn(rig, 0, turnAfter("t2", "t1"), {"y"});
    rig.kill(0);
    rig.kill(1);
    rig.store_.trim();
    rig.restart(0);
    rig.restart(1);
    rig.run(std::chrono::seconds(2));
    playTurn(rig, 1, turnAfter("t3", "t2", "later-program"), {"z"});
    EXPECT_EQ(*rig.attempts_[2].attempt_.body_, "input-t1;x\ninput-t2;y\ninput-t3;");
}

// Guards against a turn that is not found by programs with other prompts that continue it.
TEST(Retention, TurnIsFoundWhateverGoesOnFromIt)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    playTurn(rig, 0, turnAfter("t1", ""), {"x"});
    for (const char *program : {"a", "b", "c", "d", "e"}) {
        GatewayRequest request = turnAfter(std::string("t2") + program, "t1", program);
        request.prompt_ = {PromptPart{std::string("shared-") + program, 100}, PromptPart{program, 10}};
        playTurn(rig, 1, request, {"y"});
        EXPECT_EQ(*rig.attempts_.back().attempt_.body_, "input-t1;x\ninput-t2" + std::string(program) + ";");
    }
}

/** \brief State of the store during the lookup of a turn that it does not have. */
struct MissingCase
{
    const char *name_;
    bool down_;
    int status_;
};

class MissingTurn : public testing::TestWithParam<MissingCase>
{
};

// Guards against a 404 from a node that could not read the store.
TEST_P(MissingTurn, IsRefusedTruthfully)
{
    GatewayRig rig(1, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    rig.store_.down_ = GetParam().down_;
    const std::shared_ptr<ClientResponse> client = rig.send(0, turnAfter("t2", "unknown"));
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(client->status_, GetParam().status_);
    EXPECT_TRUE(rig.attempts_.empty());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         MissingTurn,
                         testing::Values(MissingCase{"StoreRead", false, 404}, MissingCase{"StoreDown", true, 503}),
                         [](const testing::TestParamInfo<MissingCase> &info) { return info.param.name_; });

// Guards against a response that ends before its turn is durable, and would be lost with the node.
TEST(Retention, AnswerEndsOnlyWhenTheTurnIsDurable)
{
    GatewayRig rig(1, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 1);
    const std::shared_ptr<ClientResponse> client = rig.send(0, turnAfter("t1", ""));
    rig.run(shortWait);
    rig.store_.down_ = true;
    rig.stream(0, {"x"}, true);
    rig.run(std::chrono::milliseconds(500));
    EXPECT_EQ(client->body_, "id: 1\ndata: x\n\n") << "events do not wait";
    EXPECT_FALSE(client->ended_);
    rig.store_.down_ = false;
    rig.run(std::chrono::milliseconds(1200));
    EXPECT_TRUE(client->ended_);
}

// Guards against a node that can't serve retained turns because the store refuses only this node.
TEST(Retention, StoreIsReachedThroughAnotherNode)
{
    GatewayRig rig(3, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    playTurn(rig, 0, turnAfter("t1", ""), {"x"});
    rig.store_.refuses_["node1"] = true;
    rig.run(std::chrono::seconds(1));
    playTurn(rig, 1, turnAfter("t2", "t1"), {"y"});
    playTurn(rig, 2, turnAfter("t3", "t2"), {"z"});
    EXPECT_EQ(*rig.attempts_[2].attempt_.body_, "input-t1;x\ninput-t2;y\ninput-t3;");
}

// Guards against turns that are not found because the store refuses the holder of their partition.
TEST(Retention, HolderWithoutTheStoreReadsOnThroughAnotherNode)
{
    GatewayRig rig(3, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    rig.unresponsiveNodes_ = {
        "node0", "node1", "node2"}; // Each node reads all partitions itself and receives no announcements.
    for (std::size_t i = 0; i < 60; ++i) {
        rig.send(i % 3, turnAfter("u" + std::to_string(i), "unknown" + std::to_string(i)));
    }
    rig.run(std::chrono::seconds(2));
    for (const char *turn : {"a", "b", "c", "d", "e", "f"}) {
        playTurn(rig, 0, turnAfter(turn, ""), {"x"});
    }
    rig.unresponsiveNodes_.clear();
    rig.store_.refuses_["node1"] = true;
    rig.run(std::chrono::seconds(2));
    for (const char *turn : {"a", "b", "c", "d", "e", "f"}) {
        playTurn(rig, 1, turnAfter(std::string("after-") + turn, turn), {"y"});
    }
}

/** \brief Whether the texts of a long conversation fit into one record. */
struct LongConversationCase
{
    const char *name_;
    std::size_t maxRecordBytes_;
};

class LongConversation : public testing::TestWithParam<LongConversationCase>
{
};

// Guards against deletion of the first turns of a long conversation whose newest turn is retained.
TEST_P(LongConversation, KeepsItsFirstTurns)
{
    TurnStoreSettings settings;
    settings.replicas_.streams_ = 2;
    settings.replicas_.partitionsPerStream_ = 2;
    settings.maxRecordBytes_ = GetParam().maxRecordBytes_;
    GatewayRig rig(3, {streamingRoute(true, 1, false)}, settings);
    rig.addEndpoints("engines", "e", 2);
    const std::string output(400, 'x');
    std::string expected;
    std::string previous;
    for (std::size_t i = 0; i < 8; ++i) {
        const std::string id = "t" + std::to_string(i);
        playTurn(rig, i % 3, turnAfter(id, previous, "p" + std::to_string(i)), {output});
        expected += "input-" + id + ";";
        ASSERT_EQ(*rig.attempts_.back().attempt_.body_, expected);
        expected += output + "\n";
        previous = id;
        rig.store_.trim();
        rig.run(std::chrono::seconds(50));
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LongConversation,
                         testing::Values(LongConversationCase{"FitsIntoOneRecord", 256 * 1024},
                                         LongConversationCase{"IsLargerThanARecord", 2'200}),
                         [](const testing::TestParamInfo<LongConversationCase> &info) { return info.param.name_; });

// Guards against a store that fills up with the turns of lost nodes.
TEST(Retention, TurnsOfLostNodesAreDeletedAfterTheirRetention)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    for (std::size_t i = 0; i < 40; ++i) {
        playTurn(rig, 0, turnAfter("old" + std::to_string(i), ""), {"x"});
    }
    rig.kill(0);
    rig.kill(1);
    rig.store_.trim();
    rig.restart(0);
    rig.restart(1);
    rig.run(std::chrono::seconds(2));
    for (std::size_t i = 0; i < 40; ++i) {
        playTurn(rig, i % 2, turnAfter("new" + std::to_string(i), ""), {"x"});
    }
    EXPECT_GE(rig.store_.keys("kept-turns"), 80U);
    rig.run(std::chrono::minutes(4));
    EXPECT_EQ(rig.store_.keys("kept-turns"), 0U);
}

// Guards against turns that are never deleted because the store trims its history and their records are read again.
TEST(Retention, TurnsAreDeletedThoughHistoryIsForgotten)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    constexpr std::size_t rounds = 60;
    constexpr std::size_t turnsPerRound = 8;
    constexpr std::size_t roundsInFourRetentions = 24;
    for (std::size_t i = 0; i < rounds * turnsPerRound; ++i) {
        playTurn(rig, i % 2, turnAfter("t" + std::to_string(i), ""), {"x"});
        if (i % turnsPerRound == 0) {
            rig.run(std::chrono::seconds(5));
            rig.store_.trim();
        }
    }
    EXPECT_LE(rig.store_.keys("kept-turns"), roundsInFourRetentions * turnsPerRound);
}

/** \brief Nodes that have lost the store, and whether the first node accepts new connections. */
struct ReadinessCase
{
    const char *name_;
    std::size_t refused_; ///< Number of nodes, out of three, that the store refuses.
    bool isolated_; ///< The first node receives nothing from the others.
    bool ready_;
};

class ReadinessWithoutStore : public testing::TestWithParam<ReadinessCase>
{
};

// Guards against new connections to a node that serves them worse than others, and against no node accepting any.
TEST_P(ReadinessWithoutStore, DependsOnWhatOthersCan)
{
    GatewayRig rig(3, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    for (std::size_t i = 0; i < GetParam().refused_; ++i) {
        rig.store_.refuses_["node" + std::to_string(i)] = true;
    }
    if (GetParam().isolated_) {
        rig.isolatedNodes_.insert("node0");
    }
    EXPECT_TRUE(rig.nodes_[0]->isReady());
    rig.run(std::chrono::seconds(5));
    EXPECT_EQ(rig.nodes_[0]->isReady(), GetParam().ready_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ReadinessWithoutStore,
                         testing::Values(ReadinessCase{"NobodyLostIt", 0, false, true},
                                         ReadinessCase{"OnlyThisNode", 1, false, false},
                                         ReadinessCase{"AllNodes", 3, false, true},
                                         ReadinessCase{"Isolated", 3, true, false}),
                         [](const testing::TestParamInfo<ReadinessCase> &info) { return info.param.name_; });

// Guards against a turn that is stored twice or never when the response of the store is lost.
TEST(Retention, LostAnswerOfTheStoreIsRepeated)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    const std::shared_ptr<ClientResponse> client = rig.send(0, turnAfter("t1", ""));
    rig.run(shortWait);
    rig.store_.loseAnswers_ = 2;
    rig.stream(0, {"x"}, true);
    rig.run(std::chrono::milliseconds(2000));
    EXPECT_TRUE(client->ended_);
    playTurn(rig, 1, turnAfter("t2", "t1"), {"y"});
    EXPECT_EQ(*rig.attempts_[1].attempt_.body_, "input-t1;x\ninput-t2;");
}

} // namespace filbertgw::test
