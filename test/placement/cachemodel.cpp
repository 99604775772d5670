#include "placement/cachemodel.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

/** \brief Load of engines and the expected range of the retention. */
struct RetentionCase
{
    const char *name_;
    CacheLoad load_;
    std::uint64_t tokensPerSecond_; ///< Uncached tokens sent by this node.
    double minSeconds_;
    double maxSeconds_;
};

class CacheRetention : public testing::TestWithParam<RetentionCase>
{
};

// Guards against contexts that are assumed to be evicted while still cached, and the reverse with a small cache.
TEST_P(CacheRetention, FollowsMemoryAndLoad)
{
    Time now{std::chrono::seconds(100)};
    CacheModel model([&now] { return now; }, CacheModelSettings());
    for (int i = 0; i < 300; ++i) {
        now += std::chrono::milliseconds(100);
        model.observe("engines", GetParam().tokensPerSecond_ / 10, 2'000);
    }
    const double seconds = toSeconds(model.retention("engines", GetParam().load_, std::chrono::seconds(6)));
    EXPECT_GE(seconds, GetParam().minSeconds_);
    EXPECT_LE(seconds, GetParam().maxSeconds_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CacheRetention,
    testing::Values(RetentionCase{"OrdinaryLoad", {300'000, 10.0, 10.0, 50.0}, 10'000, 15.0, 30.0},
                    RetentionCase{"HalfTheMemory", {150'000, 10.0, 10.0, 50.0}, 10'000, 7.0, 15.0},
                    RetentionCase{"TwiceTheNodes", {300'000, 10.0, 20.0, 100.0}, 10'000, 7.0, 15.0},
                    RetentionCase{"FullOfRunningRequests", {100'000, 10.0, 10.0, 600.0}, 10'000, 2.0, 2.0},
                    RetentionCase{"HardlyAnyLoad", {300'000, 10.0, 10.0, 1.0}, 10, 60.0, 60.0},
                    RetentionCase{"UnknownMemory", {0, 10.0, 10.0, 50.0}, 10'000, 6.0, 6.0},
                    RetentionCase{"NoEngines", {300'000, 0.0, 10.0, 0.0}, 10'000, 6.0, 6.0}),
    [](const testing::TestParamInfo<RetentionCase> &info) { return info.param.name_; });

// Guards against contexts that are assumed to be evicted after an outage, in which nothing displaced them.
TEST(CacheModel, RetentionGrowsWithoutRequests)
{
    Time now{std::chrono::seconds(100)};
    CacheModel model([&now] { return now; }, CacheModelSettings());
    for (int i = 0; i < 100; ++i) {
        now += std::chrono::milliseconds(100);
        model.observe("engines", 5'000, 2'000);
    }
    const CacheLoad load{300'000, 10.0, 10.0, 50.0};
    const Duration before = model.retention("engines", load, std::chrono::seconds(6));
    now += std::chrono::seconds(10);
    EXPECT_GT(model.retention("engines", load, std::chrono::seconds(6)), 3 * before);
}

} // namespace filbertgw::test
