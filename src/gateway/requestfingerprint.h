#ifndef FILBERTGW_GATEWAY_REQUESTFINGERPRINT_H
#define FILBERTGW_GATEWAY_REQUESTFINGERPRINT_H

#include "gateway/gatewaytypes.h"

#include <string>

namespace filbertgw {

/**
 * \brief Identifies what a request asks an endpoint to run, whichever attempt of the client it is.
 *
 * It is the same on every node: a hash of method, host, target, previous turn and body. It does not cover the ids of
 * attempt, program and session, which are new when a client sends the same request again.
 *
 * \return 32 hexadecimal digits.
 */
std::string fingerprintOf(const GatewayRequest &request);

} // namespace filbertgw

#endif
