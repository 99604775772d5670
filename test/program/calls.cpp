#include "harness.h"

#include <gtest/gtest.h>

using namespace filbertgw;
using filbertgw::test::Cluster;

using Answers = std::shared_ptr<std::vector<CallAnswer>>;

// Guards against an answer that is sent before its turn is durable, and against lost or changed replays.
TEST(Calls, AnswerIsRecordedAndReplayed)
{
    Cluster cluster(3);
    const ProgramId program = cluster.create(0);
    ASSERT_FALSE(program.isEmpty());
    const Answers answers = cluster.submit(0, Cluster::call(program, "r1"));
    ASSERT_EQ(cluster.node(0).dispatches_.size(), 1U);
    cluster.log_.faults().down_ = true;
    cluster.node(0).finish(DispatchStatus::Answered, "hello");
    cluster.run(3);
    EXPECT_TRUE(answers->empty());
    cluster.log_.faults().down_ = false;
    cluster.run(5);
    ASSERT_EQ(answers->size(), 1U);
    EXPECT_EQ(answers->front().body_, "hello");
    EXPECT_FALSE(answers->front().replayed_);
    const Answers again = cluster.submit(0, Cluster::call(program, "r1"));
    ASSERT_EQ(again->size(), 1U);
    EXPECT_EQ(again->front().body_, "hello");
    EXPECT_TRUE(again->front().replayed_);
    EXPECT_EQ(cluster.node(0).dispatches_.size(), 1U);
    EXPECT_EQ(cluster.at(0).history(program), cluster.at(2).history(program));
    EXPECT_NE(cluster.at(2).history(program).find("hello"), std::string::npos);
}
