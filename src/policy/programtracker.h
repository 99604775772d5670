#ifndef FILBERTGW_POLICY_PROGRAMTRACKER_H
#define FILBERTGW_POLICY_PROGRAMTRACKER_H

#include "blackboard/blackboard.h"
#include "policy/enginecosts.h"
#include "policy/policysections.h"

namespace filbertgw {

/**
 * \brief Tracks where the prefix of each program is cached, and its delay beyond the lower bound of its latency.
 *
 * The length of a program is not known in advance. It is estimated by the mean of its class, which consists of the
 * programs with a similar time until their deadline. Writes ProgramSection.
 */
class ProgramTracker
{
public:
    ProgramTracker(Blackboard &blackboard, const EngineCosts &costs, Clock now);

    /** \brief A call was submitted; adds its program if it is new. */
    ProgramState &onSubmit(const ScheduleRequest &request);
    /** \brief A call ended after `seconds`, with or without an answer; the time beyond `idealSeconds` is its delay. */
    void onCallEnded(const ScheduleRequest &request, double seconds, double idealSeconds);
    /** \brief An endpoint answered the call; a model engine becomes the program's home. */
    void onAnswered(const ScheduleRequest &request, const AttemptResult &result);
    void onPaused(const ProgramId &program, const std::string &tool);
    /** \brief Removes a program; the length of a root's tree enters the mean of its class. */
    void onEnded(const ProgramId &program);
    /** \brief The engine has probably lost its cache; it still gets release orders in case it has not. */
    void onCacheLost(const EndpointId &endpoint);
    void onCacheEvent(const CacheEvent &event);
    /** \brief The first `tokens` of the program's history are cached at the endpoint, its new home. */
    void onMoved(const ProgramId &program, const EndpointId &endpoint, std::int64_t tokens);
    /** \brief Recomputes exportedTokens(). */
    void tick();
    void onExported(const ProgramId &program);
    /** \brief A call is sent to the engine, which then may hold cached blocks of the program. */
    void onSent(const ProgramId &program, const EndpointId &endpoint);
    /** \brief The program has started and counts as live. */
    void onAdmitted(const ProgramId &program);
    /** \brief The engine was ordered to release the program's blocks. */
    void onReleased(const ProgramId &program, const EndpointId &endpoint);

    const ProgramState *find(const ProgramId &program) const;
    /** \brief Expected final slowdown of the program's tree if its call starts now; 1 for an unknown program. */
    double projectedSlowdown(const ScheduleRequest &request, Time submittedAt) const;
    /** \brief Expected lower bound of the latency of a program with this time until its deadline, in seconds. */
    double expectedIdealSeconds(Duration untilDeadline) const;
    /** \brief Expected lower bound of the latency of the program's tree, in seconds. */
    double expectedIdealSeconds(const ProgramState &program) const;
    /** \brief Expected cache of a program with this time until its deadline, in tokens. */
    double expectedCacheTokens(Duration untilDeadline) const;
    /** \brief Exported cache of this node's programs at the last tick, in tokens. */
    double exportedTokens() const
    {
        return section_.exportedTokens_;
    }
    /** \brief Expected generated tokens per call. */
    double expectedGeneratedTokens() const
    {
        return section_.meanGeneratedTokens_;
    }

private:
    ProgramState *findState(const ProgramId &program);
    ProgramState &rootOf(ProgramState &program);

    ProgramSection &section_;
    EngineCosts costs_;
    Clock now_;
};

} // namespace filbertgw

#endif
