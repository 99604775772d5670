#ifndef FILBERTGW_BENCH_FAKES_FAKEENGINE_H
#define FILBERTGW_BENCH_FAKES_FAKEENGINE_H

#include "fakes/eventqueue.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace filbertgw::bench {

/** \brief Figures of a fake engine; read from bench/workloads/engine.json. */
struct EngineSettings
{
    double stepSeconds_ = 0;
    double streamSeconds_ = 0; ///< Added to a decode step for each running stream.
    int maxStreams_ = 0;
    double prefillTokensPerSecond_ = 0;
    std::int64_t chunkTokens_ = 0;
    std::int64_t cacheTokens_ = 0;
    std::int64_t blockTokens_ = 0;
    double transferTokensPerSecond_ = 0;
    std::size_t transfers_ = 0; ///< Transfers at once, each way.
    std::int64_t exportStoreTokens_ = 0; ///< Memory outside the KV cache that holds exported programs.

    static EngineSettings fromJson(const nlohmann::json &json);
};

/** \brief Names a program's own prefix, or a shared prefix, in an engine's cache. */
using CacheKey = std::uint64_t;

/** \brief A request as a fake engine runs it. */
struct EngineJob
{
    std::uint64_t id_ = 0;
    CacheKey program_ = 0;
    CacheKey shared_ = 0;
    std::int64_t sharedTokens_ = 0;
    std::int64_t promptTokens_ = 0; ///< Shared tokens included.
    std::int64_t generate_ = 0;
    std::int32_t priority_ = 0; ///< Lower runs first.
    bool alone_ = false; ///< Runs beside no other job.
    bool poison_ = false; ///< Crashes the engine at its first prefill step.
};

/** \brief What a load report of the engine contains. */
struct EngineLoad
{
    int running_ = 0;
    int waiting_ = 0;
    std::int64_t waitingPromptTokens_ = 0;
    std::int64_t cacheUsed_ = 0;
    std::int64_t pinned_ = 0;
    int programs_ = 0;
};

/**
 * \brief A model engine in virtual time: continuous batching, chunked prefill, a least-recently-used prefix cache.
 *
 * A step lasts `step + stream × decoding streams` (if any decode) plus the time of at most one prefill chunk.
 */
class FakeEngine
{
public:
    struct Hooks
    {
        std::function<void(std::uint64_t job, std::int64_t computed, std::int64_t cached)> prefilled_; ///< First token.
        std::function<void(std::uint64_t job)> finished_;
        std::function<void(std::uint64_t job)> crashed_;
        std::function<void(CacheKey key, std::int64_t tokens, bool evicted)> cacheChanged_;
        std::function<void(std::uint64_t job)> begunAlone_; ///< A job with EngineJob::alone_ runs from now on.
        std::function<void()> poisoned_; ///< A poison job is about to crash the engine.
    };

    FakeEngine(EventQueue &events, const EngineSettings &settings, Hooks hooks);

    void submit(const EngineJob &job);
    /** \brief Submits a job after its program's cache was copied from another engine, or from the own export store. */
    void submitAfterImport(const EngineJob &job, FakeEngine &source);
    void cancel(std::uint64_t job);
    void release(CacheKey program);
    void exportProgram(CacheKey program);
    void crash();
    /** \brief A crashed engine that works again. */
    void restart();
    bool isUp() const
    {
        return up_;
    }

    EngineLoad load() const;
    std::vector<CacheKey> heldPrograms() const;
    std::int64_t cachedTokens(CacheKey key) const;
    std::int64_t exportedTokens() const
    {
        return exportedTokens_;
    }
    /** \brief Integral over time of cached tokens that no running job uses. */
    double idleTokenSeconds();

private:
    struct Entry
    {
        std::int64_t tokens_ = 0;
        int locks_ = 0;
        int children_ = 0; ///< Programs whose prefix continues this shared one; it is kept as long as they are.
        CacheKey parent_ = 0;
        bool released_ = false;
        std::list<CacheKey>::iterator position_;
    };
    struct Running
    {
        EngineJob job_;
        std::int64_t prefillLeft_ = 0;
        std::int64_t computed_ = 0;
        std::int64_t cached_ = 0;
        std::int64_t decodeLeft_ = 0;
    };
    struct Import
    {
        EngineJob job_;
        FakeEngine *source_ = nullptr;
        std::uint64_t sourceLife_ = 0;
        std::uint64_t life_ = 0;
        std::int64_t tokens_ = 0;
        bool fromStore_ = false;
    };
    using QueueKey = std::pair<std::int32_t, std::uint64_t>;

    void finishImport(const Import &import);
    void admitWaiting();
    bool admit(const EngineJob &job);
    void lock(CacheKey key);
    void unlock(CacheKey key);
    bool makeRoom(std::int64_t tokens);
    void setTokens(Entry &entry, std::int64_t tokens);
    void erase(CacheKey key);
    void startSteps();
    void interruptSteps();
    void onStepsDone();
    void settleIdle();
    Time reserveTransfer(FakeEngine &source, FakeEngine &target, std::int64_t tokens);
    void storeExport(CacheKey key, std::int64_t tokens);
    Entry &touch(CacheKey key);
    void setParent(CacheKey key, CacheKey parent);

    EventQueue &events_;
    const EngineSettings settings_;
    Hooks hooks_;
    bool up_ = true;
    std::uint64_t life_ = 0; ///< Grows with each crash, so that older events are void.
    std::uint64_t epoch_ = 0; ///< Grows with each plan of steps.
    std::uint64_t sequence_ = 0;
    std::map<QueueKey, EngineJob> waiting_;
    std::set<std::uint64_t> importing_;
    std::set<CacheKey> exporting_; ///< A request for the program, or an import of it, stops its export.
    std::vector<Running> running_;
    std::unordered_map<CacheKey, Entry> cache_;
    std::list<CacheKey> order_; ///< Least recently used first.
    std::int64_t used_ = 0;
    std::int64_t locked_ = 0;
    std::unordered_map<CacheKey, std::int64_t> exported_;
    std::list<CacheKey> exportOrder_;
    std::int64_t exportedTokens_ = 0;
    std::vector<Time> transferOut_;
    std::vector<Time> transferIn_;
    bool stepping_ = false;
    Time stepStart_{0};
    Duration stepTime_{0};
    std::int64_t stepCount_ = 0;
    std::int64_t stepChunk_ = 0;
    Time idleSince_{0};
    double idleTokenSeconds_ = 0;
};

} // namespace filbertgw::bench

#endif
