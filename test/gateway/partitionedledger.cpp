#include "ledger/partitionedledger.h"

#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"

#include <gtest/gtest.h>

#include <optional>

namespace filbertgw::test {

/** \brief Append rate of a store, and the expected number of ledger partitions. */
struct CapacityCase
{
    const char *name_;
    AppendCapacity capacity_;
    std::size_t partitions_;
};

class LedgerPartitionsIn : public testing::TestWithParam<CapacityCase>
{
};

// Guards against partitions that are hardly used although all nodes read each of them, and against absurd settings.
TEST_P(LedgerPartitionsIn, FollowWhatTheStoreTakes)
{
    EXPECT_EQ(ledgerPartitionCount(GetParam().capacity_), GetParam().partitions_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LedgerPartitionsIn,
                         testing::Values(CapacityCase{"Unknown", {0.0, Duration{0}}, 1},
                                         CapacityCase{"TenNodes", {800.0, Duration{4'000}}, 1},
                                         CapacityCase{"EightyNodes", {1'500.0, Duration{4'000}}, 1},
                                         CapacityCase{"HundredsOfNodes", {3'200.0, Duration{4'000}}, 2},
                                         CapacityCase{"FastAppends", {3'200.0, Duration{500}}, 1},
                                         CapacityCase{"Absurd", {1e12, Duration{4'000}}, 8}),
                         [](const testing::TestParamInfo<CapacityCase> &info) { return info.param.name_; });

namespace {

/** \brief Ledgers of several nodes in one store. */
struct LedgerRig
{
    static constexpr std::size_t partitions = 4;

    LedgerRig()
        : store_(queue_)
    {
    }

    std::unique_ptr<PartitionedLedger> start(const std::string &writer)
    {
        ProgramLedgerHooks hooks;
        hooks.now_ = [this] { return queue_.now(); };
        hooks.after_ = [this](Duration delay, std::function<void()> task) {
            queue_.after(delay, std::move(task));
            return std::uint64_t{0};
        };
        hooks.store_ = store_.access(writer);
        ProgramLedgerSettings settings;
        settings.writer_ = writer;
        std::unique_ptr<PartitionedLedger> ledger = std::make_unique<PartitionedLedger>(hooks, settings, partitions);
        ledger->start();
        run(std::chrono::seconds(5));
        return ledger;
    }

    void run(Duration time)
    {
        queue_.runUntil(queue_.now() + time);
    }

    std::optional<BudgetDecision> reserve(PartitionedLedger &ledger, const TurnReservation &turn)
    {
        std::optional<BudgetDecision> decision;
        ledger.ledgerOf(turn.program_).reserve(turn, ReservationOptions(), [&decision](BudgetDecision made) {
            decision = made;
        });
        run(std::chrono::seconds(1));
        return decision;
    }

    bench::EventQueue queue_;
    bench::FakeStore store_;
};

} // namespace

// Guards against a budget that is spent twice because another node looks for the spending in another partition.
TEST(PartitionedLedger, EachProgramHasOneBudgetAtAllNodesAndAfterTheirLoss)
{
    LedgerRig rig;
    std::unique_ptr<PartitionedLedger> first = rig.start("a.1");
    std::unique_ptr<PartitionedLedger> second = rig.start("b.1");
    constexpr int programs = 40;
    for (int i = 0; i < programs; ++i) {
        const std::string program = "program" + std::to_string(i);
        EXPECT_EQ(rig.reserve(*first, TurnReservation{program, 1'000, 600, false}), BudgetDecision::Granted);
        EXPECT_EQ(rig.reserve(*second, TurnReservation{program, 1'000, 600, false}), BudgetDecision::Exhausted);
    }
    EXPECT_TRUE(first->isFlushed());
    first.reset();
    second.reset();
    std::unique_ptr<PartitionedLedger> third = rig.start("c.1");
    EXPECT_EQ(third->programCount(), std::size_t{programs});
    for (int i = 0; i < programs; ++i) {
        const std::string program = "program" + std::to_string(i);
        EXPECT_EQ(rig.reserve(*third, TurnReservation{program, 1'000, 600, false}), BudgetDecision::Exhausted);
    }
}

// Guards against a node that considers itself current while it can't read one of the partitions.
TEST(PartitionedLedger, IsCurrentOnlyIfEachPartitionIs)
{
    LedgerRig rig;
    std::unique_ptr<PartitionedLedger> ledger = rig.start("a.1");
    EXPECT_TRUE(ledger->isCurrent());
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(3));
    EXPECT_FALSE(ledger->isCurrent());
    EXPECT_FALSE(ledger->isReachable());
    EXPECT_GT(ledger->age(), Duration(std::chrono::seconds(2)));
    rig.store_.down_ = false;
    rig.run(std::chrono::seconds(6));
    EXPECT_TRUE(ledger->isCurrent());
}

} // namespace filbertgw::test
