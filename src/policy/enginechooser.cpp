#include "policy/enginechooser.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace filbertgw {

namespace internal {

constexpr std::size_t leastLoadedCandidates = 6;
constexpr std::size_t randomCandidates = 3;
/** \brief A program moves only for a gain of this many streams: a copy delays it and doubles its memory meanwhile. */
constexpr double moveStreams = 17;
/** \brief Engines whose cost differs by less than this many streams are equal: a report is wrong by as much. */
constexpr double nearStreams = 8;
/** \brief Weight of the load expected over the next minute, against that of now, for a program without a home. */
constexpr double expectedWeight = 0.5;
/** \brief Share of the KV memory above which an engine starts to evict what is still needed. */
constexpr double fullShare = 0.97;

} // namespace internal

EngineChooser::EngineChooser(const Blackboard &blackboard,
                             const EndpointTracker &endpoints,
                             const ProgramTracker &programs,
                             const OutlierEjector &ejector,
                             const RoomLedger &rooms,
                             const EngineCosts &costs,
                             DisabledMechanisms disabled,
                             RandomSource random)
    : section_(blackboard.read<EndpointSection>())
    , endpoints_(endpoints)
    , programs_(programs)
    , ejector_(ejector)
    , rooms_(rooms)
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

std::vector<const EndpointState *>
EngineChooser::listCandidates(const ScheduleRequest &request, const ProgramState *program, const ChoiceRules &rules)
{
    std::vector<const EndpointState *> result;
    const std::map<std::string, EndpointSection::LoadIndex>::const_iterator index =
        section_.byLoad_.find(request.target_);
    if (index == section_.byLoad_.end()) {
        return result;
    }
    bool homeUsable = false;
    const auto add = [this, &result, &rules, &homeUsable](const EndpointState *endpoint) {
        const bool excluded = rules.excluded_ != nullptr && rules.excluded_->count(endpoint->info_.id_) > 0;
        if (homeUsable && !rooms_.hasMove(*endpoint)) {
            return;
        }
        if (excluded || !isUsable(*endpoint) || (rules.allowed_ && !rules.allowed_(*endpoint))) {
            return;
        }
        if (std::find(result.begin(), result.end(), endpoint) == result.end()) {
            result.push_back(endpoint);
        }
    };
    const EndpointState *home = program == nullptr ? nullptr : endpoints_.find(program->home_);
    if (home != nullptr && !home->indexed_.empty()) {
        add(home);
    }
    homeUsable = !result.empty();
    // Unusable endpoints in front of the index are skipped, up to a bound that keeps the decision short.
    std::size_t looked = 0;
    for (const std::pair<double, std::size_t> &entry : index->second) {
        if (result.size() > internal::leastLoadedCandidates || ++looked > 4 * internal::leastLoadedCandidates) {
            break;
        }
        add(section_.byNumber_[entry.second]);
    }
    const std::map<std::string, std::vector<std::size_t>>::const_iterator all =
        section_.byTarget_.find(request.target_);
    if (all != section_.byTarget_.end() && !all->second.empty()) {
        for (std::size_t i = 0; i < internal::randomCandidates; ++i) {
            const EndpointState *endpoint = section_.byNumber_[all->second[random_() % all->second.size()]];
            if (!endpoint->indexed_.empty()) {
                add(endpoint);
            }
        }
    }
    return result;
}

void EngineChooser::addCache(const ScheduleRequest &request, const ProgramState *program, Candidate &candidate) const
{
    // Shared prefixes are used all the time, so every engine is taken to have them.
    candidate.missingTokens_ = std::max<std::int64_t>(1, request.promptTokens_ - request.sharedTokens_);
    if (program == nullptr || program->home_.isEmpty()) {
        return;
    }
    const std::int64_t prefix = std::min(program->homeTokens_, request.promptTokens_);
    const std::int64_t missing = std::max<std::int64_t>(1, request.promptTokens_ - prefix);
    const bool exported = !program->exportedAt_.isEmpty();
    if (candidate.endpoint_->info_.id_ == program->home_ && !exported) {
        candidate.missingTokens_ = missing;
        return;
    }
    const EndpointState *source = endpoints_.find(program->home_);
    const bool canImport = enabled(Mechanism::Moves) || candidate.endpoint_->info_.id_ == program->home_;
    if (source == nullptr || !source->healthy_ || prefix <= request.sharedTokens_ || !canImport) {
        return;
    }
    candidate.importFrom_ = program->home_;
    candidate.missingTokens_ = missing;
    candidate.transferSeconds_ = static_cast<double>(prefix) / costs_.transferTokensPerSecond_;
}

double EngineChooser::evictionSeconds(const EndpointState &endpoint, double growth, double streams) const
{
    const double full = internal::fullShare * static_cast<double>(endpoint.info_.cacheTokens_);
    const double evicted = std::clamp(endpoints_.usedTokens(endpoint) + growth - full, 0.0, growth);
    return evicted / costs_.prefillTokensPerSecond_ * (1 + streams);
}

EngineChooser::Candidate EngineChooser::evaluate(const ScheduleRequest &request,
                                                 const ProgramState *program,
                                                 const EndpointState &endpoint) const
{
    Candidate candidate;
    candidate.endpoint_ = &endpoint;
    addCache(request, program, candidate);
    const double generated = programs_.expectedGenerated();
    const double maxStreams = endpoint.info_.maxStreams_;
    const bool fresh = program == nullptr || program->home_.isEmpty();
    const double now = endpoints_.streams(endpoint);
    const double load = fresh ? now + internal::expectedWeight * (endpoints_.expectedStreams(endpoint) - now) : now;
    const double streams = std::min(load, maxStreams - 1);
    const double missing = static_cast<double>(candidate.missingTokens_);
    const double chunkStep =
        costs_.chunkTokens_ / costs_.prefillTokensPerSecond_ + (streams > 0 ? costs_.step(streams) : 0);
    const double prefill = missing / costs_.chunkTokens_ * chunkStep;
    const double queuedTokens = endpoints_.waitingTokens(endpoint) / costs_.chunkTokens_ * chunkStep;
    const double callSeconds = generated * costs_.step(maxStreams);
    const double queuedStreams = std::max(0.0, load + 1 - maxStreams) * callSeconds / maxStreams;
    const double own =
        queuedTokens + queuedStreams + candidate.transferSeconds_ + prefill + generated * costs_.step(streams + 1);
    const double others = streams * (missing / costs_.prefillTokensPerSecond_ + generated * costs_.streamSeconds_);
    const bool home = program != nullptr && program->home_ == endpoint.info_.id_ && program->exportedAt_.isEmpty();
    const double growth =
        static_cast<double>(home ? candidate.missingTokens_ : request.promptTokens_ - request.sharedTokens_)
        + generated;
    candidate.seconds_ = own + others + evictionSeconds(endpoint, growth, streams);
    return candidate;
}

const EngineChooser::Candidate *EngineChooser::pick(const std::vector<Candidate> &candidates,
                                                    const ProgramState *program)
{
    const Candidate *best = nullptr;
    const Candidate *home = nullptr;
    for (const Candidate &candidate : candidates) {
        best = best == nullptr || candidate.seconds_ < best->seconds_ ? &candidate : best;
        const bool isHome = program != nullptr && candidate.endpoint_->info_.id_ == program->home_;
        home = isHome ? &candidate : home;
    }
    if (best == nullptr) {
        return nullptr;
    }
    // What one stream more on the engine costs the call itself and the others.
    const double stream = 2 * programs_.expectedGenerated() * costs_.streamSeconds_;
    const double margin = stream * internal::moveStreams;
    if (home != nullptr && (!enabled(Mechanism::Moves) || home->seconds_ <= best->seconds_ + margin)) {
        return home;
    }
    if (!enabled(Mechanism::Spread)) {
        return best;
    }
    std::vector<const Candidate *> near;
    for (const Candidate &candidate : candidates) {
        if (candidate.seconds_ <= best->seconds_ + stream * internal::nearStreams) {
            near.push_back(&candidate);
        }
    }
    return near[random_() % near.size()];
}

EngineChoice EngineChooser::result(const Candidate &candidate) const
{
    EngineChoice choice;
    choice.endpoint_ = candidate.endpoint_->info_.id_;
    choice.importFrom_ = candidate.importFrom_;
    choice.missingTokens_ = candidate.missingTokens_;
    choice.seconds_ = candidate.seconds_;
    char text[160];
    std::snprintf(text,
                  sizeof text,
                  "cost=%.2fs streams=%.1f used=%.0f missing=%lld transfer=%.2fs",
                  candidate.seconds_,
                  endpoints_.streams(*candidate.endpoint_),
                  endpoints_.usedTokens(*candidate.endpoint_),
                  static_cast<long long>(candidate.missingTokens_),
                  candidate.transferSeconds_);
    choice.reason_ = text;
    return choice;
}

std::optional<EngineChoice> EngineChooser::choose(const ScheduleRequest &request, const ChoiceRules &rules)
{
    const ProgramState *program = programs_.find(request.program_);
    const std::vector<const EndpointState *> endpoints = listCandidates(request, program, rules);
    std::vector<Candidate> candidates;
    candidates.reserve(endpoints.size());
    for (const EndpointState *endpoint : endpoints) {
        Candidate candidate = evaluate(request, program, *endpoint);
        if (!enabled(Mechanism::CostRouting)) {
            candidate.seconds_ = static_cast<double>(candidate.missingTokens_) + endpoints_.streams(*endpoint);
        }
        candidates.push_back(candidate);
    }
    const Candidate *best = pick(candidates, program);
    if (best == nullptr) {
        return std::nullopt;
    }
    return result(*best);
}

} // namespace filbertgw
