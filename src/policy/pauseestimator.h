#ifndef FILBERTGW_POLICY_PAUSEESTIMATOR_H
#define FILBERTGW_POLICY_PAUSEESTIMATOR_H

#include "core/time.h"

#include <array>
#include <map>
#include <string>

namespace filbertgw {

/** \brief Estimates how long each tool keeps a program waiting, from a histogram with two buckets per octave. */
class PauseEstimator
{
public:
    /** \brief A pause of a program for the tool ended. */
    void onPauseEnded(const std::string &tool, Duration pause);
    /** \brief Expected remaining time of a pause that has lasted for `elapsed`. */
    Duration expectedRemaining(const std::string &tool, Duration elapsed) const;

private:
    static constexpr std::size_t bucketCount = 40;
    struct Histogram
    {
        std::array<double, bucketCount> counts_{};
        double total_ = 0;
    };
    static std::size_t bucketOf(double seconds);
    /** \brief Geometric centre of the bucket. */
    static double secondsOf(std::size_t bucket);

    std::map<std::string, Histogram> tools_;
};

} // namespace filbertgw

#endif
