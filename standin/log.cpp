#include "log.h"

#include <algorithm>

namespace filbertgw::standin {

namespace {

constexpr std::uint64_t maximumWaitMs = 60'000;
/** A page ends after the entry that exceeds this. */
constexpr std::size_t pageBytes = 8 * 1024 * 1024;
constexpr std::size_t maximumStreams = 4096;

/** \brief The name in `/streams/NAME/entries`, or an empty string. */
std::string streamName(const std::string &path)
{
    static const std::string before = "/streams/";
    static const std::string after = "/entries";
    if (path.size() <= before.size() + after.size() || path.compare(0, before.size(), before) != 0
        || path.compare(path.size() - after.size(), after.size(), after) != 0) {
        return {};
    }
    return path.substr(before.size(), path.size() - before.size() - after.size());
}

} // namespace

Log::Log(IoLoop &loop, LogOptions options)
    : loop_(loop)
    , options_(std::move(options))
    , random_(options_.seed_)
    , server_(listenOrExit(
          loop, options_.address_, [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
              handle(request, reply);
          }))
{
}

const HttpServer &Log::server() const
{
    return *server_;
}

void Log::handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const Target target = parseTarget(request.target_);
    if (request.method_ == "POST" && target.path_ == "/control") {
        control(request, reply);
        return;
    }
    if (request.method_ == "GET" && target.path_ == "/stats") {
        sendJson(reply, 200, {{"appends", appends_}, {"streams", streams_.size()}});
        return;
    }
    const std::string name = streamName(target.path_);
    if (name.empty() || (streams_.count(name) == 0 && streams_.size() >= maximumStreams)) {
        sendError(reply, 404, "not_found", "no such resource");
    } else if (options_.outage_ == "hang") {
        reply->onClosed([reply] {});
    } else if (options_.outage_ == "refuse") {
        sendError(reply, 503, "store_unavailable", "the log is unavailable");
    } else if (request.method_ == "POST") {
        append(streams_[name], request, reply);
    } else if (request.method_ == "GET") {
        read(name, target, reply);
    } else {
        sendError(reply, 405, "invalid_request", "POST or GET");
    }
}

void Log::append(Stream &stream, const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const nlohmann::json body = nlohmann::json::parse(request.body_, nullptr, false);
    const bool isValid = body.is_object() && body.contains("entries") && body["entries"].is_array()
        && !body["entries"].empty()
        && std::all_of(body["entries"].begin(), body["entries"].end(), [](const nlohmann::json &entry) {
                             return entry.is_object();
                         });
    if (!isValid) {
        sendError(reply, 400, "invalid_request", "entries must be a list of objects");
        return;
    }
    const std::uint64_t first = stream.next_;
    for (const nlohmann::json &entry : body["entries"]) {
        stream.entries_.push_back(Entry{stream.next_++, loop_.now(), entry.dump()});
    }
    ++appends_;
    retain(stream);
    answer(reply, "{\"first_offset\":" + std::to_string(first) + "}", options_.loss_.takesPlace(random_));
    wakeReaders(stream);
}

void Log::retain(Stream &stream)
{
    while (!stream.entries_.empty()
           && (stream.entries_.size() > options_.keepEntries_
               || stream.entries_.front().time_ + options_.keepTime_ < loop_.now())) {
        stream.entries_.pop_front();
    }
}

void Log::read(const std::string &name, const Target &target, const std::shared_ptr<HttpReply> &reply)
{
    Stream &stream = streams_[name];
    retain(stream);
    const std::uint64_t from = std::max<std::uint64_t>(target.number("from", 1), 1);
    const std::uint64_t most = std::clamp<std::uint64_t>(target.number("max", 1000), 1, 10'000);
    const std::uint64_t waitMs = std::min(target.number("wait_ms", 0), maximumWaitMs);
    if (from < stream.next_ || waitMs == 0) {
        sendPage(stream, from, most, reply);
        return;
    }
    // Streams are never removed, so the reference stays valid. A reader may be gone when a handler runs: the end of a
    // connection is reported later than it happens.
    const std::uint64_t id = nextReader_++;
    const std::uint64_t timer = loop_.after(std::chrono::milliseconds(waitMs), [this, &stream, id] {
        const auto reader = stream.readers_.find(id);
        if (reader != stream.readers_.end()) {
            const Reader due = reader->second;
            stream.readers_.erase(reader);
            sendPage(stream, due.from_, due.most_, due.reply_);
        }
    });
    stream.readers_[id] = Reader{from, most, reply, timer};
    reply->onClosed([this, &stream, id] {
        const auto reader = stream.readers_.find(id);
        if (reader != stream.readers_.end()) {
            loop_.cancel(reader->second.timer_);
            stream.readers_.erase(reader);
        }
    });
}

void Log::wakeReaders(Stream &stream)
{
    for (auto entry = stream.readers_.begin(); entry != stream.readers_.end();) {
        const Reader reader = entry->second;
        if (reader.from_ >= stream.next_) {
            ++entry;
            continue;
        }
        loop_.cancel(reader.timer_);
        reader.reply_->onClosed({});
        entry = stream.readers_.erase(entry);
        sendPage(stream, reader.from_, reader.most_, reader.reply_);
    }
}

void Log::sendPage(const Stream &stream,
                   std::uint64_t from,
                   std::uint64_t most,
                   const std::shared_ptr<HttpReply> &reply)
{
    const std::uint64_t oldest = stream.entries_.empty() ? stream.next_ : stream.entries_.front().offset_;
    const std::uint64_t first = std::max(from, oldest);
    std::uint64_t next = std::min(first, stream.next_);
    std::string entries;
    while (next < stream.next_ && next - first < most && entries.size() < pageBytes) {
        const Entry &entry = stream.entries_[next - oldest];
        const std::int64_t timeMs = std::chrono::duration_cast<std::chrono::milliseconds>(entry.time_).count();
        entries += entries.empty() ? "" : ",";
        entries += "{\"offset\":" + std::to_string(entry.offset_) + ",\"time_ms\":" + std::to_string(timeMs)
            + ",\"entry\":" + entry.text_ + "}";
        ++next;
    }
    answer(reply,
           "{\"first_offset\":" + std::to_string(oldest) + ",\"next_offset\":" + std::to_string(next) + ",\"entries\":["
               + entries + "]}",
           false);
}

void Log::answer(const std::shared_ptr<HttpReply> &reply, const std::string &body, bool lost)
{
    const auto end = [reply, body, lost] {
        if (lost) {
            reply->abort();
        } else {
            reply->send(200, "application/json", body);
        }
    };
    if (options_.delay_ == Duration{0}) {
        end();
    } else {
        loop_.after(options_.delay_, end);
    }
}

void Log::control(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const nlohmann::json body = nlohmann::json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
        sendError(reply, 400, "invalid_request", "not a JSON object");
        return;
    }
    const nlohmann::json outage = body.contains("outage") ? body["outage"] : nlohmann::json(options_.outage_);
    if (outage != "none" && outage != "refuse" && outage != "hang") {
        sendError(reply, 400, "invalid_request", "outage is none, refuse or hang");
        return;
    }
    options_.outage_ = outage.get<std::string>();
    updateDuration(options_.delay_, body, "delay_ms");
    options_.loss_.update(body, "loss");
    if (body.contains("keep_entries") && body["keep_entries"].is_number_unsigned()) {
        options_.keepEntries_ = body["keep_entries"].get<std::uint64_t>();
    }
    updateDuration(options_.keepTime_, body, "keep_ms");
    sendJson(reply, 200, nlohmann::json::object());
}

int runLog(int argc, char **argv)
{
    LogOptions options;
    const auto setOutage = [&options](const std::string &value) {
        options.outage_ = value;
        return value == "none" || value == "refuse" || value == "hang";
    };
    options.address_ =
        parseServerOptions(argc,
                           argv,
                           "log",
                           {durationOption("delay-ms", "time from the action to the answer", options.delay_),
                            shareOption("loss", "share of appends whose answer is lost", options.loss_.share_),
                            Option{"outage", "none, refuse (503) or hang (no answer)", true, setOutage},
                            numberOption("keep-entries", "entries kept in each stream", options.keepEntries_),
                            durationOption("keep-ms", "time that entries are kept", options.keepTime_),
                            numberOption("seed", "seed of the faults", options.seed_)});
    return run<Log>(options);
}

} // namespace filbertgw::standin
