#ifndef FILBERTGW_LEDGER_SPENDINGTABLE_H
#define FILBERTGW_LEDGER_SPENDINGTABLE_H

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace filbertgw {

/** \brief What a writer has recorded of a program in the store. */
struct SpendingRecord
{
    std::uint64_t tokens_ = 0; ///< Handed out, or reserved for turns that run.
    std::uint64_t batch_ = 0; ///< Number of the append among those of the writer.
    std::uint64_t allowance_ = 0; ///< Tokens that are reserved for turns to come; 1 at least if there ever were any.
    bool recordedByPeer_ = false; ///< Recorded by another node, from what the writer was granted without the store.

    std::string encode() const;
    static std::optional<SpendingRecord> decode(const std::string &value);
};

/** \brief What one node has spent on a program, as nodes tell each other. */
struct WriterSpending
{
    std::string writer_;
    std::uint64_t tokens_ = 0; ///< Handed out, or reserved for turns that run or wait for a decision.
    std::uint64_t recorded_ = 0; ///< Those of them that are in the store.
    std::uint64_t batch_ = 0; ///< The writer's last append before; a record from a later one contains this.
    std::uint64_t version_ = 0; ///< Grows with each statement of the writer.
    std::uint64_t allowance_ = 0; ///< Tokens that the writer may grant, as of its last record.
};

/** \brief A program and what one node has spent on it. */
struct ProgramSpending
{
    std::string program_;
    WriterSpending spending_;
};

/**
 * \brief The tokens of all programs by writer: recorded in the store, granted without it, and this node's own.
 */
class SpendingTable
{
public:
    SpendingTable(std::string ownWriter, Clock now);

    std::uint64_t total(const std::string &program) const;
    std::uint64_t totalOfOthers(const std::string &program) const;
    std::uint64_t own(const std::string &program) const;
    /** \brief Tokens that only nodes know of: they are forgotten should all nodes be lost. */
    std::uint64_t unrecorded(const std::string &program) const;
    std::vector<WriterSpending> byWriter(const std::string &program);
    /** \brief What this node has spent, as a new statement. */
    WriterSpending nextOwnSpending(const std::string &program);

    /** \brief Changes what this node has spent, which then waits to be recorded. */
    void addOwn(const std::string &program, std::uint64_t tokens);
    void subtractOwn(const std::string &program, std::uint64_t tokens);
    void markDirty(const std::string &program);
    /** \brief Reserves own tokens for turns to come, which can't be taken before resolvePendingAllowance(). */
    void addPendingAllowance(const std::string &program, std::uint64_t tokens);
    /** \brief Ends what addPendingAllowance() began; tokens that were not granted are given back. */
    void resolvePendingAllowance(const std::string &program, std::uint64_t tokens, bool granted);
    bool hasPendingAllowance(const std::string &program) const;
    /** \brief Takes the tokens of a turn from the allowance. \return false if it does not hold them. */
    bool takeAllowance(const std::string &program, std::uint64_t tokens);
    /** \brief Takes all of the allowance. \return its tokens. */
    std::uint64_t takeWholeAllowance(const std::string &program);
    void returnAllowance(const std::string &program, std::uint64_t tokens);
    /**
     * \brief Replaces a reservation by what the turn has used.
     *
     * The rest goes to the allowance if the program has one and all of its tokens are in the store.
     */
    void settle(const std::string &program, std::uint64_t reserved, std::uint64_t used);
    /** \brief Gives all allowances back. */
    void releaseAllowances();
    /** \brief Other writers whose allowance holds the tokens, the largest first. */
    std::vector<std::string> allowanceHolders(const std::string &program, std::uint64_t tokens) const;
    static constexpr std::uint64_t minRecordedAllowance = 1; ///< Holds for writers whose allowance may be used up.
    bool isDirty(const std::string &program) const;
    const std::vector<std::string> &dirty() const;
    /** \brief Records of own spending that go into an append; their programs don't wait any more. */
    std::vector<std::pair<std::string, SpendingRecord>> takeDirty(std::size_t limit, std::uint64_t batch);
    /** \brief Takes note that this much of this node's own spending is in the store. */
    void setOwnRecorded(const std::string &program, std::uint64_t tokens);

    /** \brief Takes a record of another writer; without one the writer's is deleted. */
    void
    applyRecord(const std::string &program, const std::string &writer, const std::optional<SpendingRecord> &record);
    /** \brief Takes note of spending that is not in the store yet. It counts until a later record is read. */
    void applyGrant(const std::string &program, const WriterSpending &spending);
    /** \brief Takes tokens back that a writer has claimed and was not granted. */
    void revokeGrant(const std::string &program, const WriterSpending &spending, std::uint64_t tokens);
    /** \brief Grants that no record of their writers contains. */
    std::vector<ProgramSpending> unrecordedGrants() const;

    /** \brief Forgets programs that were not used since a time. \return those that this node has recorded. */
    std::vector<std::string> removeIdle(Time oldest);
    std::size_t size() const;

private:
    struct Writer
    {
        WriterSpending spending_;
        bool hasUnrecordedGrant_ = false; ///< Noted, and no record that contains it was read yet.
    };
    struct Program
    {
        std::vector<Writer> others_;
        std::uint64_t own_ = 0;
        std::uint64_t ownRecorded_ = 0;
        std::uint64_t allowance_ = 0; ///< Part of own_ that no turn has taken.
        std::uint64_t pendingAllowance_ = 0; ///< Part of own_ whose reservation was not read back yet.
        bool hasAllowance_ = false; ///< It was granted one, which may be used up.

        SpendingRecord record(std::uint64_t batch) const;
        Time lastUse_{0};
        bool mayHaveOwnRecord_ = false; ///< The store may hold a record of this node.
        bool dirty_ = false;

        std::uint64_t totalOfOthers() const;
    };

    Writer &findOrAddWriter(const std::string &program, const std::string &writer);
    const Program *find(const std::string &program) const;

    std::string ownWriter_;
    Clock now_;
    std::uint64_t lastBatch_ = 0;
    std::uint64_t ownVersion_ = 0;
    std::unordered_map<std::string, Program> programs_;
    std::vector<std::string> dirty_;
};

} // namespace filbertgw

#endif
