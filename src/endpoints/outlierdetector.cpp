#include "endpoints/outlierdetector.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace filbertgw {

namespace internal {
namespace {

/** Requests or failures below this are too old to count. */
constexpr double negligible = 0.2;
/** Share of failures from which on an endpoint counts as failing for isSelfAtFault(). */
constexpr double halfOfRequests = 0.5;
/** Number of failing endpoints from which on a node doubts itself, and their share of those that it uses. */
constexpr std::size_t minFailingEndpoints = 3;
constexpr double selfAtFaultShare = 0.8;

} // namespace
} // namespace internal

OutlierDetector::OutlierDetector(OutlierDetectorHooks hooks, OutlierSettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
    , announcements_(settings.announcements_)
{
}

double OutlierDetector::decayFactor(Time since) const
{
    const double age = toSeconds(hooks_.now_() - since) / toSeconds(settings_.decayTime_);
    return std::exp(-std::max(0.0, age));
}

void OutlierDetector::requestEnded(const std::string &endpoint, bool failed, bool isTrial)
{
    if (isEjected(endpoint)) {
        if (isTrial) {
            trialEnded(endpoint, ejections_.at(endpoint), failed);
        }
        return;
    }
    Local &local = local_[endpoint];
    const double factor = decayFactor(local.updatedAt_);
    local.requests_ = local.requests_ * factor + 1.0;
    local.failures_ = local.failures_ * factor + (failed ? 1.0 : 0.0);
    local.updatedAt_ = hooks_.now_();
}

void OutlierDetector::setPeerOutcomes(const std::string &source, std::vector<EndpointOutcomes> outcomes)
{
    if (outcomes.empty()) {
        peers_.erase(source);
        return;
    }
    peers_[source] = Reported{hooks_.now_(), std::move(outcomes)};
}

bool OutlierDetector::isSelfAtFault() const
{
    std::size_t used = 0;
    std::size_t failing = 0;
    for (const std::pair<const std::string, Local> &entry : local_) {
        if (entry.second.requests_ * decayFactor(entry.second.updatedAt_) < internal::negligible) {
            continue;
        }
        ++used;
        failing += entry.second.failures_ >= internal::halfOfRequests * entry.second.requests_ ? 1 : 0;
    }
    return failing >= internal::minFailingEndpoints
        && static_cast<double>(failing) > internal::selfAtFaultShare * static_cast<double>(used);
}

std::vector<EndpointOutcomes> OutlierDetector::localOutcomes() const
{
    std::vector<EndpointOutcomes> outcomes;
    if (isSelfAtFault()) {
        return outcomes;
    }
    for (const std::pair<const std::string, Local> &entry : local_) {
        const double factor = decayFactor(entry.second.updatedAt_);
        const EndpointOutcomes now{entry.first, entry.second.requests_ * factor, entry.second.failures_ * factor};
        const bool isAskedFor = suspectedAt_.count(entry.first) > 0 && now.requests_ >= internal::negligible;
        if (now.failures_ >= internal::negligible || isAskedFor) {
            outcomes.push_back(now);
        }
    }
    const auto failsMore = [](const EndpointOutcomes &a, const EndpointOutcomes &b) {
        return a.failures_ > b.failures_;
    };
    std::sort(outcomes.begin(), outcomes.end(), failsMore);
    outcomes.resize(std::min(outcomes.size(), settings_.maxReported_));
    return outcomes;
}

std::map<std::string, OutlierDetector::Total> OutlierDetector::totals() const
{
    std::map<std::string, Total> totals;
    const auto add = [&totals](const EndpointOutcomes &outcomes) {
        Total &total = totals[outcomes.endpoint_];
        total.outcomes_.endpoint_ = outcomes.endpoint_;
        total.outcomes_.requests_ += outcomes.requests_;
        total.outcomes_.failures_ += outcomes.failures_;
        total.sources_ += outcomes.failures_ >= internal::negligible ? 1 : 0;
    };
    for (const EndpointOutcomes &own : localOutcomes()) {
        add(own);
    }
    for (const std::pair<const std::string, Reported> &peer : peers_) {
        for (const EndpointOutcomes &reported : peer.second.outcomes_) {
            add(reported);
        }
    }
    return totals;
}

/** Endpoints that nobody reports have not failed; they are taken to get as many requests as the reported ones. */
double OutlierDetector::usualFailureShare(const std::map<std::string, Total> &totals, const std::string &service) const
{
    std::vector<EndpointOutcomes> reported;
    double requestsOfReported = 0.0;
    for (const std::pair<const std::string, Total> &entry : totals) {
        if (hooks_.serviceOf_(entry.first) == service) {
            reported.push_back(entry.second.outcomes_);
            requestsOfReported += entry.second.outcomes_.requests_;
        }
    }
    const auto failsLess = [](const EndpointOutcomes &a, const EndpointOutcomes &b) {
        return a.failures_ * b.requests_ < b.failures_ * a.requests_;
    };
    std::sort(reported.begin(), reported.end(), failsLess);
    const std::size_t all = std::max(reported.size(), hooks_.endpoints_(service));
    const std::size_t half = all / 2;
    const std::size_t unreported = std::min(half, all - reported.size());
    double requests = requestsOfReported / static_cast<double>(reported.size()) * static_cast<double>(unreported);
    double failures = 0.0;
    for (std::size_t i = 0; i < half - unreported; ++i) {
        requests += reported[i].requests_;
        failures += reported[i].failures_;
    }
    return requests > 0.0 ? failures / requests : 0.0;
}

bool OutlierDetector::isOutlier(const std::map<std::string, Total> &totals, const Total &total) const
{
    const EndpointOutcomes &outcomes = total.outcomes_;
    const std::string service = hooks_.serviceOf_(outcomes.endpoint_);
    const std::size_t minSources = std::min(settings_.minSources_, hooks_.nodes_());
    if (outcomes.failures_ < settings_.minFailures_ || total.sources_ < minSources || service.empty()) {
        return false;
    }
    const double expected = outcomes.requests_ * usualFailureShare(totals, service);
    return outcomes.failures_ >= settings_.minFailureShare_ * outcomes.requests_
        && outcomes.failures_ >= expected + settings_.minDeviation_ * std::sqrt(expected);
}

bool OutlierDetector::mayEject(const std::string &endpoint) const
{
    const std::string service = hooks_.serviceOf_(endpoint);
    std::size_t ejected = 0;
    for (const std::pair<const std::string, Ejection> &entry : ejections_) {
        ejected += entry.second.isEjected_ && hooks_.serviceOf_(entry.first) == service ? 1 : 0;
    }
    const double allowed = settings_.maxEjectedShare_ * static_cast<double>(hooks_.endpoints_(service));
    return !service.empty() && static_cast<double>(ejected + 1) <= allowed;
}

void OutlierDetector::update()
{
    const Time now = hooks_.now_();
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        peer = now - peer->second.receivedAt_ > settings_.peerTimeout_ ? peers_.erase(peer) : std::next(peer);
    }
    for (auto local = local_.begin(); local != local_.end();) {
        const bool isOld = local->second.requests_ * decayFactor(local->second.updatedAt_) < internal::negligible;
        local = isOld ? local_.erase(local) : std::next(local);
    }
    std::map<std::string, Time> suspected;
    const std::map<std::string, Total> totals = this->totals();
    for (const std::pair<const std::string, Total> &entry : totals) {
        if (entry.second.outcomes_.failures_ < settings_.suspicionFailures_) {
            continue;
        }
        const auto known = suspectedAt_.find(entry.first);
        const Time since = known == suspectedAt_.end() ? now : known->second;
        suspected[entry.first] = since;
        if (now - since >= settings_.suspicionTime_ && !isEjected(entry.first) && isOutlier(totals, entry.second)
            && mayEject(entry.first)) {
            eject(entry.second.outcomes_, now);
        }
    }
    suspectedAt_ = std::move(suspected);
    for (auto entry = ejections_.begin(); entry != ejections_.end();) {
        Ejection &ejection = entry->second;
        if (ejection.isEjected_ && now - ejection.changedAt_ > settings_.lifetime_) {
            readmit(entry->first, now);
        }
        const bool isForgotten = !ejection.isEjected_ && now - ejection.changedAt_ > settings_.memory_;
        entry = isForgotten ? ejections_.erase(entry) : std::next(entry);
    }
}

void OutlierDetector::eject(const EndpointOutcomes &outcomes, Time at)
{
    Ejection &ejection = ejections_[outcomes.endpoint_];
    ejection.isEjected_ = true;
    ejection.changedAt_ = at;
    ejection.successes_ = 0;
    const Duration delay = std::max(settings_.trialDelay_, ejection.trialDelay_ * 2);
    ejection.trialDelay_ = std::min(delay, settings_.maxTrialDelay_);
    ejection.trialAt_ = hooks_.now_() + ejection.trialDelay_;
    local_.erase(outcomes.endpoint_);
    announce(outcomes.endpoint_, ejection);
    hooks_.onEjected_(outcomes);
}

void OutlierDetector::readmit(const std::string &endpoint, Time at)
{
    Ejection &ejection = ejections_[endpoint];
    ejection.isEjected_ = false;
    ejection.changedAt_ = at;
    announce(endpoint, ejection);
    hooks_.onReadmitted_(endpoint);
}

void OutlierDetector::trialEnded(const std::string &endpoint, Ejection &ejection, bool failed)
{
    const Time now = hooks_.now_();
    if (failed) {
        ejection.successes_ = 0;
        ejection.trialDelay_ = std::min(ejection.trialDelay_ * 2, settings_.maxTrialDelay_);
        ejection.trialAt_ = now + ejection.trialDelay_;
    } else if (++ejection.successes_ >= settings_.trialsToReadmit_) {
        readmit(endpoint, now);
        return;
    } else {
        ejection.trialAt_ = now + settings_.trialInterval_;
    }
    ejection.changedAt_ = now;
    if (now - ejection.announcedAt_ >= settings_.refreshPeriod_) {
        announce(endpoint, ejection);
    }
}

void OutlierDetector::merge(const EjectionNotice &notice)
{
    const Time at = hooks_.now_() - notice.age_;
    const auto known = ejections_.find(notice.endpoint_);
    const bool isNew = known == ejections_.end();
    if (notice.age_ > settings_.lifetime_ || (!isNew && at <= known->second.changedAt_)) {
        return;
    }
    const bool wasEjected = !isNew && known->second.isEjected_;
    if (wasEjected == notice.isEjected_) {
        if (!isNew) {
            known->second.changedAt_ = at;
        }
    } else if (!notice.isEjected_) {
        readmit(notice.endpoint_, at);
    } else if (mayEject(notice.endpoint_)) {
        eject(EndpointOutcomes{notice.endpoint_, 0.0, 0.0}, at);
    }
}

bool OutlierDetector::isEmpty() const
{
    return ejections_.empty();
}

bool OutlierDetector::isEjected(const std::string &endpoint) const
{
    const auto ejection = ejections_.find(endpoint);
    return ejection != ejections_.end() && ejection->second.isEjected_;
}

bool OutlierDetector::isTrialDue(const std::string &endpoint) const
{
    const auto ejection = ejections_.find(endpoint);
    return ejection != ejections_.end() && ejection->second.isEjected_ && hooks_.now_() >= ejection->second.trialAt_
        && hooks_.isChosen_(endpoint, settings_.trialNodes_);
}

void OutlierDetector::trialBegan(const std::string &endpoint)
{
    Ejection &ejection = ejections_[endpoint];
    ejection.trialAt_ = hooks_.now_() + ejection.trialDelay_;
}

std::size_t OutlierDetector::ejected() const
{
    return static_cast<std::size_t>(
        std::count_if(ejections_.begin(), ejections_.end(), [](const auto &entry) { return entry.second.isEjected_; }));
}

void OutlierDetector::announce(const std::string &endpoint, Ejection &ejection)
{
    ejection.announcedAt_ = hooks_.now_();
    announcements_.add(endpoint);
}

std::vector<EjectionNotice> OutlierDetector::takeAnnouncements()
{
    std::vector<EjectionNotice> notices;
    for (const std::string &endpoint : announcements_.take(settings_.maxReported_)) {
        const auto ejection = ejections_.find(endpoint);
        if (ejection != ejections_.end()) {
            const Duration age = hooks_.now_() - ejection->second.changedAt_;
            notices.push_back(EjectionNotice{endpoint, ejection->second.isEjected_, age});
        }
    }
    return notices;
}

} // namespace filbertgw
