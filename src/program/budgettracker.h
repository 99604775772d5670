#ifndef FILBERTGW_PROGRAM_BUDGETTRACKER_H
#define FILBERTGW_PROGRAM_BUDGETTRACKER_H

#include "journal/record.h"

#include <deque>

namespace filbertgw {

/** \brief Budget amounts of one journal record. */
struct BudgetEntry
{
    Spend reserved_; ///< Total reservation of the tree once the record is applied.
    Spend spent_; ///< Added to the tree's spending.
    Spend settled_; ///< Part of the amounts in use that is settled by the record.
};

/**
 * \brief Tracks the budget of one program tree on its owner, including records that are not yet durable.
 *
 * A call may start only if its worst case and all amounts in use fit into the reservation that is durable now and into
 * that of each pending record. A successor therefore reads a reservation that covers at least the real spending,
 * whichever of the pending records become durable.
 */
class BudgetTracker
{
public:
    /** \brief True if the reservations cover a call with this worst case, so that it may start at once. */
    bool fitsReserved(const Spend &worstCase, const Spend &durableReserved) const;
    /** \brief The part of the budget that is neither spent nor in use. */
    Spend remaining(const Spend &budget, const Spend &durableSpent) const;
    /** \brief Adds the worst case of a call to the amounts in use. */
    void startCall(const Spend &worstCase);
    /** \brief Removes the worst case of a call that was not sent. */
    void cancelCall(const Spend &worstCase);
    /** \brief Ends a call without a record of its own; its cost is part of the next record. */
    void endUnrecordedCall(const Spend &worstCase, const Spend &cost);
    /**
     * \brief Computes the amounts of the next record, which is pending until onFolded().
     * \param usage cost of the call that the record completes; zero if there is none
     * \param worstCase amount that this call had in use
     * \param allowance amount to reserve for later calls; reduced to what the budget allows
     */
    BudgetEntry prepareEntry(const Spend &budget,
                             const Spend &durableSpent,
                             const Spend &usage,
                             const Spend &worstCase,
                             const Spend &allowance);
    /** \brief The oldest pending record has been folded. */
    void onFolded();
    /** \brief True if no amount is in use and no record is pending. */
    bool isSettled() const;
    /** \brief True while a record is pending. */
    bool hasPendingEntries() const;
    const Spend &inUse() const
    {
        return inUse_;
    }

private:
    Spend inUse_; ///< Worst cases of calls until their records are folded, and costs not yet recorded.
    Spend pendingSettled_; ///< Part of inUse_ that is settled by pending records.
    Spend pendingSpent_; ///< Spending in pending records.
    Spend unrecordedCost_; ///< Costs of ended calls that are not part of any record yet.
    std::deque<BudgetEntry> pendingEntries_;
};

} // namespace filbertgw

#endif
