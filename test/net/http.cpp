#include "loopfixture.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <algorithm>

using namespace filbertgw;
using filbertgw::testing::LoopFixture;
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
        BadRequestCase{"BadVersion", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
        BadRequestCase{"NulInHeader", std::string("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 26), "HTTP/1.1 400"}),
    [](const ::testing::TestParamInfo<BadRequestCase> &info) { return std::string(info.param.name_); });
