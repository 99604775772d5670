#include "net/httpanswerparser.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cctype>

namespace filbertgw::internal {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t answerHeaderBytes = 32 * 1024;
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;

} // namespace

HttpAnswerParser::HttpAnswerParser()
    : HttpBodyParser(body_)
{
    header_limit(answerHeaderBytes);
    body_limit(boost::none); // The client counts itself, streamed parts included.
    eager(true);
}

void HttpAnswerParser::on_response_impl(int status, StringView, int, Error &error)
{
    head_.status_ = status;
    if (status < lowestStatus || status > highestStatus) {
        error = http::error::bad_status;
    }
}

void HttpAnswerParser::on_field_impl(http::field field, StringView name, StringView value, Error &error)
{
    if (is_header_done()) {
        return; // A trailer: the head has been judged without it.
    }
    // The body of another coding would be passed on undecoded; no request has asked for one.
    if (field == http::field::transfer_encoding && !boost::beast::iequals(value, "chunked")) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    std::string key(name);
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    head_.headers_.insert_or_assign(std::move(key), std::string(value));
}

} // namespace filbertgw::internal
