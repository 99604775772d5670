#ifndef FILBERTGW_NET_UDPSOCKET_H
#define FILBERTGW_NET_UDPSOCKET_H

#include "core/failure.h"
#include "net/ioloop.h"

#include <string>

namespace filbertgw {

/** \brief Datagrams to and from other nodes. */
class UdpSocket
{
public:
    static Result<std::unique_ptr<UdpSocket>>
    bind(IoLoop &loop, const std::string &address, std::function<void(const std::string &datagram)> received);
    ~UdpSocket();
    std::uint16_t port() const;
    /** \brief Sends to host:port; a datagram that can't be sent at once is dropped. */
    void send(const std::string &address, const std::string &datagram);

private:
    struct Private;
    explicit UdpSocket(std::shared_ptr<Private> d);
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
