#ifndef FILBERTGW_JOURNAL_JOURNALFOLD_H
#define FILBERTGW_JOURNAL_JOURNALFOLD_H

#include "journal/idleprograms.h"
#include "journal/logtypes.h"
#include "journal/recordidset.h"
#include "journal/treestate.h"
#include "journal/treetable.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/** \brief What the fold did with an entry. */
enum class JournalVerdict : std::uint8_t {
    Accepted,
    Duplicate, ///< Its record id is known.
    Fenced, ///< Its writer isn't the owner at this offset.
    Refused, ///< Not valid in this state: wrong sequence number, program ended, or known already.
    UnknownProgram, ///< Kept until a checkpoint of the program arrives.
    Deferred, ///< Kept until an idle program has been read back.
    Retained, ///< Of a newer schema; kept without being applied.
    Malformed,
};

template<>
struct NameTable<JournalVerdict>
{
    static constexpr std::array<std::pair<JournalVerdict, std::string_view>, 8> entries{{
        {JournalVerdict::Accepted, "accepted"},
        {JournalVerdict::Duplicate, "duplicate"},
        {JournalVerdict::Fenced, "fenced"},
        {JournalVerdict::Refused, "refused"},
        {JournalVerdict::UnknownProgram, "unknown_program"},
        {JournalVerdict::Deferred, "deferred"},
        {JournalVerdict::Retained, "retained"},
        {JournalVerdict::Malformed, "malformed"},
    }};
};

/** \brief Result of folding one entry. */
struct JournalFoldResult
{
    JournalVerdict verdict_ = JournalVerdict::Malformed;
    Record record_;
    Offset offset_ = 0; ///< Of the entry.
    ProgramId root_; ///< Tree that it concerns; empty if unknown.
    NodeId formerOwner_; ///< For an accepted claim.
    ProgramId existing_; ///< For a refused create: the program of the same account and request id.
    std::string error_;
};

/** \brief Content hash that crashed endpoints. */
struct SuspectState
{
    bool isPoison_ = false; ///< Quarantined.
    Time time_{0};
};

/** \brief Lengths of time that all readers must share, because the fold depends on them. */
struct FoldSettings
{
    Duration endedRetention_ = std::chrono::minutes(10); ///< How long answers of ended programs can be asked for.
    Duration quarantineRetention_ = std::chrono::hours(24);
    bool checkFencing_ = true; ///< Off only to show that the checkers notice.
    bool checkDuplicates_ = true; ///< Off only to show that the checkers notice.
};

/**
 * \brief The pure function from journal entries to program states that every reader runs.
 *
 * Entries are applied in offset order; the result depends on the entries and their log times only.
 */
class JournalFold
{
public:
    explicit JournalFold(FoldSettings settings = {});

    /** \brief Folds the next entry. An entry at or below offset() is ignored as a duplicate. */
    JournalFoldResult apply(const LogEntry &entry);
    /** \brief Offset of the last folded entry, 0 for none. */
    Offset offset() const
    {
        return offset_;
    }
    /** \brief Log time of the last folded entry. */
    Time time() const
    {
        return time_;
    }

    /** \brief The tree that a program belongs to; null if it is unknown or idle. */
    const TreeState *treeOf(const ProgramId &program) const;
    const TreeState *tree(const ProgramId &root) const;
    const ChainState *chain(const ProgramId &program) const;
    const std::unordered_map<ProgramId, std::unique_ptr<TreeState>> &trees() const
    {
        return trees_.all();
    }
    /** \brief Program that was created by an account with a request id; empty if none. */
    ProgramId createdBy(const AccountId &account, const RequestId &request) const;
    /** \brief Crashes counted against a content hash; null if there are none. */
    const SuspectState *suspect(const std::string &contentHash) const;
    /** \brief Records of a newer schema, bounded, newest last. */
    const std::deque<LogEntry> &retained() const
    {
        return retained_;
    }
    std::uint64_t malformedCount() const
    {
        return malformed_;
    }

    /** \brief The idle program with this id; null if it isn't idle. */
    const IdleProgram *idle(const ProgramId &program) const;
    const std::vector<IdleProgram> &idlePrograms() const
    {
        return idle_.all();
    }
    NodeId ownerOfIdle(const IdleProgram &idle) const;
    /** \brief Offsets of checkpoints that are to be read back, for records that wait for them. */
    std::vector<Offset> requiredCheckpoints() const;
    /**
     * \brief Takes an idle program back into memory from its checkpoint entry.
     * \return results of the records that waited for it, in offset order.
     */
    std::vector<JournalFoldResult> restore(const LogEntry &checkpoint);

private:
    /** \brief A record with its place in the log. */
    struct LoggedRecord
    {
        Record record_;
        Offset offset_ = 0;
        Time time_{0};
    };

    void retain(const LogEntry &entry);
    void expire();
    JournalFoldResult applyRecord(LoggedRecord logged);
    JournalVerdict dispatch(const LoggedRecord &logged, JournalFoldResult &result);
    JournalVerdict applyToTree(TreeState &tree, const LoggedRecord &logged, JournalFoldResult &result);
    JournalVerdict applyToIdle(IdleProgram &idle, const LoggedRecord &logged, JournalFoldResult &result);
    JournalVerdict applyToUnknown(const LoggedRecord &logged);
    JournalVerdict storeOrphan(const LoggedRecord &logged);
    JournalVerdict insertUnknown(const LoggedRecord &logged);
    void insertFromCheckpoint(TreeState state, const LoggedRecord &checkpoint);
    Offset newestOrphanClaim(const ProgramId &root) const;
    bool isBeforeStart(Offset fencing) const;
    JournalVerdict applyCreate(const LoggedRecord &logged, JournalFoldResult &result);
    JournalVerdict applyOwned(TreeState &tree, const LoggedRecord &logged);
    bool applyToChain(TreeState &tree, ChainState &chain, const LoggedRecord &logged);
    bool applySubAgent(TreeState &tree, const Record &record);
    bool applyTurn(TreeState &tree, ChainState &chain, const Record &record);
    void applyEnd(TreeState &tree, const LoggedRecord &logged);
    JournalVerdict applyCheckpoint(TreeState &tree, const LoggedRecord &logged);
    JournalVerdict applyQuarantine(const QuarantineBody &body, Time time);
    void moveToIdle(const ProgramId &root, const LoggedRecord &checkpoint);
    TreeState restoredTree(TreeState state, const IdleProgram &idle, const LogEntry &checkpoint) const;

    FoldSettings settings_;
    Offset offset_ = 0;
    Offset start_ = 0; ///< First offset that was folded; claims before it were not seen.
    Time time_{0};
    std::uint64_t malformed_ = 0;
    internal::TreeTable trees_;
    internal::IdlePrograms idle_;
    internal::RecordIdSet recordIds_;
    std::deque<std::pair<Time, ProgramId>> ended_; ///< In order of their end.
    std::map<std::string, SuspectState> suspects_;
    std::deque<LogEntry> retained_;
    std::map<ProgramId, std::vector<LoggedRecord>> orphans_; ///< Of programs older than the first entry, by root.
    std::map<ProgramId, std::vector<LoggedRecord>> deferred_; ///< Records that wait for an idle program, by its id.
};

/** \brief History of a program as text; a pure function of the journal, so every node prints the same bytes. */
std::string historyText(const ChainState &chain);

} // namespace filbertgw

#endif
