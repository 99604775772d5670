#include "gateway/cachediscovery.h"

#include <nlohmann/json.hpp>

namespace filbertgw {

CacheDiscovery::CacheDiscovery(CacheDiscoveryHooks hooks, CacheDiscoverySettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
    , started_(hooks_.now_())
{
}

void CacheDiscovery::ask(const std::vector<const Endpoint *> &engines)
{
    if (!hooks_.list_ || hooks_.now_() - started_ > settings_.askFor_) {
        return;
    }
    for (const Endpoint *engine : engines) {
        if (!asked_.insert(engine->id_).second) {
            continue;
        }
        const auto answered = [this, id = engine->id_](const std::vector<PromptPart> &parts) {
            hooks_.logEvent_("cache_listed", {{"endpoint", id}, {"parts", parts.size()}});
            for (const PromptPart &part : parts) {
                hooks_.onPart_(id, part);
            }
        };
        hooks_.list_(*engine, answered);
    }
}

} // namespace filbertgw
