#include "policy/suspectisolation.h"

#include <functional>

namespace filbertgw {

namespace internal {

std::uint64_t placeWeight(const ProgramId &program, const EndpointId &candidate)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (char c : program.value() + "/" + candidate.value()) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return (hash ^ (hash >> 32U)) * 0x9e3779b97f4a7c15ULL;
}

} // namespace internal

SuspectIsolation::SuspectIsolation(bool enabled)
    : enabled_(enabled)
{
}

void SuspectIsolation::onCrash(
    Suspicion &suspicion, const EndpointId &endpoint, bool hadFirstToken, bool alone, double load) const
{
    ++suspicion.crashes_;
    suspicion.aloneCrashes_ += alone || !enabled_ ? 1 : 0;
    constexpr double empty = 0.5;
    suspicion.certain_ = suspicion.certain_ || (alone && load < empty);
    suspicion.crashedAt_ = endpoint;
    suspicion.runAlone_ = enabled_ && (suspicion.runAlone_ || !hadFirstToken || suspicion.crashes_ > 1);
}

void SuspectIsolation::onStarted(const EndpointId &endpoint)
{
    ++reserved_[endpoint];
}

void SuspectIsolation::onEnded(const EndpointId &endpoint)
{
    const std::map<EndpointId, std::int32_t>::iterator it = reserved_.find(endpoint);
    if (it != reserved_.end() && --it->second <= 0) {
        reserved_.erase(it);
    }
}

bool SuspectIsolation::isReserved(const EndpointId &endpoint) const
{
    return reserved_.count(endpoint) > 0;
}

bool SuspectIsolation::isPlaceFor(const ProgramId &program,
                                  const Suspicion &suspicion,
                                  const EndpointState &endpoint,
                                  const EndpointSection &all) const
{
    const std::uint64_t weight = internal::placeWeight(program, endpoint.info_.id_);
    for (const EndpointState *other : all.byNumber_) {
        const bool usable = other->healthy_ && !other->indexed_.empty() && other->info_.id_ != suspicion.crashedAt_
            && other->info_.models_ == endpoint.info_.models_;
        if (usable && internal::placeWeight(program, other->info_.id_) > weight) {
            return false;
        }
    }
    return true;
}

} // namespace filbertgw
