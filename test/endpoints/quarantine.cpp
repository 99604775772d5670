#include "endpoints/quarantine.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

/** \brief A quarantine with its clock. */
struct QuarantineRig
{
    QuarantineRig()
    {
        QuarantineHooks hooks;
        hooks.now_ = [this] { return now_; };
        hooks.random_ = [] { return std::uint64_t{0}; };
        hooks.onQuarantined_ = [](const std::string &) {};
        hooks.isTrialNode_ = [](const std::string &) { return true; };
        hooks.onExcused_ = [this](const std::vector<CrashRecord> &records) {
            excused_.insert(excused_.end(), records.begin(), records.end());
        };
        quarantine_ = std::make_unique<Quarantine>(std::move(hooks), QuarantineSettings());
    }

    void crash(const std::string &request, int endpoints)
    {
        for (int i = 0; i < endpoints; ++i) {
            quarantine_->add(CrashRecord{request, "e" + std::to_string(i), false});
        }
    }

    Time now_{1'000'000};
    std::vector<CrashRecord> excused_;
    std::unique_ptr<Quarantine> quarantine_;
};

} // namespace

// Guards against a flood of different requests that uses up memory, or drives out those that are quarantined.
TEST(Quarantine, StaysBoundedInAFloodOfRequests)
{
    QuarantineRig rig;
    rig.crash("poison", 3);
    for (int i = 0; i < 20'000; ++i) {
        rig.now_ += Duration{1'000};
        rig.crash("other" + std::to_string(i), 1);
        ASSERT_LE(rig.quarantine_->requests(), QuarantineSettings().maxRequests_);
    }
    EXPECT_TRUE(rig.quarantine_->isQuarantined("poison"));
    EXPECT_LE(rig.quarantine_->takeAnnouncements().size(), QuarantineSettings().maxAnnounced_);
}

// Guards against a request that is refused for ever, and against records that nobody deletes.
TEST(Quarantine, EndsAfterItsLifetime)
{
    QuarantineRig rig;
    rig.crash("poison", 3);
    rig.now_ += QuarantineSettings().lifetime_;
    EXPECT_EQ(rig.quarantine_->expire().size(), 3U);
    EXPECT_FALSE(rig.quarantine_->isQuarantined("poison"));
    EXPECT_TRUE(rig.quarantine_->isEmpty());
}

// Guards against one crash that counts several times because several nodes report it.
TEST(Quarantine, CountsEachEndpointOnce)
{
    QuarantineRig rig;
    for (int i = 0; i < 5; ++i) {
        rig.crash("request", 2);
    }
    EXPECT_EQ(rig.quarantine_->crashes("request"), 2U);
    EXPECT_FALSE(rig.quarantine_->isQuarantined("request"));
}

// Guards against crashes that count at other nodes although an endpoint has answered the request at this one.
TEST(Quarantine, AnswerExcusesEarlierCrashesAtAllNodes)
{
    QuarantineRig rig;
    QuarantineRig other;
    rig.crash("request", 1);
    rig.quarantine_->requestAnswered("request");
    EXPECT_TRUE(rig.excused_.empty()) << "a single crash is no reason to tell others";
    rig.crash("request", 3);
    other.crash("request", 3);
    EXPECT_FALSE(rig.quarantine_->isQuarantined("request"));
    EXPECT_TRUE(other.quarantine_->isQuarantined("request"));
    for (const CrashRecord &record : rig.excused_) {
        other.quarantine_->add(record);
    }
    EXPECT_FALSE(other.quarantine_->isQuarantined("request"));
}

// Guards against records that are lost with the node that found them before it could store them.
TEST(Quarantine, RecordsOfOthersAreStoredIfTheyStayMissing)
{
    QuarantineRig rig;
    rig.crash("request", 2);
    rig.quarantine_->addStored(CrashRecord{"request", "e0", false});
    EXPECT_TRUE(rig.quarantine_->takeUnstored().empty());
    rig.now_ += QuarantineSettings().repairDelay_;
    const std::vector<CrashRecord> missing = rig.quarantine_->takeUnstored();
    ASSERT_EQ(missing.size(), 1U);
    EXPECT_EQ(missing[0].endpoint_, "e1");
}

// Guards against a request that ends one endpoint after the other because it is tried again and again.
TEST(Quarantine, TriesAQuarantinedRequestOnce)
{
    QuarantineRig rig;
    rig.crash("request", 3);
    EXPECT_FALSE(rig.quarantine_->tryAgain("request"));
    rig.now_ += QuarantineSettings().trialDelay_;
    EXPECT_TRUE(rig.quarantine_->tryAgain("request"));
    rig.now_ += QuarantineSettings().lifetime_ / 2;
    EXPECT_FALSE(rig.quarantine_->tryAgain("request"));
}

} // namespace filbertgw::test
