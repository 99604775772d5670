#ifndef FILBERTGW_NET_HTTPSERVERPRIVATE_H
#define FILBERTGW_NET_HTTPSERVERPRIVATE_H

#include "net/httpserver.h"
#include "net/ioloopprivate.h"

#include <boost/asio/ip/tcp.hpp>

#include <unordered_set>
#include <vector>

namespace filbertgw {

namespace internal {

class HttpConnection;

} // namespace internal

/** \brief The listening socket and its connections; included by the .cpp files of this module only. */
struct HttpServer::Private : std::enable_shared_from_this<HttpServer::Private>
{
    using Tcp = boost::asio::ip::tcp;
    using Connections = std::vector<std::shared_ptr<internal::HttpConnection>>;

    Private(IoLoop &loop, const HttpLimits &limits, HttpHandler handler);

    /** \brief Listens on the endpoint and starts to accept. */
    void open(const Tcp::endpoint &endpoint, boost::system::error_code &error);
    void accept();
    void accepted(Tcp::socket socket);
    /** \brief Connections beyond the limit that are about to be closed. */
    std::size_t drainingConnections() const;
    /** \brief Accepts what the kernel has already established. */
    void acceptWaiting();
    void sweep();
    /** \brief Flushes a connection after the handlers of the loop's current round. */
    void flushLater(const std::shared_ptr<internal::HttpConnection> &connection);
    void flushAll();
    /** \brief A copy, since a connection that is closed leaves the set. */
    Connections connections() const;

    IoLoop &loop_;
    const HttpLimits limits_;
    HttpHandler handler_;
    Tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<internal::HttpConnection>> connections_;
    Connections toFlush_;
    std::size_t openRequests_ = 0;
    std::uint64_t sweepTimer_ = 0;
    std::uint64_t acceptTimer_ = 0;
    std::uint16_t port_ = 0;
    bool destroyed_ = false;
    bool stopping_ = false; ///< Answers are the last on their connection.
};

} // namespace filbertgw

#endif
