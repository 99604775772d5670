#include "placement/fairshares.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace filbertgw {

namespace internal {
namespace {

/** Halvings of the interval that holds the fair level; the error is then below a millionth of the largest demand. */
constexpr int maxHalvings = 40;
/** A shortage below this share of the demand is none; it is a rounding error. */
constexpr double minShortage = 1e-9;

} // namespace
} // namespace internal

FairShares::FairShares(const std::vector<AccountDemand> &accounts, double minServedRatio)
{
    double demand = 0.0;
    double served = 0.0;
    double highest = 0.0;
    for (const AccountDemand &account : accounts) {
        demand += account.requests_;
        served += account.requests_ * (1.0 - std::clamp(account.refusedShare_, 0.0, 1.0));
        highest = std::max(highest, account.requests_ / account.weight_);
    }
    if (demand - served <= demand * internal::minShortage) {
        level_ = std::numeric_limits<double>::infinity();
        return;
    }
    minServedShare_ = std::clamp(minServedRatio, 0.0, 1.0) * served / demand;
    double lowest = 0.0;
    for (int i = 0; i < internal::maxHalvings; ++i) {
        level_ = (lowest + highest) / 2.0;
        const double sum =
            std::accumulate(accounts.begin(), accounts.end(), 0.0, [this](double total, const AccountDemand &account) {
                return total + servedRequests(account);
            });
        (sum > served ? highest : lowest) = level_;
    }
    level_ = lowest;
}

double FairShares::servedRequests(const AccountDemand &account) const
{
    return std::min(account.requests_, std::max(account.requests_ * minServedShare_, level_ * account.weight_));
}

double FairShares::refusalProbability(const AccountDemand &account) const
{
    return account.requests_ > 0.0 ? 1.0 - servedRequests(account) / account.requests_ : 0.0;
}

double FairShares::level() const
{
    return level_;
}

double FairShares::weightOf(std::uint32_t priority)
{
    return 1.0 / (1.0 + static_cast<double>(priority));
}

} // namespace filbertgw
