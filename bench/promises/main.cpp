#include "promises/checker.h"
#include "promises/world.h"

#include <nlohmann/json.hpp>

#include <tbb/global_control.h>
#include <tbb/parallel_for.h>

#include <getopt.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <mutex>

namespace filbertgw::bench {

namespace {

constexpr std::size_t maxPrintedViolations = 20;
constexpr std::array<const char *, 8> safeguards{
    "fencing", "intent", "read-back", "budget", "dedup", "drain", "config-order", "release"};

struct Options
{
    std::string deployment_;
    std::uint64_t seed_ = 1;
    std::uint64_t runs_ = 1;
    std::string broken_;
    int threads_ = 0;
    bool verbose_ = false;
};

struct Summary
{
    std::mutex mutex_;
    std::uint64_t violations_ = 0;
    std::uint64_t badSchedules_ = 0;
    std::uint64_t firstBadSeed_ = 0;
    std::map<std::string, std::uint64_t> byPromise_;
    nlohmann::json samples_ = nlohmann::json::array();
    std::uint64_t attempts_ = 0;
    std::uint64_t runs_ = 0;
    std::uint64_t cutByStops_ = 0;
    std::vector<double> takeovers_;
    std::vector<double> starts_;
    std::vector<double> stopStarts_;
    std::pair<double, std::uint64_t> slowestTakeover_; ///< Seconds and seed.
    std::pair<double, std::uint64_t> slowestStopStart_;
};

int usage(const char *problem)
{
    std::fprintf(stderr, "promises: %s\n", problem);
    return 2;
}

bool parse(int argc, char **argv, Options &options)
{
    const std::array<option, 7> longOptions{{{"deployment", required_argument, nullptr, 'd'},
                                             {"seed", required_argument, nullptr, 's'},
                                             {"runs", required_argument, nullptr, 'r'},
                                             {"break", required_argument, nullptr, 'b'},
                                             {"threads", required_argument, nullptr, 't'},
                                             {"verbose", no_argument, nullptr, 'v'},
                                             {nullptr, 0, nullptr, 0}}};
    for (int c = 0; (c = getopt_long(argc, argv, "", longOptions.data(), nullptr)) != -1;) {
        switch (c) {
        case 'd':
            options.deployment_ = optarg;
            break;
        case 's':
            options.seed_ = std::strtoull(optarg, nullptr, 10);
            break;
        case 'r':
            options.runs_ = std::strtoull(optarg, nullptr, 10);
            break;
        case 'b':
            options.broken_ = optarg;
            break;
        case 't':
            options.threads_ = std::atoi(optarg);
            break;
        case 'v':
            options.verbose_ = true;
            break;
        default:
            return false;
        }
    }
    return true;
}

void add(Summary &summary, std::uint64_t seed, const Trace &trace, const std::vector<Violation> &violations)
{
    const std::lock_guard<std::mutex> lock(summary.mutex_);
    summary.attempts_ += trace.attempts_.size();
    summary.runs_ += trace.runs_.size();
    for (const Attempt &attempt : trace.attempts_) {
        summary.cutByStops_ += attempt.cutByPlannedStop_ ? 1 : 0;
    }
    summary.takeovers_.insert(summary.takeovers_.end(), trace.takeoverSeconds_.begin(), trace.takeoverSeconds_.end());
    summary.starts_.insert(summary.starts_.end(), trace.startSeconds_.begin(), trace.startSeconds_.end());
    summary.stopStarts_.insert(
        summary.stopStarts_.end(), trace.stopStartSeconds_.begin(), trace.stopStartSeconds_.end());
    for (const double takeover : trace.takeoverSeconds_) {
        summary.slowestTakeover_ = std::max(summary.slowestTakeover_, {takeover, seed});
    }
    for (const double start : trace.stopStartSeconds_) {
        summary.slowestStopStart_ = std::max(summary.slowestStopStart_, {start, seed});
    }
    if (violations.empty()) {
        return;
    }
    ++summary.badSchedules_;
    if (summary.firstBadSeed_ == 0 || seed < summary.firstBadSeed_) {
        summary.firstBadSeed_ = seed;
    }
    for (const Violation &violation : violations) {
        ++summary.violations_;
        ++summary.byPromise_[violation.promise_];
        if (summary.samples_.size() < maxPrintedViolations) {
            summary.samples_.push_back({{"seed", seed}, {"promise", violation.promise_}, {"what", violation.what_}});
        }
    }
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const std::size_t index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5);
    return values[index];
}

void printTrace(const Trace &trace)
{
    for (const std::string &fault : trace.faults_) {
        std::fprintf(stderr, "fault %s\n", fault.c_str());
    }
    for (const PlannedProgram &program : trace.programs_) {
        std::fprintf(stderr, "program %s %s\n", program.name_.c_str(), program.id_.c_str());
    }
    constexpr Micros startOfTime = 1'000'000'000;
    for (const Attempt &attempt : trace.attempts_) {
        std::fprintf(stderr,
                     "attempt %s/%s at %s sent %lldms got %lldms %s%s%s%s\n",
                     attempt.program_.c_str(),
                     attempt.request_.c_str(),
                     attempt.node_.c_str(),
                     static_cast<long long>((attempt.sentAt_ - startOfTime) / 1000),
                     static_cast<long long>(attempt.gotAt_ == 0 ? -1 : (attempt.gotAt_ - startOfTime) / 1000),
                     attempt.failure_.empty() ? attempt.body_.c_str() : attempt.failure_.c_str(),
                     attempt.notRun_ ? " not_run" : "",
                     attempt.replayed_ ? " replayed" : "",
                     attempt.cut_ ? " cut" : "");
    }
    for (const Run &run : trace.runs_) {
        std::fprintf(stderr,
                     "run %s/%s at %s from %s %lldms to %lldms%s%s\n",
                     run.program_.c_str(),
                     run.request_.c_str(),
                     run.endpoint_.c_str(),
                     run.node_.c_str(),
                     static_cast<long long>((run.startedAt_ - startOfTime) / 1000),
                     static_cast<long long>(run.endedAt_ == 0 ? -1 : (run.endedAt_ - startOfTime) / 1000),
                     run.answered_ ? " answered" : "",
                     run.crashed_ ? " crashed" : "");
    }
}

int runAll(const Options &options)
{
    const Deployment deployment = deploymentNamed(options.deployment_);
    Summary summary;
    const auto begin = std::chrono::steady_clock::now();
    tbb::parallel_for(std::uint64_t{0}, options.runs_, [&](std::uint64_t i) {
        const std::uint64_t seed = options.seed_ + i;
        const Trace trace = runSchedule(deployment, seed, options.broken_);
        const std::vector<Violation> violations = checkTrace(trace);
        if (options.verbose_) {
            printTrace(trace);
        }
        add(summary, seed, trace, violations);
    });
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    const double normal = quantile(summary.starts_, 0.5);
    nlohmann::json result = {
        {"deployment", deployment.name_},
        {"seed", options.seed_},
        {"runs", options.runs_},
        {"break", options.broken_},
        {"real", {"ProgramController", "JournalFold", "JournalWriter", "ConfigController", "ConfigFold", "Scheduler"}},
        {"modelled",
         {"membership",
          "load reports and cache events (none are sent)",
          "front and peer links",
          "endpoints",
          "log",
          "callers"}},
        {"violations", summary.violations_},
        {"schedules_with_violations", summary.badSchedules_},
        {"first_bad_seed", summary.firstBadSeed_},
        {"by_promise", summary.byPromise_},
        {"samples", summary.samples_},
        {"attempts", summary.attempts_},
        {"endpoint_runs", summary.runs_},
        {"takeovers", summary.takeovers_.size()},
        {"takeover_p50_s", quantile(summary.takeovers_, 0.5)},
        {"takeover_p99_s", quantile(summary.takeovers_, 0.99)},
        {"takeover_max_s", summary.slowestTakeover_.first},
        {"takeover_max_seed", summary.slowestTakeover_.second},
        {"cut_by_planned_stops", summary.cutByStops_},
        {"planned_stop_starts", summary.stopStarts_.size()},
        {"planned_stop_added_p99_s", std::max(0.0, quantile(summary.stopStarts_, 0.99) - normal)},
        {"planned_stop_added_max_s", std::max(0.0, quantile(summary.stopStarts_, 1.0) - normal)},
        {"planned_stop_max_seed", summary.slowestStopStart_.second},
        {"normal_start_p50_s", normal},
        {"normal_start_p99_s", quantile(summary.starts_, 0.99)},
        {"wall_s", seconds},
        {"schedules_per_s", static_cast<double>(options.runs_) / std::max(seconds, 1e-9)}};
    std::printf("%s\n", result.dump().c_str());
    return summary.violations_ == 0 ? 0 : 1;
}

} // namespace

} // namespace filbertgw::bench

int main(int argc, char **argv)
{
    using namespace filbertgw::bench;
    Options options;
    if (!parse(argc, argv, options)) {
        return usage("usage: promises --deployment kochuveli|scalisi --seed N --runs K [--break NAME] [--threads N]");
    }
    if (deploymentNamed(options.deployment_).name_.empty()) {
        return usage("--deployment must be kochuveli or scalisi");
    }
    const bool isKnown = options.broken_.empty()
        || std::any_of(safeguards.begin(), safeguards.end(), [&](const char *name) { return options.broken_ == name; });
    if (!isKnown) {
        return usage(
            "--break must name one of fencing, intent, read-back, budget, dedup, drain, config-order, release");
    }
    if (options.runs_ == 0) {
        return usage("--runs must be at least 1");
    }
    const std::size_t threads =
        options.threads_ > 0 ? static_cast<std::size_t>(options.threads_) : tbb::info::default_concurrency();
    const tbb::global_control limit(tbb::global_control::max_allowed_parallelism, threads);
    return runAll(options);
}
