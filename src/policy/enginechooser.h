#ifndef FILBERTGW_POLICY_ENGINECHOOSER_H
#define FILBERTGW_POLICY_ENGINECHOOSER_H

#include "policy/capacityquota.h"
#include "policy/endpointtracker.h"
#include "policy/mechanism.h"
#include "policy/outlierejector.h"
#include "policy/programtracker.h"

#include <optional>

namespace filbertgw {

/** \brief Constraints on the endpoints that a call may be sent to. */
struct PlacementConstraints
{
    const std::set<EndpointId> *excluded_ = nullptr; ///< Endpoints at which an earlier attempt of the call failed.
    std::function<bool(const EndpointState &)> allowed_; ///< Additional condition; empty for none.
};

/** \brief The engine chosen for a call and its expected cost. */
struct EngineChoice
{
    EndpointId endpoint_;
    EndpointId importFrom_; ///< Engine from which the program's cache is imported first; empty for none.
    std::int64_t uncachedTokens_ = 0; ///< Prompt tokens that are not cached and have to be computed.
    double costSeconds_ = 0; ///< Time added to this call and to all others on the engine, in program-seconds.
    std::string reason_;
};

/**
 * \brief Chooses the engine for a call by its present and future cost in program-seconds.
 *
 * The cost consists of the call's own queueing, prefill, decoding and cache transfer, and of the delay it causes to
 * others: each prompt token delays every running stream, each generated token lengthens their decode steps, and evicted
 * cache has to be computed again. Candidates are the home engine, the least loaded engines and a few random ones.
 */
class EngineChooser
{
public:
    EngineChooser(const Blackboard &blackboard,
                  const EndpointTracker &endpoints,
                  const ProgramTracker &programs,
                  const OutlierEjector &ejector,
                  const CapacityQuota &quota,
                  const EngineCosts &costs,
                  DisabledMechanisms disabled,
                  RandomSource random);

    /** \return nothing if no engine satisfies the constraints. */
    std::optional<EngineChoice> choose(const ScheduleRequest &request, const PlacementConstraints &constraints);
    /** \brief True if the endpoint is healthy, neither leaving nor ejected, and may get new work. */
    bool isUsable(const EndpointState &endpoint) const;

private:
    struct Candidate
    {
        const EndpointState *endpoint_ = nullptr;
        EndpointId importFrom_;
        std::int64_t uncachedTokens_ = 0;
        double transferSeconds_ = 0;
        double costSeconds_ = 0;
    };

    std::vector<const EndpointState *> listCandidates(const ScheduleRequest &request,
                                                      const ProgramState *program,
                                                      const PlacementConstraints &constraints);
    /** \brief Estimates the cost of running the request on the endpoint. */
    Candidate
    evaluate(const ScheduleRequest &request, const ProgramState *program, const EndpointState &endpoint) const;
    /** \brief Sets how much of the prompt has to be computed and what an import of the cache takes. */
    void estimateCacheReuse(const ScheduleRequest &request, const ProgramState *program, Candidate &candidate) const;
    /** \brief Cost of computing again what a growth of the cache by `growth` tokens evicts, in program-seconds. */
    double evictionSeconds(const EndpointState &endpoint, double growth, double streams) const;
    /** \brief The home engine unless a move pays, otherwise a random one among the cheapest. */
    const Candidate *select(const std::vector<Candidate> &candidates, const ProgramState *program);
    EngineChoice makeChoice(const Candidate &candidate) const;
    bool enabled(Mechanism mechanism) const
    {
        return disabled_.count(mechanism) == 0;
    }

    const EndpointSection &section_;
    const EndpointTracker &endpoints_;
    const ProgramTracker &programs_;
    const OutlierEjector &ejector_;
    const CapacityQuota &quota_;
    EngineCosts costs_;
    DisabledMechanisms disabled_;
    RandomSource random_;
};

} // namespace filbertgw

#endif
