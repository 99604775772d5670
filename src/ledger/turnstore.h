#ifndef FILBERTGW_LEDGER_TURNSTORE_H
#define FILBERTGW_LEDGER_TURNSTORE_H

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

/** \brief A turn and all before it, as the prompt of the next one needs them. */
struct TurnChain
{
    ChainStatus status_ = ChainStatus::Unavailable;
    std::string text_; ///< The texts of all turns, the oldest first, joined.
    std::vector<ChainTurn> turns_; ///< The oldest first.
};

/** \brief A turn that has ended, and the chain that it goes on from. */
struct EndedTurn
{
    std::string id_;
    std::string text_; ///< Its input, then its output.
    Duration retention_{0}; ///< Of the turn and of its chain.
    std::vector<ChainTurn> chain_; ///< The turns before it, the oldest first.
};

struct TurnStoreHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
    /** \sa TurnPeersHooks */
    std::function<std::optional<std::string>(const std::string &partition)> holderOf_;
    std::function<bool()> knowsHolders_;
    std::function<void(const std::string &address,
                       const std::string &type,
                       const nlohmann::json &body,
                       Duration timeout,
                       std::function<void(const std::optional<nlohmann::json> &)> answer)>
        askPeer_;
};

struct TurnStoreSettings
{
    TurnReplicasSettings replicas_;
    TurnPeersSettings peers_;
    std::size_t maxCacheBytes_ = 12 * 1024 * 1024; ///< Turns that this node has served or asked for.
    std::size_t maxRecordBytes_ = 256 * 1024; ///< Largest record that the store takes.
    Duration appendTimeout_{600'000}; ///< After this the same record is sent again, which is harmless.
    Duration retryDelay_{50'000};
};

/**
 * \brief Keeps retained turns in the record store, one record each, and puts chains together from them.
 *
 * The partition of a turn follows from its id, and its record names all turns before it, so that a chain is found in
 * two steps wherever its turns are, and a turn that does not exist is known after one. A turn is in the store before
 * its response ends. \sa TurnPeers
 */
class TurnStore
{
public:
    TurnStore(TurnStoreHooks hooks, TurnStoreSettings settings);
    ~TurnStore();

    /**
     * \brief Stores a turn; tries again until it is durable.
     *
     * If the store would delete turns before it earlier, the record contains their texts, or they are written again if
     * it can't hold them.
     * \return a number for abandon().
     */
    std::uint64_t store(const EndedTurn &turn, std::function<void()> onDurable);
    /** \brief Stops trying; the turn may be durable all the same. */
    void abandon(std::uint64_t number);
    bool fits(const EndedTurn &turn) const;

    /** \brief Finds a turn and all before it. */
    void findChain(const std::string &turn, std::function<void(const TurnChain &)> answer);
    /** \brief Answers a request of another node. \return false if the type is not one of this class. */
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
