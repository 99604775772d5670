#ifndef FILBERTGW_CORE_TIME_H
#define FILBERTGW_CORE_TIME_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace filbertgw {

using Duration = std::chrono::microseconds;

/** \brief A point in time, in microseconds since the clock's epoch (Unix epoch in `serve`, 0 in virtual time). */
using Time = std::chrono::microseconds;

/** \brief Returns the current time; tests and benches use virtual time. */
using Clock = std::function<Time()>;

/** \brief Returns uniformly distributed 64-bit values; seeded in tests and benches. */
using RandomSource = std::function<std::uint64_t()>;

/** \brief A duration in seconds, as a floating-point number. */
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** \brief A number of seconds as a duration, truncated to microseconds. */
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace filbertgw

#endif
