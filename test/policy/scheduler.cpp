#include "policyrig.h"

#include <gtest/gtest.h>

using namespace filbertgw;
using filbertgw::test::PolicyRig;

namespace {

struct LeavingCase
{
    const char *name_;
    bool byList_;
};

class Leaving : public testing::TestWithParam<LeavingCase>
{
};

struct FailureCase
{
    const char *name_;
    AttemptStatus status_;
    bool idempotent_;
    DispatchStatus expected_; ///< Final status of the call.
    bool notRun_;
};

class FailedAttempt : public testing::TestWithParam<FailureCase>
{
};

template<typename Case>
std::string caseName(const testing::TestParamInfo<Case> &info)
{
    return info.param.name_;
}

} // namespace

// Guards against new work for an endpoint whose VM is about to be removed (H8).
TEST_P(Leaving, EndpointGetsNothing)
{
    PolicyRig rig;
    std::vector<EndpointInfo> engines{PolicyRig::engine("e0"), PolicyRig::engine("e1")};
    rig.scheduler_->setEndpoints(engines);
    if (GetParam().byList_) {
        engines[0].leaving_ = true;
        rig.scheduler_->setEndpoints(engines);
    } else {
        LoadReport report = rig.report("e0", 0);
        report.leaving_ = true;
        rig.scheduler_->onLoadReport(report);
    }
    for (int i = 0; i < 50; ++i) {
        rig.scheduler_->submit(rig.request("p" + std::to_string(i), "r"));
    }
    ASSERT_FALSE(rig.starts_.empty());
    for (const StartOrder &start : rig.starts_) {
        EXPECT_EQ(start.endpoint_.value(), "e1");
    }
}

INSTANTIATE_TEST_SUITE_P(Scheduler,
                         Leaving,
                         testing::Values(LeavingCase{"ByVmList", true}, LeavingCase{"ByLoadReport", false}),
                         caseName<LeavingCase>);

// Guards against a retry at the endpoint that failed, a second run of a non-idempotent call (H7), and a refusal that
// says not_run although an endpoint may have run the call (H6).
TEST_P(FailedAttempt, IsRetriedElsewhereOrReportedTruthfully)
{
    PolicyRig rig;
    rig.setEngines(4);
    ScheduleRequest request = rig.request("p", "r");
    request.idempotent_ = GetParam().idempotent_;
    rig.scheduler_->submit(request);
    std::set<EndpointId> failed;
    for (std::size_t i = 0; i < rig.starts_.size(); ++i) {
        const StartOrder start = rig.starts_[i];
        EXPECT_TRUE(failed.insert(start.endpoint_).second) << start.endpoint_.value();
        rig.end(start, GetParam().status_);
        rig.advance(std::chrono::seconds(3));
    }
    EXPECT_EQ(rig.starts_.size() > 1, GetParam().idempotent_);
    rig.advance(std::chrono::seconds(70));
    ASSERT_EQ(rig.finished_.size(), 1U);
    EXPECT_EQ(rig.finished_[0].status_, GetParam().expected_);
    ASSERT_TRUE(rig.finished_[0].failure_.has_value());
    EXPECT_EQ(rig.finished_[0].failure_->notRun_, GetParam().notRun_);
}

INSTANTIATE_TEST_SUITE_P(
    Scheduler,
    FailedAttempt,
    testing::Values(FailureCase{"LostIdempotent", AttemptStatus::ConnectionLost, true, DispatchStatus::Unknown, false},
                    FailureCase{"TimedOutIdempotent", AttemptStatus::TimedOut, true, DispatchStatus::Unknown, false},
                    FailureCase{"RejectedIdempotent", AttemptStatus::Rejected, true, DispatchStatus::Failed, false},
                    FailureCase{"NotSentIdempotent", AttemptStatus::NotSent, true, DispatchStatus::NotSent, true},
                    FailureCase{"LostOnce", AttemptStatus::ConnectionLost, false, DispatchStatus::Unknown, false},
                    FailureCase{"CrashedOnce", AttemptStatus::Crashed, false, DispatchStatus::Unknown, false},
                    FailureCase{"RejectedOnce", AttemptStatus::Rejected, false, DispatchStatus::Failed, false},
                    FailureCase{"NotSentOnce", AttemptStatus::NotSent, false, DispatchStatus::NotSent, true}),
    caseName<FailureCase>);

// Guards against sending a non-idempotent tool call twice, or to a model engine.
TEST(Scheduler, ToolCallGoesOnceToAToolEndpoint)
{
    PolicyRig rig;
    rig.scheduler_->setEndpoints({PolicyRig::engine("e0"), PolicyRig::tool("t0"), PolicyRig::tool("t1")});
    ScheduleRequest request = rig.request("p", "r");
    request.kind_ = CallKind::Tool;
    request.target_ = "salary";
    request.idempotent_ = false;
    rig.scheduler_->submit(request);
    ASSERT_EQ(rig.starts_.size(), 1U);
    EXPECT_EQ(rig.starts_[0].endpoint_.value().front(), 't');
    rig.end(rig.starts_[0], AttemptStatus::TimedOut);
    rig.advance(std::chrono::seconds(10));
    EXPECT_EQ(rig.starts_.size(), 1U);
    EXPECT_EQ(rig.finished_.size(), 1U);
}

// Guards against a cancelled call that keeps its engine busy, or whose later end is reported a second time.
TEST(Scheduler, CancelFinishesAtOnceAndStopsTheEngine)
{
    PolicyRig rig;
    rig.setEngines(2);
    rig.scheduler_->submit(rig.request("p", "r"));
    ASSERT_EQ(rig.starts_.size(), 1U);
    rig.scheduler_->cancel(ProgramId("p"), RequestId("r"));
    ASSERT_EQ(rig.finished_.size(), 1U);
    EXPECT_FALSE(rig.finished_[0].failure_->notRun_);
    EXPECT_EQ(rig.count(OrderKind::Cancel, rig.starts_[0].endpoint_.value(), "p"), 1U);
    rig.end(rig.starts_[0], AttemptStatus::Cancelled);
    EXPECT_EQ(rig.finished_.size(), 1U);
    EXPECT_EQ(rig.scheduler_->pendingCalls(), 0U);
}

// Guards against engine memory that stays allocated for a program that has ended (H4).
TEST(Scheduler, EndedProgramIsReleasedWhereverItRan)
{
    PolicyRig rig;
    rig.setEngines(4);
    rig.scheduler_->submit(rig.request("p", "r"));
    rig.end(rig.starts_[0], AttemptStatus::ConnectionLost);
    rig.advance(std::chrono::seconds(3));
    ASSERT_EQ(rig.starts_.size(), 2U);
    rig.firstToken(rig.starts_[1]);
    rig.end(rig.starts_[1], AttemptStatus::Answered);
    rig.scheduler_->onProgramEnded(ProgramId("p"));
    for (const StartOrder &start : rig.starts_) {
        EXPECT_GE(rig.count(OrderKind::Release, start.endpoint_.value(), "p"), 1U) << start.endpoint_.value();
    }
}

// Guards against memory that is leaked by a lost release order, and against a sweep that releases a live program.
TEST(Scheduler, SweepReleasesOnlyWhatBelongsToNoLiveProgram)
{
    PolicyRig rig;
    rig.setEngines(1);
    rig.scheduler_->submit(rig.request("live", "r"));
    rig.end(rig.starts_[0], AttemptStatus::Answered);
    rig.scheduler_->onHeldPrograms(EndpointId("e0"), {ProgramId("live"), ProgramId("gone")});
    EXPECT_EQ(rig.count(OrderKind::Release, "e0", "gone"), 1U);
    EXPECT_EQ(rig.count(OrderKind::Release, "e0", "live"), 0U);
}

// Guards against exports without memory pressure, and against paused programs that keep memory under pressure.
TEST(Scheduler, LongPausesAreExportedOnlyUnderPressure)
{
    for (const std::int64_t used : {300'000, 940'000}) {
        PolicyRig rig;
        rig.setEngines(1);
        rig.scheduler_->submit(rig.request("p", "r"));
        rig.end(rig.starts_[0], AttemptStatus::Answered);
        rig.scheduler_->onLoadReport(rig.report("e0", 5, used));
        rig.scheduler_->onProgramPaused(ProgramId("p"), "reading");
        rig.advance(std::chrono::seconds(2));
        EXPECT_EQ(rig.count(OrderKind::Export, "e0", "p"), used > 500'000 ? 1U : 0U) << used;
    }
}

// Guards against a program that moves away from its cache although its home engine is usable.
TEST(Scheduler, NextCallUsesTheHomeEngine)
{
    PolicyRig rig;
    rig.setEngines(8);
    rig.scheduler_->submit(rig.request("p", "r0"));
    rig.end(rig.starts_[0], AttemptStatus::Answered);
    ScheduleRequest next = rig.request("p", "r1", 9000);
    next.turn_ = 1;
    rig.scheduler_->submit(next);
    ASSERT_EQ(rig.starts_.size(), 2U);
    EXPECT_EQ(rig.starts_[0].endpoint_, rig.starts_[1].endpoint_);
    EXPECT_TRUE(rig.starts_[1].importFrom_.isEmpty());
}

// Guards against all nodes sending to the engine that a delayed report shows as the least loaded.
TEST(Scheduler, NodesWithTheSameReportSpreadTheirPrograms)
{
    constexpr int nodes = 12;
    std::map<EndpointId, int> chosen;
    for (int node = 0; node < nodes; ++node) {
        PolicyRig rig(static_cast<std::uint64_t>(node) + 1, nodes);
        rig.setEngines(8);
        for (int i = 0; i < 8; ++i) {
            rig.scheduler_->onLoadReport(rig.report("e" + std::to_string(i), i == 3 ? 4 : 7));
        }
        rig.scheduler_->submit(rig.request("p" + std::to_string(node), "r"));
        for (int second = 0; second < 5 && rig.starts_.empty(); ++second) {
            rig.advance(std::chrono::seconds(1));
            for (int i = 0; i < 8; ++i) {
                rig.scheduler_->onLoadReport(rig.report("e" + std::to_string(i), i == 3 ? 4 : 7));
            }
        }
        ASSERT_EQ(rig.starts_.size(), 1U);
        ++chosen[rig.starts_[0].endpoint_];
    }
    for (const std::pair<const EndpointId, int> &entry : chosen) {
        EXPECT_LE(entry.second, nodes / 2) << entry.first.value();
    }
}

// Guards against new programs that grow the working set beyond the engines' memory, and against refusals without
// not_run or retryAfter.
TEST(Scheduler, NewProgramsWaitForRoomAndAreRefusedAsNotRun)
{
    PolicyRig rig;
    rig.setEngines(1);
    rig.scheduler_->onLoadReport(rig.report("e0", 24, 990'000));
    EXPECT_FALSE(rig.scheduler_->admitProgram(ProgramId("p0"), AccountId("a"), 8000, Time{0}).has_value());
    rig.scheduler_->submit(rig.request("p0", "r"));
    EXPECT_TRUE(rig.starts_.empty());
    rig.advance(std::chrono::seconds(30));
    const std::optional<Failure> refusal = rig.scheduler_->admitProgram(ProgramId("p1"), AccountId("a"), 8000, Time{0});
    ASSERT_TRUE(refusal.has_value());
    EXPECT_TRUE(refusal->notRun_);
    EXPECT_GT(refusal->retryAfter_.count(), 0);
    rig.scheduler_->onLoadReport(rig.report("e0", 2, 100'000));
    EXPECT_EQ(rig.starts_.size(), 1U);
}

namespace {

struct WeightCase
{
    const char *name_;
    double latency_;
    double wastedCache_;
    bool isRefused_; ///< At mean streams of 0.975 of the maximum.
};

class Weights : public testing::TestWithParam<WeightCase>
{
};

} // namespace

// Guards against weights without effect: the larger the weight of wasted cache, the lower the load above which new
// programs are refused.
TEST_P(Weights, SetTheLoadAboveWhichProgramsAreRefused)
{
    PolicyRig rig;
    rig.setEngines(10);
    constexpr int reports = 400; // Enough for the mean, which is smoothed with a weight of 0.03, to converge.
    for (int i = 0; i < reports; ++i) {
        rig.scheduler_->onLoadReport(rig.report("e" + std::to_string(i % 10), i % 10 < 6 ? 23 : 24));
    }
    rig.scheduler_->setWeights(GetParam().latency_, GetParam().wastedCache_);
    const std::optional<Failure> refusal = rig.scheduler_->admitProgram(ProgramId("p"), AccountId("a"), 8000, Time{0});
    EXPECT_EQ(refusal.has_value(), GetParam().isRefused_);
}

INSTANTIATE_TEST_SUITE_P(Scheduler,
                         Weights,
                         testing::Values(WeightCase{"LatencyOnly", 1, 0, false},
                                         WeightCase{"MostlyLatency", 1, 0.5, false},
                                         WeightCase{"MostlyCache", 1, 2, true},
                                         WeightCase{"CacheOnly", 0, 1, true}),
                         [](const testing::TestParamInfo<WeightCase> &info) { return std::string(info.param.name_); });

// Guards against an account with many programs that delays the start of other accounts' programs.
TEST(Scheduler, AccountOverItsShareStartsAfterTheOthers)
{
    PolicyRig rig;
    rig.setEngines(1);
    rig.scheduler_->onLoadReport(rig.report("e0", 0));
    for (int i = 0; i < 20; ++i) {
        rig.scheduler_->submit(rig.request("heavy" + std::to_string(i), "r"));
    }
    ScheduleRequest light = rig.request("light0", "r");
    light.account_ = AccountId("b");
    rig.scheduler_->submit(light);
    rig.scheduler_->onLoadReport(rig.report("e0", 24));
    rig.scheduler_->submit(rig.request("heavy-late", "r"));
    light.program_ = light.root_ = ProgramId("light-late");
    rig.scheduler_->submit(light);
    rig.starts_.clear();
    rig.advance(std::chrono::seconds(1));
    rig.scheduler_->onLoadReport(rig.report("e0", 20));
    ASSERT_FALSE(rig.starts_.empty());
    EXPECT_EQ(rig.starts_[0].program_.value(), "light-late");
}
