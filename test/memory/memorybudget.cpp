#include "memory/memorybudget.h"
#include "memory/progressdeadline.h"

#include <gtest/gtest.h>

namespace filbertgw {

namespace {

constexpr std::size_t kilobyte = 1024;

/** \brief A budget of 1,000 KB in virtual time, with claims that record their eviction. */
class MemoryBudgetTest : public ::testing::Test
{
protected:
    struct Holder
    {
        std::unique_ptr<MemoryClaim> claim_;
        std::vector<MemoryUse> evictions_;
    };

    Holder &hold(MemoryUse use, std::size_t bytes, const void *group = nullptr)
    {
        holders_.push_back(std::make_unique<Holder>());
        Holder &holder = *holders_.back();
        holder.claim_ = std::make_unique<MemoryClaim>(
            budget_, group, [&holder](MemoryUse evicted) { holder.evictions_.push_back(evicted); });
        holder.claim_->update(use, bytes, 0);
        return holder;
    }

    Time now_{0};
    std::vector<MemoryRefusal> refusals_;
    std::shared_ptr<MemoryBudget> budget_ = std::make_shared<MemoryBudget>(
        MemoryBudgetSettings{1000 * kilobyte},
        [this] { return now_; },
        [this](MemoryRefusal cause, MemoryUse, std::size_t) { refusals_.push_back(cause); });
    std::vector<std::unique_ptr<Holder>> holders_;
};

// Guards against the wrong victim: of equal size, the one that is held longest without progress has to go.
TEST_F(MemoryBudgetTest, EvictsTheStalledBeforeTheProgressing)
{
    Holder &progressing = hold(MemoryUse::Receiving, 200 * kilobyte);
    Holder &stalled = hold(MemoryUse::Receiving, 200 * kilobyte);
    for (int second = 0; second < 10; ++second) {
        now_ += std::chrono::seconds(1);
        progressing.claim_->update(MemoryUse::Receiving, 200 * kilobyte, 100 * kilobyte);
    }
    Holder &newcomer = hold(MemoryUse::Receiving, 200 * kilobyte);
    EXPECT_EQ(stalled.evictions_, std::vector<MemoryUse>{MemoryUse::Receiving});
    EXPECT_TRUE(progressing.evictions_.empty());
    EXPECT_TRUE(newcomer.evictions_.empty());
    EXPECT_EQ(refusals_, std::vector<MemoryRefusal>{MemoryRefusal::BudgetUsedUp});
}

// Guards against small requests that are refused in place of the large ones that fill the budget.
TEST_F(MemoryBudgetTest, SmallRequestsOutlastACrowdOfLargeOnes)
{
    Holder &ordinary = hold(MemoryUse::Receiving, kilobyte);
    for (int i = 0; i < 250; ++i) {
        now_ += std::chrono::milliseconds(10);
        hold(MemoryUse::Receiving, 200 * kilobyte);
        EXPECT_LE(budget_->heldBytes(MemoryUse::Receiving), 500 * kilobyte);
    }
    EXPECT_TRUE(ordinary.evictions_.empty());
}

// Guards against a request that runs and is closed for the memory of others; nothing may be said about it then.
TEST_F(MemoryBudgetTest, RequestsThatRunAreNeverEvicted)
{
    Holder &running = hold(MemoryUse::Running, 500 * kilobyte);
    now_ += std::chrono::minutes(1);
    Holder &unread = hold(MemoryUse::Sending, 400 * kilobyte);
    now_ += std::chrono::seconds(1);
    hold(MemoryUse::Sending, 200 * kilobyte);
    EXPECT_TRUE(running.evictions_.empty());
    EXPECT_EQ(unread.evictions_, std::vector<MemoryUse>{MemoryUse::Sending});
    EXPECT_LE(budget_->heldBytes(), 1000 * kilobyte);
}

// Guards against large requests that leave no memory to run small ones.
TEST_F(MemoryBudgetTest, APartIsReservedForSmallRequests)
{
    EXPECT_TRUE(hold(MemoryUse::Idle, 0).claim_->mayRun(900 * kilobyte)) << "alone, it is served";
    Holder &large = hold(MemoryUse::Running, 450 * kilobyte);
    EXPECT_FALSE(large.claim_->mayRun(100 * kilobyte));
    EXPECT_TRUE(large.claim_->mayRun(20 * kilobyte));
    EXPECT_EQ(refusals_, std::vector<MemoryRefusal>{MemoryRefusal::RunningUsedUp});
}

// Guards against a newcomer that takes the place of a connection at another port.
TEST_F(MemoryBudgetTest, EvictsOneOfTheGroup)
{
    int doors[2];
    Holder &other = hold(MemoryUse::Idle, 100 * kilobyte, &doors[0]);
    Holder &same = hold(MemoryUse::Idle, 10 * kilobyte, &doors[1]);
    EXPECT_TRUE(budget_->evictOne(&doors[1]));
    EXPECT_TRUE(other.evictions_.empty());
    EXPECT_EQ(same.evictions_.size(), 1U);
}

// Guards against bytes that stay counted after their connection is gone, and against a budget that shrinks to nothing.
TEST_F(MemoryBudgetTest, GivesBackAndAdapts)
{
    Holder &unread = hold(MemoryUse::Sending, 400 * kilobyte);
    budget_->setAvailable(0);
    EXPECT_EQ(budget_->availableBytes(), 250 * kilobyte);
    EXPECT_EQ(unread.evictions_.size(), 1U);
    unread.claim_->update(MemoryUse::Sending, 100 * kilobyte, 0);
    unread.claim_->release();
    EXPECT_EQ(budget_->heldBytes(), 0U);
    EXPECT_EQ(budget_->claims(), 0U);
}

/** \brief A transfer in pieces, and whether it is cut off within an hour. */
struct TransferCase
{
    const char *name_;
    std::size_t bytes_; ///< Of each piece.
    Duration pause_;
    bool ends_;
};

class ProgressDeadlineTest : public ::testing::TestWithParam<TransferCase>
{
};

} // namespace

// Guards against slow transfers that are cut off, and against stalled ones that a byte now and then keeps open.
TEST_P(ProgressDeadlineTest, JudgesBytesOverTime)
{
    constexpr Duration patience = std::chrono::seconds(15);
    Time now{0};
    ProgressDeadline deadline;
    deadline.start(now, patience, 1024);
    deadline.addBytes(now, 4'000'000); // What was fast before doesn't count.
    bool hasEnded = false;
    while (!hasEnded && now < std::chrono::hours(1)) {
        now += GetParam().pause_;
        hasEnded = deadline.hasPassed(now);
        deadline.addBytes(now, GetParam().bytes_);
    }
    EXPECT_EQ(hasEnded, GetParam().ends_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ProgressDeadlineTest,
                         ::testing::Values(TransferCase{"Slow", 2048, std::chrono::seconds(2), false},
                                           TransferCase{"Bursts", 16 * 1024, std::chrono::seconds(10), false},
                                           TransferCase{"ByteNowAndThen", 1, std::chrono::seconds(10), true},
                                           TransferCase{"Stalled", 0, std::chrono::seconds(1), true},
                                           TransferCase{"BelowTheRate", 512, std::chrono::seconds(1), true}),
                         [](const auto &info) { return std::string(info.param.name_); });

} // namespace filbertgw
