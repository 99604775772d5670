#include "net/address.h"
#include "net/peerlinksprivate.h"

#include <algorithm>

namespace filbertgw {

namespace {

/** \brief Longest frame of a peer that has not proven a key. */
constexpr std::size_t handshakeFrameBytes = 4096;
/** \brief After this a peer that does not answer the close frame is cut off. */
constexpr long closeTimeoutMs = 1000;

} // namespace

template<typename Endpoint>
void PeerLinks::Private::prepare(Endpoint &endpoint)
{
    websocketpp::lib::error_code error;
    endpoint.init_asio(&loop_.d().context_, error);
    const long timeout =
        static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.handshakeTimeout_).count());
    endpoint.set_open_handshake_timeout(timeout);
    endpoint.set_close_handshake_timeout(closeTimeoutMs);
    endpoint.set_max_http_body_size(0);
    endpoint.set_max_message_size(handshakeFrameBytes);
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
    *timer = loop_.every(internal::linkSweepPeriod, [self = shared_from_this(), timer] {
        self->sweep();
        if (self->connections_.empty()) {
            self->loop_.cancel(*timer);
        }
    });
}

} // namespace filbertgw
