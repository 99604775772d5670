#ifndef FILBERTGW_GATEWAY_GATEWAY_H
#define FILBERTGW_GATEWAY_GATEWAY_H

#include "gateway/admission.h"
#include "gateway/budgetcontroller.h"
#include "gateway/cachediscovery.h"
#include "gateway/endpointdirectory.h"
#include "gateway/fleet.h"
#include "gateway/gatewaytypes.h"
#include "gateway/pacetracker.h"
#include "gateway/placement.h"
#include "gateway/retryafterpolicy.h"
#include "gateway/routingtable.h"
#include "ledger/partitionedledger.h"
#include "ledger/turnstore.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace filbertgw {

/** \brief What a Gateway needs from outside: sockets and timers in the program, fakes in virtual time in tests. */
struct GatewayHooks
{
    Clock now_; ///< Counts the time during which the VM is suspended.
    RandomSource random_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    std::function<void(std::uint64_t timer)> cancelTimer_;
    RecordStore store_;
    std::function<std::uint64_t(EndpointAttempt, AttemptHandlers)> startAttempt_;
    std::function<void(std::uint64_t attempt)> cancelAttempt_;
    /** \sa CacheDiscoveryHooks::list_; may be empty */
    std::function<void(const Endpoint &endpoint, std::function<void(const std::vector<PromptPart> &)> done)> listCache_;
    std::function<void(const std::string &address, const std::string &datagram)> sendDatagram_;
    /** \sa BudgetControllerHooks::askPeer_ */
    std::function<void(const std::string &address,
                       const std::string &type,
                       const nlohmann::json &body,
                       Duration timeout,
                       std::function<void(const std::optional<nlohmann::json> &)> answer)>
        askPeer_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
    std::function<void(const std::string &name, const std::string &label)> count_;
    std::function<void(const std::string &name, Duration)> observe_;
};

struct GatewaySettings
{
    ProgramLedgerSettings ledger_;
    std::size_t ledgerPartitions_ = 1; ///< The same at all nodes.
    TurnStoreSettings turns_;
    PlacementSettings placement_;
    FleetSettings fleet_;
    CacheDiscoverySettings cacheDiscovery_;
    AdmissionSettings admission_;
    Duration defaultTimeout_{30'000'000}; ///< For a request that names no time and whose route has none.
    PaceSettings pace_;
    RetryAfterSettings retryAfter_;
    Duration endpointRetryDelay_{25'000}; ///< Pause before full endpoints are tried again.
    Duration maxReuseIdleTime_{
        5'000'000}; ///< Idle time up to which a connection carries a request that may not be repeated.
    Duration maxReuseIdleTimeRepeatable_{15'000'000};
    std::size_t maxResponseBytes_ = 4 * 1024 * 1024; ///< Longest answer that is no stream.
};

/**
 * \brief Routes requests of client accounts to endpoints and relays the answers.
 *
 * A call runs through these steps: route, chain of earlier turns, budget, placement, attempt, relay, settlement.
 * Everything that must last is in the record store; a node owns nothing, so any node can serve any request.
 */
class Gateway
{
public:
    Gateway(GatewayHooks hooks, GatewaySettings settings);
    ~Gateway();

    void start();

    /** \brief Takes a newer version of the configuration; an older one is ignored. */
    void setRouting(std::shared_ptr<const RoutingTable> table);
    void updateEndpoint(const Endpoint &endpoint);
    void removeEndpoint(const std::string &id);
    void setRegistryReachable(bool reachable);

    void onRequest(GatewayRequest request, std::shared_ptr<HttpReply> reply);

    /** \brief True if requests can be served. */
    bool isReady() const;
    /** \brief Begins a planned stop: not ready from now on; requests are still served. */
    void beginStop();
    /** \brief True if nothing runs and everything is durable. */
    bool isIdle() const;
    std::size_t openCalls() const;

    void onDatagram(const std::string &datagram);
    /** \brief Answers a request of another node. */
    void onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer);
    nlohmann::json state() const;

    /** \brief The parts that a call works with; only for this module. */
    struct Private;

private:
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
