#ifndef FILBERTGW_TEST_GATEWAY_GATEWAYSIMULATION_H
#define FILBERTGW_TEST_GATEWAY_GATEWAYSIMULATION_H

#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"
#include "fleet/fleet.h"
#include "placement/accountadmission.h"
#include "placement/admission.h"
#include "placement/pacetracker.h"
#include "placement/placement.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw::test {

/** \brief Deployment and load of a simulation. */
struct SimulationSettings
{
    std::size_t nodes_ = 8;
    std::size_t engines_ = 10;
    std::uint32_t slots_ = 64;
    std::uint64_t cacheTokens_ = 280'000;
    EngineTimings timings_{5.0, 0.03, 0.02}; ///< Actual timings of the engines.
    double programsPerSecond_ = 15.0;
    double meanTurns_ = 5.0; ///< Per program.
    std::uint64_t newTokensPerTurn_ = 900; ///< Added to the prompt by each turn.
    std::size_t sharedParts_ = 0; ///< Each program's prompt begins with one of this many; 0 for none.
    std::uint64_t sharedTokens_ = 0; ///< Per shared part.
    std::size_t slowEngineInterval_ = 0; ///< One engine out of this many is slow; 0 for none.
    double slowness_ = 1.0; ///< Of the slow engines.
    std::size_t clients_ = 0; ///< Clients, each of which uses one node; with 0 each turn goes to a random node.
    std::size_t domains_ = 1; ///< Failure domains over which nodes are distributed.
    bool isGrouped_ = true; ///< Nodes know their failure domain and form groups by it.
    std::uint64_t outputTokens_ = 33;
    Duration pause_{150'000}; ///< Time between the turns of a program.
    double deadlineFactor_ = 2.7; ///< Time allowed for a program, relative to its time on idle engines.
    double burstFactor_ = 1.0; ///< Factor of the arrival rate from burstStart_ to burstEnd_.
    Time burstStart_{0};
    Time burstEnd_{0};
    bool hasAdmission_ = false; ///< New programs may be refused by Admission.
    std::size_t accounts_ = 0; ///< Client accounts with Zipf-like sizes of exponent 1.2; 0 for none.
    /** Factors on the arrival rate of accounts, by rank, from burstStart_ to burstEnd_. */
    std::map<std::size_t, double> hotAccounts_;
    std::map<std::size_t, std::uint32_t> priorities_; ///< Of accounts, by rank; 1 if not listed.
    bool isFair_ = true; ///< AccountAdmission decides whose programs are refused, if there are accounts.
    Time slowFrom_{0}; ///< From this time to slowTo_ all engines are slow.
    Time slowTo_{0};
    double slowFactor_ = 1.0;
    std::uint64_t seed_ = 1;
};

/** \brief Counts of the programs that arrived within an interval. */
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
 * \brief Simulation of the gateway's placement and admission in virtual time.
 *
 * Each node has a Placement, a PaceTracker and an Admission, and a Fleet that exchanges reports with the other nodes.
 * The engines have batches, prefill in chunks and prefix caches with least-recently-used eviction.
 */
class GatewaySimulation
{
public:
    explicit GatewaySimulation(SimulationSettings settings);
    ~GatewaySimulation();

    /** \brief Generates arrivals until this time and runs until all programs have finished or were abandoned. */
    void run(Time until);
    SimulationResult arrivedWithin(Time from, Time to) const;
    /** \brief The same by account, from the largest to the smallest. */
    std::vector<SimulationResult> arrivedByAccount(Time from, Time to) const;
    /** \brief Prompt tokens that the engines have prefilled. */
    std::uint64_t prefilledTokens() const;
    /** \brief Number of prefills of a shared part. */
    std::uint64_t sharedPartPrefills() const;

private:
    struct Node;
    struct Engine;
    struct Program;
    struct Turn;

    void arrive();
    /** \brief Arrivals of an account per second, relative to all at normal load. */
    double rateShareOf(std::size_t account) const;
    std::size_t drawAccount();
    void beginTurn(const std::shared_ptr<Program> &program);
    std::uint32_t priorityOf(const Program &program) const;
    bool mayStart(const Node &node, const Program &program, const ServiceLoad &load) const;
    bool admit(Node &node, Program &program);
    void place(Node &node, const std::shared_ptr<Program> &program);
    void step(Engine &engine);
    Duration prefillChunk(Engine &engine);
    void generate(Engine &engine);
    std::uint64_t cachedTokens(const Engine &engine, const std::vector<PromptPart> &prompt) const;
    void addToCache(Engine &engine, const PromptPart &part);
    double slownessOf(const Engine &engine) const;
    ServiceLoad loadOf(const Node &node) const;
    void updateAccounts();
    void endTurn(Turn &turn);
    void startFleet(Node &node, std::size_t number);
    void expirePeerLoads();
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
    int openPrograms_ = 0; ///< Programs that have neither finished nor been refused for good.
};

} // namespace filbertgw::test

#endif
