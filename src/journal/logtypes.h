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

/** \brief One entry of a log stream, as read: its record is not yet interpreted. */
struct LogEntry
{
    Offset offset_ = 0;
    Time time_{0}; ///< When the log took it, by the log's clock.
    nlohmann::json body_; ///< The record as JSON object; unknown fields included.
};

/** \brief One answer to a read of a stream. */
struct LogPage
{
    Offset firstOffset_ = 0; ///< Oldest offset that the log still keeps.
    Offset nextOffset_ = 1; ///< Where the next read goes on.
    std::vector<LogEntry> entries_; ///< In offset order, without gaps.
};

/** \brief What is known of an append once the log client is done with it. */
enum class AppendStatus : std::uint8_t {
    Durable, ///< The log took it; firstOffset_ is set.
    Rejected, ///< The log did not take it: it never received it, or said so.
    Unknown, ///< The answer was lost; the entries may or may not be in the log.
};

/** \brief Outcome of one append of several entries. */
struct AppendResult
{
    AppendStatus status_ = AppendStatus::Unknown;
    Offset firstOffset_ = 0; ///< Offset of the first entry; the others follow without gaps.
};

/**
 * \brief Access to the log as hooks; implemented over HTTP by `serve` and in memory by tests and benches.
 *
 * Both calls return at once; the done hook is called later from the decision loop, exactly once.
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
