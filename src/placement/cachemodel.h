#ifndef FILBERTGW_PLACEMENT_CACHEMODEL_H
#define FILBERTGW_PLACEMENT_CACHEMODEL_H

#include "core/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace filbertgw {

struct CacheModelSettings
{
    Duration window_{5'000'000}; ///< Time constant for averaging the rate of prefilled tokens.
    double contextWeight_ = 0.05; ///< Weight of a request in the mean context size.
    /** Factor applied to the calculated retention, because the caches of the engines fill unevenly. */
    double safetyFactor_ = 0.7;
    std::uint64_t maxPromptTokens_ = 20'000'000; ///< Requests with longer prompts are ignored.
    Duration minRetention_{2'000'000};
    Duration maxRetention_{60'000'000};
};

/** \brief Capacity and load of the engines of a service. */
struct CacheLoad
{
    std::uint64_t cacheTokens_ = 0; ///< Capacity of each engine's prefix cache; 0 if unknown.
    double engines_ = 0.0;
    double nodes_ = 0.0; ///< Nodes assumed to send as many requests as this one.
    double runningRequests_ = 0.0; ///< Sum over all nodes and all engines.
};

/**
 * \brief Estimates how long an unused context stays in the prefix cache of an engine.
 *
 * Engines evict the least recently used context, so that a context is retained for as long as it takes newly prefilled
 * tokens to fill the cache memory that running requests leave free.
 */
class CacheModel
{
public:
    CacheModel(Clock now, CacheModelSettings settings);

    /**
     * \brief Records a request that this node sent.
     * \param uncachedTokens prompt tokens that the engine has to prefill.
     * \param contextTokens tokens of the last prompt part, which only this session uses.
     */
    void observe(const std::string &service, std::uint64_t uncachedTokens, std::uint64_t contextTokens);
    /** \brief Estimated retention, or \p fallback if the capacity or the load is unknown. */
    Duration retention(const std::string &service, const CacheLoad &load, Duration fallback) const;

private:
    struct ServiceStats
    {
        Time updatedAt_{0};
        double uncachedTokens_ = 0.0; ///< Exponentially decaying sum, with the window as time constant.
        double meanContextTokens_ = 0.0; ///< 0 until observed.
    };

    double decayedTokens(const ServiceStats &stats) const;

    Clock now_;
    CacheModelSettings settings_;
    std::unordered_map<std::string, ServiceStats> stats_; ///< By service.
};

} // namespace filbertgw

#endif
