#include "accounts/quotabucket.h"

#include <algorithm>

namespace filbertgw {

namespace internal {
namespace {

/** Limits the waiting time at rates near 0. */
constexpr double longestWaitSeconds = 60.0;

} // namespace
} // namespace internal

QuotaBucket::QuotaBucket(double level, Time now)
    : level_(level)
    , refilledAt_(now)
{
}

void QuotaBucket::refill(double requestsPerSecond, double capacity, Time now)
{
    const Duration elapsed = std::max(now - refilledAt_, Duration{0});
    level_ = std::min(level_ + requestsPerSecond * toSeconds(elapsed), capacity);
    refilledAt_ = std::max(refilledAt_, now);
}

bool QuotaBucket::take(double requests, double reserve)
{
    if (level_ < requests + reserve) {
        return false;
    }
    level_ -= requests;
    return true;
}

void QuotaBucket::putBack(double requests, double capacity)
{
    level_ = std::min(level_ + requests, std::max(capacity, level_));
}

void QuotaBucket::restart(double most, Time now)
{
    level_ = std::min(level_, most);
    refilledAt_ = now;
}

Duration QuotaBucket::timeUntil(double level, double requestsPerSecond) const
{
    if (level <= level_) {
        return Duration{0};
    }
    const double missing = level - level_;
    const bool isLong = requestsPerSecond * internal::longestWaitSeconds <= missing;
    return fromSeconds(isLong ? internal::longestWaitSeconds : missing / requestsPerSecond);
}

double QuotaBucket::level() const
{
    return level_;
}

} // namespace filbertgw
