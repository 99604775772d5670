#include "program/budgetbook.h"

namespace filbertgw {

bool BudgetBook::fitsReserved(const Spend &worst, const Spend &durableReserved) const
{
    const Spend needed = inUse_ + worst;
    if (!fitsIn(needed, durableReserved)) {
        return false;
    }
    for (const BudgetEntry &entry : entries_) {
        if (!fitsIn(needed, entry.reserved_)) {
            return false;
        }
    }
    return true;
}

Spend BudgetBook::remaining(const Spend &budget, const Spend &durableSpent) const
{
    return budget - durableSpent - underWay_ - (inUse_ - settling_);
}

void BudgetBook::start(const Spend &worst)
{
    inUse_ = inUse_ + worst;
}

void BudgetBook::cancel(const Spend &worst)
{
    inUse_ = inUse_ - worst;
}

void BudgetBook::burn(const Spend &worst, const Spend &cost)
{
    inUse_ = inUse_ - worst + cost;
    burned_ = burned_ + cost;
}

BudgetEntry BudgetBook::prepare(
    const Spend &budget, const Spend &durableSpent, const Spend &usage, const Spend &worst, const Spend &ahead)
{
    BudgetEntry entry;
    entry.spent_ = burned_;
    entry.settled_ = worst + burned_;
    burned_ = Spend();
    const Spend outstanding = inUse_ - settling_ - entry.settled_;
    const Spend spentAfter = durableSpent + underWay_ + usage + entry.spent_;
    const Spend room = clampedToZero(budget - spentAfter - outstanding);
    entry.reserved_ = outstanding + minimum(ahead, room);
    settling_ = settling_ + entry.settled_;
    BudgetEntry stored = entry;
    stored.spent_ = usage + entry.spent_;
    underWay_ = underWay_ + stored.spent_;
    entries_.push_back(stored);
    return entry;
}

void BudgetBook::onFolded()
{
    if (entries_.empty()) {
        return;
    }
    const BudgetEntry entry = entries_.front();
    entries_.pop_front();
    inUse_ = inUse_ - entry.settled_;
    settling_ = settling_ - entry.settled_;
    underWay_ = underWay_ - entry.spent_;
}

bool BudgetBook::hasUnderWay() const
{
    return !entries_.empty();
}

bool BudgetBook::isClear() const
{
    return entries_.empty() && inUse_ == Spend();
}

} // namespace filbertgw
