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

/** \brief Dependencies of a ConfigController. */
struct ConfigHooks
{
    Clock now_;
    RandomSource random_;
    LogAccess log_;
    std::function<void()> changed_; ///< Called after the section has changed.
    /** \brief Requests entries from an offset on; the response goes to ConfigController::onPeerEntries(). */
    std::function<void(const NodeId &peer, Offset from)> fetchFromPeer_;
    std::function<std::uint32_t()>
        rank_; ///< This node's rank among the live members, from 0; staggers the appending of copies.
};

/** \brief Name of the log stream of configuration records. */
constexpr const char *configStream = "config";

/**
 * \brief Tails the configuration stream and keeps the ConfigSection in force.
 *
 * Reads by long poll. While the log is unreachable it fetches entries from peers that are ahead. The section's offset
 * never decreases.
 * \sa ConfigFold for the rules by which records are accepted
 */
class ConfigController
{
public:
    class Builder;

    ~ConfigController();

    void start();
    void tick();
    /** \brief Handles the offset that a peer has applied. */
    void onPeerOffset(const NodeId &peer, Offset offset);
    /** \brief Handles the response to fetchFromPeer_; empty if the peer could not be reached. */
    void onPeerEntries(const std::vector<LogEntry> &entries);
    /** \brief At most `limit` entries from an offset on, for a peer without the log. \sa ConfigFold::entriesFrom */
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
    /** \brief How long the log keeps entries; records are appended again after half of it. Default 7 days. */
    Builder &retention(Duration retention);
    /** \brief Long-poll timeout of a read. Default 2 s. */
    Builder &pollWait(Duration wait);
    std::unique_ptr<ConfigController> build();

private:
    Blackboard &blackboard_;
    ConfigHooks hooks_;
    Duration retention_;
    Duration pollWait_;
};

/** \brief The section as JSON for `GET /state`; accounts are counted, not listed. */
nlohmann::json dumpConfig(const ConfigSection &section);

/**
 * \brief Validates a record that an operator wants to publish.
 *
 * The fields of a copy are an error here: running nodes would ignore such a record, but nodes that start later would
 * apply it.
 * \return every error found; empty if valid.
 */
std::vector<Failure> validateRecord(const nlohmann::json &record);

} // namespace filbertgw

#endif
