#ifndef FILBERTGW_MEMORY_MEMORYCLAIM_H
#define FILBERTGW_MEMORY_MEMORYCLAIM_H

#include "core/nametable.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>

namespace filbertgw {

class MemoryBudget;

/** \brief What a connection's bytes are held for. */
enum class MemoryUse : std::uint8_t {
    Idle, ///< Between requests.
    Receiving, ///< A request that is not complete, so certainly not run.
    Running, ///< A request that was handed over; can't be evicted.
    Sending, ///< A response that the peer has not read yet.
};

template<>
struct NameTable<MemoryUse>
{
    static constexpr std::array<std::pair<MemoryUse, std::string_view>, 4> entries{{
        {MemoryUse::Idle, "idle"},
        {MemoryUse::Receiving, "receiving"},
        {MemoryUse::Running, "running"},
        {MemoryUse::Sending, "sending"},
    }};
};

constexpr std::size_t memoryUses = NameTable<MemoryUse>::entries.size();

/** \brief The bytes that one connection holds of a budget; given back by its destructor. */
class MemoryClaim
{
public:
    /**
     * \param budget may be null: then nothing is counted
     * \param group connections of one server, \sa MemoryBudget::evictOne()
     * \param evict refuses or closes the connection; called from update() of any claim and from evictOne()
     */
    MemoryClaim(std::shared_ptr<MemoryBudget> budget, const void *group, std::function<void(MemoryUse)> evict);
    ~MemoryClaim();
    MemoryClaim(const MemoryClaim &) = delete;
    MemoryClaim &operator=(const MemoryClaim &) = delete;

    bool isCounted() const
    {
        return budget_ != nullptr;
    }
    /**
     * \brief States what is held now; evicts claims, possibly this one, until the budget suffices.
     *
     * \param moved bytes received or sent since the last call
     */
    void update(MemoryUse use, std::size_t bytes, std::size_t moved);
    /** \brief Asks whether a complete request of this size may be run now. */
    bool mayRun(std::size_t bytes) const;
    /** \brief Gives all back; the claim is not evicted any more. */
    void release();

private:
    friend class MemoryBudget;

    std::shared_ptr<MemoryBudget> budget_;
    const void *group_;
    std::function<void(MemoryUse)> evict_;
    std::size_t index_ = 0; ///< Place in the budget's list.
    std::size_t bytes_ = 0;
    MemoryUse use_ = MemoryUse::Idle;
    Time since_{0}; ///< Begin of the current use.
    Time windowStart_{0};
    std::size_t movedNow_ = 0; ///< In the current second.
    std::size_t movedBefore_ = 0; ///< In the second before.
};

} // namespace filbertgw

#endif
