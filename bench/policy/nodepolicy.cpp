#include "policy/nodepolicy.h"

#include "policy/baseline.h"

namespace filbertgw::bench {

std::unique_ptr<NodePolicy> makePolicy(const std::string &name, const SchedulerHooks &hooks)
{
    static const std::map<std::string, BaselineKind> baselines{{"round-robin", BaselineKind::RoundRobin},
                                                               {"least-outstanding", BaselineKind::LeastOutstanding},
                                                               {"sticky-hash", BaselineKind::StickyHash},
                                                               {"prefix-aware", BaselineKind::PrefixAware}};
    const std::map<std::string, BaselineKind>::const_iterator baseline = baselines.find(name);
    if (baseline != baselines.end()) {
        return std::make_unique<BaselinePolicy>(baseline->second, hooks);
    }
    return nullptr;
}

} // namespace filbertgw::bench
