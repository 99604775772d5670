#include "policy/programtracker.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

/** \brief Sample bound of a class's mean over programs; a larger one follows changes of the workload too slowly. */
constexpr double maxProgramSamples = 200;
constexpr double maxCallSamples = 500; ///< The same for means over calls.

/** \brief Class of a time until the deadline; four classes per octave bound their number. 0 is without deadline. */
std::int64_t classKeyOf(Duration untilDeadline)
{
    return untilDeadline.count() <= 0 ? 0 : std::llround(4 * std::log2(toSeconds(untilDeadline) + 1));
}

} // namespace internal

ProgramTracker::ProgramTracker(Blackboard &blackboard, const EngineCosts &costs, Clock now)
    : section_(blackboard.write<ProgramSection>())
    , costs_(costs)
    , now_(std::move(now))
{
}

ProgramState *ProgramTracker::findState(const ProgramId &program)
{
    const std::unordered_map<ProgramId, ProgramState>::iterator it = section_.programs_.find(program);
    return it == section_.programs_.end() ? nullptr : &it->second;
}

const ProgramState *ProgramTracker::find(const ProgramId &program) const
{
    const std::unordered_map<ProgramId, ProgramState>::const_iterator it = section_.programs_.find(program);
    return it == section_.programs_.end() ? nullptr : &it->second;
}

ProgramState &ProgramTracker::rootOf(ProgramState &program)
{
    ProgramState *root = findState(program.root_);
    return root == nullptr ? program : *root;
}

ProgramState &ProgramTracker::onSubmit(const ScheduleRequest &request)
{
    const std::pair<std::unordered_map<ProgramId, ProgramState>::iterator, bool> inserted =
        section_.programs_.try_emplace(request.program_);
    ProgramState &state = inserted.first->second;
    if (inserted.second) {
        state.root_ = request.root_.isEmpty() ? request.program_ : request.root_;
        state.account_ = request.account_;
        state.started_ = request.programStarted_.count() > 0 ? request.programStarted_ : now_();
        state.classKey_ = request.deadline_.count() > 0 ? internal::classKeyOf(request.deadline_ - state.started_) : 0;
        if (!request.homeEngine_.isEmpty()) {
            // After a takeover only the journal's home engine is known; the whole prompt is assumed to be cached there.
            state.home_ = request.homeEngine_;
            state.prefixTokens_ = request.promptTokens_;
            state.engines_.insert(request.homeEngine_);
        }
    }
    state.sharedTokens_ = request.sharedTokens_;
    state.paused_ = false;
    state.turns_ = std::max(state.turns_, request.turn_);
    ++state.openCalls_;
    return state;
}

void ProgramTracker::onCallEnded(const ScheduleRequest &request, double seconds, double idealSeconds)
{
    ProgramState *state = findState(request.program_);
    if (state == nullptr) {
        return;
    }
    --state->openCalls_;
    rootOf(*state).delaySeconds_ += std::max(0.0, seconds - idealSeconds);
}

void ProgramTracker::onAnswered(const ScheduleRequest &request, const AttemptResult &result)
{
    if (request.kind_ != CallKind::Model) {
        return; // A tool or plain service caches no prefix and can't be the program's home.
    }
    const double share = 1 / internal::maxCallSamples;
    if (ProgramState *state = findState(request.program_)) {
        const std::int64_t tokens = result.promptTokens_ + result.generatedTokens_ - request.sharedTokens_;
        ProgramSection::ClassMeans &means = section_.classes_[rootOf(*state).classKey_];
        means.callSamples_ = std::min(means.callSamples_ + 1, internal::maxCallSamples);
        means.tokens_ += (static_cast<double>(tokens) - means.tokens_) / means.callSamples_;
    }
    section_.meanGeneratedTokens_ +=
        share * (static_cast<double>(result.generatedTokens_) - section_.meanGeneratedTokens_);
    onMoved(request.program_, result.endpoint_, result.promptTokens_ + result.generatedTokens_);
}

void ProgramTracker::onMoved(const ProgramId &program, const EndpointId &endpoint, std::int64_t tokens)
{
    ProgramState *state = findState(program);
    if (state == nullptr) {
        return;
    }
    state->home_ = endpoint;
    state->prefixTokens_ = tokens;
    state->exportEngine_ = EndpointId();
    state->engines_.insert(endpoint);
}

void ProgramTracker::tick()
{
    section_.exportedTokens_ = 0;
    for (const std::pair<const ProgramId, ProgramState> &entry : section_.programs_) {
        const ProgramState &state = entry.second;
        section_.exportedTokens_ +=
            state.exportEngine_.isEmpty() ? 0 : static_cast<double>(state.prefixTokens_ - state.sharedTokens_);
    }
}

void ProgramTracker::onExported(const ProgramId &program)
{
    ProgramState *state = findState(program);
    if (state != nullptr) {
        state->exportEngine_ = state->home_;
    }
}

void ProgramTracker::onSent(const ProgramId &program, const EndpointId &endpoint)
{
    ProgramState *state = findState(program);
    if (state != nullptr) {
        state->engines_.insert(endpoint);
    }
}

void ProgramTracker::onAdmitted(const ProgramId &program)
{
    ProgramState *state = findState(program);
    if (state != nullptr) {
        state->admitted_ = true;
    }
}

void ProgramTracker::onReleased(const ProgramId &program, const EndpointId &endpoint)
{
    ProgramState *state = findState(program);
    if (state != nullptr) {
        state->engines_.erase(endpoint);
    }
}

void ProgramTracker::onPaused(const ProgramId &program, const std::string &tool)
{
    ProgramState *state = findState(program);
    if (state != nullptr) {
        state->paused_ = true;
        state->pausedAt_ = now_();
        state->tool_ = tool;
    }
}

void ProgramTracker::onEnded(const ProgramId &program)
{
    const std::unordered_map<ProgramId, ProgramState>::iterator it = section_.programs_.find(program);
    if (it == section_.programs_.end()) {
        return;
    }
    const ProgramState &state = it->second;
    if (state.root_ == program && state.turns_ > 0) {
        ProgramSection::ClassMeans &means = section_.classes_[state.classKey_];
        means.programSamples_ = std::min(means.programSamples_ + 1, internal::maxProgramSamples);
        const double seconds = std::max(0.0, toSeconds(now_() - state.started_) - state.delaySeconds_);
        means.idealSeconds_ += (seconds - means.idealSeconds_) / means.programSamples_;
    }
    section_.programs_.erase(it);
}

void ProgramTracker::onCacheLost(const EndpointId &endpoint)
{
    for (std::pair<const ProgramId, ProgramState> &entry : section_.programs_) {
        ProgramState &state = entry.second;
        if (state.home_ == endpoint) {
            state.home_ = EndpointId();
            state.prefixTokens_ = 0;
            state.exportEngine_ = EndpointId();
        }
    }
}

void ProgramTracker::onCacheEvent(const CacheEvent &event)
{
    if (event.kind_ == CacheEvent::Kind::Cleared) {
        onCacheLost(event.endpoint_);
        return;
    }
    ProgramState *state = findState(event.program_);
    const bool relevant = state != nullptr && state->home_ == event.endpoint_ && state->exportEngine_.isEmpty();
    if (relevant && event.kind_ == CacheEvent::Kind::Evicted && state->openCalls_ == 0) {
        state->prefixTokens_ = std::min(state->prefixTokens_, event.tokens_);
    }
}

double ProgramTracker::expectedIdealSeconds(Duration untilDeadline) const
{
    const std::map<std::int64_t, ProgramSection::ClassMeans>::const_iterator it =
        section_.classes_.find(internal::classKeyOf(untilDeadline));
    return it == section_.classes_.end() ? ProgramSection::ClassMeans{}.idealSeconds_ : it->second.idealSeconds_;
}

double ProgramTracker::expectedIdealSeconds(const ProgramState &program) const
{
    const ProgramState *root = find(program.root_);
    const std::map<std::int64_t, ProgramSection::ClassMeans>::const_iterator it =
        section_.classes_.find(root == nullptr ? program.classKey_ : root->classKey_);
    return it == section_.classes_.end() ? ProgramSection::ClassMeans{}.idealSeconds_ : it->second.idealSeconds_;
}

double ProgramTracker::expectedCacheTokens(Duration untilDeadline) const
{
    const std::map<std::int64_t, ProgramSection::ClassMeans>::const_iterator it =
        section_.classes_.find(internal::classKeyOf(untilDeadline));
    return it == section_.classes_.end() ? 0 : it->second.tokens_;
}

double ProgramTracker::projectedSlowdown(const ScheduleRequest &request, Time submittedAt) const
{
    const ProgramState *state = find(request.program_);
    if (state == nullptr) {
        return 1;
    }
    const ProgramState *foundRoot = find(state->root_);
    const ProgramState &root = foundRoot == nullptr ? *state : *foundRoot;
    const double waited = toSeconds(now_() - submittedAt);
    const double elapsed = toSeconds(now_() - root.started_);
    const double delay = std::min(elapsed, root.delaySeconds_ + waited);
    const double ideal = elapsed - delay;
    const std::map<std::int64_t, ProgramSection::ClassMeans>::const_iterator means =
        section_.classes_.find(root.classKey_);
    const double expected =
        means == section_.classes_.end() ? ProgramSection::ClassMeans{}.idealSeconds_ : means->second.idealSeconds_;
    const double callSeconds = costs_.idealSeconds(0, section_.meanGeneratedTokens_);
    const double total = std::max(expected, ideal + callSeconds);
    return (total + delay) / total;
}

} // namespace filbertgw
