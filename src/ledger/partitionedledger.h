#ifndef FILBERTGW_LEDGER_PARTITIONEDLEDGER_H
#define FILBERTGW_LEDGER_PARTITIONEDLEDGER_H

#include "ledger/programledger.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief How fast the store takes appends. */
struct AppendCapacity
{
    double appendsPerSecond_ = 0.0; ///< Of all nodes, to all partitions; 0 if unknown.
    Duration appendTime_{0}; ///< Of one append; those to one partition queue up.
};

/**
 * \brief Number of partitions of the ledger: as many as are filled by its share of the appends that the store takes.
 *
 * All nodes must have the same, so that it follows from what the store is, not from the number of nodes.
 */
std::size_t ledgerPartitionCount(const AppendCapacity &capacity);

/**
 * \brief A ProgramLedger for each partition of a stream; a program's spending is in the one that its id hashes to.
 *
 * Answers the load of many nodes: a partition takes one append at a time, and turns whose reservation waits in its
 * queue for longer than a client does are lost.
 */
class PartitionedLedger
{
public:
    PartitionedLedger(const ProgramLedgerHooks &hooks, const ProgramLedgerSettings &settings, std::size_t partitions);

    void start();

    /** \brief The ledger of the partition that a program is in. */
    ProgramLedger &ledgerOf(const std::string &program);
    const ProgramLedger &ledgerOf(const std::string &program) const;

    // Over all partitions; for one program ask its own.
    bool isCurrent() const;
    Duration age() const;
    bool isComplete() const;
    bool knowsGrants() const;
    bool isReachable() const;
    void releaseAllowances();
    bool isFlushed() const;
    std::size_t programCount() const;
    /** \brief Name of this node among the writers. */
    const std::string &writer() const;

private:
    using Predicate = bool (ProgramLedger::*)() const;
    bool allOf(Predicate predicate) const;

    std::vector<std::unique_ptr<ProgramLedger>> ledgers_; ///< By partition.
};

} // namespace filbertgw

#endif
