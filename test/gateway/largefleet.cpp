#include "gatewaysimulation.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

/** \brief 195 nodes with 63 engines of few slots, a third of them slow; programs share 16 long prompt parts. */
SimulationSettings largeFleet()
{
    SimulationSettings settings;
    settings.nodes_ = 195;
    settings.domains_ = 5;
    settings.clients_ = 116;
    settings.engines_ = 63;
    settings.slots_ = 6;
    settings.cacheTokens_ = 175'000;
    settings.timings_ = EngineTimings{1.14, 0.0323, 0.003};
    settings.slowEngineInterval_ = 3;
    settings.slowness_ = 1.3;
    settings.sharedParts_ = 16;
    settings.sharedTokens_ = 12'600;
    settings.newTokensPerTurn_ = 700;
    settings.outputTokens_ = 270;
    settings.meanTurns_ = 4.0;
    settings.pause_ = std::chrono::milliseconds(80);
    settings.deadlineFactor_ = 1.45;
    return settings;
}

} // namespace

// Guards against turns that wait at full engines while others are free, because each node sees few requests of its own.
TEST(LargeFleet, HighLoadIsServedInTime)
{
    SimulationSettings settings = largeFleet();
    settings.programsPerSecond_ = 180.0;
    GatewaySimulation simulation(settings);
    simulation.run(std::chrono::seconds(6));
    const SimulationResult result = simulation.arrivedWithin(std::chrono::seconds(2), std::chrono::seconds(6));
    EXPECT_GE(result.onTimeShare(), 0.95);
}

// Guards against a burst beyond the capacity of the engines in which all programs are late, including those admitted
// after several refusals, and against a load that stays high long after it.
TEST(LargeFleet, BurstOfThreeTimesTheLoadIsOverWithinFiveSeconds)
{
    SimulationSettings settings = largeFleet();
    settings.programsPerSecond_ = 130.0;
    settings.burstFactor_ = 3.0;
    settings.burstStart_ = std::chrono::seconds(4);
    settings.burstEnd_ = std::chrono::seconds(8);
    settings.hasAdmission_ = true;
    GatewaySimulation simulation(settings);
    simulation.run(std::chrono::seconds(15));
    const SimulationResult burst = simulation.arrivedWithin(std::chrono::seconds(4), std::chrono::seconds(8));
    EXPECT_GE(burst.onTime_, (burst.arrivals_ - burst.refused_) / 2) << "half of the admitted programs";
    EXPECT_GE(burst.onTime_, 4 * 130) << "as many as without the burst";
    EXPECT_GE(simulation.arrivedWithin(std::chrono::seconds(13), std::chrono::seconds(15)).onTimeShare(), 0.95);
}

} // namespace filbertgw::test
