#include "policy/pauseestimator.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

/** \brief Bound of the tools with a histogram of their own, as names come from callers; others share one. */
constexpr std::size_t maxTools = 1000;
constexpr double minSeconds = 0.05; ///< Lower bound of the first bucket.
/** \brief All counts are halved at this total, so that the histogram follows changes. */
constexpr double maxCount = 2000;

} // namespace internal

std::size_t PauseEstimator::bucketOf(double seconds)
{
    const double position = 2 * std::log2(std::max(seconds, internal::minSeconds) / internal::minSeconds);
    return std::min(bucketCount - 1, static_cast<std::size_t>(position));
}

double PauseEstimator::secondsOf(std::size_t bucket)
{
    return internal::minSeconds * std::exp2((static_cast<double>(bucket) + 0.5) / 2);
}

void PauseEstimator::onPauseEnded(const std::string &tool, Duration pause)
{
    const bool full = tools_.size() >= internal::maxTools && tools_.count(tool) == 0;
    Histogram &histogram = tools_[full ? std::string() : tool];
    histogram.counts_[bucketOf(toSeconds(pause))] += 1;
    histogram.total_ += 1;
    if (histogram.total_ > internal::maxCount) {
        for (double &count : histogram.counts_) {
            count /= 2;
        }
        histogram.total_ /= 2;
    }
}

Duration PauseEstimator::expectedRemaining(const std::string &tool, Duration elapsed) const
{
    const double seconds = toSeconds(elapsed);
    // For a heavy-tailed distribution, expect the elapsed time again; this prior counts as one observation.
    const double prior = seconds + 5;
    const std::map<std::string, Histogram>::const_iterator it = tools_.find(tool);
    if (it == tools_.end()) {
        return fromSeconds(prior);
    }
    double count = 1;
    double sum = prior;
    for (std::size_t bucket = bucketOf(seconds); bucket < bucketCount; ++bucket) {
        const double remaining = secondsOf(bucket) - seconds;
        if (remaining > 0) {
            count += it->second.counts_[bucket];
            sum += it->second.counts_[bucket] * remaining;
        }
    }
    return fromSeconds(sum / count);
}

} // namespace filbertgw
