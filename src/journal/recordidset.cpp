#include "journal/recordidset.h"

namespace filbertgw::internal {

namespace {

constexpr std::size_t maxOtherIds = 10'000;
/** \brief Maximum length of separator and digits; 18 digits always fit into 64 bits. */
constexpr std::size_t maxNumberBytes = 19;

/** \brief True if the separator at this position is followed by digits only, and by at least one. */
bool hasNumberAfter(const std::string &text, std::size_t separator)
{
    return separator + 1 < text.size() && text.size() - separator <= maxNumberBytes
        && text.find_first_not_of("0123456789", separator + 1) == std::string::npos;
}

} // namespace

bool RecordIdSet::insert(const RecordId &id)
{
    const std::string &text = id.value();
    const std::size_t separator = text.rfind('#');
    if (separator != std::string::npos && hasNumberAfter(text, separator)) {
        return insertNumber(text.substr(0, separator), std::stoull(text.substr(separator + 1)));
    }
    return insertOther(id);
}

bool RecordIdSet::insertNumber(const std::string &writer, std::uint64_t number)
{
    // A writer appends its records in order, so that all its numbers up to the highest one are known.
    std::uint64_t &last = lastNumbers_[writer];
    if (number <= last) {
        return false;
    }
    last = number;
    return true;
}

bool RecordIdSet::insertOther(const RecordId &id)
{
    if (!others_.insert(id).second) {
        return false;
    }
    otherOrder_.push_back(id);
    if (otherOrder_.size() > maxOtherIds) {
        others_.erase(otherOrder_.front());
        otherOrder_.pop_front();
    }
    return true;
}

} // namespace filbertgw::internal
