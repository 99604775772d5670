#ifndef FILBERTGW_ENDPOINTS_CRASHRECORD_H
#define FILBERTGW_ENDPOINTS_CRASHRECORD_H

#include <string>

namespace filbertgw {

/** \brief States that an endpoint ended while it ran a request. */
struct CrashRecord
{
    std::string request_; ///< \sa fingerprintOf()
    std::string endpoint_; ///< The incarnation that ended. \sa Endpoint::incarnation()
    bool isExcused_ = false; ///< The request was answered later, so it was not the cause.
};

} // namespace filbertgw

#endif
