#ifndef FILBERTGW_LEDGER_MISSEDGRANTDETECTOR_H
#define FILBERTGW_LEDGER_MISSEDGRANTDETECTOR_H

#include "core/time.h"

#include <cstddef>
#include <functional>

namespace filbertgw {

/** \brief Dependencies of a MissedGrantDetector. */
struct MissedGrantDetectorHooks
{
    Clock now_; ///< Includes the time during which the VM is suspended.
    std::function<bool()> isComplete_; ///< The ledger has been read to its end once.
    std::function<bool()> hasRecords_; ///< The ledger had a record of a program when it was read.
    /** \brief The store is reached, and no live node has grants to record. */
    std::function<bool()> isRecorded_;
    std::function<std::size_t()> alive_; ///< Number of other live nodes.
    std::function<std::size_t(Time since)> lostSince_; ///< Number of nodes that were lost or restarted since a time.
    std::function<std::size_t(Time since)> missingSince_; ///< Nodes that are not alive and were seen since a time.
    std::function<bool()> hasInformedPeer_; ///< A live node reports that it misses no grants.
};

/**
 * \brief Whether this node may miss tokens that were granted in an outage of the store and are recorded nowhere.
 *
 * Such grants are known to a few nodes only. This node may miss them if it has started and no live node knows the time
 * before, or if in an outage as many nodes were lost as there are copies.
 *
 * \sa BudgetController
 */
class MissedGrantDetector
{
public:
    explicit MissedGrantDetector(MissedGrantDetectorHooks hooks);

    /** \brief Time after which a program without requests has ended; the ledger removes its records then. */
    static constexpr Duration programLifetime{120'000'000};
    /** \brief A peer that reports to miss no grants is relied on after this time, when it must have noticed the loss of
     * other nodes itself. */
    static constexpr Duration informedPeerDelay{3'000'000};
    /** \brief An outage that is noticed now may have begun this long ago; it ends this long after all is recorded. */
    static constexpr Duration outageMargin{2'000'000};
    /** \brief Nodes that keep the spending of a program in an outage, if there are as many. */
    static constexpr std::size_t maxCopies = 3;

    /** \brief Called periodically, and when the store or other nodes are lost. */
    void update();
    bool mayMissGrants() const;
    /**
     * \brief True if no other node can grant later turns without the store that this one and its replicas miss.
     *
     * Nodes that are missing may be partitioned from this one instead of dead. Of two sides of a partition one has at
     * least as many missing nodes as it has copies.
     */
    bool maySpendReserves() const;
    /** \brief Number of nodes, this one included, that have to keep the spending of a program. */
    std::size_t copies() const;

private:
    /** \brief True if grants that may have been missed at \p since no longer matter, or a live node knows them. */
    bool isResolved(Time since) const;

    MissedGrantDetectorHooks hooks_;
    Time completeAt_{0}; ///< When the ledger was first complete.
    bool missesPast_ = true; ///< No live node may know what was granted before the start of this node.
    Time outageSince_{0}; ///< Begin of the outage that lasts; 0 if there is none.
    Time recordedAt_{0}; ///< Since when all has been recorded again; 0 if it is not.
    Time lossAt_{0}; ///< When too many nodes were last missed in an outage; 0 if they were not.
};

} // namespace filbertgw

#endif
