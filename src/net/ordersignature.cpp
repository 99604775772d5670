#include "net/ordersignature.h"

#include "core/digest.h"

#include <charconv>
#include <string_view>

namespace filbertgw {

namespace internal {

std::string orderMac(const std::string &key, std::int64_t timeMs, const std::string &target, const std::string &body)
{
    // The target holds no line end (it was part of a request line), so that the parts can't be shifted.
    return hmacSha256(key, "filbertgw-order-1\n" + std::to_string(timeMs) + "\n" + target + "\n" + body);
}

} // namespace internal

std::string signOrder(const std::string &key, Time now, const std::string &target, const std::string &body)
{
    const std::int64_t timeMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return "t=" + std::to_string(timeMs) + ",mac=" + internal::orderMac(key, timeMs, target, body);
}

bool isOrderSigned(const std::vector<std::string> &keys,
                   const std::string &value,
                   Time now,
                   const std::string &target,
                   const std::string &body)
{
    constexpr std::string_view timeMark = "t=";
    constexpr std::string_view macMark = ",mac=";
    const std::size_t mac = value.find(macMark);
    if (value.compare(0, timeMark.size(), timeMark) != 0 || mac == std::string::npos) {
        return false;
    }
    std::int64_t timeMs = 0;
    const char *end = value.data() + mac;
    const std::from_chars_result parsed = std::from_chars(value.data() + timeMark.size(), end, timeMs);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return false;
    }
    const std::int64_t nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::int64_t tolerance = std::chrono::duration_cast<std::chrono::milliseconds>(orderClockTolerance).count();
    if (timeMs < nowMs - tolerance || timeMs > nowMs + tolerance) {
        return false;
    }
    const std::string given = value.substr(mac + macMark.size());
    bool matches = false;
    for (const std::string &key : keys) {
        matches = equalConstantTime(given, internal::orderMac(key, timeMs, target, body)) || matches;
    }
    return matches;
}

} // namespace filbertgw
