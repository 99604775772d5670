#include "policy/admissioncontroller.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

/** \brief Share of the KV memory that new programs may fill; the rest is for the growth of those in progress. */
constexpr double admissionShare = 0.92;
/** \brief Longest wait for a start. Backlog that is admitted lengthens every program until it is worked off. */
constexpr double maxWaitSeconds = 8;
/** \brief Share of an engine's streams that accounts over their fair share may use. */
constexpr double overShareStreams = 0.6;
constexpr double overShareFactor = 3;
constexpr std::int32_t overShareLeast = 4;
constexpr double startRateSeconds = 20;

} // namespace internal

AdmissionController::AdmissionController(Blackboard &blackboard,
                                         const EndpointTracker &endpoints,
                                         const ProgramTracker &programs,
                                         DisabledMechanisms disabled,
                                         RoomLedger &rooms,
                                         Clock now)
    : section_(blackboard.write<AccountSection>())
    , endpoints_(endpoints)
    , programs_(programs)
    , disabled_(std::move(disabled))
    , rooms_(rooms)
    , now_(std::move(now))
{
}

std::optional<Failure> AdmissionController::admit(const AccountId &account, Time deadline) const
{
    if (disabled_.count(Mechanism::Admission) > 0 || section_.held_ == 0) {
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
    Failure failure;
    failure.type_ = FailureType::NotRun;
    failure.notRun_ = true;
    failure.detail_ = "the program could not start in time";
    failure.retryAfter_ = fromSeconds(std::clamp(wait, 1.0, 60.0));
    return failure;
}

bool AdmissionController::isOverShare(const AccountId &account) const
{
    const std::map<AccountId, AccountSection::Account>::const_iterator it = section_.accounts_.find(account);
    if (disabled_.count(Mechanism::FairShares) > 0 || it == section_.accounts_.end()) {
        return false;
    }
    const double fair = static_cast<double>(section_.live_) / static_cast<double>(section_.accounts_.size());
    return it->second.live_ >= internal::overShareLeast && it->second.live_ > internal::overShareFactor * fair;
}

bool AdmissionController::hasRoom(const EndpointState &endpoint, const AccountId &account, std::int64_t tokens) const
{
    if (disabled_.count(Mechanism::Admission) > 0) {
        return true;
    }
    if (!rooms_.hasStart(endpoint)) {
        return false;
    }
    const double streams = endpoints_.streams(endpoint);
    const double mostStreams = endpoint.info_.maxStreams_ * (isOverShare(account) ? internal::overShareStreams : 1.0);
    const double memory = endpoints_.usedTokens(endpoint) + static_cast<double>(tokens);
    return streams < mostStreams
        && memory <= internal::admissionShare * static_cast<double>(endpoint.info_.cacheTokens_);
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

double AdmissionController::shareOf(const AccountId &account) const
{
    const std::map<AccountId, AccountSection::Account>::const_iterator it = section_.accounts_.find(account);
    return disabled_.count(Mechanism::FairShares) > 0 || it == section_.accounts_.end() ? 0 : it->second.live_;
}

} // namespace filbertgw
