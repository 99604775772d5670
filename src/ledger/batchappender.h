#ifndef FILBERTGW_LEDGER_BATCHAPPENDER_H
#define FILBERTGW_LEDGER_BATCHAPPENDER_H

#include "store/recordstore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief What a BatchAppender needs and whom it tells. */
struct BatchAppenderHooks
{
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void()> onDurable_;
    /** \brief Called again and again while a group takes longer than slowThreshold_. */
    std::function<void()> onSlow_;
};

struct BatchAppenderSettings
{
    std::string writer_;
    PartitionId partition_;
    Duration slowThreshold_{250'000};
    Duration retryDelay_{100'000};
};

/**
 * \brief Appends groups of records, one group at a time, each exactly once.
 *
 * Groups are numbered. One whose answer was lost is sent again under the same number, which the store accepts once.
 */
class BatchAppender
{
public:
    BatchAppender(BatchAppenderHooks hooks, BatchAppenderSettings settings);
    ~BatchAppender();

    bool isBusy() const;
    /** \brief Number of the next group. */
    std::uint64_t nextBatch() const;
    /** \brief Appends a group; none may be under way. */
    void append(std::vector<KeyedRecord> records);

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
