#ifndef FILBERTGW_NET_HTTPCONNECTIONPOOL_H
#define FILBERTGW_NET_HTTPCONNECTIONPOOL_H

#include "core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw::internal {

/** \brief Size of one read of an answer. */
constexpr std::size_t answerReadBytes = 16 * 1024;
/** \brief Most bytes of an answer that wait for the end of a header or of a chunk's header. */
constexpr std::size_t answerBufferBytes = 64 * 1024;
/** \brief Shorter than the idle time of servers (60 s), so that a request rarely meets a connection being closed. */
constexpr std::chrono::seconds idleTime{20};

/** \brief Calls after which a connection is closed; bounds the memory for the ids that it has carried. */
constexpr std::size_t callsPerConnection = 512;

/**
 * \brief One connection to a server; used by one exchange at a time, or waiting in the pool.
 *
 * A server may send an answer a second time, also after answers to later requests. Its id tells it apart only if the
 * connection carries no other exchange with that id, so a connection carries each id once.
 */
struct HttpWire
{
    explicit HttpWire(boost::asio::io_context &context);

    void close();
    /** \brief Records that the connection carries a request with this id. */
    void addId(const std::string &id);
    bool hasCarried(const std::string &id) const;
    /** \brief True if the connection has carried as many ids as it may. */
    bool isUsedUp() const;

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer input_;
    bool idle_ = false;
    std::chrono::steady_clock::time_point idleSince_;
    Duration keepFor_ = idleTime; ///< Idle time after which the server may close it.
    std::vector<std::uint64_t> carriedIds_; ///< Hashes of the ids.
};

using HttpWirePointer = std::shared_ptr<HttpWire>;

/** \brief Four fifths of the idle time that a server announces in `Keep-Alive: timeout=N`, at most idleTime. */
Duration keepTime(const std::map<std::string, std::string> &headers);

/** \brief Idle connections by address; included by the .cpp files of this module only. */
class HttpConnectionPool : public std::enable_shared_from_this<HttpConnectionPool>
{
public:
    /** \brief Keeps a connection on which nothing is due; closes it if there are enough. */
    void keep(const std::string &address, const HttpWirePointer &wire);
    /** \brief A connection that is open, idle for no longer than \p maxAge and has not carried \p id, or null. */
    HttpWirePointer take(const std::string &address, Duration maxAge, const std::optional<std::string> &id);
    /** \brief Closes connections that have been idle for idleTime. */
    void sweep();
    void closeAll();

private:
    void drop(const std::string &address, const HttpWirePointer &wire);

    std::map<std::string, std::deque<HttpWirePointer>> idle_;
};

} // namespace filbertgw::internal

#endif
