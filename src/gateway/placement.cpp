#include "gateway/placement.h"

#include "core/numbers.h"

#include <algorithm>

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

std::uint64_t promptTokens(const GatewayRequest &request)
{
    std::uint64_t tokens = 0;
    for (const PromptPart &part : request.prompt_) {
        tokens = saturatingSum(tokens, part.tokens_);
    }
    return tokens;
}

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
    , prompts_(internal::partsPerEndpoint)
{
}

EndpointNumber Placement::numberOf(const std::string &endpoint)
{
    const auto known = numbers_.find(endpoint);
    if (known != numbers_.end()) {
        return known->second;
    }
    auto number = static_cast<EndpointNumber>(loads_.size());
    if (freeNumbers_.empty()) {
        loads_.emplace_back();
    } else {
        number = freeNumbers_.back();
        freeNumbers_.pop_back();
    }
    loads_[number].id_ = endpoint;
    numbers_.emplace(endpoint, number);
    return number;
}

Placement::Load *Placement::findLoad(const std::string &endpoint)
{
    const auto known = numbers_.find(endpoint);
    return known == numbers_.end() ? nullptr : &loads_[known->second];
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
            // The endpoint may have been one of another service before.
            loads_[known.numbers_.back()].slowness_ = engines_.slowness(service, endpoint->id_);
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
    double least = 0.0;
    const Time now = now_();
    const std::vector<EndpointNumber> &numbers = numbersOf(candidates);
    const bool isEngine = service != nullptr && service->engine_;
    EngineRequest described;
    std::vector<std::uint64_t> kept;
    if (isEngine) {
        retention_ = retention(candidates, *service);
        described = describe(*service, request);
        kept = prompts_.kept(request.prompt_, keptSince());
        kept.resize(loads_.size());
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Endpoint *candidate = candidates[i];
        if (!excluded.empty() && excluded.count(candidate->id_) > 0) {
            continue;
        }
        const Load &load = loads_[numbers[i]];
        double cost = isEngine ? engineCost(load, described, kept[numbers[i]]) : serviceCost(load, *candidate);
        // All that follows adds to the cost, so that the noise is drawn only where it can matter.
        if (best != nullptr && cost >= least) {
            continue;
        }
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

Placement::EngineRequest Placement::describe(const Service &service, const GatewayRequest &request) const
{
    EngineRequest described;
    described.figures_ = engines_.figures(service.name_);
    described.usualSlowness_ = engines_.usualSlowness(service.name_);
    described.slots_ = std::max<double>(1.0, service.engine_->slots_);
    described.outputTokens_ = internal::usualOutputTokens;
    if (request.expectedOutputTokens_ > 0) {
        described.outputTokens_ = static_cast<double>(request.expectedOutputTokens_);
    } else if (request.maxOutputTokens_ > 0) {
        described.outputTokens_ = std::min(internal::usualOutputTokens, static_cast<double>(request.maxOutputTokens_));
    }
    described.promptTokens_ = internal::promptTokens(request);
    return described;
}

double Placement::engineCost(const Load &load, const EngineRequest &request, std::uint64_t keptTokens)
{
    const EngineFigures &figures = request.figures_;
    const double running = load.running();
    const double batch = std::min(running, request.slots_ - 1.0);
    // Once for the request itself, once for what it adds to each of the others.
    const double decode = request.outputTokens_ * (figures.stepMs(batch) + figures.perRequestMs_ * batch);
    const double queued = std::max(0.0, running + 1.0 - request.slots_);
    const double wait = queued / request.slots_ * decode * 2.0;
    // Reading a prompt holds up every request of the batch.
    const double read = static_cast<double>(request.promptTokens_ - keptTokens) * figures.readTokenMs_;
    return load.slowness_.value_or(request.usualSlowness_) * (decode + wait + read * (1.0 + batch));
}

double Placement::serviceCost(const Load &load, const Endpoint &endpoint) const
{
    const double running = load.running();
    const double slots = std::max<double>(1.0, endpoint.slots_);
    const double work = load.serviceMs_ > 0.0 ? load.serviceMs_ : internal::usualServiceMs;
    const double queued = std::max(0.0, running + 1.0 - slots);
    return work * (1.0 + 0.5 * running / slots + 2.0 * queued / slots);
}

Duration Placement::retention(const std::vector<const Endpoint *> &engines, const Service &service)
{
    CacheLoad load;
    load.cacheTokens_ = service.engine_->cacheTokens_;
    load.engines_ = static_cast<double>(engines.size());
    load.nodes_ = static_cast<double>(nodes());
    load.running_ = running(engines);
    return caches_.retention(service.name_, load, settings_.partMemory_);
}

KeptSince Placement::keptSince() const
{
    const Time now = now_();
    return KeptSince{now - settings_.sharedPartMemory_, now - retention_};
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
    const EndpointNumber number = numberOf(endpoint.id_);
    Load &load = loads_[number];
    const std::uint64_t kept = prompts_.keptOn(number, request.prompt_, keptSince());
    const RequestStart start{internal::promptTokens(request) - kept, load.own_ + load.peers_};
    if (!request.prompt_.empty()) {
        caches_.observe(endpoint.service_, start.unread_, request.prompt_.back().tokens_);
    }
    ++load.own_;
    if (!load.idle_.empty()) {
        load.idle_.pop_back();
    }
    const Time now = now_();
    for (const PromptPart &part : request.prompt_) {
        prompts_.noteRead(number, part, now);
        if (isWorthTelling(endpoint, part.tokens_)
            && prompts_.noteTold(number, part.id_, now, now - settings_.announceAgain_)) {
            readParts_.push_back(ReadPart{endpoint.id_, part.id_, part.tokens_});
        }
    }
    return start;
}

bool Placement::isWorthTelling(const Endpoint &endpoint, std::uint64_t tokens) const
{
    const EngineFigures figures = engines_.figures(endpoint.service_, endpoint.id_);
    return static_cast<double>(tokens) * figures.readTokenMs_ >= toMilliseconds(settings_.announcedReading_);
}

void Placement::ended(const std::string &endpoint)
{
    Load *load = findLoad(endpoint);
    if (load == nullptr || load->own_ == 0) {
        return;
    }
    --load->own_;
    if (load->idle_.size() >= internal::idleConnections) {
        load->idle_.erase(load->idle_.begin());
    }
    load->idle_.push_back(now_());
}

void Placement::observeTokens(const std::string &service,
                              const std::string &endpoint,
                              std::uint64_t tokens,
                              Duration time)
{
    Load *load = findLoad(endpoint);
    if (load == nullptr) {
        return;
    }
    engines_.observeTokens(service, endpoint, std::max(0.0, load->running() - 1.0), tokens, time);
    load->slowness_ = engines_.slowness(service, endpoint);
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
    Load *load = findLoad(endpoint);
    if (load != nullptr) {
        internal::average(load->serviceMs_, toMilliseconds(time));
    }
}

void Placement::failed(const std::string &endpoint)
{
    Load *load = findLoad(endpoint);
    if (load == nullptr) {
        return;
    }
    load->idle_.clear();
    load->failures_ = std::min<std::uint32_t>(load->failures_ + 1, 8);
    const Duration penalty =
        std::min(settings_.longestPenalty_, settings_.firstPenalty_ * (1 << (load->failures_ - 1)));
    load->avoidUntil_ = now_() + penalty;
}

void Placement::succeeded(const std::string &endpoint)
{
    Load *load = findLoad(endpoint);
    if (load != nullptr) {
        load->failures_ = 0;
        load->avoidUntil_ = Time{0};
    }
}

void Placement::refusedAsFull(const std::string &endpoint)
{
    Load *load = findLoad(endpoint);
    if (load != nullptr) {
        load->avoidUntil_ = std::max(load->avoidUntil_, now_() + settings_.fullPenalty_);
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
    loads_[known->second] = Load();
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

std::vector<ReadPart> Placement::takeReadParts()
{
    std::vector<ReadPart> result;
    result.swap(readParts_);
    return result;
}

void Placement::noteReadPart(const ReadPart &read)
{
    prompts_.noteKept(numberOf(read.endpoint_), PromptPart{read.part_, read.tokens_}, now_());
}

std::vector<std::pair<std::string, std::uint32_t>> Placement::ownLoad() const
{
    std::vector<std::pair<std::string, std::uint32_t>> result;
    for (const Load &load : loads_) {
        if (load.own_ > 0) {
            result.emplace_back(load.id_, load.own_);
        }
    }
    return result;
}

void Placement::dropPeerLoad(PeerLoad &peer)
{
    for (const std::pair<std::string, std::uint32_t> &entry : peer.running_) {
        const auto known = numbers_.find(entry.first);
        if (known != numbers_.end()) {
            std::uint32_t &sum = loads_[known->second].peers_;
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
    known.heard_ = now_();
    known.nodes_ = nodes;
    known.running_ = load;
    for (const std::pair<std::string, std::uint32_t> &entry : load) {
        loads_[numberOf(entry.first)].peers_ += entry.second;
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
    const auto known = numbers_.find(endpoint);
    return known == numbers_.end() ? 0 : loads_[known->second].own_ + loads_[known->second].peers_;
}

std::uint32_t Placement::running(const std::vector<const Endpoint *> &endpoints)
{
    if (endpoints.empty()) {
        return 0;
    }
    std::uint32_t sum = 0;
    for (const EndpointNumber number : numbersOf(endpoints)) {
        sum += loads_[number].own_ + loads_[number].peers_;
    }
    return sum;
}

} // namespace filbertgw
