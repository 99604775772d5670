#include "gateway/gatewaycall.h"

#include "core/numbers.h"

#include <utility>

// The part of GatewayCall that limits the requests of a client account, and the hooks of the quota.
namespace filbertgw {

namespace internal {

std::optional<QuotaLimit> GatewayCall::quotaLimit() const
{
    if (account_ == nullptr || !account_->hasQuota()) {
        return std::nullopt;
    }
    return QuotaLimit{account_->requestsPerSecond_, account_->burst_};
}

void GatewayCall::acquirePermit(const std::function<void()> &granted)
{
    const std::optional<QuotaLimit> limit = quotaLimit();
    if (!limit) {
        granted();
        return;
    }
    if (std::exchange(isAskingPermit_, true)) {
        return;
    }
    // A program that has begun to run counts as running also when its first turn is sent again.
    const QuotaKind kind = runs_ == 0 && startsProgram() ? QuotaKind::FirstTurn : QuotaKind::Other;
    const Step step = step_;
    gateway_->quota_.acquire(
        account_->name_, *limit, kind, [self = shared_from_this(), step, granted](const QuotaDecision &decision) {
            self->permitDecided(decision, step, granted);
        });
}

void GatewayCall::permitDecided(const QuotaDecision &decision, Step step, const std::function<void()> &granted)
{
    isAskingPermit_ = false;
    if (decision.isGranted_) {
        permit_ = decision.deadline_;
    }
    if (step_ != step) {
        returnPermit(); // The request has ended or was passed on meanwhile.
        return;
    }
    if (decision.isGranted_) {
        granted();
        return;
    }
    quotaRetryAfter_ = decision.retryAfter_;
    gateway_->hooks_.logEvent_("request_rate_limited",
                               {{"request", request_->id_},
                                {"program", request_->program_},
                                {"account", account_->name_},
                                {"first_turn", startsProgram()},
                                {"rate", account_->requestsPerSecond_},
                                {"burst", account_->burst_},
                                {"decided_by", decision.decidedBy_},
                                {"retry_ms", toMilliseconds(decision.retryAfter_)}});
    refuse(RefusalReason::RateLimited);
}

bool GatewayCall::usePermit()
{
    if (!quotaLimit()) {
        return true;
    }
    if (permit_ && *permit_ > gateway_->hooks_.now_()) {
        usedPermit_ = std::exchange(permit_, std::nullopt);
        return true;
    }
    returnPermit(); // It has expired, as after a suspension.
    return false;
}

void GatewayCall::keepPermit()
{
    permit_ = std::exchange(usedPermit_, std::nullopt);
}

void GatewayCall::returnPermit()
{
    if (permit_) {
        gateway_->quota_.putBack(account_->name_, *quotaLimit(), *std::exchange(permit_, std::nullopt));
    }
}

} // namespace internal

QuotaControllerHooks Gateway::Private::quotaHooks()
{
    QuotaControllerHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.self_ = settings_.fleet_.self_.name_;
    hooks.nodes_ = [this](Duration window) {
        std::vector<QuotaNode> nodes;
        for (const SeenMember &seen : fleet_.seenWithin(window)) {
            nodes.push_back(QuotaNode{seen.member_.name_, seen.member_.linkAddress_, seen.lastSeenAt_, seen.isAlive_});
        }
        return nodes;
    };
    hooks.hasQuotas_ = [this] { return hasQuotas_; };
    hooks.isDiscoveryComplete_ = [this] { return fleet_.isDiscoveryComplete(); };
    hooks.limitOf_ = [this](const std::string &name) -> std::optional<QuotaLimit> {
        const AccountDirectory *accounts = routing_ ? routing_->accounts() : nullptr;
        const ClientAccount *account = accounts != nullptr ? accounts->findByName(name) : nullptr;
        if (account == nullptr || !account->hasQuota()) {
            return std::nullopt;
        }
        return QuotaLimit{account->requestsPerSecond_, account->burst_};
    };
    hooks.askPeer_ = hooks_.askPeer_;
    if (hooks_.probeNode_) {
        hooks.probe_ = [this](const QuotaNode &node, const std::function<void(NodeProbe)> &done) {
            hooks_.probeNode_(node.address_, done);
        };
    }
    hooks.logEvent_ = hooks_.logEvent_;
    hooks.count_ = hooks_.count_;
    return hooks;
}

} // namespace filbertgw
