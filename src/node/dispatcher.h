#ifndef FILBERTGW_NODE_DISPATCHER_H
#define FILBERTGW_NODE_DISPATCHER_H

#include "blackboard/blackboard.h"
#include "core/metrics.h"
#include "node/engineclient.h"
#include "node/textstreams.h"
#include "node/toolclient.h"
#include "policy/schedulertypes.h"
#include "program/programtypes.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace filbertgw {

/** \brief Functions of the scheduler and the program controller that a Dispatcher calls. */
struct DispatcherHooks
{
    std::function<void(const ScheduleRequest &)> submit_; ///< Scheduler::submit
    std::function<void(const ProgramId &, const RequestId &)> cancel_; ///< Scheduler::cancel
    std::function<void(const ProgramId &, const RequestId &, std::uint32_t attempt)> firstToken_;
    std::function<void(const ProgramId &, const RequestId &, std::uint32_t attempt)> runsAlone_;
    std::function<void(const AttemptResult &)> attemptEnded_;
    std::function<void(const DispatchOutcome &)> outcome_; ///< ProgramController::onOutcome
    std::function<void(const ProgramId &, const std::string &tool)> paused_; ///< Scheduler::onProgramPaused
    std::function<bool(const ProgramId &, const RequestId &)> reserveRetry_; ///< ProgramController::reserveRetry
};

/** \brief Runs dispatched calls: submits them to the Scheduler, sends attempts, forwards text and outcomes. */
class Dispatcher
{
public:
    struct Limits
    {
        std::size_t maxResponseBytes_ = 4 * 1024 * 1024;
        Duration callTimeout_ = std::chrono::minutes(10);
        std::string orderKey_; ///< Signs orders to endpoints; empty for no signature.
    };

    Dispatcher(
        const NodeHooks &hooks, const Blackboard &blackboard, TextStreams &streams, Metrics &metrics, Limits limits);

    void setControllers(DispatcherHooks controllers);

    /** \brief Implements ProgramHooks::dispatch_, except for sub-agent calls. */
    void dispatch(const Dispatch &dispatch);
    /** \brief Implements ProgramHooks::cancel_. */
    void cancel(const ProgramId &program, const RequestId &request);
    /** \brief Implements SchedulerHooks::start_. */
    void start(const StartOrder &order);
    /** \brief Implements SchedulerHooks::finished_. */
    void finish(const ScheduleResult &result);
    /** \brief Implements SchedulerHooks::order_. */
    void order(const EndpointOrder &order);

    std::size_t runningCalls() const;

private:
    using Key = std::pair<ProgramId, RequestId>;
    struct Attempt
    {
        StartOrder order_;
        std::uint64_t http_ = 0;
        Time startedAt_{0};
        Time firstTokenAt_{0};
        std::string text_;
        EndpointResponse response_;
        bool ended_ = false;
    };
    struct Running
    {
        Dispatch dispatch_;
        Time startedAt_{0};
        std::map<std::uint32_t, Attempt> attempts_;
        std::uint32_t streamedAttempt_ = 0; ///< Attempt whose text is streamed to callers.
        bool isStreaming_ = false;
    };

    Attempt *findAttempt(const Key &key, std::uint32_t attempt);
    Duration timeoutOf(const Dispatch &dispatch) const;
    void onText(const Key &key, std::uint32_t attempt, const std::string &text);
    void onDone(const Key &key, std::uint32_t attempt, const EndpointResponse &response);
    void abandon(const Dispatch &dispatch, const Attempt &attempt);
    void reportNotSent(const StartOrder &order);
    static bool mayHaveRun(const Running &running);
    void refuseRetry(const StartOrder &order);
    Spend usageOf(const Dispatch &dispatch, const EndpointResponse &response) const;

    const NodeHooks &hooks_;
    const Blackboard &blackboard_;
    TextStreams &streams_;
    Metrics &metrics_;
    Limits limits_;
    DispatcherHooks controllers_;
    EngineClient engines_;
    ToolClient tools_;
    std::map<Key, Running> running_;
};

/** \brief Estimates the tokens of a text without the model's tokenizer: one for each four bytes, rounded up. */
std::int64_t estimateTokens(const std::string &text);

} // namespace filbertgw

#endif
