#include "gatewayrig.h"

#include "ledger/spendingtable.h"
#include "ledger/turnstore.h"

#include <gtest/gtest.h>

#include <deque>

namespace filbertgw::test {

namespace {

constexpr Duration step = std::chrono::milliseconds(20);
constexpr std::size_t turnsOfAConversation = 7;
constexpr std::size_t textBytes = 4'000;
constexpr std::size_t writersOfAProgram = 2;
constexpr std::uint64_t retentionSeconds = 60;
/** No turn begins later than this before the bound: a client waits for so long. */
constexpr Duration lastTurnBefore = std::chrono::seconds(3);

/** \brief A deployment whose nodes have all been lost at the same moment. */
struct RecoveryCase
{
    const char *name_;
    std::size_t nodes_;
    std::size_t conversationsPerSecond_; ///< Programs whose turns are kept.
    std::size_t programsPerSecond_; ///< All programs, which have budgets.
    std::uint32_t partitions_; ///< Of a stream.
    std::uint64_t readsPerSecond_; ///< Of the store, as the other limits.
    std::uint64_t appendsPerSecond_;
    Duration recovery_; ///< Time from the return of the nodes to the last try that counts.
    std::size_t keptSeconds_ = 60; ///< Of traffic whose turns the store has.
    std::size_t lostLater_ = 0; ///< Nodes that are lost once all turns of the return are served.
};

bench::FakeStoreLimits limitsOf(const RecoveryCase &deployment)
{
    bench::FakeStoreLimits limits;
    limits.readBytesPerSecond_ = 80e6;
    limits.readsPerSecond_ = deployment.readsPerSecond_;
    limits.appendsPerSecond_ = deployment.appendsPerSecond_;
    limits.appendTime_ = std::chrono::milliseconds(4);
    limits.pageRecords_ = 500;
    return limits;
}

std::string turnName(std::size_t conversation, std::size_t turn)
{
    return "t" + std::to_string(conversation) + '-' + std::to_string(turn);
}

TurnStoreSettings turnsOf(const RecoveryCase &deployment)
{
    TurnStoreSettings settings;
    settings.replicas_.partitionsPerStream_ = deployment.partitions_;
    return settings;
}

std::size_t conversationsOf(const RecoveryCase &deployment)
{
    return deployment.conversationsPerSecond_ * deployment.keptSeconds_;
}

/** \brief Plays the return of all nodes before a store with limits, and the turns that then go on from kept ones. */
class Recovery : public testing::TestWithParam<RecoveryCase>
{
protected:
    /** \brief A turn whose client tries until it reaches an engine. */
    struct WaitingTurn
    {
        std::size_t number_ = 0;
        std::shared_ptr<ClientResponse> answer_; ///< Of the try under way.
        Time tryAgain_{0};
        std::size_t tries_ = 0;
    };

    Recovery()
        : rig_(GetParam().nodes_, {streamingRoute(true, 1, false)}, turnsOf(GetParam()))
    {
        rig_.addEndpoints("engines", "e", 40);
        rig_.store_.limits_.pageRecords_ = 500;
        keepTurns();
        keepSpending();
        for (std::size_t node = 0; node < GetParam().nodes_; ++node) {
            rig_.kill(node);
        }
        rig_.store_.trim();
        rig_.store_.limits_ = limitsOf(GetParam());
        for (std::size_t node = 0; node < GetParam().nodes_; ++node) {
            rig_.restart(node);
        }
        began_ = rig_.queue_.now();
    }

    /** \brief Writes the turns that were kept before the nodes were lost. */
    void keepTurns()
    {
        TurnStoreHooks hooks;
        hooks.now_ = [this] { return rig_.queue_.now(); };
        hooks.after_ = [this](Duration delay, std::function<void()> task) {
            rig_.queue_.after(delay, std::move(task));
            return std::uint64_t{0};
        };
        hooks.store_ = rig_.store_.access("writer");
        hooks.holderOf_ = [](const std::string &) { return std::nullopt; };
        hooks.knowsHolders_ = [] { return true; };
        TurnStore writer(std::move(hooks), turnsOf(GetParam()));
        std::size_t durable = 0;
        for (std::size_t conversation = 0; conversation < conversationsOf(GetParam()); ++conversation) {
            for (std::size_t turn = 0; turn < turnsOfAConversation; ++turn) {
                EndedTurn kept;
                kept.id_ = turnName(conversation, turn);
                for (std::size_t before = 0; before < turn; ++before) {
                    const FoundTurn lasting{nullptr, rig_.queue_.now() + std::chrono::hours(1)};
                    kept.chain_.push_back(ChainTurn{turnName(conversation, before), lasting});
                }
                kept.text_ = std::string(textBytes, 'x');
                kept.retention_ = std::chrono::seconds(60);
                writer.store(kept, [&durable] { ++durable; });
            }
        }
        rig_.run(std::chrono::seconds(1));
        ASSERT_EQ(durable, conversationsOf(GetParam()) * turnsOfAConversation);
    }

    /** \brief Writes what programs had spent before the nodes were lost. */
    void keepSpending()
    {
        for (std::size_t program = 0; program < GetParam().programsPerSecond_ * retentionSeconds; ++program) {
            for (std::size_t writer = 0; writer < writersOfAProgram; ++writer) {
                const std::string name = "old" + std::to_string(writer) + ".123456789";
                rig_.putSpending("q" + std::to_string(program), name, SpendingRecord{1'000, 1, 0, false});
            }
        }
    }

    void tryTurn(WaitingTurn &waiting)
    {
        ++waiting.tries_;
        const std::size_t conversation = waiting.number_ % conversationsOf(GetParam());
        const std::string id = "n" + std::to_string(waiting.number_) + '-' + std::to_string(waiting.tries_);
        GatewayRequest request = turn(id, "p" + std::to_string(waiting.number_), "s");
        request.previousTurn_ = turnName(conversation, turnsOfAConversation - 1);
        request.tokenBudget_ = 100'000;
        const std::size_t node = lost_ + (waiting.number_ * 7 + waiting.tries_ * 13) % (GetParam().nodes_ - lost_);
        waiting.answer_ = rig_.send(node, std::move(request));
        byAttempt_[id] = waiting.number_;
    }

    /** \brief Ends the runs that engines have begun, and notes which turns they belong to. */
    void serveEngines()
    {
        for (; served_ < rig_.attempts_.size(); ++served_) {
            const std::string id = rig_.attempts_[served_].attempt_.request_->id_;
            reached_.insert(byAttempt_.at(id));
            rig_.stream(served_, {"x"}, true);
        }
    }

    /** \brief Sends a turn again whose last try was refused, when the client may come back. */
    void comeBack(WaitingTurn &waiting)
    {
        if (!waiting.answer_->ended_ && !waiting.answer_->aborted_) {
            return;
        }
        const Time now = rig_.queue_.now();
        if (waiting.tryAgain_ == Time{0}) {
            const auto header = waiting.answer_->headers_.find("Retry-After");
            const double seconds = header == waiting.answer_->headers_.end() ? 0.0 : std::stod(header->second);
            waiting.tryAgain_ = now
                + std::max<Duration>(std::chrono::milliseconds(250),
                                     Duration(static_cast<std::int64_t>(seconds * 1e6)));
        } else if (waiting.tryAgain_ <= now) {
            waiting.tryAgain_ = Time{0};
            tryTurn(waiting);
        }
    }

    /** \brief Plays until the bound of the recovery. */
    void play()
    {
        const Time bound = began_ + GetParam().recovery_;
        std::size_t due = 0;
        while (rig_.queue_.now() < bound) {
            if (rig_.queue_.now() < bound - lastTurnBefore) {
                const double seconds = std::chrono::duration<double>(rig_.queue_.now() - began_).count();
                due = static_cast<std::size_t>(
                    seconds * static_cast<double>(GetParam().conversationsPerSecond_ * turnsOfAConversation));
            }
            while (turns_.size() < due) {
                turns_.push_back(WaitingTurn{base_ + turns_.size(), nullptr});
                tryTurn(turns_.back());
            }
            rig_.run(step);
            serveEngines();
            for (WaitingTurn &waiting : turns_) {
                if (reached_.count(waiting.number_) == 0) {
                    comeBack(waiting);
                }
            }
        }
    }

    GatewayRig rig_;
    std::size_t lost_ = 0; ///< The first so many nodes are lost.
    std::size_t base_ = 0; ///< Number of the first turn.
    Time began_{0};
    std::deque<WaitingTurn> turns_;
    std::map<std::string, std::size_t> byAttempt_; ///< Number of the turn of each try.
    std::set<std::size_t> reached_; ///< Numbers of turns that have reached an engine.
    std::size_t served_ = 0;
};

} // namespace

// Guards against kept turns that reach no engine after the loss of all nodes (issue 21).
TEST_P(Recovery, EveryKeptTurnReachesAnEngine)
{
    play();
    EXPECT_GT(turns_.size(), 0U);
    EXPECT_EQ(turns_.size() - reached_.size(), 0U)
        << "of " << turns_.size() << " turns; " << rig_.store_.bytesRead() / 1'000'000 << " MB read, "
        << rig_.store_.overloadedCalls() << " calls beyond what the store can do";
    RecordProperty("megabytes_read", std::to_string(rig_.store_.bytesRead() / 1'000'000));
}

class LossOfHolders : public Recovery
{
};

// Guards against nodes that all read the same partitions themselves once the holders of these are lost.
TEST_P(LossOfHolders, TurnsAreServedInTime)
{
    play();
    ASSERT_EQ(turns_.size(), reached_.size());
    const std::uint64_t bytesBefore = rig_.store_.bytesRead();
    const std::size_t turnsBefore = turns_.size();
    for (; lost_ < GetParam().lostLater_; ++lost_) {
        rig_.kill(lost_);
    }
    const std::uint64_t overloadedBefore = rig_.store_.overloadedCalls();
    began_ = rig_.queue_.now();
    turns_.clear();
    base_ = turnsBefore;
    play();
    std::size_t again = 0;
    std::size_t missed = 0;
    for (const WaitingTurn &waiting : turns_) {
        again += waiting.tries_ > 2 ? 1 : 0;
        missed += reached_.count(waiting.number_) == 0 ? 1 : 0;
    }
    EXPECT_EQ(missed, 0U);
    EXPECT_LE(again, turns_.size() / 100)
        << "turns needed more than two tries; of " << turns_.size() << "; "
        << (rig_.store_.bytesRead() - bytesBefore) / 1'000'000 << " MB read, "
        << rig_.store_.overloadedCalls() - overloadedBefore << " calls beyond what the store can do";
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LossOfHolders,
    testing::Values(RecoveryCase{"Lost3Of30", 30, 24, 70, 16, 6'000, 1'500, std::chrono::seconds(15), 60, 3},
                    RecoveryCase{"Lost10Of30", 30, 24, 70, 16, 6'000, 1'500, std::chrono::seconds(15), 60, 10},
                    RecoveryCase{"Lost1Of88", 88, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15), 60, 1},
                    RecoveryCase{"Lost26Of88", 88, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15), 60, 26}),
    [](const testing::TestParamInfo<RecoveryCase> &info) { return info.param.name_; });

INSTANTIATE_TEST_SUITE_P(
    Large,
    Recovery,
    testing::Values(RecoveryCase{"Nodes88After2Losses", 88, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15), 120},
                    RecoveryCase{"Nodes88After3Losses", 88, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15), 180},
                    RecoveryCase{"Nodes88Kept75", 88, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15), 75},
                    RecoveryCase{"Nodes88Kept90", 88, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15), 90}),
    [](const testing::TestParamInfo<RecoveryCase> &info) { return info.param.name_; });

INSTANTIATE_TEST_SUITE_P(
    Table,
    Recovery,
    testing::Values(RecoveryCase{"Nodes11", 11, 13, 33, 8, 2'000, 800, std::chrono::seconds(12)},
                    RecoveryCase{"Nodes30", 30, 24, 70, 16, 6'000, 1'500, std::chrono::seconds(15)},
                    RecoveryCase{"Nodes88", 88, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15)}),
    [](const testing::TestParamInfo<RecoveryCase> &info) { return info.param.name_; });

// The fleet of the target in two years, with the traffic of today's largest deployment.
INSTANTIATE_TEST_SUITE_P(
    Target,
    Recovery,
    testing::Values(RecoveryCase{"Nodes390FewTurns", 390, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15), 1},
                    RecoveryCase{"Nodes390SameTraffic", 390, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15)}),
    [](const testing::TestParamInfo<RecoveryCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
