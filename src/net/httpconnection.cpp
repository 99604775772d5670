#include "net/httpconnection.h"

#include "memory/releasetext.h"
#include "net/httpserverreply.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace filbertgw::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** \brief Size of one read; a request of usual size arrives in one. */
constexpr std::size_t readBytes = 16 * 1024;
/** \brief How long a connection that gets an error answer may go on sending before it is closed. */
constexpr std::chrono::seconds lingerTime{2};
/** \brief How long idle connections stay open after stopAccepting(): a request may be on its way. */
constexpr std::chrono::seconds stopGrace{1};
/** \brief An answer of this size is written at once; shorter ones wait for the end of the loop's current round. */
constexpr std::size_t flushBytes = 64 * 1024;
/** \brief Memory of an open connection besides its buffers: socket, timers, handlers. */
constexpr std::size_t connectionBytes = 2 * 1024;
/** \brief Unread response bytes from which a connection counts as one that waits for its peer to read. */
constexpr std::size_t unreadThreshold = 64 * 1024;
/** \brief Copies of a head while a request runs: decoded, as passed on, as text. */
constexpr std::size_t headCopies = 3;
/**
 * \brief Chunk headers, extensions and trailers may be so many times as long as the body, and framingBytes more.
 *
 * A body in one-byte chunks has five bytes of framing for each of its own.
 */
constexpr std::size_t framingPerBodyByte = 16;
constexpr std::size_t framingBytes = 64 * 1024;
/** \brief Seconds after which a request that was refused for its memory may be sent again. */
const char *const retryAfter = "0.5";

Time steadyNow()
{
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServer::Private> server, Tcp::socket socket)
    : server_(std::move(server))
    , socket_(std::move(socket))
    , input_(std::max(readBytes, server_->limits_.headerBytes_))
    , claim_(server_->limits_.budget_, server_.get(), [this](MemoryUse use) { evict(use); })
{
}

void HttpConnection::start()
{
    Error ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    socket_.non_blocking(true, ignored);
    setDeadline(server_->limits_.idleSeconds_);
    read();
    updateClaim(0);
}

void HttpConnection::evict(MemoryUse use)
{
    if (use == MemoryUse::Receiving && state_ == State::Reading) {
        refuseForMemory();
    } else {
        close();
    }
}

std::size_t HttpConnection::unreadBytes() const
{
    return pending_.size() + writing_.size() - writtenBytes_;
}

/** States to the budget what is held; the connection may be refused or closed when this returns. */
void HttpConnection::updateClaim(std::size_t moved)
{
    if (!claim_.isCounted() || state_ == State::Closed) {
        return;
    }
    const std::size_t unread = unreadBytes();
    MemoryUse use = unread > 0 ? MemoryUse::Sending : MemoryUse::Idle;
    std::size_t bytes = connectionBytes + input_.capacity() + pending_.size() + writing_.size();
    if (state_ == State::Reading) {
        use = MemoryUse::Receiving;
        bytes += parser_->bodyBytes() + parser_->headBytes_;
    } else if (state_ == State::Handling || state_ == State::Streaming) {
        // Closing the connection of an unread response also ends its request.
        use = unread > unreadThreshold ? MemoryUse::Sending : MemoryUse::Running;
        bytes += runningBytes_;
    }
    claim_.update(use, bytes, moved);
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
    const std::size_t room = std::min(readBytes, input_.max_size() - input_.size());
    socket_.async_read_some(input_.prepare(room), [self = shared_from_this()](const Error &error, std::size_t size) {
        self->onRead(error, size);
    });
}

void HttpConnection::onRead(const Error &error, std::size_t size)
{
    reading_ = false;
    if (error) {
        close();
    } else if (state_ == State::Draining) {
        read();
    } else {
        input_.commit(size);
        parse();
    }
}

void HttpConnection::parse()
{
    // A handler that answers at once comes back here through answerEnded(); the loop below goes on in its place.
    if (parsing_) {
        return;
    }
    parsing_ = true;
    while (input_.size() > 0 && (state_ == State::Idle || state_ == State::Reading)) {
        // A peer that doesn't read its responses gets no more of them; flush() comes back here.
        if (claim_.isCounted() && state_ == State::Idle && unreadBytes() > unreadThreshold) {
            break;
        }
        if (!parseSome()) {
            break;
        }
    }
    parsing_ = false;
    read();
}

bool HttpConnection::parseSome()
{
    if (state_ == State::Idle) {
        state_ = State::Reading;
        parser_ = std::make_unique<HttpRequestParser>(server_->limits_);
        hasDeadline_ = false;
        wireBytes_ = 0;
        seenBytes_ = 0;
        readDeadline_.start(
            steadyNow(), std::chrono::seconds(server_->limits_.readSeconds_), server_->limits_.leastBytesPerSecond_);
    }
    const bool hadHeader = parser_->is_header_done();
    std::size_t used = 0;
    const Error error = put(used);
    if (error) {
        refuse(error);
        return true;
    }
    if (hasTooMuchFraming(used)) {
        refuse(413, "too_large", "the framing of the request body is too long");
        return true;
    }
    if (runsOutOfMemory()) {
        return true;
    }
    if (parser_->is_done()) {
        handle();
        return true;
    }
    if (!hadHeader && parser_->is_header_done() && parser_->expectsContinue_) {
        pending_ += "HTTP/1.1 100 Continue\r\n\r\n";
        flushSoon();
    }
    return used != 0;
}

HttpConnection::Error HttpConnection::put(std::size_t &used)
{
    Error error;
    used = parser_->put(input_.data(), error);
    input_.consume(used);
    if (error != http::error::need_more) {
        return error;
    }
    // Beast wants the whole header in one buffer; one that fills the buffer is as much too long.
    return input_.size() < input_.max_size() ? Error() : Error(http::error::header_limit);
}

bool HttpConnection::hasTooMuchFraming(std::size_t used)
{
    wireBytes_ += used;
    const std::size_t body = parser_->bodyBytes();
    return claim_.isCounted() && parser_->is_header_done()
        && wireBytes_ > server_->limits_.headerBytes_ + framingBytes + body * (1 + framingPerBodyByte);
}

/** Reports what has been read to the budget. \return true if the request was refused. */
bool HttpConnection::runsOutOfMemory()
{
    // Of a body its own bytes are progress, and not its framing; of a head every byte.
    const std::size_t seen = parser_->is_header_done() ? parser_->bodyBytes() : input_.size();
    const std::size_t moved = seen - std::min(seen, seenBytes_);
    seenBytes_ = seen;
    readDeadline_.addBytes(steadyNow(), moved);
    updateClaim(moved);
    if (state_ == State::Reading && parser_->is_done()) {
        const std::size_t running = parser_->bodyBytes() + headCopies * parser_->headBytes_;
        if (!claim_.mayRun(running)) {
            refuseForMemory();
        }
        runningBytes_ = running;
    }
    return state_ != State::Reading;
}

void HttpConnection::handle()
{
    state_ = State::Handling;
    const std::unique_ptr<HttpRequestParser> parser = std::move(parser_);
    encoder_.begin(parser->http10_, parser->request_.method_ == "HEAD", parser->keep_alive());
    ++request_;
    ++server_->openRequests_;
    updateClaim(0);
    server_->handler_(std::move(parser->request_), std::make_shared<HttpServerReply>(shared_from_this(), request_));
}

void HttpConnection::refuse(const Error &error)
{
    if (error == http::error::header_limit) {
        refuse(431, "too_large", "the request header is too long");
    } else if (error == http::error::body_limit) {
        refuse(413, "too_large", "the request body is too long");
    } else {
        refuse(400, "invalid_request", "the request is not valid HTTP/1.1: " + error.message());
    }
}

void HttpConnection::refuse(int status, const std::string &type, const std::string &message)
{
    encoder_.beginRefusal();
    encoder_.appendWhole(status, "application/json", refusalBody(type, message));
    parser_.reset();
    state_ = State::Draining;
    updateClaim(0);
    deadline_ = std::chrono::steady_clock::now() + lingerTime;
    hasDeadline_ = true;
    flushSoon();
}

void HttpConnection::refuseForMemory()
{
    encoder_.addHeader("Retry-After", retryAfter);
    refuse(503, "overloaded", "the memory for requests is used up");
}

void HttpConnection::setHeader(std::uint64_t request, const std::string &name, const std::string &value)
{
    if (isOpen(request) && state_ == State::Handling) {
        encoder_.addHeader(name, value);
    }
}

void HttpConnection::send(std::uint64_t request, int status, const std::string &contentType, const std::string &body)
{
    if (!isOpen(request) || state_ != State::Handling) {
        return;
    }
    closeAfterAnswerIfStopping();
    encoder_.appendWhole(status, contentType, body);
    answerEnded();
}

void HttpConnection::startStream(std::uint64_t request, int status, const std::string &contentType)
{
    if (!isOpen(request) || state_ != State::Handling) {
        return;
    }
    state_ = State::Streaming;
    closeAfterAnswerIfStopping();
    encoder_.appendStreamHead(status, contentType);
    if (encoder_.endsStreamsByClosing()) {
        // Set for the whole stream, so that it also holds when the process is killed.
        setResetOnClose(true);
    }
    flushSoon();
}

void HttpConnection::write(std::uint64_t request, const std::string &part)
{
    if (!isOpen(request) || state_ != State::Streaming || part.empty() || encoder_.isHeadOnly()) {
        return;
    }
    if (pending_.size() + part.size() > server_->limits_.writeBufferBytes_) {
        close();
        return;
    }
    encoder_.appendPart(part);
    flushSoon();
    if (unreadBytes() > unreadThreshold) {
        updateClaim(0);
    }
}

void HttpConnection::finish(std::uint64_t request)
{
    if (!isOpen(request) || state_ != State::Streaming) {
        return;
    }
    encoder_.appendStreamEnd();
    answerEnded();
}

/** Any other close of a connection whose stream has no end in the protocol looks like the end of the stream. */
void HttpConnection::setResetOnClose(bool isReset)
{
    Error ignored;
    socket_.set_option(asio::socket_base::linger(isReset, 0), ignored);
}

void HttpConnection::closeAfterAnswerIfStopping()
{
    if (server_->stopping_) {
        encoder_.setLast();
    }
}

void HttpConnection::abort(std::uint64_t request)
{
    if (isOpen(request)) {
        closed_ = nullptr; // The caller of abort() knows.
        flush(); // What has been written may still be of use, such as the last events of a stream.
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
    runningBytes_ = 0;
    const std::function<void()> dropped = std::move(closed_);
    closed_ = nullptr;
    if (encoder_.keepsAlive()) {
        state_ = State::Idle;
        setDeadline(server_->limits_.idleSeconds_);
        if (server_->stopping_) {
            // The head of this answer was sent before the stop, so that the caller may go on using the connection.
            closeSoonIfIdle();
        }
        flushSoon();
        // Also where nothing can be flushed, because an earlier response has not been read.
        updateClaim(0);
        parse();
        return;
    }
    state_ = State::Draining;
    setDeadline(server_->limits_.idleSeconds_);
    flushSoon();
    updateClaim(0);
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
        Error error;
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
    writing_ = std::move(pending_);
    releaseText(pending_);
    writtenBytes_ = sent;
    writeDeadline_.start(
        steadyNow(), std::chrono::seconds(server_->limits_.idleSeconds_), server_->limits_.leastBytesPerSecond_);
    writeRest();
    updateClaim(sent);
}

void HttpConnection::writeRest()
{
    socket_.async_write_some(
        asio::buffer(writing_) + writtenBytes_,
        [self = shared_from_this()](const Error &error, std::size_t size) { self->written(error, size); });
}

void HttpConnection::allWritten()
{
    const bool heldBack = state_ == State::Idle && claim_.isCounted() && input_.size() > 0;
    server_->openRequests_ -= unsentAnswers_;
    unsentAnswers_ = 0;
    if (pending_.capacity() > flushBytes) {
        releaseText(pending_);
    } else {
        pending_.clear();
    }
    if (state_ == State::Draining) {
        setResetOnClose(false);
        Error ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        deadline_ = std::min(deadline_, std::chrono::steady_clock::now() + lingerTime);
        read();
    }
    updateClaim(0);
    if (heldBack) {
        parse();
    }
}

void HttpConnection::written(const Error &error, std::size_t size)
{
    writtenBytes_ += size;
    if (!error && writtenBytes_ < writing_.size() && state_ != State::Closed) {
        writeDeadline_.addBytes(steadyNow(), size);
        updateClaim(size);
        if (state_ != State::Closed) {
            writeRest();
        }
        return;
    }
    writeInProgress_ = false;
    writtenBytes_ = 0;
    releaseText(writing_);
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
    Error ignored;
    socket_.close(ignored);
    releaseText(pending_);
    parser_.reset();
    claim_.release();
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
    const Time steady = std::chrono::duration_cast<Time>(now.time_since_epoch());
    const bool late = state_ == State::Reading ? readDeadline_.hasPassed(steady) : hasDeadline_ && now >= deadline_;
    const bool stuck = writeInProgress_ && writeDeadline_.hasPassed(steady);
    if (stuck) {
        close();
    } else if (late && state_ == State::Reading) {
        refuse(408, "invalid_request", "the request did not arrive in time");
    } else if (late && state_ == State::Idle) {
        // A request that has arrived is read first.
        Error ignored;
        if (!writeInProgress_ && socket_.available(ignored) == 0) {
            close();
        }
    } else if (late) {
        close();
    }
}

} // namespace filbertgw::internal
