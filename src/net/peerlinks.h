#ifndef FILBERTGW_NET_PEERLINKS_H
#define FILBERTGW_NET_PEERLINKS_H

#include "core/failure.h"
#include "core/ids.h"
#include "net/ioloop.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace filbertgw {

/** \brief A request from a peer; may be answered later, in parts. Parts after the end are dropped. */
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
};

/** \brief How a request to a peer ended. */
enum class PeerOutcome : std::uint8_t {
    Finished,
    NotSent, ///< No link could be made; the peer did not get it.
    Broken, ///< The link closed before the end; the peer may have acted.
};

/** \brief Links between nodes: websocketpp, CBOR frames, keyed handshake; one link a pair, opened on demand. */
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
    /** \brief Sends a request to the peer at host:port; done is called exactly once. \return an id for cancel(). */
    std::uint64_t
    request(const std::string &address, const std::string &type, const nlohmann::json &body, Part part, Done done);
    /** \brief Gives a request up; the peer's PeerReply::onClosed() is called. done is not called. */
    void cancel(std::uint64_t request);
    /** \brief Rotates keys; links in use stay open. */
    void setKeys(const std::vector<std::string> &keys);

private:
    struct Private;
    explicit PeerLinks(std::shared_ptr<Private> d);
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
