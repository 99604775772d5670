#ifndef FILBERTGW_POLICY_OUTLIEREJECTOR_H
#define FILBERTGW_POLICY_OUTLIEREJECTOR_H

#include "blackboard/blackboard.h"
#include "policy/policysections.h"

namespace filbertgw {

/**
 * \brief Takes endpoints that fail in a row out of use for a growing time.
 *
 * At least half of the endpoints stay in use, because failures that hit most of them have another cause.
 */
class OutlierEjector
{
public:
    OutlierEjector(Blackboard &blackboard, bool enabled, Clock now);

    void onSuccess(const EndpointId &endpoint);
    void onFailure(const EndpointId &endpoint);
    /** \brief The endpoint is certainly down; it is ejected at once. */
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
