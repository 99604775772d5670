#include "store/streamtail.h"

#include "core/numbers.h"

#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"

#include <gtest/gtest.h>

#include <map>

namespace filbertgw::test {

using namespace std::chrono_literals;

namespace {

/** Longest time until an acknowledged configuration is in force (`apply_ms` of the large deployments). */
constexpr Duration maxApplyTime = 3s;
/** Longest time until nodes serve after all of them have restarted (`recover_s` of the large deployments). */
constexpr Duration maxRecoveryTime = 15s;

/** \brief A StreamTail over the fake store that keeps the reported records. */
class TailRig
{
public:
    explicit TailRig(bool adaptsHedgeDelay = false)
        : store_(queue_)
    {
        StreamTailHooks hooks;
        hooks.now_ = [this] { return queue_.now(); };
        hooks.after_ = [this](Duration delay, std::function<void()> task) {
            queue_.after(delay, std::move(task));
            return std::uint64_t{0};
        };
        hooks.store_ = store_.access("n");
        hooks.store_.read_ = [this, read = hooks.store_.read_](const StoreRead &request,
                                                               std::function<void(const StorePage &)> done) {
            read(request, [this, done](const StorePage &page) { deliver([done, page] { done(page); }); });
        };
        hooks.onRecord_ = [this](const KeyedRecord &record) { onRecord(record); };
        hooks.onReachable_ = [this](bool reachable) { reachability_.push_back(reachable); };
        StreamTailSettings settings;
        settings.partition_ = partition_;
        settings.adaptsHedgeDelay_ = adaptsHedgeDelay;
        tail_ = std::make_unique<StreamTail>(std::move(hooks), std::move(settings));
    }

    void run(Duration time)
    {
        queue_.runUntil(queue_.now() + time);
    }

    /** \brief Answers to reads wait from now on, as in the socket of a suspended process, until they are released. */
    void holdAnswers()
    {
        holdsAnswers_ = true;
    }

    void releaseAnswers()
    {
        holdsAnswers_ = false;
        for (const std::function<void()> &answer : std::exchange(heldAnswers_, {})) {
            answer();
        }
    }

    /** \brief Adds reads that use all bandwidth of the store, so that each response is delayed by the given time. */
    void delayAnswers(Duration delay)
    {
        store_.limits_.readBytesPerSecond_ = static_cast<double>(otherReadBytes) * (Duration(1s) / otherReadPeriod);
        store_.put(otherReads_, "bulk", std::string((otherReadBytes - otherReadOverhead) / 4 * 3, 'x'));
        for (Duration queued{0}; queued < delay; queued += otherReadPeriod) {
            addLoad();
        }
        keepAddingLoad();
    }

    /** \return the time until a record that is appended now has been reported. */
    Duration timeToReport(const std::string &value)
    {
        const Time put = queue_.now();
        store_.put(partition_, "k", value);
        while (records_["k"] != value && queue_.now() - put < maxReportTime) {
            run(10ms);
        }
        return queue_.now() - put;
    }

    /** \brief Bytes that the store has sent to the tail. */
    std::uint64_t bytesRead() const
    {
        return store_.bytesRead() - otherReadBytes * otherReadCount_;
    }

    static constexpr Duration maxReportTime = 10s;

    const PartitionId partition_{"s", 0};
    bench::EventQueue queue_;
    bench::FakeStore store_;
    std::map<std::string, std::string> records_;
    std::vector<bool> reachability_;
    std::uint64_t lastOffset_ = 0;
    std::unique_ptr<StreamTail> tail_;
    std::uint64_t otherReadCount_ = 0;
    const PartitionId otherReads_{"bulk", 0};
    const RecordStore others_ = store_.access("other");

private:
    static constexpr std::size_t otherReadBytes = 800'000;
    static constexpr std::size_t otherReadOverhead = 44; ///< Field names and key, in bytes.
    static constexpr Duration otherReadPeriod = 10ms;

    void deliver(const std::function<void()> &answer)
    {
        if (holdsAnswers_) {
            heldAnswers_.push_back(answer);
        } else {
            answer();
        }
    }

    void addLoad()
    {
        ++otherReadCount_;
        others_.newest_({otherReads_, {}}, [](const StorePage &) {});
    }

    void keepAddingLoad()
    {
        addLoad();
        queue_.after(otherReadPeriod, [this] { keepAddingLoad(); });
    }

    bool holdsAnswers_ = false;
    std::vector<std::function<void()>> heldAnswers_;

    void onRecord(const KeyedRecord &record)
    {
        EXPECT_GE(record.offset_, lastOffset_) << "offsets of records go back";
        if (tail_->isComplete()) {
            lastOffset_ = record.offset_;
        }
        if (record.value_) {
            records_[record.key_] = *record.value_;
        } else {
            records_.erase(record.key_);
        }
    }
};

} // namespace

// Guards against keys that are missed when the newest records come in several pages.
TEST(StreamTail, ReadsTheNewestRecordsThenWhatFollows)
{
    TailRig rig;
    for (int i = 0; i < 10; ++i) {
        rig.store_.put(rig.partition_, "k" + std::to_string(i), "a");
    }
    rig.tail_->start();
    rig.run(std::chrono::seconds(1));
    EXPECT_EQ(rig.records_.size(), 10U);
    rig.store_.put(rig.partition_, "k3", "b");
    rig.store_.put(rig.partition_, "k4", std::nullopt);
    rig.run(std::chrono::seconds(1));
    EXPECT_EQ(rig.records_.at("k3"), "b");
    EXPECT_EQ(rig.records_.count("k4"), 0U);
}

// Guards against keys that are never deleted because the record that deletes them was trimmed.
TEST(StreamTail, KeyDeletedInForgottenHistoryVanishes)
{
    TailRig rig;
    rig.store_.put(rig.partition_, "kept", "a");
    rig.store_.put(rig.partition_, "gone", "a");
    rig.tail_->start();
    rig.run(std::chrono::seconds(1));
    rig.store_.refuses_["n"] = true;
    rig.run(std::chrono::seconds(2));
    rig.store_.put(rig.partition_, "gone", std::nullopt);
    rig.store_.put(rig.partition_, "new", "b");
    rig.store_.trim();
    rig.store_.refuses_["n"] = false;
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(rig.records_, (std::map<std::string, std::string>{{"kept", "a"}, {"new", "b"}}));
    EXPECT_EQ(rig.reachability_, (std::vector<bool>{true, false, true}));
}

// Guards against keys that vanish, and state that counts as current, because of newest records from before the last
// read.
TEST(StreamTail, OlderSnapshotDeletesNothingAndIsNotCurrent)
{
    TailRig rig;
    rig.store_.put(rig.partition_, "kept", "a");
    rig.tail_->start();
    rig.run(std::chrono::seconds(1));
    rig.store_.freezeNewest(true);
    rig.store_.put(rig.partition_, "new", "b");
    rig.run(std::chrono::seconds(1));
    ASSERT_EQ(rig.records_.count("new"), 1U);
    rig.store_.refuses_["n"] = true;
    rig.run(std::chrono::seconds(1));
    rig.store_.put(rig.partition_, "kept", "c");
    rig.store_.put(rig.partition_, "kept", "d");
    rig.store_.trim();
    rig.store_.refuses_["n"] = false;
    const Time regained = rig.queue_.now();
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(rig.records_["new"], "b");
    EXPECT_LT(rig.tail_->currentAsOf(), regained);
    rig.store_.freezeNewest(false);
    rig.run(std::chrono::seconds(2));
    EXPECT_EQ(rig.records_, (std::map<std::string, std::string>{{"kept", "d"}, {"new", "b"}}));
    EXPECT_GT(rig.tail_->currentAsOf(), regained);
}

// Guards against state that counts as current while the store can't be read.
TEST(StreamTail, CurrentOnlyAsOfTheLastRead)
{
    TailRig rig;
    rig.tail_->start();
    rig.run(std::chrono::seconds(5));
    // A read is current as of its start, and the next one may be held for its whole wait.
    const Duration oldest = 2 * StreamTailSettings().wait_ + Duration(std::chrono::milliseconds(100));
    EXPECT_GE(rig.tail_->currentAsOf(), rig.queue_.now() - oldest);
    rig.store_.down_ = true;
    rig.run(std::chrono::seconds(5));
    EXPECT_LE(rig.tail_->currentAsOf(), rig.queue_.now() - Duration(std::chrono::seconds(3)));
}

// Guards against a start under load that reads the first pages again whenever a later one fails.
TEST(StreamTail, FailedPageIsReadAgainAlone)
{
    std::vector<std::uint64_t> bytes;
    for (const bool fails : {false, true}) {
        TailRig rig;
        for (int i = 10; i < 40; ++i) {
            rig.store_.put(rig.partition_, "k" + std::to_string(i), "a");
        }
        rig.tail_->start();
        while (rig.records_.size() < 15) {
            rig.run(1ms);
        }
        rig.store_.refuses_["n"] = fails;
        rig.run(300ms);
        rig.store_.refuses_["n"] = false;
        rig.run(1s);
        EXPECT_EQ(rig.records_.size(), 30U);
        bytes.push_back(rig.bytesRead());
    }
    EXPECT_EQ(bytes[0], bytes[1]);
}

/** \brief Time that each response waits until the store has sent those before it. */
struct AnswerDelay
{
    const char *name_;
    Duration delay_;
};

class SlowAnswers : public testing::TestWithParam<AnswerDelay>
{
};

// Guards against a tail that receives no records from a store that responds later than the timeout of a call: every
// read was abandoned and sent again, to wait as long as the one before.
TEST_P(SlowAnswers, RecordsAreLearnedInTime)
{
    TailRig rig;
    rig.store_.put(rig.partition_, "k", "first");
    rig.tail_->start();
    rig.run(1s);
    rig.delayAnswers(GetParam().delay_);
    rig.run(5s);
    for (int i = 0; i < 20; ++i) {
        EXPECT_LE(toMilliseconds(rig.timeToReport(std::to_string(i))), toMilliseconds(maxApplyTime)) << "record " << i;
        rig.run(310ms); // Spreads the records over all phases of a read.
    }
}

// Guards against a node that starts while the store is slow and never reads the configuration.
TEST_P(SlowAnswers, NewestRecordsAreRead)
{
    TailRig rig;
    for (int i = 10; i < 20; ++i) {
        rig.store_.put(rig.partition_, "k" + std::to_string(i), "a");
    }
    rig.delayAnswers(GetParam().delay_);
    rig.tail_->start();
    rig.run(maxRecoveryTime);
    EXPECT_TRUE(rig.tail_->isComplete());
    EXPECT_EQ(rig.records_.size(), 10U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         SlowAnswers,
                         testing::Values(AnswerDelay{"Short", 300ms},
                                         AnswerDelay{"BeyondOneCall", 1000ms},
                                         AnswerDelay{"BeyondWaitAndCall", 1800ms}),
                         [](const testing::TestParamInfo<AnswerDelay> &info) { return info.param.name_; });

// Guards against an answer that waited while the process was suspended and is taken for the present state.
TEST(StreamTail, RefreshThatEndsAfterASuspensionIsNotCurrent)
{
    TailRig rig;
    rig.store_.put(rig.partition_, "k", "a");
    rig.tail_->start();
    rig.run(1s);
    std::vector<bool> results;
    rig.holdAnswers();
    rig.tail_->refresh([&results](bool isCurrent) { results.push_back(isCurrent); });
    rig.run(100ms);
    rig.store_.put(rig.partition_, "k", "b");
    rig.run(8s);
    rig.releaseAnswers();
    rig.run(1ms);
    EXPECT_EQ(results, std::vector<bool>{false});
}

// Guards against repeated reads of the same records from a store that is slow because it sends too many bytes.
TEST(StreamTail, SlowStoreSendsRecordsOnce)
{
    TailRig rig(true);
    rig.tail_->start();
    rig.run(1s);
    rig.delayAnswers(1800ms);
    rig.run(5s);
    const std::uint64_t before = rig.bytesRead();
    constexpr std::uint64_t records = 200;
    constexpr std::uint64_t recordBytes = 4'000;
    for (std::uint64_t i = 0; i < records; ++i) {
        rig.store_.put(rig.partition_, "k" + std::to_string(i), std::string(recordBytes / 4 * 3, 'x'));
        rig.run(100ms);
    }
    rig.run(5s);
    EXPECT_EQ(rig.records_.size(), records);
    EXPECT_LE(rig.bytesRead() - before, records * recordBytes * 5 / 4);
}

// Guards against a tail that waits long for slow responses and so learns nothing when a response is lost.
TEST(StreamTail, LostAnswerDelaysRecordsLittle)
{
    TailRig rig;
    rig.tail_->start();
    rig.run(5s);
    rig.store_.down_ = true;
    rig.run(StreamTailSettings().wait_ + 300ms); // A read was sent in between, and its response is lost.
    rig.store_.down_ = false;
    EXPECT_LE(toMilliseconds(rig.timeToReport("a")), toMilliseconds(maxApplyTime));
}

} // namespace filbertgw::test
