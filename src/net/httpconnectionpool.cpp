#include "net/httpconnectionpool.h"

#include "core/stablehash.h"

#include <algorithm>
#include <cstdlib>

namespace filbertgw::internal {

namespace {

/** \brief Idle connections kept for one address; more are closed. */
constexpr std::size_t idlePerAddress = 64;

using SteadyTime = std::chrono::steady_clock::time_point;

/** \brief True unless the server has closed the connection or sent something on it. */
bool isQuiet(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code state;
    socket.non_blocking(true, state);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, state);
    return state == boost::asio::error::would_block;
}

} // namespace

HttpWire::HttpWire(boost::asio::io_context &context)
    : socket_(context)
    , input_(answerBufferBytes)
{
}

void HttpWire::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void HttpWire::addId(const std::string &id)
{
    carriedIds_.push_back(stableHash(id));
}

bool HttpWire::hasCarried(const std::string &id) const
{
    return std::find(carriedIds_.begin(), carriedIds_.end(), stableHash(id)) != carriedIds_.end();
}

bool HttpWire::isUsedUp() const
{
    return carriedIds_.size() >= callsPerConnection;
}

Duration keepTime(const std::map<std::string, std::string> &headers)
{
    const std::map<std::string, std::string>::const_iterator header = headers.find("keep-alive");
    const std::string name = "timeout=";
    const std::size_t start = header == headers.end() ? std::string::npos : header->second.find(name);
    if (start == std::string::npos) {
        return idleTime;
    }
    const long seconds = std::strtol(header->second.c_str() + start + name.size(), nullptr, 10);
    constexpr long most = 3600;
    return std::min<Duration>(idleTime, std::chrono::milliseconds(std::clamp(seconds, 0L, most) * 800));
}

void HttpConnectionPool::keep(const std::string &address, const HttpWirePointer &wire)
{
    std::deque<HttpWirePointer> &idle = idle_[address];
    if (idle.size() >= idlePerAddress) {
        wire->close();
        return;
    }
    wire->idle_ = true;
    wire->idleSince_ = std::chrono::steady_clock::now();
    idle.push_back(wire);
    // Nothing is due on an idle connection: readiness means that the server has closed it.
    wire->socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                             [self = shared_from_this(), wire, address](const boost::system::error_code &error) {
                                 if (!error && wire->idle_) {
                                     self->drop(address, wire);
                                 }
                             });
}

HttpWirePointer
HttpConnectionPool::take(const std::string &address, Duration maxAge, const std::optional<std::string> &id)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const std::map<std::string, std::deque<HttpWirePointer>>::iterator found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    std::deque<HttpWirePointer> &idle = found->second;
    // The one used last is the least likely to be closed by the server.
    for (std::size_t left = idle.size(); left > 0; --left) {
        const HttpWirePointer wire = idle[left - 1];
        if (id && wire->hasCarried(*id)) {
            continue;
        }
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(left - 1));
        wire->idle_ = false;
        boost::system::error_code ignored;
        wire->socket_.cancel(ignored);
        // The close may have arrived without its handler having run yet.
        if (isQuiet(wire->socket_) && now - wire->idleSince_ <= std::min(maxAge, wire->keepFor_)) {
            return wire;
        }
        wire->close();
    }
    if (idle.empty()) {
        idle_.erase(found);
    }
    return nullptr;
}

void HttpConnectionPool::drop(const std::string &address, const HttpWirePointer &wire)
{
    wire->close();
    wire->idle_ = false;
    const std::map<std::string, std::deque<HttpWirePointer>>::iterator found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    found->second.erase(std::remove(found->second.begin(), found->second.end(), wire), found->second.end());
    if (found->second.empty()) {
        idle_.erase(found);
    }
}

void HttpConnectionPool::sweep()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    std::map<std::string, std::deque<HttpWirePointer>>::iterator entry = idle_.begin();
    while (entry != idle_.end()) {
        std::deque<HttpWirePointer> &idle = entry->second;
        while (!idle.empty() && now - idle.front()->idleSince_ >= idleTime) {
            idle.front()->idle_ = false;
            idle.front()->close();
            idle.pop_front();
        }
        entry = idle.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

void HttpConnectionPool::closeAll()
{
    for (const std::pair<const std::string, std::deque<HttpWirePointer>> &entry : idle_) {
        for (const HttpWirePointer &wire : entry.second) {
            wire->idle_ = false;
            wire->close();
        }
    }
    idle_.clear();
}

} // namespace filbertgw::internal
