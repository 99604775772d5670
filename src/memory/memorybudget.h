#ifndef FILBERTGW_MEMORY_MEMORYBUDGET_H
#define FILBERTGW_MEMORY_MEMORYBUDGET_H

#include "core/time.h"
#include "memory/memoryclaim.h"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace filbertgw {

/** \brief Limits of a MemoryBudget; shares are parts of what is available. \sa MemoryBudget::setAvailable() */
struct MemoryBudgetSettings
{
    std::size_t totalBytes_ = 0; ///< For all connections of the process.
    double receivingShare_ = 0.5; ///< Of requests that are not complete.
    double runningShare_ = 0.5; ///< Of requests that were handed over.
    /** Up to this share small requests still run; what exceeds runningShare_ is theirs alone. */
    double smallRunningShare_ = 0.75;
    std::size_t smallBytes_ = 64 * 1024; ///< Size of a small request.
    std::size_t slowBytesPerSecond_ = 16 * 1024; ///< Progress that halves the weight of a claim.
};

/** \brief Why a claim was evicted or a request refused. */
enum class MemoryRefusal : std::uint8_t {
    BudgetUsedUp, ///< More bytes were needed than the budget has.
    ConnectionsUsedUp, ///< A new connection needed a place.
    RunningUsedUp, ///< A complete request was not run.
};

template<>
struct NameTable<MemoryRefusal>
{
    static constexpr std::array<std::pair<MemoryRefusal, std::string_view>, 3> entries{{
        {MemoryRefusal::BudgetUsedUp, "budget_used_up"},
        {MemoryRefusal::ConnectionsUsedUp, "connections_used_up"},
        {MemoryRefusal::RunningUsedUp, "running_used_up"},
    }};
};

/**
 * \brief One budget of bytes for all connections of a process.
 *
 * When it is exceeded, claims are evicted in the order of bytes x time held / progress. Requests that run are never
 * evicted; they are refused beforehand if their share is used up, so that what can be evicted always suffices.
 */
class MemoryBudget
{
public:
    using OnRefused = std::function<void(MemoryRefusal cause, MemoryUse use, std::size_t bytes)>;

    MemoryBudget(MemoryBudgetSettings settings, Clock now, OnRefused onRefused);

    /** \brief Limits the total further, down to a quarter, because the rest of the process needs more memory. */
    void setAvailable(std::size_t bytes);
    std::size_t availableBytes() const;
    std::size_t heldBytes() const;
    std::size_t heldBytes(MemoryUse use) const;
    std::size_t claims() const;
    /** \brief Asks whether a complete request of this size may be run, and reports the refusal if not. */
    bool mayRun(std::size_t bytes) const;
    /** \brief Evicts the claim with the greatest weight of a group. \return false if none can be evicted. */
    bool evictOne(const void *group);

private:
    friend class MemoryClaim;

    void add(MemoryClaim &claim);
    void remove(MemoryClaim &claim);
    void update(MemoryClaim &claim, MemoryUse use, std::size_t bytes, std::size_t moved);
    void setBytes(MemoryClaim &claim, MemoryUse use, std::size_t bytes);
    void addMoved(MemoryClaim &claim, Time now, std::size_t moved) const;
    void evict(MemoryClaim &claim, MemoryRefusal cause);
    /** \brief Evicts claims until the budget suffices or nothing is left. */
    void reclaim();
    double weightOf(const MemoryClaim &claim, Time now) const;
    MemoryClaim *heaviest(const std::function<bool(const MemoryClaim &)> &isCandidate) const;
    std::size_t part(double share) const;

    MemoryBudgetSettings settings_;
    Clock now_;
    OnRefused onRefused_;
    std::size_t available_;
    std::size_t held_ = 0;
    std::array<std::size_t, memoryUses> heldFor_{};
    std::vector<MemoryClaim *> claims_;
    bool reclaiming_ = false; ///< Hooks that are called meanwhile update their claims.
};

} // namespace filbertgw

#endif
