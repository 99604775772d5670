#ifndef FILBERTGW_FLEET_CONFIGURATIONPEERS_H
#define FILBERTGW_FLEET_CONFIGURATIONPEERS_H

#include "ledger/fleetmember.h"
#include "ledger/peerrequest.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief Dependencies of a ConfigurationPeers. */
struct ConfigurationPeersHooks
{
    Clock now_;
    PeerRequest askPeer_;
    std::function<std::uint64_t()> version_; ///< In force at this node; 0 if it has no configuration.
    /** \brief Applies a configuration, unless it is invalid or not newer than the one in force. */
    std::function<void(const std::string &text)> apply_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
};

struct ConfigurationPeersSettings
{
    /** Time for which a newer version is known before a peer is asked: nodes that reach the store read it sooner. */
    Duration grace_{1'000'000};
    Duration timeout_{500'000}; ///< Of a request to a peer.
    Duration retryDelay_{300'000}; ///< Between the end of a request and the next one.
};

/**
 * \brief Gets a newer configuration from other nodes if this node can't read it from the store, and serves it to them.
 *
 * Only configurations with client accounts are exchanged, so that a node which the store rejects learns of removed
 * keys. The text contains keys: it is passed on in the answer to the request `configuration` only, and never logged.
 */
class ConfigurationPeers
{
public:
    ConfigurationPeers(ConfigurationPeersHooks hooks, ConfigurationPeersSettings settings);

    /** \brief A configuration is in force. \param text empty if other nodes must not get it. */
    void setCurrent(std::uint64_t version, std::string text);
    /** \brief Version that this node offers to others; 0 for none. */
    std::uint64_t offeredVersion() const;
    /** \brief A node reports the version that it offers. */
    void reported(const FleetMember &node, std::uint64_t version);
    /** \brief Asks a node that has a newer version, if it is time to. Called periodically. */
    void update();
    /** \brief Handles a request of another node. \return false if its type does not belong to this class. */
    bool onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer) const;

private:
    /** \brief A node with a newer version than the one in force here. */
    struct NewerNode
    {
        FleetMember node_;
        std::uint64_t version_ = 0;
    };

    void answered(const NewerNode &asked, const std::optional<nlohmann::json> &answer);

    ConfigurationPeersHooks hooks_;
    ConfigurationPeersSettings settings_;
    std::uint64_t version_ = 0; ///< Of text_.
    std::string text_;
    std::optional<NewerNode> newer_; ///< The last one that reported.
    std::optional<Time> behindSince_; ///< Since when a newer version is known.
    Time askAfter_{0};
    std::uint64_t rejectedVersion_ = 0; ///< Version that this node could not apply.
    bool isAsking_ = false;
};

} // namespace filbertgw

#endif
