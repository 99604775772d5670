#include "loopfixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace filbertgw::testing {

RawSocket::RawSocket(std::uint16_t port, int receiveBytes)
    : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
{
    if (receiveBytes > 0) {
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ADD_FAILURE() << "cannot connect to port " << port;
    }
}

RawSocket::~RawSocket()
{
    close();
}

void RawSocket::send(const std::string &bytes)
{
    // The peer may have closed, which is what some tests wait for.
    (void)!::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

bool RawSocket::receive()
{
    std::array<char, 4096> buffer{};
    while (true) {
        const ssize_t size = ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0) {
            received_.append(buffer.data(), static_cast<std::size_t>(size));
        } else {
            return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        }
    }
}

void RawSocket::close()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

} // namespace filbertgw::testing
