#ifndef FILBERTGW_TEST_NET_PEERPROBE_H
#define FILBERTGW_TEST_NET_PEERPROBE_H

#include "loopfixture.h"
#include "net/peerframe.h"

#include <optional>

namespace filbertgw::testing {

/** \brief A client of peer links that speaks WebSocket by hand, so that it can send what PeerLinks never would. */
class PeerProbe
{
public:
    PeerProbe(LoopFixture &fixture, std::uint16_t port, int receiveBytes = 0);

    /** \brief Sends one masked frame. \param opcode 1 text, 2 binary. */
    void send(const std::string &payload, unsigned opcode = 2);
    /** \brief Runs the loop until a data frame arrives; nothing if the server closes. */
    std::optional<PeerFrame> receive();
    /** \brief Runs the loop until the server closes the connection. */
    void waitForClose();
    /** \brief Takes the challenge and answers it with this key. \return the hello frame that was sent. */
    std::string sendHello(const std::string &key);
    /** \brief The whole handshake. */
    void open(const std::string &key);

    RawSocket socket_;

private:
    std::optional<std::string> takeFrame();

    LoopFixture &fixture_;
    std::size_t position_ = 0;
};

} // namespace filbertgw::testing

#endif
