#ifndef FILBERTGW_JOURNAL_RECORDIDSET_H
#define FILBERTGW_JOURNAL_RECORDIDSET_H

#include "core/ids.h"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>

namespace filbertgw::internal {

/**
 * \brief Ids of the records read so far, for detecting records that were appended twice.
 *
 * Memory is bounded: one number for each writer, and a limited count of ids of another form.
 */
class RecordIdSet
{
public:
    /** \brief Adds an id. \return false if it was known. */
    bool insert(const RecordId &id);

private:
    bool insertNumber(const std::string &writer, std::uint64_t number);
    bool insertOther(const RecordId &id);

    std::unordered_map<std::string, std::uint64_t> lastNumbers_; ///< Highest record number of each writer.
    std::set<RecordId> others_; ///< Ids that are not of the form writer#number.
    std::deque<RecordId> otherOrder_; ///< The ids in others_, oldest first.
};

} // namespace filbertgw::internal

#endif
