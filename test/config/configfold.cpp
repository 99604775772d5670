#include "configtestkit.h"

#include <gtest/gtest.h>

using namespace filbertgw;
using namespace filbertgw::configtest;

namespace {

struct FoldCase
{
    const char *name_;
    std::vector<nlohmann::json> records_; ///< Offsets 1, 2, 3, ...
    std::vector<FoldResult> results_;
    Offset inForce_; ///< Offset in force of model m; 0 for none.
};

using V = FoldResult;

const std::vector<FoldCase> foldCases{
    {"FirstVersion", {modelRecord("m", "a", 0, 10)}, {V::Accepted}, 1},
    {"NextVersion", {modelRecord("m", "a", 0, 10), modelRecord("m", "b", 1, 20)}, {V::Accepted, V::Accepted}, 2},
    {"RaceEarlierWins",
     {modelRecord("m", "a", 0, 10), modelRecord("m", "b", 1, 20), modelRecord("m", "c", 1, 30)},
     {V::Accepted, V::Accepted, V::Superseded},
     2},
    {"RaceOfFirstVersions",
     {modelRecord("m", "a", 0, 10), modelRecord("m", "b", 0, 20)},
     {V::Accepted, V::Superseded},
     1},
    {"ReplacesTheLoser",
     {modelRecord("m", "a", 0, 10), modelRecord("m", "b", 0, 20), modelRecord("m", "c", 2, 30)},
     {V::Accepted, V::Superseded, V::Superseded},
     1},
    {"OtherNameIsIndependent",
     {modelRecord("m", "a", 0, 10), modelRecord("n", "b", 0, 20)},
     {V::Accepted, V::Accepted},
     1},
    {"DuplicateId", {modelRecord("m", "a", 0, 10), modelRecord("m", "a", 0, 10)}, {V::Accepted, V::Duplicate}, 1},
    {"DuplicateIdWithOtherContent",
     {modelRecord("m", "a", 0, 10), modelRecord("m", "a", 1, 20)},
     {V::Accepted, V::Duplicate},
     1},
    {"UnknownSchemaTakesNoEffect",
     {modelRecord("m", "a", 0, 10), with(modelRecord("m", "b", 1, 20), "schema", 3), modelRecord("m", "c", 1, 30)},
     {V::Accepted, V::UnknownSchema, V::Accepted},
     3},
    {"UnknownKindTakesNoEffect",
     {with(modelRecord("m", "a", 0, 10), "kind", "planet"), modelRecord("m", "b", 0, 20)},
     {V::UnknownKind, V::Accepted},
     2},
    {"InvalidTakesNoEffect",
     {with(modelRecord("m", "a", 0, 10), "body", 7), nlohmann::json("text"), modelRecord("m", "b", 0, 20)},
     {V::Invalid, V::Invalid, V::Accepted},
     3},
    {"CopyAfterNewerVersion",
     {modelRecord("m", "a", 0, 10), modelRecord("m", "b", 1, 20), with(modelRecord("m", "a", 0, 10), "origin", 1)},
     {V::Accepted, V::Accepted, V::Copy},
     2},
    {"CopyTwice",
     {modelRecord("m", "a", 0, 10),
      with(modelRecord("m", "a", 0, 10), "origin", 1),
      with(modelRecord("m", "a", 0, 10), "origin", 1),
      modelRecord("m", "b", 1, 20)},
     {V::Accepted, V::Copy, V::Copy, V::Accepted},
     4},
    {"ForgedOrigin",
     {modelRecord("m", "a", 0, 10), with(modelRecord("m", "x", 0, 99), "origin", 2)},
     {V::Accepted, V::Invalid},
     1},
    {"RemovedAndCreatedAgain",
     {modelRecord("m", "a", 0, 10),
      with(modelRecord("m", "b", 1, 0), "removed", true),
      modelRecord("m", "c", 0, 30),
      modelRecord("m", "d", 2, 40)},
     {V::Accepted, V::Accepted, V::Superseded, V::Accepted},
     4},
};

} // namespace

class Fold : public testing::TestWithParam<FoldCase>
{
};

// Guards against accepting the wrong record of a key, and against content that differs from the version in inForce_.
TEST_P(Fold, DecidesByOffsetOrder)
{
    ConfigSection section;
    ConfigFold fold(section);
    std::map<Offset, nlohmann::json> bodies;
    for (std::size_t i = 0; i < GetParam().records_.size(); ++i) {
        bodies[i + 1] = GetParam().records_[i];
        EXPECT_EQ(nameOf(fold.fold(LogEntry{i + 1, Time(0), bodies[i + 1]})), nameOf(GetParam().results_[i])) << i;
    }
    const Offset inForce = GetParam().inForce_;
    EXPECT_EQ(section.inForce_[RecordKey("model", "m")], inForce);
    EXPECT_EQ(section.models_.at(ModelId("m")).defaultMaxTokens_, bodies[inForce]["body"]["default_max_tokens"]);
    EXPECT_EQ(section.records_.at(RecordKey("model", "m")), bodies[inForce]);
    EXPECT_EQ(fold.fold(LogEntry{1, Time(0), modelRecord("m", "z", inForce, 1)}), FoldResult::Stale);
    std::size_t notShown = 0;
    for (FoldResult result : GetParam().results_) {
        notShown += result == V::Accepted || result == V::Duplicate || result == V::Copy ? 1 : 0;
    }
    EXPECT_EQ(section.rejected_.size(), GetParam().records_.size() - notShown);
}

INSTANTIATE_TEST_SUITE_P(Streams, Fold, testing::ValuesIn(foldCases), [](const testing::TestParamInfo<FoldCase> &info) {
    return std::string(info.param.name_);
});

// Guards against a field of a later version that is lost when the record is re-appended or sent to a peer.
TEST(Fold, KeepsUnknownFields)
{
    ConfigSection section;
    ConfigFold fold(section);
    const nlohmann::json record = with(modelRecord("m", "a", 0, 10), "later", {{"x", 1}});
    fold.fold(LogEntry{1, Time(0), record});
    EXPECT_EQ(*fold.record({"model", "m"}), record);
    const std::vector<nlohmann::json> copies = fold.dueCopies(Time(10), Duration(5), 10, 10);
    ASSERT_EQ(copies.size(), 1U);
    EXPECT_EQ(copies[0], with(with(record, "origin", 1), "as_of", 1));
}

// Guards against unbounded memory for rejected and retained records and for entries kept for peers.
TEST(Fold, BoundsWhatItKeeps)
{
    ConfigSection section;
    ConfigFold fold(section);
    constexpr Offset count = 6000;
    for (Offset offset = 1; offset <= count; ++offset) {
        nlohmann::json record = modelRecord("m", "id" + std::to_string(offset), 0, 1);
        record["schema"] = 9;
        record["filler"] = std::string(1000, 'x');
        fold.fold(LogEntry{offset, Time(0), record});
    }
    EXPECT_EQ(section.rejected_.size(), maxRejectedRecords);
    EXPECT_EQ(section.rejected_.back().offset_, count);
    const std::size_t kept = fold.entriesFrom(count - 100, count, 1).size();
    EXPECT_EQ(kept, 101U);
    EXPECT_EQ(fold.entriesFrom(1, count, 1).size(), 1U) << "a snapshot without versions";
    EXPECT_LE(fold.dueCopies(Time(10), Duration(1), 10, count).size(), maxRetainedRecords);
}

// Guards against a call that is retried because endpoints or schemas disagree on whether it is idempotent.
TEST(Fold, OperationIsIdempotentOnlyIfEveryEndpointSaysSo)
{
    const auto endpoint = [](const std::string &name, int schema, const nlohmann::json &body) {
        nlohmann::json fullBody = body;
        fullBody["kind"] = "tool";
        fullBody["address"] = "10.0.0.1:80";
        fullBody["domain"] = "d";
        return nlohmann::json{{"kind", "endpoint"},
                              {"name", name},
                              {"schema", schema},
                              {"id", name},
                              {"replaces", 0},
                              {"body", fullBody}};
    };
    ConfigSection section;
    ConfigFold fold(section);
    const nlohmann::json lists{{"operations", {"look", "pay", "ship"}}, {"non_idempotent", {"pay"}}};
    const nlohmann::json table{{"operations",
                                {{"look", {{"idempotent", true}, {"price_micros", 5}}},
                                 {"pay", {{"idempotent", true}}},
                                 {"ship", {{"idempotent", false}}}}}};
    EXPECT_EQ(fold.fold(LogEntry{1, Time(0), endpoint("e1", 1, lists)}), FoldResult::Accepted);
    EXPECT_EQ(fold.fold(LogEntry{2, Time(0), endpoint("e2", 2, table)}), FoldResult::Accepted);
    EXPECT_TRUE(section.operations_.at("look").idempotent_);
    EXPECT_EQ(section.operations_.at("look").priceMicros_, 5);
    EXPECT_FALSE(section.operations_.at("pay").idempotent_);
    EXPECT_FALSE(section.operations_.at("ship").idempotent_);
    const nlohmann::json drain{
        {"kind", "drain"}, {"name", "e2"}, {"schema", 1}, {"id", "d"}, {"replaces", 0}, {"body", {{"draining", true}}}};
    fold.fold(LogEntry{3, Time(0), drain});
    EXPECT_TRUE(section.endpoints_.at(EndpointId("e2")).leaving_);
    EXPECT_FALSE(section.endpoints_.at(EndpointId("e1")).leaving_);
    EXPECT_EQ(dumpConfig(section)["draining"], nlohmann::json::array({"e2"}));
}

class LostHistory : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against a node that starts from copies or from a peer's snapshot and diverges from one that read the whole
// stream. Copies are appended late, so that some versions have been replaced by then, and ids are reused.
TEST_P(LostHistory, EveryStartReachesTheSameState)
{
    std::mt19937_64 random(GetParam());
    constexpr std::int64_t retention = 1000; // In steps of 10 s, so that half of it exceeds idWindow.
    const auto timeOf = [](std::int64_t step) { return Time(std::chrono::seconds(10 * step)); };
    ConfigSection wholeSection;
    ConfigFold fold(wholeSection);
    ConfigSection laggingSection;
    ConfigFold laggingFold(laggingSection);
    ConfigSection snapshotSection;
    ConfigFold snapshotFold(snapshotSection);
    std::vector<LogEntry> stream;
    std::vector<nlohmann::json> lateCopies;
    for (std::int64_t now = 1; now <= 4000; now += static_cast<std::int64_t>(1 + random() % 20)) {
        nlohmann::json record;
        const std::string name = "m" + std::to_string(random() % 5);
        const auto current = wholeSection.inForce_.find({"model", name});
        const Offset inForce = current == wholeSection.inForce_.end() ? 0 : current->second;
        if (lateCopies.empty()) {
            lateCopies = fold.dueCopies(timeOf(now), timeOf(retention / 2), 100, 100);
        }
        if (!lateCopies.empty() && random() % 2 == 0) {
            record = lateCopies.front();
            lateCopies.erase(lateCopies.begin());
        } else {
            // The first record of a name has a unique id; see idWindow.
            const std::string id = "id" + (inForce == 0 ? name + std::to_string(now) : std::to_string(random() % 300));
            const Offset replaces = random() % 3 == 0 ? random() % (stream.size() + 1) : inForce;
            record = modelRecord(name, id, replaces, static_cast<int>(1 + random() % 1000));
            record["schema"] = random() % 10 == 0 ? 3 : 1;
            record["body"]["default_max_tokens"] = random() % 10 == 0 ? 0 : static_cast<int>(1 + random() % 1000);
        }
        stream.push_back(LogEntry{stream.size() + 1, timeOf(now), record});
        fold.fold(stream.back());
        if (random() % 30 == 0) {
            std::vector<PackedEntry> versions;
            const std::vector<LogEntry> parts = fold.entriesFrom(snapshotContinuation, stream.size() + 1, 1);
            for (const LogEntry &entry : parts) {
                if (entry.body_.contains("record")) {
                    versions.push_back(packEntry(LogEntry{entry.offset_, entry.time_, entry.body_["record"]}));
                }
            }
            snapshotFold.applySnapshot(versions, wholeSection.offset_, parts.back().body_["ids"]);
            ASSERT_EQ(viewOf(snapshotSection), viewOf(wholeSection)) << "from a peer, at offset " << stream.size();
        } else if (snapshotSection.offset_ + 1 == stream.size()) {
            snapshotFold.fold(stream.back());
            ASSERT_EQ(viewOf(snapshotSection), viewOf(wholeSection)) << "after a snapshot, at offset " << stream.size();
        }
        if (random() % 3 == 0) {
            continue;
        }
        Offset first = 1;
        while (stream[first - 1].time_ < timeOf(now - retention)) {
            ++first;
        }
        std::vector<PackedEntry> kept;
        for (Offset offset = first; offset <= stream.size(); ++offset) {
            kept.push_back(packEntry(stream[offset - 1]));
        }
        ConfigSection lateSection;
        ConfigFold lateFold(lateSection);
        lateFold.foldAfterGap(kept);
        ASSERT_EQ(viewOf(lateSection), viewOf(wholeSection))
            << "at offset " << stream.size() << ", first kept " << first;
        if (random() % 20 == 0) {
            laggingFold.foldAfterGap(kept);
            ASSERT_EQ(viewOf(laggingSection), viewOf(wholeSection)) << "after a gap, at offset " << stream.size();
        }
    }
    EXPECT_GT(wholeSection.inForce_.size(), 3U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostHistory, testing::Range<std::uint64_t>(1, 9));
