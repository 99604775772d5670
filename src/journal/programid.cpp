#include "journal/programid.h"

#include <array>
#include <cstdio>
#include <string>
#include <string_view>

namespace filbertgw {

namespace {

constexpr std::size_t slotDigits = 3;
constexpr std::size_t randomDigits = 16;

bool parseHex(std::string_view digits, std::uint64_t &value)
{
    value = 0;
    for (const char digit : digits) {
        value <<= 4U;
        if (digit >= '0' && digit <= '9') {
            value |= static_cast<std::uint64_t>(digit - '0');
        } else if (digit >= 'a' && digit <= 'f') {
            value |= static_cast<std::uint64_t>(digit - 'a' + 10);
        } else {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<ProgramIdParts> splitProgramId(const ProgramId &program)
{
    const std::string_view text = program.value();
    std::uint64_t slot = 0;
    ProgramIdParts parts;
    if (text.size() != 1 + slotDigits + randomDigits || text[0] != 'p' || !parseHex(text.substr(1, slotDigits), slot)
        || !parseHex(text.substr(1 + slotDigits), parts.random_)) {
        return std::nullopt;
    }
    parts.slot_ = static_cast<std::uint16_t>(slot);
    return parts;
}

ProgramId joinProgramId(const ProgramIdParts &parts)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "p%03x%016llx",
                  static_cast<unsigned>(parts.slot_ & 0xfffU),
                  static_cast<unsigned long long>(parts.random_));
    return ProgramId(text.data());
}

} // namespace filbertgw
