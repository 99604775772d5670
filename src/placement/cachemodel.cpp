#include "placement/cachemodel.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

CacheModel::CacheModel(Clock now, CacheModelSettings settings)
    : now_(std::move(now))
    , settings_(settings)
{
}

double CacheModel::decayedTokens(const ServiceStats &stats) const
{
    const double age = toSeconds(now_() - stats.updatedAt_) / toSeconds(settings_.window_);
    return stats.uncachedTokens_ * std::exp(-std::max(0.0, age));
}

void CacheModel::observe(const std::string &service, std::uint64_t uncachedTokens, std::uint64_t contextTokens)
{
    if (uncachedTokens > settings_.maxPromptTokens_ || contextTokens > settings_.maxPromptTokens_) {
        return;
    }
    ServiceStats &stats = stats_[service];
    stats.uncachedTokens_ = decayedTokens(stats) + static_cast<double>(uncachedTokens);
    stats.updatedAt_ = now_();
    const double weight = stats.meanContextTokens_ == 0.0 ? 1.0 : settings_.contextWeight_;
    stats.meanContextTokens_ += weight * (static_cast<double>(contextTokens) - stats.meanContextTokens_);
}

Duration CacheModel::retention(const std::string &service, const CacheLoad &load, Duration fallback) const
{
    const auto stats = stats_.find(service);
    if (stats == stats_.end() || load.cacheTokens_ == 0 || load.engines_ <= 0.0) {
        return fallback;
    }
    const double tokensPerSecond =
        decayedTokens(stats->second) / toSeconds(settings_.window_) * load.nodes_ / load.engines_;
    const double usedTokens = stats->second.meanContextTokens_ * load.runningRequests_ / load.engines_;
    const double freeTokens = std::max(0.0, static_cast<double>(load.cacheTokens_) - usedTokens);
    const double seconds = settings_.safetyFactor_ * freeTokens / std::max(1.0, tokensPerSecond);
    return std::clamp(fromSeconds(std::min(seconds, toSeconds(settings_.maxRetention_))),
                      settings_.minRetention_,
                      settings_.maxRetention_);
}

} // namespace filbertgw
