#include "policy/retrypolicy.h"

#include <algorithm>

namespace filbertgw {

namespace internal {

constexpr double retriesPerCall = 0.2;
constexpr double maxBudget = 50;
/** \brief Covers one retry of each call that was running on an endpoint when it crashed. */
constexpr double maxEndpointBudget = 100;
constexpr std::uint32_t maxAttempts = 5;
constexpr Duration firstBackoff = std::chrono::milliseconds(50);
constexpr Duration maxBackoff = std::chrono::seconds(2);

} // namespace internal

RetryPolicy::RetryPolicy(bool backoff, RandomSource random)
    : backoff_(backoff)
    , random_(std::move(random))
    , budget_(internal::maxBudget)
{
}

void RetryPolicy::onCall()
{
    budget_ = std::min(internal::maxBudget, budget_ + internal::retriesPerCall);
    std::unordered_map<EndpointId, double>::iterator it = endpointBudgets_.begin();
    while (it != endpointBudgets_.end()) {
        it->second += internal::retriesPerCall;
        it = it->second >= internal::maxEndpointBudget ? endpointBudgets_.erase(it) : std::next(it);
    }
}

std::optional<Duration>
RetryPolicy::retryAfter(const ScheduleRequest &request, const AttemptResult &result, std::uint32_t attempts)
{
    if (!request.idempotent_ || attempts >= internal::maxAttempts) {
        return std::nullopt;
    }
    double &endpointBudget = endpointBudgets_.try_emplace(result.endpoint_, internal::maxEndpointBudget).first->second;
    if (budget_ < 1 || endpointBudget < 1) {
        return std::nullopt;
    }
    budget_ -= 1;
    endpointBudget -= 1;
    if (!backoff_) {
        return Duration{0};
    }
    const Duration limit = std::min(internal::maxBackoff, internal::firstBackoff * (1 << std::min(attempts - 1, 10U)));
    return Duration(static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(limit.count() + 1)));
}

} // namespace filbertgw
