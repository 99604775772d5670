#ifndef FILBERTGW_PLACEMENT_CACHEDISCOVERY_H
#define FILBERTGW_PLACEMENT_CACHEDISCOVERY_H

#include "routing/gatewaytypes.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <unordered_set>
#include <vector>

namespace filbertgw {

struct CacheDiscoverySettings
{
    /** Engines are queried for this long after the start; the node observes what later ones cache. */
    Duration queryWindow_{3'000'000};
};

struct CacheDiscoveryHooks
{
    Clock now_;
    /** \brief Requests the prompt parts in an engine's prefix cache; the result is empty on failure. */
    std::function<void(const Endpoint &endpoint, std::function<void(const std::vector<PromptPart> &)> done)>
        listCachedParts_;
    std::function<void(const std::string &endpoint, const PromptPart &part)> onCachedPart_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
};

/**
 * \brief Queries each engine once after the start of a node for the contents of its prefix cache.
 *
 * After a crash of many nodes the running programs continue and their contexts are still cached on the engines. A
 * restarted node that did not know where would cause all of them to be prefilled again.
 */
class CacheDiscovery
{
public:
    CacheDiscovery(CacheDiscoveryHooks hooks, CacheDiscoverySettings settings);

    /** \brief Queries those of the engines that were not queried before. */
    void query(const std::vector<const Endpoint *> &engines);

private:
    CacheDiscoveryHooks hooks_;
    CacheDiscoverySettings settings_;
    Time started_;
    std::unordered_set<std::string> queried_;
};

} // namespace filbertgw

#endif
