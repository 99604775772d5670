#include "memory/memorybudget.h"

#include <algorithm>
#include <utility>

namespace filbertgw {

namespace {

/** Progress is the number of bytes in the current and the last window. */
constexpr Duration window{1'000'000};
/** The budget keeps this part of its total in any case, for requests within the limits. */
constexpr std::size_t leastPart = 4;

std::size_t indexOf(MemoryUse use)
{
    return static_cast<std::size_t>(use);
}

} // namespace

MemoryBudget::MemoryBudget(MemoryBudgetSettings settings, Clock now, OnRefused onRefused)
    : settings_(settings)
    , now_(std::move(now))
    , onRefused_(std::move(onRefused))
    , available_(settings.totalBytes_)
{
}

void MemoryBudget::setAvailable(std::size_t bytes)
{
    available_ = std::clamp(bytes, settings_.totalBytes_ / leastPart, settings_.totalBytes_);
    reclaim();
}

std::size_t MemoryBudget::availableBytes() const
{
    return available_;
}

std::size_t MemoryBudget::heldBytes() const
{
    return held_;
}

std::size_t MemoryBudget::heldBytes(MemoryUse use) const
{
    return heldFor_[indexOf(use)];
}

std::size_t MemoryBudget::claims() const
{
    return claims_.size();
}

std::size_t MemoryBudget::part(double share) const
{
    return static_cast<std::size_t>(share * static_cast<double>(available_));
}

bool MemoryBudget::mayRun(std::size_t bytes) const
{
    const double share = bytes <= settings_.smallBytes_ ? settings_.smallRunningShare_ : settings_.runningShare_;
    // A request alone always runs, even where it exceeds the share.
    const std::size_t running = heldBytes(MemoryUse::Running);
    if (running < settings_.smallBytes_ || running + bytes <= part(share)) {
        return true;
    }
    onRefused_(MemoryRefusal::RunningUsedUp, MemoryUse::Receiving, bytes);
    return false;
}

bool MemoryBudget::evictOne(const void *group)
{
    MemoryClaim *claim = heaviest([group](const MemoryClaim &candidate) { return candidate.group_ == group; });
    if (claim == nullptr) {
        return false;
    }
    evict(*claim, MemoryRefusal::ConnectionsUsedUp);
    return true;
}

void MemoryBudget::add(MemoryClaim &claim)
{
    claim.index_ = claims_.size();
    claim.since_ = now_();
    claim.windowStart_ = claim.since_;
    claims_.push_back(&claim);
}

void MemoryBudget::remove(MemoryClaim &claim)
{
    setBytes(claim, claim.use_, 0);
    claims_.back()->index_ = claim.index_;
    std::swap(claims_[claim.index_], claims_.back());
    claims_.pop_back();
}

void MemoryBudget::setBytes(MemoryClaim &claim, MemoryUse use, std::size_t bytes)
{
    held_ += bytes;
    held_ -= claim.bytes_;
    heldFor_[indexOf(use)] += bytes;
    heldFor_[indexOf(claim.use_)] -= claim.bytes_;
    claim.bytes_ = bytes;
    claim.use_ = use;
}

void MemoryBudget::addMoved(MemoryClaim &claim, Time now, std::size_t moved) const
{
    if (now - claim.windowStart_ >= window) {
        claim.movedBefore_ = now - claim.windowStart_ < 2 * window ? claim.movedNow_ : 0;
        claim.movedNow_ = 0;
        claim.windowStart_ = now;
    }
    claim.movedNow_ += moved;
}

void MemoryBudget::update(MemoryClaim &claim, MemoryUse use, std::size_t bytes, std::size_t moved)
{
    const Time now = now_();
    if (use != claim.use_) {
        claim.since_ = now;
    }
    addMoved(claim, now, moved);
    const bool grows = bytes > claim.bytes_;
    setBytes(claim, use, bytes);
    if (grows) {
        reclaim();
    }
}

void MemoryBudget::reclaim()
{
    if (reclaiming_) {
        return;
    }
    reclaiming_ = true;
    const auto isReceiving = [](const MemoryClaim &claim) { return claim.use_ == MemoryUse::Receiving; };
    const auto isAny = [](const MemoryClaim &) { return true; };
    while (heldBytes(MemoryUse::Receiving) > part(settings_.receivingShare_)) {
        MemoryClaim *claim = heaviest(isReceiving);
        if (claim == nullptr) {
            break;
        }
        evict(*claim, MemoryRefusal::BudgetUsedUp);
    }
    while (held_ > available_) {
        MemoryClaim *claim = heaviest(isAny);
        if (claim == nullptr) {
            break;
        }
        evict(*claim, MemoryRefusal::BudgetUsedUp);
    }
    reclaiming_ = false;
}

double MemoryBudget::weightOf(const MemoryClaim &claim, Time now) const
{
    const Duration age = now - claim.windowStart_;
    std::size_t moved = 0;
    if (age < 2 * window) {
        moved = claim.movedNow_ + (age < window ? claim.movedBefore_ : 0);
    }
    const double seconds = std::max(toSeconds(2 * window), toSeconds(now - claim.since_));
    const double progress = static_cast<double>(moved) / toSeconds(2 * window);
    const double slow = static_cast<double>(settings_.slowBytesPerSecond_);
    return static_cast<double>(claim.bytes_) * seconds / (1.0 + progress / slow);
}

MemoryClaim *MemoryBudget::heaviest(const std::function<bool(const MemoryClaim &)> &isCandidate) const
{
    const Time now = now_();
    MemoryClaim *found = nullptr;
    double most = -1.0;
    for (MemoryClaim *claim : claims_) {
        if (claim->use_ == MemoryUse::Running || claim->bytes_ == 0 || !isCandidate(*claim)) {
            continue;
        }
        const double weight = weightOf(*claim, now);
        if (weight > most) {
            most = weight;
            found = claim;
        }
    }
    return found;
}

void MemoryBudget::evict(MemoryClaim &claim, MemoryRefusal cause)
{
    const MemoryUse use = claim.use_;
    const std::size_t bytes = claim.bytes_;
    // The memory counts as free at once, so that the loop in reclaim() ends whatever the hook does.
    setBytes(claim, use, 0);
    const std::function<void(MemoryUse)> evict = claim.evict_; // A copy, since it may destroy the claim.
    onRefused_(cause, use, bytes);
    evict(use);
}

} // namespace filbertgw
