#ifndef FILBERTGW_PLACEMENT_PLACEMENT_H
#define FILBERTGW_PLACEMENT_PLACEMENT_H

#include "placement/cachemodel.h"
#include "placement/enginemodel.h"
#include "placement/promptindex.h"
#include "routing/gatewaytypes.h"
#include "routing/routingtable.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace filbertgw {

struct PlacementSettings
{
    EngineModelSettings engines_;
    CacheModelSettings caches_;
    Duration defaultRetention_{6'000'000}; ///< Retention of cached parts until it can be estimated.
    Duration sharedPartRetention_{30'000'000}; ///< Retention of parts that several sessions share.
    Duration minAnnouncedPrefill_{5'000}; ///< Parts with at least this prefill time are announced to peers.
    Duration announceInterval_{5'000'000}; ///< Parts in use are announced again after this time.
    Duration peerLoadTimeout_{1'500'000}; ///< Age from which load reports of peers are ignored.
    Duration initialBackoff_{500'000}; ///< After a failure; doubles with each consecutive one.
    Duration maxBackoff_{4'000'000};
    Duration idleConnectionTimeout_{7'000'000}; ///< Idle connections are assumed to be closed after this time.
    double newConnectionCost_ = 0.06; ///< Additional share of the cost of a request that needs a new connection.
    Duration fullBackoff_{40'000}; ///< After a refusal because the endpoint is full.
};

/** \brief A prompt part in the prefix cache of an engine. */
struct CachedPart
{
    std::string endpoint_;
    std::string part_;
    std::uint64_t tokens_ = 0;
};

/** \brief Estimated state of the engine when a request was sent to it. */
struct DispatchState
{
    std::uint64_t uncachedTokens_ = 0; ///< Prompt tokens that the engine has to prefill.
    std::uint32_t otherRequests_ = 0;
};

/**
 * \brief Chooses the endpoint on which a request is expected to cost the least time over all requests.
 *
 * For a model engine the cost consists of the time to decode the answer in the current batch, the delay of the other
 * requests in the batch, the prefill of uncached prompt tokens and the wait for a slot. For other services it is
 * derived from the request time and the wait for a slot. Among endpoints of about the same cost, one with an idle
 * connection is preferred.
 */
class Placement
{
public:
    Placement(Clock now, RandomSource random, PlacementSettings settings);

    /**
     * \brief The endpoint with the lowest cost among candidates of one service, or null if all are excluded.
     *
     * \p candidates are cached by pointer: call forget() for each endpoint that is removed.
     */
    const Endpoint *choose(const std::vector<const Endpoint *> &candidates,
                           const Service *service,
                           const GatewayRequest &request,
                           const std::unordered_set<std::string> &excluded);

    /** \brief Records that a request is sent to an endpoint. */
    DispatchState started(const Endpoint &endpoint, const GatewayRequest &request);
    /** \brief Records that a request has ended and its connection is idle. */
    void ended(const std::string &endpoint);
    /** \brief Records the time between the first and the last of some output tokens of an engine. */
    void observeTokens(const std::string &service, const std::string &endpoint, std::uint64_t tokens, Duration time);
    /** \brief Records the time from sending a request to the first event of its answer. */
    void observeFirstEvent(const std::string &service, const DispatchState &state, Duration time);
    /** \brief Records the time of a request to an endpoint that is not a model engine. */
    void observeRequestTime(const std::string &endpoint, Duration time);
    void failed(const std::string &endpoint);
    void succeeded(const std::string &endpoint);
    void refusedAsFull(const std::string &endpoint);
    void forget(const std::string &endpoint);
    /** \brief Drops the cached parts of an engine that has restarted under the same id. */
    void forgetCache(const std::string &endpoint);

    /** \brief Returns the prompt parts to announce to peers and clears the list. */
    std::vector<CachedPart> takeCachedParts();
    /** \brief Adds a cached part reported by a peer or by the engine itself. */
    void addCachedPart(const CachedPart &part);
    /** \brief Running requests of this node, by endpoint. */
    std::vector<std::pair<std::string, std::uint32_t>> localLoad() const;
    /** \brief Drops the load of peers whose last report is too old. */
    void expirePeers();
    /** \brief Replaces the load reported by a peer, or by a group of \p nodes. All endpoints in \p load must exist. */
    void setPeerLoad(const std::string &peer,
                     const std::vector<std::pair<std::string, std::uint32_t>> &load,
                     std::size_t nodes = 1);
    /** \brief Known running requests of all nodes at an endpoint. */
    std::uint32_t running(const std::string &endpoint) const;
    /** \brief Known running requests of all nodes at several endpoints of one service. */
    std::uint32_t running(const std::vector<const Endpoint *> &endpoints);
    /** \brief Records the output tokens of a request that completed. */
    void observeSize(const std::string &service, const DispatchState &state, std::uint64_t tokens);
    const EngineModel &engines() const;
    /** \brief Number of known endpoints. */
    std::size_t endpoints() const;
    /** \brief Number of prompt parts recorded for an engine. */
    std::size_t partsOf(const std::string &endpoint) const;

private:
    struct EndpointStats
    {
        std::string id_; ///< Empty if the number is not in use.
        std::uint32_t localRequests_ = 0;
        std::uint32_t peerRequests_ = 0;
        std::optional<double> slowness_; ///< \sa EngineModel::slowness
        double meanRequestMs_ = 0.0; ///< For endpoints that are not model engines; 0 until observed.
        std::uint32_t failures_ = 0; ///< Consecutive.
        Time backoffUntil_{0};
        std::vector<Time> idleSince_; ///< Of each idle connection, the newest last.

        double running() const
        {
            return static_cast<double>(localRequests_ + peerRequests_);
        }
    };
    struct PeerLoad
    {
        Time receivedAt_{0};
        std::size_t nodes_ = 1;
        std::vector<std::pair<std::string, std::uint32_t>> running_;
    };
    /** \brief Endpoints of a service and their numbers, which avoids lookups by id while they stay the same. */
    struct Candidates
    {
        std::vector<const Endpoint *> endpoints_;
        std::vector<EndpointNumber> numbers_;
    };
    /** \brief Inputs of the cost of a request that are the same for all engines of a service. */
    struct EngineCostInputs
    {
        EngineTimings timings_; ///< Of the service.
        double meanSlowness_ = 1.0;
        double slots_ = 1.0;
        double outputTokens_ = 0.0;
        std::uint64_t promptTokens_ = 0;
    };

    EndpointNumber numberOf(const std::string &endpoint);
    /** \brief State of an endpoint, or null if it is unknown: requests may end after their endpoint was removed. */
    EndpointStats *findStats(const std::string &endpoint);
    /** \brief Numbers of the endpoints of one service, assigned to new ones. */
    const std::vector<EndpointNumber> &numbersOf(const std::vector<const Endpoint *> &endpoints);
    EngineCostInputs engineCostInputs(const Service &service, const GatewayRequest &request) const;
    /** \brief Expected time of a request on a model engine, with the delay of other requests, in milliseconds. */
    static double engineCost(const EndpointStats &stats, const EngineCostInputs &inputs, std::uint64_t cachedTokens);
    /** \brief Expected time of a request on another endpoint, in milliseconds. */
    double genericCost(const EndpointStats &stats, const Endpoint &endpoint) const;
    bool isWorthAnnouncing(const Endpoint &endpoint, std::uint64_t tokens) const;
    /** \brief Estimated time that an unused part stays in the cache of one of these engines. */
    Duration retention(const std::vector<const Endpoint *> &engines, const Service &service);
    CacheCutoffs cacheCutoffs() const;
    double noise();
    bool hasIdleConnection(const EndpointStats &stats, Time now) const;
    void dropPeerLoad(PeerLoad &peer);
    /** \brief Number of nodes with a recent report, including this one. */
    std::size_t nodes() const;

    Clock now_;
    RandomSource random_;
    PlacementSettings settings_;
    EngineModel engines_;
    CacheModel caches_;
    Duration retention_; ///< Updated at each choice of an engine.
    std::unordered_map<std::string, EndpointNumber> numbers_;
    std::vector<EndpointStats> stats_; ///< By number.
    std::vector<EndpointNumber> freeNumbers_;
    std::unordered_map<std::string, Candidates> candidates_; ///< By service.
    PromptIndex prompts_;
    std::vector<CachedPart> cachedParts_; ///< To be announced to peers.
    std::unordered_map<std::string, PeerLoad> peers_;
};

} // namespace filbertgw

#endif
