#ifndef FILBERTGW_STORE_STREAMTAIL_H
#define FILBERTGW_STORE_STREAMTAIL_H

#include "store/recordstore.h"

#include <map>
#include <memory>

namespace filbertgw {

/** \brief Dependencies and callbacks of a StreamTail. */
struct StreamTailHooks
{
    Clock now_; ///< Includes the time during which the VM is suspended.
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void(const KeyedRecord &)> onRecord_; ///< A record without a value deletes its key.
    std::function<void(bool reachable)> onReachable_; ///< Called when this changes.
    std::function<void()> onAdvanced_; ///< All records before position() have been reported; may be empty.
};

/** \brief Partition and timing of a StreamTail. */
struct StreamTailSettings
{
    PartitionId partition_;
    Duration pause_{200'000}; ///< Between two reads, so that records are read in batches.
    Duration wait_{1'000'000}; ///< Longest long poll of a read without records.
    Duration retryDelay_{100'000}; ///< After a failed read.
    Duration hedgeDelay_{700'000}; ///< A read without a response for so long after its wait is sent a second time.
    Duration timeout_{3'000'000}; ///< A read without a response for so long after its wait is abandoned.
    Duration refreshTimeout_{250'000}; ///< Limit on refresh().
    /**
     * \brief Sends the second read after twice the last response time, or after timeout_ for a page of newest records.
     *
     * For streams whose reads return much data.
     */
    bool adaptsHedgeDelay_ = false;
};

/**
 * \brief Follows one partition: first the newest record of each key, then every record as it is appended.
 *
 * If the store has trimmed records that were not read yet, the newest records are read again. Reading never returns to
 * an older offset, and the offsets reported for a key only increase.
 *
 * If a page of the newest records fails, only that page is read again. Overdue reads are hedged: the overdue read stays
 * open beside a second one, and the first response counts. A slow store answers the older read, and the newer one
 * replaces a response that was lost.
 */
class StreamTail
{
public:
    StreamTail(StreamTailHooks hooks, StreamTailSettings settings);
    ~StreamTail();

    void start();
    /** \brief Reads immediately instead of after the pause. */
    void readNow();
    /**
     * \brief Reads what was appended before this call, without waiting for the read in progress.
     * \param done called once, with false if the store did not answer in time
     */
    void refresh(std::function<void(bool isCurrent)> done);
    /** \brief True while the newest records are read, which are not reported in the order of their offsets. */
    bool isReadingSnapshot() const;
    /** \brief Offset up to which all records have been reported. */
    std::uint64_t position() const;
    /** \brief True once the newest record of each key has been read. */
    bool isComplete() const;
    /** \brief All records appended before this time have been reported. */
    Time currentAsOf() const;
    bool isReachable() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
