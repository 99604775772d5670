#ifndef FILBERTGW_GATEWAY_GATEWAY_H
#define FILBERTGW_GATEWAY_GATEWAY_H

#include "accounts/quotacontroller.h"
#include "endpoints/answeredtargets.h"
#include "endpoints/crashdetector.h"
#include "endpoints/crashstream.h"
#include "endpoints/endpointdirectory.h"
#include "endpoints/endpointlimits.h"
#include "endpoints/endpointreachability.h"
#include "endpoints/outlierdetector.h"
#include "endpoints/quarantine.h"
#include "endpoints/retrybudget.h"
#include "fleet/configurationpeers.h"
#include "fleet/fleet.h"
#include "ledger/budgetcontroller.h"
#include "ledger/partitionedledger.h"
#include "ledger/peerrequest.h"
#include "ledger/turnstore.h"
#include "placement/accountadmission.h"
#include "placement/admission.h"
#include "placement/cachediscovery.h"
#include "placement/pacetracker.h"
#include "placement/placement.h"
#include "placement/retryafterpolicy.h"
#include "routing/gatewaytypes.h"
#include "routing/routingtable.h"
#include "streams/streamorigins.h"
#include "streams/streamoutputs.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace filbertgw {

/**
 * \brief Environment of a Gateway: clock, timers, record store and network.
 *
 * The program connects them to sockets and timers, tests to fakes in virtual time.
 */
struct GatewayHooks
{
    Clock now_; ///< Includes the time during which the VM is suspended.
    Clock timeOfDay_; ///< Since the Unix epoch; close to that of other nodes, and may step.
    RandomSource random_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    std::function<void(std::uint64_t timer)> cancelTimer_;
    RecordStore store_;
    std::function<std::uint64_t(EndpointAttempt, AttemptHandlers)> startAttempt_;
    std::function<void(std::uint64_t attempt)> cancelAttempt_;
    /** \brief Passes a request on to another node; canceled by cancelAttempt_. May be empty. */
    std::function<std::uint64_t(ForwardedRequest, AttemptHandlers)> forward_;
    /** \brief Lists the prompt parts in an engine's cache; may be empty. \sa CacheDiscoveryHooks::list_ */
    std::function<void(const Endpoint &endpoint, std::function<void(const std::vector<PromptPart> &)> done)> listCache_;
    /** \brief Decodes a configuration that another node has sent and applies it with setRouting(). May be empty. */
    std::function<void(const std::string &text)> applyConfiguration_;
    /** \brief Reads the configuration that is in the store now; false if that failed. May be empty. */
    std::function<void(std::function<void(bool isCurrent)> done)> refreshConfiguration_;
    /** \brief Reads what the registry holds now; false if that failed. May be empty, if it is always read at once. */
    std::function<void(std::function<void(bool isCurrent)> done)> refreshRegistry_;
    /** \brief Reports whether a new connection to an endpoint can be opened; may be empty. \sa CrashDetectorHooks */
    std::function<void(const Endpoint &endpoint, std::function<void(bool isReachable)> done)> probeEndpoint_;
    /** \brief Asks an endpoint for the Unix millisecond of its start: 0 if it names none; may be empty. */
    std::function<void(const Endpoint &endpoint, std::function<void(std::optional<std::uint64_t> startedAtMs)> done)>
        askStart_;
    std::function<void(const std::string &address, const std::string &datagram)> sendDatagram_;
    PeerRequest askPeer_;
    /** \brief Tries to connect to another node that does not answer; may be empty. \sa QuotaControllerHooks::probe_ */
    std::function<void(const std::string &linkAddress, std::function<void(NodeProbe)> done)> probeNode_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
    /** \brief Counts an event; the label is a value, or a whole `name="value"`. \sa BoundedLabels */
    std::function<void(const std::string &name, const std::string &label)> count_;
    std::function<void(const std::string &name, Duration)> observe_;
};

struct GatewaySettings
{
    ProgramLedgerSettings ledger_;
    std::size_t ledgerPartitions_ = 1; ///< Must be the same at all nodes.
    TurnStoreSettings turns_;
    PlacementSettings placement_;
    FleetSettings fleet_;
    CacheDiscoverySettings cacheDiscovery_;
    AdmissionSettings admission_;
    AccountAdmissionSettings accountAdmission_;
    Duration defaultTimeout_{30'000'000}; ///< Timeout of a request whose route sets none.
    PaceSettings pace_;
    QuarantineSettings quarantine_;
    CrashDetectorSettings crashDetector_;
    EndpointLimitSettings limits_;
    OutlierSettings outliers_;
    RetryBudgetSettings retries_;
    ReachabilitySettings reachability_;
    StreamOriginsSettings origins_;
    StreamOutputsSettings outputs_;
    ConfigurationPeersSettings configurationPeers_;
    /** With accounts, a node that was suspended for longer reads the configuration before it checks keys again. */
    Duration maxSuspension_{2'000'000};
    Duration minStreamLifetime_{10'000'000}; ///< Streams are taken to be resumed for at least this time.
    RetryAfterSettings retryAfter_;
    QuotaSettings quota_;
    std::size_t maxForwards_ = 4; ///< Other nodes that a request is passed on to, one after the other.
    Duration endpointRetryDelay_{25'000}; ///< Delay until endpoints that refused as full are tried again.
    /** Longest time for which a request waits until an endpoint with a request limit takes it. */
    Duration maxLimitWait_{150'000};
    /** Longest idle time of a pooled connection that may carry a request which must not be repeated. */
    Duration maxReuseIdleTime_{5'000'000};
    Duration maxReuseIdleTimeRepeatable_{15'000'000}; ///< The same for a request that may be repeated.
    /** A request that ends without an answer after so long counts as failed by its endpoint. */
    Duration silentAfter_{1'000'000};
    std::size_t maxResponseBytes_ = 4 * 1024 * 1024; ///< Limit on a response.
    std::size_t maxBufferedBytes_ = 4 * 1024 * 1024; ///< Limit on the unfinished responses of all requests together.
};

/**
 * \brief Routes requests of client accounts to endpoints and relays the responses.
 *
 * Stages of a call: find the route, load the chain of earlier turns, reserve budget, choose an endpoint, send the
 * request, relay the response, settle the budget. All durable state is in the record store and no node owns any of it,
 * so any node can serve any request.
 */
class Gateway
{
public:
    Gateway(GatewayHooks hooks, GatewaySettings settings);
    ~Gateway();

    void start();

    /**
     * \brief Replaces the configuration, unless \p table is not newer than the present one.
     * \param text from which \p table was decoded, for other nodes that can't read it; kept only with accounts
     */
    void setRouting(std::shared_ptr<const RoutingTable> table, const std::string &text = {});
    /** \brief An entry was read. \sa EndpointDirectory::update */
    void updateEndpoint(const Endpoint &endpoint, Time writtenAfter = Time{0});
    void removeEndpoint(const std::string &id);
    /** \brief An endpoint has said, outside of a request's answer, that it leaves. */
    void endpointLeaves(const Endpoint &endpoint);
    void setRegistryReachable(bool reachable);
    /** \brief Changes of the registry may have been missed: entries are read anew. */
    void registryReadAnew();

    void onRequest(GatewayRequest request, std::shared_ptr<HttpReply> reply);

    /** \brief True if this node should get new connections. */
    bool isReady() const;
    /**
     * \brief Begins a planned shutdown: the node is no longer ready, but still serves requests.
     * \param grace time after which no request may be open. One that comes late in it is refused if it may last longer.
     */
    void beginStop(Duration grace);
    /** \brief Ends all calls before the process exits: with a refusal, or an error if they may have run. */
    void endCalls();
    /** \brief True if no call is open and nothing waits to be stored. */
    bool isIdle() const;
    std::size_t openCalls() const;

    void onDatagram(const std::string &datagram);
    /** \brief Handles a request of another node; a type that is not known gets a null answer. */
    void onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer);
    /** \brief Internal state for diagnostics. */
    nlohmann::json state() const;

    /** \brief State shared with the calls; internal to this module. */
    struct Private;

private:
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
