#include "policy/outlierejector.h"
#include "policyrig.h"

#include <gtest/gtest.h>

using namespace filbertgw;
using filbertgw::test::PolicyRig;

namespace {

class RandomFaults : public testing::TestWithParam<std::uint64_t>
{
};

AttemptStatus drawStatus(std::mt19937_64 &random)
{
    constexpr std::array<AttemptStatus, 8> statuses{AttemptStatus::Answered,
                                                    AttemptStatus::Answered,
                                                    AttemptStatus::Answered,
                                                    AttemptStatus::NotSent,
                                                    AttemptStatus::Rejected,
                                                    AttemptStatus::TimedOut,
                                                    AttemptStatus::ConnectionLost,
                                                    AttemptStatus::Crashed};
    return statuses[random() % statuses.size()];
}

} // namespace

// Guards against lost or duplicate answers, repeated non-idempotent calls, a wrong not_run and missing releases.
TEST_P(RandomFaults, EveryCallFinishesOnceAndTruthfully)
{
    PolicyRig rig(GetParam());
    std::mt19937_64 random(GetParam() * 31);
    rig.setEngines(6);
    std::map<std::string, bool> idempotent;
    std::map<std::string, int> reached; ///< Attempts that reached an endpoint, by program.
    std::size_t next = 0;
    for (int step = 0; step < 400; ++step) {
        if (step < 200) {
            const std::string program = "p" + std::to_string(step);
            ScheduleRequest request = rig.request(program, "r");
            request.idempotent_ = random() % 4 != 0;
            idempotent[program] = request.idempotent_;
            rig.scheduler_->submit(request);
        }
        if (random() % 16 == 0) {
            rig.scheduler_->cancel(ProgramId("p" + std::to_string(random() % 200)), RequestId("r"));
        }
        const EndpointId endpoint("e" + std::to_string(random() % 6));
        rig.scheduler_->onEndpointHealth(endpoint, random() % 4 != 0);
        while (next < rig.starts_.size() && random() % 8 != 0) {
            const StartOrder start = rig.starts_[next++];
            const AttemptStatus status = drawStatus(random);
            reached[start.program_.value()] += status != AttemptStatus::NotSent ? 1 : 0;
            rig.end(start, status);
        }
        rig.advance(std::chrono::milliseconds(300));
    }
    for (int i = 0; i < 6; ++i) {
        rig.scheduler_->onEndpointHealth(EndpointId("e" + std::to_string(i)), true);
    }
    for (int round = 0; round < 100; ++round) {
        while (next < rig.starts_.size()) {
            const StartOrder start = rig.starts_[next++];
            ++reached[start.program_.value()];
            rig.end(start, AttemptStatus::Answered);
        }
        rig.advance(std::chrono::seconds(1));
    }
    std::map<std::string, int> finished;
    for (const ScheduleResult &result : rig.finished_) {
        const std::string program = result.program_.value();
        ++finished[program];
        if (result.failure_ && result.failure_->notRun_) {
            EXPECT_EQ(reached[program], 0) << program;
        }
    }
    EXPECT_EQ(rig.scheduler_->pendingCalls(), 0U);
    for (const std::pair<const std::string, bool> &entry : idempotent) {
        EXPECT_EQ(finished[entry.first], 1) << entry.first;
        EXPECT_TRUE(entry.second || reached[entry.first] <= 1) << entry.first;
        rig.scheduler_->onProgramEnded(ProgramId(entry.first));
    }
    std::set<std::pair<std::string, std::string>> released;
    for (const EndpointOrder &order : rig.orders_) {
        if (order.kind_ == OrderKind::Release) {
            released.emplace(order.endpoint_.value(), order.program_.value());
        }
    }
    for (const ScheduleResult &result : rig.finished_) {
        if (result.status_ == DispatchStatus::Answered) {
            const std::pair<std::string, std::string> key{result.endpoint_.value(), result.program_.value()};
            EXPECT_GT(released.count(key), 0U) << key.first << " " << key.second;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Scheduler, RandomFaults, testing::Range<std::uint64_t>(1, 21));

// Guards against a request being identified as poison because it ran beside the one that crashes engines.
TEST(Isolation, SuspectsRunAloneAndOnlyThePoisonRequestIsIdentified)
{
    PolicyRig rig;
    rig.setEngines(6);
    for (int i = 0; i < 6; ++i) {
        rig.scheduler_->submit(rig.request("p" + std::to_string(i), "r"));
    }
    ASSERT_EQ(rig.starts_.size(), 6U);
    const EndpointId crashed = rig.starts_[0].endpoint_;
    for (const StartOrder &start : std::vector<StartOrder>(rig.starts_)) {
        if (start.endpoint_ == crashed) {
            rig.end(start, AttemptStatus::Crashed);
        } else {
            rig.end(start, AttemptStatus::Answered);
        }
    }
    std::size_t next = 6;
    for (int round = 0; round < 20; ++round) {
        rig.advance(std::chrono::seconds(1));
        for (; next < rig.starts_.size(); ++next) {
            const StartOrder start = rig.starts_[next];
            EXPECT_TRUE(start.alone_) << start.program_.value();
            rig.scheduler_->onRunsAlone(start.program_, start.requestId_, start.attempt_);
            rig.end(start, start.program_.value() == "p0" ? AttemptStatus::Crashed : AttemptStatus::Answered);
        }
    }
    ASSERT_EQ(rig.finished_.size(), 6U);
    for (const ScheduleResult &result : rig.finished_) {
        EXPECT_EQ(result.crashes_, result.program_.value() == "p0" ? 2U : 0U) << result.program_.value();
    }
}

namespace {

struct CrashCase
{
    const char *name_;
    bool isConfirmed_; ///< The engine confirmed that it ran the suspect alone.
    bool hadFirstToken_;
    bool withOthers_; ///< Another engine crashes half a second later.
    bool isPoison_;
};

class SecondCrash : public testing::TestWithParam<CrashCase>
{
};

} // namespace

// Guards against attributing a crash to a request only because the engine appeared idle when the request was sent:
// other suspects may be queued there, and a lost failure domain or a crash at another stage has another cause.
TEST_P(SecondCrash, IsAttributedOnlyToItsCause)
{
    PolicyRig rig;
    rig.setEngines(6);
    rig.scheduler_->submit(rig.request("p", "r"));
    rig.end(rig.starts_[0], AttemptStatus::Crashed);
    rig.advance(std::chrono::seconds(3));
    ASSERT_EQ(rig.starts_.size(), 2U);
    const StartOrder alone = rig.starts_[1];
    EXPECT_TRUE(alone.alone_);
    rig.scheduler_->submit(rig.request("q", "r"));
    ASSERT_EQ(rig.starts_.size(), 3U);
    const StartOrder other = rig.starts_[2];
    ASSERT_NE(other.endpoint_, alone.endpoint_);
    if (GetParam().isConfirmed_) {
        rig.scheduler_->onRunsAlone(alone.program_, alone.requestId_, alone.attempt_);
    }
    if (GetParam().hadFirstToken_) {
        rig.firstToken(alone);
    }
    rig.end(alone, AttemptStatus::Crashed);
    rig.advance(std::chrono::milliseconds(500));
    rig.end(other, GetParam().withOthers_ ? AttemptStatus::Crashed : AttemptStatus::Answered);
    for (std::size_t next = 3; rig.finished_.size() < 2 && next < 6; ++next) {
        rig.advance(std::chrono::seconds(3));
        if (rig.starts_.size() > next) {
            rig.end(rig.starts_[next], AttemptStatus::Answered);
        }
    }
    ASSERT_EQ(rig.finished_.size(), 2U);
    for (const ScheduleResult &result : rig.finished_) {
        const bool isPoison = GetParam().isPoison_ && result.program_.value() == "p";
        EXPECT_EQ(result.crashes_, isPoison ? 2U : 0U) << result.program_.value();
        EXPECT_EQ(result.status_ == DispatchStatus::Answered, !isPoison) << result.program_.value();
    }
}

INSTANTIATE_TEST_SUITE_P(Isolation,
                         SecondCrash,
                         testing::Values(CrashCase{"RanAlone", true, false, false, true},
                                         CrashCase{"Unconfirmed", false, false, false, false},
                                         CrashCase{"AtAnotherStage", true, true, false, false},
                                         CrashCase{"WithOtherEngines", true, false, true, false}),
                         [](const testing::TestParamInfo<CrashCase> &info) { return info.param.name_; });

// Guards against attributing a crash to a suspect that may still have been queued on the engine.
TEST(Isolation, CrashOfABusyEngineIsNotAttributed)
{
    PolicyRig rig;
    rig.setEngines(6);
    rig.scheduler_->submit(rig.request("p", "r"));
    rig.end(rig.starts_[0], AttemptStatus::Crashed);
    for (int i = 0; i < 6; ++i) {
        rig.scheduler_->onLoadReport(rig.report("e" + std::to_string(i), 12));
    }
    rig.advance(std::chrono::seconds(3));
    ASSERT_EQ(rig.starts_.size(), 2U);
    rig.end(rig.starts_[1], AttemptStatus::Crashed);
    rig.advance(std::chrono::seconds(3));
    ASSERT_EQ(rig.starts_.size(), 3U);
    rig.end(rig.starts_[2], AttemptStatus::Answered);
    ASSERT_EQ(rig.finished_.size(), 1U);
    EXPECT_EQ(rig.finished_[0].crashes_, 0U);
}

// Guards against ejecting so many endpoints that the remaining ones are overloaded.
TEST(OutlierEjector, KeepsHalfOfTheEndpointsInUse)
{
    Blackboard blackboard;
    for (int i = 0; i < 6; ++i) {
        blackboard.write<EndpointSection>().endpoints_[EndpointId("e" + std::to_string(i))];
    }
    Time now{std::chrono::seconds(1)};
    OutlierEjector ejector(blackboard, true, [&now] { return now; });
    for (int round = 0; round < 4; ++round) {
        for (int i = 0; i < 6; ++i) {
            ejector.onFailure(EndpointId("e" + std::to_string(i)));
        }
    }
    int ejected = 0;
    for (int i = 0; i < 6; ++i) {
        ejected += ejector.isEjected(EndpointId("e" + std::to_string(i))) ? 1 : 0;
    }
    EXPECT_EQ(ejected, 3);
    now += std::chrono::minutes(5);
    EXPECT_FALSE(ejector.isEjected(EndpointId("e0")));
}
