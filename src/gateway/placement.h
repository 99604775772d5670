#ifndef FILBERTGW_GATEWAY_PLACEMENT_H
#define FILBERTGW_GATEWAY_PLACEMENT_H

#include "gateway/cachemodel.h"
#include "gateway/enginemodel.h"
#include "gateway/gatewaytypes.h"
#include "gateway/promptindex.h"
#include "gateway/routingtable.h"

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
    Duration defaultRetention_{6'000'000}; ///< How long an engine is taken to keep a part until that can be estimated.
    Duration sharedPartRetention_{30'000'000}; ///< The same for a part that several sessions use.
    Duration minAnnouncedPrefill_{5'000}; ///< Parts that take an engine so long to read are told to other nodes.
    Duration announceInterval_{5'000'000}; ///< A part in steady use is told again after this.
    Duration peerLoadTimeout_{1'500'000}; ///< Age at which another node's word on its load is void.
    Duration initialBackoff_{500'000}; ///< After a failure an endpoint is avoided for this long, doubling.
    Duration maxBackoff_{4'000'000};
    Duration idleConnectionTimeout_{7'000'000}; ///< How long an endpoint is taken to keep an idle connection.
    double newConnectionCost_ = 0.06; ///< Part by which a request costs more that needs a new connection.
    Duration fullBackoff_{40'000}; ///< After an endpoint has refused a request as full.
};

/** \brief A prompt part that an engine has read. */
struct CachedPart
{
    std::string endpoint_;
    std::string part_;
    std::uint64_t tokens_ = 0;
};

/** \brief What a request met at its engine. */
struct DispatchState
{
    std::uint64_t uncachedTokens_ = 0; ///< Prompt tokens that the engine is taken to have to read.
    std::uint32_t otherRequests_ = 0; ///< Other requests there.
};

/**
 * \brief Chooses the endpoint on which a request is expected to cost callers the least time.
 *
 * For a model engine the cost is the time to generate the answer in the batch that is running, the delay that the
 * request causes to the others of the batch, the time to read what the engine has not cached, and the wait for a slot.
 * For plain services it is the wait for a slot. Among endpoints that cost about the same, one is chosen to which a
 * connection is idle.
 */
class Placement
{
public:
    Placement(Clock now, RandomSource random, PlacementSettings settings);

    /** \brief The best of these endpoints of one service that is not excluded, or null. Endpoints that go must be
     * forgotten. */
    const Endpoint *choose(const std::vector<const Endpoint *> &candidates,
                           const Service *service,
                           const GatewayRequest &request,
                           const std::unordered_set<std::string> &excluded);

    DispatchState started(const Endpoint &endpoint, const GatewayRequest &request);
    /** \brief Takes note that a request has ended and left an idle connection behind. */
    void ended(const std::string &endpoint);
    /** \brief Time between the first and last of some output tokens on an engine. */
    void observeTokens(const std::string &service, const std::string &endpoint, std::uint64_t tokens, Duration time);
    /** \brief Time from the start of a request on an engine to its first event. */
    void observeFirstEvent(const std::string &service, const DispatchState &start, Duration time);
    void observeRequestTime(const std::string &endpoint, Duration time);
    void failed(const std::string &endpoint);
    void succeeded(const std::string &endpoint);
    void refusedAsFull(const std::string &endpoint);
    void forget(const std::string &endpoint);
    /** \brief Takes note that an engine has restarted under its id and keeps nothing of before. */
    void forgetCache(const std::string &endpoint);

    /** \brief Prompt parts that engines have read for this node since the last call. */
    std::vector<CachedPart> takeCachedParts();
    /** \brief What an engine has read for another node. */
    void addCachedPart(const CachedPart &part);
    /** \brief Requests of this node at each endpoint that has any. */
    std::vector<std::pair<std::string, std::uint32_t>> localLoad() const;
    /** \brief Drops what nodes said that have not been heard of lately. */
    void expirePeers();
    /** \brief What another node, or a group of so many, said of its requests at endpoints that exist. */
    void setPeerLoad(const std::string &peer,
                     const std::vector<std::pair<std::string, std::uint32_t>> &load,
                     std::size_t nodes = 1);
    /** \brief Requests that all nodes have at an endpoint, as far as known. */
    std::uint32_t running(const std::string &endpoint) const;
    /** \brief The same over several endpoints of one service. */
    std::uint32_t running(const std::vector<const Endpoint *> &endpoints);
    /** \brief A request that has ended with all its tokens. */
    void observeSize(const std::string &service, const DispatchState &start, std::uint64_t tokens);
    const EngineModel &engines() const;
    /** \brief Number of the endpoints that are known. */
    std::size_t endpoints() const;
    /** \brief Prompt parts that an engine is taken to have read. */
    std::size_t partsOf(const std::string &endpoint) const;

private:
    struct EndpointStats
    {
        std::string id_; ///< Of the endpoint; empty if the number is not in use.
        std::uint32_t localRequests_ = 0; ///< Requests of this node.
        std::uint32_t peerRequests_ = 0; ///< Requests of other nodes.
        std::optional<double> slowness_; ///< \sa EngineModel::slowness
        double meanRequestMs_ = 0.0; ///< Time of a plain request; 0 until observed.
        std::uint32_t failures_ = 0; ///< In a row.
        Time backoffUntil_{0};
        std::vector<Time> idleSince_; ///< Since when each connection is idle, the newest last.

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
    /** \brief Endpoints of a service with their numbers, so that they are looked up by name only when they change. */
    struct Candidates
    {
        std::vector<const Endpoint *> endpoints_;
        std::vector<EndpointNumber> numbers_;
    };
    /** \brief What the cost of a request depends on besides the engine. */
    struct EngineCostInputs
    {
        EngineTimings timings_; ///< Of an engine as fast as its service.
        double meanSlowness_ = 1.0;
        double slots_ = 1.0;
        double outputTokens_ = 0.0;
        std::uint64_t promptTokens_ = 0;
    };

    EndpointNumber numberOf(const std::string &endpoint);
    /** \brief The load of an endpoint that is known, or null: requests may end after their endpoint has gone. */
    EndpointStats *findStats(const std::string &endpoint);
    const std::vector<EndpointNumber> &numbersOf(const std::vector<const Endpoint *> &endpoints);
    EngineCostInputs engineCostInputs(const Service &service, const GatewayRequest &request) const;
    static double engineCost(const EndpointStats &stats, const EngineCostInputs &inputs, std::uint64_t cachedTokens);
    double plainCost(const EndpointStats &stats, const Endpoint &endpoint) const;
    bool isWorthAnnouncing(const Endpoint &endpoint, std::uint64_t tokens) const;
    /** \brief How long an engine among these keeps a part that nobody uses. */
    Duration retention(const std::vector<const Endpoint *> &engines, const Service &service);
    CacheCutoffs cacheCutoffs() const;
    double noise();
    bool hasIdleConnection(const EndpointStats &stats, Time now) const;
    void dropPeerLoad(PeerLoad &peer);
    /** \brief Nodes that were heard of lately, this one included. */
    std::size_t nodes() const;

    Clock now_;
    RandomSource random_;
    PlacementSettings settings_;
    EngineModel engines_;
    CacheModel caches_;
    Duration retention_; ///< As of the last choice of an engine.
    std::unordered_map<std::string, EndpointNumber> numbers_;
    std::vector<EndpointStats> stats_; ///< By number.
    std::vector<EndpointNumber> freeNumbers_;
    std::unordered_map<std::string, Candidates> candidates_; ///< By service.
    PromptIndex prompts_;
    std::vector<CachedPart> cachedParts_; ///< To be told to other nodes.
    std::unordered_map<std::string, PeerLoad> peers_;
};

} // namespace filbertgw

#endif
