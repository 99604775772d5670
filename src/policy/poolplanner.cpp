#include "policy/poolplanner.h"

#include <algorithm>

namespace filbertgw {

namespace internal {

constexpr Duration planInterval = std::chrono::seconds(2);
constexpr double streamsSmoothing = 0.03;
constexpr double shareSmoothing = 0.05;
/** \brief Streams of an engine of the dense pool; short of the most, so that bursts of calls find a free stream. */
constexpr double denseStreams = 19;
/** \brief Share of the KV memory that the dense pool's programs may need. */
constexpr double denseMemory = 0.85;
/** \brief A class is long if decoding takes less than this part of the mean share of its time. */
constexpr double longFactor = 0.8;

std::uint64_t hashOf(const EndpointId &endpoint)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (char c : endpoint.value()) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return (hash ^ (hash >> 32U)) * 0x9e3779b97f4a7c15ULL;
}

} // namespace internal

PoolPlanner::PoolPlanner(const Blackboard &blackboard,
                         const EndpointTracker &endpoints,
                         const ProgramTracker &programs,
                         bool enabled,
                         const EngineCosts &costs,
                         Clock now,
                         std::function<std::int32_t()> liveNodes)
    : section_(blackboard.read<EndpointSection>())
    , programSection_(blackboard.read<ProgramSection>())
    , endpoints_(endpoints)
    , programs_(programs)
    , enabled_(enabled)
    , costs_(costs)
    , now_(std::move(now))
    , liveNodes_(std::move(liveNodes))
{
}

void PoolPlanner::onEndpoints()
{
    std::vector<std::pair<std::uint64_t, const EndpointState *>> engines;
    engineTokens_ = 0;
    for (const EndpointState *endpoint : section_.byNumber_) {
        if (endpoint->info_.kind_ == CallKind::Model) {
            engines.emplace_back(internal::hashOf(endpoint->info_.id_), endpoint);
            engineTokens_ += static_cast<double>(endpoint->info_.cacheTokens_);
        }
    }
    std::sort(engines.begin(), engines.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    positions_.clear();
    for (std::size_t i = 0; i < engines.size(); ++i) {
        positions_[engines[i].second->info_.id_] = (static_cast<double>(i) + 0.5) / static_cast<double>(engines.size());
    }
}

void PoolPlanner::onReport(const EndpointId &endpoint)
{
    const EndpointState *state = endpoints_.find(endpoint);
    if (state == nullptr) {
        return;
    }
    const double streams = endpoints_.streams(*state);
    Pool &pool = isDense(endpoint) ? dense_ : light_;
    pool.streams_ += internal::streamsSmoothing * (streams - pool.streams_);
    streams_ += internal::streamsSmoothing * (streams - streams_);
}

const ProgramState &PoolPlanner::rootOf(const ProgramState &program) const
{
    const ProgramState *root = programs_.find(program.root_);
    return root == nullptr ? program : *root;
}

bool PoolPlanner::isLong(const ProgramState &program) const
{
    const std::map<std::int64_t, ProgramSection::ClassMeans>::const_iterator it =
        programSection_.classes_.find(rootOf(program).classKey_);
    return it != programSection_.classes_.end()
        && it->second.decodeSeconds_ < internal::longFactor * meanShare_ * it->second.seconds_;
}

double PoolPlanner::programSeconds(const ProgramState &program) const
{
    const std::map<std::int64_t, ProgramSection::ClassMeans>::const_iterator it =
        programSection_.classes_.find(rootOf(program).classKey_);
    return it == programSection_.classes_.end() ? ProgramSection::ClassMeans{}.seconds_ : it->second.seconds_;
}

double PoolPlanner::poolSeconds(const EndpointId &endpoint) const
{
    return isDense(endpoint) ? dense_.seconds_ : light_.seconds_;
}

double PoolPlanner::meanStreams(const EndpointId &endpoint) const
{
    return isDense(endpoint) ? dense_.streams_ : light_.streams_;
}

bool PoolPlanner::isDense(const EndpointId &endpoint) const
{
    const std::unordered_map<EndpointId, double>::const_iterator it = positions_.find(endpoint);
    return enabled_ && it != positions_.end() && it->second < denseShare_;
}

void PoolPlanner::tick()
{
    if (!enabled_ || now_() < nextPlan_) {
        return;
    }
    nextPlan_ = now_() + internal::planInterval;
    double decode = 0;
    double shares = 0;
    double rates = 0;
    for (const std::pair<const std::int64_t, ProgramSection::ClassMeans> &entry : programSection_.classes_) {
        const ProgramSection::ClassMeans &means = entry.second;
        decode += means.rate_ * means.decodeSeconds_;
        shares += means.rate_ * means.decodeSeconds_ / std::max(1.0, means.seconds_);
        rates += means.rate_;
    }
    meanShare_ = rates > 0 ? shares / rates : meanShare_;
    double longDecode = 0;
    std::array<double, 2> weights{};
    std::array<double, 2> inverse{};
    double memory = 0;
    for (const std::pair<const ProgramId, ProgramState> &entry : programSection_.programs_) {
        const ProgramState &program = entry.second;
        const bool isLongProgram = isLong(program);
        const std::size_t pool = isLongProgram ? 0 : 1;
        weights[pool] += 1;
        inverse[pool] += 1 / std::max(1.0, programSeconds(program));
        if (isLongProgram && program.exportedAt_.isEmpty()) {
            memory += static_cast<double>(program.homeTokens_ - program.sharedTokens_);
        }
    }
    for (const std::pair<const std::int64_t, ProgramSection::ClassMeans> &entry : programSection_.classes_) {
        const bool isLongClass =
            entry.second.decodeSeconds_ < internal::longFactor * meanShare_ * entry.second.seconds_;
        longDecode += isLongClass ? entry.second.rate_ * entry.second.decodeSeconds_ : 0;
    }
    dense_.seconds_ = inverse[0] > 0 ? weights[0] / inverse[0] : dense_.seconds_;
    light_.seconds_ = inverse[1] > 0 ? weights[1] / inverse[1] : light_.seconds_;
    const double mean = std::max(1.0, streams_);
    const double wanted = std::max(mean, std::min(internal::denseStreams, 1.5 * mean));
    const double meanRate = mean / costs_.step(mean);
    const double denseRate = wanted / costs_.step(wanted);
    const double byWork = decode > 0 ? longDecode / decode * meanRate / denseRate : 0;
    const double byMemory = engineTokens_ > 0 ? memory * liveNodes_() / (engineTokens_ * internal::denseMemory) : 0;
    const double share = longDecode > 0 ? std::min(1.0, std::max(byWork, byMemory)) : 0;
    if (getenv("DBG") && now_().count() / 1000000 % 300 < 2)
        fprintf(
            stderr,
            "t=%.0f share=%.2f work=%.2f mem=%.2f dense n=%.1f T=%.0f light n=%.1f T=%.0f mean=%.1f meanShare=%.2f\n",
            toSeconds(now_()),
            denseShare_,
            byWork,
            byMemory,
            dense_.streams_,
            dense_.seconds_,
            light_.streams_,
            light_.seconds_,
            mean,
            meanShare_);
    denseShare_ += internal::shareSmoothing * (share - denseShare_);
}

} // namespace filbertgw
