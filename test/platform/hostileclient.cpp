#include "hostileclient.h"

#include "net/ioloopprivate.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace filbertgw::testing {

namespace {

constexpr std::size_t blockBytes = 64 * 1024;
constexpr Duration reconnectPause{50'000};

} // namespace

HostileClient::HostileClient(IoLoop &loop, Tcp::endpoint target, const HostileForm &form, std::size_t mostConnections)
    : loop_(loop)
    , target_(std::move(target))
    , form_(form)
    , socket_(loop.d().context_)
    , mostConnections_(mostConnections)
{
    while (!form_.piece_.empty() && block_.size() < blockBytes) {
        block_ += form_.piece_;
    }
}

void HostileClient::start()
{
    const std::size_t number = ++connection_;
    isStarted_ = false;
    sent_ = 0;
    socket_.async_connect(target_, [self = shared_from_this(), number](const boost::system::error_code &error) {
        if (error) {
            self->closed(number);
            return;
        }
        self->send();
        if (self->form_.reads_) {
            self->receive();
        }
    });
}

void HostileClient::send()
{
    const std::size_t left = form_.pieceBytes_ - std::min(form_.pieceBytes_, sent_);
    if (isStarted_ && left == 0) {
        hasEnded_ = true;
        return;
    }
    const std::string &bytes = isStarted_ ? block_ : form_.start_;
    const std::size_t size = isStarted_ ? std::min(left, bytes.size()) : bytes.size();
    sent_ += isStarted_ ? size : 0;
    isStarted_ = true;
    const std::size_t number = connection_;
    boost::asio::async_write(socket_,
                             boost::asio::buffer(bytes, size),
                             [self = shared_from_this(), number](const boost::system::error_code &error, std::size_t) {
                                 if (error) {
                                     self->closed(number);
                                 } else if (number == self->connection_) {
                                     self->send();
                                 }
                             });
}

void HostileClient::receive()
{
    const std::size_t number = connection_;
    socket_.async_read_some(boost::asio::buffer(input_),
                            [self = shared_from_this(), number](const boost::system::error_code &error, std::size_t) {
                                if (error) {
                                    self->closed(number);
                                } else if (number == self->connection_) {
                                    self->receive();
                                }
                            });
}

void HostileClient::closed(std::size_t connection)
{
    if (isStopped_ || connection != connection_) {
        return;
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (connection_ >= mostConnections_) {
        hasEnded_ = true;
        return;
    }
    ++connection_; // Late events of the closed connection are ignored.
    loop_.after(reconnectPause, [self = shared_from_this()] {
        if (!self->isStopped_) {
            --self->connection_;
            self->start();
        }
    });
}

void HostileClient::stop()
{
    isStopped_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

bool HostileClient::hasEnded() const
{
    return hasEnded_;
}

std::size_t HostileClient::sentBytes() const
{
    return sent_;
}

} // namespace filbertgw::testing
