#include "placement/placement.h"

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
            endpoint.service_ = service_.name_;
            endpoint.slots_ = 16;
            endpoints_.push_back(endpoint);
        }
        for (const Endpoint &endpoint : endpoints_) {
            candidates_.push_back(&endpoint);
        }
        placement_.running(candidates_); // Registers the endpoints, as the first choice in the gateway does.
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

// Guards against sending all requests to a new engine because it has no observations yet.
TEST(Placement, NewEngineGetsAnEvenShare)
{
    PlacementRig rig(8);
    for (std::size_t i = 0; i < 7; ++i) {
        for (int k = 0; k < 20; ++k) {
            rig.placement_.observeTokens("engines", "e" + std::to_string(i), 200, std::chrono::milliseconds(400));
        }
    }
    std::map<std::string, int> chosen;
    for (int i = 0; i < 40; ++i) {
        ++chosen[rig.choose()->id_];
    }
    EXPECT_LE(chosen["e7"], 10) << "an even share is 5";
    EXPECT_GE(chosen["e7"], 2);
}

// Guards against overloading an engine that is full of requests of other nodes.
TEST(Placement, LoadOfOtherNodesCounts)
{
    PlacementRig rig(2);
    rig.placement_.setPeerLoad("peer", {{"e0", 12}});
    for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(rig.choose()->id_, "e1");
    }
    rig.now_ += std::chrono::seconds(3);
    rig.placement_.expirePeers();
    EXPECT_EQ(rig.choose()->id_, "e0") << "reports of an unreachable node expire";
}

// Guards against adding up repeated reports of the same node.
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

// Guards against another prefill of a prompt that is cached on an idle engine.
TEST(Placement, EngineWithCachedPromptIsPreferred)
{
    PlacementRig rig(4);
    GatewayRequest request;
    request.prompt_ = {PromptPart{"shared", 12'600}, PromptPart{"own", 2'000}};
    const std::string first = rig.choose(request)->id_;
    rig.placement_.ended(first);
    EXPECT_EQ(rig.choose(request)->id_, first);
}

// Guards against a prompt that counts as fully cached, although only a shorter version is.
TEST(Placement, OnlyNewTokensOfAGrownPromptAreUncached)
{
    PlacementRig rig(2);
    GatewayRequest first;
    first.prompt_ = {PromptPart{"shared", 2'000}, PromptPart{"line", 1'000}};
    const Endpoint &engine = rig.endpoints_.front();
    EXPECT_EQ(rig.placement_.started(engine, first).uncachedTokens_, 3'000U);
    GatewayRequest next;
    next.prompt_ = {PromptPart{"shared", 2'000}, PromptPart{"line", 1'700}};
    EXPECT_EQ(rig.placement_.started(engine, next).uncachedTokens_, 700U);
    EXPECT_EQ(rig.placement_.started(rig.endpoints_.back(), next).uncachedTokens_, 3'700U);
}

// Guards against sending programs to an engine for contexts that it lost in a restart.
TEST(Placement, RestartedEngineHasAnEmptyCache)
{
    PlacementRig rig(4);
    GatewayRequest request;
    request.prompt_ = {PromptPart{"line", 6'000}};
    const Endpoint &engine = rig.endpoints_.front();
    rig.placement_.started(engine, request);
    rig.placement_.addCachedPart(CachedPart{engine.id_, "other", 500});
    rig.placement_.forgetCache(engine.id_);
    EXPECT_EQ(rig.placement_.running(engine.id_), 1U) << "running requests still count";
    EXPECT_EQ(rig.placement_.started(engine, request).uncachedTokens_, 6'000U);
}

// Guards against unbounded memory for the parts that peers announce, on a node that sends no requests itself.
TEST(Placement, PartsReportedByPeersAreLimited)
{
    PlacementRig rig(1);
    for (int i = 0; i < 20'000; ++i) {
        rig.now_ += std::chrono::milliseconds(1);
        rig.placement_.addCachedPart(CachedPart{"e0", "part" + std::to_string(i), 1'000});
    }
    EXPECT_LE(rig.placement_.partsOf("e0"), 2'001U);
    GatewayRequest newest;
    newest.prompt_ = {PromptPart{"part19999", 1'000}};
    EXPECT_EQ(rig.placement_.started(rig.endpoints_.front(), newest).uncachedTokens_, 0U);
}

// Guards against a request with more parts than the limit, for which eviction found nothing older to drop.
TEST(Placement, PromptWithManyPartsIsLimited)
{
    PlacementRig rig(1);
    GatewayRequest request;
    for (int i = 0; i < 5'000; ++i) {
        request.prompt_.push_back(PromptPart{"part" + std::to_string(i), 10});
    }
    EXPECT_EQ(rig.placement_.started(rig.endpoints_.front(), request).uncachedTokens_, 50'000U);
    EXPECT_LE(rig.placement_.partsOf("e0"), 2'001U);
}

// Guards against a new endpoint that inherits the state of a removed one with the same number.
TEST(Placement, ReusedEndpointNumberStartsWithoutHistory)
{
    PlacementRig rig(2);
    GatewayRequest request;
    request.prompt_ = {PromptPart{"line", 6'000}};
    rig.placement_.setPeerLoad("peer", {{"e1", 5}});
    const Endpoint &gone = rig.endpoints_.front();
    EXPECT_EQ(rig.choose(request)->id_, gone.id_);
    rig.placement_.failed(gone.id_);
    rig.placement_.forget(gone.id_);
    rig.endpoints_.front().id_ = "new";
    EXPECT_EQ(rig.placement_.running(rig.candidates_), 5U) << "requests on the removed endpoint do not count";
    EXPECT_EQ(rig.placement_.started(rig.endpoints_.front(), request).uncachedTokens_, 6'000U);
    EXPECT_EQ(rig.placement_.running("new"), 1U);
    EXPECT_EQ(rig.placement_.running("e0"), 0U);
    rig.placement_.ended("e0");
    EXPECT_EQ(rig.placement_.running("new"), 1U) << "the request that ends was sent to the removed endpoint";
}

// Guards against a leak: a request that ended after the removal of its endpoint, or a report that still named it, would
// allocate a number and a slowness that were never freed.
TEST(Placement, RemovedEndpointIsNotTrackedAgain)
{
    PlacementRig rig(2);
    rig.choose();
    rig.placement_.forget("e0");
    rig.placement_.ended("e0");
    rig.placement_.failed("e0");
    rig.placement_.refusedAsFull("e0");
    rig.placement_.succeeded("e0");
    rig.placement_.observeRequestTime("e0", std::chrono::milliseconds(40));
    rig.placement_.observeTokens("engines", "e0", 10, std::chrono::milliseconds(400));
    EXPECT_FALSE(rig.placement_.engines().slowness("engines", "e0").has_value());
    EXPECT_EQ(rig.placement_.endpoints(), 1U);
}

// Guards against a cached list of candidates that stays in use when other endpoints occupy the same memory addresses.
TEST(Placement, EndpointsAtReusedMemoryAddressesAreDistinguished)
{
    PlacementRig rig(2);
    rig.choose();
    for (const char *gone : {"e0", "e1"}) {
        rig.placement_.forget(gone);
    }
    rig.endpoints_.front().id_ = "new";
    rig.endpoints_.back().id_ = "newer";
    rig.placement_.setPeerLoad("peer", {{"new", 5}});
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(rig.choose()->id_, "newer");
    }
}

// Guards against a rejected observation that sets a default slowness, which then never changes.
TEST(Placement, RejectedObservationSetsNoSlowness)
{
    PlacementRig rig(2);
    const auto observe = [&rig](const std::string &engine, Duration time) {
        rig.placement_.observeTokens("engines", engine, 10, time);
    };
    observe("e0", Duration{0});
    for (int i = 0; i < 100; ++i) {
        observe("e1", std::chrono::milliseconds(i < 50 ? 40 : 200));
    }
    ASSERT_GT(rig.placement_.engines().slowness("engines", "e1").value_or(0.0), 1.5);
    rig.placement_.setPeerLoad("peer", {{"e0", 1}});
    EXPECT_EQ(rig.choose()->id_, "e1") << "e0 has the mean slowness and one request more";
}

// Guards against applying the slowness of an engine to another service that it now serves.
TEST(Placement, EngineOfAnotherServiceCountsAsUnobserved)
{
    PlacementRig rig(2);
    const auto observe = [&rig](const std::string &engine, int ms) {
        for (int i = 0; i < 64; ++i) {
            rig.placement_.observeTokens("engines", engine, 10, std::chrono::milliseconds(ms));
        }
    };
    observe("e0", 40);
    observe("e1", 400);
    EXPECT_EQ(rig.choose()->id_, "e0");
    rig.service_.name_ = "others";
    for (Endpoint &endpoint : rig.endpoints_) {
        endpoint.service_ = rig.service_.name_;
    }
    rig.placement_.setPeerLoad("peer", {{"e0", 8}});
    EXPECT_EQ(rig.choose()->id_, "e1") << "e0 has more requests";
}

// Guards against a request with an implausible number of prompt tokens that distorts the timings of all engines.
TEST(Placement, OversizedPromptIsIgnored)
{
    PlacementRig rig(1);
    GatewayRequest ordinary;
    ordinary.prompt_ = {PromptPart{"line", 1'000}};
    GatewayRequest oversized;
    oversized.prompt_ = {PromptPart{"a", ~0ULL}, PromptPart{"b", ~0ULL}};
    const DispatchState start = rig.placement_.started(rig.endpoints_.front(), oversized);
    rig.placement_.observeSize("engines", start, 30);
    rig.placement_.observeFirstEvent("engines", start, std::chrono::milliseconds(20));
    EXPECT_EQ(rig.placement_.engines().rejected(RejectedObservation::PromptTooLong), 2U);
    rig.placement_.observeSize("engines", rig.placement_.started(rig.endpoints_.front(), ordinary), 30);
    EXPECT_LT(rig.placement_.engines().slowdown("engines", 4.0), 5.0);
}

/** \brief A choice between a busier engine with the context cached and one that has to prefill all of it. */
struct LocalityCase
{
    const char *name_;
    EngineTimings truth_;
    std::uint32_t otherRequests_; ///< At the engine with the cached context.
    bool isCachedEngineChosen_;
};

class PlacementByLearnedTimings : public testing::TestWithParam<LocalityCase>
{
};

// Guards against moving programs away from their context where prefill is slow, and against crowding one engine where
// it is fast.
TEST_P(PlacementByLearnedTimings, LeavesACachedContextOnlyIfCheaper)
{
    PlacementRig rig(2);
    const EngineTimings &truth = GetParam().truth_;
    for (int i = 0; i < 100; ++i) {
        const std::uint32_t others = i % 12;
        const std::uint64_t uncached = 500U * (i % 9);
        const auto micros = [](double ms) { return Duration(static_cast<std::int64_t>(ms * 1000.0)); };
        rig.placement_.setPeerLoad("peer", {{"e1", others + 1}});
        rig.placement_.observeTokens("engines", "e1", 9, micros(9.0 * truth.stepMs(others)));
        rig.placement_.observeFirstEvent(
            "engines",
            DispatchState{uncached, others},
            micros(8.0 + static_cast<double>(uncached) * truth.prefillTokenMs_ + truth.stepMs(others)));
    }
    GatewayRequest request;
    request.prompt_ = {PromptPart{"line", 6'000}};
    request.expectedOutputTokens_ = 100;
    rig.placement_.addCachedPart(CachedPart{"e0", "line", 6'000});
    rig.placement_.setPeerLoad("peer", {{"e0", GetParam().otherRequests_}});
    const Endpoint *chosen = rig.placement_.choose(rig.candidates_, &rig.service_, request, {});
    EXPECT_EQ(chosen->id_, GetParam().isCachedEngineChosen_ ? "e0" : "e1");
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PlacementByLearnedTimings,
                         testing::Values(LocalityCase{"SlowPrefillFlatBatch", {5.0, 0.03, 1.0 / 50.0}, 10, true},
                                         LocalityCase{"FastPrefillSteepBatch", {1.0, 0.1, 1.0 / 900.0}, 10, false},
                                         LocalityCase{"FastPrefillFewOthers", {1.0, 0.02, 1.0 / 300.0}, 2, true}),
                         [](const testing::TestParamInfo<LocalityCase> &info) { return info.param.name_; });

// Guards against choosing an endpoint again right after it failed.
TEST(Placement, FailedEndpointIsAvoidedDuringBackoff)
{
    PlacementRig rig(2);
    rig.placement_.failed("e0");
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(rig.choose()->id_, "e1");
    }
    rig.now_ += std::chrono::seconds(1);
    EXPECT_EQ(rig.choose()->id_, "e0");
}

// Guards against a new connection for almost every request on a node that spreads few requests over many engines.
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

// Guards against an engine that gets more than its share because of an idle connection to it.
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
