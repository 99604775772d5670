#ifndef FILBERTGW_BENCH_POLICY_BASELINE_H
#define FILBERTGW_BENCH_POLICY_BASELINE_H

#include "policy/nodepolicy.h"

#include <map>
#include <unordered_map>

namespace filbertgw::bench {

/** \brief The usual routing rules that the policy is compared with. */
enum class BaselineKind : std::uint8_t { RoundRobin, LeastOutstanding, StickyHash, PrefixAware };

/**
 * \brief A proxy without admission or priorities that sends each call at once.
 *
 * It retries an idempotent call up to three times elsewhere and avoids engines that failed in the last 10 s.
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
        int reported_ = 0; ///< Running and waiting, by the newest report.
        Time measuredAt_{0};
        std::vector<Time> sent_; ///< Times of this node's recent sends.
    };
    struct Call
    {
        ScheduleRequest request_;
        std::uint32_t attempt_ = 0;
        EndpointId failedAt_;
    };
    struct CachedPrefix
    {
        EndpointId engine_;
        std::int64_t tokens_ = 0;
    };

    void start(Call &call);
    Engine *choose(const Call &call);
    Engine *leastLoaded(const std::vector<Engine *> &candidates);
    Engine *chooseByHash(const Call &call, const std::vector<Engine *> &candidates) const;
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
