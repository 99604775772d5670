#include "fakes/fakelog.h"
#include "journal/journalwriter.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

using namespace filbertgw;
using filbertgw::bench::FakeLog;
using filbertgw::bench::VirtualLoop;

namespace {

/** \brief A writer and a fake log with faults that the test sets. */
class WriterTest : public testing::Test
{
protected:
    WriterTest()
        : log_(loop_, 3)
    {
        makeWriter({});
    }

    void makeWriter(const JournalWriterSettings &settings)
    {
        LogAccess access = log_.access([](std::function<void()> run) { run(); });
        const LogAccess inner = access;
        access.append_ =
            [this, inner](const std::string &stream, std::vector<nlohmann::json> entries, LogAccess::AppendDone done) {
                batchSizes_.push_back(entries.size());
                inner.append_(stream, std::move(entries), std::move(done));
            };
        writer_ =
            std::make_unique<JournalWriter>(settings, JournalWriterHooks{[this]() { return loop_.now(); }, access});
    }

    void write(int count, const std::string &text = "")
    {
        for (int i = 0; i < count; ++i) {
            Record record;
            record.id_ = RecordId("w#" + std::to_string(++written_));
            record.type_ = RecordType::Release;
            record.program_ = ProgramId("p");
            record.node_ = NodeId("n" + text);
            record.body_ = ReleaseBody{};
            writer_->append(record, [this](Offset offset) { durable_.push_back(offset); });
        }
    }

    void run(int milliseconds)
    {
        for (int i = 0; i < milliseconds; i += 50) {
            loop_.runUntil(loop_.now() + std::chrono::milliseconds(50));
            writer_->tick();
        }
    }

    std::vector<std::string> ids() const
    {
        std::vector<std::string> result;
        for (const LogEntry &entry : log_.entries("journal")) {
            result.push_back(entry.body_.at("id").get<std::string>());
        }
        return result;
    }

    VirtualLoop loop_;
    FakeLog log_;
    std::unique_ptr<JournalWriter> writer_;
    std::vector<std::size_t> batchSizes_;
    std::vector<Offset> durable_;
    int written_ = 0;
};

} // namespace

// Guards against a second append in flight, and against records that wait although the writer is idle.
TEST_F(WriterTest, BatchesRecordsThatArriveDuringAnAppend)
{
    write(3);
    run(100);
    write(1);
    run(100);
    EXPECT_EQ(batchSizes_, (std::vector<std::size_t>{1, 2, 1}));
    EXPECT_EQ(durable_, (std::vector<Offset>{1, 2, 3, 4}));
    EXPECT_EQ(writer_->backlogBytes(), 0U);
}

// Guards against appending a record again after its first append took effect but the response was lost.
TEST_F(WriterTest, LostAnswerIsReadBack)
{
    log_.faults().lostAnswers_ = 1;
    write(1);
    run(1'500);
    write(2);
    run(3'000);
    EXPECT_EQ(ids(), (std::vector<std::string>{"w#1", "w#2", "w#3"}));
    EXPECT_EQ(durable_.size(), 3U);
    EXPECT_TRUE(writer_->isUp());
}

// Guards against losing a record whose append never reached the log.
TEST_F(WriterTest, LostRequestIsAppendedAgainInOrder)
{
    log_.faults().lostRequests_ = 1;
    write(2);
    run(500);
    EXPECT_TRUE(durable_.empty());
    log_.faults().lostRequests_ = 0;
    write(1);
    run(5'000);
    EXPECT_EQ(ids(), (std::vector<std::string>{"w#1", "w#2", "w#3"}));
    EXPECT_EQ(durable_, (std::vector<Offset>{1, 2, 3}));
}

// Guards against reordering by an append that takes effect after its retry: ids may then repeat in the log, but
// the first occurrences of the records stay in order.
TEST_F(WriterTest, LateEffectOnlyRepeatsIds)
{
    log_.faults().lateEffects_ = 1;
    write(1);
    run(900);
    log_.faults().lateEffects_ = 0;
    run(8'000);
    write(1);
    run(1'000);
    const std::vector<std::string> all = ids();
    EXPECT_EQ(std::set<std::string>(all.begin(), all.end()), (std::set<std::string>{"w#1", "w#2"}));
    EXPECT_EQ(durable_.size(), 2U);
    EXPECT_EQ(all.back(), "w#2");
}

// Guards against losing records during an outage, and against a writer that doesn't resume after it.
TEST_F(WriterTest, OutageKeepsTheBacklog)
{
    log_.faults().down_ = true;
    write(5);
    run(10'000);
    EXPECT_FALSE(writer_->isUp());
    EXPECT_EQ(writer_->backlogRecords(), 5U);
    log_.faults().down_ = false;
    run(5'000);
    EXPECT_EQ(ids(), (std::vector<std::string>{"w#1", "w#2", "w#3", "w#4", "w#5"}));
    EXPECT_TRUE(writer_->isUp());
}

// Guards against a backlog that grows without bound during an outage.
TEST_F(WriterTest, BacklogIsBoundedInBytes)
{
    JournalWriterSettings settings;
    settings.maxBacklogBytes_ = 4'000;
    makeWriter(settings);
    log_.faults().down_ = true;
    EXPECT_TRUE(writer_->hasRoom(4'000));
    write(10, std::string(300, 'x'));
    EXPECT_GT(writer_->backlogBytes(), 3'000U);
    EXPECT_FALSE(writer_->hasRoom(1'000));
    log_.faults().down_ = false;
    run(5'000);
    EXPECT_TRUE(writer_->hasRoom(4'000));
}

// Guards against appends that grow with the backlog: records and bytes of a batch are bounded.
TEST_F(WriterTest, BatchIsBounded)
{
    JournalWriterSettings settings;
    settings.maxBatchRecords_ = 4;
    settings.maxBatchBytes_ = 1'000;
    makeWriter(settings);
    write(9);
    write(3, std::string(600, 'x'));
    run(500);
    for (const std::size_t size : batchSizes_) {
        EXPECT_LE(size, 4U);
    }
    EXPECT_EQ(batchSizes_.back(), 1U) << "a record that exceeds the byte limit is appended alone";
    EXPECT_EQ(durable_.size(), 12U);
}

// Guards against callbacks into a destroyed writer.
TEST_F(WriterTest, DestroyedWriterGetsNoAnswer)
{
    write(2);
    writer_.reset();
    loop_.runUntil(loop_.now() + std::chrono::seconds(20));
    EXPECT_TRUE(durable_.empty());
}
