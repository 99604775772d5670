#include "gateway/promptindex.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr Time now{std::chrono::seconds(100)};
const CacheCutoffs recentCutoffs{now - std::chrono::seconds(30), now - std::chrono::seconds(6)};

/** \brief Endpoints 0 to 3: one keeps all, one a shorter line, one only the shared part, one only the line. */
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

/** \brief An endpoint and the tokens of the prompt that it keeps. */
struct CachedCase
{
    const char *name_;
    EndpointNumber endpoint_;
    std::uint64_t tokens_;
};

class PromptCached : public testing::TestWithParam<CachedCase>
{
};

// Guards against parts behind a gap that count as kept, although an engine reads everything behind the first gap.
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

// Guards against a shared part that counts as gone as soon as a line does.
TEST(PromptIndex, SharedPartsAreRetainedLonger)
{
    const PromptIndex index = fourEndpoints();
    const CacheCutoffs later{now - std::chrono::seconds(20), now + std::chrono::seconds(1)};
    EXPECT_EQ(index.cachedTokensOn(0, prompt, later), 2'000U);
}

// Guards against a number that is given to another endpoint, which then seems to keep what the former did.
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
    EXPECT_EQ(index.size(), 0U) << "a part that no endpoint keeps takes no memory";
}

// Guards against reports that repeat a part with each turn.
TEST(PromptIndex, PartIsAnnouncedAgainAfterAnInterval)
{
    PromptIndex index = fourEndpoints();
    EXPECT_TRUE(index.markAnnounced(0, "line", now, now - std::chrono::seconds(5)));
    EXPECT_FALSE(index.markAnnounced(0, "line", now, now - std::chrono::seconds(5)));
    EXPECT_TRUE(index.markAnnounced(1, "line", now, now - std::chrono::seconds(5)));
    EXPECT_TRUE(index.markAnnounced(0, "line", now, now));
}

// Guards against an engine that is taken to keep more than it says itself, and against a shorter turn that shortens it.
TEST(PromptIndex, ReportedLengthReplacesTheCachedLength)
{
    PromptIndex index = fourEndpoints();
    index.recordPrefill(0, PromptPart{"line", 100}, now);
    EXPECT_EQ(index.cachedTokensOn(0, prompt, recentCutoffs), 2'900U);
    index.setCached(0, PromptPart{"line", 100}, now);
    EXPECT_EQ(index.cachedTokensOn(0, prompt, recentCutoffs), 2'100U);
}

// Guards against sums of absurd lengths that begin again at 0.
TEST(PromptIndex, CachedTokensDontOverflow)
{
    PromptIndex index(100);
    const std::vector<PromptPart> oversized{PromptPart{"a", ~0ULL}, PromptPart{"b", ~0ULL}};
    index.recordPrefill(0, oversized.front(), now);
    index.recordPrefill(0, oversized.back(), now);
    EXPECT_EQ(index.cachedTokensOn(0, oversized, recentCutoffs), ~0ULL);
}

// Guards against an index that grows without end, and against one that drops what is in use.
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

// Guards against an endpoint with endless parts that drives out what is known of the others.
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

// Guards against a bound that can't choose among parts of the same age.
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
