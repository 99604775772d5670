#ifndef FILBERTGW_CORE_DIGEST_H
#define FILBERTGW_CORE_DIGEST_H

#include <string>

namespace filbertgw {

/** \brief HMAC-SHA256 (RFC 2104) of a message, in lower-case hexadecimal. */
std::string hmacSha256(const std::string &key, const std::string &message);

/** \brief SHA-256 of a message, in lower-case hexadecimal. */
std::string sha256(const std::string &message);

/** \brief True if both strings are equal; the running time depends on their sizes only. */
bool equalConstantTime(const std::string &a, const std::string &b);

} // namespace filbertgw

#endif
