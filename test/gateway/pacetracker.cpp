#include "gateway/pacetracker.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace filbertgw::test {

namespace {

constexpr Duration allowed{10'000'000};

/** \brief A tracker in virtual time whose programs all take the same part of the time that they have. */
struct PaceRig
{
    /** Plays programs of ten turns. \param used part of the allowed time that a program takes. */
    void simulate(int programs, double usedShare, double slowdown, const std::string &service = "engines")
    {
        constexpr int turns = 10;
        for (int i = 0; i < programs; ++i) {
            const std::string program = "p" + std::to_string(next_++);
            tracker_.programStarted(program, allowed);
            for (int k = 1; k < turns; ++k) {
                const double left = 1.0 - usedShare * k / turns;
                tracker_.turnStarted(
                    service, program, Duration(static_cast<std::int64_t>(left * allowed.count())), slowdown);
            }
        }
    }

    Time now_{std::chrono::seconds(100)};
    PaceTracker tracker_{[this] { return now_; }, PaceSettings()};
    int next_ = 0;
};

} // namespace

/** \brief How programs proceed, and the stretch at which they would be just in time. */
struct PaceCase
{
    const char *name_;
    double usedShare_;
    double slowdown_;
    double allowed_;
};

class PaceTrackerEstimate : public testing::TestWithParam<PaceCase>
{
};

// Guards against programs that are admitted although those under way will be late, and refused although they won't.
TEST_P(PaceTrackerEstimate, FindsTheAllowedSlowdown)
{
    PaceRig rig;
    rig.simulate(20, GetParam().usedShare_, GetParam().slowdown_);
    ASSERT_TRUE(rig.tracker_.allowedSlowdown("engines"));
    EXPECT_NEAR(*rig.tracker_.allowedSlowdown("engines"), GetParam().allowed_, GetParam().allowed_ * 0.05);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PaceTrackerEstimate,
                         testing::Values(PaceCase{"HalfOfTheTime", 0.5, 1.5, 3.0},
                                         PaceCase{"JustInTime", 1.0, 2.0, 2.0},
                                         PaceCase{"MuchTooLate", 3.0, 4.0, 2.0 / (1.0 - 1.2 / 9.0)}),
                         [](const testing::TestParamInfo<PaceCase> &info) { return info.param.name_; });

// Guards against conclusions from a few turns, and from turns that are long past.
TEST(PaceTracker, HasNoEstimateWithoutEnoughTurns)
{
    PaceRig rig;
    EXPECT_FALSE(rig.tracker_.allowedSlowdown("engines"));
    rig.simulate(1, 0.5, 1.5);
    EXPECT_FALSE(rig.tracker_.allowedSlowdown("engines"));
    rig.simulate(10, 0.5, 1.5);
    EXPECT_TRUE(rig.tracker_.allowedSlowdown("engines"));
    EXPECT_FALSE(rig.tracker_.allowedSlowdown("others"));
    rig.now_ += std::chrono::seconds(20);
    EXPECT_FALSE(rig.tracker_.allowedSlowdown("engines"));
}

// Guards against new programs that are refused on idle engines, because an outage has made others late.
TEST(PaceTracker, ResetForgetsProgramsDelayedByAnOutage)
{
    PaceRig rig;
    rig.tracker_.programStarted("held", allowed);
    rig.simulate(20, 3.0, 1.2);
    rig.tracker_.reset();
    EXPECT_FALSE(rig.tracker_.allowedSlowdown("engines"));
    for (int i = 0; i < 20; ++i) {
        rig.tracker_.turnStarted("engines", "held", Duration{0}, 1.2);
    }
    EXPECT_FALSE(rig.tracker_.allowedSlowdown("engines"));
}

// Guards against a started node that admits whatever comes because it has seen no program itself.
TEST(PaceTracker, IncludesReportsOfOtherNodes)
{
    PaceRig rig;
    rig.tracker_.setPeerPaces("peer", {ServicePace{"engines", PaceSums{100.0, 50.0, 200.0}}});
    ASSERT_TRUE(rig.tracker_.allowedSlowdown("engines"));
    EXPECT_NEAR(*rig.tracker_.allowedSlowdown("engines"), 2.0, 1e-6);
    rig.now_ += std::chrono::seconds(3);
    EXPECT_FALSE(rig.tracker_.allowedSlowdown("engines")) << "what a silent node said is void";
}

/** \brief What a peer must not say. */
struct InvalidPaceCase
{
    const char *name_;
    PaceSums sums_;
};

class PaceTrackerPeerReport : public testing::TestWithParam<InvalidPaceCase>
{
};

// Guards against a report that stops all new programs, or none.
TEST_P(PaceTrackerPeerReport, IsIgnoredIfInvalid)
{
    PaceRig rig;
    rig.tracker_.setPeerPaces("peer", {ServicePace{"engines", GetParam().sums_}});
    EXPECT_FALSE(rig.tracker_.allowedSlowdown("engines"));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PaceTrackerPeerReport,
                         testing::Values(InvalidPaceCase{"Negative", {-100.0, 50.0, 200.0}},
                                         InvalidPaceCase{"NotANumber", {std::nan(""), 50.0, 200.0}},
                                         InvalidPaceCase{"Infinite",
                                                         {100.0, 50.0, std::numeric_limits<double>::infinity()}},
                                         InvalidPaceCase{"MoreThanAllTimeLeft", {100.0, 150.0, 200.0}},
                                         InvalidPaceCase{"FasterThanIdle", {100.0, 50.0, 20.0}}),
                         [](const testing::TestParamInfo<InvalidPaceCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
