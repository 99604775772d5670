#ifndef FILBERTGW_NET_PEERLINKCONFIG_H
#define FILBERTGW_NET_PEERLINKCONFIG_H

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

namespace filbertgw::internal {

/**
 * \brief Configuration of websocketpp for both roles: one thread, no log of its own.
 *
 * Included by the .cpp files of this module only.
 */
struct LinkConfig : public websocketpp::config::core
{
    using type = LinkConfig;
    using base = websocketpp::config::core;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;
    static const bool enable_multithreading = false; // NOLINT(readability-identifier-naming)

    struct transport_config : public base::transport_config // NOLINT(readability-identifier-naming)
    {
        using concurrency_type = type::concurrency_type;
        using alog_type = type::alog_type;
        using elog_type = type::elog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
        static const bool enable_multithreading = false; // NOLINT(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using Server = websocketpp::server<LinkConfig>;
using Client = websocketpp::client<LinkConfig>;
using PeerConnection = websocketpp::connection<LinkConfig>;
using PeerConnectionPointer = std::shared_ptr<PeerConnection>;
using Handle = websocketpp::connection_hdl;

} // namespace filbertgw::internal

#endif
