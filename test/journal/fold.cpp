#include "journal/journalfold.h"
#include "journal/programid.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace filbertgw;

namespace {

const ProgramId root("p0010000000000000001");

/** \brief Builds entries as nodes would write them, with consecutive offsets. */
class Journal
{
public:
    explicit Journal(Offset first = 1)
        : next_(first)
    {
    }

    JournalFoldResult add(JournalFold &fold, Record record)
    {
        const LogEntry entry{next_++, time_, toJson(record)};
        entries_.push_back(entry);
        return fold.apply(entry);
    }
    JournalFoldResult add(JournalFold &fold,
                          RecordType type,
                          const std::string &node,
                          Offset fencing,
                          RecordBody body,
                          std::string id = "")
    {
        Record record;
        record.id_ = RecordId(id.empty() ? node + "#" + std::to_string(++numbers_[node]) : id);
        record.type_ = type;
        record.program_ = root;
        record.root_ = root;
        record.node_ = NodeId(node);
        record.fencing_ = fencing;
        record.body_ = std::move(body);
        return add(fold, std::move(record));
    }
    JournalFoldResult create(JournalFold &fold, const std::string &node, Spend budget = {1000, 100, 100})
    {
        CreateBody body;
        body.requestId_ = RequestId("create");
        body.account_ = AccountId("office");
        body.budget_ = budget;
        body.maxTurns_ = 200;
        body.reserved_ = {100, 2, 10};
        return add(fold, RecordType::Create, node, 0, body);
    }
    JournalFoldResult claim(JournalFold &fold, const std::string &node, Offset supersedes)
    {
        return add(fold, RecordType::Claim, node, 0, ClaimBody{supersedes, {100, 2, 10}});
    }
    JournalFoldResult
    turn(JournalFold &fold, const std::string &node, Offset fencing, std::uint64_t sequence, const std::string &answer)
    {
        TurnBody body;
        body.sequence_ = sequence;
        body.requestId_ = RequestId("r" + std::to_string(sequence));
        body.input_ = "in";
        body.answer_ = answer;
        body.usage_ = {30, 1, 1};
        body.reserved_ = {100, 2, 10};
        return add(fold, RecordType::Turn, node, fencing, body);
    }
    JournalFoldResult intent(JournalFold &fold, const std::string &node, Offset fencing, const std::string &request)
    {
        IntentBody body;
        body.requestId_ = RequestId(request);
        body.input_ = "pay";
        body.reserved_ = {100, 2, 10};
        return add(fold, RecordType::Intent, node, fencing, body);
    }

    Offset next_;
    Time time_{std::chrono::hours(1)};
    std::map<std::string, int> numbers_;
    std::vector<LogEntry> entries_;
};

} // namespace

// Guards against two owners at once: of two claims the later one wins, and only records of its node are applied.
TEST(Fold, LaterOfTwoClaimsWins)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    EXPECT_EQ(journal.claim(fold, "b", 1).verdict_, JournalVerdict::Accepted);
    EXPECT_EQ(journal.claim(fold, "c", 1).verdict_, JournalVerdict::Accepted);
    EXPECT_EQ(fold.tree(root)->owner_, NodeId("c"));
    EXPECT_EQ(journal.turn(fold, "b", 2, 0, "b's").verdict_, JournalVerdict::Fenced);
    EXPECT_EQ(journal.turn(fold, "c", 3, 0, "c's").verdict_, JournalVerdict::Accepted);
    EXPECT_EQ(historyText(*fold.chain(root)), "in\nc's\n");
}

struct FormerOwnerCase
{
    const char *name_;
    RecordType type_;
    RecordBody body_;
};

class FormerOwner : public testing::TestWithParam<FormerOwnerCase>
{
};

// Guards against a paused former owner that changes the program after another node's claim.
TEST_P(FormerOwner, RecordIsIgnored)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    journal.claim(fold, "b", 1);
    const nlohmann::json before = toJson(*fold.tree(root));
    EXPECT_EQ(journal.add(fold, GetParam().type_, "a", 1, GetParam().body_).verdict_, JournalVerdict::Fenced);
    EXPECT_EQ(toJson(*fold.tree(root)), before);
}

INSTANTIATE_TEST_SUITE_P(Types,
                         FormerOwner,
                         testing::Values(FormerOwnerCase{"Turn", RecordType::Turn, TurnBody{}},
                                         FormerOwnerCase{"Outcome", RecordType::Outcome, TurnBody{}},
                                         FormerOwnerCase{"Intent", RecordType::Intent, IntentBody{}},
                                         FormerOwnerCase{"Reserve", RecordType::Reserve, ReserveBody{}},
                                         FormerOwnerCase{"Release", RecordType::Release, ReleaseBody{}},
                                         FormerOwnerCase{"End", RecordType::End, EndBody{}},
                                         FormerOwnerCase{"Checkpoint", RecordType::Checkpoint, CheckpointBody{}}),
                         [](const testing::TestParamInfo<FormerOwnerCase> &info) {
                             return std::string(info.param.name_);
                         });

// Guards against applying a batch twice that was appended twice after a lost response.
TEST(Fold, RepeatedBatchCountsOnce)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    journal.turn(fold, "a", 1, 0, "one");
    journal.turn(fold, "a", 1, 1, "two");
    const Spend spent = fold.tree(root)->spent_;
    for (const LogEntry &entry : std::vector<LogEntry>(journal.entries_)) {
        EXPECT_EQ(fold.apply({journal.next_++, journal.time_, entry.body_}).verdict_, JournalVerdict::Duplicate);
    }
    EXPECT_EQ(fold.tree(root)->spent_, spent);
    EXPECT_EQ(fold.chain(root)->turns_.size(), 2U);
}

// Guards against a duplicate of a claim that takes the program back from a later claimant.
TEST(Fold, RepeatedClaimDoesNotTakeBack)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    journal.claim(fold, "b", 1);
    const nlohmann::json late = journal.entries_.back().body_;
    journal.claim(fold, "c", 2);
    EXPECT_EQ(fold.apply({journal.next_++, journal.time_, late}).verdict_, JournalVerdict::Duplicate);
    EXPECT_EQ(fold.tree(root)->owner_, NodeId("c"));
}

// Guards against a gap or a repetition in a chain's turns.
TEST(Fold, OnlyTheNextSequenceNumberCounts)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    EXPECT_EQ(journal.turn(fold, "a", 1, 1, "early").verdict_, JournalVerdict::Refused);
    EXPECT_EQ(journal.turn(fold, "a", 1, 0, "first").verdict_, JournalVerdict::Accepted);
    EXPECT_EQ(journal.turn(fold, "a", 1, 0, "again").verdict_, JournalVerdict::Refused);
    EXPECT_EQ(historyText(*fold.chain(root)), "in\nfirst\n");
}

// Guards against a second run of a non-idempotent call: a takeover closes its intent permanently.
TEST(Fold, ClaimTurnsOpenIntentIntoUnknownOutcome)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    EXPECT_EQ(journal.intent(fold, "a", 1, "pay-1").verdict_, JournalVerdict::Accepted);
    EXPECT_EQ(journal.intent(fold, "a", 1, "pay-2").verdict_, JournalVerdict::Refused);
    journal.claim(fold, "b", 1);
    const TurnBody *turn = findTurn(*fold.chain(root), RequestId("pay-1"));
    ASSERT_NE(turn, nullptr);
    EXPECT_EQ(turn->status_, TurnStatus::Unknown);
    EXPECT_EQ(journal.intent(fold, "b", 3 + 1, "pay-1").verdict_, JournalVerdict::Refused);
}

// Guards against a takeover that increases the budget: reservations that aren't settled count as spent.
TEST(Fold, TakeoverCountsReservationsAsSpent)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a", {250, 100, 100});
    journal.turn(fold, "a", 1, 0, "one");
    EXPECT_EQ(fold.tree(root)->spent_.tokens_, 30);
    journal.claim(fold, "b", 1);
    EXPECT_EQ(fold.tree(root)->spent_.tokens_, 130);
    EXPECT_EQ(fold.tree(root)->reserved_.tokens_, 100);
    journal.claim(fold, "c", 3);
    EXPECT_EQ(fold.tree(root)->spent_.tokens_, 230);
    EXPECT_EQ(fold.tree(root)->reserved_.tokens_, 20) << "reservations stay within the budget";
}

// Guards against a planned handover that loses costs outside of turns (bench/promises, scalisi, seed 442).
TEST(Fold, ReleaseCarriesCostsOutsideOfTurns)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    journal.add(fold, RecordType::Release, "a", 1, ReleaseBody{{40, 1, 3}});
    EXPECT_EQ(fold.tree(root)->spent_.tokens_, 40);
    EXPECT_EQ(fold.tree(root)->reserved_, Spend());
    EXPECT_TRUE(fold.tree(root)->owner_.isEmpty());
    EXPECT_EQ(journal.turn(fold, "a", 1, 0, "late").verdict_, JournalVerdict::Fenced);
}

// Guards against a repeated create request that creates a second program.
TEST(Fold, RepeatedCreateNamesTheFirstProgram)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    Record second;
    second.id_ = RecordId("b#1");
    second.type_ = RecordType::Create;
    second.program_ = ProgramId("p0010000000000000002");
    second.root_ = second.program_;
    second.node_ = NodeId("b");
    CreateBody body;
    body.requestId_ = RequestId("create");
    body.account_ = AccountId("office");
    second.body_ = body;
    const JournalFoldResult result = journal.add(fold, second);
    EXPECT_EQ(result.verdict_, JournalVerdict::Refused);
    EXPECT_EQ(result.existingProgram_, root);
}

// Guards against dropping a record with a newer schema, or applying it as one with a known schema.
TEST(Fold, NewerSchemaIsRetainedAndChangesNothing)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    nlohmann::json newer = journal.entries_.front().body_;
    newer["schema"] = recordSchema + 1;
    newer["id"] = "z#1";
    const nlohmann::json before = toJson(*fold.tree(root));
    EXPECT_EQ(fold.apply({journal.next_++, journal.time_, newer}).verdict_, JournalVerdict::Retained);
    EXPECT_EQ(fold.apply({journal.next_++, journal.time_, {{"id", 5}}}).verdict_, JournalVerdict::Malformed);
    ASSERT_EQ(fold.retained().size(), 1U);
    EXPECT_EQ(fold.retained().front().body_, newer);
    EXPECT_EQ(toJson(*fold.tree(root)), before);
}

// Guards against losing history when the entries before a checkpoint expire.
TEST(Fold, CheckpointReplacesExpiredEntries)
{
    JournalFold firstReader;
    Journal journal;
    journal.create(firstReader, "a");
    journal.turn(firstReader, "a", 1, 0, "one");
    journal.intent(firstReader, "a", 1, "pay");
    CheckpointBody body;
    body.coveredOffset_ = firstReader.offset();
    body.state_ = toJson(*firstReader.tree(root));
    // The checkpoint doesn't cover the records that follow, so a new reader applies them to its state.
    EXPECT_EQ(journal.add(firstReader, RecordType::Checkpoint, "a", 1, body).verdict_, JournalVerdict::Accepted);
    TurnBody paid;
    paid.sequence_ = 1;
    paid.requestId_ = RequestId("pay");
    paid.answer_ = "paid";
    journal.add(firstReader, RecordType::Outcome, "a", 1, paid);
    journal.claim(firstReader, "b", 1);
    journal.turn(firstReader, "b", 6, 2, "three");
    JournalFold lateReader;
    for (std::size_t i = 2; i < journal.entries_.size(); ++i) {
        lateReader.apply(journal.entries_[i]);
    }
    ASSERT_NE(lateReader.tree(root), nullptr);
    EXPECT_EQ(toJson(*lateReader.tree(root)), toJson(*firstReader.tree(root)));
    EXPECT_EQ(historyText(*lateReader.chain(root)), "in\none\n\npaid\nin\nthree\n");
}

// Guards against a new reader that accepts a former owner's checkpoint as the current state.
TEST(Fold, FormerOwnersCheckpointIsNotLoaded)
{
    JournalFold firstReader;
    Journal journal;
    journal.create(firstReader, "a");
    CheckpointBody stale;
    stale.coveredOffset_ = 1;
    stale.state_ = toJson(*firstReader.tree(root));
    journal.claim(firstReader, "b", 1);
    journal.turn(firstReader, "b", 2, 0, "one");
    journal.add(firstReader, RecordType::Checkpoint, "a", 1, stale);
    CheckpointBody good;
    good.coveredOffset_ = firstReader.offset();
    good.state_ = toJson(*firstReader.tree(root));
    journal.add(firstReader, RecordType::Checkpoint, "b", 2, good);
    for (const std::size_t first : {1U, 2U, 3U}) {
        JournalFold lateReader;
        for (std::size_t i = first; i < journal.entries_.size(); ++i) {
            lateReader.apply(journal.entries_[i]);
        }
        ASSERT_NE(lateReader.tree(root), nullptr) << first;
        EXPECT_EQ(lateReader.tree(root)->owner_, NodeId("b")) << first;
        EXPECT_EQ(historyText(*lateReader.chain(root)), "in\none\n") << first;
    }
}

// Guards against an idle program that takes more than 64 bytes, or whose restored state differs.
TEST(Fold, IdleProgramIsStoredByOffsetAndRestored)
{
    EXPECT_LE(sizeof(IdleProgram), 64U);
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    journal.turn(fold, "a", 1, 0, "one");
    CheckpointBody body;
    body.coveredOffset_ = fold.offset();
    body.idle_ = true;
    TreeState state = *fold.tree(root);
    state.reserved_ = Spend();
    body.state_ = toJson(state);
    journal.add(fold, RecordType::Checkpoint, "a", 1, body);
    const LogEntry checkpoint = journal.entries_.back();
    EXPECT_EQ(fold.tree(root), nullptr);
    ASSERT_NE(fold.idle(root), nullptr);
    EXPECT_EQ(journal.turn(fold, "z", 9, 1, "stale").verdict_, JournalVerdict::Fenced);
    EXPECT_EQ(journal.claim(fold, "b", 1).verdict_, JournalVerdict::Accepted);
    EXPECT_EQ(journal.turn(fold, "b", 5, 1, "two").verdict_, JournalVerdict::Deferred);
    ASSERT_EQ(fold.requiredCheckpoints(), std::vector<Offset>{3});
    const std::vector<JournalFoldResult> results = fold.restore(checkpoint);
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results.front().verdict_, JournalVerdict::Accepted);
    EXPECT_EQ(fold.tree(root)->owner_, NodeId("b"));
    EXPECT_EQ(historyText(*fold.chain(root)), "in\none\nin\ntwo\n");
    EXPECT_EQ(fold.idle(root), nullptr);
}

// Guards against ended programs that are never freed, and against a stale checkpoint that restores one.
TEST(Fold, EndedProgramIsErasedAfterItsRetention)
{
    JournalFold fold;
    Journal journal;
    journal.create(fold, "a");
    CheckpointBody stale;
    stale.coveredOffset_ = 1;
    stale.state_ = toJson(*fold.tree(root));
    journal.add(fold, RecordType::End, "a", 1, EndBody{});
    EXPECT_TRUE(fold.tree(root)->isEnded());
    EXPECT_EQ(journal.claim(fold, "b", 1).verdict_, JournalVerdict::Refused);
    journal.time_ += FoldSettings().endedRetention_ + std::chrono::seconds(1);
    journal.add(fold, RecordType::Checkpoint, "a", 1, stale);
    EXPECT_EQ(fold.tree(root), nullptr);
    EXPECT_TRUE(fold.createdBy(AccountId("office"), RequestId("create")).isEmpty());
}

// Guards against program ids that change when they are split and joined.
TEST(ProgramIds, SplitAndJoin)
{
    const std::optional<ProgramIdParts> parts = splitProgramId(ProgramId("pabc00ff00000000beef"));
    ASSERT_TRUE(parts.has_value());
    EXPECT_EQ(joinProgramId(*parts), ProgramId("pabc00ff00000000beef"));
    for (const char *other :
         {"", "x", "pabc", "pABC00ff00000000beef", "qabc00ff00000000beef", "pabc00ff00000000beef0"}) {
        EXPECT_FALSE(splitProgramId(ProgramId(other)).has_value()) << other;
    }
}
