#include "policy/nodepolicy.h"

#include "policy/baseline.h"

#include <stdexcept>

namespace filbertgw::bench {

namespace internal {

/** \brief Adapts the Scheduler to the interface of the bench. */
class SchedulerPolicy : public NodePolicy
{
public:
    explicit SchedulerPolicy(std::unique_ptr<Scheduler> scheduler)
        : scheduler_(std::move(scheduler))
    {
    }
    void setWeights(double latency, double wastedCache) override
    {
        scheduler_->setWeights(latency, wastedCache);
    }
    void setEndpoints(const std::vector<EndpointInfo> &endpoints) override
    {
        scheduler_->setEndpoints(endpoints);
    }
    void onLoadReport(const LoadReport &report) override
    {
        scheduler_->onLoadReport(report);
    }
    void onCacheEvent(const CacheEvent &event) override
    {
        scheduler_->onCacheEvent(event);
    }
    void onEndpointHealth(const EndpointId &endpoint, bool healthy) override
    {
        scheduler_->onEndpointHealth(endpoint, healthy);
    }
    std::optional<Failure>
    admitProgram(const ProgramId &program, const AccountId &account, std::int64_t promptTokens, Time deadline) override
    {
        return scheduler_->admitProgram(program, account, promptTokens, deadline);
    }
    void submit(const ScheduleRequest &request) override
    {
        scheduler_->submit(request);
    }
    void onRunsAlone(const ProgramId &program, const RequestId &request, std::uint32_t attempt) override
    {
        scheduler_->onRunsAlone(program, request, attempt);
    }
    void onFirstToken(const ProgramId &program, const RequestId &request, std::uint32_t attempt) override
    {
        scheduler_->onFirstToken(program, request, attempt);
    }
    void onAttemptEnded(const AttemptResult &result) override
    {
        scheduler_->onAttemptEnded(result);
    }
    void onProgramPaused(const ProgramId &program, const std::string &tool) override
    {
        scheduler_->onProgramPaused(program, tool);
    }
    void onProgramEnded(const ProgramId &program) override
    {
        scheduler_->onProgramEnded(program);
    }
    void onHeldPrograms(const EndpointId &endpoint, const std::vector<ProgramId> &programs) override
    {
        scheduler_->onHeldPrograms(endpoint, programs);
    }
    void tick() override
    {
        scheduler_->tick();
    }
    bool releasesCaches() const override
    {
        return true;
    }

private:
    std::unique_ptr<Scheduler> scheduler_;
};

/** \brief Disables the mechanisms in a name such as `default-no-X-no-Y`. */
void disableNamed(const std::string &name, Scheduler::Builder &builder)
{
    const std::string marker = "-no-";
    std::size_t position = name.find(marker);
    while (position != std::string::npos) {
        const std::size_t start = position + marker.size();
        position = name.find(marker, start);
        const std::string part = name.substr(start, position == std::string::npos ? position : position - start);
        const std::optional<Mechanism> mechanism = valueOf<Mechanism>(part);
        if (!mechanism) {
            throw std::invalid_argument("unknown mechanism " + part);
        }
        builder.disable(*mechanism);
    }
}

} // namespace internal

std::unique_ptr<NodePolicy> makePolicy(const std::string &name, const SchedulerHooks &hooks)
{
    static const std::map<std::string, BaselineKind> baselines{{"round-robin", BaselineKind::RoundRobin},
                                                               {"least-outstanding", BaselineKind::LeastOutstanding},
                                                               {"sticky-hash", BaselineKind::StickyHash},
                                                               {"prefix-aware", BaselineKind::PrefixAware}};
    const std::map<std::string, BaselineKind>::const_iterator baseline = baselines.find(name);
    if (baseline != baselines.end()) {
        return std::make_unique<BaselinePolicy>(baseline->second, hooks);
    }
    if (name.rfind("default", 0) != 0) {
        throw std::invalid_argument("unknown policy " + name);
    }
    Scheduler::Builder builder;
    builder.hooks(hooks);
    internal::disableNamed(name, builder);
    return std::make_unique<internal::SchedulerPolicy>(builder.build());
}

} // namespace filbertgw::bench
