#include "gatewayrig.h"

#include "endpoints/endpointlimits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

namespace filbertgw::test {

namespace {

constexpr Duration networkDelay = std::chrono::milliseconds(1);
constexpr Duration shortestRun = std::chrono::milliseconds(50);
constexpr Duration longestRun = std::chrono::milliseconds(250);
/** From this time after an endpoint has first named a limit, what it gets is bounded. */
constexpr Duration contactTime = std::chrono::seconds(3);
constexpr Duration window = std::chrono::seconds(4);
/** A node counts from this time after it has received an answer with a limit. */
constexpr Duration noticeTime = std::chrono::milliseconds(500);
constexpr Duration namedAt = std::chrono::seconds(5);

} // namespace

/** \brief Nodes before endpoints of which some name a limit of requests. */
struct EndpointLimitCase
{
    const char *name_;
    std::size_t nodes_;
    double perSecond_; ///< Named limit.
    std::size_t limited_ = 10; ///< Of 14 endpoints.
    double requestsPerSecond_ = 250.0;
    std::function<void(GatewayRig &rig, Duration sinceNamed)> trouble_ = nullptr; ///< Called each second.
    double unnamedShare_ = 0.0; ///< Share of the answers that do not name the limit although it holds.
};

/** \brief Plays the endpoints and counts what each of them gets. */
class LimitWorld
{
public:
    explicit LimitWorld(const EndpointLimitCase &settings)
        : rig_(settings.nodes_, {plainRoute(RouteKind::Idempotent, 2)})
        , settings_(settings)
    {
        rig_.onAttempt_ = [this](std::size_t attempt) { onAttempt(attempt); };
        rig_.addEndpoints("services", "e", endpoints_);
        rig_.run(std::chrono::seconds(2));
        startedAt_ = rig_.queue_.now();
        arrive();
    }

    void run(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += std::chrono::seconds(1)) {
            rig_.run(std::chrono::seconds(1));
            if (settings_.trouble_ && rig_.queue_.now() - startedAt_ > namedAt) {
                settings_.trouble_(rig_, rig_.queue_.now() - startedAt_ - namedAt);
            }
        }
    }

    void endLimits()
    {
        areLimited_ = false;
        endedAt_ = rig_.queue_.now();
    }

    /** \brief Requests beyond the bound that any endpoint got in some window. */
    int mostBeyondBound() const
    {
        int most = 0;
        for (const std::pair<const std::string, Received> &entry : received_) {
            const double allowed = settings_.perSecond_ * 1.5 * std::chrono::duration<double>(window).count() + 5.0;
            most = std::max(most, entry.second.mostInWindow_ - static_cast<int>(allowed));
        }
        return most;
    }

    std::size_t requestsOfLimited(Time since) const
    {
        return static_cast<std::size_t>(
            std::count_if(limitedArrivals_.begin(), limitedArrivals_.end(), [since](Time at) { return at >= since; }));
    }

    int sent_ = 0; ///< Requests whose objective has passed.
    int served_ = 0;
    int refusedLate_ = 0; ///< Refused later than a quarter of the objective.
    GatewayRig rig_;
    Time endedAt_{0};

private:
    struct Received
    {
        std::deque<Time> counted_; ///< Requests of the last window.
        int mostInWindow_ = 0;
    };

    static constexpr std::size_t endpoints_ = 14;
    static constexpr Duration objective_ = std::chrono::seconds(1);

    double uniform()
    {
        return std::uniform_real_distribution<double>()(random_);
    }

    bool isLimited(const std::string &endpoint) const
    {
        return areLimited_ && rig_.queue_.now() - startedAt_ >= namedAt
            && std::stoul(endpoint.substr(1)) < settings_.limited_;
    }

    void arrive()
    {
        std::size_t node = random_() % settings_.nodes_;
        while (!rig_.nodes_[node]) {
            node = (node + 1) % settings_.nodes_;
        }
        const Time sentAt = rig_.queue_.now();
        const std::shared_ptr<ClientResponse> response =
            rig_.send(node, plainRequest("r" + std::to_string(++requests_)));
        rig_.queue_.after(objective_, [this, response, sentAt] {
            ++sent_;
            served_ += response->ended_ && response->status_ == 200 ? 1 : 0;
            const bool isRefused = response->ended_ && response->status_ != 200;
            refusedLate_ += isRefused && response->endedAt_ - sentAt > objective_ / 4 ? 1 : 0;
        });
        const double seconds = std::exponential_distribution<double>(settings_.requestsPerSecond_)(random_);
        rig_.queue_.after(Duration(static_cast<std::int64_t>(seconds * 1e6)), [this] { arrive(); });
    }

    void onAttempt(std::size_t attempt)
    {
        const std::size_t node = rig_.attempts_[attempt].node_;
        const std::string endpoint = rig_.attempts_[attempt].attempt_.endpoint_;
        rig_.queue_.after(networkDelay, [this, node, endpoint] { count(node, endpoint); });
        const Duration time =
            shortestRun + Duration(static_cast<std::int64_t>(uniform() * (longestRun - shortestRun).count()));
        rig_.queue_.after(time, [this, attempt, node, endpoint] {
            if (!rig_.attempts_[attempt].cancelled_ && rig_.nodes_[node]) {
                answer(attempt, node, endpoint);
            }
        });
    }

    void count(std::size_t node, const std::string &endpoint)
    {
        const Time now = rig_.queue_.now();
        if (std::stoul(endpoint.substr(1)) < settings_.limited_) {
            limitedArrivals_.push_back(now);
        }
        const auto told = toldAt_.find({node, endpoint});
        const bool counts = isLimited(endpoint) && firstNamedAt_.count(endpoint) != 0
            && now - firstNamedAt_.at(endpoint) >= contactTime && told != toldAt_.end()
            && now - told->second >= noticeTime;
        if (!counts) {
            return;
        }
        Received &received = received_[endpoint];
        received.counted_.push_back(now);
        while (now - received.counted_.front() > window) {
            received.counted_.pop_front();
        }
        received.mostInWindow_ = std::max(received.mostInWindow_, static_cast<int>(received.counted_.size()));
    }

    void answer(std::size_t attempt, std::size_t node, const std::string &endpoint)
    {
        AttemptHead head;
        head.status_ = 200;
        head.fromEndpoint_ = true;
        if (isLimited(endpoint) && uniform() >= settings_.unnamedShare_) {
            head.limit_ = LimitStatement::Named;
            head.requestsPerSecond_ = settings_.perSecond_;
            firstNamedAt_.emplace(endpoint, rig_.queue_.now());
            toldAt_.emplace(std::make_pair(node, endpoint), rig_.queue_.now());
        }
        const AttemptHandlers handlers = rig_.attempts_[attempt].handlers_;
        handlers.onHead_(head);
        handlers.onPart_("done");
        handlers.onEnd_(AttemptEnd::Complete);
    }

    EndpointLimitCase settings_;
    std::mt19937_64 random_{1};
    std::uint64_t requests_ = 0;
    Time startedAt_{0};
    bool areLimited_ = true;
    std::map<std::string, Received> received_;
    std::map<std::string, Time> firstNamedAt_;
    std::map<std::pair<std::size_t, std::string>, Time> toldAt_;
    std::vector<Time> limitedArrivals_;
};

class EndpointLimit : public testing::TestWithParam<EndpointLimitCase>
{
};

// Guards against nodes that together send an endpoint more requests than the limit that it has named.
TEST_P(EndpointLimit, IsKeptByAllNodesTogether)
{
    LimitWorld world(GetParam());
    world.run(std::chrono::seconds(25));
    EXPECT_LE(world.mostBeyondBound(), 0);
    EXPECT_GE(world.served_ * 100, world.sent_ * 97); // The other endpoints can serve the load.
    EXPECT_EQ(world.refusedLate_, 0);
}

// Guards against an endpoint that stays without requests after its limit has ended.
TEST_P(EndpointLimit, EndsForAllNodes)
{
    LimitWorld world(GetParam());
    world.run(std::chrono::seconds(12));
    world.endLimits();
    world.run(std::chrono::seconds(12));
    const std::size_t arrived = world.requestsOfLimited(world.rig_.queue_.now() - std::chrono::seconds(4));
    const double share = static_cast<double>(GetParam().limited_) / 14.0;
    EXPECT_GE(static_cast<double>(arrived), 0.5 * share * GetParam().requestsPerSecond_ * 4.0);
}

namespace {

void restartNodes(GatewayRig &rig, Duration sinceNamed)
{
    const std::size_t second = static_cast<std::size_t>(sinceNamed / std::chrono::seconds(1));
    if (second % 3 == 0) {
        rig.kill(second / 3 % rig.nodes_.size());
        rig.restart(second / 3 % rig.nodes_.size());
    }
}

void loseDatagrams(GatewayRig &rig, Duration)
{
    rig.lostDatagrams_ = 0.3;
}

void takeStoreAway(GatewayRig &rig, Duration)
{
    rig.store_.down_ = true;
}

} // namespace

INSTANTIATE_TEST_SUITE_P(Table,
                         EndpointLimit,
                         testing::Values(EndpointLimitCase{"OneNode", 1, 5.0},
                                         EndpointLimitCase{"FewNodes", 4, 5.0},
                                         EndpointLimitCase{"LowLimit", 12, 3.2},
                                         EndpointLimitCase{"BelowOneASecond", 12, 0.4},
                                         EndpointLimitCase{"None", 12, 0.0},
                                         EndpointLimitCase{"HighLimit", 12, 40.0},
                                         EndpointLimitCase{"BeyondAllNeed", 12, 1e9},
                                         EndpointLimitCase{"LargeFleet", 60, 5.0},
                                         EndpointLimitCase{"HundredsOfNodes", 195, 5.0},
                                         EndpointLimitCase{"NodesRestart", 12, 5.0, 10, 250.0, restartNodes},
                                         EndpointLimitCase{"DatagramsLost", 12, 5.0, 10, 250.0, loseDatagrams},
                                         EndpointLimitCase{"StoreAway", 12, 5.0, 10, 250.0, takeStoreAway},
                                         EndpointLimitCase{"NotInEachAnswer", 12, 5.0, 10, 250.0, nullptr, 0.3}),
                         [](const testing::TestParamInfo<EndpointLimitCase> &info) { return info.param.name_; });

// Guards against requests that wait for their deadline although each endpoint has got what it takes.
TEST(EndpointLimits, RequestsBeyondAllLimitsAreRefusedAtOnce)
{
    const EndpointLimitCase settings{"AllLimited", 12, 5.0, 14};
    LimitWorld world(settings);
    world.run(std::chrono::seconds(25));
    EXPECT_LE(world.mostBeyondBound(), 0);
    EXPECT_EQ(world.refusedLate_, 0);
    EXPECT_GE(world.served_, 14 * 5 * 15); // The endpoints are used up to three quarters of their limit.
}

// Guards against a clock that advances between two questions, by which an endpoint without a limit seemed to have one.
TEST(EndpointLimits, EndpointsWithoutALimitMayGetRequestsAtAnyTime)
{
    Time now{0};
    EndpointLimitHooks hooks;
    hooks.now_ = [&now] { return now += std::chrono::microseconds(1); };
    hooks.isChosen_ = [](const std::string &, std::size_t) { return true; };
    hooks.onLimited_ = [](const std::string &, double) {};
    EndpointLimits limits(hooks, EndpointLimitSettings());
    AttemptHead head;
    head.limit_ = LimitStatement::Named;
    head.requestsPerSecond_ = 2.0;
    limits.observe("limited@1", head);
    const Time asked = now;
    EXPECT_LE(limits.nextSend("other@1").value_or(Time::max()), asked);
    limits.sent("limited@1");
    EXPECT_GT(limits.nextSend("limited@1").value_or(Time{0}), asked);
}

} // namespace filbertgw::test
