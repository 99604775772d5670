#include "policy/retentioncontroller.h"

#include <cmath>

namespace filbertgw {

namespace internal {

constexpr Duration checkInterval = std::chrono::milliseconds(500);
/** \brief Below this share of the KV memory, paused programs are not exported. */
constexpr double lowPressureShare = 0.7;
/** \brief Share at which the limit is highPressureSeconds; below 1 because load reports are 1 to 2 s old. */
constexpr double highPressureShare = 0.95;
constexpr double lowPressureSeconds = 120; ///< Limit of the remaining pause at lowPressureShare.
constexpr double highPressureSeconds = 3; ///< Limit of the remaining pause at highPressureShare.

} // namespace internal

RetentionController::RetentionController(EndpointTracker &endpoints,
                                         ProgramTracker &programs,
                                         const ProgramSection &section,
                                         DisabledMechanisms disabled,
                                         Clock now,
                                         std::function<void(const EndpointOrder &)> order)
    : endpoints_(endpoints)
    , programs_(programs)
    , section_(section)
    , disabled_(std::move(disabled))
    , now_(std::move(now))
    , order_(std::move(order))
{
}

void RetentionController::release(const EndpointId &endpoint,
                                  const ProgramId &program,
                                  std::int64_t tokens,
                                  const char *reason)
{
    if (disabled_.count(Mechanism::Release) > 0 || endpoint.isEmpty()) {
        return;
    }
    EndpointOrder order;
    order.kind_ = OrderKind::Release;
    order.endpoint_ = endpoint;
    order.program_ = program;
    order.reason_ = reason;
    endpoints_.onMemoryChange(endpoint, -tokens);
    order_(order);
}

void RetentionController::onResumed(const ProgramState &program)
{
    if (program.paused_) {
        pauses_.onPauseEnded(program.tool_, now_() - program.pausedAt_);
    }
}

void RetentionController::onMoved(const ProgramId &program, const EndpointId &engine)
{
    const ProgramState *state = programs_.find(program);
    if (state == nullptr) {
        return;
    }
    const std::set<EndpointId> engines = state->engines_;
    for (const EndpointId &other : engines) {
        if (other != engine) {
            release(other, program, state->prefixTokens_ - state->sharedTokens_, "moved");
            programs_.onReleased(program, other);
        }
    }
}

void RetentionController::onEnded(const ProgramId &program)
{
    const ProgramState *state = programs_.find(program);
    if (state == nullptr) {
        return;
    }
    for (const EndpointId &endpoint : state->engines_) {
        const bool inCache = endpoint == state->home_ && state->exportEngine_.isEmpty();
        release(endpoint, program, inCache ? state->prefixTokens_ - state->sharedTokens_ : 0, "ended");
    }
}

void RetentionController::onHeldPrograms(const EndpointId &endpoint, const std::vector<ProgramId> &held)
{
    for (const ProgramId &program : held) {
        const ProgramState *state = programs_.find(program);
        const bool isElsewhere =
            state != nullptr && state->openCalls_ == 0 && state->home_ != endpoint && !state->home_.isEmpty();
        if (state == nullptr || isElsewhere) {
            release(endpoint, program, 0, "held for nothing");
        }
    }
}

Duration RetentionController::maxRemainingPause(const EndpointState &endpoint) const
{
    const double share = endpoints_.usedTokens(endpoint) / static_cast<double>(endpoint.info_.cacheTokens_);
    if (share < internal::lowPressureShare) {
        return Duration::max();
    }
    const double position =
        (share - internal::lowPressureShare) / (internal::highPressureShare - internal::lowPressureShare);
    return fromSeconds(internal::lowPressureSeconds
                       * std::pow(internal::highPressureSeconds / internal::lowPressureSeconds, position));
}

void RetentionController::exportPaused(const ProgramId &program, const ProgramState &state, const EndpointState &home)
{
    EndpointOrder order;
    order.kind_ = OrderKind::Export;
    order.endpoint_ = home.info_.id_;
    order.program_ = program;
    order.reason_ = "paused";
    endpoints_.onMemoryChange(home.info_.id_, state.sharedTokens_ - state.prefixTokens_);
    programs_.onExported(program);
    order_(order);
}

void RetentionController::tick()
{
    if (now_() < nextCheck_ || disabled_.count(Mechanism::Export) > 0) {
        return;
    }
    nextCheck_ = now_() + internal::checkInterval;
    for (const std::pair<const ProgramId, ProgramState> &entry : section_.programs_) {
        const ProgramState &state = entry.second;
        const bool candidate = state.paused_ && state.openCalls_ == 0 && state.exportEngine_.isEmpty()
            && state.prefixTokens_ > state.sharedTokens_;
        const EndpointState *home = candidate ? endpoints_.find(state.home_) : nullptr;
        if (home == nullptr || !home->healthy_) {
            continue;
        }
        const Duration maxRemaining = maxRemainingPause(*home);
        if (maxRemaining != Duration::max()
            && pauses_.expectedRemaining(state.tool_, now_() - state.pausedAt_) > maxRemaining) {
            exportPaused(entry.first, state, *home);
        }
    }
}

} // namespace filbertgw
