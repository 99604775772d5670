#ifndef FILBERTGW_POLICY_SERVICECHOOSER_H
#define FILBERTGW_POLICY_SERVICECHOOSER_H

#include "policy/concurrencylimiter.h"
#include "policy/endpointtracker.h"
#include "policy/outlierejector.h"

#include <optional>

namespace filbertgw {

/** \brief Chooses a service or tool endpoint by the power of two choices: the one with fewer calls of this node. */
class ServiceChooser
{
public:
    ServiceChooser(const Blackboard &blackboard,
                   const OutlierEjector &ejector,
                   const ConcurrencyLimiter &limiter,
                   RandomSource random);

    /** \return nothing if no endpoint can take the call now. */
    std::optional<EndpointId> choose(const ScheduleRequest &request, const std::set<EndpointId> &excluded);
    /** \brief True if some endpoint serves the target, usable or not. */
    bool isKnown(const std::string &target) const;

private:
    const EndpointSection &section_;
    const OutlierEjector &ejector_;
    const ConcurrencyLimiter &limiter_;
    RandomSource random_;
};

} // namespace filbertgw

#endif
