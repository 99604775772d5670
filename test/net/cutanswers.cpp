#include "loopfixture.h"
#include "net/httpclient.h"

using namespace filbertgw;
using filbertgw::testing::AfterAnswer;
using filbertgw::testing::LoopFixture;
using filbertgw::testing::RawListener;

namespace {

/** \brief A whole answer to the call with the id `new`; the server stops after each of its bytes in turn. */
struct CutAnswerCase
{
    const char *name_;
    std::string head_;
    std::string body_; ///< With its framing.
    bool endsByClose_ = false; ///< Neither a length nor chunks: any body is whole if the connection is closed after it.
};

/** \brief How the server stops: on a new connection or one that has carried an exchange, with FIN or RST. */
struct CutManner
{
    const char *name_;
    bool isKept_;
    AfterAnswer end_;
};

class CutAnswer : public LoopFixture, public ::testing::WithParamInterface<std::tuple<CutAnswerCase, CutManner>>
{
public:
    void exchange(const std::string &id, const std::string &answer, AfterAnswer then)
    {
        heads_.clear();
        parts_.clear();
        bool isDone = false;
        HttpCall call;
        call.address_ = "127.0.0.1:" + std::to_string(listener_.port());
        call.request_ = HttpRequest{"POST", "/", {}, "body"};
        call.echoHeader_ = "x-id";
        call.echoValue_ = id;
        call.onHead_ = [this](const HttpHead &head) { heads_.push_back(head); };
        call.onPart_ = [this](int, const std::string &part) { parts_ += part; };
        call.onDone_ = [this, &isDone](const HttpResult &result) {
            result_ = result;
            isDone = true;
        };
        client_.start(std::move(call));
        runUntil([this, &answer, then, &isDone] {
            listener_.serve(answer, then);
            return isDone;
        });
    }

    RawListener listener_;
    HttpClient client_{loop_};
    std::vector<HttpHead> heads_;
    std::string parts_;
    HttpResult result_;
};

const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 2\r\n\r\nhi";

} // namespace

// Guards against an answer that is cut, in its head above all, and passes for a whole one with a short or empty body.
TEST_P(CutAnswer, IsInterruptedAtEachByte)
{
    const CutAnswerCase &answer = std::get<0>(GetParam());
    const CutManner &manner = std::get<1>(GetParam());
    const std::string whole = answer.head_ + answer.body_;
    for (std::size_t size = 0; size < whole.size(); ++size) {
        SCOPED_TRACE("cut after " + std::to_string(size) + " bytes");
        if (manner.isKept_) {
            exchange("old", wholeAnswer, AfterAnswer::KeepOpen);
            ASSERT_EQ(result_.outcome_, HttpOutcome::Complete);
        }
        exchange("new", whole.substr(0, size), manner.end_);
        const bool isHeadWhole = size >= answer.head_.size();
        const bool isWhole = isHeadWhole && answer.endsByClose_ && manner.end_ == AfterAnswer::Close;
        EXPECT_EQ(result_.outcome_, isWhole ? HttpOutcome::Complete : HttpOutcome::Interrupted);
        EXPECT_EQ(result_.reused_, manner.isKept_);
        if (!isHeadWhole) {
            EXPECT_TRUE(heads_.empty());
            EXPECT_EQ(parts_, "");
            EXPECT_EQ(result_.status_, 0) << "a status from a head that isn't whole";
            EXPECT_TRUE(result_.headers_.empty()) << "headers from a head that isn't whole";
        }
        if (isWhole) {
            EXPECT_EQ(parts_, answer.body_.substr(0, size - answer.head_.size()));
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CutAnswer,
    ::testing::Combine(
        ::testing::Values(
            CutAnswerCase{"Length", "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 5\r\n\r\n", "hello"},
            CutAnswerCase{"TwoEqualLengths",
                          "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
                          "hello"},
            CutAnswerCase{"Chunks",
                          "HTTP/1.1 200 OK\r\nX-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n",
                          "5;a=b\r\nhello\r\n0a\r\n0123456789\r\n0\r\nX-Late: 1\r\n\r\n"},
            CutAnswerCase{"NoFraming", "HTTP/1.1 200 OK\r\nX-Id: new\r\n\r\n", "id: 1\ndata: a\n\n", true},
            CutAnswerCase{"Http10NoFraming", "HTTP/1.0 200 OK\r\nX-Id: new\r\n\r\n", "id: 1\ndata: a\n\n", true},
            CutAnswerCase{"Http10Length", "HTTP/1.0 200 OK\r\nX-Id: new\r\nContent-Length: 5\r\n\r\n", "hello"},
            CutAnswerCase{"NoReason", "HTTP/1.1 200 \r\nX-Id: new\r\nContent-Length: 5\r\n\r\n", "hello"},
            CutAnswerCase{
                "FoldedHeader", "HTTP/1.1 200 OK\r\nX-Id: new\r\nX: a\r\n b\r\nContent-Length: 1\r\n\r\n", "h"},
            CutAnswerCase{"AfterInterimAnswers",
                          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Id: new\r\nX-Not-Run: 1\r\n\r\n"
                          "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 5\r\n\r\n",
                          "hello"},
            CutAnswerCase{"AfterAnotherAnswer",
                          "HTTP/1.1 503 No\r\nX-Id: other\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno"
                          "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 5\r\n\r\n",
                          "hello"},
            CutAnswerCase{"Refusal", "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nX-Id: new\r\nContent-Length: 2\r\n\r\n", "no"},
            CutAnswerCase{"NoContent", "HTTP/1.1 204 No Content\r\nX-Id: new\r\nX-Last: 1\r\n\r\n", ""}),
        ::testing::Values(CutManner{"NewClosed", false, AfterAnswer::Close},
                          CutManner{"NewReset", false, AfterAnswer::Reset},
                          CutManner{"KeptClosed", true, AfterAnswer::Close},
                          CutManner{"KeptReset", true, AfterAnswer::Reset})),
    [](const ::testing::TestParamInfo<std::tuple<CutAnswerCase, CutManner>> &info) {
        return std::string(std::get<0>(info.param).name_) + std::get<1>(info.param).name_;
    });
