#ifndef FILBERTGW_BENCH_PROMISES_PROCESS_H
#define FILBERTGW_BENCH_PROMISES_PROCESS_H

#include "config/configcontroller.h"
#include "fakes/fakelog.h"
#include "policy/scheduler.h"
#include "program/programcontroller.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace filbertgw::bench {

/** \brief What one node believes of another. */
struct PeerView
{
    bool alive_ = true;
    bool leaving_ = false;
};

/** \brief A connection or peer link that waits for an answer of a process. */
struct Waiting
{
    bool done_ = false;
    std::function<void()> broken_; ///< The process died.
};

/** \brief One `serve` process: real ProgramController, ConfigController and Scheduler, models of their neighbours. */
struct Process
{
    std::string name_; ///< Node name; a restarted node keeps it.
    std::string id_; ///< Unique among processes.
    bool dead_ = false;
    bool paused_ = false;
    bool leaving_ = false;
    bool offBalancer_ = false;
    bool cutFromLog_ = false;
    bool stoppedAsPlanned_ = false;
    std::vector<std::function<void()>> held_; ///< What happens to it while it is paused.
    std::vector<std::shared_ptr<Waiting>> waiting_;
    int open_ = 0; ///< Requests that have no answer yet.
    std::map<std::string, PeerView> view_;
    std::vector<std::string> preferred_; ///< By slot, filled on demand.
    Blackboard blackboard_;
    std::unique_ptr<ProgramController> controller_;
    std::unique_ptr<ConfigController> config_;
    std::unique_ptr<Scheduler> scheduler_;
    using CallName = std::pair<ProgramId, RequestId>;
    std::map<CallName, Dispatch> dispatches_; ///< Calls that the scheduler has.
    std::set<CallName> crashed_; ///< Calls of which an attempt crashed its endpoint.
    std::map<CallName, DispatchOutcome> answers_; ///< Body and usage of an attempt that was answered.
    std::map<std::string, Offset> served_; ///< Versions in force as last noted, by kind and name.
    std::size_t life_ = 0; ///< Index into Trace::processes_.

    /** \brief Preferred node by rendezvous hashing over the members that it believes in; empty if none. */
    const std::string &preferred(std::uint32_t slot);
    /** \brief The same for a name. */
    std::string preferredFor(const std::string &key) const;
    void viewChanged();
};

/** \brief Runs something in a process: at once, when it resumes, or never if it is dead. */
void runIn(const std::shared_ptr<Process> &process, std::function<void()> run);

} // namespace filbertgw::bench

#endif
