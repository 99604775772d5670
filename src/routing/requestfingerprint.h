#ifndef FILBERTGW_ROUTING_REQUESTFINGERPRINT_H
#define FILBERTGW_ROUTING_REQUESTFINGERPRINT_H

#include "routing/gatewaytypes.h"

#include <string>

namespace filbertgw {

/**
 * \brief Identifies what a request asks an endpoint to run, whichever attempt of the client it is.
 *
 * It is the same on every node: a hash of method, host, target, previous turn and body. It does not cover the ids of
 * attempt, program and session, which are new when a client sends the same request again. Requests of two accounts are
 * never the same.
 *
 * \return 32 hexadecimal digits.
 */
std::string fingerprintOf(const GatewayRequest &request);

/**
 * \brief Identifies an account's requests of one target, whatever their bodies: a hash of method, host and target.
 *
 * \return 32 characters, of which the first is no hexadecimal digit.
 */
std::string targetFingerprintOf(const GatewayRequest &request);

/** \brief Both fingerprints of a request. */
struct RequestFingerprints
{
    std::string content_; ///< \sa fingerprintOf()
    std::string target_; ///< \sa targetFingerprintOf()

    static RequestFingerprints of(const GatewayRequest &request);
};

} // namespace filbertgw

#endif
