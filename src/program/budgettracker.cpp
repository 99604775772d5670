#include "program/budgettracker.h"

namespace filbertgw {

bool BudgetTracker::fitsReserved(const Spend &worstCase, const Spend &durableReserved) const
{
    const Spend needed = inUse_ + worstCase;
    if (!fitsIn(needed, durableReserved)) {
        return false;
    }
    for (const BudgetEntry &entry : pendingEntries_) {
        if (!fitsIn(needed, entry.reserved_)) {
            return false;
        }
    }
    return true;
}

Spend BudgetTracker::remaining(const Spend &budget, const Spend &durableSpent) const
{
    return budget - durableSpent - pendingSpent_ - (inUse_ - pendingSettled_);
}

void BudgetTracker::startCall(const Spend &worstCase)
{
    inUse_ = inUse_ + worstCase;
}

void BudgetTracker::cancelCall(const Spend &worstCase)
{
    inUse_ = inUse_ - worstCase;
}

void BudgetTracker::endUnrecordedCall(const Spend &worstCase, const Spend &cost)
{
    inUse_ = inUse_ - worstCase + cost;
    unrecordedCost_ = unrecordedCost_ + cost;
}

BudgetEntry BudgetTracker::prepareEntry(
    const Spend &budget, const Spend &durableSpent, const Spend &usage, const Spend &worstCase, const Spend &allowance)
{
    BudgetEntry entry;
    entry.spent_ = unrecordedCost_;
    entry.settled_ = worstCase + unrecordedCost_;
    unrecordedCost_ = Spend();
    const Spend outstanding = inUse_ - pendingSettled_ - entry.settled_;
    const Spend spentAfter = durableSpent + pendingSpent_ + usage + entry.spent_;
    const Spend available = clampedToZero(budget - spentAfter - outstanding);
    entry.reserved_ = outstanding + minimum(allowance, available);
    pendingSettled_ = pendingSettled_ + entry.settled_;
    BudgetEntry pending = entry;
    pending.spent_ = usage + entry.spent_;
    pendingSpent_ = pendingSpent_ + pending.spent_;
    pendingEntries_.push_back(pending);
    return entry;
}

void BudgetTracker::onFolded()
{
    if (pendingEntries_.empty()) {
        return;
    }
    const BudgetEntry entry = pendingEntries_.front();
    pendingEntries_.pop_front();
    inUse_ = inUse_ - entry.settled_;
    pendingSettled_ = pendingSettled_ - entry.settled_;
    pendingSpent_ = pendingSpent_ - entry.spent_;
}

bool BudgetTracker::hasPendingEntries() const
{
    return !pendingEntries_.empty();
}

bool BudgetTracker::isSettled() const
{
    return pendingEntries_.empty() && inUse_ == Spend();
}

} // namespace filbertgw
