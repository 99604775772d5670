#ifndef FILBERTGW_POLICY_ADMISSIONCONTROLLER_H
#define FILBERTGW_POLICY_ADMISSIONCONTROLLER_H

#include "policy/endpointtracker.h"
#include "policy/programtracker.h"
#include "policy/roomledger.h"

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
                        RoomLedger &rooms,
                        Clock now);

    /** \return why the program can't start in time, or nothing. */
    std::optional<Failure> admit(const AccountId &account, Time deadline) const;
    bool hasRoom(const EndpointState &endpoint, const AccountId &account, std::int64_t tokens) const;
    void onHeld(const AccountId &account);
    void onStarted(const AccountId &account, const EndpointId &endpoint);
    /** \brief A held program ended without a start. */
    void onHeldEnded(const AccountId &account);
    void onEnded(const AccountId &account);
    /** \brief Held programs with a lower value start first. */
    double shareOf(const AccountId &account) const;
    /** \brief When the program that is held longest began to wait; set before each dispatch. */
    void setOldestHeld(Time since)
    {
        oldestHeld_ = since;
    }

private:
    bool isOverShare(const AccountId &account) const;

    AccountSection &section_;
    const EndpointTracker &endpoints_;
    const ProgramTracker &programs_;
    DisabledMechanisms disabled_;
    RoomLedger &rooms_;
    Clock now_;
    Time oldestHeld_{0};
    double startRate_ = 0; ///< Starts a second, smoothed.
    Time lastStart_{0};
};

} // namespace filbertgw

#endif
