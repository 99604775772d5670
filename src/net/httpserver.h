#ifndef FILBERTGW_NET_HTTPSERVER_H
#define FILBERTGW_NET_HTTPSERVER_H

#include "core/failure.h"
#include "net/httptypes.h"
#include "net/ioloop.h"

namespace filbertgw {

/** \brief HTTP/1.1 server over Boost.Beast with bounded memory for each connection. */
class HttpServer
{
public:
    /** \brief Listens on host:port; port 0 picks a free one. \return a Conflict failure if the address can't be had. */
    static Result<std::unique_ptr<HttpServer>>
    listen(IoLoop &loop, const std::string &address, const HttpLimits &limits, HttpHandler handler);
    ~HttpServer();

    std::uint16_t port() const;
    /**
     * \brief Asks every caller to close its connection from now on, with its answer or while it is idle.
     *
     * New connections are still accepted. \sa stopAccepting()
     */
    void closePolitely();
    /**
     * \brief Closes the listening socket and idle connections; requests in progress go on.
     *
     * Every answer from now on asks the caller to close. Idle connections are kept for one more second, because a
     * request may be on its way on them. \sa openConnections()
     */
    void stopAccepting();
    /** \brief Requests whose answer has not ended, or not yet been taken by the kernel. */
    std::size_t openRequests() const;
    /** \brief Connections that are not closed yet, idle ones included. */
    std::size_t openConnections() const;

    /** \brief The listening socket and its connections; only for the net module. */
    struct Private;

private:
    explicit HttpServer(std::shared_ptr<Private> d);
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
