#include "store/storeusage.h"

#include "core/numbers.h"

#include <algorithm>

namespace filbertgw {

std::string StoreUsage::familyOf(const std::string &stream)
{
    return stream.substr(0, stream.find_last_not_of("-0123456789") + 1);
}

void StoreUsage::add(const StoreCall &call)
{
    Sums &sums = sums_[{call.kind_, familyOf(call.stream_)}];
    ++sums.calls_;
    sums.failed_ += call.status_ == StoreStatus::Ok ? 0 : 1;
    sums.bytes_ += call.bytes_;
    sums.longest_ = std::max(sums.longest_, call.time_ - std::min(call.time_, call.wait_));
}

std::vector<nlohmann::json> StoreUsage::take()
{
    std::vector<nlohmann::json> result;
    for (const std::pair<const std::pair<std::string, std::string>, Sums> &entry : sums_) {
        result.push_back({{"call", entry.first.first},
                          {"stream", entry.first.second},
                          {"calls", entry.second.calls_},
                          {"failed", entry.second.failed_},
                          {"bytes", entry.second.bytes_},
                          {"longest_ms", toMilliseconds(entry.second.longest_)}});
    }
    sums_.clear();
    return result;
}

} // namespace filbertgw
