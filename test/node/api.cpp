#include "config/configsection.h"
#include "core/digest.h"
#include "node/authenticator.h"
#include "node/errortable.h"

#include <gtest/gtest.h>

using namespace filbertgw;

// Guards against an error type without an HTTP status, and against a `promise` that doesn't match the failure.
TEST(ErrorTable, EveryTypeHasAnErrorStatusAndMessage)
{
    for (const std::pair<FailureType, std::string_view> &entry : NameTable<FailureType>::entries) {
        EXPECT_GE(httpStatusOf(entry.first), 400) << entry.second;
        const nlohmann::json run = errorObject(makeFailure(entry.first, false))["error"];
        EXPECT_EQ(run["type"], std::string(entry.second));
        EXPECT_FALSE(run["message"].get<std::string>().empty());
        EXPECT_NE(run["promise"], "not_run");
        EXPECT_EQ(errorObject(makeFailure(entry.first, true))["error"]["promise"], "not_run");
    }
}

// Guards against a Retry-After that is rounded down, so that callers retry too early.
TEST(ErrorTable, RetryAfterRoundsUp)
{
    const Failure failure = makeFailure(FailureType::Overloaded, true, "x", Duration(1'000'001));
    EXPECT_EQ(retryAfterSeconds(failure), 2);
    EXPECT_EQ(errorObject(failure)["error"]["retry_after_ms"], 1001);
    EXPECT_EQ(failureToJson(failureFromJson(failureToJson(failure))), failureToJson(failure));
}

namespace {

struct KeyCase
{
    const char *name_;
    std::string header_;
    std::string account_; ///< Empty if refused.
    bool operator_;
};

class AuthenticatorTest : public testing::TestWithParam<KeyCase>
{
};

AccountConfig accountWith(const std::string &id, const std::string &salt, const std::string &key)
{
    AccountConfig account;
    account.id_ = AccountId(id);
    account.saltedKeyHashes_ = {salt + "$" + sha256(salt + key)};
    return account;
}

} // namespace

// Guards against a key that is accepted for another account, and against an account key that is accepted as an
// operator key.
TEST_P(AuthenticatorTest, FindsAccount)
{
    Blackboard blackboard;
    ConfigSection &config = blackboard.write<ConfigSection>();
    config.accounts_[AccountId("a")] = accountWith("a", "0000000000000000", "a.first-key");
    config.accounts_[AccountId("b")] = accountWith("b", "1111111111111111", "b.other-key");
    const Authenticator authenticator(blackboard, {"operator-key-000"});
    HttpRequest request;
    request.headers_["authorization"] = GetParam().header_;
    EXPECT_EQ(authenticator.accountOf(request).value_or(AccountId()).value(), GetParam().account_);
    EXPECT_EQ(authenticator.isOperator(request), GetParam().operator_);
    config.accounts_.clear();
    EXPECT_FALSE(authenticator.accountOf(request).has_value()) << "a withdrawn key stays valid";
}

INSTANTIATE_TEST_SUITE_P(Rows,
                         AuthenticatorTest,
                         testing::Values(KeyCase{"Named", "Bearer a.first-key", "a", false},
                                         KeyCase{"Other", "Bearer b.other-key", "b", false},
                                         KeyCase{"WrongRest", "Bearer a.other", "", false},
                                         KeyCase{"NameOfOther", "Bearer b.first-key", "", false},
                                         KeyCase{"Operator", "Bearer operator-key-000", "", true},
                                         KeyCase{"NoScheme", "b.other-key", "", false},
                                         KeyCase{"Empty", "Bearer ", "", false}),
                         [](const testing::TestParamInfo<KeyCase> &info) { return info.param.name_; });
