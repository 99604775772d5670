#include "gateway/placement.h"

#include "core/numbers.h"

#include <algorithm>
#include <limits>

namespace filbertgw {

namespace internal {
namespace {

/** Weight of a new observation in a moving average. */
constexpr double newWeight = 0.2;
/** Nodes that see the same load choose differently within this part of the cost. */
constexpr double noisePart = 0.06;
/** Cost of an endpoint that is avoided: chosen only if all are. */
constexpr double avoidedCost = 1e6;
constexpr std::size_t partsPerEndpoint = 2000;
/** Idle connections that are remembered for an endpoint. */
constexpr std::size_t idleConnections = 32;
constexpr double usualServiceMs = 50.0;
constexpr double usualOutputTokens = 250.0;

void average(double &value, double observed)
{
    value = value == 0.0 ? observed : value + newWeight * (observed - value);
}

} // namespace
} // namespace internal

Placement::Placement(Clock now, RandomSource random, PlacementSettings settings)
    : now_(std::move(now))
    , random_(std::move(random))
    , settings_(settings)
    , engines_(settings.engines_)
    , caches_(now_, settings.caches_)
    , retention_(settings.partMemory_)
{
}

const Endpoint *Placement::choose(const std::vector<const Endpoint *> &candidates,
                                  const Service *service,
                                  const GatewayRequest &request,
                                  const std::unordered_set<std::string> &excluded)
{
    const Endpoint *best = nullptr;
    double least = 0.0;
    const Time now = now_();
    const bool isEngine = service != nullptr && service->engine_;
    if (isEngine) {
        retention_ = retention(candidates, *service);
    }
    for (const Endpoint *candidate : candidates) {
        if (excluded.count(candidate->id_) > 0) {
            continue;
        }
        const Load &load = loads_[candidate->id_];
        double cost = isEngine ? engineCost(load, *candidate, *service, request) : serviceCost(load, *candidate);
        cost *= 1.0 + noise() + (hasIdleConnection(load, now) ? 0.0 : settings_.newConnectionPart_);
        if (load.avoidUntil_ > now) {
            cost += internal::avoidedCost;
        }
        if (best == nullptr || cost < least) {
            best = candidate;
            least = cost;
        }
    }
    return best;
}

double Placement::engineCost(const Load &load,
                             const Endpoint &endpoint,
                             const Service &service,
                             const GatewayRequest &request) const
{
    const double running = this->running(endpoint.id_);
    const double slots = std::max<double>(1.0, service.engine_->slots_);
    double tokens = internal::usualOutputTokens;
    if (request.expectedOutputTokens_ > 0) {
        tokens = static_cast<double>(request.expectedOutputTokens_);
    } else if (request.maxOutputTokens_ > 0) {
        tokens = std::min(tokens, static_cast<double>(request.maxOutputTokens_));
    }
    const EngineFigures figures = engines_.figures(endpoint.service_, endpoint.id_);
    const double batch = std::min(running, slots - 1.0);
    // Once for the request itself, once for what it adds to each of the others.
    const double decode = tokens * (figures.stepMs(batch) + figures.perRequestMs_ * batch);
    const double queued = std::max(0.0, running + 1.0 - slots);
    const double wait = queued / slots * decode * 2.0;
    // Reading a prompt holds up every request of the batch.
    const double read = static_cast<double>(unreadTokens(load, request)) * figures.readTokenMs_;
    return decode + wait + read * (1.0 + batch);
}

double Placement::serviceCost(const Load &load, const Endpoint &endpoint) const
{
    const double running = this->running(endpoint.id_);
    const double slots = std::max<double>(1.0, endpoint.slots_);
    const double work = load.serviceMs_ > 0.0 ? load.serviceMs_ : internal::usualServiceMs;
    const double queued = std::max(0.0, running + 1.0 - slots);
    return work * (1.0 + 0.5 * running / slots + 2.0 * queued / slots);
}

Duration Placement::retention(const std::vector<const Endpoint *> &engines, const Service &service) const
{
    CacheLoad load;
    load.cacheTokens_ = service.engine_->cacheTokens_;
    load.engines_ = static_cast<double>(engines.size());
    load.nodes_ = static_cast<double>(peers_.size() + 1);
    for (const Endpoint *engine : engines) {
        load.running_ += running(engine->id_);
    }
    return caches_.retention(service.name_, load, settings_.partMemory_);
}

std::uint64_t Placement::unreadTokens(const Load &load, const GatewayRequest &request) const
{
    const Time now = now_();
    std::uint64_t unread = 0;
    bool cached = true;
    for (const PromptPart &part : request.prompt_) {
        std::uint64_t kept = 0;
        if (cached) {
            const bool shared = &part != &request.prompt_.back();
            const auto use = load.parts_.find(part.id_);
            const bool isKept = use != load.parts_.end()
                && now - use->second.used_ <= (shared ? settings_.sharedPartMemory_ : retention_);
            kept = isKept ? std::min(part.tokens_, use->second.tokens_) : 0;
            cached = kept == part.tokens_;
        }
        unread += std::min(part.tokens_ - kept, std::numeric_limits<std::uint64_t>::max() - unread);
    }
    return unread;
}

bool Placement::hasIdleConnection(const Load &load, Time now) const
{
    return !load.idle_.empty() && now - load.idle_.back() <= settings_.connectionMemory_;
}

double Placement::noise()
{
    return internal::noisePart * drawFrom(random_);
}

RequestStart Placement::started(const Endpoint &endpoint, const GatewayRequest &request)
{
    Load &load = loads_[endpoint.id_];
    const RequestStart start{unreadTokens(load, request), running(endpoint.id_)};
    if (!request.prompt_.empty()) {
        caches_.observe(endpoint.service_, start.unread_, request.prompt_.back().tokens_);
    }
    ++load.own_;
    if (!load.idle_.empty()) {
        load.idle_.pop_back();
    }
    const Time now = now_();
    for (const PromptPart &part : request.prompt_) {
        PartUse &use = load.parts_[part.id_];
        use = PartUse{now, std::max(use.tokens_, part.tokens_)};
        if (isWorthTelling(endpoint, part.tokens_)) {
            Time &told = load.announced_[part.id_];
            if (told == Time{0} || now - told >= settings_.announceAgain_) {
                told = now;
                readParts_.push_back(ReadPart{endpoint.id_, part.id_, part.tokens_});
            }
        }
    }
    bound(load);
    return start;
}

void Placement::drop(Load &load, Duration olderThan, Time now)
{
    for (auto part = load.parts_.begin(); part != load.parts_.end();) {
        part = now - part->second.used_ > olderThan ? load.parts_.erase(part) : std::next(part);
    }
}

/** Drops the parts of an endpoint that were not used for longest, if there are too many. */
void Placement::bound(Load &load) const
{
    const Time now = now_();
    for (Duration age = retention_; load.parts_.size() > internal::partsPerEndpoint; age /= 2) {
        load.announced_.clear();
        drop(load, age, now);
    }
}

bool Placement::isWorthTelling(const Endpoint &endpoint, std::uint64_t tokens) const
{
    const EngineFigures figures = engines_.figures(endpoint.service_, endpoint.id_);
    return static_cast<double>(tokens) * figures.readTokenMs_ >= toMilliseconds(settings_.announcedReading_);
}

void Placement::ended(const std::string &endpoint)
{
    const auto load = loads_.find(endpoint);
    if (load != loads_.end() && load->second.own_ > 0) {
        --load->second.own_;
        std::vector<Time> &idle = load->second.idle_;
        if (idle.size() >= internal::idleConnections) {
            idle.erase(idle.begin());
        }
        idle.push_back(now_());
    }
}

void Placement::observeTokens(const std::string &service,
                              const std::string &endpoint,
                              std::uint64_t tokens,
                              Duration time)
{
    engines_.observeTokens(service, endpoint, std::max(0.0, running(endpoint) - 1.0), tokens, time);
}

void Placement::observeFirstEvent(const std::string &service, const RequestStart &start, Duration time)
{
    engines_.observeFirstEvent(service, start.others_, start.unread_, time);
}

void Placement::observeSize(const std::string &service, const RequestStart &start, std::uint64_t tokens)
{
    engines_.observeSize(service, start.unread_, tokens);
}

const EngineModel &Placement::engines() const
{
    return engines_;
}

void Placement::observeService(const std::string &endpoint, Duration time)
{
    internal::average(loads_[endpoint].serviceMs_, toMilliseconds(time));
}

void Placement::failed(const std::string &endpoint)
{
    Load &load = loads_[endpoint];
    load.idle_.clear();
    load.failures_ = std::min<std::uint32_t>(load.failures_ + 1, 8);
    const Duration penalty = std::min(settings_.longestPenalty_, settings_.firstPenalty_ * (1 << (load.failures_ - 1)));
    load.avoidUntil_ = now_() + penalty;
}

void Placement::succeeded(const std::string &endpoint)
{
    Load &load = loads_[endpoint];
    load.failures_ = 0;
    load.avoidUntil_ = Time{0};
}

void Placement::refusedAsFull(const std::string &endpoint)
{
    Load &load = loads_[endpoint];
    load.avoidUntil_ = std::max(load.avoidUntil_, now_() + settings_.fullPenalty_);
}

void Placement::forget(const std::string &endpoint)
{
    loads_.erase(endpoint);
    engines_.forget(endpoint);
    peerRunning_.erase(endpoint);
}

void Placement::forgetCache(const std::string &endpoint)
{
    const auto load = loads_.find(endpoint);
    if (load != loads_.end()) {
        load->second.parts_.clear();
        load->second.announced_.clear();
    }
}

std::size_t Placement::partsOf(const std::string &endpoint) const
{
    const auto load = loads_.find(endpoint);
    return load == loads_.end() ? 0 : load->second.parts_.size();
}

std::vector<ReadPart> Placement::takeReadParts()
{
    std::vector<ReadPart> result;
    result.swap(readParts_);
    return result;
}

void Placement::noteReadPart(const ReadPart &read)
{
    Load &load = loads_[read.endpoint_];
    load.parts_[read.part_] = PartUse{now_(), read.tokens_};
    bound(load);
}

std::vector<std::pair<std::string, std::uint32_t>> Placement::ownLoad() const
{
    std::vector<std::pair<std::string, std::uint32_t>> result;
    for (const std::pair<const std::string, Load> &entry : loads_) {
        if (entry.second.own_ > 0) {
            result.emplace_back(entry.first, entry.second.own_);
        }
    }
    return result;
}

void Placement::dropPeerLoad(PeerLoad &peer)
{
    for (const std::pair<std::string, std::uint32_t> &entry : peer.running_) {
        const auto sum = peerRunning_.find(entry.first);
        if (sum != peerRunning_.end()) {
            sum->second -= std::min(sum->second, entry.second);
        }
    }
    peer.running_.clear();
}

void Placement::setPeerLoad(const std::string &peer, const std::vector<std::pair<std::string, std::uint32_t>> &load)
{
    PeerLoad &known = peers_[peer];
    dropPeerLoad(known);
    known.heard_ = now_();
    known.running_ = load;
    for (const std::pair<std::string, std::uint32_t> &entry : load) {
        peerRunning_[entry.first] += entry.second;
    }
}

void Placement::expirePeers()
{
    const Time oldest = now_() - settings_.peerLoadMemory_;
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        if (peer->second.heard_ >= oldest) {
            ++peer;
            continue;
        }
        dropPeerLoad(peer->second);
        peer = peers_.erase(peer);
    }
}

std::uint32_t Placement::running(const std::string &endpoint) const
{
    const auto own = loads_.find(endpoint);
    const auto peers = peerRunning_.find(endpoint);
    return (own == loads_.end() ? 0 : own->second.own_) + (peers == peerRunning_.end() ? 0 : peers->second);
}

} // namespace filbertgw
