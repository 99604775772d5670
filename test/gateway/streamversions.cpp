#include "streamworld.h"

#include <gtest/gtest.h>

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

} // namespace filbertgw::test
