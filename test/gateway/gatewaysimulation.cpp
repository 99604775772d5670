#include "gatewaysimulation.h"

#include "core/stablehash.h"

#include <algorithm>
#include <cmath>

namespace filbertgw::test {

namespace {

constexpr std::uint64_t chunkTokens = 2'048;
constexpr std::uint64_t tokensPerEvent = 3;
constexpr Duration expiryPeriod{100'000};
/** One-way delay between two nodes. */
constexpr Duration datagramDelay{1'000};
/** Time for the nodes to exchange reports before the first program arrives. */
constexpr Duration warmUpTime{1'500'000};
constexpr Duration retryDelay{300'000};
constexpr int maxClientTries = 4;
constexpr Duration maxDrainTime{60'000'000};

Duration milliseconds(double ms)
{
    return Duration(static_cast<std::int64_t>(ms * 1000.0));
}

std::uint64_t tokensOf(const std::vector<PromptPart> &prompt)
{
    std::uint64_t tokens = 0;
    for (const PromptPart &part : prompt) {
        tokens += part.tokens_;
    }
    return tokens;
}

} // namespace

struct GatewaySimulation::Program
{
    std::string id_;
    std::size_t client_ = 0;
    std::size_t account_ = 0; ///< Rank.
    std::string sharedPart_;
    int turns_ = 1;
    int finishedTurns_ = 0;
    int tries_ = 0;
    std::uint64_t contextTokens_ = 0; ///< Prompt tokens of the turns so far, without the shared part.
    Time arrived_{0};
    Duration timeAllowed_{0};
    bool onTime_ = false;
    bool refused_ = false;
};

struct GatewaySimulation::Turn
{
    std::shared_ptr<Program> program_;
    Node *node_ = nullptr;
    std::string endpoint_;
    DispatchState start_;
    Time sentAt_{0};
    Time lastSampleAt_{0};
    std::vector<PromptPart> prompt_;
    bool cacheChecked_ = false; ///< The engine has looked up the prompt in its cache.
    std::uint64_t prefillLeft_ = 0; ///< Prompt tokens still to be prefilled.
    std::uint64_t generated_ = 0;
};

struct GatewaySimulation::Node
{
    Node(const GatewaySimulation &simulation, std::mt19937_64 &random)
        : placement_(
            [&simulation] { return simulation.queue_.now(); }, [&random] { return random(); }, PlacementSettings())
        , pace_([&simulation] { return simulation.queue_.now(); }, PaceSettings())
        , admission_(AdmissionSettings())
        , accounts_([&simulation] { return simulation.queue_.now(); }, AccountAdmissionSettings())
    {
    }

    std::string name_;
    Placement placement_;
    PaceTracker pace_;
    Admission admission_;
    AccountAdmission accounts_;
    std::unique_ptr<Fleet> fleet_;
};

struct GatewaySimulation::Engine
{
    std::deque<std::unique_ptr<Turn>> waiting_; ///< Waiting for prefill or for a slot.
    std::vector<std::unique_ptr<Turn>> running_;
    std::unordered_map<std::string, std::pair<Time, std::uint64_t>> cache_; ///< Time of last use and tokens, by part.
    std::uint64_t cachedTokens_ = 0;
    std::size_t number_ = 0;
    bool isStepping_ = false;
};

GatewaySimulation::GatewaySimulation(SimulationSettings settings)
    : settings_(settings)
    , random_(settings.seed_)
    , store_(queue_)
{
    service_.name_ = "engines";
    service_.engine_ = EngineProfile{settings.slots_, tokensPerEvent, settings.cacheTokens_};
    for (std::size_t i = 0; i < settings.engines_; ++i) {
        Endpoint endpoint;
        endpoint.id_ = std::to_string(i);
        endpoint.service_ = service_.name_;
        endpoint.slots_ = settings.slots_;
        endpoints_.push_back(endpoint);
        engines_.push_back(std::make_unique<Engine>());
        engines_.back()->number_ = i;
    }
    for (const Endpoint &endpoint : endpoints_) {
        candidates_.push_back(&endpoint);
    }
    for (std::size_t i = 0; i < settings.nodes_; ++i) {
        nodes_.push_back(std::make_unique<Node>(*this, random_));
        nodes_.back()->name_ = "node" + std::to_string(i);
        byName_[nodes_.back()->name_] = nodes_.back().get();
    }
    for (std::size_t i = 0; i < settings.nodes_; ++i) {
        startFleet(*nodes_[i], i);
    }
    expirePeerLoads();
    queue_.runUntil(Time(warmUpTime));
}

/** Connects a node to the others with the hooks that the gateway sets. */
void GatewaySimulation::startFleet(Node &node, std::size_t number)
{
    FleetHooks hooks;
    hooks.now_ = [this] { return queue_.now(); };
    hooks.after_ = [this](Duration delay, std::function<void()> task) {
        queue_.after(delay, std::move(task));
        return std::uint64_t{0};
    };
    hooks.store_ = store_.access(node.name_);
    hooks.sendDatagram_ = [this](const std::string &address, const std::string &datagram) {
        queue_.after(datagramDelay, [this, address, datagram] { byName_.at(address)->fleet_->onDatagram(datagram); });
    };
    hooks.report_ = [this, &node] {
        NodeReport report;
        report.ledger_ = LedgerState{true, true};
        report.load_ = node.placement_.localLoad();
        report.cachedParts_ = node.placement_.takeCachedParts();
        report.paces_ = node.pace_.localPaces();
        if (settings_.accounts_ > 0) {
            report.accounts_ = node.accounts_.localLoad();
        }
        return report;
    };
    hooks.ledgerComplete_ = [] { return true; };
    hooks.onReport_ = [&node](const std::string &source, const NodeReport &report) {
        node.placement_.setPeerLoad(source, report.load_, report.nodes_);
        node.pace_.setPeerPaces(source, report.paces_);
        if (report.accounts_) {
            node.accounts_.setPeerLoad(source, *report.accounts_);
        }
        for (const CachedPart &part : report.cachedParts_) {
            node.placement_.addCachedPart(part);
        }
    };
    hooks.onLivenessChanged_ = [](const std::string &, bool) {};
    FleetSettings settings;
    const std::string domain = settings_.isGrouped_ ? "domain" + std::to_string(number % settings_.domains_) : "";
    settings.self_ = FleetMember{node.name_, node.name_, node.name_, domain};
    node.fleet_ = std::make_unique<Fleet>(std::move(hooks), std::move(settings));
    const Duration delay(static_cast<std::int64_t>(uniform() * static_cast<double>(expiryPeriod.count())));
    queue_.after(delay, [&node] { node.fleet_->start(); });
}

void GatewaySimulation::expirePeerLoads()
{
    for (const std::unique_ptr<Node> &node : nodes_) {
        node->placement_.expirePeers();
    }
    updateAccounts();
    queue_.after(expiryPeriod, [this] { expirePeerLoads(); });
}

void GatewaySimulation::updateAccounts()
{
    if (settings_.accounts_ == 0) {
        return;
    }
    for (const std::unique_ptr<Node> &node : nodes_) {
        const ServiceLoad load = loadOf(*node);
        node->accounts_.update(service_.name_, [&node, &load](std::uint32_t priority) {
            return node->admission_.refusedShare(load, priority);
        });
    }
}

double GatewaySimulation::rateShareOf(std::size_t account) const
{
    constexpr double exponent = 1.2;
    double sum = 0.0;
    for (std::size_t rank = 1; rank <= settings_.accounts_; ++rank) {
        sum += std::pow(static_cast<double>(rank), -exponent);
    }
    const bool isBurst = queue_.now() >= settings_.burstStart_ && queue_.now() < settings_.burstEnd_;
    const auto hot = settings_.hotAccounts_.find(account);
    const double factor = isBurst && hot != settings_.hotAccounts_.end() ? hot->second : 1.0;
    return factor * std::pow(static_cast<double>(account + 1), -exponent) / sum;
}

std::size_t GatewaySimulation::drawAccount()
{
    std::vector<double> shares;
    for (std::size_t account = 0; account < settings_.accounts_; ++account) {
        shares.push_back(rateShareOf(account));
    }
    return std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_);
}

GatewaySimulation::~GatewaySimulation() = default;

double GatewaySimulation::uniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

void GatewaySimulation::run(Time until)
{
    arrivalsEnd_ = until;
    queue_.after(Duration{1}, [this] { arrive(); });
    queue_.runUntil(until);
    // Afterwards only reports are exchanged.
    const Time last = until + maxDrainTime;
    while (openPrograms_ > 0 && queue_.now() < last) {
        queue_.runUntil(queue_.now() + expiryPeriod);
    }
}

void GatewaySimulation::arrive()
{
    if (queue_.now() >= arrivalsEnd_) {
        return;
    }
    const std::shared_ptr<Program> program = std::make_shared<Program>();
    program->id_ = "p" + std::to_string(programs_.size());
    program->turns_ = 1 + static_cast<int>(uniform() * 2.0 * (settings_.meanTurns_ - 1.0) + 0.5);
    program->arrived_ = queue_.now();
    program->client_ = settings_.clients_ > 0 ? random_() % settings_.clients_ : 0;
    if (settings_.sharedParts_ > 0) {
        program->sharedPart_ = "shared" + std::to_string(random_() % settings_.sharedParts_);
    }
    const double turnMs = static_cast<double>(settings_.newTokensPerTurn_) * settings_.timings_.prefillTokenMs_
        + static_cast<double>(settings_.outputTokens_) * settings_.timings_.stepMs(0.0);
    program->timeAllowed_ =
        milliseconds(settings_.deadlineFactor_ * program->turns_ * (turnMs + toSeconds(settings_.pause_) * 1e3));
    double hotLoad = 1.0;
    if (settings_.accounts_ > 0) {
        program->account_ = drawAccount();
        hotLoad = 0.0;
        for (std::size_t account = 0; account < settings_.accounts_; ++account) {
            hotLoad += rateShareOf(account);
        }
    }
    programs_.push_back(program);
    ++openPrograms_;
    beginTurn(program);
    const bool isBurst = queue_.now() >= settings_.burstStart_ && queue_.now() < settings_.burstEnd_;
    const double rate = settings_.programsPerSecond_ * hotLoad * (isBurst ? settings_.burstFactor_ : 1.0);
    queue_.after(fromSeconds(std::exponential_distribution<double>(rate)(random_)), [this] { arrive(); });
}

void GatewaySimulation::beginTurn(const std::shared_ptr<Program> &program)
{
    const std::size_t number = settings_.clients_ > 0 ? stableHash(std::to_string(program->client_)) : random_();
    Node &node = *nodes_[number % nodes_.size()];
    if (admit(node, *program)) {
        place(node, program);
        return;
    }
    if (++program->tries_ >= maxClientTries) {
        program->refused_ = true;
        --openPrograms_;
        return;
    }
    queue_.after(retryDelay, [this, program] { beginTurn(program); });
}

ServiceLoad GatewaySimulation::loadOf(const Node &node) const
{
    ServiceLoad load;
    load.slowdown_ = node.placement_.engines().slowdown(service_.name_, runningPerEngine(node));
    load.requestsPerSlot_ = runningPerEngine(node) / settings_.slots_;
    load.slotsPerEndpoint_ = settings_.slots_;
    load.allowedSlowdown_ = node.pace_.allowedSlowdown(service_.name_);
    return load;
}

std::uint32_t GatewaySimulation::priorityOf(const Program &program) const
{
    const auto found = settings_.priorities_.find(program.account_);
    return found != settings_.priorities_.end() ? found->second : 1;
}

bool GatewaySimulation::mayStart(const Node &node, const Program &program, const ServiceLoad &load) const
{
    const auto refusedShare = [&node, &load](std::uint32_t priority) {
        return node.admission_.refusedShare(load, priority);
    };
    const std::uint32_t priority = priorityOf(program);
    const bool isByAccount = settings_.accounts_ > 0 && settings_.isFair_;
    const double refused = isByAccount
        ? node.accounts_.refusalProbability(service_.name_, std::to_string(program.account_), priority, refusedShare)
        : refusedShare(priority);
    return Admission::drawOf(program.id_) >= refused;
}

bool GatewaySimulation::admit(Node &node, Program &program)
{
    const ServiceLoad load = loadOf(node);
    const Duration finishIn = program.arrived_ + program.timeAllowed_ - queue_.now();
    if (program.finishedTurns_ > 0) {
        node.pace_.turnStarted(service_.name_, program.id_, finishIn, load.slowdown_);
        return true;
    }
    if (settings_.hasAdmission_ && !mayStart(node, program, load)) {
        return false;
    }
    node.pace_.programStarted(program.id_, finishIn);
    return true;
}

double GatewaySimulation::runningPerEngine(const Node &node) const
{
    double running = 0.0;
    for (const Endpoint &endpoint : endpoints_) {
        running += node.placement_.running(endpoint.id_);
    }
    return running / static_cast<double>(endpoints_.size());
}

void GatewaySimulation::place(Node &node, const std::shared_ptr<Program> &program)
{
    program->contextTokens_ += settings_.newTokensPerTurn_;
    GatewayRequest request;
    if (!program->sharedPart_.empty()) {
        request.prompt_.push_back(PromptPart{program->sharedPart_, settings_.sharedTokens_});
    }
    request.prompt_.push_back(PromptPart{program->id_, program->contextTokens_});
    request.expectedOutputTokens_ = settings_.outputTokens_;
    const Endpoint *endpoint = node.placement_.choose(candidates_, &service_, request, {});
    std::unique_ptr<Turn> turn = std::make_unique<Turn>();
    turn->program_ = program;
    turn->node_ = &node;
    turn->endpoint_ = endpoint->id_;
    turn->start_ = node.placement_.started(*endpoint, request);
    turn->sentAt_ = queue_.now();
    if (settings_.accounts_ > 0) {
        node.accounts_.started(service_.name_, std::to_string(program->account_), priorityOf(*program));
    }
    Engine &engine = *engines_[std::stoul(endpoint->id_)];
    turn->prompt_ = request.prompt_;
    engine.waiting_.push_back(std::move(turn));
    if (!engine.isStepping_) {
        engine.isStepping_ = true;
        step(engine);
    }
}

/** Cached tokens of a prompt, up to the first part that is not cached. */
std::uint64_t GatewaySimulation::cachedTokens(const Engine &engine, const std::vector<PromptPart> &prompt) const
{
    std::uint64_t tokens = 0;
    for (const PromptPart &part : prompt) {
        const auto cached = engine.cache_.find(part.id_);
        if (cached == engine.cache_.end()) {
            break;
        }
        tokens += std::min(part.tokens_, cached->second.second);
    }
    return tokens;
}

void GatewaySimulation::addToCache(Engine &engine, const PromptPart &part)
{
    std::pair<Time, std::uint64_t> &cached = engine.cache_[part.id_];
    engine.cachedTokens_ += part.tokens_ - std::min(part.tokens_, cached.second);
    cached = {queue_.now(), std::max(part.tokens_, cached.second)};
}

double GatewaySimulation::slownessOf(const Engine &engine) const
{
    const double common =
        queue_.now() >= settings_.slowFrom_ && queue_.now() < settings_.slowTo_ ? settings_.slowFactor_ : 1.0;
    const bool isSlow = settings_.slowEngineInterval_ > 0 && engine.number_ % settings_.slowEngineInterval_ == 0;
    return common * (isSlow ? settings_.slowness_ : 1.0);
}

/** Prefills a chunk of the first waiting prompt. */
Duration GatewaySimulation::prefillChunk(Engine &engine)
{
    if (engine.waiting_.empty() || engine.running_.size() >= settings_.slots_) {
        return Duration{0};
    }
    Turn &turn = *engine.waiting_.front();
    if (!turn.cacheChecked_) {
        turn.cacheChecked_ = true;
        const std::uint64_t cached = cachedTokens(engine, turn.prompt_);
        turn.prefillLeft_ = tokensOf(turn.prompt_) - cached;
        sharedPartPrefills_ += settings_.sharedTokens_ > cached ? 1 : 0;
    }
    const std::uint64_t prefilled = std::min(turn.prefillLeft_, chunkTokens);
    turn.prefillLeft_ -= prefilled;
    prefilledTokens_ += prefilled;
    if (turn.prefillLeft_ == 0) {
        for (const PromptPart &part : turn.prompt_) {
            addToCache(engine, part);
        }
        engine.running_.push_back(std::move(engine.waiting_.front()));
        engine.waiting_.pop_front();
    }
    return milliseconds(static_cast<double>(prefilled) * settings_.timings_.prefillTokenMs_ * slownessOf(engine));
}

void GatewaySimulation::step(Engine &engine)
{
    if (engine.waiting_.empty() && engine.running_.empty()) {
        engine.isStepping_ = false;
        return;
    }
    Duration time = prefillChunk(engine);
    if (!engine.running_.empty()) {
        const double step = settings_.timings_.stepMs(static_cast<double>(engine.running_.size()) - 1.0);
        time += milliseconds(step * slownessOf(engine));
    }
    while (engine.cachedTokens_ > settings_.cacheTokens_) {
        const auto oldest =
            std::min_element(engine.cache_.begin(), engine.cache_.end(), [](const auto &a, const auto &b) {
                return a.second.first < b.second.first;
            });
        engine.cachedTokens_ -= oldest->second.second;
        engine.cache_.erase(oldest);
    }
    queue_.after(std::max(time, Duration{1}), [this, &engine] {
        generate(engine);
        step(engine);
    });
}

void GatewaySimulation::generate(Engine &engine)
{
    std::vector<std::unique_ptr<Turn>> running;
    running.swap(engine.running_);
    for (std::unique_ptr<Turn> &turn : running) {
        const Time now = queue_.now();
        Placement &placement = turn->node_->placement_;
        if (++turn->generated_ == 1) {
            placement.observeFirstEvent(service_.name_, turn->start_, now - turn->sentAt_);
            turn->lastSampleAt_ = now;
        } else if ((turn->generated_ - 1) % (3 * tokensPerEvent) == 0) {
            placement.observeTokens(service_.name_, turn->endpoint_, 3 * tokensPerEvent, now - turn->lastSampleAt_);
            turn->lastSampleAt_ = now;
        }
        if (turn->generated_ < settings_.outputTokens_) {
            engine.running_.push_back(std::move(turn));
        } else {
            endTurn(*turn);
        }
    }
}

void GatewaySimulation::endTurn(Turn &turn)
{
    turn.node_->placement_.ended(turn.endpoint_);
    if (settings_.accounts_ > 0) {
        turn.node_->accounts_.ended(service_.name_, std::to_string(turn.program_->account_));
    }
    turn.node_->placement_.observeSize(service_.name_, turn.start_, turn.generated_);
    const std::shared_ptr<Program> program = turn.program_;
    if (++program->finishedTurns_ == program->turns_) {
        program->onTime_ = queue_.now() <= program->arrived_ + program->timeAllowed_;
        --openPrograms_;
        return;
    }
    queue_.after(settings_.pause_, [this, program] { beginTurn(program); });
}

SimulationResult GatewaySimulation::arrivedWithin(Time from, Time to) const
{
    SimulationResult result;
    for (const std::shared_ptr<Program> &program : programs_) {
        if (program->arrived_ >= from && program->arrived_ < to) {
            ++result.arrivals_;
            result.onTime_ += program->onTime_ ? 1 : 0;
            result.refused_ += program->refused_ ? 1 : 0;
        }
    }
    return result;
}

std::vector<SimulationResult> GatewaySimulation::arrivedByAccount(Time from, Time to) const
{
    std::vector<SimulationResult> results(settings_.accounts_);
    for (const std::shared_ptr<Program> &program : programs_) {
        if (program->arrived_ >= from && program->arrived_ < to) {
            SimulationResult &result = results[program->account_];
            ++result.arrivals_;
            result.onTime_ += program->onTime_ ? 1 : 0;
            result.refused_ += program->refused_ ? 1 : 0;
        }
    }
    return results;
}

std::uint64_t GatewaySimulation::prefilledTokens() const
{
    return prefilledTokens_;
}

std::uint64_t GatewaySimulation::sharedPartPrefills() const
{
    return sharedPartPrefills_;
}

} // namespace filbertgw::test
