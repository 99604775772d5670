#include "journal/recordidset.h"

namespace filbertgw::internal {

namespace {

constexpr std::size_t maxOtherIds = 10'000;
/** \brief Most digits, the mark included, of a number that surely fits into 64 bits. */
constexpr std::size_t maxNumberBytes = 19;

/** \brief True if the text is digits only after the mark at this position. */
bool hasNumberAfter(const std::string &text, std::size_t mark)
{
    return mark + 1 < text.size() && text.size() - mark <= maxNumberBytes
        && text.find_first_not_of("0123456789", mark + 1) == std::string::npos;
}

} // namespace

bool RecordIdSet::insert(const RecordId &id)
{
    const std::string &text = id.value();
    const std::size_t mark = text.rfind('#');
    if (mark != std::string::npos && hasNumberAfter(text, mark)) {
        return insertNumber(text.substr(0, mark), std::stoull(text.substr(mark + 1)));
    }
    return insertOther(id);
}

bool RecordIdSet::insertNumber(const std::string &writer, std::uint64_t number)
{
    // A writer appends its records in order, so that its highest number stands for all of them.
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
