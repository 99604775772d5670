#ifndef FILBERTGW_JOURNAL_JOURNALWRITER_H
#define FILBERTGW_JOURNAL_JOURNALWRITER_H

#include "journal/logtypes.h"
#include "journal/record.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace filbertgw {

/** \brief Limits and times of a JournalWriter. */
struct JournalWriterSettings
{
    std::string stream_ = "journal";
    std::size_t maxBacklogBytes_ = 8U << 20U; ///< Most bytes of records that are not yet durable.
    std::size_t maxBatchRecords_ = 512; ///< Most records of one append.
    std::size_t maxBatchBytes_ = 1U << 20U; ///< A group that is larger holds one record.
    Duration minRetryDelay_ = std::chrono::milliseconds(100); ///< Doubles with each failure.
    Duration maxRetryDelay_ = std::chrono::seconds(2);
    bool readBack_ = true; ///< Off only to show that the checkers notice.
};

/**
 * \brief What a JournalWriter needs from outside.
 *
 * The log's append hook is also where an appender fits that joins the groups of several nodes: it takes a group and
 * ends as durable at an offset, rejected, or unknown. Record ids make a group that was appended twice harmless.
 */
struct JournalWriterHooks
{
    Clock now_;
    LogAccess log_;
};

/**
 * \brief Appends records in order, one append at a time; records that arrive meanwhile form the next group.
 *
 * A record is never dropped: it is appended again until it is known to be in the log. After an append of unknown
 * outcome the writer reads the log back from the last known offset and appends again only what it doesn't find.
 */
class JournalWriter
{
public:
    using Durable = std::function<void(Offset offset)>;

    JournalWriter(JournalWriterSettings settings, JournalWriterHooks hooks);
    ~JournalWriter();

    /** \brief Queues a record. `durable` may be empty. */
    void append(const Record &record, Durable durable);
    /** \brief True if a record of this size still fits in the backlog. */
    bool hasRoom(std::size_t bytes) const;
    /** \brief Sends again what failed before. Call at least every 100 ms. */
    void tick();
    /** \brief The log has been read up to here; a record that is queued later lies behind it. */
    void onReadUpTo(Offset offset);

    std::size_t backlogBytes() const;
    std::size_t backlogRecords() const;
    /** \brief Appends sent so far, repetitions included. */
    std::uint64_t appends() const;
    /** \brief False after a failure, until an append or a read-back succeeds. */
    bool isUp() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
