#ifndef FILBERTGW_NODE_TOOLCLIENT_H
#define FILBERTGW_NODE_TOOLCLIENT_H

#include "node/engineclient.h"

namespace filbertgw {

/** \brief Client of tools and plain services: `POST /call/NAME` with an Idempotency-Key. */
class ToolClient
{
public:
    ToolClient(const NodeHooks &hooks, std::size_t maxResponseBytes);

    /**
     * \brief Sends a call once. \return the id of the HTTP exchange.
     *
     * An error response counts as Rejected only if the call is idempotent or the response says `not_run`; after any
     * other error the outcome of a non-idempotent call is unknown.
     */
    std::uint64_t start(const EndpointInfo &endpoint,
                        const Dispatch &dispatch,
                        Duration timeout,
                        std::function<void(const EndpointResponse &)> done);

private:
    const NodeHooks &hooks_;
    std::size_t maxResponseBytes_;
};

} // namespace filbertgw

#endif
