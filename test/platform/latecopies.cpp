#include "../net/loopfixture.h"
#include "net/httpclient.h"
#include "platform/engineprotocol.h"

using filbertgw::testing::LoopFixture;
using filbertgw::testing::RawListener;

namespace filbertgw::platform {

namespace {

/** \brief What the gateway concludes from an exchange with an endpoint. */
enum class Verdict {
    Answered, ///< The whole answer, with the endpoint's signature and the echoed id.
    NotRun, ///< The request may be sent to another endpoint, or the client be told to try again.
    Unknown, ///< The request may have run.
};

/** \brief An answer as endpoints write it. */
std::string answerText(const std::string &statusLine, const std::string &id, const std::string &more)
{
    return "HTTP/1.1 " + statusLine + "\r\nX-Filbertgw-Attempt-Id: " + id + "\r\n" + more + "\r\n";
}

std::string refusalText(const std::string &statusLine, const std::string &id)
{
    return answerText(statusLine,
                      id,
                      "X-Filbertgw-Not-Executed: 1\r\nServer: engine 1\r\nContent-Type: text/plain\r\n"
                      "Retry-After: 0.25\r\nContent-Length: 4\r\n")
        + "full";
}

std::string successText(const std::string &id)
{
    return answerText("200 OK", id, "X-Filbertgw-Response-Stamp: s\r\nContent-Length: 5\r\n") + "right";
}

std::string failureText(const std::string &id)
{
    return answerText("500 Internal Server Error", id, "X-Filbertgw-Response-Stamp: s\r\nContent-Length: 5\r\n")
        + "right";
}

std::string streamText(const std::string &id)
{
    return answerText("200 OK", id, "X-Filbertgw-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n")
        + "5\r\nright\r\n0\r\n\r\n";
}

const char *const busy = "503 Service Unavailable";

/** \brief Sends attempts to an endpoint that writes any bytes. */
class EndpointFixture : public LoopFixture
{
public:
    struct Exchange
    {
        AttemptHead head_;
        std::string body_;
        std::optional<AttemptEnd> end_;

        bool isAnswer(int status) const
        {
            return end_ == AttemptEnd::Complete && head_.fromEndpoint_ && head_.status_ == status && body_ == "right";
        }

        /** \brief As GatewayCall judges it; a signed answer is passed on, and its status may be a promise. */
        Verdict verdict() const
        {
            const bool isPromise =
                head_.status_ == 408 || head_.status_ == 421 || head_.status_ == 429 || head_.status_ == 503;
            if (end_ != AttemptEnd::Complete) {
                return end_ == AttemptEnd::NotSent ? Verdict::NotRun : Verdict::Unknown;
            }
            if (head_.notRun_ || head_.wrongInstance_ || (head_.fromEndpoint_ && isPromise)) {
                return Verdict::NotRun;
            }
            return head_.fromEndpoint_ ? Verdict::Answered : Verdict::Unknown;
        }
    };

    static AttemptHandlers handlersOf(const std::shared_ptr<Exchange> &exchange)
    {
        AttemptHandlers handlers;
        handlers.onHead_ = [exchange](const AttemptHead &head) { exchange->head_ = head; };
        handlers.onPart_ = [exchange](const std::string &part) { exchange->body_ += part; };
        handlers.onEnd_ = [exchange](AttemptEnd ended) { exchange->end_ = ended; };
        return handlers;
    }

    std::shared_ptr<Exchange> start(const std::string &id, std::size_t bodyBytes, Duration timeLeft)
    {
        const std::shared_ptr<GatewayRequest> request = std::make_shared<GatewayRequest>();
        request->id_ = id;
        request->method_ = "POST";
        request->target_ = "/";
        request->headers_ = {{"x-filbertgw-attempt-id", id}};
        EndpointAttempt attempt;
        attempt.address_ = "127.0.0.1:" + std::to_string(listener_.port());
        attempt.request_ = request;
        attempt.body_ = std::make_shared<const std::string>("body" + std::string(bodyBytes, 'x'));
        attempt.timeLeft_ = timeLeft;
        attempt.maxIdleAge_ = std::chrono::minutes(1);
        attempt.maxResponseBytes_ = 100'000;
        const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
        client_.start(encodeAttempt(attempt, handlersOf(exchange)));
        return exchange;
    }

    /** \brief A request that the endpoint refuses; its connection is kept. */
    void beRefused(const std::string &id)
    {
        const std::shared_ptr<Exchange> exchange = start(id, 0, std::chrono::seconds(30));
        runUntil([this, &exchange, &id] {
            listener_.serve(refusalText(busy, id), false);
            return exchange->end_.has_value();
        });
        ASSERT_EQ(exchange->verdict(), Verdict::NotRun);
    }

    /** \brief Sends a request and answers it with \p pieces, each in a write of its own. */
    std::shared_ptr<Exchange>
    exchangeInPieces(const std::vector<std::string> &pieces, std::size_t bodyBytes, Duration timeLeft)
    {
        const int before = listener_.requests();
        const std::shared_ptr<Exchange> exchange = start("new", bodyBytes, timeLeft);
        std::size_t written = 0;
        runUntil([this, &exchange, &pieces, before, &written] {
            if (listener_.requests() == before) {
                listener_.serve(pieces[written++], false);
                written = listener_.requests() == before ? 0 : written;
            } else if (written < pieces.size()) {
                listener_.write(pieces[written++]);
            }
            return exchange->end_.has_value();
        });
        return exchange;
    }

    RawListener listener_;
    HttpClient client_{loop_};
};

/** \brief A kind of answer of which the endpoint writes a copy that ends early. */
struct CutCopyCase
{
    const char *name_;
    std::string copy_;
    std::string answer_; ///< The true one.
    int status_ = 200; ///< Of the true answer.
};

class CutCopy : public EndpointFixture, public ::testing::WithParamInterface<CutCopyCase>
{
};

} // namespace

// Guards against a copy of an earlier answer that ends anywhere, also within its head, and makes another answer of the
// true one that follows: the request would run at a second endpoint, or its client be told that it has not run.
TEST_P(CutCopy, IsNoStatementAboutTheNextRequest)
{
    const std::string &copy = GetParam().copy_;
    for (std::size_t cut = 1; cut <= copy.size(); ++cut) {
        SCOPED_TRACE(copy.substr(0, cut));
        beRefused("old" + std::to_string(cut));
        const std::shared_ptr<Exchange> exchange =
            exchangeInPieces({copy.substr(0, cut) + GetParam().answer_}, 0, std::chrono::seconds(30));
        EXPECT_NE(exchange->verdict(), Verdict::NotRun);
        EXPECT_TRUE(exchange->verdict() == Verdict::Unknown || exchange->isAnswer(GetParam().status_))
            << exchange->head_.status_ << ' ' << exchange->body_;
        EXPECT_TRUE(cut != copy.size() || exchange->isAnswer(GetParam().status_));
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CutCopy,
    ::testing::Values(CutCopyCase{"Refusal", refusalText(busy, "old"), successText("new")},
                      CutCopyCase{"TooMany", refusalText("429 Too Many Requests", "old"), successText("new")},
                      CutCopyCase{"Timeout", refusalText("408 Request Timeout", "old"), successText("new")},
                      CutCopyCase{"WrongInstance", refusalText("421 Misdirected Request", "old"), successText("new")},
                      CutCopyCase{"RefusalBeforeAStream", refusalText(busy, "old"), streamText("new")},
                      CutCopyCase{"Success", successText("old"), successText("new")},
                      CutCopyCase{"SuccessBeforeAFailure", successText("old"), failureText("new"), 500},
                      CutCopyCase{"StreamBeforeAFailure", streamText("old"), failureText("new"), 500},
                      CutCopyCase{"Stream", streamText("old"), streamText("new")}),
    [](const ::testing::TestParamInfo<CutCopyCase> &info) { return info.param.name_; });

} // namespace filbertgw::platform
