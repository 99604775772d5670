#ifndef FILBERTGW_BENCH_POLICY_BASELINE_H
#define FILBERTGW_BENCH_POLICY_BASELINE_H

#include "policy/nodepolicy.h"

#include <map>
#include <unordered_map>

namespace filbertgw::bench {

/** \brief Common routing policies with which the scheduler is compared. */
enum class BaselineKind : std::uint8_t { RoundRobin, LeastOutstanding, StickyHash, PrefixAware };

/**
 * \brief A proxy without admission control and priorities that sends each call at once.
 *
 * A call gets up to three attempts; engines that failed in the last 10 s and the last failed engine are avoided.
 */
class BaselinePolicy : public NodePolicy
{
public:
    BaselinePolicy(BaselineKind kind, SchedulerHooks hooks);

    void setEndpoints(const std::vector<EndpointInfo> &endpoints) override;
    void onLoadReport(const LoadReport &report) override;
    void onCacheEvent(const CacheEvent &event) override;
    void onEndpointHealth(const EndpointId &endpoint, bool healthy) override;
    std::optional<Failure>
    admitProgram(const ProgramId &program, const AccountId &account, std::int64_t promptTokens, Time deadline) override;
    void submit(const ScheduleRequest &request) override;
    void onFirstToken(const ProgramId &program, const RequestId &request, std::uint32_t attempt) override;
    void onAttemptEnded(const AttemptResult &result) override;
    void onProgramPaused(const ProgramId &program, const std::string &tool) override;
    void onProgramEnded(const ProgramId &program) override;
    void onHeldPrograms(const EndpointId &endpoint, const std::vector<ProgramId> &programs) override;
    void tick() override;
    bool releasesCaches() const override
    {
        return false;
    }

private:
    struct Engine
    {
        EndpointInfo info_;
        bool healthy_ = true;
        Time avoidUntil_{0};
        int reportedLoad_ = 0; ///< Running and waiting requests in the latest report.
        Time measuredAt_{0};
        std::vector<Time> sent_; ///< Send times of this node's recent calls, oldest first.
    };
    struct Call
    {
        ScheduleRequest request_;
        std::uint32_t attempt_ = 0;
        EndpointId failedEndpoint_;
    };
    struct CachedPrefix
    {
        EndpointId engine_;
        std::int64_t tokens_ = 0;
    };

    void start(Call &call);
    Engine *choose(const Call &call);
    Engine *leastLoaded(const std::vector<Engine *> &candidates);
    /** \brief Rendezvous hashing of the program. */
    Engine *chooseByHash(const Call &call, const std::vector<Engine *> &candidates) const;
    /** \brief Reported load plus the calls that this node sent since the measurement. */
    int load(const Engine &engine) const;

    BaselineKind kind_;
    SchedulerHooks hooks_;
    std::map<EndpointId, Engine> engines_;
    std::unordered_map<ProgramId, Call> calls_;
    std::unordered_map<ProgramId, CachedPrefix> prefixes_;
    std::size_t next_ = 0;
};

} // namespace filbertgw::bench

#endif
