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

/** \brief Answer to the question whether a turn may start. */
enum class BudgetDecision : std::uint8_t {
    Granted,
    Exhausted, ///< The turn does not fit into the rest of the program's budget.
    Unavailable, ///< What other nodes have spent is not known.
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

/** \brief A turn that asks for tokens of its program. */
struct TurnReservation
{
    std::string program_;
    std::uint64_t budget_ = 0; ///< Tokens that all turns of the program may generate.
    std::uint64_t tokens_ = 0; ///< Most tokens of this turn.
    bool mainLine_ = false; ///< Of the program's own line of turns, which has one turn at a time; not of a sub-agent.
};

/** \brief What a ProgramLedger needs. */
struct ProgramLedgerHooks
{
    Clock now_; ///< Counts the time during which the VM is suspended.
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void(bool reachable)> onReachable_;
    std::function<std::size_t()> nodes_; ///< Living nodes that append to the same stream.
    /** \brief True if no node has grants to record that it gave or got without the store. */
    std::function<bool()> allGrantsRecorded_;
    /** \brief Called for a program whose spending has waited for the store for longer than slowAppendThreshold_. */
    std::function<void(const std::string &program)> onUnrecorded_;
};

struct ProgramLedgerSettings
{
    std::string writer_; ///< Unique to this incarnation of the node.
    std::uint32_t partition_ = 0; ///< Of the stream, that this ledger follows and appends to.
    Duration minBatchDelay_{150'000}; ///< Changes are collected for this long before they are appended, at least.
    Duration batchDelayPerNode_{8'000}; ///< At least this for each node: the store appends to a partition one by one.
    Duration maxBatchDelay_{1'000'000};
    Duration maxFirstTurnDelay_{350'000}; ///< The same for the first turn of a program, which runs unrecorded.
    Duration readPause_{300'000}; ///< Time between two reads of what other nodes have appended.
    Duration maxAge_{900'000}; ///< Age up to which the knowledge of other nodes' spending counts as current.
    /** After a loss of the store its knowledge counts again after this, when what was granted without it is in it. */
    Duration recoveryDelay_{1'500'000};
    Duration recordPeerGrantsDelay_{
        1'200'000}; ///< Time for writers to record themselves what they were granted without it.
    /** An append that takes longer may be the begin of an outage: others are told what it holds. */
    Duration slowAppendThreshold_{250'000};
    std::uint64_t unrecordedDivisor_ = 2; ///< Beyond one turn, at most this part of a budget is spent unrecorded.
    Duration reservationTimeout_{700'000}; ///< Longest time that a turn waits for its durable reservation.
    Duration allowanceTimeout_{3'000'000}; ///< The same for tokens that are reserved ahead.
    Duration retention_{120'000'000}; ///< A program that was idle for longer is forgotten.
};

/**
 * \brief Tokens that the programs of one partition have spent, over all nodes.
 *
 * Each node keeps one record a program: the tokens that it has handed out plus those that its running turns may still
 * generate, and those that it has reserved ahead, its allowance. The spending of a program is the sum over the writers,
 * so records never conflict. The first turn of a program starts at once. Turns to come are granted from the allowance,
 * which needs no store, by the node that holds it. Any other turn waits until its reservation is durable and
 * everything appended before it has been read, so that of two concurrent reservations at least one sees the other.
 */
class ProgramLedger
{
public:
    ProgramLedger(ProgramLedgerHooks hooks, ProgramLedgerSettings settings);
    ~ProgramLedger();

    void start();
    /** \brief True if what other nodes have spent is known up to a short time ago. */
    bool isCurrent() const;
    /** \brief Age of what is known of other nodes' spending. */
    Duration age() const;
    bool isComplete() const;
    /** \brief True if the node has been up for long enough to know what others were granted in an outage before. */
    bool knowsGrants() const;
    /** \brief True if the last call to the store succeeded. */
    bool isReachable() const;

    /** \brief Takes the tokens of a turn from what this node has reserved ahead, which needs no store. */
    bool takeAllowance(const TurnReservation &turn);
    /** \brief True while a reservation ahead is under way. */
    bool hasPendingAllowance(const std::string &program) const;
    /** \brief Other writers that have reserved enough ahead for a turn, the one with the most first. */
    std::vector<std::string> allowanceHolders(const TurnReservation &turn) const;
    /** \brief Other writers that ever reserved tokens ahead: unused ones come back to them before others read so. */
    std::vector<std::string> formerAllowanceHolders(const TurnReservation &turn) const;
    /** \brief Gives back what was reserved ahead: the node stops. */
    void releaseAllowances();
    /**
     * \brief Reserves the tokens that a turn may generate. The reservation stands only if the decision is Granted.
     * \param mayAcquireAllowance also reserves tokens for the program's turns to come, if its budget allows.
     */
    void reserve(const TurnReservation &turn,
                 bool mayAcquireAllowance,
                 const std::function<void(BudgetDecision)> &onDecision);
    /**
     * \brief Decides about a turn of this node from what is known, without the store.
     *
     * Only safe at the one node that decides about the program while no node reaches the store.
     */
    BudgetDecision reserveWithoutStore(const TurnReservation &turn);
    /**
     * \brief Decides about a turn of another node as reserveWithoutStore() does.
     * \param claim what that node has spent, the turn and its other pending turns included. It records this itself
     * when the store is back; this node does so if it doesn't hear of it then.
     */
    BudgetDecision decideForPeer(const TurnReservation &turn, const WriterSpending &spending);
    /** \brief Takes note of what another node has spent; recorded for it as a grant of this node would be. */
    void applyGrant(const std::string &program, const WriterSpending &spending);
    /** \brief Counts tokens of a turn that waits for the decision of another node. */
    void addPending(const std::string &program, std::uint64_t tokens);
    /** \brief States what this node has spent on a program. */
    WriterSpending ownSpending(const std::string &program);
    /** \brief What each writer has spent on a program, as far as known. */
    std::vector<WriterSpending> spendingByWriter(const std::string &program);
    /** \brief Name of this node among the writers. */
    const std::string &writer() const;
    /** \brief Replaces a reservation by what the turn has used. */
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
