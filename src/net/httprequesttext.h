#ifndef FILBERTGW_NET_HTTPREQUESTTEXT_H
#define FILBERTGW_NET_HTTPREQUESTTEXT_H

#include "net/httptypes.h"

namespace filbertgw::internal {

/** \brief True if no text of the request line or of a header could add another line. */
bool isValid(const HttpRequest &request);

/**
 * \brief The request as HTTP/1.1 text, with its own body if \p body is null; otherwise that one follows the text.
 *
 * `Host` is the address unless the request has one. Headers of the framing and the connection are those of this hop.
 */
std::string serialise(const HttpRequest &request, const std::string &address, const std::string *body);

} // namespace filbertgw::internal

#endif
