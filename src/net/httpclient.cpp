#include "net/httpclient.h"

#include "memory/releasetext.h"
#include "net/address.h"
#include "net/httpanswerparser.h"
#include "net/httpconnectionpool.h"
#include "net/httprequesttext.h"
#include "net/ioloopprivate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace filbertgw {

namespace internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/** \brief Progress of writing a request. */
enum class WriteState : std::uint8_t {
    Running,
    Whole,
    Failed,
};

/** \brief A call and the state of its exchange. */
struct Exchange
{
    explicit Exchange(asio::io_context &context)
        : timer_(context)
        , resolver_(context)
    {
    }

    std::uint64_t id_ = 0;
    HttpCall call_;
    HttpWirePointer wire_;
    asio::steady_timer timer_;
    Tcp::resolver resolver_;
    std::unique_ptr<HttpAnswerParser> parser_;
    std::string output_;
    std::shared_ptr<const std::string> body_; ///< Sent after output_.
    std::string part_;
    std::size_t received_ = 0; ///< Bytes of the body that were passed on.
    std::size_t consumed_ = 0; ///< Bytes from the connection, with all framing and skipped answers.
    bool sent_ = false; ///< At least one byte may have been sent.
    WriteState write_ = WriteState::Running;
    bool awaitsWrite_ = false; ///< The connection has ended: whether the answer is whole depends on the write.
    bool reused_ = false;
    bool headReported_ = false;
    bool skipping_ = false; ///< The answer that arrives belongs to another request.
    bool stray_ = false; ///< Such an answer has been seen: the connection is not kept.
    bool done_ = false;
    std::chrono::steady_clock::time_point deadline_;
};

/** Interim answers, and late ones of other requests, that may arrive before the answer. */
constexpr std::size_t maxBytesBeforeAnswer = 256 * 1024;

/** Most bytes from the connection of a call. The framing may be as long as the body, but not without end. */
std::size_t maxBytes(const HttpCall &call)
{
    return maxBytesBeforeAnswer + 2 * call.maxResponseBytes_;
}

using ExchangePointer = std::shared_ptr<Exchange>;

std::string_view textOf(const boost::beast::flat_buffer &buffer)
{
    return {static_cast<const char *>(buffer.cdata().data()), buffer.size()};
}

/** \return the id that the server echoes, if the call has one. */
std::optional<std::string> idOf(const HttpCall &call)
{
    return call.echoHeader_.empty() ? std::nullopt : std::optional<std::string>(call.echoValue_);
}

std::unique_ptr<HttpAnswerParser> parserFor(const HttpCall &call)
{
    std::unique_ptr<HttpAnswerParser> parser = std::make_unique<HttpAnswerParser>();
    parser->skip(call.request_.method_ == "HEAD");
    return parser;
}

} // namespace internal

struct HttpClient::Private : std::enable_shared_from_this<HttpClient::Private>
{
    explicit Private(IoLoop &loop)
        : loop_(loop)
        , context_(loop.d().context_)
    {
    }

    void begin(const internal::ExchangePointer &exchange);
    void connect(const internal::ExchangePointer &exchange);
    void connectTo(const internal::ExchangePointer &exchange, std::vector<internal::Tcp::endpoint> endpoints);
    void write(const internal::ExchangePointer &exchange);
    void readAnswer(const internal::ExchangePointer &exchange);
    void received(const internal::ExchangePointer &exchange, bool atEnd);
    /** \brief The write of the request has ended, completely or with an error. */
    void written(const internal::ExchangePointer &exchange, internal::WriteState state, std::size_t size);
    /** \brief Passes the head on, once. \return false if the hook ended the exchange. */
    bool reportHead(const internal::ExchangePointer &exchange);
    /** \brief Passes the body bytes of the last read on. \return false if the hook ended the exchange. */
    bool reportPart(const internal::ExchangePointer &exchange);
    bool parse(const internal::ExchangePointer &exchange, bool atEnd);
    void setTimer(const internal::ExchangePointer &exchange, std::chrono::steady_clock::time_point when);
    void end(const internal::ExchangePointer &exchange, HttpOutcome outcome);
    HttpResult resultOf(internal::Exchange &exchange, HttpOutcome outcome);
    /** \brief Returns the connection of an exchange that has ended to the pool, or closes it. */
    void release(internal::Exchange &exchange, HttpOutcome outcome);
    bool startsAnotherAnswer(const internal::ExchangePointer &exchange);

    IoLoop &loop_;
    boost::asio::io_context &context_;
    std::map<std::uint64_t, internal::ExchangePointer> exchanges_;
    const std::shared_ptr<internal::HttpConnectionPool> pool_ = std::make_shared<internal::HttpConnectionPool>();
    std::uint64_t nextId_ = 1;
    std::uint64_t sweepTimer_ = 0;
    bool closed_ = false;
};

void HttpClient::Private::begin(const internal::ExchangePointer &exchange)
{
    if (exchange->done_) {
        return;
    }
    if (!internal::isValid(exchange->call_.request_)) {
        end(exchange, HttpOutcome::NotConnected);
        return;
    }
    exchange->deadline_ = std::chrono::steady_clock::now() + exchange->call_.timeout_;
    if (exchange->call_.mayReuse_) {
        exchange->wire_ =
            pool_->take(exchange->call_.address_, exchange->call_.maxIdleAge_, internal::idOf(exchange->call_));
        exchange->reused_ = exchange->wire_ != nullptr;
    }
    if (exchange->wire_) {
        setTimer(exchange, exchange->deadline_);
        write(exchange);
        return;
    }
    setTimer(exchange,
             std::min(exchange->deadline_, std::chrono::steady_clock::now() + exchange->call_.connectTimeout_));
    connect(exchange);
}

void HttpClient::Private::setTimer(const internal::ExchangePointer &exchange,
                                   std::chrono::steady_clock::time_point when)
{
    exchange->timer_.expires_at(when);
    exchange->timer_.async_wait([self = shared_from_this(), exchange](const boost::system::error_code &error) {
        // A timer that was moved after it had expired is still called without an error.
        if (error || exchange->done_ || std::chrono::steady_clock::now() < exchange->timer_.expiry()) {
            return;
        }
        self->end(exchange, exchange->sent_ ? HttpOutcome::TimedOut : HttpOutcome::NotConnected);
    });
}

void HttpClient::Private::connect(const internal::ExchangePointer &exchange)
{
    const std::optional<Address> address = parseAddress(exchange->call_.address_);
    if (!address) {
        end(exchange, HttpOutcome::NotConnected);
        return;
    }
    exchange->wire_ = std::make_shared<internal::HttpWire>(context_);
    boost::system::error_code error;
    const boost::asio::ip::address literal = boost::asio::ip::make_address(address->host_, error);
    if (!error) {
        connectTo(exchange, {internal::Tcp::endpoint(literal, address->port_)});
        return;
    }
    const auto resolved = [self = shared_from_this(), exchange](const boost::system::error_code &failed,
                                                                const internal::Tcp::resolver::results_type &found) {
        if (exchange->done_) {
            return;
        }
        if (failed) {
            self->end(exchange, HttpOutcome::NotConnected);
            return;
        }
        self->connectTo(exchange, std::vector<internal::Tcp::endpoint>(found.begin(), found.end()));
    };
    exchange->resolver_.async_resolve(address->host_, std::to_string(address->port_), resolved);
}

void HttpClient::Private::connectTo(const internal::ExchangePointer &exchange,
                                    std::vector<internal::Tcp::endpoint> endpoints)
{
    if (endpoints.empty()) {
        end(exchange, HttpOutcome::NotConnected);
        return;
    }
    const internal::Tcp::endpoint next = endpoints.front();
    endpoints.erase(endpoints.begin());
    boost::system::error_code ignored;
    exchange->wire_->socket_.close(ignored);
    const auto connected = [self = shared_from_this(), exchange, endpoints = std::move(endpoints)](
                               const boost::system::error_code &error) {
        if (exchange->done_) {
            return;
        }
        if (error) {
            self->connectTo(exchange, endpoints);
            return;
        }
        boost::system::error_code unset;
        exchange->wire_->socket_.set_option(internal::Tcp::no_delay(true), unset);
        exchange->wire_->socket_.set_option(boost::asio::socket_base::keep_alive(true), unset);
        self->setTimer(exchange, exchange->deadline_);
        self->write(exchange);
    };
    exchange->wire_->socket_.async_connect(next, connected);
}

void HttpClient::Private::write(const internal::ExchangePointer &exchange)
{
    exchange->body_ = std::move(exchange->call_.body_);
    exchange->output_ = internal::serialise(exchange->call_.request_, exchange->call_.address_, exchange->body_.get());
    releaseText(exchange->call_.request_.body_);
    exchange->parser_ = internal::parserFor(exchange->call_);
    exchange->sent_ = true;
    if (!exchange->call_.echoHeader_.empty()) {
        exchange->wire_->addId(exchange->call_.echoValue_);
    }
    const auto onWritten = [self = shared_from_this(), exchange](const boost::system::error_code &error,
                                                                 std::size_t size) {
        self->written(exchange, error ? internal::WriteState::Failed : internal::WriteState::Whole, size);
    };
    const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(exchange->output_),
                                                           exchange->body_ ? boost::asio::buffer(*exchange->body_)
                                                                           : boost::asio::const_buffer()};
    boost::asio::async_write(exchange->wire_->socket_, buffers, onWritten);
    readAnswer(exchange);
}

void HttpClient::Private::written(const internal::ExchangePointer &exchange,
                                  internal::WriteState state,
                                  std::size_t size)
{
    releaseText(exchange->output_);
    exchange->body_ = nullptr;
    if (exchange->done_) {
        return;
    }
    exchange->write_ = state;
    if (state == internal::WriteState::Failed && size == 0) {
        // The kernel took no byte of it.
        exchange->sent_ = false;
        end(exchange, HttpOutcome::NotConnected);
    } else if (exchange->awaitsWrite_) {
        received(exchange, true);
    }
    // After another error the read still finds an early answer such as 413, or the end.
}

void HttpClient::Private::readAnswer(const internal::ExchangePointer &exchange)
{
    internal::HttpWire &wire = *exchange->wire_;
    const std::size_t room = wire.input_.max_size() - wire.input_.size();
    if (room == 0) {
        end(exchange, HttpOutcome::Interrupted);
        return;
    }
    const auto handler = [self = shared_from_this(), exchange](const boost::system::error_code &error,
                                                               std::size_t size) {
        if (exchange->done_) {
            return;
        }
        exchange->wire_->input_.commit(size);
        if (error && error != boost::asio::error::eof) {
            self->end(exchange, HttpOutcome::Interrupted);
            return;
        }
        self->received(exchange, error == boost::asio::error::eof);
    };
    wire.socket_.async_read_some(wire.input_.prepare(std::min<std::size_t>(room, internal::answerReadBytes)), handler);
}

bool HttpClient::Private::parse(const internal::ExchangePointer &exchange, bool atEnd)
{
    internal::HttpWire &wire = *exchange->wire_;
    boost::system::error_code error;
    while (wire.input_.size() > 0 && !exchange->parser_->is_done()) {
        // Beast would join the line to the value before it, though its sender may have meant a field.
        if (!exchange->parser_->is_header_done()
            && internal::HttpAnswerParser::hasFoldedLine(internal::textOf(wire.input_))) {
            return false;
        }
        const std::size_t used = exchange->parser_->put(wire.input_.data(), error);
        wire.input_.consume(used);
        exchange->consumed_ += used;
        if (error == internal::http::error::need_more) {
            error = {};
        }
        if (error) {
            return false;
        }
        if (used == 0) {
            break;
        }
        if (startsAnotherAnswer(exchange)) {
            exchange->parser_ = internal::parserFor(exchange->call_);
            exchange->skipping_ = false;
        }
    }
    if (atEnd && !exchange->parser_->is_done()) {
        // The write may have taken the error of a reset from the socket; the read then meets a plain end.
        if (!exchange->parser_->got_some() || exchange->write_ != internal::WriteState::Whole) {
            return false;
        }
        exchange->parser_->put_eof(error);
    }
    return !error;
}

/** True if the answer just parsed is an interim one, or a late one of an earlier request: the next one is awaited. */
bool HttpClient::Private::startsAnotherAnswer(const internal::ExchangePointer &exchange)
{
    internal::HttpAnswerParser &parser = *exchange->parser_;
    if (!parser.is_header_done()) {
        return false;
    }
    const HttpCall &call = exchange->call_;
    if (!call.echoHeader_.empty() && !exchange->headReported_ && !exchange->skipping_) {
        const auto echo = parser.head_.headers_.find(call.echoHeader_);
        exchange->skipping_ = echo != parser.head_.headers_.end() && echo->second != call.echoValue_;
        exchange->stray_ = exchange->stray_ || exchange->skipping_;
    }
    if (exchange->skipping_) {
        parser.body_.clear();
    }
    return parser.is_done() && (parser.head_.status_ / 100 == 1 || exchange->skipping_);
}

bool HttpClient::Private::reportHead(const internal::ExchangePointer &exchange)
{
    HttpCall &call = exchange->call_;
    const internal::HttpAnswerParser &parser = *exchange->parser_;
    if (!call.onHead_ || exchange->headReported_ || exchange->skipping_ || !parser.is_header_done()) {
        return true;
    }
    exchange->headReported_ = true;
    const std::function<void(const HttpHead &)> onHead = std::move(call.onHead_);
    call.onHead_ = nullptr;
    onHead(parser.head_);
    return !exchange->done_;
}

bool HttpClient::Private::reportPart(const internal::ExchangePointer &exchange)
{
    HttpCall &call = exchange->call_;
    internal::HttpAnswerParser &parser = *exchange->parser_;
    if (!call.onPart_ || !parser.is_header_done() || parser.body_.empty()) {
        return true;
    }
    exchange->received_ += parser.body_.size();
    // Two strings that take turns: no allocation for a part.
    exchange->part_.clear();
    exchange->part_.swap(parser.body_);
    // Taken out for the time of the call, because the hook may cancel the call and so destroy itself.
    std::function<void(int, const std::string &)> onPart = std::move(call.onPart_);
    onPart(parser.head_.status_, exchange->part_);
    if (exchange->done_) {
        return false;
    }
    call.onPart_ = std::move(onPart);
    return true;
}

void HttpClient::Private::received(const internal::ExchangePointer &exchange, bool atEnd)
{
    const internal::HttpAnswerParser &started = *exchange->parser_;
    const bool endsWithConnection = started.is_header_done() && !started.is_done() && started.need_eof();
    if (atEnd && endsWithConnection && exchange->write_ == internal::WriteState::Running) {
        exchange->awaitsWrite_ = true;
        return;
    }
    if (!parse(exchange, atEnd)) {
        end(exchange, HttpOutcome::Interrupted);
        return;
    }
    internal::HttpAnswerParser &parser = *exchange->parser_;
    const bool isSkippingTooMuch = !parser.is_header_done() && exchange->consumed_ > internal::maxBytesBeforeAnswer;
    if ((exchange->skipping_ && atEnd) || isSkippingTooMuch
        || exchange->consumed_ > internal::maxBytes(exchange->call_)) {
        end(exchange, HttpOutcome::Interrupted);
        return;
    }
    if (!reportHead(exchange)) {
        return;
    }
    if (exchange->received_ + parser.body_.size() > exchange->call_.maxResponseBytes_) {
        end(exchange, HttpOutcome::Interrupted);
        return;
    }
    if (!reportPart(exchange)) {
        return;
    }
    if (parser.is_done()) {
        end(exchange, HttpOutcome::Complete);
    } else if (atEnd) {
        end(exchange, HttpOutcome::Interrupted);
    } else {
        readAnswer(exchange);
    }
}

HttpResult HttpClient::Private::resultOf(internal::Exchange &exchange, HttpOutcome outcome)
{
    HttpResult result;
    result.outcome_ = outcome;
    result.reused_ = exchange.reused_;
    // Of a head that isn't whole nothing is known: what is missing may change the meaning of the rest.
    if (exchange.parser_ && exchange.parser_->is_header_done() && !exchange.skipping_) {
        result.status_ = exchange.parser_->head_.status_;
        result.headers_ = std::move(exchange.parser_->head_.headers_);
        if (exchange.wire_) {
            exchange.wire_->keepFor_ = internal::keepTime(result.headers_);
        }
        if (!exchange.call_.onPart_) {
            result.body_ = std::move(exchange.parser_->body_);
        }
    }
    return result;
}

void HttpClient::Private::release(internal::Exchange &exchange, HttpOutcome outcome)
{
    const bool isClean = outcome == HttpOutcome::Complete && exchange.parser_->keep_alive() && exchange.output_.empty()
        && exchange.wire_->input_.size() == 0 && !exchange.stray_ && !exchange.wire_->isUsedUp();
    if (isClean) {
        pool_->keep(exchange.call_.address_, exchange.wire_);
    } else {
        exchange.wire_->close();
    }
}

void HttpClient::Private::end(const internal::ExchangePointer &exchange, HttpOutcome outcome)
{
    if (exchange->done_) {
        return;
    }
    exchange->done_ = true;
    exchange->timer_.cancel();
    exchange->resolver_.cancel();
    exchanges_.erase(exchange->id_);
    HttpResult result = resultOf(*exchange, outcome);
    if (exchange->wire_) {
        release(*exchange, outcome);
    }
    // Never from within start(), cancel() or a handler of the caller.
    const std::function<void(const HttpResult &)> done = std::move(exchange->call_.onDone_);
    exchange->call_.onPart_ = nullptr;
    exchange->call_.onHead_ = nullptr;
    if (done) {
        loop_.post([self = shared_from_this(), done, result = std::move(result)] {
            if (!self->closed_) {
                done(result);
            }
        });
    }
}

HttpClient::HttpClient(IoLoop &loop)
    : d_(std::make_shared<Private>(loop))
{
    d_->sweepTimer_ = loop.every(internal::idleTime / 4, [pool = d_->pool_] { pool->sweep(); });
}

HttpClient::~HttpClient()
{
    d_->closed_ = true;
    d_->loop_.cancel(d_->sweepTimer_);
    const std::map<std::uint64_t, internal::ExchangePointer> all = d_->exchanges_;
    for (const std::pair<const std::uint64_t, internal::ExchangePointer> &entry : all) {
        d_->end(entry.second, HttpOutcome::Cancelled);
    }
    d_->pool_->closeAll();
}

std::uint64_t HttpClient::start(HttpCall call)
{
    const internal::ExchangePointer exchange = std::make_shared<internal::Exchange>(d_->context_);
    exchange->id_ = d_->nextId_++;
    exchange->call_ = std::move(call);
    d_->exchanges_.emplace(exchange->id_, exchange);
    d_->begin(exchange);
    return exchange->id_;
}

void HttpClient::cancel(std::uint64_t call)
{
    const auto found = d_->exchanges_.find(call);
    if (found != d_->exchanges_.end()) {
        const internal::ExchangePointer exchange = found->second;
        d_->end(exchange, HttpOutcome::Cancelled);
    }
}

} // namespace filbertgw
