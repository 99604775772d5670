#ifndef FILBERTGW_BENCH_POLICY_SIMULATION_H
#define FILBERTGW_BENCH_POLICY_SIMULATION_H

#include "fakes/workload.h"
#include "policy/nodepolicy.h"

#include <memory>
#include <unordered_map>

namespace filbertgw::bench {

/** \brief Parameters of one simulation run. */
struct RunSettings
{
    std::string policy_;
    std::string deployment_;
    std::string faults_ = "none";
    std::uint64_t seed_ = 1;
    double load_ = 0.8;
    double burstFactor_ = 0; ///< Extra burst of arrivals, 0 for none; 3 in the burst experiment.
    double heavyAccount_ = 1; ///< Load of account 0 as a multiple of its share; 10 in the heavy-account experiment.
    bool details_ = false; ///< Adds figures for each program template.
    int nodes_ = 0; ///< Number of entry nodes; 0 for that of the deployment.
};

/** \brief Simulates a deployment in virtual time: entry nodes with their policies, fake engines, callers and faults. */
class Simulation
{
public:
    explicit Simulation(const RunSettings &settings);
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /** \brief Runs the simulation to its end. \return the figures that docs/design.md lists in section 15. */
    nlohmann::json run();

private:
    struct Program
    {
        const ProgramSpec *spec_ = nullptr;
        ProgramId id_;
        std::size_t index_ = 0;
        std::size_t parent_ = 0; ///< Index of the parent; its own index for a root.
        std::size_t turn_ = 0;
        Time started_{0};
        Time ended_{0};
        Duration lowerBound_{0};
        std::int64_t prompt_ = 0; ///< Prompt of the current turn.
        std::int64_t computed_ = 0; ///< Longest prefix that any engine has computed so far.
        std::int64_t promptTokens_ = 0; ///< Sum over all calls.
        std::int64_t wastedTokens_ = 0;
        std::uint32_t crashes_ = 0;
        bool admitted_ = false;
        bool calling_ = false;
        bool quarantined_ = false;
        std::uint32_t resubmits_ = 0;
        EndpointId home_; ///< Engine of the latest answer.
        std::vector<std::size_t> attempts_; ///< Indices of the attempts in flight.
    };
    struct Attempt
    {
        std::size_t program_ = 0;
        StartOrder order_;
        std::size_t engine_ = 0;
        Time sent_{0};
        Time firstToken_{0};
        std::int64_t cached_ = 0;
        bool ended_ = false;
    };
    struct Engine
    {
        std::unique_ptr<FakeEngine> fake_;
        EndpointInfo info_;
        bool present_ = true;
        bool leavingByList_ = false;
        std::uint64_t eventSequence_ = 0;
    };

    void buildEngines();
    void buildNodes();
    void scheduleFaults();
    void scheduleLeaving();
    void scheduleReports(std::size_t engine);
    void scheduleTicks(std::size_t node);
    void scheduleHeldReports();
    void crashEngine(std::size_t engine, Duration down);
    void publishEndpoints();
    void arrive(const ProgramSpec &spec);
    std::size_t addProgram(const ProgramSpec &spec, std::size_t parent);
    void submitTurn(std::size_t program);
    void onStart(std::size_t node, const StartOrder &order);
    void deliver(std::size_t attempt);
    void onFinished(std::size_t node, const ScheduleResult &result);
    void onTurnDone(std::size_t program);
    void resume(std::size_t program);
    void onOrder(const EndpointOrder &order);
    void endProgram(std::size_t program);
    void endAttempt(std::size_t attempt, AttemptStatus status);
    void onCacheChanged(std::size_t engine, CacheKey key, std::int64_t tokens, bool evicted);
    void onBegunAlone(std::size_t attempt);
    void onPrefilled(std::size_t attempt, std::int64_t computed, std::int64_t cached);
    /** \brief `time`, or the end of the log outage that contains it. */
    Time logAvailableAt(Time time) const;
    double uniform();
    std::size_t nodeOf(const ProgramSpec &spec) const;
    nlohmann::json figures();
    void addSlowdowns(nlohmann::json &result) const;
    void addExperiments(nlohmann::json &result) const;
    void addDetails(nlohmann::json &result) const;
    /** \brief True for admitted roots that started after the warm-up. */
    bool isMeasured(const Program &program) const;
    double slowdown(const Program &program) const;
    std::size_t indexOf(const ProgramId &program) const;
    std::size_t indexOf(const EndpointId &endpoint) const;

    RunSettings settings_;
    nlohmann::json engineJson_;
    nlohmann::json faults_;
    EngineSettings engineSettings_;
    Workload workload_;
    EventQueue events_;
    std::mt19937_64 random_;
    std::vector<ProgramSpec> specs_;
    std::vector<Program> programs_;
    std::vector<Attempt> attempts_;
    std::vector<Engine> engines_;
    std::vector<std::mt19937_64> nodeRandom_;
    std::vector<std::unique_ptr<NodePolicy>> nodes_;
    std::vector<std::pair<Time, Time>> logOutages_;
    std::vector<EndpointInfo> published_;
    std::vector<std::string> violations_;
    std::map<std::string, std::int64_t> wastedBy_; ///< Wasted tokens of the whole run, by cause.
    std::int64_t refusedPolicy_ = 0;
    std::int64_t refusedStore_ = 0;
    std::int64_t arrivals_ = 0;
};

} // namespace filbertgw::bench

#endif
