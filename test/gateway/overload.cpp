#include "decisionworld.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

/** \brief A kind of engine and a load that it can serve. */
struct EngineKind
{
    const char *name_;
    EngineFigures figures_;
    double programsPerSecond_;
    double overload_; ///< Factor of that load at which the engines can't serve all programs in time.
    double aim_;
};

class LoadOn : public testing::TestWithParam<EngineKind>
{
protected:
    WorldSettings settings() const
    {
        WorldSettings settings;
        settings.figures_ = GetParam().figures_;
        settings.programsPerSecond_ = GetParam().programsPerSecond_;
        settings.aim_ = GetParam().aim_;
        settings.admits_ = true;
        return settings;
    }
};

// Guards against contexts that are read again on other engines, and against refusals that nothing calls for.
TEST_P(LoadOn, OrdinaryLoadIsServedInTime)
{
    DecisionWorld world(settings());
    world.run(std::chrono::seconds(15));
    const WorldResult result = world.arrivedWithin(std::chrono::seconds(2), std::chrono::seconds(15));
    EXPECT_GE(result.shareInTime(), 0.95);
    EXPECT_LE(result.refused_, result.asked_ / 50);
}

// Guards against a burst that is never recovered from: contexts that lie elsewhere are read again, which holds up all.
TEST_P(LoadOn, RecoversWithinFiveSecondsOfABurst)
{
    WorldSettings settings = this->settings();
    settings.burst_ = 2.0;
    settings.burstFrom_ = std::chrono::seconds(5);
    settings.burstTo_ = std::chrono::seconds(11);
    DecisionWorld world(settings);
    world.run(std::chrono::seconds(24));
    EXPECT_GE(world.arrivedWithin(std::chrono::seconds(16), std::chrono::seconds(24)).shareInTime(), 0.9);
}

// Guards against refusals at a high load that is still served in time.
TEST_P(LoadOn, RefusesLittleWhereAllWouldBeInTime)
{
    WorldSettings settings = this->settings();
    settings.programsPerSecond_ *= GetParam().overload_ / 3.0;
    settings.admits_ = false;
    DecisionWorld open(settings);
    open.run(std::chrono::seconds(20));
    const WorldResult all = open.arrivedWithin(std::chrono::seconds(2), std::chrono::seconds(20));
    ASSERT_GE(all.shareInTime(), 0.95) << "the load is meant to be served";
    settings.admits_ = true;
    DecisionWorld world(settings);
    world.run(std::chrono::seconds(20));
    const WorldResult result = world.arrivedWithin(std::chrono::seconds(2), std::chrono::seconds(20));
    EXPECT_GE(result.shareInTime(), all.shareInTime() - 0.02);
}

// Guards against all programs being late where the engines can't serve all of them.
TEST_P(LoadOn, OverloadLeavesMostOfThoseAdmittedInTime)
{
    WorldSettings settings = this->settings();
    settings.programsPerSecond_ *= GetParam().overload_;
    DecisionWorld world(settings);
    world.run(std::chrono::seconds(25));
    const WorldResult result = world.arrivedWithin(std::chrono::seconds(5), std::chrono::seconds(25));
    settings.admits_ = false;
    DecisionWorld open(settings);
    open.run(std::chrono::seconds(25));
    const WorldResult all = open.arrivedWithin(std::chrono::seconds(5), std::chrono::seconds(25));
    EXPECT_GT(result.refused_, 0);
    EXPECT_GT(result.shareInTime(), 1.5 * all.shareInTime());
    EXPECT_GT(result.inTime_, (result.asked_ - result.refused_) / 2);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LoadOn,
                         testing::Values(EngineKind{"SlowReader", {5.0, 0.03, 0.02}, 20.0, 3.0, 2.7},
                                         EngineKind{"FastReaderSteepBatch", {2.0, 0.06, 0.003}, 40.0, 9.0, 2.0}),
                         [](const testing::TestParamInfo<EngineKind> &info) { return info.param.name_; });

} // namespace filbertgw::test
