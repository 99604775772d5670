#include "crashworld.h"

#include <algorithm>

namespace filbertgw::test {

namespace {

constexpr Duration networkDelay = std::chrono::milliseconds(1);
/** From the begin of a poison request to the end of the endpoint. */
constexpr Duration timeToCrash = std::chrono::milliseconds(2);
constexpr Duration downTime = std::chrono::milliseconds(2'500);
/** The registry drops the entry of an endpoint that has been silent for so long. */
constexpr Duration registryTimeout = std::chrono::milliseconds(3'600);
constexpr Duration shortestService = std::chrono::milliseconds(40);
constexpr Duration longestService = std::chrono::milliseconds(300);
constexpr Duration clientRetryDelay = std::chrono::milliseconds(150);
/** A turn is sent three times, each of them with one retry of the client. */
constexpr int triesOfAClient = 6;
constexpr int crashesUntilKnown = 3;

Route routeOf(const CrashWorldSettings &settings)
{
    if (settings.kind_ == RouteKind::Streaming) {
        return streamingRoute(false, settings.maxAttempts_, settings.maxAttempts_ > 1);
    }
    return plainRoute(settings.kind_, settings.maxAttempts_);
}

bool isPoison(const std::string &body)
{
    return body.compare(0, 6, "poison") == 0;
}

/** A poison request's body is its name, and something else after a space. */
std::string poisonOf(const std::string &body)
{
    return body.substr(0, body.find(' '));
}

} // namespace

CrashWorld::CrashWorld(CrashWorldSettings settings)
    : rig_(settings.nodes_, {routeOf(settings)})
    , settings_(settings)
    , random_(settings.seed_)
    , disturbedAt_(settings.nodes_, Time{0})
{
    rig_.onAttempt_ = [this](std::size_t attempt) { onAttempt(attempt); };
    rig_.isReachable_ = [this](std::size_t node, const std::string &address) {
        return engineAt(address).isUp_ && nodesCutOff_.count(node) == 0;
    };
    for (std::size_t i = 0; i < settings_.engines_; ++i) {
        Engine engine;
        engine.entry_.id_ = "e" + std::to_string(i);
        engine.entry_.service_ = settings_.kind_ == RouteKind::Streaming ? "engines" : "services";
        engine.entry_.address_ = "a" + std::to_string(i);
        engine.entry_.slots_ = 16;
        engine.entry_.startedAtMs_ = 1;
        engines_.push_back(engine);
        rig_.setEndpoint(engine.entry_);
    }
    arrive();
    run(contactTime);
}

void CrashWorld::startPoison(const std::string &body, Duration retryDelay)
{
    Poison poison;
    poison.body_ = body;
    poison.retryDelay_ = retryDelay;
    poisons_.push_back(poison);
    sendPoison(body);
}

void CrashWorld::pausePoison(Duration time)
{
    poisonPausedUntil_ = rig_.queue_.now() + time;
}

void CrashWorld::run(Duration time)
{
    rig_.run(time);
}

void CrashWorld::stopArrivals()
{
    arrivalsStopped_ = true;
}

void CrashWorld::crashAny()
{
    crash(engines_[random_() % engines_.size()]);
}

void CrashWorld::restartNode(std::size_t node)
{
    killNode(node);
    rig_.restart(node);
}

void CrashWorld::killNode(std::size_t node)
{
    rig_.kill(node);
    disturbedAt_[node] = rig_.queue_.now();
}

void CrashWorld::isolateNode(std::size_t node, bool isolated)
{
    const std::string name = "node" + std::to_string(node);
    if (isolated) {
        rig_.isolatedNodes_.insert(name);
    } else {
        rig_.isolatedNodes_.erase(name);
    }
}

int CrashWorld::crashes(const std::string &body) const
{
    const auto hasBody = [&body](const Poison &poison) { return poison.body_ == body; };
    return std::find_if(poisons_.begin(), poisons_.end(), hasBody)->crashes_;
}

int CrashWorld::lateAttempts(const std::string &body) const
{
    const auto hasBody = [&body](const Poison &poison) { return poison.body_ == body; };
    return std::find_if(poisons_.begin(), poisons_.end(), hasBody)->lateAttempts_;
}

const OrdinaryResult &CrashWorld::ordinary() const
{
    return ordinary_;
}

CrashWorld::Poison *CrashWorld::findPoison(const std::string &body)
{
    const auto hasBody = [name = poisonOf(body)](const Poison &poison) { return poison.body_ == name; };
    const auto found = std::find_if(poisons_.begin(), poisons_.end(), hasBody);
    return found == poisons_.end() ? nullptr : &*found;
}

GatewayRequest CrashWorld::request(const std::string &body)
{
    const std::string id = "r" + std::to_string(++requests_);
    if (settings_.kind_ == RouteKind::Streaming) {
        GatewayRequest streaming = turn(id, "program-" + id, "program-" + id);
        streaming.body_ = body;
        streaming.target_ = targetOf("/turns/", body);
        return streaming;
    }
    GatewayRequest plain = plainRequest(id);
    plain.body_ = body;
    plain.target_ = targetOf("/plain/", body);
    return plain;
}

std::string CrashWorld::targetOf(const std::string &prefix, const std::string &body) const
{
    return prefix + (settings_.variesBody_ && isPoison(body) ? poisonOf(body) : "x");
}

std::size_t CrashWorld::randomNode()
{
    std::size_t node = 0;
    do {
        node = random_() % settings_.nodes_;
    } while (!rig_.nodes_[node]);
    return node;
}

double CrashWorld::uniform()
{
    return std::uniform_real_distribution<double>()(random_);
}

void CrashWorld::sendPoison(const std::string &body)
{
    // A client has one request open at a time; a node that is killed answers nothing.
    if (rig_.queue_.now() >= poisonPausedUntil_) {
        const std::string other = settings_.variesBody_ ? ' ' + std::string(1 + random_() % 40, 'a') : std::string();
        rig_.send(randomNode(), request(body + other));
    }
    rig_.queue_.after(findPoison(body)->retryDelay_, [this, body] { sendPoison(body); });
}

void CrashWorld::arrive()
{
    if (settings_.ordinaryPerSecond_ <= 0.0 || arrivalsStopped_) {
        return;
    }
    const std::shared_ptr<Client> client = std::make_shared<Client>();
    client->body_ = settings_.areAlike_ ? std::string() : "ordinary" + std::to_string(ordinary_.sent_);
    ++ordinary_.sent_;
    sendOrdinary(client);
    const double seconds = std::exponential_distribution<double>(settings_.ordinaryPerSecond_)(random_);
    rig_.queue_.after(Duration(static_cast<std::int64_t>(seconds * 1e6)), [this] { arrive(); });
}

void CrashWorld::sendOrdinary(const std::shared_ptr<Client> &client)
{
    ++client->tries_;
    const std::shared_ptr<ClientResponse> response = rig_.send(randomNode(), request(client->body_));
    rig_.queue_.after(longestService + clientRetryDelay, [this, client, response] {
        const bool isQuarantined = response->body_.find("quarantined") != std::string::npos;
        ordinary_.quarantined_ += isQuarantined ? 1 : 0;
        if (response->ended_ && response->status_ == 200) {
            ++ordinary_.served_;
        } else if (client->tries_ < triesOfAClient && !isQuarantined) {
            sendOrdinary(client);
        }
    });
}

CrashWorld::Engine &CrashWorld::engineAt(const std::string &address)
{
    const auto isAddressed = [&address](const Engine &engine) { return engine.entry_.address_ == address; };
    return *std::find_if(engines_.begin(), engines_.end(), isAddressed);
}

bool CrashWorld::isInTouch(std::size_t node) const
{
    return rig_.queue_.now() - disturbedAt_[node] >= contactTime;
}

void CrashWorld::onAttempt(std::size_t attempt)
{
    rig_.queue_.after(networkDelay, [this, attempt] {
        const EndpointAttempt &sent = rig_.attempts_[attempt].attempt_;
        Engine &engine = engineAt(sent.address_);
        if (nodesCutOff_.count(rig_.attempts_[attempt].node_) != 0) {
            rig_.end(attempt, AttemptEnd::Broken);
        } else if (!engine.isUp_) {
            rig_.end(attempt, AttemptEnd::NotSent);
        } else if (engine.entry_.id_ != sent.endpoint_) {
            AttemptHead head;
            head.status_ = 421;
            head.wrongInstance_ = true;
            rig_.attempts_[attempt].handlers_.onHead_(head);
            rig_.end(attempt, AttemptEnd::Complete);
        } else {
            begin(engine, attempt);
        }
    });
}

void CrashWorld::begin(Engine &engine, std::size_t attempt)
{
    engine.running_.push_back(attempt);
    const std::uint64_t start = engine.starts_;
    const std::string body = *rig_.attempts_[attempt].attempt_.body_;
    if (!isPoison(body)) {
        const std::int64_t span = (longestService - shortestService).count() / 2;
        const Duration time = shortestService + Duration(static_cast<std::int64_t>(uniform() * span));
        rig_.queue_.after(time, [this, &engine, start, attempt] { finish(engine, start, attempt); });
        return;
    }
    Poison &poison = *findPoison(body);
    const Time sentAt = rig_.queue_.now() - networkDelay;
    const bool isLate = poison.crashes_ >= crashesUntilKnown && sentAt - poison.thirdCrashAt_ > contactTime;
    if (isLate && isInTouch(rig_.attempts_[attempt].node_)) {
        ++poison.lateAttempts_;
    }
    rig_.queue_.after(timeToCrash, [this, &engine, start, body] {
        if (!engine.isUp_ || engine.starts_ != start) {
            return;
        }
        Poison &crashing = *findPoison(body);
        if (++crashing.crashes_ == crashesUntilKnown) {
            crashing.thirdCrashAt_ = rig_.queue_.now();
        }
        crash(engine);
    });
}

void CrashWorld::finish(Engine &engine, std::uint64_t start, std::size_t attempt)
{
    if (!engine.isUp_ || engine.starts_ != start) {
        return;
    }
    engine.running_.erase(std::remove(engine.running_.begin(), engine.running_.end(), attempt), engine.running_.end());
    if (rig_.attempts_[attempt].cancelled_) {
        return;
    }
    if (uniform() < settings_.brokenShare_) {
        rig_.end(attempt, AttemptEnd::Broken);
    } else if (settings_.kind_ == RouteKind::Streaming) {
        rig_.stream(attempt, {"a", "b"}, true);
    } else {
        rig_.answer(attempt, 200, "done");
    }
}

void CrashWorld::crash(Engine &engine)
{
    if (!engine.isUp_) {
        return;
    }
    engine.isUp_ = false;
    const std::vector<std::size_t> broken = std::move(engine.running_);
    engine.running_.clear();
    for (const std::size_t attempt : broken) {
        if (!rig_.attempts_[attempt].cancelled_ && !settings_.crashesSilently_) {
            rig_.queue_.after(networkDelay, [this, attempt] { rig_.end(attempt, AttemptEnd::Broken); });
        }
    }
    rig_.queue_.after(downTime, [this, &engine] { comeBack(engine); });
}

void CrashWorld::comeBack(Engine &engine)
{
    engine.isUp_ = true;
    ++engine.starts_;
    engine.entry_.startedAtMs_ = static_cast<std::uint64_t>(rig_.queue_.now().count() / 1000);
    // One in four starts under the id that it had.
    if (uniform() < 0.75) {
        const std::string former = engine.entry_.id_;
        rig_.queue_.after(registryTimeout - downTime, [this, former] { rig_.removeEndpoint(former); });
        engine.entry_.id_ = engine.entry_.address_ + "-" + std::to_string(engine.starts_);
    }
    rig_.setEndpoint(engine.entry_);
}

} // namespace filbertgw::test
