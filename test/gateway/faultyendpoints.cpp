#include "faultyworld.h"

#include <gtest/gtest.h>

#include <iostream>

namespace filbertgw::test {

namespace {

using std::chrono::seconds;

/** Requests that may be lost to an endpoint in a spell, whatever the number of nodes. */
constexpr int maxLostPerEndpoint = 6;
/** The largest tenth must be served at least so often, relative to all. */
constexpr double minLargestShare = 0.5;

} // namespace

/** \brief Nodes before endpoints of which one in eight fails all requests, in two spells. */
struct FaultyCase
{
    const char *name_;
    std::size_t nodes_;
    std::size_t endpoints_;
    FaultForm form_;
};

class FaultyEndpoints : public testing::TestWithParam<FaultyCase>
{
protected:
    static FaultyWorldSettings settings()
    {
        FaultyWorldSettings settings;
        settings.nodes_ = GetParam().nodes_;
        settings.endpoints_ = GetParam().endpoints_;
        return settings;
    }
};

// Guards against nodes that each find out alone which endpoints fail everything: large programs then rarely end.
TEST_P(FaultyEndpoints, LoseFewRequestsAndServeLargeProgramsLikeOthers)
{
    FaultyWorld world(settings());
    const std::size_t faulty = GetParam().endpoints_ / 8;
    world.spell(0, faulty, 1.0, GetParam().form_, seconds(13));
    world.run(seconds(4));
    world.spell(faulty, faulty, 1.0, GetParam().form_, seconds(7));
    world.run(seconds(15));
    const ProgramCount all = world.programs();
    const ProgramCount largest = world.largestPrograms();
    std::cout << "served " << all.served_ << " of " << all.all_ << ", largest tenth " << largest.served_ << " of "
              << largest.all_ << ", lost " << world.lost() << "\n";
    ASSERT_GT(largest.all_, 20);
    EXPECT_GE(largest.share(), minLargestShare * all.share());
    EXPECT_LE(world.lost(), static_cast<int>(2 * faulty) * maxLostPerEndpoint);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         FaultyEndpoints,
                         testing::Values(FaultyCase{"Reset12", 12, 24, FaultForm::Reset},
                                         FaultyCase{"Reset73", 73, 68, FaultForm::Reset},
                                         FaultyCase{"Error73", 73, 68, FaultForm::Error},
                                         FaultyCase{"Silent73", 73, 68, FaultForm::Silent}),
                         [](const testing::TestParamInfo<FaultyCase> &info) { return info.param.name_; });

/** \brief Failures that are no reason to eject endpoints. */
struct SoundCase
{
    const char *name_;
    std::function<void(FaultyWorld &world)> run_;
};

class SoundEndpoints : public testing::TestWithParam<SoundCase>
{
};

// Guards against endpoints that are taken out for what a node, the application or a few broken answers cause.
TEST_P(SoundEndpoints, AreNotEjected)
{
    FaultyWorldSettings settings;
    FaultyWorld world(settings);
    GetParam().run_(world);
    EXPECT_EQ(world.rig_.counts_["endpoint_ejections_total/"], 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    SoundEndpoints,
    testing::Values(SoundCase{"SomeBreakOffOneAnswerIn18",
                              [](FaultyWorld &world) { world.spell(0, 14, 0.055, FaultForm::Reset, seconds(20)); }},
                    SoundCase{"ApplicationFailsFourInTen",
                              [](FaultyWorld &world) { world.spell(0, 24, 0.4, FaultForm::Error, seconds(10)); }},
                    SoundCase{"OneNodeReachesNone", [](FaultyWorld &world) { world.cutNode(3, seconds(10)); }}),
    [](const testing::TestParamInfo<SoundCase> &info) { return info.param.name_; });

class EjectedEndpoints : public testing::TestWithParam<FaultForm>
{
};

// Guards against endpoints that stay out after they have become sound.
TEST_P(EjectedEndpoints, GetTheirShareAgainAfterTheSpell)
{
    constexpr std::size_t faulty = 3;
    FaultyWorldSettings settings;
    FaultyWorld world(settings);
    world.spell(0, faulty, 1.0, GetParam(), seconds(8));
    world.run(seconds(6));
    world.resetArrivals();
    world.run(seconds(4));
    int all = 0;
    for (const std::pair<const std::string, int> &endpoint : world.arrivals()) {
        all += endpoint.second;
    }
    const int fairShare = all / static_cast<int>(settings.endpoints_);
    for (std::size_t i = 0; i < faulty; ++i) {
        const auto arrivals = world.arrivals().find("s" + std::to_string(i));
        ASSERT_NE(arrivals, world.arrivals().end());
        EXPECT_GE(arrivals->second, fairShare / 2);
    }
}

// Guards against a service that is left with too few endpoints when many of them fail.
TEST_P(EjectedEndpoints, AreFewerThanAThirdOfTheirService)
{
    FaultyWorldSettings settings;
    FaultyWorld world(settings);
    const std::size_t before = world.rig_.counts_["endpoint_ejections_total/"];
    world.spell(0, 16, 1.0, GetParam(), seconds(6));
    const std::size_t ejections = world.rig_.counts_["endpoint_ejections_total/"] - before;
    EXPECT_LE(ejections, settings.nodes_ * settings.endpoints_ / 3);
    EXPECT_GT(ejections, 0);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EjectedEndpoints,
                         testing::Values(FaultForm::Reset, FaultForm::Error),
                         [](const testing::TestParamInfo<FaultForm> &info) {
                             return info.param == FaultForm::Reset ? "Reset" : "Error";
                         });

} // namespace filbertgw::test
