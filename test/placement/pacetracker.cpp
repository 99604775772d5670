#include "placement/pacetracker.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace filbertgw::test {

namespace {

constexpr Duration allowed{10'000'000};

/** \brief A tracker in virtual time whose programs all use the same share of the time allowed. */
struct PaceRig
{
    /** Records programs of ten turns. \param usedShare share of the allowed time that a program uses. */
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

/** \brief Progress of programs and the slowdown at which they would just meet their deadlines. */
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

// Guards against admissions although running programs will be late, and against refusals although they will not.
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

// Guards against estimates from too few turns or from expired ones.
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

// Guards against refusals while the engines are idle, because an outage has made running programs late.
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

// Guards against a restarted node that admits all programs because it has observed none itself.
TEST(PaceTracker, IncludesReportsOfOtherNodes)
{
    PaceRig rig;
    rig.tracker_.setPeerPaces("peer", {ServicePace{"engines", PaceSums{100.0, 50.0, 200.0}}});
    ASSERT_TRUE(rig.tracker_.allowedSlowdown("engines"));
    EXPECT_NEAR(*rig.tracker_.allowedSlowdown("engines"), 2.0, 1e-6);
    rig.now_ += std::chrono::seconds(3);
    EXPECT_FALSE(rig.tracker_.allowedSlowdown("engines")) << "reports of an unreachable node expire";
}

/** \brief Implausible sums in the report of a peer. */
struct InvalidPaceCase
{
    const char *name_;
    PaceSums sums_;
};

class PaceTrackerPeerReport : public testing::TestWithParam<InvalidPaceCase>
{
};

// Guards against a corrupt report that causes the refusal of all new programs, or of none.
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
