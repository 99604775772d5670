#ifndef FILBERTGW_GATEWAY_CACHEMODEL_H
#define FILBERTGW_GATEWAY_CACHEMODEL_H

#include "core/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace filbertgw {

struct CacheModelSettings
{
    Duration window_{5'000'000}; ///< Time over which the rate of reading is averaged.
    double contextWeight_ = 0.05; ///< Weight of a request in the size of an ordinary context.
    /** Part of the calculated time that is relied upon: engines fill unevenly. */
    double safetyFactor_ = 0.7;
    std::uint64_t maxPromptTokens_ = 20'000'000; ///< Tokens; a request that claims more teaches nothing.
    Duration minRetention_{2'000'000};
    Duration maxRetention_{60'000'000};
};

/** \brief What is known of the engines of a service from outside. */
struct CacheLoad
{
    std::uint64_t cacheTokens_ = 0; ///< Memory of an engine; 0 if unknown.
    double engines_ = 0.0;
    double nodes_ = 0.0; ///< Nodes that send about as much as this one.
    double runningRequests_ = 0.0; ///< Requests of all nodes.
};

/**
 * \brief Estimates how long an engine keeps a context that nobody uses.
 *
 * The least recently used context yields, so that it is kept for as long as it takes to fill the memory that running
 * requests leave free.
 */
class CacheModel
{
public:
    CacheModel(Clock now, CacheModelSettings settings);

    /** \brief A request of this node. \param unread prompt tokens to be read. \param context tokens of its own part. */
    void observe(const std::string &service, std::uint64_t uncachedTokens, std::uint64_t contextTokens);
    /** \param fallback the answer if too little is known. */
    Duration retention(const std::string &service, const CacheLoad &load, Duration fallback) const;

private:
    struct ServiceStats
    {
        Time updatedAt_{0};
        double uncachedTokens_ = 0.0; ///< Sum of tokens that fades over the window.
        double meanContextTokens_ = 0.0; ///< Tokens of an ordinary context.
    };

    double decayedTokens(const ServiceStats &stats) const;

    Clock now_;
    CacheModelSettings settings_;
    std::unordered_map<std::string, ServiceStats> stats_; ///< By service.
};

} // namespace filbertgw

#endif
