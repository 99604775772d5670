#include "decisionworld.h"

#include "core/stablehash.h"

#include <algorithm>
#include <cmath>

namespace filbertgw::test {

namespace {

constexpr std::uint64_t chunkTokens = 2'048;
constexpr std::uint64_t tokensPerEvent = 3;
constexpr Duration sweepPeriod{100'000};
/** One way between two nodes. */
constexpr Duration datagramTime{1'000};
/** Time in which the nodes hear of each other before the first program arrives. */
constexpr Duration settleTime{1'500'000};
constexpr Duration retryAfter{300'000};
constexpr int clientTries = 4;
constexpr Duration longestRun{60'000'000};

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

struct DecisionWorld::Program
{
    std::string id_;
    std::size_t client_ = 0;
    std::string sharedPart_;
    int turns_ = 1;
    int done_ = 0;
    int tries_ = 0;
    std::uint64_t context_ = 0; ///< Tokens of the turns so far.
    Time arrived_{0};
    Duration aim_{0};
    bool inTime_ = false;
    bool refused_ = false;
};

struct DecisionWorld::Turn
{
    std::shared_ptr<Program> program_;
    Node *node_ = nullptr;
    std::string endpoint_;
    RequestStart start_;
    Time sentAt_{0};
    Time pacedAt_{0};
    std::vector<PromptPart> prompt_;
    bool began_ = false; ///< The engine has looked up what it keeps of the prompt.
    std::uint64_t unread_ = 0; ///< What the engine still has to read.
    std::uint64_t generated_ = 0;
};

struct DecisionWorld::Node
{
    Node(const DecisionWorld &world, std::mt19937_64 &random)
        : placement_([&world] { return world.queue_.now(); }, [&random] { return random(); }, PlacementSettings())
        , pace_([&world] { return world.queue_.now(); }, PaceSettings())
        , admission_(AdmissionSettings())
    {
    }

    std::string name_;
    Placement placement_;
    PaceTracker pace_;
    Admission admission_;
    std::unique_ptr<Fleet> fleet_;
};

struct DecisionWorld::Engine
{
    std::deque<std::unique_ptr<Turn>> waiting_; ///< Have prompt tokens to be read.
    std::vector<std::unique_ptr<Turn>> running_;
    std::unordered_map<std::string, std::pair<Time, std::uint64_t>> cache_; ///< Last use and tokens, by part.
    std::uint64_t cached_ = 0;
    std::size_t number_ = 0;
    bool steps_ = false;
};

DecisionWorld::DecisionWorld(WorldSettings settings)
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
    sweep();
    queue_.runUntil(Time(settleTime));
}

/** Lets a node hear of the others as in the gateway. */
void DecisionWorld::startFleet(Node &node, std::size_t number)
{
    FleetHooks hooks;
    hooks.now_ = [this] { return queue_.now(); };
    hooks.after_ = [this](Duration delay, std::function<void()> task) {
        queue_.after(delay, std::move(task));
        return std::uint64_t{0};
    };
    hooks.store_ = store_.access(node.name_);
    hooks.sendDatagram_ = [this](const std::string &address, const std::string &datagram) {
        queue_.after(datagramTime, [this, address, datagram] { byName_.at(address)->fleet_->onDatagram(datagram); });
    };
    hooks.report_ = [&node] {
        return NodeReport{
            LedgerState{true, true}, node.placement_.ownLoad(), node.placement_.takeReadParts(), node.pace_.own()};
    };
    hooks.ledgerComplete_ = [] { return true; };
    hooks.onReport_ = [&node](const std::string &source, const NodeReport &report) {
        node.placement_.setPeerLoad(source, report.load_, report.nodes_);
        node.pace_.setPeer(source, report.paces_);
        for (const ReadPart &part : report.cachedParts_) {
            node.placement_.noteReadPart(part);
        }
    };
    hooks.onLivenessChanged_ = [](const std::string &, bool) {};
    FleetSettings settings;
    const std::string domain = settings_.isGrouped_ ? "domain" + std::to_string(number % settings_.domains_) : "";
    settings.self_ = FleetMember{node.name_, node.name_, node.name_, domain};
    node.fleet_ = std::make_unique<Fleet>(std::move(hooks), std::move(settings));
    const Duration delay(static_cast<std::int64_t>(uniform() * static_cast<double>(sweepPeriod.count())));
    queue_.after(delay, [&node] { node.fleet_->start(); });
}

void DecisionWorld::sweep()
{
    for (const std::unique_ptr<Node> &node : nodes_) {
        node->placement_.expirePeers();
    }
    queue_.after(sweepPeriod, [this] { sweep(); });
}

DecisionWorld::~DecisionWorld() = default;

double DecisionWorld::uniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

void DecisionWorld::run(Time until)
{
    until_ = until;
    queue_.after(Duration{1}, [this] { arrive(); });
    queue_.runUntil(until);
    // Nothing but reports happens once all programs have ended.
    const Time last = until + longestRun;
    while (open_ > 0 && queue_.now() < last) {
        queue_.runUntil(queue_.now() + sweepPeriod);
    }
}

void DecisionWorld::arrive()
{
    if (queue_.now() >= until_) {
        return;
    }
    const std::shared_ptr<Program> program = std::make_shared<Program>();
    program->id_ = "p" + std::to_string(programs_.size());
    program->turns_ = 1 + static_cast<int>(uniform() * 2.0 * (settings_.turns_ - 1.0) + 0.5);
    program->arrived_ = queue_.now();
    program->client_ = settings_.clients_ > 0 ? random_() % settings_.clients_ : 0;
    if (settings_.sharedParts_ > 0) {
        program->sharedPart_ = "shared" + std::to_string(random_() % settings_.sharedParts_);
    }
    const double turnMs = static_cast<double>(settings_.newTokens_) * settings_.figures_.readTokenMs_
        + static_cast<double>(settings_.outputTokens_) * settings_.figures_.stepMs(0.0);
    program->aim_ = milliseconds(settings_.aim_ * program->turns_ * (turnMs + toSeconds(settings_.pause_) * 1e3));
    programs_.push_back(program);
    ++open_;
    beginTurn(program);
    const bool isBurst = queue_.now() >= settings_.burstFrom_ && queue_.now() < settings_.burstTo_;
    const double rate = settings_.programsPerSecond_ * (isBurst ? settings_.burst_ : 1.0);
    queue_.after(fromSeconds(std::exponential_distribution<double>(rate)(random_)), [this] { arrive(); });
}

void DecisionWorld::beginTurn(const std::shared_ptr<Program> &program)
{
    const std::size_t number = settings_.clients_ > 0 ? stableHash(std::to_string(program->client_)) : random_();
    Node &node = *nodes_[number % nodes_.size()];
    if (admit(node, *program)) {
        place(node, program);
        return;
    }
    if (++program->tries_ >= clientTries) {
        program->refused_ = true;
        --open_;
        return;
    }
    queue_.after(retryAfter, [this, program] { beginTurn(program); });
}

bool DecisionWorld::admit(Node &node, Program &program)
{
    ServiceLoad load;
    load.stretch_ = node.placement_.engines().stretch(service_.name_, runningPerEngine(node));
    load.perSlot_ = runningPerEngine(node) / settings_.slots_;
    load.slots_ = settings_.slots_;
    load.allowedStretch_ = node.pace_.allowedStretch(service_.name_);
    const Duration finishIn = program.arrived_ + program.aim_ - queue_.now();
    if (program.done_ > 0) {
        node.pace_.continued(service_.name_, program.id_, finishIn, load.stretch_);
        return true;
    }
    if (settings_.admits_ && !node.admission_.admits(load, 1, Admission::drawOf(program.id_))) {
        return false;
    }
    node.pace_.began(program.id_, finishIn);
    return true;
}

double DecisionWorld::runningPerEngine(const Node &node) const
{
    double running = 0.0;
    for (const Endpoint &endpoint : endpoints_) {
        running += node.placement_.running(endpoint.id_);
    }
    return running / static_cast<double>(endpoints_.size());
}

void DecisionWorld::place(Node &node, const std::shared_ptr<Program> &program)
{
    program->context_ += settings_.newTokens_;
    GatewayRequest request;
    if (!program->sharedPart_.empty()) {
        request.prompt_.push_back(PromptPart{program->sharedPart_, settings_.sharedTokens_});
    }
    request.prompt_.push_back(PromptPart{program->id_, program->context_});
    request.expectedOutputTokens_ = settings_.outputTokens_;
    const Endpoint *endpoint = node.placement_.choose(candidates_, &service_, request, {});
    std::unique_ptr<Turn> turn = std::make_unique<Turn>();
    turn->program_ = program;
    turn->node_ = &node;
    turn->endpoint_ = endpoint->id_;
    turn->start_ = node.placement_.started(*endpoint, request);
    turn->sentAt_ = queue_.now();
    Engine &engine = *engines_[std::stoul(endpoint->id_)];
    turn->prompt_ = request.prompt_;
    engine.waiting_.push_back(std::move(turn));
    if (!engine.steps_) {
        engine.steps_ = true;
        step(engine);
    }
}

/** Tokens of a prompt that an engine need not read: up to the first part that it does not keep whole. */
std::uint64_t DecisionWorld::cachedTokens(const Engine &engine, const std::vector<PromptPart> &prompt) const
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

void DecisionWorld::keep(Engine &engine, const PromptPart &part)
{
    std::pair<Time, std::uint64_t> &kept = engine.cache_[part.id_];
    engine.cached_ += part.tokens_ - std::min(part.tokens_, kept.second);
    kept = {queue_.now(), std::max(part.tokens_, kept.second)};
}

double DecisionWorld::slownessOf(const Engine &engine) const
{
    return settings_.slowEvery_ > 0 && engine.number_ % settings_.slowEvery_ == 0 ? settings_.slowness_ : 1.0;
}

/** Reads a chunk of the first waiting prompt. */
Duration DecisionWorld::readChunk(Engine &engine)
{
    if (engine.waiting_.empty() || engine.running_.size() >= settings_.slots_) {
        return Duration{0};
    }
    Turn &turn = *engine.waiting_.front();
    if (!turn.began_) {
        turn.began_ = true;
        const std::uint64_t cached = cachedTokens(engine, turn.prompt_);
        turn.unread_ = tokensOf(turn.prompt_) - cached;
        sharedPartsRead_ += settings_.sharedTokens_ > cached ? 1 : 0;
    }
    const std::uint64_t read = std::min(turn.unread_, chunkTokens);
    turn.unread_ -= read;
    tokensRead_ += read;
    if (turn.unread_ == 0) {
        for (const PromptPart &part : turn.prompt_) {
            keep(engine, part);
        }
        engine.running_.push_back(std::move(engine.waiting_.front()));
        engine.waiting_.pop_front();
    }
    return milliseconds(static_cast<double>(read) * settings_.figures_.readTokenMs_ * slownessOf(engine));
}

void DecisionWorld::step(Engine &engine)
{
    if (engine.waiting_.empty() && engine.running_.empty()) {
        engine.steps_ = false;
        return;
    }
    Duration time = readChunk(engine);
    if (!engine.running_.empty()) {
        const double step = settings_.figures_.stepMs(static_cast<double>(engine.running_.size()) - 1.0);
        time += milliseconds(step * slownessOf(engine));
    }
    while (engine.cached_ > settings_.cacheTokens_) {
        const auto oldest =
            std::min_element(engine.cache_.begin(), engine.cache_.end(), [](const auto &a, const auto &b) {
                return a.second.first < b.second.first;
            });
        engine.cached_ -= oldest->second.second;
        engine.cache_.erase(oldest);
    }
    queue_.after(std::max(time, Duration{1}), [this, &engine] {
        generate(engine);
        step(engine);
    });
}

void DecisionWorld::generate(Engine &engine)
{
    std::vector<std::unique_ptr<Turn>> running;
    running.swap(engine.running_);
    for (std::unique_ptr<Turn> &turn : running) {
        const Time now = queue_.now();
        Placement &placement = turn->node_->placement_;
        if (++turn->generated_ == 1) {
            placement.observeFirstEvent(service_.name_, turn->start_, now - turn->sentAt_);
            turn->pacedAt_ = now;
        } else if ((turn->generated_ - 1) % (3 * tokensPerEvent) == 0) {
            placement.observeTokens(service_.name_, turn->endpoint_, 3 * tokensPerEvent, now - turn->pacedAt_);
            turn->pacedAt_ = now;
        }
        if (turn->generated_ < settings_.outputTokens_) {
            engine.running_.push_back(std::move(turn));
        } else {
            endTurn(*turn);
        }
    }
}

void DecisionWorld::endTurn(Turn &turn)
{
    turn.node_->placement_.ended(turn.endpoint_);
    turn.node_->placement_.observeSize(service_.name_, turn.start_, turn.generated_);
    const std::shared_ptr<Program> program = turn.program_;
    if (++program->done_ == program->turns_) {
        program->inTime_ = queue_.now() <= program->arrived_ + program->aim_;
        --open_;
        return;
    }
    queue_.after(settings_.pause_, [this, program] { beginTurn(program); });
}

WorldResult DecisionWorld::arrivedWithin(Time from, Time to) const
{
    WorldResult result;
    for (const std::shared_ptr<Program> &program : programs_) {
        if (program->arrived_ >= from && program->arrived_ < to) {
            ++result.asked_;
            result.inTime_ += program->inTime_ ? 1 : 0;
            result.refused_ += program->refused_ ? 1 : 0;
        }
    }
    return result;
}

std::uint64_t DecisionWorld::tokensRead() const
{
    return tokensRead_;
}

std::uint64_t DecisionWorld::sharedPartsRead() const
{
    return sharedPartsRead_;
}

} // namespace filbertgw::test
