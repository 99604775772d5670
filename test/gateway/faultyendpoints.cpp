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

} // namespace filbertgw::test
