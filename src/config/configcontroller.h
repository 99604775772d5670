#ifndef FILBERTGW_CONFIG_CONFIGCONTROLLER_H
#define FILBERTGW_CONFIG_CONFIGCONTROLLER_H

#include "blackboard/blackboard.h"
#include "config/configsection.h"
#include "core/failure.h"
#include "journal/logtypes.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief What a ConfigController needs from outside. */
struct ConfigHooks
{
    Clock now_;
    RandomSource random_;
    LogAccess log_;
    std::function<void()> changed_; ///< The section has changed.
    /** \brief Asks a peer for entries from an offset; answered by ConfigController::onPeerEntries(). */
    std::function<void(const NodeId &peer, Offset from)> fetchFromPeer_;
    std::function<std::uint32_t()> rank_; ///< This node's rank among the live members, from 0; for re-appending.
};

/** \brief Name of the log stream of configuration records. */
constexpr const char *configStream = "config";

/**
 * \brief Tails the configuration stream and keeps the ConfigSection in force.
 *
 * Reads by long poll; while the log can't be reached it asks peers that are ahead. Its offset never goes back.
 * \sa ConfigFold for what is accepted
 */
class ConfigController
{
public:
    class Builder;

    ~ConfigController();

    void start();
    void tick();
    /** \brief A peer has a higher offset in force. */
    void onPeerOffset(const NodeId &peer, Offset offset);
    /** \brief Entries that a peer was asked for; empty if it could not be reached. */
    void onPeerEntries(const std::vector<LogEntry> &entries);
    /** \brief Entries from an offset, for a peer that can't reach the log; at most `limit`. \sa ConfigFold */
    std::vector<LogEntry> entriesFrom(Offset from, std::size_t limit) const;
    /** \brief True once a configuration is in force. */
    bool isReady() const;
    /** \brief Whole record in force by kind and name, accounts included; null if there is none. */
    nlohmann::json record(const std::string &kind, const std::string &name) const;

private:
    struct Private;
    explicit ConfigController(std::unique_ptr<Private> d);
    std::unique_ptr<Private> d_;
};

/** \brief Builds a ConfigController; the Blackboard must outlive it. */
class ConfigController::Builder
{
public:
    Builder(Blackboard &blackboard, ConfigHooks hooks);
    /** \brief How long the log keeps entries; records are re-appended after half of it. Default 7 days. */
    Builder &retention(Duration retention);
    /** \brief Longest wait of a read that finds no entry. Default 2 s. */
    Builder &pollWait(Duration wait);
    std::unique_ptr<ConfigController> build();

private:
    Blackboard &blackboard_;
    ConfigHooks hooks_;
    Duration retention_;
    Duration pollWait_;
};

/** \brief The section as JSON for `state`; accounts are counted, not listed. */
nlohmann::json dumpConfig(const ConfigSection &section);

/**
 * \brief Checks one configuration record of an operator, as `check` and the fold do.
 *
 * A copy made by hand would be ignored by running nodes and believed by nodes that start later, so it is an error.
 * \return every error found; empty if valid.
 */
std::vector<Failure> validateRecord(const nlohmann::json &record);

} // namespace filbertgw

#endif
