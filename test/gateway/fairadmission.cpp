#include "gatewaysimulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace filbertgw::test {

/** \brief A burst in which some accounts send several times their usual load. */
struct AccountBurst
{
    const char *name_;
    std::uint32_t slots_;
    double burstFactor_; ///< On the load of all accounts.
    std::map<std::size_t, double> hotAccounts_; ///< Further factors, by rank.
};

namespace {

constexpr std::size_t accounts = 75;
constexpr Time burstStart = std::chrono::seconds(4);
constexpr Time burstEnd = std::chrono::seconds(12);
/** From here on programs are refused: before, the engines fill up. */
constexpr Time overloadStart = std::chrono::seconds(7);
constexpr Time end = std::chrono::seconds(20);
/** Rank of the largest account that is always below its fair share. */
constexpr std::size_t firstSmallAccount = 20;

/** 45 engines as in the first and second deployment. Answers are longer, so that fewer programs fill the slots. */
SimulationSettings deployment(const AccountBurst &burst)
{
    SimulationSettings settings;
    settings.nodes_ = 12;
    settings.engines_ = 45;
    settings.slots_ = burst.slots_;
    settings.cacheTokens_ = 292'218;
    settings.timings_ = EngineTimings{1.14, 0.08, 0.003};
    settings.outputTokens_ = 300;
    settings.meanTurns_ = 6.0;
    settings.programsPerSecond_ = 56.0 * burst.slots_ / 12.0;
    settings.deadlineFactor_ = 3.0;
    settings.hasAdmission_ = true;
    settings.accounts_ = accounts;
    settings.burstFactor_ = burst.burstFactor_;
    settings.hotAccounts_ = burst.hotAccounts_;
    settings.burstStart_ = burstStart;
    settings.burstEnd_ = burstEnd;
    return settings;
}

SimulationResult sumOf(const std::vector<SimulationResult> &results)
{
    SimulationResult sum;
    for (const SimulationResult &result : results) {
        sum.arrivals_ += result.arrivals_;
        sum.onTime_ += result.onTime_;
        sum.refused_ += result.refused_;
    }
    return sum;
}

/** The tenth of the accounts that is served least often, of those that sent anything. */
std::vector<SimulationResult> worstTenth(std::vector<SimulationResult> results)
{
    results.erase(std::remove_if(results.begin(),
                                 results.end(),
                                 [](const SimulationResult &result) { return result.arrivals_ == 0; }),
                  results.end());
    std::sort(results.begin(), results.end(), [](const SimulationResult &left, const SimulationResult &right) {
        return left.onTimeShare() < right.onTimeShare();
    });
    results.resize(std::max<std::size_t>(1, results.size() / 10));
    return results;
}

} // namespace

class BurstOfAccounts : public testing::TestWithParam<AccountBurst>
{
protected:
    static SimulationResult sumOfSmallAccounts(const std::vector<SimulationResult> &results)
    {
        return sumOf({results.begin() + firstSmallAccount, results.end()});
    }

    static void report(const char *name, const std::vector<SimulationResult> &results)
    {
        const SimulationResult all = sumOf(results);
        RecordProperty(name,
                       "served " + std::to_string(all.onTimeShare()) + " worst tenth "
                           + std::to_string(sumOf(worstTenth(results)).onTimeShare()) + " worst account "
                           + std::to_string(worstTenth(results).front().onTimeShare()) + " small accounts "
                           + std::to_string(sumOfSmallAccounts(results).onTimeShare()));
    }
};

// Guards against a few accounts whose load costs all others their programs, against accounts that are served far less
// often than the rest, and against refusals beyond those that the load requires.
TEST_P(BurstOfAccounts, CostsOnlyThoseAboveTheirShare)
{
    SimulationSettings settings = deployment(GetParam());
    GatewaySimulation fair(settings);
    fair.run(end);
    settings.isFair_ = false;
    GatewaySimulation alike(settings);
    alike.run(end);
    const std::vector<SimulationResult> results = fair.arrivedByAccount(overloadStart, burstEnd);
    const std::vector<SimulationResult> before = alike.arrivedByAccount(overloadStart, burstEnd);
    report("fair", results);
    report("alike", before);
    const SimulationResult all = sumOf(results);
    ASSERT_GT(all.refused_, all.arrivals_ / 20) << "the load must exceed the capacity";
    const SimulationResult small = sumOfSmallAccounts(results);
    EXPECT_GE(small.onTimeShare(), 0.95);
    EXPECT_GE(sumOf(worstTenth(results)).onTimeShare(), 0.25 * all.onTimeShare());
    for (std::size_t rank = 0; rank < accounts; ++rank) {
        EXPECT_GE(results[rank].onTimeShare(), 0.25 * all.onTimeShare()) << "account " << rank;
    }
    EXPECT_GE(all.onTimeShare(), sumOf(before).onTimeShare() - 0.05);
    EXPECT_GE(fair.arrivedWithin(burstEnd + std::chrono::seconds(2), end).onTimeShare(), 0.95);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BurstOfAccounts,
                         testing::Values(AccountBurst{"TwelveSlotsThreeHot", 12, 2.3, {{1, 3.0}, {4, 6.0}, {9, 5.0}}},
                                         AccountBurst{"TwelveSlotsLargestIsHot", 12, 1.7, {{0, 4.0}, {2, 4.0}}},
                                         AccountBurst{"SixteenSlotsThreeHot", 16, 2.3, {{1, 3.0}, {4, 6.0}, {9, 5.0}}},
                                         AccountBurst{"SixteenSlotsManyHot",
                                                      16,
                                                      1.7,
                                                      {{3, 6.0}, {4, 6.0}, {5, 6.0}, {6, 6.0}, {7, 6.0}, {8, 6.0}}}),
                         [](const testing::TestParamInfo<AccountBurst> &info) { return info.param.name_; });

// Guards against an account that gets no precedence from its priority, or so much that the others get too little.
TEST(FairAdmission, PrioritiesTakePrecedence)
{
    // Accounts 3 and 4 send about as much as each other.
    SimulationSettings settings = deployment({"", 12, 2.3, {{3, 5.0}, {4, 6.5}, {9, 5.0}}});
    settings.priorities_ = {{3, 2}, {4, 0}};
    GatewaySimulation simulation(settings);
    simulation.run(end);
    const std::vector<SimulationResult> results = simulation.arrivedByAccount(overloadStart, burstEnd);
    EXPECT_GT(results[4].onTimeShare(), 1.2 * results[3].onTimeShare());
    EXPECT_GE(results[3].onTimeShare(), 0.25 * sumOf(results).onTimeShare());
}

// Guards against an overload that keeps itself up after its cause: turns on other engines read their prompts again,
// which slows whole batches, so that programs stay longer and more turns move.
TEST(FairAdmission, OverloadEndsWithItsCause)
{
    SimulationSettings settings = deployment({"", 12, 2.0, {{1, 3.0}, {4, 6.0}}});
    settings.timings_.prefillTokenMs_ = 0.006;
    settings.newTokensPerTurn_ = 2'000;
    settings.programsPerSecond_ = 40.0;
    settings.slowFrom_ = std::chrono::seconds(8);
    settings.slowTo_ = burstEnd;
    settings.slowFactor_ = 2.5;
    constexpr Time last = std::chrono::seconds(26);
    GatewaySimulation simulation(settings);
    simulation.run(last);
    const SimulationResult during = simulation.arrivedWithin(overloadStart, burstEnd);
    ASSERT_GT(during.refused_, during.arrivals_ / 20) << "the load must exceed the capacity";
    EXPECT_GE(simulation.arrivedWithin(burstEnd + std::chrono::seconds(5), last).onTimeShare(), 0.9);
}

} // namespace filbertgw::test
