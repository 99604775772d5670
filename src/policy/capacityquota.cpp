#include "policy/capacityquota.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

constexpr double meanStreamsSmoothing = 0.03;

} // namespace internal

CapacityQuota::CapacityQuota(const EndpointTracker &endpoints,
                             RandomSource random,
                             std::function<std::int32_t()> liveNodes)
    : endpoints_(endpoints)
    , random_(std::move(random))
    , liveNodes_(std::move(liveNodes))
{
}

std::int32_t CapacityQuota::shareOf(double freeStreams)
{
    const double share = std::max(0.0, freeStreams / std::max(1, liveNodes_()));
    const double rounded = std::floor(share);
    constexpr std::uint64_t scale = 1U << 20U;
    const bool roundUp = static_cast<double>(random_() % scale) < (share - rounded) * static_cast<double>(scale);
    return static_cast<std::int32_t>(rounded) + (roundUp ? 1 : 0);
}

void CapacityQuota::onReport(const EndpointId &endpoint)
{
    const EndpointState *state = endpoints_.find(endpoint);
    if (state == nullptr) {
        return;
    }
    const double streams = endpoints_.streams(*state);
    maxStreams_ = state->info_.maxStreams_;
    meanStreams_ += internal::meanStreamsSmoothing * (streams - meanStreams_);
    quotas_[endpoint] = Quota{shareOf(state->info_.maxStreams_ - streams), shareOf(meanStreams_ - streams)};
}

bool CapacityQuota::canStart(const EndpointState &endpoint) const
{
    const std::unordered_map<EndpointId, Quota>::const_iterator quota = quotas_.find(endpoint.info_.id_);
    return !endpoint.hasReport_ || (quota != quotas_.end() && quota->second.starts_ > 0);
}

bool CapacityQuota::canMove(const EndpointState &endpoint) const
{
    const std::unordered_map<EndpointId, Quota>::const_iterator quota = quotas_.find(endpoint.info_.id_);
    return !endpoint.hasReport_ || (quota != quotas_.end() && quota->second.moves_ > 0);
}

void CapacityQuota::consumeStart(const EndpointId &endpoint)
{
    --quotas_[endpoint].starts_;
}

void CapacityQuota::consumeMove(const EndpointId &endpoint)
{
    --quotas_[endpoint].moves_;
}

} // namespace filbertgw
