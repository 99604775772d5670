#ifndef FILBERTGW_NODE_SUBAGENTRUNNER_H
#define FILBERTGW_NODE_SUBAGENTRUNNER_H

#include "program/programcontroller.h"

#include <functional>

namespace filbertgw {

/**
 * \brief Runs a sub-agent call: a child program in the caller's tree, one model call in it, its end.
 *
 * The ids are derived from the call's, so that a call that is run again after a takeover finds the same child and the
 * same answer. Sub-agents with several turns are created by their caller with `parent` instead.
 */
class SubAgentRunner
{
public:
    SubAgentRunner(ProgramController &programs, std::function<void(std::function<void()>)> post);

    /** \brief Runs the call; reports to ProgramController::onOutcome(). */
    void run(const Dispatch &dispatch);

private:
    void call(const Dispatch &dispatch, const ProgramId &child);
    void report(const Dispatch &dispatch, const CallAnswer &answer);

    ProgramController &programs_;
    std::function<void(std::function<void()>)> post_;
};

} // namespace filbertgw

#endif
