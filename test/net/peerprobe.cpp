#include "peerprobe.h"

#include "core/digest.h"

namespace filbertgw::testing {

namespace {

constexpr const char *probeName = "probe";

std::string field(const std::string &text)
{
    return std::to_string(text.size()) + ":" + text;
}

} // namespace

PeerProbe::PeerProbe(LoopFixture &fixture, std::uint16_t port, int receiveBytes)
    : socket_(port, receiveBytes)
    , fixture_(fixture)
{
    socket_.send("GET /peer HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                 "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
    fixture_.runUntil([this] {
        socket_.receive();
        return socket_.received_.find("\r\n\r\n") != std::string::npos;
    });
    position_ = socket_.received_.find("\r\n\r\n") + 4;
}

void PeerProbe::send(const std::string &payload, unsigned opcode)
{
    std::string frame(1, static_cast<char>(0x80U | opcode));
    if (payload.size() < 126) {
        frame.push_back(static_cast<char>(0x80U | payload.size()));
    } else {
        frame.push_back(static_cast<char>(0x80U | 127U));
        for (int shift = 56; shift >= 0; shift -= 8) {
            frame.push_back(static_cast<char>(payload.size() >> shift & 255U));
        }
    }
    frame.append(4, '\0'); // A mask of zeros leaves the payload as it is.
    socket_.send(frame + payload);
}

std::optional<std::string> PeerProbe::takeFrame()
{
    const std::string &bytes = socket_.received_;
    if (bytes.size() < position_ + 2) {
        return std::nullopt;
    }
    std::size_t size = static_cast<unsigned char>(bytes[position_ + 1]);
    std::size_t head = 2;
    const std::size_t extra = size == 126 ? 2 : size == 127 ? 8 : 0;
    if (bytes.size() < position_ + head + extra) {
        return std::nullopt;
    }
    if (extra > 0) {
        size = 0;
        for (std::size_t i = 0; i < extra; ++i) {
            size = size << 8U | static_cast<unsigned char>(bytes[position_ + head + i]);
        }
        head += extra;
    }
    if (bytes.size() < position_ + head + size) {
        return std::nullopt;
    }
    const bool isData = (static_cast<unsigned char>(bytes[position_]) & 15U) == 2;
    const std::string payload = bytes.substr(position_ + head, size);
    position_ += head + size;
    return isData ? std::optional<std::string>(payload) : takeFrame();
}

std::optional<PeerFrame> PeerProbe::receive()
{
    std::optional<std::string> frame;
    fixture_.runUntil([this, &frame] {
        const bool open = socket_.receive();
        frame = takeFrame();
        return frame || !open;
    });
    return frame ? parsePeerFrame(*frame) : std::nullopt;
}

void PeerProbe::waitForClose()
{
    fixture_.runUntil([this] { return !socket_.receive(); });
}

std::string PeerProbe::sendHello(const std::string &key)
{
    const std::optional<PeerFrame> challenge = receive();
    if (!challenge || challenge->type_ != PeerFrameType::Challenge) {
        ADD_FAILURE() << "no challenge";
        return {};
    }
    const std::string nonce = challenge->body_["nonce"].get<std::string>();
    const std::string message = field("client") + field(nonce) + field("own") + field(probeName) + field("");
    const std::string hello =
        encodePeerFrame(PeerFrameType::Hello,
                        0,
                        {},
                        {{"node", probeName}, {"address", ""}, {"nonce", "own"}, {"mac", hmacSha256(key, message)}});
    send(hello);
    return hello;
}

void PeerProbe::open(const std::string &key)
{
    sendHello(key);
    const std::optional<PeerFrame> welcome = receive();
    ASSERT_TRUE(welcome);
    ASSERT_EQ(welcome->type_, PeerFrameType::Welcome);
}

} // namespace filbertgw::testing
