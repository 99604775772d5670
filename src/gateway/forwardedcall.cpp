#include "gateway/gatewaycall.h"

#include "core/numbers.h"
#include "memory/releasetext.h"

#include <utility>

// The part of GatewayCall that passes a request on to another node while this one is cut off from all endpoints.
namespace filbertgw::internal {

bool GatewayCall::mustForward() const
{
    const bool mayForward = gateway_->hooks_.forward_ && !request_->isForwarded_ && !isRelayStarted_;
    return mayForward && gateway_->reachability_.isCutOff() && (runs_ == 0 || mayRetry());
}

bool GatewayCall::forward()
{
    const std::size_t maxForwards = gateway_->settings_.maxForwards_;
    if (triedNodes_.size() >= maxForwards || timeLeft() <= Duration{0}) {
        return false;
    }
    for (const FleetMember &node :
         gateway_->fleet_.reachingEndpoints(request_->id_, triedNodes_.size() + maxForwards)) {
        if (triedNodes_.insert(node.name_).second) {
            forwardTo(node);
            return true;
        }
    }
    return false;
}

void GatewayCall::forwardTo(const FleetMember &node)
{
    returnPermit();
    step_ = Step::Forwarding;
    forwardedTo_ = node.name_;
    sentAt_ = gateway_->hooks_.now_();
    head_ = AttemptHead();
    releaseText(responseBody_);
    splitter_ = EventSplitter();
    ForwardedRequest forwarded;
    forwarded.address_ = node.linkAddress_;
    forwarded.request_ = request_;
    forwarded.timeLeft_ = timeLeft();
    forwarded.isBudgetReserved_ = grant_.decision_ == BudgetDecision::Granted;
    forwarded.maxResponseBytes_ = gateway_->settings_.maxResponseBytes_;
    forwarded.maxIdleAge_ = maxIdleAge();
    gateway_->hooks_.logEvent_(
        "request_forwarded",
        {{"request", request_->id_}, {"program", request_->program_}, {"peer", node.name_}, {"runs", runs_}});
    forwardAttempt_ = gateway_->hooks_.forward_(std::move(forwarded), handlersOfForward());
}

AttemptHandlers GatewayCall::handlersOfForward()
{
    AttemptHandlers handlers;
    handlers.onHead_ = [self = shared_from_this(), number = triedNodes_.size()](const AttemptHead &head) {
        if (self->triedNodes_.size() == number) {
            self->forwardHeadReceived(head);
        }
    };
    handlers.onPart_ = [self = shared_from_this(), number = triedNodes_.size()](const std::string &part) {
        if (self->triedNodes_.size() == number) {
            self->forwardPartReceived(part);
        }
    };
    handlers.onEnd_ = [self = shared_from_this(), number = triedNodes_.size()](AttemptEnd ended) {
        if (self->triedNodes_.size() == number) {
            self->forwardEnded(ended);
        }
    };
    return handlers;
}

void GatewayCall::forwardHeadReceived(const AttemptHead &head)
{
    if (step_ != Step::Forwarding || forwardAttempt_ == 0) {
        return;
    }
    head_ = head;
    if (route_->kind_ != RouteKind::Streaming || head.status_ / 100 != 2) {
        return;
    }
    if (head.fromEndpoint_ && isStreamHead(head)) {
        startRelay();
    } else {
        reportRejectedAnswer("not_a_stream", {});
        cutForward();
    }
}

void GatewayCall::forwardPartReceived(const std::string &part)
{
    if (forwardAttempt_ == 0) {
        return;
    }
    if (step_ == Step::Relaying) {
        relayForwardedEvents(part);
    } else if (step_ == Step::Forwarding) {
        responseBody_ += part;
        countBufferedBytes();
        if (responseBody_.size() > gateway_->settings_.maxResponseBytes_) {
            cutForward();
        } else {
            gateway_->limitBufferedBytes();
        }
    }
}

/** The other node retains the turn, and reserves its tokens if this one has not. */
void GatewayCall::relayForwardedEvents(const std::string &part)
{
    bool isValid = splitter_.add(part);
    StreamEvent event;
    while (isValid && splitter_.next(event)) {
        isValid = sequence_.take(event);
        if (isValid) {
            ++relayedEvents_;
            reply_->write(event.bytes_);
        }
    }
    countBufferedBytes();
    if (!isValid) {
        reportRejectedAnswer("out_of_order", event.id_);
        cutForward();
    } else {
        gateway_->limitBufferedBytes();
    }
}

void GatewayCall::cutForward()
{
    gateway_->hooks_.cancelAttempt_(forwardAttempt_);
    releaseText(responseBody_);
    splitter_ = EventSplitter();
    countBufferedBytes();
    forwardEnded(AttemptEnd::Broken);
}

void GatewayCall::forwardEnded(AttemptEnd ended)
{
    if (forwardAttempt_ == 0) {
        return;
    }
    forwardAttempt_ = 0;
    // A node passes a success on with the endpoint's stamp.
    const bool isStamped = head_.fromEndpoint_ || head_.status_ / 100 != 2;
    const bool isWhole = ended == AttemptEnd::Complete && head_.status_ != 0 && isStamped;
    const bool isRefusal = isWhole && promisesNotRun(head_.status_);
    // A node of the version before reserves the turn again and may find the budget spent by this node's reservation.
    const bool isFalseRefusal =
        head_.status_ == statusOf(RefusalReason::BudgetSpent) && grant_.decision_ == BudgetDecision::Granted;
    if (step_ == Step::Relaying) {
        if (!isWhole || splitter_.isInsideEvent()) {
            abortResponse("peer_broke_off");
            return;
        }
        reply_->finish();
        end("served_by_peer");
        return;
    }
    if (isWhole && !head_.isMisdirected_ && !isFalseRefusal && (!isRefusal || runs_ == 0)) {
        const std::string contentType = relayHeaders();
        reply_->send(head_.status_, contentType, responseBody_);
        releaseText(responseBody_); // Timers may keep the ended call for a while.
        end(head_.status_ / 100 == 2 ? "served_by_peer" : "refused_by_peer");
        return;
    }
    const bool hasNotRun = isWhole || ended == AttemptEnd::NotSent;
    runs_ += hasNotRun ? 0 : 1;
    if ((runs_ == 0 || mayRetry()) && forward()) {
        return;
    }
    refuseAfterForwards(ended);
}

void GatewayCall::refuseAfterForwards(AttemptEnd ended)
{
    if (runs_ == 0) {
        refuse(RefusalReason::Unreachable);
        return;
    }
    refuse(ended == AttemptEnd::TimedOut ? RefusalReason::TimedOut : RefusalReason::OutcomeUnknown);
}

void GatewayCall::forwardIfWaiting()
{
    if (step_ == Step::Placing) {
        if (mustForward()) {
            forward();
        }
        return;
    }
    // The endpoint may have run it: it counts as an attempt.
    const bool mayRunAgain = route_ != nullptr && route_->isRetryable() && runs_ + 1 < route_->maxAttempts_;
    if (step_ != Step::Running || unansweredFor() < gateway_->settings_.reachability_.silence_ || !mayRunAgain) {
        return;
    }
    gateway_->hooks_.cancelAttempt_(attempt_);
    releaseEndpoint(AttemptEnd::Cancelled);
    ++runs_;
    place();
}

} // namespace filbertgw::internal
