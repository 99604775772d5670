#ifndef FILBERTGW_POLICY_OUTLIEREJECTOR_H
#define FILBERTGW_POLICY_OUTLIEREJECTOR_H

#include "blackboard/blackboard.h"
#include "policy/policysections.h"

namespace filbertgw {

/**
 * \brief Ejects endpoints with consecutive failures for an exponentially growing time.
 *
 * At least half of the endpoints stay in use: if more than half fail, the common cause is not in the endpoints.
 */
class OutlierEjector
{
public:
    OutlierEjector(Blackboard &blackboard, bool enabled, Clock now);

    void onSuccess(const EndpointId &endpoint);
    void onFailure(const EndpointId &endpoint);
    /** \brief The endpoint is known to be down and is ejected without waiting for further failures. */
    void onDown(const EndpointId &endpoint);
    bool isEjected(const EndpointId &endpoint) const;

private:
    std::size_t ejectedCount() const;

    HealthSection &section_;
    const EndpointSection &endpoints_;
    bool enabled_;
    Clock now_;
};

} // namespace filbertgw

#endif
