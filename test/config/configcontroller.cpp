#include "config/publication.h"
#include "configtestkit.h"

#include <gtest/gtest.h>

#include <set>

using namespace filbertgw;
using namespace filbertgw::configtest;

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> threeNodes{"a", "b", "c"};

/** \brief An operator that publishes records one at a time and waits for the outcome of each. */
class Operator
{
public:
    Operator(VirtualTime &time, MemoryLog &log, const std::string &name, int records)
        : time_(time)
        , log_(log.access())
        , name_(name)
        , left_(records)
        , random_(std::hash<std::string>{}(name))
    {
        read();
    }

    std::map<FoldResult, int> results_;
    int appends_ = 0;

private:
    void read()
    {
        log_.read_(configStream, publication_.nextOffset(), Duration(0), [this](bool reached, const LogPage &page) {
            if (reached) {
                publication_.onPage(page);
            }
            time_.after(milliseconds(1 + random_() % 20), [this] { publication_.isAtEnd() ? act() : read(); });
        });
    }

    void act()
    {
        if (!record_.is_null()) {
            const std::optional<PublicationOutcome> outcome = publication_.outcome(RecordId(record_["id"]));
            if (!outcome) {
                append();
                return;
            }
            ++results_[outcome->result_];
            record_ = nullptr;
            --left_;
        }
        if (left_ == 0) {
            return;
        }
        nlohmann::json draft = modelRecord("m" + std::to_string(random_() % 5), "", 0, 1 + random_() % 1000);
        draft.erase("id");
        draft.erase("replaces");
        const PreparedRecord prepared = publication_.prepare(draft, RecordId(name_ + std::to_string(left_)));
        ASSERT_TRUE(prepared.errors_.empty()) << prepared.errors_[0].detail_;
        record_ = prepared.record_;
        time_.after(milliseconds(random_() % 50), [this] { append(); });
    }

    void append()
    {
        ++appends_;
        log_.append_(configStream, {record_}, [this](const AppendResult &) { read(); });
    }

    VirtualTime &time_;
    LogAccess log_;
    std::string name_;
    int left_;
    std::mt19937_64 random_;
    Publication publication_;
    nlohmann::json record_;
};

} // namespace

class Race : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against nodes whose configurations diverge, and against a publication that is lost, or applied twice after a
// lost append response. One node restarts meanwhile.
TEST_P(Race, TwoHundredPublicationsEndTheSameEverywhere)
{
    VirtualTime time;
    MemoryLog log(time, GetParam());
    log.lostResponseRate_ = 0.2;
    ConfigFleet fleet(time, log);
    for (const std::string &name : threeNodes) {
        fleet.start(name);
    }
    std::vector<std::unique_ptr<Operator>> operators;
    for (int i = 0; i < 4; ++i) {
        const std::string name = "operator" + std::to_string(GetParam()) + "-" + std::to_string(i) + "-";
        operators.push_back(std::make_unique<Operator>(time, log, name, 50));
    }
    time.runUntil(seconds(3));
    fleet.stop("b");
    time.runUntil(seconds(4));
    fleet.start("b");
    time.runUntil(seconds(60));
    std::map<FoldResult, int> results;
    int appends = 0;
    for (const std::unique_ptr<Operator> &one : operators) {
        appends += one->appends_;
        for (const auto &entry : one->results_) {
            results[entry.first] += entry.second;
        }
    }
    EXPECT_EQ(results[FoldResult::Accepted] + results[FoldResult::Superseded], 200);
    EXPECT_GT(results[FoldResult::Superseded], 0) << "no race happened";
    EXPECT_EQ(static_cast<std::size_t>(appends), log.entries_.size());
    for (const std::string &name : threeNodes) {
        EXPECT_EQ(viewOf(fleet.section(name)), viewOf(fleet.section("a")));
        EXPECT_EQ(fleet.section(name).offset_, log.entries_.size());
        EXPECT_TRUE(fleet.controller(name).isReady());
    }
    EXPECT_EQ(fleet.reverts(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Race, testing::Range<std::uint64_t>(1, 6));

struct DelayCase
{
    const char *name_;
    Duration responseDelay_;
    Duration bound_;
};

class InForce : public testing::TestWithParam<DelayCase>
{
};

// Guards against a record that reaches the nodes later than documented: 1 s, or 3 s if the log responds 1 s late.
TEST_P(InForce, EverywhereWithinTheBound)
{
    VirtualTime time;
    MemoryLog log(time, 1);
    ConfigFleet fleet(time, log);
    for (const std::string &name : threeNodes) {
        fleet.start(name);
    }
    time.runUntil(seconds(5));
    log.responseDelay_ = GetParam().responseDelay_;
    Offset last = 0;
    for (int i = 0; i < 100; ++i) {
        time.runUntil(time.now() + milliseconds(4000 + i * 37));
        const Time published = time.now();
        last = log.put(modelRecord("m", "id" + std::to_string(i), last, i + 1));
        time.runUntil(published + GetParam().bound_);
        for (const std::string &name : threeNodes) {
            EXPECT_EQ(fleet.section(name).inForce_.at({"model", "m"}), last) << name << " record " << i;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Logs,
                         InForce,
                         testing::Values(DelayCase{"Available", Duration(0), seconds(1)},
                                         DelayCase{"SlowAnswers", seconds(1), seconds(3)}),
                         [](const testing::TestParamInfo<DelayCase> &info) { return std::string(info.param.name_); });

// Guards against a node that starts during a log outage and is ready without a configuration or never gets one, and
// against one that lags or reverts because it applied a snapshot.
TEST(Outage, NodesCatchUpFromPeersAndThenFromTheLog)
{
    VirtualTime time;
    MemoryLog log(time, 3);
    for (int i = 0; i < 40; ++i) {
        const std::string name = "m" + std::to_string(i);
        const Offset first = log.put(modelRecord(name, "first" + name, 0, 1));
        log.put(modelRecord(name, "loser" + name, 0, 2));
        log.put(modelRecord(name, "second" + name, first, 3));
    }
    ConfigFleet fleet(time, log);
    fleet.start("a");
    time.runUntil(seconds(2));
    log.down_ = true;
    ConfigFleet isolated(time, log);
    isolated.start("c");
    fleet.start("b");
    time.runUntil(seconds(10));
    EXPECT_FALSE(isolated.controller("c").isReady()) << "has neither log nor peers";
    EXPECT_TRUE(fleet.controller("b").isReady());
    EXPECT_EQ(viewOf(fleet.section("b")), viewOf(fleet.section("a")));
    EXPECT_EQ(fleet.section("b").inForce_.size(), 40U);
    EXPECT_EQ(fleet.section("b").offset_, fleet.section("a").offset_);
    log.down_ = false;
    const Offset base = fleet.section("a").inForce_.at({"model", "m7"});
    const Offset next = log.put(modelRecord("m7", "next", base, 9));
    time.runUntil(seconds(13));
    EXPECT_EQ(fleet.section("a").inForce_.at({"model", "m7"}), next);
    EXPECT_EQ(viewOf(fleet.section("b")), viewOf(fleet.section("a")));
    EXPECT_EQ(fleet.reverts(), 0U);
}

// Guards against parts of a snapshot that are folded like stream entries when the peer no longer has the old entries.
TEST(Outage, SnapshotComesInParts)
{
    ConfigSection section;
    ConfigFold fold(section);
    constexpr Offset count = 3000;
    for (Offset offset = 1; offset <= count; ++offset) {
        nlohmann::json record = modelRecord("m" + std::to_string(offset), "id" + std::to_string(offset), 0, 1);
        record["filler"] = std::string(1000, 'x');
        fold.fold(LogEntry{offset, Time(0), record});
    }
    VirtualTime time;
    Blackboard board;
    ConfigHooks hooks;
    std::mt19937_64 random(1);
    std::vector<Offset> requested;
    hooks.now_ = [&time] { return time.now(); };
    hooks.random_ = [&random] { return random(); };
    hooks.log_.read_ = [](const std::string &, Offset, Duration, const LogAccess::ReadDone &done) { done(false, {}); };
    hooks.fetchFromPeer_ = [&requested](const NodeId &, Offset from) { requested.push_back(from); };
    const std::unique_ptr<ConfigController> controller = ConfigController::Builder(board, hooks).build();
    controller->start();
    controller->onPeerOffset(NodeId("p"), count);
    time.runUntil(seconds(1));
    controller->tick();
    while (!requested.empty() && !controller->isReady()) {
        const Offset from = requested.back();
        requested.clear();
        controller->onPeerEntries(fold.entriesFrom(from, 500, 77));
        EXPECT_EQ(board.read<ConfigSection>().inForce_.empty(), !controller->isReady()) << "a part took effect";
    }
    EXPECT_TRUE(controller->isReady());
    EXPECT_EQ(viewOf(board.read<ConfigSection>()), viewOf(section));
    controller->onPeerEntries({LogEntry{count + 5, Time(0), modelRecord("gap", "gap", 0, 1)}});
    EXPECT_EQ(board.read<ConfigSection>().offset_, count) << "took an entry beyond a gap";
    controller->onPeerEntries({LogEntry{1, Time(0), {{snapshotField, "text"}}}});
    EXPECT_EQ(viewOf(board.read<ConfigSection>()), viewOf(section));
}

// Guards against records that are lost when their entries expire, and against nodes that start afterwards without them.
TEST(Retention, RecordsOutliveTheLog)
{
    VirtualTime time;
    MemoryLog log(time, 5);
    constexpr hours retention(10);
    ConfigFleet fleet(time, log, retention);
    const Offset first = log.put(modelRecord("m", "a", 0, 1));
    log.put(modelRecord("n", "b", 0, 2));
    log.put(modelRecord("m", "c", first, 3));
    for (const std::string &name : threeNodes) {
        fleet.start(name);
    }
    for (int hour = 1; hour <= 35; ++hour) {
        time.runUntil(hours(hour));
        Offset oldest = log.first_;
        while (oldest <= log.entries_.size() && log.entries_[oldest - 1].time_ + retention < time.now()) {
            ++oldest;
        }
        log.expireBefore(oldest);
    }
    EXPECT_GT(log.first_, 3U);
    // Two records over six half retention times; allows for two surplus copies.
    EXPECT_LE(log.entries_.size(), 3U + 2U * 6U + 2U);
    fleet.start("late");
    time.runUntil(hours(35) + seconds(10));
    EXPECT_EQ(viewOf(fleet.section("late")), viewOf(fleet.section("a")));
    EXPECT_EQ(fleet.section("late").models_.at(ModelId("m")).defaultMaxTokens_, 3);
    EXPECT_EQ(fleet.reverts(), 0U);
}

// Guards against `publish --wait` ending before every node has folded the record.
TEST(PublicationProgress, CountsNodesThatHaveFoldedTheRecord)
{
    PublicationProgress progress(10);
    EXPECT_FALSE(progress.isDone());
    progress.onNodeState("a", {{"config", {{"offset", 10U}}}});
    progress.onNodeState("b", {{"config", {{"offset", 9U}}}});
    progress.onNodeState("c", nlohmann::json("no object"));
    progress.onNodeUnreachable("d");
    EXPECT_EQ(progress.inForce(), 1U);
    EXPECT_EQ(progress.nodes(), 4U);
    EXPECT_EQ(progress.behind().at("b"), 9U);
    for (const char *node : {"b", "c", "d"}) {
        progress.onNodeState(node, {{"config", {{"offset", 12U}}}});
    }
    EXPECT_TRUE(progress.isDone());
}
