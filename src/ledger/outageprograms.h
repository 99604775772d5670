#ifndef FILBERTGW_LEDGER_OUTAGEPROGRAMS_H
#define FILBERTGW_LEDGER_OUTAGEPROGRAMS_H

#include "core/time.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/**
 * \brief Programs that have begun in an outage of the store and whose whole spending is known to this node.
 *
 * Kept by the coordinator of a program and its replicas. At the coordinator at most one turn of a program runs, so that
 * repeated client attempts do not use up what the outage may grant.
 *
 * \sa BudgetController
 */
class OutagePrograms
{
public:
    explicit OutagePrograms(Clock now);

    /** \brief Time without a turn after which a program is forgotten. \sa MissedGrantDetector::programLifetime */
    static constexpr Duration lifetime{120'000'000};
    /** \brief Time after which a turn counts as ended, since the message about its end may be lost. */
    static constexpr Duration turnLifetime{30'000'000};

    void add(const std::string &program);
    bool contains(const std::string &program) const;
    void remove(const std::string &program);
    void clear();
    std::vector<std::string> programs() const;

    /** \brief The writer whose turn runs; empty if none does. */
    std::string runningWriter(const std::string &program) const;
    void beginTurn(const std::string &program, const std::string &writer);
    void endTurn(const std::string &program, const std::string &writer);
    /** \brief Removes programs without a turn within lifetime. */
    void expire();

private:
    struct Program
    {
        std::string writer_; ///< Whose turn runs; empty if none does.
        Time usedAt_{0};
    };

    Clock now_;
    std::unordered_map<std::string, Program> programs_;
};

} // namespace filbertgw

#endif
