#include "serialprogram.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t budgetTurns = 12;
constexpr std::uint64_t budget = budgetTurns * turnTokens;
/** A third of the budget and one turn. */
constexpr std::uint64_t outageTokens = budget / 3 + turnTokens;

/** Kills nodes one after the other, each after another turn of the program, if it is granted one. */
void killOneAfterTheOther(SerialProgram &program, std::size_t count)
{
    for (std::size_t node = 0; node < count; ++node) {
        program.rig_.kill(node);
        program.rig_.run(milliseconds(1500));
        program.run(milliseconds(300), node + 1);
    }
}

/** The store returns; all nodes are killed some time later, while they record what the outage granted. */
void killAllAfterReturn(SerialProgram &program, Duration after)
{
    program.rig_.store_.down_ = false;
    program.rig_.run(after);
    program.killAll();
    program.restartAll();
}

} // namespace

/** \brief What follows an outage in which a program has begun. */
struct OutageSpendingCase
{
    const char *name_;
    std::size_t nodes_;
    std::function<void(SerialProgram &program)> end_;
    std::uint64_t leastTokens_ = budget * 2 / 3; ///< The most that a program needs.
};

class OutageSpending : public testing::TestWithParam<OutageSpendingCase>
{
};

// Guards against programs that begin in an outage of the store and get one turn only until its end, and against
// spending of an outage that is forgotten with the nodes that know it.
TEST_P(OutageSpending, ProgramGoesOnAndNothingIsForgotten)
{
    SerialProgram program(GetParam().nodes_, budget);
    program.runOtherProgram();
    program.rig_.store_.down_ = true;
    program.rig_.run(milliseconds(1500));
    program.run(seconds(4));
    EXPECT_EQ(program.tokens_, outageTokens);
    GetParam().end_(program);
    program.run(seconds(60));
    std::cout << "tokens " << program.tokens_ << " of " << budget << "\n";
    EXPECT_LE(program.tokens_, budget + turnTokens);
    EXPECT_GE(program.tokens_, GetParam().leastTokens_);
    EXPECT_TRUE(program.isSpent_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    OutageSpending,
    testing::Values(
        OutageSpendingCase{"OneNode", 1, [](SerialProgram &program) { program.rig_.store_.down_ = false; }},
        OutageSpendingCase{"OneNodeLost", 1, [](SerialProgram &program) { program.killAllInOutage(); }},
        OutageSpendingCase{"StoreReturns", 3, [](SerialProgram &program) { program.rig_.store_.down_ = false; }},
        OutageSpendingCase{"StoreReturnsOfMany", 12, [](SerialProgram &program) { program.rig_.store_.down_ = false; }},
        OutageSpendingCase{"ReserveIsReleased",
                           3,
                           [](SerialProgram &program) {
                               program.rig_.store_.down_ = false;
                               program.rig_.run(seconds(6));
                           },
                           budget},
        OutageSpendingCase{"AllLost", 3, [](SerialProgram &program) { program.killAllInOutage(); }},
        OutageSpendingCase{"AllOfManyLost", 12, [](SerialProgram &program) { program.killAllInOutage(); }},
        OutageSpendingCase{
            "AllLostAtTheReturn", 7, [](SerialProgram &program) { killAllAfterReturn(program, milliseconds(5)); }},
        OutageSpendingCase{
            "AllLostWhileRecording", 7, [](SerialProgram &program) { killAllAfterReturn(program, milliseconds(150)); }},
        OutageSpendingCase{
            "AllLostAfterTheReturn", 7, [](SerialProgram &program) { killAllAfterReturn(program, milliseconds(900)); }},
        OutageSpendingCase{"AllLostOnceRecorded",
                           7,
                           [](SerialProgram &program) { killAllAfterReturn(program, milliseconds(6000)); },
                           budget},
        OutageSpendingCase{"LostOneAfterTheOther",
                           7,
                           [](SerialProgram &program) {
                               killOneAfterTheOther(program, 3);
                               program.rig_.store_.down_ = false;
                           }},
        OutageSpendingCase{"AllButOneLost",
                           7,
                           [](SerialProgram &program) {
                               for (std::size_t node = 0; node < 6; ++node) {
                                   program.rig_.kill(node);
                               }
                               program.rig_.run(milliseconds(500));
                               program.rig_.store_.down_ = false;
                               for (std::size_t node = 0; node < 6; ++node) {
                                   program.rig_.restart(node);
                               }
                               program.rig_.run(seconds(3));
                           }},
        OutageSpendingCase{"WritesTakeEffectLate",
                           5,
                           [](SerialProgram &program) {
                               // Appends of the last moments reach the store after all nodes are lost.
                               for (std::size_t node = 0; node < 5; ++node) {
                                   program.rig_.appendDelays_["node" + std::to_string(node)] = seconds(2);
                               }
                               program.rig_.run(seconds(1));
                               program.rig_.store_.down_ = false;
                               program.rig_.run(milliseconds(1500));
                               program.killAll();
                               program.rig_.appendDelays_.clear();
                               program.restartAll();
                           }},
        OutageSpendingCase{"RejectedNodesAfterTheReturn",
                           7,
                           [](SerialProgram &program) {
                               program.rig_.store_.down_ = false;
                               for (std::size_t node = 0; node < 3; ++node) {
                                   program.rig_.store_.refuses_["node" + std::to_string(node)] = true;
                               }
                               program.run(seconds(6), 3);
                               for (std::size_t node = 0; node < 3; ++node) {
                                   program.rig_.kill(node);
                               }
                               program.rig_.store_.refuses_.clear();
                           }},
        OutageSpendingCase{"SecondOutageAndLoss",
                           5,
                           [](SerialProgram &program) {
                               program.killAllInOutage();
                               program.rig_.run(seconds(12));
                               program.rig_.store_.down_ = true;
                               program.rig_.run(milliseconds(1500));
                               program.run(seconds(4));
                               program.killAllInOutage();
                           }},
        OutageSpendingCase{"SecondOutageRightAfterAndLoss",
                           5,
                           [](SerialProgram &program) {
                               program.rig_.store_.down_ = false;
                               program.rig_.run(milliseconds(700));
                               program.rig_.store_.down_ = true;
                               program.run(seconds(6));
                               program.killAllInOutage();
                           }},
        OutageSpendingCase{"NodesCutFromEachOther",
                           7,
                           [](SerialProgram &program) {
                               for (std::size_t node = 0; node < 3; ++node) {
                                   program.rig_.isolatedNodes_.insert("node" + std::to_string(node));
                               }
                               program.run(seconds(4));
                               program.rig_.store_.down_ = false;
                               program.run(seconds(3));
                               program.rig_.isolatedNodes_.clear();
                           }}),
    [](const testing::TestParamInfo<OutageSpendingCase> &info) { return info.param.name_; });

namespace {

/** Brings about one random fault or its end, or lets the program run. */
void playRandomStep(SerialProgram &program, std::mt19937_64 &random)
{
    GatewayRig &rig = program.rig_;
    const std::size_t node = random() % rig.nodes_.size();
    const std::string name = "node" + std::to_string(node);
    switch (random() % 12) {
    case 0:
    case 1:
        rig.store_.down_ = true;
        break;
    case 2:
        rig.store_.down_ = false;
        break;
    case 3:
        rig.kill(node);
        rig.restart(node);
        break;
    case 4:
        if (random() % 3 == 0) {
            program.killAll();
            rig.run(milliseconds(random() % 3'000));
            program.restartAll();
        }
        break;
    case 5:
        rig.store_.refuses_[name] = random() % 3 == 0;
        break;
    case 6:
        if (random() % 2 == 0 || !rig.isolatedNodes_.insert(name).second) {
            rig.isolatedNodes_.erase(name);
        }
        break;
    case 7:
        rig.store_.loseAnswers_ = random() % 4;
        break;
    case 8:
        rig.appendDelays_[name] = milliseconds(random() % 2 == 0 ? 0 : random() % 3'000);
        break;
    case 9:
        rig.run(milliseconds(random() % 6'000));
        break;
    default:
        program.run(milliseconds(random() % 3'000), node);
        break;
    }
}

} // namespace

class RandomOutageSpending : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against combinations of faults in which spending is forgotten or not counted: the program gets more than its
// budget and the most of one turn.
TEST_P(RandomOutageSpending, NeverExceedsTheBudgetAndOneTurn)
{
    std::mt19937_64 random(GetParam());
    SerialProgram program(1 + random() % 9, budget);
    program.runOtherProgram();
    if (random() % 2 == 0) {
        program.rig_.store_.down_ = true;
        program.rig_.run(milliseconds(1500));
    }
    for (int step = 0; step < 25; ++step) {
        playRandomStep(program, random);
    }
    program.rig_.store_.down_ = false;
    program.rig_.store_.refuses_.clear();
    program.rig_.isolatedNodes_.clear();
    program.rig_.appendDelays_.clear();
    program.run(seconds(60));
    EXPECT_LE(program.tokens_, budget + turnTokens);
}

// Nodes that are cut from all others for some time before the outage, and each take themselves for the coordinator.
INSTANTIATE_TEST_SUITE_P(NodesCutLongBefore, RandomOutageSpending, testing::Values(std::uint64_t{2194}));
INSTANTIATE_TEST_SUITE_P(Seeds, RandomOutageSpending, testing::Range(std::uint64_t{1}, std::uint64_t{101}));

} // namespace filbertgw::test
