#include "gateway/gatewaycall.h"

// The part of GatewayCall that chooses an endpoint, and reports how the request to it ended.
namespace filbertgw::internal {

namespace {

/** Attempts that a request must have for a trial of an ejected endpoint: one more follows if the trial fails. */
constexpr std::uint32_t minAttemptsForTrial = 2;
/** Trials are not sent with less time left, so that the request can still be served elsewhere. */
constexpr Duration minTimeForTrial{500'000};

} // namespace

const Endpoint *GatewayCall::chooseEndpoint()
{
    const std::vector<const Endpoint *> &candidates = gateway_->directory_.ready(serviceName_);
    eligibleEndpoints_ = candidates.size();
    isLimited_ = false;
    isOutlierTrial_ = false;
    const bool hasEjected = !gateway_->outliers_.isEmpty();
    if (gateway_->limits_.isEmpty() && !origin_ && !hasEjected) {
        return gateway_->placement_.choose(candidates, service_, *request_, excluded_);
    }
    const Time now = gateway_->hooks_.now_();
    std::unordered_set<std::string> excluded = excluded_;
    std::size_t limited = 0;
    std::size_t ejected = 0;
    nextLimitedSend_.reset();
    for (const Endpoint *candidate : candidates) {
        if (!isEligible(*candidate)) {
            --eligibleEndpoints_;
            excluded.insert(candidate->id_);
            continue;
        }
        const std::optional<Time> next = gateway_->limits_.nextSend(candidate->incarnation());
        const bool isLimited = !next || *next > now;
        const bool isEjected = hasEjected && gateway_->outliers_.isEjected(candidate->incarnation());
        if (isEjected && !isLimited && mayTryOutlier(*candidate)) {
            isOutlierTrial_ = true;
            gateway_->outliers_.trialBegan(candidate->incarnation());
            return candidate;
        }
        if (!isLimited && !isEjected) {
            continue;
        }
        ++(isLimited ? limited : ejected);
        excluded.insert(candidate->id_);
        if (isLimited && next && (!nextLimitedSend_ || *next < *nextLimitedSend_)) {
            nextLimitedSend_ = next;
        }
    }
    isLimited_ = limited > 0 && limited + ejected == eligibleEndpoints_;
    return gateway_->placement_.choose(candidates, service_, *request_, excluded);
}

bool GatewayCall::mayTryOutlier(const Endpoint &endpoint) const
{
    const bool canRunElsewhere = route_->isRetryable() && route_->maxAttempts_ >= minAttemptsForTrial && runs_ == 0
        && timeLeft() >= minTimeForTrial;
    return canRunElsewhere && !origin_ && excluded_.count(endpoint.id_) == 0
        && gateway_->outliers_.isTrialDue(endpoint.incarnation());
}

bool GatewayCall::isServerError() const
{
    const int status = head_.status_;
    return status >= 500 && status < 600 && status != 503 && status != 504;
}

void GatewayCall::reportOutcome(AttemptEnd ended)
{
    if (incarnation_.empty() || gateway_->reachability_.isCutOff()) {
        return;
    }
    const bool failed = ended != AttemptEnd::Complete || isServerError();
    gateway_->outliers_.requestEnded(incarnation_, failed, isOutlierTrial_);
}

void GatewayCall::reportSilence()
{
    if (unansweredFor() >= gateway_->settings_.silentAfter_) {
        reportOutcome(AttemptEnd::TimedOut);
    }
}

void GatewayCall::waitForLimits()
{
    const Time now = gateway_->hooks_.now_();
    if (!limitWaitEndsAt_) {
        limitWaitEndsAt_ = now + std::min(gateway_->settings_.maxLimitWait_, timeLeft() / 2);
    }
    if (!nextLimitedSend_ || *nextLimitedSend_ > *limitWaitEndsAt_ || now >= *limitWaitEndsAt_) {
        refuse(RefusalReason::EndpointsFull);
        return;
    }
    const Duration wait = std::max(*nextLimitedSend_ - now, gateway_->settings_.endpointRetryDelay_);
    gateway_->hooks_.after_(wait, [self = shared_from_this()] {
        if (self->step_ == Step::Placing) {
            self->place();
        }
    });
}

} // namespace filbertgw::internal
