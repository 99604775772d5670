#ifndef FILBERTGW_POLICY_SUSPECTISOLATION_H
#define FILBERTGW_POLICY_SUSPECTISOLATION_H

#include "core/ids.h"
#include "policy/policysections.h"

#include <cstdint>
#include <map>

namespace filbertgw {

/** \brief What crashes say of one call. */
struct Suspicion
{
    std::uint32_t crashes_ = 0; ///< Endpoints that crashed with it.
    std::uint32_t aloneCrashes_ = 0; ///< Those at which it was to run alone.
    bool certain_ = false; ///< One of them had no other work when the request was sent there.
    bool runAlone_ = false;
    EndpointId crashedAt_;

    /** \brief True if the crashes can be due to nothing else. */
    bool isConvicted() const
    {
        return crashes_ > 1 && (certain_ || aloneCrashes_ > 2);
    }
};

/**
 * \brief Keeps the suspects of a crash apart, so that a second crash convicts only the request that caused it.
 *
 * A call that had no first token when its endpoint crashed runs alone at its next attempt. One that was already
 * streaming is retried beside others once and runs alone only after a second crash, because isolating every stream of a
 * crashed engine would cost an engine for minutes. Nobody is convicted by a crash beside other requests.
 */
class SuspectIsolation
{
public:
    explicit SuspectIsolation(bool enabled);

    void onCrash(Suspicion &suspicion, const EndpointId &endpoint, bool hadFirstToken, bool alone, double load) const;
    void onStarted(const EndpointId &endpoint);
    void onEnded(const EndpointId &endpoint);
    /** \brief True if this node has a request that runs alone on the endpoint. */
    bool isReserved(const EndpointId &endpoint) const;
    /** \brief True if the suspect has to run there; suspects of one crash get different endpoints. */
    bool isPlaceFor(const ProgramId &program,
                    const Suspicion &suspicion,
                    const EndpointState &endpoint,
                    const EndpointSection &all) const;

private:
    bool enabled_;
    std::map<EndpointId, std::int32_t> reserved_;
};

} // namespace filbertgw

#endif
