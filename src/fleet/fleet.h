#ifndef FILBERTGW_FLEET_FLEET_H
#define FILBERTGW_FLEET_FLEET_H

#include "fleet/fleetmessage.h"
#include "store/recordstore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

struct FleetHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void(const std::string &address, const std::string &datagram)> sendDatagram_;
    std::function<NodeReport()> report_; ///< Returns the current report of this node.
    std::function<bool()> ledgerComplete_; ///< \sa LedgerState::complete_
    /** \brief Called for the report of a node or the summary of a group. \p source is the node or group name. */
    std::function<void(const std::string &source, const NodeReport &)> onReport_;
    std::function<void(const std::string &node, bool alive)> onLivenessChanged_;
    /** \brief Called for each message of a node that offers its configuration to others; may be empty. */
    std::function<void(const FleetMember &node, std::uint64_t version)> onConfigurationOffered_;
};

/** \brief Another node, and when it was last seen. */
struct SeenMember
{
    FleetMember member_;
    Time lastSeenAt_{0}; ///< By its own report or its group's.
    bool isAlive_ = false;
};

struct FleetSettings
{
    FleetMember self_;
    Duration reportPeriod_{100'000};
    /** A node is alive if seen within this time; extended in a large fleet, where reports are less frequent. */
    Duration livenessTimeout_{1'000'000};
    Duration summaryTimeout_{500'000}; ///< Age up to which a peer's report is included in the summary of the group.
    Duration introductionPeriod_{3'000'000}; ///< For this time after its start a node's reports contain its addresses.
    Duration discoveryTime_{300'000}; ///< Time within which all live nodes answer the first report of a new node.
    std::size_t maxDirectTargets_ = 24; ///< Direct reports in a round; a fleet with more nodes is divided into groups.
};

/**
 * \brief Tracks the other nodes, which are discovered through the record store and report their state by datagrams.
 *
 * There is no voting and no consensus: reports only improve the decisions of the nodes that receive them. During an
 * outage of the store, nodes that are already known continue to report to each other. In a large fleet a node sends its
 * report to its group, and a summary of its group's reports to nodes of other groups. Nodes of a version without groups
 * get direct reports, round robin.
 *
 * \sa FleetGroups
 */
class Fleet
{
public:
    Fleet(FleetHooks hooks, FleetSettings settings);
    ~Fleet();

    void start();
    void onDatagram(const std::string &datagram);

    /** \brief A live node that can reserve tokens in the store; chosen by a hash of the program to spread load. */
    std::optional<FleetMember> nodeWithCurrentLedger(const std::string &program) const;
    /**
     * \brief The node that decides about a program's budget while no node reaches the store; it may be this one.
     * \return nothing unless more than half of the known nodes are alive, this one included.
     */
    std::optional<FleetMember> coordinatorOf(const std::string &program) const;
    /**
     * \brief True if this node would have been the coordinator of a program at any time within \p window.
     *
     * Then it knows all that a coordinator has decided about the program in this time.
     */
    bool hasCoordinated(const std::string &program, Duration window) const;
    /**
     * \brief Up to \p count other nodes that become coordinator of a program if this one dies, in this order.
     *
     * By weight alone: nodes that each miss fewer than three nodes, and choose the first three, share one of them.
     */
    std::vector<FleetMember> successorsOf(const std::string &program, std::size_t count) const;
    /** \brief Number of other nodes that were lost, or restarted, at or after a time. */
    std::size_t lostSince(Time since) const;
    /** \brief Number of other nodes that are not alive, and were seen at or after a time. */
    std::size_t missingSince(Time since) const;
    /** \brief True if a live node with a complete ledger reports that it misses no grants of an outage. */
    bool hasPeerWithAllGrants() const;
    /** \brief The other node that becomes coordinator of a program if this one dies. */
    std::optional<FleetMember> backupCoordinatorOf(const std::string &program) const;
    /**
     * \brief The live node that serves some state to all others, chosen by a hash of the name of the state.
     * \return nothing if it is this node.
     */
    std::optional<FleetMember> holderOf(const std::string &state) const;
    /** \brief True if this node is one of \p count live nodes that are chosen for a key by rendezvous hashing. */
    bool isChosen(const std::string &key, std::size_t count) const;
    /**
     * \brief Up to \p count other live nodes for a key, ranked by rendezvous hashing.
     *
     * The second is the first one of another failure domain than the first, if there is one.
     */
    std::vector<FleetMember> ranked(const std::string &key, std::size_t count) const;
    /** \brief The same of those nodes that reach endpoints, as far as is known. */
    std::vector<FleetMember> reachingEndpoints(const std::string &key, std::size_t count) const;
    /** \brief True once the list of nodes has been read and the live ones have had discoveryTime_ to answer. */
    bool isDiscoveryComplete() const;
    /**
     * \brief True if no live node can have grants of an outage that are not in the store yet.
     *
     * Nodes whose ledger has not been complete since their start are ignored: they have granted nothing.
     */
    bool allGrantsRecorded() const;
    /** \brief The other nodes that were seen within \p window, in order of their names. */
    std::vector<SeenMember> seenWithin(Duration window) const;
    /** \brief Finds a node by name, if it is alive. */
    std::optional<FleetMember> findAlive(const std::string &name) const;
    bool isSelf(const FleetMember &member) const;
    /** \brief Number of other nodes that were discovered or seen lately. */
    std::size_t known() const;
    /** \brief Number of other nodes that are alive. */
    std::size_t alive() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
