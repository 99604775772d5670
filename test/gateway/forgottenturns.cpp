#include "serialprogram.h"

#include "core/stablehash.h"
#include "ledger/missedgrantdetector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Turns in an outage of the store, at whose end all nodes are killed. */
void loseOutage(SerialProgram &program, Duration outage)
{
    program.rig_.store_.down_ = true;
    program.rig_.run(milliseconds(1500));
    program.run(outage);
    program.killAllInOutage();
}

} // namespace

/** \brief What a program with a budget meets before it spends the rest. */
struct ForgottenTurnsCase
{
    const char *name_;
    std::size_t nodes_;
    std::uint64_t budgetTurns_;
    std::function<void(SerialProgram &program)> run_;
};

class ForgottenTurns : public testing::TestWithParam<ForgottenTurnsCase>
{
};

// Guards against turns that run ahead of their record and are forgotten, or not counted by the nodes that grant the
// next ones: the program gets more than its budget and the most of one turn.
TEST_P(ForgottenTurns, AreOneTurnAtMost)
{
    const std::uint64_t budget = GetParam().budgetTurns_ * turnTokens;
    SerialProgram program(GetParam().nodes_, budget);
    GetParam().run_(program);
    program.run(seconds(60));
    std::cout << "tokens " << program.tokens_ << " of " << budget << "\n";
    EXPECT_LE(program.tokens_, budget + turnTokens);
    // Reservations of nodes that were lost count as spent, but the program is told so.
    EXPECT_TRUE(program.isSpent_);
}

INSTANTIATE_TEST_SUITE_P(
    LostWithAllNodes,
    ForgottenTurns,
    testing::Values(
        ForgottenTurnsCase{
            "BegunInAnOutage", 3, 10, [](SerialProgram &program) { loseOutage(program, milliseconds(2800)); }},
        ForgottenTurnsCase{
            "BegunInAnOutageOfManyNodes", 12, 20, [](SerialProgram &program) { loseOutage(program, seconds(6)); }},
        ForgottenTurnsCase{
            "SmallBudget", 5, 3, [](SerialProgram &program) { loseOutage(program, milliseconds(2800)); }},
        ForgottenTurnsCase{"UnderWay",
                           3,
                           10,
                           [](SerialProgram &program) {
                               program.turnAt(0);
                               program.turnAt(1);
                               program.rig_.run(seconds(1));
                               loseOutage(program, seconds(4));
                           }},
        ForgottenTurnsCase{"RightBeforeTheOutage",
                           7,
                           10,
                           [](SerialProgram &program) {
                               program.rig_.store_.down_ = true;
                               program.turnAt(0);
                               program.turnAt(1);
                               program.turnAt(2);
                               loseOutage(program, seconds(4));
                           }},
        ForgottenTurnsCase{"TwoOutages",
                           3,
                           10,
                           [](SerialProgram &program) {
                               loseOutage(program, seconds(3));
                               loseOutage(program, seconds(3));
                           }},
        ForgottenTurnsCase{"TwoOutagesWithTurnsBetween",
                           5,
                           12,
                           [](SerialProgram &program) {
                               loseOutage(program, seconds(3));
                               program.turnAt(1);
                               program.rig_.run(seconds(2));
                               loseOutage(program, seconds(3));
                           }},
        ForgottenTurnsCase{"NodesKilledInTurnBefore",
                           5,
                           10,
                           [](SerialProgram &program) {
                               program.rig_.store_.down_ = true;
                               program.rig_.run(milliseconds(1500));
                               program.run(seconds(1));
                               for (std::size_t node = 0; node < 2; ++node) {
                                   program.rig_.kill(node);
                                   program.rig_.run(milliseconds(1500));
                                   program.run(milliseconds(500), node + 1);
                               }
                               program.killAllInOutage();
                           }},
        ForgottenTurnsCase{"KilledWhileTheFirstTurnRuns",
                           3,
                           6,
                           [](SerialProgram &program) {
                               for (std::size_t round = 0; round < 5; ++round) {
                                   program.beginTurnAndKillAll(round % 3);
                                   program.restartAll();
                               }
                           }}),
    [](const testing::TestParamInfo<ForgottenTurnsCase> &info) { return info.param.name_; });

namespace {

/** The store rejects some nodes; the program begins at node 0 and goes on through the others. */
void beginAtRejectedNode(SerialProgram &program, std::size_t rejected, std::size_t second, Duration away)
{
    for (std::size_t node = 0; node < rejected; ++node) {
        program.rig_.store_.refuses_["node" + std::to_string(node)] = true;
    }
    program.turnAt(0);
    const Time ends = program.rig_.queue_.now() + away;
    while (program.rig_.queue_.now() < ends && !program.isSpent_) {
        program.turnAt(second);
    }
    program.rig_.store_.refuses_.clear();
}

} // namespace

INSTANTIATE_TEST_SUITE_P(
    BegunAtARejectedNode,
    ForgottenTurns,
    testing::Values(
        ForgottenTurnsCase{
            "OneOfSeven", 7, 10, [](SerialProgram &program) { beginAtRejectedNode(program, 1, 1, seconds(9)); }},
        ForgottenTurnsCase{
            "OneOfTwo", 2, 6, [](SerialProgram &program) { beginAtRejectedNode(program, 1, 1, seconds(9)); }},
        ForgottenTurnsCase{
            "ThreeOfTwelve", 12, 20, [](SerialProgram &program) { beginAtRejectedNode(program, 3, 5, seconds(15)); }},
        ForgottenTurnsCase{"SecondTurnAlsoRejected",
                           7,
                           10,
                           [](SerialProgram &program) { beginAtRejectedNode(program, 2, 1, seconds(9)); }},
        ForgottenTurnsCase{"RejectedNodeKilled",
                           7,
                           10,
                           [](SerialProgram &program) {
                               program.rig_.store_.refuses_["node0"] = true;
                               program.turnAt(0);
                               program.turnAt(1);
                               program.rig_.kill(0);
                               program.run(seconds(3), 1);
                           }},
        ForgottenTurnsCase{"AllKilledMeanwhile",
                           5,
                           10,
                           [](SerialProgram &program) {
                               program.rig_.store_.refuses_["node0"] = true;
                               program.turnAt(0);
                               program.turnAt(1);
                               program.turnAt(0);
                               program.killAll();
                               program.rig_.store_.refuses_.clear();
                               program.restartAll();
                           }},
        ForgottenTurnsCase{"RejectedOneAfterTheOther",
                           5,
                           8,
                           [](SerialProgram &program) {
                               for (std::size_t node = 0; node < 5; ++node) {
                                   program.rig_.store_.refuses_["node" + std::to_string(node)] = true;
                                   program.turnAt(node);
                                   program.rig_.run(milliseconds(500));
                                   program.rig_.store_.refuses_.clear();
                               }
                           }}),
    [](const testing::TestParamInfo<ForgottenTurnsCase> &info) { return info.param.name_; });

namespace {

/** The nodes that decide about the program without the store: its coordinator and the replicas. */
std::vector<std::size_t> decidersOf(const SerialProgram &program)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    for (std::size_t node = 0; node < program.rig_.nodes_.size(); ++node) {
        ranked.emplace_back(stableHash("node" + std::to_string(node) + "/p"), node);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::size_t> deciders;
    for (std::size_t i = 0; i < MissedGrantDetector::maxCopies; ++i) {
        deciders.push_back(ranked[i].second);
    }
    return deciders;
}

/** Those nodes are killed shortly before the store is back, and are up again before they would count as dead. */
void restartDeciders(SerialProgram &program, std::size_t next)
{
    const std::vector<std::size_t> deciders = decidersOf(program);
    program.runOtherProgram();
    program.rig_.store_.down_ = true;
    program.rig_.run(milliseconds(1'400));
    for (int turns = 0; turns < 3; ++turns) {
        program.turnAt(deciders.front());
    }
    program.rig_.run(milliseconds(2'000));
    for (const std::size_t node : deciders) {
        program.rig_.kill(node);
    }
    program.rig_.run(milliseconds(100));
    for (const std::size_t node : deciders) {
        program.rig_.restart(node);
    }
    program.rig_.run(milliseconds(150));
    program.rig_.store_.down_ = false;
    program.rig_.run(seconds(6));
    for (int turns = 0; turns < 20 && !program.isSpent_; ++turns) {
        program.turnAt(next);
    }
}

std::function<void(SerialProgram &)> restartDecidersThenAskNode(std::size_t node)
{
    return [node](SerialProgram &program) { restartDeciders(program, node); };
}

} // namespace

INSTANTIATE_TEST_SUITE_P(DecidersRestarted,
                         ForgottenTurns,
                         testing::Values(ForgottenTurnsCase{"Of20Ask0", 20, 7, restartDecidersThenAskNode(0)},
                                         ForgottenTurnsCase{"Of30Ask0", 30, 7, restartDecidersThenAskNode(0)},
                                         ForgottenTurnsCase{"Of30Ask1", 30, 7, restartDecidersThenAskNode(1)},
                                         ForgottenTurnsCase{"Of30Ask2", 30, 7, restartDecidersThenAskNode(2)},
                                         ForgottenTurnsCase{"Of30Ask13", 30, 7, restartDecidersThenAskNode(13)},
                                         ForgottenTurnsCase{"Of60Ask29", 60, 7, restartDecidersThenAskNode(29)}),
                         [](const testing::TestParamInfo<ForgottenTurnsCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
