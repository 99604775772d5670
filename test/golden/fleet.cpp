#include "fleet.h"

#include "core/logger.h"

#include <iomanip>
#include <sstream>

namespace filbertgw::testing {
namespace {

constexpr Duration linkLatency = std::chrono::microseconds(500);
constexpr Duration tickPeriod = std::chrono::milliseconds(20);

} // namespace

struct Fleet::FleetNode
{
    std::string name_;
    Member self_;
    bool alive_ = true;
    std::mt19937_64 random_;
    std::unique_ptr<NodeCore> core_;
};

struct Fleet::PeerExchange
{
    std::shared_ptr<FleetNode> target_;
    PeerLinks::Part part_;
    PeerLinks::Done done_;
    std::function<void()> closed_;
};

/** \brief Reply side of a request between two nodes of the fleet. */
class Fleet::MemoryPeerReply : public PeerReply
{
public:
    MemoryPeerReply(Fleet &fleet, std::uint64_t id)
        : fleet_(fleet)
        , id_(id)
    {
    }

    void part(const nlohmann::json &body) override
    {
        deliver([body](const PeerExchange &exchange) { exchange.part_(body); }, false);
    }

    void finish(const nlohmann::json &body) override
    {
        deliver([body](const PeerExchange &exchange) { exchange.done_(PeerOutcome::Finished, body); }, true);
    }

    void onClosed(std::function<void()> closed) override
    {
        const auto found = fleet_.exchanges_.find(id_);
        if (found != fleet_.exchanges_.end()) {
            found->second->closed_ = std::move(closed);
        }
    }

private:
    void deliver(const std::function<void(const PeerExchange &)> &action, bool last)
    {
        Fleet &fleet = fleet_;
        const std::uint64_t id = id_;
        fleet.clock_.after(linkLatency, [&fleet, id, action, last] {
            const auto found = fleet.exchanges_.find(id);
            if (found == fleet.exchanges_.end()) {
                return;
            }
            const std::shared_ptr<PeerExchange> exchange = found->second;
            if (last) {
                fleet.exchanges_.erase(found);
            }
            action(*exchange);
        });
    }

    Fleet &fleet_;
    std::uint64_t id_;
};

Fleet::Fleet(std::uint64_t seed)
    : log_(clock_)
    , endpoints_(clock_)
    , random_(seed)
{
}

Fleet::~Fleet() = default;

void Fleet::addNode(const std::string &name, const std::string &domain)
{
    const std::shared_ptr<FleetNode> node = std::make_shared<FleetNode>();
    node->name_ = name;
    node->self_.id_ = NodeId(name);
    node->self_.domain_ = FailureDomain(domain);
    node->self_.udpAddress_ = name + ":3";
    node->self_.peerAddress_ = name + ":2";
    node->self_.httpAddress_ = name + ":1";
    node->random_.seed(random_());
    nodes_[name] = node;
}

void Fleet::startNodes()
{
    for (const auto &[name, node] : nodes_) {
        NodeSettings settings;
        settings.self_ = node->self_;
        for (const auto &[otherName, other] : nodes_) {
            settings.members_.push_back(other->self_);
        }
        settings.peerKeys_ = {"golden-peer-key-0"};
        settings.operatorKeys_ = {"golden-operator-key"};
        node->core_ = std::make_unique<NodeCore>(hooksOf(node), settings);
    }
    for (const auto &[name, node] : nodes_) {
        node->core_->start();
        tick(node);
    }
}

void Fleet::tick(const std::shared_ptr<FleetNode> &node)
{
    if (node->alive_) {
        node->core_->tick();
        clock_.after(tickPeriod, [this, node] { tick(node); });
    }
}

NodeCore &Fleet::node(const std::string &name)
{
    return *nodes_.at(name)->core_;
}

NodeHooks Fleet::hooksOf(const std::shared_ptr<FleetNode> &node)
{
    const LogAccess log = log_.access();
    NodeHooks hooks;
    hooks.now_ = [this] { return clock_.now(); };
    hooks.random_ = [node] { return node->random_(); };
    hooks.after_ = [this, node](Duration delay, std::function<void()> task) {
        return clock_.after(delay, [node, task = std::move(task)] {
            if (node->alive_) {
                task();
            }
        });
    };
    hooks.post_ = [after = hooks.after_](std::function<void()> task) { after(Duration(0), std::move(task)); };
    hooks.cancelTimer_ = [this](std::uint64_t timer) { clock_.cancel(timer); };
    hooks.log_.append_ = [node, log](const std::string &stream, std::vector<nlohmann::json> entries, auto done) {
        if (node->alive_) {
            log.append_(stream, std::move(entries), [node, done](const AppendResult &result) {
                if (node->alive_) {
                    done(result);
                }
            });
        }
    };
    hooks.log_.read_ = [node, log](const std::string &stream, Offset from, Duration wait, auto done) {
        log.read_(stream, from, wait, [node, done](bool reached, const LogPage &page) {
            if (node->alive_) {
                done(reached, page);
            }
        });
    };
    hooks.startHttp_ = [this, node](HttpCall call) {
        const std::function<void(int, const std::string &)> part = call.onPart_;
        const std::function<void(const HttpResult &)> done = call.onDone_;
        if (part) {
            call.onPart_ = [node, part](int status, const std::string &text) {
                if (node->alive_) {
                    part(status, text);
                }
            };
        }
        call.onDone_ = [node, done](const HttpResult &result) {
            if (node->alive_) {
                done(result);
            }
        };
        return endpoints_.start(std::move(call));
    };
    hooks.cancelHttp_ = [this](std::uint64_t call) { endpoints_.cancel(call); };
    hooks.requestPeer_ = [this, node](const std::string &address,
                                      const std::string &type,
                                      const nlohmann::json &body,
                                      const PeerLinks::Part &part,
                                      const PeerLinks::Done &done) {
        const auto alive = [node](const auto &action) {
            return [node, action](auto &&...arguments) {
                if (node->alive_) {
                    action(std::forward<decltype(arguments)>(arguments)...);
                }
            };
        };
        return requestPeer(address, type, body, alive(part), alive(done));
    };
    hooks.cancelPeer_ = [this](std::uint64_t id) { cancelPeer(id); };
    hooks.sendDatagram_ = [this, node](const std::string &address, const std::string &datagram) {
        for (const auto &[name, other] : nodes_) {
            if (node->alive_ && other->self_.udpAddress_ == address) {
                const std::shared_ptr<FleetNode> target = other;
                clock_.after(linkLatency, [target, datagram] {
                    if (target->alive_) {
                        target->core_->onDatagram(datagram);
                    }
                });
            }
        }
    };
    hooks.logEvent_ = [this, node](const std::string &event, const nlohmann::json &fields) {
        if (node->alive_) {
            record(node->name_ + " " + formatLogFields(event, fields));
        }
    };
    return hooks;
}

std::uint64_t Fleet::requestPeer(const std::string &address,
                                 const std::string &type,
                                 const nlohmann::json &body,
                                 const PeerLinks::Part &part,
                                 const PeerLinks::Done &done)
{
    const std::uint64_t id = nextExchange_++;
    std::shared_ptr<FleetNode> target;
    for (const auto &[name, node] : nodes_) {
        if (node->self_.peerAddress_ == address && node->alive_) {
            target = node;
        }
    }
    if (!target) {
        clock_.after(linkLatency, [done] { done(PeerOutcome::NotSent, nlohmann::json()); });
        return id;
    }
    const std::shared_ptr<PeerExchange> exchange = std::make_shared<PeerExchange>();
    exchange->target_ = target;
    exchange->part_ = part;
    exchange->done_ = done;
    exchanges_[id] = exchange;
    clock_.after(linkLatency, [this, id, target, type, body] {
        if (target->alive_ && exchanges_.count(id) != 0) {
            target->core_->onPeer(type, body, std::make_shared<MemoryPeerReply>(*this, id));
        }
    });
    return id;
}

void Fleet::cancelPeer(std::uint64_t id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    const std::shared_ptr<PeerExchange> exchange = found->second;
    exchanges_.erase(found);
    if (exchange->closed_ && exchange->target_->alive_) {
        clock_.after(linkLatency, exchange->closed_);
    }
}

void Fleet::kill(const std::string &name)
{
    const std::shared_ptr<FleetNode> node = nodes_.at(name);
    node->alive_ = false;
    record("kill " + name);
    std::vector<std::shared_ptr<PeerExchange>> broken;
    for (auto entry = exchanges_.begin(); entry != exchanges_.end();) {
        if (entry->second->target_ == node) {
            broken.push_back(entry->second);
            entry = exchanges_.erase(entry);
        } else {
            ++entry;
        }
    }
    for (const std::shared_ptr<PeerExchange> &exchange : broken) {
        clock_.after(linkLatency, [exchange] { exchange->done_(PeerOutcome::Broken, nlohmann::json()); });
    }
}

std::shared_ptr<RecordedReply>
Fleet::request(const std::string &node, const std::string &label, const HttpRequest &request)
{
    record("request " + label + " " + node + " " + request.method_ + " " + request.target_ + " " + request.body_);
    const std::shared_ptr<RecordedReply> reply =
        std::make_shared<RecordedReply>(label, [this](const std::string &line) { record(line); });
    nodes_.at(node)->core_->onHttp(request, reply);
    return reply;
}

void Fleet::record(const std::string &line)
{
    std::ostringstream time;
    time << std::fixed << std::setprecision(4) << std::setw(9) << toSeconds(clock_.now());
    text_ += time.str() + " " + line + "\n";
}

const std::string &Fleet::text() const
{
    return text_;
}

} // namespace filbertgw::testing
