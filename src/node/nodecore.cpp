#include "node/nodecore.h"

#include "config/accountlimiter.h"
#include "config/configcontroller.h"
#include "core/metrics.h"
#include "journal/programid.h"
#include "membership/membershipcontroller.h"
#include "membership/slotmap.h"
#include "node/authenticator.h"
#include "node/callerapi.h"
#include "node/callerstream.h"
#include "node/dispatcher.h"
#include "node/endpointpoller.h"
#include "node/errortable.h"
#include "node/operatorapi.h"
#include "node/programapi.h"
#include "node/programforwarder.h"
#include "node/subagentrunner.h"
#include "node/textstreams.h"
#include "node/vmlist.h"
#include "policy/policysections.h"
#include "policy/scheduler.h"
#include "program/programcontroller.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace filbertgw {

struct NodeCore::Private
{
    Private(NodeHooks hooks, NodeSettings settings);

    void start();
    void tick();
    void drain();
    bool isDrained() const;
    bool isReady() const;
    void onConfigChanged();
    void onMembershipChanged();
    void requestMissingConfig();
    void fetchConfig(const NodeId &peer, Offset from);
    void sendConfigEntries(Offset from, PeerReply &reply) const;
    void onVms(const std::vector<VmList::Vm> &vms);
    Member memberOf(const VmList::Vm &vm) const;
    std::vector<NodeId> liveNodes() const;
    bool isAlive(const NodeId &node) const;
    bool isKnownEnded(const ProgramId &program) const;
    bool ownsEndpoint(const EndpointId &endpoint) const;
    std::uint32_t livePosition() const;
    nlohmann::json state() const;
    nlohmann::json explain(const ProgramId &program) const;
    AccountLimitHooks accountLimitHooks();
    void makeControllers();
    void setEndpoints();
    void updateGauges();
    nlohmann::json nodeState() const;

    ConfigHooks configHooks();
    MembershipHooks membershipHooks();
    ProgramHooks programHooks();
    SchedulerHooks schedulerHooks();
    DispatcherHooks dispatcherHooks();
    OperatorHooks operatorHooks();

    NodeHooks hooks_;
    NodeSettings settings_;
    Blackboard blackboard_;
    Metrics metrics_;
    SlotMap slots_;
    TextStreams streams_;
    Authenticator authenticator_;
    std::unique_ptr<MembershipController> membership_;
    std::unique_ptr<ConfigController> config_;
    std::unique_ptr<Scheduler> scheduler_;
    std::unique_ptr<ProgramController> programs_;
    AccountLimiter limiter_;
    std::map<ProgramId, AccountId> admittedPrograms_; ///< Open programs that limiter_ has admitted at this node.
    std::unique_ptr<Dispatcher> dispatcher_;
    std::unique_ptr<SubAgentRunner> subAgents_;
    std::unique_ptr<EndpointPoller> poller_;
    std::unique_ptr<ProgramApi> programApi_;
    std::unique_ptr<ProgramForwarder> forwarder_;
    std::unique_ptr<CallerApi> callers_;
    std::unique_ptr<OperatorApi> operators_;
    std::unique_ptr<VmList> vmList_;
    std::set<EndpointId> announcedLeaving_; ///< Engines whose load reports say that they are leaving.
    std::set<EndpointId> leavingByVmList_; ///< Endpoints that are leaving according to the VM list.
    Time nextConfigRequestAt_{0};
    bool draining_ = false;
};

namespace internal {
namespace {

constexpr Duration configRequestPeriod = std::chrono::milliseconds(500);
constexpr std::size_t maxConfigEntries = 1000;
constexpr std::size_t maxIdleChecksPerTick = 100; ///< Accounts checked for eviction per tick.

const char *const apiMessage = "api";
const char *const configMessage = "config";

nlohmann::json entryToJson(const LogEntry &entry)
{
    return {{"offset", entry.offset_}, {"time_us", entry.time_.count()}, {"entry", entry.body_}};
}

std::vector<LogEntry> entriesFromJson(const nlohmann::json &list)
{
    std::vector<LogEntry> entries;
    for (const nlohmann::json &item : list) {
        entries.push_back({item.value("offset", Offset(0)),
                           Time(item.value("time_us", std::int64_t(0))),
                           item.value("entry", nlohmann::json::object())});
    }
    return entries;
}

} // namespace
} // namespace internal

NodeCore::Private::Private(NodeHooks hooks, NodeSettings settings)
    : hooks_(std::move(hooks))
    , settings_(std::move(settings))
    , authenticator_(blackboard_, settings_.operatorKeys_)
{
    makeControllers();
    Dispatcher::Limits limits;
    limits.maxResponseBytes_ = settings_.maxResponseBytes_;
    limits.callTimeout_ = settings_.callTimeout_;
    limits.orderKey_ = settings_.orderKey_;
    dispatcher_ = std::make_unique<Dispatcher>(hooks_, blackboard_, streams_, metrics_, limits);
    dispatcher_->setControllers(dispatcherHooks());
    subAgents_ = std::make_unique<SubAgentRunner>(*programs_, hooks_.post_);
    poller_ = std::make_unique<EndpointPoller>(
        hooks_, blackboard_, *scheduler_, settings_.pollPeriod_, [this](const ProgramId &id) {
            return isKnownEnded(id);
        });
    programApi_ = std::make_unique<ProgramApi>(hooks_, blackboard_, *programs_, *scheduler_, streams_, metrics_);
    forwarder_ = std::make_unique<ProgramForwarder>(hooks_, blackboard_, *programs_, *programApi_, slots_, metrics_);
    callers_ = std::make_unique<CallerApi>(hooks_, authenticator_, accountLimitHooks(), *forwarder_, metrics_);
    operators_ = std::make_unique<OperatorApi>(authenticator_, metrics_, operatorHooks());
    vmList_ =
        std::make_unique<VmList>(hooks_, settings_.vmList_, [this](const std::vector<VmList::Vm> &vms) { onVms(vms); });
    blackboard_.setDumper("node", [this] { return nodeState(); });
    onMembershipChanged();
}

void NodeCore::Private::makeControllers()
{
    std::vector<std::string> seeds;
    for (const Member &member : settings_.members_) {
        if (member.id_ != settings_.self_.id_) {
            seeds.push_back(member.udpAddress_);
        }
    }
    membership_ = MembershipController::Builder(blackboard_, membershipHooks())
                      .self(settings_.self_)
                      .seeds(seeds)
                      .keys(settings_.peerKeys_)
                      .build();
    config_ = ConfigController::Builder(blackboard_, configHooks()).retention(settings_.retention_).build();
    scheduler_ = Scheduler::Builder().hooks(schedulerHooks()).blackboard(&blackboard_).build();
    ProgramSettings programSettings;
    programSettings.retention_ = settings_.retention_;
    programSettings.backlogBytes_ = settings_.backlogBytes_;
    programs_ = ProgramController::Builder(settings_.self_.id_, blackboard_, programHooks())
                    .setSettings(programSettings)
                    .build();
}

AccountLimitHooks NodeCore::Private::accountLimitHooks()
{
    AccountLimitHooks limits;
    limits.beginCall_ = [this](const AccountId &id) {
        const ConfigSection &config = blackboard_.read<ConfigSection>();
        const auto account = config.accounts_.find(id);
        if (account == config.accounts_.end()) {
            return std::optional<Failure>(makeFailure(FailureType::Unauthenticated, true));
        }
        return captureFailure([&] { return limiter_.admitCall(account->second, hooks_.now_()); });
    };
    limits.beginProgram_ = [this](const AccountId &id) {
        const ConfigSection &config = blackboard_.read<ConfigSection>();
        const auto account = config.accounts_.find(id);
        if (account == config.accounts_.end()) {
            return std::optional<Failure>(makeFailure(FailureType::Unauthenticated, true));
        }
        return captureFailure([&] { return limiter_.admitProgram(account->second, hooks_.now_()); });
    };
    limits.programCreated_ = [this](const AccountId &id, const ProgramId &program) {
        const bool isNew = !program.isEmpty() && admittedPrograms_.emplace(program, id).second;
        if (!isNew) {
            limiter_.programEnded(id, hooks_.now_());
        }
    };
    limits.endCall_ = [this](const AccountId &id) { limiter_.callEnded(id, hooks_.now_()); };
    return limits;
}

ConfigHooks NodeCore::Private::configHooks()
{
    ConfigHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.random_ = hooks_.random_;
    hooks.log_ = hooks_.log_;
    hooks.changed_ = [this] { onConfigChanged(); };
    hooks.fetchFromPeer_ = [this](const NodeId &peer, Offset from) { fetchConfig(peer, from); };
    hooks.rank_ = [this] { return livePosition(); };
    return hooks;
}

MembershipHooks NodeCore::Private::membershipHooks()
{
    MembershipHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.random_ = hooks_.random_;
    hooks.send_ = hooks_.sendDatagram_;
    hooks.changed_ = [this] { onMembershipChanged(); };
    hooks.configOffset_ = [this] { return blackboard_.read<ConfigSection>().offset_; };
    return hooks;
}

ProgramHooks NodeCore::Private::programHooks()
{
    ProgramHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.random_ = hooks_.random_;
    hooks.log_ = hooks_.log_;
    hooks.dispatch_ = [this](const Dispatch &dispatch) {
        if (dispatch.call_.kind_ == CallKind::SubAgent) {
            subAgents_->run(dispatch);
        } else {
            dispatcher_->dispatch(dispatch);
        }
    };
    hooks.cancel_ = [this](const ProgramId &program, const RequestId &request) {
        dispatcher_->cancel(program, request);
    };
    hooks.programEnded_ = [this](const ProgramId &program) {
        programApi_->forget(program);
        const auto admitted = admittedPrograms_.find(program);
        if (admitted != admittedPrograms_.end()) {
            limiter_.programEnded(admitted->second, hooks_.now_());
            admittedPrograms_.erase(admitted);
        }
        hooks_.post_([this, program] { scheduler_->onProgramEnded(program); });
    };
    hooks.logEvent_ = [this](const std::string &event, const nlohmann::json &fields) {
        hooks_.logEvent_(event, fields);
    };
    hooks.isAlive_ = [this](const NodeId &node) { return isAlive(node); };
    hooks.preferredNode_ = [this](std::uint32_t slot) { return slots_.preferred(slot); };
    return hooks;
}

SchedulerHooks NodeCore::Private::schedulerHooks()
{
    SchedulerHooks hooks;
    hooks.now_ = hooks_.now_;
    hooks.random_ = hooks_.random_;
    hooks.start_ = [this](const StartOrder &order) { dispatcher_->start(order); };
    hooks.finished_ = [this](const ScheduleResult &result) { dispatcher_->finish(result); };
    hooks.order_ = [this](const EndpointOrder &order) { dispatcher_->order(order); };
    hooks.liveNodes_ = [this] { return std::int32_t(liveNodes().size()); };
    hooks.ownsEndpoint_ = [this](const EndpointId &endpoint) { return ownsEndpoint(endpoint); };
    return hooks;
}

DispatcherHooks NodeCore::Private::dispatcherHooks()
{
    DispatcherHooks hooks;
    hooks.submit_ = [this](const ScheduleRequest &request) { scheduler_->submit(request); };
    hooks.cancel_ = [this](const ProgramId &program, const RequestId &request) {
        scheduler_->cancel(program, request);
    };
    hooks.firstToken_ = [this](const ProgramId &program, const RequestId &request, std::uint32_t attempt) {
        scheduler_->onFirstToken(program, request, attempt);
    };
    hooks.runsAlone_ = [this](const ProgramId &program, const RequestId &request, std::uint32_t attempt) {
        scheduler_->onRunsAlone(program, request, attempt);
    };
    hooks.attemptEnded_ = [this](const AttemptResult &result) { scheduler_->onAttemptEnded(result); };
    hooks.outcome_ = [this](const DispatchOutcome &outcome) { programs_->onOutcome(outcome); };
    hooks.paused_ = [this](const ProgramId &program, const std::string &tool) {
        scheduler_->onProgramPaused(program, tool);
    };
    hooks.reserveRetry_ = [this](const ProgramId &program, const RequestId &request) {
        return programs_->reserveRetry(program, request);
    };
    return hooks;
}

OperatorHooks NodeCore::Private::operatorHooks()
{
    OperatorHooks hooks;
    hooks.state_ = [this] { return state(); };
    hooks.explain_ = [this](const ProgramId &program) { return explain(program); };
    hooks.isReady_ = [this] { return isReady(); };
    hooks.drain_ = [this] { drain(); };
    hooks.updateGauges_ = [this] { updateGauges(); };
    return hooks;
}

std::vector<NodeId> NodeCore::Private::liveNodes() const
{
    std::vector<NodeId> nodes;
    for (const auto &[id, member] : blackboard_.read<MembershipSection>().members_) {
        if (member.state_ == MemberState::Alive || member.state_ == MemberState::Suspected) {
            nodes.push_back(id);
        }
    }
    return nodes;
}

bool NodeCore::Private::isAlive(const NodeId &node) const
{
    const MembershipSection &members = blackboard_.read<MembershipSection>();
    const auto found = members.members_.find(node);
    return found != members.members_.end() && found->second.state_ != MemberState::Dead;
}

// Only the preferred node of a program's slot is authoritative, and only while its copy of the journal is current.
bool NodeCore::Private::isKnownEnded(const ProgramId &program) const
{
    const bool isAuthoritative = programs_->isReady() && programs_->isStoreUp() && splitProgramId(program).has_value();
    return isAuthoritative && slots_.preferred(slotOf(program)) == settings_.self_.id_ && !programs_->isLive(program);
}

std::uint32_t NodeCore::Private::livePosition() const
{
    const std::vector<NodeId> nodes = liveNodes();
    const auto self = std::find(nodes.begin(), nodes.end(), settings_.self_.id_);
    return std::uint32_t(self - nodes.begin());
}

Member NodeCore::Private::memberOf(const VmList::Vm &vm) const
{
    const auto field = [&vm](const char *name) { return vm.fields_.value(name, vm.address_); };
    Member member;
    member.id_ = NodeId(vm.name_);
    member.domain_ = FailureDomain(vm.domain_);
    member.udpAddress_ = field("udp_address");
    member.peerAddress_ = field("peer_address");
    member.httpAddress_ = field("http_address");
    member.state_ = vm.leaving_ ? MemberState::Leaving : MemberState::Alive;
    return member;
}

bool NodeCore::Private::ownsEndpoint(const EndpointId &endpoint) const
{
    NodeId best = settings_.self_.id_;
    std::uint64_t bestWeight = 0;
    for (const NodeId &node : liveNodes()) {
        const std::uint64_t weight = rendezvousWeight(node.value(), endpoint.value());
        if (weight >= bestWeight) {
            bestWeight = weight;
            best = node;
        }
    }
    return best == settings_.self_.id_;
}

void NodeCore::Private::start()
{
    config_->start();
    programs_->start();
}

void NodeCore::Private::tick()
{
    membership_->tick();
    config_->tick();
    programs_->tick();
    scheduler_->tick();
    poller_->tick();
    vmList_->tick();
    limiter_.evictIdle(hooks_.now_(), internal::maxIdleChecksPerTick);
    requestMissingConfig();
    if (poller_->leaving() != announcedLeaving_) {
        announcedLeaving_ = poller_->leaving();
        setEndpoints();
    }
}

// Heartbeats carry the configuration offset of each member, so a node that lags behind knows which peers to query.
void NodeCore::Private::requestMissingConfig()
{
    if (hooks_.now_() < nextConfigRequestAt_) {
        return;
    }
    nextConfigRequestAt_ = hooks_.now_() + internal::configRequestPeriod;
    for (const auto &[id, member] : blackboard_.read<MembershipSection>().members_) {
        const bool usable = id != settings_.self_.id_ && member.state_ != MemberState::Dead;
        if (usable && member.configOffset_ > blackboard_.read<ConfigSection>().offset_) {
            config_->onPeerOffset(id, member.configOffset_);
        }
    }
}

void NodeCore::Private::fetchConfig(const NodeId &peer, Offset from)
{
    const MembershipSection &members = blackboard_.read<MembershipSection>();
    const auto found = members.members_.find(peer);
    if (found == members.members_.end()) {
        return;
    }
    const auto done = [this](PeerOutcome outcome, const nlohmann::json &body) {
        if (outcome == PeerOutcome::Finished && body.contains("entries")) {
            config_->onPeerEntries(internal::entriesFromJson(body["entries"]));
        }
    };
    hooks_.requestPeer_(
        found->second.peerAddress_, internal::configMessage, {{"from", from}}, [](const nlohmann::json &) {}, done);
}

void NodeCore::Private::sendConfigEntries(Offset from, PeerReply &reply) const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const LogEntry &entry : config_->entriesFrom(from, internal::maxConfigEntries)) {
        entries.push_back(internal::entryToJson(entry));
    }
    reply.finish({{"entries", entries}});
}

void NodeCore::Private::onVms(const std::vector<VmList::Vm> &vms)
{
    const ConfigSection &config = blackboard_.read<ConfigSection>();
    std::set<EndpointId> leaving;
    std::vector<Member> nodes;
    for (const VmList::Vm &vm : vms) {
        const EndpointId endpoint(vm.name_);
        if (config.endpoints_.count(endpoint) == 0) {
            nodes.push_back(memberOf(vm));
        } else if (vm.leaving_) {
            leaving.insert(endpoint);
        }
    }
    membership_->onVmList(nodes);
    if (leaving != leavingByVmList_) {
        leavingByVmList_ = leaving;
        setEndpoints();
    }
}

void NodeCore::Private::onConfigChanged()
{
    hooks_.logEvent_("config_in_force", {{"offset", blackboard_.read<ConfigSection>().offset_}});
    setEndpoints();
}

void NodeCore::Private::setEndpoints()
{
    std::vector<EndpointInfo> endpoints;
    for (const auto &[id, endpoint] : blackboard_.read<ConfigSection>().endpoints_) {
        endpoints.push_back(endpoint);
        const bool isLeaving = announcedLeaving_.count(id) != 0 || leavingByVmList_.count(id) != 0;
        endpoints.back().leaving_ = endpoint.leaving_ || isLeaving;
    }
    scheduler_->setEndpoints(endpoints);
    const WeightsConfig &weights = blackboard_.read<ConfigSection>().weights_;
    scheduler_->setWeights(weights.latency_, weights.wastedCache_);
}

void NodeCore::Private::onMembershipChanged()
{
    slots_.rebuild(blackboard_.read<MembershipSection>());
    // The first change may arrive while the controllers are still being constructed.
    limiter_.setShare(1.0 / double(std::max<std::size_t>(1, liveNodes().size())));
    if (forwarder_) {
        programs_->onMembership();
        forwarder_->onMembership();
    }
}

void NodeCore::Private::drain()
{
    if (std::exchange(draining_, true)) {
        return;
    }
    membership_->announceLeaving();
    forwarder_->setLeaving();
    programs_->drain();
}

bool NodeCore::Private::isDrained() const
{
    return draining_ && programs_->isDrained() && scheduler_->pendingCalls() == 0 && forwarder_->openRequests() == 0;
}

bool NodeCore::Private::isReady() const
{
    return !draining_ && config_->isReady() && programs_->isReady();
}

void NodeCore::Private::updateGauges()
{
    metrics_.gauge("live_nodes", double(liveNodes().size()));
    metrics_.gauge("config_offset", double(blackboard_.read<ConfigSection>().offset_));
    metrics_.gauge("open_requests", double(forwarder_->openRequests()));
    metrics_.gauge("pending_calls", double(scheduler_->pendingCalls()));
    metrics_.gauge("store_up", programs_->isStoreUp() ? 1 : 0);
    metrics_.gauge("ready", isReady() ? 1 : 0);
}

nlohmann::json NodeCore::Private::nodeState() const
{
    return {{"node", settings_.self_.id_.value()},
            {"ready", isReady()},
            {"draining", draining_},
            {"store_up", programs_->isStoreUp()},
            {"config_offset", blackboard_.read<ConfigSection>().offset_},
            {"open_requests", forwarder_->openRequests()},
            {"running_calls", dispatcher_->runningCalls()}};
}

nlohmann::json NodeCore::Private::state() const
{
    nlohmann::json state = blackboard_.dump();
    state["scheduler"] = scheduler_->dump();
    state["programs"] = programs_->dump();
    return state;
}

nlohmann::json NodeCore::Private::explain(const ProgramId &program) const
{
    const nlohmann::json known = programs_->explain(program);
    if (known.is_null()) {
        return known;
    }
    nlohmann::json decisions = nlohmann::json::array();
    for (const Decision &decision : blackboard_.read<DecisionSection>().last_) {
        if (decision.program_ == program) {
            decisions.push_back({{"at_us", decision.at_.count()}, {"decision", decision.text_}});
        }
    }
    return {{"program", known}, {"scheduler", scheduler_->explain(program)}, {"decisions", decisions}};
}

NodeCore::NodeCore(NodeHooks hooks, NodeSettings settings)
    : d_(std::make_unique<Private>(std::move(hooks), std::move(settings)))
{
}

NodeCore::~NodeCore() = default;

void NodeCore::start()
{
    d_->start();
}

void NodeCore::tick()
{
    d_->tick();
}

void NodeCore::onHttp(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    if (!d_->operators_->handle(request, *reply)) {
        d_->callers_->handle(request, reply);
    }
}

void NodeCore::onPeer(const std::string &type, const nlohmann::json &body, const std::shared_ptr<PeerReply> &reply)
{
    if (type == internal::apiMessage) {
        d_->forwarder_->onPeerRequest(body, reply);
    } else if (type == internal::configMessage) {
        d_->sendConfigEntries(body.value("from", Offset(1)), *reply);
    } else {
        // A peer of a newer version may send message types that this version does not know.
        reply->finish({{"failure", failureToJson(makeFailure(FailureType::InvalidRequest, true))}});
    }
}

void NodeCore::onDatagram(const std::string &datagram)
{
    d_->membership_->onDatagram(datagram);
}

void NodeCore::drain()
{
    d_->drain();
}

bool NodeCore::isDraining() const
{
    return d_->draining_;
}

bool NodeCore::isDrained() const
{
    return d_->isDrained();
}

bool NodeCore::isReady() const
{
    return d_->isReady();
}

const Blackboard &NodeCore::blackboard() const
{
    return d_->blackboard_;
}

nlohmann::json NodeCore::state() const
{
    return d_->state();
}

nlohmann::json NodeCore::explain(const ProgramId &program) const
{
    return d_->explain(program);
}

} // namespace filbertgw
