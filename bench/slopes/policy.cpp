#include "policy/scheduler.h"
#include "slopes/slopes.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <vector>

namespace filbertgw::bench {

namespace {

/** \brief A Scheduler of one node, fed by hand. */
struct SchedulerUnderTest
{
    SchedulerUnderTest()
    {
        SchedulerHooks hooks;
        hooks.now_ = [this] { return now_; };
        hooks.random_ = [this] { return random_(); };
        hooks.start_ = [this](const StartOrder &order) { last_ = order; };
        hooks.finished_ = [](const ScheduleResult &) {};
        hooks.order_ = [](const EndpointOrder &) {};
        hooks.liveNodes_ = [] { return 1; };
        hooks.ownsEndpoint_ = [](const EndpointId &) { return false; };
        scheduler_ = Scheduler::Builder().hooks(hooks).build();
    }

    void addEngines(int count)
    {
        std::vector<EndpointInfo> engines;
        for (int i = 0; i < count; ++i) {
            EndpointInfo info;
            info.id_ = EndpointId("engine-" + std::to_string(i));
            info.models_ = {ModelId("base")};
            engines.push_back(info);
        }
        scheduler_->setEndpoints(engines);
        report(count);
    }
    void report(int count)
    {
        for (int i = 0; i < count; ++i) {
            LoadReport report;
            report.endpoint_ = EndpointId("engine-" + std::to_string(i));
            report.measuredAt_ = now_;
            report.running_ = static_cast<std::int32_t>(random_() % 12);
            report.livePrograms_ = 20;
            report.cacheUsedTokens_ = 400'000;
            scheduler_->onLoadReport(report);
        }
    }
    /** \brief Runs one call of a program up to its answer. \return nanoseconds of submit(), which decides the engine.
     */
    double call(int program, std::uint32_t turn)
    {
        ScheduleRequest request;
        request.program_ = ProgramId("program-" + std::to_string(program));
        request.root_ = request.program_;
        request.requestId_ = RequestId("r" + std::to_string(turn));
        request.account_ = AccountId("account-" + std::to_string(program % 100));
        request.target_ = "base";
        request.promptTokens_ = 20'000;
        request.sharedTokens_ = 2000;
        request.turn_ = turn;
        request.programStarted_ = now_;
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        scheduler_->submit(request);
        const double ns = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
        AttemptResult result;
        result.program_ = request.program_;
        result.requestId_ = request.requestId_;
        result.endpoint_ = last_.endpoint_;
        result.attempt_ = last_.attempt_;
        result.promptTokens_ = request.promptTokens_;
        result.generatedTokens_ = 300;
        result.latency_ = std::chrono::seconds(5);
        result.firstToken_ = std::chrono::milliseconds(200);
        scheduler_->onFirstToken(request.program_, request.requestId_, last_.attempt_);
        scheduler_->onAttemptEnded(result);
        return ns;
    }

    Time now_{std::chrono::seconds(1000)};
    std::mt19937_64 random_{1};
    StartOrder last_;
    std::unique_ptr<Scheduler> scheduler_;
};

void measureDecision(const Emit &emit, int engines)
{
    constexpr int programs = 2000;
    SchedulerUnderTest node;
    node.addEngines(engines);
    for (int program = 0; program < programs; ++program) {
        node.call(program, 1);
    }
    std::vector<double> times;
    for (int round = 2; round < 6; ++round) {
        node.now_ += std::chrono::seconds(5);
        node.report(engines);
        for (int program = 0; program < programs; ++program) {
            times.push_back(node.call(program, static_cast<std::uint32_t>(round)));
        }
    }
    std::sort(times.begin(), times.end());
    emit({{"slope", "routing_decision_median"}, {"size", engines}, {"ns", times[times.size() / 2]}});
    emit({{"slope", "routing_decision_p99"}, {"size", engines}, {"ns", times[times.size() * 99 / 100]}});
}

void measureEngineBytes(const Emit &emit, int engines)
{
    const std::size_t before = heapBytes();
    SchedulerUnderTest node;
    node.addEngines(engines);
    emit({{"slope", "scheduler_state_engines"}, {"size", engines}, {"bytes", heapBytes() - before}});
}

void measureProgramBytes(const Emit &emit, int programs)
{
    SchedulerUnderTest node;
    node.addEngines(32);
    const std::size_t before = heapBytes();
    for (int program = 0; program < programs; ++program) {
        node.call(program, 1);
        node.scheduler_->onProgramPaused(ProgramId("program-" + std::to_string(program)), "office");
        if (program % 500 == 0) {
            node.now_ += std::chrono::seconds(5);
            node.report(32);
        }
    }
    emit({{"slope", "scheduler_state_programs"}, {"size", programs}, {"bytes", heapBytes() - before}});
}

const SlopeSet policySlopes("policy", [](const Emit &emit) {
    for (int engines : {12, 100, 390, 710}) {
        measureDecision(emit, engines);
        measureEngineBytes(emit, engines);
    }
    for (int programs : {100, 1000, 4000, 14'000}) {
        measureProgramBytes(emit, programs);
    }
});

} // namespace

} // namespace filbertgw::bench
