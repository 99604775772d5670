#ifndef FILBERTGW_ENDPOINTS_RATELIMITNOTICE_H
#define FILBERTGW_ENDPOINTS_RATELIMITNOTICE_H

#include "core/time.h"

#include <optional>
#include <string>

namespace filbertgw {

/** \brief What a node knows of the limit of an endpoint, as told to other nodes. */
struct RateLimitNotice
{
    std::string endpoint_; ///< \sa Endpoint::incarnation()
    std::optional<double> requestsPerSecond_; ///< Nothing if the limit has ended.
    Duration age_{0}; ///< Time since the answer that showed this.
};

} // namespace filbertgw

#endif
