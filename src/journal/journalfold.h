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

/** \brief How the fold handled an entry. */
enum class JournalVerdict : std::uint8_t {
    Accepted,
    Duplicate, ///< A record with the same id was read before.
    Fenced, ///< Its writer isn't the owner at this offset.
    Refused, ///< Not valid in this state: wrong sequence number, program ended, or program created before.
    UnknownProgram, ///< Stored until a checkpoint of the program arrives.
    Deferred, ///< Stored until the checkpoint of the idle program has been read.
    Retained, ///< Has a newer schema; stored without being applied.
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

/** \brief Result of applying one entry. */
struct JournalFoldResult
{
    JournalVerdict verdict_ = JournalVerdict::Malformed;
    Record record_;
    Offset offset_ = 0; ///< Offset of the entry.
    ProgramId root_; ///< Root of the program tree that the entry concerns; empty if unknown.
    NodeId formerOwner_; ///< For an accepted claim: the owner before it.
    ProgramId existingProgram_; ///< For a refused create: the program of the same account and request id.
    std::string error_;
};

/** \brief Crash attribution of a content hash whose requests crashed endpoints. */
struct SuspectState
{
    bool isPoison_ = false; ///< Quarantined.
    Time time_{0}; ///< Log time of the last attributed crash.
};

/** \brief Settings of the fold; they must be equal on all readers, because the folded state depends on them. */
struct FoldSettings
{
    Duration endedRetention_ = std::chrono::minutes(10); ///< How long answers of ended programs stay available.
    Duration quarantineRetention_ = std::chrono::hours(24);
    bool checkFencing_ = true; ///< Turned off only to verify that the invariant checkers detect the fault.
    bool checkDuplicates_ = true; ///< Turned off only to verify that the invariant checkers detect the fault.
};

/**
 * \brief Deterministic state machine that every reader runs to derive program states from journal entries.
 *
 * Entries are applied in offset order; the state depends only on the entries and their log times.
 */
class JournalFold
{
public:
    explicit JournalFold(FoldSettings settings = {});

    /** \brief Applies the next entry. An entry at or below offset() is ignored as a duplicate. */
    JournalFoldResult apply(const LogEntry &entry);
    /** \brief Offset of the last applied entry, 0 for none. */
    Offset offset() const
    {
        return offset_;
    }
    /** \brief Latest log time of the applied entries. */
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
    /** \brief Crash attribution of a content hash; null if no crash is attributed to it. */
    const SuspectState *suspect(const std::string &contentHash) const;
    /** \brief The latest entries with a newer schema, in offset order; their number is bounded. */
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
    /** \brief Offsets of the checkpoints that the deferred records wait for. \sa restore() */
    std::vector<Offset> requiredCheckpoints() const;
    /**
     * \brief Restores an idle program from its checkpoint entry and applies the records that were deferred.
     * \return results of these records in offset order; empty if the entry isn't the checkpoint of an idle program.
     */
    std::vector<JournalFoldResult> restore(const LogEntry &checkpoint);

private:
    /** \brief A record with its offset and log time. */
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
    Offset start_ = 0; ///< First offset that was applied; claims before it are unknown to this reader.
    Time time_{0};
    std::uint64_t malformed_ = 0;
    internal::TreeTable trees_;
    internal::IdlePrograms idle_;
    internal::RecordIdSet recordIds_;
    std::deque<std::pair<Time, ProgramId>> ended_; ///< Ended trees with the log time of their end, oldest first.
    std::map<std::string, SuspectState> suspects_;
    std::deque<LogEntry> retained_;
    std::map<ProgramId, std::vector<LoggedRecord>> orphans_; ///< Of programs older than the first entry, by root.
    std::map<ProgramId, std::vector<LoggedRecord>> deferred_; ///< Of idle programs, until restore(), by root.
};

/** \brief History of a program as text; depends on the journal only, so that it is byte-identical on every node. */
std::string historyText(const ChainState &chain);

} // namespace filbertgw

#endif
