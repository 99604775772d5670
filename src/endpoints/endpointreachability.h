#ifndef FILBERTGW_ENDPOINTS_ENDPOINTREACHABILITY_H
#define FILBERTGW_ENDPOINTS_ENDPOINTREACHABILITY_H

#include "routing/gatewaytypes.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

struct ReachabilitySettings
{
    std::size_t suspiciousFailures_ = 3; ///< Endpoints to which connections failed lately, from which on it probes.
    Duration failureMemory_{2'000'000};
    std::size_t suspiciousSilences_ = 2; ///< Endpoints that leave requests unanswered, from which on it probes.
    Duration silence_{500'000}; ///< A request without an answer for so long counts, if no other answer came meanwhile.
    std::size_t probedEndpoints_ = 3; ///< At once.
    std::size_t checkedEndpoints_ = 2; ///< Of which one must accept a connection for check() to succeed.
    Duration probePause_{500'000}; ///< Between two rounds of probes.
};

struct ReachabilityHooks
{
    Clock now_;
    RandomSource random_;
    std::function<std::vector<Endpoint>()> endpoints_; ///< All that are ready.
    /** \brief Opens a new connection; reports whether that succeeded. */
    std::function<void(const Endpoint &endpoint, std::function<void(bool isReachable)> done)> probe_;
    std::function<void(bool isCutOff)> onChanged_;
};

/**
 * \brief Finds out whether this node can open connections to endpoints at all.
 *
 * An endpoint that refuses a connection or stays silent has a fault of its own. If several do at the same time, the
 * node probes some others: it is cut off if all probes fail, until one succeeds. Requests that are answered on kept
 * connections are no proof of the opposite, since these can outlive the path to the endpoints.
 */
class EndpointReachability
{
public:
    EndpointReachability(ReachabilityHooks hooks, ReachabilitySettings settings);
    ~EndpointReachability();

    bool isCutOff() const;
    /** \brief Probes some endpoints other than \p suspect; reports whether one of them accepts a connection. */
    void check(const Endpoint &suspect, const std::function<void(bool isPathUp)> &done);
    void connectFailed(const std::string &endpoint);
    void answered(const std::string &endpoint);
    /** \brief Decides whether to probe. \p silentEndpoints leave requests unanswered for longer than silence_. */
    void update(std::size_t silentEndpoints);

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
