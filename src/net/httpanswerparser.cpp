#include "net/httpanswerparser.h"

#include <algorithm>
#include <cctype>

namespace filbertgw::internal {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t answerHeaderBytes = 32 * 1024;

} // namespace

HttpAnswerParser::HttpAnswerParser()
{
    header_limit(answerHeaderBytes);
    body_limit(boost::none); // The client counts itself, streamed parts included.
    eager(true);
}

void HttpAnswerParser::on_request_impl(http::verb, StringView, StringView, int, Error &)
{
}

void HttpAnswerParser::on_response_impl(int status, StringView, int, Error &)
{
    head_.status_ = status;
}

void HttpAnswerParser::on_field_impl(http::field, StringView name, StringView value, Error &)
{
    std::string key(name);
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    head_.headers_.insert_or_assign(std::move(key), std::string(value));
}

void HttpAnswerParser::on_header_impl(Error &)
{
}

void HttpAnswerParser::on_body_init_impl(const boost::optional<std::uint64_t> &, Error &)
{
}

std::size_t HttpAnswerParser::on_body_impl(StringView body, Error &)
{
    body_.append(body.data(), body.size());
    return body.size();
}

void HttpAnswerParser::on_chunk_header_impl(std::uint64_t, StringView, Error &)
{
}

std::size_t HttpAnswerParser::on_chunk_body_impl(std::uint64_t, StringView body, Error &)
{
    body_.append(body.data(), body.size());
    return body.size();
}

void HttpAnswerParser::on_finish_impl(Error &)
{
}

} // namespace filbertgw::internal
