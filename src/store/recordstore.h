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
    Rejected, ///< Nothing was done; the same call may be sent again later.
    Fenced, ///< Nothing was done: the writer's sequence number or epoch is not the expected one.
    Trimmed, ///< The records that were asked for have been deleted.
    Unknown, ///< No answer; the call may have taken effect, or may still do so.
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

/** \brief One partition of a stream of keyed records. */
struct PartitionId
{
    std::string stream_;
    std::uint32_t partition_ = 0;
};

/** \brief A record; the newest one of each key is kept for good, older ones for a limited time. */
struct KeyedRecord
{
    std::string key_; ///< At most 255 bytes.
    std::optional<std::string> value_; ///< Nothing deletes the key.
    std::uint64_t offset_ = 0; ///< Set in what the store returns.
};

/** \brief Identifies an append of one writer, so that a repeated one takes effect once and a late one not at all. */
struct WriterSequence
{
    std::string writer_;
    std::uint64_t epoch_ = 1;
    std::uint64_t sequence_ = 0;
};

/** \brief Records that are appended to one partition, all or none. */
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
    std::uint64_t end_ = 0; ///< Offset after the last record, if Ok.
    std::uint64_t expectedSequence_ = 0; ///< If Fenced and known.
};

/** \brief Reads records by offset, waiting until one is available. */
struct StoreRead
{
    PartitionId from_;
    std::uint64_t offset_ = 0;
    Duration wait_{0};
    Duration timeout_{700'000}; ///< For the answer, counted from the end of the wait.
};

/** \brief Reads a page of the newest record of each key, in order of keys. */
struct StoreNewest
{
    PartitionId from_;
    std::string after_; ///< The page begins behind this key.
    Duration timeout_{700'000}; ///< For the answer.
};

/** \brief Result of a read; also of one page of the newest records. */
struct StorePage
{
    StoreStatus status_ = StoreStatus::Unknown;
    std::vector<KeyedRecord> records_;
    std::uint64_t end_ = 0; ///< Offset after the last record of the partition.
    bool more_ = false; ///< Newest records only: there is another page.
};

/** \brief Access to the record store: a partitioned log with keyed records. Hooks are never called from within. */
struct RecordStore
{
    std::function<void(StoreAppend, std::function<void(const StoreAppendResult &)>)> append_;
    std::function<void(StoreRead, std::function<void(const StorePage &)>)> read_;
    /** \brief Pages are no snapshot. */
    std::function<void(StoreNewest, std::function<void(const StorePage &)>)> newest_;
};

} // namespace filbertgw

#endif
