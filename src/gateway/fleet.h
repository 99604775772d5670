#ifndef FILBERTGW_GATEWAY_FLEET_H
#define FILBERTGW_GATEWAY_FLEET_H

#include "gateway/pacetracker.h"
#include "gateway/placement.h"
#include "store/recordstore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace filbertgw {

/** \brief Another node, as it registered itself in the record store. */
struct FleetMember
{
    std::string name_;
    std::string datagramAddress_; ///< host:port
    std::string linkAddress_; ///< host:port
};

/** \brief What a node says of itself several times a second. */
struct NodeReport
{
    bool ledgerCurrent_ = false; ///< It knows what programs have spent and can reserve in the store.
    bool ledgerComplete_ = false; ///< It knew it at some time since its start.
    std::vector<std::pair<std::string, std::uint32_t>> load_; ///< Requests that it runs, by endpoint.
    std::vector<ReadPart> readParts_; ///< Prompt parts that engines have read for it lately.
    std::vector<ServicePace> paces_; ///< How its programs proceed, by service.
};

struct FleetHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    std::function<void(const std::string &address, const std::string &datagram)> sendDatagram_;
    std::function<NodeReport()> report_;
    std::function<bool()> ledgerComplete_; ///< \sa NodeReport::ledgerComplete_
    std::function<void(const std::string &node, const NodeReport &)> onReport_;
    std::function<void(const std::string &node, bool alive)> onAlive_;
};

struct FleetSettings
{
    FleetMember self_;
    Duration reportPeriod_{100'000};
    Duration aliveFor_{1'000'000}; ///< A node that was heard of within this time is alive; longer in a large fleet.
    Duration introduction_{3'000'000}; ///< For so long after its start a node's reports say how to reach it.
    Duration hearAll_{300'000}; ///< Time within which every living node answers the first report of a new one.
    std::size_t reportTargets_ = 24; ///< Nodes that one report goes to; all are told in turn.
};

/**
 * \brief The other nodes: found through the record store, heard of by datagrams.
 *
 * Nothing is decided by votes; what a node hears only makes its choices better. When the store is away, the nodes
 * known from before still hear of each other.
 */
class Fleet
{
public:
    Fleet(FleetHooks hooks, FleetSettings settings);
    ~Fleet();

    void start();
    void onDatagram(const std::string &datagram);

    /** \brief A node that can reserve tokens in the store; one of several by the program, so that load spreads. */
    std::optional<FleetMember> currentNode(const std::string &program) const;
    /**
     * \brief The node that decides about a program while no node reaches the store.
     * \return nothing if fewer than half of the known nodes are heard of.
     */
    std::optional<FleetMember> homeOf(const std::string &program) const;
    /** \brief Another living node, the same for each call about a program while the same nodes live. */
    std::optional<FleetMember> witnessOf(const std::string &program) const;
    /**
     * \brief The living node that keeps a copy of some state for all others, by the name of the state.
     * \return nothing if it is this one.
     */
    std::optional<FleetMember> holderOf(const std::string &state) const;
    /** \brief True once the list of nodes was read and each living one has had the time to answer a first report. */
    bool isSettled() const;
    /**
     * \brief True if no living node may still have to record what it granted without the store.
     *
     * Nodes that have started lately have granted nothing, so they don't count.
     */
    bool knowsNoOutage() const;
    /** \brief A node by its name, if it is alive. */
    std::optional<FleetMember> aliveNode(const std::string &name) const;
    bool isSelf(const FleetMember &member) const;
    std::size_t known() const;
    std::size_t alive() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
