#ifndef FILBERTGW_POLICY_RETENTIONCONTROLLER_H
#define FILBERTGW_POLICY_RETENTIONCONTROLLER_H

#include "policy/endpointtracker.h"
#include "policy/pauseestimator.h"
#include "policy/programtracker.h"

namespace filbertgw {

/**
 * \brief Decides which caches stay on the engines, are exported or are released.
 *
 * The caches of ended programs and the old copies of moved ones are released at once. A paused program is exported when
 * the expected remaining time of its pause exceeds a limit that falls as the engine's memory fills. All nodes derive
 * the limit from the reported memory, so they export the longest pauses first without coordination.
 */
class RetentionController
{
public:
    RetentionController(EndpointTracker &endpoints,
                        ProgramTracker &programs,
                        const ProgramSection &section,
                        DisabledMechanisms disabled,
                        Clock now,
                        std::function<void(const EndpointOrder &)> order);

    /** \brief The program submitted a call, which ends its pause if it was paused. */
    void onResumed(const ProgramState &program);
    /** \brief The program's prefix is cached on `engine` now; copies on other engines are released. */
    void onMoved(const ProgramId &program, const EndpointId &engine);
    /** \brief The program ended; all its copies are released. */
    void onEnded(const ProgramId &program);
    /** \brief Releases what the engine holds for programs that are unknown or have their home on another engine. */
    void onHeldPrograms(const EndpointId &endpoint, const std::vector<ProgramId> &held);
    /** \brief Exports paused programs under memory pressure. */
    void tick();

private:
    void release(const EndpointId &endpoint, const ProgramId &program, std::int64_t tokens, const char *reason);
    void exportPaused(const ProgramId &program, const ProgramState &state, const EndpointState &home);
    /** \brief Longest remaining pause for which a cache stays on the engine; Duration::max() without pressure. */
    Duration maxRemainingPause(const EndpointState &endpoint) const;

    EndpointTracker &endpoints_;
    ProgramTracker &programs_;
    const ProgramSection &section_;
    PauseEstimator pauses_;
    DisabledMechanisms disabled_;
    Clock now_;
    std::function<void(const EndpointOrder &)> order_;
    Time nextCheck_{0};
};

} // namespace filbertgw

#endif
