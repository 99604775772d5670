#include "virtualworld.h"

#include "core/digest.h"
#include "node/dispatcher.h"

#include <algorithm>
#include <sstream>

namespace filbertgw::testing {
namespace {

constexpr Duration logLatency = std::chrono::milliseconds(2);
constexpr Duration networkLatency = std::chrono::microseconds(500);
constexpr Duration tokenPeriod = std::chrono::milliseconds(15);
constexpr Duration toolDelay = std::chrono::milliseconds(20);
constexpr Duration engineRestart = std::chrono::seconds(3);
constexpr double prefillTokensPerSecond = 20'000;

std::string withoutQuery(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::vector<std::string> answerWords(const std::string &prompt, std::int64_t maxTokens)
{
    std::istringstream text("answer " + sha256(prompt).substr(0, 8) + " to " + std::to_string(prompt.size())
                            + " bytes");
    std::vector<std::string> words;
    std::string word;
    while (text >> word && (maxTokens == 0 || std::int64_t(words.size()) < maxTokens)) {
        words.push_back((words.empty() ? "" : " ") + word);
    }
    return words;
}

} // namespace

Time VirtualClock::now() const
{
    return now_;
}

std::uint64_t VirtualClock::after(Duration delay, std::function<void()> task)
{
    const std::uint64_t id = nextId_++;
    const Time due = now_ + std::max(delay, Duration(0));
    tasks_[{due, id}] = std::move(task);
    times_[id] = due;
    return id;
}

void VirtualClock::cancel(std::uint64_t timer)
{
    const auto found = times_.find(timer);
    if (found != times_.end()) {
        tasks_.erase({found->second, timer});
        times_.erase(found);
    }
}

void VirtualClock::runUntil(Time end)
{
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
        const auto first = tasks_.begin();
        now_ = first->first.first;
        const std::function<void()> task = std::move(first->second);
        times_.erase(first->first.second);
        tasks_.erase(first);
        task();
    }
    now_ = end;
}

MemoryLog::MemoryLog(VirtualClock &clock)
    : clock_(clock)
{
}

const std::vector<LogEntry> &MemoryLog::entries(const std::string &stream) const
{
    static const std::vector<LogEntry> none;
    const auto found = streams_.find(stream);
    return found == streams_.end() ? none : found->second;
}

void MemoryLog::appendNow(const std::string &stream, const std::vector<nlohmann::json> &entries)
{
    std::vector<LogEntry> &kept = streams_[stream];
    for (const nlohmann::json &entry : entries) {
        kept.push_back({kept.size() + 1, clock_.now(), entry});
    }
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, reader] : readers_) {
        if (reader.stream_ == stream) {
            waiting.push_back(id);
        }
    }
    for (const std::uint64_t id : waiting) {
        clock_.after(logLatency, [this, id] { serve(id); });
    }
}

void MemoryLog::serve(std::uint64_t id)
{
    const auto found = readers_.find(id);
    if (found == readers_.end()) {
        return;
    }
    const Reader reader = std::move(found->second);
    readers_.erase(found);
    LogPage page;
    page.firstOffset_ = 1;
    const std::vector<LogEntry> &kept = streams_[reader.stream_];
    for (const LogEntry &entry : kept) {
        if (!down_ && entry.offset_ >= reader.from_) {
            page.entries_.push_back(entry);
        }
    }
    page.nextOffset_ = page.entries_.empty() ? reader.from_ : page.entries_.back().offset_ + 1;
    reader.done_(!down_, page);
}

LogAccess MemoryLog::access()
{
    LogAccess access;
    access.append_ =
        [this](const std::string &stream, std::vector<nlohmann::json> entries, LogAccess::AppendDone done) {
            clock_.after(logLatency, [this, stream, entries = std::move(entries), done = std::move(done)] {
                if (down_) {
                    clock_.after(logLatency, [done] { done({AppendStatus::Rejected, 0}); });
                    return;
                }
                const Offset first = streams_[stream].size() + 1;
                appendNow(stream, entries);
                const bool lost = std::exchange(loseNextResponse_, false);
                const AppendResult result{lost ? AppendStatus::Unknown : AppendStatus::Durable, lost ? 0 : first};
                clock_.after(logLatency, [done, result] { done(result); });
            });
        };
    access.read_ = [this](const std::string &stream, Offset from, Duration wait, LogAccess::ReadDone done) {
        const std::uint64_t id = nextReader_++;
        readers_[id] = {stream, from, std::move(done)};
        const bool hasMore = streams_[stream].size() >= from;
        clock_.after(down_ || hasMore ? logLatency : std::max(wait, logLatency), [this, id] { serve(id); });
    };
    return access;
}

MemoryEndpoints::MemoryEndpoints(VirtualClock &clock)
    : clock_(clock)
{
}

const std::vector<std::string> &MemoryEndpoints::toolCalls() const
{
    return toolCalls_;
}

std::uint64_t MemoryEndpoints::start(HttpCall call)
{
    const std::uint64_t id = nextId_++;
    exchanges_[id].call_ = std::move(call);
    clock_.after(networkLatency, [this, id] { handle(id); });
    return id;
}

void MemoryEndpoints::finish(std::uint64_t id, HttpOutcome outcome, int status, const std::string &body)
{
    clock_.after(networkLatency, [this, id, outcome, status, body] {
        const auto found = exchanges_.find(id);
        if (found == exchanges_.end()) {
            return;
        }
        const std::function<void(const HttpResult &)> done = std::move(found->second.call_.onDone_);
        exchanges_.erase(found);
        HttpResult result;
        result.outcome_ = outcome;
        result.status_ = status;
        result.body_ = body;
        done(result);
    });
}

void MemoryEndpoints::cancel(std::uint64_t call)
{
    finish(call, HttpOutcome::Cancelled, 0, "");
}

void MemoryEndpoints::crash(const std::string &address)
{
    down_.insert(address);
    engines_.erase(address);
    for (const auto &[id, exchange] : exchanges_) {
        if (exchange.call_.address_ == address) {
            finish(id, HttpOutcome::Interrupted, 0, "");
        }
    }
}

void MemoryEndpoints::restart(const std::string &address)
{
    down_.erase(address);
}

void MemoryEndpoints::handle(std::uint64_t id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    const HttpCall &call = found->second.call_;
    if (down_.count(call.address_) != 0) {
        finish(id, HttpOutcome::NotConnected, 0, "");
    } else if (call.request_.target_ == "/v1/chat/completions") {
        startModel(id);
    } else if (call.request_.target_.rfind("/call/", 0) == 0) {
        startTool(id);
    } else {
        finish(id, HttpOutcome::Complete, 200, answerOf(call).dump());
    }
}

void MemoryEndpoints::startModel(std::uint64_t id)
{
    Exchange &exchange = exchanges_.at(id);
    Engine &engine = engines_[exchange.call_.address_];
    const nlohmann::json body = nlohmann::json::parse(exchange.call_.request_.body_);
    const std::string prompt = body["messages"][0]["content"].get<std::string>();
    if (exchange.call_.request_.headers_.count("x-alone") != 0 && engine.running_ == 0) {
        exchange.call_.onPart_(200, ": alone\n\n");
    }
    if (!poison_.empty() && prompt.find(poison_) != std::string::npos) {
        const std::string address = exchange.call_.address_;
        crash(address);
        clock_.after(engineRestart, [this, address] { restart(address); });
        return;
    }
    const std::string program = exchange.call_.request_.headers_["x-program"];
    exchange.words_ = answerWords(prompt, body.value("max_tokens", std::int64_t(0)));
    exchange.promptTokens_ = estimateTokens(prompt);
    exchange.cachedTokens_ = std::min(engine.cached_[program], exchange.promptTokens_);
    engine.running_ += 1;
    const double missing = double(exchange.promptTokens_ - exchange.cachedTokens_);
    clock_.after(fromSeconds(missing / prefillTokensPerSecond) + tokenPeriod, [this, id] { stream(id); });
}

void MemoryEndpoints::stream(std::uint64_t id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    Exchange &exchange = found->second;
    if (exchange.sent_ == exchange.words_.size()) {
        endModel(id);
        return;
    }
    const nlohmann::json event{{"choices", {{{"delta", {{"content", exchange.words_[exchange.sent_]}}}}}}};
    exchange.sent_ += 1;
    clock_.after(tokenPeriod, [this, id] { stream(id); });
    const std::function<void(int, const std::string &)> part = exchange.call_.onPart_;
    part(200, "data: " + event.dump() + "\n\n");
}

void MemoryEndpoints::endModel(std::uint64_t id)
{
    Exchange &exchange = exchanges_.at(id);
    Engine &engine = engines_[exchange.call_.address_];
    const std::string program = exchange.call_.request_.headers_["x-program"];
    engine.running_ -= 1;
    engine.cached_[program] = exchange.promptTokens_ + std::int64_t(exchange.words_.size());
    engine.events_.push_back({{"sequence", engine.events_.size() + 1},
                              {"kind", "stored"},
                              {"program", program},
                              {"tokens", engine.cached_[program]}});
    const nlohmann::json usage{{"usage",
                                {{"prompt_tokens", exchange.promptTokens_},
                                 {"completion_tokens", exchange.words_.size()},
                                 {"prompt_tokens_details", {{"cached_tokens", exchange.cachedTokens_}}}}},
                               {"choices", nlohmann::json::array()}};
    const std::function<void(int, const std::string &)> part = exchange.call_.onPart_;
    finish(id, HttpOutcome::Complete, 200, "");
    part(200, "data: " + usage.dump() + "\n\ndata: [DONE]\n\n");
}

void MemoryEndpoints::startTool(std::uint64_t id)
{
    const HttpCall &call = exchanges_.at(id).call_;
    const std::string name = call.request_.target_.substr(std::string("/call/").size());
    toolCalls_.push_back(call.address_ + " " + name + " " + call.request_.headers_.at("idempotency-key"));
    if (hanging_.count(name) != 0) {
        clock_.after(call.timeout_, [this, id] { finish(id, HttpOutcome::TimedOut, 0, ""); });
        return;
    }
    const auto delay = toolDelays_.find(name);
    const nlohmann::json body{{"call", name}, {"ok", true}};
    clock_.after(delay == toolDelays_.end() ? toolDelay : delay->second,
                 [this, id, body] { finish(id, HttpOutcome::Complete, 200, body.dump()); });
}

nlohmann::json MemoryEndpoints::answerOf(const HttpCall &call)
{
    Engine &engine = engines_[call.address_];
    const std::string path = withoutQuery(call.request_.target_);
    std::int64_t used = 0;
    for (const auto &[program, tokens] : engine.cached_) {
        used += tokens;
    }
    if (path == "/v1/load") {
        return {{"running", engine.running_},
                {"waiting", 0},
                {"cache_used_tokens", used},
                {"live_programs", engine.cached_.size()},
                {"completed", engine.events_.size()},
                {"leaving", leaving_.count(call.address_) != 0}};
    }
    if (path == "/v1/cache_events") {
        const std::size_t from = std::stoul(call.request_.target_.substr(call.request_.target_.find('=') + 1));
        nlohmann::json events = nlohmann::json::array();
        for (std::size_t index = from - 1; index < engine.events_.size(); ++index) {
            events.push_back(engine.events_[index]);
        }
        return {{"events", events}, {"next", engine.events_.size() + 1}};
    }
    if (path == "/v1/pinned") {
        return {{"programs", engine.pinned_}};
    }
    return path == "/v1/control" ? control(engine, nlohmann::json::parse(call.request_.body_))
                                 : nlohmann::json::object();
}

nlohmann::json MemoryEndpoints::control(Engine &engine, const nlohmann::json &order)
{
    const std::string action = order.value("action", "");
    const std::string program = order.value("program", "");
    if (action == "pin") {
        engine.pinned_.insert(program);
    } else if (action == "release") {
        engine.pinned_.erase(program);
        engine.cached_.erase(program);
    }
    return {{"ok", true}};
}

RecordedReply::RecordedReply(std::string name, std::function<void(const std::string &)> record)
    : name_(std::move(name))
    , record_(std::move(record))
{
}

void RecordedReply::setHeader(const std::string &name, const std::string &value)
{
    headers_ += " " + name + ": " + value;
}

void RecordedReply::send(int status, const std::string &, const std::string &body)
{
    body_ = body;
    record_("answer " + name_ + " " + std::to_string(status) + headers_ + " " + body);
}

void RecordedReply::startStream(int status, const std::string &contentType)
{
    record_("stream " + name_ + " " + std::to_string(status) + headers_ + " " + contentType);
}

void RecordedReply::write(const std::string &part)
{
    std::string line = part;
    std::replace(line.begin(), line.end(), '\n', '~');
    record_("part " + name_ + " " + line);
    body_ += part;
}

void RecordedReply::finish()
{
    record_("end " + name_);
}

void RecordedReply::abort()
{
    record_("abort " + name_);
}

void RecordedReply::onClosed(std::function<void()>)
{
}

const std::string &RecordedReply::body() const
{
    return body_;
}

} // namespace filbertgw::testing
