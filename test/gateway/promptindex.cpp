#include "gateway/promptindex.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr Time now{std::chrono::seconds(100)};
const KeptSince lately{now - std::chrono::seconds(30), now - std::chrono::seconds(6)};

/** \brief Endpoints 0 to 3: one keeps all, one a shorter line, one only the shared part, one only the line. */
PromptIndex fourEndpoints()
{
    PromptIndex index(100);
    index.noteRead(0, PromptPart{"shared", 2'000}, now);
    index.noteRead(0, PromptPart{"line", 900}, now);
    index.noteRead(1, PromptPart{"shared", 2'000}, now);
    index.noteRead(1, PromptPart{"line", 300}, now);
    index.noteRead(2, PromptPart{"shared", 2'000}, now);
    index.noteRead(3, PromptPart{"line", 900}, now);
    return index;
}

const std::vector<PromptPart> prompt{PromptPart{"shared", 2'000}, PromptPart{"line", 1'000}};

} // namespace

/** \brief An endpoint and the tokens of the prompt that it keeps. */
struct KeptCase
{
    const char *name_;
    EndpointNumber endpoint_;
    std::uint64_t tokens_;
};

class PromptKept : public testing::TestWithParam<KeptCase>
{
};

// Guards against parts behind a gap that count as kept, although an engine reads everything behind the first gap.
TEST_P(PromptKept, CountsUpToTheFirstGap)
{
    EXPECT_EQ(fourEndpoints().keptOn(GetParam().endpoint_, prompt, lately), GetParam().tokens_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PromptKept,
                         testing::Values(KeptCase{"SharedAndLine", 0, 2'900},
                                         KeptCase{"ShorterLine", 1, 2'300},
                                         KeptCase{"SharedOnly", 2, 2'000},
                                         KeptCase{"LineBehindAGap", 3, 0},
                                         KeptCase{"Unknown", 4, 0}),
                         [](const testing::TestParamInfo<KeptCase> &info) { return info.param.name_; });

// Guards against a shared part that counts as gone as soon as a line does.
TEST(PromptIndex, SharedPartsAreKeptForLonger)
{
    const PromptIndex index = fourEndpoints();
    const KeptSince later{now - std::chrono::seconds(20), now + std::chrono::seconds(1)};
    EXPECT_EQ(index.keptOn(0, prompt, later), 2'000U);
}

// Guards against a number that is given to another endpoint, which then seems to keep what the former did.
TEST(PromptIndex, ForgottenEndpointKeepsNothing)
{
    PromptIndex index = fourEndpoints();
    index.forget(0);
    EXPECT_EQ(index.keptOn(0, prompt, lately), 0U);
    EXPECT_EQ(index.keptOn(1, prompt, lately), 2'300U);
    EXPECT_EQ(index.partsOf(0), 0U);
    EXPECT_EQ(index.size(), 2U);
    index.forget(1);
    index.forget(2);
    index.forget(3);
    EXPECT_EQ(index.size(), 0U) << "a part that no endpoint keeps takes no memory";
}

// Guards against reports that repeat a part with each turn.
TEST(PromptIndex, PartIsToldAgainAfterATime)
{
    PromptIndex index = fourEndpoints();
    EXPECT_TRUE(index.noteTold(0, "line", now, now - std::chrono::seconds(5)));
    EXPECT_FALSE(index.noteTold(0, "line", now, now - std::chrono::seconds(5)));
    EXPECT_TRUE(index.noteTold(1, "line", now, now - std::chrono::seconds(5)));
    EXPECT_TRUE(index.noteTold(0, "line", now, now));
}

// Guards against an engine that is taken to keep more than it says itself, and against a shorter turn that shortens it.
TEST(PromptIndex, ReportedLengthReplacesWhatIsKept)
{
    PromptIndex index = fourEndpoints();
    index.noteRead(0, PromptPart{"line", 100}, now);
    EXPECT_EQ(index.keptOn(0, prompt, lately), 2'900U);
    index.noteKept(0, PromptPart{"line", 100}, now);
    EXPECT_EQ(index.keptOn(0, prompt, lately), 2'100U);
}

// Guards against sums of absurd lengths that begin again at 0.
TEST(PromptIndex, KeptTokensDontOverflow)
{
    PromptIndex index(100);
    const std::vector<PromptPart> absurd{PromptPart{"a", ~0ULL}, PromptPart{"b", ~0ULL}};
    index.noteRead(0, absurd.front(), now);
    index.noteRead(0, absurd.back(), now);
    EXPECT_EQ(index.keptOn(0, absurd, lately), ~0ULL);
}

// Guards against an index that grows without end, and against one that drops what is in use.
TEST(PromptIndex, BoundDropsTheOldest)
{
    PromptIndex index(100);
    for (int i = 0; i < 250; ++i) {
        index.noteRead(0, PromptPart{"p" + std::to_string(i), 10}, now + std::chrono::milliseconds(i));
        EXPECT_LE(index.partsOf(0), 100U);
        EXPECT_EQ(index.partsOf(0), index.size());
    }
    const KeptSince always{Time{0}, Time{0}};
    for (int i = 210; i < 250; ++i) {
        EXPECT_EQ(index.keptOn(0, {PromptPart{"p" + std::to_string(i), 10}}, always), 10U) << i;
    }
    EXPECT_EQ(index.keptOn(0, {PromptPart{"p0", 10}}, always), 0U);
}

// Guards against an endpoint with endless parts that drives out what is known of the others.
TEST(PromptIndex, EachEndpointIsBoundedByItself)
{
    PromptIndex index(100);
    index.noteRead(0, PromptPart{"line", 900}, now);
    for (int i = 0; i < 1'000; ++i) {
        index.noteKept(1, PromptPart{"p" + std::to_string(i), 10}, now + std::chrono::milliseconds(i));
    }
    EXPECT_EQ(index.keptOn(0, {PromptPart{"line", 900}}, lately), 900U);
    EXPECT_LE(index.partsOf(1), 100U);
}

// Guards against a bound that can't choose among parts of the same age.
TEST(PromptIndex, PartsOfTheSameAgeAreBounded)
{
    PromptIndex index(100);
    for (int i = 0; i < 250; ++i) {
        index.noteRead(0, PromptPart{"p" + std::to_string(i), 10}, now);
    }
    EXPECT_LE(index.partsOf(0), 100U);
    EXPECT_GE(index.partsOf(0), 50U);
}

} // namespace filbertgw::test
