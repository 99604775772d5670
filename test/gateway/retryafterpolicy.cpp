#include "gateway/retryafterpolicy.h"

#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

/** \brief A refusal and when its client should come back. */
struct RetryAfterCase
{
    const char *name_;
    RefusalReason reason_;
    bool storeAway_;
    Duration least_;
    Duration most_;
};

class RetryAfterOf : public testing::TestWithParam<RetryAfterCase>
{
};

// Guards against clients that use up their retries in an outage, and against long waits where another node can serve.
TEST_P(RetryAfterOf, FitsTheReason)
{
    const RetryAfterPolicy policy{RetryAfterSettings()};
    for (const double draw : {0.0, 0.3, 0.999}) {
        const Duration after = policy.retryAfter(GetParam().reason_, GetParam().storeAway_, draw);
        EXPECT_GE(after, GetParam().least_);
        EXPECT_LE(after, GetParam().most_);
    }
}

constexpr Duration soon = std::chrono::milliseconds(500);
constexpr Duration late = std::chrono::milliseconds(1'200);
constexpr Duration latest = std::chrono::milliseconds(1'800);

INSTANTIATE_TEST_SUITE_P(
    Table,
    RetryAfterOf,
    testing::Values(RetryAfterCase{"BudgetInAnOutage", RefusalReason::BudgetUnknown, true, late, latest},
                    RetryAfterCase{"TurnInAnOutage", RefusalReason::TurnUnknown, true, late, latest},
                    RetryAfterCase{"BudgetElsewhere", RefusalReason::BudgetUnknown, false, Duration{1}, soon},
                    RetryAfterCase{"OverloadInAnOutage", RefusalReason::Overloaded, true, Duration{1}, soon},
                    RetryAfterCase{"NoConfiguration", RefusalReason::NoConfiguration, true, Duration{1}, soon}),
    [](const testing::TestParamInfo<RetryAfterCase> &info) { return info.param.name_; });

// Guards against programs that are given up in an outage of 5 s, because each client comes back too soon.
TEST(RetryAfter, ProgramOutlivesAnOutageOfTheStore)
{
    GatewayRig rig(2, {streamingRoute(false, 2, true)});
    rig.addEndpoints("engines", "e", 2);
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(2));
    // Sub-agents have no claim on what the program has left; the client sends a turn three times, each with one retry.
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
