#ifndef FILBERTGW_STREAMS_STREAMOUTPUTS_H
#define FILBERTGW_STREAMS_STREAMOUTPUTS_H

#include "ledger/fleetmember.h"
#include "ledger/peerrequest.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief An event of a stream, as far as later turns need it. */
struct OutputEvent
{
    std::string id_;
    std::string data_;
};

/** \brief What the client of a stream has received, over all its attempts. */
struct StreamOutput
{
    std::uint64_t resumptions_ = 0; ///< Times that the client has resumed the stream.
    std::vector<OutputEvent> events_;

    /** \brief Keeps the events up to the one with this id. \return false if there is none. */
    bool truncateAfter(const std::string &eventId);
    /** \brief The data of all events, each followed by a line feed. */
    std::string text() const;
};

struct StreamOutputsSettings
{
    std::size_t holders_ = 2; ///< Other nodes that get a copy.
    /** Nodes that are asked for an output; more than hold one, since nodes see different nodes alive. */
    std::size_t askedNodes_ = 4;
    /** Time by which a client gets an event later than its copies are sent, so that it never knows more than they do.
     */
    Duration lead_{2'000};
    Duration shareTimeout_{400'000};
    Duration queryTimeout_{200'000};
    Duration expiryPeriod_{1'000'000};
    std::size_t maxBytes_ = 4 * 1024 * 1024; ///< Of all outputs; one that would exceed it is forgotten.
};

struct StreamOutputsHooks
{
    Clock now_;
    /** \brief Other live nodes for a key, the same and in the same order at every node. \sa Fleet::ranked */
    std::function<std::vector<FleetMember>(const std::string &key, std::size_t count)> nodesFor_;
    PeerRequest askPeer_;
};

/**
 * \brief Remembers the events of streams that are retained and resumable, for the node at which a client resumes one.
 *
 * A retained turn contains all events that its client has received. The node that resumes the stream relays the rest
 * only, and the node that relayed the first events may be lost, so each node sends the events that it relays to a few
 * others, which are chosen by rendezvous hashing. A client may have received fewer events than were relayed to it: when
 * it resumes the stream, those after its last event are dropped, and copies that lack this are outvoted by the number
 * of resumptions.
 */
class StreamOutputs
{
public:
    StreamOutputs(StreamOutputsHooks hooks, StreamOutputsSettings settings);
    ~StreamOutputs();

    /**
     * \brief A stream begins, or goes on after \p output, at this node.
     * \param stream id of the client's attempt that began it
     * \param lifetime time after its last event within which it may be resumed
     */
    void begin(const std::string &stream, StreamOutput output, Duration lifetime);
    /** \brief Events were relayed to the client. */
    void add(const std::string &stream, std::vector<OutputEvent> events);
    /**
     * \brief Looks up what a client had received when it got its last event.
     *
     * Calls \p done once, possibly before it returns; with nothing if no node knows.
     */
    void find(const std::string &stream,
              const std::string &lastEventId,
              const std::function<void(const std::optional<StreamOutput> &)> &done);
    /** \brief Forgets outputs whose lifetime has passed. */
    void expire();
    std::size_t bytes() const;
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
