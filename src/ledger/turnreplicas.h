#ifndef FILBERTGW_LEDGER_TURNREPLICAS_H
#define FILBERTGW_LEDGER_TURNREPLICAS_H

#include "core/nametable.h"
#include "ledger/retainedturn.h"
#include "store/recordstore.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace filbertgw {

/** \brief What is known of a kept turn, or of a chain of them. */
enum class ChainStatus : std::uint8_t {
    Found,
    Missing, ///< The store was read and has no such turn.
    Unavailable, ///< The store could not be read in time.
};

template<>
struct NameTable<ChainStatus>
{
    static constexpr std::array<std::pair<ChainStatus, std::string_view>, 3> entries{{
        {ChainStatus::Found, "found"},
        {ChainStatus::Missing, "missing"},
        {ChainStatus::Unavailable, "unavailable"},
    }};
};

struct TurnReplicasHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    /** \brief True if this node keeps the copy of a partition for all others, and so deletes what is over. */
    std::function<bool(const PartitionId &partition)> isHolder_;
};

struct TurnReplicasSettings
{
    std::uint32_t streams_ = 32; ///< The store takes 100, other streams included.
    std::uint32_t partitionsPerStream_ = 8;
    /** All nodes may read at the same time: few reads of each keep the queue at the store shorter than a time-out. */
    std::uint32_t concurrentReads_ = 1;
    Duration readTimeout_{2'500'000}; ///< A read that is given up takes its share of what the store sends all the same.
    Duration findTimeout_{1'000'000}; ///< Longest time that a question waits for the store.
    Duration minRetryDelay_{50'000}; ///< After a read that failed; doubled with each further one.
    Duration maxRetryDelay_{800'000};
    Duration cleanupInterval_{
        10'000'000}; ///< Between two deletions in a partition, so that many turns are deleted at once.
    std::size_t maxBytes_ = 24 * 1024 * 1024; ///< Turns in memory; partitions unused for longest are dropped.
};

/** \brief A turn and how long it stays in the store at least, by this node's clock. */
struct FoundTurn
{
    RetainedTurnPointer turn_; ///< Empty unless it was found.
    Time expires_{0};
};

/**
 * \brief This node's copies of partitions of kept turns.
 *
 * A turn's partition follows from its id. A partition is read once, when one of its turns is asked for; afterwards only
 * the records that were appended since are read, and only for a turn that is not in memory. The holder of a partition
 * deletes a turn once it has known its newest record for the turn's retention and some time more, so that neither the
 * loss of the node that wrote it nor a wrong time of day matters.
 */
class TurnReplicas
{
public:
    using LookupCallback = std::function<void(ChainStatus, const FoundTurn &)>;
    /** Time for which a turn stays in the store beyond its retention, since clocks and requests are late. */
    static constexpr Duration retentionSlack{30'000'000};

    TurnReplicas(TurnReplicasHooks hooks, TurnReplicasSettings settings);
    ~TurnReplicas();

    std::uint32_t partitionOf(const std::string &turn) const;
    PartitionId partitionId(std::uint32_t partition) const;

    /** \brief Looks for a turn; answers at once if it is in memory. Missing is said only after a read that began now.
     */
    void find(const std::string &turn, LookupCallback onResult);
    /** \brief Takes a turn that is in the store, without reading it there. */
    void insert(const std::string &id, RetainedTurnPointer turn);
    /** \brief Drops all turns and questions, and calls no hook any more. */
    void stop();
    /** \brief Bytes of the turns in memory. */
    std::size_t bytes() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
