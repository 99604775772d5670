#ifndef FILBERTGW_NET_ADDRESS_H
#define FILBERTGW_NET_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief A network address as host and port, parsed from `host:port` or `[v6]:port`. */
struct Address
{
    std::string host_;
    std::uint16_t port_ = 0;
};

/** \brief Parses `host:port`. \return nothing if the host is empty or the port is no number from 0 to 65535. */
std::optional<Address> parseAddress(const std::string &text);

} // namespace filbertgw

#endif
