#ifndef FILBERTGW_POLICY_SCHEDULER_H
#define FILBERTGW_POLICY_SCHEDULER_H

#include "blackboard/blackboard.h"
#include "policy/enginecosts.h"
#include "policy/mechanism.h"
#include "policy/schedulertypes.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace filbertgw {

/** \brief What a Scheduler needs from outside; all are called from the decision loop. */
struct SchedulerHooks
{
    Clock now_;
    RandomSource random_;
    std::function<void(const StartOrder &)> start_; ///< Answered by Scheduler::onAttemptEnded().
    std::function<void(const ScheduleResult &)> finished_; ///< Exactly once for each submitted request.
    std::function<void(const EndpointOrder &)> order_;
    std::function<std::int32_t()> liveNodes_; ///< Entry nodes that share the endpoints, this one included.
    std::function<bool(const EndpointId &)> ownsEndpoint_; ///< True if this node is the one that orders its models.
};

/**
 * \brief Decides where, when and in which order calls run, and what stays in the engines' caches.
 *
 * A facade over the policy controllers, which share the blackboard's policy sections. Pure decision code.
 */
class Scheduler
{
public:
    class Builder;

    ~Scheduler();

    /** \brief Replaces the table of endpoints; endpoints that are gone or leaving get no new work. */
    void setEndpoints(const std::vector<EndpointInfo> &endpoints);
    /** \brief Sets what the deployment weighs: program latency against wasted cache. Only the ratio counts. */
    void setWeights(double latency, double wastedCache);
    void onLoadReport(const LoadReport &report);
    void onCacheEvent(const CacheEvent &event);
    /** \brief An endpoint was seen to fail, or to work again, outside of an attempt. */
    void onEndpointHealth(const EndpointId &endpoint, bool healthy);

    /**
     * \brief Asks whether a new program may start now.
     * \return nothing if it may; otherwise a failure with notRun_ set and retryAfter_.
     */
    std::optional<Failure>
    admitProgram(const ProgramId &program, const AccountId &account, std::int64_t promptTokens, Time deadline);
    /** \brief Queues a call; SchedulerHooks::finished_ is called exactly once. */
    void submit(const ScheduleRequest &request);
    void cancel(const ProgramId &program, const RequestId &request);
    /** \brief The engine has begun an attempt of StartOrder::alone_ and runs nothing else; a crash now is its own. */
    void onRunsAlone(const ProgramId &program, const RequestId &request, std::uint32_t attempt);
    void onFirstToken(const ProgramId &program, const RequestId &request, std::uint32_t attempt);
    void onAttemptEnded(const AttemptResult &result);
    /** \brief A program waits for a tool or its caller until its next call. */
    void onProgramPaused(const ProgramId &program, const std::string &tool);
    /** \brief A program is gone; whatever it holds on engines is released. */
    void onProgramEnded(const ProgramId &program);
    /**
     * \brief What an engine reports as pinned or held; the sweep releases what belongs to no live program.
     * \param programs only those whose slot this node is preferred for, because it doesn't know the others' programs.
     */
    void onHeldPrograms(const EndpointId &endpoint, const std::vector<ProgramId> &programs);
    void tick();

    /** \brief Calls that are queued or running, for a planned stop. */
    std::size_t pendingCalls() const;
    /** \brief Queues, engines, programs and the last decisions with their reasons. */
    nlohmann::json dump() const;
    /** \brief The last decisions for one program, with reasons. */
    nlohmann::json explain(const ProgramId &program) const;

private:
    struct Private;
    explicit Scheduler(std::unique_ptr<Private> d);
    std::unique_ptr<Private> d_;
};

/** \brief Builds a Scheduler; hooks are required, everything else has a default. */
class Scheduler::Builder
{
public:
    Builder &hooks(SchedulerHooks hooks)
    {
        hooks_ = std::move(hooks);
        return *this;
    }
    /** \brief The node's blackboard; without one, the scheduler has its own. */
    Builder &blackboard(Blackboard *blackboard)
    {
        blackboard_ = blackboard;
        return *this;
    }
    Builder &costs(const EngineCosts &costs)
    {
        costs_ = costs;
        return *this;
    }
    /** \brief Switches a mechanism off. */
    Builder &disable(Mechanism mechanism)
    {
        disabled_.insert(mechanism);
        return *this;
    }
    std::unique_ptr<Scheduler> build();

private:
    SchedulerHooks hooks_;
    Blackboard *blackboard_ = nullptr;
    EngineCosts costs_;
    DisabledMechanisms disabled_;
};

} // namespace filbertgw

#endif
