#ifndef FILBERTGW_TEST_GOLDEN_VIRTUALWORLD_H
#define FILBERTGW_TEST_GOLDEN_VIRTUALWORLD_H

#include "net/httptypes.h"
#include "node/nodehooks.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace filbertgw::testing {

/** \brief Tasks in virtual time; tasks of the same time run in the order in which they were added. */
class VirtualClock
{
public:
    Time now() const;
    std::uint64_t after(Duration delay, std::function<void()> task);
    void cancel(std::uint64_t timer);
    /** \brief Runs everything that is due up to a time. */
    void runUntil(Time end);

private:
    Time now_{0};
    std::uint64_t nextId_ = 1;
    std::map<std::pair<Time, std::uint64_t>, std::function<void()>> tasks_;
    std::map<std::uint64_t, Time> times_; ///< Due time by timer.
};

/** \brief The platform's log in memory, with its faults. */
class MemoryLog
{
public:
    explicit MemoryLog(VirtualClock &clock);

    LogAccess access();
    /** \brief Appends at once, as an operator's tool does. */
    void appendNow(const std::string &stream, const std::vector<nlohmann::json> &entries);
    const std::vector<LogEntry> &entries(const std::string &stream) const;

    bool down_ = false;
    bool loseNextResponse_ = false; ///< The next append takes effect, but its response is lost.

private:
    struct Reader
    {
        std::string stream_;
        Offset from_ = 1;
        LogAccess::ReadDone done_;
    };
    void serve(std::uint64_t reader);

    VirtualClock &clock_;
    std::map<std::string, std::vector<LogEntry>> streams_;
    std::map<std::uint64_t, Reader> readers_;
    std::uint64_t nextReader_ = 1;
};

/** \brief Engines and tools in memory, by address. */
class MemoryEndpoints
{
public:
    explicit MemoryEndpoints(VirtualClock &clock);

    std::uint64_t start(HttpCall call);
    void cancel(std::uint64_t call);
    /** \brief Drops what runs at an address and refuses connections until restart(). */
    void crash(const std::string &address);
    void restart(const std::string &address);
    /** \brief Calls that tools have run, in order: address, name and idempotency key. */
    const std::vector<std::string> &toolCalls() const;

    std::map<std::string, Duration> toolDelays_; ///< By name of the call; 20 ms if absent.
    std::set<std::string> hanging_; ///< Names of calls that never answer.
    std::string poison_; ///< A prompt with this text crashes its engine, which restarts after 3 s; empty for none.
    std::set<std::string> leaving_; ///< Addresses of engines that say that they leave.

private:
    struct Exchange
    {
        HttpCall call_;
        std::vector<std::string> words_;
        std::size_t sent_ = 0;
        std::int64_t promptTokens_ = 0;
        std::int64_t cachedTokens_ = 0;
    };
    struct Engine
    {
        std::map<std::string, std::int64_t> cached_; ///< Tokens by program.
        std::set<std::string> pinned_;
        std::vector<nlohmann::json> events_;
        std::int64_t running_ = 0;
    };

    void handle(std::uint64_t id);
    void startModel(std::uint64_t id);
    void stream(std::uint64_t id);
    void endModel(std::uint64_t id);
    void startTool(std::uint64_t id);
    nlohmann::json answerOf(const HttpCall &call);
    nlohmann::json control(Engine &engine, const nlohmann::json &order);
    void finish(std::uint64_t id, HttpOutcome outcome, int status, const std::string &body);

    VirtualClock &clock_;
    std::map<std::uint64_t, Exchange> exchanges_;
    std::map<std::string, Engine> engines_;
    std::set<std::string> down_;
    std::vector<std::string> toolCalls_;
    std::uint64_t nextId_ = 1;
};

/** \brief An answer as its caller gets it, as text. */
class RecordedReply : public HttpReply
{
public:
    RecordedReply(std::string name, std::function<void(const std::string &line)> record);

    void setHeader(const std::string &name, const std::string &value) override;
    void send(int status, const std::string &contentType, const std::string &body) override;
    void startStream(int status, const std::string &contentType) override;
    void write(const std::string &part) override;
    void finish() override;
    void abort() override;
    void onClosed(std::function<void()> closed) override;

    const std::string &body() const;

private:
    std::string name_;
    std::function<void(const std::string &)> record_;
    std::string headers_;
    std::string body_;
};

} // namespace filbertgw::testing

#endif
