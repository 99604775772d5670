#ifndef FILBERTGW_ACCOUNTS_QUOTACONTROLLER_H
#define FILBERTGW_ACCOUNTS_QUOTACONTROLLER_H

#include "accounts/quotacoordinator.h"
#include "accounts/quotaleases.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Another node, as the quota sees it. */
struct QuotaNode
{
    std::string name_;
    std::string address_; ///< For requests of other nodes.
    Time lastSeenAt_{0};
    bool isAlive_ = false; ///< Seen lately.
};

/** \brief Result of a connection attempt to a node that has not answered. */
enum class NodeProbe : std::uint8_t {
    Accepted, ///< The process exists, but it may be frozen.
    Refused, ///< No process listens at its address.
    Silent, ///< Nothing answered: the node or the path to it is gone.
};

/** \brief Environment of a QuotaController. */
struct QuotaControllerHooks
{
    Clock now_; ///< Includes the time during which the VM is suspended.
    std::string self_; ///< Name of this node.
    /** \brief Other nodes that are alive, or were within \p window. */
    std::function<std::vector<QuotaNode>(Duration window)> nodes_;
    std::function<bool()> hasQuotas_; ///< The configuration in force has an account with a quota.
    std::function<bool()> isDiscoveryComplete_; ///< The list of nodes has been read.
    std::function<std::optional<QuotaLimit>(const std::string &account)> limitOf_; ///< By the configuration in force.
    std::function<void(const std::string &address,
                       const std::string &type,
                       const nlohmann::json &body,
                       Duration timeout,
                       std::function<void(const std::optional<nlohmann::json> &)> answer)>
        askPeer_;
    std::function<void(const QuotaNode &node, std::function<void(NodeProbe)> done)> probe_; ///< May be empty.
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
    std::function<void(const std::string &name, const std::string &label)> count_;
};

/** \brief Answer to a request for a permit. */
struct QuotaDecision
{
    bool isGranted_ = false;
    Time deadline_{0}; ///< Of the permit.
    Duration retryAfter_{0}; ///< If it was refused.
    std::string decidedBy_; ///< Node that decided; empty if this node used its own share.
};

/**
 * \brief Obtains permits for this node's requests, and grants those of the accounts that it coordinates.
 *
 * The coordinator of an account is the first live node by rendezvous hashing. If it does not answer, the next one is
 * asked, which passes the request on to the first if it can reach it, and takes its place if not. A node that reaches
 * neither uses its own share of the quota. See docs/design/account-quota.md for the sums in each case.
 */
class QuotaController
{
public:
    using Decided = std::function<void(const QuotaDecision &)>;

    QuotaController(QuotaControllerHooks hooks, QuotaSettings settings);
    ~QuotaController();

    /** \brief Asks for a permit for one request; \p decided may be called within the call. */
    void acquire(const std::string &account, const QuotaLimit &limit, QuotaKind kind, Decided decided);
    /**
     * \brief Takes back the permit of a request that was not run.
     * \param deadline until when another request may use it; ignored if this node coordinates the account.
     */
    void putBack(const std::string &account, const QuotaLimit &limit, Time deadline);
    /** \brief Returns expired permits and hands accounts over. To be called every 100 ms. */
    void tick();
    /** \brief The node stops: others coordinate its accounts. */
    void beginStop();
    /** \brief Handles a request of another node. \return false if it is not of this class. */
    bool onPeerRequest(const std::string &type,
                       const nlohmann::json &body,
                       const std::function<void(const nlohmann::json &)> &answer);
    /** \brief Levels of the accounts that this node coordinates, for diagnostics. */
    nlohmann::json state() const;

private:
    struct Ask;
    struct Suspicion
    {
        Time since_{0};
        Time until_{0};
        bool isDead_ = false; ///< Its address refuses connections.
        bool isUnable_ = false; ///< It answers, but is of a version without quotas.
    };
    using Answer = std::function<void(const nlohmann::json &)>;

    void noteActivity();
    /** \brief The other nodes, read again if the list is older than 20 ms. */
    const std::vector<QuotaNode> &view();
    /** \brief Reads the list of nodes again at the next use. */
    void forgetView();
    /** \brief True if the node is suspected or dead, so that another one has to coordinate in its place. */
    bool isPassedOver(const QuotaNode &node) const;
    /** \brief True if its address has refused a connection and it has not reported since. */
    bool isProvenDead(const QuotaNode &node) const;
    static std::uint64_t weightOf(std::uint64_t nodeHash, const std::string &account);
    std::uint64_t ownWeight(const std::string &account) const;
    /** \brief The coordinator by the view of this node; nothing if it is this node. */
    std::optional<QuotaNode> coordinatorOf(const std::string &account);
    std::optional<QuotaNode> findAlive(const std::string &name);
    /** \brief Part of the quota that this node may grant as the coordinator of an account. */
    QuotaShare shareOf(const std::string &account);
    /** \brief Part of the quota of a node that reaches no coordinator. */
    QuotaShare ownShareOf(const std::string &account);
    /** \brief The process did not run for some time: its buckets start anew. */
    void noticeFreeze();
    /** \brief Live nodes that rank before the coordinator of an account and are passed over. */
    std::vector<std::string> passedOver(const std::string &account);

    void decide(const std::shared_ptr<Ask> &ask);
    void send(const std::shared_ptr<Ask> &ask, const QuotaNode &node);
    void answered(const std::shared_ptr<Ask> &ask, const QuotaNode &node, const std::optional<nlohmann::json> &answer);
    void grantHere(const std::shared_ptr<Ask> &ask);
    void useOwnShare(const std::shared_ptr<Ask> &ask);
    void finish(const std::shared_ptr<Ask> &ask, const QuotaGrant &grant, const std::string &decidedBy);
    /** \brief Asks for permits in advance if those of an account run low and no such request is in progress. */
    void prefetch(const std::string &account, const QuotaLimit &limit);
    void suspect(const QuotaNode &node, bool isUnable);
    void probed(const QuotaNode &node, NodeProbe result);
    void probeSilentNodes();
    void returnExpired();
    /** \brief Sends the bucket levels of accounts that another node coordinates now to that node. */
    void handOver();

    void answerAsk(const nlohmann::json &body, const Answer &answer);
    /** \brief Asks the first node in rank on behalf of one that does not reach it, and grants here if it is silent. */
    void relay(const QuotaNode &first, const nlohmann::json &body, const Answer &answer);
    nlohmann::json grantToPeer(const nlohmann::json &body, const QuotaLimit &limit);

    QuotaControllerHooks hooks_;
    QuotaSettings settings_;
    QuotaCoordinator coordinator_;
    QuotaCoordinator ownShares_; ///< Of accounts whose coordinator this node does not reach.
    QuotaLeases leases_;
    std::map<std::string, Suspicion> suspicions_; ///< By node.
    std::map<std::string, Time> probedAt_; ///< By node.
    std::set<std::string> prefetching_; ///< Accounts.
    std::vector<QuotaNode> view_;
    std::vector<std::uint64_t> nodeHashes_; ///< Of the names in view_.
    std::optional<Time> viewedAt_;
    std::uint64_t liveNodes_ = 0; ///< Hash of the nodes in view_ that may coordinate.
    double aliveNodes_ = 1.0; ///< This one included.
    Time liveSince_{0}; ///< Last change of the nodes that may coordinate.
    double silentNodes_ = 0.0; ///< Neither alive nor known to be dead.
    std::map<std::string, std::optional<std::size_t>> coordinators_; ///< By account: index in view_, or this node.
    std::optional<Time> activeAt_; ///< Last request of an account with a quota.
    std::optional<Time> tickedAt_;
    std::uint64_t ticks_ = 0;
    std::uint64_t handedOverFor_ = 0; ///< Value of liveNodes_ at the last handover.
    bool stopping_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< False after the destruction.
};

} // namespace filbertgw

#endif
