#include "gatewayrig.h"

#include "accounts/accountscope.h"

#include <gtest/gtest.h>

#include <algorithm>

// Two client accounts whose clients choose the same ids.
namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t nodeCount = 3;

ClientAccount account(const std::string &name, const std::string &key)
{
    ClientAccount account;
    account.name_ = name;
    account.keys_ = {key};
    return account;
}

GatewayRequest withKey(GatewayRequest request, const std::string &key)
{
    request.apiKey_ = key;
    return request;
}

/** \brief Nodes with two accounts, whose keys are "key-a" and "key-b". */
class TwoAccounts : public testing::Test
{
protected:
    explicit TwoAccounts(const std::vector<Route> &routes = {streamingRoute(true, 1, true),
                                                             plainRoute(RouteKind::Idempotent, 1)})
        : rig_(nodeCount, routes)
    {
        rig_.keepsLog_ = true;
        rig_.addEndpoints("engines", "e", 3);
        rig_.addEndpoints("services", "s", 4);
        rig_.setAccounts({account("a", "key-a"), account("b", "key-b")});
        rig_.run(seconds(12)); // Until first turns run before their record, and all versions of streams are known.
    }

    /** \brief Sends a turn to a node. \return the number of its attempt at an endpoint, or nothing. */
    std::optional<std::size_t> send(std::size_t node, GatewayRequest request)
    {
        const std::size_t before = rig_.attempts_.size();
        response_ = rig_.send(node, std::move(request));
        rig_.run(milliseconds(500));
        return rig_.attempts_.size() > before ? std::optional<std::size_t>(before) : std::nullopt;
    }

    std::string bodyOf(std::size_t attempt) const
    {
        return *rig_.attempts_.at(attempt).attempt_.body_;
    }

    GatewayRig rig_;
    std::shared_ptr<ClientResponse> response_;
};

} // namespace

// Guards against an id of one account that equals an id of another one, or ids that change without accounts.
TEST(AccountScope, IdsOfAccountsDiffer)
{
    EXPECT_EQ(scopedId({}, "p"), "p");
    EXPECT_EQ(scopedId(accountScope("a"), {}), "");
    EXPECT_EQ(accountScope("a").size(), 16U);
    EXPECT_EQ(accountScope("").size(), 16U);
    EXPECT_NE(scopedId(accountScope("a"), "p"), scopedId(accountScope("b"), "p"));
    EXPECT_NE(scopedId(accountScope(""), scopedId(accountScope("a"), "p")), scopedId(accountScope("a"), "p"));
}

// Guards against a turn that continues the conversation of another account, or reveals that it exists.
TEST_F(TwoAccounts, TurnOfAnotherAccountIsMissing)
{
    const std::optional<std::size_t> first = send(0, withKey(turn("t1", "p", "p"), "key-a"));
    ASSERT_TRUE(first);
    rig_.stream(*first, {"secret"}, true);
    rig_.run(seconds(1));
    GatewayRequest next = turn("t2", "p", "p");
    next.previousTurn_ = "t1";
    for (std::size_t node = 0; node < nodeCount; ++node) {
        EXPECT_FALSE(send(node, withKey(next, "key-b")));
        EXPECT_EQ(response_->status_, 404);
        EXPECT_EQ(response_->body_, R"({"error":"turn_missing"})");
    }
    const std::optional<std::size_t> own = send(1, withKey(next, "key-a"));
    ASSERT_TRUE(own);
    EXPECT_EQ(bodyOf(*own), "input-t1;secret\ninput-t2;");
}

// Guards against a conversation into which turns of another account with the same ids are mixed.
TEST_F(TwoAccounts, TurnsWithTheSameIdsAreKeptApart)
{
    for (const char *key : {"key-a", "key-b"}) {
        const std::optional<std::size_t> first = send(0, withKey(turn("t1", "p", "p"), key));
        ASSERT_TRUE(first);
        EXPECT_EQ(rig_.attempts_[*first].attempt_.request_->id_, "t1");
        rig_.stream(*first, {std::string("of-") + key}, true);
        rig_.run(seconds(1));
    }
    for (const char *key : {"key-a", "key-b"}) {
        GatewayRequest next = turn("t2", "p", "p");
        next.previousTurn_ = "t1";
        const std::optional<std::size_t> second = send(2, withKey(next, key));
        ASSERT_TRUE(second);
        EXPECT_EQ(bodyOf(*second), std::string("input-t1;of-") + key + "\ninput-t2;");
    }
    const auto namesScope = [](const std::string &line) { return line.find(accountScope("a")) != std::string::npos; };
    EXPECT_TRUE(std::none_of(rig_.log_.begin(), rig_.log_.end(), namesScope)) << "an id in the log is not the client's";
}

// Guards against an account that spends the budget of another one's program with the same id.
TEST_F(TwoAccounts, BudgetsAreKeptApart)
{
    for (std::size_t i = 0; i < 3; ++i) { // 900 of the 1,000 tokens.
        const std::optional<std::size_t> sent =
            send(i % nodeCount, withKey(turn("a" + std::to_string(i), "p", "p"), "key-a"));
        ASSERT_TRUE(sent);
        rig_.stream(*sent, {"x", "y", "z"}, true);
        rig_.run(seconds(2));
    }
    EXPECT_FALSE(send(0, withKey(turn("a3", "p", "p"), "key-a")));
    EXPECT_EQ(response_->body_, R"({"error":"budget_spent"})");
    for (std::size_t i = 0; i < 3; ++i) {
        const std::optional<std::size_t> sent =
            send(i % nodeCount, withKey(turn("b" + std::to_string(i), "p", "p"), "key-b"));
        ASSERT_TRUE(sent) << response_->body_;
        rig_.stream(*sent, {"x", "y", "z"}, true);
        rig_.run(seconds(2));
    }
    EXPECT_FALSE(send(0, withKey(turn("b3", "p", "p"), "key-b")));
    EXPECT_EQ(response_->body_, R"({"error":"budget_spent"})");
}

// Guards against an account that gets, or retains as its own, the events of another account's stream.
TEST_F(TwoAccounts, StreamIsNotResumedByAnotherAccount)
{
    const std::optional<std::size_t> first = send(0, withKey(turn("t1", "p", "p"), "key-a"));
    ASSERT_TRUE(first);
    rig_.stream(*first, {"one", "two"}, false);
    rig_.run(milliseconds(50));
    response_->closed_();
    rig_.run(milliseconds(50));
    GatewayRequest rest = turn("t2", "p", "p");
    rest.body_ = "input-t1;";
    rest.resumes_ = "t1";
    rest.lastEventId_ = "2";
    for (std::size_t node = 0; node < nodeCount; ++node) {
        GatewayRequest unknown = rest;
        unknown.resumes_ = "never-begun";
        EXPECT_FALSE(send(node, withKey(unknown, "key-b")));
        const std::shared_ptr<ClientResponse> ofUnknown = response_;
        EXPECT_FALSE(send(node, withKey(rest, "key-b")));
        EXPECT_EQ(response_->status_, ofUnknown->status_);
        EXPECT_EQ(response_->body_, ofUnknown->body_) << "the response reveals that the stream exists";
    }
    const std::optional<std::size_t> own = send(1, withKey(rest, "key-a"));
    ASSERT_TRUE(own) << response_->body_;
    rig_.stream(*own, {"three"}, true, 3);
    rig_.run(seconds(1));
    EXPECT_TRUE(response_->ended_);
}

// Guards against a crashing request of one account that makes the same request of another account fail.
TEST_F(TwoAccounts, QuarantineOfOneAccountDoesNotHitTheOther)
{
    const auto poison = [](const std::string &id, const std::string &key) {
        GatewayRequest request = withKey(plainRequest(id), key);
        request.body_ = "poison";
        return request;
    };
    for (std::uint64_t i = 0; i < 3; ++i) {
        const std::optional<std::size_t> sent = send(0, poison("a" + std::to_string(i), "key-a"));
        ASSERT_TRUE(sent);
        const std::string id = rig_.attempts_[*sent].attempt_.endpoint_;
        rig_.end(*sent, AttemptEnd::Broken);
        Endpoint restarted;
        restarted.id_ = id;
        restarted.address_ = id;
        restarted.service_ = "services";
        restarted.slots_ = 4;
        restarted.startedAtMs_ = 1000 + i;
        rig_.setEndpoint(restarted);
        rig_.run(seconds(1));
    }
    for (std::size_t node = 0; node < nodeCount; ++node) {
        EXPECT_FALSE(send(node, poison("a9", "key-a")));
        EXPECT_EQ(response_->body_, R"({"error":"quarantined"})");
        EXPECT_TRUE(send(node, poison("b" + std::to_string(node), "key-b"))) << response_->body_;
    }
}

} // namespace filbertgw::test
