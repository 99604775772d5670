#include "net/logclient.h"

namespace filbertgw {

namespace internal {

/** Entries asked for in one read; a page of usual records stays well below pageBytes. */
constexpr int pageEntries = 1000;
/** A read is cut off beyond this. */
constexpr std::size_t pageBytes = 64 * 1024 * 1024;

/** \brief What is known of an append from how its exchange ended. */
AppendResult appendResult(const HttpResult &result)
{
    if (result.outcome_ == HttpOutcome::NotConnected) {
        return AppendResult{AppendStatus::Rejected, 0};
    }
    if (result.outcome_ != HttpOutcome::Complete) {
        return AppendResult{};
    }
    // A 500, 502 or 504 may come from a part in between and after the append took effect.
    if (result.status_ / 100 == 4 || result.status_ == 503) {
        return AppendResult{AppendStatus::Rejected, 0};
    }
    const nlohmann::json body = nlohmann::json::parse(result.body_, nullptr, false);
    if (result.status_ != 200 || !body.is_object()) {
        return AppendResult{};
    }
    const auto first = body.find("first_offset");
    if (first == body.end() || !first->is_number_unsigned()) {
        return AppendResult{};
    }
    return AppendResult{AppendStatus::Durable, first->get<Offset>()};
}

bool parseEntry(const nlohmann::json &item, LogEntry &entry)
{
    if (!item.is_object()) {
        return false;
    }
    const auto offset = item.find("offset");
    const auto time = item.find("time_ms");
    const auto body = item.find("entry");
    if (offset == item.end() || !offset->is_number_unsigned() || time == item.end() || !time->is_number_integer()
        || body == item.end()) {
        return false;
    }
    entry.offset_ = offset->get<Offset>();
    entry.time_ = std::chrono::milliseconds(time->get<std::int64_t>());
    entry.body_ = *body;
    return true;
}

/** \brief Parses a page; false if it isn't one or has gaps. */
bool parsePage(const std::string &text, LogPage &page)
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return false;
    }
    const auto first = body.find("first_offset");
    const auto next = body.find("next_offset");
    const auto entries = body.find("entries");
    if (first == body.end() || !first->is_number_unsigned() || next == body.end() || !next->is_number_unsigned()
        || entries == body.end() || !entries->is_array()) {
        return false;
    }
    page.firstOffset_ = first->get<Offset>();
    page.nextOffset_ = next->get<Offset>();
    page.entries_.reserve(entries->size());
    for (const nlohmann::json &item : *entries) {
        LogEntry entry;
        if (!parseEntry(item, entry)) {
            return false;
        }
        if (!page.entries_.empty() && entry.offset_ != page.entries_.back().offset_ + 1) {
            return false;
        }
        page.entries_.push_back(std::move(entry));
    }
    return true;
}

} // namespace internal

struct LogClient::Private
{
    HttpClient &http_;
    std::string address_;
    Duration timeout_;

    void append(const std::string &stream, std::vector<nlohmann::json> entries, LogAccess::AppendDone done);
    void read(const std::string &stream, Offset from, Duration wait, LogAccess::ReadDone done);
};

void LogClient::Private::append(const std::string &stream,
                                std::vector<nlohmann::json> entries,
                                LogAccess::AppendDone done)
{
    HttpCall call;
    call.address_ = address_;
    call.timeout_ = timeout_;
    call.connectTimeout_ = timeout_;
    call.request_.method_ = "POST";
    call.request_.target_ = "/streams/" + stream + "/entries";
    call.request_.headers_["content-type"] = "application/json";
    nlohmann::json body;
    body["entries"] = std::move(entries);
    call.request_.body_ = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    call.onDone_ = [done = std::move(done)](const HttpResult &result) { done(internal::appendResult(result)); };
    http_.start(std::move(call));
}

void LogClient::Private::read(const std::string &stream, Offset from, Duration wait, LogAccess::ReadDone done)
{
    const std::int64_t waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    HttpCall call;
    call.address_ = address_;
    call.timeout_ = timeout_ + wait;
    call.connectTimeout_ = timeout_;
    call.maxResponseBytes_ = internal::pageBytes;
    call.request_.method_ = "GET";
    call.request_.target_ = "/streams/" + stream + "/entries?from=" + std::to_string(from)
        + "&max=" + std::to_string(internal::pageEntries) + "&wait_ms=" + std::to_string(waitMs);
    call.onDone_ = [done = std::move(done)](const HttpResult &result) {
        LogPage page;
        const bool reached = result.outcome_ == HttpOutcome::Complete && result.status_ == 200
            && internal::parsePage(result.body_, page);
        done(reached, reached ? page : LogPage{});
    };
    http_.start(std::move(call));
}

LogClient::LogClient(IoLoop &, HttpClient &http, std::string address, Duration timeout)
    : d_(std::make_shared<Private>(Private{http, std::move(address), timeout}))
{
}

LogClient::~LogClient() = default;

LogAccess LogClient::access()
{
    LogAccess result;
    result.append_ = [d = d_](const std::string &stream,
                              std::vector<nlohmann::json> entries,
                              LogAccess::AppendDone done) { d->append(stream, std::move(entries), std::move(done)); };
    result.read_ = [d = d_](const std::string &stream, Offset from, Duration wait, LogAccess::ReadDone done) {
        d->read(stream, from, wait, std::move(done));
    };
    return result;
}

} // namespace filbertgw
