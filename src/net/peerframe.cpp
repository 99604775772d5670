#include "net/peerframe.h"

#include <websocketpp/utf8_validator.hpp>

#include <string_view>
#include <vector>

namespace filbertgw {

namespace internal {

constexpr unsigned frameVersion = 1;
constexpr std::size_t maximumDepth = 64;
constexpr std::size_t maximumItems = 1'000'000;

/** \brief CBOR major types (RFC 8949, section 3.1). */
enum class MajorType : std::uint8_t {
    Unsigned = 0,
    Negative = 1,
    Bytes = 2,
    Text = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
    Simple = 7,
};

/**
 * \brief Checks the structure of a CBOR item without recursion and without allocating for what it claims to hold.
 */
class CborCheck
{
public:
    explicit CborCheck(const std::string &bytes)
        : bytes_(bytes)
    {
    }

    bool isAcceptable()
    {
        std::vector<std::uint64_t> open{1}; // Items that each open container still expects.
        while (!open.empty()) {
            if (open.back() == 0) {
                open.pop_back();
                continue;
            }
            --open.back();
            std::uint64_t children = 0;
            if (++items_ > maximumItems || !takeItem(children)) {
                return false;
            }
            if (children > 0) {
                open.push_back(children);
            }
            if (open.size() > maximumDepth) {
                return false;
            }
        }
        return position_ == bytes_.size();
    }

private:
    bool takeItem(std::uint64_t &children)
    {
        if (position_ == bytes_.size()) {
            return false;
        }
        const unsigned initial = static_cast<unsigned char>(bytes_[position_++]);
        const MajorType major = static_cast<MajorType>(initial >> 5U);
        std::uint64_t argument = 0;
        if (!takeArgument(initial & 31U, argument)) {
            return false;
        }
        const std::uint64_t left = bytes_.size() - position_;
        switch (major) {
        case MajorType::Unsigned:
        case MajorType::Negative:
        case MajorType::Simple:
            return true;
        case MajorType::Bytes:
        case MajorType::Text:
            return argument <= left && takeString(major, argument);
        case MajorType::Array:
            children = argument;
            return argument <= left;
        case MajorType::Map:
            children = argument * 2;
            return argument <= left / 2;
        case MajorType::Tag:
            break;
        }
        return false;
    }

    bool takeArgument(unsigned low, std::uint64_t &argument)
    {
        if (low < 24) {
            argument = low;
            return true;
        }
        if (low > 27) {
            return false; // Reserved, or of indefinite length.
        }
        const std::size_t size = std::size_t{1} << (low - 24);
        if (bytes_.size() - position_ < size) {
            return false;
        }
        for (std::size_t i = 0; i < size; ++i) {
            argument = argument << 8U | static_cast<unsigned char>(bytes_[position_++]);
        }
        return true;
    }

    bool takeString(MajorType major, std::uint64_t size)
    {
        const std::string_view text(bytes_.data() + position_, size);
        position_ += size;
        if (major == MajorType::Bytes) {
            return true;
        }
        websocketpp::utf8_validator::validator validator;
        return validator.decode(text.begin(), text.end()) && validator.complete();
    }

    const std::string &bytes_;
    std::size_t position_ = 0;
    std::size_t items_ = 0;
};

void appendHead(std::string &out, MajorType major, std::uint64_t argument)
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
    appendHead(out, MajorType::Text, text.size());
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
    internal::appendHead(result, internal::MajorType::Map, name.empty() ? 4 : 5);
    internal::appendText(result, "v");
    internal::appendHead(result, internal::MajorType::Unsigned, internal::frameVersion);
    internal::appendText(result, "t");
    internal::appendText(result, nameOf(type));
    internal::appendText(result, "id");
    internal::appendHead(result, internal::MajorType::Unsigned, id);
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
    if (!internal::CborCheck(bytes).isAcceptable()) {
        return std::nullopt;
    }
    nlohmann::json frame = nlohmann::json::from_cbor(bytes, true, false);
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
