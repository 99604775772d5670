#ifndef FILBERTGW_NET_HTTPCLIENT_H
#define FILBERTGW_NET_HTTPCLIENT_H

#include "core/time.h"
#include "net/httptypes.h"
#include "net/ioloop.h"

namespace filbertgw {

/** \brief One request to send. */
struct HttpCall
{
    std::string address_; ///< host:port
    HttpRequest request_;
    std::shared_ptr<const std::string> body_; ///< Sent without a copy, in place of the request's own body.
    Duration connectTimeout_{1'000'000};
    Duration timeout_{60'000'000}; ///< For the whole exchange.
    std::size_t maxResponseBytes_ = 16 * 1024 * 1024; ///< A longer answer is Interrupted.
    bool mayReuse_ = true; ///< False for calls that may be sent once only: a fresh connection is used.
    Duration maxIdleAge_{20'000'000}; ///< A connection that was idle for longer is not reused.
    /**
     * \brief If set, an answer whose header of this name has another value belongs to another request and is skipped.
     *
     * The call is sent on a connection that has carried no call with the same value.
     */
    std::string echoHeader_;
    std::string echoValue_;
    std::function<void(const HttpHead &)> onHead_; ///< If set, called once before the first part.
    std::function<void(int status, const std::string &part)> onPart_; ///< If set, the body is passed on in parts.
    std::function<void(const HttpResult &)> onDone_; ///< Exactly once.
};

/**
 * \brief HTTP/1.1 client over Boost.Beast that keeps connections open. It never sends a request twice by itself.
 *
 * A call whose address, method, target or headers could not be sent as one request ends as NotConnected. Hooks are
 * called from the loop, never from within start() or cancel(), and not after the client's destruction.
 */
class HttpClient
{
public:
    explicit HttpClient(IoLoop &loop);
    ~HttpClient();

    /** \brief Starts a call. \return an id for cancel(). */
    std::uint64_t start(HttpCall call);
    /** \brief Closes the connection of a call; its onDone_ gets Cancelled. */
    void cancel(std::uint64_t call);

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
