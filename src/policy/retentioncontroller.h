#ifndef FILBERTGW_POLICY_RETENTIONCONTROLLER_H
#define FILBERTGW_POLICY_RETENTIONCONTROLLER_H

#include "policy/endpointtracker.h"
#include "policy/pauseestimator.h"
#include "policy/programtracker.h"

namespace filbertgw {

/**
 * \brief Decides what stays in the engines' caches: keeps, exports or releases.
 *
 * Caches of ended programs and of programs that have moved are released at once. A paused program is exported when its
 * expected rest of the pause exceeds a time that falls as the engine's memory fills. All nodes use the same function
 * of the reported memory, so they export the programs that stay away longest without talking to each other.
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

    void onResumed(const ProgramState &program);
    /** \brief The program's prefix is on `engine` now; other copies are released. */
    void onMoved(const ProgramId &program, const EndpointId &engine);
    void onEnded(const ProgramId &program);
    /** \brief Releases what an engine holds for programs that are gone or live elsewhere. */
    void onHeldPrograms(const EndpointId &endpoint, const std::vector<ProgramId> &held);
    void tick();

private:
    void release(const EndpointId &endpoint, const ProgramId &program, std::int64_t tokens, const char *reason);
    void exportPaused(const ProgramId &program, const ProgramState &state, const EndpointState &home);
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
