#include "loopfixture.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <algorithm>

using namespace filbertgw;
using filbertgw::testing::LoopFixture;
using filbertgw::testing::RawListener;
using filbertgw::testing::RawSocket;

namespace {

class HttpFixture : public LoopFixture
{
public:
    void listen(HttpHandler handler)
    {
        Result<std::unique_ptr<HttpServer>> server = HttpServer::listen(loop_, "127.0.0.1:0", limits_, handler);
        ASSERT_TRUE(server);
        server_ = std::move(*server);
        address_ = "127.0.0.1:" + std::to_string(server_->port());
    }

    HttpCall call(const std::string &method, const std::string &target, const std::string &body = {})
    {
        HttpCall result;
        result.address_ = address_;
        result.request_ = HttpRequest{method, target, {}, body};
        result.onDone_ = [this](const HttpResult &done) { results_.push_back(done); };
        return result;
    }

    static void echo(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
    {
        reply->send(200, "text/plain", request.method_ + " " + request.target_ + " " + request.body_);
    }

    HttpLimits limits_;
    std::unique_ptr<HttpServer> server_;
    HttpClient client_{loop_};
    std::string address_;
    std::vector<HttpResult> results_;
};

} // namespace

// Guards against answers that reach the wrong request when many run at once on pooled connections.
TEST_F(HttpFixture, EachRequestGetsItsOwnAnswer)
{
    listen(echo);
    constexpr int rounds = 3;
    constexpr int calls = 50;
    int matched = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < calls; ++i) {
            const std::string body(static_cast<std::size_t>(i) * 1000, static_cast<char>('a' + i % 26));
            HttpCall next = call("POST", "/" + std::to_string(i), body);
            next.onDone_ = [this, &matched, expected = "POST /" + std::to_string(i) + " " + body](const HttpResult &r) {
                results_.push_back(r);
                matched += r.outcome_ == HttpOutcome::Complete && r.status_ == 200 && r.body_ == expected ? 1 : 0;
            };
            client_.start(std::move(next));
        }
        runUntil([this, round] { return results_.size() == static_cast<std::size_t>((round + 1) * calls); });
    }
    EXPECT_EQ(matched, rounds * calls);
    EXPECT_LE(server_->openConnections(), static_cast<std::size_t>(calls));
}

// Guards against parts that are lost, doubled or reordered in a stream.
TEST_F(HttpFixture, StreamsArriveWholeAndInOrder)
{
    listen([this](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        reply->startStream(200, "text/event-stream");
        for (int i = 0; i < 1000; ++i) {
            reply->write("data: " + std::to_string(i) + "\n\n");
        }
        loop_.post([reply] {
            reply->write("data: [DONE]\n\n");
            reply->finish();
        });
    });
    std::string received;
    HttpCall next = call("GET", "/");
    next.onPart_ = [&received](int, const std::string &part) { received += part; };
    client_.start(std::move(next));
    runUntil([this] { return !results_.empty(); });
    std::string expected;
    for (int i = 0; i < 1000; ++i) {
        expected += "data: " + std::to_string(i) + "\n\n";
    }
    EXPECT_EQ(received, expected + "data: [DONE]\n\n");
    EXPECT_EQ(results_[0].outcome_, HttpOutcome::Complete);
}

struct BadRequestCase
{
    const char *name_;
    std::string bytes_;
    std::string answer_; ///< Start of the answer; empty if the connection closes without one.
};

class BadRequest : public HttpFixture, public ::testing::WithParamInterface<BadRequestCase>
{
};

// Guards against bad input that is handled as a request, gets no answer, or keeps a connection for ever.
TEST_P(BadRequest, IsRefusedAndClosed)
{
    limits_.headerBytes_ = 2048;
    limits_.bodyBytes_ = 1000;
    limits_.readSeconds_ = 1;
    limits_.idleSeconds_ = 1;
    int handled = 0;
    listen([&handled](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
        ++handled;
        echo(request, reply);
    });
    RawSocket socket(server_->port());
    socket.send(GetParam().bytes_);
    runUntil([&socket] { return !socket.receive(); });
    EXPECT_EQ(socket.received_.substr(0, GetParam().answer_.size()), GetParam().answer_);
    EXPECT_EQ(socket.received_.empty(), GetParam().answer_.empty());
    EXPECT_EQ(handled, 0);
    socket.close();
    runUntil([this] { return server_->openConnections() == 0; });
    EXPECT_EQ(server_->openRequests(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BadRequest,
    ::testing::Values(
        BadRequestCase{"Silence", "", ""},
        BadRequestCase{"NotHttp", "\x16\x03\x01\x02 hello\r\n\r\n", "HTTP/1.1 400"},
        BadRequestCase{"TruncatedHeader", "GET / HTTP/1.1\r\nHost: a\r\n", "HTTP/1.1 408"},
        BadRequestCase{"TruncatedBody", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", "HTTP/1.1 408"},
        BadRequestCase{
            "TruncatedChunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "HTTP/1.1 408"},
        BadRequestCase{"LongHeader", "GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n", "HTTP/1.1 431"},
        BadRequestCase{"EndlessHeader", "GET / HTTP/1.1\r\nX: " + std::string(100000, 'x'), "HTTP/1.1 431"},
        BadRequestCase{"LongTarget", "GET /" + std::string(5000, 'x'), "HTTP/1.1 431"},
        BadRequestCase{
            "LongBody", "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'), "HTTP/1.1 413"},
        BadRequestCase{"LongChunks",
                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n500\r\n" + std::string(1280, 'x')
                           + "\r\n0\r\n\r\n",
                       "HTTP/1.1 413"},
        BadRequestCase{"NegativeLength", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400"},
        BadRequestCase{
            "HugeLength", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", "HTTP/1.1 400"},
        BadRequestCase{
            "TwoLengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400"},
        BadRequestCase{"LengthAndChunked",
                       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                       "HTTP/1.1 400"},
        BadRequestCase{"BadChunkSize", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400"},
        BadRequestCase{"OtherCoding", "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n", "HTTP/1.1 400"},
        BadRequestCase{
            "TwoCodings", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
        BadRequestCase{"BadVersion", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
        BadRequestCase{"NulInHeader", std::string("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 26), "HTTP/1.1 400"}),
    [](const ::testing::TestParamInfo<BadRequestCase> &info) { return std::string(info.param.name_); });

// Guards against a connection whose request came in pieces, or several in one, that is misread.
TEST_F(HttpFixture, ReadsRequestsInAnyPieces)
{
    listen(echo);
    const std::string one = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    const std::string two = "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n";
    const std::string end = "GET /c HTTP/1.1\r\nConnection: close\r\n\r\n";
    RawSocket whole(server_->port());
    whole.send(one + two + end);
    RawSocket pieces(server_->port());
    std::size_t sent = 0;
    const std::string all = one + two + end;
    runUntil([&whole, &pieces, &sent, &all] {
        if (sent < all.size()) {
            pieces.send(all.substr(sent++, 1));
        }
        const bool isWholeOpen = whole.receive();
        return !pieces.receive() && !isWholeOpen;
    });
    EXPECT_EQ(whole.received_, pieces.received_);
    for (const char *answer : {"POST /a abc", "POST /b def", "GET /c "}) {
        EXPECT_NE(whole.received_.find(answer), std::string::npos) << answer;
    }
}

// Guards against memory that grows while a caller does not read its stream.
TEST_F(HttpFixture, DisconnectsACallerThatReadsTooSlowly)
{
    limits_.writeBufferBytes_ = 100'000;
    bool closed = false;
    std::size_t written = 0;
    std::shared_ptr<HttpReply> kept;
    listen([&closed, &kept](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        reply->onClosed([&closed] { closed = true; });
        reply->startStream(200, "text/event-stream");
        kept = reply;
    });
    RawSocket socket(server_->port(), 4096);
    socket.send("GET / HTTP/1.1\r\n\r\n");
    runUntil([&kept] { return kept != nullptr; });
    runUntil([&closed, &kept, &written] {
        kept->write(std::string(10'000, 'x'));
        written += 10'000;
        return closed;
    });
    EXPECT_EQ(server_->openConnections(), 0U);
    EXPECT_EQ(server_->openRequests(), 0U);
    EXPECT_GT(written, limits_.writeBufferBytes_);
}

// Guards against a caller that stops reading for good and keeps a connection that has an answer to write.
TEST_F(HttpFixture, DisconnectsACallerThatStopsReading)
{
    limits_.idleSeconds_ = 1;
    listen([](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        std::string body;
        body.resize(20'000'000, 'x');
        reply->send(200, "text/plain", body);
    });
    RawSocket socket(server_->port(), 4096);
    socket.send("GET / HTTP/1.1\r\n\r\n");
    runUntil([this] { return server_->openConnections() == 1; });
    runUntil([this] { return server_->openConnections() == 0; });
}

// Guards against work that goes on for a caller that has left.
TEST_F(HttpFixture, ReportsACallerThatLeaves)
{
    int closed = 0;
    std::vector<std::shared_ptr<HttpReply>> kept;
    listen([&closed, &kept](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        reply->onClosed([&closed] { ++closed; });
        kept.push_back(reply);
    });
    const std::uint64_t first = client_.start(call("GET", "/"));
    RawSocket second(server_->port());
    second.send("GET / HTTP/1.1\r\n\r\n");
    runUntil([&kept] { return kept.size() == 2; });
    client_.cancel(first);
    second.close();
    runUntil([&closed] { return closed == 2; });
    ASSERT_EQ(results_.size(), 1U);
    EXPECT_EQ(results_[0].outcome_, HttpOutcome::Cancelled);
    kept[0]->send(200, "text/plain", "too late");
    EXPECT_EQ(server_->openRequests(), 0U);
}

// Guards against connections beyond the limit, and against a refusal that a caller can't tell from a crash.
TEST_F(HttpFixture, RefusesConnectionsBeyondTheLimit)
{
    limits_.connections_ = 2;
    listen(echo);
    const RawSocket first(server_->port());
    const RawSocket second(server_->port());
    runUntil([this] { return server_->openConnections() == 2; });
    RawSocket third(server_->port());
    runUntil([&third] { return !third.receive(); });
    EXPECT_EQ(third.received_.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(third.received_.find("not_run"), std::string::npos);
    EXPECT_EQ(server_->openConnections(), 2U);
}

// Guards against a planned stop that cuts requests: those in progress, those in the kernel's queue and those that
// arrive on open connections.
TEST_F(HttpFixture, PlannedStopCutsNoRequest)
{
    std::vector<std::shared_ptr<HttpReply>> kept;
    listen([&kept](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
        if (request.target_ == "/slow") {
            kept.push_back(reply);
        } else {
            echo(request, reply);
        }
    });
    client_.start(call("GET", "/slow"));
    client_.start(call("GET", "/quick"));
    runUntil([this, &kept] { return kept.size() == 1 && results_.size() == 1; });
    RawSocket queued(server_->port());
    server_->stopAccepting();
    queued.send("GET /queued HTTP/1.1\r\n\r\n");
    client_.start(call("GET", "/on-an-idle-connection"));
    runUntil([this, &queued] { return results_.size() == 2 && !queued.receive(); });
    EXPECT_NE(queued.received_.find("GET /queued"), std::string::npos);
    EXPECT_EQ(server_->openRequests(), 1U);
    kept[0]->send(200, "text/plain", "slow");
    kept.clear();
    runUntil([this] { return results_.size() == 3 && server_->openConnections() == 0; });
    for (const HttpResult &result : results_) {
        EXPECT_EQ(result.outcome_, HttpOutcome::Complete);
    }
    client_.start(call("GET", "/"));
    runUntil([this] { return results_.size() == 4; });
    EXPECT_EQ(results_[3].outcome_, HttpOutcome::NotConnected);
}

// Guards against a connection that stays open for more requests because its stream began before the stop.
TEST_F(HttpFixture, ConnectionOfAStreamThatOutlivesTheStopIsClosed)
{
    std::vector<std::shared_ptr<HttpReply>> kept;
    listen([&kept](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        reply->startStream(200, "text/event-stream");
        kept.push_back(reply);
    });
    HttpCall stream = call("GET", "/stream");
    client_.start(stream);
    runUntil([&kept] { return !kept.empty(); });
    server_->closePolitely();
    kept[0]->finish();
    runUntil([this] { return results_.size() == 1; });
    EXPECT_EQ(results_[0].outcome_, HttpOutcome::Complete);
    runUntil([this] { return server_->openConnections() == 0; });
    client_.start(call("GET", "/new-connection"));
    runUntil([&kept] { return kept.size() == 2; });
    kept[1]->finish();
    kept.clear();
}

// Guards against an answer of an earlier request that is taken for the answer of the next one.
TEST_F(HttpFixture, LateAnswerOfAnotherRequestIsSkipped)
{
    RawListener listener;
    HttpCall next = call("POST", "/", "body");
    next.address_ = "127.0.0.1:" + std::to_string(listener.port());
    next.echoHeader_ = "x-id";
    next.echoValue_ = "new";
    client_.start(next);
    runUntil([this, &listener] {
        listener.serve("HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nwrong"
                       "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 5\r\n\r\nright",
                       false);
        return results_.size() == 1;
    });
    EXPECT_EQ(results_[0].outcome_, HttpOutcome::Complete);
    EXPECT_EQ(results_[0].body_, "right");
}

// Guards against a HEAD request whose answer seems to lack its body because another answer came before it.
TEST_F(HttpFixture, AnswerToHeadAfterAnotherAnswerHasNoBody)
{
    for (const char *before : {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 503 Busy\r\nX-Id: old\r\n\r\n"}) {
        RawListener listener;
        HttpCall next = call("HEAD", "/", "body");
        next.address_ = "127.0.0.1:" + std::to_string(listener.port());
        next.echoHeader_ = "x-id";
        next.echoValue_ = "new";
        next.timeout_ = std::chrono::seconds(5);
        results_.clear();
        client_.start(next);
        runUntil([this, &listener, before] {
            listener.serve(std::string(before) + "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 9\r\n\r\n", false);
            return results_.size() == 1;
        });
        EXPECT_EQ(results_[0].outcome_, HttpOutcome::Complete) << before;
        EXPECT_EQ(results_[0].status_, 200) << before;
    }
}

/** \brief A request that is sent again with the id that it had, after calls with other ids on the connection. */
struct RepeatedIdCase
{
    const char *name_;
    int callsBetween_;
    const char *status_; ///< Of the first answer.
};

class RepeatedId : public HttpFixture, public ::testing::WithParamInterface<RepeatedIdCase>
{
public:
    /** \brief Sends a request with an id; the server echoes it. */
    void exchange(RawListener &listener, const std::string &id, const std::string &status)
    {
        HttpCall next = call("POST", "/", "body");
        next.address_ = "127.0.0.1:" + std::to_string(listener.port());
        next.echoHeader_ = "x-id";
        next.echoValue_ = id;
        const std::size_t before = results_.size();
        client_.start(next);
        runUntil([this, &listener, &id, &status, before] {
            listener.serve("HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\nhi", false);
            return results_.size() > before;
        });
        ASSERT_EQ(results_.back().outcome_, HttpOutcome::Complete);
    }
};

// Guards against a refusal that arrives a second time, also late by several requests, and is taken for the answer to
// the same request when it is sent again: the echoed id can't tell them apart.
TEST_P(RepeatedId, GoesOnAnotherConnection)
{
    RawListener listener;
    exchange(listener, "first", GetParam().status_);
    for (int i = 0; i < GetParam().callsBetween_; ++i) {
        exchange(listener, "other" + std::to_string(i), "200 OK");
        EXPECT_TRUE(results_.back().reused_);
    }
    exchange(listener, "first", "200 OK");
    EXPECT_FALSE(results_.back().reused_);
    exchange(listener, "last", "200 OK");
    EXPECT_TRUE(results_.back().reused_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RepeatedId,
                         ::testing::Values(RepeatedIdCase{"RefusedJustBefore", 0, "503 Service Unavailable"},
                                           RepeatedIdCase{"RefusedBeforeOthers", 5, "503 Service Unavailable"},
                                           RepeatedIdCase{"RefusedLongBefore", 400, "503 Service Unavailable"},
                                           RepeatedIdCase{"WrongInstance", 1, "421 Misdirected Request"},
                                           RepeatedIdCase{"Answered", 1, "200 OK"}),
                         [](const ::testing::TestParamInfo<RepeatedIdCase> &info) { return info.param.name_; });

// Guards against a request that is sent where the server still awaits the rest of an earlier request's body.
TEST_F(HttpFixture, ConnectionWithAnUnsentBodyIsNotReused)
{
    RawListener listener;
    address_ = "127.0.0.1:" + std::to_string(listener.port());
    const std::string longBody = "body" + std::string(16 * 1024 * 1024, 'x');
    for (const std::string &body : {longBody, std::string("body")}) {
        client_.start(call("POST", "/", body));
        const std::size_t before = results_.size();
        runUntil([this, &listener, before] {
            listener.serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false);
            return results_.size() > before;
        });
        EXPECT_EQ(results_.back().outcome_, HttpOutcome::Complete);
        EXPECT_FALSE(results_.back().reused_);
    }
}

// Guards against a trailer that is taken for a header, for example one that says that the request was not run.
TEST_F(HttpFixture, TrailersAreNoHeaders)
{
    RawListener listener;
    HttpCall next = call("POST", "/", "body");
    next.address_ = "127.0.0.1:" + std::to_string(listener.port());
    client_.start(next);
    runUntil([this, &listener] {
        listener.serve(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n2\r\nhi\r\n0\r\nX-Late: 1\r\n\r\n", false);
        return results_.size() == 1;
    });
    EXPECT_EQ(results_[0].outcome_, HttpOutcome::Complete);
    EXPECT_EQ(results_[0].headers_.count("x-id"), 1U);
    EXPECT_EQ(results_[0].headers_.count("x-late"), 0U);
}

// Guards against a call that may be sent once only and meets a pooled connection that the server is closing.
TEST_F(HttpFixture, UsesAFreshConnectionIfAsked)
{
    listen(echo);
    for (const bool mayReuse : {true, true, false}) {
        HttpCall next = call("GET", "/");
        next.mayReuse_ = mayReuse;
        const std::size_t before = results_.size();
        client_.start(std::move(next));
        runUntil([this, before] { return results_.size() > before; });
    }
    EXPECT_EQ(server_->openConnections(), 2U);
}

// Guards against a hook that cancels its own call, which destroys the hook while it runs.
TEST_F(HttpFixture, MayBeCancelledFromItsOwnHook)
{
    listen([](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        reply->startStream(200, "text/plain");
        reply->write("one");
        reply->onClosed([reply] {});
    });
    std::uint64_t id = 0;
    const std::shared_ptr<std::string> held = std::make_shared<std::string>("alive");
    HttpCall next = call("GET", "/");
    next.onPart_ = [this, &id, held](int, const std::string &) {
        client_.cancel(id);
        EXPECT_EQ(*held, "alive");
    };
    id = client_.start(std::move(next));
    runUntil([this] { return !results_.empty(); });
    EXPECT_EQ(results_[0].outcome_, HttpOutcome::Cancelled);
}

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes) {
        result += text;
    }
    return result;
}

struct AnswerCase
{
    const char *name_;
    std::string answer_; ///< Sent as it is, then the connection closes if closes_ is set.
    bool closes_;
    HttpOutcome outcome_;
    int status_;
    std::string body_;
};

class ServerAnswer : public HttpFixture, public ::testing::WithParamInterface<AnswerCase>
{
};

// Guards against an answer that is cut, malformed or too long and taken for whole, and a request that is sent twice.
TEST_P(ServerAnswer, GivesItsOutcome)
{
    RawListener listener;
    address_ = "127.0.0.1:" + std::to_string(listener.port());
    HttpCall next = call("POST", "/", "body");
    next.maxResponseBytes_ = 1000;
    next.timeout_ = Duration{GetParam().outcome_ == HttpOutcome::TimedOut ? 200'000 : 30'000'000};
    client_.start(std::move(next));
    runUntil([this, &listener] {
        listener.serve(GetParam().answer_, GetParam().closes_);
        return !results_.empty();
    });
    EXPECT_EQ(results_[0].outcome_, GetParam().outcome_);
    EXPECT_EQ(results_[0].status_, GetParam().status_);
    EXPECT_EQ(results_[0].body_, GetParam().body_);
    listener.serve("", true);
    EXPECT_EQ(listener.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ServerAnswer,
    ::testing::Values(
        AnswerCase{"Whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, HttpOutcome::Complete, 200, "hi"},
        AnswerCase{"UntilClose", "HTTP/1.1 200 OK\r\n\r\nhi", true, HttpOutcome::Complete, 200, "hi"},
        AnswerCase{"AfterInterim",
                   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 No\r\nContent-Length: 2\r\n\r\nhi",
                   false,
                   HttpOutcome::Complete,
                   409,
                   "hi"},
        AnswerCase{"NoContent", "HTTP/1.1 204 No Content\r\n\r\n", false, HttpOutcome::Complete, 204, ""},
        AnswerCase{"Nothing", "", true, HttpOutcome::Interrupted, 0, ""},
        AnswerCase{"HalfAHeader", "HTTP/1.1 200 OK\r\nConte", true, HttpOutcome::Interrupted, 0, ""},
        AnswerCase{
            "HalfABody", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true, HttpOutcome::Interrupted, 200, "hi"},
        AnswerCase{"NoLastChunk",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
                   true,
                   HttpOutcome::Interrupted,
                   200,
                   "hi"},
        AnswerCase{"LengthThenChunks",
                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   true,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"ChunksThenLength",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
                   true,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"TwoLengths",
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 0\r\n\r\nhi",
                   true,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"ListOfLengths",
                   "HTTP/1.1 200 OK\r\nContent-Length: 2, 1\r\n\r\nhi",
                   true,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{
            "NegativeLength", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", true, HttpOutcome::Interrupted, 0, ""},
        AnswerCase{
            "EmptyLength", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nhi", true, HttpOutcome::Interrupted, 0, ""},
        AnswerCase{"LengthThatWraps",
                   "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551618\r\n\r\nhi",
                   true,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"LargestLength",
                   "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\nhi",
                   true,
                   HttpOutcome::Interrupted,
                   200,
                   "hi"},
        AnswerCase{"ChunkSizeThatWraps",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\nhi\r\n0\r\n\r\n",
                   true,
                   HttpOutcome::Interrupted,
                   200,
                   ""},
        AnswerCase{"OtherCoding",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi",
                   true,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"OtherCodingAndLength",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\nhi",
                   true,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"ChunksInAnotherCoding",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                   true,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"CodingInChunks",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                   false,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{
            "StatusZero", "HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nhi", false, HttpOutcome::Interrupted, 0, ""},
        AnswerCase{"StatusBeyondAll",
                   "HTTP/1.1 999 No\r\nContent-Length: 2\r\n\r\nhi",
                   false,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"HeadAfterACutHeader",
                   "HTTP/1.1 200 OK\r\nX-LaHTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nhi",
                   false,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"HeadAfterACutValue",
                   "HTTP/1.1 503 No\r\nX-Last: aHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                   false,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"HeadAfterACutReason",
                   "HTTP/1.1 503 NHTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                   false,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"HeadAfterACutStatus",
                   "HTTP/1.1 50HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                   false,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"HeadAfterACutLine",
                   "HTTP/1.1 503 No\r\nX-Last: a\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                   false,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"ProtocolNameInAValue",
                   "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi",
                   false,
                   HttpOutcome::Complete,
                   200,
                   "hi"},
        AnswerCase{"BareLineFeeds", "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi", true, HttpOutcome::Interrupted, 0, ""},
        AnswerCase{"NotHttp", "220 mail.example ESMTP\r\n", false, HttpOutcome::Interrupted, 0, ""},
        AnswerCase{"EndlessHeader",
                   "HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x'),
                   false,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"EndlessInterimAnswers",
                   repeated("HTTP/1.1 100 Continue\r\n\r\n", 1'000'000),
                   false,
                   HttpOutcome::Interrupted,
                   0,
                   ""},
        AnswerCase{"EndlessChunkExtension",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;" + std::string(1'000'000, 'x'),
                   false,
                   HttpOutcome::Interrupted,
                   200,
                   ""},
        AnswerCase{"EndlessTrailer",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                       + repeated("X: " + std::string(1'000, 'x') + "\r\n", 1'000'000),
                   false,
                   HttpOutcome::Interrupted,
                   200,
                   ""},
        AnswerCase{"TooLong",
                   "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'),
                   false,
                   HttpOutcome::Interrupted,
                   200,
                   std::string(1001, 'x')},
        AnswerCase{
            "NeverEnds", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", false, HttpOutcome::TimedOut, 200, "hi"}),
    [](const ::testing::TestParamInfo<AnswerCase> &info) { return std::string(info.param.name_); });

// Guards against a body that grows so slowly beside its framing that its limit is never reached.
TEST_F(HttpFixture, EndlessFramingOfAShortBodyIsCut)
{
    RawListener listener;
    address_ = "127.0.0.1:" + std::to_string(listener.port());
    HttpCall next = call("POST", "/", "body");
    next.maxResponseBytes_ = 1000;
    client_.start(std::move(next));
    const std::string chunk = "1;" + std::string(8'000, 'x') + "\r\nx\r\n";
    runUntil([this, &listener, &chunk] {
        listener.serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + repeated(chunk, 1'000'000), false);
        return !results_.empty();
    });
    EXPECT_EQ(results_[0].outcome_, HttpOutcome::Interrupted);
    EXPECT_LT(results_[0].body_.size(), 1'000'000 / chunk.size());
}

struct UnsentCase
{
    const char *name_;
    const char *address_; ///< Empty for a port that nothing listens on.
    HttpRequest request_;
};

class UnsentCall : public HttpFixture, public ::testing::WithParamInterface<UnsentCase>
{
};

// Guards against a request that is split or forged by what a caller put into it, and "not sent" that is not true.
TEST_P(UnsentCall, IsNotConnected)
{
    int handled = 0;
    listen([&handled](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
        ++handled;
        echo(request, reply);
    });
    HttpCall next = call("GET", "/");
    next.request_ = GetParam().request_;
    if (*GetParam().address_ != '\0') {
        next.address_ = GetParam().address_;
    }
    client_.start(std::move(next));
    EXPECT_TRUE(results_.empty());
    runUntil([this] { return !results_.empty(); });
    EXPECT_EQ(results_[0].outcome_, HttpOutcome::NotConnected);
    EXPECT_EQ(handled, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    UnsentCall,
    ::testing::Values(UnsentCase{"NoSuchPort", "127.0.0.1:1", {"GET", "/", {}, {}}},
                      UnsentCase{"NoPort", "127.0.0.1", {"GET", "/", {}, {}}},
                      UnsentCase{"PortTooLarge", "127.0.0.1:65536", {"GET", "/", {}, {}}},
                      UnsentCase{"LineEndInHeader", "", {"GET", "/", {{"x-request-id", "a\r\nx: b"}}, {}}},
                      UnsentCase{"LineEndInName", "", {"GET", "/", {{"x\r\ny", "b"}}, {}}},
                      UnsentCase{"LineEndInTarget", "", {"GET", "/ HTTP/1.1\r\nx: b\r\n\r\n", {}, {}}},
                      UnsentCase{"SpaceInMethod", "", {"GET /", "/", {}, {}}},
                      UnsentCase{"NoTarget", "", {"GET", "", {}, {}}}),
    [](const ::testing::TestParamInfo<UnsentCase> &info) { return std::string(info.param.name_); });

// Guards against an address that can't be had and is reported as listening.
TEST_F(HttpFixture, ReportsAnAddressInUse)
{
    listen(echo);
    EXPECT_FALSE(HttpServer::listen(loop_, address_, limits_, echo));
    EXPECT_FALSE(HttpServer::listen(loop_, "nonsense", limits_, echo));
}
