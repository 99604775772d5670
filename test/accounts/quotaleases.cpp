#include "accounts/quotaleases.h"

#include <gtest/gtest.h>

namespace filbertgw {
namespace {

class QuotaLeasesTest : public testing::Test
{
protected:
    Time now_{1'000'000'000};
    QuotaLeases leases_{[this] { return now_; }, QuotaSettings()};
};

// Guards against permits that a process uses after it was frozen past their deadline.
TEST_F(QuotaLeasesTest, ExpireDuringASuspension)
{
    leases_.add("a", 3, now_ + std::chrono::milliseconds(500));
    EXPECT_TRUE(leases_.take("a"));
    now_ += std::chrono::seconds(3);
    EXPECT_FALSE(leases_.take("a"));
    EXPECT_EQ(leases_.takeExpired("a"), 2U);
    EXPECT_EQ(leases_.takeExpired("a"), 0U) << "returned twice";
}

// Guards against permits that are lost with requests that were not run.
TEST_F(QuotaLeasesTest, PermitThatWasPutBackIsUsedAgainOrReturned)
{
    leases_.add("a", 1, now_ + std::chrono::milliseconds(500));
    const std::optional<Time> deadline = leases_.take("a");
    ASSERT_TRUE(deadline);
    leases_.putBack("a", *deadline);
    EXPECT_EQ(leases_.take("a"), deadline);
    now_ += std::chrono::seconds(1);
    leases_.putBack("a", *deadline);
    EXPECT_EQ(leases_.takeAllExpired().at("a"), 1U);
}

// Guards against permits in advance for nodes that would return them unused.
TEST_F(QuotaLeasesTest, NodeThatUsesFewPermitsWantsNoneInAdvance)
{
    leases_.noteUse("a");
    EXPECT_EQ(leases_.wanted("a"), 0U);
    for (int use = 0; use < 200; ++use) {
        now_ += std::chrono::milliseconds(50);
        leases_.noteUse("a");
    }
    EXPECT_GE(leases_.wanted("a"), 8U);
    EXPECT_LE(leases_.wanted("a"), 12U);
    EXPECT_TRUE(leases_.isRunningLow("a"));
}

// Guards against a node that refuses requests by itself for longer than the coordinator said.
TEST_F(QuotaLeasesTest, RefusalEndsAfterItsPauseAndCountsForItsKindOnly)
{
    leases_.noteRefusal("a", QuotaKind::FirstTurn, std::chrono::milliseconds(100), std::chrono::milliseconds(300));
    EXPECT_EQ(leases_.refusal("a", QuotaKind::FirstTurn), Duration{300'000});
    EXPECT_FALSE(leases_.refusal("a", QuotaKind::Other));
    now_ += std::chrono::milliseconds(100);
    EXPECT_FALSE(leases_.refusal("a", QuotaKind::FirstTurn));
}

} // namespace
} // namespace filbertgw
