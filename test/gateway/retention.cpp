#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr Duration moment = std::chrono::milliseconds(300);

GatewayRequest following(const std::string &id, const std::string &previous, const std::string &program = "p")
{
    GatewayRequest request = turn(id, program, "s");
    request.previousTurn_ = previous;
    request.tokenBudget_ = 100'000;
    return request;
}

/** \brief Plays a turn to its end. */
void play(GatewayRig &rig, std::size_t node, const GatewayRequest &request, const std::vector<std::string> &output)
{
    const std::size_t before = rig.attempts_.size();
    const std::shared_ptr<ClientResponse> client = rig.send(node, request);
    rig.run(moment);
    ASSERT_EQ(rig.attempts_.size(), before + 1) << request.id_ << " reached no engine, status " << client->status_;
    rig.stream(before, output, true);
    rig.run(moment);
    ASSERT_TRUE(client->ended_) << request.id_;
}

} // namespace

// Guards against chains that are lost or mixed up when turns move between nodes.
TEST(Retention, ChainIsPutTogetherAtAnyNode)
{
    GatewayRig rig(3, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    play(rig, 0, following("t1", ""), {"x", "y"});
    play(rig, 1, following("t2", "t1"), {"z"});
    play(rig, 2, following("t3", "t2"), {"w"});
    EXPECT_EQ(*rig.attempts_[1].attempt_.body_, "input-t1;x\ny\ninput-t2;");
    EXPECT_EQ(*rig.attempts_[2].attempt_.body_, "input-t1;x\ny\ninput-t2;z\ninput-t3;");
}

// Guards against retained turns that die with the nodes, also when another program goes on from them.
TEST(Retention, TurnsSurviveTheLossOfAllNodes)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    play(rig, 0, following("t1", ""), {"x"});
    play(rig, 0, following("t2", "t1"), {"y"});
    rig.kill(0);
    rig.kill(1);
    rig.store_.trim();
    rig.restart(0);
    rig.restart(1);
    rig.run(std::chrono::seconds(2));
    play(rig, 1, following("t3", "t2", "later-program"), {"z"});
    EXPECT_EQ(*rig.attempts_[2].attempt_.body_, "input-t1;x\ninput-t2;y\ninput-t3;");
}

// Guards against a turn that is not found by programs with other prompts, which go on from it.
TEST(Retention, TurnIsFoundWhateverGoesOnFromIt)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    play(rig, 0, following("t1", ""), {"x"});
    for (const char *program : {"a", "b", "c", "d", "e"}) {
        GatewayRequest request = following(std::string("t2") + program, "t1", program);
        request.prompt_ = {PromptPart{std::string("shared-") + program, 100}, PromptPart{program, 10}};
        play(rig, 1, request, {"y"});
        EXPECT_EQ(*rig.attempts_.back().attempt_.body_, "input-t1;x\ninput-t2" + std::string(program) + ";");
    }
}

/** \brief What the store does while a turn is looked for that it does not have. */
struct MissingCase
{
    const char *name_;
    bool down_;
    int status_;
};

class MissingTurn : public testing::TestWithParam<MissingCase>
{
};

// Guards against a 404 that a node can't be certain of.
TEST_P(MissingTurn, IsRefusedTruthfully)
{
    GatewayRig rig(1, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    rig.store_.down_ = GetParam().down_;
    const std::shared_ptr<ClientResponse> client = rig.send(0, following("t2", "unknown"));
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(client->status_, GetParam().status_);
    EXPECT_TRUE(rig.attempts_.empty());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         MissingTurn,
                         testing::Values(MissingCase{"StoreRead", false, 404}, MissingCase{"StoreDown", true, 503}),
                         [](const testing::TestParamInfo<MissingCase> &info) { return info.param.name_; });

// Guards against an answer that ends before its turn would survive the node.
TEST(Retention, AnswerEndsOnlyWhenTheTurnIsDurable)
{
    GatewayRig rig(1, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 1);
    const std::shared_ptr<ClientResponse> client = rig.send(0, following("t1", ""));
    rig.run(moment);
    rig.store_.down_ = true;
    rig.stream(0, {"x"}, true);
    rig.run(std::chrono::milliseconds(500));
    EXPECT_EQ(client->body_, "id: 1\ndata: x\n\n") << "events do not wait";
    EXPECT_FALSE(client->ended_);
    rig.store_.down_ = false;
    rig.run(std::chrono::milliseconds(1200));
    EXPECT_TRUE(client->ended_);
}

// Guards against a node that can serve no retained turn because the store turns it alone away.
TEST(Retention, StoreIsReachedThroughAnotherNode)
{
    GatewayRig rig(3, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    play(rig, 0, following("t1", ""), {"x"});
    rig.store_.refuses_["node1"] = true;
    rig.run(std::chrono::seconds(1));
    play(rig, 1, following("t2", "t1"), {"y"});
    play(rig, 2, following("t3", "t2"), {"z"});
    EXPECT_EQ(*rig.attempts_[2].attempt_.body_, "input-t1;x\ninput-t2;y\ninput-t3;");
}

// Guards against turns that can't be found since the store turns the node away that holds a copy of their partition.
TEST(Retention, HolderWithoutTheStoreReadsOnThroughAnotherNode)
{
    GatewayRig rig(3, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    rig.unresponsiveNodes_ = {"node0", "node1", "node2"}; // Each reads all partitions itself, and hears of no turn.
    for (std::size_t i = 0; i < 60; ++i) {
        rig.send(i % 3, following("u" + std::to_string(i), "unknown" + std::to_string(i)));
    }
    rig.run(std::chrono::seconds(2));
    for (const char *turn : {"a", "b", "c", "d", "e", "f"}) {
        play(rig, 0, following(turn, ""), {"x"});
    }
    rig.unresponsiveNodes_.clear();
    rig.store_.refuses_["node1"] = true;
    rig.run(std::chrono::seconds(2));
    for (const char *turn : {"a", "b", "c", "d", "e", "f"}) {
        play(rig, 1, following(std::string("after-") + turn, turn), {"y"});
    }
}

/** \brief Whether the texts of a long conversation fit into one record. */
struct LongConversationCase
{
    const char *name_;
    std::size_t recordBytes_;
};

class LongConversation : public testing::TestWithParam<LongConversationCase>
{
};

// Guards against the first turns of a long conversation that are deleted while its newest turn is kept.
TEST_P(LongConversation, KeepsItsFirstTurns)
{
    TurnStoreSettings settings;
    settings.replicas_.streams_ = 2;
    settings.replicas_.partitionsPerStream_ = 2;
    settings.recordBytes_ = GetParam().recordBytes_;
    GatewayRig rig(3, {streamingRoute(true, 1, false)}, settings);
    rig.addEndpoints("engines", "e", 2);
    const std::string output(400, 'x');
    std::string expected;
    std::string previous;
    for (std::size_t i = 0; i < 8; ++i) {
        const std::string id = "t" + std::to_string(i);
        play(rig, i % 3, following(id, previous, "p" + std::to_string(i)), {output});
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

// Guards against a store that fills with the turns of nodes that were lost.
TEST(Retention, TurnsOfLostNodesAreDeletedAfterTheirRetention)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    for (std::size_t i = 0; i < 40; ++i) {
        play(rig, 0, following("old" + std::to_string(i), ""), {"x"});
    }
    rig.kill(0);
    rig.kill(1);
    rig.store_.trim();
    rig.restart(0);
    rig.restart(1);
    rig.run(std::chrono::seconds(2));
    for (std::size_t i = 0; i < 40; ++i) {
        play(rig, i % 2, following("new" + std::to_string(i), ""), {"x"});
    }
    EXPECT_GE(rig.store_.keys("kept-turns"), 80U);
    rig.run(std::chrono::minutes(4));
    EXPECT_EQ(rig.store_.keys("kept-turns"), 0U);
}

// Guards against turns that are never deleted, since the store forgets its history and their records are read anew.
TEST(Retention, TurnsAreDeletedThoughHistoryIsForgotten)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    constexpr std::size_t rounds = 60;
    constexpr std::size_t turnsOfARound = 8;
    constexpr std::size_t roundsInFourRetentions = 24;
    for (std::size_t i = 0; i < rounds * turnsOfARound; ++i) {
        play(rig, i % 2, following("t" + std::to_string(i), ""), {"x"});
        if (i % turnsOfARound == 0) {
            rig.run(std::chrono::seconds(5));
            rig.store_.trim();
        }
    }
    EXPECT_LE(rig.store_.keys("kept-turns"), roundsInFourRetentions * turnsOfARound);
}

/** \brief Which nodes have lost the store, and whether the first one takes new connections. */
struct ReadinessCase
{
    const char *name_;
    std::size_t refused_; ///< Of three nodes.
    bool alone_; ///< The first node hears of no other.
    bool ready_;
};

class ReadinessWithoutStore : public testing::TestWithParam<ReadinessCase>
{
};

// Guards against new connections for a node that can serve them worse than others, and against none for any node.
TEST_P(ReadinessWithoutStore, DependsOnWhatOthersCan)
{
    GatewayRig rig(3, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    for (std::size_t i = 0; i < GetParam().refused_; ++i) {
        rig.store_.refuses_["node" + std::to_string(i)] = true;
    }
    if (GetParam().alone_) {
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

// Guards against a turn that is stored twice or never when the store's answer is lost.
TEST(Retention, LostAnswerOfTheStoreIsRepeated)
{
    GatewayRig rig(2, {streamingRoute(true, 1, false)});
    rig.addEndpoints("engines", "e", 2);
    const std::shared_ptr<ClientResponse> client = rig.send(0, following("t1", ""));
    rig.run(moment);
    rig.store_.loseAnswers_ = 2;
    rig.stream(0, {"x"}, true);
    rig.run(std::chrono::milliseconds(2000));
    EXPECT_TRUE(client->ended_);
    play(rig, 1, following("t2", "t1"), {"y"});
    EXPECT_EQ(*rig.attempts_[1].attempt_.body_, "input-t1;x\ninput-t2;");
}

} // namespace filbertgw::test
