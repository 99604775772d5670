#ifndef FILBERTGW_NODE_ENDPOINTPOLLER_H
#define FILBERTGW_NODE_ENDPOINTPOLLER_H

#include "blackboard/blackboard.h"
#include "node/nodehooks.h"
#include "policy/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace filbertgw {

/** \brief Polls load reports, cache events and held programs of the engines that this node monitors. */
class EndpointPoller
{
public:
    /** \brief True if this node has the authoritative state of a program and the program has ended. */
    using IsKnownEnded = std::function<bool(const ProgramId &)>;

    EndpointPoller(const NodeHooks &hooks,
                   const Blackboard &blackboard,
                   Scheduler &scheduler,
                   Duration period,
                   IsKnownEnded isKnownEnded);

    /** \brief Sends the polls that are due. */
    void tick();
    /** \brief Engines whose last load report says that they are leaving. */
    const std::set<EndpointId> &leaving() const;

private:
    struct Engine
    {
        Time nextLoadAt_{0};
        Time nextHeldAt_{0};
        std::uint64_t nextEvent_ = 1;
        std::int64_t completed_ = 0; ///< Requests that the engine has completed since its start.
        bool isLoadPending_ = false;
        bool areEventsPending_ = false;
        bool isHeldPending_ = false;
        bool healthy_ = true;
    };

    void get(const EndpointId &id, const std::string &target, std::function<void(bool, const nlohmann::json &)> done);
    void pollLoad(const EndpointId &id);
    void pollEvents(const EndpointId &id);
    void pollHeld(const EndpointId &id);
    void applyLoad(const EndpointId &id, const nlohmann::json &body);
    void applyCacheEvents(const EndpointId &id, const nlohmann::json &body);
    void onRestart(const EndpointId &id);
    void setHealthy(const EndpointId &id, bool healthy);
    std::set<EndpointId> monitored() const;

    const NodeHooks &hooks_;
    const Blackboard &blackboard_;
    Scheduler &scheduler_;
    Duration period_;
    IsKnownEnded isKnownEnded_;
    std::map<EndpointId, Engine> engines_;
    std::set<EndpointId> leaving_;
};

} // namespace filbertgw

#endif
