#include "gatewayrig.h"

#include "ledger/spendingtable.h"
#include "ledger/turnstore.h"

#include <gtest/gtest.h>

#include <deque>

namespace filbertgw::test {

namespace {

constexpr Duration step = std::chrono::milliseconds(20);
constexpr std::size_t turnsPerConversation = 7;
constexpr std::size_t textBytes = 4'000;
constexpr std::size_t writersPerProgram = 2;
constexpr std::uint64_t retentionSeconds = 60;
/** Time that a client waits for an engine; the last turn starts this long before the bound. */
constexpr Duration clientWait = std::chrono::seconds(3);

/** \brief A deployment that has lost all nodes at the same moment. */
struct RecoveryCase
{
    const char *name_;
    std::size_t nodes_;
    std::size_t conversationsPerSecond_; ///< Programs whose turns are retained.
    std::size_t programsPerSecond_; ///< All programs; each has a budget.
    std::uint32_t partitions_; ///< Per stream.
    std::uint64_t readsPerSecond_; ///< Limit of the store, like the other limits.
    std::uint64_t appendsPerSecond_;
    Duration recovery_; ///< Time from the restart of the nodes to the last attempt that counts.
    std::size_t retainedSeconds_ = 60; ///< Seconds of traffic whose turns are in the store.
    std::size_t nodesLostLater_ = 0; ///< Nodes that are lost once all turns after the restart are served.
};

bench::FakeStoreLimits storeLimits(const RecoveryCase &deployment)
{
    bench::FakeStoreLimits limits;
    limits.readBytesPerSecond_ = 80e6;
    limits.readsPerSecond_ = deployment.readsPerSecond_;
    limits.appendsPerSecond_ = deployment.appendsPerSecond_;
    limits.appendTime_ = std::chrono::milliseconds(4);
    limits.pageRecords_ = 500;
    return limits;
}

std::string turnId(std::size_t conversation, std::size_t turn)
{
    return "t" + std::to_string(conversation) + '-' + std::to_string(turn);
}

TurnStoreSettings turnStoreSettings(const RecoveryCase &deployment)
{
    TurnStoreSettings settings;
    settings.replicas_.partitionsPerStream_ = deployment.partitions_;
    return settings;
}

std::size_t conversationCount(const RecoveryCase &deployment)
{
    return deployment.conversationsPerSecond_ * deployment.retainedSeconds_;
}

/** \brief Runs the restart of all nodes over a store with limits, and turns that continue retained ones. */
class Recovery : public testing::TestWithParam<RecoveryCase>
{
protected:
    /** \brief A turn whose client retries until it reaches an engine. */
    struct WaitingTurn
    {
        std::size_t number_ = 0;
        std::shared_ptr<ClientResponse> answer_; ///< Of the current attempt.
        Time tryAgain_{0};
        std::size_t tries_ = 0;
    };

    Recovery()
        : rig_(GetParam().nodes_, {streamingRoute(true, 1, false)}, turnStoreSettings(GetParam()))
    {
        rig_.addEndpoints("engines", "e", 40);
        rig_.store_.limits_.pageRecords_ = 500;
        writeRetainedTurns();
        writeSpending();
        for (std::size_t node = 0; node < GetParam().nodes_; ++node) {
            rig_.kill(node);
        }
        rig_.store_.trim();
        rig_.store_.limits_ = storeLimits(GetParam());
        for (std::size_t node = 0; node < GetParam().nodes_; ++node) {
            rig_.restart(node);
        }
        startedAt_ = rig_.queue_.now();
    }

    /** \brief Writes the turns that were retained before the nodes were lost. */
    void writeRetainedTurns()
    {
        TurnStoreHooks hooks;
        hooks.now_ = [this] { return rig_.queue_.now(); };
        hooks.timeOfDay_ = hooks.now_;
        hooks.after_ = [this](Duration delay, std::function<void()> task) {
            rig_.queue_.after(delay, std::move(task));
            return std::uint64_t{0};
        };
        hooks.store_ = rig_.store_.access("writer");
        hooks.holderOf_ = [](const std::string &) { return std::nullopt; };
        hooks.knowsHolders_ = [] { return true; };
        TurnStore writer(std::move(hooks), turnStoreSettings(GetParam()));
        std::size_t durable = 0;
        for (std::size_t conversation = 0; conversation < conversationCount(GetParam()); ++conversation) {
            for (std::size_t turn = 0; turn < turnsPerConversation; ++turn) {
                EndedTurn turnToStore;
                turnToStore.id_ = turnId(conversation, turn);
                for (std::size_t before = 0; before < turn; ++before) {
                    const FoundTurn lasting{nullptr, rig_.queue_.now() + std::chrono::hours(1)};
                    turnToStore.chain_.push_back(ChainTurn{turnId(conversation, before), lasting});
                }
                turnToStore.text_ = std::string(textBytes, 'x');
                turnToStore.retention_ = std::chrono::seconds(60);
                writer.store(turnToStore, [&durable] { ++durable; });
            }
        }
        rig_.run(std::chrono::seconds(1));
        ASSERT_EQ(durable, conversationCount(GetParam()) * turnsPerConversation);
    }

    /** \brief Writes the spending of programs from before the nodes were lost. */
    void writeSpending()
    {
        for (std::size_t program = 0; program < GetParam().programsPerSecond_ * retentionSeconds; ++program) {
            for (std::size_t writer = 0; writer < writersPerProgram; ++writer) {
                const std::string name = "old" + std::to_string(writer) + ".123456789";
                rig_.putSpending("q" + std::to_string(program), name, SpendingRecord{1'000, 1, 0, false});
            }
        }
    }

    void tryTurn(WaitingTurn &client)
    {
        ++client.tries_;
        const std::size_t conversation = client.number_ % conversationCount(GetParam());
        const std::string id = "n" + std::to_string(client.number_) + '-' + std::to_string(client.tries_);
        GatewayRequest request = turn(id, "p" + std::to_string(client.number_), "s");
        request.previousTurn_ = turnId(conversation, turnsPerConversation - 1);
        request.tokenBudget_ = 100'000;
        const std::size_t node =
            lostNodes_ + (client.number_ * 7 + client.tries_ * 13) % (GetParam().nodes_ - lostNodes_);
        client.answer_ = rig_.send(node, std::move(request));
        byAttempt_[id] = client.number_;
    }

    /** \brief Finishes the attempts that engines have received, and remembers their turns. */
    void finishAttempts()
    {
        for (; finishedAttempts_ < rig_.attempts_.size(); ++finishedAttempts_) {
            const std::string id = rig_.attempts_[finishedAttempts_].attempt_.request_->id_;
            reachedEngine_.insert(byAttempt_.at(id));
            rig_.stream(finishedAttempts_, {"x"}, true);
        }
    }

    /** \brief Sends a refused turn again once its client may retry. */
    void retryRefused(WaitingTurn &client)
    {
        if (!client.answer_->ended_ && !client.answer_->aborted_) {
            return;
        }
        const Time now = rig_.queue_.now();
        if (client.tryAgain_ == Time{0}) {
            const auto header = client.answer_->headers_.find("Retry-After");
            const double seconds = header == client.answer_->headers_.end() ? 0.0 : std::stod(header->second);
            client.tryAgain_ = now
                + std::max<Duration>(std::chrono::milliseconds(250),
                                     Duration(static_cast<std::int64_t>(seconds * 1e6)));
        } else if (client.tryAgain_ <= now) {
            client.tryAgain_ = Time{0};
            tryTurn(client);
        }
    }

    /** \brief Sends turns and retries until the bound of the recovery. */
    void runUntilBound()
    {
        const Time bound = startedAt_ + GetParam().recovery_;
        std::size_t due = 0;
        while (rig_.queue_.now() < bound) {
            if (rig_.queue_.now() < bound - clientWait) {
                const double seconds = std::chrono::duration<double>(rig_.queue_.now() - startedAt_).count();
                due = static_cast<std::size_t>(
                    seconds * static_cast<double>(GetParam().conversationsPerSecond_ * turnsPerConversation));
            }
            while (turns_.size() < due) {
                turns_.push_back(WaitingTurn{firstTurn_ + turns_.size(), nullptr});
                tryTurn(turns_.back());
            }
            rig_.run(step);
            finishAttempts();
            for (WaitingTurn &client : turns_) {
                if (reachedEngine_.count(client.number_) == 0) {
                    retryRefused(client);
                }
            }
        }
    }

    GatewayRig rig_;
    std::size_t lostNodes_ = 0; ///< This many nodes, from the first on, are lost.
    std::size_t firstTurn_ = 0; ///< Number of the first turn.
    Time startedAt_{0};
    std::deque<WaitingTurn> turns_;
    std::map<std::string, std::size_t> byAttempt_; ///< Number of the turn of each attempt.
    std::set<std::size_t> reachedEngine_; ///< Numbers of turns that have reached an engine.
    std::size_t finishedAttempts_ = 0;
};

} // namespace

// Guards against retained turns that reach no engine after the loss of all nodes (issue 21).
TEST_P(Recovery, EveryRetainedTurnReachesAnEngine)
{
    runUntilBound();
    EXPECT_GT(turns_.size(), 0U);
    EXPECT_EQ(turns_.size() - reachedEngine_.size(), 0U)
        << "of " << turns_.size() << " turns; " << rig_.store_.bytesRead() / 1'000'000 << " MB read, "
        << rig_.store_.overloadedCalls() << " calls beyond what the store can do";
    RecordProperty("megabytes_read", std::to_string(rig_.store_.bytesRead() / 1'000'000));
}

class LossOfHolders : public Recovery
{
};

// Guards against nodes that all read the same partitions themselves once the holders of the partitions are lost.
TEST_P(LossOfHolders, TurnsAreServedInTime)
{
    runUntilBound();
    ASSERT_EQ(turns_.size(), reachedEngine_.size());
    const std::uint64_t bytesBefore = rig_.store_.bytesRead();
    const std::size_t turnsBefore = turns_.size();
    for (; lostNodes_ < GetParam().nodesLostLater_; ++lostNodes_) {
        rig_.kill(lostNodes_);
    }
    const std::uint64_t overloadedBefore = rig_.store_.overloadedCalls();
    startedAt_ = rig_.queue_.now();
    turns_.clear();
    firstTurn_ = turnsBefore;
    runUntilBound();
    std::size_t retried = 0;
    std::size_t missed = 0;
    for (const WaitingTurn &client : turns_) {
        retried += client.tries_ > 2 ? 1 : 0;
        missed += reachedEngine_.count(client.number_) == 0 ? 1 : 0;
    }
    EXPECT_EQ(missed, 0U);
    EXPECT_LE(retried, turns_.size() / 100)
        << "turns needed more than two attempts; of " << turns_.size() << "; "
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

// The target size of the fleet in two years, with the traffic of the largest deployment today.
INSTANTIATE_TEST_SUITE_P(
    Target,
    Recovery,
    testing::Values(RecoveryCase{"Nodes390FewTurns", 390, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15), 1},
                    RecoveryCase{"Nodes390SameTraffic", 390, 53, 155, 16, 6'000, 1'500, std::chrono::seconds(15)}),
    [](const testing::TestParamInfo<RecoveryCase> &info) { return info.param.name_; });

} // namespace filbertgw::test
