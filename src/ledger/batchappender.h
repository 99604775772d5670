#ifndef FILBERTGW_LEDGER_BATCHAPPENDER_H
#define FILBERTGW_LEDGER_BATCHAPPENDER_H

#include "store/recordstore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Dependencies and callbacks of a BatchAppender. */
struct BatchAppenderHooks
{
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void()> onDurable_; ///< Called when the batch has been appended.
    std::function<void()> onSlow_; ///< Called each time another slowThreshold_ passes without a result.
};

struct BatchAppenderSettings
{
    std::string writer_;
    PartitionId partition_;
    Duration slowThreshold_{250'000};
    Duration retryDelay_{100'000};
};

/**
 * \brief Appends batches of records, one at a time and each exactly once.
 *
 * Batches are numbered. A batch whose response was lost is sent again with the same number, which the store accepts
 * only once.
 */
class BatchAppender
{
public:
    BatchAppender(BatchAppenderHooks hooks, BatchAppenderSettings settings);
    ~BatchAppender();

    bool isBusy() const;
    /** \brief Number of the next batch. */
    std::uint64_t nextBatch() const;
    /** \brief Appends a batch. \pre isBusy() is false. */
    void append(std::vector<KeyedRecord> records);

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
