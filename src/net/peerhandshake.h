#ifndef FILBERTGW_NET_PEERHANDSHAKE_H
#define FILBERTGW_NET_PEERHANDSHAKE_H

#include "net/peerframe.h"
#include "net/peerlinks.h"

#include <string>
#include <vector>

namespace filbertgw::internal {

/**
 * \brief One side of the keyed handshake of a link; frames in, frames out.
 *
 * The accepting side sends Challenge, the other side Hello, the accepting side Welcome. Hello and Welcome each carry a
 * MAC over both nonces, so that neither can be used on another link. The settings must outlive it.
 */
class PeerHandshake
{
public:
    /** \brief What is to be done after a frame. */
    struct Step
    {
        const char *failure_ = nullptr; ///< Why the link is to be closed; null to go on.
        std::string reply_; ///< Frame to send; may be empty.
        bool isProven_ = false; ///< The peer has proven a key: the handshake is complete.
    };

    PeerHandshake(const PeerSettings &settings, bool isOutgoing);

    /** \brief The accepting side's first frame. */
    std::string challenge();
    Step onFrame(const PeerFrame &frame);

    /** \brief The peer's id, once it has proven a key. */
    const NodeId &peer() const
    {
        return peer_;
    }
    /** \brief Where the peer says that it accepts links; empty if it didn't say. */
    const std::string &peerAddress() const
    {
        return peerAddress_;
    }

private:
    Step onHello(const nlohmann::json &hello);
    Step onChallenge(const nlohmann::json &challenge);
    Step onWelcome(const nlohmann::json &welcome);
    std::string ownAddress() const;
    bool isProof(const std::string &mac, const std::vector<std::string> &fields) const;
    std::string proofOf(const std::vector<std::string> &fields) const;

    const PeerSettings &settings_;
    bool isOutgoing_;
    std::string ownNonce_;
    std::string peerNonce_;
    NodeId peer_;
    std::string peerAddress_;
};

} // namespace filbertgw::internal

#endif
