#include "cutworld.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration cutTime = seconds(12);
/** First tries that may fail at nodes that are cut off, besides one in fifty of all. */
constexpr int maxFailures = 10;
constexpr int triesPerAllowedFailure = 50;

std::vector<std::size_t> nodesUpTo(std::size_t count)
{
    std::vector<std::size_t> nodes;
    for (std::size_t node = 0; node < count; ++node) {
        nodes.push_back(node);
    }
    return nodes;
}

/** The rig puts each third node into one failure domain. */
std::vector<std::size_t> domainOf(std::size_t first, std::size_t nodes)
{
    std::vector<std::size_t> domain;
    for (std::size_t node = first; node < nodes; node += 3) {
        domain.push_back(node);
    }
    return domain;
}

} // namespace

/** \brief Nodes that are cut off from all endpoints, and what happens beside it. */
struct CutCase
{
    const char *name_;
    std::size_t nodes_;
    RouteKind kind_;
    std::function<void(CutWorld &world)> run_;
};

class NodesCutFromEndpoints : public testing::TestWithParam<CutCase>
{
protected:
    static CutWorldSettings settings()
    {
        CutWorldSettings settings;
        settings.nodes_ = GetParam().nodes_;
        settings.kind_ = GetParam().kind_;
        settings.engines_ = std::max<std::size_t>(settings.engines_, GetParam().nodes_);
        settings.requestsPerSecond_ = 10.0 * static_cast<double>(GetParam().nodes_);
        return settings;
    }
};

// Guards against clients that get nothing at nodes which lost their links to endpoints, while other nodes have theirs.
TEST_P(NodesCutFromEndpoints, ServeTheirClientsThroughOtherNodes)
{
    CutWorld world(settings());
    GetParam().run_(world);
    world.run(seconds(4));
    const FirstTries &cut = world.atCutNodes();
    const FirstTries &others = world.atOtherNodes();
    std::cout << "at cut nodes " << cut.served_ << " of " << cut.sent_ << ", at others " << others.served_ << " of "
              << others.sent_ << ", false refusals " << world.falseRefusals() << ", quarantined " << world.quarantined()
              << "\n";
    ASSERT_GT(cut.sent_, 2 * maxFailures);
    const bool isServedWorse = cut.share() < others.share() * 2 / 3;
    const bool failsTooOften = cut.failed() > maxFailures + (cut.sent_ + others.sent_) / triesPerAllowedFailure;
    EXPECT_FALSE(isServedWorse && failsTooOften);
    EXPECT_EQ(world.falseRefusals(), 0);
    EXPECT_EQ(world.quarantined(), 0);
    EXPECT_EQ(world.repeated(), 0);
}

namespace {

std::function<void(CutWorld &)> cutMost(CutForm form)
{
    return [form](CutWorld &world) { world.cut(nodesUpTo(world.rig_.nodes_.size() * 6 / 10), form, cutTime); };
}

std::function<void(CutWorld &)> cutDomain(CutForm form)
{
    return [form](CutWorld &world) { world.cut(domainOf(1, world.rig_.nodes_.size()), form, cutTime); };
}

/** Cuts of the three forms, one right after the other, of other nodes each time. */
void cutInSeries(CutWorld &world)
{
    world.cut(domainOf(0, world.rig_.nodes_.size()), CutForm::Silent, seconds(6));
    world.cut(domainOf(1, world.rig_.nodes_.size()), CutForm::Refused, seconds(6));
    world.cut(domainOf(2, world.rig_.nodes_.size()), CutForm::KeptLiveOn, seconds(6));
}

void cutWithoutStore(CutWorld &world)
{
    world.rig_.queue_.after(seconds(4), [&world] { world.rig_.store_.down_ = true; });
    world.cut(domainOf(1, world.rig_.nodes_.size()), CutForm::Silent, cutTime);
    world.rig_.store_.down_ = false;
}

void cutWhileNodesRestart(CutWorld &world)
{
    world.rig_.queue_.after(seconds(5), [&world] { world.rig_.kill(0); });
    world.rig_.queue_.after(seconds(6), [&world] { world.rig_.restart(0); });
    world.rig_.queue_.after(seconds(7), [&world] { world.rig_.kill(3); });
    world.rig_.queue_.after(seconds(8), [&world] { world.rig_.restart(3); });
    world.cut(domainOf(1, world.rig_.nodes_.size()), CutForm::Refused, cutTime);
}

void cutWhileEndpointsAreReplaced(CutWorld &world)
{
    for (std::size_t endpoint = 0; endpoint < 10; ++endpoint) {
        world.rig_.queue_.after(seconds(1) * static_cast<std::int64_t>(endpoint),
                                [&world, endpoint] { world.replaceEndpoint(endpoint); });
    }
    cutMost(CutForm::Silent)(world);
}

void loseDatagrams(CutWorld &world)
{
    world.rig_.lostDatagrams_ = 0.3;
    cutMost(CutForm::Refused)(world);
}

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Table,
    NodesCutFromEndpoints,
    testing::Values(CutCase{"MostSilent", 12, RouteKind::Streaming, cutMost(CutForm::Silent)},
                    CutCase{"MostRefused", 12, RouteKind::Streaming, cutMost(CutForm::Refused)},
                    CutCase{"MostKeptLiveOn", 12, RouteKind::Streaming, cutMost(CutForm::KeptLiveOn)},
                    CutCase{"DomainSilent", 12, RouteKind::Streaming, cutDomain(CutForm::Silent)},
                    CutCase{"DomainRefused", 12, RouteKind::Streaming, cutDomain(CutForm::Refused)},
                    CutCase{"PlainSilent", 12, RouteKind::NonIdempotent, cutDomain(CutForm::Silent)},
                    CutCase{"PlainRefused", 12, RouteKind::NonIdempotent, cutMost(CutForm::Refused)},
                    CutCase{"IdempotentSilent", 12, RouteKind::Idempotent, cutMost(CutForm::Silent)},
                    CutCase{"InSeries", 12, RouteKind::Streaming, cutInSeries},
                    CutCase{"StoreDown", 12, RouteKind::NonIdempotent, cutWithoutStore},
                    CutCase{"NodesRestart", 12, RouteKind::Streaming, cutWhileNodesRestart},
                    CutCase{"EndpointsReplaced", 12, RouteKind::Streaming, cutWhileEndpointsAreReplaced},
                    CutCase{"DatagramsLost", 12, RouteKind::Streaming, loseDatagrams},
                    CutCase{"LargeFleetMost", 88, RouteKind::Streaming, cutMost(CutForm::Refused)},
                    CutCase{"LargeFleetDomain", 88, RouteKind::Streaming, cutDomain(CutForm::Silent)}),
    [](const testing::TestParamInfo<CutCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
