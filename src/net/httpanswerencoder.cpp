#include "net/httpanswerencoder.h"

// The string view of Boost 1.81 uses it without including it.
#include <ostream>

#include <boost/beast/http/status.hpp>

#include <array>
#include <cstdio>
#include <utility>

namespace filbertgw::internal {

namespace http = boost::beast::http;

std::string refusalBody(const std::string &type, const std::string &message)
{
    return R"({"error":{"type":")" + type + R"(","message":")" + message + R"(","promise":"not_run"}})";
}

HttpAnswerEncoder::HttpAnswerEncoder(std::string &output)
    : output_(output)
{
}

void HttpAnswerEncoder::begin(bool isHttp10, bool headOnly, bool keepAlive)
{
    extraHeaders_.clear();
    chunked_ = !isHttp10;
    headOnly_ = headOnly;
    keepAlive_ = keepAlive;
}

void HttpAnswerEncoder::beginRefusal()
{
    headOnly_ = false;
    keepAlive_ = false;
}

void HttpAnswerEncoder::addHeader(const std::string &name, const std::string &value)
{
    const std::string line = name + ": " + value;
    if (line.find_first_of("\r\n") == std::string::npos) {
        extraHeaders_ += line + "\r\n";
    }
}

void HttpAnswerEncoder::setLast()
{
    keepAlive_ = false;
}

void HttpAnswerEncoder::appendHead(int status, const std::string &contentType)
{
    const boost::beast::string_view reason = http::obsolete_reason(static_cast<http::status>(status));
    output_ += chunked_ ? "HTTP/1.1 " : "HTTP/1.0 ";
    output_ += std::to_string(status);
    output_ += ' ';
    output_.append(reason.data(), reason.size());
    output_ += "\r\n";
    if (!contentType.empty()) {
        output_ += "Content-Type: ";
        output_ += contentType;
        output_ += "\r\n";
    }
    output_ += std::exchange(extraHeaders_, {});
    if (!keepAlive_) {
        output_ += "Connection: close\r\n";
    } else if (!chunked_) {
        output_ += "Connection: keep-alive\r\n";
    }
}

void HttpAnswerEncoder::appendWhole(int status, const std::string &contentType, const std::string &body)
{
    appendHead(status, contentType);
    output_ += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!headOnly_) {
        output_ += body;
    }
}

void HttpAnswerEncoder::appendStreamHead(int status, const std::string &contentType)
{
    if (!chunked_) {
        keepAlive_ = false; // The end of an HTTP/1.0 stream is the end of the connection.
    }
    appendHead(status, contentType);
    output_ += chunked_ ? "Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n" : "\r\n";
}

void HttpAnswerEncoder::appendPart(const std::string &part)
{
    if (!chunked_) {
        output_ += part;
        return;
    }
    std::array<char, 20> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    output_.append(size.data(), static_cast<std::size_t>(length));
    output_ += part;
    output_ += "\r\n";
}

void HttpAnswerEncoder::appendStreamEnd()
{
    if (chunked_ && !headOnly_) {
        output_ += "0\r\n\r\n";
    }
}

} // namespace filbertgw::internal
