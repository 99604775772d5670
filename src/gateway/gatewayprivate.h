#ifndef FILBERTGW_GATEWAY_GATEWAYPRIVATE_H
#define FILBERTGW_GATEWAY_GATEWAYPRIVATE_H

#include "gateway/gateway.h"
#include "gateway/relayedstore.h"

#include <unordered_set>

namespace filbertgw {

namespace internal {

class GatewayCall;

} // namespace internal

/** \brief What the calls of a Gateway share. */
struct Gateway::Private : std::enable_shared_from_this<Gateway::Private>
{
    Private(GatewayHooks hooks, GatewaySettings settings);

    void runHousekeeping();
    void logLedgerStateChange();
    /** \brief Logs what is known of the engines, for those who ask later why a request was placed or refused. */
    void logEngineTimings();
    /** \brief Load of a service by what all nodes run on it. */
    ServiceLoad loadOf(const std::string &service);
    FleetHooks fleetHooks();
    TurnStoreHooks turnStoreHooks();
    CacheDiscoveryHooks cacheDiscoveryHooks();
    /** \brief Asks the engines of all services what they keep. */
    void discoverCaches();
    /** \brief True if this node has lost the store while others have not, or has lost all of them as well. */
    bool isPartitioned() const;
    /** \brief True if this node has lost the store and knows no other that reaches it. */
    bool isStoreUnavailable() const;

    GatewayHooks hooks_;
    GatewaySettings settings_;
    std::shared_ptr<const RoutingTable> routing_;
    EndpointDirectory directory_;
    Placement placement_;
    CacheDiscovery cacheDiscovery_;
    PartitionedLedger ledger_;
    Fleet fleet_;
    RelayedStore relayedStore_;
    TurnStore turns_;
    BudgetController budget_;
    Admission admission_;
    PaceTracker pace_;
    RetryAfterPolicy retryAfter_;
    std::unordered_set<std::shared_ptr<internal::GatewayCall>> calls_;
    std::uint64_t housekeepingRuns_ = 0;
    Time lastLedgerCurrent_{0}; ///< When the ledger was current last.
    bool ledgerWasCurrent_ = false; ///< As of the last sweep.
    bool stopping_ = false;
    bool stopped_ = false;
};

} // namespace filbertgw

#endif
