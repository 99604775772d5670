#include "cutworld.h"

#include <algorithm>

namespace filbertgw::test {

namespace {

constexpr Duration networkDelay = std::chrono::milliseconds(1);
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
constexpr Duration shortestWork = std::chrono::milliseconds(40);
constexpr Duration workRange = std::chrono::milliseconds(80);
constexpr Duration contactTime = std::chrono::seconds(3);
constexpr Duration judgedAfter = std::chrono::milliseconds(3'300);

bool isPromiseNotRun(int status)
{
    return status == 503 || status == 429;
}

Route routeOf(RouteKind kind)
{
    return kind == RouteKind::Streaming ? streamingRoute(false, 1, true) : plainRoute(kind, 1);
}

} // namespace

CutWorld::CutWorld(CutWorldSettings settings)
    : rig_(settings.nodes_, {routeOf(settings.kind_)})
    , settings_(settings)
    , random_(settings.seed_)
{
    rig_.onAttempt_ = [this](std::size_t attempt) { onAttempt(attempt); };
    rig_.isReachable_ = [this](std::size_t node, const std::string &) { return cuts_.count(node) == 0; };
    for (std::size_t i = 0; i < settings_.engines_; ++i) {
        Endpoint engine;
        engine.id_ = "e" + std::to_string(i);
        engine.address_ = "a" + std::to_string(i);
        engine.service_ = settings_.kind_ == RouteKind::Streaming ? "engines" : "services";
        engine.slots_ = 16;
        engine.startedAtMs_ = ++starts_;
        engines_.push_back(engine);
        rig_.setEndpoint(engine);
    }
    arrive();
    run(contactTime);
}

double CutWorld::uniform()
{
    return std::uniform_real_distribution<double>()(random_);
}

void CutWorld::run(Duration time)
{
    rig_.run(time);
}

void CutWorld::cut(const std::vector<std::size_t> &nodes, CutForm form, Duration time)
{
    for (const std::size_t node : nodes) {
        cuts_[node] = form;
        cutAt_[node] = rig_.queue_.now();
    }
    if (form == CutForm::Refused) {
        for (const std::size_t node : nodes) {
            for (const Endpoint &engine : engines_) {
                kept_.erase({node, engine.address_});
            }
        }
    }
    run(time);
    for (const std::size_t node : nodes) {
        cuts_.erase(node);
        cutAt_.erase(node);
    }
}

void CutWorld::silenceEndpoint(std::size_t endpoint, Duration time)
{
    silentUntil_[engines_[endpoint].address_] = rig_.queue_.now() + time;
}

void CutWorld::replaceEndpoint(std::size_t endpoint)
{
    const std::string former = engines_[endpoint].id_;
    engines_[endpoint].startedAtMs_ = ++starts_;
    engines_[endpoint].id_ = "n" + std::to_string(starts_);
    rig_.setEndpoint(engines_[endpoint]);
    rig_.removeEndpoint(former);
}

const FirstTries &CutWorld::atCutNodes() const
{
    return atCutNodes_;
}

const FirstTries &CutWorld::atOtherNodes() const
{
    return atOtherNodes_;
}

int CutWorld::repeated() const
{
    return static_cast<int>(
        std::count_if(runs_.begin(), runs_.end(), [](const auto &request) { return request.second > 1; }));
}

int CutWorld::falseRefusals() const
{
    return falseRefusals_;
}

int CutWorld::quarantined() const
{
    return quarantined_;
}

void CutWorld::arrive()
{
    std::size_t node = 0;
    do {
        node = random_() % settings_.nodes_;
    } while (!rig_.nodes_[node]);
    Sent sent;
    sent.id_ = "r" + std::to_string(++requests_);
    sent.wasAtCutNode_ = cuts_.count(node) != 0;
    const auto isPastContact = [this](const auto &cut) { return rig_.queue_.now() - cut.second >= contactTime; };
    sent.isCounted_ = !cutAt_.empty() && std::all_of(cutAt_.begin(), cutAt_.end(), isPastContact);
    GatewayRequest request =
        settings_.kind_ == RouteKind::Streaming ? turn(sent.id_, sent.id_, sent.id_) : plainRequest(sent.id_);
    sent.response_ = rig_.send(node, request);
    rig_.queue_.after(judgedAfter, [this, sent] { judge(sent); });
    const double seconds = std::exponential_distribution<double>(settings_.requestsPerSecond_)(random_);
    rig_.queue_.after(Duration(static_cast<std::int64_t>(seconds * 1e6)), [this] { arrive(); });
}

void CutWorld::judge(const Sent &sent)
{
    const ClientResponse &response = *sent.response_;
    falseRefusals_ += response.ended_ && isPromiseNotRun(response.status_) && runs_.count(sent.id_) != 0 ? 1 : 0;
    quarantined_ += response.body_.find("quarantined") != std::string::npos ? 1 : 0;
    if (!sent.isCounted_) {
        return;
    }
    FirstTries &tries = sent.wasAtCutNode_ ? atCutNodes_ : atOtherNodes_;
    ++tries.sent_;
    tries.served_ += response.ended_ && response.status_ == 200 ? 1 : 0;
}

bool CutWorld::hasKeptConnection(std::size_t node, const std::string &address) const
{
    return kept_.count({node, address}) != 0;
}

void CutWorld::onAttempt(std::size_t attempt)
{
    const ReceivedAttempt &received = rig_.attempts_[attempt];
    const std::string address = received.attempt_.address_;
    const auto cut = cuts_.find(received.node_);
    const bool isKept = hasKeptConnection(received.node_, address);
    if (cut == cuts_.end() || (cut->second == CutForm::KeptLiveOn && isKept)) {
        startAttempt(attempt);
        return;
    }
    const auto end = [this, attempt](AttemptEnd ended) {
        if (!rig_.attempts_[attempt].cancelled_) {
            rig_.end(attempt, ended);
        }
    };
    if (cut->second != CutForm::Silent) {
        rig_.queue_.after(networkDelay, [end] { end(AttemptEnd::NotSent); });
    } else if (isKept) {
        kept_.erase({received.node_, address});
        rig_.queue_.after(received.attempt_.timeLeft_, [end] { end(AttemptEnd::TimedOut); });
    } else {
        rig_.queue_.after(connectTimeout, [end] { end(AttemptEnd::NotSent); });
    }
}

void CutWorld::startAttempt(std::size_t attempt)
{
    const std::string address = rig_.attempts_[attempt].attempt_.address_;
    const Time now = rig_.queue_.now();
    const auto silent = silentUntil_.find(address);
    const Duration wait = silent != silentUntil_.end() && silent->second > now ? silent->second - now : Duration{0};
    const Duration work = shortestWork + Duration(static_cast<std::int64_t>(uniform() * workRange.count()));
    ++runs_[rig_.attempts_[attempt].attempt_.request_->id_];
    rig_.queue_.after(networkDelay + wait + work, [this, attempt] { answer(attempt); });
}

void CutWorld::answer(std::size_t attempt)
{
    const ReceivedAttempt &received = rig_.attempts_[attempt];
    if (received.cancelled_) {
        return;
    }
    const auto cut = cuts_.find(received.node_);
    if (cut != cuts_.end() && cut->second == CutForm::Silent) {
        return;
    }
    if (cut != cuts_.end() && cut->second == CutForm::Refused) {
        rig_.end(attempt, AttemptEnd::Broken);
        return;
    }
    kept_.insert({received.node_, received.attempt_.address_});
    if (settings_.kind_ == RouteKind::Streaming) {
        rig_.stream(attempt, {"a", "b"}, true);
    } else {
        rig_.answer(attempt, 200, "done");
    }
}

} // namespace filbertgw::test
