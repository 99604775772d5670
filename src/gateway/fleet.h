#ifndef FILBERTGW_GATEWAY_FLEET_H
#define FILBERTGW_GATEWAY_FLEET_H

#include "gateway/fleetmessage.h"
#include "store/recordstore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace filbertgw {

struct FleetHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void(const std::string &address, const std::string &datagram)> sendDatagram_;
    std::function<NodeReport()> report_;
    std::function<bool()> ledgerComplete_; ///< \sa LedgerState::complete_
    /** \brief A report of a node, or of a group of nodes that are not reported singly. */
    std::function<void(const std::string &source, const NodeReport &)> onReport_;
    std::function<void(const std::string &node, bool alive)> onLivenessChanged_;
};

struct FleetSettings
{
    FleetMember self_;
    Duration reportPeriod_{100'000};
    Duration livenessTimeout_{
        1'000'000}; ///< A node that was heard of within this time is alive; longer in a large fleet.
    Duration summaryTimeout_{500'000}; ///< What a node of this one's group has said is passed on for so long.
    Duration introductionPeriod_{3'000'000}; ///< For so long after its start a node's reports say how to reach it.
    Duration discoveryTime_{300'000}; ///< Time within which every living node answers the first report of a new one.
    std::size_t maxDirectTargets_ =
        24; ///< Most nodes that are all told directly; a larger fleet is divided into groups.
};

/**
 * \brief The other nodes: found through the record store, heard of by datagrams.
 *
 * Nothing is decided by votes; what a node hears only makes its choices better. When the store is away, the nodes
 * known from before still hear of each other. In a large fleet a node reports to its group and what the group reports
 * to nodes of other groups. Nodes of a version without groups are told directly, in turn.
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

    /** \brief A node that can reserve tokens in the store; one of several by the program, so that load spreads. */
    std::optional<FleetMember> nodeWithCurrentLedger(const std::string &program) const;
    /**
     * \brief The node that decides about a program while no node reaches the store.
     * \return nothing if fewer than half of the known nodes are heard of.
     */
    std::optional<FleetMember> coordinatorOf(const std::string &program) const;
    /** \brief Another living node, the same for each call about a program while the same nodes live. */
    std::optional<FleetMember> backupCoordinatorOf(const std::string &program) const;
    /**
     * \brief The living node that keeps a copy of some state for all others, by the name of the state.
     * \return nothing if it is this one.
     */
    std::optional<FleetMember> holderOf(const std::string &state) const;
    /** \brief True once the list of nodes was read and each living one has had the time to answer a first report. */
    bool isDiscoveryComplete() const;
    /**
     * \brief True if no living node may still have to record what it granted without the store.
     *
     * Nodes that have started lately have granted nothing, so they don't count.
     */
    bool allGrantsRecorded() const;
    /** \brief A node by its name, if it is alive. */
    std::optional<FleetMember> findAlive(const std::string &name) const;
    bool isSelf(const FleetMember &member) const;
    std::size_t known() const;
    std::size_t alive() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
