#ifndef FILBERTGW_LEDGER_RETAINEDTURN_H
#define FILBERTGW_LEDGER_RETAINEDTURN_H

#include "core/time.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief A finished turn that later turns can continue, as held in the record store and in the memory of nodes. */
struct RetainedTurn
{
    std::vector<std::string> ancestors_; ///< Ids of the preceding turns, oldest first.
    /**
     * Text that the turn adds to the prompt of the next one: its input, then its output. Starts with the texts of
     * preceding turns that were merged into the record and are not listed as ancestors.
     */
    std::string text_;
    Duration retention_{0}; ///< How long the turn is kept after its end.
    /** By the time of day of the node that wrote the record, in whole milliseconds; 0 in records of former versions. */
    Time storedAt_{0};

    /** A day; longer retentions are clamped. */
    static constexpr std::uint64_t maxRetentionMs = 86'400'000;
    /** The year 2286; later times are clamped. */
    static constexpr std::uint64_t maxTimeMs = 9'999'999'999'999;

    /** \brief Approximate size in memory, in bytes. */
    std::size_t bytes() const;
    nlohmann::json toJson() const;
    /** \return nothing if a field is missing or has the wrong type. */
    static std::optional<RetainedTurn> fromJson(const nlohmann::json &json);
    /** \brief Encodes the turn as the value of its record. */
    std::string encode() const;
    static std::optional<RetainedTurn> decode(const std::string &value);
};

/** \brief Shared by the caches of a node, which never modify it. */
using RetainedTurnPointer = std::shared_ptr<const RetainedTurn>;

} // namespace filbertgw

#endif
