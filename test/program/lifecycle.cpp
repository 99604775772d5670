#include "harness.h"

#include <gtest/gtest.h>

using namespace filbertgw;
using filbertgw::test::Cluster;

using Answers = std::shared_ptr<std::vector<CallAnswer>>;

namespace {

FailureType typeOf(const Answers &answers)
{
    return answers->at(0).failure_.value_or(Failure{FailureType::Conflict, false, "", Duration(0)}).type_;
}

void finishCall(Cluster &cluster, const ProgramId &program, const std::string &request, const std::string &input)
{
    CallRequest call = Cluster::call(program, request);
    call.input_ = input;
    cluster.submit(0, call);
    cluster.node(0).finish(DispatchStatus::Answered, "same answer");
    cluster.run(0.3);
}

} // namespace

// Guards against a repeated create request that creates a second program, on the same or on another node.
TEST(Create, RepeatedRequestNamesTheSameProgram)
{
    Cluster cluster(2);
    CreateRequest request;
    request.requestId_ = RequestId("c");
    request.account_ = AccountId("office");
    request.budget_ = {1000, 10, 10};
    std::vector<std::string> created;
    const auto done = [&created](const Result<ProgramId> &result) {
        created.push_back(result ? result.value().value() : "");
    };
    cluster.at(0).create(request, done);
    cluster.at(0).create(request, done);
    cluster.preferred_ = "n1";
    cluster.at(1).create(request, done);
    cluster.run(1);
    cluster.at(1).create(request, done);
    cluster.run(1);
    ASSERT_EQ(created.size(), 4U);
    EXPECT_FALSE(created[0].empty());
    EXPECT_EQ(std::set<std::string>(created.begin(), created.end()).size(), 1U);
}

// Guards against accepting a new program while it can't be recorded.
TEST(Create, IsRefusedDuringAnOutage)
{
    Cluster cluster(1);
    cluster.log_.faults().down_ = true;
    cluster.run(12);
    CreateRequest request;
    request.requestId_ = RequestId("c");
    std::optional<Failure> failure;
    cluster.at(0).create(request, [&failure](const Result<ProgramId> &result) { failure = failureOf(result); });
    ASSERT_TRUE(failure.has_value());
    EXPECT_EQ(failure->type_, FailureType::StoreUnavailable);
    EXPECT_TRUE(failure->notRun_);
    EXPECT_GT(failure->retryAfter_.count(), 0);
}

// Guards against a program that repeats the same turn without end.
TEST(Ends, LoopIsDetected)
{
    Cluster cluster(1);
    const ProgramId program = cluster.create(0);
    for (int i = 0; i < 8; ++i) {
        finishCall(cluster, program, "r" + std::to_string(i), "again");
    }
    const Answers answers = cluster.submit(0, Cluster::call(program, "next"));
    EXPECT_EQ(typeOf(answers), FailureType::LoopDetected);
    EXPECT_FALSE(cluster.at(0).isLive(program));
    EXPECT_EQ(cluster.node(0).ended_, std::vector<ProgramId>{program});
}

// Guards against detecting a loop although the turns differ.
TEST(Ends, DifferentTurnsAreNoLoop)
{
    Cluster cluster(1);
    const ProgramId program = cluster.create(0);
    for (int i = 0; i < 12; ++i) {
        finishCall(cluster, program, "r" + std::to_string(i), i == 6 ? "other" : "again");
    }
    cluster.submit(0, Cluster::call(program, "next"));
    EXPECT_EQ(cluster.node(0).dispatches_.size(), 13U);
}

// Guards against a turn limit that isn't enforced.
TEST(Ends, TurnLimit)
{
    Cluster cluster(1);
    CreateRequest request;
    request.requestId_ = RequestId("c");
    request.account_ = AccountId("office");
    request.budget_ = {100'000, 10, 100};
    request.maxTurns_ = 2;
    ProgramId program;
    cluster.at(0).create(request, [&program](const Result<ProgramId> &result) { program = result.value(); });
    cluster.run(0.5);
    finishCall(cluster, program, "r1", "one");
    finishCall(cluster, program, "r2", "two");
    EXPECT_EQ(typeOf(cluster.submit(0, Cluster::call(program, "r3"))), FailureType::ProgramEnded);
    const Answers replay = cluster.submit(0, [&program]() {
        CallRequest call = Cluster::call(program, "r2");
        call.input_ = "two";
        return call;
    }());
    EXPECT_EQ(replay->at(0).body_, "same answer") << "recorded answers outlive the program";
}

// Guards against sub-agents that continue after their root has ended, and against calls that are left without an
// answer.
TEST(Ends, RootEndsItsSubAgents)
{
    Cluster cluster(2);
    const ProgramId program = cluster.create(0);
    const ProgramId sub = cluster.create(0, {}, program.value());
    const Answers running = cluster.submit(0, Cluster::call(sub, "r1"));
    std::vector<CallAnswer> ended;
    cluster.at(0).end(program, AccountId("office"), [&ended](const CallAnswer &answer) { ended.push_back(answer); });
    cluster.run(0.5);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_FALSE(ended[0].failure_.has_value());
    EXPECT_EQ(typeOf(running), FailureType::ProgramEnded);
    EXPECT_EQ(cluster.node(0).cancelled_, std::vector<RequestId>{RequestId("r1")});
    EXPECT_FALSE(cluster.at(1).isLive(sub));
    EXPECT_EQ(cluster.node(1).ended_.size(), 2U) << "each node can release what it has cached";
}

// Guards against a caller that gets its answer after the deadline only, and against losing the turn of its call.
TEST(Deadlines, RunningCallIsAnsweredInTimeAndItsTurnIsRecorded)
{
    Cluster cluster(1);
    const ProgramId program = cluster.create(0);
    CallRequest call = Cluster::call(program, "r1");
    call.deadline_ = cluster.loop_.now() + std::chrono::seconds(2);
    const Answers answers = cluster.submit(0, call);
    cluster.log_.faults().down_ = true;
    cluster.node(0).finish(DispatchStatus::Answered, "late but whole");
    cluster.run(2);
    ASSERT_EQ(answers->size(), 1U);
    EXPECT_EQ(typeOf(answers), FailureType::DeadlinePassed);
    EXPECT_FALSE(answers->at(0).failure_->notRun_);
    cluster.log_.faults().down_ = false;
    cluster.run(5);
    call.deadline_ = Time(0);
    const Answers again = cluster.submit(0, call);
    ASSERT_EQ(again->size(), 1U);
    EXPECT_EQ(again->at(0).body_, "late but whole");
    EXPECT_EQ(cluster.node(0).dispatches_.size(), 1U);
}

// Guards against a hanging tool that blocks its caller, and against reporting a call as not run although it was sent.
TEST(Deadlines, HungToolIsReportedAsUnknown)
{
    Cluster cluster(1);
    const ProgramId program = cluster.create(0);
    CallRequest call = Cluster::call(program, "pay", false);
    call.deadline_ = cluster.loop_.now() + std::chrono::seconds(2);
    const Answers answers = cluster.submit(0, call);
    CallRequest queued = Cluster::call(program, "r2");
    queued.deadline_ = call.deadline_;
    const Answers behind = cluster.submit(0, queued);
    cluster.run(2);
    EXPECT_EQ(typeOf(answers), FailureType::OutcomeUnknown);
    EXPECT_FALSE(answers->at(0).failure_->notRun_);
    EXPECT_EQ(typeOf(behind), FailureType::DeadlinePassed);
    EXPECT_TRUE(behind->at(0).failure_->notRun_);
    EXPECT_EQ(cluster.node(0).cancelled_, std::vector<RequestId>{RequestId("pay")});
}

// Guards against a planned stop that interrupts a running call, and against a program without an owner after it.
TEST(Drain, RunningCallEndsBeforeTheHandover)
{
    Cluster cluster(2);
    const ProgramId program = cluster.create(0);
    const Answers running = cluster.submit(0, Cluster::call(program, "r1"));
    cluster.preferred_ = "n1";
    cluster.at(0).drain();
    cluster.run(2);
    EXPECT_FALSE(cluster.at(0).isDrained());
    const Answers queued = cluster.submit(0, Cluster::call(program, "r2"));
    cluster.node(0).finish(DispatchStatus::Answered, "one");
    cluster.run(1);
    ASSERT_EQ(running->size(), 1U);
    EXPECT_EQ(running->at(0).body_, "one");
    EXPECT_EQ(typeOf(queued), FailureType::OwnerUnavailable) << "the node passes the call on to the new owner";
    EXPECT_TRUE(cluster.at(0).isDrained());
    EXPECT_EQ(cluster.at(0).ownerOf(program).node_, NodeId("n1"));
    EXPECT_EQ(cluster.at(1).ownerOf(program).ownership_, Ownership::Own);
}

// Guards against a planned stop in which a tree waits for a hanging call of another of its programs (found by
// bench/promises, kochuveli, seed 446: 2.4 s).
TEST(Drain, TreeStartsCallsWhileAnotherOfItsProgramsRuns)
{
    Cluster cluster(2);
    const ProgramId program = cluster.create(0);
    const ProgramId sub = cluster.create(0, {}, program.value());
    cluster.submit(0, Cluster::call(sub, "hangs"));
    cluster.preferred_ = "n1";
    cluster.at(0).drain();
    cluster.submit(0, Cluster::call(program, "r1"));
    ASSERT_EQ(cluster.node(0).dispatches_.size(), 2U);
}

// Guards against a request that crashes several endpoints in succession.
TEST(Quarantine, SecondCertainCrashQuarantinesTheRequest)
{
    Cluster cluster(2);
    const ProgramId program = cluster.create(0);
    cluster.submit(0, Cluster::call(program, "r1"));
    EXPECT_FALSE(cluster.node(0).dispatches_[0].runAlone_);
    cluster.node(0).finish(DispatchStatus::Unknown, "", 1);
    cluster.run(0.5);
    cluster.submit(0, Cluster::call(program, "r1"));
    EXPECT_TRUE(cluster.node(0).dispatches_[1].runAlone_);
    cluster.node(0).finish(DispatchStatus::Unknown, "", 1);
    cluster.run(0.5);
    EXPECT_EQ(typeOf(cluster.submit(0, Cluster::call(program, "r1"))), FailureType::Quarantined);
    // The same content with another request id, in another program and on another node.
    cluster.preferred_ = "n1";
    const ProgramId other = cluster.create(1);
    CallRequest same = Cluster::call(other, "r9");
    same.input_ = "input of r1";
    EXPECT_EQ(typeOf(cluster.submit(1, same)), FailureType::Quarantined);
    EXPECT_TRUE(cluster.node(1).dispatches_.empty());
}

// Guards against quarantining a request that only ran at the same time as the one that crashed the endpoint.
TEST(Quarantine, AnswerOfAnIsolatedRunClearsASuspect)
{
    Cluster cluster(1);
    const ProgramId program = cluster.create(0);
    cluster.submit(0, Cluster::call(program, "r1"));
    cluster.node(0).finish(DispatchStatus::Unknown, "", 1);
    cluster.run(0.5);
    const Answers answers = cluster.submit(0, Cluster::call(program, "r1"));
    cluster.node(0).finish(DispatchStatus::Answered, "answered");
    cluster.run(0.5);
    EXPECT_EQ(answers->at(0).body_, "answered");
    const ProgramId other = cluster.create(0);
    CallRequest same = Cluster::call(other, "r1");
    cluster.submit(0, same);
    EXPECT_FALSE(cluster.node(0).dispatches_.back().runAlone_);
}

// Guards against idle programs that stay in memory, and against idle programs that can't be resumed.
TEST(Idle, ProgramIsCompactedAndReadBack)
{
    ProgramSettings settings;
    settings.idleTimeout_ = std::chrono::seconds(20);
    Cluster cluster(2, settings);
    const ProgramId program = cluster.create(0);
    finishCall(cluster, program, "r1", "one");
    cluster.run(25);
    EXPECT_EQ(cluster.at(0).dump().at("idle_programs"), 1);
    EXPECT_EQ(cluster.at(1).dump().at("idle_programs"), 1);
    EXPECT_TRUE(cluster.at(0).isLive(program));
    const Answers answers = cluster.submit(0, Cluster::call(program, "r2"));
    cluster.run(1);
    ASSERT_EQ(cluster.node(0).dispatches_.size(), 2U);
    EXPECT_EQ(cluster.node(0).dispatches_[1].prompt_, "one\nsame answer\ninput of r2");
    cluster.node(0).finish(DispatchStatus::Answered, "two");
    cluster.run(2);
    EXPECT_EQ(answers->size(), 1U);
    EXPECT_EQ(cluster.at(0).history(program), cluster.at(1).history(program));
}

// Guards against a live program whose journal entries expire.
TEST(Retention, CheckpointComesBeforeTheEntriesExpire)
{
    ProgramSettings settings;
    settings.retention_ = std::chrono::seconds(60);
    Cluster cluster(1, settings);
    const ProgramId program = cluster.create(0);
    finishCall(cluster, program, "r1", "one");
    cluster.run(25);
    EXPECT_EQ(cluster.log_.entries("journal").back().body_.at("type"), "checkpoint");
    cluster.log_.expireBefore("journal", cluster.log_.entries("journal").back().offset_);
    cluster.start("n5");
    cluster.run(2);
    EXPECT_EQ(cluster.nodes_.at("n5")->controller_->history(program), cluster.at(0).history(program));
    EXPECT_FALSE(cluster.at(0).history(program).empty());
}

// Guards against a node that continues with outdated state after a pause longer than the retention of the log.
TEST(Retention, NodeRebuildsItsStateAfterAGap)
{
    ProgramSettings settings;
    settings.retention_ = std::chrono::seconds(30);
    Cluster cluster(2, settings);
    const ProgramId program = cluster.create(0);
    cluster.pause(1);
    finishCall(cluster, program, "r1", "one");
    cluster.run(15);
    ASSERT_EQ(cluster.log_.entries("journal").back().body_.at("type"), "checkpoint");
    cluster.log_.expireBefore("journal", cluster.log_.entries("journal").back().offset_);
    cluster.resume(1);
    cluster.run(3);
    EXPECT_EQ(cluster.at(1).history(program), cluster.at(0).history(program));
}
