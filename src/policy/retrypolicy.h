#ifndef FILBERTGW_POLICY_RETRYPOLICY_H
#define FILBERTGW_POLICY_RETRYPOLICY_H

#include "core/time.h"
#include "policy/schedulertypes.h"

#include <optional>
#include <unordered_map>

namespace filbertgw {

/**
 * \brief Decides whether a failed attempt is retried, and when: within budgets, with full jitter.
 *
 * A budget is a bucket that each call fills by a fifth of a retry. One is kept for the node and one for each endpoint
 * that fails, so that a failing endpoint can't use up the retries of the others' calls.
 */
class RetryPolicy
{
public:
    RetryPolicy(bool backoff, RandomSource random);

    void onCall();
    /**
     * \brief Takes one retry from the budgets.
     * \param attempts attempts so far, the failed one included.
     * \return the delay before the retry, or nothing if there is to be none.
     */
    std::optional<Duration>
    retryAfter(const ScheduleRequest &request, const AttemptResult &result, std::uint32_t attempts);

private:
    bool backoff_;
    RandomSource random_;
    double budget_;
    std::unordered_map<EndpointId, double> endpointBudgets_;
};

} // namespace filbertgw

#endif
