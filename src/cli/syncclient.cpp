#include "cli/syncclient.h"

namespace filbertgw {
namespace internal {
namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(10);

} // namespace
} // namespace internal

SyncClient::SyncClient(Duration timeout)
    : http_(loop_)
    , timeout_(timeout)
{
}

IoLoop &SyncClient::loop()
{
    return loop_;
}

HttpClient &SyncClient::http()
{
    return http_;
}

bool SyncClient::runUntil(const std::function<bool()> &condition, Duration timeout)
{
    const Time end = loop_.now() + timeout;
    bool held = condition();
    if (held) {
        return true;
    }
    const std::uint64_t timer = loop_.every(internal::pollInterval, [&] {
        held = condition();
        if (held || loop_.now() >= end) {
            loop_.stop();
        }
    });
    loop_.run();
    loop_.cancel(timer);
    return held;
}

HttpResult SyncClient::get(const std::string &address, const std::string &target, const std::string &key)
{
    HttpResult result;
    bool done = false;
    HttpCall call;
    call.address_ = address;
    call.request_.method_ = "GET";
    call.request_.target_ = target;
    if (!key.empty()) {
        call.request_.headers_["authorization"] = "Bearer " + key;
    }
    call.timeout_ = timeout_;
    call.onDone_ = [&](const HttpResult &response) {
        result = response;
        done = true;
        loop_.stop();
    };
    http_.start(std::move(call));
    while (!done) {
        loop_.run();
    }
    return result;
}

bool SyncClient::readPage(const std::string &log, const std::string &stream, Offset from, LogPage &page)
{
    LogClient client(loop_, http_, log, timeout_);
    bool done = false;
    bool reached = false;
    client.access().read_(stream, from, Duration(0), [&](bool ok, const LogPage &read) {
        reached = ok;
        page = read;
        done = true;
        loop_.stop();
    });
    while (!done) {
        loop_.run();
    }
    return reached;
}

bool SyncClient::readAll(const std::string &log, const std::string &stream, std::vector<LogEntry> &entries)
{
    LogPage page;
    do {
        const Offset from = page.nextOffset_;
        if (!readPage(log, stream, from, page)) {
            return false;
        }
        entries.insert(entries.end(), page.entries_.begin(), page.entries_.end());
    } while (!page.entries_.empty());
    return true;
}

AppendResult
SyncClient::append(const std::string &log, const std::string &stream, const std::vector<nlohmann::json> &entries)
{
    LogClient client(loop_, http_, log, timeout_);
    AppendResult result;
    bool done = false;
    client.access().append_(stream, entries, [&](const AppendResult &response) {
        result = response;
        done = true;
        loop_.stop();
    });
    while (!done) {
        loop_.run();
    }
    return result;
}

} // namespace filbertgw
