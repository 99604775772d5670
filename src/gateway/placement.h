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
    Duration partMemory_{6'000'000}; ///< How long an engine is taken to keep a part until that can be estimated.
    Duration sharedPartMemory_{30'000'000}; ///< The same for a part that several sessions use.
    Duration announcedReading_{5'000}; ///< Parts that take an engine so long to read are told to other nodes.
    Duration announceAgain_{5'000'000}; ///< A part in steady use is told again after this.
    Duration peerLoadMemory_{1'500'000}; ///< Age at which another node's word on its load is void.
    Duration firstPenalty_{500'000}; ///< After a failure an endpoint is avoided for this long, doubling.
    Duration longestPenalty_{4'000'000};
    Duration connectionMemory_{7'000'000}; ///< How long an endpoint is taken to keep an idle connection.
    double newConnectionPart_ = 0.06; ///< Part by which a request costs more that needs a new connection.
    Duration fullPenalty_{40'000}; ///< After an endpoint has refused a request as full.
};

/** \brief A prompt part that an engine has read. */
struct ReadPart
{
    std::string endpoint_;
    std::string part_;
    std::uint64_t tokens_ = 0;
};

/** \brief What a request met at its engine. */
struct RequestStart
{
    std::uint64_t unread_ = 0; ///< Prompt tokens that the engine is taken to have to read.
    std::uint32_t others_ = 0; ///< Other requests there.
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

    RequestStart started(const Endpoint &endpoint, const GatewayRequest &request);
    /** \brief Takes note that a request has ended and left an idle connection behind. */
    void ended(const std::string &endpoint);
    /** \brief Time between the first and last of some output tokens on an engine. */
    void observeTokens(const std::string &service, const std::string &endpoint, std::uint64_t tokens, Duration time);
    /** \brief Time from the start of a request on an engine to its first event. */
    void observeFirstEvent(const std::string &service, const RequestStart &start, Duration time);
    void observeService(const std::string &endpoint, Duration time);
    void failed(const std::string &endpoint);
    void succeeded(const std::string &endpoint);
    void refusedAsFull(const std::string &endpoint);
    void forget(const std::string &endpoint);
    /** \brief Takes note that an engine has restarted under its id and keeps nothing of before. */
    void forgetCache(const std::string &endpoint);

    /** \brief Prompt parts that engines have read for this node since the last call. */
    std::vector<ReadPart> takeReadParts();
    /** \brief What an engine has read for another node. */
    void noteReadPart(const ReadPart &read);
    /** \brief Requests of this node at each endpoint that has any. */
    std::vector<std::pair<std::string, std::uint32_t>> ownLoad() const;
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
    void observeSize(const std::string &service, const RequestStart &start, std::uint64_t tokens);
    const EngineModel &engines() const;
    /** \brief Number of the endpoints that are known. */
    std::size_t endpoints() const;
    /** \brief Prompt parts that an engine is taken to have read. */
    std::size_t partsOf(const std::string &endpoint) const;

private:
    struct Load
    {
        std::string id_; ///< Of the endpoint; empty if the number is not in use.
        std::uint32_t own_ = 0; ///< Requests of this node.
        std::uint32_t peers_ = 0; ///< Requests of other nodes.
        std::optional<double> slowness_; ///< \sa EngineModel::slowness
        double serviceMs_ = 0.0; ///< Time of a plain request; 0 until observed.
        std::uint32_t failures_ = 0; ///< In a row.
        Time avoidUntil_{0};
        std::vector<Time> idle_; ///< Since when each connection is idle, the newest last.

        double running() const
        {
            return static_cast<double>(own_ + peers_);
        }
    };
    struct PeerLoad
    {
        Time heard_{0};
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
    struct EngineRequest
    {
        EngineFigures figures_; ///< Of an engine as fast as its service.
        double usualSlowness_ = 1.0;
        double slots_ = 1.0;
        double outputTokens_ = 0.0;
        std::uint64_t promptTokens_ = 0;
    };

    EndpointNumber numberOf(const std::string &endpoint);
    /** \brief The load of an endpoint that is known, or null: requests may end after their endpoint has gone. */
    Load *findLoad(const std::string &endpoint);
    const std::vector<EndpointNumber> &numbersOf(const std::vector<const Endpoint *> &endpoints);
    EngineRequest describe(const Service &service, const GatewayRequest &request) const;
    static double engineCost(const Load &load, const EngineRequest &request, std::uint64_t keptTokens);
    double serviceCost(const Load &load, const Endpoint &endpoint) const;
    bool isWorthTelling(const Endpoint &endpoint, std::uint64_t tokens) const;
    /** \brief How long an engine among these keeps a part that nobody uses. */
    Duration retention(const std::vector<const Endpoint *> &engines, const Service &service);
    KeptSince keptSince() const;
    double noise();
    bool hasIdleConnection(const Load &load, Time now) const;
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
    std::vector<Load> loads_; ///< By number.
    std::vector<EndpointNumber> freeNumbers_;
    std::unordered_map<std::string, Candidates> candidates_; ///< By service.
    PromptIndex prompts_;
    std::vector<ReadPart> readParts_; ///< To be told to other nodes.
    std::unordered_map<std::string, PeerLoad> peers_;
};

} // namespace filbertgw

#endif
