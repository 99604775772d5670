#include "membership/membershipcontroller.h"
#include "slopes/memberfleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace filbertgw;
using namespace filbertgw::bench;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

struct FleetCase
{
    const char *name_;
    std::size_t size_;
    double loss_;
};

class Fleet : public testing::TestWithParam<FleetCase>
{
protected:
    void SetUp() override
    {
        for (std::size_t i = 0; i < GetParam().size_; ++i) {
            fleet_.add(3);
        }
        fleet_.run(seconds(15));
        ASSERT_EQ(fleet_.falseDeaths(), 0U) << "not every node knows every node after the start";
    }

    MemberFleet fleet_{GetParam().size_, GetParam().loss_};
};

// Guards against traffic that grows with the fleet, and against lost datagrams that cause a death declaration.
// Bound: 400 bytes per second and node at 390 members.
TEST_P(Fleet, IdleFleetStaysWithinTrafficBound)
{
    fleet_.watchForFalseDeaths();
    fleet_.resetBytes();
    fleet_.run(seconds(60));
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        EXPECT_LE(fleet_.bytesPerSecond(i), 400) << i;
    }
    EXPECT_EQ(fleet_.deathDeclarationsOfRunning(), 0U);
}

// Guards against a death that is detected late or only by some nodes. Bound: 99% of the other nodes within 5 s.
TEST_P(Fleet, DeathIsKnownWithinFiveSeconds)
{
    for (std::size_t victim : {3U, 11U, 19U}) {
        fleet_.kill(victim);
        fleet_.run(seconds(5));
        EXPECT_GE(fleet_.shareThatShows(victim, MemberState::Dead), 0.99) << victim;
        EXPECT_FALSE(fleet_.section(0).massLoss_);
    }
    EXPECT_EQ(fleet_.falseDeaths(), 0U);
}

// Guards against a new or leaving node that some nodes don't learn of.
TEST_P(Fleet, JoinAndLeaveAreKnownToAll)
{
    const std::size_t joined = fleet_.add(3);
    fleet_.run(seconds(8));
    EXPECT_EQ(fleet_.shareThatShows(joined, MemberState::Alive), 1.0);
    EXPECT_EQ(fleet_.section(joined).members_.size(), fleet_.size());
    fleet_.controller(joined).announceLeaving();
    fleet_.run(milliseconds(100));
    EXPECT_GE(fleet_.shareThatShows(joined, MemberState::Leaving), 0.9);
    fleet_.run(seconds(8));
    EXPECT_EQ(fleet_.shareThatShows(joined, MemberState::Leaving), 1.0);
}

// Guards against nodes that keep a node as dead after its VM resumed, and against a resumed node that declares the
// others dead because it received nothing during its pause.
TEST_P(Fleet, PausedNodeRefutesWhenItResumes)
{
    fleet_.setPaused(5, true);
    fleet_.run(seconds(10));
    EXPECT_GE(fleet_.shareThatShows(5, MemberState::Dead), 0.99);
    fleet_.setPaused(5, false);
    fleet_.run(seconds(8));
    EXPECT_EQ(fleet_.shareThatShows(5, MemberState::Alive), 1.0);
    EXPECT_EQ(fleet_.falseDeaths(), 0U);
}

// Guards against a network partition that doesn't heal, or that moves every program at once.
TEST_P(Fleet, SplitSetsMassLossAndHeals)
{
    fleet_.split([](std::size_t node) { return node % 2 == 0; });
    bool massLoss = false;
    for (int i = 0; i < 30; ++i) {
        fleet_.run(seconds(1));
        massLoss = massLoss || fleet_.section(0).massLoss_;
    }
    EXPECT_TRUE(massLoss);
    EXPECT_GE(fleet_.shareThatShows(1, MemberState::Dead), 0.45);
    fleet_.split(nullptr);
    fleet_.run(seconds(20));
    EXPECT_EQ(fleet_.falseDeaths(), 0U);
    EXPECT_FALSE(fleet_.section(0).massLoss_);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         Fleet,
                         testing::Values(FleetCase{"Thirty", 30, 0.01},
                                         FleetCase{"ThirtyHeavyLoss", 30, 0.05},
                                         FleetCase{"Target", 390, 0.01}),
                         [](const testing::TestParamInfo<FleetCase> &info) { return std::string(info.param.name_); });

// Guards against a flapping node that takes programs over on each return.
TEST(HoldDown, GrowsWithEachReturn)
{
    MemberFleet fleet(2, 0);
    for (int i = 0; i < 6; ++i) {
        fleet.add(2);
    }
    fleet.run(seconds(5));
    std::vector<double> holdDownSeconds;
    for (int round = 0; round < 4; ++round) {
        fleet.setPaused(4, true);
        fleet.run(seconds(7));
        fleet.setPaused(4, false);
        const Time resumed = fleet.now();
        while (fleet.shareThatShows(4, MemberState::Alive) < 1.0 && fleet.now() < resumed + seconds(60)) {
            fleet.run(milliseconds(50));
        }
        holdDownSeconds.push_back(toSeconds(fleet.now() - resumed));
    }
    EXPECT_LT(holdDownSeconds[0], 2.0);
    EXPECT_GE(holdDownSeconds[1], 2.0);
    EXPECT_GE(holdDownSeconds[2], 4.0);
    EXPECT_GE(holdDownSeconds[3], 8.0);
    EXPECT_LT(holdDownSeconds[3], 11.0);
}

// Guards against an outdated VM list that removes live members or adds VMs that run no node.
TEST(VmList, IsAdvisoryOnly)
{
    MemberFleet fleet(3, 0);
    fleet.add(0);
    fleet.add(0); // Without seeds it can only be found through the list.
    fleet.add(0);
    const std::size_t notStarted = 7;
    std::vector<Member> vms{MemberFleet::recordOf(0), MemberFleet::recordOf(1), MemberFleet::recordOf(notStarted)};
    fleet.controller(0).onVmList(vms);
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.section(0).members_.size(), 2U);
    EXPECT_EQ(fleet.section(1).members_.size(), 2U);
    vms.push_back(MemberFleet::recordOf(2));
    fleet.controller(1).onVmList(vms);
    fleet.run(seconds(6));
    EXPECT_EQ(fleet.section(0).members_.size(), 3U);

    fleet.controller(0).onVmList({MemberFleet::recordOf(0)});
    EXPECT_EQ(fleet.section(0).members_.size(), 3U) << "a late list removed a live member";
    vms[1].state_ = MemberState::Leaving;
    fleet.controller(0).onVmList(vms);
    EXPECT_EQ(fleet.section(0).members_.at(vms[1].id_).state_, MemberState::Leaving);
    fleet.controller(1).onVmList(vms);
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.section(1).members_.at(vms[1].id_).state_, MemberState::Leaving);
    EXPECT_EQ(fleet.section(2).members_.at(vms[1].id_).state_, MemberState::Leaving);

    fleet.kill(1);
    fleet.run(seconds(6));
    EXPECT_EQ(fleet.section(0).members_.at(vms[1].id_).state_, MemberState::Dead);
    vms.erase(vms.begin() + 1);
    fleet.controller(0).onVmList(vms);
    EXPECT_EQ(fleet.section(0).members_.size(), 2U);
    fleet.run(seconds(10));
    EXPECT_EQ(fleet.section(0).members_.size(), 2U) << "added again by a member that still lists it";
    EXPECT_EQ(dumpMembership(fleet.section(0))["members"].size(), 2U);
}
