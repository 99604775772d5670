#ifndef FILBERTGW_LEDGER_PROGRAMLEDGER_H
#define FILBERTGW_LEDGER_PROGRAMLEDGER_H

#include "ledger/spendingtable.h"
#include "store/recordstore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace filbertgw {

/** \brief Decision whether a turn may start. */
enum class BudgetDecision : std::uint8_t {
    Granted,
    Exhausted, ///< The turn does not fit into the rest of the program's budget.
    Unavailable, ///< The spending of other nodes is not known.
};

template<>
struct NameTable<BudgetDecision>
{
    static constexpr std::array<std::pair<BudgetDecision, std::string_view>, 3> entries{{
        {BudgetDecision::Granted, "granted"},
        {BudgetDecision::Exhausted, "exhausted"},
        {BudgetDecision::Unavailable, "unavailable"},
    }};
};

/** \brief A turn that reserves tokens of its program's budget. */
struct TurnReservation
{
    std::string program_;
    std::uint64_t budget_ = 0; ///< Tokens that all turns of the program together may generate.
    std::uint64_t tokens_ = 0; ///< Maximum that this turn may generate.
    bool isRootAgentTurn_ = false; ///< False for a turn of a sub-agent. The root agent runs one turn at a time.
    Duration repeatTime_ = maxRepeatTime; ///< Time within which its client may send it again.
    std::string clientProgram_{}; ///< Id that the client has given the program, for the log.

    static constexpr Duration maxRepeatTime{30'000'000};
};

/** \brief How a turn is to be reserved. */
struct ReservationOptions
{
    bool mayAcquireAllowance_ = false; ///< Also reserve an allowance for later turns if the budget permits.
    /** Grant the first turn of a program at once. Only one node may do so for a program, since others don't see it. */
    bool mayRunUnrecorded_ = false;
    /** Tokens that count as spent from now on if nothing is known to be spent; recorded with the turn. */
    std::uint64_t outageReserve_ = 0;
};

/** \brief Dependencies and callbacks of a ProgramLedger. */
struct ProgramLedgerHooks
{
    Clock now_; ///< Includes the time during which the VM is suspended.
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void(bool reachable)> onReachable_;
    std::function<std::size_t()> nodes_; ///< Number of live nodes that append to the same stream.
    /** \brief True if all nodes have recorded the grants that they made or received without the store. */
    std::function<bool()> allGrantsRecorded_;
    /** \brief Called for a program whose spending has waited to be recorded for longer than slowAppendThreshold_. */
    std::function<void(const std::string &program)> onUnrecorded_;
};

struct ProgramLedgerSettings
{
    std::string writer_; ///< Writer name; unique to this incarnation of the node.
    std::uint32_t partition_ = 0; ///< Partition of the ledger stream that is read and appended to.
    Duration minBatchDelay_{150'000}; ///< Shortest time for which changes are collected before an append.
    Duration batchDelayPerNode_{8'000}; ///< At least this per node: the store handles a partition's appends one by one.
    Duration maxBatchDelay_{1'000'000};
    Duration maxFirstTurnDelay_{350'000}; ///< The same after the first turn of a program, which runs unrecorded.
    Duration readPause_{300'000}; ///< Pause between two reads of other nodes' appends.
    Duration maxAge_{900'000}; ///< Age up to which the known spending of other nodes counts as current.
    /** After an outage, the store is relied on again only after this time, when grants made without it are recorded. */
    Duration recoveryDelay_{1'500'000};
    Duration recordPeerGrantsDelay_{1'200'000}; ///< Time for writers to record their own grants before other nodes do.
    /** A slower append may be the start of an outage, so other nodes are told the spending it contains. */
    Duration slowAppendThreshold_{250'000};
    Duration reservationTimeout_{700'000}; ///< Longest time that a turn waits until its reservation is durable.
    Duration allowanceTimeout_{3'000'000}; ///< The same for an allowance.
    Duration retention_{120'000'000}; ///< Programs that are idle for longer are removed.
};

/**
 * \brief Tokens spent by the programs of one partition, over all nodes.
 *
 * Each node keeps one record per program: the tokens that its turns have used or may still generate, and its allowance,
 * which are tokens reserved in advance for later turns. The spending of a program is the sum over all writers, so the
 * records of different nodes never conflict.
 *
 * The first turn of a program may start immediately. Later turns are granted by the node that holds an allowance,
 * without the store. Any other turn waits until its reservation is durable and all records appended before it have been
 * read, so that of two concurrent reservations at least one sees the other.
 */
class ProgramLedger
{
public:
    ProgramLedger(ProgramLedgerHooks hooks, ProgramLedgerSettings settings);
    ~ProgramLedger();

    void start();
    /** \brief True if the known spending of other nodes is no older than maxAge_. */
    bool isCurrent() const;
    /** \brief Age of the known spending of other nodes. */
    Duration age() const;
    /** \brief True once the newest record of each writer has been read. */
    bool isComplete() const;
    /** \brief True if the node has been up for long enough to know the grants of an outage before its start. */
    bool knowsGrants() const;
    /** \brief True if the last call to the store succeeded. */
    bool isReachable() const;

    /** \brief True if a record of a program has been read lately enough to be in the store still. */
    bool hasRecords() const;

    /** \brief What an outage of the store may grant to a program beyond its first turn. */
    static std::uint64_t outageReserveOf(std::uint64_t budget);
    /** \brief Sets the outage reserve of a program; it is recorded together with the next record of the program. */
    void setOutageReserve(const std::string &program, std::uint64_t tokens);
    /** \brief Outage reserve of a program; 0 if it has none. */
    std::uint64_t outageReserve(const std::string &program) const;
    /** \brief Removes an outage reserve that is neither recorded nor on its way to the store. */
    void dropUnsentReserve(const std::string &program);
    /** \brief Deletes an outage reserve, also from the store. */
    void releaseOutageReserve(const std::string &program);
    /** \brief Tokens that turns of this node have used or reserved. */
    std::uint64_t own(const std::string &program) const;
    /** \brief Tokens that turns have used or reserved, without the outage reserve. */
    std::uint64_t granted(const std::string &program) const;
    /** \brief True if all spending on a program is in the store, as far as known. */
    bool isRecorded(const std::string &program) const;

    /** \brief True for the first turn of a program, as far as known. */
    bool isFirstTurn(const TurnReservation &turn) const;
    /** \brief Takes the tokens of a turn from this node's allowance. \return false if it is too small. */
    bool takeAllowance(const TurnReservation &turn);
    /** \brief True while an allowance is being reserved. */
    bool hasPendingAllowance(const std::string &program) const;
    /** \brief Other writers whose allowance suffices for a turn, the largest first. */
    std::vector<std::string> allowanceHolders(const TurnReservation &turn) const;
    /** \brief Other writers that have ever held an allowance; unused tokens may since have been returned to it. */
    std::vector<std::string> formerAllowanceHolders(const TurnReservation &turn) const;
    /** \brief Releases all allowances; called when the node stops. */
    void releaseAllowances();
    /** \brief Reserves the tokens that a turn may generate. The reservation stands only if the decision is Granted. */
    void reserve(const TurnReservation &turn,
                 const ReservationOptions &options,
                 const std::function<void(BudgetDecision)> &onDecision);
    /**
     * \brief Decides on a turn of a program at this node from local knowledge, without the store.
     *
     * Safe only on the single node that decides for the program while no node reaches the store. Later turns than the
     * first are granted up to the outage reserve; without one they are Unavailable: if all nodes are lost, what ran
     * without a record is forgotten, and beyond the reserve that may be one turn at most.
     */
    BudgetDecision reserveWithoutStore(const TurnReservation &turn);
    /**
     * \brief Decides on a turn of another node like reserveWithoutStore().
     * \param spending what that node has spent, including this turn and its other pending turns. That node records it
     * when the store is back; if its record does not appear, this node records it instead.
     */
    BudgetDecision decideForPeer(const TurnReservation &turn, const WriterSpending &spending);
    /** \brief True if turns that were granted without the store, \p turn included, exceed no limit. */
    bool isWithinReserve(const TurnReservation &turn) const;
    /** \brief Takes back a turn that decideForPeer() has granted. */
    void revokeForPeer(const TurnReservation &turn, const WriterSpending &spending);
    /** \brief Counts the reported spending of another node, and records it for that node if necessary. */
    void applyGrant(const std::string &program, const WriterSpending &spending);
    /** \brief Counts tokens of a turn that waits for the decision of another node. */
    void addPending(const std::string &program, std::uint64_t tokens);
    /** \brief What this node has spent on a program, as a new version. */
    WriterSpending ownSpending(const std::string &program);
    /** \brief The same with the outage reserve, if there is one: a node that records the one also records the other. */
    std::vector<WriterSpending> ownReport(const std::string &program);
    /** \brief What each writer has spent on a program, as far as known. */
    std::vector<WriterSpending> spendingByWriter(const std::string &program);
    /** \brief Writer name of this node. */
    const std::string &writer() const;
    /** \brief Replaces a reservation by the tokens that the turn has used. */
    void settle(const std::string &program, std::uint64_t reserved, std::uint64_t used);
    /** \brief Tokens spent or reserved by all nodes, as far as known. */
    std::uint64_t spent(const std::string &program) const;

    /** \brief True if nothing waits to be appended. */
    bool isFlushed() const;
    std::size_t programCount() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
