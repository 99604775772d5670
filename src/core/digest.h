#ifndef FILBERTGW_CORE_DIGEST_H
#define FILBERTGW_CORE_DIGEST_H

#include <string>

namespace filbertgw {

/** \brief HMAC-SHA256 of a message, in lower-case hexadecimal (RFC 2104, by OpenSSL). */
std::string hmacSha256(const std::string &key, const std::string &message);

/** \brief SHA-256 of a message, in lower-case hexadecimal. */
std::string sha256(const std::string &message);

/** \brief Compares without a data-dependent running time. */
bool equalConstantTime(const std::string &a, const std::string &b);

} // namespace filbertgw

#endif
