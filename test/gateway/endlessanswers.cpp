#include "gatewayrig.h"
#include "streams/eventsplitter.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

constexpr std::size_t endpoints = 50;
constexpr std::size_t partBytes = 16 * 1024;
/** Most bytes of unfinished answers that a node may hold. */
constexpr std::size_t mostBufferedBytes = 4 * 1024 * 1024;

AttemptHead headOf(bool fromEndpoint)
{
    AttemptHead head;
    head.status_ = 200;
    head.fromEndpoint_ = fromEndpoint;
    return head;
}

} // namespace

/** \brief Bytes that endpoints send without end. */
struct EndlessCase
{
    const char *name_;
    RouteKind kind_;
    bool fromEndpoint_; ///< The head is that of an endpoint.
    std::string part_;
};

class EndlessAnswer : public testing::TestWithParam<EndlessCase>
{
protected:
    std::size_t bufferedBytes(const GatewayRig &rig)
    {
        return rig.nodes_[0]->state()["buffered_answer_bytes"].get<std::size_t>();
    }

    GatewayRequest request(std::size_t number)
    {
        const std::string id = "r" + std::to_string(number);
        return GetParam().kind_ == RouteKind::Streaming ? turn(id, "p" + id, "p" + id) : plainRequest(id);
    }
};

// Guards against answers without end that use up the memory of a node, or that are read until the request's deadline.
TEST_P(EndlessAnswer, IsCutWithinTheMemoryForAnswers)
{
    const bool isStream = GetParam().kind_ == RouteKind::Streaming;
    GatewayRig rig(1, {isStream ? streamingRoute(true, 1, false) : plainRoute(GetParam().kind_, 1)});
    rig.addEndpoints(isStream ? "engines" : "services", "x", endpoints);
    std::vector<std::shared_ptr<ClientResponse>> clients;
    for (std::size_t i = 0; i < endpoints; ++i) {
        clients.push_back(rig.send(0, request(i)));
    }
    rig.run(std::chrono::milliseconds(100));
    ASSERT_EQ(rig.attempts_.size(), endpoints);
    for (const ReceivedAttempt &attempt : rig.attempts_) {
        attempt.handlers_.onHead_(headOf(GetParam().fromEndpoint_));
    }
    std::size_t sent = 0;
    for (std::size_t round = 0; round < 512; ++round) {
        for (ReceivedAttempt &attempt : rig.attempts_) {
            if (!attempt.cancelled_) {
                sent += GetParam().part_.size();
                attempt.handlers_.onPart_(GetParam().part_);
                ASSERT_LE(bufferedBytes(rig), mostBufferedBytes);
            }
        }
    }
    EXPECT_LE(sent, endpoints * (mostBufferedBytes + partBytes));
    rig.run(std::chrono::milliseconds(1));
    for (const std::shared_ptr<ClientResponse> &client : clients) {
        EXPECT_TRUE(client->aborted_ || client->status_ == 502);
    }
    EXPECT_EQ(bufferedBytes(rig), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EndlessAnswer,
    testing::Values(EndlessCase{"Body", RouteKind::NonIdempotent, true, std::string(partBytes, 'x')},
                    EndlessCase{"UnsignedBody", RouteKind::NonIdempotent, false, std::string(partBytes, 'x')},
                    EndlessCase{"UnsignedStream", RouteKind::Streaming, false, std::string(partBytes, 'x')},
                    EndlessCase{"Event", RouteKind::Streaming, true, std::string(partBytes, 'x')},
                    EndlessCase{"Events", RouteKind::Streaming, true, "data: " + std::string(partBytes, 'x') + "\n\n"}),
    [](const testing::TestParamInfo<EndlessCase> &info) { return info.param.name_; });

class EndlessForwardedAnswer : public EndlessAnswer
{
protected:
    /** \brief Lets node 0 find out that it reaches no endpoint, and holds the requests that it passes on. */
    void cutOff(GatewayRig &rig)
    {
        rig.isReachable_ = [](std::size_t node, const std::string &) { return node != 0; };
        rig.onAttempt_ = [&rig](std::size_t attempt) {
            rig.queue_.after(std::chrono::milliseconds(1), [&rig, attempt] { rig.end(attempt, AttemptEnd::NotSent); });
        };
        rig.send(0, request(endpoints));
        rig.run(std::chrono::seconds(4));
        rig.onForward_ = [this](const ForwardedRequest &, const AttemptHandlers &handlers) {
            exchanges_.push_back(handlers);
        };
    }

    std::vector<AttemptHandlers> exchanges_;
};

// Guards against answers without end that come by way of another node and use up the memory of this one.
TEST_P(EndlessForwardedAnswer, IsCutWithinTheMemoryForAnswers)
{
    const bool isStream = GetParam().kind_ == RouteKind::Streaming;
    GatewayRig rig(2, {isStream ? streamingRoute(true, 1, false) : plainRoute(GetParam().kind_, 1)});
    rig.addEndpoints(isStream ? "engines" : "services", "x", 4);
    cutOff(rig);
    std::vector<std::shared_ptr<ClientResponse>> clients;
    for (std::size_t i = 0; i < endpoints; ++i) {
        clients.push_back(rig.send(0, request(i)));
    }
    rig.run(std::chrono::milliseconds(50));
    ASSERT_EQ(exchanges_.size(), endpoints);
    for (const AttemptHandlers &exchange : exchanges_) {
        AttemptHead head = headOf(GetParam().fromEndpoint_);
        head.headers_["content-type"] = isStream ? "text/event-stream" : "text/plain";
        exchange.onHead_(head);
    }
    for (std::size_t round = 0; round < 512; ++round) {
        for (std::size_t i = 0; i < endpoints; ++i) {
            exchanges_[i].onPart_(GetParam().part_);
            ASSERT_LE(bufferedBytes(rig), mostBufferedBytes);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EndlessForwardedAnswer,
    testing::Values(EndlessCase{"Body", RouteKind::NonIdempotent, true, std::string(partBytes, 'x')},
                    EndlessCase{"UnsignedBody", RouteKind::NonIdempotent, false, std::string(partBytes, 'x')},
                    EndlessCase{"UnsignedStream", RouteKind::Streaming, false, std::string(partBytes, 'x')},
                    EndlessCase{"Event", RouteKind::Streaming, true, std::string(partBytes, 'x')}),
    [](const testing::TestParamInfo<EndlessCase> &info) { return info.param.name_; });

// Guards against an unfinished event that is searched from its begin for each byte that arrives.
TEST(EventSplitter, LongEventInManyPiecesIsScannedOnce)
{
    EventSplitter splitter;
    StreamEvent event;
    const std::string piece(64, 'x');
    std::size_t scanned = 0;
    for (int i = 0; i < 8'000; ++i) {
        ASSERT_TRUE(splitter.add(piece));
        EXPECT_FALSE(splitter.next(event));
        scanned += splitter.lastScannedBytes();
    }
    EXPECT_LE(scanned, 2U * 8'000 * piece.size());
}

} // namespace filbertgw::test
