#include "policy/admissioncontroller.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

/** \brief Share of the KV memory that new programs may fill; the rest is reserved for the growth of running ones. */
constexpr double admissionMemoryShare = 0.92;
/** \brief Longest wait for a start. An admitted backlog slows down every program until it has drained. */
constexpr double maxWaitSeconds = 4;
/** \brief New programs start while the engines' mean number of streams is below this multiple of maxStreams_. */
constexpr double admissionLoad = 1.1;
/**
 * \brief Reduction of refusalLoad_ when only wasted cache has weight.
 *
 * Close to a full batch every step is longer, so programs accumulate and put pressure on the caches.
 */
constexpr double maxRefusalReduction = 0.1;
constexpr double overloadRetrySeconds = 10;
constexpr double memoryRetrySeconds = 30;
/** \brief Like admissionLoad, for accounts over their fair share; the capacity above it is left to other accounts. */
constexpr double overShareLoad = 0.52;
/** \brief Cache that live programs may need, as a multiple of the KV memory; the excess is in the export stores. */
constexpr double workingSetShare = 1.5;
/** \brief An account is over its share with more than this multiple of the other accounts' mean of live programs. */
constexpr double overShareFactor = 3;
constexpr std::int32_t overShareMinPrograms = 8; ///< Below this, an account is never over its share.
constexpr double startRateWindowSeconds = 20; ///< Time constant of the smoothing.

} // namespace internal

AdmissionController::AdmissionController(Blackboard &blackboard,
                                         const EndpointTracker &endpoints,
                                         const ProgramTracker &programs,
                                         DisabledMechanisms disabled,
                                         CapacityQuota &quota,
                                         Clock now,
                                         std::function<std::int32_t()> liveNodes)
    : section_(blackboard.write<AccountSection>())
    , engines_(blackboard.read<EndpointSection>())
    , endpoints_(endpoints)
    , programs_(programs)
    , disabled_(std::move(disabled))
    , quota_(quota)
    , now_(std::move(now))
    , liveNodes_(std::move(liveNodes))
{
}

namespace internal {

Failure refusal(const char *detail, double retrySeconds)
{
    Failure failure;
    failure.type_ = FailureType::NotRun;
    failure.notRun_ = true;
    failure.detail_ = detail;
    failure.retryAfter_ = fromSeconds(retrySeconds);
    return failure;
}

} // namespace internal

void AdmissionController::setWeights(double latency, double wastedCache)
{
    const double sum = latency + wastedCache;
    const double share = sum > 0 ? wastedCache / sum : 0.5;
    refusalLoad_ = 1 - internal::maxRefusalReduction * share * share;
}

std::optional<Failure> AdmissionController::admit(const AccountId &account, Time deadline) const
{
    if (disabled_.count(Mechanism::Admission) > 0) {
        return std::nullopt;
    }
    const Duration untilDeadline = deadline.count() > 0 ? deadline - now_() : Duration{0};
    if (!hasLifetimeCapacity(untilDeadline)) {
        return internal::refusal("the live programs need all cache memory", internal::memoryRetrySeconds);
    }
    if (quota_.meanStreams() > refusalLoad_ * quota_.maxStreams()) {
        return internal::refusal("the engines are full", internal::overloadRetrySeconds);
    }
    if (section_.queued_ == 0) {
        return std::nullopt;
    }
    const double oldestWait = toSeconds(now_() - oldestQueued_);
    const std::map<AccountId, AccountSection::Account>::const_iterator it = section_.accounts_.find(account);
    const std::int32_t ownQueued = it == section_.accounts_.end() ? 0 : it->second.queued_;
    const bool fair = disabled_.count(Mechanism::FairShares) == 0;
    const double rate = startRate_ * std::exp(-toSeconds(now_() - lastStart_) / internal::startRateWindowSeconds);
    const double ahead = fair
        ? std::min(section_.queued_, ownQueued * static_cast<std::int32_t>(section_.accounts_.size()))
        : section_.queued_;
    const double wait = std::max(fair && ownQueued == 0 ? 0 : oldestWait, ahead / std::max(rate, 0.05));
    double maxWait = internal::maxWaitSeconds;
    if (deadline.count() > 0) {
        const Duration remaining = deadline - now_();
        maxWait = std::min(maxWait, toSeconds(remaining) - programs_.expectedIdealSeconds(remaining));
    }
    if (wait <= maxWait) {
        return std::nullopt;
    }
    return internal::refusal("the program could not start in time", std::clamp(wait, 1.0, 60.0));
}

bool AdmissionController::isOverShare(const AccountId &account) const
{
    const std::map<AccountId, AccountSection::Account>::const_iterator it = section_.accounts_.find(account);
    if (disabled_.count(Mechanism::FairShares) > 0 || it == section_.accounts_.end()) {
        return false;
    }
    const double others = static_cast<double>(section_.accounts_.size()) - 1;
    const double mean = others < 1 ? 0 : static_cast<double>(section_.live_ - it->second.live_) / others;
    return others >= 1 && it->second.live_ >= internal::overShareMinPrograms
        && it->second.live_ > internal::overShareFactor * mean;
}

bool AdmissionController::hasCapacity(const EndpointState &endpoint,
                                      const AccountId &account,
                                      std::int64_t tokens) const
{
    if (disabled_.count(Mechanism::Admission) > 0) {
        return true;
    }
    if (!quota_.canStart(endpoint)) {
        return false;
    }
    const double share = isOverShare(account) ? internal::overShareLoad : internal::admissionLoad;
    const double maxMeanStreams = share * endpoint.info_.maxStreams_;
    const double memory = endpoints_.usedTokens(endpoint) + static_cast<double>(tokens);
    return quota_.meanStreams() < maxMeanStreams && endpoints_.streams(endpoint) < endpoint.info_.maxStreams_
        && memory <= internal::admissionMemoryShare * static_cast<double>(endpoint.info_.cacheTokens_);
}

bool AdmissionController::hasLifetimeCapacity(Duration untilDeadline) const
{
    const double cacheTokens = programs_.expectedCacheTokens(untilDeadline);
    double totalTokens = 0;
    double streams = 0;
    // Load reports show the KV memory in use; the exports of all nodes are extrapolated from this node's own.
    double usedTokens = programs_.exportedTokens() * std::max(1, liveNodes_());
    for (const EndpointState *endpoint : engines_.byNumber_) {
        if (endpoint->info_.kind_ == CallKind::Model) {
            totalTokens += static_cast<double>(endpoint->info_.cacheTokens_);
            usedTokens += endpoints_.usedTokens(*endpoint);
            streams += endpoint->info_.maxStreams_;
        }
    }
    // Programs within one stream's share of the memory return it soon; only larger ones accumulate.
    const bool isSmall = cacheTokens * streams <= totalTokens;
    return isSmall || usedTokens + cacheTokens * std::max(1, liveNodes_()) <= internal::workingSetShare * totalTokens;
}

void AdmissionController::onQueued(const AccountId &account)
{
    ++section_.accounts_[account].queued_;
    ++section_.queued_;
}

void AdmissionController::onDequeued(const AccountId &account)
{
    --section_.accounts_[account].queued_;
    --section_.queued_;
}

void AdmissionController::onStarted(const AccountId &account, const EndpointId &endpoint)
{
    onDequeued(account);
    ++section_.accounts_[account].live_;
    ++section_.live_;
    quota_.consumeStart(endpoint);
    const double elapsed = toSeconds(now_() - lastStart_);
    startRate_ =
        startRate_ * std::exp(-elapsed / internal::startRateWindowSeconds) + 1 / internal::startRateWindowSeconds;
    lastStart_ = now_();
}

void AdmissionController::onEnded(const AccountId &account)
{
    const std::map<AccountId, AccountSection::Account>::iterator it = section_.accounts_.find(account);
    if (it == section_.accounts_.end()) {
        return;
    }
    --section_.live_;
    --it->second.live_;
    if (it->second.live_ <= 0 && it->second.queued_ <= 0) {
        section_.accounts_.erase(it);
    }
}

} // namespace filbertgw
