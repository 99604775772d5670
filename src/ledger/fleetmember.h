#ifndef FILBERTGW_LEDGER_FLEETMEMBER_H
#define FILBERTGW_LEDGER_FLEETMEMBER_H

#include <string>

namespace filbertgw {

/** \brief A node, as registered in the record store. */
struct FleetMember
{
    std::string name_;
    std::string datagramAddress_; ///< `HOST:PORT` for reports.
    std::string linkAddress_; ///< `HOST:PORT` for requests of other nodes.
    std::string domain_; ///< Failure domain; empty for nodes of a version without groups.
};

} // namespace filbertgw

#endif
