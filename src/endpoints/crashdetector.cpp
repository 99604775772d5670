#include "endpoints/crashdetector.h"

#include <nlohmann/json.hpp>

#include <iterator>

namespace filbertgw {

CrashDetector::CrashDetector(CrashDetectorHooks hooks, CrashDetectorSettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
{
}

std::uint64_t CrashDetector::attemptStarted(const Endpoint &endpoint, std::shared_ptr<const GatewayRequest> request)
{
    const std::string key = endpoint.incarnation();
    const std::uint64_t number = ++attempts_;
    Incarnation &incarnation = incarnations_[key];
    incarnation.endpoint_ = endpoint;
    incarnation.attempts_[number].request_ = std::move(request);
    incarnationOf_[number] = key;
    return number;
}

void CrashDetector::attemptEnded(std::uint64_t attempt, AttemptEnd ended)
{
    const auto found = incarnationOf_.find(attempt);
    if (found == incarnationOf_.end()) {
        return;
    }
    const std::string key = found->second;
    incarnationOf_.erase(found);
    const auto incarnation = incarnations_.find(key);
    if (incarnation == incarnations_.end()) {
        return;
    }
    std::map<std::uint64_t, Attempt> &attempts = incarnation->second.attempts_;
    const auto entry = attempts.find(attempt);
    const bool mayHaveRun = ended != AttemptEnd::Complete && ended != AttemptEnd::NotSent;
    if (entry == attempts.end() || !mayHaveRun || ended_.count(key) != 0) {
        attempts.erase(attempt);
        if (attempts.empty()) {
            incarnations_.erase(incarnation);
        }
        return;
    }
    entry->second.fingerprints_ = RequestFingerprints::of(*entry->second.request_);
    entry->second.request_.reset();
    entry->second.failedAt_ = hooks_.now_();
    if (ended == AttemptEnd::Broken) {
        probe(key);
    }
}

void CrashDetector::probe(const std::string &incarnation)
{
    Incarnation &probed = incarnations_.at(incarnation);
    if (probed.isProbed_ || !hooks_.probe_) {
        return;
    }
    probed.isProbed_ = true;
    hooks_.probe_(probed.endpoint_, [this, incarnation](bool isReachable) { this->probed(incarnation, isReachable); });
}

void CrashDetector::probed(const std::string &incarnation, bool isReachable)
{
    const auto found = incarnations_.find(incarnation);
    if (found == incarnations_.end()) {
        return;
    }
    if (!isReachable && hooks_.checkPath_) {
        hooks_.checkPath_(found->second.endpoint_,
                          [this, incarnation](bool isPathUp) { pathChecked(incarnation, isPathUp); });
        return;
    }
    found->second.isProbed_ = false;
    if (!isReachable) {
        endpointEnded(incarnation, CrashEvidence::Unreachable);
        return;
    }
    std::map<std::uint64_t, Attempt> &attempts = found->second.attempts_;
    for (auto attempt = attempts.begin(); attempt != attempts.end();) {
        attempt = attempt->second.failedAt_ ? attempts.erase(attempt) : std::next(attempt);
    }
    if (attempts.empty()) {
        incarnations_.erase(found);
    }
}

void CrashDetector::pathChecked(const std::string &incarnation, bool isPathUp)
{
    const auto found = incarnations_.find(incarnation);
    if (found == incarnations_.end()) {
        return;
    }
    found->second.isProbed_ = false;
    if (isPathUp) {
        endpointEnded(incarnation, CrashEvidence::Unreachable);
    }
}

void CrashDetector::endpointEnded(const std::string &incarnation, CrashEvidence evidence)
{
    if (!ended_.emplace(incarnation, hooks_.now_()).second) {
        return;
    }
    const auto found = incarnations_.find(incarnation);
    if (found == incarnations_.end()) {
        return;
    }
    std::vector<RequestFingerprints> requests;
    for (const std::pair<const std::uint64_t, Attempt> &entry : found->second.attempts_) {
        const Attempt &attempt = entry.second;
        requests.push_back(attempt.request_ ? RequestFingerprints::of(*attempt.request_) : attempt.fingerprints_);
        incarnationOf_.erase(entry.first);
    }
    incarnations_.erase(found);
    hooks_.logEvent_("endpoint_crashed",
                     {{"endpoint", incarnation}, {"evidence", nameOf(evidence)}, {"requests", requests.size()}});
    hooks_.onCrash_(incarnation, requests);
}

void CrashDetector::expire()
{
    const Time limit = hooks_.now_() - settings_.evidenceWindow_;
    for (auto entry = incarnations_.begin(); entry != incarnations_.end();) {
        std::map<std::uint64_t, Attempt> &attempts = entry->second.attempts_;
        for (auto attempt = attempts.begin(); attempt != attempts.end();) {
            const std::optional<Time> &failedAt = attempt->second.failedAt_;
            attempt = failedAt && *failedAt < limit ? attempts.erase(attempt) : std::next(attempt);
        }
        entry = attempts.empty() ? incarnations_.erase(entry) : std::next(entry);
    }
    for (auto entry = ended_.begin(); entry != ended_.end();) {
        entry = entry->second < limit ? ended_.erase(entry) : std::next(entry);
    }
}

} // namespace filbertgw
