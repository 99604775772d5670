#ifndef FILBERTGW_ENDPOINTS_ENDPOINTOUTCOMES_H
#define FILBERTGW_ENDPOINTS_ENDPOINTOUTCOMES_H

#include "core/time.h"

#include <string>

namespace filbertgw {

/** \brief How the latest requests to an endpoint ended; sums of several nodes can be added. \sa OutlierDetector */
struct EndpointOutcomes
{
    std::string endpoint_; ///< \sa Endpoint::incarnation()
    double requests_ = 0.0; ///< With an exponential decay.
    double failures_ = 0.0; ///< Part of requests_.
};

/** \brief An endpoint was ejected or readmitted, as told to other nodes. */
struct EjectionNotice
{
    std::string endpoint_; ///< \sa Endpoint::incarnation()
    bool isEjected_ = true;
    Duration age_{0}; ///< Time since this was decided, or confirmed by a trial.
};

} // namespace filbertgw

#endif
