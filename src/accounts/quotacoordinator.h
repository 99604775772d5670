#ifndef FILBERTGW_ACCOUNTS_QUOTACOORDINATOR_H
#define FILBERTGW_ACCOUNTS_QUOTACOORDINATOR_H

#include "accounts/quotabucket.h"
#include "accounts/quotatypes.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief What a node asks the coordinator of an account for. */
struct QuotaAsk
{
    QuotaKind kind_ = QuotaKind::Other;
    bool isWaiting_ = false; ///< A request waits for a permit.
    std::uint32_t advance_ = 0; ///< Further permits that the node expects to use within the lease time.
    double requestsPerProgram_ = 0.0; ///< As the node learned it from an earlier answer; 0 if unknown.
};

/** \brief Answer of a coordinator to a QuotaAsk. */
struct QuotaGrant
{
    bool isGranted_ = false; ///< The waiting request has a permit.
    std::uint32_t advance_ = 0; ///< Permits for requests that the node expects.
    Duration retryAfter_{0}; ///< If the waiting request was refused: when a permit will be free for it.
    Duration pause_{0}; ///< For this time the node refuses further requests of the kind by itself.
    double requestsPerProgram_ = 0.0;
};

/** \brief State of an account that a coordinator hands over to the next one. */
struct QuotaState
{
    double level_ = 0.0;
    double requestsPerProgram_ = 0.0; ///< 0 if unknown.
};

/**
 * \brief Grants permits to run requests, for the accounts that this node coordinates. Pure decisions, without a
 * network.
 *
 * First turns are limited to the rate at which programs can be carried to completion, the rate over the requests per
 * program, and leave a reserve in the bucket to later turns and calls.
 */
class QuotaCoordinator
{
public:
    QuotaCoordinator(Clock now, QuotaSettings settings);

    QuotaGrant grant(const std::string &account, const QuotaLimit &limit, const QuotaAsk &ask, const QuotaShare &share);
    /** \brief Permits of requests that were not run. */
    void putBack(const std::string &account, const QuotaLimit &limit, double permits);
    /** \brief Adds what the former coordinator had left. */
    void takeOver(const std::string &account, const QuotaLimit &limit, const QuotaState &state);
    /** \brief Forgets an account. \return its state, for the next coordinator. */
    QuotaState release(const std::string &account);
    /** \brief The process did not run for some time, in which another node may have granted permits. */
    void restart();
    /** \brief Forgets accounts whose bucket has been unused for so long that it is full again. */
    void expire();
    std::vector<std::string> accounts() const;
    std::optional<double> levelOf(const std::string &account) const;

private:
    struct Account
    {
        Account(double level, double programs, Time now)
            : bucket_(level, now)
            , programs_(programs, now)
            , usedAt_(now)
            , decayedAt_(now)
        {
        }
        QuotaBucket bucket_;
        QuotaBucket programs_; ///< Limits first turns.
        Time usedAt_;
        Time decayedAt_;
        Time promisedUntil_{0}; ///< Refused requests have been told to return until then.
        QuotaLimit limit_;
        QuotaShare share_;
        double requests_ = 0.0; ///< Granted, decaying with a time constant of 20 s.
        double firstTurns_ = 0.0; ///< First turns among requests_.
        std::deque<std::pair<Time, std::uint32_t>> advances_; ///< Granted in advance within the lease time.
    };

    Account &find(const std::string &account, const QuotaLimit &limit, const QuotaShare &share);
    void learn(Account &account, QuotaKind kind) const;
    static double requestsPerProgram(const Account &account);
    double reserveOf(const Account &account) const;
    double capacityOf(const Account &account) const;
    double rateOf(const Account &account) const;
    bool takePermit(Account &account, QuotaKind kind) const;
    std::uint32_t takeAdvance(Account &account, std::uint32_t wanted) const;
    void refuse(Account &account, QuotaKind kind, QuotaGrant &grant) const;

    Clock now_;
    QuotaSettings settings_;
    std::map<std::string, Account> accounts_;
    std::map<std::string, Time> released_; ///< Accounts that were released within the window.
};

} // namespace filbertgw

#endif
