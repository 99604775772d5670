#include "policy/roomledger.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

constexpr double meanSmoothing = 0.03;

} // namespace internal

RoomLedger::RoomLedger(const EndpointTracker &endpoints, RandomSource random, std::function<std::int32_t()> liveNodes)
    : endpoints_(endpoints)
    , random_(std::move(random))
    , liveNodes_(std::move(liveNodes))
{
}

std::int32_t RoomLedger::partOf(double room)
{
    const double part = std::max(0.0, room / std::max(1, liveNodes_()));
    const double whole = std::floor(part);
    constexpr std::uint64_t scale = 1U << 20U;
    const bool roundUp = static_cast<double>(random_() % scale) < (part - whole) * static_cast<double>(scale);
    return static_cast<std::int32_t>(whole) + (roundUp ? 1 : 0);
}

void RoomLedger::onReport(const EndpointId &endpoint)
{
    const EndpointState *state = endpoints_.find(endpoint);
    if (state == nullptr) {
        return;
    }
    const double streams = endpoints_.streams(*state);
    mostStreams_ = state->info_.maxStreams_;
    meanStreams_ += internal::meanSmoothing * (streams - meanStreams_);
    rooms_[endpoint] = Room{partOf(state->info_.maxStreams_ - streams), partOf(meanStreams_ - streams)};
}

bool RoomLedger::hasStart(const EndpointState &endpoint) const
{
    const std::unordered_map<EndpointId, Room>::const_iterator room = rooms_.find(endpoint.info_.id_);
    return !endpoint.reported_ || (room != rooms_.end() && room->second.starts_ > 0);
}

bool RoomLedger::hasMove(const EndpointState &endpoint) const
{
    const std::unordered_map<EndpointId, Room>::const_iterator room = rooms_.find(endpoint.info_.id_);
    return !endpoint.reported_ || (room != rooms_.end() && room->second.moves_ > 0);
}

void RoomLedger::takeStart(const EndpointId &endpoint)
{
    --rooms_[endpoint].starts_;
}

void RoomLedger::takeMove(const EndpointId &endpoint)
{
    --rooms_[endpoint].moves_;
}

} // namespace filbertgw
