#ifndef FILBERTGW_NET_HTTPCONNECTION_H
#define FILBERTGW_NET_HTTPCONNECTION_H

#include "net/httpanswerencoder.h"
#include "net/httprequestparser.h"
#include "net/httpserverprivate.h"

#include "memory/progressdeadline.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>

namespace filbertgw::internal {

/**
 * \brief One caller's connection.
 *
 * A read is always outstanding, so that the close of the peer is seen while a request is handled; it pauses when a
 * caller has sent more than one read ahead. Answers collect in pending_ until the loop has run the handlers of its
 * current round, and while a write is in progress. So a part and the end of its stream go out in one system call, and
 * the sends of many streams follow one another, which wakes their readers less often.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;
    using Tcp = boost::asio::ip::tcp;

    HttpConnection(std::shared_ptr<HttpServer::Private> server, Tcp::socket socket);

    void start();
    void close();
    void closeSoonIfIdle();
    void closeIfExpired(SteadyTime now);
    void flush();

    // The answer side; `request` is the number of the request on this connection.
    void setHeader(std::uint64_t request, const std::string &name, const std::string &value);
    void send(std::uint64_t request, int status, const std::string &contentType, const std::string &body);
    void startStream(std::uint64_t request, int status, const std::string &contentType);
    void write(std::uint64_t request, const std::string &part);
    void finish(std::uint64_t request);
    void abort(std::uint64_t request);
    void onClosed(std::uint64_t request, std::function<void()> closed);

private:
    using Error = boost::system::error_code;

    enum class State : std::uint8_t {
        Idle, ///< Between requests.
        Reading,
        Handling,
        Streaming, ///< Answer started.
        Draining, ///< Last answer sent; what still arrives is discarded.
        Closed,
    };

    void read();
    void onRead(const Error &error, std::size_t size);
    void parse();
    bool parseSome();
    Error put(std::size_t &used);
    void handle();
    bool hasTooMuchFraming(std::size_t used);
    bool runsOutOfMemory();
    void refuse(const Error &error);
    void refuse(int status, const std::string &type, const std::string &message);
    void refuseForMemory();
    void setResetOnClose(bool isReset);
    void closeAfterAnswerIfStopping();
    void answerEnded();
    void flushSoon();
    void allWritten();
    void writeRest();
    void written(const Error &error, std::size_t size);
    void evict(MemoryUse use);
    std::size_t unreadBytes() const;
    void updateClaim(std::size_t moved);
    void setDeadline(std::uint32_t seconds);
    void reportClosed(std::function<void()> closed);
    bool isOpen(std::uint64_t request) const;

    std::shared_ptr<HttpServer::Private> server_;
    Tcp::socket socket_;
    State state_ = State::Idle;
    boost::beast::flat_buffer input_;
    std::unique_ptr<HttpRequestParser> parser_;
    std::string pending_;
    std::string writing_;
    HttpAnswerEncoder encoder_{pending_};
    bool reading_ = false;
    bool writeInProgress_ = false;
    bool hasDeadline_ = false;
    bool parsing_ = false;
    bool flushScheduled_ = false;
    SteadyTime deadline_;
    ProgressDeadline readDeadline_; ///< While a request is read.
    ProgressDeadline writeDeadline_;
    std::size_t writtenBytes_ = 0; ///< Of writing_, as far as the kernel has taken them.
    std::size_t wireBytes_ = 0; ///< Of the current request, with its framing.
    std::size_t seenBytes_ = 0; ///< Of the current request, counted as progress.
    std::size_t runningBytes_ = 0; ///< Of the request that is being handled.
    std::uint64_t request_ = 0;
    std::size_t unsentAnswers_ = 0; ///< Ended, but not yet taken by the kernel: they count as open requests.
    std::function<void()> closed_;
    MemoryClaim claim_;
};

} // namespace filbertgw::internal

#endif
