#include "fleet/fleet.h"

#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace filbertgw::test {

namespace {

constexpr Duration datagramDelay{1'000};
/** Duration of a short turn at an engine. */
constexpr Duration turnTime{300'000};

/** \brief Nodes that exchange datagrams, of which a part is lost. */
struct FleetRig
{
    explicit FleetRig(std::size_t nodes, std::size_t withoutDomain = 0)
        : store_(queue_)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            add(i, i < withoutDomain ? "" : "domain" + std::to_string(i % 5));
        }
        for (std::pair<const std::string, Node> &node : nodes_) {
            queue_.after(Duration(random_() % 100'000), [&node] { node.second.fleet_->start(); });
        }
        queue_.runUntil(std::chrono::seconds(5));
    }

    struct Node
    {
        std::unique_ptr<Fleet> fleet_;
        std::uint32_t running_ = 0;
        std::map<std::string, std::uint32_t> reportedLoad_; ///< Requests at the endpoint, by source of the report.
        std::optional<std::vector<AccountLoad>> accounts_;
        std::map<std::string, std::vector<AccountLoad>> reportedAccounts_; ///< By source of the report.
        std::set<std::string> parts_;
        std::vector<CachedPart> partsToReport_;
        bool isIsolated_ = false;

        std::uint32_t knownRequests() const
        {
            std::uint32_t sum = running_;
            for (const std::pair<const std::string, std::uint32_t> &source : reportedLoad_) {
                sum += source.second;
            }
            return sum;
        }

        std::uint32_t knownRequestsOf(std::uint32_t account) const
        {
            std::uint32_t sum = 0;
            for (const auto &source : reportedAccounts_) {
                for (const AccountLoad &entry : source.second) {
                    sum += entry.account_ == account ? entry.running_ : 0;
                }
            }
            return sum;
        }
    };

    void add(std::size_t number, const std::string &domain)
    {
        const std::string name = "node" + std::to_string(number);
        Node &node = nodes_[name];
        FleetHooks hooks;
        hooks.now_ = [this] { return queue_.now(); };
        hooks.after_ = [this](Duration delay, std::function<void()> task) {
            queue_.after(delay, std::move(task));
            return std::uint64_t{0};
        };
        hooks.store_ = store_.access(name);
        hooks.sendDatagram_ = [this, &node](const std::string &address, const std::string &datagram) {
            ++sent_;
            const bool isLost = std::uniform_real_distribution<double>(0.0, 1.0)(random_) < lossRate_;
            if (isLost || node.isIsolated_) {
                return;
            }
            queue_.after(datagramDelay, [this, address, datagram] {
                const auto receiver = nodes_.find(address);
                if (receiver != nodes_.end() && !receiver->second.isIsolated_) {
                    receiver->second.fleet_->onDatagram(datagram);
                }
            });
        };
        hooks.report_ = [&node] {
            NodeReport report;
            report.ledger_ = LedgerState{true, true};
            report.load_ = {{"engine", node.running_}};
            report.cachedParts_.swap(node.partsToReport_);
            report.accounts_ = node.accounts_;
            return report;
        };
        hooks.ledgerComplete_ = [] { return true; };
        hooks.onReport_ = [&node](const std::string &source, const NodeReport &report) {
            if (report.accounts_) {
                node.reportedAccounts_[source] = *report.accounts_;
            }
            node.reportedLoad_[source] = report.load_.empty() ? 0 : report.load_.front().second;
            for (const CachedPart &part : report.cachedParts_) {
                node.parts_.insert(part.part_);
            }
        };
        hooks.onLivenessChanged_ = [](const std::string &, bool) {};
        FleetSettings settings;
        settings.self_ = FleetMember{name, name, name, domain};
        node.fleet_ = std::make_unique<Fleet>(std::move(hooks), std::move(settings));
    }

    /** \brief Ends a node and starts it again at once, with nothing of what it knew. */
    void restart(std::size_t number)
    {
        const std::string domain = "domain" + std::to_string(number % 5);
        nodes_["node" + std::to_string(number)].fleet_.reset();
        add(number, domain);
        nodes_["node" + std::to_string(number)].fleet_->start();
    }

    void runFor(Duration time)
    {
        queue_.runUntil(queue_.now() + time);
    }

    bench::EventQueue queue_;
    bench::FakeStore store_;
    std::mt19937_64 random_{11};
    double lossRate_ = 0.0;
    std::size_t sent_ = 0;
    std::map<std::string, Node> nodes_;
};

} // namespace

/** \brief Size of a fleet, with nodes of a version that has no groups. */
struct FleetSize
{
    const char *name_;
    std::size_t nodes_;
    std::size_t withoutDomain_;
    Duration knownWithin_; ///< Time within which a report must reach all nodes.
};

class LoadReports : public testing::TestWithParam<FleetSize>
{
protected:
    LoadReports()
        : rig_(GetParam().nodes_, GetParam().withoutDomain_)
    {
    }

    FleetRig rig_;
};

// Guards against placement by load data older than a turn, which puts turns of 0.3 s onto the same engines.
TEST_P(LoadReports, RequestsAreKnownEverywhereWithinTheTimeOfATurn)
{
    for (std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        node.second.running_ = 1;
    }
    rig_.runFor(GetParam().knownWithin_);
    for (const std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        EXPECT_EQ(node.second.knownRequests(), GetParam().nodes_) << node.first;
    }
}

// Guards against prompt parts that are not reported to every node.
TEST_P(LoadReports, PromptPartIsKnownEverywhereWithinTheTimeOfATurn)
{
    rig_.nodes_.begin()->second.partsToReport_ = {CachedPart{"engine", "part", 12'000}};
    rig_.runFor(GetParam().knownWithin_);
    for (const std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        EXPECT_TRUE(node.first == rig_.nodes_.begin()->first || node.second.parts_.count("part") == 1) << node.first;
    }
}

// Guards against nodes that are wrongly taken for dead or alive because their reports are relayed by others.
TEST_P(LoadReports, OnlyIsolatedNodesAreTakenForDead)
{
    rig_.lossRate_ = 0.02;
    EXPECT_EQ(rig_.nodes_.rbegin()->second.fleet_->alive(), GetParam().nodes_ - 1);
    std::size_t cut = 0;
    for (std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        node.second.isIsolated_ = ++cut % 4 == 1;
    }
    rig_.runFor(std::chrono::seconds(3));
    for (const std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        const std::size_t expected = GetParam().nodes_ - (GetParam().nodes_ + 3) / 4 - 1;
        if (!node.second.isIsolated_) {
            EXPECT_EQ(node.second.fleet_->alive(), expected) << node.first;
        }
    }
}

// Guards against nodes that get no summary of a group after the node that sent it to them has failed, or returned.
TEST_P(LoadReports, RequestsAreKnownWhileNodesAreCutOffAndAfterTheirReturn)
{
    std::size_t number = 0;
    for (std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        node.second.isIsolated_ = ++number % 3 == 0;
    }
    rig_.runFor(std::chrono::seconds(4));
    for (std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        node.second.reportedLoad_.clear();
        node.second.running_ = node.second.isIsolated_ ? 0 : 1;
    }
    rig_.runFor(GetParam().knownWithin_);
    for (std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        EXPECT_TRUE(node.second.isIsolated_ || node.second.knownRequests() == GetParam().nodes_ - GetParam().nodes_ / 3)
            << node.first << ' ' << node.second.knownRequests();
        node.second.isIsolated_ = false;
    }
    rig_.runFor(std::chrono::seconds(2));
    EXPECT_EQ(rig_.nodes_.begin()->second.fleet_->alive(), GetParam().nodes_ - 1);
}

// Guards against nodes that know an account's requests at a part of the fleet only, and refuse the wrong accounts, and
// against summaries whose size grows with the number of accounts.
TEST_P(LoadReports, RequestsOfAccountsAreSummedOverTheFleet)
{
    constexpr std::uint32_t large = 1;
    constexpr std::size_t maxEntries = 40;
    std::uint32_t next = large;
    for (std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        node.second.accounts_ = {{"engines", large, 3, 1}};
        for (int i = 0; i < 10; ++i) {
            node.second.accounts_->push_back(AccountLoad{"engines", ++next, 1, 1});
        }
    }
    rig_.runFor(std::chrono::seconds(4));
    const auto others = static_cast<std::uint32_t>(GetParam().nodes_ - 1);
    for (const std::pair<const std::string, FleetRig::Node> &node : rig_.nodes_) {
        EXPECT_EQ(node.second.knownRequestsOf(large), 3 * others) << node.first;
        std::uint32_t all = 0;
        for (const auto &source : node.second.reportedAccounts_) {
            EXPECT_LE(source.second.size(), maxEntries);
            for (const AccountLoad &entry : source.second) {
                all += entry.running_;
            }
        }
        EXPECT_EQ(all, 13 * others) << node.first;
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LoadReports,
                         testing::Values(FleetSize{"Nodes12", 12, 0, turnTime},
                                         FleetSize{"Nodes88", 88, 0, turnTime},
                                         FleetSize{"Nodes195", 195, 0, turnTime},
                                         FleetSize{
                                             "Nodes100WithSomeOfTheVersionBefore", 100, 20, std::chrono::seconds(1)}),
                         [](const testing::TestParamInfo<FleetSize> &info) { return info.param.name_; });

// Guards against a message rate well above that of direct reports, round robin, without groups.
TEST(LoadReports, MessagesOfALargeFleetAreFew)
{
    FleetRig rig(195);
    const std::size_t before = rig.sent_;
    rig.runFor(std::chrono::seconds(1));
    EXPECT_LE(rig.sent_ - before, std::size_t{195 * 10 * 36});
}

/** \brief Nodes that are restarted at once in a fleet, beside names of former nodes in the record store. */
struct QuickRestart
{
    const char *name_;
    std::size_t nodes_;
    std::size_t restarted_;
    std::size_t formerNodes_;
};

class RestartedNodes : public testing::TestWithParam<QuickRestart>
{
protected:
    static void putFormerNodes(FleetRig &rig)
    {
        for (std::size_t i = 0; i < GetParam().formerNodes_; ++i) {
            const std::string name = "former" + std::to_string(i);
            const std::string domain = "domain" + std::to_string(i % 5);
            const std::string record =
                R"({"datagrams":")" + name + R"(","links":")" + name + R"(","domain":")" + domain + "\"}";
            rig.store_.put(PartitionId{"nodes", 0}, name, record);
        }
        rig.runFor(std::chrono::seconds(30)); // They have been forgotten by then.
    }
};

// Guards against nodes that do not learn of a restart, because the node is back before it would count as dead.
TEST_P(RestartedNodes, CountAsLostAtAllOthers)
{
    FleetRig rig(GetParam().nodes_);
    putFormerNodes(rig);
    const Time before = rig.queue_.now();
    for (std::size_t i = 0; i < GetParam().restarted_; ++i) {
        rig.restart(i);
    }
    rig.runFor(std::chrono::milliseconds(1'500));
    for (std::size_t i = GetParam().restarted_; i < GetParam().nodes_; ++i) {
        const Fleet &fleet = *rig.nodes_["node" + std::to_string(i)].fleet_;
        EXPECT_EQ(fleet.lostSince(before), GetParam().restarted_) << "node" << i;
    }
}

// Guards against a restarted node that part of the others do not hear, because it counts names of former nodes.
TEST_P(RestartedNodes, AreAliveAtAllOthers)
{
    FleetRig rig(GetParam().nodes_);
    putFormerNodes(rig);
    for (std::size_t i = 0; i < GetParam().restarted_; ++i) {
        rig.restart(i);
    }
    rig.runFor(std::chrono::milliseconds(500));
    for (std::size_t round = 0; round < 30; ++round) {
        rig.runFor(std::chrono::milliseconds(500));
        std::size_t deaf = 0;
        for (std::size_t i = GetParam().restarted_; i < GetParam().nodes_; ++i) {
            const Fleet &fleet = *rig.nodes_["node" + std::to_string(i)].fleet_;
            for (std::size_t restarted = 0; restarted < GetParam().restarted_; ++restarted) {
                deaf += fleet.findAlive("node" + std::to_string(restarted)) ? 0 : 1;
            }
        }
        EXPECT_EQ(deaf, 0U) << "pairs of nodes in round " << round;
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RestartedNodes,
                         testing::Values(QuickRestart{"OneOfTen", 10, 1, 0},
                                         QuickRestart{"OneOfTenAfterFormerNodes", 10, 1, 17},
                                         QuickRestart{"OneOfTenAfterManyFormerNodes", 10, 1, 300},
                                         QuickRestart{"ThreeOfThirty", 30, 3, 0},
                                         QuickRestart{"ThreeOfThirtyAfterFormerNodes", 30, 3, 100},
                                         QuickRestart{"ThreeOfEightyEight", 88, 3, 0}),
                         [](const testing::TestParamInfo<QuickRestart> &info) { return info.param.name_; });

} // namespace filbertgw::test
