#ifndef FILBERTGW_CORE_NAMETABLE_H
#define FILBERTGW_CORE_NAMETABLE_H

#include <optional>
#include <string_view>
#include <utility>

namespace filbertgw {

/**
 * \brief Names of the values of an enumeration; specialised next to each enumeration that is printed or parsed.
 *
 * A specialisation has one static member, `entries`: an array of pairs of value and name.
 */
template<typename Enum>
struct NameTable;

/** \brief The name of a value; "unknown" if the table doesn't contain it. */
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

/** \brief The value with this name; empty if there is none. */
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
