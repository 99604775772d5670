#include "node/node.h"

#include "core/logger.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/ioloop.h"
#include "net/logclient.h"
#include "net/peerlinks.h"
#include "net/udpsocket.h"
#include "node/nodecore.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <iostream>
#include <random>
#include <sstream>

namespace filbertgw {
namespace internal {
namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(20);
// Long enough for the leave announcement to reach the other nodes before the sockets close.
constexpr Duration minDrainTime = std::chrono::milliseconds(300);

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

std::string advertisedAddress(const Settings &settings, const std::string &listened, std::uint16_t port)
{
    const std::string &host = settings.text(Setting::Advertise);
    return (host.empty() ? hostOf(listened) : host) + ":" + std::to_string(port);
}

/** \brief Parses NAME/DOMAIN/UDP/PEER/HTTP. */
Member parseMember(const std::string &text)
{
    std::istringstream stream(text);
    std::string name;
    std::string domain;
    Member member;
    std::getline(stream, name, '/');
    std::getline(stream, domain, '/');
    std::getline(stream, member.udpAddress_, '/');
    std::getline(stream, member.peerAddress_, '/');
    std::getline(stream, member.httpAddress_, '/');
    member.id_ = NodeId(name);
    member.domain_ = FailureDomain(domain);
    return member;
}

HttpLimits httpLimits(const Settings &settings)
{
    HttpLimits limits;
    limits.headerBytes_ = std::size_t(settings.number(Setting::HeaderBytes));
    limits.bodyBytes_ = std::size_t(settings.number(Setting::BodyBytes));
    limits.writeBufferBytes_ = std::size_t(settings.number(Setting::WriteBufferBytes));
    limits.idleSeconds_ = std::uint32_t(settings.number(Setting::IdleSeconds));
    limits.readSeconds_ = std::uint32_t(settings.number(Setting::ReadSeconds));
    limits.connections_ = std::size_t(settings.number(Setting::Connections));
    return limits;
}

} // namespace
} // namespace internal

struct Node::Private
{
    explicit Private(const Settings &settings)
        : settings_(settings)
        , logger_(settings.text(Setting::NodeName),
                  valueOf<LogLevel>(settings.text(Setting::LogLevel)).value_or(LogLevel::Info))
        , http_(loop_)
        , log_(loop_, http_, settings.text(Setting::Log), settings.milliseconds(Setting::LogTimeoutMs))
    {
        std::random_device device;
        random_.seed((std::uint64_t(device()) << 32U) | device());
    }

    Result<void> openSockets();
    NodeHooks hooks();
    NodeSettings nodeSettings() const;
    void beginStop();
    void checkStop();

    Settings settings_;
    Logger logger_;
    IoLoop loop_;
    HttpClient http_;
    LogClient log_;
    std::mt19937_64 random_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<PeerLinks> peers_;
    std::unique_ptr<UdpSocket> udp_;
    std::unique_ptr<NodeCore> core_;
    Time stopStartedAt_{0};
    bool accepting_ = true;
    int status_ = 0;
};

Result<void> Node::Private::openSockets()
{
    const auto onHttp = [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
        core_->onHttp(request, reply);
    };
    const auto onPeer = [this](const NodeId &,
                               const std::string &type,
                               const nlohmann::json &body,
                               const std::shared_ptr<PeerReply> &reply) { core_->onPeer(type, body, reply); };
    const auto onDatagram = [this](const std::string &datagram) { core_->onDatagram(datagram); };
    PeerSettings peerSettings;
    peerSettings.self_ = NodeId(settings_.text(Setting::NodeName));
    peerSettings.address_ = settings_.text(Setting::PeerListen);
    peerSettings.keys_ = settings_.list(Setting::PeerKeys);
    BOOST_LEAF_ASSIGN(
        server_, HttpServer::listen(loop_, settings_.text(Setting::Listen), internal::httpLimits(settings_), onHttp));
    BOOST_LEAF_ASSIGN(peers_, PeerLinks::listen(loop_, peerSettings, onPeer));
    BOOST_LEAF_ASSIGN(udp_, UdpSocket::bind(loop_, settings_.text(Setting::UdpListen), onDatagram));
    return {};
}

NodeHooks Node::Private::hooks()
{
    NodeHooks hooks;
    hooks.now_ = [this] { return loop_.now(); };
    hooks.random_ = [this] { return random_(); };
    hooks.post_ = [this](std::function<void()> task) { loop_.post(std::move(task)); };
    hooks.after_ = [this](Duration delay, std::function<void()> task) { return loop_.after(delay, std::move(task)); };
    hooks.cancelTimer_ = [this](std::uint64_t timer) { loop_.cancel(timer); };
    hooks.log_ = log_.access();
    hooks.startHttp_ = [this](HttpCall call) { return http_.start(std::move(call)); };
    hooks.cancelHttp_ = [this](std::uint64_t call) { http_.cancel(call); };
    hooks.requestPeer_ = [this](const std::string &address,
                                const std::string &type,
                                const nlohmann::json &body,
                                PeerLinks::Part part,
                                PeerLinks::Done done) {
        return peers_->request(address, type, body, std::move(part), std::move(done));
    };
    hooks.cancelPeer_ = [this](std::uint64_t request) { peers_->cancel(request); };
    hooks.sendDatagram_ = [this](const std::string &address, const std::string &datagram) {
        udp_->send(address, datagram);
    };
    hooks.logEvent_ = [this](const std::string &event, const nlohmann::json &fields) {
        logger_.log(LogLevel::Info, event, fields);
    };
    return hooks;
}

NodeSettings Node::Private::nodeSettings() const
{
    NodeSettings node;
    node.self_.id_ = NodeId(settings_.text(Setting::NodeName));
    node.self_.domain_ = FailureDomain(settings_.text(Setting::Domain));
    node.self_.httpAddress_ = internal::advertisedAddress(settings_, settings_.text(Setting::Listen), server_->port());
    node.self_.peerAddress_ =
        internal::advertisedAddress(settings_, settings_.text(Setting::PeerListen), peers_->port());
    node.self_.udpAddress_ = internal::advertisedAddress(settings_, settings_.text(Setting::UdpListen), udp_->port());
    for (const std::string &text : settings_.list(Setting::Members)) {
        node.members_.push_back(internal::parseMember(text));
    }
    node.vmList_ = settings_.text(Setting::VmList);
    node.peerKeys_ = settings_.list(Setting::PeerKeys);
    node.operatorKeys_ = settings_.list(Setting::OperatorKeys);
    const std::vector<std::string> orderKeys = settings_.list(Setting::OrderKeys);
    node.orderKey_ = orderKeys.empty() ? "" : orderKeys.front();
    node.maxResponseBytes_ = std::size_t(settings_.number(Setting::AnswerBytes));
    node.backlogBytes_ = std::size_t(settings_.number(Setting::BacklogBytes));
    node.callTimeout_ = settings_.milliseconds(Setting::CallTimeoutMs);
    node.pollPeriod_ = settings_.milliseconds(Setting::PollMs);
    node.retention_ = settings_.milliseconds(Setting::RetentionMs);
    return node;
}

void Node::Private::beginStop()
{
    if (core_->isDraining()) {
        return;
    }
    core_->drain();
}

void Node::Private::checkStop()
{
    if (!core_->isDraining()) {
        return;
    }
    if (stopStartedAt_.count() == 0) {
        stopStartedAt_ = loop_.now();
    }
    const Duration elapsed = loop_.now() - stopStartedAt_;
    if (elapsed >= internal::minDrainTime && core_->isDrained() && accepting_) {
        accepting_ = false;
        server_->stopAccepting();
    }
    if (!accepting_ && server_->openRequests() == 0 && core_->isDrained()) {
        logger_.log(LogLevel::Info, "drain_ended", {{"took_ms", elapsed.count() / 1000}});
        loop_.stop();
    } else if (elapsed > settings_.milliseconds(Setting::DrainMs)) {
        logger_.log(LogLevel::Error, "drain_timed_out", {{"open_requests", server_->openRequests()}});
        status_ = 1;
        loop_.stop();
    }
}

Node::Node(std::unique_ptr<Private> d)
    : d_(std::move(d))
{
}

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::open(const Settings &settings)
{
    std::unique_ptr<Private> d = std::make_unique<Private>(settings);
    BOOST_LEAF_CHECK(d->openSockets());
    d->core_ = std::make_unique<NodeCore>(d->hooks(), d->nodeSettings());
    return std::unique_ptr<Node>(new Node(std::move(d)));
}

int Node::run()
{
    Private &d = *d_;
    const Member self = d.nodeSettings().self_;
    d.logger_.log(LogLevel::Info,
                  "node_started",
                  {{"listen", self.httpAddress_}, {"peer", self.peerAddress_}, {"udp", self.udpAddress_}});
    d.core_->start();
    d.loop_.every(internal::tickPeriod, [&d] {
        d.core_->tick();
        d.checkStop();
    });
    d.loop_.onStopSignal([&d] { d.beginStop(); });
    d.loop_.run();
    return d.status_;
}

int serveNode(const Settings &settings)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(node, Node::open(settings));
            return node->run();
        },
        [](const Failure &failure) {
            std::cerr << "filbertgw serve: " << failure.detail_ << "\n";
            return 1;
        },
        [] {
            std::cerr << "filbertgw serve: the sockets can't be opened\n";
            return 1;
        });
}

} // namespace filbertgw
