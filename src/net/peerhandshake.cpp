#include "net/peerhandshake.h"

#include "core/digest.h"
#include "net/address.h"

#include <openssl/rand.h>

#include <array>

namespace filbertgw::internal {

namespace {

constexpr std::size_t nonceBytes = 16;
constexpr const char *noAcceptedKey = "no accepted key";

std::string randomNonce()
{
    std::array<unsigned char, nonceBytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return sha256(std::string(bytes.begin(), bytes.end()));
}

/** \brief Joins fields so that no two lists of fields give the same text. */
std::string joinFields(const std::vector<std::string> &fields)
{
    std::string result;
    for (const std::string &field : fields) {
        result += std::to_string(field.size()) + ":" + field;
    }
    return result;
}

std::string textField(const nlohmann::json &body, const char *name)
{
    if (!body.is_object()) {
        return {};
    }
    const nlohmann::json::const_iterator found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

PeerHandshake::Step failed(const char *reason)
{
    return {reason, {}, false};
}

} // namespace

PeerHandshake::PeerHandshake(const PeerSettings &settings, bool isOutgoing)
    : settings_(settings)
    , isOutgoing_(isOutgoing)
{
}

std::string PeerHandshake::challenge()
{
    ownNonce_ = randomNonce();
    return encodePeerFrame(PeerFrameType::Challenge, 0, {}, {{"nonce", ownNonce_}});
}

PeerHandshake::Step PeerHandshake::onFrame(const PeerFrame &frame)
{
    const bool isChallenged = !ownNonce_.empty();
    if (!isOutgoing_ && frame.type_ == PeerFrameType::Hello) {
        return onHello(frame.body_);
    }
    if (isOutgoing_ && frame.type_ == PeerFrameType::Challenge && !isChallenged) {
        return onChallenge(frame.body_);
    }
    if (isOutgoing_ && frame.type_ == PeerFrameType::Welcome && isChallenged) {
        return onWelcome(frame.body_);
    }
    return failed("unexpected frame in the handshake");
}

PeerHandshake::Step PeerHandshake::onHello(const nlohmann::json &hello)
{
    const std::string node = textField(hello, "node");
    const std::string address = textField(hello, "address");
    const std::string nonce = textField(hello, "nonce");
    const std::string mac = textField(hello, "mac");
    if (node.empty() || nonce.empty() || !isProof(mac, {"client", ownNonce_, nonce, node, address})) {
        return failed(noAcceptedKey);
    }
    peer_ = NodeId(node);
    peerAddress_ = address;
    const std::string &self = settings_.self_.value();
    const std::string proof = proofOf({"server", ownNonce_, nonce, self, node});
    return {nullptr, encodePeerFrame(PeerFrameType::Welcome, 0, {}, {{"node", self}, {"mac", proof}}), true};
}

PeerHandshake::Step PeerHandshake::onChallenge(const nlohmann::json &challenge)
{
    peerNonce_ = textField(challenge, "nonce");
    if (peerNonce_.empty()) {
        return failed("no nonce");
    }
    ownNonce_ = randomNonce();
    const std::string address = ownAddress();
    const std::string &self = settings_.self_.value();
    const std::string proof = proofOf({"client", peerNonce_, ownNonce_, self, address});
    const nlohmann::json hello = {{"node", self}, {"address", address}, {"nonce", ownNonce_}, {"mac", proof}};
    return {nullptr, encodePeerFrame(PeerFrameType::Hello, 0, {}, hello), false};
}

PeerHandshake::Step PeerHandshake::onWelcome(const nlohmann::json &welcome)
{
    const std::string node = textField(welcome, "node");
    const std::string mac = textField(welcome, "mac");
    if (node.empty() || !isProof(mac, {"server", peerNonce_, ownNonce_, node, settings_.self_.value()})) {
        return failed(noAcceptedKey);
    }
    peer_ = NodeId(node);
    return {nullptr, {}, true};
}

std::string PeerHandshake::ownAddress() const
{
    // A wildcard or port 0 can't be called back.
    const std::optional<Address> own = parseAddress(settings_.address_);
    const bool isReachable = own && own->port_ != 0 && own->host_ != "0.0.0.0" && own->host_ != "::";
    return isReachable ? settings_.address_ : std::string();
}

bool PeerHandshake::isProof(const std::string &mac, const std::vector<std::string> &fields) const
{
    const std::string message = joinFields(fields);
    bool matches = false;
    for (const std::string &key : settings_.keys_) {
        matches = equalConstantTime(mac, hmacSha256(key, message)) || matches;
    }
    return matches;
}

std::string PeerHandshake::proofOf(const std::vector<std::string> &fields) const
{
    return settings_.keys_.empty() ? std::string() : hmacSha256(settings_.keys_.front(), joinFields(fields));
}

} // namespace filbertgw::internal
