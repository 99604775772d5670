#ifndef FILBERTGW_CORE_NUMBERS_H
#define FILBERTGW_CORE_NUMBERS_H

#include "core/time.h"

namespace filbertgw {

/** \brief A length of time in milliseconds, as a floating-point number. */
inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/** \brief A uniformly distributed number from 0 to 1, without 1. */
inline double drawFrom(const RandomSource &random)
{
    constexpr int unusedBits = 11; // A double holds 53 of 64 bits.
    return static_cast<double>(random() >> unusedBits) / static_cast<double>(1ULL << (64 - unusedBits));
}

} // namespace filbertgw

#endif
