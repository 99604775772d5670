#include "net/httpserver.h"

#include "net/address.h"
#include "net/httpanswerencoder.h"
#include "net/httpconnection.h"
#include "net/httpserverprivate.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace filbertgw {

namespace {

using Tcp = boost::asio::ip::tcp;

/** \brief How often deadlines are checked: one timer for the server in place of one for each connection. */
constexpr Duration sweepPeriod{100'000};

Result<Tcp::endpoint> resolveLocal(IoLoop &loop, const std::string &address)
{
    const std::optional<Address> parsed = parseAddress(address);
    if (!parsed) {
        return boost::leaf::new_error(
            Failure{FailureType::InvalidRequest, true, "not a host:port: " + address, Duration{0}});
    }
    boost::system::error_code error;
    Tcp::resolver resolver(loop.d().context_);
    const Tcp::resolver::results_type found = resolver.resolve(parsed->host_, std::to_string(parsed->port_), error);
    if (error || found.empty()) {
        return boost::leaf::new_error(
            Failure{FailureType::Conflict, true, "cannot resolve " + address + ": " + error.message(), Duration{0}});
    }
    return found.begin()->endpoint();
}

} // namespace

HttpServer::Private::Private(IoLoop &loop, const HttpLimits &limits, HttpHandler handler)
    : loop_(loop)
    , limits_(limits)
    , handler_(std::move(handler))
    , acceptor_(loop.d().context_)
{
}

void HttpServer::Private::open(const Tcp::endpoint &endpoint, boost::system::error_code &error)
{
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
}

HttpServer::Private::Connections HttpServer::Private::connections() const
{
    return Connections(connections_.begin(), connections_.end());
}

void HttpServer::Private::accept()
{
    acceptor_.async_accept([self = shared_from_this()](const boost::system::error_code &error, Tcp::socket socket) {
        if (!self->acceptor_.is_open()) {
            return;
        }
        if (error) {
            // Out of descriptors: an accept that is repeated at once would spin.
            self->acceptTimer_ = self->loop_.after(sweepPeriod, [self] { self->accept(); });
            return;
        }
        self->accepted(std::move(socket));
        self->accept();
    });
}

std::size_t HttpServer::Private::drainingConnections() const
{
    // A connection that was refused stays for a moment, so that its peer can read the refusal.
    constexpr std::size_t drainingPart = 8;
    return limits_.budget_ ? limits_.connections_ / drainingPart : 0;
}

void HttpServer::Private::accepted(Tcp::socket socket)
{
    if (connections_.size() >= limits_.connections_ && limits_.budget_) {
        limits_.budget_->evictOne(this);
    }
    if (connections_.size() >= limits_.connections_ + drainingConnections()) {
        boost::system::error_code ignored;
        static const std::string body = internal::refusalBody("overloaded", "too many connections");
        static const std::string full =
            "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: application/json\r\n"
            "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        socket.non_blocking(true, ignored);
        socket.write_some(boost::asio::buffer(full), ignored);
        return;
    }
    const std::shared_ptr<internal::HttpConnection> connection =
        std::make_shared<internal::HttpConnection>(shared_from_this(), std::move(socket));
    connections_.insert(connection);
    connection->start();
}

void HttpServer::Private::sweep()
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    for (const std::shared_ptr<internal::HttpConnection> &connection : connections()) {
        connection->closeIfExpired(now);
    }
}

void HttpServer::Private::flushLater(const std::shared_ptr<internal::HttpConnection> &connection)
{
    toFlush_.push_back(connection);
    if (toFlush_.size() == 1) {
        boost::asio::post(loop_.d().context_, [self = shared_from_this()] { self->flushAll(); });
    }
}

void HttpServer::Private::flushAll()
{
    Connections all;
    all.swap(toFlush_);
    for (const std::shared_ptr<internal::HttpConnection> &connection : all) {
        connection->flush();
    }
}

void HttpServer::Private::acceptWaiting()
{
    // Connections that the kernel has already established would be reset with the listening socket.
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(loop_.d().context_);
        acceptor_.accept(socket, error);
        if (!error) {
            accepted(std::move(socket));
        }
    }
}

Result<std::unique_ptr<HttpServer>>
HttpServer::listen(IoLoop &loop, const std::string &address, const HttpLimits &limits, HttpHandler handler)
{
    BOOST_LEAF_AUTO(endpoint, resolveLocal(loop, address));
    const std::shared_ptr<Private> d = std::make_shared<Private>(loop, limits, std::move(handler));
    boost::system::error_code error;
    d->open(endpoint, error);
    if (error) {
        return boost::leaf::new_error(
            Failure{FailureType::Conflict, true, "cannot listen on " + address + ": " + error.message(), Duration{0}});
    }
    d->port_ = d->acceptor_.local_endpoint(error).port();
    d->accept();
    d->sweepTimer_ = loop.every(sweepPeriod, [d] { d->sweep(); });
    return std::unique_ptr<HttpServer>(new HttpServer(d));
}

HttpServer::HttpServer(std::shared_ptr<Private> d)
    : d_(std::move(d))
{
}

HttpServer::~HttpServer()
{
    boost::system::error_code ignored;
    d_->destroyed_ = true;
    d_->acceptor_.close(ignored);
    d_->loop_.cancel(d_->sweepTimer_);
    d_->loop_.cancel(d_->acceptTimer_);
    for (const std::shared_ptr<internal::HttpConnection> &connection : d_->connections()) {
        connection->close();
    }
}

std::uint16_t HttpServer::port() const
{
    return d_->port_;
}

void HttpServer::stopAccepting()
{
    if (!d_->acceptor_.is_open()) {
        return;
    }
    d_->acceptWaiting();
    boost::system::error_code ignored;
    d_->acceptor_.close(ignored);
    closePolitely();
}

void HttpServer::closePolitely()
{
    d_->stopping_ = true;
    for (const std::shared_ptr<internal::HttpConnection> &connection : d_->connections()) {
        connection->closeSoonIfIdle();
    }
}

std::size_t HttpServer::openRequests() const
{
    return d_->openRequests_;
}

std::size_t HttpServer::openConnections() const
{
    return d_->connections_.size();
}

} // namespace filbertgw
