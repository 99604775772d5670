#include "fakes/workload.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <stdexcept>

namespace filbertgw::bench {

namespace internal {

double uniform(std::mt19937_64 &random, double low, double high)
{
    return low + (high - low) * static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

int uniformInt(std::mt19937_64 &random, int low, int high)
{
    return low + static_cast<int>(random() % static_cast<std::uint64_t>(high - low + 1));
}

/** \brief A normally distributed value (Box–Muller; the standard library's differs between versions). */
double normal(std::mt19937_64 &random)
{
    const double u = std::max(1e-12, uniform(random, 0, 1));
    return std::sqrt(-2 * std::log(u)) * std::cos(2 * M_PI * uniform(random, 0, 1));
}

double lognormal(std::mt19937_64 &random, double median, double sigma)
{
    return median * std::exp(sigma * normal(random));
}

double exponential(std::mt19937_64 &random, double mean)
{
    return -mean * std::log(std::max(1e-12, uniform(random, 0, 1)));
}

} // namespace internal

nlohmann::json readWorkloadFile(const std::string &name)
{
    const std::string path = std::string(FILBERTGW_WORKLOAD_DIR) + "/" + name + ".json";
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read workload file " + path);
    }
    return nlohmann::json::parse(file);
}

Workload::Workload(const nlohmann::json &json, const EngineSettings &engine)
    : json_(json)
    , engine_(engine)
{
    constexpr int samples = 20'000;
    constexpr std::uint64_t sampleSeed = 1;
    Random random(sampleSeed);
    double sum = 0;
    for (int i = 0; i < samples; ++i) {
        sum += engineSeconds(draw(drawTemplate(random), random, 0));
    }
    fullRate_ = json_.at("engines").get<double>() * samples / sum;
}

std::int64_t Workload::sharedTokens() const
{
    return json_.at("shared_tokens");
}

const nlohmann::json &Workload::drawTemplate(Random &random) const
{
    double left = internal::uniform(random, 0, 1);
    for (const nlohmann::json &kind : json_.at("templates")) {
        left -= kind.at("weight").get<double>();
        if (left < 0) {
            return kind;
        }
    }
    return json_.at("templates").front();
}

std::int64_t Workload::drawTokens(const std::string &key, Random &random) const
{
    const nlohmann::json &entry = json_.at(key);
    const double tokens = internal::lognormal(random, entry.at("median"), entry.at("sigma"));
    return std::max<std::int64_t>(1, std::llround(tokens));
}

void Workload::drawPause(const nlohmann::json &kind, TurnSpec &turn, Random &random, double hungTools) const
{
    double left = internal::uniform(random, 0, 1);
    for (const auto &[name, share] : kind.at("tools").items()) {
        turn.tool_ = name;
        left -= share.get<double>();
        if (left < 0) {
            break;
        }
    }
    const nlohmann::json &tool = json_.at("tools").at(turn.tool_);
    double seconds = internal::lognormal(random, tool.at("median_s"), tool.at("sigma"));
    const double minimum = tool.value("long_minimum_s", 0.0);
    if (internal::uniform(random, 0, 1) < tool.value("long_share", 0.0)) {
        seconds = minimum + internal::exponential(random, tool.at("long_mean_s").get<double>() - minimum);
    }
    if (internal::uniform(random, 0, 1) < hungTools) {
        seconds = json_.at("hang_s");
    }
    turn.pause_ = fromSeconds(seconds);
}

ProgramSpec Workload::draw(const nlohmann::json &kind, Random &random, double hungTools) const
{
    ProgramSpec program;
    program.template_ = kind.at("name");
    program.deadline_ = fromSeconds(kind.at("deadline_s").get<double>());
    program.account_ = internal::uniformInt(random, 0, json_.at("accounts").get<int>() - 1);
    program.node_ = internal::uniformInt(random, 0, json_.at("nodes").get<int>() - 1);
    program.sharedPrefix_ = internal::uniformInt(random, 0, json_.at("shared_prefixes").get<int>() - 1);
    const int turns = internal::uniformInt(random, kind.at("turns")[0], kind.at("turns")[1]);
    std::int64_t prompt = sharedTokens();
    for (int i = 0; i < turns; ++i) {
        TurnSpec turn;
        turn.added_ = drawTokens("added", random);
        turn.generated_ = drawTokens("generated", random);
        if (i == 0) {
            turn.added_ += internal::uniformInt(random, kind.at("own_tokens")[0], kind.at("own_tokens")[1]);
        }
        prompt += turn.added_ + turn.generated_;
        if (prompt > json_.at("max_prompt_tokens").get<std::int64_t>()) {
            program.turns_.back().tool_.clear();
            break;
        }
        if (i + 1 < turns) {
            drawPause(kind, turn, random, hungTools);
        }
        program.turns_.push_back(turn);
    }
    if (kind.contains("hangs")) {
        program.turns_.front().pause_ = fromSeconds(json_.at("hang_s").get<double>());
    }
    if (kind.contains("subagents")) {
        const int count = internal::uniformInt(random, kind.at("subagents")[0], kind.at("subagents")[1]);
        for (int i = 0; i < count; ++i) {
            const int turn = internal::uniformInt(random, 0, static_cast<int>(program.turns_.size()) - 2);
            TurnSpec &host = program.turns_[static_cast<std::size_t>(turn)];
            if (host.subAgent_ >= 0) {
                continue;
            }
            host.subAgent_ = static_cast<int>(program.subAgents_.size());
            host.tool_ = "subagent";
            ProgramSpec agent = draw(json_.at("templates").front(), random, hungTools);
            agent.account_ = program.account_;
            agent.node_ = program.node_;
            agent.sharedPrefix_ = program.sharedPrefix_;
            program.subAgents_.push_back(agent);
        }
    }
    return program;
}

std::vector<ProgramSpec> Workload::generate(std::uint64_t seed, const ArrivalSettings &arrivals) const
{
    Random random(seed * 0x9e3779b97f4a7c15ULL + 1);
    const double rate = fullRate_ * arrivals.load_;
    const double end = toSeconds(arrivals.length_);
    constexpr double hour = 3600;
    const double factor = json_.at("burst").at("factor");
    const double burstLength = json_.at("burst").at("minutes").get<double>() * 60;
    const double burstStart = internal::uniform(random, end - hour, end - burstLength - 600);
    constexpr double extraStart = 1800;
    constexpr double extraLength = 300;
    const double maxFactor = std::max({factor, arrivals.extraBurstFactor_, 1.0});
    std::vector<ProgramSpec> result;
    for (double t = internal::exponential(random, 1 / (rate * maxFactor)); t < end;
         t += internal::exponential(random, 1 / (rate * maxFactor))) {
        double now = 1;
        if (arrivals.extraBurstFactor_ > 0) {
            now = t >= extraStart && t < extraStart + extraLength ? arrivals.extraBurstFactor_ : 1;
        } else if (t >= burstStart && t < burstStart + burstLength) {
            now = factor;
        }
        const bool kept = internal::uniform(random, 0, 1) < now / maxFactor;
        Random own(random());
        if (!kept) {
            continue;
        }
        ProgramSpec program = draw(drawTemplate(own), own, arrivals.hungTools_);
        program.arrival_ = fromSeconds(t);
        result.push_back(program);
    }
    if (arrivals.heavyAccountFactor_ > 1) {
        const double extra = rate * (arrivals.heavyAccountFactor_ - 1) / json_.at("accounts").get<double>();
        for (double t = internal::exponential(random, 1 / extra); t < end;
             t += internal::exponential(random, 1 / extra)) {
            Random own(random());
            ProgramSpec program = draw(drawTemplate(own), own, arrivals.hungTools_);
            program.account_ = 0;
            program.arrival_ = fromSeconds(t);
            result.push_back(program);
        }
        std::stable_sort(result.begin(), result.end(), [](const ProgramSpec &a, const ProgramSpec &b) {
            return a.arrival_ < b.arrival_;
        });
    }
    for (int i = 0; i < arrivals.poisonRequests_ && !result.empty(); ++i) {
        result[random() % result.size()].poison_ = true;
    }
    return result;
}

Duration Workload::lowerBound(const ProgramSpec &program) const
{
    const double step = engine_.stepSeconds_ + engine_.streamSeconds_;
    Duration result{0};
    for (const TurnSpec &turn : program.turns_) {
        result += fromSeconds(static_cast<double>(turn.added_) / engine_.prefillTokensPerSecond_
                              + static_cast<double>(turn.generated_) * step);
        result += turn.subAgent_ >= 0 ? lowerBound(program.subAgents_[static_cast<std::size_t>(turn.subAgent_)])
                                      : turn.pause_;
    }
    return result;
}

double Workload::engineSeconds(const ProgramSpec &program) const
{
    const double streams = engine_.maxStreams_;
    const double token = (engine_.stepSeconds_ + engine_.streamSeconds_ * streams) / streams;
    double result = 0;
    for (const TurnSpec &turn : program.turns_) {
        result += static_cast<double>(turn.added_) / engine_.prefillTokensPerSecond_;
        result += static_cast<double>(turn.generated_) * token;
    }
    for (const ProgramSpec &agent : program.subAgents_) {
        result += engineSeconds(agent);
    }
    return result;
}

} // namespace filbertgw::bench
