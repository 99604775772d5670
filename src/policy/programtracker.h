#ifndef FILBERTGW_POLICY_PROGRAMTRACKER_H
#define FILBERTGW_POLICY_PROGRAMTRACKER_H

#include "blackboard/blackboard.h"
#include "policy/enginecosts.h"
#include "policy/policysections.h"

namespace filbertgw {

/**
 * \brief Follows each program: where its prefix is, and how late it is against its lower bound.
 *
 * The length of a program is not known in advance; it is learned for each class of programs, which is the time they
 * are given until their deadline. Writes ProgramSection.
 */
class ProgramTracker
{
public:
    ProgramTracker(Blackboard &blackboard, const EngineCosts &costs, Clock now);

    ProgramState &onSubmit(const ScheduleRequest &request);
    void onCallEnded(const ScheduleRequest &request, double seconds, double idealSeconds);
    void onAnswered(const ScheduleRequest &request, const AttemptResult &result);
    void onPaused(const ProgramId &program, const std::string &tool);
    /** \brief Forgets a program; its tree's length is learned if it is a root. */
    void onEnded(const ProgramId &program);
    /** \brief The engine has probably lost everything that it held; it still gets release orders, in case it has not.
     */
    void onCacheLost(const EndpointId &endpoint);
    void onCacheEvent(const CacheEvent &event);
    void onMoved(const ProgramId &program, const EndpointId &endpoint, std::int64_t tokens);
    void tick();
    void onExported(const ProgramId &program);
    /** \brief A call is sent to the engine, which then holds something of the program. */
    void onSent(const ProgramId &program, const EndpointId &endpoint);
    void onAdmitted(const ProgramId &program);
    /** \brief The engine holds nothing more of the program. */
    void onReleased(const ProgramId &program, const EndpointId &endpoint);

    const ProgramState *find(const ProgramId &program) const;
    /** \brief Expected slowdown of the program's tree at its end if its call starts now. */
    double projectedSlowdown(const ScheduleRequest &request, Time submittedAt) const;
    /** \brief Expected lower bound of a whole program that has this long until its deadline. */
    double expectedIdealSeconds(Duration untilDeadline) const;
    /** \brief Expected lower bound of the program's tree. */
    double expectedIdealSeconds(const ProgramState &program) const;
    /** \brief Cache that a program needs that has this long until its deadline, in tokens. */
    double expectedCacheTokens(Duration untilDeadline) const;
    /** \brief Cache of this node's programs that is exported, in tokens. */
    double exportedTokens() const
    {
        return section_.exportedTokens_;
    }
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
