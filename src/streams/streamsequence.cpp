#include "streams/streamsequence.h"

#include <charconv>
#include <cstdint>
#include <optional>

namespace filbertgw {

namespace internal {
namespace {

std::optional<std::uint64_t> numberOf(const std::string &id)
{
    std::uint64_t number = 0;
    const char *const end = id.data() + id.size();
    const std::from_chars_result result = std::from_chars(id.data(), end, number);
    const bool isNumber = result.ec == std::errc() && result.ptr == end;
    return isNumber ? std::optional<std::uint64_t>(number) : std::nullopt;
}

} // namespace
} // namespace internal

void StreamSequence::continueAfter(const std::string &id)
{
    lastId_ = id;
}

bool StreamSequence::take(const StreamEvent &event)
{
    const std::optional<std::uint64_t> number = internal::numberOf(event.id_);
    const std::optional<std::uint64_t> last = internal::numberOf(lastId_);
    if (!number || (last && *number != *last + 1)) {
        return false;
    }
    lastId_ = event.id_;
    return true;
}

const std::string &StreamSequence::lastId() const
{
    return lastId_;
}

} // namespace filbertgw
