#include "net/peerframe.h"

#include "core/cbor.h"

#include <string_view>

namespace filbertgw {

namespace internal {

constexpr unsigned frameVersion = 1;
void appendHead(std::string &out, CborMajorType major, std::uint64_t argument)
{
    const unsigned type = static_cast<unsigned>(major) << 5U;
    if (argument < 24) {
        out.push_back(static_cast<char>(type | argument));
        return;
    }
    unsigned width = 0; // 1, 2, 4 or 8 bytes, as a power of two.
    while (width < 3 && argument >> (8U << width) != 0) {
        ++width;
    }
    out.push_back(static_cast<char>(type | (24U + width)));
    for (unsigned shift = 8U << width; shift > 0; shift -= 8) {
        out.push_back(static_cast<char>(argument >> (shift - 8) & 255U));
    }
}

void appendText(std::string &out, std::string_view text)
{
    appendHead(out, CborMajorType::Text, text.size());
    out += text;
}

bool needsId(PeerFrameType type)
{
    return type != PeerFrameType::Challenge && type != PeerFrameType::Hello && type != PeerFrameType::Welcome
        && type != PeerFrameType::Unknown;
}

} // namespace internal

std::string encodePeerFrame(PeerFrameType type, std::uint64_t id, const std::string &name, const nlohmann::json &body)
{
    std::string result;
    internal::appendHead(result, internal::CborMajorType::Map, name.empty() ? 4 : 5);
    internal::appendText(result, "v");
    internal::appendHead(result, internal::CborMajorType::Unsigned, internal::frameVersion);
    internal::appendText(result, "t");
    internal::appendText(result, nameOf(type));
    internal::appendText(result, "id");
    internal::appendHead(result, internal::CborMajorType::Unsigned, id);
    if (!name.empty()) {
        internal::appendText(result, "name");
        internal::appendText(result, name);
    }
    internal::appendText(result, "body");
    nlohmann::json::to_cbor(body, nlohmann::detail::output_adapter<char>(result));
    return result;
}

std::optional<PeerFrame> parsePeerFrame(const std::string &bytes)
{
    nlohmann::json frame = decodeCbor(bytes, CborText::Utf8);
    if (!frame.is_object()) {
        return std::nullopt;
    }
    const auto version = frame.find("v");
    const auto type = frame.find("t");
    if (version == frame.end() || *version != internal::frameVersion || type == frame.end() || !type->is_string()) {
        return std::nullopt;
    }
    PeerFrame result;
    result.type_ = valueOf<PeerFrameType>(type->get_ref<const std::string &>()).value_or(PeerFrameType::Unknown);
    const auto id = frame.find("id");
    if (id != frame.end() && id->is_number_unsigned()) {
        result.id_ = id->get<std::uint64_t>();
    } else if (internal::needsId(result.type_)) {
        return std::nullopt;
    }
    const auto name = frame.find("name");
    if (name != frame.end() && name->is_string()) {
        result.name_ = name->get<std::string>();
    } else if (result.type_ == PeerFrameType::Request) {
        return std::nullopt;
    }
    const auto body = frame.find("body");
    if (body != frame.end()) {
        result.body_ = std::move(*body);
    }
    return result;
}

} // namespace filbertgw
