#include "decisionworld.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

/** \brief 195 nodes with 63 engines of few slots, a third of them slow; programs share 16 long prompt parts. */
WorldSettings largeFleet()
{
    WorldSettings settings;
    settings.nodes_ = 195;
    settings.domains_ = 5;
    settings.clients_ = 116;
    settings.engines_ = 63;
    settings.slots_ = 6;
    settings.cacheTokens_ = 175'000;
    settings.figures_ = EngineFigures{1.14, 0.0323, 0.003};
    settings.slowEvery_ = 3;
    settings.slowness_ = 1.3;
    settings.sharedParts_ = 16;
    settings.sharedTokens_ = 12'600;
    settings.newTokens_ = 700;
    settings.outputTokens_ = 270;
    settings.turns_ = 4.0;
    settings.pause_ = std::chrono::milliseconds(80);
    settings.aim_ = 1.45;
    return settings;
}

} // namespace

// Guards against turns that wait at full engines while others are free, because each node sees few requests of its own.
TEST(LargeFleet, HighLoadIsServedInTime)
{
    WorldSettings settings = largeFleet();
    settings.programsPerSecond_ = 180.0;
    DecisionWorld world(settings);
    world.run(std::chrono::seconds(6));
    const WorldResult result = world.arrivedWithin(std::chrono::seconds(2), std::chrono::seconds(6));
    EXPECT_GE(result.shareInTime(), 0.95);
}

// Guards against a burst beyond the capacity of the engines in which all programs are late, including those admitted
// after several refusals, and against a load that stays high long after it.
TEST(LargeFleet, BurstOfThreeTimesTheLoadIsOverWithinFiveSeconds)
{
    WorldSettings settings = largeFleet();
    settings.programsPerSecond_ = 130.0;
    settings.burst_ = 3.0;
    settings.burstFrom_ = std::chrono::seconds(4);
    settings.burstTo_ = std::chrono::seconds(8);
    settings.admits_ = true;
    DecisionWorld world(settings);
    world.run(std::chrono::seconds(15));
    const WorldResult burst = world.arrivedWithin(std::chrono::seconds(4), std::chrono::seconds(8));
    EXPECT_GE(burst.inTime_, (burst.asked_ - burst.refused_) / 2) << "half of the admitted programs";
    EXPECT_GE(burst.inTime_, 4 * 130) << "as many as without the burst";
    EXPECT_GE(world.arrivedWithin(std::chrono::seconds(13), std::chrono::seconds(15)).shareInTime(), 0.95);
}

} // namespace filbertgw::test
