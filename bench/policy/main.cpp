#include "policy/simulation.h"

#include <tbb/global_control.h>
#include <tbb/parallel_for.h>

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <sstream>

namespace {

using filbertgw::bench::RunSettings;
using filbertgw::bench::Simulation;

constexpr const char *usage =
    "usage: policy --deployment kochuveli|scalisi [--seed N[-M]] [--load F,...] [--faults none|ordinary|heavy,...]\n"
    "              [--policy NAME,...] [--threads N] [--median] [--burst F] [--heavy-account F] [--nodes N] "
    "[--details]\n"
    "policies: round-robin least-outstanding sticky-hash prefix-aware default default-no-MECHANISM\n"
    "--median prints one line per policy with the median of each figure over the seeds\n";

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> result;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        result.push_back(part);
    }
    return result;
}

struct Options
{
    RunSettings base_;
    std::uint64_t firstSeed_ = 1;
    std::uint64_t lastSeed_ = 1;
    std::vector<std::string> loads_{"0.8"};
    std::vector<std::string> faults_{"none"};
    std::vector<std::string> policies_{"round-robin", "least-outstanding", "sticky-hash", "prefix-aware", "default"};
    std::size_t threads_ = 0;
    bool median_ = false;
};

void parseSeeds(const std::string &text, Options &options)
{
    const std::size_t dash = text.find('-');
    options.firstSeed_ = std::stoull(text);
    options.lastSeed_ = dash == std::string::npos ? options.firstSeed_ : std::stoull(text.substr(dash + 1));
}

bool parse(int argc, char **argv, Options &options)
{
    const option table[] = {{"deployment", required_argument, nullptr, 'd'},
                            {"seed", required_argument, nullptr, 's'},
                            {"load", required_argument, nullptr, 'l'},
                            {"faults", required_argument, nullptr, 'f'},
                            {"policy", required_argument, nullptr, 'p'},
                            {"threads", required_argument, nullptr, 't'},
                            {"burst", required_argument, nullptr, 'b'},
                            {"heavy-account", required_argument, nullptr, 'a'},
                            {"nodes", required_argument, nullptr, 'n'},
                            {"median", no_argument, nullptr, 'm'},
                            {"details", no_argument, nullptr, 'i'},
                            {nullptr, 0, nullptr, 0}};
    for (int c = 0; (c = getopt_long(argc, argv, "", table, nullptr)) != -1;) {
        const std::string value = optarg != nullptr ? optarg : "";
        switch (c) {
        case 'd':
            options.base_.deployment_ = value;
            break;
        case 's':
            parseSeeds(value, options);
            break;
        case 'l':
            options.loads_ = split(value);
            break;
        case 'f':
            options.faults_ = split(value);
            break;
        case 'p':
            options.policies_ = split(value);
            break;
        case 't':
            options.threads_ = std::stoul(value);
            break;
        case 'b':
            options.base_.burstFactor_ = std::stod(value);
            break;
        case 'a':
            options.base_.heavyAccount_ = std::stod(value);
            break;
        case 'n':
            options.base_.nodes_ = std::stoi(value);
            break;
        case 'm':
            options.median_ = true;
            break;
        case 'i':
            options.base_.details_ = true;
            break;
        default:
            return false;
        }
    }
    return !options.base_.deployment_.empty();
}

std::vector<RunSettings> listRuns(const Options &options)
{
    std::vector<RunSettings> runs;
    for (const std::string &faults : options.faults_) {
        for (const std::string &load : options.loads_) {
            for (const std::string &policy : options.policies_) {
                for (std::uint64_t seed = options.firstSeed_; seed <= options.lastSeed_; ++seed) {
                    RunSettings run = options.base_;
                    run.faults_ = faults;
                    run.load_ = std::stod(load);
                    run.policy_ = policy;
                    run.seed_ = seed;
                    runs.push_back(run);
                }
            }
        }
    }
    return runs;
}

/** \brief Median of each numeric figure over the runs of one policy; violations are summed. */
nlohmann::json medianOf(const std::vector<nlohmann::json> &runs)
{
    nlohmann::json result = runs.front();
    result.erase("seed");
    result["seeds"] = runs.size();
    for (const auto &[key, value] : runs.front().items()) {
        if (!value.is_number() || key == "load" || key == "seed") {
            continue;
        }
        std::vector<double> values;
        for (const nlohmann::json &run : runs) {
            values.push_back(run.at(key));
        }
        std::sort(values.begin(), values.end());
        const double middle = (values[(values.size() - 1) / 2] + values[values.size() / 2]) / 2;
        result[key] = middle;
        if (key == "violations") {
            double sum = 0;
            for (double v : values) {
                sum += v;
            }
            result[key] = sum;
        }
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    if (!parse(argc, argv, options)) {
        std::fputs(usage, stderr);
        return 2;
    }
    const std::size_t threads = options.threads_ > 0
        ? options.threads_
        : tbb::global_control::active_value(tbb::global_control::max_allowed_parallelism);
    const tbb::global_control control(tbb::global_control::max_allowed_parallelism, threads);
    const std::vector<RunSettings> runs = listRuns(options);
    std::vector<nlohmann::json> results(runs.size());
    tbb::parallel_for(std::size_t{0}, runs.size(), [&runs, &results](std::size_t i) {
        Simulation simulation(runs[i]);
        results[i] = simulation.run();
    });
    const std::size_t seeds = options.lastSeed_ - options.firstSeed_ + 1;
    for (std::size_t i = 0; i < results.size(); i += seeds) {
        const std::vector<nlohmann::json> group(results.begin() + static_cast<std::ptrdiff_t>(i),
                                                results.begin() + static_cast<std::ptrdiff_t>(i + seeds));
        if (options.median_) {
            std::printf("%s\n", medianOf(group).dump().c_str());
            continue;
        }
        for (const nlohmann::json &line : group) {
            std::printf("%s\n", line.dump().c_str());
        }
    }
    return 0;
}
