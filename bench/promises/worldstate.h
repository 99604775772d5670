#ifndef FILBERTGW_BENCH_PROMISES_WORLDSTATE_H
#define FILBERTGW_BENCH_PROMISES_WORLDSTATE_H

#include "promises/process.h"
#include "promises/starttimes.h"
#include "promises/trace.h"
#include "promises/world.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace filbertgw::bench::internal {

using ProcessPtr = std::shared_ptr<Process>;

inline std::string keyOf(const nlohmann::json &record)
{
    return record.value("kind", "") + "/" + record.value("name", "");
}

constexpr Micros millisecond = 1'000;
constexpr Micros second = 1'000'000;
constexpr Micros startOfTime = 1'000 * second;
constexpr Micros peerOneWay = 500;
constexpr Micros detection = 3'500 * millisecond; ///< Death to other nodes' views.
constexpr Micros faultsEnd = 45 * second;
constexpr Micros longest = 170 * second;
constexpr Micros callTimeout = 8 * second;
constexpr Micros callerPatience = 12 * second;
constexpr Micros nodeTimeout = 4 * second; ///< Of a dispatched call at the node.
constexpr int maxHops = 8;
constexpr int slowTries = 40; ///< A caller that was refused so often waits longer between tries.

inline Micros count(Time time)
{
    return time.count();
}

struct Endpoint
{
    std::string name_;
    bool isEngine_ = true;
    Micros downUntil_ = 0;
    bool ownWord_ = false; ///< Refuses new work because it is leaving.
    std::map<std::string, Micros> held_; ///< Programs in memory, since when.
    std::vector<std::shared_ptr<struct RunHandle>> running_;
};

/** \brief A dispatched call as the node's side sees it. */
struct RunHandle
{
    ProcessPtr process_;
    Dispatch order_;
    std::uint32_t attempt_ = 0;
    Endpoint *endpoint_ = nullptr;
    std::size_t run_ = SIZE_MAX; ///< Index into Trace::runs_ once it has started.
    bool over_ = false; ///< The node has its outcome.
    bool stopped_ = false; ///< The endpoint has ended it.
};

struct Caller
{
    std::size_t plan_ = 0; ///< Index into Trace::programs_.
    std::size_t next_ = 0; ///< Next planned call.
    std::size_t parent_ = SIZE_MAX;
    bool started_ = false;
    bool skipRest_ = false;
    bool done_ = false;
    int tries_ = 0;
    std::map<std::string, int> open_; ///< Attempts without an answer, by request.
    std::vector<std::size_t> children_; ///< Indexes of the callers of its sub-agents.
    std::vector<std::size_t> childAfter_; ///< After which call each child starts.
};

/** \brief Answer as it travels through the front and the peer links. */
struct FrontAnswer
{
    CallAnswer answer_;
};

using Reply = std::function<void(const FrontAnswer &)>;
using Work = std::function<void(const ProcessPtr &, const Reply &)>;

/** \brief One schedule: nodes, endpoints, callers and faults in virtual time. */
class World
{
public:
    World(const Deployment &deployment, std::uint64_t seed, std::string broken);
    Trace run();

private:
    // Time and chance
    Micros now() const
    {
        return count(loop_.now());
    }
    Micros sinceStart() const
    {
        return now() - startOfTime;
    }
    void after(Micros delay, std::function<void()> run)
    {
        loop_.after(Duration(delay), std::move(run));
    }
    void note(const std::string &what)
    {
        trace_.faults_.push_back(std::to_string(sinceStart() / millisecond) + "ms " + what);
    }

    // Nodes
    ProcessPtr startProcess(const std::string &name);
    LogAccess logAccessOf(const ProcessPtr &process);
    ProgramHooks hooksOf(const ProcessPtr &process);
    ProcessPtr processNamed(const std::string &name) const;
    ProcessPtr pickNode();
    void tickAll();
    void kill(const ProcessPtr &process, bool planned);
    void pause(const ProcessPtr &process, Micros length);
    void resume(const ProcessPtr &process);
    void plannedStop(const ProcessPtr &process);
    void continueStop(const ProcessPtr &process, Micros since);
    void spreadState(const std::string &name, bool alive, bool leaving, Micros delay, Micros jitter);
    void watchTakeover(const ProcessPtr &process);
    void noteMassLoss();

    // Configuration
    ConfigHooks configHooksOf(const ProcessPtr &process);
    static std::function<void(const std::string &, Offset, Duration, LogAccess::ReadDone)>
    withoutOrder(std::function<void(const std::string &, Offset, Duration, LogAccess::ReadDone)> read);
    void noteServed(Process &process);
    void fetchConfig(const ProcessPtr &process, const ProcessPtr &peer, Offset from);
    void heartbeats();
    Offset publish(const std::string &kind, const std::string &name, Offset replaces, const nlohmann::json &body);
    Offset publishRecord(const nlohmann::json &record, bool valid);
    void publishEndpoints();

    // Front: entry, forwarding
    void handle(const ProcessPtr &process, const ProgramId &program, int hops, const Work &work, const Reply &reply);
    void forward(const ProcessPtr &from,
                 const NodeId &to,
                 const ProgramId &program,
                 int hops,
                 const Work &work,
                 const Reply &reply);
    void handleCreate(const ProcessPtr &process, const CreateRequest &request, int hops, const Reply &reply);

    // Endpoints
    void dispatch(const ProcessPtr &process, const Dispatch &order);
    SchedulerHooks schedulerHooksOf(const ProcessPtr &process);
    void startAttempt(const ProcessPtr &process, const StartOrder &order);
    void refuseAttempt(const ProcessPtr &process, const StartOrder &order);
    void onOrder(const ProcessPtr &process, const EndpointOrder &order);
    void finishCall(const ProcessPtr &process, const ScheduleResult &result);
    void healthChecks();
    void receive(const std::shared_ptr<RunHandle> &handle);
    void complete(const std::shared_ptr<RunHandle> &handle);
    void report(const std::shared_ptr<RunHandle> &handle, AttemptStatus status);
    void crashEndpoint(Endpoint &endpoint);
    void stopRun(const std::shared_ptr<RunHandle> &handle);
    void cancel(const ProcessPtr &process, const ProgramId &program, const RequestId &request);
    void sweep();

    // Callers
    void planCallers();
    void planCalls(PlannedProgram &program, int calls);
    void sendCreate(std::size_t caller);
    void sendCall(std::size_t caller);
    void sendEnd(std::size_t caller);
    void send(std::size_t caller, const std::string &request, const Work &work, bool isEnd = false);
    void onAnswer(std::size_t caller, std::size_t attempt, const CallAnswer *answer, bool isEnd);
    void onCallAnswer(std::size_t caller, const CallAnswer &answer, bool isLastOpen);
    void advance(std::size_t caller);
    void retry(std::size_t caller, Micros delay, std::function<void()> send);

    // Faults
    void planFaults();
    void injectFault(bool calm);
    void falseDeath(const ProcessPtr &victim);
    void heal();
    void collectEnd();

    Deployment deployment_;
    std::string broken_;
    SeededRandom random_;
    VirtualLoop loop_;
    FakeLog log_;
    Trace trace_;
    std::vector<ProcessPtr> processes_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::vector<Caller> callers_;
    std::map<std::string, Micros> watched_; ///< Programs of a dead owner and when it died.
    std::vector<std::pair<Micros, double>> takeovers_; ///< When the owner died, and how long it took.
    StartTimes startTimes_; ///< By program id and request.
    std::map<std::string, Micros> stoppingPrograms_; ///< Programs owned by a stopping node.
    std::vector<Micros> crashes_;
    std::vector<std::pair<Micros, Micros>> disturbances_; ///< Log troubles, pauses, stale views.
    std::vector<std::shared_ptr<RunHandle>> handles_;
    int nodeCount_ = 0;
    int processCount_ = 0;
    double lostToolAnswers_ = 0;
    double toolHangs_ = 0;
    std::map<std::string, Offset> operatorView_; ///< Versions that operators know, by kind and name.
    int records_ = 0;
    Micros staleViewsUntil_ = 0;
};

} // namespace filbertgw::bench::internal

#endif
