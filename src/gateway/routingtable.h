#ifndef FILBERTGW_GATEWAY_ROUTINGTABLE_H
#define FILBERTGW_GATEWAY_ROUTINGTABLE_H

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

/** \brief What may be repeated of the requests of a route. */
enum class RouteKind : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each request.
    Streaming, ///< The answer is a series of events; repeated only where the route is resumable.
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

/** \brief A service that a route sends to, with its share of the requests. */
struct RouteTarget
{
    std::string service_;
    double weight_ = 1.0;
};

/** \brief Where requests of one host and path prefix go, and under which limits. */
struct Route
{
    std::string name_;
    std::string host_;
    std::string pathPrefix_; ///< Begins and ends with a slash.
    RouteKind kind_ = RouteKind::NonIdempotent;
    std::vector<RouteTarget> targets_;
    Duration timeout_{0}; ///< Longest time that a caller is kept waiting.
    Duration latencyTarget_{0};
    Duration eventGapTarget_{0}; ///< Longest pause between two events that is still on time.
    Duration retention_{0}; ///< How long retained turns are kept.
    std::uint32_t maxAttempts_ = 1; ///< Endpoints that one request may run on.
    std::uint32_t priority_ = 0; ///< 0 is the most important.
    bool retainsTurns_ = false; ///< Requests carry only what is new since the turn before.
    bool resumable_ = false; ///< A stream may go on at another endpoint after its last event.
    bool hasAffinity_ = false;

    bool isRetryable() const
    {
        return kind_ == RouteKind::Idempotent || (kind_ == RouteKind::Streaming && resumable_);
    }
};

/** \brief Limits of the model engines of a service. */
struct EngineProfile
{
    std::uint32_t slots_ = 1; ///< Requests in one batch.
    std::uint64_t tokensPerEvent_ = 1;
    std::uint64_t cacheTokens_ = 0; ///< Memory of an engine, in tokens.
};

/** \brief A group of equal endpoints. */
struct Service
{
    std::string name_;
    std::uint32_t maxConnections_ = 0; ///< Of one endpoint, from all nodes; 0 for no limit.
    std::optional<EngineProfile> engine_; ///< Set for model engines.
};

/** \brief One version of the operators' configuration. */
class RoutingTable
{
public:
    RoutingTable(std::uint64_t version, std::vector<Route> routes, std::vector<Service> services);

    std::uint64_t version() const;
    /** \brief The route of this host with the longest prefix of the path, or null. */
    const Route *find(const std::string &host, const std::string &path) const;
    const Service *service(const std::string &name) const;
    const std::vector<Route> &routes() const;
    const std::map<std::string, Service> &services() const;

private:
    std::uint64_t version_;
    std::vector<Route> routes_;
    std::map<std::string, Service> services_;
    std::unordered_map<std::string, std::vector<const Route *>> byHost_; ///< Longest prefix first.
};

} // namespace filbertgw

#endif
