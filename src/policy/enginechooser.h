#ifndef FILBERTGW_POLICY_ENGINECHOOSER_H
#define FILBERTGW_POLICY_ENGINECHOOSER_H

#include "policy/capacityquota.h"
#include "policy/endpointtracker.h"
#include "policy/mechanism.h"
#include "policy/outlierejector.h"
#include "policy/programtracker.h"

#include <optional>

namespace filbertgw {

/** \brief Limits on where a call may go. */
struct PlacementConstraints
{
    const std::set<EndpointId> *excluded_ = nullptr; ///< Endpoints where the call failed.
    std::function<bool(const EndpointState &)> allowed_; ///< Empty for no further rule.
};

/** \brief An engine for a call, with what it is expected to cost. */
struct EngineChoice
{
    EndpointId endpoint_;
    EndpointId importFrom_; ///< Engine whose cache of the program is copied first, empty for none.
    std::int64_t uncachedTokens_ = 0; ///< Prompt tokens that will be computed.
    double costSeconds_ = 0; ///< Program-seconds lost by this call and by the others on the engine.
    std::string reason_;
};

/**
 * \brief Chooses the engine for a call by its cost in program-seconds, now and later.
 *
 * Costs are the call's own wait, prefill, decoding and cache transfer, and what it adds to the others: each prompt
 * token delays every running stream, each generated token lengthens their steps, and what it evicts is computed again.
 * Only the home engine, a few least loaded engines and a few random ones are looked at.
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

    std::optional<EngineChoice> choose(const ScheduleRequest &request, const PlacementConstraints &constraints);
    /** \brief True if the endpoint may get new work. */
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
    Candidate
    evaluate(const ScheduleRequest &request, const ProgramState *program, const EndpointState &endpoint) const;
    void estimateCacheReuse(const ScheduleRequest &request, const ProgramState *program, Candidate &candidate) const;
    double evictionSeconds(const EndpointState &endpoint, double growth, double streams) const;
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
