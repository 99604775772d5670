#ifndef FILBERTGW_PLACEMENT_ACCOUNTADMISSION_H
#define FILBERTGW_PLACEMENT_ACCOUNTADMISSION_H

#include "core/time.h"
#include "placement/accountload.h"
#include "placement/fairshares.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

struct AccountAdmissionSettings
{
    /** \sa FairShares. A deployment fails if an account is served less than a quarter as often as all together. */
    double minServedRatio_ = 0.5;
    /** Time constant of the mean of running requests; single requests of small accounts come and go within it. */
    Duration loadMeanTime_{500'000};
    /**
     * Time constant of the mean refusal probability, about the time of a program: the requests that run now are those
     * of programs that were admitted within it.
     */
    Duration refusalMeanTime_{2'000'000};
    Duration peerTimeout_{2'500'000}; ///< Age from which reports are ignored: three of them were lost.
    double maxRefusalCorrection_ = 10.0; ///< Largest estimated demand relative to the running requests.
    std::size_t maxReported_ = 16; ///< Accounts that this node reports for each service.
    std::size_t maxAccounts_ = 256; ///< Accounts of reports that are tracked for each service, besides the local ones.
    std::size_t maxReportedServices_ = 8; ///< Services that this node reports, the first ones by name.
};

/**
 * \brief Decides whose new programs are refused when Admission has to refuse some.
 *
 * Each node reports the running requests of the accounts that it serves. From the sums over all nodes every node
 * derives the same refusal probabilities, without a coordinator. While programs of an account are refused, its running
 * requests no longer show what it asks for; its demand is estimated as the running requests divided by the mean share
 * of its programs that were admitted.
 */
class AccountAdmission
{
public:
    /** \brief Share of programs that Admission refuses at a priority. */
    using RefusedShare = std::function<double(std::uint32_t priority)>;

    AccountAdmission(Clock now, AccountAdmissionSettings settings);

    /** \brief Id of an account in reports; shorter than its name. Accounts of equal ids share their demand. */
    static std::uint32_t idOf(const std::string &account);

    /** \brief Records that a request of an account was sent to an endpoint. */
    void started(const std::string &service, const std::string &account, std::uint32_t priority);
    /** \brief Records that a request has ended that was passed to started(). */
    void ended(const std::string &service, const std::string &account);
    /** \brief Running requests of this node, for reports: the accounts with most of them, and the sum of the others. */
    std::vector<AccountLoad> localLoad() const;
    /** \brief Replaces the report of a node or group. */
    void setPeerLoad(const std::string &source, std::vector<AccountLoad> load);
    /** \brief Updates the estimated demands and the refusal probabilities of a service; called periodically. */
    void update(const std::string &service, const RefusedShare &refusedShare);

    /**
     * \brief Probability at which a new program of an account is to be refused, as of the last update.
     * \param refusedShare present value; nothing is refused once Admission refuses nothing.
     */
    double refusalProbability(const std::string &service,
                              const std::string &account,
                              std::uint32_t priority,
                              const RefusedShare &refusedShare) const;
    /** \brief Number of accounts that are tracked for a service. */
    std::size_t accounts(const std::string &service) const;

private:
    struct AccountState
    {
        std::uint32_t local_ = 0; ///< Running requests of this node.
        std::uint32_t priority_ = 0;
        double running_ = 0.0; ///< Mean of the running requests of all nodes.
        double refused_ = 0.0; ///< Mean of refusalProbability_.
        double refusalProbability_ = 0.0;
    };
    struct ServiceState
    {
        std::unordered_map<std::uint32_t, AccountState> accounts_; ///< By id.
        std::optional<FairShares> shares_;
        Time updatedAt_{0};
    };
    struct PeerReport
    {
        Time receivedAt_{0};
        std::vector<AccountLoad> load_;
    };

    std::unordered_map<std::uint32_t, AccountLoad> reportedLoad(const std::string &service) const;
    void updateMeans(const std::string &service, ServiceState &state);
    AccountDemand demandOf(std::uint32_t id, const AccountState &account, const RefusedShare &refusedShare) const;

    Clock now_;
    AccountAdmissionSettings settings_;
    std::map<std::string, ServiceState> services_;
    std::unordered_map<std::string, PeerReport> peers_;
};

/** \brief Limits a list to the \p max accounts of each service that run most, and the sum of the others. */
std::vector<AccountLoad> largestLoads(std::vector<AccountLoad> load, std::size_t max);
/** \brief Sum of several lists, by service and account, in the order of both. */
std::vector<AccountLoad> sumOfLoads(const std::vector<AccountLoad> &load);

} // namespace filbertgw

#endif
