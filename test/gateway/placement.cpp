#include "gateway/placement.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace filbertgw::test {

namespace {

/** \brief A placement with engines e0, e1 and so on, in virtual time. */
struct PlacementRig
{
    explicit PlacementRig(std::size_t engines)
        : placement_([this] { return now_; }, [this] { return random_(); }, PlacementSettings())
    {
        service_.name_ = "engines";
        service_.engine_ = EngineProfile{16, 22, 480'000};
        for (std::size_t i = 0; i < engines; ++i) {
            Endpoint endpoint;
            endpoint.id_ = "e" + std::to_string(i);
            endpoint.slots_ = 16;
            endpoints_.push_back(endpoint);
        }
        for (const Endpoint &endpoint : endpoints_) {
            candidates_.push_back(&endpoint);
        }
    }

    const Endpoint *choose(const GatewayRequest &request = GatewayRequest())
    {
        const Endpoint *chosen = placement_.choose(candidates_, &service_, request, {});
        placement_.started(*chosen, request);
        return chosen;
    }

    Time now_{std::chrono::seconds(100)};
    std::mt19937_64 random_{7};
    Service service_;
    std::vector<Endpoint> endpoints_;
    std::vector<const Endpoint *> candidates_;
    Placement placement_;
};

} // namespace

// Guards against all nodes sending to an engine that has just been added, since nothing is known against it.
TEST(Placement, NewEngineGetsItsShareAndNoMore)
{
    PlacementRig rig(8);
    for (std::size_t i = 0; i < 7; ++i) {
        for (int k = 0; k < 20; ++k) {
            rig.placement_.observeTokens("e" + std::to_string(i), 200, std::chrono::milliseconds(400));
        }
    }
    std::map<std::string, int> chosen;
    for (int i = 0; i < 40; ++i) {
        ++chosen[rig.choose()->id_];
    }
    EXPECT_LE(chosen["e7"], 10) << "an even share is 5";
    EXPECT_GE(chosen["e7"], 2);
}

// Guards against nodes that overload an engine which others have filled.
TEST(Placement, LoadOfOtherNodesCounts)
{
    PlacementRig rig(2);
    rig.placement_.setPeerLoad("peer", {{"e0", 12}});
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(rig.choose()->id_, "e1");
    }
    rig.now_ += std::chrono::seconds(3);
    rig.placement_.expirePeers();
    EXPECT_EQ(rig.choose()->id_, "e0") << "what a silent node said is void";
}

// Guards against reports that are added up when a node repeats them.
TEST(Placement, NewerReportReplacesTheOlder)
{
    PlacementRig rig(2);
    for (int i = 0; i < 5; ++i) {
        rig.placement_.setPeerLoad("peer", {{"e0", 3}});
    }
    EXPECT_EQ(rig.placement_.running("e0"), 3U);
    rig.placement_.setPeerLoad("peer", {});
    EXPECT_EQ(rig.placement_.running("e0"), 0U);
}

// Guards against prompts that are read again although an idle engine has them.
TEST(Placement, EngineThatHasReadThePromptIsPreferred)
{
    PlacementRig rig(4);
    GatewayRequest request;
    request.prompt_ = {PromptPart{"shared", 12'600}, PromptPart{"own", 2'000}};
    const std::string first = rig.choose(request)->id_;
    rig.placement_.ended(first);
    EXPECT_EQ(rig.choose(request)->id_, first);
}

// Guards against an endpoint that fails and keeps being chosen.
TEST(Placement, FailedEndpointIsAvoidedForATime)
{
    PlacementRig rig(2);
    rig.placement_.failed("e0");
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(rig.choose()->id_, "e1");
    }
    rig.now_ += std::chrono::seconds(1);
    EXPECT_EQ(rig.choose()->id_, "e0");
}

// Guards against a new connection for nearly each request of a node that sends few to many engines.
TEST(Placement, IdleConnectionsAreReused)
{
    PlacementRig rig(40);
    std::set<std::string> connected;
    for (int i = 0; i < 100; ++i) {
        const std::string first = rig.choose()->id_;
        const std::string second = rig.choose()->id_;
        connected.insert(first);
        connected.insert(second);
        rig.now_ += std::chrono::milliseconds(500);
        rig.placement_.ended(first);
        rig.placement_.ended(second);
    }
    EXPECT_LE(connected.size(), 4U);
}

// Guards against an engine that gets more than its share since a connection to it is idle.
TEST(Placement, LoadCountsForMoreThanAnIdleConnection)
{
    PlacementRig rig(8);
    rig.choose();
    rig.placement_.ended(rig.choose()->id_);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 32; ++i) {
        ++chosen[rig.choose()->id_];
    }
    for (const std::pair<const std::string, int> &engine : chosen) {
        EXPECT_LE(engine.second, 6) << engine.first;
    }
    EXPECT_EQ(chosen.size(), 8U);
}

} // namespace filbertgw::test
