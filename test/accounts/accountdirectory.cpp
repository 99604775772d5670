#include "accounts/accountdirectory.h"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

#include <limits>

namespace filbertgw {
namespace {

ClientAccount account(const std::string &name, std::vector<std::string> keys, double rate = 1.0, double burst = 1.0)
{
    return ClientAccount{name, std::move(keys), std::nullopt, rate, burst};
}

/** \brief The faults that build() names; empty if it accepts the accounts. */
std::string faultsOf(const std::vector<ClientAccount> &accounts)
{
    return boost::leaf::try_handle_all(
        [&accounts]() -> Result<std::string> {
            BOOST_LEAF_CHECK(AccountDirectory::build(accounts));
            return std::string();
        },
        [](const Failure &failure) { return failure.detail_; },
        [] { return std::string("another failure"); });
}

// Guards against requests that are counted for, or run as, another account.
TEST(AccountDirectory, FindsTheAccountOfEachKey)
{
    const Result<AccountDirectory> built = AccountDirectory::build({account("a", {"k1", "k2"}), account("b", {"k3"})});
    ASSERT_TRUE(built);
    ASSERT_NE(built->findByKey("k2"), nullptr);
    EXPECT_EQ(built->findByKey("k2")->name_, "a");
    EXPECT_EQ(built->findByKey("k3")->name_, "b");
    EXPECT_EQ(built->findByKey("k4"), nullptr);
    EXPECT_EQ(built->findByKey(""), nullptr);
    EXPECT_TRUE(built->findByName("a")->keys_.empty());
}

struct FaultyAccounts
{
    const char *name_;
    std::vector<ClientAccount> accounts_;
    const char *fault_;
};

class FaultyConfiguration : public testing::TestWithParam<FaultyAccounts>
{
};

// Guards against a configuration that would give one key to two accounts or an account no usable limit.
TEST_P(FaultyConfiguration, IsRejectedWithItsFault)
{
    EXPECT_NE(faultsOf(GetParam().accounts_).find(GetParam().fault_), std::string::npos)
        << faultsOf(GetParam().accounts_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    FaultyConfiguration,
    testing::Values(FaultyAccounts{"SharedKey", {account("a", {"k"}), account("b", {"k"})}, "a key of another account"},
                    FaultyAccounts{"EmptyKey", {account("a", {""})}, "a key that is empty"},
                    FaultyAccounts{"LongKey", {account("a", {std::string(513, 'k')})}, "a key that is empty, too long"},
                    FaultyAccounts{"OddKey", {account("a", {"k\n1"})}, "not printable"},
                    FaultyAccounts{"AccountTwice", {account("a", {"k1"}), account("a", {"k2"})}, "is listed twice"},
                    FaultyAccounts{"EmptyName", {account("", {"k"})}, "has a name"},
                    FaultyAccounts{"NegativeRate", {account("a", {"k"}, -1.0)}, "has a rate"},
                    FaultyAccounts{"EndlessBurst",
                                   {account("a", {"k"}, 1.0, std::numeric_limits<double>::infinity())},
                                   "has a rate"}),
    [](const testing::TestParamInfo<FaultyAccounts> &info) { return info.param.name_; });

} // namespace
} // namespace filbertgw
