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

/** \brief Callbacks of a Scheduler; all are called from the decision loop. */
struct SchedulerHooks
{
    Clock now_;
    RandomSource random_;
    std::function<void(const StartOrder &)>
        start_; ///< Sends a request; its end is reported by Scheduler::onAttemptEnded().
    std::function<void(const ScheduleResult &)> finished_; ///< Exactly once for each submitted request.
    std::function<void(const EndpointOrder &)> order_; ///< Sends an order to an endpoint.
    std::function<std::int32_t()> liveNodes_; ///< Number of entry nodes that share the endpoints, including this one.
    std::function<bool(const EndpointId &)> ownsEndpoint_; ///< True if this node sends model orders to the endpoint.
};

/**
 * \brief Decides where, when and in which order calls run, and what stays in the engines' caches.
 *
 * A facade over the policy controllers, which share the blackboard's policy sections. It does no I/O of its own: all
 * effects go through SchedulerHooks.
 */
class Scheduler
{
public:
    class Builder;

    ~Scheduler();

    /** \brief Replaces the list of endpoints; removed and leaving endpoints get no new work. */
    void setEndpoints(const std::vector<EndpointInfo> &endpoints);
    /** \brief Sets the weights of program latency and wasted cache; only their ratio counts. */
    void setWeights(double latency, double wastedCache);
    void onLoadReport(const LoadReport &report);
    void onCacheEvent(const CacheEvent &event);
    /** \brief An endpoint was found failed or healthy outside of an attempt. */
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
    /** \brief The engine confirms that it runs an attempt with StartOrder::alone_ and no other request. */
    void onRunsAlone(const ProgramId &program, const RequestId &request, std::uint32_t attempt);
    void onFirstToken(const ProgramId &program, const RequestId &request, std::uint32_t attempt);
    void onAttemptEnded(const AttemptResult &result);
    /** \brief A program is paused until its next call, waiting for `tool` or its caller. */
    void onProgramPaused(const ProgramId &program, const std::string &tool);
    /** \brief A program ended; its open calls are cancelled and its memory on engines is released. */
    void onProgramEnded(const ProgramId &program);
    /**
     * \brief Releases, of the programs that an engine reports as pinned or held, those that are not live and those
     * without open calls whose prefix is in the cache of another engine.
     * \param programs only programs in slots for which this node is preferred, as it doesn't know the others.
     */
    void onHeldPrograms(const EndpointId &endpoint, const std::vector<ProgramId> &programs);
    /** \brief Runs the periodic work: exports, decisions on calls whose endpoint crashed, timeouts and dispatch. */
    void tick();

    /** \brief Number of queued and running calls; a planned stop waits for them. */
    std::size_t pendingCalls() const;
    /** \brief State of the queues, engines and programs, and the latest decisions with their reasons. */
    nlohmann::json dump() const;
    /** \brief State of one program and its latest decisions with their reasons; null if it is unknown. */
    nlohmann::json explain(const ProgramId &program) const;

private:
    struct Private;
    explicit Scheduler(std::unique_ptr<Private> d);
    std::unique_ptr<Private> d_;
};

/** \brief Builds a Scheduler; only the hooks are required. */
class Scheduler::Builder
{
public:
    Builder &hooks(SchedulerHooks hooks)
    {
        hooks_ = std::move(hooks);
        return *this;
    }
    /** \brief Sets the node's blackboard; without one, the scheduler creates its own. */
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
