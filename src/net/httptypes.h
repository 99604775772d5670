#ifndef FILBERTGW_NET_HTTPTYPES_H
#define FILBERTGW_NET_HTTPTYPES_H

#include "memory/memorybudget.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace filbertgw {

/** \brief A whole HTTP request; header names are in lower case. */
struct HttpRequest
{
    std::string method_;
    std::string target_; ///< Path and query.
    std::map<std::string, std::string> headers_;
    std::string body_;
};

/** \brief The answer side of one request; may be used later, from the decision loop, as whole answer or stream. */
class HttpReply
{
public:
    virtual ~HttpReply() = default;
    /** \brief Adds a header to the answer; only before send() or startStream(). */
    virtual void setHeader(const std::string &name, const std::string &value) = 0;
    /** \brief Sends a whole answer. */
    virtual void send(int status, const std::string &contentType, const std::string &body) = 0;
    /** \brief Starts a chunked answer. */
    virtual void startStream(int status, const std::string &contentType) = 0;
    /** \brief Sends a part; parts wait in a bounded buffer while the caller reads slowly. */
    virtual void write(const std::string &part) = 0;
    /** \brief Ends the stream. */
    virtual void finish() = 0;
    /** \brief Closes the connection without an end of the answer. */
    virtual void abort() = 0;
    /** \brief Called once from the loop if the peer closes before the answer has ended; an empty function clears it. */
    virtual void onClosed(std::function<void()> closed) = 0;
};

/** \brief The handler may take the request's parts; it usually takes a constant reference. */
using HttpHandler = std::function<void(HttpRequest &&, const std::shared_ptr<HttpReply> &)>;

/** \brief Bounds of an HTTP server. */
struct HttpLimits
{
    std::size_t headerBytes_ = 16 * 1024;
    std::size_t bodyBytes_ = 4 * 1024 * 1024;
    std::size_t writeBufferBytes_ = 4 * 1024 * 1024; ///< A caller that lets more pile up is disconnected.
    std::uint32_t idleSeconds_ = 60;
    std::uint32_t readSeconds_ = 15; ///< For a whole request once it has begun.
    std::size_t connections_ = 4096;
    /** If set, bytes held by connections count towards it, and it decides which of them are refused or closed. */
    std::shared_ptr<MemoryBudget> budget_;
    /**
     * If not 0, a transfer at this rate goes on: readSeconds_ and idleSeconds_ then limit the time without progress.
     * \sa ProgressDeadline
     */
    std::size_t leastBytesPerSecond_ = 0;
};

/** \brief How an HTTP exchange ended at the client's side. */
enum class HttpOutcome : std::uint8_t {
    Complete, ///< Whole answer received.
    NotConnected, ///< The request was not sent.
    Interrupted, ///< Sent, at least in part; the answer is missing or cut.
    TimedOut, ///< Sent; no whole answer in time.
    Cancelled,
};

/** \brief Status line and headers of an answer; header names are in lower case. */
struct HttpHead
{
    int status_ = 0;
    std::map<std::string, std::string> headers_;
};

/** \brief Result of an exchange. */
struct HttpResult
{
    HttpOutcome outcome_ = HttpOutcome::NotConnected;
    int status_ = 0; ///< 0 if no whole head has arrived.
    std::string body_; ///< Empty if parts were streamed.
    std::map<std::string, std::string> headers_; ///< Names in lower case; empty if no whole head has arrived.
    bool reused_ = false; ///< The connection had carried an exchange before.
};

} // namespace filbertgw

#endif
