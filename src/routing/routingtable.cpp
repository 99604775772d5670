#include "routing/routingtable.h"

#include <algorithm>

namespace filbertgw {

RoutingTable::RoutingTable(std::uint64_t version,
                           std::vector<Route> routes,
                           std::vector<Service> services,
                           std::optional<AccountDirectory> accounts)
    : version_(version)
    , routes_(std::move(routes))
    , accounts_(std::move(accounts))
{
    for (Service &service : services) {
        const std::string name = service.name_;
        services_.emplace(name, std::move(service));
    }
    for (const Route &route : routes_) {
        byHost_[route.host_].push_back(&route);
    }
    for (std::pair<const std::string, std::vector<const Route *>> &entry : byHost_) {
        std::stable_sort(entry.second.begin(), entry.second.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix_.size() > b->pathPrefix_.size();
        });
    }
}

std::uint64_t RoutingTable::version() const
{
    return version_;
}

const Route *RoutingTable::find(const std::string &host, const std::string &path) const
{
    const auto routes = byHost_.find(host);
    if (routes == byHost_.end()) {
        return nullptr;
    }
    for (const Route *route : routes->second) {
        if (path.compare(0, route->pathPrefix_.size(), route->pathPrefix_) == 0) {
            return route;
        }
    }
    return nullptr;
}

const Service *RoutingTable::service(const std::string &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const AccountDirectory *RoutingTable::accounts() const
{
    return accounts_ ? &*accounts_ : nullptr;
}

const std::map<std::string, Service> &RoutingTable::services() const
{
    return services_;
}

const std::vector<Route> &RoutingTable::routes() const
{
    return routes_;
}

} // namespace filbertgw
