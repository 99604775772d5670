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
    void play(int programs, double used, double stretch, const std::string &service = "engines")
    {
        constexpr int turns = 10;
        for (int i = 0; i < programs; ++i) {
            const std::string program = "p" + std::to_string(next_++);
            tracker_.began(program, allowed);
            for (int k = 1; k < turns; ++k) {
                const double left = 1.0 - used * k / turns;
                tracker_.continued(
                    service, program, Duration(static_cast<std::int64_t>(left * allowed.count())), stretch);
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
    double used_;
    double stretch_;
    double allowed_;
};

class PaceTrackerFor : public testing::TestWithParam<PaceCase>
{
};

// Guards against programs that are admitted although those under way will be late, and refused although they won't.
TEST_P(PaceTrackerFor, FindsTheAllowedStretch)
{
    PaceRig rig;
    rig.play(20, GetParam().used_, GetParam().stretch_);
    ASSERT_TRUE(rig.tracker_.allowedStretch("engines"));
    EXPECT_NEAR(*rig.tracker_.allowedStretch("engines"), GetParam().allowed_, GetParam().allowed_ * 0.05);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PaceTrackerFor,
                         testing::Values(PaceCase{"HalfOfTheTime", 0.5, 1.5, 3.0},
                                         PaceCase{"JustInTime", 1.0, 2.0, 2.0},
                                         PaceCase{"MuchTooLate", 3.0, 4.0, 2.0 / (1.0 - 1.2 / 9.0)}),
                         [](const testing::TestParamInfo<PaceCase> &info) { return info.param.name_; });

// Guards against conclusions from a few turns, and from turns that are long past.
TEST(PaceTracker, SaysNothingWithoutEnoughTurns)
{
    PaceRig rig;
    EXPECT_FALSE(rig.tracker_.allowedStretch("engines"));
    rig.play(1, 0.5, 1.5);
    EXPECT_FALSE(rig.tracker_.allowedStretch("engines"));
    rig.play(10, 0.5, 1.5);
    EXPECT_TRUE(rig.tracker_.allowedStretch("engines"));
    EXPECT_FALSE(rig.tracker_.allowedStretch("others"));
    rig.now_ += std::chrono::seconds(20);
    EXPECT_FALSE(rig.tracker_.allowedStretch("engines"));
}

// Guards against new programs that are refused on idle engines, because an outage has made others late.
TEST(PaceTracker, ForgetsProgramsThatWereHeldUpElsewhere)
{
    PaceRig rig;
    rig.tracker_.began("held", allowed);
    rig.play(20, 3.0, 1.2);
    rig.tracker_.reset();
    EXPECT_FALSE(rig.tracker_.allowedStretch("engines"));
    for (int i = 0; i < 20; ++i) {
        rig.tracker_.continued("engines", "held", Duration{0}, 1.2);
    }
    EXPECT_FALSE(rig.tracker_.allowedStretch("engines"));
}

// Guards against a started node that admits whatever comes because it has seen no program itself.
TEST(PaceTracker, CountsWhatOtherNodesSaw)
{
    PaceRig rig;
    rig.tracker_.setPeer("peer", {ServicePace{"engines", PaceSums{100.0, 50.0, 200.0}}});
    ASSERT_TRUE(rig.tracker_.allowedStretch("engines"));
    EXPECT_NEAR(*rig.tracker_.allowedStretch("engines"), 2.0, 1e-6);
    rig.now_ += std::chrono::seconds(3);
    EXPECT_FALSE(rig.tracker_.allowedStretch("engines")) << "what a silent node said is void";
}

/** \brief What a peer must not say. */
struct LyingPeerCase
{
    const char *name_;
    PaceSums sums_;
};

class PaceTrackerFromLyingPeer : public testing::TestWithParam<LyingPeerCase>
{
};

// Guards against a report that stops all new programs, or none.
TEST_P(PaceTrackerFromLyingPeer, PassesItOver)
{
    PaceRig rig;
    rig.tracker_.setPeer("peer", {ServicePace{"engines", GetParam().sums_}});
    EXPECT_FALSE(rig.tracker_.allowedStretch("engines"));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PaceTrackerFromLyingPeer,
                         testing::Values(LyingPeerCase{"Negative", {-100.0, 50.0, 200.0}},
                                         LyingPeerCase{"NotANumber", {std::nan(""), 50.0, 200.0}},
                                         LyingPeerCase{"Infinite",
                                                       {100.0, 50.0, std::numeric_limits<double>::infinity()}},
                                         LyingPeerCase{"MoreThanAllTimeLeft", {100.0, 150.0, 200.0}},
                                         LyingPeerCase{"FasterThanIdle", {100.0, 50.0, 20.0}}),
                         [](const testing::TestParamInfo<LyingPeerCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
