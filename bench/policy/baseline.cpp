#include "policy/baseline.h"

#include <algorithm>

namespace filbertgw::bench {

namespace internal {

constexpr std::uint32_t maxAttempts = 3;
constexpr Duration avoidTime = std::chrono::seconds(10);

std::uint64_t hashOf(const std::string &text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    hash ^= hash >> 32U;
    return hash * 0x9e3779b97f4a7c15ULL;
}

} // namespace internal

BaselinePolicy::BaselinePolicy(BaselineKind kind, SchedulerHooks hooks)
    : kind_(kind)
    , hooks_(std::move(hooks))
{
}

void BaselinePolicy::setEndpoints(const std::vector<EndpointInfo> &endpoints)
{
    std::map<EndpointId, Engine> engines;
    for (const EndpointInfo &info : endpoints) {
        engines[info.id_] = engines_[info.id_];
        engines[info.id_].info_ = info;
    }
    engines_ = std::move(engines);
}

void BaselinePolicy::onLoadReport(const LoadReport &report)
{
    const std::map<EndpointId, Engine>::iterator engine = engines_.find(report.endpoint_);
    if (engine != engines_.end()) {
        engine->second.reportedLoad_ = report.running_ + report.waiting_;
        engine->second.measuredAt_ = report.measuredAt_;
        engine->second.info_.leaving_ = engine->second.info_.leaving_ || report.leaving_;
    }
}

void BaselinePolicy::onCacheEvent(const CacheEvent &event)
{
    const std::unordered_map<ProgramId, CachedPrefix>::iterator prefix = prefixes_.find(event.program_);
    if (prefix == prefixes_.end() || prefix->second.engine_ != event.endpoint_) {
        return;
    }
    if (event.kind_ == CacheEvent::Kind::Evicted) {
        prefix->second.tokens_ = std::min(prefix->second.tokens_, event.tokens_);
    }
}

void BaselinePolicy::onEndpointHealth(const EndpointId &endpoint, bool healthy)
{
    const std::map<EndpointId, Engine>::iterator engine = engines_.find(endpoint);
    if (engine != engines_.end()) {
        engine->second.healthy_ = healthy;
    }
}

std::optional<Failure> BaselinePolicy::admitProgram(const ProgramId & /*program*/,
                                                    const AccountId & /*account*/,
                                                    std::int64_t /*promptTokens*/,
                                                    Time /*deadline*/)
{
    return std::nullopt;
}

void BaselinePolicy::submit(const ScheduleRequest &request)
{
    Call &call = calls_[request.program_];
    call = Call{};
    call.request_ = request;
    start(call);
}

int BaselinePolicy::load(const Engine &engine) const
{
    return engine.reportedLoad_
        + static_cast<int>(std::count_if(
            engine.sent_.begin(), engine.sent_.end(), [&engine](Time sent) { return sent > engine.measuredAt_; }));
}

BaselinePolicy::Engine *BaselinePolicy::leastLoaded(const std::vector<Engine *> &candidates)
{
    Engine *best = nullptr;
    std::uint64_t ties = 0;
    for (Engine *engine : candidates) {
        const bool tie = best != nullptr && load(*engine) == load(*best);
        ties = tie ? ties + 1 : 1;
        if (best == nullptr || load(*engine) < load(*best) || (tie && hooks_.random_() % ties == 0)) {
            best = engine;
        }
    }
    return best;
}

BaselinePolicy::Engine *BaselinePolicy::chooseByHash(const Call &call, const std::vector<Engine *> &candidates) const
{
    Engine *best = nullptr;
    std::uint64_t bestHash = 0;
    for (Engine *engine : candidates) {
        const std::uint64_t hash = internal::hashOf(call.request_.program_.value() + "/" + engine->info_.id_.value());
        if (best == nullptr || hash > bestHash) {
            best = engine;
            bestHash = hash;
        }
    }
    return best;
}

BaselinePolicy::Engine *BaselinePolicy::choose(const Call &call)
{
    std::vector<Engine *> candidates;
    for (std::pair<const EndpointId, Engine> &entry : engines_) {
        const Engine &engine = entry.second;
        const bool usable = engine.healthy_ && !engine.info_.leaving_ && engine.avoidUntil_ <= hooks_.now_();
        if (usable && entry.first != call.failedEndpoint_) {
            candidates.push_back(&entry.second);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    if (kind_ == BaselineKind::RoundRobin) {
        return candidates[next_++ % candidates.size()];
    }
    if (kind_ == BaselineKind::StickyHash) {
        return chooseByHash(call, candidates);
    }
    const std::unordered_map<ProgramId, CachedPrefix>::const_iterator prefix = prefixes_.find(call.request_.program_);
    if (kind_ == BaselineKind::PrefixAware && prefix != prefixes_.end() && prefix->second.tokens_ > 0) {
        for (Engine *engine : candidates) {
            if (engine->info_.id_ == prefix->second.engine_) {
                return engine;
            }
        }
    }
    return leastLoaded(candidates);
}

void BaselinePolicy::start(Call &call)
{
    Engine *engine = choose(call);
    if (engine == nullptr) {
        ScheduleResult result;
        result.requestId_ = call.request_.requestId_;
        result.program_ = call.request_.program_;
        result.status_ = DispatchStatus::NotSent;
        result.failure_ = Failure{FailureType::Overloaded, true, "no engine is usable", std::chrono::seconds(1)};
        calls_.erase(call.request_.program_);
        hooks_.finished_(result);
        return;
    }
    engine->sent_.push_back(hooks_.now_());
    StartOrder order;
    order.requestId_ = call.request_.requestId_;
    order.program_ = call.request_.program_;
    order.endpoint_ = engine->info_.id_;
    order.attempt_ = ++call.attempt_;
    hooks_.start_(order);
}

void BaselinePolicy::onFirstToken(const ProgramId & /*program*/,
                                  const RequestId & /*request*/,
                                  std::uint32_t /*attempt*/)
{
}

void BaselinePolicy::onAttemptEnded(const AttemptResult &result)
{
    const std::unordered_map<ProgramId, Call>::iterator call = calls_.find(result.program_);
    if (call == calls_.end() || call->second.request_.requestId_ != result.requestId_) {
        return;
    }
    const bool answered = result.status_ == AttemptStatus::Answered;
    if (!answered) {
        engines_[result.endpoint_].avoidUntil_ = hooks_.now_() + internal::avoidTime;
        call->second.failedEndpoint_ = result.endpoint_;
        if (call->second.attempt_ < internal::maxAttempts) {
            start(call->second);
            return;
        }
    }
    ScheduleResult done;
    done.requestId_ = result.requestId_;
    done.program_ = result.program_;
    done.endpoint_ = result.endpoint_;
    done.status_ = answered ? DispatchStatus::Answered : DispatchStatus::Unknown;
    if (answered) {
        prefixes_[result.program_] = CachedPrefix{result.endpoint_, result.promptTokens_ + result.generatedTokens_};
    } else {
        done.failure_ = Failure{FailureType::EndpointFailed, false, "attempts exhausted", std::chrono::seconds(1)};
    }
    calls_.erase(call);
    hooks_.finished_(done);
}

void BaselinePolicy::onProgramPaused(const ProgramId & /*program*/, const std::string & /*tool*/)
{
}

void BaselinePolicy::onProgramEnded(const ProgramId &program)
{
    prefixes_.erase(program);
}

void BaselinePolicy::onHeldPrograms(const EndpointId & /*endpoint*/, const std::vector<ProgramId> & /*programs*/)
{
}

void BaselinePolicy::tick()
{
    constexpr Duration remembered = std::chrono::seconds(5);
    const Time oldest = hooks_.now_() - remembered;
    for (std::pair<const EndpointId, Engine> &entry : engines_) {
        std::vector<Time> &sent = entry.second.sent_;
        sent.erase(sent.begin(), std::lower_bound(sent.begin(), sent.end(), oldest));
    }
}

} // namespace filbertgw::bench
