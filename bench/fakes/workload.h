#ifndef FILBERTGW_BENCH_FAKES_WORKLOAD_H
#define FILBERTGW_BENCH_FAKES_WORKLOAD_H

#include "core/time.h"
#include "fakes/fakeengine.h"

#include <nlohmann/json.hpp>

#include <random>
#include <string>
#include <vector>

namespace filbertgw::bench {

/** \brief One turn of a generated program: a model call, then a pause or a sub-agent. */
struct TurnSpec
{
    std::int64_t added_ = 0; ///< Prompt tokens that the turn adds; for the first turn, the own tokens too.
    std::int64_t generated_ = 0;
    std::string tool_; ///< Tool that the program waits for afterwards; empty after the last turn.
    Duration pause_{0};
    int subAgent_ = -1; ///< Index of the sub-agent that runs after the turn instead of a tool.
};

/** \brief A generated program; everything random about it is drawn before any policy runs. */
struct ProgramSpec
{
    std::string template_;
    Time arrival_{0};
    int account_ = 0;
    int node_ = 0;
    int sharedPrefix_ = 0;
    Duration deadline_{0}; ///< 0 for none.
    std::vector<TurnSpec> turns_;
    std::vector<ProgramSpec> subAgents_;
    bool poison_ = false; ///< Its first call crashes the engine that runs it.
};

/** \brief Experiments that change the arrivals. */
struct ArrivalSettings
{
    double load_ = 0.8;
    double extraBurstFactor_ = 0; ///< Multiplies the rate for 5 minutes from minute 30; 0 for none.
    double heavyAccountFactor_ = 1; ///< Multiplies the arrivals of account 0.
    double hungTools_ = 0;
    int poisonRequests_ = 0;
    Duration length_{0};
};

/** \brief Draws programs from a workload file. */
class Workload
{
public:
    Workload(const nlohmann::json &json, const EngineSettings &engine);

    /** \brief All programs of a run, by arrival; the same for the same seed and settings. */
    std::vector<ProgramSpec> generate(std::uint64_t seed, const ArrivalSettings &arrivals) const;
    /** \brief Latency of a program alone on an idle engine that has its whole prefix cached, pauses included. */
    Duration lowerBound(const ProgramSpec &program) const;
    /** \brief Engine seconds of a program in full batches, with every prompt cached but for its new tokens. */
    double engineSeconds(const ProgramSpec &program) const;
    const nlohmann::json &json() const
    {
        return json_;
    }
    /** \brief Programs a second at load 1.0. */
    double fullRate() const
    {
        return fullRate_;
    }
    std::int64_t sharedTokens() const;

private:
    using Random = std::mt19937_64;
    ProgramSpec draw(const nlohmann::json &kind, Random &random, double hungTools) const;
    const nlohmann::json &drawTemplate(Random &random) const;
    std::int64_t drawTokens(const std::string &key, Random &random) const;
    void drawPause(const nlohmann::json &kind, TurnSpec &turn, Random &random, double hungTools) const;

    nlohmann::json json_;
    EngineSettings engine_;
    double fullRate_ = 0;
};

/** \brief Reads a JSON file of bench/workloads. */
nlohmann::json readWorkloadFile(const std::string &name);

} // namespace filbertgw::bench

#endif
