#include "net/udpsocket.h"

#include "net/address.h"
#include "net/ioloopprivate.h"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace filbertgw {

namespace internal {

using Udp = boost::asio::ip::udp;

/** Largest payload of an IPv4 datagram. */
constexpr std::size_t datagramBytes = 65507;

} // namespace internal

struct UdpSocket::Private : std::enable_shared_from_this<UdpSocket::Private>
{
    Private(IoLoop &loop, std::function<void(const std::string &)> received)
        : socket_(loop.d().context_)
        , received_(std::move(received))
    {
    }

    void receive();

    internal::Udp::socket socket_;
    internal::Udp::endpoint from_;
    std::function<void(const std::string &)> received_;
    std::array<char, internal::datagramBytes> buffer_{};
    std::uint16_t port_ = 0;
};

void UdpSocket::Private::receive()
{
    const auto handler = [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        if (!self->socket_.is_open()) {
            return;
        }
        // An error belongs to an earlier send (ICMP port unreachable); the socket stays usable.
        if (!error) {
            self->received_(std::string(self->buffer_.data(), size));
        }
        if (self->socket_.is_open()) {
            self->receive();
        }
    };
    socket_.async_receive_from(boost::asio::buffer(buffer_), from_, handler);
}

Result<std::unique_ptr<UdpSocket>>
UdpSocket::bind(IoLoop &loop, const std::string &address, std::function<void(const std::string &)> received)
{
    const std::optional<Address> parsed = parseAddress(address);
    boost::system::error_code error;
    const boost::asio::ip::address host = boost::asio::ip::make_address(parsed ? parsed->host_ : std::string(), error);
    if (!parsed || error) {
        return boost::leaf::new_error(
            Failure{FailureType::InvalidRequest, true, "not an IP address and port: " + address, Duration{0}});
    }
    const internal::Udp::endpoint endpoint(host, parsed->port_);
    const std::shared_ptr<Private> d = std::make_shared<Private>(loop, std::move(received));
    d->socket_.open(endpoint.protocol(), error);
    if (!error) {
        d->socket_.non_blocking(true, error);
    }
    if (!error) {
        d->socket_.bind(endpoint, error);
    }
    if (error) {
        return boost::leaf::new_error(
            Failure{FailureType::Conflict, true, "cannot bind " + address + ": " + error.message(), Duration{0}});
    }
    d->port_ = d->socket_.local_endpoint(error).port();
    d->receive();
    return std::unique_ptr<UdpSocket>(new UdpSocket(d));
}

UdpSocket::UdpSocket(std::shared_ptr<Private> d)
    : d_(std::move(d))
{
}

UdpSocket::~UdpSocket()
{
    boost::system::error_code ignored;
    d_->socket_.close(ignored);
}

std::uint16_t UdpSocket::port() const
{
    return d_->port_;
}

void UdpSocket::send(const std::string &address, const std::string &datagram)
{
    const std::optional<Address> parsed = parseAddress(address);
    boost::system::error_code error;
    const boost::asio::ip::address host = boost::asio::ip::make_address(parsed ? parsed->host_ : std::string(), error);
    if (!parsed || error) {
        return;
    }
    d_->socket_.send_to(boost::asio::buffer(datagram), internal::Udp::endpoint(host, parsed->port_), 0, error);
}

} // namespace filbertgw
