#ifndef FILBERTGW_ACCOUNTS_KEYCHECK_H
#define FILBERTGW_ACCOUNTS_KEYCHECK_H

#include "core/nametable.h"

#include <array>
#include <cstdint>

namespace filbertgw {

/** \brief Result of the check of a request's key, for logs and counters, which must not contain the key. */
enum class KeyCheck : std::uint8_t {
    NotMade, ///< There are no accounts, or the request was refused before.
    Missing,
    Malformed, ///< No account can have it: too long, not printable, or sent more than once.
    Unknown, ///< No account of the configuration in force has it.
    Known,
    ByPeer, ///< The node that passed the request on has checked it.
};

template<>
struct NameTable<KeyCheck>
{
    static constexpr std::array<std::pair<KeyCheck, std::string_view>, 6> entries{{
        {KeyCheck::NotMade, "not_made"},
        {KeyCheck::Missing, "missing"},
        {KeyCheck::Malformed, "malformed"},
        {KeyCheck::Unknown, "unknown"},
        {KeyCheck::Known, "known"},
        {KeyCheck::ByPeer, "by_peer"},
    }};
};

} // namespace filbertgw

#endif
