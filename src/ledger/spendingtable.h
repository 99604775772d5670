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

/** \brief Record of a writer's spending on a program in the store. */
struct SpendingRecord
{
    std::uint64_t tokens_ = 0; ///< Used, or reserved for running turns or as allowance.
    std::uint64_t batch_ = 0; ///< Number of the writer's batch that contains the record.
    std::uint64_t allowance_ = 0; ///< Tokens reserved for later turns; at least 1 if the writer ever had any.
    bool recordedByPeer_ = false; ///< Written by another node, from grants that the writer received without the store.

    std::string encode() const;
    static std::optional<SpendingRecord> decode(const std::string &value);
};

/** \brief What one node has spent on a program, as exchanged between nodes. */
struct WriterSpending
{
    std::string writer_;
    std::uint64_t tokens_ = 0; ///< Used, or reserved for turns that run or wait for a decision.
    std::uint64_t recorded_ = 0; ///< Part of tokens_ that is recorded in the store.
    std::uint64_t batch_ = 0; ///< The writer's last batch; records of later batches include this spending.
    std::uint64_t version_ = 0; ///< Increases with each report of the writer.
    std::uint64_t allowance_ = 0; ///< Tokens that the writer may grant, as of its last record.
};

/** \brief A program and what one node has spent on it. */
struct ProgramSpending
{
    std::string program_;
    WriterSpending spending_;
};

/**
 * \brief Tokens spent on all programs by writer: recorded in the store, granted without it, and this node's own.
 */
class SpendingTable
{
public:
    SpendingTable(std::string ownWriter, Clock now);

    std::uint64_t total(const std::string &program) const;
    std::uint64_t totalOfOthers(const std::string &program) const;
    std::uint64_t own(const std::string &program) const;
    /** \brief Writer name of the outage reserve: tokens that count as spent because an outage may have granted them. */
    static constexpr const char *outageReserveWriter = "outage-reserve";
    /** \brief Outage reserve of a program; 0 if it has none. */
    std::uint64_t outageReserve(const std::string &program) const;
    /** \brief Sets the outage reserve, which is to be recorded with the next record of the program. */
    void setOutageReserve(const std::string &program, std::uint64_t tokens);
    /** \brief The record of an outage reserve that has not been read yet. */
    std::optional<SpendingRecord> unrecordedReserve(const std::string &program) const;
    /** \brief True if all spending on a program is in the store, as far as known. */
    bool isRecorded(const std::string &program) const;
    /** \brief Spending of each writer, this node's as a new version. */
    std::vector<WriterSpending> byWriter(const std::string &program);
    /** \brief What this node has spent, as a new version. */
    WriterSpending nextOwnSpending(const std::string &program);

    /** \brief Changes what this node has spent and marks the program as dirty, i.e. to be recorded. */
    void addOwn(const std::string &program, std::uint64_t tokens);
    void subtractOwn(const std::string &program, std::uint64_t tokens);
    void markDirty(const std::string &program);
    /** \brief Reserves own tokens for later turns, which can't use them before resolvePendingAllowance(). */
    void addPendingAllowance(const std::string &program, std::uint64_t tokens);
    /** \brief Completes addPendingAllowance(); tokens that were not granted are released. */
    void resolvePendingAllowance(const std::string &program, std::uint64_t tokens, bool granted);
    bool hasPendingAllowance(const std::string &program) const;
    /** \brief Takes the tokens of a turn from the allowance. \return false if it is too small. */
    bool takeAllowance(const std::string &program, std::uint64_t tokens);
    /** \brief Takes the whole allowance. \return its tokens. */
    std::uint64_t takeWholeAllowance(const std::string &program);
    void returnAllowance(const std::string &program, std::uint64_t tokens);
    /**
     * \brief Replaces a reservation by the tokens that the turn has used.
     *
     * The rest goes to the allowance if the program has one and all of this node's spending is in the store.
     */
    void settle(const std::string &program, std::uint64_t reserved, std::uint64_t used);
    /** \brief Releases all allowances. */
    void releaseAllowances();
    /** \brief Other writers whose allowance holds the tokens, largest first. */
    std::vector<std::string> allowanceHolders(const std::string &program, std::uint64_t tokens) const;
    static constexpr std::uint64_t minRecordedAllowance = 1; ///< Recorded in place of 0 once the allowance is used up.
    bool isDirty(const std::string &program) const;
    const std::vector<std::string> &dirty() const;
    /** \brief Returns the records of own spending for an append; their programs are no longer dirty. */
    std::vector<std::pair<std::string, SpendingRecord>> takeDirty(std::size_t limit, std::uint64_t batch);
    /** \brief Sets how much of this node's spending is in the store. */
    void setOwnRecorded(const std::string &program, std::uint64_t tokens);

    /** \brief Applies a record of another writer; without one the writer's spending is removed. */
    void
    applyRecord(const std::string &program, const std::string &writer, const std::optional<SpendingRecord> &record);
    /** \brief Counts spending that is not in the store yet, until a later record of the writer is read. */
    void applyGrant(const std::string &program, const WriterSpending &spending);
    /** \brief Removes tokens that a writer has reported and was not granted. */
    void revokeGrant(const std::string &program, const WriterSpending &spending, std::uint64_t tokens);
    /** \brief Grants that no record of their writers includes yet. */
    std::vector<ProgramSpending> unrecordedGrants() const;

    /** \brief Removes programs that are unused since a time. \return those that this node has recorded. */
    std::vector<std::string> removeIdle(Time oldest);
    std::size_t size() const;

private:
    struct Writer
    {
        WriterSpending spending_;
        bool hasUnrecordedGrant_ = false; ///< Includes a grant that is in no record read so far.
    };
    struct Program
    {
        std::vector<Writer> others_;
        std::uint64_t own_ = 0; ///< Tokens of this node.
        std::uint64_t ownRecorded_ = 0; ///< Part of own_ that is in the store.
        std::uint64_t allowance_ = 0; ///< Part of own_ that no turn has taken.
        std::uint64_t pendingAllowance_ = 0; ///< Part of own_ whose reservation has not been read back yet.
        bool hasAllowance_ = false; ///< An allowance was granted; it may be used up.

        SpendingRecord record(std::uint64_t batch) const;
        Time lastUse_{0};
        bool mayHaveOwnRecord_ = false; ///< The store may have a record of this node.
        bool dirty_ = false;

        std::uint64_t totalOfOthers() const;
    };

    const Writer *findWriter(const std::string &program, const std::string &writer) const;
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
