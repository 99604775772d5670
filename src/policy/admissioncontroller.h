#ifndef FILBERTGW_POLICY_ADMISSIONCONTROLLER_H
#define FILBERTGW_POLICY_ADMISSIONCONTROLLER_H

#include "policy/capacityquota.h"
#include "policy/endpointtracker.h"
#include "policy/programtracker.h"

#include <optional>

namespace filbertgw {

/**
 * \brief Decides when new programs start, so that the programs in progress keep their memory and streams.
 *
 * A new program starts on an engine only within this node's part of the room that the engine's report shows. Until then
 * it waits here; if the wait would become too long, it is refused. Writes AccountSection.
 */
class AdmissionController
{
public:
    AdmissionController(Blackboard &blackboard,
                        const EndpointTracker &endpoints,
                        const ProgramTracker &programs,
                        DisabledMechanisms disabled,
                        CapacityQuota &quota,
                        Clock now,
                        std::function<std::int32_t()> liveNodes);

    /** \brief The deployment's weights; only their ratio counts. The more wasted cache weighs, the earlier it refuses.
     */
    void setWeights(double latency, double wastedCache);
    /** \return why the program can't start in time, or nothing. */
    std::optional<Failure> admit(const AccountId &account, Time deadline) const;
    /** \brief True if the engine has room for a new program of the account. */
    bool hasCapacity(const EndpointState &endpoint, const AccountId &account, std::int64_t tokens) const;
    /** \brief True if all engines together have room for the program over its whole life. */
    bool hasLifetimeCapacity(const ProgramState &program) const;
    void onQueued(const AccountId &account);
    void onStarted(const AccountId &account, const EndpointId &endpoint);
    /** \brief A held program ended without a start. */
    void onDequeued(const AccountId &account);
    void onEnded(const AccountId &account);
    /** \brief True if the account has far more live programs than the mean; its programs start after the others'. */
    bool isOverShare(const AccountId &account) const;
    /** \brief When the program that is held longest began to wait; set before each dispatch. */
    void setOldestQueued(Time since)
    {
        oldestQueued_ = since;
    }

private:
    bool hasLifetimeCapacity(Duration untilDeadline) const;

    AccountSection &section_;
    const EndpointSection &engines_;
    const EndpointTracker &endpoints_;
    const ProgramTracker &programs_;
    DisabledMechanisms disabled_;
    CapacityQuota &quota_;
    Clock now_;
    std::function<std::int32_t()> liveNodes_;
    Time oldestQueued_{0};
    double refusalLoad_ = 0.975; ///< New programs are refused above this share of the most streams.
    double startRate_ = 0; ///< Starts a second, smoothed.
    Time lastStart_{0};
};

} // namespace filbertgw

#endif
