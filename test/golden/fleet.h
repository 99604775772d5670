#ifndef FILBERTGW_TEST_GOLDEN_FLEET_H
#define FILBERTGW_TEST_GOLDEN_FLEET_H

#include "node/nodecore.h"
#include "virtualworld.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace filbertgw::testing {

/** \brief Several whole nodes in virtual time, with their links, the log and the endpoints. */
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed);
    ~Fleet();

    void addNode(const std::string &name, const std::string &domain);
    void startNodes();
    /** \brief The node vanishes: nothing that it does or is sent arrives any more. */
    void kill(const std::string &name);
    NodeCore &node(const std::string &name);
    std::shared_ptr<RecordedReply>
    request(const std::string &node, const std::string &label, const HttpRequest &request);

    /** \brief Adds a line with the virtual time to the recorded session. */
    void record(const std::string &line);
    const std::string &text() const;

    VirtualClock clock_;
    MemoryLog log_;
    MemoryEndpoints endpoints_;

private:
    struct FleetNode;
    struct PeerExchange;
    class MemoryPeerReply;

    NodeHooks hooksOf(const std::shared_ptr<FleetNode> &node);
    std::uint64_t requestPeer(const std::string &address,
                              const std::string &type,
                              const nlohmann::json &body,
                              const PeerLinks::Part &part,
                              const PeerLinks::Done &done);
    void cancelPeer(std::uint64_t id);
    void tick(const std::shared_ptr<FleetNode> &node);

    std::mt19937_64 random_;
    std::map<std::string, std::shared_ptr<FleetNode>> nodes_;
    std::map<std::uint64_t, std::shared_ptr<PeerExchange>> exchanges_;
    std::uint64_t nextExchange_ = 1;
    std::string text_;
};

} // namespace filbertgw::testing

#endif
