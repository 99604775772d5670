#include "gatewaysimulation.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

/** \brief A kind of engine and a load that it can serve on time. */
struct EngineKind
{
    const char *name_;
    EngineTimings timings_;
    double programsPerSecond_;
    double overloadFactor_; ///< Multiple of that load at which not all programs can finish on time.
    double deadlineFactor_;
};

class EngineLoad : public testing::TestWithParam<EngineKind>
{
protected:
    SimulationSettings settings() const
    {
        SimulationSettings settings;
        settings.timings_ = GetParam().timings_;
        settings.programsPerSecond_ = GetParam().programsPerSecond_;
        settings.deadlineFactor_ = GetParam().deadlineFactor_;
        settings.hasAdmission_ = true;
        return settings;
    }
};

// Guards against contexts that are prefilled again on other engines, and against refusals at normal load.
TEST_P(EngineLoad, NormalLoadIsServedOnTime)
{
    GatewaySimulation simulation(settings());
    simulation.run(std::chrono::seconds(15));
    const SimulationResult result = simulation.arrivedWithin(std::chrono::seconds(2), std::chrono::seconds(15));
    EXPECT_GE(result.onTimeShare(), 0.95);
    EXPECT_LE(result.refused_, result.arrivals_ / 50);
}

// Guards against a burst from which the engines never recover, because programs move and prefills of contexts that are
// cached on other engines delay everything.
TEST_P(EngineLoad, RecoversWithinFiveSecondsOfABurst)
{
    SimulationSettings settings = this->settings();
    settings.burstFactor_ = 2.0;
    settings.burstStart_ = std::chrono::seconds(5);
    settings.burstEnd_ = std::chrono::seconds(11);
    GatewaySimulation simulation(settings);
    simulation.run(std::chrono::seconds(24));
    EXPECT_GE(simulation.arrivedWithin(std::chrono::seconds(16), std::chrono::seconds(24)).onTimeShare(), 0.9);
}

// Guards against refusals at a high load at which all programs would finish on time.
TEST_P(EngineLoad, RefusesFewWhereAllWouldBeOnTime)
{
    SimulationSettings settings = this->settings();
    settings.programsPerSecond_ *= GetParam().overloadFactor_ / 3.0;
    settings.hasAdmission_ = false;
    GatewaySimulation unlimited(settings);
    unlimited.run(std::chrono::seconds(20));
    const SimulationResult all = unlimited.arrivedWithin(std::chrono::seconds(2), std::chrono::seconds(20));
    ASSERT_GE(all.onTimeShare(), 0.95) << "the load must be below capacity";
    settings.hasAdmission_ = true;
    GatewaySimulation simulation(settings);
    simulation.run(std::chrono::seconds(20));
    const SimulationResult result = simulation.arrivedWithin(std::chrono::seconds(2), std::chrono::seconds(20));
    EXPECT_GE(result.onTimeShare(), all.onTimeShare() - 0.02);
}

// Guards against an overload in which all programs finish late instead of only some being refused.
TEST_P(EngineLoad, OverloadLeavesMostAdmittedProgramsOnTime)
{
    SimulationSettings settings = this->settings();
    settings.programsPerSecond_ *= GetParam().overloadFactor_;
    GatewaySimulation simulation(settings);
    simulation.run(std::chrono::seconds(25));
    const SimulationResult result = simulation.arrivedWithin(std::chrono::seconds(5), std::chrono::seconds(25));
    settings.hasAdmission_ = false;
    GatewaySimulation unlimited(settings);
    unlimited.run(std::chrono::seconds(25));
    const SimulationResult all = unlimited.arrivedWithin(std::chrono::seconds(5), std::chrono::seconds(25));
    EXPECT_GT(result.refused_, 0);
    EXPECT_GT(result.onTimeShare(), 1.5 * all.onTimeShare());
    EXPECT_GT(result.onTime_, (result.arrivals_ - result.refused_) / 2);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EngineLoad,
                         testing::Values(EngineKind{"SlowPrefill", {5.0, 0.03, 0.02}, 20.0, 3.0, 2.7},
                                         EngineKind{"FastPrefillSteepBatch", {2.0, 0.06, 0.003}, 40.0, 9.0, 2.0}),
                         [](const testing::TestParamInfo<EngineKind> &info) { return info.param.name_; });

} // namespace filbertgw::test
