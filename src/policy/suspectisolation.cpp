#include "policy/suspectisolation.h"

#include <functional>

namespace filbertgw {

namespace internal {

/** \brief Weight of the program at the candidate for rendezvous hashing. */
std::uint64_t assignmentWeight(const ProgramId &program, const EndpointId &candidate)
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

void SuspectIsolation::onCrash(CrashHistory &history, const CrashedAttempt &attempt)
{
    ++history.crashes_;
    history.aloneCrashes_ += attempt.alone_ || !enabled_ ? 1 : 0;
    const bool sameStage = attempt.hadFirstToken_ == history.hadFirstToken_;
    history.attributed_ = attempt.alone_ && attempt.confirmedAlone_ && sameStage;
    history.hadFirstToken_ = attempt.hadFirstToken_;
    history.crashedEndpoint_ = attempt.endpoint_;
    history.lastCrashAt_ = attempt.at_;
    history.runAlone_ = enabled_ && (history.runAlone_ || !attempt.hadFirstToken_ || history.crashes_ > 1);
    while (!crashes_.empty() && crashes_.front().first + 2 * attributionDelay < attempt.at_) {
        crashes_.pop_front();
    }
    crashes_.emplace_back(attempt.at_, attempt.endpoint_);
}

void SuspectIsolation::reviewLastCrash(CrashHistory &history, const std::set<EndpointId> &failedEndpoints) const
{
    const Time at = history.lastCrashAt_;
    for (const std::pair<Time, EndpointId> &crash : crashes_) {
        const bool together = crash.first >= at - attributionDelay && crash.first <= at + attributionDelay;
        if (together && failedEndpoints.count(crash.second) == 0) {
            history.attributed_ = false;
            --history.aloneCrashes_;
            return;
        }
    }
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

bool SuspectIsolation::isAssigned(const ProgramId &program,
                                  const CrashHistory &history,
                                  const EndpointState &endpoint,
                                  const EndpointSection &all) const
{
    const std::uint64_t weight = internal::assignmentWeight(program, endpoint.info_.id_);
    for (const EndpointState *other : all.byNumber_) {
        const bool usable = other->healthy_ && !other->indexedTargets_.empty()
            && other->info_.id_ != history.crashedEndpoint_ && other->info_.models_ == endpoint.info_.models_;
        if (usable && internal::assignmentWeight(program, other->info_.id_) > weight) {
            return false;
        }
    }
    return true;
}

} // namespace filbertgw
