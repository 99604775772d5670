#include "endpoints/answeredtargets.h"

#include "routing/requestfingerprint.h"

namespace filbertgw {

namespace internal {
namespace {

constexpr Duration answerMemory{60'000'000};
constexpr std::size_t maxTargets = 4096;
/** An answer is noted again only after this time, so that a busy target has few entries. */
constexpr Duration refreshTime{10'000'000};

} // namespace
} // namespace internal

AnsweredTargets::AnsweredTargets(Clock now)
    : now_(std::move(now))
{
}

void AnsweredTargets::add(const GatewayRequest &request)
{
    expire();
    const Time now = now_();
    const auto inserted = answeredAt_.emplace(targetFingerprintOf(request), now);
    if (!inserted.second && now - inserted.first->second < internal::refreshTime) {
        return;
    }
    inserted.first->second = now;
    order_.emplace_back(now, inserted.first->first);
}

bool AnsweredTargets::contains(const std::string &target)
{
    expire();
    return answeredAt_.count(target) != 0;
}

void AnsweredTargets::expire()
{
    const Time oldest = now_() - internal::answerMemory;
    while (!order_.empty() && (order_.front().first < oldest || order_.size() > internal::maxTargets)) {
        const auto entry = answeredAt_.find(order_.front().second);
        if (entry != answeredAt_.end() && entry->second == order_.front().first) {
            answeredAt_.erase(entry);
        }
        order_.pop_front();
    }
}

} // namespace filbertgw
