#ifndef FILBERTGW_ENDPOINTS_ENDPOINTLIMITS_H
#define FILBERTGW_ENDPOINTS_ENDPOINTLIMITS_H

#include "core/time.h"
#include "endpoints/announcementqueue.h"
#include "endpoints/ratelimitnotice.h"
#include "routing/gatewaytypes.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

struct EndpointLimitSettings
{
    double requestsPerSender_ = 2.0; ///< Requests a second that one node sends to a limited endpoint.
    /** Lowest rate at which an endpoint gets requests, to find out whether its limit has ended. */
    double minRate_ = 0.25;
    Duration endDelay_{4'000'000}; ///< A limit ends only this long after the last answer with it.
    std::size_t answersToEnd_ = 2; ///< Consecutive answers without a limit that end it.
    Duration refreshPeriod_{5'000'000}; ///< A limit that is still named is announced again after this time.
    Duration lifetime_{30'000'000}; ///< A limit of which nothing was heard for so long is forgotten.
    std::size_t announcements_ = 3; ///< Reports to other nodes that contain a change.
    std::size_t maxAnnounced_ = 64; ///< Notices in one report.
};

struct EndpointLimitHooks
{
    Clock now_;
    /** \brief True if this node is one of the \p count live nodes that are chosen for a key. */
    std::function<bool(const std::string &key, std::size_t count)> isChosen_;
    std::function<void(const std::string &incarnation, double requestsPerSecond)> onLimited_;
    std::function<void(const std::string &incarnation)> onEnded_;
};

/**
 * \brief Limits that endpoints have named on the requests which they take from all nodes together.
 *
 * A limit can be below one request a second for each node. So a few nodes, chosen by rendezvous hashing, send to a
 * limited endpoint, each an equal part of the rate, and the others send elsewhere. Nodes tell each other of limits,
 * since those that send nothing to an endpoint would not learn of the end of its limit.
 */
class EndpointLimits
{
public:
    EndpointLimits(EndpointLimitHooks hooks, EndpointLimitSettings settings);

    /** \brief Evaluates an answer of an endpoint. */
    void observe(const std::string &incarnation, const AttemptHead &head);
    /** \brief Merges what another node reports; the latest observation applies. */
    void merge(const RateLimitNotice &notice);
    bool isEmpty() const;
    /**
     * \brief When this node may send the next request to an endpoint.
     * \return a time that has passed if the endpoint has no limit; nothing if it is for other nodes to send.
     */
    std::optional<Time> nextSend(const std::string &incarnation) const;
    /** \brief A request is sent. */
    void sent(const std::string &incarnation);
    /** \brief Returns the notices for the next report to other nodes. */
    std::vector<RateLimitNotice> takeAnnouncements();
    void expire();

private:
    struct Limit
    {
        std::optional<double> requestsPerSecond_; ///< Nothing once the limit has ended.
        Time observedAt_{0};
        Time namedAt_{0}; ///< Last answer with the limit, as far as known.
        Time announcedAt_{0};
        Time earliest_{0}; ///< When the next request is due at the rate of this node.
        std::size_t unnamed_ = 0; ///< Consecutive answers without it.
    };

    bool isLimited(const std::string &incarnation) const;
    std::size_t senders(const Limit &limit) const;
    Duration interval(const Limit &limit) const;
    void change(const std::string &incarnation, Limit &limit, std::optional<double> requestsPerSecond);
    void announce(const std::string &incarnation, Limit &limit);

    EndpointLimitHooks hooks_;
    EndpointLimitSettings settings_;
    std::map<std::string, Limit> limits_; ///< By incarnation.
    AnnouncementQueue announcements_; ///< By endpoint.
};

} // namespace filbertgw

#endif
