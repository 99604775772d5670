#include "ledger/missedgrantdetector.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

using std::chrono::seconds;

/** \brief A MissedGrantDetector and what it is told. */
struct DetectorRig
{
    explicit DetectorRig(bool hasRecords)
        : hasRecords_(hasRecords)
        , detector_(MissedGrantDetectorHooks{[this] { return now_; },
                                             [] { return true; },
                                             [this] { return hasRecords_; },
                                             [this] { return isRecorded_; },
                                             [this] { return alive_; },
                                             [this](Time since) { return lostAt_ >= since ? lost_ : 0; },
                                             [this](Time since) { return lostAt_ >= since ? lost_ : 0; },
                                             [this] { return hasInformedPeer_; }})
    {
    }

    bool mayMissAfter(Duration time)
    {
        for (const Time ends = now_ + time; now_ < ends; now_ += std::chrono::milliseconds(100)) {
            detector_.update();
        }
        return detector_.mayMissGrants();
    }

    void lose(std::size_t nodes)
    {
        lost_ = nodes;
        alive_ -= nodes;
        lostAt_ = now_;
    }

    Time now_{seconds(1000)};
    bool hasRecords_;
    bool isRecorded_ = true;
    std::size_t alive_ = 6;
    std::size_t lost_ = 0;
    Time lostAt_{0};
    bool hasInformedPeer_ = false;
    MissedGrantDetector detector_;
};

} // namespace

// Guards against a new deployment that charges programs for outages that it can't have had.
TEST(MissedGrantDetector, EmptyLedgerHasNoPast)
{
    DetectorRig rig(false);
    EXPECT_FALSE(rig.mayMissAfter(std::chrono::milliseconds(200)));
}

// Guards against nodes that start after the loss of all others and take what they do not know for not granted, and
// against a doubt that outlasts the programs or the word of a node that knows.
TEST(MissedGrantDetector, StartedNodeMayMissGrantsUntilAnInformedPeerOrTheEndOfAllPrograms)
{
    DetectorRig alone(true);
    EXPECT_TRUE(alone.mayMissAfter(seconds(119)));
    EXPECT_FALSE(alone.mayMissAfter(seconds(2)));
    DetectorRig vouchedFor(true);
    vouchedFor.hasInformedPeer_ = true;
    EXPECT_TRUE(vouchedFor.mayMissAfter(seconds(2)));
    EXPECT_FALSE(vouchedFor.mayMissAfter(seconds(2)));
}

// Guards against two sides of a partition that both spend the reserve of a program.
TEST(MissedGrantDetector, OneSideOfAPartitionSpendsReserves)
{
    for (std::size_t nodes = 1; nodes <= 12; ++nodes) {
        for (std::size_t other = 0; other <= nodes / 2; ++other) {
            DetectorRig larger(false);
            DetectorRig smaller(false);
            larger.alive_ = smaller.alive_ = nodes - 1;
            larger.lose(other);
            smaller.lose(std::min(nodes - other, nodes - 1));
            larger.mayMissAfter(seconds(20));
            smaller.mayMissAfter(seconds(20));
            const bool both = larger.detector_.maySpendReserves() && smaller.detector_.maySpendReserves();
            EXPECT_TRUE(!both || other == 0) << nodes << " nodes, " << other;
        }
    }
}

/** \brief Nodes that are lost in an outage. */
struct LossCase
{
    const char *name_;
    std::size_t lost_;
    bool inOutage_;
    bool mayMiss_;
};

class MissedGrantsAfterLoss : public testing::TestWithParam<LossCase>
{
};

// Guards against survivors that rely on copies of which all may be lost, and against doubts without an outage.
TEST_P(MissedGrantsAfterLoss, CountsCopies)
{
    DetectorRig rig(false);
    rig.mayMissAfter(seconds(1));
    rig.isRecorded_ = !GetParam().inOutage_;
    rig.mayMissAfter(seconds(3));
    rig.lose(GetParam().lost_);
    EXPECT_EQ(rig.mayMissAfter(seconds(1)), GetParam().mayMiss_);
    rig.isRecorded_ = true;
    EXPECT_EQ(rig.mayMissAfter(seconds(60)), GetParam().mayMiss_);
    EXPECT_FALSE(rig.mayMissAfter(seconds(70)));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         MissedGrantsAfterLoss,
                         testing::Values(LossCase{"TwoInAnOutage", 2, true, false},
                                         LossCase{"ThreeInAnOutage", 3, true, true},
                                         LossCase{"ThreeInCalm", 3, false, false}),
                         [](const testing::TestParamInfo<LossCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
