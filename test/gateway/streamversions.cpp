#include "streamworld.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration nodeDownTime = milliseconds(1'000);
/** Streams that hold events of two versions, over all nodes. */
constexpr int maxMixedStreams = 2;
constexpr std::size_t fewestEngines = 12;
constexpr double fewestStreamsPerSecond = 60.0;
/** Fewer streams that are taken up say nothing about their share. */
constexpr int fewestTakenUp = 12;

/** Three versions, one after the other, and back to the first: about half of the engines each time. */
void releaseToAndFro(StreamWorld &world, const std::function<void()> &trouble)
{
    const std::size_t half = world.engines() / 2;
    for (const char *version : {"v2", "v3", "v1"}) {
        world.release(version, half, milliseconds(400));
        for (int round = 0; round < 3; ++round) {
            world.run(seconds(2));
            trouble();
        }
    }
    world.run(seconds(3));
}

std::vector<std::size_t> everyThirdNode(const StreamWorld &world, std::size_t first)
{
    std::vector<std::size_t> nodes;
    for (std::size_t node = first; node < world.nodes(); node += 3) {
        nodes.push_back(node);
    }
    return nodes;
}

} // namespace

/** \brief A fleet and what happens to it while releases run. */
struct StreamCase
{
    const char *name_;
    std::size_t nodes_;
    std::uint32_t maxAttempts_;
    std::function<void(StreamWorld &world)> run_;
    std::uint64_t seed_ = 1;
};

class StreamVersion : public testing::TestWithParam<StreamCase>
{
};

// Guards against a stream that goes on at another version than the one that began it, and against refusing most that
// could go on.
TEST_P(StreamVersion, IsKeptWhereTheStreamGoesOn)
{
    StreamWorldSettings settings;
    settings.nodes_ = GetParam().nodes_;
    settings.engines_ = std::max<std::size_t>(fewestEngines, GetParam().nodes_ / 4);
    settings.streamsPerSecond_ = std::max(fewestStreamsPerSecond, static_cast<double>(GetParam().nodes_));
    settings.maxAttempts_ = GetParam().maxAttempts_;
    settings.seed_ = GetParam().seed_;
    StreamWorld world(settings);
    GetParam().run_(world);
    const StreamResult &result = world.result();
    std::cout << "begun " << result.begun_ << ", of these with events " << result.beganEvents_ << ", taken up "
              << result.takenUp_ << ", went on " << result.wentOn_ << ", mixed " << result.mixed_ << "\n";
    EXPECT_LE(result.mixed_, maxMixedStreams);
    EXPECT_EQ(result.disordered_, 0);
    ASSERT_GE(result.takenUp_ + result.brokenOff_, fewestTakenUp);
    if (result.takenUp_ >= fewestTakenUp) {
        const double newShare = static_cast<double>(result.beganEvents_) / result.begun_;
        EXPECT_GE(static_cast<double>(result.wentOn_) / result.takenUp_, newShare / 2);
    }
}

namespace {

void runCalmly(StreamWorld &world)
{
    releaseToAndFro(world, [] {});
}

void killNodes(StreamWorld &world)
{
    std::size_t round = 0;
    releaseToAndFro(world, [&world, &round] { world.killNodes(everyThirdNode(world, ++round % 3), nodeDownTime); });
}

/** A kill right after the first engine of another version has started. */
void killNodesAsTheReleaseBegins(StreamWorld &world)
{
    world.run(seconds(8));
    world.release("v2", world.engines() / 2, milliseconds(400));
    for (std::size_t round = 0; round < 3; ++round) {
        world.run(milliseconds(700));
        world.killNodes(everyThirdNode(world, round), milliseconds(300));
    }
    world.run(seconds(8));
}

void restartEachNode(StreamWorld &world)
{
    std::size_t next = 0;
    releaseToAndFro(world, [&world, &next] {
        for (int i = 0; i < 2; ++i) {
            world.killNodes({next++ % world.nodes()}, milliseconds(200));
            world.run(milliseconds(500));
        }
    });
}

void loseAllNodes(StreamWorld &world)
{
    releaseToAndFro(world, [&world] {
        std::vector<std::size_t> all;
        for (std::size_t node = 1; node < world.nodes(); ++node) {
            all.push_back(node);
        }
        world.killNodes(all, nodeDownTime);
        world.run(seconds(5));
    });
}

void separateNodes(StreamWorld &world)
{
    std::size_t round = 0;
    releaseToAndFro(world, [&world, &round] {
        for (const std::size_t node : everyThirdNode(world, round++ % 3)) {
            world.isolateNode(node, round % 2 == 1);
        }
    });
}

/** Nodes that see neither the store nor the release, and are killed as they see both again. */
void cutNodesFromTheStore(StreamWorld &world)
{
    world.run(seconds(8));
    const std::vector<std::size_t> cut = everyThirdNode(world, 0);
    for (const std::size_t node : cut) {
        world.cutStore(node, true);
    }
    world.release("v2", world.engines() / 2, milliseconds(300));
    world.run(seconds(6));
    world.killNodes(everyThirdNode(world, 1), nodeDownTime);
    world.run(seconds(3));
    for (const std::size_t node : cut) {
        world.cutStore(node, false);
    }
    world.run(seconds(6));
}

void loseTheStore(StreamWorld &world)
{
    world.run(seconds(8));
    for (std::size_t node = 0; node < world.nodes(); ++node) {
        world.cutStore(node, true);
    }
    world.rig_.store_.down_ = true;
    world.run(seconds(4));
    world.killNodes(everyThirdNode(world, 0), nodeDownTime);
    world.run(seconds(2));
    world.rig_.store_.down_ = false;
    for (std::size_t node = 0; node < world.nodes(); ++node) {
        if (world.rig_.nodes_[node]) {
            world.cutStore(node, false);
        }
    }
    world.release("v2", world.engines() / 2, milliseconds(300));
    world.run(seconds(8));
}

void loseDatagrams(StreamWorld &world)
{
    world.rig_.lostDatagrams_ = 0.5;
    killNodes(world);
}

} // namespace

const auto nameOfCase = [](const testing::TestParamInfo<StreamCase> &info) { return info.param.name_; };

// Streams that break off at their engine and that the node resumes.
INSTANTIATE_TEST_SUITE_P(WithinOneAnswer,
                         StreamVersion,
                         testing::Values(StreamCase{"OneNode", 1, 3, runCalmly}, StreamCase{"Fleet", 12, 3, runCalmly}),
                         nameOfCase);

// Streams that clients take up again, at any node.
INSTANTIATE_TEST_SUITE_P(TakenUp,
                         StreamVersion,
                         testing::Values(StreamCase{"OneNode", 1, 1, runCalmly},
                                         StreamCase{"Fleet", 12, 1, runCalmly},
                                         StreamCase{"NodesKilled", 12, 1, killNodes},
                                         StreamCase{"NodesKilledResumedWithinAnswersToo", 12, 3, killNodes},
                                         StreamCase{"NodesKilledAsReleaseBegins", 12, 1, killNodesAsTheReleaseBegins},
                                         StreamCase{"EachNodeRestarted", 12, 1, restartEachNode},
                                         StreamCase{"AllNodesButOneLost", 12, 1, loseAllNodes},
                                         StreamCase{"NodesSeparated", 12, 1, separateNodes},
                                         StreamCase{"NodesWithoutStore", 12, 1, cutNodesFromTheStore},
                                         StreamCase{"StoreDown", 12, 1, loseTheStore},
                                         StreamCase{"DatagramsLost", 12, 1, loseDatagrams},
                                         StreamCase{"LargeFleet", 88, 1, killNodes},
                                         StreamCase{"LargerFleet", 195, 1, killNodesAsTheReleaseBegins}),
                         nameOfCase);

/** \brief A message of another node that asks for origins or brings some. */
struct OriginMessage
{
    const char *name_;
    const char *type_;
    nlohmann::json body_;
};

class MalformedOrigin : public testing::TestWithParam<OriginMessage>
{
};

// Guards against a message of a peer that ends the node, or that leaves an origin which nobody has sent.
TEST_P(MalformedOrigin, IsPassedOver)
{
    GatewayRig rig(1, {streamingRoute(false, 1, true)});
    rig.addEndpoints("engines", "e", 2);
    int answers = 0;
    rig.nodes_[0]->onPeerRequest(GetParam().type_, GetParam().body_, [&answers](const nlohmann::json &) { ++answers; });
    EXPECT_EQ(answers, 1);
    EXPECT_EQ(rig.nodes_[0]->state()["stream_origins"], 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    MalformedOrigin,
    testing::Values(OriginMessage{"Nothing", "stream_origins", {}},
                    OriginMessage{"NoList", "stream_origins", {{"origins", 5}}},
                    OriginMessage{"Entries", "stream_origins", {{"origins", {{"r1"}, 7, {"r1", 1, "v1", 5}}}}},
                    OriginMessage{"NegativeTime", "stream_origins", {{"origins", {{"r1", "engines", "v1", -5}}}}},
                    OriginMessage{"EmptyQuestion", "stream_origin_find", {}},
                    OriginMessage{"QuestionWithoutTime", "stream_origin_find", {{"attempt", "r1"}, {"services", {}}}},
                    OriginMessage{"ServicesOfAnotherType",
                                  "stream_origin_find",
                                  {{"attempt", "r1"}, {"services", {7}}, {"lifetime_ms", 5}}}),
    [](const testing::TestParamInfo<OriginMessage> &info) { return info.param.name_; });

// Guards against a stream that goes on at another service, where a route divides its requests between two.
TEST(StreamTakenUp, StaysAtTheServiceThatBeganIt)
{
    Route route = streamingRoute(false, 1, true);
    route.targets_ = {RouteTarget{"engines", 1.0}, RouteTarget{"services", 1.0}};
    GatewayRig rig(2, {route});
    rig.addEndpoints("engines", "e", 2);
    rig.addEndpoints("services", "s", 2);
    rig.run(seconds(12));
    for (int i = 0; i < 20; ++i) {
        const std::string id = "r" + std::to_string(i);
        const std::size_t began = rig.attempts_.size();
        rig.send(0, turn(id, "p" + id, "p" + id));
        rig.run(milliseconds(50));
        rig.stream(began, {"a"}, false);
        rig.end(began, AttemptEnd::Broken);
        GatewayRequest again = turn(id + "-2", "p" + id, "p" + id);
        again.resumes_ = id;
        again.lastEventId_ = "1";
        rig.send(1, again);
        rig.run(milliseconds(50));
        ASSERT_EQ(rig.attempts_.size(), began + 2);
        EXPECT_EQ(rig.attempts_[began].attempt_.endpoint_[0], rig.attempts_[began + 1].attempt_.endpoint_[0]);
        rig.stream(began + 1, {"b"}, true, 2);
    }
}

// Guards against a request that waits although no endpoint of its stream's version is left.
TEST(StreamTakenUp, IsRefusedAtOnceIfItsVersionIsGone)
{
    GatewayRig rig(1, {streamingRoute(false, 1, true)});
    Endpoint endpoint;
    endpoint.id_ = endpoint.address_ = "e1";
    endpoint.service_ = "engines";
    endpoint.version_ = "v1";
    rig.setEndpoint(endpoint);
    rig.send(0, turn("r1", "p", "p"));
    rig.run(milliseconds(50));
    rig.stream(0, {"a"}, false);
    rig.end(0, AttemptEnd::Broken);
    endpoint.draining_ = true;
    rig.setEndpoint(endpoint);
    Endpoint next = endpoint;
    next.id_ = next.address_ = "e2";
    next.version_ = "v2";
    next.draining_ = false;
    rig.setEndpoint(next);
    GatewayRequest again = turn("r2", "p", "p");
    again.resumes_ = "r1";
    again.lastEventId_ = "1";
    const std::shared_ptr<ClientResponse> client = rig.send(0, again);
    rig.run(milliseconds(5));
    EXPECT_EQ(client->status_, 503);
    EXPECT_EQ(rig.attempts_.size(), 1U);
}

} // namespace filbertgw::test
