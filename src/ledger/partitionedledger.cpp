#include "ledger/partitionedledger.h"

#include "core/stablehash.h"

#include <algorithm>

namespace filbertgw {

namespace internal {
namespace {

/** Share of the store's append rate for the ledger; the rest is for retained turns, nodes and the platform itself. */
constexpr double ledgerShare = 1.0 / 6.0;
constexpr double maxPartitions = 8.0;

} // namespace
} // namespace internal

std::size_t ledgerPartitionCount(const AppendCapacity &capacity)
{
    const double partitions = capacity.appendsPerSecond_ * toSeconds(capacity.appendTime_) * internal::ledgerShare;
    return static_cast<std::size_t>(std::clamp(partitions, 1.0, internal::maxPartitions));
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

ProgramLedger &PartitionedLedger::ledgerOf(const std::string &program)
{
    return *ledgers_[stableHash(program) % ledgers_.size()];
}

const ProgramLedger &PartitionedLedger::ledgerOf(const std::string &program) const
{
    return *ledgers_[stableHash(program) % ledgers_.size()];
}

bool PartitionedLedger::allOf(Predicate predicate) const
{
    return std::all_of(ledgers_.begin(), ledgers_.end(), [predicate](const std::unique_ptr<ProgramLedger> &ledger) {
        return (*ledger.*predicate)();
    });
}

bool PartitionedLedger::isCurrent() const
{
    return allOf(&ProgramLedger::isCurrent);
}

Duration PartitionedLedger::age() const
{
    Duration maxAge{0};
    for (const std::unique_ptr<ProgramLedger> &ledger : ledgers_) {
        maxAge = std::max(maxAge, ledger->age());
    }
    return maxAge;
}

bool PartitionedLedger::isComplete() const
{
    return allOf(&ProgramLedger::isComplete);
}

bool PartitionedLedger::knowsGrants() const
{
    return allOf(&ProgramLedger::knowsGrants);
}

bool PartitionedLedger::hasRecords() const
{
    return std::any_of(ledgers_.begin(), ledgers_.end(), [](const std::unique_ptr<ProgramLedger> &ledger) {
        return ledger->hasRecords();
    });
}

bool PartitionedLedger::isReachable() const
{
    return allOf(&ProgramLedger::isReachable);
}

void PartitionedLedger::releaseAllowances()
{
    for (const std::unique_ptr<ProgramLedger> &ledger : ledgers_) {
        ledger->releaseAllowances();
    }
}

bool PartitionedLedger::isFlushed() const
{
    return allOf(&ProgramLedger::isFlushed);
}

std::size_t PartitionedLedger::programCount() const
{
    std::size_t sum = 0;
    for (const std::unique_ptr<ProgramLedger> &ledger : ledgers_) {
        sum += ledger->programCount();
    }
    return sum;
}

const std::string &PartitionedLedger::writer() const
{
    return ledgers_.front()->writer();
}

} // namespace filbertgw
