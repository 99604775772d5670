#include "net/peerlinks.h"

#include "net/address.h"
#include "net/ioloopprivate.h"
#include "net/peerframe.h"
#include "net/peerhandshake.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <set>

namespace filbertgw {

namespace internal {

/** \brief Configuration of websocketpp for both roles: one thread, no log of its own. */
struct LinkConfig : public websocketpp::config::core
{
    using type = LinkConfig;
    using base = websocketpp::config::core;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;
    static const bool enable_multithreading = false; // NOLINT(readability-identifier-naming)

    struct transport_config : public base::transport_config // NOLINT(readability-identifier-naming)
    {
        using concurrency_type = type::concurrency_type;
        using alog_type = type::alog_type;
        using elog_type = type::elog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
        static const bool enable_multithreading = false; // NOLINT(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using Server = websocketpp::server<LinkConfig>;
using Client = websocketpp::client<LinkConfig>;
using PeerConnection = websocketpp::connection<LinkConfig>;
using PeerConnectionPointer = std::shared_ptr<PeerConnection>;
using Handle = websocketpp::connection_hdl;

/** Longest frame of a peer that has not proven a key. */
constexpr std::size_t handshakeFrameBytes = 4096;
constexpr Duration sweepPeriod{50'000};
/** After this a peer that does not answer the close frame is cut off. */
constexpr long closeTimeoutMs = 1000;

struct PeerCall
{
    PeerLinks::Part part_;
    PeerLinks::Done done_;
};

class PeerLinkReply;

/** \brief One connection between two nodes. */
struct PeerLink
{
    PeerLink(const PeerSettings &settings, bool isOutgoing)
        : isOutgoing_(isOutgoing)
        , handshake_(settings, isOutgoing)
    {
    }

    enum class State : std::uint8_t {
        Connecting,
        Proving, ///< The keyed handshake runs.
        Open,
        Closed,
    };

    bool isOutgoing_;
    PeerHandshake handshake_;
    State state_ = State::Connecting;
    PeerConnectionPointer connection_;
    std::string address_; ///< host:port that requests to the peer are addressed to; empty if unknown.
    NodeId peer_;
    std::chrono::steady_clock::time_point started_;
    std::chrono::steady_clock::time_point lastSeen_;
    std::chrono::steady_clock::time_point lastPing_;
    std::map<std::uint64_t, PeerCall> calls_; ///< Own requests on this link.
    std::map<std::uint64_t, std::weak_ptr<PeerLinkReply>> incoming_; ///< The peer's open requests.
    std::vector<std::pair<std::uint64_t, std::string>> waiting_; ///< Frames of own requests until the link is open.
    std::size_t waitingBytes_ = 0;
};

using PeerLinkPointer = std::shared_ptr<PeerLink>;

} // namespace internal

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

namespace internal {

/** \brief The answer side of a peer's request. */
class PeerLinkReply : public PeerReply
{
public:
    PeerLinkReply(std::weak_ptr<PeerLinks::Private> links, std::weak_ptr<PeerLink> link, std::uint64_t id)
        : links_(std::move(links))
        , link_(std::move(link))
        , id_(id)
    {
    }
    PeerLinkReply(const PeerLinkReply &) = delete;
    PeerLinkReply &operator=(const PeerLinkReply &) = delete;
    ~PeerLinkReply() override
    {
        end(PeerFrameType::Broken, nullptr);
    }

    void part(const nlohmann::json &body) override
    {
        const PeerLinkPointer link = link_.lock();
        const std::shared_ptr<PeerLinks::Private> links = links_.lock();
        if (isOpen_ && link && links && !links->send(link, encodePeerFrame(PeerFrameType::Part, id_, {}, body))) {
            end(PeerFrameType::Broken, nullptr);
        }
    }

    void finish(const nlohmann::json &body) override
    {
        end(PeerFrameType::Finish, body);
    }

    void onClosed(std::function<void()> closed) override
    {
        if (isOpen_) {
            closed_ = std::move(closed);
        } else if (wasClosed_) {
            closed();
        }
    }

    /** \brief The peer has cancelled the request, or the link is gone. */
    void closedByPeer()
    {
        if (!isOpen_) {
            return;
        }
        isOpen_ = false;
        wasClosed_ = true;
        const std::function<void()> closed = std::move(closed_);
        closed_ = nullptr;
        if (closed) {
            closed();
        }
    }

private:
    void end(PeerFrameType type, const nlohmann::json &body)
    {
        if (!isOpen_) {
            return;
        }
        isOpen_ = false;
        const std::function<void()> dropped = std::move(closed_);
        closed_ = nullptr;
        const PeerLinkPointer link = link_.lock();
        const std::shared_ptr<PeerLinks::Private> links = links_.lock();
        if (!link || !links || link->state_ != PeerLink::State::Open) {
            return;
        }
        link->incoming_.erase(id_);
        // An answer that is too long for a frame never arrives; the peer has to know.
        if (!links->send(link, encodePeerFrame(type, id_, {}, body))) {
            links->send(link, encodePeerFrame(PeerFrameType::Broken, id_, {}, nullptr));
        }
    }

    std::weak_ptr<PeerLinks::Private> links_;
    std::weak_ptr<PeerLink> link_;
    std::uint64_t id_;
    std::function<void()> closed_;
    bool isOpen_ = true;
    bool wasClosed_ = false;
};

} // namespace internal

template<typename Endpoint>
void PeerLinks::Private::prepare(Endpoint &endpoint)
{
    websocketpp::lib::error_code error;
    endpoint.init_asio(&loop_.d().context_, error);
    const long timeout =
        static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.handshakeTimeout_).count());
    endpoint.set_open_handshake_timeout(timeout);
    endpoint.set_close_handshake_timeout(internal::closeTimeoutMs);
    endpoint.set_max_http_body_size(0);
    endpoint.set_max_message_size(internal::handshakeFrameBytes);
}

void PeerLinks::Private::prepareServer()
{
    const std::weak_ptr<Private> weak = weak_from_this();
    server_.set_reuse_addr(true);
    server_.set_tcp_pre_init_handler([weak](const internal::Handle &handle) {
        const std::shared_ptr<Private> self = weak.lock();
        websocketpp::lib::error_code error;
        const internal::PeerConnectionPointer connection =
            self ? self->server_.get_con_from_hdl(handle, error) : nullptr;
        if (connection) {
            self->accepted(connection);
        }
    });
}

boost::system::error_code PeerLinks::Private::listen()
{
    prepare(server_);
    prepare(client_);
    prepareServer();
    const std::optional<Address> address = parseAddress(settings_.address_);
    websocketpp::lib::error_code error;
    boost::system::error_code parsed;
    const boost::asio::ip::address host =
        boost::asio::ip::make_address(address ? address->host_ : std::string(), parsed);
    if (parsed || !address) {
        return boost::asio::error::invalid_argument;
    }
    server_.listen(boost::asio::ip::tcp::endpoint(host, address->port_), error);
    if (!error) {
        server_.start_accept(error);
    }
    if (error) {
        return boost::asio::error::address_in_use;
    }
    port_ = server_.get_local_endpoint(parsed).port();
    return parsed;
}

internal::PeerLinkPointer PeerLinks::Private::addLink(const internal::PeerConnectionPointer &connection,
                                                      bool isOutgoing)
{
    const internal::PeerLinkPointer link = std::make_shared<internal::PeerLink>(settings_, isOutgoing);
    link->connection_ = connection;
    link->started_ = std::chrono::steady_clock::now();
    links_.insert(link);
    connections_.push_back(connection);
    setHandlers(connection, link);
    return link;
}

void PeerLinks::Private::setHandlers(const internal::PeerConnectionPointer &connection,
                                     const internal::PeerLinkPointer &link)
{
    // The connection holds its handlers; references back would keep both for ever.
    const std::weak_ptr<Private> weak = weak_from_this();
    const std::weak_ptr<internal::PeerLink> weakLink = link;
    const auto gone = [weak, weakLink](const internal::Handle &) {
        const std::shared_ptr<Private> self = weak.lock();
        const internal::PeerLinkPointer known = weakLink.lock();
        if (self && known) {
            self->closed(known);
        }
    };
    connection->set_close_handler(gone);
    connection->set_fail_handler(gone);
    connection->set_pong_handler([weakLink](const internal::Handle &, const std::string &) {
        if (const internal::PeerLinkPointer known = weakLink.lock()) {
            known->lastSeen_ = std::chrono::steady_clock::now();
        }
    });
    connection->set_message_handler(
        [weak, weakLink](const internal::Handle &, const internal::Client::message_ptr &message) {
            const std::shared_ptr<Private> self = weak.lock();
            const internal::PeerLinkPointer known = weakLink.lock();
            if (self && known) {
                self->received(known, message);
            }
        });
    const std::weak_ptr<internal::PeerConnection> weakConnection = connection;
    connection->set_open_handler([weak, weakLink, weakConnection](const internal::Handle &) {
        const std::shared_ptr<Private> self = weak.lock();
        const internal::PeerLinkPointer known = weakLink.lock();
        if (!self || !known || known->state_ != internal::PeerLink::State::Connecting) {
            // The link was given up while the name was looked up or the connection was made.
            websocketpp::lib::error_code error;
            weakConnection.lock()->close(websocketpp::close::status::going_away, {}, error);
            return;
        }
        self->connected(known);
    });
}

void PeerLinks::Private::connected(const internal::PeerLinkPointer &link)
{
    boost::system::error_code ignored;
    link->connection_->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    link->state_ = internal::PeerLink::State::Proving;
    if (!link->isOutgoing_) {
        send(link, link->handshake_.challenge());
    }
}

std::size_t PeerLinks::Private::unproven() const
{
    return static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(), [](const internal::PeerLinkPointer &link) {
            return !link->isOutgoing_ && link->state_ != internal::PeerLink::State::Open;
        }));
}

void PeerLinks::Private::accepted(const internal::PeerConnectionPointer &connection)
{
    if (closed_ || unproven() >= settings_.unprovenLinks_) {
        boost::system::error_code ignored;
        connection->get_raw_socket().close(ignored);
        return;
    }
    addLink(connection, false);
}

internal::PeerLinkPointer PeerLinks::Private::linkTo(const std::string &address)
{
    const auto found = byAddress_.find(address);
    if (found != byAddress_.end()) {
        const internal::PeerLinkPointer known = found->second.lock();
        if (known && known->state_ != internal::PeerLink::State::Closed) {
            return known;
        }
    }
    websocketpp::lib::error_code error;
    if (!parseAddress(address)) {
        return nullptr;
    }
    const internal::PeerConnectionPointer connection = client_.get_connection("ws://" + address + "/peer", error);
    if (error || !connection) {
        return nullptr;
    }
    const internal::PeerLinkPointer link = addLink(connection, true);
    link->address_ = address;
    byAddress_[address] = link;
    client_.connect(connection);
    return link;
}

void PeerLinks::Private::received(const internal::PeerLinkPointer &link, const internal::Client::message_ptr &message)
{
    if (link->state_ == internal::PeerLink::State::Closed) {
        return;
    }
    link->lastSeen_ = std::chrono::steady_clock::now();
    if (message->get_opcode() != websocketpp::frame::opcode::binary) {
        close(link, "not a binary frame");
        return;
    }
    std::optional<PeerFrame> frame = parsePeerFrame(message->get_payload());
    if (!frame) {
        close(link, "malformed frame");
        return;
    }
    if (link->state_ == internal::PeerLink::State::Open) {
        dispatch(link, std::move(*frame));
    } else {
        prove(link, *frame);
    }
}

void PeerLinks::Private::prove(const internal::PeerLinkPointer &link, const PeerFrame &frame)
{
    const internal::PeerHandshake::Step step = link->handshake_.onFrame(frame);
    if (step.failure_ != nullptr) {
        close(link, step.failure_);
        return;
    }
    if (!step.reply_.empty()) {
        send(link, step.reply_);
    }
    if (!step.isProven_) {
        return;
    }
    link->peer_ = link->handshake_.peer();
    const std::string &address = link->handshake_.peerAddress();
    if (parseAddress(address) && byAddress_.count(address) == 0) {
        link->address_ = address;
        byAddress_[address] = link;
    }
    opened(link);
}

void PeerLinks::Private::opened(const internal::PeerLinkPointer &link)
{
    link->state_ = internal::PeerLink::State::Open;
    link->lastSeen_ = std::chrono::steady_clock::now();
    link->lastPing_ = link->lastSeen_;
    link->connection_->set_max_message_size(settings_.frameBytes_);
    std::vector<std::pair<std::uint64_t, std::string>> waiting;
    waiting.swap(link->waiting_);
    link->waitingBytes_ = 0;
    for (const std::pair<std::uint64_t, std::string> &entry : waiting) {
        if (link->calls_.count(entry.first) != 0) {
            send(link, entry.second);
        }
    }
}

void PeerLinks::Private::dispatch(const internal::PeerLinkPointer &link, PeerFrame frame)
{
    if (frame.type_ == PeerFrameType::Request) {
        serve(link, frame);
        return;
    }
    if (frame.type_ == PeerFrameType::Cancel) {
        cancelled(link, frame.id_);
        return;
    }
    const auto call = link->calls_.find(frame.id_);
    if (call == link->calls_.end()) {
        return; // Cancelled in the meantime.
    }
    if (frame.type_ == PeerFrameType::Part) {
        // Copied, because the hook may cancel the request and so destroy itself.
        const Part part = call->second.part_;
        if (part) {
            part(frame.body_);
        }
    } else if (frame.type_ == PeerFrameType::Finish || frame.type_ == PeerFrameType::Broken) {
        const internal::PeerCall ended = std::move(call->second);
        link->calls_.erase(call);
        const bool isFinished = frame.type_ == PeerFrameType::Finish;
        endCall(frame.id_, ended, isFinished ? PeerOutcome::Finished : PeerOutcome::Broken, frame.body_);
    }
}

void PeerLinks::Private::cancelled(const internal::PeerLinkPointer &link, std::uint64_t id)
{
    const std::map<std::uint64_t, std::weak_ptr<internal::PeerLinkReply>>::iterator found = link->incoming_.find(id);
    if (found == link->incoming_.end()) {
        return;
    }
    const std::shared_ptr<internal::PeerLinkReply> reply = found->second.lock();
    link->incoming_.erase(found);
    if (reply) {
        reply->closedByPeer();
    }
}

void PeerLinks::Private::serve(const internal::PeerLinkPointer &link, const PeerFrame &frame)
{
    if (link->incoming_.count(frame.id_) != 0 || link->incoming_.size() >= settings_.requestsPerLink_) {
        close(link, "request id in use or too many requests");
        return;
    }
    const std::shared_ptr<internal::PeerLinkReply> reply =
        std::make_shared<internal::PeerLinkReply>(weak_from_this(), link, frame.id_);
    link->incoming_[frame.id_] = reply;
    handler_(link->peer_, frame.name_, frame.body_, reply);
}

bool PeerLinks::Private::send(const internal::PeerLinkPointer &link, const std::string &frame)
{
    if (frame.size() > settings_.frameBytes_) {
        return false;
    }
    if (link->state_ == internal::PeerLink::State::Closed) {
        return true; // The end of the link has been reported.
    }
    if (link->connection_->get_buffered_amount() + frame.size() > settings_.queueBytes_) {
        close(link, "the peer reads too slowly");
        return true;
    }
    const websocketpp::lib::error_code error = link->connection_->send(frame, websocketpp::frame::opcode::binary);
    if (error) {
        close(link, "cannot send");
    }
    return true;
}

void PeerLinks::Private::close(const internal::PeerLinkPointer &link, const char *reason)
{
    if (link->state_ == internal::PeerLink::State::Closed) {
        return;
    }
    const internal::PeerConnectionPointer connection = link->connection_;
    closed(link);
    websocketpp::lib::error_code error;
    connection->close(websocketpp::close::status::policy_violation, reason, error);
    if (error) {
        // Not open yet: there is no close handshake to wait for.
        boost::system::error_code ignored;
        connection->get_raw_socket().close(ignored);
    }
}

void PeerLinks::Private::closed(const internal::PeerLinkPointer &link)
{
    if (link->state_ == internal::PeerLink::State::Closed) {
        return;
    }
    const bool wasOpen = link->state_ == internal::PeerLink::State::Open;
    link->state_ = internal::PeerLink::State::Closed;
    link->connection_.reset();
    links_.erase(link);
    const auto found = byAddress_.find(link->address_);
    if (found != byAddress_.end() && found->second.lock() == link) {
        byAddress_.erase(found);
    }
    const std::map<std::uint64_t, internal::PeerCall> calls = std::move(link->calls_);
    link->calls_.clear();
    link->waiting_.clear();
    for (const std::pair<const std::uint64_t, internal::PeerCall> &entry : calls) {
        endCall(entry.first, entry.second, wasOpen ? PeerOutcome::Broken : PeerOutcome::NotSent, nullptr);
    }
    const std::map<std::uint64_t, std::weak_ptr<internal::PeerLinkReply>> incoming = std::move(link->incoming_);
    link->incoming_.clear();
    for (const std::pair<const std::uint64_t, std::weak_ptr<internal::PeerLinkReply>> &entry : incoming) {
        loop_.post([weak = entry.second] {
            if (const std::shared_ptr<internal::PeerLinkReply> reply = weak.lock()) {
                reply->closedByPeer();
            }
        });
    }
}

void PeerLinks::Private::endCall(std::uint64_t id,
                                 const internal::PeerCall &call,
                                 PeerOutcome outcome,
                                 const nlohmann::json &body)
{
    linkOfCall_.erase(id);
    if (!call.done_) {
        return;
    }
    loop_.post([self = shared_from_this(), done = call.done_, outcome, body] {
        if (!self->closed_) {
            done(outcome, body);
        }
    });
}

void PeerLinks::Private::sweep()
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const std::set<internal::PeerLinkPointer> links = links_;
    for (const internal::PeerLinkPointer &link : links) {
        if (link->state_ != internal::PeerLink::State::Open) {
            if (now - link->started_ >= settings_.handshakeTimeout_) {
                close(link, "handshake timeout");
            }
        } else if (now - link->lastSeen_ >= settings_.linkTimeout_) {
            close(link, "link timeout");
        } else if (now - link->lastPing_ >= settings_.pingPeriod_) {
            link->lastPing_ = now;
            websocketpp::lib::error_code ignored;
            link->connection_->ping({}, ignored);
        }
    }
    connections_.erase(
        std::remove_if(connections_.begin(),
                       connections_.end(),
                       [](const std::weak_ptr<internal::PeerConnection> &connection) { return connection.expired(); }),
        connections_.end());
}

void PeerLinks::Private::shutDown()
{
    closed_ = true;
    websocketpp::lib::error_code ignored;
    server_.stop_listening(ignored);
    const std::set<internal::PeerLinkPointer> links = links_;
    for (const internal::PeerLinkPointer &link : links) {
        close(link, "the node stops");
    }
    loop_.cancel(sweepTimer_);
    // The connections use the endpoints until their last handler has run.
    const std::shared_ptr<std::uint64_t> timer = std::make_shared<std::uint64_t>(0);
    *timer = loop_.every(internal::sweepPeriod, [self = shared_from_this(), timer] {
        self->sweep();
        if (self->connections_.empty()) {
            self->loop_.cancel(*timer);
        }
    });
}

Result<std::unique_ptr<PeerLinks>> PeerLinks::listen(IoLoop &loop, PeerSettings settings, Handler handler)
{
    if (settings.keys_.empty()) {
        return boost::leaf::new_error(
            Failure{FailureType::InvalidRequest, true, "peer links need at least one key", Duration{0}});
    }
    const std::string address = settings.address_;
    const std::shared_ptr<Private> d = std::make_shared<Private>(loop, std::move(settings), std::move(handler));
    const boost::system::error_code error = d->listen();
    if (error) {
        return boost::leaf::new_error(
            Failure{FailureType::Conflict, true, "cannot listen on " + address + ": " + error.message(), Duration{0}});
    }
    d->sweepTimer_ = loop.every(internal::sweepPeriod, [weak = std::weak_ptr<Private>(d)] {
        if (const std::shared_ptr<Private> self = weak.lock()) {
            self->sweep();
        }
    });
    return std::unique_ptr<PeerLinks>(new PeerLinks(d));
}

PeerLinks::PeerLinks(std::shared_ptr<Private> d)
    : d_(std::move(d))
{
}

PeerLinks::~PeerLinks()
{
    d_->shutDown();
}

std::uint16_t PeerLinks::port() const
{
    return d_->port_;
}

std::size_t PeerLinks::openLinks() const
{
    return static_cast<std::size_t>(
        std::count_if(d_->links_.begin(), d_->links_.end(), [](const internal::PeerLinkPointer &link) {
            return link->state_ == internal::PeerLink::State::Open;
        }));
}

std::uint64_t PeerLinks::request(
    const std::string &address, const std::string &type, const nlohmann::json &body, Part part, Done done)
{
    const std::uint64_t id = d_->nextCall_++;
    const internal::PeerCall call{std::move(part), std::move(done)};
    const std::string frame = encodePeerFrame(PeerFrameType::Request, id, type, body);
    const internal::PeerLinkPointer link =
        type.empty() || frame.size() > d_->settings_.frameBytes_ ? nullptr : d_->linkTo(address);
    if (!link || link->waitingBytes_ + frame.size() > d_->settings_.queueBytes_) {
        d_->endCall(id, call, PeerOutcome::NotSent, nullptr);
        return id;
    }
    link->calls_[id] = call;
    d_->linkOfCall_[id] = link;
    if (link->state_ == internal::PeerLink::State::Open) {
        d_->send(link, frame);
    } else {
        link->waitingBytes_ += frame.size();
        link->waiting_.emplace_back(id, frame);
    }
    return id;
}

void PeerLinks::cancel(std::uint64_t request)
{
    const auto found = d_->linkOfCall_.find(request);
    if (found == d_->linkOfCall_.end()) {
        return;
    }
    const internal::PeerLinkPointer link = found->second.lock();
    d_->linkOfCall_.erase(found);
    if (!link || link->calls_.erase(request) == 0) {
        return;
    }
    if (link->state_ == internal::PeerLink::State::Open) {
        d_->send(link, encodePeerFrame(PeerFrameType::Cancel, request, {}, nullptr));
    }
}

void PeerLinks::setKeys(const std::vector<std::string> &keys)
{
    d_->settings_.keys_ = keys;
}

} // namespace filbertgw
