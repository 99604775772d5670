#ifndef FILBERTGW_NODE_SUBAGENTRUNNER_H
#define FILBERTGW_NODE_SUBAGENTRUNNER_H

#include "program/programcontroller.h"

#include <functional>

namespace filbertgw {

/**
 * \brief Runs a sub-agent call: creates a child program in the caller's tree, runs one model call in it and ends it.
 *
 * The ids are derived from those of the call, so a call that is run again after a takeover finds the same child and the
 * same result. For a sub-agent with several turns the caller creates a program with `parent` instead.
 */
class SubAgentRunner
{
public:
    SubAgentRunner(ProgramController &programs, std::function<void(std::function<void()>)> post);

    /** \brief Runs the call and reports its outcome to ProgramController::onOutcome(). */
    void run(const Dispatch &dispatch);

private:
    void call(const Dispatch &dispatch, const ProgramId &child);
    void report(const Dispatch &dispatch, const CallAnswer &answer);

    ProgramController &programs_;
    std::function<void(std::function<void()>)> post_;
};

} // namespace filbertgw

#endif
