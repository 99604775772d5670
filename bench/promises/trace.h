#ifndef FILBERTGW_BENCH_PROMISES_TRACE_H
#define FILBERTGW_BENCH_PROMISES_TRACE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace filbertgw::bench {

/** \brief Microseconds of virtual time. */
using Micros = std::int64_t;

/** \brief What a caller wanted, before anything happened to it. */
struct PlannedCall
{
    std::string program_; ///< The caller's own name of the program.
    std::string request_;
    std::string kind_;
    std::string target_;
    std::string input_;
    bool idempotent_ = true;
    bool poison_ = false;
};

struct PlannedProgram
{
    std::string name_;
    std::string tree_; ///< Name of the root program.
    std::int64_t budgetTokens_ = 0;
    std::int64_t budgetCalls_ = 0;
    std::int64_t budgetMoney_ = 0;
    std::vector<PlannedCall> calls_; ///< In the order in which they are given.
    Micros endedAt_ = 0; ///< When the caller was told that it has ended, 0 if never.
    std::string id_; ///< As told by the gateway.
};

/** \brief One sending of a request and the one answer to it. */
struct Attempt
{
    std::string program_;
    std::string request_;
    std::string node_; ///< Node that the balancer picked.
    Micros sentAt_ = 0;
    Micros gotAt_ = 0; ///< 0 if the connection was lost or the caller gave up.
    int answers_ = 0;
    bool cut_ = false; ///< The connection broke before an answer.
    bool cutByPlannedStop_ = false;
    std::string failure_; ///< Empty for success.
    bool notRun_ = false;
    bool replayed_ = false;
    std::string body_;
};

/** \brief One run of a request at an endpoint, as the endpoint saw it. */
struct Run
{
    std::string endpoint_;
    std::string node_; ///< Node that sent it.
    std::string program_; ///< Program id.
    std::string request_;
    std::string prompt_;
    Micros startedAt_ = 0;
    Micros endedAt_ = 0; ///< 0 if it never ended (crash, cancel).
    bool answered_ = false;
    bool crashed_ = false;
    std::int64_t tokens_ = 0; ///< What the endpoint charges.
    std::int64_t money_ = 0;
};

/** \brief An engine holds memory of a program. */
struct Held
{
    std::string engine_;
    std::string program_;
};

/** \brief A node serves a version of a configuration record from a time on. */
struct ServedConfig
{
    std::string process_;
    std::string name_;
    std::uint64_t offset_ = 0;
    Micros at_ = 0;
};

/** \brief One entry of the configuration stream as the log took it. */
struct ConfigEntry
{
    std::uint64_t offset_ = 0;
    Micros at_ = 0;
    std::string name_; ///< Kind and name.
    std::uint64_t replaces_ = 0;
    bool valid_ = true; ///< Of a known schema and well-formed, as the operator meant it.
};

struct Leaving
{
    std::string endpoint_;
    Micros signAt_ = 0;
};

/** \brief A node's process and when it could take part. */
struct ProcessLife
{
    std::string process_;
    Micros from_ = 0;
    Micros to_ = 0; ///< 0 if it runs at the end.
    std::vector<std::pair<Micros, Micros>> troubles_; ///< Pauses and cuts from the log.
};

/** \brief Everything that could be seen from outside during one schedule. */
struct Trace
{
    std::vector<PlannedProgram> programs_;
    std::vector<Attempt> attempts_;
    std::vector<Run> runs_;
    std::vector<Held> heldAtEnd_;
    std::vector<Leaving> leaving_;
    std::vector<ServedConfig> served_;
    std::vector<ConfigEntry> config_;
    std::vector<ProcessLife> processes_;
    std::vector<std::pair<Micros, Micros>> logTroubles_;
    std::map<std::string, std::map<std::string, std::string>> histories_; ///< By program id and node, at the end.
    Micros endAt_ = 0;
    std::vector<std::string> faults_; ///< What the schedule did, for people.
    std::vector<double> takeoverSeconds_; ///< From an owner's death to the next start of a waiting program.
    std::vector<double> startSeconds_; ///< From sending to start, undisturbed.
    std::vector<double> stopStartSeconds_; ///< The same for programs of a node that stops as planned.
};

/** \brief A broken promise. */
struct Violation
{
    std::string promise_; ///< H1 … H10
    std::string what_;
};

} // namespace filbertgw::bench

#endif
