#ifndef FILBERTGW_ENDPOINTS_RETRYBUDGET_H
#define FILBERTGW_ENDPOINTS_RETRYBUDGET_H

#include <algorithm>
#include <string>
#include <unordered_map>

namespace filbertgw {

struct RetryBudgetSettings
{
    double retriesPerRequest_ = 0.1; ///< In the long run.
    double maxBalance_ = 10.0; ///< Retries that can follow one another at once.
};

/** \brief Limits repeated attempts to a share of the requests of a service, so that a slow service is not overloaded.
 */
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings)
        : settings_(settings)
    {
    }

    /** \brief The first attempt of a request was sent. */
    void requestSent(const std::string &service)
    {
        double &balance = balanceOf(service);
        balance = std::min(settings_.maxBalance_, balance + settings_.retriesPerRequest_);
    }

    /** \brief Takes a retry from the budget. \return false if it is used up. */
    bool take(const std::string &service)
    {
        double &balance = balanceOf(service);
        if (balance < 1.0) {
            return false;
        }
        balance -= 1.0;
        return true;
    }

private:
    double &balanceOf(const std::string &service)
    {
        return balances_.try_emplace(service, settings_.maxBalance_).first->second;
    }

    RetryBudgetSettings settings_;
    std::unordered_map<std::string, double> balances_; ///< By service.
};

} // namespace filbertgw

#endif
