#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"
#include "ledger/turnstore.h"

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <set>

namespace filbertgw::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time unixStart = seconds(1'800'000'000); ///< Time of day at the start of a test.
constexpr Duration retention = seconds(60);
constexpr Duration networkDelay = milliseconds(1);
constexpr std::size_t nodes = 5;
constexpr std::size_t writer = 1;
constexpr std::size_t firstHolder = 2;
constexpr std::size_t secondHolder = 0;
/** Limits of records that take the merged texts of a chain, or only those of one turn. */
constexpr std::size_t largeRecord = 256 * 1024;
constexpr std::size_t smallRecord = 1'700;

std::string textOf(const std::string &turn)
{
    return turn + std::string(400, '.');
}

/** \brief Turn stores of several nodes before one record store. One of the nodes holds the copies for all. */
class TurnFleet
{
public:
    explicit TurnFleet(TurnStoreSettings settings)
    {
        for (std::size_t node = 0; node < nodes; ++node) {
            stores_.push_back(std::make_unique<TurnStore>(hooksOf(node), settings));
        }
    }
    void runUntil(Duration time)
    {
        queue_.runUntil(Time{0} + time);
    }
    TurnChain chainAt(std::size_t node, const std::string &turn)
    {
        TurnChain found;
        stores_[node]->findChain(turn, [&found](const TurnChain &chain) { found = chain; });
        queue_.runUntil(queue_.now() + seconds(2));
        return found;
    }
    /** \brief Writes the record of a turn as a former version does, without a time. */
    void putFormerRecord(const std::string &id)
    {
        RetainedTurn turn;
        turn.text_ = textOf(id);
        turn.retention_ = retention;
        store_.put(PartitionId{"kept-turns-0", 0}, id, turn.encode());
    }
    /** \brief Stores a turn that continues \p previous, if that is not empty. */
    void storeAt(std::size_t node, const std::string &turn, const std::string &previous)
    {
        EndedTurn ended;
        ended.id_ = turn;
        ended.text_ = textOf(turn);
        ended.retention_ = retention;
        if (!previous.empty()) {
            const TurnChain chain = chainAt(node, previous);
            ASSERT_EQ(chain.status_, ChainStatus::Found) << turn;
            ended.chain_ = chain.turns_;
        }
        bool isDurable = false;
        stores_[node]->store(ended, [&isDurable] { isDurable = true; });
        queue_.runUntil(queue_.now() + seconds(1));
        ASSERT_TRUE(isDurable) << turn;
    }

    bench::EventQueue queue_;
    bench::FakeStore store_{queue_};
    std::vector<std::unique_ptr<TurnStore>> stores_;
    std::size_t holder_ = firstHolder;
    std::set<std::size_t> silent_; ///< Nodes that answer no other node.
    std::array<Duration, nodes> clockErrors_{}; ///< Of the time of day, by node.

private:
    TurnStoreHooks hooksOf(std::size_t node)
    {
        TurnStoreHooks hooks;
        hooks.now_ = [this] { return queue_.now(); };
        hooks.timeOfDay_ = [this, node] { return unixStart + queue_.now() + clockErrors_[node]; };
        hooks.after_ = [this](Duration delay, std::function<void()> task) {
            queue_.after(delay, std::move(task));
            return std::uint64_t{0};
        };
        hooks.store_ = store_.access("node" + std::to_string(node));
        hooks.holderOf_ = [this, node](const std::string &) {
            return node == holder_ ? std::nullopt : std::optional(std::to_string(holder_));
        };
        hooks.knowsHolders_ = [] { return true; };
        hooks.askPeer_ = [this](const std::string &peer,
                                const std::string &type,
                                const nlohmann::json &body,
                                Duration timeout,
                                const std::function<void(const std::optional<nlohmann::json> &)> &done) {
            const std::size_t to = std::stoul(peer);
            if (silent_.count(to) != 0) {
                queue_.after(timeout, [done] { done(std::nullopt); });
                return;
            }
            queue_.after(networkDelay, [this, to, type, body, done] {
                stores_[to]->onPeerRequest(type, body, [this, done](const nlohmann::json &answer) {
                    queue_.after(networkDelay, [done, answer] { done(answer); });
                });
            });
        };
        return hooks;
    }
};

} // namespace

/** \brief Where the second turn of a chain learns of the first one, 50 s after that was stored. */
struct AgedTurnCase
{
    const char *name_;
    std::function<void(TurnFleet &fleet)> beforeSecondTurn_;
    std::function<void(TurnFleet &fleet)> afterSecondTurn_;
    std::size_t maxRecordBytes_ = largeRecord;
    bool isOfFormerVersion_ = false; ///< The record of the first turn has no time.
};

class AgedTurn : public testing::TestWithParam<AgedTurnCase>
{
};

// Guards against a node that takes a record which it reads late for a new one: the chain of the next turn is not
// renewed, and the holder deletes its first turn while the newest one is retained.
TEST_P(AgedTurn, IsKeptWithTheNewestTurnOfItsChain)
{
    TurnStoreSettings settings;
    settings.replicas_.streams_ = 1;
    settings.replicas_.partitionsPerStream_ = 1;
    settings.maxRecordBytes_ = GetParam().maxRecordBytes_;
    TurnFleet fleet(settings);
    if (GetParam().isOfFormerVersion_) {
        fleet.putFormerRecord("t1");
    } else {
        fleet.storeAt(writer, "t1", "");
    }
    fleet.runUntil(seconds(5));
    fleet.holder_ = secondHolder;
    ASSERT_EQ(fleet.chainAt(3, "t1").status_, ChainStatus::Found);
    fleet.runUntil(seconds(50));
    GetParam().beforeSecondTurn_(fleet);
    fleet.storeAt(4, "t2", "t1");
    fleet.runUntil(milliseconds(53'500));
    GetParam().afterSecondTurn_(fleet);
    // Within the retention of the second turn, after that of the first one and the time until it is deleted.
    fleet.runUntil(seconds(108));
    const TurnChain chain = fleet.chainAt(firstHolder, "t2");
    EXPECT_EQ(nameOf(chain.status_), nameOf(ChainStatus::Found));
    EXPECT_EQ(chain.text_, textOf("t1") + textOf("t2"));
}

namespace {

void silenceHolder(TurnFleet &fleet)
{
    fleet.silent_.insert(secondHolder);
}

void endSilence(TurnFleet &fleet)
{
    fleet.silent_.clear();
}

void silenceHolderOfANodeBehind(TurnFleet &fleet)
{
    silenceHolder(fleet);
    fleet.clockErrors_[4] = -TurnReplicas::maxClockDifference;
}

/** The record is not of its future only because it is old. */
void silenceHolderOfANodeFarBehind(TurnFleet &fleet)
{
    silenceHolder(fleet);
    fleet.clockErrors_[4] = -seconds(3'600);
}

/** The third node has read nothing of the partitions before. */
void replaceHolder(TurnFleet &fleet)
{
    silenceHolder(fleet);
    fleet.holder_ = 3;
}

void returnHolder(TurnFleet &fleet)
{
    endSilence(fleet);
    fleet.holder_ = secondHolder;
}

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Table,
    AgedTurn,
    testing::Values(AgedTurnCase{"HolderSilent", silenceHolder, endSilence},
                    AgedTurnCase{"HolderReplaced", replaceHolder, returnHolder},
                    AgedTurnCase{"HolderSilentLargeChain", silenceHolder, endSilence, smallRecord},
                    AgedTurnCase{"HolderReplacedLargeChain", replaceHolder, returnHolder, smallRecord},
                    AgedTurnCase{"HolderSilentFormerRecord", silenceHolder, endSilence, largeRecord, true},
                    AgedTurnCase{"HolderSilentClockBehind", silenceHolderOfANodeBehind, endSilence},
                    AgedTurnCase{"HolderSilentClockFarBehind", silenceHolderOfANodeFarBehind, endSilence}),
    [](const testing::TestParamInfo<AgedTurnCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
