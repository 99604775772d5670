#include "accounts/quotacoordinator.h"

#include <gtest/gtest.h>

namespace filbertgw {
namespace {

// Guards against a second burst of an account that has just used up its quota when its coordinator changes: the state
// may be handed over before the first request reaches the new coordinator, which may have been running for long.
TEST(QuotaCoordinator, HandoverGivesNoMoreThanTheInitialLevel)
{
    const Time now{std::chrono::hours(1)};
    const QuotaSettings settings;
    const QuotaLimit limit{20.0, 20.0};
    QuotaCoordinator coordinator([now] { return now; }, settings);
    coordinator.takeOver("a", limit, QuotaState());
    ASSERT_TRUE(coordinator.levelOf("a"));
    EXPECT_LE(*coordinator.levelOf("a"), settings.initialLevel(limit));
}

} // namespace
} // namespace filbertgw
