#include "placement/placement.h"

#include "core/numbers.h"

#include <algorithm>

namespace filbertgw {

namespace internal {
namespace {

/** Weight of a new observation in a moving average. */
constexpr double averageWeight = 0.2;
/** Random variation of costs, so that nodes with the same view of the load make different choices. */
constexpr double noiseRange = 0.06;
/** Added during backoff: such an endpoint is chosen only if all others are in backoff too. */
constexpr double backoffCost = 1e6;
constexpr std::size_t maxPartsPerEndpoint = 2000;
/** Idle connections recorded per endpoint. */
constexpr std::size_t maxIdleConnections = 32;
constexpr double defaultRequestMs = 50.0;
constexpr double defaultOutputTokens = 250.0;

void updateAverage(double &value, double observed)
{
    value = value == 0.0 ? observed : value + averageWeight * (observed - value);
}

} // namespace
} // namespace internal

Placement::Placement(Clock now, RandomSource random, PlacementSettings settings)
    : now_(std::move(now))
    , random_(std::move(random))
    , settings_(settings)
    , engines_(settings.engines_)
    , caches_(now_, settings.caches_)
    , retention_(settings.defaultRetention_)
    , prompts_(internal::maxPartsPerEndpoint)
{
}

EndpointNumber Placement::numberOf(const std::string &endpoint)
{
    const auto known = numbers_.find(endpoint);
    if (known != numbers_.end()) {
        return known->second;
    }
    auto number = static_cast<EndpointNumber>(stats_.size());
    if (freeNumbers_.empty()) {
        stats_.emplace_back();
    } else {
        number = freeNumbers_.back();
        freeNumbers_.pop_back();
    }
    stats_[number].id_ = endpoint;
    numbers_.emplace(endpoint, number);
    return number;
}

Placement::EndpointStats *Placement::findStats(const std::string &endpoint)
{
    const auto known = numbers_.find(endpoint);
    return known == numbers_.end() ? nullptr : &stats_[known->second];
}

const std::vector<EndpointNumber> &Placement::numbersOf(const std::vector<const Endpoint *> &endpoints)
{
    const std::string &service = endpoints.front()->service_;
    Candidates &known = candidates_[service];
    if (known.endpoints_ != endpoints) {
        known.endpoints_ = endpoints;
        known.numbers_.clear();
        for (const Endpoint *endpoint : endpoints) {
            known.numbers_.push_back(numberOf(endpoint->id_));
            // The endpoint may have belonged to another service before.
            stats_[known.numbers_.back()].slowness_ = engines_.slowness(service, endpoint->id_);
        }
    }
    return known.numbers_;
}

const Endpoint *Placement::choose(const std::vector<const Endpoint *> &candidates,
                                  const Service *service,
                                  const GatewayRequest &request,
                                  const std::unordered_set<std::string> &excluded)
{
    if (candidates.empty()) {
        return nullptr;
    }
    const Endpoint *best = nullptr;
    double lowestCost = 0.0;
    const Time now = now_();
    const std::vector<EndpointNumber> &numbers = numbersOf(candidates);
    const bool isEngine = service != nullptr && service->engine_;
    EngineCostInputs inputs;
    std::vector<std::uint64_t> cached;
    if (isEngine) {
        retention_ = retention(candidates, *service);
        inputs = engineCostInputs(*service, request);
        cached = prompts_.cachedTokens(request.prompt_, cacheCutoffs());
        cached.resize(stats_.size());
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Endpoint *candidate = candidates[i];
        if (!excluded.empty() && excluded.count(candidate->id_) > 0) {
            continue;
        }
        const EndpointStats &stats = stats_[numbers[i]];
        double cost = isEngine ? engineCost(stats, inputs, cached[numbers[i]]) : genericCost(stats, *candidate);
        // All later terms increase the cost, so that noise is drawn only for candidates that can still win.
        if (best != nullptr && cost >= lowestCost) {
            continue;
        }
        cost *= 1.0 + noise() + (hasIdleConnection(stats, now) ? 0.0 : settings_.newConnectionCost_);
        if (stats.backoffUntil_ > now) {
            cost += internal::backoffCost;
        }
        if (best == nullptr || cost < lowestCost) {
            best = candidate;
            lowestCost = cost;
        }
    }
    return best;
}

Placement::EngineCostInputs Placement::engineCostInputs(const Service &service, const GatewayRequest &request) const
{
    EngineCostInputs inputs;
    inputs.timings_ = engines_.timings(service.name_);
    inputs.meanSlowness_ = engines_.meanSlowness(service.name_);
    inputs.slots_ = std::max<double>(1.0, service.engine_->slots_);
    inputs.outputTokens_ = internal::defaultOutputTokens;
    if (request.expectedOutputTokens_ > 0) {
        inputs.outputTokens_ = static_cast<double>(request.expectedOutputTokens_);
    } else if (request.maxOutputTokens_ > 0) {
        inputs.outputTokens_ = std::min(internal::defaultOutputTokens, static_cast<double>(request.maxOutputTokens_));
    }
    inputs.promptTokens_ = request.totalPromptTokens();
    return inputs;
}

double Placement::engineCost(const EndpointStats &stats, const EngineCostInputs &inputs, std::uint64_t cachedTokens)
{
    const EngineTimings &timings = inputs.timings_;
    const double running = stats.running();
    const double batch = std::min(running, inputs.slots_ - 1.0);
    // The time of the request itself and the delay that it adds to each of the others.
    const double decode = inputs.outputTokens_ * (timings.stepMs(batch) + timings.perRequestMs_ * batch);
    const double queued = std::max(0.0, running + 1.0 - inputs.slots_);
    const double wait = queued / inputs.slots_ * decode * 2.0;
    // A prefill delays every request of the batch.
    const double prefill = static_cast<double>(inputs.promptTokens_ - cachedTokens) * timings.prefillTokenMs_;
    return stats.slowness_.value_or(inputs.meanSlowness_) * (decode + wait + prefill * (1.0 + batch));
}

double Placement::genericCost(const EndpointStats &stats, const Endpoint &endpoint) const
{
    const double running = stats.running();
    const double slots = std::max<double>(1.0, endpoint.slots_);
    const double work = stats.meanRequestMs_ > 0.0 ? stats.meanRequestMs_ : internal::defaultRequestMs;
    const double queued = std::max(0.0, running + 1.0 - slots);
    return work * (1.0 + 0.5 * running / slots + 2.0 * queued / slots);
}

Duration Placement::retention(const std::vector<const Endpoint *> &engines, const Service &service)
{
    CacheLoad load;
    load.cacheTokens_ = service.engine_->cacheTokens_;
    load.engines_ = static_cast<double>(engines.size());
    load.nodes_ = static_cast<double>(nodes());
    load.runningRequests_ = running(engines);
    return caches_.retention(service.name_, load, settings_.defaultRetention_);
}

CacheCutoffs Placement::cacheCutoffs() const
{
    const Time now = now_();
    return CacheCutoffs{now - settings_.sharedPartRetention_, now - retention_};
}

bool Placement::hasIdleConnection(const EndpointStats &stats, Time now) const
{
    return !stats.idleSince_.empty() && now - stats.idleSince_.back() <= settings_.idleConnectionTimeout_;
}

double Placement::noise()
{
    return internal::noiseRange * drawFrom(random_);
}

DispatchState Placement::started(const Endpoint &endpoint, const GatewayRequest &request)
{
    const EndpointNumber number = numberOf(endpoint.id_);
    EndpointStats &stats = stats_[number];
    const std::uint64_t cached = prompts_.cachedTokensOn(number, request.prompt_, cacheCutoffs());
    const DispatchState state{request.totalPromptTokens() - cached, stats.localRequests_ + stats.peerRequests_};
    if (!request.prompt_.empty()) {
        caches_.observe(endpoint.service_, state.uncachedTokens_, request.prompt_.back().tokens_);
    }
    ++stats.localRequests_;
    if (!stats.idleSince_.empty()) {
        stats.idleSince_.pop_back();
    }
    const Time now = now_();
    for (const PromptPart &part : request.prompt_) {
        prompts_.recordPrefill(number, part, now);
        if (isWorthAnnouncing(endpoint, part.tokens_)
            && prompts_.markAnnounced(number, part.id_, now, now - settings_.announceInterval_)) {
            cachedParts_.push_back(CachedPart{endpoint.id_, part.id_, part.tokens_});
        }
    }
    return state;
}

bool Placement::isWorthAnnouncing(const Endpoint &endpoint, std::uint64_t tokens) const
{
    const EngineTimings timings = engines_.timings(endpoint.service_, endpoint.id_);
    return static_cast<double>(tokens) * timings.prefillTokenMs_ >= toMilliseconds(settings_.minAnnouncedPrefill_);
}

void Placement::ended(const std::string &endpoint)
{
    EndpointStats *stats = findStats(endpoint);
    if (stats == nullptr || stats->localRequests_ == 0) {
        return;
    }
    --stats->localRequests_;
    if (stats->idleSince_.size() >= internal::maxIdleConnections) {
        stats->idleSince_.erase(stats->idleSince_.begin());
    }
    stats->idleSince_.push_back(now_());
}

void Placement::observeTokens(const std::string &service,
                              const std::string &endpoint,
                              std::uint64_t tokens,
                              Duration time)
{
    EndpointStats *stats = findStats(endpoint);
    if (stats == nullptr) {
        return;
    }
    engines_.observeTokens(service, endpoint, std::max(0.0, stats->running() - 1.0), tokens, time);
    stats->slowness_ = engines_.slowness(service, endpoint);
}

void Placement::observeFirstEvent(const std::string &service, const DispatchState &state, Duration time)
{
    engines_.observeFirstEvent(service, state.otherRequests_, state.uncachedTokens_, time);
}

void Placement::observeSize(const std::string &service, const DispatchState &state, std::uint64_t tokens)
{
    engines_.observeSize(service, state.uncachedTokens_, tokens);
}

const EngineModel &Placement::engines() const
{
    return engines_;
}

void Placement::observeRequestTime(const std::string &endpoint, Duration time)
{
    EndpointStats *stats = findStats(endpoint);
    if (stats != nullptr) {
        internal::updateAverage(stats->meanRequestMs_, toMilliseconds(time));
    }
}

void Placement::failed(const std::string &endpoint)
{
    EndpointStats *stats = findStats(endpoint);
    if (stats == nullptr) {
        return;
    }
    stats->idleSince_.clear();
    stats->failures_ = std::min<std::uint32_t>(stats->failures_ + 1, 8);
    const Duration backoff = std::min(settings_.maxBackoff_, settings_.initialBackoff_ * (1 << (stats->failures_ - 1)));
    stats->backoffUntil_ = now_() + backoff;
}

void Placement::succeeded(const std::string &endpoint)
{
    EndpointStats *stats = findStats(endpoint);
    if (stats != nullptr) {
        stats->failures_ = 0;
        stats->backoffUntil_ = Time{0};
    }
}

void Placement::refusedAsFull(const std::string &endpoint)
{
    EndpointStats *stats = findStats(endpoint);
    if (stats != nullptr) {
        stats->backoffUntil_ = std::max(stats->backoffUntil_, now_() + settings_.fullBackoff_);
    }
}

void Placement::forget(const std::string &endpoint)
{
    engines_.forget(endpoint);
    const auto known = numbers_.find(endpoint);
    if (known == numbers_.end()) {
        return;
    }
    prompts_.forget(known->second);
    stats_[known->second] = EndpointStats();
    freeNumbers_.push_back(known->second);
    numbers_.erase(known);
    candidates_.clear();
}

void Placement::forgetCache(const std::string &endpoint)
{
    const auto known = numbers_.find(endpoint);
    if (known != numbers_.end()) {
        prompts_.forget(known->second);
    }
}

std::size_t Placement::endpoints() const
{
    return numbers_.size();
}

std::size_t Placement::partsOf(const std::string &endpoint) const
{
    const auto known = numbers_.find(endpoint);
    return known == numbers_.end() ? 0 : prompts_.partsOf(known->second);
}

std::vector<CachedPart> Placement::takeCachedParts()
{
    std::vector<CachedPart> result;
    result.swap(cachedParts_);
    return result;
}

void Placement::addCachedPart(const CachedPart &part)
{
    prompts_.setCached(numberOf(part.endpoint_), PromptPart{part.part_, part.tokens_}, now_());
}

std::vector<std::pair<std::string, std::uint32_t>> Placement::localLoad() const
{
    std::vector<std::pair<std::string, std::uint32_t>> result;
    for (const EndpointStats &stats : stats_) {
        if (stats.localRequests_ > 0) {
            result.emplace_back(stats.id_, stats.localRequests_);
        }
    }
    return result;
}

void Placement::dropPeerLoad(PeerLoad &peer)
{
    for (const std::pair<std::string, std::uint32_t> &entry : peer.running_) {
        const auto known = numbers_.find(entry.first);
        if (known != numbers_.end()) {
            std::uint32_t &sum = stats_[known->second].peerRequests_;
            sum -= std::min(sum, entry.second);
        }
    }
    peer.running_.clear();
}

void Placement::setPeerLoad(const std::string &peer,
                            const std::vector<std::pair<std::string, std::uint32_t>> &load,
                            std::size_t nodes)
{
    PeerLoad &known = peers_[peer];
    dropPeerLoad(known);
    known.receivedAt_ = now_();
    known.nodes_ = nodes;
    known.running_ = load;
    for (const std::pair<std::string, std::uint32_t> &entry : load) {
        stats_[numberOf(entry.first)].peerRequests_ += entry.second;
    }
}

std::size_t Placement::nodes() const
{
    std::size_t sum = 1;
    for (const std::pair<const std::string, PeerLoad> &peer : peers_) {
        sum += peer.second.nodes_;
    }
    return sum;
}

void Placement::expirePeers()
{
    const Time oldest = now_() - settings_.peerLoadTimeout_;
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        if (peer->second.receivedAt_ >= oldest) {
            ++peer;
            continue;
        }
        dropPeerLoad(peer->second);
        peer = peers_.erase(peer);
    }
}

std::uint32_t Placement::running(const std::string &endpoint) const
{
    const auto known = numbers_.find(endpoint);
    return known == numbers_.end() ? 0 : stats_[known->second].localRequests_ + stats_[known->second].peerRequests_;
}

std::uint32_t Placement::running(const std::vector<const Endpoint *> &endpoints)
{
    if (endpoints.empty()) {
        return 0;
    }
    std::uint32_t sum = 0;
    for (const EndpointNumber number : numbersOf(endpoints)) {
        sum += stats_[number].localRequests_ + stats_[number].peerRequests_;
    }
    return sum;
}

} // namespace filbertgw
