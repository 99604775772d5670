#ifndef FILBERTGW_LEDGER_FIRSTTURNCLAIMS_H
#define FILBERTGW_LEDGER_FIRSTTURNCLAIMS_H

#include "core/time.h"
#include "ledger/programledger.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace filbertgw {

/**
 * \brief Which node may run the first turn of a program before it is recorded.
 *
 * Kept by the coordinator of the program. Clients repeat a first turn at other nodes, which do not know yet that it
 * ran; only the first of them may grant it without a record.
 *
 * \sa BudgetController
 */
class FirstTurnClaims
{
public:
    explicit FirstTurnClaims(Clock now);

    /** \brief Time for which a claim stands; clients repeat a turn for less time. */
    static constexpr Duration lifetime = TurnReservation::maxRepeatTime;

    /** \brief The writer that has claimed the first turn; empty if there is none. */
    std::string holderOf(const std::string &program);
    /** \brief Claims the first turn for a writer. \return the writer that has claimed it first. */
    std::string claim(const std::string &program, const std::string &writer);
    /** \brief The first turn did not run: another writer may claim it. */
    void release(const std::string &program, const std::string &writer);

private:
    void expire();

    Clock now_;
    std::unordered_map<std::string, std::string> writers_; ///< By program.
    std::deque<std::pair<Time, std::string>> claimed_; ///< Programs by time of their claim, the oldest first.
};

} // namespace filbertgw

#endif
