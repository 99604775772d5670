#ifndef FILBERTGW_LEDGER_TURNREPLICAS_H
#define FILBERTGW_LEDGER_TURNREPLICAS_H

#include "core/nametable.h"
#include "ledger/retainedturn.h"
#include "store/recordstore.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace filbertgw {

/** \brief Result of the lookup of a retained turn, or of a chain of them. */
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

/** \brief Dependencies of TurnReplicas. */
struct TurnReplicasHooks
{
    Clock now_;
    Clock timeOfDay_; ///< Since the Unix epoch.
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    /** \brief True if this node holds the copy of a partition for all other nodes, and so deletes its expired turns. */
    std::function<bool(const PartitionId &partition)> isHolder_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_ =
        [](const std::string &, const nlohmann::json &) {};
};

struct TurnReplicasSettings
{
    std::uint32_t streams_ = 32; ///< The store allows 100, including other streams.
    std::uint32_t partitionsPerStream_ = 8;
    /** All nodes may read at the same time; few reads per node keep the queue of the store shorter than a timeout. */
    std::uint32_t concurrentReads_ = 1;
    Duration readTimeout_{2'500'000}; ///< Long, since an abandoned read still takes bandwidth of the store.
    Duration findTimeout_{1'000'000}; ///< Longest time that a lookup waits for the store.
    Duration minRetryDelay_{50'000}; ///< After a failed read; doubles with each further failure.
    Duration maxRetryDelay_{800'000};
    Duration cleanupInterval_{
        10'000'000}; ///< Between two deletions in a partition, so that many turns are deleted at once.
    std::size_t maxBytes_ = 24 * 1024 * 1024; ///< Turns in memory; evicts the least recently used partitions.
};

/** \brief A turn and the time until which it is at least kept in the store, by this node's clock. */
struct FoundTurn
{
    RetainedTurnPointer turn_; ///< Empty if the turn was not found.
    Time keptUntil_{0}; ///< 0 if it is not known when the turn was stored.
};

/**
 * \brief This node's copies of partitions of retained turns.
 *
 * The id of a turn determines its partition. A partition is read as a whole when one of its turns is first looked up.
 * After that, only the records appended since are read, and only to look up a turn that is not in memory.
 *
 * The holder of a partition deletes a turn once it has known the turn's newest record for the retention and
 * retentionSlack, so that deletion depends neither on the node that wrote the turn nor on a correct time of day. A node
 * that reads the record later does not know since when the holder, or a former one, has known it. So how long a turn is
 * kept counts from the time in its record, which assumes that the times of day of nodes differ by maxClockDifference at
 * most.
 */
class TurnReplicas
{
public:
    using LookupCallback = std::function<void(ChainStatus, const FoundTurn &)>;
    /** Time for which a turn stays in the store beyond its retention, since clocks differ and requests are delayed. */
    static constexpr Duration retentionSlack{30'000'000};
    /** Largest assumed difference between the times of day of two nodes. */
    static constexpr Duration maxClockDifference{10'000'000};

    TurnReplicas(TurnReplicasHooks hooks, TurnReplicasSettings settings);
    ~TurnReplicas();

    std::uint32_t partitionOf(const std::string &turn) const;
    PartitionId partitionId(std::uint32_t partition) const;

    /** \brief Looks up a turn, without a read if it is in memory. Missing is reported only after a read started now. */
    void find(const std::string &turn, LookupCallback onResult);
    /** \brief Adds a turn that is known to be in the store, without reading it. */
    void insert(const std::string &id, RetainedTurnPointer turn);
    /** \brief A turn with the time until which it is kept, by the time in its record. */
    FoundTurn found(RetainedTurnPointer turn) const;
    /** \brief Drops all turns and lookups; no hook is called afterwards. */
    void stop();
    /** \brief Bytes of the turns in memory. */
    std::size_t bytes() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
