#include "policy/endpointtracker.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

/** \brief Ended commitments are kept this long, because load reports are up to about 2 s old. */
constexpr Duration commitmentRetention = std::chrono::seconds(4);
/** \brief Added to the score of endpoints without a report, whose load is unknown, to sort them last. */
constexpr double unreportedScore = 1000;
constexpr double ratioSmoothing = 0.005;

} // namespace internal

EndpointTracker::EndpointTracker(Blackboard &blackboard, const EngineCosts &costs, bool useCommitments, Clock now)
    : section_(blackboard.write<EndpointSection>())
    , costs_(costs)
    , useCommitments_(useCommitments)
    , now_(std::move(now))
{
}

void EndpointTracker::setEndpoints(const std::vector<EndpointInfo> &endpoints)
{
    std::set<EndpointId> present;
    for (const EndpointInfo &info : endpoints) {
        present.insert(info.id_);
        const std::pair<std::unordered_map<EndpointId, EndpointState>::iterator, bool> inserted =
            section_.endpoints_.try_emplace(info.id_);
        EndpointState &state = inserted.first->second;
        if (inserted.second) {
            state.number_ = section_.byNumber_.size();
            section_.byNumber_.push_back(&state);
        } else {
            unindex(state);
        }
        state.info_ = info;
        index(state);
    }
    std::unordered_map<EndpointId, EndpointState>::iterator it = section_.endpoints_.begin();
    while (it != section_.endpoints_.end()) {
        if (present.count(it->first) > 0) {
            ++it;
            continue;
        }
        unindex(it->second);
        section_.byNumber_[it->second.number_] = nullptr;
        it = section_.endpoints_.erase(it);
    }
    rebuildTargets();
}

void EndpointTracker::rebuildTargets()
{
    std::vector<EndpointState *> present;
    for (EndpointState *state : section_.byNumber_) {
        if (state != nullptr) {
            unindex(*state);
            present.push_back(state);
        }
    }
    section_.byNumber_ = present;
    section_.byTarget_.clear();
    for (std::size_t i = 0; i < present.size(); ++i) {
        present[i]->number_ = i;
        index(*present[i]);
        for (const std::string &target : present[i]->indexedTargets_) {
            section_.byTarget_[target].push_back(i);
        }
    }
}

void EndpointTracker::index(EndpointState &endpoint)
{
    const EndpointInfo &info = endpoint.info_;
    if (info.leaving_ || endpoint.report_.leaving_) {
        return;
    }
    endpoint.score_ = streams(endpoint) + (endpoint.hasReport_ ? 0 : internal::unreportedScore);
    for (const ModelId &model : info.models_) {
        endpoint.indexedTargets_.push_back(model.value());
        section_.byLoad_[model.value()].emplace(endpoint.score_, endpoint.number_);
    }
}

void EndpointTracker::unindex(EndpointState &endpoint)
{
    for (const std::string &target : endpoint.indexedTargets_) {
        section_.byLoad_[target].erase({endpoint.score_, endpoint.number_});
    }
    endpoint.indexedTargets_.clear();
}

EndpointState *EndpointTracker::findState(const EndpointId &endpoint)
{
    const std::unordered_map<EndpointId, EndpointState>::iterator it = section_.endpoints_.find(endpoint);
    return it == section_.endpoints_.end() ? nullptr : &it->second;
}

const EndpointState *EndpointTracker::find(const EndpointId &endpoint) const
{
    const std::unordered_map<EndpointId, EndpointState>::const_iterator it = section_.endpoints_.find(endpoint);
    return it == section_.endpoints_.end() ? nullptr : &it->second;
}

void EndpointTracker::onLoadReport(const LoadReport &report)
{
    EndpointState *state = findState(report.endpoint_);
    if (state == nullptr || (state->hasReport_ && report.measuredAt_ < state->report_.measuredAt_)) {
        return;
    }
    unindex(*state);
    state->report_ = report;
    state->hasReport_ = true;
    if (report.livePrograms_ > 0) {
        const double ratio = static_cast<double>(report.running_ + report.waiting_) / report.livePrograms_;
        streamsPerProgram_ += internal::ratioSmoothing * (ratio - streamsPerProgram_);
    }
    removeExpired(*state);
    index(*state);
}

void EndpointTracker::removeExpired(EndpointState &endpoint) const
{
    const Time oldest = now_() - internal::commitmentRetention;
    std::vector<Commitment> &commitments = endpoint.commitments_;
    commitments.erase(
        std::remove_if(commitments.begin(),
                       commitments.end(),
                       [oldest](const Commitment &c) { return c.endedAt_.count() > 0 && c.endedAt_ < oldest; }),
        commitments.end());
    while (!endpoint.memoryChanges_.empty() && endpoint.memoryChanges_.front().at_ < oldest) {
        endpoint.memoryChanges_.pop_front();
    }
}

void EndpointTracker::onHealth(const EndpointId &endpoint, bool healthy)
{
    EndpointState *state = findState(endpoint);
    if (state == nullptr || state->healthy_ == healthy) {
        return;
    }
    unindex(*state);
    state->healthy_ = healthy;
    if (!healthy) {
        state->report_ = LoadReport{};
        state->hasReport_ = false;
        state->memoryChanges_.clear();
    }
    index(*state);
}

void EndpointTracker::onSent(const EndpointId &endpoint, std::uint64_t commitment, std::int64_t uncachedTokens)
{
    EndpointState *state = findState(endpoint);
    if (state == nullptr) {
        return;
    }
    unindex(*state);
    Commitment entry;
    entry.id_ = commitment;
    entry.sentAt_ = now_();
    entry.uncachedTokens_ = uncachedTokens;
    state->commitments_.push_back(entry);
    ++state->inFlight_;
    index(*state);
}

void EndpointTracker::onFirstToken(const EndpointId &endpoint, std::uint64_t commitment)
{
    EndpointState *state = findState(endpoint);
    if (state == nullptr) {
        return;
    }
    for (Commitment &entry : state->commitments_) {
        entry.hasFirstToken_ = entry.hasFirstToken_ || entry.id_ == commitment;
    }
}

void EndpointTracker::onEnded(const EndpointId &endpoint, std::uint64_t commitment)
{
    EndpointState *state = findState(endpoint);
    if (state == nullptr) {
        return;
    }
    unindex(*state);
    for (Commitment &entry : state->commitments_) {
        if (entry.id_ == commitment && entry.endedAt_.count() == 0) {
            entry.endedAt_ = now_();
            --state->inFlight_;
        }
    }
    index(*state);
}

void EndpointTracker::onMemoryChange(const EndpointId &endpoint, std::int64_t tokens)
{
    EndpointState *state = findState(endpoint);
    if (state != nullptr) {
        state->memoryChanges_.push_back(MemoryChange{now_(), tokens});
    }
}

double EndpointTracker::streams(const EndpointState &endpoint) const
{
    const double reported = endpoint.report_.running_ + endpoint.report_.waiting_;
    if (!useCommitments_) {
        return endpoint.hasReport_ ? reported : endpoint.inFlight_;
    }
    const Time measured = endpoint.report_.measuredAt_;
    double ownAtMeasurement = 0;
    for (const Commitment &entry : endpoint.commitments_) {
        const bool wasInFlight =
            entry.sentAt_ <= measured && (entry.endedAt_.count() == 0 || entry.endedAt_ > measured);
        ownAtMeasurement += wasInFlight ? 1 : 0;
    }
    return std::max(0.0, reported - ownAtMeasurement) + endpoint.inFlight_;
}

double EndpointTracker::expectedStreams(const EndpointState &endpoint) const
{
    if (!endpoint.hasReport_) {
        return endpoint.inFlight_;
    }
    return endpoint.report_.livePrograms_ * streamsPerProgram_;
}

double EndpointTracker::waitingTokens(const EndpointState &endpoint) const
{
    const Time measured = endpoint.report_.measuredAt_;
    const double age = toSeconds(now_() - measured);
    const double chunkSeconds = costs_.chunkTokens_ / costs_.prefillTokensPerSecond_;
    const double rate = costs_.chunkTokens_ / (chunkSeconds + costs_.step(endpoint.report_.running_));
    double result = std::max(0.0, static_cast<double>(endpoint.report_.waitingPromptTokens_) - rate * age);
    if (!useCommitments_) {
        return result;
    }
    for (const Commitment &entry : endpoint.commitments_) {
        if (entry.endedAt_.count() == 0 && !entry.hasFirstToken_ && entry.sentAt_ > measured) {
            result += static_cast<double>(entry.uncachedTokens_);
        }
    }
    return result;
}

double EndpointTracker::usedTokens(const EndpointState &endpoint) const
{
    double result = static_cast<double>(endpoint.report_.cacheUsedTokens_);
    if (useCommitments_) {
        for (const MemoryChange &change : endpoint.memoryChanges_) {
            result += change.at_ > endpoint.report_.measuredAt_ ? static_cast<double>(change.tokens_) : 0;
        }
    }
    return std::max(0.0, result);
}

} // namespace filbertgw
