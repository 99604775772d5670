#include "ledger/partitionedledger.h"

#include "core/stablehash.h"

#include <algorithm>

namespace filbertgw {

namespace internal {
namespace {

/** Part of the store's appends that the ledger may use; the rest is for kept turns, nodes and the platform itself. */
constexpr double ledgerShare = 1.0 / 6.0;
constexpr double mostPartitions = 8.0;

} // namespace
} // namespace internal

std::size_t ledgerPartitions(const AppendCapacity &capacity)
{
    const double filled = capacity.perSecond_ * toSeconds(capacity.time_) * internal::ledgerShare;
    return static_cast<std::size_t>(std::clamp(filled, 1.0, internal::mostPartitions));
}

PartitionedLedger::PartitionedLedger(const ProgramLedgerHooks &hooks,
                                     const ProgramLedgerSettings &settings,
                                     std::size_t partitions)
{
    for (std::size_t i = 0; i < std::max<std::size_t>(1, partitions); ++i) {
        ProgramLedgerSettings own = settings;
        own.partition_ = static_cast<std::uint32_t>(i);
        ledgers_.push_back(std::make_unique<ProgramLedger>(hooks, std::move(own)));
    }
}

void PartitionedLedger::start()
{
    for (const std::unique_ptr<ProgramLedger> &ledger : ledgers_) {
        ledger->start();
    }
}

ProgramLedger &PartitionedLedger::of(const std::string &program)
{
    return *ledgers_[stableHash(program) % ledgers_.size()];
}

const ProgramLedger &PartitionedLedger::of(const std::string &program) const
{
    return *ledgers_[stableHash(program) % ledgers_.size()];
}

bool PartitionedLedger::all(Test test) const
{
    return std::all_of(ledgers_.begin(), ledgers_.end(), [test](const std::unique_ptr<ProgramLedger> &ledger) {
        return (*ledger.*test)();
    });
}

bool PartitionedLedger::isCurrent() const
{
    return all(&ProgramLedger::isCurrent);
}

Duration PartitionedLedger::age() const
{
    Duration oldest{0};
    for (const std::unique_ptr<ProgramLedger> &ledger : ledgers_) {
        oldest = std::max(oldest, ledger->age());
    }
    return oldest;
}

bool PartitionedLedger::isComplete() const
{
    return all(&ProgramLedger::isComplete);
}

bool PartitionedLedger::knowsGrants() const
{
    return all(&ProgramLedger::knowsGrants);
}

bool PartitionedLedger::isReachable() const
{
    return all(&ProgramLedger::isReachable);
}

void PartitionedLedger::releaseAllowances()
{
    for (const std::unique_ptr<ProgramLedger> &ledger : ledgers_) {
        ledger->releaseAllowances();
    }
}

bool PartitionedLedger::isFlushed() const
{
    return all(&ProgramLedger::isFlushed);
}

std::size_t PartitionedLedger::programs() const
{
    std::size_t sum = 0;
    for (const std::unique_ptr<ProgramLedger> &ledger : ledgers_) {
        sum += ledger->programs();
    }
    return sum;
}

const std::string &PartitionedLedger::writer() const
{
    return ledgers_.front()->writer();
}

} // namespace filbertgw
