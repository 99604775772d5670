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

/** \brief What crashes say of one call. */
struct CrashHistory
{
    std::uint32_t crashes_ = 0; ///< Endpoints that crashed with it.
    std::uint32_t aloneCrashes_ = 0; ///< Those at which it was to run alone.
    bool attributed_ = false; ///< The last of them had confirmed that it ran nothing else.
    bool runAlone_ = false;
    bool hadFirstToken_ = false; ///< At the last crash.
    EndpointId crashedAt_;
    Time lastCrashAt_{0};

    /** \brief True if the crashes can be due to nothing else. */
    bool isPoison() const
    {
        return crashes_ > 1 && (attributed_ || aloneCrashes_ > 2);
    }
};

/** \brief How an attempt went whose endpoint crashed. */
struct CrashedAttempt
{
    EndpointId endpoint_;
    Time at_{0};
    bool hadFirstToken_ = false;
    bool alone_ = false; ///< Was to run beside nothing else.
    bool confirmedAlone_ = false; ///< The endpoint had said that it ran this attempt and nothing else.
};

/**
 * \brief Keeps the suspects of a crash apart, so that a second crash convicts only the request that caused it.
 *
 * Several suspects may wait at one engine, and the load known of an engine is 1 to 2 s old. Only the engine knows which
 * of them it runs, therefore a crash is certain only after the engine's own confirmation. A request that crashes
 * engines does so at the same stage each time, and it crashes one engine at a time: a crash at another stage than the
 * last one, or together with other endpoints (a lost failure domain), is not held against it.
 *
 * A call that had no first token when its endpoint crashed runs alone at its next attempt. One that was already
 * streaming is retried beside others once and runs alone only after a second crash, because isolating every stream of a
 * crashed engine would cost an engine for minutes. Nobody is convicted by a crash beside other requests.
 */
class SuspectIsolation
{
public:
    explicit SuspectIsolation(bool enabled);

    /** \brief How long a verdict waits for news of other endpoints that crashed at the same time. */
    static constexpr Duration attributionDelay = std::chrono::seconds(1);

    void onCrash(CrashHistory &history, const CrashedAttempt &attempt);
    /** \brief Withdraws the last crash if an endpoint that did not fail the request before crashed within the delay. */
    void reviewLastCrash(CrashHistory &history, const std::set<EndpointId> &failedAt) const;
    void onStarted(const EndpointId &endpoint);
    void onEnded(const EndpointId &endpoint);
    /** \brief True if this node has a request that runs alone on the endpoint. */
    bool isReserved(const EndpointId &endpoint) const;
    /** \brief True if the suspect has to run there; spreads the suspects of one crash over the endpoints. */
    bool isAssigned(const ProgramId &program,
                    const CrashHistory &history,
                    const EndpointState &endpoint,
                    const EndpointSection &all) const;

private:
    bool enabled_;
    std::map<EndpointId, std::int32_t> reserved_;
    std::deque<std::pair<Time, EndpointId>> crashes_; ///< Of the last seconds, oldest first.
};

} // namespace filbertgw

#endif
