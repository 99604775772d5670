#ifndef FILBERTGW_POLICY_POLICYSECTIONS_H
#define FILBERTGW_POLICY_POLICYSECTIONS_H

#include "policy/schedulertypes.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/** \brief An attempt that this node has in flight at an endpoint, or that ended a few seconds ago. */
struct Commitment
{
    std::uint64_t id_ = 0;
    Time sentAt_{0};
    Time endedAt_{0}; ///< 0 while it is in flight.
    std::int64_t uncachedTokens_ = 0; ///< Prompt tokens that the engine has to compute.
    bool hasFirstToken_ = false;
};

/** \brief A change of an engine's cache by this node that load reports may not show yet. */
struct MemoryChange
{
    Time at_{0};
    std::int64_t tokens_ = 0;
};

/** \brief State of an endpoint as known to this node. */
struct EndpointState
{
    EndpointInfo info_;
    std::size_t number_ = 0; ///< Position in EndpointSection::byNumber_.
    LoadReport report_;
    bool hasReport_ = false;
    bool healthy_ = true; ///< According to its health checks.
    std::vector<Commitment> commitments_;
    std::deque<MemoryChange> memoryChanges_;
    std::int32_t inFlight_ = 0; ///< Attempts of this node that have not ended.
    double score_ = 0; ///< Key in the load index: estimated streams.
    std::vector<std::string> indexedTargets_; ///< Targets under which it is in EndpointSection::byLoad_.
};

/** \brief Blackboard section of the endpoints; written by EndpointTracker. */
struct EndpointSection
{
    using LoadIndex = std::set<std::pair<double, std::size_t>>;
    std::unordered_map<EndpointId, EndpointState> endpoints_;
    std::vector<EndpointState *> byNumber_; ///< Null where an endpoint was removed.
    std::map<std::string, LoadIndex> byLoad_; ///< By model, tool or service; least loaded first.
    std::map<std::string, std::vector<std::size_t>> byTarget_; ///< The same endpoints as vectors, for random access.
};

/** \brief Blackboard section of outlier ejection; written by OutlierEjector. */
struct HealthSection
{
    struct Record
    {
        std::uint32_t consecutiveFailures_ = 0;
        std::uint32_t ejections_ = 0; ///< Since the last success; determines the length of the next one.
        Time ejectedUntil_{0};
    };
    std::unordered_map<EndpointId, Record> records_;
};

/** \brief State of one of this node's programs. */
struct ProgramState
{
    ProgramId root_;
    AccountId account_;
    EndpointId home_; ///< Engine whose cache holds the program's prefix.
    std::int64_t prefixTokens_ = 0; ///< Length of that prefix, shared tokens included.
    std::int64_t sharedTokens_ = 0;
    EndpointId exportEngine_; ///< Engine that holds its exported cache.
    std::set<EndpointId> engines_; ///< Engines that may hold cached blocks of the program.
    Time started_{0};
    bool admitted_ = false; ///< Counts as a live program of its account.
    bool paused_ = false;
    Time pausedAt_{0};
    std::string tool_;
    std::int32_t openCalls_ = 0; ///< Queued and running calls.
    std::uint32_t turns_ = 0;
    std::int64_t classKey_ = 0; ///< Groups programs of similar length. \sa ProgramTracker
    double delaySeconds_ = 0; ///< Root only: sum of the tree's call latencies beyond their lower bounds.
};

/** \brief Blackboard section of this node's programs; written by ProgramTracker. */
struct ProgramSection
{
    struct ClassMeans
    {
        double idealSeconds_ = 60; ///< Lower bound of a whole program's latency.
        double programSamples_ = 0; ///< Programs in the mean, bounded.
        double tokens_ = 0; ///< Cache that a program needs, averaged over its calls.
        double callSamples_ = 0; ///< Calls in the mean, bounded.
    };
    std::unordered_map<ProgramId, ProgramState> programs_;
    std::map<std::int64_t, ClassMeans> classes_;
    double exportedTokens_ = 0; ///< Exported cache of this node's programs.
    double meanGeneratedTokens_ = 350; ///< Per call, exponentially smoothed.
};

/** \brief Blackboard section of the client accounts; written by AdmissionController. */
struct AccountSection
{
    struct Account
    {
        std::int32_t live_ = 0; ///< Program trees that have started.
        std::int32_t queued_ = 0; ///< Programs that wait for admission.
    };
    std::map<AccountId, Account> accounts_;
    std::int32_t live_ = 0; ///< Sum over the accounts.
    std::int32_t queued_ = 0; ///< Sum over the accounts.
};

/** \brief A scheduling decision with its reason, for operators. */
struct Decision
{
    Time at_{0};
    ProgramId program_;
    std::string text_;
};

/** \brief Blackboard section of the latest decisions; written by Scheduler. */
struct DecisionSection
{
    std::deque<Decision> last_; ///< Oldest first, bounded.
};

} // namespace filbertgw

#endif
