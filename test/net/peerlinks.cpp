#include "net/peerlinks.h"

#include "peerprobe.h"

using namespace filbertgw;
using filbertgw::testing::LoopFixture;
using filbertgw::testing::PeerProbe;
using filbertgw::testing::RawSocket;
using Json = nlohmann::json;

namespace {

struct Ended
{
    PeerOutcome outcome_;
    Json body_;
};

class PeerFixture : public LoopFixture
{
public:
    static constexpr std::size_t frameBytes = 100'000;

    std::unique_ptr<PeerLinks> listen(const std::string &name, const std::vector<std::string> &keys)
    {
        PeerSettings settings;
        settings.self_ = NodeId(name);
        settings.address_ = "127.0.0.1:0";
        settings.keys_ = keys;
        settings.frameBytes_ = frameBytes;
        settings.queueBytes_ = 1'000'000;
        settings.handshakeTimeout_ = handshakeTimeout_;
        settings.linkTimeout_ = linkTimeout_;
        settings.pingPeriod_ = Duration{50'000};
        settings.requestsPerLink_ = 100;
        Result<std::unique_ptr<PeerLinks>> links = PeerLinks::listen(
            loop_,
            settings,
            [this](const NodeId &from, const std::string &type, const Json &body, std::shared_ptr<PeerReply> reply) {
                ++served_;
                from_ = from;
                handle(type, body, reply);
            });
        return links ? std::move(*links) : nullptr;
    }

    void handle(const std::string &type, const Json &body, const std::shared_ptr<PeerReply> &reply)
    {
        if (type == "echo") {
            reply->finish(body);
        } else if (type == "count") {
            for (int i = 0; i < body.get<int>(); ++i) {
                reply->part(i);
            }
            reply->finish("end");
        } else if (type == "hold") {
            reply->onClosed([this] { ++closed_; });
            held_.push_back(reply);
        } else if (type == "long") {
            reply->finish(std::string(frameBytes, 'x'));
        } else if (type == "flood") {
            reply->onClosed([this] { ++closed_; });
            held_.push_back(reply);
            for (int i = 0; i < 100; ++i) {
                reply->part(std::string(50'000, 'x'));
            }
        }
        // Another type: the reply is dropped.
    }

    static std::string address(const PeerLinks &links)
    {
        return "127.0.0.1:" + std::to_string(links.port());
    }

    PeerLinks::Done done()
    {
        return [this](PeerOutcome outcome, const Json &body) { ended_.push_back(Ended{outcome, body}); };
    }

    PeerOutcome ask(PeerLinks &from, const PeerLinks &to, const std::string &type, const Json &body)
    {
        ended_.clear();
        from.request(address(to), type, body, {}, done());
        runUntil([this] { return !ended_.empty(); });
        return ended_.empty() ? PeerOutcome::NotSent : ended_[0].outcome_;
    }

    // An hour, so that only the tests of timeouts see one close a link.
    Duration handshakeTimeout_{3'600'000'000};
    Duration linkTimeout_{3'600'000'000};
    int served_ = 0;
    int closed_ = 0;
    NodeId from_;
    std::vector<std::shared_ptr<PeerReply>> held_;
    std::vector<Ended> ended_;
};

const std::string key = "0123456789abcdef";
const std::string otherKey = "fedcba9876543210";

} // namespace

// Guards against answers that reach the wrong request, and parts that are lost or reordered.
TEST_F(PeerFixture, AnswersReachTheirRequests)
{
    const std::unique_ptr<PeerLinks> a = listen("a", {key});
    const std::unique_ptr<PeerLinks> b = listen("b", {key});
    int wrong = 0;
    for (int i = 0; i < 50; ++i) {
        PeerLinks &from = i % 2 == 0 ? *a : *b;
        PeerLinks &to = i % 2 == 0 ? *b : *a;
        const std::shared_ptr<int> next = std::make_shared<int>(0);
        from.request(
            address(to),
            "count",
            i,
            [&wrong, next](const Json &body) { wrong += body == (*next)++ ? 0 : 1; },
            [this, &wrong, next, i](PeerOutcome outcome, const Json &body) {
                wrong += outcome == PeerOutcome::Finished && body == "end" && *next == i ? 0 : 1;
                ended_.push_back(Ended{outcome, body});
            });
    }
    runUntil([this] { return ended_.size() == 50; });
    EXPECT_EQ(wrong, 0);
    EXPECT_EQ(a->openLinks(), 2U);
}

struct KeyCase
{
    const char *name_;
    std::vector<std::string> asking_;
    std::vector<std::string> asked_;
    PeerOutcome outcome_;
};

class PeerKeys : public PeerFixture, public ::testing::WithParamInterface<KeyCase>
{
};

// Guards against a rotation of keys that cuts nodes off, and against a node without the key that is served.
TEST_P(PeerKeys, DecideWhoIsServed)
{
    const std::unique_ptr<PeerLinks> asking = listen("asking", GetParam().asking_);
    const std::unique_ptr<PeerLinks> asked = listen("asked", GetParam().asked_);
    EXPECT_EQ(ask(*asking, *asked, "echo", "x"), GetParam().outcome_);
    const bool isServed = GetParam().outcome_ == PeerOutcome::Finished;
    EXPECT_EQ(served_, isServed ? 1 : 0);
    EXPECT_EQ(from_, NodeId(isServed ? "asking" : ""));
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    PeerKeys,
    ::testing::Values(KeyCase{"SameKey", {key}, {key}, PeerOutcome::Finished},
                      KeyCase{"AskingSignsWithTheOldKey", {key, otherKey}, {otherKey, key}, PeerOutcome::Finished},
                      KeyCase{"AskingAcceptsTheNewKey", {key, otherKey}, {key}, PeerOutcome::Finished},
                      KeyCase{"NoCommonKey", {key}, {otherKey}, PeerOutcome::NotSent},
                      KeyCase{"AskedSignsWithAnUnknownKey", {key}, {otherKey, key}, PeerOutcome::NotSent}),
    [](const ::testing::TestParamInfo<KeyCase> &info) { return std::string(info.param.name_); });

// Guards against a rotation that closes links in use or that new links don't follow.
TEST_F(PeerFixture, RotatesKeysWithoutAStop)
{
    const std::unique_ptr<PeerLinks> a = listen("a", {key});
    const std::unique_ptr<PeerLinks> b = listen("b", {key});
    EXPECT_EQ(ask(*a, *b, "echo", 1), PeerOutcome::Finished);
    a->setKeys({otherKey});
    b->setKeys({otherKey});
    EXPECT_EQ(ask(*a, *b, "echo", 2), PeerOutcome::Finished);
    EXPECT_EQ(b->openLinks(), 1U);
    EXPECT_EQ(ask(*b, *a, "echo", 3), PeerOutcome::Finished);
    PeerProbe probe(*this, b->port());
    probe.sendHello(key);
    probe.waitForClose();
}

struct EndCase
{
    const char *name_;
    const char *type_;
    Json body_;
    PeerOutcome outcome_;
    int served_;
};

class PeerEnds : public PeerFixture, public ::testing::WithParamInterface<EndCase>
{
};

// Guards against requests that never end, and against "not sent" for one that the peer has seen.
TEST_P(PeerEnds, AreReportedTruthfully)
{
    const std::unique_ptr<PeerLinks> a = listen("a", {key});
    const std::unique_ptr<PeerLinks> b = listen("b", {key});
    EXPECT_EQ(ask(*a, *b, GetParam().type_, GetParam().body_), GetParam().outcome_);
    EXPECT_EQ(served_, GetParam().served_);
    EXPECT_EQ(ask(*a, *b, "echo", "the link is usable"), PeerOutcome::Finished);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    PeerEnds,
    ::testing::Values(EndCase{"ReplyDropped", "drop", {}, PeerOutcome::Broken, 1},
                      EndCase{"AnswerTooLong", "long", {}, PeerOutcome::Broken, 1},
                      EndCase{"RequestTooLong", "echo", std::string(100'001, 'x'), PeerOutcome::NotSent, 0},
                      EndCase{"EmptyType", "", {}, PeerOutcome::NotSent, 0}),
    [](const ::testing::TestParamInfo<EndCase> &info) { return std::string(info.param.name_); });

// Guards against a cancelled request, or one whose link is cut, that the peer goes on serving.
TEST_F(PeerFixture, CancelAndCutReachTheServingSide)
{
    std::unique_ptr<PeerLinks> a = listen("a", {key});
    const std::unique_ptr<PeerLinks> b = listen("b", {key});
    const std::uint64_t first = a->request(address(*b), "hold", {}, {}, done());
    a->request(address(*b), "hold", {}, {}, done());
    runUntil([this] { return held_.size() == 2; });
    a->cancel(first);
    runUntil([this] { return closed_ == 1; });
    EXPECT_TRUE(ended_.empty());
    a.reset();
    runUntil([this] { return closed_ == 2; });
}

// Guards against a request that hangs when the peer goes away after it was sent.
TEST_F(PeerFixture, RequestsOfALostLinkAreBroken)
{
    const std::unique_ptr<PeerLinks> a = listen("a", {key});
    std::unique_ptr<PeerLinks> b = listen("b", {key});
    a->request(address(*b), "hold", {}, {}, done());
    runUntil([this] { return held_.size() == 1; });
    const std::string gone = address(*b);
    b.reset();
    runUntil([this] { return ended_.size() == 1; });
    EXPECT_EQ(ended_[0].outcome_, PeerOutcome::Broken);
    a->request(gone, "echo", {}, {}, done());
    runUntil([this] { return ended_.size() == 2; });
    EXPECT_EQ(ended_[1].outcome_, PeerOutcome::NotSent);
}

struct BadFrameCase
{
    const char *name_;
    bool isProven_; ///< Sent after the keyed handshake.
    std::string payload_;
    unsigned opcode_ = 2;
};

class BadFrame : public PeerFixture, public ::testing::WithParamInterface<BadFrameCase>
{
};

// Guards against malformed input that is served, kills the process or leaves the link open.
TEST_P(BadFrame, ClosesTheLink)
{
    const std::unique_ptr<PeerLinks> links = listen("a", {key});
    PeerProbe probe(*this, links->port());
    if (GetParam().isProven_) {
        probe.open(key);
    }
    probe.send(GetParam().payload_, GetParam().opcode_);
    probe.waitForClose();
    EXPECT_EQ(served_, 0);
    EXPECT_EQ(links->openLinks(), 0U);
}

namespace {

std::string cbor(const Json &value)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(value);
    return std::string(bytes.begin(), bytes.end());
}

Json nestedArrays(int levels)
{
    return levels == 0 ? Json(0) : Json::array({nestedArrays(levels - 1)});
}

std::string request(std::uint64_t id)
{
    return encodePeerFrame(PeerFrameType::Request, id, "echo", "x");
}

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Table,
    BadFrame,
    ::testing::Values(
        BadFrameCase{"RequestBeforeHello", false, request(1)},
        BadFrameCase{"WelcomeFromAClient", false, encodePeerFrame(PeerFrameType::Welcome, 0, {}, {{"node", "x"}})},
        BadFrameCase{"HelloWithoutFields", false, encodePeerFrame(PeerFrameType::Hello, 0, {}, Json::object())},
        BadFrameCase{"HelloWithNumbers",
                     false,
                     encodePeerFrame(PeerFrameType::Hello, 0, {}, {{"node", 1}, {"nonce", 2}, {"mac", 3}})},
        BadFrameCase{"HelloWithWrongMac",
                     false,
                     encodePeerFrame(PeerFrameType::Hello, 0, {}, {{"node", "n"}, {"nonce", "n"}, {"mac", "00"}})},
        BadFrameCase{"LongFrameBeforeHello", false, std::string(5000, 'x')},
        BadFrameCase{"Text", true, request(1), 1},
        BadFrameCase{"NotCbor", true, "\xff\xff\xff"},
        BadFrameCase{"Empty", true, ""},
        BadFrameCase{"Truncated", true, request(1).substr(0, request(1).size() - 1)},
        BadFrameCase{"TrailingBytes", true, request(1) + "x"},
        BadFrameCase{"Array", true, cbor(Json::array({1, 2}))},
        BadFrameCase{"WrongVersion", true, cbor({{"v", 2}, {"t", "request"}, {"id", 1}, {"name", "echo"}})},
        BadFrameCase{"TypeIsNumber", true, cbor({{"v", 1}, {"t", 5}, {"id", 1}})},
        BadFrameCase{"IdIsText", true, cbor({{"v", 1}, {"t", "request"}, {"id", "1"}, {"name", "echo"}})},
        BadFrameCase{"NameIsMissing", true, cbor({{"v", 1}, {"t", "request"}, {"id", 1}})},
        BadFrameCase{"NotUtf8", true, cbor({{"v", 1}, {"t", "part"}, {"id", 1}, {"body", "\xc3\x28"}})},
        BadFrameCase{"UnfinishedArrays", true, std::string(90'000, '\x81')},
        BadFrameCase{"NestedArrays", true, encodePeerFrame(PeerFrameType::Part, 1, {}, nestedArrays(64))},
        BadFrameCase{"NestedIndefiniteText", true, std::string(90'000, '\x7f')},
        BadFrameCase{"HugeClaimedArray", true, std::string("\x9b\x00\xff\xff\xff\xff\xff\xff\xff", 9)},
        BadFrameCase{"HugeClaimedText", true, std::string("\x7b\xff\xff\xff\xff\xff\xff\xff\xff", 9)},
        BadFrameCase{"LongFrame", true, std::string(PeerFixture::frameBytes + 1, 'x')}),
    [](const ::testing::TestParamInfo<BadFrameCase> &info) { return std::string(info.param.name_); });

// Guards against a recorded handshake that opens a second link.
TEST_F(PeerFixture, RefusesAReplayedHello)
{
    const std::unique_ptr<PeerLinks> links = listen("a", {key});
    PeerProbe first(*this, links->port());
    const std::string hello = first.sendHello(key);
    const std::optional<PeerFrame> welcome = first.receive();
    ASSERT_TRUE(welcome);
    EXPECT_EQ(welcome->type_, PeerFrameType::Welcome);
    PeerProbe second(*this, links->port());
    ASSERT_TRUE(second.receive());
    second.send(hello);
    second.waitForClose();
    EXPECT_EQ(links->openLinks(), 1U);
}

// Guards against a request id that is used twice and so would cross two answers.
TEST_F(PeerFixture, ClosesALinkThatReusesAnOpenId)
{
    const std::unique_ptr<PeerLinks> links = listen("a", {key});
    PeerProbe probe(*this, links->port());
    probe.open(key);
    probe.send(encodePeerFrame(PeerFrameType::Request, 7, "hold", {}));
    probe.send(encodePeerFrame(PeerFrameType::Request, 7, "hold", {}));
    probe.waitForClose();
    EXPECT_EQ(served_, 1);
    runUntil([this] { return closed_ == 1; });
}

// Guards against memory that grows with the requests a peer keeps open.
TEST_F(PeerFixture, ClosesALinkWithTooManyOpenRequests)
{
    const std::unique_ptr<PeerLinks> links = listen("a", {key});
    PeerProbe probe(*this, links->port());
    probe.open(key);
    for (std::uint64_t id = 1; id <= 101; ++id) {
        probe.send(encodePeerFrame(PeerFrameType::Request, id, "hold", {}));
    }
    probe.waitForClose();
    EXPECT_EQ(served_, 100);
    runUntil([this] { return closed_ == 100; });
}

// Guards against memory that grows while a peer does not read.
TEST_F(PeerFixture, ClosesALinkThatReadsTooSlowly)
{
    const std::unique_ptr<PeerLinks> links = listen("a", {key});
    PeerProbe probe(*this, links->port(), 4096);
    probe.open(key);
    probe.send(encodePeerFrame(PeerFrameType::Request, 1, "flood", {}));
    runUntil([this] { return closed_ == 1; });
    EXPECT_EQ(links->openLinks(), 0U);
}

// Guards against a peer that is gone without a word and keeps its link: it never answers a ping.
TEST_F(PeerFixture, ClosesAHalfOpenLink)
{
    linkTimeout_ = Duration{300'000};
    const std::unique_ptr<PeerLinks> links = listen("a", {key});
    PeerProbe probe(*this, links->port());
    probe.open(key);
    probe.send(encodePeerFrame(PeerFrameType::Request, 1, "hold", {}));
    runUntil([this] { return closed_ == 1; });
    EXPECT_EQ(links->openLinks(), 0U);
}

struct SilentCase
{
    const char *name_;
    std::string bytes_;
};

class SilentPeer : public PeerFixture, public ::testing::WithParamInterface<SilentCase>
{
};

// Guards against connections that never prove a key and stay.
TEST_P(SilentPeer, IsCutOff)
{
    handshakeTimeout_ = Duration{300'000};
    const std::unique_ptr<PeerLinks> links = listen("a", {key});
    RawSocket socket(links->port());
    socket.send(GetParam().bytes_);
    runUntil([&socket] { return !socket.receive(); });
    EXPECT_EQ(served_, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    SilentPeer,
    ::testing::Values(SilentCase{"Nothing", ""},
                      SilentCase{"HalfAnUpgrade", "GET /peer HTTP/1.1\r\nUpgrade: webs"},
                      SilentCase{"EndlessHeader", "GET /peer HTTP/1.1\r\nA: " + std::string(60'000, 'x')},
                      SilentCase{"NoHello",
                                 "GET /peer HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                 "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"}),
    [](const ::testing::TestParamInfo<SilentCase> &info) { return std::string(info.param.name_); });
