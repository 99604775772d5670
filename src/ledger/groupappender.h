#ifndef FILBERTGW_LEDGER_GROUPAPPENDER_H
#define FILBERTGW_LEDGER_GROUPAPPENDER_H

#include "store/recordstore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief What a GroupAppender needs and whom it tells. */
struct GroupAppenderHooks
{
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void()> onDurable_;
    /** \brief Called again and again while a group takes longer than slowAfter_. */
    std::function<void()> onSlow_;
};

struct GroupAppenderSettings
{
    std::string writer_;
    PartitionId partition_;
    Duration slowAfter_{250'000};
    Duration retry_{100'000};
};

/**
 * \brief Appends groups of records, one group at a time, each exactly once.
 *
 * Groups are numbered. One whose answer was lost is sent again under the same number, which the store accepts once.
 */
class GroupAppender
{
public:
    GroupAppender(GroupAppenderHooks hooks, GroupAppenderSettings settings);
    ~GroupAppender();

    bool isBusy() const;
    /** \brief Number of the next group. */
    std::uint64_t nextNumber() const;
    /** \brief Appends a group; none may be under way. */
    void append(std::vector<KeyedRecord> records);

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
