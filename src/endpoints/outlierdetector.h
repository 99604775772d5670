#ifndef FILBERTGW_ENDPOINTS_OUTLIERDETECTOR_H
#define FILBERTGW_ENDPOINTS_OUTLIERDETECTOR_H

#include "endpoints/announcementqueue.h"
#include "endpoints/endpointoutcomes.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

struct OutlierSettings
{
    Duration decayTime_{1'200'000}; ///< Time constant of the exponential decay of outcomes.
    double minFailures_ = 4.0; ///< Failures over all nodes below which no endpoint is ejected.
    std::size_t minSources_ = 2; ///< Nodes or groups that must have seen failures, if there are so many nodes.
    double minFailureShare_ = 0.3; ///< Of the requests to the endpoint.
    /**
     * Standard deviations by which the failures exceed those that the better half of the service's endpoints would
     * have: an application may fail on its own.
     */
    double minDeviation_ = 3.0;
    double suspicionFailures_ = 1.0; ///< Failures from which on all nodes report their outcomes at an endpoint.
    Duration suspicionTime_{200'000}; ///< Time for these reports to arrive before an endpoint is ejected.
    double maxEjectedShare_ = 0.3; ///< Share of a service's endpoints that may be ejected at a time.
    std::size_t trialNodes_ = 2; ///< Nodes that send trials to an ejected endpoint.
    Duration trialDelay_{1'000'000}; ///< From an ejection to a trial; doubled with each failed trial and ejection.
    Duration maxTrialDelay_{4'000'000};
    Duration trialInterval_{100'000}; ///< Between trials while they succeed.
    std::size_t trialsToReadmit_ = 3; ///< Successful trials in a row after which an endpoint is readmitted.
    Duration peerTimeout_{1'000'000}; ///< Age from which reports of other nodes are ignored.
    Duration refreshPeriod_{2'000'000}; ///< The trial nodes announce an ejection again after this time.
    Duration lifetime_{10'000'000}; ///< Without a trial for so long an endpoint is readmitted.
    Duration memory_{30'000'000}; ///< Time after which former ejections are forgotten.
    std::size_t announcements_ = 3; ///< Reports to other nodes that contain a change.
    std::size_t maxReported_ = 64; ///< Endpoints whose outcomes one report contains.
};

struct OutlierDetectorHooks
{
    Clock now_;
    /** \brief True if this node is one of the \p count live nodes that are chosen for a key. */
    std::function<bool(const std::string &key, std::size_t count)> isChosen_;
    std::function<std::size_t()> nodes_; ///< Live nodes, this one included.
    std::function<std::size_t(const std::string &service)> endpoints_; ///< Ready endpoints of a service.
    /** \brief The service of an endpoint; empty if it is not known. */
    std::function<std::string(const std::string &endpoint)> serviceOf_;
    std::function<void(const EndpointOutcomes &)> onEjected_; ///< Without outcomes if another node has ejected it.
    std::function<void(const std::string &endpoint)> onReadmitted_;
};

/**
 * \brief Finds endpoints that fail far more requests than the others of their service, and ejects them for all nodes.
 *
 * With many nodes each one sends an endpoint too little to notice alone that all its requests fail, and health checks
 * may say otherwise. So nodes report the outcomes at endpoints that fail requests, and one that has seen enough of them
 * announces the ejection. A few nodes then send trials, only with requests that can be repeated elsewhere, and
 * announce the readmission.
 *
 * \sa EndpointLimits, which spreads what endpoints say in the same way
 */
class OutlierDetector
{
public:
    OutlierDetector(OutlierDetectorHooks hooks, OutlierSettings settings);

    /** \brief A request of this node to an endpoint has ended. \param isTrial \sa trialBegan() */
    void requestEnded(const std::string &endpoint, bool failed, bool isTrial);
    /** \brief Replaces what a node or a group of nodes has reported. */
    void setPeerOutcomes(const std::string &source, std::vector<EndpointOutcomes> outcomes);
    /** \brief Merges what another node announces; the latest change applies. */
    void merge(const EjectionNotice &notice);
    /** \brief Ejects endpoints and forgets old state; called periodically. */
    void update();

    /** \brief True if nothing is known of any ejection. */
    bool isEmpty() const;
    bool isEjected(const std::string &endpoint) const;
    /** \brief True if this node should send an ejected endpoint a request that can be repeated elsewhere. */
    bool isTrialDue(const std::string &endpoint) const;
    void trialBegan(const std::string &endpoint);
    std::size_t ejected() const;

    /** \brief Outcomes of this node for the next report to other nodes; empty while nothing fails. */
    std::vector<EndpointOutcomes> localOutcomes() const;
    /** \brief Returns the changes for the next report to other nodes. */
    std::vector<EjectionNotice> takeAnnouncements();

private:
    struct Local
    {
        double requests_ = 0.0;
        double failures_ = 0.0;
        Time updatedAt_{0};
    };
    struct Reported
    {
        Time receivedAt_{0};
        std::vector<EndpointOutcomes> outcomes_;
    };
    struct Total
    {
        EndpointOutcomes outcomes_;
        std::size_t sources_ = 0; ///< With failures.
    };
    struct Ejection
    {
        bool isEjected_ = false;
        Time changedAt_{0}; ///< When it was decided or last confirmed, by any node.
        Time announcedAt_{0};
        Time trialAt_{0};
        Duration trialDelay_{0};
        std::size_t successes_ = 0; ///< Of trials of this node, in a row.
    };

    double decayFactor(Time since) const;
    /** \brief True if this node fails at most endpoints that it uses, so that its own path is the likely cause. */
    bool isSelfAtFault() const;
    std::map<std::string, Total> totals() const;
    bool isOutlier(const std::map<std::string, Total> &totals, const Total &total) const;
    /** \brief Share of the requests to the better half of a service's endpoints that failed. */
    double usualFailureShare(const std::map<std::string, Total> &totals, const std::string &service) const;
    bool mayEject(const std::string &endpoint) const;
    void eject(const EndpointOutcomes &outcomes, Time at);
    void readmit(const std::string &endpoint, Time at);
    void trialEnded(const std::string &endpoint, Ejection &ejection, bool failed);
    void announce(const std::string &endpoint, Ejection &ejection);

    OutlierDetectorHooks hooks_;
    OutlierSettings settings_;
    std::unordered_map<std::string, Local> local_; ///< By endpoint.
    std::unordered_map<std::string, Reported> peers_;
    std::map<std::string, Time> suspectedAt_; ///< By endpoint.
    std::map<std::string, Ejection> ejections_; ///< By endpoint.
    AnnouncementQueue announcements_; ///< By endpoint.
};

} // namespace filbertgw

#endif
