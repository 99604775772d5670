#include "net/httpclient.h"

#include "net/address.h"
#include "net/ioloopprivate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <deque>

namespace filbertgw {

namespace internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr std::size_t answerReadBytes = 64 * 1024;
constexpr std::uint32_t answerHeaderBytes = 32 * 1024;
/** Idle connections kept for one address; more are closed. */
constexpr std::size_t idlePerAddress = 64;
/** Shorter than the idle time of servers (60 s), so that a request rarely meets a connection that is being closed. */
constexpr std::chrono::seconds idleTime{20};

/** \brief Collects the body bytes that one read brought. */
class AnswerParser : public http::basic_parser<false>
{
public:
    AnswerParser()
    {
        header_limit(answerHeaderBytes);
        body_limit(boost::none); // The client counts itself, streamed parts included.
        eager(true);
    }

    HttpHead head_;
    std::string body_;

private:
    void on_request_impl(http::verb, // NOLINT(readability-identifier-naming)
                         beast::string_view,
                         beast::string_view,
                         int,
                         error_code &) override
    {
    }
    void on_response_impl(int status, // NOLINT(readability-identifier-naming)
                          beast::string_view,
                          int,
                          error_code &) override
    {
        head_.status_ = status;
    }
    void on_field_impl(http::field, // NOLINT(readability-identifier-naming)
                       beast::string_view name,
                       beast::string_view value,
                       error_code &) override
    {
        std::string key(name);
        std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
        head_.headers_.insert_or_assign(std::move(key), std::string(value));
    }
    void on_header_impl(error_code &) override // NOLINT(readability-identifier-naming)
    {
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, // NOLINT(readability-identifier-naming)
                           error_code &) override
    {
    }
    std::size_t on_body_impl(beast::string_view body, error_code &) override // NOLINT(readability-identifier-naming)
    {
        body_.append(body.data(), body.size());
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
        body_.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(error_code &) override // NOLINT(readability-identifier-naming)
    {
    }
};

/** True if the text can't end a header line early. */
bool isHeaderText(const std::string &text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

bool isValid(const HttpRequest &request)
{
    const bool lineIsValid = isHeaderText(request.target_) && request.target_.find(' ') == std::string::npos
        && !request.target_.empty() && isHeaderText(request.method_) && request.method_.find(' ') == std::string::npos
        && !request.method_.empty();
    return lineIsValid
        && std::all_of(request.headers_.begin(),
                       request.headers_.end(),
                       [](const std::pair<const std::string, std::string> &header) {
                           return !header.first.empty() && isHeaderText(header.first)
                               && header.first.find_first_of(": ") == std::string::npos && isHeaderText(header.second);
                       });
}

std::string serialise(const HttpRequest &request, const std::string &address)
{
    std::string result;
    result.reserve(request.body_.size() + 512);
    result += request.method_;
    result += ' ';
    result += request.target_;
    result += " HTTP/1.1\r\nHost: ";
    const auto host = request.headers_.find("host");
    result += host != request.headers_.end() ? host->second : address;
    result += "\r\n";
    for (const std::pair<const std::string, std::string> &header : request.headers_) {
        // The framing of the message and the connection are this hop's own.
        if (header.first == "host" || header.first == "content-length" || header.first == "transfer-encoding"
            || header.first == "connection" || header.first == "expect") {
            continue;
        }
        result += header.first;
        result += ": ";
        result += header.second;
        result += "\r\n";
    }
    if (!request.body_.empty() || request.method_ != "GET") {
        result += "Content-Length: ";
        result += std::to_string(request.body_.size());
        result += "\r\n";
    }
    result += "\r\n";
    result += request.body_;
    return result;
}

/** \brief One connection; used by one exchange at a time, or waiting in the pool. */
struct Wire
{
    explicit Wire(asio::io_context &context)
        : socket_(context)
        , input_(answerReadBytes)
    {
    }

    Tcp::socket socket_;
    beast::flat_buffer input_;
    bool idle_ = false;
    bool closed_ = false;
    std::chrono::steady_clock::time_point idleSince_;
    Duration keepFor_ = idleTime; ///< Idle time after which the server may close it.
};

/** \brief Four fifths of the idle time that a server announces in `Keep-Alive: timeout=N`. */
Duration keepTime(const std::map<std::string, std::string> &headers)
{
    const auto header = headers.find("keep-alive");
    const std::string name = "timeout=";
    const std::size_t start = header == headers.end() ? std::string::npos : header->second.find(name);
    if (start == std::string::npos) {
        return idleTime;
    }
    const long seconds = std::strtol(header->second.c_str() + start + name.size(), nullptr, 10);
    constexpr long most = 3600;
    return std::min<Duration>(idleTime, std::chrono::milliseconds(std::clamp(seconds, 0L, most) * 800));
}

struct Exchange
{
    explicit Exchange(asio::io_context &context)
        : timer_(context)
        , resolver_(context)
    {
    }

    std::uint64_t id_ = 0;
    HttpCall call_;
    std::shared_ptr<Wire> wire_;
    asio::steady_timer timer_;
    Tcp::resolver resolver_;
    std::unique_ptr<AnswerParser> parser_;
    std::string output_;
    std::string part_;
    std::size_t received_ = 0;
    bool sent_ = false; ///< At least one byte may have been sent.
    bool reused_ = false;
    bool headReported_ = false;
    bool skipping_ = false; ///< The answer that arrives belongs to another request.
    bool stray_ = false; ///< Such an answer has been seen: the connection is not kept.
    bool done_ = false;
    std::chrono::steady_clock::time_point deadline_;
};

using ExchangePointer = std::shared_ptr<Exchange>;

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
    bool parse(const internal::ExchangePointer &exchange, bool atEnd);
    void setTimer(const internal::ExchangePointer &exchange, std::chrono::steady_clock::time_point when);
    void end(const internal::ExchangePointer &exchange, HttpOutcome outcome);
    void keep(const std::string &address, const std::shared_ptr<internal::Wire> &wire);
    std::shared_ptr<internal::Wire> takeIdle(const std::string &address, Duration maxAge);
    bool startsAnotherAnswer(const internal::ExchangePointer &exchange);
    void dropIdle(const std::string &address, const std::shared_ptr<internal::Wire> &wire);
    void sweep();

    IoLoop &loop_;
    boost::asio::io_context &context_;
    std::map<std::uint64_t, internal::ExchangePointer> exchanges_;
    std::map<std::string, std::deque<std::shared_ptr<internal::Wire>>> idle_;
    std::uint64_t nextId_ = 1;
    std::uint64_t sweepTimer_ = 0;
    bool closed_ = false;
};

namespace internal {

void close(Wire &wire)
{
    error_code ignored;
    wire.closed_ = true;
    wire.socket_.close(ignored);
}

} // namespace internal

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
        exchange->wire_ = takeIdle(exchange->call_.address_, exchange->call_.maxIdleAge_);
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
    exchange->wire_ = std::make_shared<internal::Wire>(context_);
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
    exchange->output_ = internal::serialise(exchange->call_.request_, exchange->call_.address_);
    exchange->call_.request_.body_ = std::string();
    exchange->parser_ = std::make_unique<internal::AnswerParser>();
    exchange->parser_->skip(exchange->call_.request_.method_ == "HEAD");
    exchange->sent_ = true;
    const auto written = [self = shared_from_this(), exchange](const boost::system::error_code &error,
                                                               std::size_t size) {
        exchange->output_ = std::string();
        if (error && !exchange->done_ && size == 0) {
            // The kernel took no byte of it.
            exchange->sent_ = false;
            self->end(exchange, HttpOutcome::NotConnected);
        }
        // After another error the read below still finds an early answer such as 413, or the end.
    };
    boost::asio::async_write(exchange->wire_->socket_, boost::asio::buffer(exchange->output_), written);
    readAnswer(exchange);
}

void HttpClient::Private::readAnswer(const internal::ExchangePointer &exchange)
{
    internal::Wire &wire = *exchange->wire_;
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
    internal::Wire &wire = *exchange->wire_;
    boost::system::error_code error;
    while (wire.input_.size() > 0 && !exchange->parser_->is_done()) {
        const std::size_t used = exchange->parser_->put(wire.input_.data(), error);
        wire.input_.consume(used);
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
            exchange->parser_ = std::make_unique<internal::AnswerParser>();
            exchange->skipping_ = false;
        }
    }
    if (atEnd && !exchange->parser_->is_done()) {
        if (!exchange->parser_->got_some()) {
            return false;
        }
        exchange->parser_->put_eof(error);
    }
    return !error;
}

/** True if the answer just parsed is an interim one, or a late one of an earlier request: the next one is awaited. */
bool HttpClient::Private::startsAnotherAnswer(const internal::ExchangePointer &exchange)
{
    internal::AnswerParser &parser = *exchange->parser_;
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

void HttpClient::Private::received(const internal::ExchangePointer &exchange, bool atEnd)
{
    if (!parse(exchange, atEnd)) {
        end(exchange, HttpOutcome::Interrupted);
        return;
    }
    internal::AnswerParser &parser = *exchange->parser_;
    HttpCall &call = exchange->call_;
    if (exchange->skipping_ && atEnd) {
        end(exchange, HttpOutcome::Interrupted);
        return;
    }
    if (call.onHead_ && !exchange->headReported_ && !exchange->skipping_ && parser.is_header_done()) {
        exchange->headReported_ = true;
        const std::function<void(const HttpHead &)> onHead = std::move(call.onHead_);
        call.onHead_ = nullptr;
        onHead(parser.head_);
        if (exchange->done_) {
            return;
        }
    }
    if (exchange->received_ + parser.body_.size() > call.answerBytes_) {
        end(exchange, HttpOutcome::Interrupted);
        return;
    }
    if (call.onPart_ && parser.is_header_done() && !parser.body_.empty()) {
        exchange->received_ += parser.body_.size();
        // Two strings that take turns: no allocation for a part.
        exchange->part_.clear();
        exchange->part_.swap(parser.body_);
        // Taken out for the time of the call, because the hook may cancel the call and so destroy itself.
        std::function<void(int, const std::string &)> onPart = std::move(call.onPart_);
        onPart(parser.head_.status_, exchange->part_);
        if (exchange->done_) {
            return;
        }
        call.onPart_ = std::move(onPart);
    }
    if (parser.is_done()) {
        end(exchange, HttpOutcome::Complete);
    } else if (atEnd) {
        end(exchange, HttpOutcome::Interrupted);
    } else {
        readAnswer(exchange);
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
    HttpResult result;
    result.outcome_ = outcome;
    result.reused_ = exchange->reused_;
    if (exchange->parser_ && !exchange->skipping_) {
        result.status_ = exchange->parser_->head_.status_;
        result.headers_ = std::move(exchange->parser_->head_.headers_);
        if (exchange->wire_) {
            exchange->wire_->keepFor_ = internal::keepTime(result.headers_);
        }
        if (!exchange->call_.onPart_) {
            result.body_ = std::move(exchange->parser_->body_);
        }
    }
    if (exchange->wire_) {
        const bool clean = outcome == HttpOutcome::Complete && exchange->parser_->keep_alive()
            && exchange->output_.empty() && exchange->wire_->input_.size() == 0 && !exchange->stray_;
        if (clean) {
            keep(exchange->call_.address_, exchange->wire_);
        } else {
            internal::close(*exchange->wire_);
        }
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

void HttpClient::Private::keep(const std::string &address, const std::shared_ptr<internal::Wire> &wire)
{
    std::deque<std::shared_ptr<internal::Wire>> &idle = idle_[address];
    if (idle.size() >= internal::idlePerAddress) {
        internal::close(*wire);
        return;
    }
    wire->idle_ = true;
    wire->idleSince_ = std::chrono::steady_clock::now();
    idle.push_back(wire);
    // Nothing is due on an idle connection: readiness means that the server has closed it.
    wire->socket_.async_wait(internal::Tcp::socket::wait_read,
                             [self = shared_from_this(), wire, address](const boost::system::error_code &error) {
                                 if (!error && wire->idle_) {
                                     self->dropIdle(address, wire);
                                 }
                             });
}

std::shared_ptr<internal::Wire> HttpClient::Private::takeIdle(const std::string &address, Duration maxAge)
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    while (!found->second.empty()) {
        // The one used last is the least likely to be closed by the server.
        const std::shared_ptr<internal::Wire> wire = found->second.back();
        found->second.pop_back();
        wire->idle_ = false;
        boost::system::error_code ignored;
        wire->socket_.cancel(ignored);
        // The close may have arrived without its handler having run yet.
        char byte = 0;
        wire->socket_.non_blocking(true, ignored);
        boost::system::error_code state;
        wire->socket_.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, state);
        if (state == boost::asio::error::would_block && now - wire->idleSince_ <= std::min(maxAge, wire->keepFor_)) {
            return wire;
        }
        internal::close(*wire);
    }
    idle_.erase(found);
    return nullptr;
}

void HttpClient::Private::dropIdle(const std::string &address, const std::shared_ptr<internal::Wire> &wire)
{
    internal::close(*wire);
    wire->idle_ = false;
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    found->second.erase(std::remove(found->second.begin(), found->second.end(), wire), found->second.end());
    if (found->second.empty()) {
        idle_.erase(found);
    }
}

void HttpClient::Private::sweep()
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::deque<std::shared_ptr<internal::Wire>> &idle = entry->second;
        while (!idle.empty() && now - idle.front()->idleSince_ >= internal::idleTime) {
            idle.front()->idle_ = false;
            internal::close(*idle.front());
            idle.pop_front();
        }
        entry = idle.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

HttpClient::HttpClient(IoLoop &loop)
    : d_(std::make_shared<Private>(loop))
{
    d_->sweepTimer_ = loop.every(internal::idleTime / 4, [d = d_.get()] { d->sweep(); });
}

HttpClient::~HttpClient()
{
    d_->closed_ = true;
    d_->loop_.cancel(d_->sweepTimer_);
    const std::map<std::uint64_t, internal::ExchangePointer> all = d_->exchanges_;
    for (const std::pair<const std::uint64_t, internal::ExchangePointer> &entry : all) {
        d_->end(entry.second, HttpOutcome::Cancelled);
    }
    for (const std::pair<const std::string, std::deque<std::shared_ptr<internal::Wire>>> &entry : d_->idle_) {
        for (const std::shared_ptr<internal::Wire> &wire : entry.second) {
            wire->idle_ = false;
            internal::close(*wire);
        }
    }
    d_->idle_.clear();
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
