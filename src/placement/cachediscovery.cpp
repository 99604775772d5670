#include "placement/cachediscovery.h"

#include <nlohmann/json.hpp>

namespace filbertgw {

CacheDiscovery::CacheDiscovery(CacheDiscoveryHooks hooks, CacheDiscoverySettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
    , started_(hooks_.now_())
{
}

void CacheDiscovery::query(const std::vector<const Endpoint *> &engines)
{
    if (!hooks_.listCachedParts_ || hooks_.now_() - started_ > settings_.queryWindow_) {
        return;
    }
    for (const Endpoint *engine : engines) {
        if (!queried_.insert(engine->id_).second) {
            continue;
        }
        const auto onAnswer = [this, id = engine->id_](const std::vector<PromptPart> &parts) {
            hooks_.logEvent_("cache_listed", {{"endpoint", id}, {"parts", parts.size()}});
            for (const PromptPart &part : parts) {
                hooks_.onCachedPart_(id, part);
            }
        };
        hooks_.listCachedParts_(*engine, onAnswer);
    }
}

} // namespace filbertgw
