#ifndef FILBERTGW_NODE_ENGINECLIENT_H
#define FILBERTGW_NODE_ENGINECLIENT_H

#include "node/nodehooks.h"
#include "policy/schedulertypes.h"
#include "program/programtypes.h"

#include <functional>
#include <string>

namespace filbertgw {

/** \brief Result of one attempt at an endpoint. */
struct EndpointResponse
{
    AttemptStatus status_ = AttemptStatus::ConnectionLost;
    std::string body_;
    std::string error_; ///< Description for the log; empty if answered.
    std::int64_t promptTokens_ = 0;
    std::int64_t cachedTokens_ = 0;
    std::int64_t generatedTokens_ = 0;
};

/** \brief Client of model engines with an OpenAI-compatible API. */
class EngineClient
{
public:
    struct Handlers
    {
        std::function<void(const std::string &text)> text_;
        std::function<void(const EndpointResponse &)> done_; ///< Exactly once.
        std::function<void()>
            runsAlone_; ///< The engine confirms that it runs a StartOrder::alone_ request and no other.
    };

    /** \param orderKey signs orders for engines that authenticate them; empty for no signature. */
    EngineClient(const NodeHooks &hooks, std::size_t maxResponseBytes, std::string orderKey);

    /** \brief Sends a model call. \return the id of the HTTP exchange, for NodeHooks::cancelHttp_. */
    std::uint64_t start(const EndpointInfo &engine,
                        const Dispatch &dispatch,
                        const StartOrder &order,
                        Duration timeout,
                        Handlers handlers);
    /** \brief Sends a cancel request to the engine; has no effect if the engine does not know the call. */
    void cancelRequest(const EndpointInfo &engine, const ProgramId &program, const RequestId &request);
    /** \brief Sends an order that concerns the engine's cache, models or role. */
    void control(const EndpointInfo &engine, const EndpointOrder &order, const std::string &peerAddress);

private:
    void
    probe(const EndpointInfo &engine, EndpointResponse response, std::function<void(const EndpointResponse &)> done);

    HttpCall signedOrderCall(const EndpointInfo &engine, const std::string &target, const std::string &body) const;

    const NodeHooks &hooks_;
    std::size_t maxResponseBytes_;
    std::string orderKey_;
};

/** \brief Id of a request at endpoints: unique in the fleet, the same for every attempt. */
std::string endpointRequestId(const ProgramId &program, const RequestId &request);

} // namespace filbertgw

#endif
