#ifndef FILBERTGW_ENDPOINTS_ANSWEREDTARGETS_H
#define FILBERTGW_ENDPOINTS_ANSWEREDTARGETS_H

#include "routing/gatewaytypes.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace filbertgw {

/** \brief Targets of which endpoints have answered a request to this node lately. */
class AnsweredTargets
{
public:
    explicit AnsweredTargets(Clock now);

    void add(const GatewayRequest &request);
    /** \param target fingerprint of the target. \sa targetFingerprintOf() */
    bool contains(const std::string &target);

private:
    void expire();

    Clock now_;
    std::unordered_map<std::string, Time> answeredAt_; ///< By fingerprint.
    std::deque<std::pair<Time, std::string>> order_; ///< The oldest first; an entry may be outdated.
};

} // namespace filbertgw

#endif
