#ifndef FILBERTGW_STREAMS_STREAMORIGIN_H
#define FILBERTGW_STREAMS_STREAMORIGIN_H

#include "core/time.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace filbertgw {

/**
 * \brief What made the first event of a stream.
 *
 * Endpoints of other versions write other text, so a stream is resumed only at an endpoint of the same service and
 * version.
 */
struct StreamOrigin
{
    std::string service_;
    std::string version_; ///< \sa Endpoint::version_
};

/** \brief Tells another node the origin of a stream. */
struct StreamOriginNotice
{
    std::string attempt_; ///< Client attempt that began the stream.
    StreamOrigin origin_;
    Duration timeLeft_{0}; ///< Time within which the stream may be resumed.
};

nlohmann::json encodeOrigins(const std::vector<StreamOriginNotice> &origins);
/** \brief Decodes notices, skipping malformed ones. */
std::vector<StreamOriginNotice> decodeOrigins(const nlohmann::json &list);

} // namespace filbertgw

#endif
