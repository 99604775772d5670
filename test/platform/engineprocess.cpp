#include "engineconnection.h"

// An engine's socket belongs on the loop of the test; no class of the net module sends bytes that break the protocol.
#include "net/ioloopprivate.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace filbertgw::testing {

namespace {

constexpr Duration heartbeatPeriod{1'200'000};
constexpr Duration entryLifetime = heartbeatPeriod * 3; ///< After the last heartbeat.

} // namespace

EngineProcess::EngineProcess(IoLoop &loop, EngineIdentity identity, EngineRecord &record, EngineHooks hooks)
    : loop_(loop)
    , identity_(std::move(identity))
    , record_(record)
    , hooks_(std::move(hooks))
    , acceptor_(loop.d().context_)
{
}

EngineProcess::~EngineProcess()
{
    crash();
    loop_.cancel(expiry_);
}

void EngineProcess::start(Duration entryDelay)
{
    using Tcp = boost::asio::ip::tcp;
    incarnation_ = std::make_shared<bool>(true);
    bornMs_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    sequence_ = 0;
    boost::system::error_code error;
    const Tcp::endpoint endpoint(boost::asio::ip::make_address(identity_.host_), identity_.port_);
    acceptor_.open(endpoint.protocol(), error);
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
    EXPECT_FALSE(error) << "engine cannot listen on " << endpoint << ": " << error.message();
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    accept();
    loop_.after(entryDelay, [this, incarnation = incarnation_] {
        if (*incarnation) {
            loop_.cancel(expiry_);
            writeEntry();
            heartbeat_ = loop_.every(heartbeatPeriod, [this] { writeEntry(); });
        }
    });
}

void EngineProcess::accept()
{
    acceptor_.async_accept([this, incarnation = incarnation_](const boost::system::error_code &error,
                                                              boost::asio::ip::tcp::socket socket) {
        if (!*incarnation || error) {
            return;
        }
        const std::shared_ptr<EngineConnection> connection =
            std::make_shared<EngineConnection>(*this, std::move(socket));
        connections_.insert(connection);
        connection->read();
        accept();
    });
}

void EngineProcess::crash()
{
    if (!isRunning()) {
        return;
    }
    *incarnation_ = false;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    loop_.cancel(heartbeat_);
    const std::set<std::shared_ptr<EngineConnection>> connections = connections_;
    for (const std::shared_ptr<EngineConnection> &connection : connections) {
        connection->close(ConnectionEnd::Reset);
    }
    active_ = 0;
    expiry_ = loop_.after(entryLifetime, [this] { hooks_.writeEntry_(identity_.id_, std::nullopt); });
}

void EngineProcess::restart(const std::string &version, Duration entryDelay)
{
    crash();
    identity_.version_ = version;
    start(entryDelay);
}

void EngineProcess::writeEntry()
{
    ++sequence_;
    hooks_.writeEntry_(identity_.id_, entry());
}

std::string EngineProcess::entry() const
{
    const nlohmann::json entry{{"service", identity_.service_},
                               {"address", identity_.host_ + ':' + std::to_string(identity_.port_)},
                               {"zone", identity_.zone_},
                               {"version", identity_.version_},
                               {"slots", identity_.slots_},
                               {"state", "ready"},
                               {"cold_left_ms", 0},
                               {"stage", "both"},
                               {"models", {{{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}}}},
                               {"sequence", sequence_},
                               {"born", bornMs_}};
    return entry.dump();
}

std::string EngineProcess::report() const
{
    const nlohmann::json report{{"stage", "both"},
                                {"models", {{{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}}}},
                                {"busy", false},
                                {"sequence", 0},
                                {"queued", 0},
                                {"active", active_},
                                {"kv_used", 0},
                                {"kv_total", 585539},
                                {"handles", 0},
                                {"born", bornMs_}};
    return report.dump();
}

const EngineIdentity &EngineProcess::identity() const
{
    return identity_;
}

bool EngineProcess::isRunning() const
{
    return incarnation_ && *incarnation_;
}

} // namespace filbertgw::testing
