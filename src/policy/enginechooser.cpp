#include "policy/enginechooser.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace filbertgw {

namespace internal {

constexpr std::size_t leastLoadedCandidates = 6;
constexpr std::size_t randomCandidates = 3;
/** \brief Minimum gain of a move, in costs of one more stream; a transfer delays the program and doubles its memory. */
constexpr double moveMarginStreams = 17;
/** \brief Difference up to which engines count as equal, in costs of one more stream: the error of a load report. */
constexpr double tieMarginStreams = 8;
/** \brief Weight of the load expected over the next minute against the current one, for programs without a home. */
constexpr double expectedLoadWeight = 0.5;
/** \brief Share of the KV memory above which an engine starts to evict blocks that are still needed. */
constexpr double evictionShare = 0.97;

} // namespace internal

EngineChooser::EngineChooser(const Blackboard &blackboard,
                             const EndpointTracker &endpoints,
                             const ProgramTracker &programs,
                             const OutlierEjector &ejector,
                             const CapacityQuota &quota,
                             const EngineCosts &costs,
                             DisabledMechanisms disabled,
                             RandomSource random)
    : section_(blackboard.read<EndpointSection>())
    , endpoints_(endpoints)
    , programs_(programs)
    , ejector_(ejector)
    , quota_(quota)
    , costs_(costs)
    , disabled_(std::move(disabled))
    , random_(std::move(random))
{
}

bool EngineChooser::isUsable(const EndpointState &endpoint) const
{
    return endpoint.healthy_ && !endpoint.info_.leaving_ && !endpoint.report_.leaving_
        && !ejector_.isEjected(endpoint.info_.id_);
}

std::vector<const EndpointState *> EngineChooser::listCandidates(const ScheduleRequest &request,
                                                                 const ProgramState *program,
                                                                 const PlacementConstraints &constraints)
{
    std::vector<const EndpointState *> result;
    const std::map<std::string, EndpointSection::LoadIndex>::const_iterator index =
        section_.byLoad_.find(request.target_);
    if (index == section_.byLoad_.end()) {
        return result;
    }
    bool homeUsable = false;
    const auto add = [this, &result, &constraints, &homeUsable](const EndpointState *endpoint) {
        const bool excluded = constraints.excluded_ != nullptr && constraints.excluded_->count(endpoint->info_.id_) > 0;
        if (homeUsable && !quota_.canMove(*endpoint)) {
            return;
        }
        if (excluded || !isUsable(*endpoint) || (constraints.allowed_ && !constraints.allowed_(*endpoint))) {
            return;
        }
        if (std::find(result.begin(), result.end(), endpoint) == result.end()) {
            result.push_back(endpoint);
        }
    };
    const EndpointState *home = program == nullptr ? nullptr : endpoints_.find(program->home_);
    if (home != nullptr && !home->indexedTargets_.empty()) {
        add(home);
    }
    homeUsable = !result.empty();
    // Unusable endpoints at the front of the index are skipped, up to a bound on the time of a decision.
    std::size_t examined = 0;
    for (const std::pair<double, std::size_t> &entry : index->second) {
        if (result.size() > internal::leastLoadedCandidates || ++examined > 4 * internal::leastLoadedCandidates) {
            break;
        }
        add(section_.byNumber_[entry.second]);
    }
    const std::map<std::string, std::vector<std::size_t>>::const_iterator all =
        section_.byTarget_.find(request.target_);
    if (all != section_.byTarget_.end() && !all->second.empty()) {
        for (std::size_t i = 0; i < internal::randomCandidates; ++i) {
            const EndpointState *endpoint = section_.byNumber_[all->second[random_() % all->second.size()]];
            if (!endpoint->indexedTargets_.empty()) {
                add(endpoint);
            }
        }
    }
    return result;
}

void EngineChooser::estimateCacheReuse(const ScheduleRequest &request,
                                       const ProgramState *program,
                                       Candidate &candidate) const
{
    // Shared prefixes are in constant use, so every engine is assumed to have them cached.
    candidate.uncachedTokens_ = std::max<std::int64_t>(1, request.promptTokens_ - request.sharedTokens_);
    if (program == nullptr || program->home_.isEmpty()) {
        return;
    }
    const std::int64_t prefix = std::min(program->prefixTokens_, request.promptTokens_);
    const std::int64_t uncached = std::max<std::int64_t>(1, request.promptTokens_ - prefix);
    const bool exported = !program->exportEngine_.isEmpty();
    if (candidate.endpoint_->info_.id_ == program->home_ && !exported) {
        candidate.uncachedTokens_ = uncached;
        return;
    }
    const EndpointState *source = endpoints_.find(program->home_);
    const bool canImport = enabled(Mechanism::Moves) || candidate.endpoint_->info_.id_ == program->home_;
    if (source == nullptr || !source->healthy_ || prefix <= request.sharedTokens_ || !canImport) {
        return;
    }
    candidate.importFrom_ = program->home_;
    candidate.uncachedTokens_ = uncached;
    candidate.transferSeconds_ = static_cast<double>(prefix) / costs_.transferTokensPerSecond_;
}

double EngineChooser::evictionSeconds(const EndpointState &endpoint, double growth, double streams) const
{
    const double full = internal::evictionShare * static_cast<double>(endpoint.info_.cacheTokens_);
    const double evicted = std::clamp(endpoints_.usedTokens(endpoint) + growth - full, 0.0, growth);
    return evicted / costs_.prefillTokensPerSecond_ * (1 + streams);
}

EngineChooser::Candidate EngineChooser::evaluate(const ScheduleRequest &request,
                                                 const ProgramState *program,
                                                 const EndpointState &endpoint) const
{
    Candidate candidate;
    candidate.endpoint_ = &endpoint;
    estimateCacheReuse(request, program, candidate);
    const double generated = programs_.expectedGeneratedTokens();
    const double maxStreams = endpoint.info_.maxStreams_;
    const bool isNew = program == nullptr || program->home_.isEmpty();
    const double currentStreams = endpoints_.streams(endpoint);
    const double load = isNew
        ? currentStreams + internal::expectedLoadWeight * (endpoints_.expectedStreams(endpoint) - currentStreams)
        : currentStreams;
    const double streams = std::min(load, maxStreams - 1);
    const double uncached = static_cast<double>(candidate.uncachedTokens_);
    const double chunkStep =
        costs_.chunkTokens_ / costs_.prefillTokensPerSecond_ + (streams > 0 ? costs_.step(streams) : 0);
    const double prefill = uncached / costs_.chunkTokens_ * chunkStep;
    const double queuedTokens = endpoints_.waitingTokens(endpoint) / costs_.chunkTokens_ * chunkStep;
    const double callSeconds = generated * costs_.step(maxStreams);
    const double queuedStreams = std::max(0.0, load + 1 - maxStreams) * callSeconds / maxStreams;
    const double ownSeconds =
        queuedTokens + queuedStreams + candidate.transferSeconds_ + prefill + generated * costs_.step(streams + 1);
    const double othersSeconds =
        streams * (uncached / costs_.prefillTokensPerSecond_ + generated * costs_.streamSeconds_);
    const bool isHome = program != nullptr && program->home_ == endpoint.info_.id_ && program->exportEngine_.isEmpty();
    const double growth =
        static_cast<double>(isHome ? candidate.uncachedTokens_ : request.promptTokens_ - request.sharedTokens_)
        + generated;
    candidate.costSeconds_ = ownSeconds + othersSeconds + evictionSeconds(endpoint, growth, streams);
    return candidate;
}

const EngineChooser::Candidate *EngineChooser::select(const std::vector<Candidate> &candidates,
                                                      const ProgramState *program)
{
    const Candidate *best = nullptr;
    const Candidate *home = nullptr;
    for (const Candidate &candidate : candidates) {
        best = best == nullptr || candidate.costSeconds_ < best->costSeconds_ ? &candidate : best;
        const bool isHome = program != nullptr && candidate.endpoint_->info_.id_ == program->home_;
        home = isHome ? &candidate : home;
    }
    if (best == nullptr) {
        return nullptr;
    }
    // Cost of one more stream on the engine, to the call itself and to the others.
    const double streamSeconds = 2 * programs_.expectedGeneratedTokens() * costs_.streamSeconds_;
    const double margin = streamSeconds * internal::moveMarginStreams;
    if (home != nullptr && (!enabled(Mechanism::Moves) || home->costSeconds_ <= best->costSeconds_ + margin)) {
        return home;
    }
    if (!enabled(Mechanism::Spread)) {
        return best;
    }
    std::vector<const Candidate *> ties;
    for (const Candidate &candidate : candidates) {
        if (candidate.costSeconds_ <= best->costSeconds_ + streamSeconds * internal::tieMarginStreams) {
            ties.push_back(&candidate);
        }
    }
    return ties[random_() % ties.size()];
}

EngineChoice EngineChooser::makeChoice(const Candidate &candidate) const
{
    EngineChoice choice;
    choice.endpoint_ = candidate.endpoint_->info_.id_;
    choice.importFrom_ = candidate.importFrom_;
    choice.uncachedTokens_ = candidate.uncachedTokens_;
    choice.costSeconds_ = candidate.costSeconds_;
    char text[160];
    std::snprintf(text,
                  sizeof text,
                  "cost=%.2fs streams=%.1f used=%.0f missing=%lld transfer=%.2fs",
                  candidate.costSeconds_,
                  endpoints_.streams(*candidate.endpoint_),
                  endpoints_.usedTokens(*candidate.endpoint_),
                  static_cast<long long>(candidate.uncachedTokens_),
                  candidate.transferSeconds_);
    choice.reason_ = text;
    return choice;
}

std::optional<EngineChoice> EngineChooser::choose(const ScheduleRequest &request,
                                                  const PlacementConstraints &constraints)
{
    const ProgramState *program = programs_.find(request.program_);
    const std::vector<const EndpointState *> endpoints = listCandidates(request, program, constraints);
    std::vector<Candidate> candidates;
    candidates.reserve(endpoints.size());
    for (const EndpointState *endpoint : endpoints) {
        Candidate candidate = evaluate(request, program, *endpoint);
        if (!enabled(Mechanism::CostRouting)) {
            candidate.costSeconds_ = static_cast<double>(candidate.uncachedTokens_) + endpoints_.streams(*endpoint);
        }
        candidates.push_back(candidate);
    }
    const Candidate *best = select(candidates, program);
    if (best == nullptr) {
        return std::nullopt;
    }
    return makeChoice(*best);
}

} // namespace filbertgw
