#ifndef FILBERTGW_TEST_POLICY_POLICYRIG_H
#define FILBERTGW_TEST_POLICY_POLICYRIG_H

#include "policy/scheduler.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace filbertgw::test {

/** \brief A Scheduler in virtual time that records the calls of its hooks. */
class PolicyRig
{
public:
    explicit PolicyRig(std::uint64_t seed = 1, std::int32_t nodes = 1)
        : random_(seed)
    {
        SchedulerHooks hooks;
        hooks.now_ = [this] { return now_; };
        hooks.random_ = [this] { return random_(); };
        hooks.start_ = [this](const StartOrder &order) { starts_.push_back(order); };
        hooks.finished_ = [this](const ScheduleResult &result) { finished_.push_back(result); };
        hooks.order_ = [this](const EndpointOrder &order) { orders_.push_back(order); };
        hooks.liveNodes_ = [nodes] { return nodes; };
        hooks.ownsEndpoint_ = [](const EndpointId &) { return true; };
        Scheduler::Builder builder;
        builder.hooks(hooks);
        scheduler_ = builder.build();
    }

    static EndpointInfo engine(const std::string &id)
    {
        EndpointInfo info;
        info.id_ = EndpointId(id);
        info.models_ = {ModelId("base")};
        return info;
    }
    static EndpointInfo tool(const std::string &id)
    {
        EndpointInfo info = engine(id);
        info.kind_ = CallKind::Tool;
        info.models_ = {ModelId("salary")};
        return info;
    }
    void setEngines(int count)
    {
        std::vector<EndpointInfo> engines;
        for (int i = 0; i < count; ++i) {
            engines.push_back(engine("e" + std::to_string(i)));
        }
        scheduler_->setEndpoints(engines);
    }
    ScheduleRequest request(const std::string &program, const std::string &id, std::int64_t prompt = 8000) const
    {
        ScheduleRequest result;
        result.program_ = ProgramId(program);
        result.root_ = result.program_;
        result.requestId_ = RequestId(id);
        result.account_ = AccountId("a");
        result.target_ = "base";
        result.promptTokens_ = prompt;
        result.sharedTokens_ = 2000;
        result.programStarted_ = now_;
        return result;
    }
    LoadReport report(const std::string &engine, int running, std::int64_t used = 0) const
    {
        LoadReport result;
        result.endpoint_ = EndpointId(engine);
        result.measuredAt_ = now_;
        result.running_ = running;
        result.cacheUsedTokens_ = used;
        return result;
    }
    void end(const StartOrder &order, AttemptStatus status)
    {
        AttemptResult result;
        result.program_ = order.program_;
        result.requestId_ = order.requestId_;
        result.endpoint_ = order.endpoint_;
        result.attempt_ = order.attempt_;
        result.status_ = status;
        result.promptTokens_ = 8000;
        result.generatedTokens_ = 200;
        result.latency_ = std::chrono::seconds(4);
        result.firstToken_ = std::chrono::milliseconds(400);
        scheduler_->onAttemptEnded(result);
    }
    void firstToken(const StartOrder &order)
    {
        scheduler_->onFirstToken(order.program_, order.requestId_, order.attempt_);
    }
    /** \brief Advances the virtual time in ticks of 100 ms. */
    void advance(Duration duration)
    {
        const Time end = now_ + duration;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(100);
            scheduler_->tick();
        }
    }
    std::size_t count(OrderKind kind, const std::string &engine, const std::string &program) const
    {
        std::size_t result = 0;
        for (const EndpointOrder &order : orders_) {
            result += order.kind_ == kind && order.endpoint_.value() == engine && order.program_.value() == program;
        }
        return result;
    }

    Time now_{std::chrono::seconds(1000)};
    std::mt19937_64 random_;
    std::vector<StartOrder> starts_;
    std::vector<ScheduleResult> finished_;
    std::vector<EndpointOrder> orders_;
    std::unique_ptr<Scheduler> scheduler_;
};

} // namespace filbertgw::test

#endif
