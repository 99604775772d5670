#ifndef FILBERTGW_GATEWAY_GATEWAYCALL_H
#define FILBERTGW_GATEWAY_GATEWAYCALL_H

#include "accounts/keycheck.h"
#include "gateway/gatewayprivate.h"
#include "streams/eventsplitter.h"
#include "streams/streamorigin.h"
#include "streams/streamsequence.h"

#include <memory>
#include <string>
#include <unordered_set>

namespace filbertgw::internal {

/**
 * \brief One client request, from its arrival to the last byte of the response.
 *
 * A request that may not be repeated is sent again only if the endpoint states that it did not run it, or if no byte of
 * it was sent.
 */
class GatewayCall : public std::enable_shared_from_this<GatewayCall>
{
public:
    GatewayCall(std::shared_ptr<Gateway::Private> gateway, GatewayRequest request, std::shared_ptr<HttpReply> reply);

    void start();
    /** \brief True while an attempt, or an exchange with another node, is in progress. */
    bool isReceiving() const;
    /** \brief Endpoint of the attempt in progress; empty if there is none. */
    const std::string &endpoint() const;
    /** \brief Time for which that endpoint has answered nothing; 0 if it has. */
    Duration unansweredFor() const;
    /** \brief Bytes of the endpoint's unfinished answer that this call holds. */
    std::size_t bufferedBytes() const;
    /** \brief Ends the call because the process is about to exit. */
    void endForStop();
    /** \brief Ends the attempt or exchange in progress as broken. */
    void cutAnswer();
    /** \brief This node is cut off: passes the request on if it waits for an endpoint and may run at another one. */
    void forwardIfWaiting();

private:
    enum class Step : std::uint8_t {
        Preparing, ///< Loads earlier turns and reserves budget.
        Placing, ///< Waits for an endpoint.
        Running, ///< Sent to an endpoint; nothing has been sent to the client.
        Forwarding, ///< Passed on to another node; nothing has been sent to the client.
        Relaying, ///< The response head has been sent to the client.
        Storing, ///< All events have been relayed; the stream ends once the turn is durable.
        Ended,
    };

    // Resuming a stream, in resumedcall.cpp.
    /** \brief True if the client already has events of the stream, from another attempt. */
    bool resumesStream() const;
    /** \brief Time within which clients may resume a stream of the route. */
    Duration streamLifetime() const;
    /** \brief Reads the registry, then looks up the version that began the stream. */
    void readRegistry();
    void findOrigin(bool isRegistryCurrent);
    void originFound(const FoundOrigin &found);
    void findOutput();
    void outputFound(const std::optional<StreamOutput> &output);
    /** \brief Scoped id of the client's attempt that began the stream. */
    std::string streamId() const;
    /** \brief True if another node may need the events that this one relays, to retain the turn. */
    bool sharesOutput() const;
    void shareOutput(std::vector<OutputEvent> events);
    /** \brief Records that the stream begins at this endpoint, unless it has begun before. */
    void recordOrigin(const Endpoint &endpoint);
    /** \brief Chooses the next endpoint of a stream that broke off, by the registry as it is now. */
    void resumeElsewhere();
    /** \brief Asks the endpoint of the last attempt whether it is still the process that the registry shows. */
    void checkLastEndpoint(const std::function<void()> &done);
    /** \brief Sends the rest of a stream to an endpoint, if this is still the process that the registry shows. */
    void sendRest(const Endpoint &endpoint);
    /** \brief True if the endpoint may run the request: if it resumes a stream, it must surely be the same version. */
    bool isEligible(const Endpoint &endpoint) const;

    // Before the first attempt.
    void prepare();
    /** \brief Finds the account by the key. \return why the request is refused, or nothing. */
    std::optional<RefusalReason> identifyAccount();
    /** \brief Takes over the account that another node has found. \return why the request is refused, or nothing. */
    std::optional<RefusalReason> adoptAccount();
    /** \brief Sets the account of the request. \return false if its route needs one and there is none. */
    bool setAccount(const ClientAccount *account);
    /** \brief Priority of the client account, or of the route if the account has none. */
    std::uint32_t priority() const;
    /** \brief Draws one of the route's services by weight. */
    void chooseService();
    /** \brief Tokens of the program that are spent or reserved, as far as this node knows. */
    std::uint64_t spentTokens() const;
    /** \brief True for the first turn of a program: none of its tokens are spent or reserved. */
    bool startsProgram() const;
    /** \brief Probability at which a new program is to be refused. */
    double refusedShare(const ServiceLoad &load) const;
    void reportRefusedProgram(const ServiceLoad &load, double refusedShare) const;
    /** \brief True if no engine can answer in the time left; only known with client accounts. */
    bool isTooLate() const;
    /** \brief Records the progress of the program. \return false if it is new and not admitted. */
    bool admitProgram();
    void loadChain();
    void chainLoaded(const TurnChain &chain);
    void reserveBudget();
    void budgetDecided(const BudgetGrant &grant);

    // The quota of the client account, in quotacall.cpp.
    /** \brief The quota that limits the request; nothing if there is none. */
    std::optional<QuotaLimit> quotaLimit() const;
    /** \brief Obtains a permit if the account has a quota, then continues; or refuses the request. */
    void acquirePermit(const std::function<void()> &granted);
    void permitDecided(const QuotaDecision &decision, Step step, const std::function<void()> &granted);
    /** \brief Uses the permit for the attempt that begins now. \return false if a new one has to be obtained first. */
    bool usePermit();
    /** \brief The attempt has not run: its permit may be used again. */
    void keepPermit();
    /** \brief Returns the permit, unless it was used. */
    void returnPermit();

    // Attempts.
    void place();
    /** \brief Handlers of the attempt that begins now. They do nothing once another attempt has begun. */
    AttemptHandlers handlersOfAttempt();
    /** \brief Chooses an endpoint again a little later, or refuses the request if there is no time for that. */
    void waitForEndpoint();
    /** \brief True for a first turn while later ones wait here: engines take requests in order of arrival. */
    bool mustYield() const;
    bool isFirstTurn() const;
    /** \brief True if the request has ended too many endpoints to be sent to another one. */
    bool isQuarantined();
    const RequestFingerprints &fingerprints();
    /** \brief The incarnation that now has the address of an endpoint; empty if it is not registered yet. */
    std::string successorOf(const std::string &endpoint) const;
    /** \brief An endpoint has answered the request. */
    void reportAnswered();
    void send(const Endpoint &endpoint);
    std::uint32_t urgency() const;
    void headReceived(const AttemptHead &head);
    void bodyReceived(const std::string &part);
    void attemptEnded(AttemptEnd end);
    /** \brief The attempt failed: the endpoint may have started again. \sa EndpointDirectory::doubt */
    void doubtEndpoint(const std::string &endpoint);
    /** \brief Ends the accounting of the running attempt at its endpoint. */
    void releaseEndpoint(AttemptEnd ended);
    void handleRefusal();
    void handleFailure(AttemptEnd end);
    bool mayRetry() const;
    /** \brief Sets the time at which another endpoint is asked if the attempt that begins now gets no answer. */
    void watchForAnswer();
    /** \brief Ends an attempt to which no answer has begun, and asks another endpoint. */
    void replaceSilentAttempt();
    /** \brief Relays a whole answer that is no stream, or sends the request to another endpoint if it is an error. */
    void answerReceived(const std::string &endpoint);
    /** \brief Longest idle time of a pooled connection that may carry the request. */
    Duration maxIdleAge() const;

    // The choice of an endpoint, in endpointchoice.cpp.
    /** \brief The endpoint to send the request to, or null if none may get it now. */
    const Endpoint *chooseEndpoint();
    /** \brief True if the request may be a trial of an ejected endpoint. */
    bool mayTryOutlier(const Endpoint &endpoint) const;
    /** \brief True if the endpoint's answer is an error of its own; 503 and 504 tell of load. */
    bool isServerError() const;
    /** \brief Tells the outlier detector how the attempt has ended. */
    void reportOutcome(AttemptEnd ended);
    /** \brief The call ends while its attempt runs: reports a failure if no answer has begun for long. */
    void reportSilence();
    /** \brief Waits for an endpoint whose request limit is used up, or refuses the request. */
    void waitForLimits();

    // Passing the request on to another node, in forwardedcall.cpp.
    /** \brief Handlers of the exchange with another node that begins now. \sa handlersOfAttempt() */
    AttemptHandlers handlersOfForward();
    /** \brief True if another node has to serve the request, because this one reaches no endpoint. */
    bool mustForward() const;
    /** \brief Passes the request on to the next node. \return false if there is none. */
    bool forward();
    void forwardTo(const FleetMember &node);
    void forwardHeadReceived(const AttemptHead &head);
    void forwardPartReceived(const std::string &part);
    /** \brief Writes the whole events among these bytes to the client, if they follow those that it has. */
    void relayForwardedEvents(const std::string &part);
    void forwardEnded(AttemptEnd ended);
    /** \brief Ends the exchange with the other node, whose answer does not continue the stream. */
    void cutForward();
    void refuseAfterForwards(AttemptEnd ended);

    // Runs that continue a stream, in continuedstream.cpp.
    /** \brief True if the client has events, so that a run has to go on after them. */
    bool continuesStream() const;
    /** \brief True if the head of an answer with status 2xx may begin or continue the events of a stream. */
    bool isStreamHead(const AttemptHead &head) const;
    /** \brief True if the end of the run that has just ended is the end of the stream. */
    bool endsStream();
    /** \brief Counts a run without events. \return true if the client has the whole stream. */
    bool isConfirmedEnd();
    /** \brief Logs and counts an answer that does not continue the stream. */
    void reportRejectedAnswer(const char *reason, const std::string &event);

    // The response, in gatewayresponse.cpp.
    /** \brief Copies the endpoint's headers. \return the content type, which is set with the status. */
    std::string relayHeaders();
    void startRelay();
    /** \brief Updates the number of buffered bytes of the node. */
    void countBufferedBytes();
    /** \brief Writes an event to the client; if other nodes get a copy, a little after that was sent. */
    void relay(const std::string &bytes);
    void relayHeld();
    /** \brief Relays all complete events. \return false at an event that does not follow the last one. */
    bool relayEvents();
    void relayEvent(const StreamEvent &event, std::vector<OutputEvent> &shared);
    /** \brief Reports the time to the first event to the engine model, unless the stream was resumed. */
    void observeTimeToFirstEvent(Time now);
    /** \brief Reports the token rate during the stream, so that a slow engine is detected within a few events. */
    void observeTokenRate(Time now);
    void completeStream();
    void relayResponse();
    void turnStored();

    void refuse(RefusalReason reason);
    /** \brief Closes the connection, so that the client sees an incomplete response. */
    void abortResponse(const char *outcome);
    void clientDisconnected();
    void timedOut();
    /** \brief True if an endpoint or another node may have run the request. */
    bool mayHaveRun() const;
    void end(const char *outcome);
    /** \brief Counts the request for its account. */
    void countForAccount(const std::string &outcome);
    /** \brief Replaces the reservation of the turn by the tokens that the client has got. */
    void settleBudget();
    /** \brief Tokens of an event; of a request that was passed on, the most that any target of its route makes. */
    std::uint64_t mostTokensPerEvent() const;
    bool retainsTurn() const;
    /** \brief Time within which the client may send the turn again. */
    Duration turnRepeatTime() const;
    Duration timeLeft() const;

    std::shared_ptr<Gateway::Private> gateway_;
    std::shared_ptr<const RoutingTable> routing_; ///< Version at the start of the call; null before.
    std::shared_ptr<GatewayRequest> request_;
    std::shared_ptr<HttpReply> reply_;
    const Route *route_ = nullptr;
    const ClientAccount *account_ = nullptr; ///< Null on open routes and without accounts.
    KeyCheck keyCheck_ = KeyCheck::NotMade;
    const Service *service_ = nullptr;
    std::string serviceName_;
    std::shared_ptr<const std::string> body_;
    std::vector<ChainTurn> earlierTurns_; ///< Turns of the chain that this one continues, oldest first.
    Step step_ = Step::Preparing;
    Time arrivedAt_{0};
    Time deadline_{0};
    std::uint64_t timer_ = 0;
    std::uint64_t storeOperation_ = 0; ///< Of the turn being stored, or 0. \sa TurnStore::store

    // The attempt in progress.
    std::string endpoint_; ///< Empty if no attempt is in progress.
    std::string lastEndpoint_; ///< Of the current or most recent attempt.
    std::uint64_t attempt_ = 0;
    std::uint64_t crashWatch_ = 0; ///< Of the attempt. \sa CrashDetector::attemptStarted
    std::string incarnation_; ///< Of the endpoint of the attempt.
    bool isOutlierTrial_ = false; ///< The attempt goes to an ejected endpoint. \sa OutlierDetector
    bool isCountedForAccount_ = false; ///< The attempt was passed to AccountAdmission::started().
    std::string version_; ///< Of the endpoint of the current or most recent attempt.
    AttemptHead head_;
    bool headReceived_ = false;
    bool isNoStream_ = false; ///< The endpoint has answered, but not with the stream that was asked for.
    std::string responseBody_; ///< Of a response that is not a stream.
    Time sentAt_{0};
    DispatchState start_;
    EventSplitter splitter_;
    Time firstEventAt_{0};
    Time rateSampledAt_{0}; ///< Start of the current rate sample.
    std::uint64_t rateSampledEvents_ = 0; ///< Value of attemptEvents_ at rateSampledAt_.
    std::uint64_t attemptEvents_ = 0; ///< Events relayed from this attempt.

    std::string forwardedTo_; ///< Name of the node that has the request; empty if it was not passed on.
    std::uint64_t forwardAttempt_ = 0; ///< Exchange with that node, for cancelAttempt_; 0 if none is in progress.
    std::unordered_set<std::string> triedNodes_;

    bool isTrial_ = false; ///< It is sent although its target is quarantined. \sa Quarantine::tryAgain()
    std::optional<RequestFingerprints> fingerprints_; ///< Not set until they are needed.
    std::unordered_set<std::string> excluded_; ///< Endpoints that refused the request or failed.
    std::uint32_t runs_ = 0; ///< Attempts that the endpoint may have executed.
    std::uint32_t sends_ = 0; ///< Attempts, refused ones included.
    std::optional<Time> nextLimitedSend_; ///< Earliest time at which an endpoint with a request limit takes a request.
    std::size_t eligibleEndpoints_ = 0; ///< Ready endpoints that may run the request, at the last choice.
    bool isLimited_ = false; ///< All of them have got as many requests as they take.
    std::optional<Time> limitWaitEndsAt_; ///< Set once the request has waited for such an endpoint.
    std::optional<Time> permit_; ///< Deadline of a permit that no attempt has used.
    std::optional<Time> usedPermit_; ///< Deadline of the permit of the attempt in progress.
    bool isAskingPermit_ = false;
    Duration quotaRetryAfter_{0}; ///< Of the last refusal for the quota.
    BudgetGrant grant_;
    GrantBasis grantBasis_ = GrantBasis::None; ///< Of the granted turn, for the log.
    std::size_t countedBytes_ = 0; ///< Part of Gateway::Private::bufferedBytes_ that this call has added.
    bool isRelayStarted_ = false; ///< The client has the head of a stream: it can only be completed or cut.
    std::uint64_t relayedEvents_ = 0; ///< Sent to the client, over all attempts.
    std::string heldBytes_; ///< Events that wait until their copies have been sent to other nodes.
    StreamSequence sequence_; ///< Events that the client has, from all its attempts.
    std::uint32_t emptyRuns_ = 0; ///< Runs that continued the stream and ended without an event.
    std::optional<StreamOrigin> origin_; ///< Set if the client has an event of the stream.
    std::string output_; ///< Data of the events that the client has, from all its attempts, if the turn is retained.
};

} // namespace filbertgw::internal

#endif
