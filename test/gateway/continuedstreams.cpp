#include "gatewayrig.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t eventCount = 8;
/** Events that the client has when the first run breaks off. */
constexpr std::size_t receivedEvents = 3;

std::vector<std::string> texts(std::size_t first, std::size_t last)
{
    std::vector<std::string> texts;
    for (std::size_t event = first; event <= last; ++event) {
        texts.push_back("e" + std::to_string(event));
    }
    return texts;
}

/** What a client receives of these events. */
std::string bytesOf(std::size_t first, std::size_t last)
{
    std::string bytes;
    for (std::size_t event = first; event <= last; ++event) {
        bytes += "id: " + std::to_string(event) + "\ndata: e" + std::to_string(event) + "\n\n";
    }
    return bytes;
}

/** \brief A turn whose program may spend more than the turns of a test need. */
GatewayRequest affordableTurn(const std::string &id)
{
    GatewayRequest request = turn(id, "p", "p");
    request.tokenBudget_ = 100'000;
    return request;
}

/** Answers with status, content type (none if empty) and body, framed as whole. */
void answerWhole(GatewayRig &rig, std::size_t attempt, int status, const std::string &type, const std::string &body)
{
    AttemptHead head;
    head.status_ = status;
    head.fromEndpoint_ = true;
    if (!type.empty()) {
        head.headers_["content-type"] = type;
    }
    const AttemptHandlers handlers = rig.attempts_.at(attempt).handlers_;
    handlers.onHead_(head);
    if (!body.empty()) {
        handlers.onPart_(body);
    }
    handlers.onEnd_(AttemptEnd::Complete);
}

/** Answers with an event stream of which the whole body is given. */
void answerEvents(GatewayRig &rig, std::size_t attempt, const std::string &body)
{
    answerWhole(rig, attempt, 200, "text/event-stream", body);
}

} // namespace

/** \brief What the next engine sends in place of the rest of a stream. */
struct WrongRest
{
    const char *name_;
    std::function<void(GatewayRig &rig, std::size_t attempt)> answer_;
    std::size_t passedOn_ = 0; ///< Events of it that follow the ones before.
};

class WrongRestOfAStream : public testing::TestWithParam<WrongRest>
{
protected:
    /** \brief Begins a stream at node 0 and breaks its first run off. */
    static std::shared_ptr<ClientResponse> beginStream(GatewayRig &rig)
    {
        rig.addEndpoints("engines", "e", 4);
        rig.run(seconds(12)); // The version of the service is known for as long as a stream may last.
        const std::shared_ptr<ClientResponse> client = rig.send(0, affordableTurn("t1"));
        rig.run(milliseconds(50));
        rig.stream(0, texts(1, receivedEvents), false);
        rig.run(milliseconds(50));
        rig.end(0, AttemptEnd::Broken);
        rig.run(milliseconds(200));
        return client;
    }

    /** \brief Lets the attempt answer wrongly, and the next one with the true rest. */
    static void answerWronglyThenRight(GatewayRig &rig, std::size_t attempt)
    {
        ASSERT_EQ(rig.attempts_.size(), attempt + 1);
        GetParam().answer_(rig, attempt);
        rig.run(milliseconds(200));
        ASSERT_EQ(rig.attempts_.size(), attempt + 2);
        const std::size_t received = receivedEvents + GetParam().passedOn_;
        EXPECT_EQ(rig.attempts_[attempt + 1].attempt_.lastEventId_, std::to_string(received));
        EXPECT_NE(rig.attempts_[attempt].attempt_.endpoint_, rig.attempts_[attempt + 1].attempt_.endpoint_);
        rig.stream(attempt + 1, texts(received + 1, eventCount), true, received + 1);
        rig.run(milliseconds(200));
    }
};

// Guards against an answer that is relayed as the rest of a stream because its status is a success.
TEST_P(WrongRestOfAStream, IsReplacedWithinOneAnswer)
{
    GatewayRig rig(1, {streamingRoute(false, 3, true)});
    const std::shared_ptr<ClientResponse> client = beginStream(rig);
    answerWronglyThenRight(rig, 1);
    EXPECT_EQ(client->body_, bytesOf(1, eventCount));
    EXPECT_TRUE(client->ended_);
    EXPECT_FALSE(client->aborted_);
}

// Guards against a stream that looks whole although no run has brought its rest.
TEST_P(WrongRestOfAStream, LeavesTheStreamVisiblyBrokenIfNoRunIsLeft)
{
    GatewayRig rig(1, {streamingRoute(false, 2, true)});
    const std::shared_ptr<ClientResponse> client = beginStream(rig);
    ASSERT_EQ(rig.attempts_.size(), 2U);
    GetParam().answer_(rig, 1);
    rig.run(milliseconds(200));
    EXPECT_EQ(client->body_, bytesOf(1, receivedEvents + GetParam().passedOn_));
    EXPECT_FALSE(client->ended_);
    EXPECT_TRUE(client->aborted_);
}

// Guards against the same in the answer to a client that takes the stream up at another node.
TEST_P(WrongRestOfAStream, IsReplacedWhereTheClientTakesTheStreamUp)
{
    GatewayRig rig(2, {streamingRoute(false, 2, true)});
    beginStream(rig);
    rig.end(1, AttemptEnd::Broken);
    rig.run(milliseconds(200));
    GatewayRequest again = affordableTurn("t2");
    again.resumes_ = "t1";
    again.lastEventId_ = std::to_string(receivedEvents);
    const std::shared_ptr<ClientResponse> client = rig.send(1, again);
    rig.run(milliseconds(200));
    answerWronglyThenRight(rig, 2);
    EXPECT_EQ(client->body_, bytesOf(receivedEvents + 1, eventCount));
    EXPECT_TRUE(client->ended_);
}

// Guards against a part of a turn that is retained as the whole, and so sent to engines with the next turn.
TEST_P(WrongRestOfAStream, IsNotPartOfARetainedTurn)
{
    GatewayRig rig(1, {streamingRoute(true, 3, true)});
    const std::shared_ptr<ClientResponse> client = beginStream(rig);
    answerWronglyThenRight(rig, 1);
    rig.run(seconds(1));
    EXPECT_TRUE(client->ended_);
    GatewayRequest next = affordableTurn("t2");
    next.previousTurn_ = "t1";
    const std::shared_ptr<ClientResponse> answer = rig.send(0, next);
    rig.run(milliseconds(200));
    ASSERT_EQ(rig.attempts_.size(), 4U) << answer->status_ << ' ' << answer->body_;
    std::string chain = "input-t1;";
    for (const std::string &text : texts(1, eventCount)) {
        chain += text + '\n';
    }
    EXPECT_EQ(*rig.attempts_[3].attempt_.body_, chain + "input-t2;");
}

// Guards against a part of a turn that is retained although its stream was broken off.
TEST_P(WrongRestOfAStream, LeavesNoRetainedTurnIfNoRunIsLeft)
{
    GatewayRig rig(1, {streamingRoute(true, 2, true)});
    beginStream(rig);
    ASSERT_EQ(rig.attempts_.size(), 2U);
    GetParam().answer_(rig, 1);
    rig.run(seconds(1));
    GatewayRequest next = affordableTurn("t2");
    next.previousTurn_ = "t1";
    rig.send(0, next);
    rig.run(seconds(1));
    EXPECT_EQ(rig.attempts_.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    WrongRestOfAStream,
    testing::Values(
        WrongRest{"Json",
                  [](GatewayRig &rig, std::size_t attempt) {
                      answerWhole(rig, attempt, 200, "application/json", "{\"error\":\"x\"}");
                  }},
        WrongRest{
            "TextWithEmptyLines",
            [](GatewayRig &rig, std::size_t attempt) { answerWhole(rig, attempt, 200, "text/html", "<p>x</p>\n\n"); }},
        WrongRest{"EmptyWithoutType",
                  [](GatewayRig &rig, std::size_t attempt) { answerWhole(rig, attempt, 200, "", ""); }},
        WrongRest{
            "NoContent",
            [](GatewayRig &rig, std::size_t attempt) { answerWhole(rig, attempt, 204, "text/event-stream", ""); }},
        WrongRest{"EmptyEventStream", [](GatewayRig &rig, std::size_t attempt) { answerEvents(rig, attempt, ""); }},
        WrongRest{"BeginsAnew",
                  [](GatewayRig &rig, std::size_t attempt) { rig.stream(attempt, texts(1, eventCount), true); }},
        WrongRest{"RepeatsTheLastEvent",
                  [](GatewayRig &rig, std::size_t attempt) {
                      rig.stream(attempt, texts(receivedEvents, eventCount), true, receivedEvents);
                  }},
        WrongRest{"LeavesOneOut",
                  [](GatewayRig &rig, std::size_t attempt) {
                      rig.stream(attempt, texts(receivedEvents + 2, eventCount), true, receivedEvents + 2);
                  }},
        WrongRest{"LeavesALaterOneOut",
                  [](GatewayRig &rig, std::size_t attempt) {
                      answerEvents(rig,
                                   attempt,
                                   bytesOf(receivedEvents + 1, receivedEvents + 2)
                                       + bytesOf(receivedEvents + 4, eventCount));
                  },
                  2},
        WrongRest{"ErrorInPlaceOfAnEvent",
                  [](GatewayRig &rig, std::size_t attempt) {
                      answerEvents(rig, attempt, "event: error\ndata: internal error\n\n");
                  }},
        WrongRest{"ErrorAfterAnEvent",
                  [](GatewayRig &rig, std::size_t attempt) {
                      answerEvents(rig,
                                   attempt,
                                   bytesOf(receivedEvents + 1, receivedEvents + 1)
                                       + "HTTP/1.1 500 Internal Server Error\r\n\r\n");
                  },
                  1}),
    [](const testing::TestParamInfo<WrongRest> &info) { return info.param.name_; });

// Guards against a client that has every event and never gets the end of its stream.
TEST(Streams, TwoEmptyRunsAreTheEndOfAStream)
{
    GatewayRig rig(1, {streamingRoute(false, 3, true)});
    rig.addEndpoints("engines", "e", 4);
    const std::shared_ptr<ClientResponse> client = rig.send(0, affordableTurn("t1"));
    rig.run(milliseconds(50));
    rig.stream(0, texts(1, eventCount), false);
    rig.end(0, AttemptEnd::Broken);
    rig.run(milliseconds(200));
    answerEvents(rig, 1, "");
    rig.run(milliseconds(200));
    answerEvents(rig, 2, "");
    EXPECT_EQ(client->body_, bytesOf(1, eventCount));
    EXPECT_TRUE(client->ended_);
}

// Guards against events of a first run that are passed on although one before them is missing.
TEST(Streams, FirstRunThatLeavesAnEventOutIsReplaced)
{
    GatewayRig rig(1, {streamingRoute(false, 2, true)});
    rig.addEndpoints("engines", "e", 4);
    const std::shared_ptr<ClientResponse> client = rig.send(0, affordableTurn("t1"));
    rig.run(milliseconds(50));
    answerEvents(rig, 0, bytesOf(1, 2) + bytesOf(4, eventCount));
    rig.run(milliseconds(200));
    ASSERT_EQ(rig.attempts_.size(), 2U);
    rig.stream(1, texts(3, eventCount), true, 3);
    EXPECT_EQ(client->body_, bytesOf(1, eventCount));
    EXPECT_TRUE(client->ended_);
}

// Guards against an empty answer that is relayed, and retained, as a whole stream.
TEST(Streams, FirstRunWithoutEventsIsNoStream)
{
    GatewayRig rig(1, {streamingRoute(true, 3, true)});
    rig.addEndpoints("engines", "e", 4);
    const std::shared_ptr<ClientResponse> client = rig.send(0, affordableTurn("t1"));
    rig.run(milliseconds(50));
    answerEvents(rig, 0, "");
    rig.run(milliseconds(200));
    ASSERT_EQ(rig.attempts_.size(), 2U);
    answerWhole(rig, 1, 204, "", "");
    rig.run(milliseconds(200));
    ASSERT_EQ(rig.attempts_.size(), 3U);
    rig.stream(2, texts(1, eventCount), true);
    rig.run(seconds(1));
    EXPECT_EQ(client->body_, bytesOf(1, eventCount));
    EXPECT_TRUE(client->ended_);
}

// Guards against streams that can't go on because an engine has answered another request with something else.
TEST(Streams, AnswerThatIsNoStreamLeavesNoDoubtAboutItsEndpoint)
{
    GatewayRig rig(1, {streamingRoute(false, 1, true)});
    rig.addEndpoints("engines", "e", 1);
    rig.run(seconds(12));
    rig.send(0, affordableTurn("t1"));
    rig.run(milliseconds(50));
    rig.stream(0, texts(1, receivedEvents), false);
    rig.run(milliseconds(50));
    rig.send(0, affordableTurn("t2"));
    rig.run(milliseconds(50));
    answerWhole(rig, 1, 200, "application/json", "{}");
    GatewayRequest again = affordableTurn("t3");
    again.resumes_ = "t1";
    again.lastEventId_ = std::to_string(receivedEvents);
    rig.send(0, again);
    rig.run(seconds(1));
    EXPECT_EQ(rig.attempts_.size(), 3U);
}

// Guards against a success without events that is passed on as a stream.
TEST(Streams, AnswerThatIsNoStreamIsAFailedRun)
{
    GatewayRig rig(1, {streamingRoute(false, 2, true)});
    rig.addEndpoints("engines", "e", 4);
    const std::shared_ptr<ClientResponse> client = rig.send(0, affordableTurn("t1"));
    rig.run(milliseconds(50));
    answerWhole(rig, 0, 200, "application/json", "{}");
    rig.run(milliseconds(200));
    ASSERT_EQ(rig.attempts_.size(), 2U);
    rig.stream(1, texts(1, eventCount), true);
    EXPECT_EQ(client->body_, bytesOf(1, eventCount));
    EXPECT_TRUE(client->ended_);
}

// Guards against the late report of a cancelled run that is taken for the end of the run after it.
TEST(Streams, EndOfACancelledRunDoesNotEndTheNextOne)
{
    GatewayRig rig(1, {streamingRoute(false, 3, true)});
    rig.addEndpoints("engines", "e", 4);
    const std::shared_ptr<ClientResponse> client = rig.send(0, affordableTurn("t1"));
    rig.run(milliseconds(50));
    AttemptHead unstamped;
    unstamped.status_ = 200;
    rig.attempts_[0].handlers_.onHead_(unstamped);
    rig.run(milliseconds(200));
    ASSERT_EQ(rig.attempts_.size(), 2U) << "the second run goes on";
    EXPECT_FALSE(rig.attempts_[1].cancelled_);
    rig.stream(1, texts(1, eventCount), true);
    EXPECT_EQ(client->body_, bytesOf(1, eventCount));
    EXPECT_TRUE(client->ended_);
}

/** \brief What the node to which a request was passed on answers, and what reaches the client of it. */
struct PeerAnswer
{
    const char *name_;
    std::string type_;
    std::string bytes_;
    AttemptEnd end_;
    std::string received_;
    bool isWhole_;
    bool isStamped_ = true;
};

class StreamOfAnotherNode : public testing::TestWithParam<PeerAnswer>
{
};

// Guards against bytes of another node that reach a client though they are no events, or not the next ones.
TEST_P(StreamOfAnotherNode, ReachesTheClientAsWholeEventsInOrder)
{
    GatewayRig rig(2, {streamingRoute(false, 1, true)});
    rig.addEndpoints("engines", "e", 4);
    rig.isReachable_ = [](std::size_t node, const std::string &) { return node != 0; };
    rig.onAttempt_ = [&rig](std::size_t attempt) {
        rig.queue_.after(milliseconds(1), [&rig, attempt] { rig.end(attempt, AttemptEnd::NotSent); });
    };
    rig.send(0, affordableTurn("t0"));
    rig.run(seconds(4)); // Node 0 finds out that it reaches no endpoint.
    std::vector<AttemptHandlers> exchanges;
    rig.onForward_ = [&exchanges](const ForwardedRequest &, const AttemptHandlers &handlers) {
        exchanges.push_back(handlers);
    };
    const std::shared_ptr<ClientResponse> client = rig.send(0, affordableTurn("t1"));
    rig.run(milliseconds(50));
    ASSERT_EQ(exchanges.size(), 1U);
    AttemptHead head;
    head.status_ = 200;
    head.fromEndpoint_ = GetParam().isStamped_;
    head.headers_["content-type"] = GetParam().type_;
    exchanges[0].onHead_(head);
    exchanges[0].onPart_(GetParam().bytes_);
    exchanges[0].onEnd_(GetParam().end_);
    rig.run(milliseconds(50));
    EXPECT_EQ(client->status_ / 100 == 2 ? client->body_ : std::string(), GetParam().received_);
    EXPECT_EQ(client->status_ / 100 == 2 && client->ended_, GetParam().isWhole_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StreamOfAnotherNode,
    testing::Values(PeerAnswer{"Whole", "text/event-stream", bytesOf(1, 3), AttemptEnd::Complete, bytesOf(1, 3), true},
                    PeerAnswer{"BrokenInsideAnEvent",
                               "text/event-stream",
                               bytesOf(1, 2) + "id: 3\nda",
                               AttemptEnd::Broken,
                               bytesOf(1, 2),
                               false},
                    PeerAnswer{"EndsInsideAnEvent",
                               "text/event-stream",
                               bytesOf(1, 2) + "id: 3\nda",
                               AttemptEnd::Complete,
                               bytesOf(1, 2),
                               false},
                    PeerAnswer{"BeginsAnew",
                               "text/event-stream",
                               bytesOf(1, 3) + bytesOf(1, 8),
                               AttemptEnd::Complete,
                               bytesOf(1, 3),
                               false},
                    PeerAnswer{"LeavesOneOut",
                               "text/event-stream",
                               bytesOf(1, 2) + bytesOf(4, 8),
                               AttemptEnd::Complete,
                               bytesOf(1, 2),
                               false},
                    PeerAnswer{"NoStream", "application/json", "{}", AttemptEnd::Complete, "", false},
                    PeerAnswer{
                        "Unstamped", "text/event-stream", bytesOf(1, 3), AttemptEnd::Complete, "", false, false}),
    [](const testing::TestParamInfo<PeerAnswer> &info) { return info.param.name_; });

} // namespace filbertgw::test
