#include "memory/memoryclaim.h"

#include "memory/memorybudget.h"

#include <utility>

namespace filbertgw {

MemoryClaim::MemoryClaim(std::shared_ptr<MemoryBudget> budget, const void *group, std::function<void(MemoryUse)> evict)
    : budget_(std::move(budget))
    , group_(group)
    , evict_(std::move(evict))
{
    if (budget_) {
        budget_->add(*this);
    }
}

MemoryClaim::~MemoryClaim()
{
    release();
}

void MemoryClaim::update(MemoryUse use, std::size_t bytes, std::size_t moved)
{
    if (budget_) {
        // Kept, because the claim may be evicted and so release its own.
        const std::shared_ptr<MemoryBudget> budget = budget_;
        budget->update(*this, use, bytes, moved);
    }
}

bool MemoryClaim::mayRun(std::size_t bytes) const
{
    return !budget_ || budget_->mayRun(bytes);
}

void MemoryClaim::release()
{
    if (budget_) {
        budget_->remove(*this);
        budget_ = nullptr;
    }
}

} // namespace filbertgw
