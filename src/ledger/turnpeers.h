#ifndef FILBERTGW_LEDGER_TURNPEERS_H
#define FILBERTGW_LEDGER_TURNPEERS_H

#include "ledger/peerrequest.h"
#include "ledger/turnreplicas.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Dependencies of TurnPeers. */
struct TurnPeersHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    /** \brief Link address of the live node that holds the copy of a partition; nothing if it is this node. */
    std::function<std::optional<std::string>(const std::string &partition)> holderOf_;
    /** \brief False until the live nodes are known; lookups wait until then. */
    std::function<bool()> knowsHolders_;
    PeerRequest askPeer_;
};

struct TurnPeersSettings
{
    Duration maxAnswerDelay_{200'000}; ///< A holder answers by then, without the turns that it is still looking up.
    Duration queryTimeout_{400'000}; ///< A holder that does not answer by then is skipped for skipDuration_.
    Duration skipDuration_{1'000'000};
    Duration pollInterval_{20'000}; ///< Pause before a holder that is still looking up a turn is asked again.
    Duration findTimeout_{1'500'000}; ///< Longest time of a lookup.
};

/** \brief Receives the result for one of several turns that are looked up. */
using TurnLookupCallback = std::function<void(const std::string &turn, ChainStatus, const FoundTurn &)>;

/**
 * \brief Finds retained turns at the nodes that hold copies of their partitions.
 *
 * Each partition has one holder among the live nodes. All other nodes ask it, so that the store sends a partition once
 * instead of to every node. If the holder does not answer or can't read the store, the asking node reads the partition
 * itself.
 */
class TurnPeers
{
public:
    TurnPeers(TurnPeersHooks hooks, TurnPeersSettings settings, TurnReplicas &replicas);
    ~TurnPeers();

    /** \brief Looks up turns; calls \p onResult once for each, possibly before it returns. */
    void find(const std::vector<std::string> &turns, const TurnLookupCallback &onResult);
    /** \brief True if this node holds the copy of a partition for all other nodes. */
    bool isHolder(const PartitionId &partition) const;
    /** \brief Tells the holder of a turn's partition that the turn has been stored. */
    void announce(const std::string &id, const RetainedTurnPointer &turn);
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
