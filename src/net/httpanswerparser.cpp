#include "net/httpanswerparser.h"

#include <algorithm>
#include <cctype>

namespace filbertgw::internal {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t answerHeaderBytes = 32 * 1024;

} // namespace

HttpAnswerParser::HttpAnswerParser()
    : HttpBodyParser(body_)
{
    header_limit(answerHeaderBytes);
    body_limit(boost::none); // The client counts itself, streamed parts included.
    eager(true);
}

void HttpAnswerParser::on_response_impl(int status, StringView, int, Error &)
{
    head_.status_ = status;
}

void HttpAnswerParser::on_field_impl(http::field, StringView name, StringView value, Error &)
{
    if (is_header_done()) {
        return; // A trailer: the head has been judged without it.
    }
    std::string key(name);
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    head_.headers_.insert_or_assign(std::move(key), std::string(value));
}

} // namespace filbertgw::internal
