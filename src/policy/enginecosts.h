#ifndef FILBERTGW_POLICY_ENGINECOSTS_H
#define FILBERTGW_POLICY_ENGINECOSTS_H

#include <cstdint>

namespace filbertgw {

/** \brief Speeds of the engines, with which the cost model converts tokens into seconds. */
struct EngineCosts
{
    double stepSeconds_ = 0.015; ///< Fixed part of a decode step.
    double streamSeconds_ = 0.0004; ///< Added to a step for each running stream.
    double prefillTokensPerSecond_ = 20'000;
    double chunkTokens_ = 256; ///< Prompt tokens that share a step with decoding.
    double transferTokensPerSecond_ = 100'000; ///< Cache export and import.
    double modelLoadSeconds_ = 20;

    /** \brief Length of a decode step with this many streams, in seconds. */
    double step(double streams) const
    {
        return stepSeconds_ + streamSeconds_ * streams;
    }
    /** \brief Latency of a call on an idle engine that has to compute only `newTokens` of the prompt, in seconds. */
    double idealSeconds(std::int64_t newTokens, double generated) const
    {
        return static_cast<double>(newTokens) / prefillTokensPerSecond_ + generated * step(1);
    }
};

} // namespace filbertgw

#endif
