#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr Duration shortWait = std::chrono::milliseconds(200);

} // namespace

/** \brief End of the first attempt and the expected reaction. */
struct FirstAttempt
{
    const char *name_;
    RouteKind kind_;
    AttemptEnd end_;
    bool refused_;
    std::size_t attempts_; ///< Expected attempts; a second one succeeds.
    int status_;
};

class FirstAttemptFails : public testing::TestWithParam<FirstAttempt>
{
};

// Guards against a repeated execution of a request that must run once, and against failing one that did not run.
TEST_P(FirstAttemptFails, IsRepeatedOnlyIfThatIsAllowed)
{
    GatewayRig rig(1, {plainRoute(GetParam().kind_, 2)});
    rig.addEndpoints("services", "s", 3);
    const std::shared_ptr<ClientResponse> client = rig.send(0, plainRequest("r1"));
    ASSERT_EQ(rig.attempts_.size(), 1U);
    if (GetParam().refused_) {
        rig.refuse(0);
    } else {
        rig.end(0, GetParam().end_);
    }
    rig.run(shortWait);
    ASSERT_EQ(rig.attempts_.size(), GetParam().attempts_);
    if (GetParam().attempts_ == 2) {
        EXPECT_NE(rig.attempts_[0].attempt_.endpoint_, rig.attempts_[1].attempt_.endpoint_);
        EXPECT_LT(rig.attempts_[1].attempt_.timeLeft_, rig.attempts_[0].attempt_.timeLeft_ + Duration{1});
        rig.answer(1, 200, "done");
    }
    EXPECT_TRUE(client->ended_);
    EXPECT_EQ(client->status_, GetParam().status_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    FirstAttemptFails,
    testing::Values(FirstAttempt{"IdempotentBroken", RouteKind::Idempotent, AttemptEnd::Broken, false, 2, 200},
                    FirstAttempt{"NonIdempotentBroken", RouteKind::NonIdempotent, AttemptEnd::Broken, false, 1, 502},
                    FirstAttempt{
                        "NonIdempotentTimedOut", RouteKind::NonIdempotent, AttemptEnd::TimedOut, false, 1, 504},
                    FirstAttempt{"NonIdempotentNotSent", RouteKind::NonIdempotent, AttemptEnd::NotSent, false, 2, 200},
                    FirstAttempt{"NonIdempotentRefused", RouteKind::NonIdempotent, AttemptEnd::Complete, true, 2, 200},
                    FirstAttempt{"UnsignedAnswer", RouteKind::NonIdempotent, AttemptEnd::Complete, false, 1, 502}),
    [](const testing::TestParamInfo<FirstAttempt> &info) { return info.param.name_; });

// Guards against more attempts than the route allows.
TEST(Calls, RunOnNoMoreEndpointsThanTheRouteAllows)
{
    GatewayRig rig(1, {plainRoute(RouteKind::Idempotent, 2)});
    rig.addEndpoints("services", "s", 5);
    const std::shared_ptr<ClientResponse> client = rig.send(0, plainRequest("r1"));
    rig.end(0, AttemptEnd::Broken);
    rig.run(shortWait);
    rig.end(1, AttemptEnd::Broken);
    rig.run(shortWait);
    EXPECT_EQ(rig.attempts_.size(), 2U);
    EXPECT_EQ(client->status_, 502);
}

/** \brief A request that an endpoint may have run before its service has no endpoint left. */
struct RanBeforeCase
{
    const char *name_;
    Route route_;
    GatewayRequest request_;
};

class RanBefore : public testing::TestWithParam<RanBeforeCase>
{
};

// Guards against the promise that a request has not run, for one that an endpoint may have run.
TEST_P(RanBefore, IsNotSaidToHaveNotRun)
{
    GatewayRig rig(1, {GetParam().route_});
    rig.addEndpoints(GetParam().route_.targets_[0].service_, "e", 2);
    const std::shared_ptr<ClientResponse> client = rig.send(0, GetParam().request_);
    rig.run(shortWait);
    ASSERT_EQ(rig.attempts_.size(), 1U);
    rig.removeEndpoint("e0");
    rig.removeEndpoint("e1");
    rig.end(0, AttemptEnd::Broken);
    rig.run(std::chrono::seconds(4));
    EXPECT_EQ(rig.attempts_.size(), 1U);
    EXPECT_TRUE(client->ended_);
    EXPECT_EQ(client->status_, 502);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RanBefore,
    testing::Values(RanBeforeCase{"Idempotent", plainRoute(RouteKind::Idempotent, 2), plainRequest("r1")},
                    RanBeforeCase{"NonIdempotent", plainRoute(RouteKind::NonIdempotent, 2), plainRequest("r1")},
                    RanBeforeCase{"StreamThatMayBeResumed", streamingRoute(false, 2, true), turn("t1", "p", "p")}),
    [](const testing::TestParamInfo<RanBeforeCase> &info) { return info.param.name_; });

// Guards against a failure of an endpoint that reaches the client with another status or body.
TEST(Calls, FailureOfAnEndpointIsPassedOnAsItIs)
{
    GatewayRig rig(1, {plainRoute(RouteKind::NonIdempotent, 1)});
    rig.addEndpoints("services", "s", 1);
    const std::shared_ptr<ClientResponse> client = rig.send(0, plainRequest("r1"));
    rig.answer(0, 507, "no room");
    EXPECT_EQ(client->status_, 507);
    EXPECT_EQ(client->body_, "no room");
}

// Guards against a request that waits until its deadline although its service has no endpoint.
TEST(Calls, WithoutEndpointsAreRefusedAtOnce)
{
    GatewayRig rig(1, {plainRoute(RouteKind::NonIdempotent, 1)});
    rig.addEndpoints("others", "o", 1);
    const std::shared_ptr<ClientResponse> client = rig.send(0, plainRequest("r1"));
    EXPECT_EQ(client->status_, 503);
    EXPECT_EQ(client->headers_.count("Retry-After"), 1U);
}

// Guards against a response later than the timeout of the route.
TEST(Calls, EndAtTheRoutesTimeout)
{
    GatewayRig rig(1, {plainRoute(RouteKind::NonIdempotent, 1)});
    rig.addEndpoints("services", "s", 1);
    const std::shared_ptr<ClientResponse> client = rig.send(0, plainRequest("r1"));
    rig.run(std::chrono::milliseconds(2100));
    EXPECT_EQ(client->status_, 504);
    EXPECT_TRUE(rig.attempts_[0].cancelled_);
}

// Guards against engines that continue to generate for a client that has disconnected.
TEST(Calls, ClientThatLeavesEndsTheAttempt)
{
    GatewayRig rig(1, {plainRoute(RouteKind::Idempotent, 2)});
    rig.addEndpoints("services", "s", 2);
    const std::shared_ptr<ClientResponse> client = rig.send(0, plainRequest("r1"));
    client->closed_();
    EXPECT_TRUE(rig.attempts_[0].cancelled_);
    rig.run(std::chrono::seconds(3));
    EXPECT_EQ(rig.attempts_.size(), 1U);
}

// Guards against new requests to an endpoint that is draining.
TEST(Calls, DrainingEndpointGetsNothing)
{
    GatewayRig rig(1, {plainRoute(RouteKind::Idempotent, 2)});
    rig.addEndpoints("services", "s", 2);
    Endpoint leaving;
    leaving.id_ = "s0";
    leaving.service_ = "services";
    leaving.address_ = "s0";
    leaving.slots_ = 4;
    leaving.draining_ = true;
    rig.nodes_[0]->updateEndpoint(leaving);
    for (int i = 0; i < 20; ++i) {
        rig.send(0, plainRequest("r" + std::to_string(i)));
    }
    for (const ReceivedAttempt &attempt : rig.attempts_) {
        EXPECT_EQ(attempt.attempt_.endpoint_, "s1");
    }
}

// Guards against removing live endpoints whose registry entries expired during an outage of the registry.
TEST(Calls, EntryThatLapsedInAnOutageMayComeBack)
{
    GatewayRig rig(1, {plainRoute(RouteKind::Idempotent, 2)});
    rig.addEndpoints("services", "s", 1);
    rig.run(std::chrono::seconds(5));
    rig.nodes_[0]->setRegistryReachable(false);
    rig.run(std::chrono::seconds(5));
    rig.nodes_[0]->setRegistryReachable(true);
    rig.nodes_[0]->removeEndpoint("s0");
    rig.run(std::chrono::seconds(1));
    rig.send(0, plainRequest("r1"));
    EXPECT_EQ(rig.attempts_.size(), 1U);
    rig.run(std::chrono::seconds(2));
    const std::shared_ptr<ClientResponse> late = rig.send(0, plainRequest("r2"));
    EXPECT_EQ(rig.attempts_.size(), 1U) << "an entry that does not return is gone";
    EXPECT_EQ(late->status_, 503);
}

// Guards against an older configuration that arrives after a newer one and replaces it.
TEST(Calls, ConfigurationNeverReverts)
{
    GatewayRig rig(1, {plainRoute(RouteKind::Idempotent, 2)});
    rig.addEndpoints("services", "s", 1);
    Route moved = plainRoute(RouteKind::Idempotent, 2);
    moved.pathPrefix_ = "/moved/";
    rig.nodes_[0]->setRouting(
        std::make_shared<const RoutingTable>(9, std::vector<Route>{moved}, std::vector<Service>{}));
    rig.nodes_[0]->setRouting(std::make_shared<const RoutingTable>(
        8, std::vector<Route>{plainRoute(RouteKind::Idempotent, 2)}, std::vector<Service>{}));
    EXPECT_EQ(rig.send(0, plainRequest("r1"))->status_, 404);
}

// Guards against a resumed stream that skips or repeats events or contains a partial event.
TEST(Streams, BrokenStreamIsResumedAfterItsLastWholeEvent)
{
    GatewayRig rig(1, {streamingRoute(false, 2, true)});
    rig.addEndpoints("engines", "e", 2);
    const std::shared_ptr<ClientResponse> client = rig.send(0, turn("t1", "p", "p"));
    rig.run(shortWait);
    ASSERT_EQ(rig.attempts_.size(), 1U);
    rig.stream(0, {"a", "b"}, false);
    rig.attempts_[0].handlers_.onPart_("id: 3\ndata: ha");
    rig.end(0, AttemptEnd::Broken);
    rig.run(shortWait);
    ASSERT_EQ(rig.attempts_.size(), 2U);
    EXPECT_EQ(rig.attempts_[1].attempt_.lastEventId_, "2");
    rig.stream(1, {"half"}, true, 3);
    EXPECT_TRUE(client->ended_);
    EXPECT_EQ(client->body_, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: half\n\n");
}

/** \brief What happens to a stream that broke off and is to be resumed. */
struct ResumeCase
{
    const char *name_;
    std::function<void(GatewayRig &rig)> happens_;
};

class StreamToResume : public testing::TestWithParam<ResumeCase>
{
};

// Guards against a client that waits for the rest of a stream that no endpoint goes on with.
TEST_P(StreamToResume, IsCutIfNoEndpointGoesOn)
{
    GatewayRig rig(1, {streamingRoute(false, 2, true)});
    rig.addEndpoints("engines", "e", 2);
    const std::shared_ptr<ClientResponse> client = rig.send(0, turn("t1", "p", "p"));
    rig.run(shortWait);
    rig.stream(0, {"a"}, false);
    GetParam().happens_(rig);
    rig.run(std::chrono::seconds(4));
    EXPECT_TRUE(client->aborted_);
    EXPECT_FALSE(client->ended_);
    EXPECT_EQ(client->body_, "id: 1\ndata: a\n\n");
}

INSTANTIATE_TEST_SUITE_P(Table,
                         StreamToResume,
                         testing::Values(ResumeCase{"NoEndpointIsLeft",
                                                    [](GatewayRig &rig) {
                                                        rig.removeEndpoint("e0");
                                                        rig.removeEndpoint("e1");
                                                        rig.end(0, AttemptEnd::Broken);
                                                    }},
                                         ResumeCase{"NextAttemptBreaksOff",
                                                    [](GatewayRig &rig) {
                                                        rig.end(0, AttemptEnd::Broken);
                                                        rig.end(1, AttemptEnd::Broken);
                                                    }},
                                         ResumeCase{"NextEndpointFails",
                                                    [](GatewayRig &rig) {
                                                        rig.end(0, AttemptEnd::Broken);
                                                        rig.answer(1, 500, "failed");
                                                    }},
                                         ResumeCase{"NextEndpointSaysNothing",
                                                    [](GatewayRig &rig) { rig.end(0, AttemptEnd::Broken); }}),
                         [](const testing::TestParamInfo<ResumeCase> &info) { return info.param.name_; });

// Guards against an incomplete stream that looks complete to the client.
TEST(Streams, BrokenStreamThatMayNotBeResumedIsCutVisibly)
{
    GatewayRig rig(1, {streamingRoute(false, 1, true)});
    rig.addEndpoints("engines", "e", 2);
    const std::shared_ptr<ClientResponse> client = rig.send(0, turn("t1", "p", "p"));
    rig.run(shortWait);
    rig.stream(0, {"a"}, false);
    rig.end(0, AttemptEnd::Broken);
    rig.run(shortWait);
    EXPECT_TRUE(client->aborted_);
    EXPECT_FALSE(client->ended_);
    EXPECT_EQ(rig.attempts_.size(), 1U);
}

// Guards against a stream that is taken for complete although it ends inside an event.
TEST(Streams, EndInsideAnEventIsNoEnd)
{
    GatewayRig rig(1, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 1);
    const std::shared_ptr<ClientResponse> client = rig.send(0, turn("t1", "p", "p"));
    rig.run(shortWait);
    rig.stream(0, {"a"}, false);
    rig.attempts_[0].handlers_.onPart_("id: 2\nda");
    rig.end(0, AttemptEnd::Complete);
    EXPECT_TRUE(client->aborted_);
}

// Guards against live nodes that are taken for dead because each report goes to only some nodes of a large fleet.
TEST(Fleet, LivingNodesOfALargeFleetAreNeverLost)
{
    constexpr std::size_t nodes = 90;
    GatewayRig rig(nodes, {streamingRoute(false, 1, false)});
    rig.run(std::chrono::seconds(2));
    for (int i = 0; i < 30; ++i) {
        rig.run(std::chrono::milliseconds(100));
        EXPECT_EQ(rig.nodes_[0]->state()["peers_alive"], nodes - 1);
    }
    rig.kill(1);
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(rig.nodes_[0]->state()["peers_alive"], nodes - 2);
}

// Guards against a removed endpoint that is added again, and never removed, by the reports of nodes whose requests
// still run there.
TEST(Fleet, ReportsOfOthersBringNoEndpointBack)
{
    GatewayRig rig(2, {plainRoute(RouteKind::NonIdempotent, 2)});
    rig.addEndpoints("services", "s", 2);
    rig.run(std::chrono::seconds(5));
    rig.send(0, plainRequest("r1"));
    rig.run(std::chrono::seconds(1));
    ASSERT_EQ(rig.attempts_.size(), 1U);
    const std::string busy = rig.attempts_.front().attempt_.endpoint_;
    EXPECT_EQ(rig.nodes_[1]->state()["endpoints_placed"], 1) << "node 0 reports its request";
    rig.nodes_[1]->removeEndpoint(busy);
    rig.run(std::chrono::seconds(1));
    EXPECT_EQ(rig.nodes_[1]->state()["endpoints"], 1);
    EXPECT_EQ(rig.nodes_[1]->state()["endpoints_placed"], 0);
}

// Guards against prompt parts that are computed again because only some nodes of a large fleet know where they are
// cached.
TEST(Fleet, AllNodesOfALargeFleetLearnWhereAContextLies)
{
    constexpr std::size_t nodes = 60;
    GatewayRig rig(nodes, {streamingRoute(false, 1, false)});
    rig.addEndpoints("engines", "e", 20);
    rig.run(std::chrono::seconds(2));
    std::string engine;
    for (std::size_t node = 0; node < nodes; ++node) {
        GatewayRequest request = turn("t" + std::to_string(node), "p" + std::to_string(node), "line");
        request.prompt_ = {PromptPart{"context", 8'000}};
        request.expectedOutputTokens_ = 30;
        const std::size_t attempt = rig.attempts_.size();
        rig.send(node, request);
        rig.run(shortWait);
        ASSERT_EQ(rig.attempts_.size(), attempt + 1);
        if (node == 0) {
            engine = rig.attempts_[attempt].attempt_.endpoint_;
        }
        EXPECT_EQ(rig.attempts_[attempt].attempt_.endpoint_, engine) << "node " << node;
        rig.stream(attempt, {"a"}, true);
        if (node == 0) {
            rig.run(std::chrono::seconds(1));
        }
    }
}

} // namespace filbertgw::test
