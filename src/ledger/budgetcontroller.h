#ifndef FILBERTGW_LEDGER_BUDGETCONTROLLER_H
#define FILBERTGW_LEDGER_BUDGETCONTROLLER_H

#include "fleet/fleet.h"
#include "ledger/firstturnclaims.h"
#include "ledger/partitionedledger.h"
#include "ledger/peerrequest.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace filbertgw {

/** \brief What a granted turn relies on. */
enum class GrantBasis : std::uint8_t {
    None, ///< Not granted.
    Allowance, ///< Tokens that this node has reserved before.
    PeerAllowance, ///< Tokens that another node has reserved before.
    FirstTurn, ///< Nothing is known to be spent; the reservation is recorded while the turn runs.
    Store, ///< A reservation that this node has recorded.
    Peer, ///< A reservation that another node has recorded.
    Coordinator, ///< The coordinator's decision without the store.
};

template<>
struct NameTable<GrantBasis>
{
    static constexpr std::array<std::pair<GrantBasis, std::string_view>, 7> entries{{
        {GrantBasis::None, "none"},
        {GrantBasis::Allowance, "allowance"},
        {GrantBasis::PeerAllowance, "peer_allowance"},
        {GrantBasis::FirstTurn, "first_turn"},
        {GrantBasis::Store, "store"},
        {GrantBasis::Peer, "peer"},
        {GrantBasis::Coordinator, "coordinator"},
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

struct BudgetControllerHooks
{
    PeerRequest askPeer_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
};

/**
 * \brief Decides whether a turn fits into the budget of its program, also while the store is unavailable.
 *
 * The decision is made in the first of these ways that applies:
 * - From an allowance: tokens that this node or another one has reserved in the store for future turns of the program.
 * - In the store, by this node if its ledger is current, else by a node whose ledger is. The first turn of a program
 * runs before it is recorded, at one node only, which the program's coordinator decides.
 * - Without the store, if no node reaches it: by the program's coordinator, which must hear of most nodes. It accounts
 *   the tokens that it grants to the requesting node, and replicates them to a backup coordinator.
 *
 * What runs before it is recorded is forgotten if its nodes are lost, and the program can spend it again. So this is
 * one turn of a program at most: its first one, while nothing is known to be spent, at the node to which the program's
 * coordinator has granted the claim. A coordinator that may have forgotten a claim, or may not have been told of one,
 * grants none; the turn is then reserved in the store, or refused while no node reaches it.
 */
class BudgetController
{
public:
    BudgetController(BudgetControllerHooks hooks, Clock now, PartitionedLedger &ledger, Fleet &fleet);

    void reserve(const TurnReservation &turn, std::function<void(const BudgetGrant &)> decided);
    /** \brief Replaces a granted reservation by the tokens that the turn has used. */
    void settle(const BudgetGrant &grant, std::uint64_t used);
    /** \brief Sends this node's spending, recorded or not, to the nodes that decide without the store. */
    void announceSpending(const std::string &program);
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
    void claimFirstTurn(const TurnReservation &turn, const std::function<void(const std::string &holder)> &claimed);
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
    /** \brief Decides for a node that does not reach the store. */
    void decideForPeer(const TurnReservation &turn,
                       const std::optional<WriterSpending> &claim,
                       const std::function<void(const nlohmann::json &)> &answer);

    BudgetControllerHooks hooks_;
    PartitionedLedger &ledger_;
    Fleet &fleet_;
    FirstTurnClaims claims_; ///< Of the programs that this node coordinates.
    std::set<std::string> endedWriters_; ///< Writers whose node has been restarted since.
};

} // namespace filbertgw

#endif
