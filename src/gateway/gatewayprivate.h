#ifndef FILBERTGW_GATEWAY_GATEWAYPRIVATE_H
#define FILBERTGW_GATEWAY_GATEWAYPRIVATE_H

#include "gateway/gateway.h"

#include <unordered_set>

namespace filbertgw {

namespace internal {

class GatewayCall;

} // namespace internal

/** \brief What the calls of a Gateway share. */
struct Gateway::Private : std::enable_shared_from_this<Gateway::Private>
{
    Private(GatewayHooks hooks, GatewaySettings settings);

    void sweep();
    /** \brief Requests for each slot of a service, over all nodes. */
    double loadOf(const std::string &service) const;
    FleetHooks fleetHooks();

    GatewayHooks hooks_;
    GatewaySettings settings_;
    std::shared_ptr<const RoutingTable> routing_;
    EndpointDirectory directory_;
    Placement placement_;
    ProgramLedger ledger_;
    TurnStore turns_;
    Fleet fleet_;
    BudgetController budget_;
    Admission admission_;
    std::unordered_set<std::shared_ptr<internal::GatewayCall>> calls_;
    bool stopping_ = false;
    bool stopped_ = false;
};

} // namespace filbertgw

#endif
