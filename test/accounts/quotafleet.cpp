#include "quotafleet.h"

#include "core/stablehash.h"

#include <algorithm>

namespace filbertgw::test {

namespace {

constexpr Duration networkDelay{1'000};
constexpr Duration reportPeriod{100'000};
constexpr Duration livenessTimeout{1'000'000};
/** Time from the start of a node until it has read the list of nodes and seen all. */
constexpr Duration discoveryTime{400'000};
/** Time from a permit to the sending of the request. */
constexpr Duration placementTime{2'000};
/** Time from a turn to the next one of a program. */
constexpr Duration turnTime{300'000};

} // namespace

struct QuotaFleet::Node
{
    std::string name_;
    std::unique_ptr<QuotaController> controller_; ///< Null while the node is dead.
    std::vector<std::function<void()>> postponed_; ///< While the node is frozen.
    std::map<int, Time> cutAt_; ///< When the node lost the nodes of another group.
    std::uint64_t starts_ = 0;
    int group_ = 0;
    Time startedAt_{0};
    Time stoppedAt_{0}; ///< When it was killed or frozen.
    Time resumedAt_{0};
    bool frozen_ = false;
    bool silent_ = false;
    Duration slowness_{0};

    bool isRunning() const
    {
        return controller_ && !frozen_;
    }
};

std::size_t QuotaOutcome::mostWithin(Duration window) const
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < runs_.size(); ++last) {
        while (runs_[last] - runs_[first] > window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

std::size_t QuotaOutcome::runsBetween(Time from, Time to) const
{
    return static_cast<std::size_t>(
        std::count_if(runs_.begin(), runs_.end(), [from, to](Time run) { return run >= from && run < to; }));
}

QuotaFleet::QuotaFleet(std::size_t nodes, std::uint64_t seed)
    : random_(seed)
{
    for (std::size_t i = 0; i < nodes; ++i) {
        add();
    }
    run(std::chrono::seconds(1));
}

QuotaFleet::~QuotaFleet() = default;

void QuotaFleet::add()
{
    nodes_.push_back(std::make_unique<Node>());
    nodes_.back()->name_ = "node" + std::to_string(nodes_.size() - 1);
    start(nodes_.size() - 1);
}

std::size_t QuotaFleet::size() const
{
    return nodes_.size();
}

void QuotaFleet::start(std::size_t node)
{
    Node &started = *nodes_[node];
    started.controller_ = makeController(node);
    started.startedAt_ = queue_.now();
    started.frozen_ = false;
    started.silent_ = false;
    tick(node, ++started.starts_);
}

void QuotaFleet::kill(std::size_t node, bool silently)
{
    Node &killed = *nodes_[node];
    killed.controller_.reset();
    killed.postponed_.clear();
    killed.stoppedAt_ = queue_.now();
    killed.silent_ = silently;
    ++killed.starts_;
}

void QuotaFleet::freeze(std::size_t node)
{
    nodes_[node]->frozen_ = true;
    nodes_[node]->stoppedAt_ = queue_.now();
}

void QuotaFleet::resume(std::size_t node)
{
    Node &resumed = *nodes_[node];
    resumed.frozen_ = false;
    resumed.resumedAt_ = queue_.now();
    for (const std::function<void()> &action : std::exchange(resumed.postponed_, {})) {
        action();
    }
}

void QuotaFleet::setSlow(std::size_t node, Duration delay)
{
    nodes_[node]->slowness_ = delay;
}

void QuotaFleet::setGroup(std::size_t node, int group)
{
    for (const std::unique_ptr<Node> &other : nodes_) {
        if (other->group_ == nodes_[node]->group_) {
            other->cutAt_[group] = queue_.now();
            nodes_[node]->cutAt_[other->group_] = queue_.now();
        }
    }
    nodes_[node]->group_ = group;
}

bool QuotaFleet::reaches(std::size_t from, std::size_t to) const
{
    return nodes_[from]->group_ == nodes_[to]->group_;
}

Time QuotaFleet::lastSeenAt(std::size_t at, std::size_t of) const
{
    const Node &receiver = *nodes_[at];
    const Node &sender = *nodes_[of];
    Time last = queue_.now() - queue_.now() % reportPeriod;
    if (!sender.isRunning()) {
        last = std::min(last, sender.stoppedAt_);
    }
    if (!reaches(at, of)) {
        const auto cut = receiver.cutAt_.find(sender.group_);
        last = std::min(last, cut == receiver.cutAt_.end() ? Time{0} : cut->second);
    }
    if (receiver.resumedAt_ > Time{0} && queue_.now() - receiver.resumedAt_ < reportPeriod) {
        last = std::min(last, receiver.stoppedAt_);
    }
    return last;
}

std::vector<QuotaNode> QuotaFleet::view(std::size_t node, Duration window) const
{
    std::vector<QuotaNode> nodes;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (i == node || nodes_[i]->starts_ == 0) {
            continue;
        }
        const Time seen = lastSeenAt(node, i);
        // A node knows others only from reports since its own start.
        if (seen >= nodes_[node]->startedAt_ && queue_.now() - seen <= window) {
            nodes.push_back(
                QuotaNode{nodes_[i]->name_, std::to_string(i), seen, queue_.now() - seen <= livenessTimeout});
        }
    }
    return nodes;
}

/** Runs an action of a node, unless it is dead; once it is resumed if it is frozen. */
void QuotaFleet::atNode(std::size_t node, std::function<void()> action)
{
    if (!nodes_[node]->controller_) {
        return;
    }
    if (nodes_[node]->frozen_) {
        nodes_[node]->postponed_.push_back(std::move(action));
        return;
    }
    action();
}

std::unique_ptr<QuotaController> QuotaFleet::makeController(std::size_t node)
{
    QuotaControllerHooks hooks;
    hooks.now_ = [this] { return queue_.now(); };
    hooks.self_ = nodes_[node]->name_;
    hooks.nodes_ = [this, node](Duration window) { return view(node, window); };
    hooks.hasQuotas_ = [] { return true; };
    hooks.isDiscoveryComplete_ = [this, node] { return queue_.now() - nodes_[node]->startedAt_ >= discoveryTime; };
    hooks.limitOf_ = [this](const std::string &name) -> std::optional<QuotaLimit> {
        for (const Account &account : accounts_) {
            if (account.load_.account_ == name) {
                return account.load_.limit_;
            }
        }
        return std::nullopt;
    };
    hooks.askPeer_ = [this, node](const std::string &address,
                                  const std::string &type,
                                  const nlohmann::json &body,
                                  Duration timeout,
                                  std::function<void(const std::optional<nlohmann::json> &)> answer) {
        const std::size_t to = std::stoul(address);
        ++messages_;
        messageBytes_ += type.size() + body.dump().size();
        const std::uint64_t starts = nodes_[node]->starts_;
        const std::shared_ptr<bool> isDone = std::make_shared<bool>(false);
        const auto finish = [this, node, starts, isDone, answer](const std::optional<nlohmann::json> &result) {
            atNode(node, [this, node, starts, isDone, answer, result] {
                if (nodes_[node]->starts_ == starts && !std::exchange(*isDone, true)) {
                    answer(result);
                }
            });
        };
        const bool isRefused = !nodes_[to]->controller_ && !nodes_[to]->silent_ && reaches(node, to);
        queue_.after(isRefused ? networkDelay * 2 : timeout, [finish] { finish(std::nullopt); });
        if (!reaches(node, to)) {
            return;
        }
        const Duration slowness = nodes_[to]->slowness_;
        const Duration delay(slowness > Duration{0} ? static_cast<std::int64_t>(random_() % slowness.count()) : 0);
        queue_.after(networkDelay + delay, [this, to, type, body, finish] {
            atNode(to, [this, to, type, body, finish] {
                nodes_[to]->controller_->onPeerRequest(type, body, [this, finish](const nlohmann::json &result) {
                    messageBytes_ += result.dump().size();
                    queue_.after(networkDelay, [finish, result] { finish(result); });
                });
            });
        });
    };
    hooks.probe_ = [this, node](const QuotaNode &other, const std::function<void(NodeProbe)> &done) {
        const std::size_t to = std::stoul(other.address_);
        const bool isSilent = !reaches(node, to) || nodes_[to]->silent_;
        const NodeProbe result =
            isSilent ? NodeProbe::Silent : (nodes_[to]->controller_ ? NodeProbe::Accepted : NodeProbe::Refused);
        const Duration time = isSilent ? Duration{250'000} : networkDelay * 2;
        const std::uint64_t starts = nodes_[node]->starts_;
        queue_.after(time, [this, node, starts, done, result] {
            atNode(node, [this, node, starts, done, result] {
                if (nodes_[node]->starts_ == starts) {
                    done(result);
                }
            });
        });
    };
    hooks.logEvent_ = [](const std::string &, const nlohmann::json &) {};
    hooks.count_ = [](const std::string &, const std::string &) {};
    return std::make_unique<QuotaController>(std::move(hooks), QuotaSettings());
}

void QuotaFleet::tick(std::size_t node, std::uint64_t starts)
{
    if (nodes_[node]->starts_ != starts) {
        return;
    }
    atNode(node, [this, node, starts] {
        if (nodes_[node]->starts_ == starts) {
            nodes_[node]->controller_->tick();
            queue_.after(reportPeriod, [this, node, starts] { tick(node, starts); });
        }
    });
}

std::size_t QuotaFleet::nodeOfRank(const std::string &account, std::size_t rank) const
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        ranked.emplace_back(stableHash(stableHash(nodes_[i]->name_), stableHash(account)), i);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    return ranked.at(rank).second;
}

void QuotaFleet::addLoad(const QuotaLoad &load)
{
    accounts_.push_back(Account{load, QuotaOutcome(), 0, QuotaBucket(load.limit_.burst_, queue_.now())});
    setLoad(load.account_, load.programsPerSecond_);
}

void QuotaFleet::setLoad(const std::string &name, double programsPerSecond)
{
    for (Account &account : accounts_) {
        if (account.load_.account_ == name) {
            account.load_.programsPerSecond_ = programsPerSecond;
            const std::uint64_t arrivals = ++account.arrivals_;
            queue_.after(fromSeconds(std::exponential_distribution<double>(programsPerSecond)(random_)),
                         [this, &account, arrivals] { arrive(account, arrivals); });
        }
    }
}

void QuotaFleet::endLoads()
{
    for (Account &account : accounts_) {
        ++account.arrivals_;
    }
}

void QuotaFleet::setLimit(const std::string &name, const QuotaLimit &limit)
{
    for (Account &account : accounts_) {
        if (account.load_.account_ == name) {
            account.load_.limit_ = limit;
        }
    }
}

const QuotaOutcome &QuotaFleet::outcome(const std::string &name) const
{
    return std::find_if(accounts_.begin(),
                        accounts_.end(),
                        [&name](const Account &account) { return account.load_.account_ == name; })
        ->outcome_;
}

void QuotaFleet::run(Duration time)
{
    queue_.runUntil(queue_.now() + time);
}

void QuotaFleet::arrive(Account &account, std::uint64_t arrivals)
{
    if (account.arrivals_ != arrivals) {
        return;
    }
    const std::shared_ptr<Request> request = std::make_shared<Request>();
    request->account_ = &account;
    send(request);
    queue_.after(fromSeconds(std::exponential_distribution<double>(account.load_.programsPerSecond_)(random_)),
                 [this, &account, arrivals] { arrive(account, arrivals); });
}

std::size_t QuotaFleet::liveNode()
{
    std::size_t node = random_() % nodes_.size();
    for (std::size_t tries = 0; tries < nodes_.size() && !nodes_[node]->controller_; ++tries) {
        node = (node + 1) % nodes_.size();
    }
    return node;
}

void QuotaFleet::send(const std::shared_ptr<Request> &request)
{
    const std::size_t node = liveNode();
    ++request->tries_;
    atNode(node, [this, node, request] {
        const QuotaLoad &load = request->account_->load_;
        const bool isFirst = request->number_ == 0 && load.requestsPerProgram_ > 1;
        nodes_[node]->controller_->acquire(
            load.account_,
            load.limit_,
            isFirst ? QuotaKind::FirstTurn : QuotaKind::Other,
            [this, node, request](const QuotaDecision &decision) { decided(node, request, decision); });
    });
}

void QuotaFleet::decided(std::size_t node, const std::shared_ptr<Request> &request, const QuotaDecision &decision)
{
    if (!decision.isGranted_) {
        Account &account = *request->account_;
        account.unused_.refill(account.load_.limit_.requestsPerSecond_, account.load_.limit_.burst_, queue_.now());
        account.outcome_.lost_ += account.unused_.level() >= 1.0 ? 1 : 0;
        if (request->tries_ < request->account_->load_.maxTries_) {
            queue_.after(decision.retryAfter_, [this, request] { send(request); });
        } else {
            ended(request, false);
        }
        return;
    }
    queue_.after(placementTime, [this, node, request, decision] {
        atNode(node, [this, node, request, decision] {
            if (decision.deadline_ > queue_.now()) {
                const QuotaLimit &limit = request->account_->load_.limit_;
                request->account_->unused_.refill(limit.requestsPerSecond_, limit.burst_, queue_.now());
                request->account_->unused_.putBack(-1.0, limit.burst_);
                request->account_->outcome_.runs_.push_back(queue_.now());
                ended(request, true);
                return;
            }
            const QuotaLoad &load = request->account_->load_;
            nodes_[node]->controller_->putBack(load.account_, load.limit_, decision.deadline_);
            nodes_[node]->controller_->acquire(
                load.account_, load.limit_, QuotaKind::Other, [this, node, request](const QuotaDecision &again) {
                    decided(node, request, again);
                });
        });
    });
}

void QuotaFleet::ended(const std::shared_ptr<Request> &request, bool hasRun)
{
    Account &account = *request->account_;
    if (!hasRun) {
        ++account.outcome_.refused_;
        ++account.outcome_.programs_;
        return;
    }
    request->tries_ = 0;
    if (++request->number_ < account.load_.requestsPerProgram_) {
        queue_.after(turnTime, [this, request] { send(request); });
        return;
    }
    ++account.outcome_.programs_;
    ++account.outcome_.finished_;
}

} // namespace filbertgw::test
