#ifndef FILBERTGW_NODE_PROGRAMFORWARDER_H
#define FILBERTGW_NODE_PROGRAMFORWARDER_H

#include "blackboard/blackboard.h"
#include "core/metrics.h"
#include "membership/membershipsection.h"
#include "membership/slotmap.h"
#include "node/apitypes.h"
#include "node/nodehooks.h"
#include "node/programapi.h"

#include <map>
#include <memory>

namespace filbertgw {

/**
 * \brief Routes each request to the owner of its program, which is this node or a peer.
 *
 * The owner deduplicates requests by their request id, so a request can be sent again after a broken connection without
 * running twice.
 */
class ProgramForwarder
{
public:
    ProgramForwarder(const NodeHooks &hooks,
                     const Blackboard &blackboard,
                     ProgramController &programs,
                     ProgramApi &local,
                     const SlotMap &slots,
                     Metrics &metrics);
    ~ProgramForwarder();

    /** \brief Runs a request of a caller or of a peer. \return a function to call if the caller disconnects. */
    ApiCancel run(const ApiRequest &request, const ApiSink &sink);
    /** \brief Handles a request that a peer has forwarded to this node. */
    void onPeerRequest(const nlohmann::json &body, const std::shared_ptr<PeerReply> &reply);
    /** \brief Handles a change of the members: requests at dead nodes are sent to the new owners. */
    void onMembership();
    /** \brief Marks this node as leaving: new programs are created at other nodes. */
    void setLeaving();
    /** \brief Requests that are not finished. */
    std::size_t openRequests() const;

private:
    struct Pending;
    using PendingPtr = std::shared_ptr<Pending>;

    void route(const PendingPtr &pending);
    void runLocally(const PendingPtr &pending);
    void forwardTo(const PendingPtr &pending, const NodeId &node);
    void retryLater(const PendingPtr &pending);
    void retry(const PendingPtr &pending);
    void onResult(const PendingPtr &pending, const ApiResult &result);
    void finish(const PendingPtr &pending, const ApiResult &result);
    void onPeerPart(const PendingPtr &pending, const nlohmann::json &part);
    void onPeerDone(const PendingPtr &pending, PeerOutcome outcome, const nlohmann::json &body);
    NodeId targetOf(const Pending &pending) const;
    bool isUsable(const NodeId &node) const;
    Failure timeoutFailure(const Pending &pending) const;

    const NodeHooks &hooks_;
    const Blackboard &blackboard_;
    ProgramController &programs_;
    ProgramApi &local_;
    const SlotMap &slots_;
    Metrics &metrics_;
    bool leaving_ = false;
    std::uint64_t nextId_ = 1;
    std::map<std::uint64_t, PendingPtr> pending_;
};

} // namespace filbertgw

#endif
