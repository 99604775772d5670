#ifndef FILBERTGW_BENCH_FAKES_FAKESTORE_H
#define FILBERTGW_BENCH_FAKES_FAKESTORE_H

#include "fakes/eventqueue.h"
#include "store/recordstore.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw::bench {

/** \brief What a store can do; 0 stands for no limit. */
struct FakeStoreLimits
{
    double readBytesPerSecond_ = 0.0; ///< Of all answers together; they queue up.
    std::uint64_t readsPerSecond_ = 0; ///< More are rejected.
    std::uint64_t appendsPerSecond_ = 0; ///< More are rejected.
    Duration appendTime_{0}; ///< Of one append; those to one partition queue up.
    Duration longestQueue_{2'000'000}; ///< Calls that would wait for longer are rejected.
    std::size_t pageRecords_ = 3; ///< Of a page of the newest records. Small, so that tests meet several pages.
    std::size_t pageBytes_ = 1024 * 1024; ///< Of such a page.
};

/** \brief A record store in virtual time, with outages for some or all callers, lost answers, trimming and limits. */
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
    /** \brief From now on the newest records are read as they are now, until false is set. Reads by offset are not. */
    void freezeNewest(bool frozen);
    std::size_t appends() const;
    /** \brief Keys that have a value, in all streams whose names begin so. */
    std::size_t keys(const std::string &streams) const;
    /** \brief Bytes of all answers to reads. */
    std::uint64_t bytesRead() const;
    /** \brief Calls that were rejected or not answered in time for want of capacity. */
    std::uint64_t overloadedCalls() const;

    FakeStoreLimits limits_;
    bool down_ = false; ///< For everybody; calls get no answer until their time-out.
    std::map<std::string, bool> refuses_; ///< Nodes that are turned away at once.
    std::uint64_t loseAnswers_ = 0; ///< So many of the next appends take effect without an answer.
    Duration latency_{4'000};

private:
    struct Partition
    {
        std::vector<KeyedRecord> records_; ///< Index is the offset.
        std::uint64_t first_ = 0;
        std::map<std::string, KeyedRecord> newest_;
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> writers_; ///< Epoch and last sequence number.
        std::vector<std::function<void()>> waiting_; ///< Reads that wait for a record.
        Time appendsUntil_{0}; ///< When the appends that are queued are done.
    };
    /** \brief Calls of one kind in the second that runs. */
    struct Rate
    {
        Time second_{0};
        std::uint64_t calls_ = 0;
    };

    Partition &partition(const PartitionId &id);
    StoreAppendResult append(const StoreAppend &append);
    void read(const std::string &node, const StoreRead &read, std::function<void(const StorePage &)> done, Time until);
    bool isReachable(const std::string &node) const;
    StorePage newestPage(const PartitionId &id, const std::string &after);
    bool exceeds(Rate &rate, std::uint64_t most);
    /** \brief Sends a page as fast as the limits allow; a caller that waits for longer than \p timeout gets none. */
    void sendPage(StorePage page, Duration timeout, const std::function<void(const StorePage &)> &done);
    /** \brief Time until an append to a partition is done. \return nothing if the queue is too long. */
    std::optional<Duration> appendTime(Partition &to);

    EventQueue &queue_;
    std::map<std::string, Partition> partitions_;
    std::map<std::string, Partition> frozen_; ///< By partition; what the newest records are read from, unless empty.
    std::size_t appends_ = 0;
    Time sendingUntil_{0}; ///< When the answers that are queued have been sent.
    Rate reads_;
    Rate writes_;
    std::uint64_t bytesRead_ = 0;
    std::uint64_t overloadedCalls_ = 0;
};

} // namespace filbertgw::bench

#endif
