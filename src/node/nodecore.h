#ifndef FILBERTGW_NODE_NODECORE_H
#define FILBERTGW_NODE_NODECORE_H

#include "blackboard/blackboard.h"
#include "membership/membershipsection.h"
#include "net/httptypes.h"
#include "node/nodehooks.h"

#include <memory>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Configuration of a node at startup. */
struct NodeSettings
{
    Member self_; ///< Name, failure domain and advertised addresses of this node.
    std::vector<Member> members_; ///< Nodes known at startup.
    std::string vmList_; ///< Address of the VM list as host:port; empty for none.
    std::vector<std::string> peerKeys_;
    std::vector<std::string> operatorKeys_;
    std::string orderKey_; ///< Signs orders to endpoints; empty for no signature.
    std::size_t maxResponseBytes_ = 4 * 1024 * 1024;
    std::size_t backlogBytes_ = 8 * 1024 * 1024;
    Duration callTimeout_ = std::chrono::minutes(10);
    Duration pollPeriod_ = std::chrono::seconds(1);
    Duration retention_ = std::chrono::hours(168);
};

/**
 * \brief A node without its sockets: the controllers, the interfaces to callers and operators, the dispatcher.
 *
 * `serve` provides sockets and timers through NodeHooks (see Node); tests run the same class in virtual time.
 */
class NodeCore
{
public:
    NodeCore(NodeHooks hooks, NodeSettings settings);
    ~NodeCore();

    void start();
    /** \brief Runs the periodic work that is due. Must be called at least every 100 ms. */
    void tick();

    void onHttp(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void onPeer(const std::string &type, const nlohmann::json &body, const std::shared_ptr<PeerReply> &reply);
    void onDatagram(const std::string &datagram);

    /** \brief Starts a planned stop. */
    void drain();
    bool isDraining() const;
    /** \brief True when a planned stop has handed over all programs and no call or request runs at this node. */
    bool isDrained() const;
    bool isReady() const;

    const Blackboard &blackboard() const;
    /** \brief All sections of the blackboard and the most recent decisions with their reasons. */
    nlohmann::json state() const;
    /** \brief State of a program and the decisions about it with their reasons; null if the program is unknown. */
    nlohmann::json explain(const ProgramId &program) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace filbertgw

#endif
