#include "node/programforwarder.h"

#include "node/errortable.h"

#include <utility>
#include <vector>

namespace filbertgw {
namespace internal {
namespace {

constexpr Duration retryDelay = std::chrono::milliseconds(50);
constexpr Duration ownerTimeout = std::chrono::seconds(15); ///< A takeover takes at most 5 s; see docs/design.md, 5.
constexpr Duration unknownProgramTimeout = std::chrono::seconds(1); ///< By then every node has a new program's record.
constexpr Duration ownerRetryAfter = std::chrono::seconds(2);
constexpr std::uint32_t maxHops = 3; ///< Prevents forwarding loops among nodes with different views of the membership.

const char *const apiMessage = "api";

nlohmann::json requestToJson(const ApiRequest &request, bool wantsText)
{
    return {{"operation", nameOf(request.operation_)},
            {"account", request.account_.value()},
            {"program", request.program_.value()},
            {"request_id", request.requestId_.value()},
            {"body", request.body_},
            {"hops", request.hops_ + 1},
            {"text", wantsText}};
}

ApiRequest requestFromJson(const nlohmann::json &body)
{
    ApiRequest request;
    request.operation_ = valueOf<ApiOperation>(body.value("operation", "")).value_or(ApiOperation::Status);
    request.account_ = AccountId(body.value("account", ""));
    request.program_ = ProgramId(body.value("program", ""));
    request.requestId_ = RequestId(body.value("request_id", ""));
    request.body_ = body.value("body", nlohmann::json::object());
    request.hops_ = body.value("hops", 1U);
    return request;
}

nlohmann::json resultToJson(const ApiResult &result)
{
    nlohmann::json json{{"body", result.body_}};
    if (result.failure_) {
        json["failure"] = failureToJson(*result.failure_);
    }
    return json;
}

ApiResult resultFromJson(const nlohmann::json &json)
{
    ApiResult result;
    result.body_ = json.value("body", nlohmann::json());
    if (json.contains("failure")) {
        result.failure_ = failureFromJson(json["failure"]);
    }
    return result;
}

} // namespace
} // namespace internal

/** \brief A request that is not finished. */
struct ProgramForwarder::Pending
{
    std::uint64_t id_ = 0;
    ApiRequest request_;
    ApiSink sink_;
    Time waitingSince_{0}; ///< Start of the current wait for an owner.
    NodeId node_; ///< Peer that the request was forwarded to; empty if none.
    std::uint64_t peerRequest_ = 0;
    std::uint32_t generation_ = 0; ///< Incremented with each try; results of earlier tries are ignored.
    std::uint64_t timer_ = 0;
    ApiCancel cancelLocal_;
    bool sent_ = false; ///< A peer may have received it.
    bool done_ = false;
    bool isRetryLogged_ = false; ///< Limits the log to one line; there is a try every 50 ms until a new owner is found.
};

ProgramForwarder::ProgramForwarder(const NodeHooks &hooks,
                                   const Blackboard &blackboard,
                                   ProgramController &programs,
                                   ProgramApi &local,
                                   const SlotMap &slots,
                                   Metrics &metrics)
    : hooks_(hooks)
    , blackboard_(blackboard)
    , programs_(programs)
    , local_(local)
    , slots_(slots)
    , metrics_(metrics)
{
}

ProgramForwarder::~ProgramForwarder() = default;

ApiCancel ProgramForwarder::run(const ApiRequest &request, const ApiSink &sink)
{
    const PendingPtr pending = std::make_shared<Pending>();
    pending->id_ = nextId_++;
    pending->request_ = request;
    pending->sink_ = sink;
    pending->waitingSince_ = hooks_.now_();
    pending_[pending->id_] = pending;
    route(pending);
    return [this, pending] {
        if (pending->done_) {
            return;
        }
        pending->done_ = true;
        pending_.erase(pending->id_);
        hooks_.cancelTimer_(pending->timer_);
        if (pending->peerRequest_ != 0) {
            hooks_.cancelPeer_(pending->peerRequest_);
        }
        if (pending->cancelLocal_) {
            pending->cancelLocal_();
        }
    };
}

bool ProgramForwarder::isUsable(const NodeId &node) const
{
    const MembershipSection &members = blackboard_.read<MembershipSection>();
    const auto found = members.members_.find(node);
    return found != members.members_.end() && found->second.state_ != MemberState::Dead
        && !found->second.peerAddress_.empty();
}

/** \brief The node that runs a request, which may be this one; empty if it is not known yet. */
NodeId ProgramForwarder::targetOf(const Pending &pending) const
{
    const NodeId &self = blackboard_.read<MembershipSection>().self_;
    const ProgramId &program = pending.request_.program_;
    if (program.isEmpty()) {
        const NodeId &other = slots_.preferred(std::uint32_t(hooks_.random_() % slotCount));
        return leaving_ && !other.isEmpty() ? other : self;
    }
    const OwnerView owner = programs_.ownerOf(program);
    if (owner.ownership_ == Ownership::Own) {
        return self;
    }
    if (owner.ownership_ == Ownership::Other) {
        return isUsable(owner.node_) ? owner.node_ : NodeId();
    }
    const NodeId &preferred = slots_.preferred(slotOf(program));
    const bool canForward = preferred != self && pending.request_.hops_ == 0 && isUsable(preferred);
    return canForward ? preferred : NodeId();
}

void ProgramForwarder::route(const PendingPtr &pending)
{
    const NodeId target = targetOf(*pending);
    if (target.isEmpty()) {
        retryLater(pending);
    } else if (target == blackboard_.read<MembershipSection>().self_) {
        runLocally(pending);
    } else if (pending->request_.hops_ >= internal::maxHops) {
        retryLater(pending);
    } else {
        forwardTo(pending, target);
    }
}

Failure ProgramForwarder::timeoutFailure(const Pending &pending) const
{
    if (!programs_.isStoreUp()) {
        return makeFailure(FailureType::StoreUnavailable, !pending.sent_, {}, internal::ownerRetryAfter);
    }
    if (programs_.isReady() && programs_.accountOf(pending.request_.program_).isEmpty()) {
        return makeFailure(FailureType::NotFound, true, "no such program");
    }
    return makeFailure(FailureType::OwnerUnavailable, !pending.sent_, {}, internal::ownerRetryAfter);
}

void ProgramForwarder::retryLater(const PendingPtr &pending)
{
    const bool unknown = programs_.isReady() && programs_.isStoreUp() && !pending->sent_
        && programs_.accountOf(pending->request_.program_).isEmpty();
    const Duration timeout = unknown ? internal::unknownProgramTimeout : internal::ownerTimeout;
    if (hooks_.now_() - pending->waitingSince_ >= timeout) {
        ApiResult result;
        result.failure_ = timeoutFailure(*pending);
        finish(pending, result);
        return;
    }
    pending->timer_ = hooks_.after_(internal::retryDelay, [this, pending] {
        pending->timer_ = 0;
        if (!pending->done_) {
            route(pending);
        }
    });
}

void ProgramForwarder::runLocally(const PendingPtr &pending)
{
    const std::uint32_t generation = ++pending->generation_;
    ApiSink sink = pending->sink_;
    sink.done_ = [this, pending, generation](const ApiResult &result) {
        if (!pending->done_ && pending->generation_ == generation) {
            onResult(pending, result);
        }
    };
    ApiCancel cancel = local_.run(pending->request_, sink);
    if (!pending->done_ && pending->generation_ == generation) {
        pending->cancelLocal_ = std::move(cancel);
    }
}

void ProgramForwarder::forwardTo(const PendingPtr &pending, const NodeId &node)
{
    const std::uint32_t generation = ++pending->generation_;
    const std::string address = blackboard_.read<MembershipSection>().members_.at(node).peerAddress_;
    pending->node_ = node;
    metrics_.count("forwarded_requests_total");
    const auto part = [this, pending, generation](const nlohmann::json &body) {
        if (!pending->done_ && pending->generation_ == generation) {
            onPeerPart(pending, body);
        }
    };
    const auto done = [this, pending, generation](PeerOutcome outcome, const nlohmann::json &body) {
        if (!pending->done_ && pending->generation_ == generation) {
            onPeerDone(pending, outcome, body);
        }
    };
    const nlohmann::json message = internal::requestToJson(pending->request_, bool(pending->sink_.text_));
    const std::uint64_t id = hooks_.requestPeer_(address, internal::apiMessage, message, part, done);
    if (pending->generation_ == generation && !pending->done_ && pending->node_ == node) {
        pending->peerRequest_ = id;
    }
}

void ProgramForwarder::onPeerPart(const PendingPtr &pending, const nlohmann::json &part)
{
    pending->isRetryLogged_ = false;
    if (!pending->sink_.text_) {
        return;
    }
    if (part.contains("text") && part["text"].is_string()) {
        pending->sink_.text_(part["text"].get<std::string>());
    } else if (part.contains("rerun")) {
        pending->sink_.rerun_();
    }
}

void ProgramForwarder::onPeerDone(const PendingPtr &pending, PeerOutcome outcome, const nlohmann::json &body)
{
    pending->peerRequest_ = 0;
    if (outcome == PeerOutcome::Finished) {
        onResult(pending, internal::resultFromJson(body));
        return;
    }
    pending->sent_ = pending->sent_ || outcome == PeerOutcome::Broken;
    if (outcome == PeerOutcome::Broken) {
        pending->waitingSince_ = hooks_.now_();
    }
    retry(pending);
}

void ProgramForwarder::retry(const PendingPtr &pending)
{
    if (!std::exchange(pending->isRetryLogged_, true)) {
        hooks_.logEvent_("forward_retried",
                         {{"program", pending->request_.program_.value()},
                          {"request", pending->request_.requestId_.value()},
                          {"peer", pending->node_.value()}});
    }
    ++pending->generation_;
    pending->node_ = NodeId();
    pending->cancelLocal_ = nullptr;
    if (pending->sink_.rerun_) {
        pending->sink_.rerun_();
    }
    retryLater(pending);
}

// An owner that is handing the program over refuses the call. The node that received it from the caller (hops 0) then
// retries until it finds the new owner.
void ProgramForwarder::onResult(const PendingPtr &pending, const ApiResult &result)
{
    const bool isOwnerUnavailable = result.failure_ && result.failure_->type_ == FailureType::OwnerUnavailable;
    const bool withinTimeout = hooks_.now_() - pending->waitingSince_ < internal::ownerTimeout;
    if (isOwnerUnavailable && withinTimeout && pending->request_.hops_ == 0) {
        retry(pending);
        return;
    }
    finish(pending, result);
}

void ProgramForwarder::finish(const PendingPtr &pending, const ApiResult &result)
{
    pending->done_ = true;
    pending_.erase(pending->id_);
    pending->sink_.done_(result);
}

void ProgramForwarder::onPeerRequest(const nlohmann::json &body, const std::shared_ptr<PeerReply> &reply)
{
    ApiSink sink;
    if (body.value("text", false)) {
        sink.text_ = [reply](const std::string &text) { reply->part({{"text", text}}); };
        sink.rerun_ = [reply] { reply->part({{"rerun", true}}); };
    }
    sink.done_ = [reply](const ApiResult &result) { reply->finish(internal::resultToJson(result)); };
    reply->onClosed(run(internal::requestFromJson(body), sink));
}

void ProgramForwarder::onMembership()
{
    std::vector<PendingPtr> lost;
    for (const auto &[id, pending] : pending_) {
        if (!pending->node_.isEmpty() && !isUsable(pending->node_)) {
            lost.push_back(pending);
        }
    }
    for (const PendingPtr &pending : lost) {
        if (pending->peerRequest_ != 0) {
            hooks_.cancelPeer_(pending->peerRequest_);
            pending->peerRequest_ = 0;
        }
        pending->sent_ = true;
        pending->waitingSince_ = hooks_.now_();
        retry(pending);
    }
}

void ProgramForwarder::setLeaving()
{
    leaving_ = true;
}

std::size_t ProgramForwarder::openRequests() const
{
    return pending_.size();
}

} // namespace filbertgw
