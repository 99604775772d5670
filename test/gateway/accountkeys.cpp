#include "gatewayrig.h"

#include <gtest/gtest.h>

#include <algorithm>

// Which requests a key lets through, and how nodes learn of changed keys.
namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t nodeCount = 3;
/** Time after which a removed key is refused also at a node that the store rejects. */
constexpr Duration revokeTime = seconds(5);

ClientAccount account(const std::string &name, std::vector<std::string> keys)
{
    ClientAccount account;
    account.name_ = name;
    account.keys_ = std::move(keys);
    return account;
}

Route openRoute()
{
    Route route = plainRoute(RouteKind::Idempotent, 1);
    route.name_ = "open";
    route.pathPrefix_ = "/open/";
    route.isOpen_ = true;
    return route;
}

GatewayRequest request(const std::string &path, const std::string &key)
{
    GatewayRequest request = plainRequest("r");
    request.target_ = path;
    request.apiKey_ = key;
    request.claimedAccount_ = "b";
    return request;
}

class AccountKeys : public testing::Test
{
protected:
    AccountKeys()
        : rig_(nodeCount, {plainRoute(RouteKind::Idempotent, 1), openRoute()})
    {
        rig_.keepsLog_ = true;
        rig_.addEndpoints("services", "s", 2);
    }

    /** \brief Account as sent to the endpoint; "STATUS" of the response if the request reaches none. */
    std::string resultOf(std::size_t node, const GatewayRequest &request)
    {
        const std::size_t before = rig_.attempts_.size();
        const std::shared_ptr<ClientResponse> response = rig_.send(node, request);
        rig_.run(milliseconds(300));
        if (rig_.attempts_.size() == before) {
            return std::to_string(response->status_);
        }
        const std::shared_ptr<const GatewayRequest> sent = rig_.attempts_[before].attempt_.request_;
        EXPECT_TRUE(sent->hasAccounts_);
        EXPECT_EQ(sent->apiKey_, "") << "the key is sent on";
        rig_.answer(before, 200, "done");
        return "sent as '" + sent->account_ + "'";
    }

    std::string resultOf(std::size_t node, const std::string &key)
    {
        return resultOf(node, request("/plain/x", key));
    }

    GatewayRig rig_;
};

} // namespace

// Guards against a request without a valid key that reaches an endpoint, and a valid key that is refused or counts for
// another account.
TEST_F(AccountKeys, DecideWhichAccountARequestBelongsTo)
{
    rig_.setAccounts({account("a", {"key-a", "key-a2"}), account("b", {"key-b"})});
    EXPECT_EQ(resultOf(0, "key-a"), "sent as 'a'");
    EXPECT_EQ(resultOf(1, "key-a2"), "sent as 'a'");
    EXPECT_EQ(resultOf(0, "key-b"), "sent as 'b'");
    for (const char *key : {"", "key-c", "key-", "key-a, key-a", "key-a, key-b", " ", "b"}) {
        EXPECT_EQ(resultOf(0, key), "401") << '"' << key << '"';
    }
    EXPECT_EQ(rig_.counts_["account_requests_total/account=\"a\",result=\"served\""], 2U);
    EXPECT_EQ(rig_.counts_["account_requests_total/account=\"none\",result=\"refused\""], 7U);
    EXPECT_EQ(rig_.counts_["unauthenticated_total/missing"], 1U);
    EXPECT_EQ(rig_.counts_["unauthenticated_total/unknown"], 3U);
    EXPECT_EQ(rig_.counts_["unauthenticated_total/malformed"], 3U);
}

// Guards against an open route that needs a key, or passes on an account that the client has made up.
TEST_F(AccountKeys, AreNotNeededOnOpenRoutes)
{
    rig_.setAccounts({account("a", {"key-a"}), account("b", {"key-b"})});
    EXPECT_EQ(resultOf(0, request("/open/x", "")), "sent as ''");
    EXPECT_EQ(resultOf(0, request("/open/x", "key-c")), "sent as ''");
    EXPECT_EQ(resultOf(0, request("/open/x", "key-a")), "sent as 'a'");
}

// Guards against a client that is told that its key is wrong by a node that doesn't know the keys yet.
TEST_F(AccountKeys, AreNotJudgedWithoutAConfiguration)
{
    rig_.configurationCuts_ = {0};
    rig_.restart(0);
    EXPECT_EQ(resultOf(0, "key-a"), "503");
}

// Guards against keys of an earlier version that are still accepted, and against a return to an older version.
TEST_F(AccountKeys, FollowEachVersion)
{
    rig_.setAccounts({account("a", {"key-1", "key-2"}), account("b", {"key-3"})});
    EXPECT_EQ(resultOf(0, "key-1"), "sent as 'a'");
    rig_.setAccounts({account("a", {"key-2", "key-4"}), account("b", {})});
    EXPECT_EQ(resultOf(0, "key-1"), "401");
    EXPECT_EQ(resultOf(0, "key-3"), "401");
    EXPECT_EQ(resultOf(0, "key-4"), "sent as 'a'");
    rig_.setAccounts({account("a", {"key-4"}), account("b", {"key-2"})});
    EXPECT_EQ(resultOf(0, "key-2"), "sent as 'b'");
}

// Guards against a node that accepts removed keys for as long as the store rejects it.
TEST_F(AccountKeys, AreLearnedFromOtherNodesWithoutTheStore)
{
    rig_.setAccounts({account("a", {"old"}), account("b", {"key-b"})});
    rig_.run(seconds(2));
    EXPECT_EQ(rig_.peerRequests_["configuration"], 0U) << "nodes that read the store asked each other";
    rig_.configurationCuts_ = {1};
    rig_.setAccounts({account("a", {"new"}), account("b", {"key-b"})});
    EXPECT_EQ(resultOf(1, "old"), "sent as 'a'");
    rig_.run(revokeTime - seconds(1));
    EXPECT_EQ(resultOf(1, "old"), "401");
    EXPECT_EQ(resultOf(1, "new"), "sent as 'a'");
    EXPECT_EQ(rig_.peerRequests_["configuration"], 1U);
    const auto containsText = [](const std::string &line) {
        return line.find(GatewayRig::configurationText) != std::string::npos;
    };
    EXPECT_TRUE(std::none_of(rig_.log_.begin(), rig_.log_.end(), containsText)) << "the configuration was logged";
}

// Guards against a started node that refuses everything while the store rejects it, although others know the keys.
TEST_F(AccountKeys, AreLearnedFromOtherNodesAfterAStart)
{
    rig_.setAccounts({account("a", {"key-a"})});
    rig_.configurationCuts_ = {1};
    rig_.kill(1);
    rig_.restart(1);
    EXPECT_EQ(resultOf(1, "key-a"), "503");
    rig_.run(revokeTime);
    EXPECT_EQ(resultOf(1, "key-a"), "sent as 'a'");
}

// Guards against peers that bring a node back to an older version, or that are asked for ever for a version that this
// node can't apply.
TEST_F(AccountKeys, AreNeverTakenFromAnOlderVersion)
{
    rig_.setAccounts({account("a", {"old"})});
    rig_.configurationCuts_ = {1, 2};
    rig_.isolatedNodes_ = {"node1", "node2"};
    rig_.setAccounts({account("a", {"new"})});
    rig_.run(seconds(2));
    rig_.isolatedNodes_ = {"node0"}; // Nodes 1 and 2 hear each other, and not the newer version.
    rig_.run(seconds(5));
    EXPECT_EQ(resultOf(1, "old"), "sent as 'a'");
    rig_.isolatedNodes_.clear();
    rig_.run(revokeTime);
    for (std::size_t node = 0; node < nodeCount; ++node) {
        EXPECT_EQ(resultOf(node, "old"), "401");
        EXPECT_EQ(resultOf(node, "new"), "sent as 'a'");
    }
}

// Guards against a cost for deployments without accounts: messages between nodes.
TEST_F(AccountKeys, CostNothingWithoutAccounts)
{
    rig_.configurationCuts_ = {1};
    rig_.restart(1);
    rig_.run(seconds(10));
    EXPECT_EQ(rig_.peerRequests_["configuration"], 0U);
}

// Guards against a node that accepts a removed key when it runs again after a suspension, before it has read what
// changed in the meantime; also if it is suspended a second time while it reads.
TEST_F(AccountKeys, AreReadAgainAfterASuspension)
{
    std::string key = "key0";
    for (const Duration secondPause : {Duration{0}, Duration{seconds(4)}}) {
        rig_.configurationCuts_.clear();
        rig_.setAccounts({account("a", {key})});
        rig_.configurationReadTime_ = milliseconds(20);
        rig_.run(seconds(1));
        rig_.freeze(1, true);
        rig_.configurationCuts_ = {1};
        const std::string old = std::exchange(key, key + "'");
        rig_.setAccounts({account("a", {key})});
        rig_.run(seconds(4));
        const std::size_t before = rig_.attempts_.size();
        const std::shared_ptr<ClientResponse> response = rig_.send(1, request("/plain/x", old));
        rig_.run(secondPause);
        rig_.freeze(1, false);
        rig_.run(milliseconds(300));
        EXPECT_EQ(rig_.attempts_.size(), before);
        EXPECT_EQ(response->status_, 401);
        EXPECT_EQ(resultOf(1, key), "sent as 'a'");
    }
}

// Guards against a request of an account that another node runs without it, or refuses for a key that it can't see.
TEST_F(AccountKeys, AreCheckedByTheFirstNodeOnly)
{
    rig_.setAccounts({account("a", {"key-a"})});
    GatewayRequest forwarded = request("/plain/x", "");
    forwarded.isForwarded_ = true;
    forwarded.peerAccount_ = "a";
    rig_.run(seconds(2)); // Until the node is ready.
    EXPECT_EQ(resultOf(1, forwarded), "sent as 'a'");
    forwarded.peerAccount_ = "not-known-yet";
    EXPECT_EQ(resultOf(1, forwarded), "421");
    forwarded.peerAccount_ = ""; // Open for the other node, but not for this one.
    EXPECT_EQ(resultOf(1, forwarded), "421");
    forwarded.peerAccount_.reset(); // The other node knows no accounts.
    EXPECT_EQ(resultOf(1, forwarded), "421");
    forwarded.isForwarded_ = false;
    forwarded.peerAccount_ = "a"; // Sent by a client.
    EXPECT_EQ(resultOf(1, forwarded), "401");
}

} // namespace filbertgw::test
