#include "placement/retryafterpolicy.h"

#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

/** \brief A refusal and the expected range of its retry time. */
struct RetryAfterCase
{
    const char *name_;
    RefusalReason reason_;
    bool storeUnavailable_;
    Duration minDelay_;
    Duration maxDelay_;
};

class RetryAfterTime : public testing::TestWithParam<RetryAfterCase>
{
};

// Guards against clients that use up their retries in an outage, and against long waits if another node can serve.
TEST_P(RetryAfterTime, DependsOnTheReason)
{
    const RetryAfterPolicy policy{RetryAfterSettings()};
    for (const double draw : {0.0, 0.3, 0.999}) {
        const Duration after = policy.retryAfter(GetParam().reason_, GetParam().storeUnavailable_, draw);
        EXPECT_GE(after, GetParam().minDelay_);
        EXPECT_LE(after, GetParam().maxDelay_);
    }
}

constexpr Duration soon = std::chrono::milliseconds(500);
constexpr Duration late = std::chrono::milliseconds(1'200);
constexpr Duration latest = std::chrono::milliseconds(1'800);

INSTANTIATE_TEST_SUITE_P(
    Table,
    RetryAfterTime,
    testing::Values(RetryAfterCase{"BudgetInAnOutage", RefusalReason::BudgetUnknown, true, late, latest},
                    RetryAfterCase{"TurnInAnOutage", RefusalReason::TurnUnknown, true, late, latest},
                    RetryAfterCase{"BudgetElsewhere", RefusalReason::BudgetUnknown, false, Duration{1}, soon},
                    RetryAfterCase{"OverloadInAnOutage", RefusalReason::Overloaded, true, Duration{1}, soon},
                    RetryAfterCase{"NoConfiguration", RefusalReason::NoConfiguration, true, Duration{1}, soon}),
    [](const testing::TestParamInfo<RetryAfterCase> &info) { return info.param.name_; });

// Guards against programs that are abandoned in an outage of 5 s because their clients retry too early.
TEST(RetryAfter, ProgramSurvivesAStoreOutage)
{
    GatewayRig rig(2, {streamingRoute(false, 2, true)});
    rig.addEndpoints("engines", "e", 2);
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(2));
    // Budget is reserved ahead only for the root agent, so that turns of sub-agents are refused during the outage. The
    // client sends a turn three times, each with one retry.
    GatewayRequest request = turn("t1", "p", "sub-agent");
    const Time began = rig.queue_.now();
    for (int send = 0; send < 3; ++send) {
        request.id_ = "t" + std::to_string(send);
        const std::shared_ptr<ClientResponse> answer = rig.send(static_cast<std::size_t>(send % 2), request);
        rig.run(std::chrono::milliseconds(100));
        ASSERT_EQ(answer->status_, 503);
        rig.run(Duration(static_cast<std::int64_t>(std::stod(answer->headers_["Retry-After"]) * 1e6)));
    }
    EXPECT_GE(rig.queue_.now() - began, std::chrono::milliseconds(3'500));
}

} // namespace filbertgw::test
