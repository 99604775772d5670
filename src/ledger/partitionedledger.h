#ifndef FILBERTGW_LEDGER_PARTITIONEDLEDGER_H
#define FILBERTGW_LEDGER_PARTITIONEDLEDGER_H

#include "ledger/programledger.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Rate at which the store accepts appends. */
struct AppendCapacity
{
    double appendsPerSecond_ = 0.0; ///< Of all nodes to all partitions; 0 if unknown.
    Duration appendTime_{0}; ///< Of one append; a partition handles its appends one by one.
};

/**
 * \brief Number of ledger partitions: as many as the ledger's share of the store's append rate keeps busy.
 *
 * All nodes must use the same number, so it depends only on the capacity of the store and not on the number of nodes.
 */
std::size_t ledgerPartitionCount(const AppendCapacity &capacity);

/**
 * \brief A ProgramLedger for each partition of the ledger stream; the hash of a program's id selects its partition.
 *
 * Several partitions carry the load of many nodes: a partition handles one append at a time, and a turn is lost if its
 * reservation waits in the queue of the partition for longer than the client does.
 */
class PartitionedLedger
{
public:
    PartitionedLedger(const ProgramLedgerHooks &hooks, const ProgramLedgerSettings &settings, std::size_t partitions);

    void start();

    /** \brief Ledger of the partition of a program. */
    ProgramLedger &ledgerOf(const std::string &program);
    const ProgramLedger &ledgerOf(const std::string &program) const;

    // Aggregated over all partitions; for a single program use ledgerOf().
    bool isCurrent() const;
    Duration age() const;
    bool isComplete() const;
    bool knowsGrants() const;
    /** \brief True if any partition has records. */
    bool hasRecords() const;
    bool isReachable() const;
    void releaseAllowances();
    bool isFlushed() const;
    std::size_t programCount() const;
    /** \brief Writer name of this node. */
    const std::string &writer() const;

private:
    using Predicate = bool (ProgramLedger::*)() const;
    bool allOf(Predicate predicate) const;

    std::vector<std::unique_ptr<ProgramLedger>> ledgers_; ///< By partition.
};

} // namespace filbertgw

#endif
