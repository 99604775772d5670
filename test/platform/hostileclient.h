#ifndef FILBERTGW_TEST_PLATFORM_HOSTILECLIENT_H
#define FILBERTGW_TEST_PLATFORM_HOSTILECLIENT_H

#include "net/ioloop.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <string>

namespace filbertgw::testing {

/** \brief What a hostile client sends: a start, then one piece again and again. */
struct HostileForm
{
    std::string name_;
    std::string start_;
    std::string piece_;
    std::size_t pieceBytes_ = 0; ///< Total size of the repeated pieces; the connection stays open after them.
    bool reads_ = true; ///< False for clients that never read a response.
};

/** \brief A client that sends a form on one connection and connects again, a few times, when it is closed. */
class HostileClient : public std::enable_shared_from_this<HostileClient>
{
public:
    using Tcp = boost::asio::ip::tcp;

    HostileClient(IoLoop &loop, Tcp::endpoint target, const HostileForm &form, std::size_t mostConnections);

    void start();
    /** \brief Closes the connection and forgets it. */
    void stop();
    /** \brief True once all bytes are sent, or no connection is left to try. */
    bool hasEnded() const;
    std::size_t sentBytes() const;

private:
    void send();
    void receive();
    void closed(std::size_t connection);

    IoLoop &loop_;
    const Tcp::endpoint target_;
    const HostileForm &form_;
    std::string block_; ///< Many pieces, for fewer system calls.
    Tcp::socket socket_;
    std::array<char, 16384> input_{};
    std::size_t connection_ = 0; ///< Number of the current connection.
    const std::size_t mostConnections_;
    std::size_t sent_ = 0; ///< On the current connection, after the start.
    bool isStarted_ = false; ///< The start has been sent.
    bool hasEnded_ = false;
    bool isStopped_ = false;
};

} // namespace filbertgw::testing

#endif
