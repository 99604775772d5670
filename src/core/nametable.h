#ifndef FILBERTGW_CORE_NAMETABLE_H
#define FILBERTGW_CORE_NAMETABLE_H

#include <optional>
#include <string_view>
#include <utility>

namespace filbertgw {

/**
 * \brief Table of an enumeration's names; specialised next to each enumeration that is printed or parsed.
 *
 * A specialisation has one static member, `entries`: an array of pairs of value and name.
 */
template<typename Enum>
struct NameTable;

/** \brief The name of a value, or "unknown" if the table has none. */
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const std::pair<Enum, std::string_view> &entry : NameTable<Enum>::entries) {
        if (entry.first == value) {
            return entry.second;
        }
    }
    return "unknown";
}

/** \brief The value with this name, or nothing. */
template<typename Enum>
constexpr std::optional<Enum> valueOf(std::string_view name)
{
    for (const std::pair<Enum, std::string_view> &entry : NameTable<Enum>::entries) {
        if (entry.second == name) {
            return entry.first;
        }
    }
    return std::nullopt;
}

} // namespace filbertgw

#endif
