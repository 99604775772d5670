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

/** \brief A turn that later turns go on from, as the record store and the memories of nodes keep it. */
struct RetainedTurn
{
    std::vector<std::string> ancestors_; ///< Ids of the turns before it, the oldest first.
    /** What the turn adds to the prompt of the next one: its input, then its output. Begins with those of turns before
     * that are not among its ancestors. */
    std::string text_;
    Duration retention_{0}; ///< How long it is kept after its end.

    /** A day: no longer retention is believed. */
    static constexpr std::uint64_t maxRetentionMs = 86'400'000;

    /** \brief Approximate size in memory, in bytes. */
    std::size_t bytes() const;
    nlohmann::json toJson() const;
    static std::optional<RetainedTurn> fromJson(const nlohmann::json &json);
    /** \brief Value of its record. */
    std::string encode() const;
    static std::optional<RetainedTurn> decode(const std::string &value);
};

/** \brief Shared by the memories of a node, which never change it. */
using RetainedTurnPointer = std::shared_ptr<const RetainedTurn>;

} // namespace filbertgw

#endif
