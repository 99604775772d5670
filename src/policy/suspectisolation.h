#ifndef FILBERTGW_POLICY_SUSPECTISOLATION_H
#define FILBERTGW_POLICY_SUSPECTISOLATION_H

#include "core/ids.h"
#include "policy/policysections.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace filbertgw {

/** \brief Crashes of endpoints while they ran one call. */
struct CrashHistory
{
    std::uint32_t crashes_ = 0; ///< Endpoints that crashed while they ran the call.
    std::uint32_t aloneCrashes_ = 0; ///< Crashes of attempts that were to run alone; all crashes if isolation is off.
    bool attributed_ = false; ///< The last crash hit an attempt confirmed to run alone, at the stage of the one before.
    bool runAlone_ = false;
    bool hadFirstToken_ = false; ///< Whether the first token had arrived at the last crash.
    EndpointId crashedEndpoint_;
    Time lastCrashAt_{0};

    /** \brief True if the call is a poison request: its crashes can have no other cause. */
    bool isPoison() const
    {
        return crashes_ > 1 && (attributed_ || aloneCrashes_ > 2);
    }
};

/** \brief An attempt whose endpoint crashed. */
struct CrashedAttempt
{
    EndpointId endpoint_;
    Time at_{0};
    bool hadFirstToken_ = false;
    bool alone_ = false; ///< It was to run beside no other request.
    bool confirmedAlone_ = false; ///< The endpoint had confirmed that it ran nothing else.
};

/**
 * \brief Retries requests suspected of a crash in isolation, so that a second crash identifies the poison request.
 *
 * Several suspects may be queued at one engine, and the known load of an engine is 1 to 2 s old. Only the engine knows
 * which of them it runs, so a crash is attributed to a request only if the engine had confirmed that it ran it alone.
 * A poison request crashes engines at the same stage each time and one at a time: a crash at another stage than the
 * last one, or together with other endpoints (a lost failure domain), is not attributed to it.
 *
 * A call without a first token when its endpoint crashed runs alone at its next attempt. A call that was already
 * streaming is retried once beside other requests and runs alone only after a second crash, because isolating every
 * stream of a crashed engine would occupy an engine for minutes. A crash beside other requests identifies no request.
 */
class SuspectIsolation
{
public:
    explicit SuspectIsolation(bool enabled);

    /** \brief Time to wait for other endpoints that crashed simultaneously before a crash is attributed. */
    static constexpr Duration attributionDelay = std::chrono::seconds(1);

    /** \brief Records a crash and decides whether the next attempt runs alone. */
    void onCrash(CrashHistory &history, const CrashedAttempt &attempt);
    /** \brief Withdraws the last crash if an endpoint not in `failedEndpoints` crashed within attributionDelay. */
    void reviewLastCrash(CrashHistory &history, const std::set<EndpointId> &failedEndpoints) const;
    /** \brief A request that runs alone was sent to the endpoint. */
    void onStarted(const EndpointId &endpoint);
    /** \brief A request that runs alone ended on the endpoint. */
    void onEnded(const EndpointId &endpoint);
    /** \brief True if this node has a request on the endpoint that runs alone. */
    bool isReserved(const EndpointId &endpoint) const;
    /** \brief True if rendezvous hashing assigns the suspect to the endpoint; spreads the suspects of one crash. */
    bool isAssigned(const ProgramId &program,
                    const CrashHistory &history,
                    const EndpointState &endpoint,
                    const EndpointSection &all) const;

private:
    bool enabled_;
    std::map<EndpointId, std::int32_t> reserved_;
    std::deque<std::pair<Time, EndpointId>> crashes_; ///< Crashes of the last seconds, oldest first.
};

} // namespace filbertgw

#endif
