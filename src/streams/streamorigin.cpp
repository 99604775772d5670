#include "streams/streamorigin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>

namespace filbertgw {

namespace internal {
namespace {

constexpr std::uint64_t maxTimeLeftMs = 3'600'000;

/** An entry is [attempt, service, version, time left in milliseconds]. */
bool isNotice(const nlohmann::json &entry)
{
    constexpr std::size_t fields = 4;
    return entry.is_array() && entry.size() == fields && entry[0].is_string() && entry[1].is_string()
        && entry[2].is_string() && entry[3].is_number_unsigned();
}

} // namespace
} // namespace internal

nlohmann::json encodeOrigins(const std::vector<StreamOriginNotice> &origins)
{
    nlohmann::json list = nlohmann::json::array();
    for (const StreamOriginNotice &notice : origins) {
        const auto leftMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, notice.timeLeft_.count())) / 1'000;
        list.push_back({notice.attempt_, notice.origin_.service_, notice.origin_.version_, leftMs});
    }
    return list;
}

std::vector<StreamOriginNotice> decodeOrigins(const nlohmann::json &list)
{
    std::vector<StreamOriginNotice> origins;
    if (!list.is_array()) {
        return origins;
    }
    for (const nlohmann::json &entry : list) {
        if (!internal::isNotice(entry)) {
            continue;
        }
        StreamOriginNotice notice;
        notice.attempt_ = entry[0].get<std::string>();
        notice.origin_ = StreamOrigin{entry[1].get<std::string>(), entry[2].get<std::string>()};
        const std::uint64_t leftMs = std::min(entry[3].get<std::uint64_t>(), internal::maxTimeLeftMs);
        notice.timeLeft_ = std::chrono::milliseconds(leftMs);
        origins.push_back(std::move(notice));
    }
    return origins;
}

} // namespace filbertgw
