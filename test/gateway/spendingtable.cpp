#include "ledger/spendingtable.h"

#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

SpendingTable makeTable()
{
    return SpendingTable("self", [] { return Time{std::chrono::seconds(100)}; });
}

} // namespace

// Guards against a record from before an outage that is read after it and replaces the grants of the outage.
TEST(SpendingTable, RecordOfBeforeAGrantDoesNotReplaceIt)
{
    SpendingTable table = makeTable();
    table.applyGrant("p", WriterSpending{"other", 900, 300, 7, 1, 0});
    table.applyRecord("p", "other", SpendingRecord{300, 7, 0, false});
    EXPECT_EQ(table.total("p"), 900U);
    table.applyRecord("p", "other", SpendingRecord{500, 8, 0, false});
    EXPECT_EQ(table.total("p"), 500U);
    EXPECT_TRUE(table.unrecordedGrants().empty());
}

// Guards against a report that arrives after a later one of the same writer and replaces it.
TEST(SpendingTable, OlderClaimDoesNotReplaceALaterOne)
{
    SpendingTable table = makeTable();
    table.applyGrant("p", WriterSpending{"other", 600, 0, 0, 2, 0});
    table.applyGrant("p", WriterSpending{"other", 300, 0, 0, 1, 0});
    EXPECT_EQ(table.total("p"), 600U);
    table.applyGrant("p", WriterSpending{"other", 400, 0, 0, 3, 0});
    EXPECT_EQ(table.total("p"), 400U);
}

// Guards against an older total that a peer records for a live node and that then stays in the store.
TEST(SpendingTable, WriterCorrectsWhatAnotherNodeHasVouchedFor)
{
    GatewayRig rig(1, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 4);
    rig.send(0, turn("a", "p", "p"));
    rig.run(std::chrono::seconds(1));
    rig.stream(0, {"a", "b", "c"}, true);
    rig.run(std::chrono::seconds(1));
    rig.putSpending("p", "node0.1", SpendingRecord{0, 0, 0, true});
    rig.run(std::chrono::seconds(2));
    rig.kill(0);
    rig.restart(0);
    rig.run(std::chrono::seconds(2));
    for (int i = 0; i < 4; ++i) {
        const std::size_t before = rig.attempts_.size();
        rig.send(0, turn("b" + std::to_string(i), "p", "sub-" + std::to_string(i)));
        rig.run(std::chrono::seconds(1));
        if (rig.attempts_.size() > before) {
            rig.stream(before, {"a", "b", "c"}, true);
        }
    }
    EXPECT_EQ(rig.attempts_.size(), 3U);
}

/** \brief A value in the ledger that is not a record of this version. */
class UnreadableSpending : public testing::TestWithParam<const char *>
{
};

// Guards against truncated or foreign records that count as spending.
TEST_P(UnreadableSpending, IsPassedOver)
{
    EXPECT_FALSE(SpendingRecord::decode(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    UnreadableSpending,
    testing::Values("", " ", "12", "12 3", "12 3 4 x", "12 3 4 v ", "-1 2 3", "1 2 99999999999999999999"));

} // namespace filbertgw::test
