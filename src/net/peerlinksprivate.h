#ifndef FILBERTGW_NET_PEERLINKSPRIVATE_H
#define FILBERTGW_NET_PEERLINKSPRIVATE_H

#include "net/ioloopprivate.h"
#include "net/peerframe.h"
#include "net/peerlink.h"
#include "net/peerlinkreply.h"

#include <set>

namespace filbertgw {

namespace internal {

constexpr Duration linkSweepPeriod{50'000};

} // namespace internal

/**
 * \brief The endpoints and links of this node.
 *
 * The steps are defined in peerconnections.cpp for connections and in peerlinks.cpp for requests on them.
 */
struct PeerLinks::Private : std::enable_shared_from_this<PeerLinks::Private>
{
    Private(IoLoop &loop, PeerSettings settings, Handler handler)
        : loop_(loop)
        , settings_(std::move(settings))
        , handler_(std::move(handler))
    {
    }

    template<typename Endpoint>
    void prepare(Endpoint &endpoint);
    void prepareServer();
    boost::system::error_code listen();
    internal::PeerLinkPointer addLink(const internal::PeerConnectionPointer &connection, bool isOutgoing);
    void setHandlers(const internal::PeerConnectionPointer &connection, const internal::PeerLinkPointer &link);
    void connected(const internal::PeerLinkPointer &link);
    internal::PeerLinkPointer linkTo(const std::string &address);
    void accepted(const internal::PeerConnectionPointer &connection);
    void received(const internal::PeerLinkPointer &link, const internal::Client::message_ptr &message);
    void prove(const internal::PeerLinkPointer &link, const PeerFrame &frame);
    void opened(const internal::PeerLinkPointer &link);
    void dispatch(const internal::PeerLinkPointer &link, PeerFrame frame);
    void serve(const internal::PeerLinkPointer &link, const PeerFrame &frame);
    void cancelled(const internal::PeerLinkPointer &link, std::uint64_t id);
    bool send(const internal::PeerLinkPointer &link, const std::string &frame);
    void close(const internal::PeerLinkPointer &link, const char *reason);
    void closed(const internal::PeerLinkPointer &link);
    void endCall(std::uint64_t id, const internal::PeerCall &call, PeerOutcome outcome, const nlohmann::json &body);
    void sweep();
    std::size_t unproven() const;
    void shutDown();

    IoLoop &loop_;
    PeerSettings settings_;
    Handler handler_;
    internal::Server server_;
    internal::Client client_;
    std::set<internal::PeerLinkPointer> links_;
    std::map<std::string, std::weak_ptr<internal::PeerLink>> byAddress_;
    std::map<std::uint64_t, std::weak_ptr<internal::PeerLink>> linkOfCall_;
    std::vector<std::weak_ptr<internal::PeerConnection>> connections_; ///< All that may still run handlers.
    std::uint64_t nextCall_ = 1;
    std::uint64_t sweepTimer_ = 0;
    std::uint16_t port_ = 0;
    bool closed_ = false;
};

} // namespace filbertgw

#endif
