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

/** \brief True if a status line such as `HTTP/1.1 200` follows in the text: a cut head runs on into another one. */
bool containsStatusLine(const std::string &text)
{
    const std::string protocol = "HTTP/1.";
    for (std::size_t at = text.find(protocol); at != std::string::npos; at = text.find(protocol, at + 1)) {
        // The minor version, a space and three digits.
        const std::string rest = text.substr(at + protocol.size(), 5);
        const auto isDigit = [&rest](std::size_t index) {
            return std::isdigit(static_cast<unsigned char>(rest[index]));
        };
        if (rest.size() == 5 && rest[1] == ' ' && isDigit(0) && isDigit(2) && isDigit(3) && isDigit(4)) {
            return true;
        }
    }
    return false;
}

} // namespace

HttpAnswerParser::HttpAnswerParser()
    : HttpBodyParser(body_)
{
    header_limit(answerHeaderBytes);
    body_limit(boost::none); // The client counts itself, streamed parts included.
    eager(true);
}

void HttpAnswerParser::on_response_impl(int status, StringView reason, int, Error &error)
{
    head_.status_ = status;
    if (status < lowestStatus || status > highestStatus || containsStatusLine(std::string(reason))) {
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
    std::string text(value);
    if (containsStatusLine(text)) {
        error = http::error::bad_value;
        return;
    }
    std::string key(name);
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    head_.headers_.insert_or_assign(std::move(key), std::move(text));
}

} // namespace filbertgw::internal
