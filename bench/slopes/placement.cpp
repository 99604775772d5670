#include "placement/placement.h"
#include "slopes/slopes.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace filbertgw::bench {

namespace {

/** Times the choice of an engine by the gateway, where all of them keep the shared part of a prompt. */
void measureChoice(const Emit &emit, int engines)
{
    constexpr int decisions = 4'000;
    constexpr int lines = 300;
    Time now{std::chrono::seconds(1000)};
    std::mt19937_64 random{1};
    Placement placement([&now] { return now; }, [&random] { return random(); }, PlacementSettings());
    Service service;
    service.name_ = "engines";
    service.engine_ = EngineProfile{64, 3, 280'000};
    std::vector<Endpoint> endpoints(static_cast<std::size_t>(engines));
    std::vector<const Endpoint *> candidates;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        endpoints[i].id_ = "engine-" + std::to_string(i);
        endpoints[i].service_ = service.name_;
        candidates.push_back(&endpoints[i]);
        placement.addCachedPart(CachedPart{endpoints[i].id_, "shared", 2'500});
        placement.observeTokens(service.name_, endpoints[i].id_, 9, std::chrono::milliseconds(45));
    }
    GatewayRequest request;
    request.expectedOutputTokens_ = 33;
    std::vector<double> times;
    for (int i = 0; i < decisions; ++i) {
        now += std::chrono::milliseconds(1);
        request.prompt_ = {PromptPart{"shared", 2'500}, PromptPart{"line-" + std::to_string(i % lines), 3'000}};
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        const Endpoint *chosen = placement.choose(candidates, &service, request, {});
        times.push_back(std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count());
        placement.started(*chosen, request);
        if (i % 2 == 0) {
            placement.ended(chosen->id_);
        }
    }
    std::sort(times.begin(), times.end());
    emit({{"slope", "placement_median"}, {"size", engines}, {"ns", times[times.size() / 2]}});
    emit({{"slope", "placement_p99"}, {"size", engines}, {"ns", times[times.size() * 99 / 100]}});
}

const SlopeSet placementSlopes("placement", [](const Emit &emit) {
    for (int engines : {75, 300, 710}) {
        measureChoice(emit, engines);
    }
});

} // namespace

} // namespace filbertgw::bench
