#ifndef FILBERTGW_TEST_PLATFORM_ENGINEPROCESS_H
#define FILBERTGW_TEST_PLATFORM_ENGINEPROCESS_H

#include "enginerecord.h"
#include "net/ioloop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace filbertgw::testing {

class EngineConnection;

/** \brief What an engine says of itself in the registry. */
struct EngineIdentity
{
    std::string id_;
    std::string service_;
    std::string zone_;
    std::string version_;
    std::string host_;
    std::uint16_t port_ = 0;
    std::uint32_t slots_ = 16;
    Duration eventGap_{5'000};
};

/** \brief How an engine reaches the rest of a deployment. */
struct EngineHooks
{
    /** Writes the engine's entry in the registry; without a value the entry is removed. */
    std::function<void(const std::string &id, const std::optional<std::string> &entry)> writeEntry_;
    std::function<AnswerPlan(const EngineRun &run)> plan_;
    /** Decides whether a request is refused as if the engine were full. */
    std::function<bool()> isFull_;
};

/**
 * \brief Stand-in of an engine on a socket of its own, so that it can send any bytes and cut at any byte.
 *
 * It serves one request at a time on a connection, as the platform's engines do.
 */
class EngineProcess
{
public:
    EngineProcess(IoLoop &loop, EngineIdentity identity, EngineRecord &record, EngineHooks hooks);
    ~EngineProcess();
    EngineProcess(const EngineProcess &) = delete;
    EngineProcess &operator=(const EngineProcess &) = delete;

    /** \brief Listens, and writes the entry after a delay and then with each heartbeat. */
    void start(Duration entryDelay);
    /** \brief Ends as a crash does: connections are reset and the entry stays until it expires. */
    void crash();
    /** \brief Starts again under the same id, with another software version, after a crash. */
    void restart(const std::string &version, Duration entryDelay);
    void writeEntry();

    const EngineIdentity &identity() const;
    bool isRunning() const;

private:
    friend class EngineConnection;

    void accept();
    std::string entry() const;
    std::string report() const;

    IoLoop &loop_;
    EngineIdentity identity_;
    EngineRecord &record_;
    EngineHooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<EngineConnection>> connections_;
    std::shared_ptr<bool> incarnation_; ///< False once this start of the engine has ended.
    std::uint64_t heartbeat_ = 0;
    std::uint64_t expiry_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t bornMs_ = 0;
    std::uint32_t active_ = 0;
};

} // namespace filbertgw::testing

#endif
