#include "gatewayrig.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace filbertgw::test {

namespace {

constexpr Duration shortWait = std::chrono::milliseconds(200);

void sendHead(GatewayRig &rig, std::size_t attempt, int status, bool notRun, bool fromEndpoint)
{
    AttemptHead head;
    head.status_ = status;
    head.notRun_ = notRun;
    head.fromEndpoint_ = fromEndpoint;
    head.isLeaving_ = true;
    rig.attempts_.at(attempt).handlers_.onHead_(head);
}

std::size_t attemptsAt(const GatewayRig &rig, const std::string &endpoint)
{
    return static_cast<std::size_t>(
        std::count_if(rig.attempts_.begin(), rig.attempts_.end(), [&endpoint](const ReceivedAttempt &attempt) {
            return attempt.attempt_.endpoint_ == endpoint;
        }));
}

} // namespace

/** \brief An answer in which an endpoint says that it leaves. */
struct LeavingAnswer
{
    const char *name_;
    int status_;
    bool notRun_;
    bool fromEndpoint_;
    AttemptEnd end_;
};

class LeavingEndpoint : public testing::TestWithParam<LeavingAnswer>
{
protected:
    /** \brief Sends requests until the first endpoint has said that it leaves, and then twenty more. */
    void leave(GatewayRig &rig)
    {
        rig.send(0, plainRequest("first"));
        leaving_ = rig.attempts_[0].attempt_.endpoint_;
        sendHead(rig, 0, GetParam().status_, GetParam().notRun_, GetParam().fromEndpoint_);
        rig.end(0, GetParam().end_);
        rig.run(shortWait);
        sendMore(rig);
    }

    void sendMore(GatewayRig &rig)
    {
        for (int i = 0; i < 20; ++i) {
            rig.send(0, plainRequest("r" + std::to_string(++requests_)));
            rig.run(Duration{1'000});
        }
    }

    std::string leaving_;
    int requests_ = 0;
};

// Guards against requests to an endpoint that says it leaves, in any kind of answer, while the registry lists it.
TEST_P(LeavingEndpoint, GetsNoFurtherRequest)
{
    GatewayRig rig(1, {plainRoute(RouteKind::Idempotent, 3)});
    rig.addEndpoints("services", "s", 3);
    leave(rig);
    EXPECT_EQ(attemptsAt(rig, leaving_), 1U);
    // The registry goes on to list it as ready.
    Endpoint entry;
    entry.id_ = leaving_;
    entry.service_ = "services";
    entry.address_ = leaving_;
    entry.slots_ = 5;
    rig.setEndpoint(entry);
    sendMore(rig);
    EXPECT_EQ(attemptsAt(rig, leaving_), 1U);
    // A later start under the same id is another incarnation.
    entry.startedAtMs_ = 7;
    rig.setEndpoint(entry);
    rig.run(std::chrono::seconds(2));
    sendMore(rig);
    EXPECT_GT(attemptsAt(rig, leaving_), 1U);
}

// Guards against requests that wait for an endpoint although all of them are leaving.
TEST_P(LeavingEndpoint, RequestIsRefusedAtOnceIfThereIsNoOther)
{
    GatewayRig rig(1, {plainRoute(RouteKind::Idempotent, 1)});
    rig.addEndpoints("services", "s", 1);
    rig.send(0, plainRequest("first"));
    sendHead(rig, 0, GetParam().status_, GetParam().notRun_, GetParam().fromEndpoint_);
    rig.end(0, GetParam().end_);
    const std::shared_ptr<ClientResponse> client = rig.send(0, plainRequest("second"));
    EXPECT_EQ(client->status_, 503);
    EXPECT_EQ(rig.attempts_.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LeavingEndpoint,
                         testing::Values(LeavingAnswer{"Success", 200, false, true, AttemptEnd::Complete},
                                         LeavingAnswer{"Failure", 500, false, true, AttemptEnd::Complete},
                                         LeavingAnswer{"Refusal", 503, true, false, AttemptEnd::Complete},
                                         LeavingAnswer{"BrokenOff", 200, false, true, AttemptEnd::Broken},
                                         LeavingAnswer{"Unsigned", 200, false, false, AttemptEnd::Complete}),
                         [](const testing::TestParamInfo<LeavingAnswer> &info) { return info.param.name_; });

// Guards against a stream whose head names the endpoint as leaving and which is resumed there.
TEST(LeavingStream, IsResumedElsewhere)
{
    GatewayRig rig(1, {streamingRoute(false, 3, true)});
    rig.addEndpoints("engines", "e", 2);
    rig.send(0, turn("t1", "p", "p"));
    rig.run(shortWait);
    sendHead(rig, 0, 200, false, true);
    rig.attempts_[0].handlers_.onPart_("id: 1\ndata: a\n\n");
    rig.end(0, AttemptEnd::Broken);
    rig.run(shortWait);
    ASSERT_EQ(rig.attempts_.size(), 2U);
    rig.end(1, AttemptEnd::Broken);
    rig.run(std::chrono::seconds(1));
    EXPECT_EQ(attemptsAt(rig, rig.attempts_[0].attempt_.endpoint_), 1U);
}

} // namespace filbertgw::test
