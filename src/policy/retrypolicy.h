#ifndef FILBERTGW_POLICY_RETRYPOLICY_H
#define FILBERTGW_POLICY_RETRYPOLICY_H

#include "core/time.h"
#include "policy/schedulertypes.h"

#include <optional>
#include <unordered_map>

namespace filbertgw {

/**
 * \brief Decides whether and when a failed attempt is retried, with retry budgets and full-jitter backoff.
 *
 * A budget is a token bucket to which each call adds a fifth of a retry. The node has one and so has each endpoint that
 * fails, so that a failing endpoint can't use up the retries of calls at other endpoints.
 */
class RetryPolicy
{
public:
    RetryPolicy(bool backoff, RandomSource random);

    /** \brief Adds the share of a new call to the budgets. */
    void onCall();
    /**
     * \brief Takes one retry from the budgets.
     * \param attempts number of attempts, including the failed one.
     * \return the delay before the retry, or nothing if the call must not be retried.
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
