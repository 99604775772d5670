#include "soakworld.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <set>

namespace filbertgw::testing {

namespace {

constexpr std::size_t firstEngineHost = 100;
constexpr std::size_t firstStoreHost = 200;
constexpr Duration faultPeriod{600'000};
constexpr Duration longestFault{1'500'000};
constexpr Duration longestEntryDelay{800'000};
constexpr Duration settleTime{500'000}; ///< Time for runs that begin after their client was answered.
constexpr Duration startLimit{30'000'000};
constexpr Duration playLimit{120'000'000};
constexpr std::size_t tracesShown = 3;
constexpr std::size_t turnRepeats = 2;
const char *const modelService = "huvo11a";
const char *const plainService = "wuno96b";

const ClientRoute sheetRoute{"lot-sheet", "/lohu930/", true, true, false, false, 2};
const ClientRoute talkRoute{"audit-talk", "/pufi791/", true, false, false, true, 2};
const ClientRoute releaseRoute{"lot-release", "/puxa403/", false, false, false, false, 1};
const ClientRoute lookupRoute{"lot-lookup", "/pule252/", false, false, true, false, 2};

nlohmann::json encodeRoute(const ClientRoute &route)
{
    const char *plainType = route.isIdempotent_ ? "idempotent" : "non_idempotent";
    return {{"name", route.name_},
            {"host", "ficu95.example"},
            {"path_prefix", route.path_},
            {"type", route.isStreaming_ ? "streaming" : plainType},
            {"timeout_ms", 3000},
            {"slo_ms", 200},
            {"priority", route.retainsTurns_ ? 0 : 1},
            {"service", route.isStreaming_ ? modelService : plainService},
            {"max_attempts", route.maxAttempts_},
            {"retain", route.retainsTurns_},
            {"retain_s", 60.0},
            {"session_affinity", route.isStreaming_},
            {"resumable", route.isResumable_},
            {"gap_target_ms", route.isStreaming_ ? 250 : 0}};
}

} // namespace

SoakWorld::SoakWorld(SoakTrouble trouble, std::uint64_t seed, const std::string &program)
    : trouble_(std::move(trouble))
    , seed_(seed)
    , random_(seed)
    , directory_(::testing::TempDir() + "filbertgw-soak-" + trouble_.name_ + '-' + std::to_string(getpid()) + '-'
                 + std::to_string(seed))
    , http_(loop_)
    , ports_(findPorts())
    , store_(loop_)
{
    std::filesystem::create_directories(directory_);
    std::vector<std::string> storeAddresses;
    for (std::size_t node = 0; node < nodes; ++node) {
        storeAddresses.push_back(ports_.address(firstStoreHost + node, ports_.store_));
        store_.listen(storeAddresses.back());
    }
    fleet_ = std::make_unique<GatewayFleet>(loop_, ports_, directory_, program, storeAddresses);
}

SoakWorld::~SoakWorld()
{
    fleet_.reset();
    if (!::testing::Test::HasFailure()) {
        std::filesystem::remove_all(directory_);
    }
}

bool SoakWorld::runUntil(const std::function<bool()> &done, Duration limit)
{
    bool gaveUp = false;
    const std::uint64_t end = loop_.after(limit, [this, &gaveUp] {
        gaveUp = true;
        loop_.stop();
    });
    const std::uint64_t check = loop_.every(Duration{2'000}, [this, &done] {
        if (done()) {
            loop_.stop();
        }
    });
    loop_.run();
    loop_.cancel(end);
    loop_.cancel(check);
    return !gaveUp;
}

void SoakWorld::writeConfiguration()
{
    const nlohmann::json engine{{"slots", 16},
                                {"kv_capacity", 585539},
                                {"kv_token_bytes", 18432},
                                {"tokens_per_event", 22},
                                {"most", 12},
                                {"models", {{{"name", "m"}}}}};
    const nlohmann::json services{
        {{"name", modelService}, {"health_path", "/health"}, {"max_conns", 170}, {"engine", engine}},
        {{"name", plainService}, {"health_path", "/health"}, {"max_conns", 100}}};
    nlohmann::json routes = nlohmann::json::array();
    for (const ClientRoute &route : {sheetRoute, talkRoute, releaseRoute, lookupRoute}) {
        routes.push_back(encodeRoute(route));
    }
    const nlohmann::json limits{{"max_header_bytes", 16384},
                                {"max_body_bytes", 4194304},
                                {"header_timeout_ms", 3000},
                                {"idle_timeout_ms", 15000}};
    const nlohmann::json configuration{{"version", 7}, {"routes", routes}, {"services", services}, {"limits", limits}};
    store_.put("keyed.op", "config", configuration.dump());
}

void SoakWorld::startEngines()
{
    EngineHooks hooks;
    hooks.writeEntry_ = [this](const std::string &id, const std::optional<std::string> &entry) {
        store_.put("keyed.servers", id, entry);
    };
    hooks.plan_ = [this](const EngineRun &run) { return planFor(run); };
    hooks.isFull_ = [this] { return std::bernoulli_distribution(trouble_.fullShare_)(random_); };
    for (std::size_t i = 0; i < engines + 2; ++i) {
        EngineIdentity identity;
        identity.id_ = "i-" + std::to_string(i + 1);
        identity.service_ = i < engines ? modelService : plainService;
        identity.zone_ = std::string("z") + "abc"[i % 3];
        identity.version_ = trouble_.versions_[i % trouble_.versions_.size()];
        identity.host_ = ports_.host(firstEngineHost + i);
        identity.port_ = ports_.engine_;
        engines_.push_back(std::make_unique<EngineProcess>(loop_, identity, record_, hooks));
        engines_.back()->start(Duration{0});
    }
}

bool SoakWorld::start()
{
    began_ = loop_.now();
    writeConfiguration();
    startEngines();
    for (std::size_t node = 0; node < nodes; ++node) {
        fleet_->start(node);
    }
    std::set<std::size_t> ready;
    const std::uint64_t ask = loop_.every(Duration{50'000}, [this, &ready] {
        for (std::size_t node = 0; node < nodes; ++node) {
            fleet_->askReadiness(node, [&ready, node](bool isReady) {
                if (isReady) {
                    ready.insert(node);
                }
            });
        }
    });
    const bool areReady = runUntil([&ready] { return ready.size() == nodes; }, startLimit);
    loop_.cancel(ask);
    // Readiness that is still being asked for refers to variables of this function.
    runUntil([] { return false; }, Duration{300'000});
    return areReady;
}

std::uint64_t SoakWorld::draw(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
}

AnswerPlan SoakWorld::planFor(const EngineRun &run)
{
    // A source for each answer, so that a plan depends on the seed and not on the order of arrivals.
    std::seed_seq sequence{seed_, std::uint64_t(std::hash<std::string>()(run.token_)), planned_[run.token_]++};
    std::mt19937_64 random(sequence);
    const auto isIn = [&random](double share) { return std::bernoulli_distribution(share)(random); };
    const auto pick = [&random](const auto &list) {
        return list[std::uniform_int_distribution<std::size_t>(0, list.size() - 1)(random)];
    };
    AnswerPlan plan;
    plan.framing_ = pick(trouble_.framings_);
    plan.cut_ = pick(trouble_.cuts_);
    plan.eventsBeforeBreak_ = trouble_.breakAfter_;
    if (trouble_.breakAfter_ == 0) {
        plan.eventsBeforeBreak_ = std::uniform_int_distribution<std::uint64_t>(0, trouble_.events_ - 1)(random);
    }
    if (isIn(trouble_.copyShare_)) {
        plan.copy_ = pick(trouble_.copies_);
    }
    if (run.lastEventId_ > 0 && isIn(trouble_.oddShare_)) {
        plan.form_ = pick(trouble_.odd_);
        plan.isStamped_ = isIn(0.5);
    } else if (run.lastEventId_ == 0 && isIn(trouble_.brokenShare_)) {
        plan.form_ = pick(trouble_.broken_);
    }
    const bool breaksOff = plan.form_ == AnswerForm::BreakBetweenEvents || plan.form_ == AnswerForm::BreakInsideEvent;
    if (run.events_ == 0 && breaksOff) {
        plan.form_ = AnswerForm::CutHead;
    }
    return plan;
}

std::string SoakWorld::newName(const std::string &prefix)
{
    return prefix + std::to_string(seed_) + 'x' + std::to_string(nextName_++);
}

std::shared_ptr<ClientRequest> SoakWorld::send(ClientTask task, std::function<void()> onDone)
{
    ClientRequest::Hooks hooks;
    hooks.pickNode_ = [this] { return fleet_->clientAddress(draw(nodes)); };
    hooks.newAttemptId_ = [this] { return newName("a"); };
    hooks.onDone_ = [this, onDone = std::move(onDone)] {
        onDone();
        --open_;
    };
    const std::shared_ptr<ClientRequest> request =
        std::make_shared<ClientRequest>(loop_, http_, std::move(task), std::move(hooks));
    requests_.push_back(request);
    ++open_;
    request->start();
    return request;
}

void SoakWorld::startStream()
{
    ClientTask task;
    task.route_ = sheetRoute;
    task.token_ = newName("s");
    task.events_ = trouble_.events_;
    task.body_ = requestBody({task.token_, task.events_});
    task.engineBody_ = task.body_;
    task.program_ = newName("p");
    send(std::move(task), [] {});
}

void SoakWorld::startPlain(bool isIdempotent)
{
    ClientTask task;
    task.route_ = isIdempotent ? lookupRoute : releaseRoute;
    task.token_ = newName("r");
    task.body_ = isIdempotent ? std::string() : requestBody({task.token_, 0});
    task.engineBody_ = task.body_;
    send(std::move(task), [] {});
}

void SoakWorld::startTurn(const std::shared_ptr<ProgramState> &program)
{
    ClientTask task;
    task.route_ = talkRoute;
    task.token_ = newName("t");
    task.events_ = trouble_.events_;
    task.body_ = requestBody({task.token_, task.events_});
    task.engineBody_ = program->chain_ + task.body_;
    task.program_ = program->id_;
    task.previousTurn_ = program->previousTurn_;
    const std::shared_ptr<std::weak_ptr<ClientRequest>> sent = std::make_shared<std::weak_ptr<ClientRequest>>();
    *sent = send(std::move(task), [this, program, sent] {
        const std::shared_ptr<ClientRequest> request = sent->lock();
        turnEnded(program, *request);
    });
}

void SoakWorld::turnEnded(const std::shared_ptr<ProgramState> &program, const ClientRequest &request)
{
    if (request.isServed()) {
        program->chain_ += request.task().body_;
        for (const std::string &data : request.output()) {
            program->chain_ += data + '\n';
        }
        program->previousTurn_ = request.servedAttempt();
        program->repeats_ = 0;
        if (--program->turnsLeft_ > 0) {
            startTurn(program);
        }
    } else if (++program->repeats_ <= turnRepeats) {
        startTurn(program);
    }
}

void SoakWorld::arrive(std::size_t left, Duration gap)
{
    arrivalsLeft_ = left;
    if (left == 0) {
        return;
    }
    constexpr std::uint64_t kinds = 10;
    const std::uint64_t kind = draw(kinds);
    if (kind < 6) {
        startStream();
    } else if (kind < 8) {
        const std::shared_ptr<ProgramState> program = std::make_shared<ProgramState>();
        program->id_ = newName("p");
        startTurn(program);
    } else {
        startPlain(kind == 8);
    }
    loop_.after(gap, [this, left, gap] { arrive(left - 1, gap); });
}

void SoakWorld::injectFaults()
{
    if (!isPlaying_ || trouble_.faults_.empty()) {
        return;
    }
    inject(trouble_.faults_[draw(trouble_.faults_.size())]);
    loop_.after(faultPeriod, [this] { injectFaults(); });
}

void SoakWorld::inject(SoakFault fault)
{
    const std::size_t node = draw(nodes);
    EngineProcess &engine = *engines_[draw(engines)];
    const Duration lasts{static_cast<std::int64_t>(draw(static_cast<std::uint64_t>(longestFault.count())))};
    const Duration entryDelay{static_cast<std::int64_t>(draw(static_cast<std::uint64_t>(longestEntryDelay.count())))};
    switch (fault) {
    case SoakFault::KillNode:
        fleet_->kill(node);
        loop_.after(lasts, [this, node] { fleet_->start(node); });
        break;
    case SoakFault::PauseNode:
        fleet_->signal(node, SIGSTOP);
        loop_.after(lasts, [this, node] { fleet_->signal(node, SIGCONT); });
        break;
    case SoakFault::StopNode:
        fleet_->signal(node, SIGTERM);
        loop_.after(longestFault * 4, [this, node] { fleet_->start(node); });
        break;
    case SoakFault::CrashEngine:
        engine.crash();
        loop_.after(lasts, [&engine, entryDelay] { engine.restart(engine.identity().version_, entryDelay); });
        break;
    case SoakFault::UpgradeEngine:
        engine.crash();
        loop_.after(lasts / 4, [this, &engine, entryDelay] {
            const std::size_t next = engine.identity().version_ == trouble_.versions_.front() ? 1 : 0;
            engine.restart(trouble_.versions_[next % trouble_.versions_.size()], entryDelay);
        });
        break;
    case SoakFault::SilentStore:
    case SoakFault::BusyStore:
        store_.setMode(node, fault == SoakFault::BusyStore ? StoreMode::Busy : StoreMode::Silent);
        loop_.after(lasts, [this, node] { store_.setMode(node, StoreMode::Up); });
        break;
    }
}

SoakSummary SoakWorld::play(const SoakLength &length)
{
    isPlaying_ = true;
    injectFaults();
    arrive(length.tasks_, length.arrivalGap_);
    SoakSummary summary;
    if (!runUntil([this] { return open_ == 0 && arrivalsLeft_ == 0; }, playLimit)) {
        summary.violations_.push_back({"HUNG", std::to_string(open_) + " requests have not ended", {}});
    }
    isPlaying_ = false;
    runUntil([] { return false; }, settleTime);
    for (const std::shared_ptr<ClientRequest> &request : requests_) {
        ++summary.requests_;
        summary.served_ += request->isServed() ? 1 : 0;
        summary.tries_ += request->tries().size();
        const std::vector<Violation> found = checkRequest(*request, record_);
        summary.violations_.insert(summary.violations_.end(), found.begin(), found.end());
    }
    summary.runs_ = record_.runs_.size();
    for (const EngineRun &run : record_.runs_) {
        summary.resumedRuns_ += run.lastEventId_ > 0 ? 1 : 0;
    }
    const std::vector<Violation> found = checkRuns(requests_, record_);
    summary.violations_.insert(summary.violations_.end(), found.begin(), found.end());
    return summary;
}

std::string SoakWorld::traces(const SoakSummary &summary) const
{
    std::string text;
    std::set<std::string> shown;
    for (const Violation &violation : summary.violations_) {
        if (shown.size() == tracesShown || !shown.insert(violation.token_).second) {
            continue;
        }
        text += violation.rule_ + ' ' + violation.token_ + ": " + violation.what_ + '\n';
        for (const std::shared_ptr<ClientRequest> &request : requests_) {
            if (request->task().token_ != violation.token_) {
                continue;
            }
            text += traceOf(*request, record_, began_);
            std::vector<std::string> attempts;
            for (const std::shared_ptr<ClientTry> &attempt : request->tries()) {
                attempts.push_back('=' + attempt->attempt_ + ' ');
            }
            text += fleet_->logLines(attempts);
        }
    }
    return text;
}

} // namespace filbertgw::testing
