#include "streamworld.h"

#include <algorithm>

namespace filbertgw::test {

namespace {

constexpr Duration networkDelay = std::chrono::milliseconds(1);
constexpr Duration timeToFirstEvent = std::chrono::milliseconds(30);
constexpr Duration eventGap = std::chrono::milliseconds(40);
constexpr std::uint64_t eventsPerStream = 12;
constexpr Duration clientDeadline = std::chrono::seconds(3);
constexpr Duration pollPeriod = std::chrono::milliseconds(5);
constexpr Duration engineDownTime = std::chrono::milliseconds(400);
/** An engine that leaves serves for so long after its entry has changed. */
constexpr Duration drainTime = std::chrono::seconds(2);
constexpr Duration contactTime = std::chrono::seconds(3);
constexpr int triesOfAClient = 3;
const char *const firstVersion = "v1";

GatewayRequest streamRequest(const std::string &id, Duration timeLeft)
{
    GatewayRequest request = turn(id, "", "");
    request.tokenBudget_.reset();
    request.timeLeft_ = timeLeft;
    return request;
}

std::uint64_t firstEventOf(const EndpointAttempt &attempt)
{
    return attempt.lastEventId_.empty() ? 1 : std::stoull(attempt.lastEventId_) + 1;
}

} // namespace

StreamWorld::StreamWorld(StreamWorldSettings settings)
    : rig_(settings.nodes_, {streamingRoute(false, settings.maxAttempts_, true)})
    , settings_(settings)
    , random_(settings.seed_)
    , disturbedAt_(settings.nodes_, Time{0})
{
    constexpr std::int64_t registryLags = 5;
    for (std::size_t node = 0; node < settings.nodes_; ++node) {
        rig_.registryDelays_[node] = std::chrono::milliseconds(100) * (static_cast<std::int64_t>(node) % registryLags);
    }
    rig_.onAttempt_ = [this](std::size_t attempt) { onAttempt(attempt); };
    for (std::size_t i = 0; i < settings_.engines_; ++i) {
        Engine engine;
        engine.entry_.id_ = "e" + std::to_string(i);
        engine.entry_.service_ = "engines";
        engine.entry_.address_ = "a" + std::to_string(i);
        engine.entry_.version_ = firstVersion;
        engine.entry_.slots_ = 16;
        engine.entry_.startedAtMs_ = ++starts_;
        engines_.push_back(engine);
        rig_.setEndpoint(engine.entry_);
    }
    run(contactTime);
    arrive();
    rig_.queue_.after(settings_.crashPeriod_, [this] { crashAny(); });
}

void StreamWorld::run(Duration time)
{
    rig_.run(time);
}

std::size_t StreamWorld::nodes() const
{
    return settings_.nodes_;
}

std::size_t StreamWorld::engines() const
{
    return settings_.engines_;
}

const StreamResult &StreamWorld::result() const
{
    return result_;
}

double StreamWorld::uniform()
{
    return std::uniform_real_distribution<double>()(random_);
}

std::size_t StreamWorld::randomNode()
{
    std::size_t node = 0;
    do {
        node = random_() % settings_.nodes_;
    } while (!rig_.nodes_[node]);
    return node;
}

bool StreamWorld::isInTouch(std::size_t node) const
{
    return disturbed_.count(node) == 0 && rig_.queue_.now() - disturbedAt_[node] >= contactTime;
}

void StreamWorld::killNode(std::size_t node)
{
    rig_.kill(node);
    disturbedAt_[node] = rig_.queue_.now();
}

void StreamWorld::killNodes(const std::vector<std::size_t> &nodes, Duration downTime)
{
    for (const std::size_t node : nodes) {
        killNode(node);
    }
    rig_.queue_.after(downTime, [this, nodes] {
        for (const std::size_t node : nodes) {
            rig_.restart(node);
            disturbedAt_[node] = rig_.queue_.now();
        }
    });
}

void StreamWorld::isolateNode(std::size_t node, bool isolated)
{
    const std::string name = "node" + std::to_string(node);
    if (isolated) {
        rig_.isolatedNodes_.insert(name);
        disturbed_.insert(node);
    } else {
        rig_.isolatedNodes_.erase(name);
        disturbed_.erase(node);
        disturbedAt_[node] = rig_.queue_.now();
    }
}

void StreamWorld::cutStore(std::size_t node, bool cut)
{
    rig_.store_.refuses_["node" + std::to_string(node)] = cut;
    rig_.cutRegistry(node, cut);
    if (cut) {
        disturbed_.insert(node);
    } else {
        disturbed_.erase(node);
        disturbedAt_[node] = rig_.queue_.now();
    }
}

void StreamWorld::arrive()
{
    const std::shared_ptr<Client> client = std::make_shared<Client>();
    client->deadline_ = rig_.queue_.now() + clientDeadline;
    send(client);
    const double seconds = std::exponential_distribution<double>(settings_.streamsPerSecond_)(random_);
    rig_.queue_.after(Duration(static_cast<std::int64_t>(seconds * 1e6)), [this] { arrive(); });
}

void StreamWorld::send(const std::shared_ptr<Client> &client)
{
    const std::shared_ptr<Try> attempt = std::make_shared<Try>();
    ++client->tries_;
    attempt->id_ = "r" + std::to_string(++requests_);
    attempt->node_ = randomNode();
    attempt->client_ = client;
    attempt->isTakenUp_ = client->events_ > 0;
    GatewayRequest request = streamRequest(attempt->id_, client->deadline_ - rig_.queue_.now());
    if (attempt->isTakenUp_) {
        request.resumes_ = client->first_;
        request.lastEventId_ = std::to_string(client->events_);
    }
    constexpr std::size_t enginesNeeded = 2;
    attempt->isCounted_ =
        isInTouch(attempt->node_) && (!attempt->isTakenUp_ || servingEngines(client->version_) >= enginesNeeded);
    if (attempt->isCounted_) {
        ++(attempt->isTakenUp_ ? result_.takenUp_ : result_.begun_);
    }
    attempt->response_ = rig_.send(attempt->node_, request);
    poll(attempt);
}

/** Reads what has come and notices the end of the response, or of its node. */
void StreamWorld::poll(const std::shared_ptr<Try> &attempt)
{
    readEvents(*attempt);
    const ClientResponse &response = *attempt->response_;
    const bool isRefused = response.ended_ && response.status_ / 100 != 2;
    const bool isNodeGone = !rig_.nodes_[attempt->node_];
    if (response.ended_ && !isRefused) {
        return;
    }
    if (isRefused || response.aborted_ || isNodeGone) {
        tryAgain(attempt);
        return;
    }
    rig_.queue_.after(pollPeriod, [this, attempt] { poll(attempt); });
}

void StreamWorld::tryAgain(const std::shared_ptr<Try> &attempt)
{
    const std::shared_ptr<Client> &client = attempt->client_;
    if (client->events_ >= eventsPerStream || client->tries_ >= triesOfAClient
        || rig_.queue_.now() >= client->deadline_) {
        return;
    }
    send(client);
}

/** Each event is `id: N`, `data: VERSION` and an empty line. */
void StreamWorld::readEvents(Try &attempt)
{
    const std::string &body = attempt.response_->body_;
    if (attempt.response_->status_ != 200) {
        return;
    }
    Client &client = *attempt.client_;
    for (std::size_t end = body.find("\n\n", attempt.readBytes_); end != std::string::npos;
         end = body.find("\n\n", attempt.readBytes_)) {
        const std::string event = body.substr(attempt.readBytes_, end - attempt.readBytes_);
        attempt.readBytes_ = end + 2;
        const std::size_t data = event.find("\ndata: ");
        const std::string version = event.substr(data + 7);
        const std::uint64_t number = std::stoull(event.substr(4, data - 4));
        if (!attempt.hasEvent_ && attempt.isCounted_) {
            ++(attempt.isTakenUp_ ? result_.wentOn_ : result_.beganEvents_);
        }
        attempt.hasEvent_ = true;
        if (client.events_ == 0) {
            client.first_ = attempt.id_;
            client.version_ = version;
        }
        if (number != client.events_ + 1 && !client.isDisordered_) {
            client.isDisordered_ = true;
            ++result_.disordered_;
        }
        client.events_ = number;
        if (version != client.version_ && !client.isMixed_) {
            client.isMixed_ = true;
            ++result_.mixed_;
        }
    }
}

StreamWorld::Engine *StreamWorld::findEngine(const std::string &id)
{
    const auto hasId = [&id](const Engine &engine) { return engine.entry_.id_ == id; };
    const auto found = std::find_if(engines_.begin(), engines_.end(), hasId);
    return found == engines_.end() ? nullptr : &*found;
}

std::size_t StreamWorld::servingEngines(const std::string &version) const
{
    return static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(), [&version](const Engine &engine) {
        return engine.isUp_ && !engine.entry_.draining_ && engine.entry_.version_ == version;
    }));
}

void StreamWorld::onAttempt(std::size_t attempt)
{
    const EndpointAttempt &sent = rig_.attempts_[attempt].attempt_;
    const std::string engine = sent.endpoint_;
    const std::uint64_t next = firstEventOf(sent);
    rig_.queue_.after(networkDelay, [this, engine, attempt, next] {
        if (crashed_.count(engine) != 0) {
            rig_.end(attempt, AttemptEnd::NotSent);
            return;
        }
        rig_.queue_.after(timeToFirstEvent, [this, engine, attempt, next] { sendEvent(engine, attempt, next); });
    });
}

void StreamWorld::sendEvent(const std::string &engine, std::size_t attempt, std::uint64_t next)
{
    if (rig_.attempts_[attempt].cancelled_) {
        return;
    }
    if (crashed_.count(engine) != 0) {
        result_.brokenOff_ += next > firstEventOf(rig_.attempts_[attempt].attempt_) ? 1 : 0;
        rig_.end(attempt, AttemptEnd::Broken);
        return;
    }
    const std::string version = findEngine(engine)->entry_.version_;
    const AttemptHandlers handlers = rig_.attempts_[attempt].handlers_;
    if (next == firstEventOf(rig_.attempts_[attempt].attempt_)) {
        AttemptHead head;
        head.status_ = 200;
        head.fromEndpoint_ = true;
        handlers.onHead_(head);
    }
    if (next > eventsPerStream) {
        handlers.onEnd_(AttemptEnd::Complete);
        return;
    }
    handlers.onPart_("id: " + std::to_string(next) + "\ndata: " + version + "\n\n");
    rig_.queue_.after(eventGap, [this, engine, attempt, next] { sendEvent(engine, attempt, next + 1); });
}

void StreamWorld::crashAny()
{
    Engine &engine = engines_[random_() % engines_.size()];
    if (engine.isUp_ && !engine.entry_.draining_) {
        crash(engine);
    }
    rig_.queue_.after(settings_.crashPeriod_, [this] { crashAny(); });
}

void StreamWorld::crash(Engine &engine)
{
    engine.isUp_ = false;
    crashed_.insert(engine.entry_.id_);
    const std::size_t number = static_cast<std::size_t>(&engine - engines_.data());
    rig_.queue_.after(engineDownTime, [this, number] { comeBack(number); });
}

/** The engine starts again with a new id, at the same address and of the same version. */
void StreamWorld::comeBack(std::size_t engine)
{
    Engine &started = engines_[engine];
    if (started.isUp_) {
        return; // It was replaced in the meantime.
    }
    const std::string former = started.entry_.id_;
    started.entry_.startedAtMs_ = ++starts_;
    started.entry_.id_ = started.entry_.address_ + "-" + std::to_string(starts_);
    started.isUp_ = true;
    rig_.setEndpoint(started.entry_);
    rig_.queue_.after(clientDeadline, [this, former] { rig_.removeEndpoint(former); });
}

void StreamWorld::release(const std::string &version, std::size_t count, Duration gap)
{
    replaceNext(version, count, gap);
}

/** The new engine starts first, then the old one drains. */
void StreamWorld::replaceNext(const std::string &version, std::size_t left, Duration gap)
{
    if (left == 0) {
        return;
    }
    const std::size_t number = nextReplaced_++ % settings_.engines_;
    Engine added;
    added.entry_ = engines_[number].entry_;
    added.entry_.version_ = version;
    added.entry_.startedAtMs_ = ++starts_;
    added.entry_.id_ = "n" + std::to_string(starts_);
    added.entry_.address_ = added.entry_.id_;
    rig_.setEndpoint(added.entry_);
    Engine leaving = engines_[number];
    engines_[number] = added;
    if (leaving.isUp_) {
        leaving.entry_.draining_ = true;
        engines_.push_back(leaving);
        rig_.setEndpoint(leaving.entry_);
        rig_.queue_.after(drainTime, [this, id = leaving.entry_.id_] {
            crashed_.insert(id);
            rig_.removeEndpoint(id);
        });
    }
    rig_.queue_.after(gap, [this, version, left, gap] { replaceNext(version, left - 1, gap); });
}

} // namespace filbertgw::test
