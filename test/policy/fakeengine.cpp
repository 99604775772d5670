#include "fakes/workload.h"

#include <gtest/gtest.h>

using namespace filbertgw;
using namespace filbertgw::bench;

namespace {

/** \brief A fake engine with the settings of the benches that records what it computed for each job. */
struct EngineRig
{
    EngineRig()
    {
        FakeEngine::Hooks hooks;
        hooks.prefilled_ = [this](std::uint64_t job, std::int64_t computed, std::int64_t) {
            computed_[job] = computed;
        };
        hooks.finished_ = [this](std::uint64_t job) { finished_[job] = events_.now(); };
        hooks.crashed_ = [](std::uint64_t) {};
        hooks.cacheChanged_ = [](CacheKey, std::int64_t, bool) {};
        hooks.begunAlone_ = [](std::uint64_t) {};
        hooks.poisoned_ = [] {};
        engine_ = std::make_unique<FakeEngine>(events_, EngineSettings::fromJson(readWorkloadFile("engine")), hooks);
    }
    void run(std::uint64_t id, CacheKey program, std::int64_t prompt)
    {
        EngineJob job;
        job.id_ = id;
        job.program_ = program;
        job.shared_ = CacheKey{1} << 62U;
        job.sharedTokens_ = 1600;
        job.promptTokens_ = prompt;
        job.generate_ = 100;
        engine_->submitAfterImport(job, *engine_);
        events_.runUntil(events_.now() + std::chrono::minutes(2));
    }

    EventQueue events_;
    std::map<std::uint64_t, std::int64_t> computed_;
    std::map<std::uint64_t, Time> finished_;
    std::unique_ptr<FakeEngine> engine_;
};

} // namespace

// Guards against an idle fake engine that is slower or faster than the lower bound from which slowdowns are computed.
TEST(FakeEngine, IdleLatencyIsPrefillPlusDecoding)
{
    EngineRig rig;
    rig.run(1, 1, 21'600);
    EXPECT_NEAR(toSeconds(rig.finished_[1]), 21'600 / 20'000.0 + 100 * 0.0154, 0.001);
}

// Guards against wrong figures of wasted tokens because cached, exported or evicted tokens are miscounted.
TEST(FakeEngine, ComputesOnlyWhatIsNeitherCachedNorExported)
{
    EngineRig rig;
    rig.run(1, 1, 16'000);
    rig.run(2, 1, 17'600);
    EXPECT_EQ(rig.computed_[2], 17'600 - 16'000 - 100 + 4); // The 100 generated tokens are cached in whole blocks.
    rig.engine_->exportProgram(1);
    rig.events_.runUntil(rig.events_.now() + std::chrono::seconds(1));
    EXPECT_EQ(rig.engine_->cachedTokens(1), 0);
    rig.run(3, 1, 17'600);
    EXPECT_LT(rig.computed_[3], 32);
    for (CacheKey other = 2; other < 5; ++other) {
        rig.run(10 + other, other, 340'000);
    }
    rig.run(20, 1, 17'600);
    EXPECT_EQ(rig.computed_[20], 16'000);
    rig.engine_->release(1);
    EXPECT_EQ(rig.engine_->cachedTokens(1), 0);
}
