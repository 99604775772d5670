#ifndef FILBERTGW_PROGRAM_BUDGETTRACKER_H
#define FILBERTGW_PROGRAM_BUDGETTRACKER_H

#include "journal/record.h"

#include <deque>

namespace filbertgw {

/** \brief Amounts that a record puts into the journal. */
struct BudgetEntry
{
    Spend reserved_; ///< Outstanding total of the tree from the record on.
    Spend spent_; ///< Adds to what is spent.
    Spend settled_; ///< Part of the amounts in use that this record settles.
};

/**
 * \brief The owner's account of one tree's budget between the journal's records.
 *
 * A call may start only if its worst case and all amounts in use fit into what is reserved in the journal now and after
 * each record that is under way; so whatever a successor reads, it counts at least what was really spent.
 */
class BudgetTracker
{
public:
    /** \brief True if a call may start on the reservations that are durable already. */
    bool fitsReserved(const Spend &worstCase, const Spend &durableReserved) const;
    /** \brief What is neither spent nor in use. */
    Spend remaining(const Spend &budget, const Spend &durableSpent) const;
    /** \brief A call's worst case is in use from now on. */
    void startCall(const Spend &worstCase);
    /** \brief A call ended without having been sent. */
    void cancelCall(const Spend &worstCase);
    /** \brief A call ended without a turn; its cost goes into the next record. */
    void endUnrecordedCall(const Spend &worstCase, const Spend &cost);
    /**
     * \brief Amounts of the next record.
     * \param usage cost of the call that it records, of which `worst` was in use
     * \param ahead what to reserve for later calls, as far as the budget reaches
     */
    BudgetEntry prepareEntry(const Spend &budget,
                             const Spend &durableSpent,
                             const Spend &usage,
                             const Spend &worstCase,
                             const Spend &allowance);
    /** \brief The oldest prepared record has been folded. */
    void onFolded();
    bool isSettled() const;
    /** \brief True while a prepared record has not been folded. */
    bool hasPendingEntries() const;
    const Spend &inUse() const
    {
        return inUse_;
    }

private:
    Spend inUse_; ///< Worst cases of calls until their records are folded, and costs not yet recorded.
    Spend pendingSettled_; ///< Part of inUse_ that records under way settle.
    Spend pendingSpent_; ///< Spent by records under way.
    Spend unrecordedCost_; ///< Costs that no record carries yet.
    std::deque<BudgetEntry> pendingEntries_;
};

} // namespace filbertgw

#endif
