#include "faultyworld.h"

#include <algorithm>
#include <cmath>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;

constexpr double meanCalls = 30.0;
constexpr double callsSpread = 0.6;
constexpr int minCalls = 3;
constexpr int maxCalls = 90;
constexpr double idempotentShare = 0.8;
constexpr Duration thinkTime = milliseconds(150);
constexpr Duration callTime = milliseconds(1'500);
constexpr Duration pollInterval = milliseconds(5);
constexpr Duration faultDelay = milliseconds(2);
constexpr Duration shortestWork = milliseconds(20);
constexpr Duration workRange = milliseconds(80);
constexpr Duration warmUp = std::chrono::seconds(4);

std::vector<Route> routes()
{
    Route orders = plainRoute(RouteKind::NonIdempotent, 1);
    orders.name_ = "orders";
    orders.pathPrefix_ = "/orders/";
    return {plainRoute(RouteKind::Idempotent, 2), orders};
}

} // namespace

FaultyWorld::FaultyWorld(FaultyWorldSettings settings)
    : rig_(settings.nodes_, routes())
    , settings_(settings)
    , random_(settings.seed_)
{
    rig_.onAttempt_ = [this](std::size_t attempt) { onAttempt(attempt); };
    rig_.isReachable_ = [this](std::size_t node, const std::string &) { return cutNodes_.count(node) == 0; };
    rig_.addEndpoints("services", "s", settings_.endpoints_);
    beginProgram();
    run(warmUp);
    programs_.clear();
}

double FaultyWorld::uniform()
{
    return std::uniform_real_distribution<double>()(random_);
}

void FaultyWorld::run(Duration time)
{
    rig_.run(time);
}

void FaultyWorld::spell(std::size_t first, std::size_t count, double share, FaultForm form, Duration time)
{
    for (std::size_t i = first; i < first + count; ++i) {
        faults_["s" + std::to_string(i)] = Fault{share, form};
    }
    run(time);
    faults_.clear();
}

void FaultyWorld::cutNode(std::size_t node, Duration time)
{
    cutNodes_[node] = true;
    run(time);
    cutNodes_.erase(node);
}

void FaultyWorld::beginProgram()
{
    const auto program = std::make_shared<Program>();
    const double size = std::lognormal_distribution<double>(std::log(meanCalls) - callsSpread * callsSpread / 2.0,
                                                            callsSpread)(random_);
    program->calls_ = std::clamp(static_cast<int>(size), minCalls, maxCalls);
    programs_.push_back(program);
    call(program);
    const double perSecond = settings_.callsPerEndpoint_ * static_cast<double>(settings_.endpoints_) / meanCalls;
    const double seconds = std::exponential_distribution<double>(perSecond)(random_);
    rig_.queue_.after(Duration(static_cast<std::int64_t>(seconds * 1e6)), [this] { beginProgram(); });
}

void FaultyWorld::call(const std::shared_ptr<Program> &program)
{
    const bool isIdempotent = uniform() < idempotentShare;
    sendTry(program, isIdempotent, isIdempotent ? 2 : 1);
}

void FaultyWorld::sendTry(const std::shared_ptr<Program> &program, bool isIdempotent, int triesLeft)
{
    GatewayRequest request = plainRequest("r" + std::to_string(++requests_));
    request.target_ = isIdempotent ? "/plain/x" : "/orders/x";
    request.timeLeft_ = callTime;
    const std::shared_ptr<ClientResponse> response = rig_.send(random_() % settings_.nodes_, request);
    judge(program, response, isIdempotent, triesLeft - 1);
}

void FaultyWorld::judge(const std::shared_ptr<Program> &program,
                        const std::shared_ptr<ClientResponse> &response,
                        bool isIdempotent,
                        int triesLeft)
{
    if (!response->ended_) {
        rig_.queue_.after(pollInterval, [this, program, response, isIdempotent, triesLeft] {
            judge(program, response, isIdempotent, triesLeft);
        });
        return;
    }
    if (response->status_ == 200) {
        if (++program->served_ < program->calls_) {
            rig_.queue_.after(thinkTime, [this, program] { call(program); });
        }
        return;
    }
    const bool isUnknown = response->status_ != 503 && response->status_ != 429;
    lost_ += isUnknown ? 1 : 0;
    if (triesLeft > 0) {
        sendTry(program, isIdempotent, triesLeft);
    } else {
        program->failed_ = true;
    }
}

void FaultyWorld::onAttempt(std::size_t attempt)
{
    const ReceivedAttempt &received = rig_.attempts_[attempt];
    const std::string address = received.attempt_.address_;
    const auto end = [this, attempt](const std::function<void()> &how) {
        if (!rig_.attempts_[attempt].cancelled_) {
            how();
        }
    };
    if (cutNodes_.count(received.node_) != 0) {
        const auto refuse = [this, attempt] { rig_.end(attempt, AttemptEnd::NotSent); };
        rig_.queue_.after(faultDelay, [end, refuse] { end(refuse); });
        return;
    }
    ++arrivals_[address];
    const auto fault = faults_.find(address);
    if (fault == faults_.end() || uniform() >= fault->second.share_) {
        const Duration work = shortestWork + Duration(static_cast<std::int64_t>(uniform() * workRange.count()));
        rig_.queue_.after(work, [this, end, attempt] { end([this, attempt] { rig_.answer(attempt, 200, "done"); }); });
        return;
    }
    std::function<void()> how;
    Duration delay = faultDelay;
    switch (fault->second.form_) {
    case FaultForm::Reset:
        how = [this, attempt] { rig_.end(attempt, AttemptEnd::Broken); };
        break;
    case FaultForm::Error:
        how = [this, attempt] { rig_.answer(attempt, 500, "failed"); };
        break;
    case FaultForm::Silent:
        how = [this, attempt] { rig_.end(attempt, AttemptEnd::TimedOut); };
        delay = received.attempt_.timeLeft_;
        break;
    }
    rig_.queue_.after(delay, [end, how] { end(how); });
}

ProgramCount FaultyWorld::programs() const
{
    ProgramCount count;
    for (const std::shared_ptr<Program> &program : programs_) {
        const bool isServed = program->served_ == program->calls_;
        count.all_ += isServed || program->failed_ ? 1 : 0;
        count.served_ += isServed ? 1 : 0;
    }
    return count;
}

ProgramCount FaultyWorld::largestPrograms() const
{
    std::vector<std::shared_ptr<Program>> ended;
    std::copy_if(programs_.begin(), programs_.end(), std::back_inserter(ended), [](const auto &program) {
        return program->failed_ || program->served_ == program->calls_;
    });
    std::sort(ended.begin(), ended.end(), [](const auto &a, const auto &b) { return a->calls_ > b->calls_; });
    ended.resize(ended.size() / 10);
    ProgramCount count;
    for (const std::shared_ptr<Program> &program : ended) {
        ++count.all_;
        count.served_ += program->failed_ ? 0 : 1;
    }
    return count;
}

int FaultyWorld::lost() const
{
    return lost_;
}

const std::map<std::string, int> &FaultyWorld::arrivals() const
{
    return arrivals_;
}

void FaultyWorld::resetArrivals()
{
    arrivals_.clear();
}

} // namespace filbertgw::test
