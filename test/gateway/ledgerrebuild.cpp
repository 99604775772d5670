#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"
#include "ledger/programledger.h"

#include <gtest/gtest.h>

#include <optional>

namespace filbertgw::test {

// Guards against a turn beyond the budget. While the newest records are read again in key order, its reservation is
// read back before older reservations of other writers.
TEST(ProgramLedgerRebuild, TurnIsDecidedOnlyWhenOlderReservationsAreKnown)
{
    bench::EventQueue queue;
    bench::FakeStore store(queue);
    ProgramLedgerHooks hooks;
    hooks.now_ = [&queue] { return queue.now(); };
    hooks.after_ = [&queue](Duration delay, std::function<void()> task) {
        queue.after(delay, std::move(task));
        return std::uint64_t{0};
    };
    hooks.store_ = store.access("node");
    ProgramLedgerSettings settings;
    settings.writer_ = "a.1";
    ProgramLedger ledger(std::move(hooks), settings);
    ledger.start();
    queue.runUntil(std::chrono::seconds(5));
    ASSERT_TRUE(ledger.isCurrent());
    store.put(PartitionId{"ledger", 0}, "pprogram/z.1", SpendingRecord{600, 1, 0, false}.encode());
    store.trim(); // The record can no longer be read by its offset.
    std::optional<BudgetDecision> decision;
    const TurnReservation turn{"program", 1'000, 600, false};
    ledger.reserve(turn, ReservationOptions(), [&decision](BudgetDecision made) { decision = made; });
    queue.runUntil(std::chrono::seconds(8));
    ASSERT_TRUE(decision);
    EXPECT_NE(*decision, BudgetDecision::Granted);
}

} // namespace filbertgw::test
