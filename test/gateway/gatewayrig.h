#ifndef FILBERTGW_TEST_GATEWAY_GATEWAYRIG_H
#define FILBERTGW_TEST_GATEWAY_GATEWAYRIG_H

#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"
#include "gateway/gateway.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace filbertgw::test {

/** \brief Response as received by a client. */
struct ClientResponse
{
    int status_ = 0;
    std::map<std::string, std::string> headers_;
    std::string body_;
    bool ended_ = false;
    bool aborted_ = false;
    Time endedAt_{0};
    std::function<void()> closed_;
};

/** \brief Request as received by an endpoint. */
struct ReceivedAttempt
{
    std::uint64_t number_ = 0;
    std::size_t node_ = 0;
    EndpointAttempt attempt_;
    AttemptHandlers handlers_;
    bool cancelled_ = false;
};

/** \brief Gateways in virtual time with a shared fake store. The test itself plays the endpoints. */
class GatewayRig
{
public:
    explicit GatewayRig(std::size_t nodes, const std::vector<Route> &routes);
    GatewayRig(std::size_t nodes,
               const std::vector<Route> &routes,
               TurnStoreSettings turns,
               std::size_t ledgerPartitions = 2);
    GatewayRig(std::size_t nodes, const std::vector<Route> &routes, std::size_t ledgerPartitions);

    /** \brief Registers endpoints named PREFIX0, PREFIX1 and so on at all nodes. */
    void addEndpoints(const std::string &service, const std::string &prefix, std::size_t count);
    /** \brief Registers an endpoint, or a new state of it, at all nodes. */
    void setEndpoint(const Endpoint &endpoint);
    void removeEndpoint(const std::string &id);
    /** \brief Cuts a node from the registry, or lets it read the registry again. */
    void cutRegistry(std::size_t node, bool cut);
    /** \brief Publishes a new version of the configuration, with these accounts, at all nodes that can read it. */
    void setAccounts(const std::vector<ClientAccount> &accounts);
    /** \brief Stops the timers of a node, as if its process were suspended, or runs them again. */
    void freeze(std::size_t node, bool frozen);
    std::shared_ptr<ClientResponse> send(std::size_t node, GatewayRequest request);
    /** \brief Puts a writer's spending record of a program into the store. */
    void putSpending(const std::string &program, const std::string &writer, const SpendingRecord &record);
    void run(Duration time);
    /** \brief Ends a node without a shutdown. */
    void kill(std::size_t node);
    /** \brief Starts a node with empty state. */
    void restart(std::size_t node);

    /** \brief Responds to an attempt with one event for each entry of \p data; ends the stream if \p ends. */
    void stream(std::size_t attempt, const std::vector<std::string> &data, bool ends, std::uint64_t firstId = 1);
    /** \brief Responds to an attempt with a complete body. */
    void answer(std::size_t attempt, int status, const std::string &body);
    /** \brief Refuses an attempt, stating that the request was not run. */
    void refuse(std::size_t attempt);
    /** \brief Ends an attempt without a further response. */
    void end(std::size_t attempt, AttemptEnd ended);

    bench::EventQueue queue_;
    bench::FakeStore store_;
    std::map<std::string, std::size_t> peerRequests_; ///< Requests of nodes to each other, by type.
    std::vector<std::unique_ptr<Gateway>> nodes_;
    std::vector<ReceivedAttempt> attempts_;
    std::set<std::string> isolatedNodes_; ///< Nodes without a connection to any other node.
    std::set<std::string> unresponsiveNodes_; ///< Nodes that do not answer requests of other nodes.
    std::map<std::size_t, Duration> registryDelays_; ///< By node; it learns of changes of endpoints so much later.
    std::map<std::string, Duration> appendDelays_; ///< By node; its appends reach the store so much later.
    double lostDatagrams_ = 0.0; ///< Share of the datagrams that are lost.
    std::function<void(std::size_t attempt)> onAttempt_; ///< If set, called within the call that starts an attempt.
    /** Start that an endpoint's process names, in milliseconds; nothing if it does not answer. If not set, it names
     * none. */
    std::function<std::optional<std::uint64_t>(const std::string &id)> startOf_;
    /** If set, the test plays the other node to which a request is passed on. */
    std::function<void(const ForwardedRequest &forwarded, const AttemptHandlers &handlers)> onForward_;
    /** Result of a node's probe of an endpoint; all succeed if it is not set. */
    std::function<bool(std::size_t node, const std::string &address)> isReachable_;
    std::vector<std::string> log_; ///< Events of all nodes with their fields, if keepsLog_ is set.
    std::map<std::string, std::size_t> counts_; ///< Of all nodes, by "name/label".
    bool keepsLog_ = false;
    std::set<std::size_t> configurationCuts_; ///< Nodes that can't read the configuration from the store.
    std::optional<Duration> configurationReadTime_; ///< If set, nodes can read the configuration again in this time.
    static constexpr const char *configurationText = "a text with keys, version "; ///< Begins each configuration.

private:
    class Forward;

    /** Numbers of forwarded requests are above those of attempts. */
    static constexpr std::uint64_t firstForward = 1ULL << 32;

    GatewayHooks hooksOf(std::size_t node);
    std::uint64_t
    startForward(const std::string &from, const ForwardedRequest &forwarded, const AttemptHandlers &handlers);
    void configure(std::size_t node);
    /** \brief Applies a version of the configuration, as decoded from its text. */
    void applyConfiguration(std::size_t node, const std::string &text);
    std::string nameOfNode(std::size_t node) const;
    /** \brief Tells all nodes that follow the registry of a change. */
    void publish(const std::function<void(Gateway &)> &change);
    /** \brief Tells a node all changes that it has not learned of yet. */
    void deliverChanges(std::size_t node);

    std::vector<std::shared_ptr<Forward>> forwards_;
    std::map<std::size_t, std::vector<std::shared_ptr<Forward>>> forwardedTo_; ///< By node that serves them.
    std::vector<std::shared_ptr<bool>> alive_; ///< By node; shared with its hooks, which do nothing after a kill.
    std::vector<Route> routes_;
    std::optional<std::vector<ClientAccount>> accounts_;
    TurnStoreSettings turns_;
    std::size_t ledgerPartitions_;
    std::vector<Endpoint> endpoints_;
    std::set<std::string> removedEndpoints_;
    std::set<std::size_t> registryCuts_; ///< Nodes that can't read the registry.
    std::map<std::size_t, std::deque<std::function<void(Gateway &)>>> unreadChanges_; ///< Of the registry, by node.
    std::map<std::string, std::shared_ptr<const RoutingTable>> configurations_; ///< All versions, by text.
    std::map<std::size_t, std::vector<std::function<void()>>> frozen_; ///< Tasks of nodes that are frozen.
    std::mt19937_64 random_{1};
    std::uint64_t starts_ = 0;
    std::uint64_t version_ = 1;
};

Route streamingRoute(bool retainsTurns, std::uint32_t maxAttempts, bool resumable);
Route plainRoute(RouteKind kind, std::uint32_t maxAttempts);
/** \brief A turn of up to 300 tokens in a program with a budget of 1,000. */
GatewayRequest turn(const std::string &id, const std::string &program, const std::string &session);
GatewayRequest plainRequest(const std::string &id);

} // namespace filbertgw::test

#endif
