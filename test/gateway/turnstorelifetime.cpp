#include "fakes/eventqueue.h"
#include "fakes/fakestore.h"
#include "ledger/turnstore.h"

#include <gtest/gtest.h>

namespace filbertgw::test {

namespace {

/** \brief Provides hooks that count the reads of a TurnStore. */
class TurnStoreHooksTest : public testing::Test
{
protected:
    TurnStoreHooks hooks()
    {
        TurnStoreHooks hooks;
        hooks.now_ = [this] { return queue_.now(); };
        hooks.timeOfDay_ = hooks.now_;
        hooks.after_ = [this](Duration delay, std::function<void()> task) {
            queue_.after(delay, std::move(task));
            return std::uint64_t{0};
        };
        hooks.store_ = store_.access("node");
        hooks.store_.newest_ = [this, newest = hooks.store_.newest_](const StoreNewest &request,
                                                                     std::function<void(const StorePage &)> done) {
            ++reads_;
            newest(request, std::move(done));
        };
        hooks.store_.read_ = [this, read = hooks.store_.read_](const StoreRead &request,
                                                               std::function<void(const StorePage &)> done) {
            ++reads_;
            if (endOfEmptyPages_ == 0) {
                read(request, std::move(done));
                return;
            }
            StorePage page;
            page.status_ = StoreStatus::Ok;
            page.end_ = endOfEmptyPages_;
            queue_.after(std::chrono::milliseconds(4), [done, page] { done(page); });
        };
        hooks.holderOf_ = [](const std::string &) { return std::nullopt; };
        hooks.knowsHolders_ = [] { return true; };
        return hooks;
    }

    bench::EventQueue queue_;
    bench::FakeStore store_{queue_};
    std::size_t reads_ = 0;
    std::uint64_t endOfEmptyPages_ = 0; ///< If set, reads by offset return no records and this end offset.
};

} // namespace

// Guards against calls to hooks whose owner has been destroyed during a lookup.
TEST_F(TurnStoreHooksTest, ReadsNothingAfterItsEnd)
{
    std::unique_ptr<TurnStore> turns = std::make_unique<TurnStore>(hooks(), TurnStoreSettings{});
    for (std::size_t i = 0; i < 50; ++i) {
        turns->findChain("t" + std::to_string(i), [](const TurnChain &) {});
    }
    queue_.runUntil(queue_.now() + std::chrono::milliseconds(2));
    const std::size_t before = reads_;
    turns.reset();
    queue_.runUntil(queue_.now() + std::chrono::seconds(5));
    EXPECT_EQ(reads_, before);
}

// Guards against a turn that is reported as missing although not all records of its partition were read.
TEST_F(TurnStoreHooksTest, MissingIsNotSaidBeforeTheEndOfThePartition)
{
    TurnStore turns(hooks(), TurnStoreSettings{});
    ChainStatus status = ChainStatus::Unavailable;
    turns.findChain("t1", [&status](const TurnChain &chain) { status = chain.status_; });
    queue_.runUntil(queue_.now() + std::chrono::seconds(2));
    ASSERT_EQ(status, ChainStatus::Missing);
    endOfEmptyPages_ = 1'000;
    turns.findChain("t1", [&status](const TurnChain &chain) { status = chain.status_; });
    queue_.runUntil(queue_.now() + std::chrono::seconds(2));
    EXPECT_EQ(status, ChainStatus::Unavailable);
}

} // namespace filbertgw::test
