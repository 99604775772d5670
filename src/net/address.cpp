#include "net/address.h"

#include <charconv>

namespace filbertgw {

std::optional<Address> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    Address result;
    result.host_ = text.substr(0, colon);
    if (result.host_.front() == '[' && result.host_.back() == ']') {
        result.host_ = result.host_.substr(1, result.host_.size() - 2);
    }
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(begin, end, result.port_);
    if (result.host_.empty() || begin == end || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return result;
}

} // namespace filbertgw
