#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration grace = seconds(8);
constexpr int unavailable = 503;
constexpr int badGateway = 502;

} // namespace

/** \brief A request at some time in a planned stop; routes and clients allow it 2 s. */
struct StopCase
{
    const char *name_;
    Duration sentAfter_; ///< The begin of the stop.
    Duration answeredAfter_; ///< It was sent to an endpoint.
    std::size_t attempts_; ///< Expected.
    int status_;
};

class PlannedStop : public testing::TestWithParam<StopCase>
{
};

// Guards against requests that come late in the grace period, are passed on, and are cut at its end with no answer.
TEST_P(PlannedStop, AnswersEachRequestBeforeItsEnd)
{
    GatewayRig rig(2, {plainRoute(RouteKind::NonIdempotent, 1)});
    rig.addEndpoints("services", "s", 2);
    rig.run(seconds(2));
    rig.nodes_[0]->beginStop(grace);
    rig.run(GetParam().sentAfter_);
    const std::shared_ptr<ClientResponse> client = rig.send(0, plainRequest("r1"));
    ASSERT_EQ(rig.attempts_.size(), GetParam().attempts_);
    const Duration left = grace - GetParam().sentAfter_;
    rig.run(std::min(left, GetParam().answeredAfter_));
    if (GetParam().answeredAfter_ < left && !rig.attempts_.empty()) {
        rig.answer(0, 200, "done");
    }
    rig.run(std::max(Duration{0}, left - GetParam().answeredAfter_));
    rig.nodes_[0]->endCalls();
    EXPECT_TRUE(client->ended_);
    EXPECT_EQ(client->status_, GetParam().status_);
    EXPECT_EQ(rig.nodes_[0]->openCalls(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    PlannedStop,
    testing::Values(StopCase{"AtOnce", milliseconds(0), milliseconds(1'500), 1, 200},
                    StopCase{"WhileItCanEndInTime", milliseconds(5'900), milliseconds(1'900), 1, 200},
                    StopCase{"TooLateToEndInTime", milliseconds(6'100), milliseconds(100), 0, unavailable},
                    StopCase{"AtTheEnd", milliseconds(7'990), milliseconds(5), 0, unavailable}),
    [](const testing::TestParamInfo<StopCase> &info) { return info.param.name_; });

// Guards against calls that the end of a stop cuts, so that their clients learn nothing of them.
TEST(PlannedStopEnd, TellsWhetherARequestMayHaveRun)
{
    Route route = plainRoute(RouteKind::NonIdempotent, 1);
    route.timeout_ = seconds(30);
    GatewayRig rig(1, {route});
    rig.addEndpoints("services", "s", 1);
    rig.run(seconds(2));
    GatewayRequest request = plainRequest("r1");
    request.timeLeft_ = seconds(30);
    const std::shared_ptr<ClientResponse> running = rig.send(0, request);
    ASSERT_EQ(rig.attempts_.size(), 1U);
    rig.nodes_[0]->beginStop(grace);
    rig.run(grace);
    rig.nodes_[0]->endCalls();
    EXPECT_EQ(running->status_, badGateway);
    EXPECT_TRUE(rig.attempts_[0].cancelled_);
}

} // namespace filbertgw::test
