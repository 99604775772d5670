#ifndef FILBERTGW_STORE_STREAMTAIL_H
#define FILBERTGW_STORE_STREAMTAIL_H

#include "store/recordstore.h"

#include <map>
#include <memory>

namespace filbertgw {

/** \brief What a StreamTail needs and whom it tells. */
struct StreamTailHooks
{
    Clock now_; ///< Counts the time during which the VM is suspended.
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void(const KeyedRecord &)> onRecord_; ///< A record without a value: its key is deleted.
    std::function<void(bool reachable)> onReachable_; ///< Called when the store is lost or regained.
};

/** \brief How often a StreamTail reads. */
struct StreamTailSettings
{
    PartitionId partition_;
    Duration pause_{200'000}; ///< Between two reads, so that records are read in groups.
    Duration wait_{1'000'000}; ///< Longest time that the store holds a read without records.
    Duration retryDelay_{100'000}; ///< After a read that failed.
    Duration hedgeDelay_{700'000}; ///< A read without an answer so long after its wait is joined by another one.
    Duration timeout_{3'000'000}; ///< A read without an answer so long after its wait is given up.
    /** \brief Overdue is what takes twice as long as the last answer: for streams of which a read brings much. */
    bool adaptsHedgeDelay_ = false;
};

/**
 * \brief Follows one partition: first the newest record of each key, then every record as it is appended.
 *
 * When the store has deleted records that were not read yet, the newest records are read anew. Reading never goes back
 * to an older offset, and a key is reported only with offsets that grow.
 *
 * A page of the newest records that fails is read again, not those before it. An overdue read stays open beside the one
 * that is sent in its place, and the first answer of them counts: a store that is slow answers the older one, and an
 * answer that was lost is made up for by the newer one.
 */
class StreamTail
{
public:
    StreamTail(StreamTailHooks hooks, StreamTailSettings settings);
    ~StreamTail();

    void start();
    /** \brief Reads at once in place of after the pause. */
    void readNow();
    /** \brief Offset after the last record that was reported. */
    std::uint64_t position() const;
    /** \brief True once the newest records have been read. */
    bool isComplete() const;
    /** \brief Everything that was appended before this time has been reported. */
    Time currentAsOf() const;
    bool isReachable() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
