#include "endpoints/endpointlimits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace filbertgw {

namespace internal {
namespace {

/** Nodes that one limit is divided between at the most. */
constexpr double maxSenders = 1024.0;

} // namespace
} // namespace internal

EndpointLimits::EndpointLimits(EndpointLimitHooks hooks, EndpointLimitSettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
    , announcements_(settings.announcements_)
{
}

void EndpointLimits::observe(const std::string &incarnation, const AttemptHead &head)
{
    const Time now = hooks_.now_();
    if (incarnation.empty()) {
        return; // An endpoint that the registry does not list yet.
    }
    if (head.limit_ == LimitStatement::Named) {
        Limit &limit = limits_[incarnation];
        limit.namedAt_ = now;
        limit.observedAt_ = now;
        limit.unnamed_ = 0;
        change(incarnation, limit, head.requestsPerSecond_);
        return;
    }
    const auto found = limits_.find(incarnation);
    if (found == limits_.end() || !found->second.requestsPerSecond_) {
        return;
    }
    Limit &limit = found->second;
    if (head.limit_ == LimitStatement::Unreadable) {
        limit.namedAt_ = now;
        limit.unnamed_ = 0;
        return;
    }
    ++limit.unnamed_;
    if (limit.unnamed_ >= settings_.answersToEnd_ && now - limit.namedAt_ >= settings_.endDelay_) {
        limit.observedAt_ = now;
        change(incarnation, limit, std::nullopt);
    }
}

void EndpointLimits::merge(const RateLimitNotice &notice)
{
    const Time observedAt = hooks_.now_() - notice.age_;
    const auto known = limits_.find(notice.endpoint_);
    const bool isNew = known == limits_.end();
    if (isNew && (!notice.requestsPerSecond_ || notice.age_ > settings_.lifetime_)) {
        return;
    }
    Limit &limit = limits_[notice.endpoint_];
    if (!isNew && observedAt <= limit.observedAt_) {
        return;
    }
    limit.observedAt_ = observedAt;
    if (notice.requestsPerSecond_) {
        limit.namedAt_ = std::max(limit.namedAt_, observedAt);
        limit.unnamed_ = 0;
    }
    change(notice.endpoint_, limit, notice.requestsPerSecond_);
}

/** Sets a limit and announces it if it has changed, or if others may be about to forget it. */
void EndpointLimits::change(const std::string &incarnation, Limit &limit, std::optional<double> requestsPerSecond)
{
    const Time now = hooks_.now_();
    const bool hasChanged = limit.requestsPerSecond_ != requestsPerSecond;
    if (hasChanged) {
        limit.requestsPerSecond_ = requestsPerSecond;
        if (requestsPerSecond) {
            hooks_.onLimited_(incarnation, *requestsPerSecond);
        } else {
            hooks_.onEnded_(incarnation);
        }
    }
    if (hasChanged || now - limit.announcedAt_ >= settings_.refreshPeriod_) {
        announce(incarnation, limit);
    }
}

void EndpointLimits::announce(const std::string &incarnation, Limit &limit)
{
    limit.announcedAt_ = hooks_.now_();
    announcements_.add(incarnation);
}

bool EndpointLimits::isEmpty() const
{
    return limits_.empty();
}

bool EndpointLimits::isLimited(const std::string &incarnation) const
{
    const auto found = limits_.find(incarnation);
    return found != limits_.end() && found->second.requestsPerSecond_.has_value();
}

std::size_t EndpointLimits::senders(const Limit &limit) const
{
    const double wanted = std::ceil(*limit.requestsPerSecond_ / settings_.requestsPerSender_);
    return static_cast<std::size_t>(std::clamp(wanted, 1.0, internal::maxSenders));
}

Duration EndpointLimits::interval(const Limit &limit) const
{
    const double rate = std::max(settings_.minRate_, *limit.requestsPerSecond_ / static_cast<double>(senders(limit)));
    return Duration(static_cast<std::int64_t>(1e6 / rate));
}

std::optional<Time> EndpointLimits::nextSend(const std::string &incarnation) const
{
    if (!isLimited(incarnation)) {
        return Time{0};
    }
    const Limit &limit = limits_.at(incarnation);
    if (!hooks_.isChosen_(incarnation, senders(limit))) {
        return std::nullopt;
    }
    return limit.earliest_;
}

void EndpointLimits::sent(const std::string &incarnation)
{
    const auto found = limits_.find(incarnation);
    if (found != limits_.end() && found->second.requestsPerSecond_) {
        Limit &limit = found->second;
        // A request that was not sent when it was due can be sent later, so that the whole rate is used.
        limit.earliest_ = std::max(limit.earliest_, hooks_.now_() - interval(limit)) + interval(limit);
    }
}

std::vector<RateLimitNotice> EndpointLimits::takeAnnouncements()
{
    std::vector<RateLimitNotice> notices;
    for (const std::string &incarnation : announcements_.take(settings_.maxAnnounced_)) {
        const auto limit = limits_.find(incarnation);
        if (limit != limits_.end()) {
            const Duration age = hooks_.now_() - limit->second.observedAt_;
            notices.push_back(RateLimitNotice{incarnation, limit->second.requestsPerSecond_, age});
        }
    }
    return notices;
}

void EndpointLimits::expire()
{
    const Time oldest = hooks_.now_() - settings_.lifetime_;
    for (auto limit = limits_.begin(); limit != limits_.end();) {
        limit = limit->second.observedAt_ < oldest ? limits_.erase(limit) : std::next(limit);
    }
}

} // namespace filbertgw
