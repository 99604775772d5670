#include "loopfixture.h"
#include "net/httpserver.h"

using namespace filbertgw;
using filbertgw::testing::LoopFixture;
using filbertgw::testing::RawSocket;

namespace {

/** \brief Why the server does not send the end of a stream. */
enum class BreakCause : std::uint8_t {
    Aborted,
    AbortedWithUnsentParts,
    ServerDestroyed, ///< As at the end of a process that has got SIGTERM.
    UnreadPartsPileUp,
    EndIsNotRead, ///< The stream has ended, but the caller does not read so far.
};

struct BrokenStreamCase
{
    const char *name_;
    const char *version_;
    BreakCause cause_;
};

class BrokenStream : public LoopFixture, public ::testing::WithParamInterface<BrokenStreamCase>
{
public:
    void listen()
    {
        HttpLimits limits;
        limits.idleSeconds_ = 1;
        limits.writeBufferBytes_ = GetParam().cause_ == BreakCause::UnreadPartsPileUp ? 100'000 : 100'000'000;
        Result<std::unique_ptr<HttpServer>> server = HttpServer::listen(
            loop_, "127.0.0.1:0", limits, [this](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
                reply->startStream(200, "text/event-stream");
                reply->write(event_);
                reply_ = reply;
            });
        ASSERT_TRUE(server);
        server_ = std::move(*server);
    }

    void breakOff()
    {
        switch (GetParam().cause_) {
        case BreakCause::AbortedWithUnsentParts:
            reply_->write(lastEvent_);
            reply_->abort();
            break;
        case BreakCause::Aborted:
            reply_->abort();
            break;
        case BreakCause::ServerDestroyed:
            server_.reset();
            break;
        case BreakCause::UnreadPartsPileUp:
        case BreakCause::EndIsNotRead:
            for (int i = 0; i < 20; ++i) {
                reply_->write(std::string(1'000'000, 'x'));
            }
            reply_->finish();
            break;
        }
    }

    const std::string event_ = "id: 1\ndata: a\n\n";
    const std::string lastEvent_ = "id: 2\ndata: b\n\n";
    std::unique_ptr<HttpServer> server_;
    std::shared_ptr<HttpReply> reply_;
};

} // namespace

// Guards against a stream that breaks off and seems complete: HTTP/1.0 has no other sign of its end than the close.
TEST_P(BrokenStream, DoesNotLookComplete)
{
    listen();
    constexpr int smallBuffer = 4096;
    RawSocket socket(server_->port(), smallBuffer);
    socket.send(std::string("GET / HTTP/") + GetParam().version_ + "\r\n\r\n");
    runUntil([this, &socket] { return socket.receive() && socket.received_.find(event_) != std::string::npos; });
    breakOff();
    runUntil([this] { return !server_ || server_->openConnections() == 0; });
    runUntil([&socket] { return !socket.receive(); });
    EXPECT_EQ(socket.received_.find("0\r\n\r\n"), std::string::npos);
    const bool isHttp10 = std::string(GetParam().version_) == "1.0";
    EXPECT_EQ(socket.received_.find("chunked") == std::string::npos, isHttp10);
    EXPECT_TRUE(!isHttp10 || socket.isReset_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BrokenStream,
                         ::testing::Values(BrokenStreamCase{"Http11Aborted", "1.1", BreakCause::Aborted},
                                           BrokenStreamCase{"Http11Unsent", "1.1", BreakCause::AbortedWithUnsentParts},
                                           BrokenStreamCase{"Http11Stop", "1.1", BreakCause::ServerDestroyed},
                                           BrokenStreamCase{"Http11PilesUp", "1.1", BreakCause::UnreadPartsPileUp},
                                           BrokenStreamCase{"Http11UnreadEnd", "1.1", BreakCause::EndIsNotRead},
                                           BrokenStreamCase{"Http10Aborted", "1.0", BreakCause::Aborted},
                                           BrokenStreamCase{"Http10Unsent", "1.0", BreakCause::AbortedWithUnsentParts},
                                           BrokenStreamCase{"Http10Stop", "1.0", BreakCause::ServerDestroyed},
                                           BrokenStreamCase{"Http10PilesUp", "1.0", BreakCause::UnreadPartsPileUp},
                                           BrokenStreamCase{"Http10UnreadEnd", "1.0", BreakCause::EndIsNotRead}),
                         [](const ::testing::TestParamInfo<BrokenStreamCase> &info) { return info.param.name_; });

class FinishedStream : public LoopFixture, public ::testing::WithParamInterface<const char *>
{
};

// Guards against a stream that has ended and is cut by a reset.
TEST_P(FinishedStream, ArrivesWholeAndIsNotReset)
{
    const std::string body(300'000, 'x');
    Result<std::unique_ptr<HttpServer>> server = HttpServer::listen(
        loop_, "127.0.0.1:0", HttpLimits(), [&body](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
            reply->startStream(200, "text/plain");
            reply->write(body);
            reply->finish();
        });
    ASSERT_TRUE(server);
    constexpr int smallBuffer = 4096;
    RawSocket socket((*server)->port(), smallBuffer);
    socket.send(std::string("GET / HTTP/") + GetParam() + "\r\nConnection: close\r\n\r\n");
    runUntil([&socket] { return !socket.receive(); });
    EXPECT_FALSE(socket.isReset_);
    EXPECT_NE(socket.received_.find(body), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Table, FinishedStream, ::testing::Values("1.0", "1.1"));

// Guards against events that were written before the break and never reach the caller.
TEST_F(LoopFixture, PartsWrittenBeforeAnAbortArrive)
{
    Result<std::unique_ptr<HttpServer>> server = HttpServer::listen(
        loop_, "127.0.0.1:0", HttpLimits(), [](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
            reply->startStream(200, "text/event-stream");
            reply->write("id: 1\n\n");
            reply->abort();
        });
    ASSERT_TRUE(server);
    RawSocket socket((*server)->port());
    socket.send("GET / HTTP/1.1\r\n\r\n");
    runUntil([&socket] { return !socket.receive(); });
    EXPECT_NE(socket.received_.find("id: 1\n\n"), std::string::npos);
    EXPECT_EQ(socket.received_.find("0\r\n\r\n"), std::string::npos);
    EXPECT_EQ((*server)->openRequests(), 0U);
}
