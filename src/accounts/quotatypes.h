#ifndef FILBERTGW_ACCOUNTS_QUOTATYPES_H
#define FILBERTGW_ACCOUNTS_QUOTATYPES_H

#include "core/nametable.h"
#include "core/time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>

namespace filbertgw {

/** \brief Kinds of requests: a program that is refused midway has lost all its work, so first turns are refused first.
 */
enum class QuotaKind : std::uint8_t {
    FirstTurn,
    Other, ///< Later turns, tool calls, sub-agents and requests without a program.
};

template<>
struct NameTable<QuotaKind>
{
    static constexpr std::array<std::pair<QuotaKind, std::string_view>, 2> entries{{
        {QuotaKind::FirstTurn, "first_turn"},
        {QuotaKind::Other, "other"},
    }};
};

/** \brief Rate limit of an account over all nodes. */
struct QuotaLimit
{
    double requestsPerSecond_ = 0.0;
    double burst_ = 0.0; ///< Requests.
};

/** \brief Part of the quota that a node may grant. */
struct QuotaShare
{
    double level_ = 1.0; ///< Part of the bucket's capacity and initial level.
    double rate_ = 1.0; ///< Part of the rate; less than level_ while it is not certain that nobody else grants it.
    /** Uniform in 0 to 1 by node and account. It decides which nodes may grant single requests of an account whose part
     * is below one request at each node. */
    double draw_ = 0.0;
    Time since_{0}; ///< Since then no other node can have granted it.
};

/**
 * \brief Stated bound on the requests of an account in any window, and how the decisions use what it tolerates.
 *
 * The factors in the functions divide the tolerated requests among permits in advance, reserve, initial level and
 * parts of the quota, so that their sum stays within the bound in each failure: docs/design/account-quota.md, "How A is
 * used". Levels, capacities and permits are requests.
 */
struct QuotaSettings
{
    Duration window_{5'000'000};
    double over_ = 0.1; ///< Tolerated excess as a share of rate x window + burst.
    double slack_ = 20.0; ///< Tolerated requests above that.
    Duration leaseTime_{500'000}; ///< For this time after it was asked for, a permit may be used.
    Duration freezeTimeout_{400'000}; ///< A longer time between two ticks means that the process did not run.
    Duration askTimeout_{30'000}; ///< For an answer of the coordinator.
    Duration suspicionTime_{1'000'000}; ///< For this time a node that left a request unanswered is passed over.
    Duration silenceTimeout_{60'000'000}; ///< For this time a silent node is taken to grant its part of the quota.

    /** \brief Permits that nodes may hold in advance, over all nodes. */
    double advance(const QuotaLimit &limit) const
    {
        return toleratedRate(limit) * 0.08 + slack_ * 0.2;
    }
    /** \brief Part of the bucket's capacity above the burst; kept for later turns and calls. */
    double reserve(const QuotaLimit &limit) const
    {
        return over_ * limit.burst_ * 0.5 + slack_ * 0.15;
    }
    /** \brief Level of the bucket of a coordinator that knows nothing of its predecessor. */
    double initialLevel(const QuotaLimit &limit) const
    {
        return toleratedRate(limit) * 0.2 + slack_ * 0.4;
    }
    /** \brief Capacity of the bucket of a coordinator with the whole quota. */
    double capacity(const QuotaLimit &limit) const
    {
        return limit.burst_ + reserve(limit);
    }
    /** \brief Initial level of a part of the quota. It is full once nobody can have granted permits for long enough. */
    double initialLevel(const QuotaLimit &limit, const QuotaShare &share, Time now) const
    {
        const double accrued = limit.requestsPerSecond_ * toSeconds(std::max(now - share.since_, Duration{0}));
        const double level = std::min(initialLevel(limit) + accrued, capacity(limit)) * share.level_;
        return level >= 1.0 ? level : (share.draw_ < level ? 1.0 : 0.0);
    }
    /** \brief Rate of a part of the nodes: what is tolerated lets them exceed their part somewhat. */
    double rate(const QuotaLimit &limit, const QuotaShare &share) const
    {
        const double tolerated = (bound(limit) - limit.requestsPerSecond_ * toSeconds(window_) - limit.burst_) * 0.3;
        const double extra = share.rate_ < share.level_ ? 0.0 : tolerated / toSeconds(window_);
        return std::min(limit.requestsPerSecond_, (limit.requestsPerSecond_ + extra) * share.rate_);
    }
    /** \brief Capacity of a part. Some nodes may hold one request where the part of each is less. */
    double capacity(const QuotaLimit &limit, const QuotaShare &share) const
    {
        const double part = capacity(limit) * share.level_;
        const bool mayHoldOne = share.draw_ < part + slack_ * 0.3 * share.level_;
        return part >= 1.0 ? part : (mayHoldOne ? 1.0 : 0.0);
    }
    /** \brief The most requests in any window. */
    double bound(const QuotaLimit &limit) const
    {
        return (limit.requestsPerSecond_ * toSeconds(window_) + limit.burst_) * (1.0 + over_) + slack_;
    }

private:
    /** \brief Requests that the rate's part of the bound tolerates in a window, without those of burst and slack. */
    double toleratedRate(const QuotaLimit &limit) const
    {
        return over_ * limit.requestsPerSecond_ * toSeconds(window_);
    }
};

} // namespace filbertgw

#endif
