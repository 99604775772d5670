#ifndef FILBERTGW_ENDPOINTS_INCARNATIONCHECK_H
#define FILBERTGW_ENDPOINTS_INCARNATIONCHECK_H

#include "core/nametable.h"

#include <array>
#include <cstdint>

namespace filbertgw {

/** \brief What an endpoint says when it is asked whether it is the process of its registry entry. */
enum class IncarnationCheck : std::uint8_t {
    Same,
    Other, ///< It has started again.
    Unnamed, ///< It does not say when it started, or nobody can ask it.
    NoAnswer,
};

template<>
struct NameTable<IncarnationCheck>
{
    static constexpr std::array<std::pair<IncarnationCheck, std::string_view>, 4> entries{{
        {IncarnationCheck::Same, "same"},
        {IncarnationCheck::Other, "other"},
        {IncarnationCheck::Unnamed, "unnamed"},
        {IncarnationCheck::NoAnswer, "no_answer"},
    }};
};

} // namespace filbertgw

#endif
