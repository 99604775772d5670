#include "net/httpserver.h"

#include "net/address.h"
#include "net/ioloopprivate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <unordered_set>
#include <utility>
#include <vector>

namespace filbertgw {

namespace internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

/** Size of one read; a request of usual size arrives in one. */
constexpr std::size_t readBytes = 16 * 1024;
/** How often deadlines are checked: one timer for the server in place of one for each connection. */
constexpr Duration sweepPeriod{100'000};
/** How long a connection that gets an error answer may go on sending before it is closed. */
constexpr std::chrono::seconds lingerTime{2};
/** How long idle connections stay open after stopAccepting(): a request may be on its way. */
constexpr std::chrono::seconds stopGrace{1};
/** An answer of this size is written at once; shorter ones wait for the end of the loop's current round. */
constexpr std::size_t flushBytes = 64 * 1024;

std::string lowerCase(beast::string_view text)
{
    std::string result(text);
    for (char &c : result) {
        if (c >= 'A' && c <= 'Z') {
            c = static_cast<char>(c - 'A' + 'a');
        }
    }
    return result;
}

/** \brief Fills an HttpRequest while Beast parses. */
class RequestParser : public http::basic_parser<true>
{
public:
    explicit RequestParser(const HttpLimits &limits)
    {
        header_limit(static_cast<std::uint32_t>(limits.headerBytes_));
        body_limit(limits.bodyBytes_);
        eager(true);
    }

    HttpRequest request_;
    bool http10_ = false;
    bool expectsContinue_ = false;

private:
    void on_request_impl(http::verb, // NOLINT(readability-identifier-naming)
                         beast::string_view method,
                         beast::string_view target,
                         int version,
                         error_code &) override
    {
        request_.method_ = std::string(method);
        request_.target_ = std::string(target);
        http10_ = version < 11;
    }
    void on_response_impl(int, beast::string_view, int, error_code &) override // NOLINT(readability-identifier-naming)
    {
    }
    void on_field_impl(http::field field, // NOLINT(readability-identifier-naming)
                       beast::string_view name,
                       beast::string_view value,
                       error_code &error) override
    {
        if (field == http::field::expect) {
            expectsContinue_ = true;
        }
        // Another coding would leave the length of the body open to interpretation.
        if (field == http::field::transfer_encoding && !beast::iequals(value, "chunked")) {
            error = http::error::bad_transfer_encoding;
            return;
        }
        std::string &stored = request_.headers_[lowerCase(name)];
        if (!stored.empty()) {
            stored += ", ";
        }
        stored.append(value.data(), value.size());
    }
    void on_header_impl(error_code &) override // NOLINT(readability-identifier-naming)
    {
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, // NOLINT(readability-identifier-naming)
                           error_code &) override
    {
        if (length) {
            request_.body_.reserve(std::min<std::size_t>(*length, readBytes));
        }
    }
    std::size_t on_body_impl(beast::string_view body, error_code &) override // NOLINT(readability-identifier-naming)
    {
        request_.body_.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, // NOLINT(readability-identifier-naming)
                              beast::string_view,
                              error_code &) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t, // NOLINT(readability-identifier-naming)
                                   beast::string_view body,
                                   error_code &) override
    {
        request_.body_.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(error_code &) override // NOLINT(readability-identifier-naming)
    {
    }
};

class HttpConnection;

} // namespace internal

struct HttpServer::Private : std::enable_shared_from_this<HttpServer::Private>
{
    Private(IoLoop &loop, const HttpLimits &limits, HttpHandler handler)
        : loop_(loop)
        , limits_(limits)
        , handler_(std::move(handler))
        , acceptor_(loop.d().context_)
    {
    }

    void accept();
    void accepted(internal::Tcp::socket socket);
    void sweep();
    void acceptWaiting();
    void flushLater(const std::shared_ptr<internal::HttpConnection> &connection);
    void flushAll();

    IoLoop &loop_;
    const HttpLimits limits_;
    HttpHandler handler_;
    internal::Tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<internal::HttpConnection>> connections_;
    std::vector<std::shared_ptr<internal::HttpConnection>> toFlush_;
    std::size_t openRequests_ = 0;
    std::uint64_t sweepTimer_ = 0;
    std::uint64_t acceptTimer_ = 0;
    std::uint16_t port_ = 0;
    bool destroyed_ = false;
    bool stopping_ = false; ///< Answers are the last on their connection.
};

namespace internal {

/**
 * \brief One caller's connection.
 *
 * A read is always outstanding, so that the close of the peer is seen while a request is handled; it pauses when a
 * caller has sent more than one read ahead. Answers collect in pending_ until the loop has run the handlers of its
 * current round, and while a write is in progress. So a part and the end of its stream go out in one system call, and
 * the sends of many streams follow one another, which wakes their readers less often.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(std::shared_ptr<HttpServer::Private> server, Tcp::socket socket)
        : server_(std::move(server))
        , socket_(std::move(socket))
        , input_(std::max(readBytes, server_->limits_.headerBytes_))
    {
    }

    void start();
    void close();
    void closeSoonIfIdle();
    void closeIfExpired(SteadyTime now);
    void flush();

    // The answer side; `request` is the number of the request on this connection.
    void setHeader(std::uint64_t request, const std::string &name, const std::string &value);
    void send(std::uint64_t request, int status, const std::string &contentType, const std::string &body);
    void startStream(std::uint64_t request, int status, const std::string &contentType);
    void write(std::uint64_t request, const std::string &part);
    void finish(std::uint64_t request);
    void abort(std::uint64_t request);
    void onClosed(std::uint64_t request, std::function<void()> closed);

private:
    enum class State : std::uint8_t {
        Idle, ///< Between requests.
        Reading,
        Handling,
        Streaming, ///< Answer started.
        Draining, ///< Last answer sent; what still arrives is discarded.
        Closed,
    };

    void read();
    void parse();
    void handle();
    void refuse(int status, const std::string &type, const std::string &message);
    void answerEnded();
    void flushSoon();
    void allWritten();
    void written(const error_code &error);
    void appendHead(int status, const std::string &contentType);
    void setDeadline(std::uint32_t seconds);
    void reportClosed(std::function<void()> closed);
    bool isOpen(std::uint64_t request) const;

    std::shared_ptr<HttpServer::Private> server_;
    Tcp::socket socket_;
    State state_ = State::Idle;
    beast::flat_buffer input_;
    std::unique_ptr<RequestParser> parser_;
    std::string extraHeaders_; ///< Header lines of the next answer.
    std::string pending_;
    std::string writing_;
    bool reading_ = false;
    bool writeInProgress_ = false;
    bool keepAlive_ = true;
    bool chunked_ = true;
    bool headOnly_ = false;
    bool hasDeadline_ = false;
    bool parsing_ = false;
    bool flushScheduled_ = false;
    SteadyTime deadline_;
    SteadyTime writeDeadline_;
    std::uint64_t request_ = 0;
    std::size_t unsentAnswers_ = 0; ///< Ended, but not yet taken by the kernel: they count as open requests.
    std::function<void()> closed_;
};

class HttpServerReply : public HttpReply
{
public:
    HttpServerReply(std::shared_ptr<HttpConnection> connection, std::uint64_t request)
        : connection_(std::move(connection))
        , request_(request)
    {
    }
    HttpServerReply(const HttpServerReply &) = delete;
    HttpServerReply &operator=(const HttpServerReply &) = delete;
    ~HttpServerReply() override
    {
        connection_->abort(request_);
    }

    void setHeader(const std::string &name, const std::string &value) override
    {
        connection_->setHeader(request_, name, value);
    }
    void send(int status, const std::string &contentType, const std::string &body) override
    {
        connection_->send(request_, status, contentType, body);
    }
    void startStream(int status, const std::string &contentType) override
    {
        connection_->startStream(request_, status, contentType);
    }
    void write(const std::string &part) override
    {
        connection_->write(request_, part);
    }
    void finish() override
    {
        connection_->finish(request_);
    }
    void abort() override
    {
        connection_->abort(request_);
    }
    void onClosed(std::function<void()> closed) override
    {
        connection_->onClosed(request_, std::move(closed));
    }

private:
    std::shared_ptr<HttpConnection> connection_;
    std::uint64_t request_;
};

void HttpConnection::start()
{
    error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    socket_.non_blocking(true, ignored);
    setDeadline(server_->limits_.idleSeconds_);
    read();
}

void HttpConnection::setDeadline(std::uint32_t seconds)
{
    hasDeadline_ = true;
    deadline_ = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
}

bool HttpConnection::isOpen(std::uint64_t request) const
{
    return request == request_ && (state_ == State::Handling || state_ == State::Streaming);
}

void HttpConnection::read()
{
    if (state_ == State::Draining) {
        input_.clear();
    }
    if (reading_ || state_ == State::Closed || input_.size() == input_.max_size()) {
        return;
    }
    reading_ = true;
    const auto handler = [self = shared_from_this()](const error_code &error, std::size_t size) {
        self->reading_ = false;
        if (error) {
            self->close();
            return;
        }
        if (self->state_ == State::Draining) {
            self->read();
            return;
        }
        self->input_.commit(size);
        self->parse();
    };
    const std::size_t room = std::min(readBytes, input_.max_size() - input_.size());
    socket_.async_read_some(input_.prepare(room), handler);
}

void HttpConnection::parse()
{
    // A handler that answers at once comes back here through answerEnded(); the loop below goes on in its place.
    if (parsing_) {
        return;
    }
    parsing_ = true;
    while (input_.size() > 0 && (state_ == State::Idle || state_ == State::Reading)) {
        if (state_ == State::Idle) {
            state_ = State::Reading;
            parser_ = std::make_unique<RequestParser>(server_->limits_);
            setDeadline(server_->limits_.readSeconds_);
        }
        error_code error;
        const bool hadHeader = parser_->is_header_done();
        const std::size_t used = parser_->put(input_.data(), error);
        input_.consume(used);
        if (error == http::error::need_more) {
            // Beast wants the whole header in one buffer; one that fills the buffer is as much too long.
            if (input_.size() < input_.max_size()) {
                error = {};
            } else {
                error = http::error::header_limit;
            }
        }
        if (error == http::error::header_limit) {
            refuse(431, "too_large", "the request header is too long");
        } else if (error == http::error::body_limit) {
            refuse(413, "too_large", "the request body is too long");
        } else if (error) {
            refuse(400, "invalid_request", "the request is not valid HTTP/1.1: " + error.message());
        } else if (parser_->is_done()) {
            handle();
        } else {
            if (!hadHeader && parser_->is_header_done() && parser_->expectsContinue_) {
                pending_ += "HTTP/1.1 100 Continue\r\n\r\n";
                flushSoon();
            }
            if (used == 0) {
                break;
            }
        }
    }
    parsing_ = false;
    read();
}

void HttpConnection::handle()
{
    state_ = State::Handling;
    extraHeaders_.clear();
    hasDeadline_ = false;
    keepAlive_ = parser_->keep_alive();
    chunked_ = !parser_->http10_;
    headOnly_ = parser_->request_.method_ == "HEAD";
    ++request_;
    ++server_->openRequests_;
    const std::unique_ptr<RequestParser> parser = std::move(parser_);
    server_->handler_(parser->request_, std::make_shared<HttpServerReply>(shared_from_this(), request_));
}

void HttpConnection::refuse(int status, const std::string &type, const std::string &message)
{
    keepAlive_ = false;
    headOnly_ = false;
    const std::string body =
        R"({"error":{"type":")" + type + R"(","message":")" + message + R"(","promise":"not_run"}})";
    appendHead(status, "application/json");
    pending_ += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    parser_.reset();
    state_ = State::Draining;
    deadline_ = std::chrono::steady_clock::now() + lingerTime;
    hasDeadline_ = true;
    flushSoon();
}

void HttpConnection::appendHead(int status, const std::string &contentType)
{
    const beast::string_view reason = http::obsolete_reason(static_cast<http::status>(status));
    pending_ += chunked_ ? "HTTP/1.1 " : "HTTP/1.0 ";
    pending_ += std::to_string(status);
    pending_ += ' ';
    pending_.append(reason.data(), reason.size());
    pending_ += "\r\n";
    if (!contentType.empty()) {
        pending_ += "Content-Type: ";
        pending_ += contentType;
        pending_ += "\r\n";
    }
    pending_ += std::exchange(extraHeaders_, {});
    if (server_->stopping_) {
        keepAlive_ = false;
    }
    if (!keepAlive_) {
        pending_ += "Connection: close\r\n";
    } else if (!chunked_) {
        pending_ += "Connection: keep-alive\r\n";
    }
}

void HttpConnection::setHeader(std::uint64_t request, const std::string &name, const std::string &value)
{
    const std::string line = name + ": " + value;
    // A line break would let the value of one header add others.
    if (isOpen(request) && state_ == State::Handling && line.find_first_of("\r\n") == std::string::npos) {
        extraHeaders_ += line + "\r\n";
    }
}

void HttpConnection::send(std::uint64_t request, int status, const std::string &contentType, const std::string &body)
{
    if (!isOpen(request) || state_ != State::Handling) {
        return;
    }
    appendHead(status, contentType);
    pending_ += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!headOnly_) {
        pending_ += body;
    }
    answerEnded();
}

void HttpConnection::startStream(std::uint64_t request, int status, const std::string &contentType)
{
    if (!isOpen(request) || state_ != State::Handling) {
        return;
    }
    state_ = State::Streaming;
    if (!chunked_) {
        keepAlive_ = false; // The end of an HTTP/1.0 stream is the end of the connection.
    }
    appendHead(status, contentType);
    pending_ += chunked_ ? "Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n" : "\r\n";
    flushSoon();
}

void HttpConnection::write(std::uint64_t request, const std::string &part)
{
    if (!isOpen(request) || state_ != State::Streaming || part.empty() || headOnly_) {
        return;
    }
    if (pending_.size() + part.size() > server_->limits_.writeBufferBytes_) {
        close();
        return;
    }
    if (chunked_) {
        std::array<char, 20> size{};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
        pending_.append(size.data(), static_cast<std::size_t>(length));
        pending_ += part;
        pending_ += "\r\n";
    } else {
        pending_ += part;
    }
    flushSoon();
}

void HttpConnection::finish(std::uint64_t request)
{
    if (!isOpen(request) || state_ != State::Streaming) {
        return;
    }
    if (chunked_ && !headOnly_) {
        pending_ += "0\r\n\r\n";
    }
    answerEnded();
}

void HttpConnection::abort(std::uint64_t request)
{
    if (isOpen(request)) {
        closed_ = nullptr; // The caller of abort() knows.
        close();
    }
}

void HttpConnection::onClosed(std::uint64_t request, std::function<void()> closed)
{
    if (isOpen(request)) {
        closed_ = std::move(closed);
        return;
    }
    // The connection may be gone before the handler gets here; an answer that has ended is never reported.
    if (closed && request == request_ && state_ == State::Closed) {
        reportClosed(std::move(closed));
    }
}

void HttpConnection::answerEnded()
{
    ++unsentAnswers_;
    const std::function<void()> dropped = std::move(closed_);
    closed_ = nullptr;
    if (keepAlive_) {
        state_ = State::Idle;
        setDeadline(server_->limits_.idleSeconds_);
        if (server_->stopping_) {
            // The head of this answer was sent before the stop, so that the caller may go on using the connection.
            closeSoonIfIdle();
        }
        flushSoon();
        parse();
        return;
    }
    state_ = State::Draining;
    setDeadline(server_->limits_.idleSeconds_);
    flushSoon();
    read();
}

void HttpConnection::flushSoon()
{
    if (flushScheduled_ || writeInProgress_ || state_ == State::Closed) {
        return;
    }
    if (pending_.size() >= flushBytes) {
        flush();
        return;
    }
    flushScheduled_ = true;
    server_->flushLater(shared_from_this());
}

void HttpConnection::flush()
{
    flushScheduled_ = false;
    if (writeInProgress_ || state_ == State::Closed) {
        return;
    }
    std::size_t sent = 0;
    if (!pending_.empty()) {
        error_code error;
        sent = socket_.send(asio::buffer(pending_), 0, error);
        if (error && error != asio::error::would_block) {
            close();
            return;
        }
    }
    if (sent == pending_.size()) {
        allWritten();
        return;
    }
    writeInProgress_ = true;
    writing_ = pending_.substr(sent);
    pending_ = std::string();
    writeDeadline_ = std::chrono::steady_clock::now() + std::chrono::seconds(server_->limits_.idleSeconds_);
    asio::async_write(socket_,
                      asio::buffer(writing_),
                      [self = shared_from_this()](const error_code &error, std::size_t) { self->written(error); });
}

void HttpConnection::allWritten()
{
    server_->openRequests_ -= unsentAnswers_;
    unsentAnswers_ = 0;
    if (pending_.capacity() > flushBytes) {
        pending_ = std::string();
    } else {
        pending_.clear();
    }
    if (state_ == State::Draining) {
        error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        deadline_ = std::min(deadline_, std::chrono::steady_clock::now() + lingerTime);
        read();
    }
}

void HttpConnection::written(const error_code &error)
{
    writeInProgress_ = false;
    writing_ = std::string();
    if (error) {
        close();
        return;
    }
    flush();
}

void HttpConnection::close()
{
    if (state_ == State::Closed) {
        return;
    }
    const std::shared_ptr<HttpConnection> self = shared_from_this();
    if (state_ == State::Handling || state_ == State::Streaming) {
        --server_->openRequests_;
    }
    server_->openRequests_ -= unsentAnswers_;
    unsentAnswers_ = 0;
    state_ = State::Closed;
    error_code ignored;
    socket_.close(ignored);
    pending_ = std::string();
    server_->connections_.erase(self);
    if (closed_) {
        reportClosed(std::move(closed_));
        closed_ = nullptr;
    }
}

void HttpConnection::reportClosed(std::function<void()> closed)
{
    // Not called from within, so that a handler that writes doesn't meet its own end.
    server_->loop_.post([server = server_, closed = std::move(closed)] {
        if (!server->destroyed_) {
            closed();
        }
    });
}

void HttpConnection::closeSoonIfIdle()
{
    if (state_ == State::Idle) {
        deadline_ = std::min(deadline_, std::chrono::steady_clock::now() + stopGrace);
    }
}

void HttpConnection::closeIfExpired(SteadyTime now)
{
    const bool late = hasDeadline_ && now >= deadline_;
    const bool stuck = writeInProgress_ && now >= writeDeadline_;
    if (stuck) {
        close();
    } else if (late && state_ == State::Reading) {
        refuse(408, "invalid_request", "the request did not arrive in time");
    } else if (late && state_ == State::Idle) {
        // A request that has arrived is read first.
        error_code ignored;
        if (!writeInProgress_ && socket_.available(ignored) == 0) {
            close();
        }
    } else if (late) {
        close();
    }
}

Result<Tcp::endpoint> resolveLocal(IoLoop &loop, const std::string &address)
{
    const std::optional<Address> parsed = parseAddress(address);
    if (!parsed) {
        return boost::leaf::new_error(
            Failure{FailureType::InvalidRequest, true, "not a host:port: " + address, Duration{0}});
    }
    error_code error;
    Tcp::resolver resolver(loop.d().context_);
    const Tcp::resolver::results_type found = resolver.resolve(parsed->host_, std::to_string(parsed->port_), error);
    if (error || found.empty()) {
        return boost::leaf::new_error(
            Failure{FailureType::Conflict, true, "cannot resolve " + address + ": " + error.message(), Duration{0}});
    }
    return found.begin()->endpoint();
}

} // namespace internal

void HttpServer::Private::accept()
{
    acceptor_.async_accept(
        [self = shared_from_this()](const boost::system::error_code &error, internal::Tcp::socket socket) {
            if (!self->acceptor_.is_open()) {
                return;
            }
            if (error) {
                // Out of descriptors: an accept that is repeated at once would spin.
                self->acceptTimer_ = self->loop_.after(internal::sweepPeriod, [self] { self->accept(); });
                return;
            }
            self->accepted(std::move(socket));
            self->accept();
        });
}

void HttpServer::Private::accepted(internal::Tcp::socket socket)
{
    if (connections_.size() >= limits_.connections_) {
        boost::system::error_code ignored;
        static const std::string body =
            R"({"error":{"type":"overloaded","message":"too many connections","promise":"not_run"}})";
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
    const internal::SteadyTime now = std::chrono::steady_clock::now();
    const std::vector<std::shared_ptr<internal::HttpConnection>> all(connections_.begin(), connections_.end());
    for (const std::shared_ptr<internal::HttpConnection> &connection : all) {
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
    std::vector<std::shared_ptr<internal::HttpConnection>> all;
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
        internal::Tcp::socket socket(loop_.d().context_);
        acceptor_.accept(socket, error);
        if (!error) {
            accepted(std::move(socket));
        }
    }
}

Result<std::unique_ptr<HttpServer>>
HttpServer::listen(IoLoop &loop, const std::string &address, const HttpLimits &limits, HttpHandler handler)
{
    BOOST_LEAF_AUTO(endpoint, internal::resolveLocal(loop, address));
    const std::shared_ptr<Private> d = std::make_shared<Private>(loop, limits, std::move(handler));
    boost::system::error_code error;
    d->acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        d->acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        d->acceptor_.bind(endpoint, error);
    }
    if (!error) {
        d->acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return boost::leaf::new_error(
            Failure{FailureType::Conflict, true, "cannot listen on " + address + ": " + error.message(), Duration{0}});
    }
    d->port_ = d->acceptor_.local_endpoint(error).port();
    d->accept();
    d->sweepTimer_ = loop.every(internal::sweepPeriod, [d] { d->sweep(); });
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
    const std::vector<std::shared_ptr<internal::HttpConnection>> all(d_->connections_.begin(), d_->connections_.end());
    for (const std::shared_ptr<internal::HttpConnection> &connection : all) {
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
    const std::vector<std::shared_ptr<internal::HttpConnection>> all(d_->connections_.begin(), d_->connections_.end());
    for (const std::shared_ptr<internal::HttpConnection> &connection : all) {
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
