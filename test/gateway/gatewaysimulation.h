#ifndef FILBERTGW_TEST_GATEWAY_GATEWAYSIMULATION_H
#define FILBERTGW_TEST_GATEWAY_GATEWAYSIMULATION_H

#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"
#include "gateway/admission.h"
#include "gateway/fleet.h"
#include "gateway/pacetracker.h"
#include "gateway/placement.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw::test {

/** \brief A deployment and its load. */
struct SimulationSettings
{
    std::size_t nodes_ = 8;
    std::size_t engines_ = 10;
    std::uint32_t slots_ = 64;
    std::uint64_t cacheTokens_ = 280'000;
    EngineTimings timings_{5.0, 0.03, 0.02}; ///< What the engines really do.
    double programsPerSecond_ = 15.0;
    double meanTurns_ = 5.0; ///< Of a program, in the mean.
    std::uint64_t newTokensPerTurn_ = 900; ///< That each turn adds to the prompt.
    std::size_t sharedParts_ = 0; ///< Prompt parts with one of which each program begins; none if 0.
    std::uint64_t sharedTokens_ = 0; ///< Of each of them.
    std::size_t slowEngineInterval_ = 0; ///< Every so many engines one is slow; none if 0.
    double slowness_ = 1.0; ///< Of the slow ones.
    std::size_t clients_ = 0; ///< Each program is of one client, which stays at one node; if 0 each turn may meet any.
    std::size_t domains_ = 1; ///< Failure domains over which the nodes are spread.
    bool isGrouped_ = true; ///< Nodes say in which domain they are, without which there are no groups.
    std::uint64_t outputTokens_ = 33;
    Duration pause_{150'000}; ///< Between the turns of a program.
    double deadlineFactor_ = 2.7; ///< Time that a program has, in parts of its time on idle engines.
    double burstFactor_ = 1.0; ///< Factor of the load from burstFrom_ to burstTo_.
    Time burstStart_{0};
    Time burstEnd_{0};
    bool hasAdmission_ = false; ///< New programs are refused if Admission says so.
    std::uint64_t seed_ = 1;
};

/** \brief Programs that arrived within a time. */
struct SimulationResult
{
    int arrivals_ = 0;
    int onTime_ = 0;
    int refused_ = 0;

    double onTimeShare() const
    {
        return arrivals_ > 0 ? static_cast<double>(onTime_) / arrivals_ : 1.0;
    }
};

/**
 * \brief The gateway's own decisions in virtual time before engines with batches, prompt reading and prompt caches.
 *
 * Each node has a Placement, a PaceTracker and an Admission, and a Fleet through which it hears of the others.
 */
class GatewaySimulation
{
public:
    explicit GatewaySimulation(SimulationSettings settings);
    ~GatewaySimulation();

    /** \brief Lets programs arrive until this time, and runs until all have ended or given up. */
    void run(Time until);
    SimulationResult arrivedWithin(Time from, Time to) const;
    /** \brief Prompt tokens that the engines have read. */
    std::uint64_t prefilledTokens() const;
    /** \brief Times that an engine has read a shared part. */
    std::uint64_t sharedPartPrefills() const;

private:
    struct Node;
    struct Engine;
    struct Program;
    struct Turn;

    void arrive();
    void beginTurn(const std::shared_ptr<Program> &program);
    bool admit(Node &node, Program &program);
    void place(Node &node, const std::shared_ptr<Program> &program);
    void step(Engine &engine);
    Duration prefillChunk(Engine &engine);
    void generate(Engine &engine);
    std::uint64_t cachedTokens(const Engine &engine, const std::vector<PromptPart> &prompt) const;
    void addToCache(Engine &engine, const PromptPart &part);
    double slownessOf(const Engine &engine) const;
    void endTurn(Turn &turn);
    void startFleet(Node &node, std::size_t number);
    void sweep();
    double runningPerEngine(const Node &node) const;
    double uniform();

    SimulationSettings settings_;
    bench::EventQueue queue_;
    std::mt19937_64 random_;
    Service service_;
    std::vector<Endpoint> endpoints_;
    std::vector<const Endpoint *> candidates_;
    bench::FakeStore store_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::unordered_map<std::string, Node *> byName_;
    std::vector<std::unique_ptr<Engine>> engines_;
    std::vector<std::shared_ptr<Program>> programs_;
    Time arrivalsEnd_{0};
    std::uint64_t prefilledTokens_ = 0;
    std::uint64_t sharedPartPrefills_ = 0;
    int openPrograms_ = 0; ///< Programs that have not ended.
};

} // namespace filbertgw::test

#endif
