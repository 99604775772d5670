#ifndef FILBERTGW_NET_PEERLINKS_H
#define FILBERTGW_NET_PEERLINKS_H

#include "core/failure.h"
#include "core/ids.h"
#include "net/ioloop.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace filbertgw {

/**
 * \brief A request from a peer; may be answered later, in parts. Parts after the end are dropped.
 *
 * If the last reference goes without a finish(), the peer's request ends as Broken.
 */
class PeerReply
{
public:
    virtual ~PeerReply() = default;
    virtual void part(const nlohmann::json &body) = 0;
    virtual void finish(const nlohmann::json &body) = 0;
    /** \brief Called once if the link closes before finish(). */
    virtual void onClosed(std::function<void()> closed) = 0;
};

/** \brief Settings of the links between nodes. */
struct PeerSettings
{
    NodeId self_;
    std::string address_; ///< host:port to listen on.
    std::vector<std::string> keys_; ///< Shared keys; the first signs, all are accepted.
    std::size_t frameBytes_ = 8 * 1024 * 1024;
    std::size_t queueBytes_ = 32 * 1024 * 1024; ///< Per link; a link that exceeds it is closed.
    Duration handshakeTimeout_{2'000'000}; ///< From the connect to the end of the keyed handshake.
    Duration pingPeriod_{1'000'000};
    Duration linkTimeout_{5'000'000}; ///< A link on which nothing arrived for so long is closed as half-open.
    std::size_t unprovenLinks_ = 256; ///< Incoming connections that have not proven a key yet; more are closed.
    std::size_t requestsPerLink_ = 65'536; ///< Open requests of one peer; a link that exceeds it is closed.
};

/** \brief How a request to a peer ended. */
enum class PeerOutcome : std::uint8_t {
    Finished,
    NotSent, ///< No link could be made; the peer did not get it.
    Broken, ///< The link closed before the end; the peer may have acted.
};

/**
 * \brief Links between nodes: websocketpp, CBOR frames, keyed handshake; one link a pair, opened on demand.
 *
 * A request that is longer than a frame may be ends as NotSent. A link that the peer has opened is used for requests
 * to it as well, if the peer's announced address is the one asked for. Hooks are called from the loop, never from
 * within request(), and not after the destruction of the links. \sa parsePeerFrame()
 */
class PeerLinks
{
public:
    using Handler = std::function<void(
        const NodeId &from, const std::string &type, const nlohmann::json &body, std::shared_ptr<PeerReply> reply)>;
    using Part = std::function<void(const nlohmann::json &body)>;
    using Done = std::function<void(PeerOutcome outcome, const nlohmann::json &body)>;

    static Result<std::unique_ptr<PeerLinks>> listen(IoLoop &loop, PeerSettings settings, Handler handler);
    ~PeerLinks();

    std::uint16_t port() const;
    /** \brief Links whose handshake is complete. */
    std::size_t openLinks() const;
    /** \brief Sends a request to the peer at host:port; done is called exactly once. \return an id for cancel(). */
    std::uint64_t
    request(const std::string &address, const std::string &type, const nlohmann::json &body, Part part, Done done);
    /** \brief Gives a request up; the peer's PeerReply::onClosed() is called. done is not called. */
    void cancel(std::uint64_t request);
    /** \brief Rotates keys; links in use stay open. */
    void setKeys(const std::vector<std::string> &keys);

    /** \brief The endpoints and links; only for the net module. */
    struct Private;

private:
    explicit PeerLinks(std::shared_ptr<Private> d);
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
