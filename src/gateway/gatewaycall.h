#ifndef FILBERTGW_GATEWAY_GATEWAYCALL_H
#define FILBERTGW_GATEWAY_GATEWAYCALL_H

#include "gateway/eventsplitter.h"
#include "gateway/gatewayprivate.h"

#include <memory>
#include <string>
#include <unordered_set>

namespace filbertgw::internal {

/**
 * \brief One request from its arrival to its last byte.
 *
 * A request that may not be repeated is sent again only if its endpoint stated that it did not run it, or if no byte
 * of it was sent.
 */
class GatewayCall : public std::enable_shared_from_this<GatewayCall>
{
public:
    GatewayCall(std::shared_ptr<Gateway::Private> gateway, GatewayRequest request, std::shared_ptr<HttpReply> reply);

    void start();

private:
    enum class Step : std::uint8_t {
        Preparing, ///< Looks up earlier turns and the budget.
        Placing, ///< Waits for an endpoint.
        Running, ///< Sent to an endpoint; the client has got nothing yet.
        Relaying, ///< The head of the answer has been passed on.
        Storing, ///< The answer is complete but for its end; the turn is being made durable.
        Ended,
    };

    // Steps before the first attempt.
    void chooseService();
    bool startsProgram() const;
    bool admitProgram();
    void loadChain();
    void chainLoaded(const TurnChain &chain);
    void reserveBudget();
    void budgetDecided(const BudgetGrant &grant);

    // Attempts.
    void place();
    const Endpoint *chooseEndpoint();
    void send(const Endpoint &endpoint);
    std::uint32_t urgency() const;
    void headReceived(const AttemptHead &head);
    void bodyReceived(const std::string &part);
    void attemptEnded(AttemptEnd end);
    void releaseEndpoint();
    void handleRefusal();
    void handleFailure(AttemptEnd end);
    bool mayRetry() const;

    // The answer, in gatewayresponse.cpp.
    std::string relayHeaders();
    void startRelay();
    bool relayEvents();
    void observeTimeToFirstEvent(Time now);
    void observeTokenRate(Time now);
    void completeStream();
    void relayResponse();
    void turnStored();

    void refuse(RefusalReason reason);
    void abortResponse(const char *why);
    void clientDisconnected();
    void timedOut();
    void end(const char *outcome);
    void settleBudget();
    bool retainsTurn() const;
    Duration timeLeft() const;

    std::shared_ptr<Gateway::Private> gateway_;
    std::shared_ptr<const RoutingTable> routing_; ///< The version that the call began with.
    std::shared_ptr<GatewayRequest> request_;
    std::shared_ptr<HttpReply> reply_;
    const Route *route_ = nullptr;
    const Service *service_ = nullptr;
    std::string serviceName_;
    std::shared_ptr<const std::string> body_;
    std::vector<ChainTurn> earlierTurns_; ///< Of the chain that the turn goes on from, the oldest first.
    Step step_ = Step::Preparing;
    Time arrivedAt_{0};
    Time deadline_{0};
    std::uint64_t timer_ = 0;
    std::uint64_t storeOperation_ = 0;

    // The attempt in progress.
    std::string endpoint_; ///< Empty if there is none.
    std::string lastEndpoint_; ///< Of the attempt in progress or the one before.
    std::uint64_t attempt_ = 0;
    AttemptHead head_;
    bool headReceived_ = false;
    std::string responseBody_; ///< Body of an answer that is no stream.
    Time sentAt_{0};
    RequestStart start_;
    EventSplitter splitter_;
    Time firstEventAt_{0};
    Time rateSampledAt_{0}; ///< Arrival of the event number rateSampledEvents_.
    std::uint64_t rateSampledEvents_ = 0;
    std::uint64_t attemptEvents_ = 0;

    std::unordered_set<std::string> excluded_; ///< Endpoints that have refused or failed.
    std::uint32_t runs_ = 0; ///< Attempts that may have run.
    std::uint32_t sends_ = 0;
    BudgetGrant grant_;
    std::uint64_t relayedEvents_ = 0; ///< Handed to the client.
    std::string lastEventId_;
    std::string output_; ///< Data of the events, if the turn is retained.
};

} // namespace filbertgw::internal

#endif
