#include "loopfixture.h"
#include "net/httpclient.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace filbertgw;
using filbertgw::testing::AfterAnswer;
using filbertgw::testing::LoopFixture;

namespace {

/** \brief An answer that begins before its request has been read, and how the server ends the connection. */
struct EarlyAnswerCase
{
    const char *name_;
    std::size_t uploadBytes_;
    std::string answer_;
    AfterAnswer end_;
    bool readsUpload_; ///< The server reads the whole request before it ends the connection.
    bool endsAtOnce_; ///< Else once the client has got the head of the answer.
    HttpOutcome outcome_;
};

/** \brief A server that writes its answer once it has read the first bytes of a request. */
class EarlyServer
{
public:
    EarlyServer()
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(::bind(listener_, reinterpret_cast<const sockaddr *>(&address), size), 0);
        EXPECT_EQ(::listen(listener_, 1), 0);
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
    }
    EarlyServer(const EarlyServer &) = delete;
    EarlyServer &operator=(const EarlyServer &) = delete;
    ~EarlyServer()
    {
        end(AfterAnswer::Close);
        ::close(listener_);
    }
    /** \brief Answers a request that has begun to arrive. \return true once it has. */
    bool answer(const std::string &text)
    {
        if (connection_ < 0) {
            connection_ = ::accept(listener_, nullptr, nullptr);
        }
        if (!hasAnswered_ && read() > 0) {
            hasAnswered_ = ::send(connection_, text.data(), text.size(), MSG_NOSIGNAL) > 0;
        }
        return hasAnswered_;
    }
    /** \brief Reads a part of the request. \return its bytes. */
    std::size_t read()
    {
        std::array<char, 1024> buffer{};
        const ssize_t size = connection_ < 0 ? 0 : ::recv(connection_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        const std::size_t bytes = size > 0 ? static_cast<std::size_t>(size) : 0;
        read_ += bytes;
        return bytes;
    }
    void end(AfterAnswer how)
    {
        if (connection_ < 0 || how == AfterAnswer::KeepOpen) {
            return;
        }
        const linger discards{1, 0};
        if (how == AfterAnswer::Reset) {
            ::setsockopt(connection_, SOL_SOCKET, SO_LINGER, &discards, sizeof discards);
        }
        ::close(connection_);
        connection_ = -1;
    }

    std::uint16_t port_ = 0;
    std::size_t read_ = 0; ///< Bytes of the request.

private:
    int listener_;
    int connection_ = -1;
    bool hasAnswered_ = false;
};

class EarlyAnswer : public LoopFixture, public ::testing::WithParamInterface<EarlyAnswerCase>
{
};

} // namespace

// Guards against a part of an answer that passes for the whole one, because the write of the request has taken the
// error of the reset from the socket and the read after it meets a plain end of the connection.
TEST_P(EarlyAnswer, IsWholeOnlyIfTheConnectionEndsInOrder)
{
    EarlyServer server;
    HttpClient client(loop_);
    bool hasHead = false;
    bool isDone = false;
    HttpResult result;
    HttpCall call;
    call.address_ = "127.0.0.1:" + std::to_string(server.port_);
    call.request_ = HttpRequest{"POST", "/", {}, std::string(GetParam().uploadBytes_, 'x')};
    call.onHead_ = [&hasHead](const HttpHead &) { hasHead = true; };
    call.onDone_ = [&isDone, &result](const HttpResult &done) {
        result = done;
        isDone = true;
    };
    client.start(std::move(call));
    runUntil([&server] { return server.answer(GetParam().answer_); });
    if (GetParam().readsUpload_) {
        runUntil([&server] {
            while (server.read() > 0) { }
            return server.read_ > GetParam().uploadBytes_;
        });
    }
    if (!GetParam().endsAtOnce_) {
        runUntil([&hasHead] { return hasHead; });
    }
    server.end(GetParam().end_);
    runUntil([&isDone] { return isDone; });
    EXPECT_EQ(result.outcome_, GetParam().outcome_);
}

namespace {

constexpr std::size_t small = 100'000;
constexpr std::size_t medium = 900'000;
constexpr std::size_t large = 4'000'000;
const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nthe begin of a text";
const std::string events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
const std::string refusal = "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";
const std::string chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n";

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Table,
    EarlyAnswer,
    ::testing::Values(
        EarlyAnswerCase{"ResetAtOnce", large, unframed, AfterAnswer::Reset, false, true, HttpOutcome::Interrupted},
        EarlyAnswerCase{"ResetLater", large, unframed, AfterAnswer::Reset, false, false, HttpOutcome::Interrupted},
        EarlyAnswerCase{"ResetMedium", medium, unframed, AfterAnswer::Reset, false, false, HttpOutcome::Interrupted},
        EarlyAnswerCase{"ResetSmall", small, unframed, AfterAnswer::Reset, false, false, HttpOutcome::Interrupted},
        EarlyAnswerCase{"ClosedUnread", large, unframed, AfterAnswer::Close, false, false, HttpOutcome::Interrupted},
        EarlyAnswerCase{"EventsReset", large, events, AfterAnswer::Reset, false, false, HttpOutcome::Interrupted},
        EarlyAnswerCase{"EventsResetAtOnce", large, events, AfterAnswer::Reset, false, true, HttpOutcome::Interrupted},
        EarlyAnswerCase{"ChunksReset", large, chunks, AfterAnswer::Reset, false, false, HttpOutcome::Interrupted},
        EarlyAnswerCase{"ResetAfterUpload", large, unframed, AfterAnswer::Reset, true, false, HttpOutcome::Interrupted},
        EarlyAnswerCase{"ClosedAfterUpload", large, unframed, AfterAnswer::Close, true, false, HttpOutcome::Complete},
        EarlyAnswerCase{
            "EventsClosedAfterUpload", large, events, AfterAnswer::Close, true, true, HttpOutcome::Complete},
        EarlyAnswerCase{"RefusalReset", large, refusal, AfterAnswer::Reset, false, true, HttpOutcome::Complete},
        EarlyAnswerCase{"RefusalClosed", large, refusal, AfterAnswer::Close, false, true, HttpOutcome::Complete},
        EarlyAnswerCase{"RefusalKeptOpen", large, refusal, AfterAnswer::KeepOpen, false, true, HttpOutcome::Complete}),
    [](const ::testing::TestParamInfo<EarlyAnswerCase> &info) { return info.param.name_; });
