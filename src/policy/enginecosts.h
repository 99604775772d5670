#ifndef FILBERTGW_POLICY_ENGINECOSTS_H
#define FILBERTGW_POLICY_ENGINECOSTS_H

#include <cstdint>

namespace filbertgw {

/** \brief Speed of the engines, as measured on them; the cost model turns tokens into seconds with it. */
struct EngineCosts
{
    double stepSeconds_ = 0.015; ///< A decode step.
    double streamSeconds_ = 0.0004; ///< Added to a step for each running stream.
    double prefillTokensPerSecond_ = 20'000;
    double chunkTokens_ = 256; ///< Prompt tokens that share a step with decoding.
    double transferTokensPerSecond_ = 100'000; ///< Cache export and import.
    double modelLoadSeconds_ = 20;

    double step(double streams) const
    {
        return stepSeconds_ + streamSeconds_ * streams;
    }
    /** \brief Latency of a call alone on an engine that computes only the given prompt tokens. */
    double idealSeconds(std::int64_t newTokens, double generated) const
    {
        return static_cast<double>(newTokens) / prefillTokensPerSecond_ + generated * step(1);
    }
};

} // namespace filbertgw

#endif
