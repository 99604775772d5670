#include "soakworld.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace filbertgw::testing {

namespace {

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string textFromEnvironment(const char *name)
{
    const char *text = std::getenv(name);
    return text == nullptr ? std::string() : std::string(text);
}

std::string nameOfCase(const ::testing::TestParamInfo<SoakTrouble> &info)
{
    return info.param.name_;
}

SoakTrouble calm(const std::string &name)
{
    SoakTrouble trouble;
    trouble.name_ = name;
    return trouble;
}

SoakTrouble brokenStreams(const std::string &name, std::vector<AnswerForm> odd)
{
    SoakTrouble trouble;
    trouble.name_ = name;
    trouble.brokenShare_ = 0.5;
    trouble.breakAfter_ = 3;
    trouble.oddShare_ = 0.7;
    trouble.odd_ = std::move(odd);
    return trouble;
}

} // namespace

/**
 * Runs the program as the platform does, with stand-ins on loopback.
 *
 * FILBERTGW_GATEWAY_PROGRAM names another program than the one of the build directory, FILBERTGW_SOAK_SEEDS the number
 * of seeds, FILBERTGW_SOAK_FIRST_SEED the first one and FILBERTGW_SOAK_TASKS the length of each run.
 */
class ProcessSoak : public ::testing::TestWithParam<SoakTrouble>
{
};

TEST_P(ProcessSoak, KeepsTheRules)
{
    const std::uint64_t first = numberFromEnvironment("FILBERTGW_SOAK_FIRST_SEED", 1);
    const std::uint64_t seeds = numberFromEnvironment("FILBERTGW_SOAK_SEEDS", 1);
    SoakLength length;
    length.tasks_ = numberFromEnvironment("FILBERTGW_SOAK_TASKS", length.tasks_);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        SoakWorld world(GetParam(), seed, textFromEnvironment("FILBERTGW_GATEWAY_PROGRAM"));
        ASSERT_TRUE(world.start()) << "seed " << seed << ": the gateways are not ready";
        const SoakSummary summary = world.play(length);
        std::map<std::string, std::size_t> broken;
        for (const Violation &violation : summary.violations_) {
            ++broken[violation.rule_];
        }
        std::cout << "seed " << seed << ": " << summary.requests_ << " requests, " << summary.served_ << " served, "
                  << summary.tries_ << " tries, " << summary.runs_ << " runs, " << summary.resumedRuns_ << " resumed";
        for (const std::pair<const std::string, std::size_t> &rule : broken) {
            std::cout << ", " << rule.first << ' ' << rule.second;
        }
        std::cout << std::endl;
        EXPECT_TRUE(summary.violations_.empty()) << "seed " << seed << '\n' << world.traces(summary);
        // Without traffic that is served, no rule would be seen broken.
        EXPECT_GT(summary.served_, summary.requests_ / 4) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ProcessSoak,
                         ::testing::Values(calm("Calm"),
                                           brokenStreams("BreakThenNoEvents",
                                                         {AnswerForm::Json, AnswerForm::Html, AnswerForm::EmptyBody}),
                                           brokenStreams("BreakThenAnew", {AnswerForm::BeginsAnew})),
                         nameOfCase);

} // namespace filbertgw::testing
