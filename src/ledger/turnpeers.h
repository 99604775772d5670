#ifndef FILBERTGW_LEDGER_TURNPEERS_H
#define FILBERTGW_LEDGER_TURNPEERS_H

#include "ledger/turnreplicas.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

struct TurnPeersHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    /** \brief Link address of the living node that keeps a copy of a partition; nothing if it is this one. */
    std::function<std::optional<std::string>(const std::string &partition)> holderOf_;
    /** \brief False while the living nodes are not known yet; until then no turn is looked for. */
    std::function<bool()> knowsHolders_;
    /** \sa GatewayHooks::askPeer_ */
    std::function<void(const std::string &address,
                       const std::string &type,
                       const nlohmann::json &body,
                       Duration timeout,
                       std::function<void(const std::optional<nlohmann::json> &)> answer)>
        askPeer_;
};

struct TurnPeersSettings
{
    Duration maxAnswerDelay_{200'000}; ///< A holder that has not found a turn by then says that it still looks for it.
    Duration queryTimeout_{400'000}; ///< A holder that does not answer by then is passed over for skipDuration_.
    Duration skipDuration_{1'000'000};
    Duration pollInterval_{20'000}; ///< Pause before a holder that still looks for a turn is asked again.
    Duration findTimeout_{1'500'000}; ///< Longest time that a turn is looked for.
};

/** \brief Told what is known of one of several turns. */
using TurnLookupCallback = std::function<void(const std::string &turn, ChainStatus, const FoundTurn &)>;

/**
 * \brief Finds kept turns at the nodes that hold copies of their partitions.
 *
 * Each partition has one holder among the living nodes. All others ask it, so that the store sends a partition once and
 * not to every node. If the holder does not answer or can't read the store, the asking node reads the partition itself.
 */
class TurnPeers
{
public:
    TurnPeers(TurnPeersHooks hooks, TurnPeersSettings settings, TurnReplicas &replicas);
    ~TurnPeers();

    /** \brief Looks for turns; \p found is called once for each, maybe at once. */
    void find(const std::vector<std::string> &turns, const TurnLookupCallback &onResult);
    /** \brief True if this node holds the copy of a partition for all others. */
    bool isHolder(const PartitionId &partition) const;
    /** \brief Tells the holder of a turn's partition of it. */
    void announce(const std::string &id, const RetainedTurnPointer &turn);
    /** \brief Answers a request of another node. \return false if the type is not one of this class. */
    bool onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer);

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
