#ifndef FILBERTGW_CORE_NUMBERS_H
#define FILBERTGW_CORE_NUMBERS_H

#include "core/time.h"

#include <cstdint>
#include <limits>

namespace filbertgw {

/** \brief A duration in milliseconds, as a floating-point number. */
inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/** \brief Sum that saturates at the largest number instead of wrapping around. */
inline std::uint64_t saturatingSum(std::uint64_t a, std::uint64_t b)
{
    const std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    return a > largest - b ? largest : a + b;
}

/** \brief Maps 64 uniformly distributed bits to a number in [0, 1). */
inline double unitInterval(std::uint64_t bits)
{
    constexpr int unusedBits = 11; // A double has a significand of 53 bits, out of the 64 bits given.
    return static_cast<double>(bits >> unusedBits) / static_cast<double>(1ULL << (64 - unusedBits));
}

/** \brief A uniformly distributed random number in [0, 1). */
inline double drawFrom(const RandomSource &random)
{
    return unitInterval(random());
}

} // namespace filbertgw

#endif
