#ifndef FILBERTGW_BENCH_FAKES_FAKESTORE_H
#define FILBERTGW_BENCH_FAKES_FAKESTORE_H

#include "fakes/eventqueue.h"
#include "store/recordstore.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw::bench {

/** \brief A record store in virtual time, with outages for some or all callers, lost answers and trimming. */
class FakeStore
{
public:
    explicit FakeStore(EventQueue &queue);

    /** \brief The store as one node sees it. */
    RecordStore access(const std::string &node);

    /** \brief Appends from outside, at once. */
    void put(const PartitionId &to, const std::string &key, const std::optional<std::string> &value);
    /** \brief Deletes all records that are not the newest of their key; readers behind the end are told so. */
    void trim();
    std::size_t appends() const;

    bool down_ = false; ///< For everybody; calls get no answer until their time-out.
    std::map<std::string, bool> refuses_; ///< Nodes that are turned away at once.
    std::uint64_t loseAnswers_ = 0; ///< So many of the next appends take effect without an answer.
    Duration latency_{4'000};
    Duration timeout_{700'000};

private:
    struct Partition
    {
        std::vector<KeyedRecord> records_; ///< Index is the offset.
        std::uint64_t first_ = 0;
        std::map<std::string, KeyedRecord> newest_;
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> writers_; ///< Epoch and last sequence number.
        std::vector<std::function<void()>> waiting_; ///< Reads that wait for a record.
    };

    Partition &partition(const PartitionId &id);
    StoreAppended append(const StoreAppend &append);
    void read(const std::string &node, const StoreRead &read, std::function<void(const StorePage &)> done, Time until);
    bool isReachable(const std::string &node) const;

    EventQueue &queue_;
    std::map<std::string, Partition> partitions_;
    std::size_t appends_ = 0;
};

} // namespace filbertgw::bench

#endif
