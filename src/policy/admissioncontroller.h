#ifndef FILBERTGW_POLICY_ADMISSIONCONTROLLER_H
#define FILBERTGW_POLICY_ADMISSIONCONTROLLER_H

#include "policy/capacityquota.h"
#include "policy/endpointtracker.h"
#include "policy/programtracker.h"

#include <optional>

namespace filbertgw {

/**
 * \brief Admission control: decides when new programs start, so that running programs keep their memory and streams.
 *
 * A new program starts on an engine only within this node's share of the free capacity in the engine's load report.
 * Until then it is queued here; a program whose expected wait is too long is refused. Writes AccountSection.
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

    /**
     * \brief Sets the weights of program latency and wasted cache; only their ratio counts.
     *
     * A larger weight of wasted cache lowers the load above which new programs are refused.
     */
    void setWeights(double latency, double wastedCache);
    /** \return why a new program of the account is refused, or nothing if it may start or wait. */
    std::optional<Failure> admit(const AccountId &account, Time deadline) const;
    /** \brief True if the engine has capacity for a new program of the account that adds `tokens` to its cache. */
    bool hasCapacity(const EndpointState &endpoint, const AccountId &account, std::int64_t tokens) const;
    /** \brief True if all engines together have the cache memory that the program needs over its lifetime. */
    bool hasLifetimeCapacity(const ProgramState &program) const;
    /** \brief A program began to wait for admission. */
    void onQueued(const AccountId &account);
    /** \brief A queued program started on the endpoint. */
    void onStarted(const AccountId &account, const EndpointId &endpoint);
    /** \brief A queued program ended without a start. */
    void onDequeued(const AccountId &account);
    /** \brief A program that had started ended. */
    void onEnded(const AccountId &account);
    /** \brief True if the account has far more live programs than the others' mean; its programs start last. */
    bool isOverShare(const AccountId &account) const;
    /** \brief Sets when the longest waiting program was queued; called before each dispatch. */
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
    double refusalLoad_ = 0.975; ///< New programs are refused above this mean load, as a share of maxStreams_.
    double startRate_ = 0; ///< Starts per second, exponentially smoothed.
    Time lastStart_{0};
};

} // namespace filbertgw

#endif
