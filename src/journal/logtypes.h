#ifndef FILBERTGW_JOURNAL_LOGTYPES_H
#define FILBERTGW_JOURNAL_LOGTYPES_H

#include "core/ids.h"
#include "core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief One entry of a log stream as it was read; its record is not parsed yet. */
struct LogEntry
{
    Offset offset_ = 0;
    Time time_{0}; ///< When the log accepted the entry, by the log's clock.
    nlohmann::json body_; ///< The record as a JSON object, unknown fields included.
};

/** \brief Result of one read of a stream. */
struct LogPage
{
    Offset firstOffset_ = 0; ///< Oldest offset that the log still stores.
    Offset nextOffset_ = 1; ///< Where the next read continues.
    std::vector<LogEntry> entries_; ///< In offset order, without gaps.
};

/** \brief What is known about an append once the log client has finished it. */
enum class AppendStatus : std::uint8_t {
    Durable, ///< The log stored the entries; firstOffset_ is set.
    Rejected, ///< The log did not store the entries: it never received them, or reported an error.
    Unknown, ///< The response was lost; the entries may or may not be in the log.
};

/** \brief Outcome of one append of one or more entries. */
struct AppendResult
{
    AppendStatus status_ = AppendStatus::Unknown;
    Offset firstOffset_ = 0; ///< Offset of the first entry; the others follow without gaps.
};

/**
 * \brief Access to the log as hooks; implemented over HTTP by `serve` and in memory by tests and benches.
 *
 * Both calls return at once; `done` is called later, exactly once, on the decision loop.
 */
struct LogAccess
{
    using AppendDone = std::function<void(const AppendResult &)>;
    using ReadDone = std::function<void(bool reached, const LogPage &)>;

    std::function<void(const std::string &stream, std::vector<nlohmann::json> entries, AppendDone done)> append_;
    std::function<void(const std::string &stream, Offset from, Duration wait, ReadDone done)> read_;
};

} // namespace filbertgw

#endif
