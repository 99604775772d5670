#include "membership/slotmap.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

using namespace filbertgw;

namespace {

MembershipSection fleet(std::size_t nodes)
{
    MembershipSection section;
    for (std::size_t i = 0; i < nodes; ++i) {
        const NodeId id("node-" + std::to_string(i));
        section.members_[id].id_ = id;
    }
    return section;
}

} // namespace

struct SlotCase
{
    const char *program_;
    std::uint32_t slot_;
};

class SlotOf : public testing::TestWithParam<SlotCase>
{
};

// Guards against nodes that derive different slots from one id, and against a crash on a malformed id.
TEST_P(SlotOf, ReadsThreeDigits)
{
    EXPECT_EQ(slotOf(ProgramId(GetParam().program_)), GetParam().slot_);
}

INSTANTIATE_TEST_SUITE_P(Ids,
                         SlotOf,
                         testing::Values(SlotCase{"p0000000000000000001", 0},
                                         SlotCase{"pfff0000000000000001", 4095},
                                         SlotCase{"p0a30000000000000001", 163},
                                         SlotCase{"", 0},
                                         SlotCase{"p", 0},
                                         SlotCase{"pz10", 16}));

TEST(SlotMap, ProgramIdsCarryTheirSlot)
{
    for (std::uint32_t slot = 0; slot < slotCount; slot += 97) {
        EXPECT_EQ(slotOf(makeProgramId(slot, 0xfedcba9876543210ULL)), slot);
    }
}

// Guards against a hash that changes between versions; nodes of different versions would disagree about every slot.
TEST(SlotMap, HashIsStable)
{
    EXPECT_EQ(rendezvousHash(""), 0xc3817c016ba4ff30ULL);
    EXPECT_EQ(rendezvousWeight("node-1", "slot-7"), 0xa7a81b111905a546ULL);
}

class SlotMapAt : public testing::TestWithParam<std::size_t>
{
};

// Guards against a join or leave that moves programs of other nodes.
TEST_P(SlotMapAt, LeaveMovesOnlyTheSlotsOfTheLeavingNode)
{
    MembershipSection section = fleet(GetParam());
    SlotMap before;
    before.rebuild(section);
    const NodeId leaving("node-3");
    section.members_[leaving].state_ = MemberState::Leaving;
    SlotMap after;
    after.rebuild(section);
    for (std::uint32_t slot = 0; slot < slotCount; ++slot) {
        if (before.preferred(slot) != leaving) {
            EXPECT_EQ(before.preferred(slot), after.preferred(slot));
        }
    }
    EXPECT_TRUE(after.slotsOf(leaving).empty());
}

// Guards against a hash that assigns far more programs to some nodes than to others.
TEST_P(SlotMapAt, SharesAreEven)
{
    SlotMap map;
    map.rebuild(fleet(GetParam()));
    const double fair = static_cast<double>(slotCount) / static_cast<double>(GetParam());
    std::size_t largest = 0;
    for (std::size_t i = 0; i < GetParam(); ++i) {
        largest = std::max(largest, map.slotsOf(NodeId("node-" + std::to_string(i))).size());
    }
    // Shares are binomial; four standard deviations above the mean plus rounding.
    EXPECT_LE(static_cast<double>(largest), fair + 4.5 * std::sqrt(fair) + 1);
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlotMapAt, testing::Values(10, 12, 100, 390));

TEST(SlotMap, SuspectedKeepsAndDeadLosesItsSlots)
{
    MembershipSection section = fleet(5);
    SlotMap map;
    map.rebuild(section);
    const std::size_t share = map.slotsOf(NodeId("node-1")).size();
    section.members_[NodeId("node-1")].state_ = MemberState::Suspected;
    map.rebuild(section);
    EXPECT_EQ(map.slotsOf(NodeId("node-1")).size(), share);
    section.members_[NodeId("node-1")].state_ = MemberState::Dead;
    map.rebuild(section);
    EXPECT_TRUE(map.slotsOf(NodeId("node-1")).empty());
    map.rebuild(MembershipSection());
    EXPECT_TRUE(map.preferred(0).isEmpty());
}
