#ifndef FILBERTGW_STORE_RECORDSTORE_H
#define FILBERTGW_STORE_RECORDSTORE_H

#include "core/nametable.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief How a call to the record store ended. */
enum class StoreStatus : std::uint8_t {
    Ok,
    Rejected, ///< The call had no effect and can be retried later.
    Fenced, ///< No effect: the writer's sequence number or epoch is not the expected one.
    Trimmed, ///< The requested records have been deleted.
    Unknown, ///< No response; the call may have taken effect, or may still do so.
};

template<>
struct NameTable<StoreStatus>
{
    static constexpr std::array<std::pair<StoreStatus, std::string_view>, 5> entries{{
        {StoreStatus::Ok, "ok"},
        {StoreStatus::Rejected, "rejected"},
        {StoreStatus::Fenced, "fenced"},
        {StoreStatus::Trimmed, "trimmed"},
        {StoreStatus::Unknown, "unknown"},
    }};
};

/** \brief Identifies a partition of a stream of keyed records. */
struct PartitionId
{
    std::string stream_;
    std::uint32_t partition_ = 0;
};

/**
 * \brief A record with a key.
 *
 * The store keeps the newest record of each key indefinitely and older records for a limited time.
 */
struct KeyedRecord
{
    std::string key_; ///< At most 255 bytes.
    std::optional<std::string> value_; ///< Empty if the record deletes the key.
    std::uint64_t offset_ = 0; ///< Position in the partition; set by the store.
};

/** \brief Identifies an append of a writer: a repeated append takes effect only once, an outdated one not at all. */
struct WriterSequence
{
    std::string writer_;
    std::uint64_t epoch_ = 1;
    std::uint64_t sequence_ = 0;
};

/** \brief Appends records to one partition atomically. */
struct StoreAppend
{
    PartitionId to_;
    std::vector<KeyedRecord> records_;
    std::optional<WriterSequence> sequence_;
    Duration timeout_{1'000'000};
};

/** \brief Result of an append. */
struct StoreAppendResult
{
    StoreStatus status_ = StoreStatus::Unknown;
    std::uint64_t end_ = 0; ///< Offset after the last record appended, if Ok.
    std::uint64_t expectedSequence_ = 0; ///< Sequence number that the store expects, if Fenced and known.
};

/** \brief Reads records from an offset on, as a long poll if there are none yet. */
struct StoreRead
{
    PartitionId from_;
    std::uint64_t offset_ = 0;
    Duration wait_{0}; ///< Longest time that the store holds the call until a record is available.
    Duration timeout_{700'000}; ///< For the response, counted from the end of the wait.
};

/** \brief Reads a page of the newest records of all keys, in key order. */
struct StoreNewest
{
    PartitionId from_;
    std::string after_; ///< The page starts after this key; empty for the first page.
    Duration timeout_{700'000}; ///< For the response.
};

/** \brief Result of a read, or one page of the newest records. */
struct StorePage
{
    StoreStatus status_ = StoreStatus::Unknown;
    std::vector<KeyedRecord> records_;
    std::uint64_t end_ = 0; ///< Offset after the last record of the partition.
    bool more_ = false; ///< For the newest records: another page follows.
};

/** \brief Access to the record store, a partitioned log of keyed records. Callbacks run only after the call returns. */
struct RecordStore
{
    std::function<void(StoreAppend, std::function<void(const StoreAppendResult &)>)> append_;
    std::function<void(StoreRead, std::function<void(const StorePage &)>)> read_;
    /** \brief The pages together are not a consistent snapshot. */
    std::function<void(StoreNewest, std::function<void(const StorePage &)>)> newest_;
};

} // namespace filbertgw

#endif
