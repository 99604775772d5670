#include "placement/promptindex.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr Time now{std::chrono::seconds(100)};
const CacheCutoffs recentCutoffs{now - std::chrono::seconds(30), now - std::chrono::seconds(6)};

/** \brief Endpoints 0 to 3 with cached: both parts, a shorter last part, only the shared part, only the last part. */
PromptIndex fourEndpoints()
{
    PromptIndex index(100);
    index.recordPrefill(0, PromptPart{"shared", 2'000}, now);
    index.recordPrefill(0, PromptPart{"line", 900}, now);
    index.recordPrefill(1, PromptPart{"shared", 2'000}, now);
    index.recordPrefill(1, PromptPart{"line", 300}, now);
    index.recordPrefill(2, PromptPart{"shared", 2'000}, now);
    index.recordPrefill(3, PromptPart{"line", 900}, now);
    return index;
}

const std::vector<PromptPart> prompt{PromptPart{"shared", 2'000}, PromptPart{"line", 1'000}};

} // namespace

/** \brief An endpoint and the length of its cached prefix of the prompt. */
struct CachedCase
{
    const char *name_;
    EndpointNumber endpoint_;
    std::uint64_t tokens_;
};

class PromptCached : public testing::TestWithParam<CachedCase>
{
};

// Guards against counting parts after a gap as cached, although engines prefill everything after the first gap.
TEST_P(PromptCached, CountsUpToTheFirstGap)
{
    EXPECT_EQ(fourEndpoints().cachedTokensOn(GetParam().endpoint_, prompt, recentCutoffs), GetParam().tokens_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PromptCached,
                         testing::Values(CachedCase{"SharedAndLine", 0, 2'900},
                                         CachedCase{"ShorterLine", 1, 2'300},
                                         CachedCase{"SharedOnly", 2, 2'000},
                                         CachedCase{"LineBehindAGap", 3, 0},
                                         CachedCase{"Unknown", 4, 0}),
                         [](const testing::TestParamInfo<CachedCase> &info) { return info.param.name_; });

// Guards against applying the shorter retention of unshared parts to shared ones.
TEST(PromptIndex, SharedPartsAreRetainedLonger)
{
    const PromptIndex index = fourEndpoints();
    const CacheCutoffs later{now - std::chrono::seconds(20), now + std::chrono::seconds(1)};
    EXPECT_EQ(index.cachedTokensOn(0, prompt, later), 2'000U);
}

// Guards against an endpoint that inherits the cached parts of a removed one with the same number.
TEST(PromptIndex, RemovedEndpointHasNoCachedTokens)
{
    PromptIndex index = fourEndpoints();
    index.forget(0);
    EXPECT_EQ(index.cachedTokensOn(0, prompt, recentCutoffs), 0U);
    EXPECT_EQ(index.cachedTokensOn(1, prompt, recentCutoffs), 2'300U);
    EXPECT_EQ(index.partsOf(0), 0U);
    EXPECT_EQ(index.size(), 2U);
    index.forget(1);
    index.forget(2);
    index.forget(3);
    EXPECT_EQ(index.size(), 0U) << "a part that no endpoint has cached uses no memory";
}

// Guards against announcing a part again at each turn.
TEST(PromptIndex, PartIsAnnouncedAgainAfterAnInterval)
{
    PromptIndex index = fourEndpoints();
    EXPECT_TRUE(index.markAnnounced(0, "line", now, now - std::chrono::seconds(5)));
    EXPECT_FALSE(index.markAnnounced(0, "line", now, now - std::chrono::seconds(5)));
    EXPECT_TRUE(index.markAnnounced(1, "line", now, now - std::chrono::seconds(5)));
    EXPECT_TRUE(index.markAnnounced(0, "line", now, now));
}

// Guards against a cached length above the one that the engine reported, and against a shorter request that reduces the
// recorded length.
TEST(PromptIndex, ReportedLengthReplacesTheCachedLength)
{
    PromptIndex index = fourEndpoints();
    index.recordPrefill(0, PromptPart{"line", 100}, now);
    EXPECT_EQ(index.cachedTokensOn(0, prompt, recentCutoffs), 2'900U);
    index.setCached(0, PromptPart{"line", 100}, now);
    EXPECT_EQ(index.cachedTokensOn(0, prompt, recentCutoffs), 2'100U);
}

// Guards against an integer overflow with implausible lengths.
TEST(PromptIndex, CachedTokensDontOverflow)
{
    PromptIndex index(100);
    const std::vector<PromptPart> oversized{PromptPart{"a", ~0ULL}, PromptPart{"b", ~0ULL}};
    index.recordPrefill(0, oversized.front(), now);
    index.recordPrefill(0, oversized.back(), now);
    EXPECT_EQ(index.cachedTokensOn(0, oversized, recentCutoffs), ~0ULL);
}

// Guards against an unbounded index, and against evicting parts that were used recently.
TEST(PromptIndex, LimitEvictsTheOldest)
{
    PromptIndex index(100);
    for (int i = 0; i < 250; ++i) {
        index.recordPrefill(0, PromptPart{"p" + std::to_string(i), 10}, now + std::chrono::milliseconds(i));
        EXPECT_LE(index.partsOf(0), 100U);
        EXPECT_EQ(index.partsOf(0), index.size());
    }
    const CacheCutoffs always{Time{0}, Time{0}};
    for (int i = 210; i < 250; ++i) {
        EXPECT_EQ(index.cachedTokensOn(0, {PromptPart{"p" + std::to_string(i), 10}}, always), 10U) << i;
    }
    EXPECT_EQ(index.cachedTokensOn(0, {PromptPart{"p0", 10}}, always), 0U);
}

// Guards against an endpoint with very many parts that displaces those of the others.
TEST(PromptIndex, EachEndpointHasItsOwnLimit)
{
    PromptIndex index(100);
    index.recordPrefill(0, PromptPart{"line", 900}, now);
    for (int i = 0; i < 1'000; ++i) {
        index.setCached(1, PromptPart{"p" + std::to_string(i), 10}, now + std::chrono::milliseconds(i));
    }
    EXPECT_EQ(index.cachedTokensOn(0, {PromptPart{"line", 900}}, recentCutoffs), 900U);
    EXPECT_LE(index.partsOf(1), 100U);
}

// Guards against an eviction that fails if all parts have the same age.
TEST(PromptIndex, PartsOfTheSameAgeAreLimited)
{
    PromptIndex index(100);
    for (int i = 0; i < 250; ++i) {
        index.recordPrefill(0, PromptPart{"p" + std::to_string(i), 10}, now);
    }
    EXPECT_LE(index.partsOf(0), 100U);
    EXPECT_GE(index.partsOf(0), 50U);
}

} // namespace filbertgw::test
