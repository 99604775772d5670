#include "placement/cachediscovery.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace filbertgw::test {

namespace {

struct DiscoveryRig
{
    DiscoveryRig()
    {
        for (const char *id : {"e0", "e1"}) {
            Endpoint endpoint;
            endpoint.id_ = id;
            endpoints_.push_back(endpoint);
        }
        engines_ = {&endpoints_[0], &endpoints_[1]};
    }

    CacheDiscoveryHooks hooks()
    {
        CacheDiscoveryHooks hooks;
        hooks.now_ = [this] { return now_; };
        hooks.listCachedParts_ = [this](const Endpoint &endpoint, const auto &done) {
            queried_.push_back(endpoint.id_);
            done({PromptPart{"part-of-" + endpoint.id_, 100}});
        };
        hooks.onCachedPart_ = [this](const std::string &endpoint, const PromptPart &part) {
            known_.push_back(endpoint + ' ' + part.id_);
        };
        hooks.logEvent_ = [](const std::string &, const nlohmann::json &) {};
        return hooks;
    }

    Time now_{std::chrono::seconds(100)};
    std::vector<Endpoint> endpoints_;
    std::vector<const Endpoint *> engines_;
    std::vector<std::string> queried_;
    std::vector<std::string> known_;
    CacheDiscovery discovery_{hooks(), CacheDiscoverySettings()};
};

} // namespace

// Guards against repeated prefills of cached contexts after a restart, and against several queries to the same engine.
TEST(CacheDiscovery, QueriesEachEngineOnce)
{
    DiscoveryRig rig;
    rig.discovery_.query(rig.engines_);
    rig.discovery_.query(rig.engines_);
    EXPECT_EQ(rig.queried_, (std::vector<std::string>{"e0", "e1"}));
    EXPECT_EQ(rig.known_, (std::vector<std::string>{"e0 part-of-e0", "e1 part-of-e1"}));
}

// Guards against queries to engines that are added or restarted later: the node observes itself what they cache.
TEST(CacheDiscovery, QueriesOnlyAfterTheStart)
{
    DiscoveryRig rig;
    rig.now_ += std::chrono::seconds(10);
    rig.discovery_.query(rig.engines_);
    EXPECT_TRUE(rig.queried_.empty());
}

// Guards against a crash if no query hook is set.
TEST(CacheDiscovery, DoesNothingWithoutAQueryHook)
{
    DiscoveryRig rig;
    CacheDiscoveryHooks hooks = rig.hooks();
    hooks.listCachedParts_ = nullptr;
    CacheDiscovery discovery(std::move(hooks), CacheDiscoverySettings());
    discovery.query(rig.engines_);
    EXPECT_TRUE(rig.known_.empty());
}

} // namespace filbertgw::test
