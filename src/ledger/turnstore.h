#ifndef FILBERTGW_LEDGER_TURNSTORE_H
#define FILBERTGW_LEDGER_TURNSTORE_H

#include "store/recordstore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief A turn whose text later turns continue from. */
struct RetainedTurn
{
    std::string id_;
    std::string previous_; ///< Turn that it continues from; empty at the start of a chain.
    std::string text_; ///< What the turn adds to the prompt of the next one: its input, then its output.
    Duration retention_{0}; ///< How long it is kept after its end.
};

/** \brief What is known of a chain of turns. */
enum class ChainStatus : std::uint8_t {
    Found,
    Missing, ///< The store was read and has no such turn.
    Unavailable, ///< The store could not be read.
};

template<>
struct NameTable<ChainStatus>
{
    static constexpr std::array<std::pair<ChainStatus, std::string_view>, 3> entries{{
        {ChainStatus::Found, "found"},
        {ChainStatus::Missing, "missing"},
        {ChainStatus::Unavailable, "unavailable"},
    }};
};

struct TurnStoreHooks
{
    Clock now_;
    std::function<std::uint64_t(Duration, std::function<void()>)> after_;
    RecordStore store_;
};

struct TurnStoreSettings
{
    std::uint32_t streams_ = 12; ///< More make a read smaller, and a scan, which reads each partition, dearer.
    std::uint32_t partitionsPerStream_ = 8;
    std::size_t cacheBytes_ = 12 * 1024 * 1024;
    std::size_t recordBytes_ = 256 * 1024; ///< Largest record that the store takes.
    Duration appendTimeout_{600'000}; ///< After this the same record is sent again, which is harmless.
    Duration retry_{50'000};
    Duration scanPause_{1'000'000}; ///< Between two scans: each reads the whole store.
    std::uint32_t scanReads_ = 16; ///< Partitions that a scan reads at the same time.
};

/**
 * \brief Keeps retained turns in the record store, one record each, and puts chains together from them.
 *
 * All turns of a conversation are in one partition, so that one read finds a chain. A turn that is not found there is
 * looked for in every partition, by one scan for all requests that wait. A turn is in the store before its response
 * ends.
 */
class TurnStore
{
public:
    TurnStore(TurnStoreHooks hooks, TurnStoreSettings settings);
    ~TurnStore();

    /**
     * \brief Stores a turn; tries again until it is durable.
     * \return a number for abandon().
     */
    std::uint64_t store(const std::string &conversation, RetainedTurn turn, std::function<void()> durable);
    /** \brief Stops trying; the turn may be durable all the same. */
    void abandon(std::uint64_t number);
    bool fits(std::size_t bytes) const;

    /** \brief The texts of a turn and all before it, oldest first, joined. Looks for them under each conversation. */
    void chain(const std::vector<std::string> &conversations,
               const std::string &turn,
               std::function<void(ChainStatus, std::string)> answer);

    std::size_t cachedBytes() const;

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
