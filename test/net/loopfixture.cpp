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
            isReset_ = isReset_ || (size < 0 && errno == ECONNRESET);
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

RawListener::RawListener()
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    constexpr int backlog = 16;
    if (::bind(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(descriptor_, backlog) != 0) {
        ADD_FAILURE() << "cannot listen";
    }
}

RawListener::~RawListener()
{
    for (const std::pair<const int, std::string> &connection : connections_) {
        ::close(connection.first);
    }
    ::close(descriptor_);
}

std::uint16_t RawListener::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor_, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

void RawListener::serve(const std::string &answer, bool closes)
{
    serve(answer, closes ? AfterAnswer::Close : AfterAnswer::KeepOpen);
}

void RawListener::serve(const std::string &answer, AfterAnswer then)
{
    for (int next = ::accept(descriptor_, nullptr, nullptr); next >= 0;
         next = ::accept(descriptor_, nullptr, nullptr)) {
        connections_[next] = {};
    }
    for (auto connection = connections_.begin(); connection != connections_.end();) {
        const int descriptor = connection->first;
        std::array<char, 4096> buffer{};
        const ssize_t size = ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        connection->second.append(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        const std::size_t end = connection->second.find("\r\n\r\nbody");
        if (end == std::string::npos) {
            ++connection;
            continue;
        }
        ++requests_;
        connection->second.clear();
        (void)!::send(descriptor, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (then == AfterAnswer::KeepOpen) {
            ++connection;
            continue;
        }
        const linger discards{1, 0};
        if (then == AfterAnswer::Reset) {
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discards, sizeof discards);
        }
        ::close(descriptor);
        connection = connections_.erase(connection);
    }
}

void RawListener::write(const std::string &bytes)
{
    for (const std::pair<const int, std::string> &connection : connections_) {
        (void)!::send(connection.first, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
}

int RawListener::requests() const
{
    return requests_;
}

} // namespace filbertgw::testing
