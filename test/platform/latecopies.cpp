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

    /** \brief Asks for the cache listing on the connection that is kept, which gets \p answer. */
    void list(const std::string &answer)
    {
        bool isListed = false;
        const std::string address = "127.0.0.1:" + std::to_string(listener_.port());
        client_.start(encodeCacheList(address, [&isListed](const CacheListing &) { isListed = true; }));
        listener_.write(answer);
        runUntil([&isListed] { return isListed; });
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

namespace {

/** \brief Writes of an endpoint while it has a request, and what may be concluded from them. */
struct LateCopyCase
{
    const char *name_;
    std::vector<std::string> pieces_; ///< One write each.
    Verdict verdict_;
    std::size_t bodyBytes_ = 0; ///< Of the request; a long one is still being sent when the pieces are written.
    bool isSilent_ = false; ///< The true answer never seems to end.
};

class LateCopy : public EndpointFixture, public ::testing::WithParamInterface<LateCopyCase>
{
};

constexpr std::size_t longBody = 16 * 1024 * 1024;

std::vector<std::string> bytesOf(const std::string &text)
{
    std::vector<std::string> pieces;
    for (const char c : text) {
        pieces.emplace_back(1, c);
    }
    return pieces;
}

std::string repeatedText(const std::string &text, std::size_t times)
{
    std::string result;
    for (std::size_t i = 0; i < times; ++i) {
        result += text;
    }
    return result;
}

/** \brief A refusal without the echoed id. */
std::string anonymousRefusal(const std::string &statusLine)
{
    return "HTTP/1.1 " + statusLine + "\r\nX-Filbertgw-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
}

/** \brief A refusal of another request whose length is \p bytes although its body has four. */
std::string refusalOfLength(std::size_t bytes)
{
    return answerText(busy, "old", "X-Filbertgw-Not-Executed: 1\r\nContent-Length: " + std::to_string(bytes) + "\r\n")
        + "full";
}

/** \brief A refusal of another request in chunks, without the last one. */
std::string refusalWithoutLastChunk()
{
    return answerText(busy, "old", "X-Filbertgw-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n") + "4\r\nfull\r\n";
}

} // namespace

// Guards against a copy of an earlier answer that passes for the answer to the request that has the connection now,
// which would then run at a second endpoint, or whose client would be told that it has not run.
TEST_P(LateCopy, IsNoStatementAboutTheNextRequest)
{
    beRefused("old");
    const Duration timeLeft = GetParam().isSilent_ ? Duration{200'000} : Duration{30'000'000};
    const std::shared_ptr<Exchange> exchange = exchangeInPieces(GetParam().pieces_, GetParam().bodyBytes_, timeLeft);
    EXPECT_EQ(exchange->verdict(), GetParam().verdict_);
    EXPECT_EQ(exchange->isAnswer(200), GetParam().verdict_ == Verdict::Answered);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LateCopy,
    ::testing::Values(
        LateCopyCase{"NoCopy", {successText("new")}, Verdict::Answered},
        LateCopyCase{"HeadersThatNameTheProtocol",
                     {answerText("200 OK",
                                 "new",
                                 "X-Filbertgw-Response-Stamp: s\r\nServer: SimpleHTTP/0.6 Python/3.11\r\n"
                                 "Via: HTTP/1.1 proxy\r\nContent-Length: 5\r\n")
                      + "right"},
                     Verdict::Answered},
        LateCopyCase{"TrueRefusal", {refusalText(busy, "new")}, Verdict::NotRun},
        LateCopyCase{"Refusal", {refusalText(busy, "old"), successText("new")}, Verdict::Answered},
        LateCopyCase{"TooMany", {refusalText("429 Too Many Requests", "old"), successText("new")}, Verdict::Answered},
        LateCopyCase{"Timeout", {refusalText("408 Request Timeout", "old"), successText("new")}, Verdict::Answered},
        LateCopyCase{
            "WrongInstance", {refusalText("421 Misdirected Request", "old"), successText("new")}, Verdict::Answered},
        LateCopyCase{"Success", {successText("old"), successText("new")}, Verdict::Answered},
        LateCopyCase{"Stream", {streamText("old"), streamText("new")}, Verdict::Answered},
        LateCopyCase{"RefusalBeforeAStream", {refusalText(busy, "old") + streamText("new")}, Verdict::Answered},
        LateCopyCase{"Several",
                     {repeatedText(refusalText(busy, "old"), 20), successText("old"), successText("new")},
                     Verdict::Answered},
        LateCopyCase{"BeforeATrueRefusal", {refusalText(busy, "old"), refusalText(busy, "new")}, Verdict::NotRun},
        LateCopyCase{"InOneWrite", {refusalText(busy, "old") + successText("new")}, Verdict::Answered},
        LateCopyCase{"ByteByByte", bytesOf(refusalText(busy, "old") + successText("new")), Verdict::Answered},
        LateCopyCase{"AfterTheAnswer", {successText("new") + refusalText(busy, "old")}, Verdict::Answered},
        LateCopyCase{
            "AfterAStreamByteByByte", bytesOf(streamText("new") + refusalText(busy, "old")), Verdict::Answered},
        LateCopyCase{"WithinTheHead",
                     {"HTTP/1.1 200 OK\r\nX-Filbertgw-Atte" + refusalText(busy, "old") + successText("new")},
                     Verdict::Unknown},
        LateCopyCase{"WithinAStream",
                     {answerText("200 OK", "new", "X-Filbertgw-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n")
                      + "3\r\nrig\r\n" + refusalText(busy, "old") + "2\r\nht\r\n0\r\n\r\n"},
                     Verdict::Unknown},
        LateCopyCase{
            "WhileTheRequestIsSent", {refusalText(busy, "old"), successText("new")}, Verdict::Answered, longBody},
        LateCopyCase{"AloneWhileTheRequestIsSent", {refusalText(busy, "old")}, Verdict::Unknown, longBody, true},
        LateCopyCase{"Alone", {refusalText(busy, "old")}, Verdict::Unknown, 0, true},
        LateCopyCase{"RefusalWithoutAnId", {anonymousRefusal(busy), successText("new")}, Verdict::Unknown},
        LateCopyCase{
            "TooManyWithoutAnId", {anonymousRefusal("429 Too Many Requests"), successText("new")}, Verdict::Unknown},
        LateCopyCase{
            "TimeoutWithoutAnId", {anonymousRefusal("408 Request Timeout"), successText("new")}, Verdict::Unknown},
        LateCopyCase{"WrongInstanceWithoutAnId",
                     {anonymousRefusal("421 Misdirected Request"), successText("new")},
                     Verdict::Unknown},
        LateCopyCase{"ListingWithoutAnId",
                     {"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"held\":[]}", successText("new")},
                     Verdict::Unknown},
        LateCopyCase{"EmptyId", {refusalText(busy, ""), successText("new")}, Verdict::Answered},
        LateCopyCase{"TwoIds", {refusalText(busy, "old, new"), successText("new")}, Verdict::Answered},
        LateCopyCase{"LongerThanItsBody", {refusalOfLength(20), successText("new")}, Verdict::Unknown},
        LateCopyCase{"AsLongAsTheAnswerToo",
                     {refusalOfLength(4 + successText("new").size()), successText("new")},
                     Verdict::Unknown,
                     0,
                     true},
        LateCopyCase{"LongerThanBoth", {refusalOfLength(5'000), successText("new")}, Verdict::Unknown, 0, true},
        LateCopyCase{"NoLastChunk", {refusalWithoutLastChunk(), successText("new")}, Verdict::Unknown},
        LateCopyCase{"NoLastChunkBeforeAStream", {refusalWithoutLastChunk(), streamText("new")}, Verdict::Unknown},
        LateCopyCase{"CutWithinATrailer",
                     {answerText(busy, "old", "X-Filbertgw-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n")
                          + "4\r\nfull\r\n0\r\nX-Late: a",
                      successText("new")},
                     Verdict::Unknown},
        LateCopyCase{"ShorterThanItsBody", {refusalOfLength(2), successText("new")}, Verdict::Unknown},
        LateCopyCase{"UntilTheClose",
                     {answerText(busy, "old", "X-Filbertgw-Not-Executed: 1\r\n") + "full", successText("new")},
                     Verdict::Unknown,
                     0,
                     true},
        LateCopyCase{"TrailerWithTheId",
                     {answerText(busy, "old", "X-Filbertgw-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n")
                      + "4\r\nfull\r\n0\r\nX-Filbertgw-Attempt-Id: new\r\n\r\n" + successText("new")},
                     Verdict::Answered}),
    [](const ::testing::TestParamInfo<LateCopyCase> &info) { return info.param.name_; });

namespace {

const char *const listing = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"held\":[]}";

/** \brief What the endpoint writes for a cache listing, and then for a request on the same connection. */
struct ListingCopyCase
{
    const char *name_;
    std::string toTheListing_;
    std::vector<std::string> toTheRequest_;
    Verdict verdict_;
};

class ListingCopy : public EndpointFixture, public ::testing::WithParamInterface<ListingCopyCase>
{
};

} // namespace

// Guards against an answer to a cache listing, which has no id, or an answer that a listing took in place of its own,
// that passes for the refusal of the request that has the connection next.
TEST_P(ListingCopy, IsNoStatementAboutTheNextRequest)
{
    beRefused("old");
    list(GetParam().toTheListing_);
    const std::shared_ptr<Exchange> exchange = exchangeInPieces(GetParam().toTheRequest_, 0, std::chrono::seconds(30));
    EXPECT_EQ(exchange->verdict(), GetParam().verdict_);
    EXPECT_EQ(exchange->isAnswer(200), GetParam().verdict_ == Verdict::Answered);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ListingCopy,
    ::testing::Values(
        ListingCopyCase{"NoCopy", listing, {successText("new")}, Verdict::Answered},
        ListingCopyCase{"ListingTwice", listing, {listing, successText("new")}, Verdict::Unknown},
        ListingCopyCase{"RefusedListingTwice",
                        anonymousRefusal(busy),
                        {anonymousRefusal(busy), successText("new")},
                        Verdict::Unknown},
        ListingCopyCase{"RefusedListingOnceMoreWithinAHead",
                        anonymousRefusal(busy),
                        {"HTTP/1.1 503 Service Unavailable\r\nX-Filbertgw-Not-Executed: 1" + successText("new")},
                        Verdict::Unknown},
        ListingCopyCase{
            "RefusalTakenByTheListing", refusalText(busy, "old"), {listing, successText("new")}, Verdict::Unknown},
        ListingCopyCase{"RefusalTakenByTheListingAndOnceMore",
                        refusalText(busy, "old"),
                        {refusalText(busy, "old") + successText("new")},
                        Verdict::Answered}),
    [](const ::testing::TestParamInfo<ListingCopyCase> &info) { return info.param.name_; });

} // namespace filbertgw::platform
