#ifndef FILBERTGW_PLACEMENT_FAIRSHARES_H
#define FILBERTGW_PLACEMENT_FAIRSHARES_H

#include <cstdint>
#include <vector>

namespace filbertgw {

/** \brief Capacity that a client account asks for, and how it takes part in a shortage. */
struct AccountDemand
{
    double requests_ = 0.0; ///< Requests that would run if none of its programs were refused.
    double weight_ = 1.0; ///< Part of the capacity that it may claim, relative to other accounts.
    double refusedShare_ = 0.0; ///< Share of its programs that Admission refuses at its priority.
};

/**
 * \brief Distributes a shortage of capacity over client accounts by weighted max-min fairness.
 *
 * The sum of what is refused stays what Admission wants. Accounts that ask for no more than the fair level times their
 * weight lose nothing; the others lose what they ask beyond it. No account is served less often than a given ratio of
 * the mean, since with Zipf-like account sizes plain max-min fairness refuses nearly all programs of the largest ones.
 */
class FairShares
{
public:
    /** \param minServedRatio least served share of an account relative to the served share of all, from 0 to 1. */
    FairShares(const std::vector<AccountDemand> &accounts, double minServedRatio);

    /** \brief Refusal probability of the programs of an account, which may be one that was not in the list. */
    double refusalProbability(const AccountDemand &account) const;
    /** \brief Requests that an account of weight 1 may run without losing anything; infinite without a shortage. */
    double level() const;

    /** \brief Weight of an account by its priority, 0 for the highest. */
    static double weightOf(std::uint32_t priority);

private:
    double servedRequests(const AccountDemand &account) const;

    double level_ = 0.0;
    double minServedShare_ = 0.0;
};

} // namespace filbertgw

#endif
