#ifndef FILBERTGW_BENCH_POLICY_NODEPOLICY_H
#define FILBERTGW_BENCH_POLICY_NODEPOLICY_H

#include "policy/scheduler.h"

#include <memory>
#include <string>

namespace filbertgw::bench {

/** \brief Scheduling policy of one entry node; it gets only the information that a real node has. */
class NodePolicy
{
public:
    virtual ~NodePolicy() = default;
    /** \brief Sets the weights of latency and wasted cache; baselines ignore them. */
    virtual void setWeights(double /*latency*/, double /*wastedCache*/)
    {
    }
    virtual void setEndpoints(const std::vector<EndpointInfo> &endpoints) = 0;
    virtual void onLoadReport(const LoadReport &report) = 0;
    virtual void onCacheEvent(const CacheEvent &event) = 0;
    virtual void onEndpointHealth(const EndpointId &endpoint, bool healthy) = 0;
    virtual std::optional<Failure>
    admitProgram(const ProgramId &program, const AccountId &account, std::int64_t promptTokens, Time deadline) = 0;
    virtual void submit(const ScheduleRequest &request) = 0;
    virtual void onRunsAlone(const ProgramId & /*program*/, const RequestId & /*request*/, std::uint32_t /*attempt*/)
    {
    }
    virtual void onFirstToken(const ProgramId &program, const RequestId &request, std::uint32_t attempt) = 0;
    virtual void onAttemptEnded(const AttemptResult &result) = 0;
    virtual void onProgramPaused(const ProgramId &program, const std::string &tool) = 0;
    virtual void onProgramEnded(const ProgramId &program) = 0;
    virtual void onHeldPrograms(const EndpointId &endpoint, const std::vector<ProgramId> &programs) = 0;
    virtual void tick() = 0;
    /** \brief True if the caches of ended programs must be released; baselines leave them to eviction. */
    virtual bool releasesCaches() const = 0;
};

/**
 * \brief Creates a policy by name: a baseline, `default`, or `default-no-X` with mechanism X disabled.
 * \throws std::invalid_argument if the name is unknown.
 */
std::unique_ptr<NodePolicy> makePolicy(const std::string &name, const SchedulerHooks &hooks);

} // namespace filbertgw::bench

#endif
