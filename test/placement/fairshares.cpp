#include "placement/fairshares.h"

#include <gtest/gtest.h>

#include <cmath>

namespace filbertgw::test {

/** \brief Demands, the refused share of all, and the share of each account that is expected to be refused. */
struct FairSharesCase
{
    const char *name_;
    std::vector<AccountDemand> accounts_;
    double minServedRatio_;
    std::vector<double> refused_;
};

class FairSharesOf : public testing::TestWithParam<FairSharesCase>
{
};

// Guards against refusals of accounts below their fair share, and against a sum that differs from the refused share.
TEST_P(FairSharesOf, RefuseWhatIsAboveTheFairLevel)
{
    const FairShares shares(GetParam().accounts_, GetParam().minServedRatio_);
    double wanted = 0.0;
    double refused = 0.0;
    double sum = 0.0;
    for (std::size_t i = 0; i < GetParam().accounts_.size(); ++i) {
        const AccountDemand &account = GetParam().accounts_[i];
        EXPECT_NEAR(shares.refusalProbability(account), GetParam().refused_[i], 1e-6) << "account " << i;
        wanted += account.requests_ * account.refusedShare_;
        refused += account.requests_ * shares.refusalProbability(account);
        sum += account.requests_;
    }
    EXPECT_NEAR(refused, wanted, 1e-6 * sum);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    FairSharesOf,
    testing::Values(
        FairSharesCase{"NoShortage", {{10.0, 1.0, 0.0}, {90.0, 1.0, 0.0}}, 0.5, {0.0, 0.0}},
        FairSharesCase{"NoAccounts", {}, 0.5, {}},
        FairSharesCase{"AllIsRefused", {{10.0, 1.0, 1.0}, {90.0, 1.0, 1.0}}, 0.5, {1.0, 1.0}},
        FairSharesCase{"EqualAccounts", {{50.0, 1.0, 0.3}, {50.0, 1.0, 0.3}}, 0.5, {0.3, 0.3}},
        FairSharesCase{"OneIsOverItsShare", {{10.0, 1.0, 0.4}, {90.0, 1.0, 0.4}}, 0.5, {0.0, 4.0 / 9.0}},
        FairSharesCase{"WeightsOfPriorities", {{60.0, 1.0, 0.5}, {60.0, 0.5, 0.5}}, 0.0, {1.0 / 3.0, 2.0 / 3.0}},
        FairSharesCase{
            "LowPriorityBelowItsShareLosesNothing", {{80.0, 1.0, 0.0}, {20.0, 1.0 / 3.0, 0.5}}, 0.0, {0.125, 0.0}},
        // Plain max-min would serve a seventh of the largest account, where half of all programs are served.
        FairSharesCase{"LargestAccountIsServedHalfAsOftenAsAll",
                       {{40.0, 1.0, 0.5}, {30.0, 1.0, 0.5}, {30.0, 1.0, 0.5}},
                       0.9,
                       {0.55, 1.0 - 16.0 / 30.0, 1.0 - 16.0 / 30.0}}),
    [](const testing::TestParamInfo<FairSharesCase> &info) { return info.param.name_; });

// Guards against an account that nothing runs for yet and that is admitted in any overload.
TEST(FairShares, UnknownAccountsAreRefusedOnceTheLevelIsBelowOneRequest)
{
    const std::vector<AccountDemand> accounts(1000, AccountDemand{1.0, 1.0, 0.6});
    EXPECT_NEAR(FairShares(accounts, 0.5).refusalProbability(AccountDemand{1.0, 1.0, 0.6}), 0.6, 1e-6);
    EXPECT_EQ(FairShares({}, 0.5).refusalProbability(AccountDemand{1.0, 1.0, 0.6}), 0.0);
}

} // namespace filbertgw::test
