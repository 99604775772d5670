#ifndef FILBERTGW_NET_PEERLINK_H
#define FILBERTGW_NET_PEERLINK_H

#include "net/peerhandshake.h"
#include "net/peerlinkconfig.h"
#include "net/peerlinks.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace filbertgw::internal {

/** \brief An own request that has not ended. */
struct PeerCall
{
    PeerLinks::Part part_;
    PeerLinks::Done done_;
};

class PeerLinkReply;

/** \brief One connection between two nodes. */
struct PeerLink
{
    PeerLink(const PeerSettings &settings, bool isOutgoing)
        : isOutgoing_(isOutgoing)
        , handshake_(settings, isOutgoing)
    {
    }

    enum class State : std::uint8_t {
        Connecting,
        Proving, ///< The keyed handshake runs.
        Open,
        Closed,
    };

    bool isOutgoing_;
    PeerHandshake handshake_;
    State state_ = State::Connecting;
    PeerConnectionPointer connection_;
    std::string address_; ///< host:port that requests to the peer are addressed to; empty if unknown.
    NodeId peer_;
    std::chrono::steady_clock::time_point started_;
    std::chrono::steady_clock::time_point lastSeen_;
    std::chrono::steady_clock::time_point lastPing_;
    std::map<std::uint64_t, PeerCall> calls_; ///< Own requests on this link.
    std::map<std::uint64_t, std::weak_ptr<PeerLinkReply>> incoming_; ///< The peer's open requests.
    std::vector<std::pair<std::uint64_t, std::string>> waiting_; ///< Frames of own requests until the link is open.
    std::size_t waitingBytes_ = 0;
};

using PeerLinkPointer = std::shared_ptr<PeerLink>;

} // namespace filbertgw::internal

#endif
