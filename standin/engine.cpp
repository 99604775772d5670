#include "engine.h"

#include "core/digest.h"
#include "net/ordersignature.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>

namespace filbertgw::standin {

namespace {

constexpr std::uint64_t bytesPerToken = 4;
constexpr std::size_t maximumEvents = 10'000;
constexpr std::size_t maximumReports = 1000;
constexpr int crashStatus = 70;
/** Tokens a second that an export or import moves. */
constexpr double transferTokensPerSecond = 100'000;

std::uint64_t tokensOf(std::size_t bytes)
{
    return (bytes + bytesPerToken - 1) / bytesPerToken;
}

/** \brief Token number i of the answer to the prompt with this digest, its space included. */
std::string answerToken(const std::string &digest, std::uint64_t i)
{
    if (i == 0) {
        return digest + " ";
    }
    constexpr std::array<const char *, 16> words{"lot ",
                                                 "yield ",
                                                 "crate ",
                                                 "weigh ",
                                                 "grade ",
                                                 "kernel ",
                                                 "shell ",
                                                 "press ",
                                                 "note ",
                                                 "sheet ",
                                                 "term ",
                                                 "clause ",
                                                 "renew ",
                                                 "case ",
                                                 "file ",
                                                 "done "};
    const char digit = digest[i % digest.size()];
    const std::uint64_t value = static_cast<std::uint64_t>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
    return words[(value + i / digest.size()) % words.size()];
}

std::uint64_t headerNumber(const HttpRequest &request, const std::string &name)
{
    const std::string text = header(request, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string field(const nlohmann::json &body, const char *name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

std::optional<std::string> promptText(const nlohmann::json &messages)
{
    if (!messages.is_array() || messages.empty()) {
        return std::nullopt;
    }
    std::string result;
    for (const nlohmann::json &message : messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()
            || !message.contains("content") || !message["content"].is_string()) {
            return std::nullopt;
        }
        result += message["content"].get_ref<const std::string &>();
    }
    return result;
}

std::string answerText(const std::string &prompt, std::uint64_t tokens)
{
    const std::string digest = sha256(prompt);
    std::string result;
    for (std::uint64_t i = 0; i < tokens; ++i) {
        result += answerToken(digest, i);
    }
    return result;
}

Engine::Engine(IoLoop &loop, EngineOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , random_(options_.seed_)
    , server_(listenOrExit(
          loop, options_.address_, [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
              handle(request, reply);
          }))
{
    if (options_.reportPeriod_ > Duration{0}) {
        loop_.every(options_.reportPeriod_, [this] {
            reports_.emplace_back(loop_.now(), loadReport());
            if (reports_.size() > maximumReports) {
                reports_.pop_front();
            }
        });
    }
}

const HttpServer &Engine::server() const
{
    return *server_;
}

void Engine::handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const Target target = parseTarget(request.target_);
    const bool isPost = request.method_ == "POST";
    if (isPost && target.path_ == "/v1/chat/completions") {
        complete(request, reply);
    } else if (isPost && (target.path_ == "/v1/cancel" || target.path_ == "/v1/control")) {
        order(request, target, reply);
    } else if (isPost && target.path_ == "/control") {
        control(request, reply);
    } else if (request.method_ == "GET" && target.path_ == "/v1/load") {
        sendLoad(reply);
    } else if (request.method_ == "GET" && target.path_ == "/v1/cache_events") {
        sendEvents(target.number("from", 1), reply);
    } else if (request.method_ == "GET" && target.path_ == "/v1/pinned") {
        sendPinned(reply);
    } else {
        sendError(reply, 404, "not_found", "no such resource");
    }
}

void Engine::complete(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const nlohmann::json body = nlohmann::json::parse(request.body_, nullptr, false);
    const std::optional<std::string> prompt =
        body.is_object() && body.contains("messages") ? promptText(body["messages"]) : std::nullopt;
    if (!prompt) {
        sendError(reply, 400, "invalid_request", "messages must be a list of role and content");
        return;
    }
    const std::string model = field(body, "model");
    if (!options_.models_.empty() && options_.models_.count(model) == 0) {
        sendError(reply, 404, "not_found", "the model is not loaded");
        return;
    }
    const StreamPointer stream = std::make_shared<Stream>();
    stream->program_ = header(request, "x-program");
    if (!isFenced(stream->program_, headerNumber(request, "x-fencing"))) {
        sendError(reply, 409, "conflict", "a newer fencing token is known");
        return;
    }
    stream->requestId_ = header(request, "x-request-id");
    stream->isAlone_ = header(request, "x-alone") == "1";
    const std::string priority = header(request, "x-priority");
    std::from_chars(priority.data(), priority.data() + priority.size(), stream->priority_);
    stream->prompt_ = *prompt;
    stream->promptTokens_ = tokensOf(prompt->size());
    stream->isStreamed_ = body.contains("stream") && body["stream"] == true;
    stream->tokens_ = options_.answerTokens_;
    if (body.contains("max_tokens") && body["max_tokens"].is_number_unsigned()) {
        stream->tokens_ = std::min(stream->tokens_, body["max_tokens"].get<std::uint64_t>());
    }
    stream->reply_ = reply;
    admit(stream);
}

bool Engine::canBegin(const Stream &stream) const
{
    const bool othersAllowed = !stream.isAlone_ && (running_.empty() || !(*running_.begin())->isAlone_);
    return running_.size() < options_.streams_ && (running_.empty() || othersAllowed);
}

void Engine::admit(const StreamPointer &stream)
{
    const bool beginsNow = queue_.empty() && canBegin(*stream);
    if (options_.state_ != "live" || (!beginsNow && queue_.size() >= options_.queue_)) {
        sendError(stream->reply_, 503, "overloaded", "the engine is leaving or its queue is full");
        return;
    }
    const std::weak_ptr<Stream> weak = stream;
    stream->reply_->onClosed([this, weak] {
        if (const StreamPointer known = weak.lock()) {
            leave(known);
        }
    });
    if (beginsNow) {
        begin(stream);
        return;
    }
    // Higher priority first, then in order of arrival.
    const auto place = std::find_if(queue_.begin(), queue_.end(), [&stream](const StreamPointer &other) {
        return other->priority_ < stream->priority_;
    });
    queue_.insert(place, stream);
}

void Engine::begin(const StreamPointer &stream)
{
    running_.insert(stream);
    if (stream->isAlone_ && stream->isStreamed_) {
        stream->reply_->startStream(200, "text/event-stream");
        stream->reply_->write(": alone\n\n");
    }
    const auto cached = cache_.find(stream->program_);
    if (cached != cache_.end()) {
        const std::string &known = cached->second.text_;
        const std::size_t most = std::min(known.size(), stream->prompt_.size());
        const auto differs =
            std::mismatch(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(most), stream->prompt_.begin());
        stream->cachedTokens_ = static_cast<std::uint64_t>(differs.first - known.begin()) / bytesPerToken;
        cached->second.used_ = ++uses_;
    }
    const std::uint64_t missing = stream->promptTokens_ - std::min(stream->cachedTokens_, stream->promptTokens_);
    prefilledTokens_ += missing;
    stream->digest_ = sha256(stream->prompt_);
    stream->isLost_ = options_.loss_.takesPlace(random_);
    Duration delay = options_.firstTokenDelay_;
    if (options_.prefillTokensPerSecond_ > 0) {
        delay += fromSeconds(static_cast<double>(missing) / static_cast<double>(options_.prefillTokensPerSecond_));
    }
    if (delay == Duration{0}) {
        firstToken(stream);
    } else {
        loop_.after(delay, [this, stream] { firstToken(stream); });
    }
}

void Engine::firstToken(const StreamPointer &stream)
{
    if (stream->isEnded_) {
        return;
    }
    if (!options_.crashText_.empty() && stream->prompt_.find(options_.crashText_) != std::string::npos) {
        if (options_.crash_) {
            options_.crash_();
            return;
        }
        std::_Exit(crashStatus);
    }
    if (stream->isStreamed_) {
        if (!stream->isAlone_) {
            stream->reply_->startStream(200, "text/event-stream");
        }
        stream->eventHead_ = "data: {\"id\":" + nlohmann::json(stream->requestId_).dump()
            + ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
    }
    if (stream->tokens_ == 0) {
        end(stream, "length");
        return;
    }
    decoding_.push_back(stream);
    emit(stream);
    scheduleStep();
}

void Engine::scheduleStep()
{
    if (stepScheduled_ || decoding_.empty()) {
        return;
    }
    stepScheduled_ = true;
    const auto task = [this] { step(); };
    if (options_.tokenDelay_ == Duration{0}) {
        loop_.post(task);
    } else {
        loop_.after(options_.tokenDelay_, task);
    }
}

void Engine::step()
{
    stepScheduled_ = false;
    const std::vector<StreamPointer> all = decoding_;
    for (const StreamPointer &stream : all) {
        if (!stream->isEnded_) {
            emit(stream);
        }
    }
    scheduleStep();
}

void Engine::emit(const StreamPointer &stream)
{
    const std::string token = answerToken(stream->digest_, stream->emitted_++);
    stream->text_ += token;
    if (stream->isLost_ && stream->emitted_ * 2 >= stream->tokens_) {
        const std::shared_ptr<HttpReply> reply = stream->reply_;
        remember(*stream);
        leave(stream);
        reply->abort();
        return;
    }
    if (stream->isStreamed_) {
        stream->reply_->write(stream->eventHead_ + token + "\"},\"finish_reason\":null}]}\n\n");
    }
    if (stream->emitted_ == stream->tokens_) {
        end(stream, "stop");
    }
}

void Engine::end(const StreamPointer &stream, const char *reason)
{
    ++completed_;
    remember(*stream);
    const std::shared_ptr<HttpReply> reply = stream->reply_;
    nlohmann::json answer{{"id", stream->requestId_},
                          {"usage",
                           {{"prompt_tokens", stream->promptTokens_},
                            {"cached_tokens", stream->cachedTokens_},
                            {"completion_tokens", stream->emitted_}}}};
    if (stream->isStreamed_) {
        answer["object"] = "chat.completion.chunk";
        answer["choices"] = {{{"index", 0}, {"delta", nlohmann::json::object()}, {"finish_reason", reason}}};
        reply->write("data: " + answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                     + "\n\ndata: [DONE]\n\n");
        reply->finish();
    } else {
        answer["object"] = "chat.completion";
        answer["choices"] = {{{"index", 0},
                              {"message", {{"role", "assistant"}, {"content", stream->text_}}},
                              {"finish_reason", reason}}};
        sendJson(reply, 200, answer);
    }
    leave(stream);
}

void Engine::leave(const StreamPointer &stream)
{
    if (stream->isEnded_) {
        return;
    }
    stream->isEnded_ = true;
    stream->reply_->onClosed({});
    running_.erase(stream);
    queue_.remove(stream);
    decoding_.erase(std::remove(decoding_.begin(), decoding_.end(), stream), decoding_.end());
    beginQueued();
}

void Engine::beginQueued()
{
    while (!queue_.empty() && canBegin(*queue_.front())) {
        const StreamPointer next = queue_.front();
        queue_.pop_front();
        begin(next);
    }
}

void Engine::remember(const Stream &stream)
{
    if (stream.program_.empty()) {
        return;
    }
    Cached &cached = cache_[stream.program_];
    cacheBytes_ -= cached.text_.size();
    cached.text_ = stream.prompt_ + stream.text_;
    cacheBytes_ += cached.text_.size();
    cached.used_ = ++uses_;
    addEvent("stored", stream.program_, tokensOf(cached.text_.size()));
    evict();
}

void Engine::evict()
{
    while (cacheTokens() > options_.cacheTokens_) {
        auto oldest = cache_.end();
        for (auto entry = cache_.begin(); entry != cache_.end(); ++entry) {
            if (!entry->second.isPinned_ && (oldest == cache_.end() || entry->second.used_ < oldest->second.used_)) {
                oldest = entry;
            }
        }
        if (oldest == cache_.end()) {
            return;
        }
        addEvent("evicted", oldest->first, tokensOf(oldest->second.text_.size()));
        cacheBytes_ -= oldest->second.text_.size();
        cache_.erase(oldest);
    }
}

std::uint64_t Engine::cacheTokens() const
{
    return tokensOf(cacheBytes_);
}

bool Engine::isFenced(const std::string &subject, std::uint64_t fencing)
{
    if (!options_.rejectsOldFencing_) {
        return true;
    }
    std::uint64_t &newest = fencing_[subject];
    if (fencing < newest) {
        return false;
    }
    newest = fencing;
    return true;
}

void Engine::order(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpReply> &reply)
{
    const std::string signature = header(request, orderSignatureHeader);
    if (!options_.orderKeys_.empty()
        && !isOrderSigned(options_.orderKeys_, signature, loop_.now(), request.target_, request.body_)) {
        sendError(reply, 401, "unauthenticated", "the order is not signed with an accepted key");
        return;
    }
    const nlohmann::json body = nlohmann::json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
        sendError(reply, 400, "invalid_request", "not a JSON object");
    } else if (target.path_ == "/v1/cancel") {
        cancel(body, reply);
    } else {
        controlOrder(body, reply);
    }
}

void Engine::cancel(const nlohmann::json &body, const std::shared_ptr<HttpReply> &reply)
{
    const std::string id = field(body, "request_id");
    std::vector<StreamPointer> all(running_.begin(), running_.end());
    all.insert(all.end(), queue_.begin(), queue_.end());
    std::uint64_t cancelled = 0;
    for (const StreamPointer &stream : all) {
        if (stream->requestId_ != id || stream->isEnded_ || id.empty()) {
            continue;
        }
        ++cancelled;
        if (stream->isStreamed_ && stream->emitted_ == 0) {
            stream->reply_->startStream(200, "text/event-stream");
        }
        end(stream, "cancelled");
    }
    sendJson(reply, 200, {{"cancelled", cancelled}});
}

void Engine::controlOrder(const nlohmann::json &body, const std::shared_ptr<HttpReply> &reply)
{
    const std::string action = field(body, "action");
    const std::string program = field(body, "program");
    const bool isOfCache = action == "pin" || action == "release" || action == "export" || action == "import";
    const std::uint64_t fencing =
        body.contains("fencing") && body["fencing"].is_number_unsigned() ? body["fencing"].get<std::uint64_t>() : 0;
    if (!isFenced(isOfCache ? program : std::string(), fencing)) {
        sendError(reply, 409, "conflict", "a newer fencing token is known");
    } else if (isOfCache && !program.empty()) {
        cacheOrder(action, program, reply);
    } else if ((action == "load_model" && !field(body, "model").empty())
               || (action == "load_adapter" && !field(body, "adapter").empty())) {
        const std::string name = field(body, action == "load_model" ? "model" : "adapter");
        loop_.after(options_.loadDelay_, [this, name, reply] {
            options_.models_.insert(name);
            sendJson(reply, 200, {{"models", options_.models_}});
        });
    } else if (action == "set_role" && !field(body, "role").empty()) {
        role_ = field(body, "role");
        sendJson(reply, 200, {{"role", role_}});
    } else {
        sendError(reply, 400, "invalid_request", "unknown action or missing field");
    }
}

void Engine::cacheOrder(const std::string &action, const std::string &program, const std::shared_ptr<HttpReply> &reply)
{
    std::map<std::string, Cached> &from = action == "import" ? exported_ : cache_;
    const auto found = from.find(program);
    const bool isKnown = found != from.end();
    const std::uint64_t tokens = isKnown ? tokensOf(found->second.text_.size()) : 0;
    if (action == "pin") {
        // A program that is not cached yet is pinned from its first call on.
        cache_[program].isPinned_ = true;
    } else if (action == "release" && isKnown) {
        cacheBytes_ -= found->second.text_.size();
        cache_.erase(found);
        addEvent("evicted", program, tokens);
    } else if (action == "export" && isKnown) {
        cacheBytes_ -= found->second.text_.size();
        exported_[program] = std::move(found->second);
        cache_.erase(found);
        addEvent("evicted", program, tokens);
    } else if (action == "import" && isKnown) {
        cacheBytes_ -= cache_[program].text_.size();
        cacheBytes_ += found->second.text_.size();
        cache_[program] = std::move(found->second);
        cache_[program].used_ = ++uses_;
        exported_.erase(found);
        addEvent("stored", program, tokens);
        evict();
    }
    if (action == "release") {
        exported_.erase(program);
    }
    // Orders are desired states: repeating one, or releasing what is gone, is no error.
    const nlohmann::json answer{{"program", program}, {"tokens", tokens}};
    if (action == "export" || action == "import") {
        loop_.after(fromSeconds(static_cast<double>(tokens) / transferTokensPerSecond),
                    [reply, answer] { sendJson(reply, 200, answer); });
    } else {
        sendJson(reply, 200, answer);
    }
}

void Engine::addEvent(const std::string &kind, const std::string &program, std::uint64_t tokens)
{
    const std::uint64_t sequence = nextEvent_++;
    if (options_.eventLoss_.takesPlace(random_)) {
        return;
    }
    const std::int64_t timeMs = std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now()).count();
    events_.push_back(
        {{"sequence", sequence}, {"time_ms", timeMs}, {"kind", kind}, {"program", program}, {"tokens", tokens}});
    if (events_.size() > maximumEvents) {
        events_.pop_front();
    }
}

void Engine::sendEvents(std::uint64_t from, const std::shared_ptr<HttpReply> &reply) const
{
    const std::int64_t shownMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - options_.eventLate_).count();
    nlohmann::json shown = nlohmann::json::array();
    // An engine that has restarted counts from 1 again; a smaller number tells the reader.
    std::uint64_t next = std::min(from, nextEvent_);
    for (const nlohmann::json &event : events_) {
        const std::uint64_t sequence = event["sequence"].get<std::uint64_t>();
        if (sequence >= from && event["time_ms"].get<std::int64_t>() <= shownMs) {
            shown.push_back(event);
            next = sequence + 1;
        }
    }
    sendJson(reply, 200, {{"next", next}, {"events", shown}});
}

nlohmann::json Engine::loadReport() const
{
    std::uint64_t waitingTokens = 0;
    for (const StreamPointer &stream : queue_) {
        waitingTokens += stream->promptTokens_;
    }
    std::uint64_t pinnedTokens = 0;
    for (const std::pair<const std::string, Cached> &entry : cache_) {
        pinnedTokens += entry.second.isPinned_ ? tokensOf(entry.second.text_.size()) : 0;
    }
    return {{"age_ms", 0},
            {"running", running_.size()},
            {"waiting", queue_.size()},
            {"waiting_prompt_tokens", waitingTokens},
            {"max_streams", options_.streams_},
            {"cache_used_tokens", cacheTokens()},
            {"cache_tokens", options_.cacheTokens_},
            {"pinned_tokens", pinnedTokens},
            {"live_programs", cache_.size()},
            {"completed", completed_},
            {"prefilled_tokens", prefilledTokens_},
            {"models", options_.models_},
            {"role", role_},
            {"leaving", options_.state_ == "leaving"}};
}

void Engine::sendLoad(const std::shared_ptr<HttpReply> &reply)
{
    if (options_.reportPeriod_ == Duration{0}) {
        sendJson(reply, 200, loadReport());
        return;
    }
    const Time shown = loop_.now() - options_.reportLate_;
    while (reports_.size() > 1 && reports_[1].first <= shown) {
        reports_.pop_front();
    }
    if (reports_.empty() || reports_.front().first > shown) {
        sendError(reply, 503, "not_run", "no load report yet");
        return;
    }
    nlohmann::json report = reports_.front().second;
    report["age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - reports_.front().first).count();
    sendJson(reply, 200, report);
}

void Engine::sendPinned(const std::shared_ptr<HttpReply> &reply) const
{
    nlohmann::json pinned = nlohmann::json::array();
    for (const std::pair<const std::string, Cached> &entry : cache_) {
        if (entry.second.isPinned_) {
            pinned.push_back({{"program", entry.first}, {"tokens", tokensOf(entry.second.text_.size())}});
        }
    }
    sendJson(reply, 200, {{"programs", pinned}});
}

void Engine::control(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const nlohmann::json body = nlohmann::json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
        sendError(reply, 400, "invalid_request", "not a JSON object");
        return;
    }
    updateDuration(options_.firstTokenDelay_, body, "first_token_ms");
    updateDuration(options_.tokenDelay_, body, "token_ms");
    options_.loss_.update(body, "loss");
    options_.eventLoss_.update(body, "event_loss");
    if (field(body, "state") == "live" || field(body, "state") == "leaving") {
        options_.state_ = field(body, "state");
    }
    sendJson(reply, 200, nlohmann::json::object());
}

int runEngine(int argc, char **argv)
{
    EngineOptions options;
    const auto addModel = [&options](const std::string &value) { return options.models_.insert(value).second; };
    const auto addKey = [&options](const std::string &value) {
        options.orderKeys_.push_back(value);
        return !value.empty();
    };
    options.address_ = parseServerOptions(
        argc,
        argv,
        "engine",
        {durationOption("first-token-ms", "delay of the first token", options.firstTokenDelay_),
         durationOption("token-ms", "delay between tokens", options.tokenDelay_),
         numberOption(
             "prefill", "prompt tokens a second that are not cached; 0 is infinite", options.prefillTokensPerSecond_),
         numberOption("answer-tokens", "longest answer", options.answerTokens_),
         numberOption("streams", "requests that run at once", options.streams_),
         numberOption("queue", "requests that wait", options.queue_),
         numberOption("cache-tokens", "prompt tokens that the cache holds", options.cacheTokens_),
         Option{"model", "a loaded model; repeated; any model if none is given", true, addModel},
         durationOption("load-ms", "time to load a model or an adapter", options.loadDelay_),
         flagOption("reject-old-fencing", "refuse requests and orders with an old token", options.rejectsOldFencing_),
         Option{"order-key", "key that signs control and cancel orders; repeated", true, addKey},
         textOption("crash-text", "a prompt with this text ends the process", options.crashText_),
         shareOption("loss", "share of answers that are cut in the middle", options.loss_.share_),
         durationOption("report-period-ms", "load reports are taken so often", options.reportPeriod_),
         durationOption("report-late-ms", "and shown so much later", options.reportLate_),
         durationOption("event-late-ms", "cache events are shown so much later", options.eventLate_),
         shareOption("event-loss", "share of cache events that are lost", options.eventLoss_.share_),
         numberOption("seed", "seed of the faults", options.seed_)});
    return run<Engine>(options);
}

} // namespace filbertgw::standin
