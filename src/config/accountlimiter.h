#ifndef FILBERTGW_CONFIG_ACCOUNTLIMITER_H
#define FILBERTGW_CONFIG_ACCOUNTLIMITER_H

#include "config/configsection.h"
#include "core/failure.h"
#include "core/time.h"

#include <unordered_map>

namespace filbertgw {

/**
 * \brief Limits of accounts on rate, concurrent calls and open programs, as one node applies them.
 *
 * Keeps state only for accounts that differ from an idle one, and at most maxLimiterAccounts.
 */
class AccountLimiter
{
public:
    /**
     * \brief Share of each limit that this node grants, in (0, 1]; 1 by default.
     *
     * The balancer spreads an account's calls over the nodes, so a node that grants 1/n of the rate bounds the fleet's.
     * Concurrency and open programs are rounded up, so that a small limit still admits one.
     */
    void setShare(double share);

    /** \brief Admits a call, or fails as rate_limited with the time to come back. */
    Result<void> admitCall(const AccountConfig &account, Time now);
    /** \brief An admitted call has ended. */
    void callEnded(const AccountId &account, Time now);

    /** \brief Admits a new program, or fails as rate_limited. */
    Result<void> admitProgram(const AccountConfig &account, Time now);
    /** \brief A program of the account is open though this node did not admit it: it was taken over. */
    void programTakenOver(const AccountId &account, Time now);
    void programEnded(const AccountId &account, Time now);

    /** \brief Drops up to `scan` accounts that are idle again. Call it regularly. */
    void evictIdle(Time now, std::size_t scan);

    /** \brief Accounts that have state. */
    std::size_t size() const
    {
        return states_.size();
    }

private:
    struct State
    {
        Time updated_{0};
        Time fullAt_{0}; ///< When the bucket will be full again; from then on the state equals an idle account's.
        double tokens_ = 0;
        std::int32_t calls_ = 0;
        std::int32_t programs_ = 0;
    };

    State &stateOf(const AccountId &account, Time now);
    double ratePerSecond(const AccountConfig &account) const;
    double burst(const AccountConfig &account) const;
    std::int64_t shareOf(std::int64_t limit) const;
    static bool isIdle(const State &state, Time now);

    double share_ = 1.0;
    std::unordered_map<AccountId, State> states_;
    std::size_t nextBucket_ = 0;
};

/** \brief A bucket holds this many seconds of its rate, and at least one call. */
constexpr double limiterBurstSeconds = 2.0;

/** \brief Accounts with state at which an idle one is looked for before each new one; bounds memory to about 12 MB. */
constexpr std::size_t maxLimiterAccounts = 100'000;

} // namespace filbertgw

#endif
