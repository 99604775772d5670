#ifndef FILBERTGW_NODE_NODEHOOKS_H
#define FILBERTGW_NODE_NODEHOOKS_H

#include "core/time.h"
#include "journal/logtypes.h"
#include "net/httpclient.h"
#include "net/peerlinks.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace filbertgw {

/** \brief External dependencies of a node: sockets and timers in `serve`, fakes in virtual time in tests. */
struct NodeHooks
{
    Clock now_;
    RandomSource random_;
    std::function<void(std::function<void()>)> post_; ///< Queues a task to run after the current one.
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    std::function<void(std::uint64_t timer)> cancelTimer_;
    LogAccess log_;
    std::function<std::uint64_t(HttpCall)> startHttp_;
    std::function<void(std::uint64_t call)> cancelHttp_;
    /** \brief Sends a request to a peer. \sa PeerLinks::request */
    std::function<std::uint64_t(
        const std::string &address, const std::string &type, const nlohmann::json &, PeerLinks::Part, PeerLinks::Done)>
        requestPeer_;
    std::function<void(std::uint64_t request)> cancelPeer_;
    std::function<void(const std::string &address, const std::string &datagram)> sendDatagram_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
};

} // namespace filbertgw

#endif
