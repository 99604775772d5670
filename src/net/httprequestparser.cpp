#include "net/httprequestparser.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace filbertgw::internal {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/** \brief Most that is reserved for a body before any of it has arrived. */
constexpr std::size_t bodyReserveBytes = 16 * 1024;
/** \brief Memory of a header field besides its text: a map's node with two strings. */
constexpr std::size_t fieldOverhead = 128;

std::string lowerCase(beast::string_view text)
{
    std::string result(text);
    for (char &c : result) {
        if (c >= 'A' && c <= 'Z') {
            c = static_cast<char>(c - 'A' + 'a');
        }
    }
    return result;
}

} // namespace

HttpRequestParser::HttpRequestParser(const HttpLimits &limits)
    : HttpBodyParser(request_.body_)
{
    header_limit(static_cast<std::uint32_t>(limits.headerBytes_));
    body_limit(limits.bodyBytes_);
    eager(true);
}

void HttpRequestParser::on_request_impl(http::verb, StringView method, StringView target, int version, Error &)
{
    request_.method_ = std::string(method);
    request_.target_ = std::string(target);
    http10_ = version < 11;
}

void HttpRequestParser::on_field_impl(http::field field, StringView name, StringView value, Error &error)
{
    if (field == http::field::expect) {
        expectsContinue_ = true;
    }
    // Another coding would leave the length of the body open to interpretation.
    if (field == http::field::transfer_encoding && !beast::iequals(value, "chunked")) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    if (is_header_done()) {
        return; // A trailer: the head has been judged without it, and trailers without end would collect.
    }
    headBytes_ += name.size() + value.size() + fieldOverhead;
    std::string &stored = request_.headers_[lowerCase(name)];
    if (!stored.empty()) {
        stored += ", ";
    }
    stored.append(value.data(), value.size());
}

void HttpRequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &)
{
    if (length) {
        request_.body_.reserve(std::min<std::size_t>(*length, bodyReserveBytes));
    }
}

} // namespace filbertgw::internal
