#include "placement/accountadmission.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

const char *const service = "engines";
constexpr Duration updatePeriod{100'000};

/** \brief A node of which the refused share, the reports of another node and the clock are set by the test. */
class Node
{
public:
    void run(Duration time)
    {
        const Time end = now_ + time;
        while (now_ < end) {
            now_ += updatePeriod;
            if (reports_) {
                admission_.setPeerLoad("peer", *reports_);
            }
            admission_.update(service, [this](std::uint32_t) { return refused_; });
        }
    }

    double refusalProbability(const std::string &account) const
    {
        return admission_.refusalProbability(service, account, 1, [this](std::uint32_t) { return refused_; });
    }

    Time now_{0};
    double refused_ = 0.0;
    std::optional<std::vector<AccountLoad>> reports_;
    AccountAdmission admission_{[this] { return now_; }, AccountAdmissionSettings()};
};

AccountLoad loadOf(const std::string &account, std::uint32_t running)
{
    return AccountLoad{service, AccountAdmission::idOf(account), running, 1};
}

} // namespace

// Guards against a node that knows only its own requests and refuses the wrong accounts.
TEST(AccountAdmission, RequestsOfOtherNodesDecide)
{
    Node node;
    for (int i = 0; i < 20; ++i) {
        node.admission_.started(service, "local", 1);
    }
    node.reports_ = {loadOf("local", 5), loadOf("hot", 400), loadOf("small", 3)};
    node.refused_ = 0.3;
    node.run(std::chrono::seconds(3));
    EXPECT_EQ(node.refusalProbability("local"), 0.0);
    EXPECT_EQ(node.refusalProbability("small"), 0.0);
    EXPECT_GT(node.refusalProbability("hot"), 0.25);
    EXPECT_EQ(node.refusalProbability("unknown"), 0.0);
}

// Guards against accounts that are refused for what they ran before a partition or before they became quiet.
TEST(AccountAdmission, OldReportsAreIgnored)
{
    Node node;
    node.admission_.started(service, "local", 1);
    node.reports_ = {loadOf("hot", 400)};
    node.refused_ = 0.3;
    node.run(std::chrono::seconds(2));
    node.reports_.reset();
    node.run(std::chrono::seconds(20));
    EXPECT_EQ(node.admission_.accounts(service), 1U);
}

// Guards against refusals that go on after the overload.
TEST(AccountAdmission, NothingIsRefusedOnceAdmissionRefusesNothing)
{
    Node node;
    node.reports_ = {loadOf("hot", 400), loadOf("small", 3)};
    node.refused_ = 0.5;
    node.run(std::chrono::seconds(3));
    EXPECT_GT(node.refusalProbability("hot"), 0.3);
    node.refused_ = 0.0;
    EXPECT_EQ(node.refusalProbability("hot"), 0.0);
}

// Guards against a refused account that counts as small because its programs were refused, and is admitted again.
TEST(AccountAdmission, DemandOfRefusedAccountsIsNotUnderestimated)
{
    Node node;
    node.refused_ = 0.4;
    constexpr double wanted = 300.0;
    double admitted = wanted;
    for (int i = 0; i < 200; ++i) {
        // Running requests follow the admitted share with the time of a program.
        admitted += ((1.0 - node.refusalProbability("hot")) * wanted - admitted) * 0.05;
        node.reports_ = {loadOf("hot", static_cast<std::uint32_t>(admitted)), loadOf("other", 100)};
        node.run(updatePeriod);
    }
    // 400 requests are wanted, and 240 may run: 140 of the 300 remain.
    EXPECT_NEAR(1.0 - node.refusalProbability("hot"), 140.0 / wanted, 0.05);
}

// Guards against reports whose size grows with the number of accounts.
TEST(AccountAdmission, ReportsAreBounded)
{
    Node node;
    for (int i = 0; i < 1000; ++i) {
        node.admission_.started(service, "small" + std::to_string(i), 1);
    }
    node.admission_.started(service, "large", 0);
    node.admission_.started(service, "large", 0);
    const std::vector<AccountLoad> load = node.admission_.localLoad();
    EXPECT_EQ(load.size(), AccountAdmissionSettings().maxReported_ + 1);
    std::uint32_t sum = 0;
    std::uint32_t large = 0;
    for (const AccountLoad &entry : load) {
        sum += entry.running_;
        large = entry.account_ == AccountAdmission::idOf("large") ? entry.running_ : large;
    }
    EXPECT_EQ(sum, 1002U);
    EXPECT_EQ(large, 2U);
}

// Guards against memory that grows with the accounts which other nodes report.
TEST(AccountAdmission, TrackedAccountsAreBounded)
{
    Node node;
    node.reports_.emplace();
    for (int i = 0; i < 5000; ++i) {
        node.reports_->push_back(loadOf("account" + std::to_string(i), 1));
    }
    node.run(std::chrono::seconds(1));
    EXPECT_LE(node.admission_.accounts(service), AccountAdmissionSettings().maxAccounts_ + 1);
    node.reports_->clear();
    node.run(std::chrono::seconds(10));
    EXPECT_EQ(node.admission_.accounts(service), 0U);
}

} // namespace filbertgw::test
