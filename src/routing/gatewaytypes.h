#ifndef FILBERTGW_ROUTING_GATEWAYTYPES_H
#define FILBERTGW_ROUTING_GATEWAYTYPES_H

#include "core/nametable.h"
#include "core/time.h"
#include "net/httptypes.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief A part of a prompt that an engine can hold in its prefix cache. */
struct PromptPart
{
    std::string id_;
    std::uint64_t tokens_ = 0;
};

/** \brief A request of a client account, decoded from the wire. */
struct GatewayRequest
{
    std::string id_; ///< Unique to each attempt of the client.
    std::string method_;
    std::string target_; ///< Path and query.
    std::string host_;
    std::map<std::string, std::string> headers_; ///< Forwarded unchanged.
    std::string body_;
    std::optional<Duration> timeLeft_; ///< Time until the client gives up waiting.
    std::string program_;
    std::string session_; ///< Sequence of turns within the program; equal to program_ for the main one.
    std::optional<Duration> finishIn_; ///< Time until the deadline of the whole program.
    std::optional<std::uint64_t> tokenBudget_; ///< Limit of the tokens generated over all turns of the program.
    std::uint64_t promptTokens_ = 0;
    std::uint64_t maxOutputTokens_ = 0;
    std::uint64_t expectedOutputTokens_ = 0; ///< The client's estimate; 0 if it gave none.
    std::vector<PromptPart> prompt_;
    std::string previousTurn_; ///< Id of the turn that this one continues.
    std::string lastEventId_; ///< Of the last event that the client has; empty for a new stream.
    std::string resumes_; ///< Id of the attempt that brought the client the first event of this stream.
    std::string affinityKey_;
    std::string apiKey_; ///< Of a client account; cleared once the account is known. Never logged or passed on.
    std::string account_; ///< Name of the client account; empty without a key on open routes and without accounts.
    std::string claimedAccount_; ///< As the client named it; only passed on, and only without accounts.
    /** Account that another node has found: empty for none on an open route, not set if that node has no accounts. */
    std::optional<std::string> peerAccount_;
    std::string scope_; ///< Of its ids; empty without accounts. \sa accountScope()
    bool hasAccounts_ = false; ///< The configuration has client accounts.
    bool isForwarded_ = false; ///< Another node, which reaches no endpoint, has passed it on; it goes no further.
    bool isBudgetReserved_ = false; ///< That node holds the reservation of the turn's tokens, and settles it.

    // Ids under which state is kept. They differ between accounts whose clients chose the same ids.
    std::string scopedAttempt() const;
    std::string scopedProgram() const;
    std::string scopedPreviousTurn() const;
    std::string scopedResumes() const;

    /** \brief Tokens of all parts of the prompt. */
    std::uint64_t totalPromptTokens() const;
};

/** \brief An endpoint as listed in the registry. */
struct Endpoint
{
    std::string id_;
    std::string service_;
    std::string address_;
    std::string domain_; ///< Failure domain.
    std::string version_; ///< Of its software.
    std::uint32_t slots_ = 1;
    bool draining_ = false;
    std::uint64_t startedAtMs_ = 0; ///< Start of this incarnation, in Unix milliseconds; 0 if unknown.

    /** \brief Identifies the endpoint from its start to its end; the same on every node. */
    std::string incarnation() const;
};

/** \brief One attempt to run a request on an endpoint. */
struct EndpointAttempt
{
    std::string address_;
    std::string endpoint_; ///< Id of the endpoint incarnation that must answer.
    std::shared_ptr<const GatewayRequest> request_;
    std::shared_ptr<const std::string> body_;
    std::string lastEventId_;
    Duration timeLeft_{0};
    std::optional<std::uint32_t> urgency_; ///< 0 (most urgent) to 9, for model engines.
    std::size_t maxResponseBytes_ = 0; ///< A longer answer is broken off.
    Duration maxIdleAge_{0}; ///< Pooled connections that were idle for longer are not reused.
};

/** \brief A request that is passed on to another node. */
struct ForwardedRequest
{
    std::string address_; ///< Of the other node's links. \sa FleetMember::linkAddress_
    std::shared_ptr<const GatewayRequest> request_;
    Duration timeLeft_{0};
    bool isBudgetReserved_ = false; ///< \sa GatewayRequest::isBudgetReserved_
    std::size_t maxResponseBytes_ = 0;
    Duration maxIdleAge_{0}; ///< \sa EndpointAttempt::maxIdleAge_
};

/** \brief What an answer says about the rate of requests that its endpoint takes. */
enum class LimitStatement : std::uint8_t {
    None, ///< The endpoint names no limit.
    Named,
    Unreadable, ///< There is a limit, but its value can't be read.
};

/** \brief Status and headers of an endpoint's answer. */
struct AttemptHead
{
    int status_ = 0;
    bool notRun_ = false; ///< The endpoint states that it did not execute the request.
    bool fromEndpoint_ = false; ///< The answer carries the endpoint's response stamp.
    bool wrongInstance_ = false; ///< Another incarnation now answers at this address.
    bool isMisdirected_ = false; ///< Another node, to which the request was passed on, can't serve it.
    bool isLeaving_ = false; ///< The endpoint that answers is about to end and must not get further requests.
    LimitStatement limit_ = LimitStatement::None;
    double requestsPerSecond_ = 0.0; ///< Limit on the requests of all nodes together, if limit_ is Named.
    std::map<std::string, std::string> headers_; ///< Headers to pass to the client.
};

/** \brief What the head of an answer says of its body. */
enum class AnswerFormat : std::uint8_t {
    Unnamed, ///< It has no content type.
    EventStream,
    Other,
};

AnswerFormat formatOf(const AttemptHead &head);

/** \brief How an attempt ended. */
enum class AttemptEnd : std::uint8_t {
    Complete,
    NotSent, ///< The request was not executed.
    Broken, ///< Sent, but the answer is missing or incomplete.
    TimedOut,
    Cancelled,
};

template<>
struct NameTable<AttemptEnd>
{
    static constexpr std::array<std::pair<AttemptEnd, std::string_view>, 5> entries{{
        {AttemptEnd::Complete, "complete"},
        {AttemptEnd::NotSent, "not_sent"},
        {AttemptEnd::Broken, "broken"},
        {AttemptEnd::TimedOut, "timed_out"},
        {AttemptEnd::Cancelled, "cancelled"},
    }};
};

/** \brief Callbacks of an attempt; never invoked from within the call that starts it. */
struct AttemptHandlers
{
    std::function<void(const AttemptHead &)> onHead_;
    std::function<void(const std::string &)> onPart_;
    std::function<void(AttemptEnd)> onEnd_;
};

/** \brief Why the node answered a request with an error of its own. */
enum class RefusalReason : std::uint8_t {
    NoConfiguration,
    NoRoute,
    Unauthenticated, ///< The request has no key of a client account.
    RateLimited, ///< The client account has used up its quota.
    InvalidRequest,
    BudgetSpent,
    BudgetUnknown,
    TurnMissing,
    TurnUnknown,
    TurnTooLarge,
    NoEndpoint,
    OriginUnknown, ///< It is not known which version began the stream.
    OutputUnknown, ///< It is not known what the client of a retained stream has received.
    NoEndpointOfVersion, ///< None runs the version that began the stream.
    EndpointsFull,
    Unreachable, ///< This node can't serve it now, another one may.
    Overloaded,
    Stopping,
    Quarantined,
    OutcomeUnknown,
    TimedOut,
};

template<>
struct NameTable<RefusalReason>
{
    static constexpr std::array<std::pair<RefusalReason, std::string_view>, 21> entries{{
        {RefusalReason::NoConfiguration, "no_configuration"},
        {RefusalReason::NoRoute, "no_route"},
        {RefusalReason::Unauthenticated, "unauthenticated"},
        {RefusalReason::RateLimited, "rate_limited"},
        {RefusalReason::InvalidRequest, "invalid_request"},
        {RefusalReason::BudgetSpent, "budget_spent"},
        {RefusalReason::BudgetUnknown, "budget_unknown"},
        {RefusalReason::TurnMissing, "turn_missing"},
        {RefusalReason::TurnUnknown, "turn_unknown"},
        {RefusalReason::TurnTooLarge, "turn_too_large"},
        {RefusalReason::NoEndpoint, "no_endpoint"},
        {RefusalReason::OriginUnknown, "stream_origin_unknown"},
        {RefusalReason::OutputUnknown, "stream_output_unknown"},
        {RefusalReason::NoEndpointOfVersion, "no_endpoint_of_version"},
        {RefusalReason::EndpointsFull, "endpoints_full"},
        {RefusalReason::Unreachable, "unreachable"},
        {RefusalReason::Overloaded, "overloaded"},
        {RefusalReason::Stopping, "stopping"},
        {RefusalReason::Quarantined, "quarantined"},
        {RefusalReason::OutcomeUnknown, "outcome_unknown"},
        {RefusalReason::TimedOut, "timed_out"},
    }};
};

/** \brief HTTP status code for a refusal. */
int statusOf(RefusalReason reason);

/** \brief True for status codes that promise that the request has not run and never will. */
bool promisesNotRun(int status);

/**
 * \brief The reason that a client may be told.
 *
 * If an attempt may have run, this is OutcomeUnknown in place of each reason whose status promises the opposite.
 */
RefusalReason truthfulReason(RefusalReason reason, bool mayHaveRun);

} // namespace filbertgw

#endif
