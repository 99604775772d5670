#include "placement/trimmedregression.h"

#include <gtest/gtest.h>

#include <random>

namespace filbertgw::test {

// Guards against wrong slopes if y depends on both x and z.
TEST(TrimmedRegression, TellsTwoInfluencesApart)
{
    TrimmedRegression regression(200, 1'000, QuantileRange());
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> uniform(0.0, 10.0);
    for (int i = 0; i < 200; ++i) {
        const double x = uniform(random);
        const double z = uniform(random);
        regression.add(0, RegressionSample{x, z, 4.0 + 2.0 * x + 0.5 * z});
    }
    const LinearFit fit = regression.fit(SlopePrior());
    EXPECT_NEAR(fit.intercept_, 4.0, 1e-6);
    EXPECT_NEAR(fit.slopeX_, 2.0, 1e-6);
    EXPECT_NEAR(fit.slopeZ_, 0.5, 1e-6);
}

// Guards against a division by zero if x and z are collinear.
TEST(TrimmedRegression, CollinearInfluencesGiveAFiniteFit)
{
    TrimmedRegression regression(50, 1'000, QuantileRange());
    for (int i = 0; i < 50; ++i) {
        regression.add(0, RegressionSample{1.0 * i, 2.0 * i, 3.0 * i});
    }
    EXPECT_NEAR(regression.fit(SlopePrior()).at(10.0, 20.0), 30.0, 1e-6);
}

// Guards against old samples that hide a changed relation.
TEST(TrimmedRegression, OnlyTheWindowCounts)
{
    TrimmedRegression regression(20, 1'000, QuantileRange());
    for (int i = 0; i < 100; ++i) {
        regression.add(0, RegressionSample{1.0 * (i % 7), 0.0, 100.0});
    }
    for (int i = 0; i < 20; ++i) {
        regression.add(0, RegressionSample{1.0 * (i % 7), 0.0, 1.0 * (i % 7)});
    }
    EXPECT_NEAR(regression.fit(SlopePrior()).slopeX_, 1.0, 1e-6);
}

// Guards against many samples at one load that displace those at other loads, and against samples that never expire.
TEST(TrimmedRegression, StrataKeepTheirSamplesForALimitedTime)
{
    TrimmedRegression regression(10, 500, QuantileRange());
    for (int i = 0; i < 10; ++i) {
        regression.add(0, RegressionSample{0.0, 0.0, 1.0});
    }
    for (int i = 0; i < 400; ++i) {
        regression.add(3, RegressionSample{10.0, 0.0, 21.0});
    }
    EXPECT_EQ(regression.size(), 20U);
    EXPECT_NEAR(regression.fit(SlopePrior()).slopeX_, 2.0, 1e-6);
    for (int i = 0; i < 200; ++i) {
        regression.add(3, RegressionSample{10.0, 0.0, 21.0});
    }
    EXPECT_EQ(regression.size(), 10U);
}

// Guards against arbitrary slopes without samples or with samples of a single x.
TEST(TrimmedRegression, PriorHoldsWhereSamplesSayNothing)
{
    const SlopePrior prior{0.25, 10.0, 0.0, 0.0};
    TrimmedRegression regression(20, 1'000, QuantileRange());
    EXPECT_DOUBLE_EQ(regression.fit(prior).slopeX_, 0.25);
    for (int i = 0; i < 20; ++i) {
        regression.add(0, RegressionSample{5.0, 0.0, 8.0});
    }
    EXPECT_NEAR(regression.fit(prior).slopeX_, 0.25, 1e-9);
    EXPECT_NEAR(regression.fit(prior).at(5.0, 0.0), 8.0, 1e-9);
}

} // namespace filbertgw::test
