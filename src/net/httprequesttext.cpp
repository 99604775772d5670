#include "net/httprequesttext.h"

#include <algorithm>

namespace filbertgw::internal {

namespace {

constexpr std::size_t headReserveBytes = 512;

/** \brief True if the text can't end a header line early. */
bool isHeaderText(const std::string &text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

/** \brief The framing of the message and the connection are this hop's own; `Host` is written first. */
bool isOfHop(const std::string &header)
{
    return header == "host" || header == "content-length" || header == "transfer-encoding" || header == "connection"
        || header == "expect";
}

} // namespace

bool isValid(const HttpRequest &request)
{
    const bool lineIsValid = isHeaderText(request.target_) && request.target_.find(' ') == std::string::npos
        && !request.target_.empty() && isHeaderText(request.method_) && request.method_.find(' ') == std::string::npos
        && !request.method_.empty();
    return lineIsValid
        && std::all_of(request.headers_.begin(),
                       request.headers_.end(),
                       [](const std::pair<const std::string, std::string> &header) {
                           return !header.first.empty() && isHeaderText(header.first)
                               && header.first.find_first_of(": ") == std::string::npos && isHeaderText(header.second);
                       });
}

std::string serialise(const HttpRequest &request, const std::string &address, const std::string *body)
{
    const std::size_t bodySize = body != nullptr ? body->size() : request.body_.size();
    std::string result;
    result.reserve((body != nullptr ? 0 : bodySize) + headReserveBytes);
    result += request.method_;
    result += ' ';
    result += request.target_;
    result += " HTTP/1.1\r\nHost: ";
    const std::map<std::string, std::string>::const_iterator host = request.headers_.find("host");
    result += host != request.headers_.end() ? host->second : address;
    result += "\r\n";
    for (const std::pair<const std::string, std::string> &header : request.headers_) {
        if (isOfHop(header.first)) {
            continue;
        }
        result += header.first;
        result += ": ";
        result += header.second;
        result += "\r\n";
    }
    if (bodySize > 0 || request.method_ != "GET") {
        result += "Content-Length: ";
        result += std::to_string(bodySize);
        result += "\r\n";
    }
    result += "\r\n";
    if (body == nullptr) {
        result += request.body_;
    }
    return result;
}

} // namespace filbertgw::internal
