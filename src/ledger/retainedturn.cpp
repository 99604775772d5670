#include "ledger/retainedturn.h"

#include "core/cbor.h"

#include <algorithm>
#include <cstdint>

namespace filbertgw {

std::size_t RetainedTurn::bytes() const
{
    constexpr std::size_t fixedBytes = 128; // The object, its key and their map entries.
    std::size_t bytes = fixedBytes + text_.size();
    for (const std::string &ancestor : ancestors_) {
        bytes += sizeof(std::string) + ancestor.size();
    }
    return bytes;
}

nlohmann::json RetainedTurn::toJson() const
{
    const std::uint64_t retentionMs = static_cast<std::uint64_t>(retention_.count()) / 1'000;
    nlohmann::json json = {{"ancestors", ancestors_},
                           {"keep_ms", retentionMs},
                           {"text", nlohmann::json::binary({text_.begin(), text_.end()})}};
    if (storedAt_ > Time{0}) {
        json["stored_ms"] = static_cast<std::uint64_t>(storedAt_.count()) / 1'000;
    }
    return json;
}

std::optional<RetainedTurn> RetainedTurn::fromJson(const nlohmann::json &json)
{
    const bool isTurn = json.is_object() && json.contains("ancestors") && json["ancestors"].is_array()
        && json.contains("keep_ms") && json["keep_ms"].is_number_unsigned() && json.contains("text")
        && json["text"].is_binary();
    if (!isTurn) {
        return std::nullopt;
    }
    RetainedTurn turn;
    for (const nlohmann::json &ancestor : json["ancestors"]) {
        if (!ancestor.is_string()) {
            return std::nullopt;
        }
        turn.ancestors_.push_back(ancestor.get<std::string>());
    }
    const std::uint64_t retentionMs = json["keep_ms"].get<std::uint64_t>();
    turn.retention_ = std::chrono::milliseconds(std::min(retentionMs, maxRetentionMs));
    if (json.contains("stored_ms") && json["stored_ms"].is_number_unsigned()) {
        turn.storedAt_ = std::chrono::milliseconds(std::min(json["stored_ms"].get<std::uint64_t>(), maxTimeMs));
    }
    const nlohmann::json::binary_t &text = json["text"].get_binary();
    turn.text_.assign(text.begin(), text.end());
    return turn;
}

std::string RetainedTurn::encode() const
{
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(toJson());
    return {bytes.begin(), bytes.end()};
}

std::optional<RetainedTurn> RetainedTurn::decode(const std::string &value)
{
    return fromJson(decodeCbor(value));
}

} // namespace filbertgw
