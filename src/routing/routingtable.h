#ifndef FILBERTGW_ROUTING_ROUTINGTABLE_H
#define FILBERTGW_ROUTING_ROUTINGTABLE_H

#include "accounts/accountdirectory.h"
#include "core/nametable.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/** \brief Whether requests of a route may be retried. */
enum class RouteKind : std::uint8_t {
    Idempotent, ///< Requests may be executed more than once.
    NonIdempotent, ///< Each request is executed at most once.
    Streaming, ///< The answer is an event stream; retried only if the route is resumable.
};

template<>
struct NameTable<RouteKind>
{
    static constexpr std::array<std::pair<RouteKind, std::string_view>, 3> entries{{
        {RouteKind::Idempotent, "idempotent"},
        {RouteKind::NonIdempotent, "non_idempotent"},
        {RouteKind::Streaming, "streaming"},
    }};
};

/** \brief A service that a route forwards to and its share of the requests. */
struct RouteTarget
{
    std::string service_;
    double weight_ = 1.0;
};

/** \brief Targets and limits of the requests with one host and path prefix. */
struct Route
{
    std::string name_;
    std::string host_;
    std::string pathPrefix_; ///< Begins and ends with a slash.
    RouteKind kind_ = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets_;
    Duration timeout_{0}; ///< Longest time that a caller is kept waiting.
    Duration latencyTarget_{0};
    Duration eventGapTarget_{0}; ///< Longest time between two events that counts as on time.
    Duration retention_{0}; ///< Lifetime of retained turns.
    std::uint32_t maxAttempts_ = 1; ///< Number of endpoints that a request may be sent to.
    std::uint32_t priority_ = 0; ///< 0 is the highest.
    bool retainsTurns_ = false; ///< Requests contain only what is new since the previous turn.
    bool resumable_ = false; ///< A stream may be continued on another endpoint after the last event received.
    bool hasAffinity_ = false;
    bool isOpen_ = false; ///< Requests need no key of a client account.

    bool isRetryable() const
    {
        return kind_ == RouteKind::Idempotent || (kind_ == RouteKind::Streaming && resumable_);
    }
};

/** \brief Limits of the model engines of a service. */
struct EngineProfile
{
    std::uint32_t slots_ = 1; ///< Maximum batch size.
    std::uint64_t tokensPerEvent_ = 1;
    std::uint64_t cacheTokens_ = 0; ///< Capacity of an engine's prefix cache.
};

/** \brief A group of interchangeable endpoints. */
struct Service
{
    std::string name_;
    std::uint32_t maxConnections_ = 0; ///< Per endpoint, over all nodes; 0 for no limit.
    std::optional<EngineProfile> engine_; ///< Set for model engines.
};

/** \brief Routes, services and client accounts of one version of the configuration. */
class RoutingTable
{
public:
    /** \param accounts nothing if the configuration has no client accounts; then requests need no key. */
    RoutingTable(std::uint64_t version,
                 std::vector<Route> routes,
                 std::vector<Service> services,
                 std::optional<AccountDirectory> accounts = std::nullopt);

    std::uint64_t version() const;
    /** \brief The route of this host with the longest matching path prefix, or null. */
    const Route *find(const std::string &host, const std::string &path) const;
    const Service *service(const std::string &name) const;
    /** \brief The client accounts, or null if the configuration has none. */
    const AccountDirectory *accounts() const;
    const std::vector<Route> &routes() const;
    const std::map<std::string, Service> &services() const;

private:
    std::uint64_t version_;
    std::vector<Route> routes_;
    std::map<std::string, Service> services_;
    std::optional<AccountDirectory> accounts_;
    std::unordered_map<std::string, std::vector<const Route *>> byHost_; ///< Longest prefix first.
};

} // namespace filbertgw

#endif
