#ifndef FILBERTGW_POLICY_POOLPLANNER_H
#define FILBERTGW_POLICY_POOLPLANNER_H

#include "policy/endpointtracker.h"
#include "policy/mechanism.h"
#include "policy/programtracker.h"

namespace filbertgw {

/**
 * \brief Divides the engines into a dense pool for programs that mostly wait for tools, and a light one for the rest.
 *
 * A fuller batch slows decoding. A program that spends a quarter of its time decoding hardly notices; one that decodes
 * most of its time does. The dense pool's size follows from the decoding that its programs need and from their memory.
 * All nodes order the engines by the same hash, so their pools differ by an engine or two at most.
 */
class PoolPlanner
{
public:
    PoolPlanner(const Blackboard &blackboard,
                const EndpointTracker &endpoints,
                const ProgramTracker &programs,
                bool enabled,
                const EngineCosts &costs,
                Clock now,
                std::function<std::int32_t()> liveNodes);

    void onEndpoints();
    void onReport(const EndpointId &endpoint);
    void tick();

    bool isDense(const EndpointId &endpoint) const;
    /** \brief Mean streams of the engines of this engine's pool. */
    double meanStreams(const EndpointId &endpoint) const;
    /** \brief Expected lower bound of the program's tree, in seconds; a second of delay counts by its inverse. */
    double programSeconds(const ProgramState &program) const;
    /** \brief Mean of programSeconds() over the programs that run on the engine's pool. */
    double poolSeconds(const EndpointId &endpoint) const;
    double denseShare() const
    {
        return denseShare_;
    }

private:
    struct Pool
    {
        double streams_ = 0; ///< Mean over the reports of the last seconds.
        double seconds_ = 60;
    };
    bool isLong(const ProgramState &program) const;
    const ProgramState &rootOf(const ProgramState &program) const;

    const EndpointSection &section_;
    const ProgramSection &programSection_;
    const EndpointTracker &endpoints_;
    const ProgramTracker &programs_;
    bool enabled_;
    EngineCosts costs_;
    Clock now_;
    std::function<std::int32_t()> liveNodes_;
    std::unordered_map<EndpointId, double> positions_; ///< In 0..1, by the hash of the engine's id.
    double engineTokens_ = 0; ///< KV memory of all engines.
    double denseShare_ = 0;
    double meanShare_ = 0.5; ///< Share of decoding in the programs' time, mean over programs.
    double streams_ = 0;
    Pool dense_;
    Pool light_;
    Time nextPlan_{0};
};

} // namespace filbertgw

#endif
