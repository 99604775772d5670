#include "net/httpanswerparser.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cctype>
#include <string_view>

namespace filbertgw::internal {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t answerHeaderBytes = 32 * 1024;
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;

/** The start of a status line; a zero stands for any digit. */
constexpr std::string_view statusLineForm = "HTTP/0.0 000";

template<typename Text>
bool containsStatusLine(const Text &text)
{
    const auto matches = [](unsigned char c, char form) { return form == '0' ? std::isdigit(c) != 0 : c == form; };
    return std::search(text.begin(), text.end(), statusLineForm.begin(), statusLineForm.end(), matches) != text.end();
}

} // namespace

HttpAnswerParser::HttpAnswerParser()
    : HttpBodyParser(body_)
{
    header_limit(answerHeaderBytes);
    body_limit(boost::none); // The client counts itself, streamed parts included.
    eager(true);
}

bool HttpAnswerParser::hasFoldedLine(std::string_view bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string_view::npos) {
        return false;
    }
    const std::string_view head = bytes.substr(0, end);
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

void HttpAnswerParser::on_response_impl(int status, StringView reason, int, Error &error)
{
    head_.status_ = status;
    if (containsStatusLine(reason)) {
        error = http::error::bad_reason;
    } else if (status < lowestStatus || status > highestStatus) {
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
    // An answer that ends within its head makes one head with the next answer: its status, the other's headers.
    if (containsStatusLine(value)) {
        error = http::error::bad_value;
        return;
    }
    std::string key(name);
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    head_.headers_.insert_or_assign(std::move(key), std::string(value));
}

} // namespace filbertgw::internal
