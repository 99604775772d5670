#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"
#include "ledger/partitionedledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

namespace filbertgw::test {

namespace {

/** \brief Append rate of a store for hundreds of nodes. */
const AppendCapacity capacity{3'200.0, Duration{4'000}};
constexpr Duration turnTime{300'000};
constexpr std::uint64_t turnTokens = 570;
constexpr std::uint64_t usedTokens = 270;
constexpr std::uint64_t budget = 20'000;

/** \brief Many nodes that reserve tokens in a store whose partitions handle one append at a time. */
class LedgerLoad : public testing::Test
{
protected:
    static constexpr std::size_t nodes = 195;

    LedgerLoad()
        : store_(queue_)
    {
        store_.limits_.appendTime_ = capacity.appendTime_;
        store_.limits_.pageRecords_ = 500;
        for (std::size_t i = 0; i < nodes; ++i) {
            ProgramLedgerHooks hooks;
            hooks.now_ = [this] { return queue_.now(); };
            hooks.after_ = [this](Duration delay, std::function<void()> task) {
                queue_.after(delay, std::move(task));
                return std::uint64_t{0};
            };
            hooks.store_ = store_.access("node" + std::to_string(i));
            hooks.nodes_ = [] { return nodes; };
            ProgramLedgerSettings settings;
            settings.writer_ = "node" + std::to_string(i) + ".1";
            ledgers_.push_back(std::make_unique<PartitionedLedger>(hooks, settings, ledgerPartitionCount(capacity)));
            ledgers_.back()->start();
        }
        queue_.runUntil(std::chrono::seconds(4));
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }

    PartitionedLedger &anyNode()
    {
        return *ledgers_[random_() % nodes];
    }

    /** \brief Starts a program that runs a few main-line turns at the same node, one after the other. */
    void startProgram()
    {
        const std::string program = "p" + std::to_string(programs_++);
        runTurn(anyNode(), program, 3);
    }

    void runTurn(PartitionedLedger &node, const std::string &program, int turns)
    {
        reserve(node, TurnReservation{program, budget, turnTokens, true}, [this, &node, program, turns] {
            if (turns > 1) {
                runTurn(node, program, turns - 1);
            }
        });
    }

    /** \brief Runs a sub-agent's turn of a recent program, which arrives at any node. */
    void runSubAgentTurn()
    {
        if (programs_ > 200) {
            const std::string program = "p" + std::to_string(programs_ - 1 - random_() % 100);
            reserve(anyNode(), TurnReservation{program, budget, turnTokens, false}, [] {});
        }
    }

    void reserve(PartitionedLedger &node, const TurnReservation &turn, std::function<void()> then)
    {
        ++reservations_;
        node.ledgerOf(turn.program_)
            .reserve(turn,
                     ReservationOptions{turn.isRootAgentTurn_, true},
                     [this, &node, turn, then = std::move(then)](BudgetDecision made) {
                         if (made != BudgetDecision::Granted) {
                             ++notGranted_;
                             return;
                         }
                         queue_.after(turnTime, [&node, turn, then] {
                             node.ledgerOf(turn.program_).settle(turn.program_, turn.tokens_, usedTokens);
                             then();
                         });
                     });
    }

    void repeatAtRate(double perSecond, const std::function<void()> &action)
    {
        queue_.after(fromSeconds(std::exponential_distribution<double>(perSecond)(random_)), [this, perSecond, action] {
            action();
            repeatAtRate(perSecond, action);
        });
    }

    bench::EventQueue queue_;
    bench::FakeStore store_;
    std::mt19937_64 random_{5};
    std::vector<std::unique_ptr<PartitionedLedger>> ledgers_;
    std::size_t programs_ = 0;
    std::size_t reservations_ = 0;
    std::size_t notGranted_ = 0;
};

} // namespace

// Guards against turns that are never decided because their reservations wait in the queue of a single partition.
TEST_F(LedgerLoad, TurnsOfABurstAreDecidedWhereManyNodesReserve)
{
    repeatAtRate(300.0, [this] { startProgram(); });
    repeatAtRate(200.0, [this] { runSubAgentTurn(); });
    queue_.runUntil(std::chrono::seconds(12));
    EXPECT_GT(reservations_, std::size_t{8'000});
    EXPECT_LE(notGranted_, reservations_ / 100) << "of " << reservations_;
}

} // namespace filbertgw::test
