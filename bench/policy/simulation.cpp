#include "policy/simulation.h"

#include <algorithm>
#include <cmath>

namespace filbertgw::bench {

namespace internal {

constexpr Duration warmUp = std::chrono::minutes(10);
constexpr Duration runLength = std::chrono::minutes(70);
constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration heldReportInterval = std::chrono::seconds(15);
constexpr Duration leavingTime = std::chrono::seconds(60);
constexpr CacheKey sharedKeyBit = CacheKey{1} << 62U;

/** \brief Quantile `q` of sorted values; 0 if there are none. */
double quantile(const std::vector<double> &sorted, double q)
{
    if (sorted.empty()) {
        return 0;
    }
    const double position = q * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::llround(position))];
}

ArrivalSettings arrivalsOf(const RunSettings &settings, const nlohmann::json &faults)
{
    ArrivalSettings result;
    result.load_ = settings.load_;
    result.extraBurstFactor_ = settings.burstFactor_;
    result.heavyAccountFactor_ = settings.heavyAccount_;
    result.hungTools_ = faults.value("hung_tools", 0.0);
    result.poisonRequests_ = faults.value("poison_requests", 0);
    result.length_ = runLength;
    return result;
}

} // namespace internal

Simulation::Simulation(const RunSettings &settings)
    : settings_(settings)
    , engineJson_(readWorkloadFile("engine"))
    , faults_(readWorkloadFile("faults").at(settings.faults_))
    , engineSettings_(EngineSettings::fromJson(engineJson_))
    , workload_(readWorkloadFile(settings.deployment_), engineSettings_)
    , random_(settings.seed_ * 7919 + 17)
    , specs_(workload_.generate(settings.seed_, internal::arrivalsOf(settings, faults_)))
{
    if (settings_.nodes_ == 0) {
        settings_.nodes_ = workload_.json().at("nodes");
    }
    buildEngines();
    buildNodes();
}

Simulation::~Simulation() = default;

std::size_t Simulation::nodeOf(const ProgramSpec &spec) const
{
    return static_cast<std::size_t>(spec.node_) % nodes_.size();
}

double Simulation::uniform()
{
    return static_cast<double>(random_() >> 11U) * 0x1.0p-53;
}

std::size_t Simulation::indexOf(const ProgramId &program) const
{
    return std::stoul(program.value().substr(1));
}

std::size_t Simulation::indexOf(const EndpointId &endpoint) const
{
    return std::stoul(endpoint.value().substr(1));
}

void Simulation::buildEngines()
{
    const std::size_t count = workload_.json().at("engines");
    const nlohmann::json &domains = workload_.json().at("domains");
    engines_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        FakeEngine::Hooks hooks;
        hooks.prefilled_ = [this](std::uint64_t job, std::int64_t computed, std::int64_t cached) {
            onPrefilled(job, computed, cached);
        };
        hooks.finished_ = [this](std::uint64_t job) {
            const bool lost = uniform() < faults_.value("lost_answers", 0.0);
            endAttempt(job, lost ? AttemptStatus::ConnectionLost : AttemptStatus::Answered);
        };
        hooks.crashed_ = [this](std::uint64_t job) { endAttempt(job, AttemptStatus::Crashed); };
        hooks.begunAlone_ = [this](std::uint64_t job) { onBegunAlone(job); };
        hooks.cacheChanged_ = [this, i](CacheKey key, std::int64_t tokens, bool evicted) {
            onCacheChanged(i, key, tokens, evicted);
        };
        hooks.poisoned_ = [this, i] {
            events_.after(Duration{0}, [this, i] { crashEngine(i, fromSeconds(engineJson_.at("restart_s"))); });
        };
        Engine &engine = engines_[i];
        engine.fake_ = std::make_unique<FakeEngine>(events_, engineSettings_, std::move(hooks));
        engine.info_.id_ = EndpointId("e" + std::to_string(i));
        engine.info_.domain_ = FailureDomain(domains[i % domains.size()].get<std::string>());
        engine.info_.models_ = {ModelId("base")};
        engine.info_.cacheTokens_ = engineSettings_.cacheTokens_;
        engine.info_.maxStreams_ = engineSettings_.maxStreams_;
    }
}

void Simulation::buildNodes()
{
    nodeRandom_.reserve(static_cast<std::size_t>(settings_.nodes_));
    for (std::size_t i = 0; i < static_cast<std::size_t>(settings_.nodes_); ++i) {
        nodeRandom_.emplace_back(settings_.seed_ * 104729 + i);
        SchedulerHooks hooks;
        hooks.now_ = [this] { return events_.now(); };
        hooks.random_ = [this, i] { return nodeRandom_[i](); };
        hooks.start_ = [this, i](const StartOrder &order) { onStart(i, order); };
        hooks.finished_ = [this, i](const ScheduleResult &result) { onFinished(i, result); };
        hooks.order_ = [this](const EndpointOrder &order) { onOrder(order); };
        hooks.liveNodes_ = [this] { return settings_.nodes_; };
        hooks.ownsEndpoint_ = [this, i](const EndpointId &endpoint) { return indexOf(endpoint) % nodes_.size() == i; };
        nodes_.push_back(makePolicy(settings_.policy_, hooks));
        const nlohmann::json &weights = workload_.json().at("weights");
        nodes_.back()->setWeights(weights.at("latency"), weights.at("wasted_cache"));
    }
    publishEndpoints();
}

void Simulation::publishEndpoints()
{
    published_.clear();
    for (const Engine &engine : engines_) {
        if (engine.present_) {
            published_.push_back(engine.info_);
            published_.back().leaving_ = engine.leavingByList_;
        }
    }
    for (const std::unique_ptr<NodePolicy> &node : nodes_) {
        node->setEndpoints(published_);
    }
}

void Simulation::scheduleReports(std::size_t index)
{
    const Duration interval = fromSeconds(engineJson_.at("report_interval_s"));
    const Duration delay = fromSeconds(engineJson_.at("report_delay_s"));
    events_.after(interval, [this, index, delay] {
        scheduleReports(index);
        const Engine &engine = engines_[index];
        if (!engine.present_) {
            return;
        }
        const bool up = engine.fake_->isUp();
        LoadReport report;
        if (up) {
            const EngineLoad load = engine.fake_->load();
            report.endpoint_ = engine.info_.id_;
            report.measuredAt_ = events_.now();
            report.running_ = load.running_;
            report.waiting_ = load.waiting_;
            report.waitingPromptTokens_ = load.waitingPromptTokens_;
            report.cacheUsedTokens_ = load.cacheUsed_;
            report.pinnedTokens_ = load.pinned_;
            report.livePrograms_ = load.programs_;
            report.models_ = engine.info_.models_;
            report.leaving_ = engine.info_.leaving_;
        }
        events_.after(delay, [this, index, up, report] {
            for (const std::unique_ptr<NodePolicy> &node : nodes_) {
                node->onEndpointHealth(engines_[index].info_.id_, up);
                if (up) {
                    node->onLoadReport(report);
                }
            }
        });
    });
}

void Simulation::scheduleTicks(std::size_t node)
{
    events_.after(internal::tickInterval, [this, node] {
        scheduleTicks(node);
        nodes_[node]->tick();
    });
}

void Simulation::scheduleHeldReports()
{
    events_.after(internal::heldReportInterval, [this] {
        scheduleHeldReports();
        for (const Engine &engine : engines_) {
            std::vector<std::vector<ProgramId>> held(nodes_.size());
            for (CacheKey key : engine.fake_->heldPrograms()) {
                const Program &program = programs_[key];
                held[nodeOf(*program.spec_)].push_back(program.id_);
            }
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                nodes_[i]->onHeldPrograms(engine.info_.id_, held[i]);
            }
        }
    });
}

void Simulation::crashEngine(std::size_t index, Duration down)
{
    Engine &engine = engines_[index];
    if (!engine.fake_->isUp()) {
        return;
    }
    engine.fake_->crash();
    ++engine.eventSequence_;
    events_.after(down, [this, index] { engines_[index].fake_->restart(); });
}

void Simulation::scheduleFaults()
{
    const double length = toSeconds(internal::runLength);
    const double warmUpSeconds = toSeconds(internal::warmUp);
    if (faults_.contains("crash_every_s")) {
        const double interval = faults_.at("crash_every_s");
        for (double t = warmUpSeconds + interval * uniform(); t < length; t += interval) {
            const std::size_t index = random_() % engines_.size();
            events_.at(fromSeconds(t), [this, index] { crashEngine(index, fromSeconds(engineJson_.at("restart_s"))); });
        }
    }
    for (const nlohmann::json &outage : faults_.value("log_outages_s", nlohmann::json::array())) {
        const double start = warmUpSeconds + (length - warmUpSeconds - 600) * uniform();
        logOutages_.emplace_back(fromSeconds(start), fromSeconds(start + outage.get<double>()));
    }
    if (faults_.contains("domain_loss_s")) {
        const double start = warmUpSeconds + (length - warmUpSeconds - 600) * uniform();
        const nlohmann::json &domains = workload_.json().at("domains");
        const FailureDomain domain(domains[random_() % domains.size()].get<std::string>());
        events_.at(fromSeconds(start), [this, domain] {
            for (std::size_t i = 0; i < engines_.size(); ++i) {
                if (engines_[i].info_.domain_ == domain) {
                    crashEngine(i, fromSeconds(faults_.at("domain_loss_s")));
                }
            }
        });
    }
    scheduleLeaving();
}

void Simulation::scheduleLeaving()
{
    const double length = toSeconds(internal::runLength);
    const double warmUpSeconds = toSeconds(internal::warmUp);
    const Duration listDelay = fromSeconds(engineJson_.at("vm_list_delay_s"));
    for (int i = 0; i < faults_.value("leaving_engines", 0); ++i) {
        const std::size_t index = random_() % engines_.size();
        const Time start = fromSeconds(warmUpSeconds + (length - warmUpSeconds - 600) * uniform());
        events_.at(start, [this, index] { engines_[index].info_.leaving_ = true; });
        events_.at(start + listDelay, [this, index] {
            engines_[index].leavingByList_ = true;
            publishEndpoints();
        });
        events_.at(start + internal::leavingTime, [this, index] {
            engines_[index].fake_->crash();
            engines_[index].present_ = false;
        });
        events_.at(start + internal::leavingTime + listDelay, [this] { publishEndpoints(); });
        const Duration absence = fromSeconds(faults_.value("leaving_return_s", 600.0));
        events_.at(start + internal::leavingTime + absence, [this, index] {
            Engine &engine = engines_[index];
            engine.fake_->restart();
            engine.present_ = true;
            engine.info_.leaving_ = false;
            engine.leavingByList_ = false;
        });
        events_.at(start + internal::leavingTime + absence + listDelay, [this] { publishEndpoints(); });
    }
}

nlohmann::json Simulation::run()
{
    scheduleFaults();
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        events_.after(fromSeconds(uniform()), [this, i] { scheduleReports(i); });
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        events_.after(fromSeconds(0.1 * uniform()), [this, i] { scheduleTicks(i); });
    }
    scheduleHeldReports();
    for (const ProgramSpec &spec : specs_) {
        events_.at(spec.arrival_, [this, &spec] { arrive(spec); });
    }
    events_.runUntil(internal::runLength);
    return figures();
}

Time Simulation::logAvailableAt(Time time) const
{
    Time result = time;
    for (const std::pair<Time, Time> &outage : logOutages_) {
        if (result >= outage.first && result < outage.second) {
            result = outage.second;
        }
    }
    return result;
}

std::size_t Simulation::addProgram(const ProgramSpec &spec, std::size_t parent)
{
    Program program;
    program.spec_ = &spec;
    program.index_ = programs_.size();
    program.id_ = ProgramId("p" + std::to_string(program.index_));
    program.parent_ = parent;
    program.started_ = events_.now();
    program.lowerBound_ = workload_.lowerBound(spec);
    program.prompt_ = workload_.sharedTokens() + spec.turns_.front().added_;
    programs_.push_back(program);
    return program.index_;
}

void Simulation::arrive(const ProgramSpec &spec)
{
    const bool measured = events_.now() >= internal::warmUp;
    arrivals_ += measured ? 1 : 0;
    if (logAvailableAt(events_.now()) != events_.now()) {
        refusedStore_ += measured ? 1 : 0;
        return;
    }
    const std::size_t index = addProgram(spec, programs_.size());
    programs_[index].parent_ = index;
    const Time deadline = spec.deadline_.count() > 0 ? events_.now() + spec.deadline_ : Time{0};
    const AccountId account("a" + std::to_string(spec.account_));
    NodePolicy &node = *nodes_[nodeOf(spec)];
    const std::optional<Failure> refusal =
        node.admitProgram(programs_[index].id_, account, programs_[index].prompt_, deadline);
    if (refusal) {
        refusedPolicy_ += measured ? 1 : 0;
        if (!refusal->notRun_) {
            violations_.push_back("refused without not_run: " + programs_[index].id_.value());
        }
        return;
    }
    programs_[index].admitted_ = true;
    submitTurn(index);
}

void Simulation::submitTurn(std::size_t index)
{
    Program &program = programs_[index];
    const ProgramSpec &spec = *program.spec_;
    const ProgramSpec &rootSpec = *programs_[program.parent_].spec_;
    ScheduleRequest request;
    request.requestId_ = RequestId("r" + std::to_string(program.turn_) + "." + std::to_string(program.resubmits_));
    request.program_ = program.id_;
    request.root_ = programs_[program.parent_].id_;
    request.account_ = AccountId("a" + std::to_string(spec.account_));
    request.kind_ = CallKind::Model;
    request.target_ = "base";
    request.promptTokens_ = program.prompt_;
    request.sharedTokens_ = workload_.sharedTokens();
    request.sharedPrefix_ = static_cast<std::uint64_t>(spec.sharedPrefix_) + 1;
    request.maxTokens_ = 4096;
    request.homeEngine_ = program.home_;
    request.turn_ = static_cast<std::uint32_t>(program.turn_);
    request.programStarted_ = programs_[program.parent_].started_;
    if (rootSpec.deadline_.count() > 0) {
        request.deadline_ = request.programStarted_ + rootSpec.deadline_;
    }
    request.runAlone_ = program.crashes_ > 0;
    program.calling_ = true;
    program.promptTokens_ += program.resubmits_ == 0 ? program.prompt_ : 0;
    nodes_[nodeOf(spec)]->submit(request);
}

void Simulation::onStart(std::size_t node, const StartOrder &order)
{
    const std::size_t index = indexOf(order.program_);
    Program &program = programs_[index];
    if (!program.calling_ || nodeOf(*program.spec_) != node) {
        violations_.push_back("start without a call: " + order.program_.value());
        return;
    }
    Attempt attempt;
    attempt.program_ = index;
    attempt.order_ = order;
    attempt.engine_ = indexOf(order.endpoint_);
    attempt.sent_ = events_.now();
    program.attempts_.push_back(attempts_.size());
    attempts_.push_back(attempt);
    const Duration latency = fromSeconds(workload_.json().at("domain_latency_ms").get<double>() / 1000);
    events_.after(latency, [this, id = attempts_.size() - 1] { deliver(id); });
}

void Simulation::deliver(std::size_t id)
{
    const Attempt &attempt = attempts_[id];
    if (attempt.ended_) {
        return;
    }
    Engine &engine = engines_[attempt.engine_];
    if (!engine.fake_->isUp() || !engine.present_) {
        endAttempt(id, AttemptStatus::NotSent);
        return;
    }
    const Program &program = programs_[attempt.program_];
    EngineJob job;
    job.id_ = id;
    job.program_ = attempt.program_;
    job.shared_ = internal::sharedKeyBit + static_cast<CacheKey>(program.spec_->sharedPrefix_);
    job.sharedTokens_ = workload_.sharedTokens();
    job.promptTokens_ = program.prompt_;
    job.generate_ = program.spec_->turns_[program.turn_].generated_;
    job.priority_ = attempt.order_.priority_;
    job.alone_ = attempt.order_.alone_;
    job.poison_ = program.spec_->poison_;
    if (attempt.order_.importFrom_.isEmpty()) {
        engine.fake_->submit(job);
    } else {
        engine.fake_->submitAfterImport(job, *engines_[indexOf(attempt.order_.importFrom_)].fake_);
    }
}

void Simulation::onBegunAlone(std::size_t id)
{
    const Attempt &attempt = attempts_[id];
    if (attempt.ended_) {
        return;
    }
    const Program &program = programs_[attempt.program_];
    NodePolicy &node = *nodes_[nodeOf(*program.spec_)];
    node.onRunsAlone(program.id_, attempt.order_.requestId_, attempt.order_.attempt_);
}

void Simulation::onPrefilled(std::size_t id, std::int64_t computed, std::int64_t cached)
{
    Attempt &attempt = attempts_[id];
    if (attempt.ended_) {
        return;
    }
    Program &program = programs_[attempt.program_];
    attempt.firstToken_ = events_.now();
    attempt.cached_ = cached;
    const std::int64_t wasted = std::clamp<std::int64_t>(program.computed_ - cached, 0, computed);
    program.wastedTokens_ += wasted;
    const bool moved = program.home_ != attempt.order_.endpoint_;
    const char *cause = attempt.order_.importFrom_.isEmpty() ? (moved ? "moved" : "evicted") : "import_failed";
    wastedBy_[cause] += wasted;
    program.computed_ = std::max(program.computed_, program.prompt_);
    NodePolicy &node = *nodes_[nodeOf(*program.spec_)];
    node.onFirstToken(program.id_, attempt.order_.requestId_, attempt.order_.attempt_);
}

void Simulation::endAttempt(std::size_t id, AttemptStatus status)
{
    Attempt &attempt = attempts_[id];
    if (attempt.ended_) {
        return;
    }
    attempt.ended_ = true;
    Program &program = programs_[attempt.program_];
    program.attempts_.erase(std::find(program.attempts_.begin(), program.attempts_.end(), id));
    const std::int64_t generated = program.spec_->turns_[program.turn_].generated_;
    if (status == AttemptStatus::Answered || status == AttemptStatus::ConnectionLost) {
        program.computed_ = std::max(program.computed_, program.prompt_ + generated);
    }
    AttemptResult result;
    result.requestId_ = attempt.order_.requestId_;
    result.program_ = program.id_;
    result.endpoint_ = attempt.order_.endpoint_;
    result.attempt_ = attempt.order_.attempt_;
    result.status_ = status;
    result.promptTokens_ = program.prompt_;
    result.cachedTokens_ = attempt.cached_;
    result.generatedTokens_ = generated;
    result.latency_ = events_.now() - attempt.sent_;
    result.firstToken_ = attempt.firstToken_.count() > 0 ? attempt.firstToken_ - attempt.sent_ : result.latency_;
    const std::size_t node = nodeOf(*program.spec_);
    const Duration latency = fromSeconds(workload_.json().at("domain_latency_ms").get<double>() / 1000);
    events_.after(latency, [this, node, result] { nodes_[node]->onAttemptEnded(result); });
}

void Simulation::onFinished(std::size_t /*node*/, const ScheduleResult &result)
{
    const std::size_t index = indexOf(result.program_);
    Program &program = programs_[index];
    if (!program.calling_) {
        violations_.push_back("finished twice: " + result.program_.value());
        return;
    }
    program.calling_ = false;
    const Duration caller = fromSeconds(workload_.json().at("caller_latency_ms").get<double>() / 1000);
    if (result.status_ == DispatchStatus::Answered) {
        program.home_ = result.endpoint_;
        program.resubmits_ = 0;
        program.crashes_ = 0;
        events_.at(logAvailableAt(events_.now()), [this, index] { onTurnDone(index); });
        return;
    }
    program.crashes_ += result.crashes_;
    constexpr std::uint32_t poisonCrashes = 2;
    constexpr std::uint32_t maxResubmits = 50;
    if (program.spec_->poison_ && (program.crashes_ >= poisonCrashes || program.resubmits_ >= 3)) {
        program.quarantined_ = true;
        endProgram(index);
        return;
    }
    if (program.crashes_ >= poisonCrashes) {
        violations_.push_back("request wrongly identified as poison: " + result.program_.value());
    }
    if (++program.resubmits_ > maxResubmits) {
        violations_.push_back("call failed after too many resubmissions: " + result.program_.value());
        endProgram(index);
        return;
    }
    const Duration wait =
        std::max<Duration>(result.failure_ ? result.failure_->retryAfter_ : Duration{0}, std::chrono::seconds(1));
    events_.after(wait + 2 * caller, [this, index] { submitTurn(index); });
}

void Simulation::onTurnDone(std::size_t index)
{
    Program &program = programs_[index];
    const ProgramSpec &spec = *program.spec_;
    const TurnSpec &turn = spec.turns_[program.turn_];
    if (program.turn_ + 1 == spec.turns_.size()) {
        endProgram(index);
        return;
    }
    NodePolicy &node = *nodes_[nodeOf(spec)];
    node.onProgramPaused(program.id_, turn.tool_);
    if (turn.subAgent_ < 0) {
        const Duration caller = fromSeconds(workload_.json().at("caller_latency_ms").get<double>() / 1000);
        events_.after(turn.pause_ + 2 * caller, [this, index] { resume(index); });
        return;
    }
    const ProgramSpec &agent = spec.subAgents_[static_cast<std::size_t>(turn.subAgent_)];
    const std::size_t child = addProgram(agent, index);
    programs_[child].admitted_ = true;
    submitTurn(child);
}

void Simulation::resume(std::size_t index)
{
    Program &program = programs_[index];
    const TurnSpec &previous = program.spec_->turns_[program.turn_];
    ++program.turn_;
    program.prompt_ += previous.generated_ + program.spec_->turns_[program.turn_].added_;
    submitTurn(index);
}

void Simulation::endProgram(std::size_t index)
{
    Program &program = programs_[index];
    program.ended_ = events_.now();
    nodes_[nodeOf(*program.spec_)]->onProgramEnded(program.id_);
    if (program.parent_ != index) {
        resume(program.parent_);
    }
}

void Simulation::onOrder(const EndpointOrder &order)
{
    const std::size_t engine = indexOf(order.endpoint_);
    const std::size_t index = order.program_.isEmpty() ? 0 : indexOf(order.program_);
    if (order.kind_ == OrderKind::Cancel) {
        const std::vector<std::size_t> active = programs_[index].attempts_;
        for (std::size_t id : active) {
            if (attempts_[id].engine_ == engine && attempts_[id].order_.requestId_ == order.requestId_) {
                engines_[engine].fake_->cancel(id);
                endAttempt(id, AttemptStatus::Cancelled);
            }
        }
        return;
    }
    const Duration latency = fromSeconds(workload_.json().at("domain_latency_ms").get<double>() / 1000);
    events_.after(latency, [this, engine, index, kind = order.kind_] {
        if (kind == OrderKind::Release) {
            engines_[engine].fake_->release(index);
        } else if (kind == OrderKind::Export) {
            engines_[engine].fake_->exportProgram(index);
        }
    });
}

void Simulation::onCacheChanged(std::size_t index, CacheKey key, std::int64_t tokens, bool evicted)
{
    CacheEvent event;
    event.endpoint_ = engines_[index].info_.id_;
    event.kind_ = evicted ? CacheEvent::Kind::Evicted : CacheEvent::Kind::Stored;
    event.sequence_ = ++engines_[index].eventSequence_;
    event.tokens_ = tokens;
    if (uniform() < engineJson_.at("cache_event_loss").get<double>()) {
        return;
    }
    const Duration delay = fromSeconds(engineJson_.at("cache_event_delay_s"));
    if ((key & internal::sharedKeyBit) != 0) {
        if (evicted) {
            event.sharedPrefix_ = key - internal::sharedKeyBit + 1;
            events_.after(delay, [this, event] {
                for (const std::unique_ptr<NodePolicy> &node : nodes_) {
                    node->onCacheEvent(event);
                }
            });
        }
        return;
    }
    event.program_ = programs_[key].id_;
    // Sent only to the program's node, since other nodes ignore events of programs that they don't own.
    const std::size_t node = nodeOf(*programs_[key].spec_);
    if (evicted) {
        event.tokens_ += workload_.sharedTokens();
        events_.after(delay, [this, event, node] { nodes_[node]->onCacheEvent(event); });
    }
}

bool Simulation::isMeasured(const Program &program) const
{
    return program.admitted_ && program.parent_ == program.index_ && program.started_ >= internal::warmUp;
}

double Simulation::slowdown(const Program &program) const
{
    const Time end = program.ended_.count() > 0 ? program.ended_ : internal::runLength;
    return toSeconds(end - program.started_) / toSeconds(program.lowerBound_);
}

void Simulation::addSlowdowns(nlohmann::json &result) const
{
    std::vector<double> latencies;
    std::vector<double> slowdowns;
    std::int64_t finished = 0;
    std::int64_t unfinished = 0;
    for (const Program &program : programs_) {
        if (!isMeasured(program) || program.quarantined_) {
            continue;
        }
        const bool ended = program.ended_.count() > 0;
        const Duration latency = (ended ? program.ended_ : internal::runLength) - program.started_;
        const Duration deadline = program.spec_->deadline_;
        latencies.push_back(toSeconds(latency));
        slowdowns.push_back(slowdown(program));
        unfinished += ended ? 0 : 1;
        finished += ended && (deadline.count() == 0 || latency <= deadline) ? 1 : 0;
    }
    std::sort(latencies.begin(), latencies.end());
    std::sort(slowdowns.begin(), slowdowns.end());
    result["programs"] = slowdowns.size();
    for (const std::pair<const char *, double> &q :
         {std::pair<const char *, double>{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}) {
        result["program_latency_" + std::string(q.first) + "_s"] = internal::quantile(latencies, q.second);
        result["slowdown_" + std::string(q.first)] = internal::quantile(slowdowns, q.second);
    }
    result["finished_in_deadline"] = finished;
    result["unfinished"] = unfinished;
}

void Simulation::addExperiments(nlohmann::json &result) const
{
    if (settings_.heavyAccount_ > 1) {
        std::vector<double> others;
        std::int64_t refusedOthers = 0;
        for (const Program &program : programs_) {
            if (program.spec_->account_ != 0 && isMeasured(program)) {
                others.push_back(slowdown(program));
            }
            const bool refused = !program.admitted_ && program.started_ >= internal::warmUp;
            refusedOthers += refused && program.spec_->account_ != 0 ? 1 : 0;
        }
        std::sort(others.begin(), others.end());
        result["others_slowdown_p95"] = internal::quantile(others, 0.95);
        result["others_refused"] = refusedOthers;
    }
    if (settings_.burstFactor_ > 0) {
        constexpr std::size_t minutes = 70;
        constexpr std::size_t burstStart = 30;
        constexpr std::size_t burstEnd = 35;
        constexpr double normal = 1.1;
        std::vector<std::vector<double>> byMinute(minutes);
        std::vector<double> before;
        for (const Program &program : programs_) {
            if (!isMeasured(program) || program.ended_.count() == 0) {
                continue;
            }
            const std::size_t minute = static_cast<std::size_t>(toSeconds(program.started_) / 60);
            byMinute[minute].push_back(slowdown(program));
            if (minute < burstStart - 5) {
                before.push_back(slowdown(program));
            }
        }
        std::sort(before.begin(), before.end());
        const double limit = internal::quantile(before, 0.5) * normal;
        std::size_t last = burstEnd - 1;
        for (std::size_t minute = burstEnd; minute < minutes - 5; ++minute) {
            std::sort(byMinute[minute].begin(), byMinute[minute].end());
            last = internal::quantile(byMinute[minute], 0.5) > limit ? minute : last;
        }
        result["normal_again_after_min"] = last + 1 - burstEnd;
    }
}

void Simulation::addDetails(nlohmann::json &result) const
{
    std::map<std::string, std::vector<double>> slowdowns;
    std::map<std::string, std::int64_t> wasted;
    for (const Program &program : programs_) {
        const Program &root = programs_[program.parent_];
        if (isMeasured(root)) {
            wasted[program.spec_->template_] += program.wastedTokens_;
        }
        if (isMeasured(program)) {
            slowdowns[program.spec_->template_].push_back(slowdown(program));
        }
    }
    for (std::pair<const std::string, std::vector<double>> &entry : slowdowns) {
        std::sort(entry.second.begin(), entry.second.end());
        result["details"][entry.first] = {{"programs", entry.second.size()},
                                          {"slowdown_p50", internal::quantile(entry.second, 0.5)},
                                          {"slowdown_p95", internal::quantile(entry.second, 0.95)},
                                          {"wasted", wasted[entry.first]}};
    }
    result["details"]["wasted_by"] = wastedBy_;
    result["details"]["full_rate"] = workload_.fullRate();
}

nlohmann::json Simulation::figures()
{
    nlohmann::json result{{"policy", settings_.policy_},
                          {"deployment", settings_.deployment_},
                          {"seed", settings_.seed_},
                          {"load", settings_.load_},
                          {"faults", settings_.faults_}};
    addSlowdowns(result);
    std::int64_t prompt = 0;
    std::int64_t wasted = 0;
    for (const Program &program : programs_) {
        if (isMeasured(programs_[program.parent_])) {
            prompt += program.promptTokens_;
            wasted += program.wastedTokens_;
        }
    }
    double idle = 0;
    for (Engine &engine : engines_) {
        idle += engine.fake_->idleTokenSeconds();
        for (CacheKey key : engine.fake_->heldPrograms()) {
            const Program &program = programs_[key];
            constexpr Duration releaseTime = std::chrono::seconds(60);
            const bool overdue = program.ended_.count() > 0 && program.ended_ + releaseTime < events_.now();
            if (overdue && nodes_.front()->releasesCaches()) {
                violations_.push_back("memory held for an ended program: " + program.id_.value());
            }
        }
    }
    const std::int64_t refused = refusedPolicy_ + refusedStore_;
    result["refused_share"] = arrivals_ == 0 ? 0.0 : static_cast<double>(refused) / static_cast<double>(arrivals_);
    result["refused_not_run"] = refused;
    result["refused_store"] = refusedStore_;
    result["prompt_tokens"] = prompt;
    result["wasted_prompt_tokens"] = wasted;
    result["wasted_share"] = prompt == 0 ? 0.0 : static_cast<double>(wasted) / static_cast<double>(prompt);
    result["idle_cache_token_seconds"] = std::llround(idle);
    result["violations"] = violations_.size();
    if (!violations_.empty()) {
        result["first_violation"] = violations_.front();
    }
    addExperiments(result);
    if (settings_.details_) {
        addDetails(result);
    }
    return result;
}

} // namespace filbertgw::bench
