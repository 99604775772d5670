#include "crashworld.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

const char *const poisonBody = "poison";
constexpr Duration retryDelay = std::chrono::milliseconds(400);
/** Three endpoints, and one that the client's next attempt has reached before the end of the third is known. */
constexpr int fewestCrashes = 4;

} // namespace

/** \brief Nodes, their troubles and the kind of a request that crashes endpoints. */
struct PoisonCase
{
    const char *name_;
    std::size_t nodes_;
    RouteKind kind_;
    std::uint32_t maxAttempts_;
    std::function<void(CrashWorld &world)> trouble_; ///< Runs for as long as the client tries again.
    int maxCrashes_ = fewestCrashes;
    bool crashesSilently_ = false;
    bool variesBody_ = false;
};

class PoisonRequest : public testing::TestWithParam<PoisonCase>
{
};

// Guards against a request that ends one endpoint after the other because each new attempt of its client starts afresh.
TEST_P(PoisonRequest, IsSentToNoEndpointOnceItHasEndedThree)
{
    CrashWorldSettings settings;
    settings.nodes_ = GetParam().nodes_;
    settings.kind_ = GetParam().kind_;
    settings.maxAttempts_ = GetParam().maxAttempts_;
    settings.crashesSilently_ = GetParam().crashesSilently_;
    settings.variesBody_ = GetParam().variesBody_;
    CrashWorld world(settings);
    world.startPoison(poisonBody, retryDelay);
    GetParam().trouble_(world);
    EXPECT_GE(world.crashes(poisonBody), 3);
    EXPECT_LE(world.crashes(poisonBody), GetParam().maxCrashes_);
    EXPECT_LE(world.lateAttempts(poisonBody), 3);
}

namespace {

void runCalmly(CrashWorld &world)
{
    world.run(std::chrono::seconds(20));
}

void runBriefly(CrashWorld &world)
{
    world.run(std::chrono::seconds(8));
}

void restartEachNode(CrashWorld &world)
{
    for (std::size_t round = 0; round < 2; ++round) {
        for (std::size_t node = 0; node < world.rig_.nodes_.size(); ++node) {
            world.run(std::chrono::milliseconds(1'500));
            world.restartNode(node);
        }
    }
    world.run(std::chrono::seconds(10));
}

void loseAllNodes(CrashWorld &world)
{
    for (int loss = 0; loss < 3; ++loss) {
        world.run(std::chrono::seconds(4));
        world.pausePoison(CrashWorld::contactTime);
        for (std::size_t node = 0; node < world.rig_.nodes_.size(); ++node) {
            world.restartNode(node);
        }
        world.run(CrashWorld::contactTime);
    }
    world.run(std::chrono::seconds(4));
}

void loseDatagrams(CrashWorld &world)
{
    world.rig_.lostDatagrams_ = 0.5;
    world.run(std::chrono::seconds(15));
}

void separateNodes(CrashWorld &world)
{
    for (std::size_t node = 0; node < world.rig_.nodes_.size(); ++node) {
        world.isolateNode(node, true);
    }
    world.run(std::chrono::seconds(15));
}

/** The node that is left is the only one that knows of the crashes when the store is back. */
void loseAllNodesButOneInAnOutage(CrashWorld &world)
{
    world.rig_.store_.down_ = true;
    world.run(std::chrono::seconds(2));
    for (int loss = 0; loss < 2; ++loss) {
        world.pausePoison(std::chrono::seconds(15));
        for (std::size_t node = 1; node < world.rig_.nodes_.size(); ++node) {
            world.restartNode(node);
        }
        world.run(std::chrono::seconds(2));
        world.rig_.store_.down_ = false;
        world.run(std::chrono::seconds(13));
        world.rig_.store_.down_ = true;
        world.run(std::chrono::seconds(3));
    }
}

void takeStoreAway(CrashWorld &world)
{
    world.rig_.store_.down_ = true;
    world.run(std::chrono::seconds(12));
    world.rig_.store_.down_ = false;
    world.run(std::chrono::seconds(8));
}

PoisonCase varying(const char *name, std::size_t nodes, RouteKind kind, void (*trouble)(CrashWorld &))
{
    PoisonCase varying{name, nodes, kind, 1, trouble};
    varying.variesBody_ = true;
    return varying;
}

} // namespace

// Requests that come again with another body at the same path.
INSTANTIATE_TEST_SUITE_P(VaryingBody,
                         PoisonRequest,
                         testing::Values(varying("Streaming", 12, RouteKind::Streaming, runCalmly),
                                         varying("Idempotent", 12, RouteKind::Idempotent, runCalmly),
                                         varying("NodesRestart", 12, RouteKind::Streaming, restartEachNode),
                                         varying("AllNodesLost", 12, RouteKind::Streaming, loseAllNodes),
                                         varying("DatagramsLost", 60, RouteKind::Streaming, loseDatagrams),
                                         varying("StoreAway", 12, RouteKind::Streaming, takeStoreAway)),
                         [](const testing::TestParamInfo<PoisonCase> &info) { return info.param.name_; });

INSTANTIATE_TEST_SUITE_P(
    Table,
    PoisonRequest,
    testing::Values(PoisonCase{"OneNode", 1, RouteKind::Streaming, 1, runCalmly},
                    PoisonCase{"Streaming", 12, RouteKind::Streaming, 1, runCalmly},
                    PoisonCase{"ResumableStream", 12, RouteKind::Streaming, 3, runCalmly},
                    PoisonCase{"Idempotent", 12, RouteKind::Idempotent, 3, runCalmly},
                    PoisonCase{"NonIdempotent", 12, RouteKind::NonIdempotent, 1, runCalmly},
                    PoisonCase{"EndpointsFallSilent", 12, RouteKind::Streaming, 1, runCalmly, 11, true},
                    PoisonCase{"LargeFleet", 195, RouteKind::Streaming, 1, runBriefly},
                    PoisonCase{"LargeFleetLosesDatagrams", 60, RouteKind::Streaming, 1, loseDatagrams},
                    PoisonCase{"NodesRestart", 12, RouteKind::Streaming, 1, restartEachNode},
                    PoisonCase{"OneNodeLeftInAnOutage", 12, RouteKind::NonIdempotent, 1, loseAllNodesButOneInAnOutage},
                    PoisonCase{"AllNodesLost", 12, RouteKind::Streaming, 1, loseAllNodes},
                    PoisonCase{"DatagramsLost", 12, RouteKind::Streaming, 1, loseDatagrams},
                    PoisonCase{"NodesSeparated", 12, RouteKind::Streaming, 1, separateNodes, 6},
                    PoisonCase{"StoreAway", 12, RouteKind::Streaming, 1, takeStoreAway}),
    [](const testing::TestParamInfo<PoisonCase> &info) { return info.param.name_; });

/** \brief Troubles beside which ordinary requests run. */
struct BystanderCase
{
    const char *name_;
    CrashWorldSettings settings_;
    int poisons_; ///< Poison requests that are sent over and over.
    Duration crashInterval_; ///< An endpoint ends by itself so often; 0 for never.
    int perThousandRefused_; ///< Ordinary requests that may be refused as if they ended endpoints.
    std::size_t nodesCutOff_ = 0; ///< Nodes that lose all their connections to endpoints for four seconds.
};

class BystanderRequest : public testing::TestWithParam<BystanderCase>
{
};

// Guards against ordinary requests that are refused because they ran beside a poison request or on unstable endpoints.
TEST_P(BystanderRequest, IsNotRefusedAsPoison)
{
    CrashWorld world(GetParam().settings_);
    for (int i = 0; i < GetParam().poisons_; ++i) {
        world.startPoison("poison" + std::to_string(i), retryDelay);
    }
    for (std::size_t node = 0; node < GetParam().nodesCutOff_; ++node) {
        world.nodesCutOff_.insert(node);
    }
    world.rig_.queue_.after(std::chrono::seconds(4), [&world] { world.nodesCutOff_.clear(); });
    const Duration step = GetParam().crashInterval_ > Duration{0} ? GetParam().crashInterval_ : std::chrono::seconds(1);
    for (Duration passed{0}; passed < std::chrono::seconds(20); passed += step) {
        world.run(step);
        if (GetParam().crashInterval_ > Duration{0}) {
            world.crashAny();
        }
    }
    world.stopArrivals();
    world.run(std::chrono::seconds(5));
    const OrdinaryResult &ordinary = world.ordinary();
    EXPECT_LE(ordinary.quarantined_ * 1000, ordinary.sent_ * GetParam().perThousandRefused_);
    EXPECT_GE(ordinary.served_ * 100, ordinary.sent_ * 98);
}

// Guards against a path at which nothing is served any more, because endpoints ended by themselves under its requests.
TEST(SharedTarget, IsServedAgainAfterItsEndpointsEnded)
{
    constexpr std::size_t nodes = 6;
    constexpr std::size_t endpoints = 60;
    GatewayRig rig(nodes, {plainRoute(RouteKind::Idempotent, 1)});
    rig.addEndpoints("services", "s", endpoints);
    std::set<std::string> ended;
    rig.isReachable_ = [&ended](std::size_t, const std::string &address) { return ended.count(address) == 0; };
    for (std::size_t i = 0; i < nodes; ++i) {
        GatewayRequest request = plainRequest("r" + std::to_string(i));
        request.body_ = "body" + std::to_string(i);
        rig.send(i, request);
        ended.insert(rig.attempts_.back().attempt_.address_);
        rig.end(rig.attempts_.size() - 1, AttemptEnd::Broken);
    }
    rig.run(std::chrono::seconds(1));
    ended.clear();
    GatewayRequest refused = plainRequest("refused");
    refused.body_ = "refused";
    EXPECT_EQ(rig.send(0, refused)->status_, 502);
    const std::size_t before = rig.attempts_.size();
    for (int i = 0; i < 60 && rig.attempts_.size() == before; ++i) {
        rig.run(std::chrono::seconds(1));
        GatewayRequest request = plainRequest("later" + std::to_string(i));
        request.body_ = "later" + std::to_string(i);
        rig.send(static_cast<std::size_t>(i) % nodes, request);
    }
    ASSERT_GT(rig.attempts_.size(), before);
    rig.answer(before, 200, "done");
    rig.run(std::chrono::seconds(1));
    for (std::size_t node = 0; node < nodes; ++node) {
        GatewayRequest request = plainRequest("last" + std::to_string(node));
        rig.send(node, request);
        EXPECT_EQ(rig.attempts_.size(), before + 2 + node);
    }
}

namespace {

CrashWorldSettings besideVaryingPoison()
{
    CrashWorldSettings settings;
    settings.ordinaryPerSecond_ = 300.0;
    settings.variesBody_ = true;
    return settings;
}

CrashWorldSettings ordinaryLoad(RouteKind kind, bool areAlike, double brokenShare)
{
    CrashWorldSettings settings;
    settings.kind_ = kind;
    settings.ordinaryPerSecond_ = 300.0;
    settings.areAlike_ = areAlike;
    settings.brokenShare_ = brokenShare;
    return settings;
}

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Table,
    BystanderRequest,
    testing::Values(
        BystanderCase{"OnePoison", ordinaryLoad(RouteKind::Streaming, false, 0.0), 1, Duration{0}, 0},
        BystanderCase{"FivePoisonsOfVaryingBody", besideVaryingPoison(), 5, Duration{0}, 2},
        BystanderCase{"FivePoisons", ordinaryLoad(RouteKind::Streaming, false, 0.0), 5, Duration{0}, 2},
        BystanderCase{"BrokenAnswers", ordinaryLoad(RouteKind::Streaming, false, 0.2), 0, Duration{0}, 0},
        BystanderCase{
            "UnstableEndpoints", ordinaryLoad(RouteKind::Streaming, false, 0.0), 0, std::chrono::milliseconds(250), 2},
        BystanderCase{
            "AlikeRequests", ordinaryLoad(RouteKind::Idempotent, true, 0.0), 0, std::chrono::milliseconds(500), 0},
        BystanderCase{"BrokenAnswersOnUnstableEndpoints",
                      ordinaryLoad(RouteKind::Streaming, false, 0.1),
                      0,
                      std::chrono::milliseconds(500),
                      2},
        BystanderCase{"NodesCutOff", ordinaryLoad(RouteKind::Streaming, false, 0.0), 0, Duration{0}, 0, 3}),
    [](const testing::TestParamInfo<BystanderCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
