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

/** \brief What a node is told at its start. */
struct NodeSettings
{
    Member self_; ///< Name, failure domain and the addresses that others reach this node by.
    std::vector<Member> members_; ///< Nodes known at the start.
    std::string vmList_; ///< host:port, empty for none.
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
 * \brief A whole node without its sockets: the controllers, the interfaces to callers and operators, the dispatcher.
 *
 * `serve` gives it sockets and timers through NodeHooks (see Node); tests run the same object in virtual time.
 */
class NodeCore
{
public:
    NodeCore(NodeHooks hooks, NodeSettings settings);
    ~NodeCore();

    void start();
    /** \brief Does what is due by time. Call at least every 100 ms. */
    void tick();

    void onHttp(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void onPeer(const std::string &type, const nlohmann::json &body, const std::shared_ptr<PeerReply> &reply);
    void onDatagram(const std::string &datagram);

    /** \brief Begins a planned stop. */
    void drain();
    bool isDraining() const;
    /** \brief True when a planned stop has handed everything over and nothing runs here any more. */
    bool isDrained() const;
    bool isReady() const;

    const Blackboard &blackboard() const;
    /** \brief Every section of the blackboard and the last decisions with their reasons. */
    nlohmann::json state() const;
    /** \brief One program: its state, and the decisions for it with their reasons. */
    nlohmann::json explain(const ProgramId &program) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace filbertgw

#endif
