#include "loopfixture.h"
#include "net/httpclient.h"

using namespace filbertgw;
using filbertgw::testing::AfterAnswer;
using filbertgw::testing::LoopFixture;
using filbertgw::testing::RawListener;

namespace {

/** \brief A head that is no head in the protocol. */
struct BadHeadCase
{
    const char *name_;
    std::string status_;
    std::string field_; ///< A line of the head, or nothing.
};

/** \brief Where it stands in what the server sends. */
enum class HeadPlace : std::uint8_t {
    FirstField,
    LastField,
    WithoutLength, ///< Of an answer that ends with its connection.
    InterimAnswer, ///< Before a sound answer.
    OtherAnswer, ///< A late answer to another request, before a sound one.
    Trailer, ///< After the last chunk of a sound answer.
};

struct HeadPlaceCase
{
    const char *name_;
    HeadPlace place_;
};

std::string answerOf(const BadHeadCase &head, HeadPlace place)
{
    const std::string statusLine = "HTTP/1.1 " + head.status_ + "\r\n";
    const std::string sound = "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 2\r\n\r\nhi";
    switch (place) {
    case HeadPlace::FirstField:
        return statusLine + head.field_ + "X-Id: new\r\nContent-Length: 2\r\n\r\nhi";
    case HeadPlace::LastField:
        return statusLine + "X-Id: new\r\nContent-Length: 2\r\nX-Other: 1\r\n" + head.field_ + "\r\nhi";
    case HeadPlace::WithoutLength:
        return statusLine + "X-Id: new\r\nX-Other: 1\r\n" + head.field_ + "\r\nhi";
    case HeadPlace::InterimAnswer:
        // A sound status of an interim answer in place of that of a final one.
        return "HTTP/1.1 " + (head.field_.empty() ? head.status_ : "103 Early") + "\r\nX-Other: 1\r\n" + head.field_
            + "\r\n" + sound;
    case HeadPlace::OtherAnswer:
        return statusLine + "X-Id: old\r\nContent-Length: 2\r\nX-Other: 1\r\n" + head.field_ + "\r\nno" + sound;
    case HeadPlace::Trailer:
        return "HTTP/1.1 200 OK\r\nX-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n" + head.field_
            + "\r\n";
    }
    return {};
}

class BadHead : public LoopFixture, public ::testing::WithParamInterface<std::tuple<BadHeadCase, HeadPlaceCase>>
{
};

} // namespace

// Guards against bytes that are no answer in the protocol and reach the client as one, or as a part of one.
TEST_P(BadHead, IsNoAnswer)
{
    const BadHeadCase &head = std::get<0>(GetParam());
    const HeadPlace place = std::get<1>(GetParam()).place_;
    if (place == HeadPlace::Trailer && head.field_.empty()) {
        return; // There is no status in a trailer.
    }
    RawListener listener;
    HttpClient client(loop_);
    bool isDone = false;
    HttpResult result;
    std::vector<HttpHead> heads;
    HttpCall call;
    call.address_ = "127.0.0.1:" + std::to_string(listener.port());
    call.request_ = HttpRequest{"POST", "/", {}, "body"};
    call.echoHeader_ = "x-id";
    call.echoValue_ = "new";
    call.onHead_ = [&heads](const HttpHead &reported) { heads.push_back(reported); };
    call.onDone_ = [&isDone, &result](const HttpResult &done) {
        result = done;
        isDone = true;
    };
    client.start(std::move(call));
    runUntil([&listener, &head, place, &isDone] {
        listener.serve(answerOf(head, place), AfterAnswer::Close);
        return isDone;
    });
    EXPECT_EQ(result.outcome_, HttpOutcome::Interrupted) << result.status_ << ' ' << result.body_;
    if (place != HeadPlace::Trailer) {
        EXPECT_TRUE(heads.empty());
        EXPECT_EQ(result.status_, 0);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BadHead,
    ::testing::Combine(::testing::Values(BadHeadCase{"Status000", "000 None", ""},
                                         BadHeadCase{"Status001", "001 None", ""},
                                         BadHeadCase{"Status099", "099 None", ""},
                                         BadHeadCase{"Status600", "600 None", ""},
                                         BadHeadCase{"Status999", "999 None", ""},
                                         BadHeadCase{"StatusOfTwoDigits", "20 OK", ""},
                                         BadHeadCase{"StatusOfFourDigits", "2000 OK", ""},
                                         BadHeadCase{"NegativeStatus", "-20 OK", ""},
                                         BadHeadCase{"StatusWithLetter", "2x0 OK", ""},
                                         BadHeadCase{"BlankInName", "200 OK", "X Y: 1\r\n"},
                                         BadHeadCase{"TabInName", "200 OK", "X\tY: 1\r\n"},
                                         BadHeadCase{"ControlByteInName", "200 OK", "X\x01Y: 1\r\n"},
                                         BadHeadCase{"DeleteInName", "200 OK", "X\x7fY: 1\r\n"},
                                         BadHeadCase{"NulInName", "200 OK", std::string("X\0Y: 1\r\n", 8)},
                                         BadHeadCase{"HighByteInName", "200 OK", "X\x80Y: 1\r\n"},
                                         BadHeadCase{"BlankBeforeColon", "200 OK", "X : 1\r\n"},
                                         BadHeadCase{"TabBeforeColon", "200 OK", "X\t: 1\r\n"},
                                         BadHeadCase{"BlankBeforeName", "200 OK", " X: 1\r\n"},
                                         BadHeadCase{"TabBeforeName", "200 OK", "\tX: 1\r\n"},
                                         BadHeadCase{"BlankBeforeLength", "200 OK", " Content-Length: 1\r\n"},
                                         BadHeadCase{"ControlByteInValue", "200 OK", "X: \x01\r\n"},
                                         BadHeadCase{"NoName", "200 OK", ": 1\r\n"},
                                         BadHeadCase{"NoColon", "200 OK", "X\r\n"}),
                       ::testing::Values(HeadPlaceCase{"First", HeadPlace::FirstField},
                                         HeadPlaceCase{"Last", HeadPlace::LastField},
                                         HeadPlaceCase{"WithoutLength", HeadPlace::WithoutLength},
                                         HeadPlaceCase{"Interim", HeadPlace::InterimAnswer},
                                         HeadPlaceCase{"OtherAnswer", HeadPlace::OtherAnswer},
                                         HeadPlaceCase{"Trailer", HeadPlace::Trailer})),
    [](const ::testing::TestParamInfo<std::tuple<BadHeadCase, HeadPlaceCase>> &info) {
        return std::string(std::get<0>(info.param).name_) + std::get<1>(info.param).name_;
    });
