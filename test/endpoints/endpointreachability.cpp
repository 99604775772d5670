#include "endpoints/endpointreachability.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>

namespace filbertgw::test {

namespace {

constexpr std::size_t endpointCount = 14;

/** \brief A node's view of its endpoints, whose probes the test answers at once. */
struct ReachabilityRig
{
    ReachabilityRig()
        : reachability_(hooks(), ReachabilitySettings())
    {
    }

    ReachabilityHooks hooks()
    {
        ReachabilityHooks hooks;
        hooks.now_ = [this] { return now_; };
        hooks.random_ = [this] { return ++draws_; };
        hooks.endpoints_ = [] {
            std::vector<Endpoint> endpoints(endpointCount);
            for (std::size_t i = 0; i < endpointCount; ++i) {
                endpoints[i].id_ = "e" + std::to_string(i);
            }
            return endpoints;
        };
        hooks.probe_ = [this](const Endpoint &endpoint, const std::function<void(bool)> &done) {
            ++probes_;
            done(isPathUp_ && down_.count(endpoint.id_) == 0);
        };
        hooks.onChanged_ = [](bool) {};
        return hooks;
    }

    void pass(Duration time, std::size_t silentEndpoints = 0)
    {
        constexpr Duration step = std::chrono::milliseconds(100);
        for (Duration passed{0}; passed < time; passed += step) {
            now_ += step;
            reachability_.update(silentEndpoints);
        }
    }

    void failConnections(std::size_t endpoints)
    {
        for (std::size_t i = 0; i < endpoints; ++i) {
            reachability_.connectFailed("e" + std::to_string(i));
        }
    }

    Time now_{std::chrono::seconds(100)};
    std::uint64_t draws_ = 0;
    int probes_ = 0;
    bool isPathUp_ = true;
    std::set<std::string> down_; ///< Endpoints that have ended.
    EndpointReachability reachability_;
};

} // namespace

/** \brief What a node sees, and whether it is cut off. */
struct ReachabilityCase
{
    const char *name_;
    std::function<void(ReachabilityRig &rig)> see_;
    bool isCutOff_;
    bool mayProbe_;
};

class Reachability : public testing::TestWithParam<ReachabilityCase>
{
};

// Guards against a node that takes endpoints with faults of their own for a cut, probes without a reason, or misses a
// cut.
TEST_P(Reachability, IsLostOnlyIfProbesFailToo)
{
    ReachabilityRig rig;
    GetParam().see_(rig);
    EXPECT_EQ(rig.reachability_.isCutOff(), GetParam().isCutOff_);
    EXPECT_EQ(rig.probes_ > 0, GetParam().mayProbe_);
}

namespace {

constexpr Duration shortTime = std::chrono::milliseconds(300);

void seeOneFailure(ReachabilityRig &rig)
{
    rig.isPathUp_ = false;
    rig.failConnections(1);
    rig.pass(shortTime);
}

void seeOneSilence(ReachabilityRig &rig)
{
    rig.pass(std::chrono::seconds(2), 1);
}

void seeCrashes(ReachabilityRig &rig)
{
    rig.down_ = {"e0", "e1", "e2"};
    rig.failConnections(3);
    rig.pass(shortTime);
}

void seeSilentPath(ReachabilityRig &rig)
{
    rig.isPathUp_ = false;
    rig.pass(shortTime, 2);
}

/** Requests queue up at all endpoints, which take connections as before. */
void seeLongQueues(ReachabilityRig &rig)
{
    rig.pass(shortTime, endpointCount);
}

void seeSilenceBesideAnswers(ReachabilityRig &rig)
{
    rig.isPathUp_ = false;
    for (int i = 0; i < 10; ++i) {
        rig.reachability_.answered("e5");
        rig.pass(std::chrono::milliseconds(100), 4);
    }
}

void seeRefusedPath(ReachabilityRig &rig)
{
    rig.isPathUp_ = false;
    rig.failConnections(3);
    rig.pass(shortTime);
}

/** Kept connections outlive the path. */
void seeAnswersWhileCutOff(ReachabilityRig &rig)
{
    seeRefusedPath(rig);
    for (std::size_t i = 0; i < endpointCount; ++i) {
        rig.reachability_.answered("e" + std::to_string(i));
    }
    rig.pass(std::chrono::seconds(2));
}

void seePathComeBack(ReachabilityRig &rig)
{
    seeRefusedPath(rig);
    rig.isPathUp_ = true;
    rig.pass(std::chrono::seconds(1));
}

void seeOldFailures(ReachabilityRig &rig)
{
    for (int i = 0; i < 3; ++i) {
        rig.reachability_.connectFailed("e" + std::to_string(i));
        rig.pass(std::chrono::seconds(3));
    }
}

} // namespace

INSTANTIATE_TEST_SUITE_P(Table,
                         Reachability,
                         testing::Values(ReachabilityCase{"OneFailure", seeOneFailure, false, false},
                                         ReachabilityCase{"OneSilence", seeOneSilence, false, false},
                                         ReachabilityCase{"Crashes", seeCrashes, false, true},
                                         ReachabilityCase{"SilentPath", seeSilentPath, true, true},
                                         ReachabilityCase{"LongQueues", seeLongQueues, false, true},
                                         ReachabilityCase{
                                             "SilenceBesideAnswers", seeSilenceBesideAnswers, false, false},
                                         ReachabilityCase{"RefusedPath", seeRefusedPath, true, true},
                                         ReachabilityCase{"AnswersWhileCutOff", seeAnswersWhileCutOff, true, true},
                                         ReachabilityCase{"PathComesBack", seePathComeBack, false, true},
                                         ReachabilityCase{"OldFailures", seeOldFailures, false, false}),
                         [](const testing::TestParamInfo<ReachabilityCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
