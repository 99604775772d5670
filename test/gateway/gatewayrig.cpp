#include "gatewayrig.h"

#include "core/stablehash.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace filbertgw::test {

namespace {

class RigReply : public HttpReply
{
public:
    RigReply(std::shared_ptr<ClientResponse> answer, bench::EventQueue &queue)
        : answer_(std::move(answer))
        , queue_(queue)
    {
    }
    void setHeader(const std::string &name, const std::string &value) override
    {
        answer_->headers_[name] = value;
    }
    void send(int status, const std::string &, const std::string &body) override
    {
        answer_->status_ = status;
        answer_->body_ = body;
        finish();
    }
    void startStream(int status, const std::string &) override
    {
        answer_->status_ = status;
    }
    void write(const std::string &part) override
    {
        answer_->body_ += part;
    }
    void finish() override
    {
        EXPECT_FALSE(answer_->ended_) << "a response ended twice";
        answer_->ended_ = true;
        answer_->endedAt_ = queue_.now();
    }
    void abort() override
    {
        answer_->aborted_ = true;
        answer_->endedAt_ = queue_.now();
    }
    void onClosed(std::function<void()> closed) override
    {
        answer_->closed_ = std::move(closed);
    }

private:
    std::shared_ptr<ClientResponse> answer_;
    bench::EventQueue &queue_;
};

} // namespace

Route streamingRoute(bool retainsTurns, std::uint32_t maxAttempts, bool resumable)
{
    Route route;
    route.name_ = "turns";
    route.host_ = "h";
    route.pathPrefix_ = "/turns/";
    route.kind_ = RouteKind::Streaming;
    route.targets_ = {RouteTarget{"engines", 1.0}};
    route.timeout_ = std::chrono::seconds(3);
    route.retention_ = std::chrono::seconds(60);
    route.maxAttempts_ = maxAttempts;
    route.retainsTurns_ = retainsTurns;
    route.resumable_ = resumable;
    return route;
}

Route plainRoute(RouteKind kind, std::uint32_t maxAttempts)
{
    Route route;
    route.name_ = "plain";
    route.host_ = "h";
    route.pathPrefix_ = "/plain/";
    route.kind_ = kind;
    route.targets_ = {RouteTarget{"services", 1.0}};
    route.timeout_ = std::chrono::seconds(2);
    route.maxAttempts_ = maxAttempts;
    return route;
}

GatewayRequest turn(const std::string &id, const std::string &program, const std::string &session)
{
    GatewayRequest request;
    request.id_ = id;
    request.method_ = "POST";
    request.host_ = "h";
    request.target_ = "/turns/x";
    request.body_ = "input-" + id + ";";
    request.timeLeft_ = std::chrono::seconds(3);
    request.program_ = program;
    request.session_ = session;
    request.tokenBudget_ = 1000;
    request.maxOutputTokens_ = 300;
    return request;
}

GatewayRequest plainRequest(const std::string &id)
{
    GatewayRequest request;
    request.id_ = id;
    request.method_ = "POST";
    request.host_ = "h";
    request.target_ = "/plain/x";
    request.timeLeft_ = std::chrono::seconds(2);
    return request;
}

namespace {

/** Few partitions, so that several turns of a test share one. */
TurnStoreSettings fewPartitions()
{
    TurnStoreSettings settings;
    settings.replicas_.streams_ = 2;
    settings.replicas_.partitionsPerStream_ = 2;
    return settings;
}

} // namespace

GatewayRig::GatewayRig(std::size_t nodes, const std::vector<Route> &routes)
    : GatewayRig(nodes, routes, fewPartitions())
{
}

GatewayRig::GatewayRig(std::size_t nodes, const std::vector<Route> &routes, std::size_t ledgerPartitions)
    : GatewayRig(nodes, routes, fewPartitions(), ledgerPartitions)
{
}

GatewayRig::GatewayRig(std::size_t nodes,
                       const std::vector<Route> &routes,
                       TurnStoreSettings turns,
                       std::size_t ledgerPartitions)
    : store_(queue_)
    , routes_(routes)
    , turns_(turns)
    , ledgerPartitions_(ledgerPartitions)
{
    for (std::size_t i = 0; i < nodes; ++i) {
        nodes_.push_back(nullptr);
        alive_.push_back(nullptr);
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        restart(i);
    }
    run(std::chrono::seconds(2));
}

std::string GatewayRig::nameOfNode(std::size_t node) const
{
    return "node" + std::to_string(node);
}

namespace {

/** Handlers of an attempt that do nothing once its node has been killed. */
AttemptHandlers handlersWhileAlive(const AttemptHandlers &handlers, const std::shared_ptr<bool> &alive)
{
    AttemptHandlers guarded;
    guarded.onHead_ = [alive, onHead = handlers.onHead_](const AttemptHead &head) {
        if (*alive) {
            onHead(head);
        }
    };
    guarded.onPart_ = [alive, onPart = handlers.onPart_](const std::string &part) {
        if (*alive) {
            onPart(part);
        }
    };
    guarded.onEnd_ = [alive, onEnd = handlers.onEnd_](AttemptEnd ended) {
        if (*alive) {
            onEnd(ended);
        }
    };
    return guarded;
}

} // namespace

/** \brief Reply of a node to a request that another one has passed on; its parts arrive a network delay later. */
class GatewayRig::Forward : public HttpReply, public std::enable_shared_from_this<GatewayRig::Forward>
{
public:
    Forward(bench::EventQueue &queue, AttemptHandlers handlers)
        : queue_(queue)
        , handlers_(std::move(handlers))
    {
    }
    void setHeader(const std::string &name, const std::string &value) override
    {
        head_.headers_[name] = value;
    }
    void send(int status, const std::string &contentType, const std::string &body) override
    {
        startStream(status, contentType);
        write(body);
        finish();
    }
    void startStream(int status, const std::string &contentType) override
    {
        head_.status_ = status;
        head_.isMisdirected_ = status == 421;
        head_.headers_["content-type"] = contentType;
        head_.fromEndpoint_ = status / 100 == 2;
        deliver([head = head_](const AttemptHandlers &handlers) { handlers.onHead_(head); });
    }
    void write(const std::string &part) override
    {
        deliver([part](const AttemptHandlers &handlers) { handlers.onPart_(part); });
    }
    void finish() override
    {
        end(AttemptEnd::Complete);
    }
    void abort() override
    {
        end(AttemptEnd::Broken);
    }
    void onClosed(std::function<void()> closed) override
    {
        closed_ = std::move(closed);
    }
    void end(AttemptEnd ended)
    {
        deliver([ended](const AttemptHandlers &handlers) { handlers.onEnd_(ended); });
        hasEnded_ = true;
    }
    /** \brief The node that has passed the request on closes the connection. */
    void close()
    {
        hasEnded_ = true;
        const std::function<void()> closed = closed_;
        if (closed) {
            closed();
        }
    }
    bool hasEnded() const
    {
        return hasEnded_;
    }

private:
    void deliver(const std::function<void(const AttemptHandlers &)> &part)
    {
        if (!hasEnded_) {
            queue_.after(std::chrono::milliseconds(1), [self = shared_from_this(), part] { part(self->handlers_); });
        }
    }

    bench::EventQueue &queue_;
    AttemptHandlers handlers_;
    AttemptHead head_;
    std::function<void()> closed_;
    bool hasEnded_ = false;
};

namespace {

/** What another node decodes from a request that is passed on to it. */
GatewayRequest asReceivedByPeer(GatewayRequest request)
{
    if (request.hasAccounts_) {
        request.peerAccount_ = request.account_;
        request.apiKey_.clear();
    }
    request.account_.clear();
    request.scope_.clear();
    request.hasAccounts_ = false;
    return request;
}

} // namespace

std::uint64_t
GatewayRig::startForward(const std::string &from, const ForwardedRequest &forwarded, const AttemptHandlers &handlers)
{
    const std::shared_ptr<Forward> reply = std::make_shared<Forward>(queue_, handlers);
    forwards_.push_back(reply);
    const std::uint64_t number = firstForward + forwards_.size();
    if (onForward_) {
        onForward_(forwarded, handlers);
        return number;
    }
    const auto isReached = [this, from](const std::string &to) {
        return isolatedNodes_.count(from) == 0 && isolatedNodes_.count(to) == 0;
    };
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!nodes_[i] || nameOfNode(i) != forwarded.address_ || !isReached(nameOfNode(i))) {
            continue;
        }
        forwardedTo_[i].push_back(reply);
        GatewayRequest request = asReceivedByPeer(*forwarded.request_);
        request.timeLeft_ = forwarded.timeLeft_;
        request.isForwarded_ = true;
        request.isBudgetReserved_ = forwarded.isBudgetReserved_;
        queue_.after(std::chrono::milliseconds(1), [this, i, request, reply] {
            if (nodes_[i]) {
                nodes_[i]->onRequest(request, reply);
            } else {
                reply->end(AttemptEnd::NotSent);
            }
        });
        return number;
    }
    reply->end(AttemptEnd::NotSent);
    return number;
}

GatewayHooks GatewayRig::hooksOf(std::size_t node)
{
    const std::string name = nameOfNode(node);
    const std::shared_ptr<bool> alive = alive_[node];
    GatewayHooks hooks;
    hooks.now_ = [this] { return queue_.now(); };
    hooks.timeOfDay_ = hooks.now_;
    hooks.random_ = [this] { return random_(); };
    hooks.after_ = [this, node, alive](Duration delay, std::function<void()> task) {
        const auto runIfAlive = [alive, task = std::move(task)] {
            if (*alive) {
                task();
            }
        };
        queue_.after(delay, [this, node, runIfAlive] {
            const auto frozen = frozen_.find(node);
            if (frozen == frozen_.end()) {
                runIfAlive();
            } else {
                frozen->second.emplace_back(runIfAlive);
            }
        });
        return std::uint64_t{0};
    };
    hooks.cancelTimer_ = [](std::uint64_t) {};
    hooks.store_ = store_.access(name);
    hooks.store_.append_ = [this, name, alive, append = hooks.store_.append_](
                               const StoreAppend &request, const std::function<void(const StoreAppendResult &)> &done) {
        const auto send = [alive, append, request, done] {
            if (*alive) {
                append(request, [alive, done](const StoreAppendResult &result) {
                    if (*alive) {
                        done(result);
                    }
                });
            }
        };
        const auto delay = appendDelays_.find(name);
        if (delay == appendDelays_.end()) {
            send();
        } else {
            queue_.after(delay->second, send);
        }
    };
    hooks.startAttempt_ = [this, node, alive](const EndpointAttempt &attempt, const AttemptHandlers &handlers) {
        attempts_.push_back(ReceivedAttempt{attempts_.size() + 1, node, attempt, handlersWhileAlive(handlers, alive)});
        const std::size_t number = attempts_.size();
        if (onAttempt_) {
            onAttempt_(number - 1);
        }
        return number;
    };
    hooks.refreshRegistry_ = [this, node, alive](const std::function<void(bool)> &done) {
        const bool isCut = registryCuts_.count(node) != 0;
        if (!isCut && registryDelays_.count(node) == 0) {
            done(true); // The node learns of each change at once.
            return;
        }
        const Duration time = isCut ? std::chrono::milliseconds(250) : std::chrono::milliseconds(5);
        queue_.after(time, [this, node, alive, isCut, done] {
            if (!*alive) {
                return;
            }
            if (!isCut) {
                deliverChanges(node);
            }
            done(!isCut);
        });
    };
    hooks.applyConfiguration_ = [this, node](const std::string &text) { applyConfiguration(node, text); };
    hooks.refreshConfiguration_ = [this, node, alive](const std::function<void(bool)> &done) {
        if (!configurationReadTime_) {
            done(false);
            return;
        }
        queue_.after(*configurationReadTime_, [this, node, alive, done] {
            const auto frozen = frozen_.find(node);
            if (frozen != frozen_.end()) {
                frozen->second.emplace_back([done] { done(false); }); // The time for the read is over.
            } else if (*alive) {
                applyConfiguration(node, configurationText + std::to_string(version_));
                done(true);
            }
        });
    };
    hooks.askStart_ = [this, alive](const Endpoint &endpoint,
                                    const std::function<void(std::optional<std::uint64_t>)> &done) {
        if (!startOf_) {
            done(0);
            return;
        }
        queue_.after(std::chrono::milliseconds(1), [this, alive, id = endpoint.id_, done] {
            if (*alive) {
                done(startOf_(id));
            }
        });
    };
    hooks.probeEndpoint_ = [this, node, alive](const Endpoint &endpoint, const std::function<void(bool)> &done) {
        queue_.after(std::chrono::milliseconds(1), [this, node, alive, address = endpoint.address_, done] {
            if (*alive) {
                done(!isReachable_ || isReachable_(node, address));
            }
        });
    };
    hooks.cancelAttempt_ = [this](std::uint64_t attempt) {
        if (attempt > firstForward) {
            forwards_.at(attempt - firstForward - 1)->close();
        } else {
            ReceivedAttempt &received = attempts_.at(attempt - 1);
            received.cancelled_ = true;
            // As HttpClient does: the end of a cancelled call is reported, but not from within the call.
            queue_.after(Duration{0}, [onEnd = received.handlers_.onEnd_] { onEnd(AttemptEnd::Cancelled); });
        }
    };
    hooks.forward_ = [this, name, alive](const ForwardedRequest &forwarded, const AttemptHandlers &handlers) {
        return startForward(name, forwarded, handlersWhileAlive(handlers, alive));
    };
    const auto reaches = [this, name](const std::string &other) {
        return isolatedNodes_.count(name) == 0 && isolatedNodes_.count(other) == 0;
    };
    hooks.sendDatagram_ = [this, reaches](const std::string &address, const std::string &datagram) {
        if (lostDatagrams_ > 0.0 && std::uniform_real_distribution<double>()(random_) < lostDatagrams_) {
            return;
        }
        queue_.after(std::chrono::milliseconds(1), [this, reaches, address, datagram] {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i] && nameOfNode(i) == address && reaches(address)) {
                    nodes_[i]->onDatagram(datagram);
                }
            }
        });
    };
    hooks.askPeer_ = [this, alive, reaches](const std::string &address,
                                            const std::string &type,
                                            const nlohmann::json &body,
                                            Duration timeout,
                                            std::function<void(const std::optional<nlohmann::json> &)> answer) {
        ++peerRequests_[type];
        const auto answerIfAlive = [alive, answer](const std::optional<nlohmann::json> &json) {
            if (*alive) {
                answer(json);
            }
        };
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i] && nameOfNode(i) == address && reaches(address) && unresponsiveNodes_.count(address) == 0) {
                queue_.after(std::chrono::milliseconds(1), [this, i, type, body, answerIfAlive] {
                    if (nodes_[i]) {
                        nodes_[i]->onPeerRequest(type, body, answerIfAlive);
                    }
                });
                return;
            }
        }
        queue_.after(timeout, [answerIfAlive] { answerIfAlive(std::nullopt); });
    };
    hooks.logEvent_ = [this](const std::string &event, const nlohmann::json &fields) {
        if (keepsLog_) {
            log_.push_back(event + ' ' + fields.dump());
        }
    };
    hooks.count_ = [this](const std::string &count, const std::string &label) { ++counts_[count + '/' + label]; };
    hooks.observe_ = [](const std::string &, Duration) {};
    return hooks;
}

void GatewayRig::configure(std::size_t node)
{
    const std::string text = configurationText + std::to_string(version_);
    if (configurations_.count(text) == 0) {
        Service engines;
        engines.name_ = "engines";
        engines.engine_ = EngineProfile{4, 100, 100'000};
        Service services;
        services.name_ = "services";
        std::optional<AccountDirectory> accounts;
        if (accounts_) {
            accounts = AccountDirectory::build(*accounts_).value();
        }
        configurations_[text] = std::make_shared<const RoutingTable>(
            version_, routes_, std::vector<Service>{engines, services}, std::move(accounts));
    }
    if (configurationCuts_.count(node) == 0) {
        applyConfiguration(node, text);
    }
    nodes_[node]->setRegistryReachable(true);
    for (const Endpoint &endpoint : endpoints_) {
        nodes_[node]->updateEndpoint(endpoint);
    }
}

void GatewayRig::applyConfiguration(std::size_t node, const std::string &text)
{
    const auto known = configurations_.find(text);
    if (known != configurations_.end()) {
        nodes_[node]->setRouting(known->second, text);
    }
}

void GatewayRig::setAccounts(const std::vector<ClientAccount> &accounts)
{
    accounts_ = accounts;
    ++version_;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        if (nodes_[node]) {
            configure(node);
        }
    }
}

void GatewayRig::freeze(std::size_t node, bool frozen)
{
    if (frozen) {
        frozen_[node];
        return;
    }
    const auto tasks = frozen_.find(node);
    for (const std::function<void()> &task : tasks->second) {
        queue_.after(Duration{0}, task);
    }
    frozen_.erase(tasks);
}

void GatewayRig::publish(const std::function<void(Gateway &)> &change)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!nodes_[i] || registryCuts_.count(i) != 0) {
            continue;
        }
        const auto delay = registryDelays_.find(i);
        if (delay == registryDelays_.end()) {
            change(*nodes_[i]);
            continue;
        }
        unreadChanges_[i].push_back(change);
        queue_.after(delay->second, [this, i, alive = alive_[i]] {
            if (*alive && registryCuts_.count(i) == 0 && !unreadChanges_[i].empty()) {
                const std::function<void(Gateway &)> next = unreadChanges_[i].front();
                unreadChanges_[i].pop_front();
                next(*nodes_[i]);
            }
        });
    }
}

void GatewayRig::deliverChanges(std::size_t node)
{
    const std::deque<std::function<void(Gateway &)>> changes = std::exchange(unreadChanges_[node], {});
    for (const std::function<void(Gateway &)> &change : changes) {
        change(*nodes_[node]);
    }
}

void GatewayRig::cutRegistry(std::size_t node, bool cut)
{
    if (cut) {
        registryCuts_.insert(node);
        nodes_[node]->setRegistryReachable(false);
        return;
    }
    registryCuts_.erase(node);
    for (const std::string &id : removedEndpoints_) {
        nodes_[node]->removeEndpoint(id);
    }
    configure(node);
}

void GatewayRig::kill(std::size_t node)
{
    *alive_[node] = false;
    nodes_[node].reset();
    for (const std::shared_ptr<Forward> &reply : forwardedTo_[node]) {
        reply->end(AttemptEnd::Broken);
    }
    forwardedTo_.erase(node);
}

void GatewayRig::putSpending(const std::string &program, const std::string &writer, const SpendingRecord &record)
{
    const PartitionId partition{"ledger", static_cast<std::uint32_t>(stableHash(program) % ledgerPartitions_)};
    store_.put(partition, 'p' + program + '/' + writer, record.encode());
}

void GatewayRig::restart(std::size_t node)
{
    alive_[node] = std::make_shared<bool>(true);
    GatewaySettings settings;
    const std::string name = nameOfNode(node);
    settings.ledger_.writer_ = name + '.' + std::to_string(++starts_);
    settings.ledgerPartitions_ = ledgerPartitions_;
    settings.turns_ = turns_;
    settings.fleet_.self_ = FleetMember{name, name, name, "domain" + std::to_string(node % 3)};
    nodes_[node] = std::make_unique<Gateway>(hooksOf(node), settings);
    nodes_[node]->start();
    if (registryCuts_.count(node) == 0) {
        configure(node);
    }
}

void GatewayRig::addEndpoints(const std::string &service, const std::string &prefix, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        Endpoint endpoint;
        endpoint.id_ = prefix + std::to_string(i);
        endpoint.service_ = service;
        endpoint.address_ = endpoint.id_;
        endpoint.slots_ = 4;
        endpoints_.push_back(endpoint);
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        if (nodes_[node]) {
            configure(node);
        }
    }
}

void GatewayRig::setEndpoint(const Endpoint &endpoint)
{
    const auto sameId = [&endpoint](const Endpoint &other) { return other.id_ == endpoint.id_; };
    endpoints_.erase(std::remove_if(endpoints_.begin(), endpoints_.end(), sameId), endpoints_.end());
    endpoints_.push_back(endpoint);
    removedEndpoints_.erase(endpoint.id_);
    publish([endpoint, writtenAfter = queue_.now()](Gateway &node) { node.updateEndpoint(endpoint, writtenAfter); });
}

void GatewayRig::removeEndpoint(const std::string &id)
{
    const auto hasId = [&id](const Endpoint &endpoint) { return endpoint.id_ == id; };
    endpoints_.erase(std::remove_if(endpoints_.begin(), endpoints_.end(), hasId), endpoints_.end());
    removedEndpoints_.insert(id);
    publish([id](Gateway &node) { node.removeEndpoint(id); });
}

std::shared_ptr<ClientResponse> GatewayRig::send(std::size_t node, GatewayRequest request)
{
    const std::shared_ptr<ClientResponse> answer = std::make_shared<ClientResponse>();
    nodes_.at(node)->onRequest(std::move(request), std::make_shared<RigReply>(answer, queue_));
    return answer;
}

void GatewayRig::run(Duration time)
{
    queue_.runUntil(queue_.now() + time);
}

void GatewayRig::stream(std::size_t attempt, const std::vector<std::string> &data, bool ends, std::uint64_t firstId)
{
    const AttemptHandlers handlers = attempts_.at(attempt).handlers_;
    AttemptHead head;
    head.status_ = 200;
    head.fromEndpoint_ = true;
    head.headers_["content-type"] = "text/event-stream";
    handlers.onHead_(head);
    for (const std::string &text : data) {
        handlers.onPart_("id: " + std::to_string(firstId++) + "\ndata: " + text + "\n\n");
    }
    if (ends) {
        handlers.onEnd_(AttemptEnd::Complete);
    }
}

void GatewayRig::answer(std::size_t attempt, int status, const std::string &body)
{
    const AttemptHandlers handlers = attempts_.at(attempt).handlers_;
    AttemptHead head;
    head.status_ = status;
    head.fromEndpoint_ = true;
    handlers.onHead_(head);
    handlers.onPart_(body);
    handlers.onEnd_(AttemptEnd::Complete);
}

void GatewayRig::refuse(std::size_t attempt)
{
    const AttemptHandlers handlers = attempts_.at(attempt).handlers_;
    AttemptHead head;
    head.status_ = 503;
    head.notRun_ = true;
    handlers.onHead_(head);
    handlers.onEnd_(AttemptEnd::Complete);
}

void GatewayRig::end(std::size_t attempt, AttemptEnd ended)
{
    const AttemptHandlers handlers = attempts_.at(attempt).handlers_;
    handlers.onEnd_(ended);
}

} // namespace filbertgw::test
