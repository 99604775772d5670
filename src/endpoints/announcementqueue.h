#ifndef FILBERTGW_ENDPOINTS_ANNOUNCEMENTQUEUE_H
#define FILBERTGW_ENDPOINTS_ANNOUNCEMENTQUEUE_H

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Keys of changes to tell other nodes of, each in several reports because datagrams can be lost. */
class AnnouncementQueue
{
public:
    explicit AnnouncementQueue(std::size_t reports)
        : reports_(reports)
    {
    }

    /** \brief Announces a change in the next reports; one that is queued already is announced as often as a new one.
     */
    void add(const std::string &key)
    {
        const auto isSame = [&key](const Entry &entry) { return entry.key_ == key; };
        const auto queued = std::find_if(entries_.begin(), entries_.end(), isSame);
        if (queued != entries_.end()) {
            queued->left_ = reports_;
        } else {
            entries_.push_back(Entry{key, reports_});
        }
    }

    /** \brief Returns the keys for the next report, \p limit at most. */
    std::vector<std::string> take(std::size_t limit)
    {
        std::vector<std::string> keys;
        const std::size_t count = std::min(entries_.size(), limit);
        for (std::size_t i = 0; i < count; ++i) {
            Entry next = std::move(entries_.front());
            entries_.pop_front();
            keys.push_back(next.key_);
            if (--next.left_ > 0) {
                entries_.push_back(std::move(next));
            }
        }
        return keys;
    }

private:
    struct Entry
    {
        std::string key_;
        std::size_t left_ = 0; ///< Reports.
    };

    std::size_t reports_;
    std::deque<Entry> entries_;
};

} // namespace filbertgw

#endif
