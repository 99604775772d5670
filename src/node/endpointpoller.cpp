#include "node/endpointpoller.h"

#include "config/configsection.h"
#include "membership/membershipsection.h"
#include "membership/slotmap.h"
#include "node/errortable.h"

#include <algorithm>
#include <vector>

namespace filbertgw {
namespace internal {
namespace {

constexpr std::size_t maxMonitoredEngines = 32; ///< Bounds a node's polling traffic as the fleet grows.
constexpr Duration pollTimeout = std::chrono::seconds(2);
constexpr Duration heldPeriod = std::chrono::seconds(5);

std::int64_t integer(const nlohmann::json &object, const char *name)
{
    return object.contains(name) && object[name].is_number_integer() ? object[name].get<std::int64_t>() : 0;
}

std::string string(const nlohmann::json &object, const char *name)
{
    return object.contains(name) && object[name].is_string() ? object[name].get<std::string>() : "";
}

std::optional<CacheEvent::Kind> eventKind(const std::string &name)
{
    if (name == "stored") {
        return CacheEvent::Kind::Stored;
    }
    if (name == "evicted") {
        return CacheEvent::Kind::Evicted;
    }
    return name == "cleared" ? std::optional<CacheEvent::Kind>(CacheEvent::Kind::Cleared) : std::nullopt;
}

nlohmann::json listOf(const nlohmann::json &body, const char *name)
{
    const nlohmann::json &list = body.is_object() && body.contains(name) ? body[name] : body;
    return list.is_array() ? list : nlohmann::json::array();
}

} // namespace
} // namespace internal

EndpointPoller::EndpointPoller(const NodeHooks &hooks,
                               const Blackboard &blackboard,
                               Scheduler &scheduler,
                               Duration period,
                               IsKnownEnded isKnownEnded)
    : hooks_(hooks)
    , blackboard_(blackboard)
    , scheduler_(scheduler)
    , period_(period)
    , isKnownEnded_(std::move(isKnownEnded))
{
}

const std::set<EndpointId> &EndpointPoller::leaving() const
{
    return leaving_;
}

std::set<EndpointId> EndpointPoller::monitored() const
{
    const std::string self = blackboard_.read<MembershipSection>().self_.value();
    std::vector<std::pair<std::uint64_t, EndpointId>> ranked;
    for (const auto &[id, endpoint] : blackboard_.read<ConfigSection>().endpoints_) {
        if (endpoint.kind_ == CallKind::Model) {
            ranked.emplace_back(rendezvousWeight(self, id.value()), id);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), internal::maxMonitoredEngines));
    std::set<EndpointId> result;
    for (const auto &[weight, id] : ranked) {
        result.insert(id);
    }
    return result;
}

void EndpointPoller::tick()
{
    const std::set<EndpointId> monitoredIds = monitored();
    for (auto entry = engines_.begin(); entry != engines_.end();) {
        entry = monitoredIds.count(entry->first) == 0 ? engines_.erase(entry) : std::next(entry);
    }
    const Time now = hooks_.now_();
    for (const EndpointId &id : monitoredIds) {
        Engine &engine = engines_[id];
        if (now >= engine.nextLoadAt_) {
            engine.nextLoadAt_ = now + period_;
            pollLoad(id);
            pollEvents(id);
        }
        if (now >= engine.nextHeldAt_) {
            engine.nextHeldAt_ = now + internal::heldPeriod;
            pollHeld(id);
        }
    }
}

void EndpointPoller::get(const EndpointId &id,
                         const std::string &target,
                         std::function<void(bool, const nlohmann::json &)> done)
{
    HttpCall call;
    call.address_ = blackboard_.read<ConfigSection>().endpoints_.at(id).address_;
    call.request_.method_ = "GET";
    call.request_.target_ = target;
    call.connectTimeout_ = internal::pollTimeout;
    call.timeout_ = internal::pollTimeout;
    call.onDone_ = [this, id, done = std::move(done)](const HttpResult &result) {
        if (engines_.count(id) == 0) {
            return;
        }
        const nlohmann::json body = nlohmann::json::parse(result.body_, nullptr, false);
        const bool reached = result.outcome_ == HttpOutcome::Complete && result.status_ == 200 && !body.is_discarded();
        done(reached, body);
    };
    hooks_.startHttp_(std::move(call));
}

void EndpointPoller::setHealthy(const EndpointId &id, bool healthy)
{
    Engine &engine = engines_[id];
    if (engine.healthy_ != healthy) {
        engine.healthy_ = healthy;
        engine.nextEvent_ = healthy ? 1 : engine.nextEvent_;
        hooks_.logEvent_("endpoint_health", {{"endpoint", id.value()}, {"healthy", healthy}});
    }
    scheduler_.onEndpointHealth(id, healthy);
}

void EndpointPoller::pollLoad(const EndpointId &id)
{
    if (std::exchange(engines_[id].isLoadPending_, true)) {
        return;
    }
    get(id, "/v1/load", [this, id](bool reached, const nlohmann::json &body) {
        engines_[id].isLoadPending_ = false;
        setHealthy(id, reached);
        if (reached && body.is_object()) {
            applyLoad(id, body);
        }
    });
}

void EndpointPoller::applyLoad(const EndpointId &id, const nlohmann::json &body)
{
    LoadReport report;
    report.endpoint_ = id;
    report.measuredAt_ = hooks_.now_() - std::chrono::milliseconds(internal::integer(body, "age_ms"));
    report.running_ = std::int32_t(internal::integer(body, "running"));
    report.waiting_ = std::int32_t(internal::integer(body, "waiting"));
    report.waitingPromptTokens_ = internal::integer(body, "waiting_prompt_tokens");
    report.cacheUsedTokens_ = internal::integer(body, "cache_used_tokens");
    report.pinnedTokens_ = internal::integer(body, "pinned_tokens");
    report.livePrograms_ = std::int32_t(internal::integer(body, "live_programs"));
    for (const nlohmann::json &model : internal::listOf(body.value("models", nlohmann::json::array()), "")) {
        if (model.is_string()) {
            report.models_.emplace_back(model.get<std::string>());
        }
    }
    report.leaving_ = body.contains("leaving") && body["leaving"].is_boolean() && body["leaving"].get<bool>();
    const std::int64_t completed = internal::integer(body, "completed");
    if (completed < engines_[id].completed_) {
        onRestart(id);
    }
    engines_[id].completed_ = completed;
    if (report.leaving_) {
        leaving_.insert(id);
    } else {
        leaving_.erase(id);
    }
    scheduler_.onLoadReport(report);
}

void EndpointPoller::pollEvents(const EndpointId &id)
{
    if (std::exchange(engines_[id].areEventsPending_, true)) {
        return;
    }
    const std::string target = "/v1/cache_events?from=" + std::to_string(engines_[id].nextEvent_);
    get(id, target, [this, id](bool reached, const nlohmann::json &body) {
        engines_[id].areEventsPending_ = false;
        if (reached) {
            applyCacheEvents(id, body);
        }
    });
}

void EndpointPoller::applyCacheEvents(const EndpointId &id, const nlohmann::json &body)
{
    Engine &engine = engines_[id];
    for (const nlohmann::json &item : internal::listOf(body, "events")) {
        if (!item.is_object()) {
            continue;
        }
        const std::optional<CacheEvent::Kind> kind = internal::eventKind(internal::string(item, "kind"));
        CacheEvent event;
        event.endpoint_ = id;
        event.sequence_ = std::uint64_t(internal::integer(item, "sequence"));
        event.program_ = ProgramId(internal::string(item, "program"));
        event.sharedPrefix_ = std::uint64_t(internal::integer(item, "shared_prefix"));
        event.tokens_ = kind == CacheEvent::Kind::Stored ? internal::integer(item, "tokens") : 0;
        engine.nextEvent_ = std::max(engine.nextEvent_, event.sequence_ + 1);
        if (kind) {
            event.kind_ = *kind;
            scheduler_.onCacheEvent(event);
        }
    }
    const std::uint64_t next = body.is_object() ? std::uint64_t(internal::integer(body, "next")) : 0;
    if (next != 0 && next < engine.nextEvent_) {
        onRestart(id);
    }
}

// A restarted engine numbers its events from 1 again and has an empty cache.
void EndpointPoller::onRestart(const EndpointId &id)
{
    engines_[id].nextEvent_ = 1;
    CacheEvent cleared;
    cleared.endpoint_ = id;
    cleared.kind_ = CacheEvent::Kind::Cleared;
    scheduler_.onCacheEvent(cleared);
}

void EndpointPoller::pollHeld(const EndpointId &id)
{
    if (std::exchange(engines_[id].isHeldPending_, true)) {
        return;
    }
    get(id, "/v1/pinned", [this, id](bool reached, const nlohmann::json &body) {
        engines_[id].isHeldPending_ = false;
        if (!reached) {
            return;
        }
        std::vector<ProgramId> programs;
        for (const nlohmann::json &item : internal::listOf(body, "programs")) {
            const std::string program = item.is_string() ? item.get<std::string>() : internal::string(item, "program");
            if (isKnownEnded_(ProgramId(program))) {
                programs.emplace_back(program);
            }
        }
        scheduler_.onHeldPrograms(id, programs);
    });
}

} // namespace filbertgw
