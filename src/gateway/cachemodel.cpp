#include "gateway/cachemodel.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

CacheModel::CacheModel(Clock now, CacheModelSettings settings)
    : now_(std::move(now))
    , settings_(settings)
{
}

double CacheModel::faded(const Observed &observed) const
{
    const double age = toSeconds(now_() - observed.at_) / toSeconds(settings_.window_);
    return observed.unread_ * std::exp(-std::max(0.0, age));
}

void CacheModel::observe(const std::string &service, std::uint64_t unread, std::uint64_t context)
{
    if (unread > settings_.longestPrompt_ || context > settings_.longestPrompt_) {
        return;
    }
    Observed &observed = observed_[service];
    observed.unread_ = faded(observed) + static_cast<double>(unread);
    observed.at_ = now_();
    const double weight = observed.context_ == 0.0 ? 1.0 : settings_.contextWeight_;
    observed.context_ += weight * (static_cast<double>(context) - observed.context_);
}

Duration CacheModel::retention(const std::string &service, const CacheLoad &load, Duration fallback) const
{
    const auto observed = observed_.find(service);
    if (observed == observed_.end() || load.cacheTokens_ == 0 || load.engines_ <= 0.0) {
        return fallback;
    }
    const double perSecond = faded(observed->second) / toSeconds(settings_.window_) * load.nodes_ / load.engines_;
    const double used = observed->second.context_ * load.running_ / load.engines_;
    const double unused = std::max(0.0, static_cast<double>(load.cacheTokens_) - used);
    const double seconds = settings_.reliedPart_ * unused / std::max(1.0, perSecond);
    return std::clamp(fromSeconds(std::min(seconds, toSeconds(settings_.most_))), settings_.least_, settings_.most_);
}

} // namespace filbertgw
