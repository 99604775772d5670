#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr std::size_t nodeCount = 12;
constexpr std::size_t cutNodes = 4;
constexpr Duration networkDelay = std::chrono::milliseconds(1);

} // namespace

// Guards against innocent requests that all nodes refuse, because nodes that lost their links took endpoints for ended.
TEST(CrashesOfCutNodes, QuarantineNoRequest)
{
    GatewayRig rig(nodeCount, {plainRoute(RouteKind::Idempotent, 1)});
    rig.addEndpoints("services", "s", nodeCount);
    rig.isReachable_ = [](std::size_t node, const std::string &) { return node >= cutNodes; };
    for (std::size_t node = 0; node < cutNodes; ++node) {
        rig.send(node, plainRequest("r" + std::to_string(node)));
    }
    ASSERT_EQ(rig.attempts_.size(), cutNodes);
    for (std::size_t attempt = 0; attempt < cutNodes; ++attempt) {
        rig.end(attempt, AttemptEnd::Broken);
    }
    rig.run(std::chrono::seconds(2));
    rig.send(nodeCount - 1, plainRequest("later"));
    EXPECT_EQ(rig.attempts_.size(), cutNodes + 1);
}

// Guards against an endpoint that has ended and of which nobody learns, because others were lost with it.
TEST(CrashesOfCutNodes, AreReportedIfOtherEndpointsCanBeReached)
{
    GatewayRig rig(nodeCount, {plainRoute(RouteKind::Idempotent, 1)});
    rig.addEndpoints("services", "s", nodeCount);
    std::set<std::string> ended;
    rig.isReachable_ = [&ended](std::size_t, const std::string &address) { return ended.count(address) == 0; };
    for (std::size_t node = 0; node < cutNodes; ++node) {
        rig.send(node, plainRequest("r" + std::to_string(node)));
        ended.insert(rig.attempts_.back().attempt_.address_);
        rig.end(rig.attempts_.size() - 1, AttemptEnd::Broken);
        rig.run(networkDelay * 10);
    }
    rig.run(std::chrono::seconds(1));
    const std::shared_ptr<ClientResponse> client = rig.send(nodeCount - 1, plainRequest("later"));
    EXPECT_EQ(client->status_, 502);
}

} // namespace filbertgw::test
