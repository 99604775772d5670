#ifndef FILBERTGW_LEDGER_TURNSTORE_H
#define FILBERTGW_LEDGER_TURNSTORE_H

#include "ledger/peerrequest.h"
#include "ledger/turnpeers.h"
#include "ledger/turnreplicas.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief A turn of a chain. */
struct ChainTurn
{
    std::string id_;
    FoundTurn found_;
};

/** \brief A turn and all turns before it, as needed for the prompt of the next turn. */
struct TurnChain
{
    ChainStatus status_ = ChainStatus::Unavailable;
    std::string text_; ///< Concatenated texts of all turns, oldest first.
    std::vector<ChainTurn> turns_; ///< Oldest first.
};

/** \brief A turn that has ended, and the chain that it continues. */
struct EndedTurn
{
    std::string id_;
    std::string text_; ///< Its input, then its output.
    Duration retention_{0}; ///< Of the turn and of its chain.
    std::vector<ChainTurn> chain_; ///< The turns before it, oldest first.
};

/** \brief Dependencies of a TurnStore. */
struct TurnStoreHooks
{
    Clock now_;
    Clock timeOfDay_; ///< Since the Unix epoch.
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    /** \sa TurnPeersHooks */
    std::function<std::optional<std::string>(const std::string &partition)> holderOf_;
    std::function<bool()> knowsHolders_;
    PeerRequest askPeer_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_ =
        [](const std::string &, const nlohmann::json &) {};
};

struct TurnStoreSettings
{
    TurnReplicasSettings replicas_;
    TurnPeersSettings peers_;
    std::size_t maxCacheBytes_ = 12 * 1024 * 1024; ///< For turns that this node has served or looked up.
    std::size_t maxRecordBytes_ = 256 * 1024; ///< Largest record that the store accepts.
    Duration appendTimeout_{600'000}; ///< Then the same record is sent again, which is harmless.
    Duration retryDelay_{50'000};
};

/**
 * \brief Keeps retained turns in the record store, one record each, and assembles chains from them.
 *
 * The id of a turn determines its partition, and its record lists all turns before it. A chain is thus found in two
 * steps wherever its turns are, and a turn that does not exist is detected in one. A turn is durable before its
 * response ends. \sa TurnPeers
 */
class TurnStore
{
public:
    TurnStore(TurnStoreHooks hooks, TurnStoreSettings settings);
    ~TurnStore();

    /**
     * \brief Stores a turn, with retries until it is durable.
     *
     * If turns of its chain would expire in the store before it, their texts are merged into its record. If they do not
     * fit, these turns are rewritten instead.
     * \return a number for abandon().
     */
    std::uint64_t store(const EndedTurn &turn, std::function<void()> onDurable);
    /** \brief Stops the retries; the turn may become durable nevertheless. */
    void abandon(std::uint64_t number);
    /** \brief True if the record of a turn is not too large for the store. */
    bool fits(const EndedTurn &turn) const;

    /** \brief Looks up a turn and all turns before it. */
    void findChain(const std::string &turn, std::function<void(const TurnChain &)> answer);
    /** \brief Handles a request of another node. \return false if its type does not belong to this class. */
    bool onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer);

    /** \brief Bytes of the turns in memory. */
    std::size_t cachedBytes() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
