#ifndef FILBERTGW_LEDGER_BUDGETCONTROLLER_H
#define FILBERTGW_LEDGER_BUDGETCONTROLLER_H

#include "ledger/firstturnclaims.h"
#include "ledger/fleetmember.h"
#include "ledger/outageprograms.h"
#include "ledger/partitionedledger.h"
#include "ledger/peerrequest.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief What a granted turn relies on. */
enum class GrantBasis : std::uint8_t {
    None, ///< Not granted.
    Allowance, ///< Tokens that this node has reserved before.
    PeerAllowance, ///< Tokens that another node has reserved before.
    FirstTurn, ///< Nothing is known to be spent; the reservation is recorded while the turn runs.
    Store, ///< A reservation that this node has recorded.
    Peer, ///< A reservation that another node has recorded.
    Coordinator, ///< The coordinator's decision without the store, on a first turn.
    Replicas, ///< The same on a later turn, which replicas of the coordinator have acknowledged.
    ForwardingNode, ///< The node that has passed the request on holds the reservation.
};

template<>
struct NameTable<GrantBasis>
{
    static constexpr std::array<std::pair<GrantBasis, std::string_view>, 9> entries{{
        {GrantBasis::None, "none"},
        {GrantBasis::Allowance, "allowance"},
        {GrantBasis::PeerAllowance, "peer_allowance"},
        {GrantBasis::FirstTurn, "first_turn"},
        {GrantBasis::Store, "store"},
        {GrantBasis::Peer, "peer"},
        {GrantBasis::Coordinator, "coordinator"},
        {GrantBasis::Replicas, "replicas"},
        {GrantBasis::ForwardingNode, "forwarding_node"},
    }};
};

/** \brief Tokens that are reserved for a turn, and the node that reserved them. */
struct BudgetGrant
{
    BudgetDecision decision_ = BudgetDecision::Unavailable;
    std::string program_;
    std::uint64_t tokens_ = 0;
    std::string holder_; ///< Link address of the node that reserved the tokens; empty for this one.
    GrantBasis basis_ = GrantBasis::None;
};

/** \brief The other nodes, as far as decisions on budgets need them. \sa Fleet */
struct BudgetNodes
{
    std::function<std::optional<FleetMember>(const std::string &name)> findAlive_;
    std::function<std::optional<FleetMember>(const std::string &program)> withCurrentLedger_;
    /** \brief The node that decides on a program without the store; nothing unless most known nodes are alive. */
    std::function<std::optional<FleetMember>(const std::string &program)> coordinatorOf_;
    std::function<std::optional<FleetMember>(const std::string &program)> backupCoordinatorOf_;
    std::function<std::vector<FleetMember>(const std::string &program, std::size_t count)> successorsOf_;
    std::function<bool(const std::string &program, Duration window)> hasCoordinated_;
    std::function<bool(const FleetMember &member)> isSelf_;
    std::function<bool()> mayMissGrants_; ///< \sa MissedGrantDetector
    std::function<bool()> maySpendReserves_; ///< \sa MissedGrantDetector
    std::function<std::size_t()> copies_; ///< Number of nodes that keep what is granted without the store.
};

struct BudgetControllerHooks
{
    Clock now_;
    PeerRequest askPeer_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
    std::function<void(const std::string &counter, const std::string &label)> count_;
    BudgetNodes nodes_;
};

/**
 * \brief Decides whether a turn fits into the budget of its program, also while the store is unavailable.
 *
 * The decision is made in the first of these ways that applies:
 * - From an allowance: tokens that this node or another one has reserved in the store for future turns of the program.
 * - In the store, by this node if its ledger is current, else by a node whose ledger is. The first turn of a program
 * runs before it is recorded, at one node only, which the program's coordinator decides.
 * - Without the store, if no node reaches it: by the program's coordinator, which must hear of most nodes. It accounts
 *   the tokens that it grants to the requesting node, and replicates them to those that would decide next. A program
 *   that begins without the store also gets later turns so, up to its outage reserve, once replicas have acknowledged.
 *
 * What runs before it is recorded is forgotten if its nodes are lost, and the program can spend it again. So this is
 * one turn of a program at most: its first one, while nothing is known to be spent, at the node to which the program's
 * coordinator has granted the claim. A coordinator that may have forgotten a claim, or may not have been told of one,
 * grants none; the turn is then reserved in the store, or refused while no node reaches it. Later turns that run ahead
 * of their record are covered by the outage reserve, which is in the store with the first record of the program, or is
 * charged by nodes that may have forgotten what the outage granted.
 */
class BudgetController
{
public:
    BudgetController(BudgetControllerHooks hooks, PartitionedLedger &ledger);

    void reserve(const TurnReservation &turn, std::function<void(const BudgetGrant &)> decided);
    /** \brief Replaces a granted reservation by the tokens that the turn has used. */
    void settle(const BudgetGrant &grant, std::uint64_t used);
    /** \brief Sends this node's spending, recorded or not, to the nodes that decide without the store. */
    void announceSpending(const std::string &program);
    /** \brief Releases outage reserves that are not needed any more. Called periodically. */
    void releaseReserves();
    /** \brief Handles a request of another node. \return false if the type is not one of this class. */
    bool onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer);

private:
    using Decided = std::function<void(const BudgetGrant &)>;

    /** \brief A node that holds an allowance of a program. */
    struct AllowanceHolder
    {
        std::string writer_;
        FleetMember node_;
    };

    /** \brief Result of requests to holders of an allowance; of several, the last of these counts. */
    enum class HolderResponse : std::uint8_t {
        NotAsked, ///< No live node is known to hold enough tokens.
        Refused,
        Undecided, ///< It did not answer in time, or its allowance is not durable yet; it may still grant turns.
    };

    /** \brief The first of several writers that is a live node. */
    std::optional<AllowanceHolder> findAliveHolder(const std::vector<std::string> &writers) const;
    void requestFromHolder(const AllowanceHolder &holder,
                           const TurnReservation &turn,
                           const Decided &granted,
                           const std::function<void(HolderResponse)> &refused);
    /** \brief Asks holders one after the other; \p refused is called if none of them grants the turn. */
    void requestFromHolders(const std::vector<std::string> &writers,
                            const TurnReservation &turn,
                            const Decided &granted,
                            const std::function<void(HolderResponse)> &refused,
                            HolderResponse response = HolderResponse::NotAsked);
    /** \brief Refuses a turn that does not fit, unless a former holder has got enough unused tokens back. */
    void refuse(const TurnReservation &turn, HolderResponse response, const Decided &decided);
    void reserveInStore(const TurnReservation &turn, HolderResponse response, const Decided &decided);
    /**
     * \brief Grants a turn of a program of which no spending is known, if the node of its first turn may do so before
     * it is recorded; else the turn is to be reserved in the store. \param undecided is called with what this node may
     * do itself.
     */
    void decideAheadOfRecord(const TurnReservation &turn,
                             const Decided &granted,
                             const std::function<void(ReservationOptions)> &undecided);
    /**
     * \brief Claims a first turn at the coordinator of its program.
     * \param claimed is called with the writer whose claim stands, or with an empty name if that is not known.
     */
    void claimFirstTurn(const TurnReservation &turn,
                        const std::function<void(const std::string &holder, std::uint64_t outageReserve)> &claimed);
    /** \brief Options for a turn that is to be reserved in the store, with the reserve that it has to record. */
    ReservationOptions optionsFor(const TurnReservation &turn, std::uint64_t outageReserve) const;
    /** \brief Handles a claim of a node that reserves in the store if it gets none. */
    std::string decideClaimOrStore(const TurnReservation &turn, const std::string &writer);
    /** \brief Outage reserve that this node knows as coordinator or replica of a program; 0 if there is none. */
    std::uint64_t openReserve(const std::string &program) const;
    /** \brief True if this node, as coordinator, may let the program go on without the store. */
    bool mayOpen(const std::string &program) const;
    /** \brief What a turn without the store relies on; None if it must not run now. */
    GrantBasis basisWithoutStore(const TurnReservation &turn, const std::string &writer);
    /** \brief Completes a turn that was granted from local knowledge, once others know it. */
    void confirmWithReplicas(const TurnReservation &turn,
                             const std::string &writer,
                             GrantBasis basis,
                             const std::function<void(bool confirmed)> &done);
    /** \brief Sends all that is known of a program to its replicas, and merges what they know. */
    void replicateState(const std::string &program, const std::function<void(bool acknowledged)> &done);
    nlohmann::json stateOf(const std::string &program);
    /** \brief Tells the coordinator that a turn has ended that was granted without the store. */
    void reportEnd(const std::string &program);
    /** \brief Grants and answers as coordinator for another node. */
    void grantToPeer(const TurnReservation &turn,
                     const WriterSpending &claim,
                     bool recordsReserve,
                     const std::function<void(const nlohmann::json &)> &answer);
    nlohmann::json applySpendingRequest(const std::string &program, const nlohmann::json &body);
    /**
     * \brief Decides on a claim as coordinator.
     * \return the writer whose claim stands; empty if an earlier claim may not be known here.
     */
    std::string decideClaim(const TurnReservation &turn, const std::string &writer);
    /** \brief Gives up a claim whose turn did not run. */
    void releaseFirstTurn(const std::string &program);
    /** \brief Reserves a turn in the store. */
    void reserveInLedger(const TurnReservation &turn,
                         const ReservationOptions &options,
                         HolderResponse response,
                         const Decided &decided);
    /** \brief Handles the claim of another node, or its release. \return the writer whose claim stands. */
    std::string applyClaim(const std::string &program, const nlohmann::json &body);
    /** \brief Grants a turn of another node from this node's allowance. */
    nlohmann::json grantFromAllowance(const std::string &program, const nlohmann::json &body);
    void reserveAtPeer(const TurnReservation &turn, const Decided &decided);
    void decideWithoutStore(const TurnReservation &turn, const Decided &decided);
    /** \brief Sends the spending of all writers to the node that becomes coordinator if this one dies. */
    void replicateToBackup(const std::string &program, const std::function<void()> &done);
    void sendSpending(const FleetMember &member,
                      const std::string &program,
                      const std::vector<WriterSpending> &spending,
                      const std::function<void()> &done);
    /** \brief Asks another node to decide: in the store, or without it if \p withClaim. */
    void
    requestDecision(const FleetMember &member, const TurnReservation &turn, bool withClaim, const Decided &decided);
    void applySpending(const std::string &program, const nlohmann::json &body);
    /** \brief Decides for a node that does not reach the store; \p recordsReserve if it knows outage reserves. */
    void decideForPeer(const TurnReservation &turn,
                       const std::optional<WriterSpending> &claim,
                       bool recordsReserve,
                       const std::function<void(const nlohmann::json &)> &answer);

    BudgetControllerHooks hooks_;
    PartitionedLedger &ledger_;
    FirstTurnClaims claims_; ///< Of the programs that this node coordinates.
    OutagePrograms outagePrograms_;
    std::set<std::string> endedWriters_; ///< Writers whose node has been restarted since.
};

} // namespace filbertgw

#endif
