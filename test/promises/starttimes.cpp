#include "promises/starttimes.h"

#include <gtest/gtest.h>

using namespace filbertgw::bench;

namespace {

/** \brief What happens to one call, at times in milliseconds. */
struct Step
{
    char what_; ///< s: the caller sends it; r: an endpoint refuses it; b: an endpoint begins it.
    int at_;
    bool duringStop_ = false;
};

struct StartCase
{
    const char *name_;
    std::vector<Step> steps_;
    std::vector<double> seconds_;
    std::vector<bool> duringStop_;
};

class StartTimesTest : public testing::TestWithParam<StartCase>
{
};

} // namespace

// Guards against a planned stop that is blamed for the pause after an endpoint's refusal, and against a wait for the
// successor that is not counted, whether it comes before or after such a refusal.
TEST_P(StartTimesTest, CountTheWaitForTheOwnerOnly)
{
    StartTimes times;
    for (const Step &step : GetParam().steps_) {
        const Micros at = step.at_ * Micros{1000};
        if (step.what_ == 's') {
            times.onSent("call", at, step.duringStop_);
        } else if (step.what_ == 'r') {
            times.onRefused("call", at);
        } else {
            times.onStarted("call", at);
        }
    }
    ASSERT_EQ(times.starts().size(), GetParam().seconds_.size());
    for (std::size_t i = 0; i < times.starts().size(); ++i) {
        EXPECT_DOUBLE_EQ(times.starts()[i].seconds_, GetParam().seconds_[i]);
        EXPECT_EQ(times.starts()[i].duringStop_, GetParam().duringStop_[i]);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Rows,
    StartTimesTest,
    testing::Values(
        StartCase{"Plain", {{'s', 0, true}, {'b', 4}}, {0.004}, {true}},
        StartCase{"RetriesAreOneWait", {{'s', 0, true}, {'s', 700, false}, {'b', 1500}}, {1.5}, {true}},
        StartCase{"RefusedInBetween",
                  {{'s', 0, true}, {'r', 4}, {'s', 1040, true}, {'b', 1044}},
                  {0.004, 0.004},
                  {true, true}},
        StartCase{"SlowAfterARefusal",
                  {{'s', 0, false}, {'r', 4}, {'s', 1000, true}, {'s', 1500, true}, {'b', 1900}},
                  {0.004, 0.9},
                  {false, true}},
        StartCase{"SecondRunIsNoStart", {{'s', 0, true}, {'b', 4}, {'s', 900, true}, {'b', 1000}}, {0.004}, {true}}),
    [](const testing::TestParamInfo<StartCase> &info) { return info.param.name_; });
