#include "placement/enginemodel.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace filbertgw::test {

namespace {

/** \brief An engine with given timings and random noise. */
class SyntheticEngine
{
public:
    SyntheticEngine(std::string name, const EngineTimings &timings)
        : name_(std::move(name))
        , timings_(timings)
    {
    }

    void observe(EngineModel &model, double slowness = 1.0)
    {
        const double others = std::floor(uniform_(random_) * 30.0);
        const double step = timings_.stepMs(others) * slowness * (0.95 + 0.1 * uniform_(random_));
        model.observeTokens("engines", name_, others, 9, duration(step * 9.0));
        const auto uncached = static_cast<std::uint64_t>(uniform_(random_) * 5'000.0);
        const double first = 6.0 + static_cast<double>(uncached) * timings_.prefillTokenMs_ * slowness + 2.0 * step;
        model.observeFirstEvent("engines", others, uncached, duration(first));
    }

    static Duration duration(double ms)
    {
        return Duration(static_cast<std::int64_t>(ms * 1000.0));
    }

private:
    std::string name_;
    EngineTimings timings_;
    std::mt19937_64 random_{11};
    std::uniform_real_distribution<double> uniform_{0.0, 1.0};
};

void expectNear(const EngineTimings &learned, const EngineTimings &truth, double part)
{
    EXPECT_NEAR(learned.stepMs_, truth.stepMs_, truth.stepMs_ * part);
    EXPECT_NEAR(learned.stepMs(30.0), truth.stepMs(30.0), truth.stepMs(30.0) * part);
    EXPECT_NEAR(learned.prefillTokenMs_, truth.prefillTokenMs_, truth.prefillTokenMs_ * part);
}

} // namespace

/** \brief Actual timings of an engine, to be estimated. */
struct EngineCase
{
    const char *name_;
    EngineTimings truth_;
};

class EngineModelEstimates : public testing::TestWithParam<EngineCase>
{
};

// Guards against estimates that only fit one kind of engine.
TEST_P(EngineModelEstimates, LearnsTheTimings)
{
    EngineModel model{EngineModelSettings()};
    SyntheticEngine engine("e0", GetParam().truth_);
    for (int i = 0; i < 200; ++i) {
        engine.observe(model);
    }
    expectNear(model.timings("engines", "e0"), GetParam().truth_, 0.15);
}

// Guards against estimates that are distorted by late answers or lost prefix caches.
TEST_P(EngineModelEstimates, IgnoresOneFifthOfOutliers)
{
    EngineModel model{EngineModelSettings()};
    SyntheticEngine engine("e0", GetParam().truth_);
    for (int i = 0; i < 300; ++i) {
        engine.observe(model);
        if (i % 5 == 0) {
            model.observeTokens("engines", "e1", 3.0, 9, std::chrono::milliseconds(1500));
            model.observeFirstEvent("engines", 3.0, 0, std::chrono::milliseconds(1500));
        }
    }
    expectNear(model.timings("engines", "e0"), GetParam().truth_, 0.2);
}

// Guards against an engine that becomes slow and keeps its share of the requests.
TEST_P(EngineModelEstimates, FollowsAnEngineThatBecomesSlow)
{
    EngineModel model{EngineModelSettings()};
    SyntheticEngine healthy("e0", GetParam().truth_);
    SyntheticEngine slow("e1", GetParam().truth_);
    for (int i = 0; i < 100; ++i) {
        healthy.observe(model);
        slow.observe(model);
    }
    for (int i = 0; i < 8; ++i) {
        healthy.observe(model);
        slow.observe(model, 4.0);
    }
    const double before = model.timings("engines", "e0").stepMs(5.0);
    EXPECT_GT(model.timings("engines", "e1").stepMs(5.0), 2.5 * before);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EngineModelEstimates,
                         testing::Values(EngineCase{"FastPrefill", {1.14, 0.032, 1.0 / 336.0}},
                                         EngineCase{"SlowPrefill", {5.09, 0.03, 1.0 / 51.1}},
                                         EngineCase{"SlowAll", {15.0, 0.4, 1.0 / 20.0}},
                                         EngineCase{"FastAll", {0.4, 0.002, 1.0 / 900.0}},
                                         EngineCase{"SteepBatch", {3.0, 0.3, 1.0 / 100.0}}),
                         [](const testing::TestParamInfo<EngineCase> &info) { return info.param.name_; });

// Guards against a division by zero, and against a preference among engines without observations.
TEST(EngineModel, HasDefaultsBeforeTheFirstObservation)
{
    const EngineModel model{EngineModelSettings()};
    const EngineTimings timings = model.timings("engines", "e0");
    EXPECT_GT(timings.stepMs_, 0.0);
    EXPECT_GT(timings.prefillTokenMs_, 0.0);
    EXPECT_DOUBLE_EQ(timings.stepMs_, model.timings("engines", "e1").stepMs_);
}

// Guards against a new model that goes unnoticed because old observations outnumber the new ones.
TEST(EngineModel, FollowsASpeedupOfAllEngines)
{
    EngineModel model{EngineModelSettings()};
    const EngineTimings before{5.0, 0.03, 1.0 / 50.0};
    const EngineTimings after{2.0, 0.02, 1.0 / 200.0};
    SyntheticEngine old("e0", before);
    SyntheticEngine changed("e0", after);
    for (int i = 0; i < 300; ++i) {
        old.observe(model);
    }
    for (int i = 0; i < 260; ++i) {
        changed.observe(model);
    }
    expectNear(model.timings("engines", "e0"), after, 0.2);
}

// Guards against waits for other prefills that count as prefill time, which then came out up to ten times too long:
// cached contexts were overvalued, and new programs were refused for a slowdown that did not exist.
TEST(EngineModel, PrefillTimeExcludesWaitsForOtherPrompts)
{
    EngineModel model{EngineModelSettings()};
    const EngineTimings truth{5.0, 0.03, 1.0 / 50.0};
    std::mt19937_64 random{3};
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    const auto prompt = [&] { return uniform(random) < 0.9 ? 900.0 : 1'800.0; };
    for (int i = 0; i < 3'000; ++i) {
        const double others = std::floor(uniform(random) * 30.0);
        const double uncached = prompt();
        const double waits = std::floor(std::pow(uniform(random), 3.0) * 4.0 * others) * 900.0;
        const bool isCached = uniform(random) < 0.05;
        const double prefilled = (isCached ? 0.0 : uncached) + waits;
        const double first = 6.0 + prefilled * truth.prefillTokenMs_ + truth.stepMs(others);
        model.observeTokens("engines", "e0", others, 9, SyntheticEngine::duration(9.0 * truth.stepMs(others)));
        model.observeFirstEvent(
            "engines", others, static_cast<std::uint64_t>(uncached), SyntheticEngine::duration(first));
        if (i >= 300) {
            ASSERT_GE(model.timings("engines").prefillTokenMs_, truth.prefillTokenMs_ / 2.0) << i;
            ASSERT_LE(model.timings("engines").prefillTokenMs_, truth.prefillTokenMs_ * 2.0) << i;
        }
    }
}

// Guards against a slowdown that omits the prefills of the other requests, or that is below 1.
TEST(EngineModel, SlowdownCountsPrefillAndDecodeOfOthers)
{
    EngineModel model{EngineModelSettings()};
    EXPECT_DOUBLE_EQ(model.slowdown("engines", 10.0), 1.0) << "no observations yet";
    const EngineTimings truth{5.0, 0.05, 1.0 / 50.0};
    SyntheticEngine engine("e0", truth);
    for (int i = 0; i < 200; ++i) {
        engine.observe(model);
        model.observeSize("engines", 1'000, 30);
    }
    EXPECT_DOUBLE_EQ(model.slowdown("engines", 0.0), 1.0);
    // Alone 20 ms of prefill and 150 ms of decode; with ten others 220 ms and 165 ms.
    EXPECT_NEAR(model.slowdown("engines", 10.0), 385.0 / 170.0, 0.3);
}

// Guards against losing the timings of an idle engine during a long period of load.
TEST(EngineModel, KeepsTheIdleTimingsUnderLoad)
{
    EngineModel model{EngineModelSettings()};
    const EngineTimings truth{5.0, 0.2, 1.0 / 50.0};
    SyntheticEngine engine("e0", truth);
    for (int i = 0; i < 200; ++i) {
        engine.observe(model);
    }
    for (int i = 0; i < 1'500; ++i) {
        model.observeTokens("engines", "e0", 30.0, 9, SyntheticEngine::duration(9.0 * truth.stepMs(30.0)));
    }
    EXPECT_NEAR(model.timings("engines").stepMs_, truth.stepMs_, truth.stepMs_ * 0.15);
}

/** \brief An invalid observation and the reason for its rejection. */
struct RejectedCase
{
    const char *name_;
    std::uint64_t tokens_;
    Duration time_;
    RejectedObservation reason_;
};

class EngineModelRejects : public testing::TestWithParam<RejectedCase>
{
};

// Guards against invalid input that changes the estimates or is dropped without being counted.
TEST_P(EngineModelRejects, InvalidInputIsCountedAndIgnored)
{
    EngineModel model{EngineModelSettings()};
    const double before = model.timings("engines", "e0").stepMs_;
    model.observeTokens("engines", "e0", 0.0, GetParam().tokens_, GetParam().time_);
    EXPECT_DOUBLE_EQ(model.timings("engines", "e0").stepMs_, before);
    EXPECT_EQ(model.rejected(GetParam().reason_), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EngineModelRejects,
    testing::Values(RejectedCase{"NoTokens", 0, std::chrono::milliseconds(5), RejectedObservation::NoTokens},
                    RejectedCase{"NoTime", 9, Duration{0}, RejectedObservation::NoTime},
                    RejectedCase{"ClockStepBack", 9, std::chrono::seconds(-3), RejectedObservation::NoTime},
                    RejectedCase{"OutOfRange", 9, std::chrono::hours(1), RejectedObservation::OutOfRange},
                    RejectedCase{"MostTokens", ~0ULL, std::chrono::hours(300'000), RejectedObservation::OutOfRange}),
    [](const testing::TestParamInfo<RejectedCase> &info) { return info.param.name_; });

// Guards against refusals by timings that are only assumed, and of turns that a fast engine finishes in time.
TEST(EngineModel, LeastTimeOfATurnIsConservative)
{
    EngineModel model{EngineModelSettings()};
    SyntheticEngine engine("e", EngineTimings{1.14, 0.08, 0.003});
    engine.observe(model);
    EXPECT_FALSE(model.minTurnTime("engines", 300));
    for (int i = 0; i < 500; ++i) {
        engine.observe(model);
    }
    ASSERT_TRUE(model.minTurnTime("engines", 300));
    EXPECT_LE(*model.minTurnTime("engines", 300), SyntheticEngine::duration(300 * 1.14 / 1.2));
    EXPECT_GE(*model.minTurnTime("engines", 300), SyntheticEngine::duration(300 * 1.14 / 3.0));
    EXPECT_FALSE(model.minTurnTime("others", 300));
}

} // namespace filbertgw::test
