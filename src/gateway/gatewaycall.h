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
    bool beginsProgram() const;
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
    void headArrived(const AttemptHead &head);
    void partArrived(const std::string &part);
    void attemptEnded(AttemptEnd end);
    void leaveEndpoint();
    void afterRefusal();
    void afterFailure(AttemptEnd end);
    bool mayRunAgain() const;

    // The answer, in gatewayanswer.cpp.
    std::string passOnHeaders();
    void startRelay();
    bool relayEvents();
    void noteFirstEvent(Time now);
    void observePace(Time now);
    void streamComplete();
    void passOnAnswer();
    void turnDurable();

    void refuse(RefusalReason reason);
    void abortAnswer(const char *why);
    void clientLeft();
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
    Time arrived_{0};
    Time deadline_{0};
    std::uint64_t timer_ = 0;
    std::uint64_t storing_ = 0;

    // The attempt in progress.
    std::string endpoint_; ///< Empty if there is none.
    std::string lastEndpoint_; ///< Of the attempt in progress or the one before.
    std::uint64_t attempt_ = 0;
    AttemptHead head_;
    bool headArrived_ = false;
    std::string answer_; ///< Body of an answer that is no stream.
    Time sentAt_{0};
    DispatchState start_;
    EventSplitter splitter_;
    Time firstEventAt_{0};
    Time pacedAt_{0}; ///< Arrival of the event number pacedEvents_.
    std::uint64_t pacedEvents_ = 0;
    std::uint64_t attemptEvents_ = 0;

    std::unordered_set<std::string> excluded_; ///< Endpoints that have refused or failed.
    std::uint32_t runs_ = 0; ///< Attempts that may have run.
    std::uint32_t sends_ = 0;
    BudgetGrant grant_;
    std::uint64_t events_ = 0; ///< Handed to the client.
    std::string lastEventId_;
    std::string output_; ///< Data of the events, if the turn is retained.
};

} // namespace filbertgw::internal

#endif
