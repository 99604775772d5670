#ifndef FILBERTGW_STREAMS_STREAMORIGINS_H
#define FILBERTGW_STREAMS_STREAMORIGINS_H

#include "endpoints/versionhistory.h"
#include "ledger/fleetmember.h"
#include "ledger/peerrequest.h"
#include "streams/streamorigin.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

struct StreamOriginsSettings
{
    std::size_t holders_ = 2; ///< Other nodes that get a copy of an origin.
    /** Nodes that are asked for an origin; more than hold one, since nodes see different nodes alive. */
    std::size_t askedNodes_ = 4;
    Duration batchDelay_{2'000}; ///< Time for which origins are collected before they are sent.
    Duration shareTimeout_{400'000}; ///< After it, a copy goes to the nodes that are alive then.
    std::size_t announcements_ = 2; ///< Reports to other nodes that contain an origin.
    std::size_t maxAnnounced_ = 64; ///< Origins in one report.
    std::size_t maxShares_ = 3; ///< Times that a copy is sent at most.
    Duration queryTimeout_{200'000};
    Duration expiryPeriod_{1'000'000};
    Duration registrationDelay_{2'000'000}; ///< Longest time between the start of an endpoint and its entry.
    std::size_t maxOrigins_ = 50'000; ///< Beyond it no further ones are kept.
};

struct StreamOriginsHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    /** \brief Other live nodes for a key, the same and in the same order at every node. \sa Fleet::ranked */
    std::function<std::vector<FleetMember>(const std::string &key, std::size_t count)> nodesFor_;
    PeerRequest askPeer_;
    /** \brief Versions of a service that this node has seen within some time. */
    std::function<ServiceVersions(const std::string &service, Duration window)> versionsOf_;
};

/** \brief An attempt of a client that may begin a stream. */
struct StreamStart
{
    std::string attempt_; ///< Id of the client's attempt.
    StreamOrigin origin_;
    std::string incarnation_; ///< Of the endpoint. \sa Endpoint::incarnation
    Duration lifetime_{0}; ///< Time within which the stream may be resumed.
    bool hasOtherServices_ = false; ///< The route may send it to another service as well.
};

/** \brief Asks for the origin of a stream. */
struct StreamQuery
{
    std::string attempt_; ///< Attempt that brought the first event.
    std::vector<std::string> services_; ///< Of the route.
    Duration lifetime_{0}; ///< \sa StreamStart::lifetime_
    /** The registry was read after the client had asked, so that a version which has not been seen began no stream. */
    bool isRegistryCurrent_ = false;
};

/** \brief What the origin of a stream was taken from. */
enum class OriginSource : std::uint8_t {
    None, ///< Nobody knows it.
    Local,
    Peer,
    OnlyVersion, ///< The service had only one version for as long as the stream can have lasted.
};

template<>
struct NameTable<OriginSource>
{
    static constexpr std::array<std::pair<OriginSource, std::string_view>, 4> entries{{
        {OriginSource::None, "none"},
        {OriginSource::Local, "local"},
        {OriginSource::Peer, "peer"},
        {OriginSource::OnlyVersion, "only_version"},
    }};
};

struct FoundOrigin
{
    OriginSource source_ = OriginSource::None;
    StreamOrigin origin_;
};

/**
 * \brief Remembers at which version each stream began, for clients that resume it at another node.
 *
 * A node keeps the origins of its own streams. While a service has several versions, or may have, it also sends them to
 * a few other nodes that are chosen by rendezvous hashing, before the first event arrives. With one version there is
 * nothing to send: a stream that no node knows began at that version. Where neither is certain there is no origin.
 *
 * The next reports contain the same origins, since the nodes that hold one can be lost together.
 */
class StreamOrigins
{
public:
    StreamOrigins(StreamOriginsHooks hooks, StreamOriginsSettings settings);
    ~StreamOrigins();

    /** \brief An attempt is sent to an endpoint; replaces what was recorded for it before. */
    void record(const StreamStart &start);
    /**
     * \brief An endpoint has started again with another version.
     *
     * Streams that were sent to it at the end of its former incarnation, or after it, may have begun at either version:
     * their origin is no version at all. \param writtenAfter a time after which the new incarnation was registered
     */
    void endpointReplaced(const std::string &incarnation, Time writtenAfter);
    /** \brief Looks up an origin; calls \p done once, possibly before it returns. */
    void find(const StreamQuery &query, const std::function<void(const FoundOrigin &)> &done);
    /** \brief Forgets old origins, and shares those of services that no longer have one version. */
    void update();
    /** \brief True unless it has turned out that the version which began a stream of this node is not known. */
    bool isCertain(const std::string &attempt) const;
    std::size_t size() const;
    /** \brief Returns the origins for the next report to other nodes. */
    std::vector<StreamOriginNotice> takeAnnouncements();
    /** \brief Keeps a copy of an origin of another node. */
    void add(const StreamOriginNotice &notice);
    /** \brief Handles a request of another node. \return false if its type does not belong to this class. */
    bool onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer);

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
