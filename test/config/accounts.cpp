#include "config/accountkeys.h"
#include "config/accountlimiter.h"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

#include <functional>

using namespace filbertgw;

namespace {

using std::chrono::milliseconds;

/** \brief Failure of the call, or nothing if it succeeds. */
template<typename T>
std::optional<Failure> failureOf(const std::function<Result<T>()> &call)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Failure>> {
            BOOST_LEAF_CHECK(call());
            return std::optional<Failure>();
        },
        [](const Failure &failure) { return std::optional<Failure>(failure); },
        [] { return std::optional<Failure>(Failure()); });
}

enum class Step { Call, CallEnded, Program, ProgramEnded };

struct LimitStep
{
    int atMs_;
    Step step_;
    bool isAdmitted_;
};

struct LimitCase
{
    const char *name_;
    AccountConfig account_;
    double share_;
    std::vector<LimitStep> steps_;
};

AccountConfig account(double rate, std::int64_t calls, std::int64_t programs)
{
    return AccountConfig{AccountId("a"), {}, rate, calls, programs};
}

const std::vector<LimitCase> limitCases{
    {"NoLimits",
     account(0, 0, 0),
     1,
     {{0, Step::Call, true}, {0, Step::Call, true}, {0, Step::Call, true}, {0, Step::Program, true}}},
    {"RateAndBurst",
     account(1, 0, 0),
     1,
     {{0, Step::Call, true},
      {0, Step::Call, true},
      {0, Step::Call, false},
      {999, Step::Call, false},
      {1001, Step::Call, true},
      {1001, Step::Call, false},
      {9000, Step::Call, true},
      {9000, Step::Call, true},
      {9000, Step::Call, false}}},
    {"SlowRateAdmitsOne",
     account(0.1, 0, 0),
     1,
     {{0, Step::Call, true}, {5000, Step::Call, false}, {10001, Step::Call, true}}},
    {"ClockStepsBack", account(1, 0, 0), 1, {{5000, Step::Call, true}, {0, Step::Call, true}, {0, Step::Call, false}}},
    {"Concurrency",
     account(0, 2, 0),
     1,
     {{0, Step::Call, true},
      {0, Step::Call, true},
      {0, Step::Call, false},
      {1, Step::CallEnded, true},
      {1, Step::Call, true},
      {1, Step::Call, false}}},
    {"RefusedCallTakesNoToken",
     account(1, 1, 0),
     1,
     {{0, Step::Call, true}, {0, Step::Call, false}, {0, Step::CallEnded, true}, {0, Step::Call, true}}},
    {"OpenPrograms",
     account(0, 0, 1),
     1,
     {{0, Step::Program, true},
      {0, Step::Program, false},
      {0, Step::ProgramEnded, true},
      {0, Step::ProgramEnded, true},
      {0, Step::Program, true},
      {0, Step::Program, false}}},
    {"ShareOfTheFleet",
     account(10, 20, 0),
     0.1,
     {{0, Step::Call, true}, {0, Step::Call, true}, {0, Step::Call, false}}},
};

} // namespace

class Limiter : public testing::TestWithParam<LimitCase>
{
};

// Guards against an account that exceeds its limits, or that stays refused after its usage has dropped.
TEST_P(Limiter, AppliesTheLimits)
{
    AccountLimiter limiter;
    limiter.setShare(GetParam().share_);
    const AccountConfig &config = GetParam().account_;
    for (std::size_t i = 0; i < GetParam().steps_.size(); ++i) {
        const LimitStep &step = GetParam().steps_[i];
        const Time now = milliseconds(1'000'000 + step.atMs_);
        std::optional<Failure> failure;
        switch (step.step_) {
        case Step::Call:
            failure = failureOf<void>([&] { return limiter.admitCall(config, now); });
            break;
        case Step::Program:
            failure = failureOf<void>([&] { return limiter.admitProgram(config, now); });
            break;
        case Step::CallEnded:
            limiter.callEnded(config.id_, now);
            break;
        case Step::ProgramEnded:
            limiter.programEnded(config.id_, now);
            break;
        }
        EXPECT_EQ(!failure.has_value(), step.isAdmitted_) << "step " << i;
        if (failure) {
            EXPECT_EQ(failure->type_, FailureType::RateLimited);
            EXPECT_TRUE(failure->notRun_);
            EXPECT_GT(failure->retryAfter_.count(), 0);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         Limiter,
                         testing::ValuesIn(limitCases),
                         [](const testing::TestParamInfo<LimitCase> &info) { return std::string(info.param.name_); });

// Guards against memory that grows with each account ever used, and against the eviction of a limit in use.
TEST(LimiterMemory, DropsIdleAccountsOnly)
{
    AccountLimiter limiter;
    constexpr int accounts = 21'000;
    for (int i = 0; i < accounts; ++i) {
        AccountConfig config = account(1, 5, 5);
        config.id_ = AccountId("account-" + std::to_string(i));
        ASSERT_FALSE(failureOf<void>([&] { return limiter.admitCall(config, milliseconds(1)); }).has_value());
        if (i % 100 != 0) {
            limiter.callEnded(config.id_, milliseconds(1));
        }
    }
    limiter.evictIdle(milliseconds(500), 1'000'000);
    EXPECT_EQ(limiter.size(), static_cast<std::size_t>(accounts)) << "a bucket is not full again";
    limiter.evictIdle(milliseconds(2001), 1'000'000);
    EXPECT_EQ(limiter.size(), static_cast<std::size_t>(accounts / 100));
}

struct KeyCase
{
    const char *name_;
    const char *bearer_;
    bool isAccepted_;
};

class Keys : public testing::TestWithParam<KeyCase>
{
};

// Guards against a key that is accepted for another account, or refused once its account has a second key.
TEST_P(Keys, AreCheckedAgainstTheirAccount)
{
    ConfigSection config;
    AccountConfig &first = config.accounts_[AccountId("office.north")];
    first.saltedKeyHashes_ = {saltedKeyHash("0011223344556677", "office.north.old"),
                              saltedKeyHash("8899aabbccddeeff", "office.north.new")};
    config.accounts_[AccountId("other")].saltedKeyHashes_ = {saltedKeyHash("0011223344556677", "other.secret")};
    const std::optional<Failure> failure =
        failureOf<AccountId>([&] { return authenticate(config, GetParam().bearer_); });
    EXPECT_EQ(!failure.has_value(), GetParam().isAccepted_);
    if (failure) {
        EXPECT_EQ(failure->type_, FailureType::Unauthenticated);
        EXPECT_EQ(failure->detail_, "the bearer key is not valid") << "reveals the reason";
    }
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         Keys,
                         testing::Values(KeyCase{"OldKey", "office.north.old", true},
                                         KeyCase{"NewKey", "office.north.new", true},
                                         KeyCase{"OtherAccount", "other.secret", true},
                                         KeyCase{"WrongSecret", "office.north.secret", false},
                                         KeyCase{"SecretOfOther", "other.old", false},
                                         KeyCase{"Unknown", "nobody.old", false},
                                         KeyCase{"NoSeparator", "office", false},
                                         KeyCase{"Empty", "", false}),
                         [](const testing::TestParamInfo<KeyCase> &info) { return std::string(info.param.name_); });
