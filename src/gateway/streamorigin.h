#ifndef FILBERTGW_GATEWAY_STREAMORIGIN_H
#define FILBERTGW_GATEWAY_STREAMORIGIN_H

#include <string>

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

} // namespace filbertgw

#endif
