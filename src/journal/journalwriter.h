#ifndef FILBERTGW_JOURNAL_JOURNALWRITER_H
#define FILBERTGW_JOURNAL_JOURNALWRITER_H

#include "journal/logtypes.h"
#include "journal/record.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace filbertgw {

/** \brief Limits and retry delays of a JournalWriter. */
struct JournalWriterSettings
{
    std::string stream_ = "journal";
    std::size_t maxBacklogBytes_ = 8U << 20U; ///< Limit for hasRoom(): bytes of records that are not yet durable.
    std::size_t maxBatchRecords_ = 512; ///< Maximum number of records in one append.
    std::size_t maxBatchBytes_ = 1U << 20U; ///< A single record may exceed it and is then appended alone.
    Duration minRetryDelay_ = std::chrono::milliseconds(100); ///< Doubles with each failure up to maxRetryDelay_.
    Duration maxRetryDelay_ = std::chrono::seconds(2);
    bool readBack_ = true; ///< Turned off only to verify that the invariant checkers detect the fault.
};

/**
 * \brief Clock and log access of a JournalWriter.
 *
 * The append hook may be implemented by an appender that combines batches of several nodes: it accepts a batch and
 * reports it as durable at an offset, rejected, or unknown. A batch that is appended twice has no further effect, since
 * readers discard records with a known id.
 */
struct JournalWriterHooks
{
    Clock now_;
    LogAccess log_;
};

/**
 * \brief Appends records in order, one append at a time; records that are queued meanwhile form the next batch.
 *
 * A record is never dropped: its append is retried until the record is known to be in the log. After an append with an
 * unknown outcome the writer reads the log from the last known offset and appends only the records that it doesn't
 * find.
 */
class JournalWriter
{
public:
    using DurableCallback = std::function<void(Offset offset)>;

    JournalWriter(JournalWriterSettings settings, JournalWriterHooks hooks);
    ~JournalWriter();

    /** \brief Queues a record; `durable` is called with its offset once it is in the log, and may be empty. */
    void append(const Record &record, DurableCallback durable);
    /** \brief True if a record of this size still fits in the backlog. */
    bool hasRoom(std::size_t bytes) const;
    /** \brief Retries a failed append or read when its delay has passed. Call at least every 100 ms. */
    void tick();
    /** \brief Reports that the log was read up to this offset; records that are queued later get higher offsets. */
    void onReadUpTo(Offset offset);

    std::size_t backlogBytes() const;
    std::size_t backlogRecords() const;
    /** \brief Number of appends sent so far, retries included. */
    std::uint64_t appends() const;
    /** \brief False after a failure, until an append succeeds or a read-back finds the batch in the log. */
    bool isUp() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
