#ifndef FILBERTGW_BENCH_FAKES_FAKELOG_H
#define FILBERTGW_BENCH_FAKES_FAKELOG_H

#include "core/time.h"
#include "journal/logtypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace filbertgw::bench {

/** \brief Runs events in the order of virtual time; events of the same time in the order of their insertion. */
class VirtualLoop
{
public:
    Time now() const
    {
        return now_;
    }
    void at(Time time, std::function<void()> event);
    void after(Duration delay, std::function<void()> event);
    /** \brief Runs every event up to and including a time, which becomes the current time. */
    void runUntil(Time time);

private:
    struct Event
    {
        Time time_{0};
        std::uint64_t order_ = 0;
        std::function<void()> run_;
    };
    struct Later
    {
        bool operator()(const Event &a, const Event &b) const
        {
            return a.time_ != b.time_ ? a.time_ > b.time_ : a.order_ > b.order_;
        }
    };
    Time now_{0};
    std::uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, Later> events_;
};

/** \brief SplitMix64; the same sequence on every platform. */
class SeededRandom
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : state_(seed)
    {
    }
    std::uint64_t next();
    /** \brief Uniform in [0, 1). */
    double uniform();
    /** \brief Uniform integer in [low, high]. */
    std::int64_t between(std::int64_t low, std::int64_t high);
    bool chance(double probability);

private:
    std::uint64_t state_;
};

/** \brief Faults and times of a FakeLog; they may be changed at any time. */
struct FakeLogFaults
{
    bool down_ = false; ///< Nothing is taken and nothing is read.
    Duration oneWay_ = std::chrono::microseconds(1000);
    Duration extraDelay_{0}; ///< Added to each answer.
    double lostAnswers_ = 0; ///< Share of appends that take effect though their answer is lost.
    double lostRequests_ = 0; ///< Share of appends that get lost before the log.
    double lateEffects_ = 0; ///< Share of appends that take effect only after the client has given up.
    Duration clientTimeout_ = std::chrono::milliseconds(1000);
};

/** \brief The platform's log in memory and virtual time. */
class FakeLog
{
public:
    /** \brief Runs a callback in a client; lets the harness hold or drop the callbacks of a paused or dead node. */
    using Deliver = std::function<void(std::function<void()>)>;

    FakeLog(VirtualLoop &loop, std::uint64_t seed);

    FakeLogFaults &faults()
    {
        return faults_;
    }
    /** \brief The client of one node. `reachable` may be empty. */
    LogAccess access(Deliver deliver, std::function<bool()> reachable = {});
    const std::vector<LogEntry> &entries(const std::string &stream) const;
    /** \brief Takes entries at once. \return offset of the first. */
    Offset put(const std::string &stream, const std::vector<nlohmann::json> &entries);
    /** \brief Forgets entries below an offset. */
    void expireBefore(const std::string &stream, Offset offset);
    std::uint64_t appends() const
    {
        return appends_;
    }

private:
    struct Waiting
    {
        Offset from_ = 0;
        bool answered_ = false;
        Deliver deliver_;
        LogAccess::ReadDone done_;
    };
    struct Stream
    {
        std::vector<LogEntry> entries_;
        Offset firstOffset_ = 1;
        std::vector<std::shared_ptr<Waiting>> waiting_;
        std::shared_ptr<const LogPage> page_; ///< The last page that was read, and what it was read for.
        Offset pageFrom_ = 0;
        Offset pageNext_ = 0;
    };

    void append(const std::string &stream,
                std::vector<nlohmann::json> entries,
                const LogAccess::AppendDone &done,
                const Deliver &deliver,
                bool reachable);
    void read(const std::string &stream,
              Offset from,
              Duration wait,
              const LogAccess::ReadDone &done,
              const Deliver &deliver,
              bool reachable);
    void answerRead(Stream &stream, const std::shared_ptr<Waiting> &waiting, bool reached);
    std::shared_ptr<const LogPage> page(Stream &stream, Offset from) const;

    VirtualLoop &loop_;
    SeededRandom random_;
    FakeLogFaults faults_;
    std::map<std::string, Stream> streams_;
    std::uint64_t appends_ = 0;
};

} // namespace filbertgw::bench

#endif
