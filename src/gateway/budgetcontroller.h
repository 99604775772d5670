#ifndef FILBERTGW_GATEWAY_BUDGETCONTROLLER_H
#define FILBERTGW_GATEWAY_BUDGETCONTROLLER_H

#include "gateway/fleet.h"
#include "ledger/partitionedledger.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace filbertgw {

/** \brief Tokens that were reserved for a turn, and the node whose account they are in. */
struct BudgetGrant
{
    BudgetDecision decision_ = BudgetDecision::Unavailable;
    std::string program_;
    std::uint64_t tokens_ = 0;
    std::string holder_; ///< Link address of the node that reserved them; empty for this one.
};

struct BudgetControllerHooks
{
    /** \brief Sends a request to another node; nothing is returned if it did not answer in time. */
    std::function<void(const std::string &address,
                       const std::string &type,
                       const nlohmann::json &body,
                       Duration timeout,
                       std::function<void(const std::optional<nlohmann::json> &)> answer)>
        askPeer_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
};

/**
 * \brief Decides whether a turn fits into the budget of its program, also while the store can't be reached.
 *
 * A turn is granted from what a node has reserved ahead for its program, by this node or by asking the holder. Else a
 * node whose knowledge is current decides with the store. One that has lost the store asks a node that has not.
 * While no node reaches it, one node decides about each program for all others, if it hears of most nodes. The tokens
 * that it grants are the asking node's, and the node that would decide next knows of them as well.
 * Beyond one turn, only a part of a budget is spent so, since the loss of all nodes would forget it.
 * Turns of sub-agents wait for the store then: a looping program starts many at once, through many nodes, faster than
 * nodes that stop and start can tell each other of them.
 */
class BudgetController
{
public:
    BudgetController(BudgetControllerHooks hooks, PartitionedLedger &ledger, Fleet &fleet);

    void reserve(const TurnReservation &turn, std::function<void(const BudgetGrant &)> decided);
    void settle(const BudgetGrant &grant, std::uint64_t used);
    /** \brief Tells the nodes that would decide without the store what this one has spent and not recorded yet. */
    void announceSpending(const std::string &program);
    /** \brief Answers a request of another node. \return false if the type is not one of this class. */
    bool onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer);

private:
    using Decided = std::function<void(const BudgetGrant &)>;

    /** \brief A node that has reserved tokens of a program ahead. */
    struct AllowanceHolder
    {
        std::string writer_;
        FleetMember node_;
    };

    /** \brief What came of asking the holder of an allowance. */
    enum class HolderResponse : std::uint8_t {
        NotAsked, ///< No living node is known to hold enough.
        Refused,
        Undecided, ///< It did not answer in time, or waits for its own reservation; it may still grant turns.
    };

    std::optional<AllowanceHolder> findAliveHolder(const std::vector<std::string> &writers) const;
    void requestFromHolder(const AllowanceHolder &holder,
                           const TurnReservation &turn,
                           const Decided &granted,
                           const std::function<void(HolderResponse)> &refused);
    void refuse(const TurnReservation &turn, HolderResponse response, const Decided &decided);
    void reserveInStore(const TurnReservation &turn, HolderResponse response, const Decided &decided);
    nlohmann::json grantFromAllowance(const std::string &program, const nlohmann::json &body);
    void reserveAtPeer(const TurnReservation &turn, const Decided &decided);
    void decideWithoutStore(const TurnReservation &turn, const Decided &decided);
    void replicateToBackup(const std::string &program, const std::function<void()> &done);
    void sendSpending(const FleetMember &member,
                      const std::string &program,
                      const std::vector<WriterSpending> &spending,
                      const std::function<void()> &done);
    void
    requestDecision(const FleetMember &member, const TurnReservation &turn, bool withClaim, const Decided &decided);
    void applySpending(const std::string &program, const nlohmann::json &body);
    void decideForPeer(const TurnReservation &turn,
                       const std::optional<WriterSpending> &claim,
                       const std::function<void(const nlohmann::json &)> &answer);

    BudgetControllerHooks hooks_;
    PartitionedLedger &ledger_;
    Fleet &fleet_;
    std::set<std::string> endedWriters_; ///< Incarnations of nodes that have ended.
};

} // namespace filbertgw

#endif
