#include "core/cbor.h"

#include <websocketpp/utf8_validator.hpp>

#include <string_view>
#include <vector>

namespace filbertgw {

namespace internal {
namespace {

constexpr std::size_t maximumDepth = 64;
constexpr std::size_t maximumItems = 1'000'000;

/**
 * \brief Checks the structure of a CBOR item without recursion and without allocating for what it claims to hold.
 */
class CborCheck
{
public:
    CborCheck(const std::string &bytes, CborText textKind)
        : bytes_(bytes)
        , textKind_(textKind)
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
        const CborMajorType major = static_cast<CborMajorType>(initial >> 5U);
        std::uint64_t argument = 0;
        if (!takeArgument(initial & 31U, argument)) {
            return false;
        }
        const std::uint64_t left = bytes_.size() - position_;
        switch (major) {
        case CborMajorType::Unsigned:
        case CborMajorType::Negative:
        case CborMajorType::Simple:
            return true;
        case CborMajorType::Bytes:
        case CborMajorType::Text:
            return argument <= left && takeString(major, argument);
        case CborMajorType::Array:
            children = argument;
            return argument <= left;
        case CborMajorType::Map:
            children = argument * 2;
            return argument <= left / 2;
        case CborMajorType::Tag:
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

    bool takeString(CborMajorType major, std::uint64_t size)
    {
        const std::string_view text(bytes_.data() + position_, size);
        position_ += size;
        if (major == CborMajorType::Bytes || textKind_ == CborText::Bytes) {
            return true;
        }
        websocketpp::utf8_validator::validator validator;
        return validator.decode(text.begin(), text.end()) && validator.complete();
    }

    const std::string &bytes_;
    CborText textKind_;
    std::size_t position_ = 0;
    std::size_t items_ = 0;
};

} // namespace
} // namespace internal

nlohmann::json decodeCbor(const std::string &bytes, CborText text)
{
    if (!internal::CborCheck(bytes, text).isAcceptable()) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::from_cbor(bytes, true, false);
}

nlohmann::json decodeJson(const std::string &text)
{
    using Event = nlohmann::json::parse_event_t;
    const auto isKept = [](int depth, Event event, const nlohmann::json &) {
        const bool opens = event == Event::object_start || event == Event::array_start;
        return !opens || static_cast<std::size_t>(depth) < internal::maximumDepth;
    };
    return nlohmann::json::parse(text, isKept, false);
}

} // namespace filbertgw
