#include "policy/programtracker.h"

#include <algorithm>
#include <cmath>

namespace filbertgw {

namespace internal {

/** \brief Programs that a class's mean remembers; more would follow changes of the workload too slowly. */
constexpr double classMemory = 200;
constexpr double generatedMemory = 500;

/** \brief Times of the same quarter octave are one class, which bounds the number of classes. */
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
            // After a takeover the journal's home engine is the only hint; the whole old prompt is assumed cached.
            state.home_ = request.homeEngine_;
            state.homeTokens_ = request.promptTokens_;
            state.visited_.insert(request.homeEngine_);
        }
    }
    state.sharedTokens_ = request.sharedTokens_;
    state.paused_ = false;
    state.turns_ = std::max(state.turns_, request.turn_);
    ++state.calls_;
    return state;
}

void ProgramTracker::onCallEnded(const ScheduleRequest &request, double seconds, double idealSeconds)
{
    ProgramState *state = findState(request.program_);
    if (state == nullptr) {
        return;
    }
    --state->calls_;
    rootOf(*state).lateSeconds_ += std::max(0.0, seconds - idealSeconds);
}

void ProgramTracker::onAnswered(const ScheduleRequest &request, const AttemptResult &result)
{
    if (request.kind_ != CallKind::Model) {
        return; // A tool or plain service holds no prefix and doesn't become the program's home.
    }
    const double share = 1 / internal::generatedMemory;
    if (ProgramState *state = findState(request.program_)) {
        const std::int64_t tokens = result.promptTokens_ + result.generatedTokens_ - request.sharedTokens_;
        ProgramSection::ClassMeans &means = section_.classes_[rootOf(*state).classKey_];
        means.tokenSamples_ = std::min(means.tokenSamples_ + 1, internal::generatedMemory);
        means.tokens_ += (static_cast<double>(tokens) - means.tokens_) / means.tokenSamples_;
    }
    section_.generated_ += share * (static_cast<double>(result.generatedTokens_) - section_.generated_);
    onMoved(request.program_, result.endpoint_, result.promptTokens_ + result.generatedTokens_);
}

void ProgramTracker::onMoved(const ProgramId &program, const EndpointId &endpoint, std::int64_t tokens)
{
    ProgramState *state = findState(program);
    if (state == nullptr) {
        return;
    }
    state->home_ = endpoint;
    state->homeTokens_ = tokens;
    state->exportedAt_ = EndpointId();
    state->visited_.insert(endpoint);
}

void ProgramTracker::tick()
{
    section_.exportedTokens_ = 0;
    for (const std::pair<const ProgramId, ProgramState> &entry : section_.programs_) {
        const ProgramState &state = entry.second;
        section_.exportedTokens_ +=
            state.exportedAt_.isEmpty() ? 0 : static_cast<double>(state.homeTokens_ - state.sharedTokens_);
    }
}

void ProgramTracker::onExported(const ProgramId &program)
{
    ProgramState *state = findState(program);
    if (state != nullptr) {
        state->exportedAt_ = state->home_;
    }
}

void ProgramTracker::onVisited(const ProgramId &program, const EndpointId &endpoint)
{
    ProgramState *state = findState(program);
    if (state != nullptr) {
        state->visited_.insert(endpoint);
    }
}

void ProgramTracker::onAdmitted(const ProgramId &program)
{
    ProgramState *state = findState(program);
    if (state != nullptr) {
        state->admitted_ = true;
    }
}

void ProgramTracker::onLeft(const ProgramId &program, const EndpointId &endpoint)
{
    ProgramState *state = findState(program);
    if (state != nullptr) {
        state->visited_.erase(endpoint);
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
        means.weight_ = std::min(means.weight_ + 1, internal::classMemory);
        const double seconds = std::max(0.0, toSeconds(now_() - state.started_) - state.lateSeconds_);
        means.seconds_ += (seconds - means.seconds_) / means.weight_;
    }
    section_.programs_.erase(it);
}

void ProgramTracker::onCacheLost(const EndpointId &endpoint)
{
    for (std::pair<const ProgramId, ProgramState> &entry : section_.programs_) {
        ProgramState &state = entry.second;
        if (state.home_ == endpoint) {
            state.home_ = EndpointId();
            state.homeTokens_ = 0;
            state.exportedAt_ = EndpointId();
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
    const bool relevant = state != nullptr && state->home_ == event.endpoint_ && state->exportedAt_.isEmpty();
    if (relevant && event.kind_ == CacheEvent::Kind::Evicted && state->calls_ == 0) {
        state->homeTokens_ = std::min(state->homeTokens_, event.tokens_);
    }
}

double ProgramTracker::expectedSeconds(Duration untilDeadline) const
{
    const std::map<std::int64_t, ProgramSection::ClassMeans>::const_iterator it =
        section_.classes_.find(internal::classKeyOf(untilDeadline));
    return it == section_.classes_.end() ? ProgramSection::ClassMeans{}.seconds_ : it->second.seconds_;
}

double ProgramTracker::expectedSeconds(const ProgramState &program) const
{
    const ProgramState *root = find(program.root_);
    const std::map<std::int64_t, ProgramSection::ClassMeans>::const_iterator it =
        section_.classes_.find(root == nullptr ? program.classKey_ : root->classKey_);
    return it == section_.classes_.end() ? ProgramSection::ClassMeans{}.seconds_ : it->second.seconds_;
}

double ProgramTracker::expectedTokens(Duration untilDeadline) const
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
    const ProgramState *found = find(state->root_);
    const ProgramState &root = found == nullptr ? *state : *found;
    const double waited = toSeconds(now_() - submittedAt);
    const double elapsed = toSeconds(now_() - root.started_);
    const double late = std::min(elapsed, root.lateSeconds_ + waited);
    const double ideal = elapsed - late;
    const std::map<std::int64_t, ProgramSection::ClassMeans>::const_iterator means =
        section_.classes_.find(root.classKey_);
    const double expected =
        means == section_.classes_.end() ? ProgramSection::ClassMeans{}.seconds_ : means->second.seconds_;
    const double callSeconds = costs_.idealSeconds(0, section_.generated_);
    const double total = std::max(expected, ideal + callSeconds);
    return (total + late) / total;
}

} // namespace filbertgw
