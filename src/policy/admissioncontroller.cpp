#include "policy/admissioncontroller.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

/** \brief Share of the KV memory that new programs may fill; the rest is for the growth of those in progress. */
constexpr double admissionShare = 0.92;
/** \brief Longest wait for a start. Backlog that is admitted lengthens every program until it is worked off. */
constexpr double maxWaitSeconds = 4;
/** \brief New programs start while the engines' mean streams are below this share of the most. */
constexpr double fullStreams = 1.1;
/**
 * \brief How far the bound on the engines' mean streams falls below the most when only wasted cache counts.
 *
 * Streams near a full batch lengthen every step and bring live programs beyond it, which press on the caches.
 */
constexpr double refusalSlack = 0.1;
constexpr double fullRetrySeconds = 10;
constexpr double memoryRetrySeconds = 30;
/** \brief The same for accounts over their fair share; the others' programs keep the room above it. */
constexpr double overShareStreams = 0.52;
/** \brief Cache that live programs may need, over the KV memory: what is over it is in the export stores. */
constexpr double workingSetShare = 1.5;
/** \brief An account is over its share with this many times the other accounts' mean of live programs. */
constexpr double overShareFactor = 3;
constexpr std::int32_t overShareLeast = 8;
constexpr double startRateSeconds = 20;

} // namespace internal

AdmissionController::AdmissionController(Blackboard &blackboard,
                                         const EndpointTracker &endpoints,
                                         const ProgramTracker &programs,
                                         DisabledMechanisms disabled,
                                         RoomLedger &rooms,
                                         Clock now,
                                         std::function<std::int32_t()> liveNodes)
    : section_(blackboard.write<AccountSection>())
    , engines_(blackboard.read<EndpointSection>())
    , endpoints_(endpoints)
    , programs_(programs)
    , disabled_(std::move(disabled))
    , rooms_(rooms)
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
    refusalStreams_ = 1 - internal::refusalSlack * share * share;
}

std::optional<Failure> AdmissionController::admit(const AccountId &account, Time deadline) const
{
    if (disabled_.count(Mechanism::Admission) > 0) {
        return std::nullopt;
    }
    const Duration untilDeadline = deadline.count() > 0 ? deadline - now_() : Duration{0};
    if (!hasRoomForLife(untilDeadline)) {
        return internal::refusal("the live programs need all cache memory", internal::memoryRetrySeconds);
    }
    if (rooms_.meanStreams() > refusalStreams_ * rooms_.mostStreams()) {
        return internal::refusal("the engines are full", internal::fullRetrySeconds);
    }
    if (section_.held_ == 0) {
        return std::nullopt;
    }
    const double oldest = toSeconds(now_() - oldestHeld_);
    const std::map<AccountId, AccountSection::Account>::const_iterator it = section_.accounts_.find(account);
    const std::int32_t ownHeld = it == section_.accounts_.end() ? 0 : it->second.held_;
    const bool fair = disabled_.count(Mechanism::FairShares) == 0;
    const double rate = startRate_ * std::exp(-toSeconds(now_() - lastStart_) / internal::startRateSeconds);
    const double ahead = fair ? std::min(section_.held_, ownHeld * static_cast<std::int32_t>(section_.accounts_.size()))
                              : section_.held_;
    const double wait = std::max(fair && ownHeld == 0 ? 0 : oldest, ahead / std::max(rate, 0.05));
    double longest = internal::maxWaitSeconds;
    if (deadline.count() > 0) {
        const Duration left = deadline - now_();
        longest = std::min(longest, toSeconds(left) - programs_.expectedSeconds(left));
    }
    if (wait <= longest) {
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
    return others >= 1 && it->second.live_ >= internal::overShareLeast
        && it->second.live_ > internal::overShareFactor * mean;
}

bool AdmissionController::hasRoom(const EndpointState &endpoint, const AccountId &account, std::int64_t tokens) const
{
    if (disabled_.count(Mechanism::Admission) > 0) {
        return true;
    }
    if (!rooms_.hasStart(endpoint)) {
        return false;
    }
    const double share = isOverShare(account) ? internal::overShareStreams : internal::fullStreams;
    const double most = share * endpoint.info_.maxStreams_;
    const double memory = endpoints_.usedTokens(endpoint) + static_cast<double>(tokens);
    return rooms_.meanStreams() < most && endpoints_.streams(endpoint) < endpoint.info_.maxStreams_
        && memory <= internal::admissionShare * static_cast<double>(endpoint.info_.cacheTokens_);
}

bool AdmissionController::hasRoomForLife(Duration untilDeadline) const
{
    const double need = programs_.expectedTokens(untilDeadline);
    double total = 0;
    double streams = 0;
    // Load reports show the KV memory; what all nodes have exported is estimated from this node's part.
    double used = programs_.exportedTokens() * std::max(1, liveNodes_());
    for (const EndpointState *endpoint : engines_.byNumber_) {
        if (endpoint->info_.kind_ == CallKind::Model) {
            total += static_cast<double>(endpoint->info_.cacheTokens_);
            used += endpoints_.usedTokens(*endpoint);
            streams += endpoint->info_.maxStreams_;
        }
    }
    // A program that needs no more than a stream's part of the memory soon gives it back; only larger ones add up.
    const bool small = need * streams <= total;
    return small || used + need * std::max(1, liveNodes_()) <= internal::workingSetShare * total;
}

void AdmissionController::onHeld(const AccountId &account)
{
    ++section_.accounts_[account].held_;
    ++section_.held_;
}

void AdmissionController::onHeldEnded(const AccountId &account)
{
    --section_.accounts_[account].held_;
    --section_.held_;
}

void AdmissionController::onStarted(const AccountId &account, const EndpointId &endpoint)
{
    onHeldEnded(account);
    ++section_.accounts_[account].live_;
    ++section_.live_;
    rooms_.takeStart(endpoint);
    const double elapsed = toSeconds(now_() - lastStart_);
    startRate_ = startRate_ * std::exp(-elapsed / internal::startRateSeconds) + 1 / internal::startRateSeconds;
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
    if (it->second.live_ <= 0 && it->second.held_ <= 0) {
        section_.accounts_.erase(it);
    }
}

} // namespace filbertgw
