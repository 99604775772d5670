#include "quotafleet.h"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>

namespace filbertgw::test {
namespace {

constexpr Duration window = std::chrono::seconds(5);

QuotaLoad load(double rate, double burst, double programsPerSecond, int requestsPerProgram, int maxTries)
{
    return QuotaLoad{"a", QuotaLimit{rate, burst}, programsPerSecond, requestsPerProgram, maxTries};
}

std::size_t boundOf(const QuotaLimit &limit)
{
    return static_cast<std::size_t>(std::floor(QuotaSettings().bound(limit)));
}

/** \brief A failure at an account that asks for five times its limit. */
struct QuotaFault
{
    const char *name_;
    std::function<void(QuotaFleet &)> act_; ///< Runs the fleet for some seconds.
    double minServed_; ///< Least share of rate x time that runs while the failure lasts and for 5 s afterwards.
};

struct FaultCase
{
    QuotaFault fault_;
    Duration lead_; ///< Time from the beginning of the load to the failure: a short one finds the bucket almost full.
    std::size_t nodes_;
    QuotaLimit limit_;
};

void halve(QuotaFleet &fleet, int group)
{
    for (std::size_t i = 0; i < fleet.size(); i += 2) {
        fleet.setGroup(fleet.nodeOfRank("a", i), group);
    }
}

std::vector<QuotaFault> faults()
{
    const auto at = [](QuotaFleet &fleet, std::size_t rank) { return fleet.nodeOfRank("a", rank); };
    return {
        {"None", [](QuotaFleet &fleet) { fleet.run(std::chrono::seconds(8)); }, 0.95},
        {"CoordinatorKilled",
         [at](QuotaFleet &fleet) {
             fleet.kill(at(fleet, 0));
             fleet.run(std::chrono::seconds(8));
         },
         0.95},
        {"CoordinatorGoneSilently",
         [at](QuotaFleet &fleet) {
             fleet.kill(at(fleet, 0), true);
             fleet.run(std::chrono::seconds(8));
         },
         0.6},
        {"TwoCoordinatorsKilled",
         [at](QuotaFleet &fleet) {
             fleet.kill(at(fleet, 0));
             fleet.run(std::chrono::seconds(1));
             fleet.kill(at(fleet, 1));
             fleet.run(std::chrono::seconds(8));
         },
         0.9},
        {"KilledAndRestarted",
         [at](QuotaFleet &fleet) {
             fleet.kill(at(fleet, 0));
             fleet.run(std::chrono::seconds(2));
             fleet.start(at(fleet, 0));
             fleet.run(std::chrono::seconds(6));
         },
         0.9},
        {"AllKilled",
         [](QuotaFleet &fleet) {
             for (std::size_t i = 0; i < fleet.size(); ++i) {
                 fleet.kill(i);
             }
             fleet.run(std::chrono::milliseconds(300));
             for (std::size_t i = 0; i < fleet.size(); ++i) {
                 fleet.start(i);
             }
             fleet.run(std::chrono::seconds(8));
         },
         0.7},
        {"CoordinatorFrozen",
         [at](QuotaFleet &fleet) {
             const std::size_t node = at(fleet, 0);
             fleet.freeze(node);
             fleet.run(std::chrono::seconds(3));
             fleet.resume(node);
             fleet.run(std::chrono::seconds(6));
         },
         0.6},
        {"OtherNodeFrozen",
         [at](QuotaFleet &fleet) {
             const std::size_t node = at(fleet, 2);
             fleet.freeze(node);
             fleet.run(std::chrono::seconds(3));
             fleet.resume(node);
             fleet.run(std::chrono::seconds(6));
         },
         0.6},
        {"CoordinatorAlone",
         [at](QuotaFleet &fleet) {
             const std::size_t node = at(fleet, 0);
             fleet.setGroup(node, 1);
             fleet.run(std::chrono::seconds(7));
             fleet.setGroup(node, 0);
             fleet.run(std::chrono::seconds(5));
         },
         0.6},
        {"OtherNodeAlone",
         [at](QuotaFleet &fleet) {
             const std::size_t node = at(fleet, 2);
             fleet.setGroup(node, 1);
             fleet.run(std::chrono::seconds(7));
             fleet.setGroup(node, 0);
             fleet.run(std::chrono::seconds(5));
         },
         0.6},
        {"HalfPartitioned",
         [](QuotaFleet &fleet) {
             halve(fleet, 1);
             fleet.run(std::chrono::seconds(8));
             halve(fleet, 0);
             fleet.run(std::chrono::seconds(6));
         },
         0.6},
        {"KilledFrozenAndAlone",
         [at](QuotaFleet &fleet) {
             fleet.kill(at(fleet, 0));
             const std::size_t frozen = at(fleet, 1);
             fleet.freeze(frozen);
             fleet.setGroup(at(fleet, 2), 1);
             fleet.run(std::chrono::seconds(3));
             fleet.resume(frozen);
             fleet.run(std::chrono::seconds(6));
         },
         0.3},
        {"NodesAdded",
         [](QuotaFleet &fleet) {
             const std::size_t added = fleet.size() * 3 / 4;
             for (std::size_t i = 0; i < added; ++i) {
                 fleet.add();
             }
             fleet.run(std::chrono::seconds(8));
         },
         0.9},
    };
}

std::vector<FaultCase> faultCases()
{
    std::vector<FaultCase> cases;
    for (const QuotaFault &fault : faults()) {
        for (const Duration lead : {Duration{100'000}, Duration{8'000'000}}) {
            cases.push_back({fault, lead, 3, QuotaLimit{20.0, 20.0}});
            cases.push_back({fault, lead, 72, QuotaLimit{180.0, 200.0}});
            cases.push_back({fault, lead, 72, QuotaLimit{1.5, 3.0}});
        }
        // All of them at 390 nodes take a minute; these are the ones with the largest sums.
        const std::string name = fault.name_;
        if (name == "TwoCoordinatorsKilled" || name == "HalfPartitioned" || name == "OtherNodeAlone") {
            cases.push_back({fault, Duration{100'000}, 390, QuotaLimit{250.0, 250.0}});
            cases.push_back({fault, Duration{100'000}, 390, QuotaLimit{0.1, 1.0}});
        }
    }
    return cases;
}

class QuotaFaults : public testing::TestWithParam<FaultCase>
{
};

} // namespace

// Guards against a sum over all nodes above the stated bound, in each failure, and against limits so safe that an
// account gets much less than its rate.
TEST_P(QuotaFaults, StayWithinTheBoundAndServeMostOfIt)
{
    const QuotaLimit limit = GetParam().limit_;
    QuotaFleet fleet(GetParam().nodes_);
    // A light load fills the bucket of the coordinator.
    fleet.addLoad(load(limit.requestsPerSecond_, limit.burst_, limit.requestsPerSecond_ * 0.2, 1, 1));
    fleet.run(std::chrono::seconds(8));
    fleet.setLoad("a", limit.requestsPerSecond_ * 5.0);
    fleet.run(GetParam().lead_);
    const Time from = fleet.queue_.now();
    GetParam().fault_.act_(fleet);
    const Time to = fleet.queue_.now();
    fleet.run(std::chrono::seconds(5));
    const QuotaOutcome &outcome = fleet.outcome("a");
    const double owed = limit.requestsPerSecond_ * toSeconds(to - from);
    const double served = static_cast<double>(outcome.runsBetween(from, to)) / owed;
    EXPECT_LE(outcome.mostWithin(window), boundOf(limit)) << "served " << served;
    if (owed >= 100.0 && GetParam().lead_ > window) {
        EXPECT_GE(served, GetParam().fault_.minServed_);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         QuotaFaults,
                         testing::ValuesIn(faultCases()),
                         [](const testing::TestParamInfo<FaultCase> &info) {
                             const int rate = static_cast<int>(info.param.limit_.requestsPerSecond_ * 10.0);
                             return std::string(info.param.fault_.name_) + "At" + std::to_string(info.param.nodes_)
                                 + "Rate" + std::to_string(rate) + (info.param.lead_ > window ? "Late" : "Early");
                         });

/** \brief A deployment and the requests per second of all its accounts together. */
struct CalmCase
{
    std::size_t nodes_;
    std::size_t accounts_;
    double requestsPerSecond_;
};

class QuotaInCalm : public testing::TestWithParam<CalmCase>
{
};

// Guards against refusals of accounts that use 60% of their limit, and against control traffic above 2 KB/s at a node.
TEST_P(QuotaInCalm, RefusesFewAndCostsFewMessages)
{
    constexpr double zipfExponent = 1.2;
    constexpr double usedShare = 0.6;
    constexpr int requestsPerProgram = 6;
    const CalmCase &param = GetParam();
    QuotaFleet fleet(param.nodes_);
    // A coordinator that has been one for longer than the bucket takes to fill begins with a full one.
    fleet.run(std::chrono::seconds(60));
    double total = 0.0;
    for (std::size_t i = 1; i <= param.accounts_; ++i) {
        total += std::pow(static_cast<double>(i), -zipfExponent);
    }
    std::vector<std::string> names;
    for (std::size_t i = 1; i <= param.accounts_; ++i) {
        const double requests = param.requestsPerSecond_ * std::pow(static_cast<double>(i), -zipfExponent) / total;
        const double rate = requests / usedShare;
        names.push_back("account" + std::to_string(i));
        const QuotaLimit limit{rate, std::max(rate, 8.0)};
        fleet.addLoad(QuotaLoad{names.back(), limit, requests / requestsPerProgram, requestsPerProgram, 1});
    }
    constexpr Duration time = std::chrono::seconds(20);
    fleet.run(std::chrono::seconds(4));
    fleet.messages_ = 0;
    fleet.messageBytes_ = 0;
    fleet.run(time);
    std::size_t runs = 0;
    int refused = 0;
    int lost = 0;
    for (const std::string &name : names) {
        runs += fleet.outcome(name).runs_.size();
        lost += fleet.outcome(name).lost_;
        refused += fleet.outcome(name).refused_;
    }
    const double nodeSeconds = static_cast<double>(param.nodes_) * toSeconds(time);
    const double bytes = static_cast<double>(fleet.messageBytes_) / nodeSeconds;
    std::cout << param.nodes_ << " nodes: " << static_cast<double>(fleet.messages_) / nodeSeconds << " messages and "
              << bytes << " bytes per node and second, " << refused << " of " << runs << " refused, " << lost
              << " of them within the limit\n";
    EXPECT_LT(lost * 1000, static_cast<int>(runs));
    EXPECT_LE(bytes, 2000.0);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         QuotaInCalm,
                         testing::Values(CalmCase{12, 78, 100.0},
                                         CalmCase{72, 78, 430.0},
                                         CalmCase{195, 400, 700.0},
                                         CalmCase{390, 1000, 1100.0}),
                         [](const testing::TestParamInfo<CalmCase> &info) {
                             return "Nodes" + std::to_string(info.param.nodes_);
                         });

// Guards against programs that are begun at a rate at which most of them are refused midway.
TEST(QuotaOfPrograms, RefusesFirstTurnsRatherThanLaterOnes)
{
    constexpr int requestsPerProgram = 8;
    const QuotaLimit limit{20.0, 20.0};
    const double programs = limit.requestsPerSecond_ / requestsPerProgram;
    QuotaFleet fleet(3);
    fleet.addLoad(load(limit.requestsPerSecond_, limit.burst_, programs * 0.6, requestsPerProgram, 3));
    fleet.run(std::chrono::seconds(20));
    fleet.setLoad("a", programs * 5.0);
    const int before = fleet.outcome("a").finished_;
    constexpr Duration time = std::chrono::seconds(20);
    fleet.run(time);
    EXPECT_GE(fleet.outcome("a").finished_ - before, 0.8 * programs * toSeconds(time));
    EXPECT_LE(fleet.outcome("a").mostWithin(window), boundOf(limit));
}

// Guards against a lowered limit that takes effect late, because buckets or leases keep what the former one granted.
TEST(QuotaOfLoweredLimit, CountsFromOneWindowAfterItTakesEffect)
{
    for (const std::size_t nodes : {std::size_t{3}, std::size_t{72}}) {
        const QuotaLimit lowered{5.0, 5.0};
        QuotaFleet fleet(nodes);
        fleet.addLoad(load(200.0, 200.0, 190.0, 1, 1));
        fleet.run(std::chrono::seconds(10));
        fleet.setLimit("a", lowered);
        const Time from = fleet.queue_.now() + window;
        fleet.run(std::chrono::seconds(15));
        EXPECT_LE(fleet.outcome("a").runsBetween(from, from + window), boundOf(lowered)) << nodes;
        EXPECT_GE(fleet.outcome("a").runsBetween(from, from + window), 24U) << nodes;
    }
}

class QuotaBelowTheLimit : public testing::TestWithParam<FaultCase>
{
};

// Guards against refusals of an account that stays 50 requests per second below its limit while nodes fail.
TEST_P(QuotaBelowTheLimit, IsServedInFull)
{
    const QuotaLimit limit = GetParam().limit_;
    QuotaFleet fleet(GetParam().nodes_);
    fleet.addLoad(load(limit.requestsPerSecond_, limit.burst_, limit.requestsPerSecond_ - 50.0, 1, 3));
    fleet.run(std::chrono::seconds(8));
    GetParam().fault_.act_(fleet);
    fleet.run(std::chrono::seconds(5));
    EXPECT_EQ(fleet.outcome("a").refused_, 0) << "of " << fleet.outcome("a").runs_.size();
}

std::vector<FaultCase> casesBelowTheLimit()
{
    std::vector<FaultCase> cases;
    for (const QuotaFault &fault : faults()) {
        cases.push_back({fault, Duration{0}, 3, QuotaLimit{100.0, 100.0}});
        cases.push_back({fault, Duration{0}, 72, QuotaLimit{150.0, 150.0}});
    }
    return cases;
}

INSTANTIATE_TEST_SUITE_P(Table,
                         QuotaBelowTheLimit,
                         testing::ValuesIn(casesBelowTheLimit()),
                         [](const testing::TestParamInfo<FaultCase> &info) {
                             return std::string(info.param.fault_.name_) + "At" + std::to_string(info.param.nodes_);
                         });

} // namespace filbertgw::test
