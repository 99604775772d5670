#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t nodes = 4;
constexpr std::size_t engines = 4;
constexpr std::uint64_t budget = 750; ///< Two turns of 300 tokens, and half of a third.

constexpr Duration connectTimeout = milliseconds(400);

/** \brief What becomes of attempts at a node that is cut off from all engines. */
enum class LostAttempt : std::uint8_t {
    Silent, ///< Sent; may run, but nothing of that is seen.
    NotSent,
};

GatewayRequest turnWithin(const std::string &id, const std::string &program)
{
    GatewayRequest request = turn(id, program, program);
    request.tokenBudget_ = budget;
    return request;
}

/** \brief Nodes of which the first one can be cut off from all engines. */
class CutNode
{
public:
    CutNode()
    {
        rig_.addEndpoints("engines", "e", engines);
        rig_.isReachable_ = [this](std::size_t node, const std::string &) { return node != 0 || !isCut_; };
        rig_.onAttempt_ = [this](std::size_t attempt) { onAttempt(attempt); };
    }
    /** \brief A turn at the node that is cut, beside turns of other programs at other engines. */
    std::shared_ptr<ClientResponse> secondTurn(const std::string &program)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            const std::string id = "beside" + std::to_string(i);
            rig_.send(0, turnWithin(id, id));
        }
        const std::shared_ptr<ClientResponse> client = rig_.send(0, turnWithin("t2", program));
        rig_.run(milliseconds(2'900));
        return client;
    }
    std::shared_ptr<ClientResponse> servedTurn(std::size_t node, const std::string &id, const std::string &program)
    {
        const std::shared_ptr<ClientResponse> client = rig_.send(node, turnWithin(id, program));
        rig_.run(seconds(2));
        return client;
    }

    GatewayRig rig_{nodes, {streamingRoute(false, 2, true)}};
    LostAttempt lostAttempt_ = LostAttempt::Silent;
    std::size_t events_ = 3; ///< Of each turn, of 100 tokens each.
    bool isCut_ = false;

private:
    void onAttempt(std::size_t attempt)
    {
        if (rig_.attempts_[attempt].node_ != 0 || !isCut_) {
            const std::vector<std::string> data(events_, "x");
            rig_.queue_.after(milliseconds(40), [this, attempt, data] { rig_.stream(attempt, data, true); });
        } else if (lostAttempt_ == LostAttempt::NotSent) {
            rig_.queue_.after(connectTimeout, [this, attempt] { rig_.end(attempt, AttemptEnd::NotSent); });
        }
    }
};

} // namespace

/** \brief A second turn that another node runs, and what its program gets afterwards. */
struct ForwardedTurnCase
{
    const char *name_;
    LostAttempt lostAttempt_;
    std::size_t events_; ///< Of the second turn.
    int thirdStatus_;
};

class ForwardedTurn : public testing::TestWithParam<ForwardedTurnCase>
{
};

// Guards against a turn that is refused for its own reservation when another node goes on with it, and against turns of
// other nodes that are not counted.
TEST_P(ForwardedTurn, UsesTheReservationOfTheNodeThatPassesItOn)
{
    CutNode world;
    ASSERT_EQ(world.servedTurn(0, "t1", "p")->status_, 200);
    world.isCut_ = true;
    world.lostAttempt_ = GetParam().lostAttempt_;
    world.events_ = GetParam().events_;
    const std::shared_ptr<ClientResponse> second = world.secondTurn("p");
    EXPECT_EQ(second->status_, 200) << second->body_;
    EXPECT_TRUE(second->ended_);
    world.rig_.run(seconds(2));
    EXPECT_EQ(world.servedTurn(1, "t3", "p")->status_, GetParam().thirdStatus_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ForwardedTurn,
                         testing::Values(ForwardedTurnCase{"Silent", LostAttempt::Silent, 3, 402},
                                         ForwardedTurnCase{"NotSent", LostAttempt::NotSent, 3, 402},
                                         ForwardedTurnCase{"SilentShort", LostAttempt::Silent, 1, 200},
                                         ForwardedTurnCase{"NotSentShort", LostAttempt::NotSent, 1, 200}),
                         [](const testing::TestParamInfo<ForwardedTurnCase> &info) { return info.param.name_; });

class RefusalOfAPeer : public testing::TestWithParam<int>
{
};

// Guards against a refusal that promises "not run" from a node that can't know of an earlier attempt elsewhere.
TEST_P(RefusalOfAPeer, IsNotRelayedIfAnAttemptMayHaveRun)
{
    CutNode world;
    world.isCut_ = true;
    world.rig_.onForward_ = [&world](const ForwardedRequest &, const AttemptHandlers &handlers) {
        AttemptHead head;
        head.status_ = GetParam();
        head.isMisdirected_ = head.status_ == 421;
        world.rig_.queue_.after(milliseconds(2), [handlers, head] {
            handlers.onHead_(head);
            handlers.onEnd_(AttemptEnd::Complete);
        });
    };
    const std::shared_ptr<ClientResponse> client = world.secondTurn("p");
    EXPECT_TRUE(client->ended_);
    EXPECT_EQ(client->status_, 502);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RefusalOfAPeer,
                         testing::Values(402, 408, 421, 429, 503),
                         [](const testing::TestParamInfo<int> &info) { return "Status" + std::to_string(info.param); });

} // namespace filbertgw::test
