#ifndef FILBERTGW_GATEWAY_GATEWAYPRIVATE_H
#define FILBERTGW_GATEWAY_GATEWAYPRIVATE_H

#include "core/boundedlabels.h"
#include "endpoints/incarnationcheck.h"
#include "fleet/relayedstore.h"
#include "gateway/gateway.h"
#include "ledger/missedgrantdetector.h"

#include <unordered_map>
#include <unordered_set>

namespace filbertgw {

namespace internal {

class GatewayCall;

} // namespace internal

/** \brief Components and state of a Gateway, shared by its calls. */
struct Gateway::Private : std::enable_shared_from_this<Gateway::Private>
{
    Private(GatewayHooks hooks, GatewaySettings settings);

    /** \brief Expires stale state and polls engine caches; schedules itself again. */
    void runHousekeeping();
    /** \brief Sends nothing more to an incarnation; does nothing if it is empty. */
    void retireEndpoint(const std::string &incarnation, const char *reason);
    /** \brief Cuts the longest unfinished answer if all of them together exceed the limit. */
    void limitBufferedBytes();
    /** \brief Forgets old crashes, deletes them from the store if that is up to this node, and stores missing ones. */
    void maintainCrashes();
    /** \brief Logs when the ledger becomes current or outdated. */
    void logLedgerStateChange();
    /** \brief Logs when it changes whether this node may miss grants of an outage. */
    void updateMissedGrants();
    /** \brief Logs the estimates of the engine models, which explain placements and refusals. */
    void logEngineTimings();
    /** \brief Share of the new programs of a service that Admission refuses, by priority. */
    AccountAdmission::RefusedShare refusedShareOf(const std::string &service);
    /** \brief Updates whose programs are to be refused; does nothing without client accounts. */
    void updateAccountAdmission();
    /** \brief Load of a service from the requests of all nodes. */
    ServiceLoad loadOf(const std::string &service);
    FleetHooks fleetHooks();
    MissedGrantDetectorHooks missedGrantHooks();
    BudgetControllerHooks budgetHooks();
    TurnStoreHooks turnStoreHooks();
    CacheDiscoveryHooks cacheDiscoveryHooks();
    QuarantineHooks quarantineHooks();
    CrashDetectorHooks crashDetectorHooks();
    CrashStreamHooks crashStreamHooks();
    EndpointLimitHooks endpointLimitHooks();
    OutlierDetectorHooks outlierDetectorHooks();
    StreamOriginsHooks streamOriginsHooks();
    StreamOutputsHooks streamOutputsHooks();
    ReachabilityHooks reachabilityHooks();
    ConfigurationPeersHooks configurationPeersHooks();
    /** \brief Notices that this process was suspended for long, during which the configuration may have changed. */
    void checkSuspension();
    /** \brief Reads the configuration, then runs the tasks that wait for it. \param pause for the log */
    void refreshConfiguration(Duration pause);
    /** \brief Runs a task when the configuration is not in doubt, which takes the time of one read at most. */
    void withConfiguration(const std::function<void()> &task);
    QuotaControllerHooks quotaHooks();
    /** \brief Reads the registry as it is now; \p done gets false if that failed. */
    void refreshRegistry(const std::function<void(bool isCurrent)> &done);
    /** \brief Asks an endpoint whether it is the process of its entry; ends its doubt, or retires the incarnation. */
    void checkIncarnation(const Endpoint &endpoint, const std::function<void(IncarnationCheck)> &done);
    void incarnationChecked(const Endpoint &endpoint, IncarnationCheck check);
    /** \brief This node is cut off: what waits for an endpoint goes to other nodes, if it may. */
    void forwardWaiting();
    /** \brief Endpoints that have left a request of this node unanswered for some time. */
    std::size_t silentEndpoints() const;
    /** \brief An endpoint ended while it ran these requests for this node. */
    void recordCrash(const std::string &incarnation, const std::vector<RequestFingerprints> &requests);
    /** \brief Asks the engines of all services for the contents of their caches. */
    void discoverCaches();
    /**
     * \brief True if this node has lost the store for some time and is probably alone in that.
     *
     * Then another node still reaches the store, or none of the other known nodes is alive.
     */
    bool isPartitioned() const;
    /** \brief True if a request that may take so long could be cut by the end of a planned stop. */
    bool isTooLateForStop(Duration time) const;
    /** \brief True if this node should get new connections. */
    bool isReady() const;
    /** \brief True if neither this node nor any node that it hears of reaches the store. */
    bool isStoreUnavailable() const;

    GatewayHooks hooks_;
    GatewaySettings settings_;
    std::shared_ptr<const RoutingTable> routing_;
    ConfigurationPeers configurationPeers_;
    std::vector<std::function<void()>> waitingForConfiguration_;
    bool isConfigurationInDoubt_ = false; ///< Being read again after a suspension.
    Time lastRunAt_; ///< When this process was last seen to run.
    EndpointDirectory directory_;
    Placement placement_;
    CacheDiscovery cacheDiscovery_;
    PartitionedLedger ledger_;
    AnsweredTargets answeredTargets_;
    Quarantine quarantine_;
    CrashDetector crashDetector_;
    CrashStream crashStream_;
    EndpointLimits limits_;
    OutlierDetector outliers_;
    RetryBudget retries_; ///< Of requests that were answered with an error, or not at all.
    EndpointReachability reachability_;
    Fleet fleet_;
    StreamOrigins origins_;
    StreamOutputs outputs_;
    RelayedStore relayedStore_;
    TurnStore turns_;
    MissedGrantDetector missedGrants_;
    BudgetController budget_;
    Admission admission_;
    AccountAdmission accountAdmission_;
    BoundedLabels accountLabels_; ///< Names of accounts in the labels of metrics.
    PaceTracker pace_;
    RetryAfterPolicy retryAfter_;
    QuotaController quota_;
    std::unordered_set<std::shared_ptr<internal::GatewayCall>> calls_;
    /** Later turns of programs of client accounts that wait for an endpoint, by service. */
    std::unordered_map<std::string, std::size_t> waitingTurns_;
    std::size_t bufferedBytes_ = 0; ///< Of the unfinished answers of all calls.
    std::uint64_t housekeepingRuns_ = 0;
    Time lastLedgerCurrent_{0}; ///< When the ledger was last current.
    bool mayHaveMissedGrants_ = true; ///< At the last call of updateMissedGrants().
    bool ledgerWasCurrent_ = false; ///< At the last call of logLedgerStateChange().
    bool hasQuotas_ = false; ///< An account of the configuration in force has a quota.
    bool stopping_ = false;
    Time stopEndsAt_{0}; ///< Of a planned stop, as the next.
    Time acceptsAnyUntil_{0}; ///< From then on requests that may last beyond stopEndsAt_ are refused.
    bool stopped_ = false;
};

} // namespace filbertgw

#endif
