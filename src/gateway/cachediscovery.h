#ifndef FILBERTGW_GATEWAY_CACHEDISCOVERY_H
#define FILBERTGW_GATEWAY_CACHEDISCOVERY_H

#include "gateway/gatewaytypes.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <unordered_set>
#include <vector>

namespace filbertgw {

struct CacheDiscoverySettings
{
    Duration queryWindow_{
        3'000'000}; ///< Time after the start in which engines are asked; later the node knows by itself.
};

struct CacheDiscoveryHooks
{
    Clock now_;
    /** \brief Asks an engine for the prompt parts that it keeps; answered with nothing if that fails. */
    std::function<void(const Endpoint &endpoint, std::function<void(const std::vector<PromptPart> &)> done)>
        listCachedParts_;
    std::function<void(const std::string &endpoint, const PromptPart &part)> onCachedPart_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
};

/**
 * \brief Asks each engine once, after the start of a node, which prompt parts it keeps.
 *
 * Answers the load after many nodes have been killed: programs go on, their contexts still lie in the engines, and a
 * node that doesn't know where would have all of them read again.
 */
class CacheDiscovery
{
public:
    CacheDiscovery(CacheDiscoveryHooks hooks, CacheDiscoverySettings settings);

    /** \brief Asks those of the engines that were not asked yet. */
    void query(const std::vector<const Endpoint *> &engines);

private:
    CacheDiscoveryHooks hooks_;
    CacheDiscoverySettings settings_;
    Time started_;
    std::unordered_set<std::string> queried_;
};

} // namespace filbertgw

#endif
