#include "accounts/quotacontroller.h"

#include "core/stablehash.h"

#include <algorithm>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

const char *const askType = "account_quota";
const char *const levelType = "account_quota_level";

/** Nodes that a request for a permit is sent to, one after the other. */
constexpr int maxHops = 3;
/** Part of the rate that a node grants while the coordinator before it has just stopped answering: it may still grant
 * permits to others, until reports show after about a second that it is gone. */
constexpr double unsureRate = 0.3;
/** A node that has not read the list of nodes takes the fleet to be this large. */
constexpr double assumedNodes = 64.0;
/** The list of nodes is read again after this time. */
constexpr Duration viewTime{20'000};
/** Reports that were on their way when a node refused a connection arrive within this time. */
constexpr Duration reportDelay{50'000};
/** A node of a version without quotas is passed over for this time. */
constexpr Duration unableTime{10'000'000};
/** Expired permits are returned, and silent nodes probed, in one of this many ticks. */
constexpr std::uint64_t ticksPerReturn = 5;
/** Silent nodes that are probed in such a tick, so that a large partition causes no burst of connections. */
constexpr std::size_t probesPerTick = 4;
/** Time between two probes of one silent node. */
constexpr Duration probeInterval{2'000'000};
/** Accounts whose coordinator is remembered until the live nodes change. */
constexpr std::size_t maxCoordinators = 30'000;
/** Without requests for this time a node asks and probes nothing. */
constexpr Duration activeTime{60'000'000};
/** Limits what another node can ask for in one request. */
constexpr double maxPermits = 100'000.0;

double numberOf(const nlohmann::json &body, const char *name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_number() ? std::clamp(found->get<double>(), 0.0, maxPermits) : 0.0;
}

std::string textOf(const nlohmann::json &body, const char *name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool isSet(const nlohmann::json &body, const char *name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_boolean() && found->get<bool>();
}

double inMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

Duration millisecondsOf(const nlohmann::json &body, const char *name)
{
    return Duration(static_cast<std::int64_t>(numberOf(body, name) * 1000.0));
}

/** \brief A hash as a number in 0 to 1. */
double unitOf(std::uint64_t hash)
{
    return static_cast<double>(hash) / 18446744073709551616.0;
}

nlohmann::json toJson(const QuotaGrant &grant)
{
    nlohmann::json body = {{"granted", grant.isGranted_}};
    if (grant.advance_ > 0) {
        body["advance"] = grant.advance_;
    }
    if (grant.retryAfter_ > Duration{0}) {
        body["retry_ms"] = inMilliseconds(grant.retryAfter_);
        body["pause_ms"] = inMilliseconds(grant.pause_);
    }
    if (grant.requestsPerProgram_ > 0.0) {
        body["per_program"] = grant.requestsPerProgram_;
    }
    return body;
}

QuotaGrant grantOf(const nlohmann::json &body)
{
    QuotaGrant grant;
    grant.isGranted_ = isSet(body, "granted");
    grant.advance_ = static_cast<std::uint32_t>(numberOf(body, "advance"));
    grant.retryAfter_ = millisecondsOf(body, "retry_ms");
    grant.pause_ = millisecondsOf(body, "pause_ms");
    grant.requestsPerProgram_ = numberOf(body, "per_program");
    return grant;
}

} // namespace
} // namespace internal

/** \brief A request for permits, while it is decided. */
struct QuotaController::Ask
{
    std::string account_;
    QuotaLimit limit_;
    QuotaAsk wanted_;
    Decided decided_;
    Time askedAt_{0}; ///< Start of the validity of what is granted.
    int hops_ = 0;
};

QuotaController::QuotaController(QuotaControllerHooks hooks, QuotaSettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
    , coordinator_(hooks_.now_, settings)
    , ownShares_(hooks_.now_, settings)
    , leases_(hooks_.now_, settings)
{
}

QuotaController::~QuotaController()
{
    *alive_ = false;
}

void QuotaController::noticeFreeze()
{
    const Time now = hooks_.now_();
    const Duration since = now - tickedAt_.value_or(now);
    if (since <= settings_.freezeTimeout_) {
        return;
    }
    tickedAt_ = now;
    if (activeAt_) {
        hooks_.logEvent_("quota_process_was_frozen", {{"ms", internal::inMilliseconds(since)}});
    }
    coordinator_.restart();
    ownShares_.restart();
    forgetView();
}

void QuotaController::noteActivity()
{
    noticeFreeze();
    activeAt_ = hooks_.now_();
}

const std::vector<QuotaNode> &QuotaController::view()
{
    const Time now = hooks_.now_();
    if (viewedAt_ && now - *viewedAt_ < internal::viewTime) {
        return view_;
    }
    std::vector<QuotaNode> nodes = hooks_.nodes_(settings_.silenceTimeout_);
    viewedAt_ = now;
    std::uint64_t liveNodes = stopping_ ? 1 : 0;
    aliveNodes_ = 1.0;
    silentNodes_ = 0.0;
    nodeHashes_.clear();
    for (const QuotaNode &node : nodes) {
        nodeHashes_.push_back(stableHash(node.name_));
        const bool mayCoordinate = node.isAlive_ && !isPassedOver(node);
        // The place in the list counts, because coordinators_ refers to it.
        liveNodes = stableHash(liveNodes, mayCoordinate ? nodeHashes_.back() : 0);
        if (!isProvenDead(node)) {
            (node.isAlive_ ? aliveNodes_ : silentNodes_) += 1.0;
        }
    }
    view_ = std::move(nodes);
    if (std::exchange(liveNodes_, liveNodes) != liveNodes) {
        coordinators_.clear();
        liveSince_ = now;
    }
    return view_;
}

void QuotaController::forgetView()
{
    viewedAt_.reset();
    liveNodes_ = 0;
    coordinators_.clear();
}

bool QuotaController::isProvenDead(const QuotaNode &node) const
{
    const auto found = suspicions_.find(node.name_);
    return found != suspicions_.end() && found->second.isDead_
        && node.lastSeenAt_ <= found->second.since_ + internal::reportDelay;
}

bool QuotaController::isPassedOver(const QuotaNode &node) const
{
    const auto found = suspicions_.find(node.name_);
    if (found == suspicions_.end()) {
        return false;
    }
    // A process that goes on reporting is busy, not frozen or gone: it still grants permits to others.
    const bool isBusy = !found->second.isUnable_ && node.lastSeenAt_ > found->second.since_ + internal::reportDelay;
    return (hooks_.now_() < found->second.until_ && !isBusy) || isProvenDead(node);
}

std::uint64_t QuotaController::weightOf(std::uint64_t nodeHash, const std::string &account)
{
    return stableHash(nodeHash, stableHash(account));
}

std::uint64_t QuotaController::ownWeight(const std::string &account) const
{
    return weightOf(stableHash(hooks_.self_), account);
}

std::optional<QuotaNode> QuotaController::coordinatorOf(const std::string &account)
{
    const std::vector<QuotaNode> &nodes = view();
    const auto known = coordinators_.find(account);
    if (known != coordinators_.end()) {
        return known->second ? std::optional(nodes[*known->second]) : std::nullopt;
    }
    std::optional<std::size_t> best;
    std::uint64_t highest = stopping_ ? 0 : ownWeight(account);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const std::uint64_t weight = weightOf(nodeHashes_[i], account);
        if (weight > highest && nodes[i].isAlive_ && !isPassedOver(nodes[i])) {
            best = i;
            highest = weight;
        }
    }
    if (coordinators_.size() >= internal::maxCoordinators) {
        coordinators_.clear();
    }
    coordinators_[account] = best;
    return best ? std::optional(nodes[*best]) : std::nullopt;
}

std::optional<QuotaNode> QuotaController::findAlive(const std::string &name)
{
    for (const QuotaNode &node : view()) {
        if (node.name_ == name && node.isAlive_ && !isPassedOver(node)) {
            return node;
        }
    }
    return std::nullopt;
}

QuotaShare QuotaController::ownShareOf(const std::string &account)
{
    view();
    const double known = 1.0 / (aliveNodes_ + silentNodes_);
    const double part = hooks_.isDiscoveryComplete_() ? known : std::min(known, 1.0 / internal::assumedNodes);
    return QuotaShare{part, part, internal::unitOf(ownWeight(account)), hooks_.now_()};
}

QuotaShare QuotaController::shareOf(const std::string &account)
{
    if (!hooks_.isDiscoveryComplete_()) {
        return ownShareOf(account);
    }
    const std::vector<QuotaNode> &nodes = view();
    const std::uint64_t own = ownWeight(account);
    double unsure = 1.0;
    for (std::size_t i = 0; i < nodes.size() && !suspicions_.empty(); ++i) {
        const auto suspicion = suspicions_.find(nodes[i].name_);
        const bool isSuspected = suspicion != suspicions_.end() && !suspicion->second.isUnable_
            && isPassedOver(nodes[i]) && !isProvenDead(nodes[i]);
        if (nodes[i].isAlive_ && isSuspected && weightOf(nodeHashes_[i], account) > own) {
            unsure = internal::unsureRate;
        }
    }
    const double part = aliveNodes_ / (aliveNodes_ + silentNodes_);
    return QuotaShare{part, std::min(part, unsure), internal::unitOf(own), liveSince_};
}

std::vector<std::string> QuotaController::passedOver(const std::string &account)
{
    std::vector<std::string> names;
    if (suspicions_.empty()) {
        return names;
    }
    const std::optional<QuotaNode> chosen = coordinatorOf(account);
    const std::uint64_t weight = chosen ? weightOf(stableHash(chosen->name_), account) : ownWeight(account);
    for (std::size_t i = 0; i < view_.size(); ++i) {
        if (view_[i].isAlive_ && isPassedOver(view_[i]) && weightOf(nodeHashes_[i], account) > weight) {
            names.push_back(view_[i].name_);
        }
    }
    return names;
}

void QuotaController::acquire(const std::string &account, const QuotaLimit &limit, QuotaKind kind, Decided decided)
{
    noteActivity();
    if (kind == QuotaKind::Other) {
        if (const std::optional<Time> deadline = leases_.take(account)) {
            decided(QuotaDecision{true, *deadline, Duration{0}, hooks_.self_});
            prefetch(account, limit);
            return;
        }
    }
    if (const std::optional<Duration> retryAfter = leases_.refusal(account, kind)) {
        hooks_.count_("quota_refusals_total", std::string(nameOf(kind)));
        decided(QuotaDecision{false, Time{0}, *retryAfter, hooks_.self_});
        return;
    }
    const std::shared_ptr<Ask> ask = std::make_shared<Ask>();
    ask->account_ = account;
    ask->limit_ = limit;
    ask->wanted_ = QuotaAsk{kind, true, leases_.wanted(account), leases_.requestsPerProgram(account)};
    ask->decided_ = std::move(decided);
    decide(ask);
}

void QuotaController::prefetch(const std::string &account, const QuotaLimit &limit)
{
    if (!leases_.isRunningLow(account) || !prefetching_.insert(account).second) {
        return;
    }
    const std::shared_ptr<Ask> ask = std::make_shared<Ask>();
    ask->account_ = account;
    ask->limit_ = limit;
    ask->wanted_ = QuotaAsk{QuotaKind::Other, false, leases_.wanted(account), leases_.requestsPerProgram(account)};
    ask->decided_ = [this, account](const QuotaDecision &) { prefetching_.erase(account); };
    decide(ask);
}

void QuotaController::decide(const std::shared_ptr<Ask> &ask)
{
    ask->askedAt_ = hooks_.now_();
    if (ask->hops_ >= internal::maxHops) {
        useOwnShare(ask);
        return;
    }
    const std::optional<QuotaNode> coordinator = coordinatorOf(ask->account_);
    if (!coordinator) {
        grantHere(ask);
        return;
    }
    send(ask, *coordinator);
}

void QuotaController::send(const std::shared_ptr<Ask> &ask, const QuotaNode &node)
{
    ++ask->hops_;
    nlohmann::json body = {{"account", ask->account_}, {"kind", nameOf(ask->wanted_.kind_)}};
    if (ask->wanted_.isWaiting_) {
        body["waiting"] = true;
    }
    if (ask->wanted_.advance_ > 0) {
        body["advance"] = ask->wanted_.advance_;
    }
    if (ask->wanted_.requestsPerProgram_ > 0.0) {
        body["per_program"] = ask->wanted_.requestsPerProgram_;
    }
    if (const std::uint32_t returned = leases_.takeExpired(ask->account_)) {
        body["returned"] = returned;
    }
    const std::vector<std::string> over = passedOver(ask->account_);
    if (!over.empty()) {
        body["over"] = over;
    }
    // A node that is asked in place of another one asks that one first.
    const Duration timeout = over.empty() ? settings_.askTimeout_ : settings_.askTimeout_ * 3;
    hooks_.count_("quota_messages_total", "ask");
    hooks_.askPeer_(node.address_,
                    internal::askType,
                    body,
                    timeout,
                    [this, alive = alive_, ask, node](const std::optional<nlohmann::json> &answer) {
                        if (*alive) {
                            answered(ask, node, answer);
                        }
                    });
}

void QuotaController::answered(const std::shared_ptr<Ask> &ask,
                               const QuotaNode &node,
                               const std::optional<nlohmann::json> &answer)
{
    noteActivity();
    if (!answer || !answer->is_object()) {
        suspect(node, answer.has_value());
        decide(ask);
        return;
    }
    const std::string redirect = internal::textOf(*answer, "redirect");
    if (redirect == hooks_.self_) {
        grantHere(ask);
        return;
    }
    if (!redirect.empty() || internal::isSet(*answer, "unknown")) {
        const std::optional<QuotaNode> next = redirect.empty() ? std::nullopt : findAlive(redirect);
        if (next && ask->hops_ < internal::maxHops) {
            ask->askedAt_ = hooks_.now_();
            send(ask, *next);
        } else {
            useOwnShare(ask);
        }
        return;
    }
    const QuotaGrant grant = internal::grantOf(*answer);
    leases_.noteRequestsPerProgram(ask->account_, grant.requestsPerProgram_);
    if (ask->wanted_.isWaiting_ && !grant.isGranted_) {
        leases_.noteRefusal(ask->account_, ask->wanted_.kind_, grant.pause_, grant.retryAfter_);
    }
    finish(ask, grant, node.name_);
}

void QuotaController::grantHere(const std::shared_ptr<Ask> &ask)
{
    ask->wanted_.advance_ = 0; // It can take each permit when it needs it.
    finish(ask, coordinator_.grant(ask->account_, ask->limit_, ask->wanted_, shareOf(ask->account_)), hooks_.self_);
}

void QuotaController::useOwnShare(const std::shared_ptr<Ask> &ask)
{
    hooks_.count_("quota_own_share_total", {});
    ask->wanted_.advance_ = 0;
    finish(ask, ownShares_.grant(ask->account_, ask->limit_, ask->wanted_, ownShareOf(ask->account_)), {});
}

void QuotaController::finish(const std::shared_ptr<Ask> &ask, const QuotaGrant &grant, const std::string &decidedBy)
{
    const Time deadline = ask->askedAt_ + settings_.leaseTime_;
    leases_.add(ask->account_, grant.advance_, deadline);
    if (ask->wanted_.isWaiting_ && grant.isGranted_) {
        if (deadline <= hooks_.now_() && ask->hops_ < internal::maxHops) {
            decide(ask); // This process was frozen while it waited for the answer.
            return;
        }
        leases_.noteUse(ask->account_);
    }
    if (ask->wanted_.isWaiting_ && !grant.isGranted_) {
        hooks_.count_("quota_refusals_total", std::string(nameOf(ask->wanted_.kind_)));
    }
    const bool isGranted = grant.isGranted_ && deadline > hooks_.now_();
    ask->decided_(QuotaDecision{isGranted, deadline, grant.retryAfter_, decidedBy});
}

void QuotaController::putBack(const std::string &account, const QuotaLimit &limit, Time deadline)
{
    if (deadline <= hooks_.now_()) {
        return; // Its lease has ended: another coordinator may have granted it anew.
    }
    if (coordinatorOf(account)) {
        leases_.putBack(account, deadline);
    } else {
        coordinator_.putBack(account, limit, 1.0);
    }
}

void QuotaController::suspect(const QuotaNode &node, bool isUnable)
{
    const Time now = hooks_.now_();
    Suspicion &suspicion = suspicions_[node.name_];
    if (now < suspicion.until_) {
        return;
    }
    forgetView();
    suspicion = Suspicion{now, now + (isUnable ? internal::unableTime : settings_.suspicionTime_), false, isUnable};
    hooks_.logEvent_("quota_node_unanswering", {{"peer", node.name_}, {"without_quotas", isUnable}});
    if (hooks_.probe_ && !isUnable) {
        probedAt_[node.name_] = now;
        hooks_.probe_(node, [this, alive = alive_, node](NodeProbe result) {
            if (*alive) {
                probed(node, result);
            }
        });
    }
}

void QuotaController::probed(const QuotaNode &node, NodeProbe result)
{
    if (result != NodeProbe::Refused) {
        return;
    }
    const Time now = hooks_.now_();
    hooks_.logEvent_("quota_node_dead", {{"peer", node.name_}});
    suspicions_[node.name_] = Suspicion{now, now, true, false};
    forgetView();
}

void QuotaController::probeSilentNodes()
{
    if (!hooks_.probe_) {
        return;
    }
    const Time now = hooks_.now_();
    std::size_t probes = 0;
    const std::vector<QuotaNode> nodes = view();
    for (auto entry = probedAt_.begin(); entry != probedAt_.end();) {
        entry = now - entry->second > internal::probeInterval ? probedAt_.erase(entry) : std::next(entry);
    }
    for (const QuotaNode &node : nodes) {
        const auto probedAt = probedAt_.find(node.name_);
        const bool isDue = probedAt == probedAt_.end() || now - probedAt->second >= internal::probeInterval;
        if (node.isAlive_ || isProvenDead(node) || !isDue || ++probes > internal::probesPerTick) {
            continue;
        }
        probedAt_[node.name_] = now;
        hooks_.probe_(node, [this, alive = alive_, node](NodeProbe result) {
            if (*alive) {
                probed(node, result);
            }
        });
    }
}

void QuotaController::returnExpired()
{
    for (const std::pair<const std::string, std::uint32_t> &entry : leases_.takeAllExpired()) {
        const std::optional<QuotaNode> coordinator = coordinatorOf(entry.first);
        if (!coordinator) {
            continue;
        }
        hooks_.count_("quota_messages_total", "return");
        hooks_.askPeer_(coordinator->address_,
                        internal::askType,
                        {{"account", entry.first}, {"returned", entry.second}},
                        settings_.askTimeout_,
                        [](const std::optional<nlohmann::json> &) {});
    }
}

void QuotaController::handOver()
{
    for (const std::string &account : coordinator_.accounts()) {
        const std::optional<QuotaNode> next = coordinatorOf(account);
        if (!next) {
            continue;
        }
        const QuotaState state = coordinator_.release(account);
        hooks_.count_("quota_messages_total", "hand_over");
        hooks_.askPeer_(next->address_,
                        internal::levelType,
                        {{"account", account}, {"level", state.level_}, {"per_program", state.requestsPerProgram_}},
                        settings_.askTimeout_,
                        [](const std::optional<nlohmann::json> &) {});
    }
}

void QuotaController::tick()
{
    const Time now = hooks_.now_();
    noticeFreeze();
    tickedAt_ = now;
    if (!hooks_.hasQuotas_()) {
        return;
    }
    view();
    if (std::exchange(handedOverFor_, liveNodes_) != liveNodes_) {
        handOver();
    }
    const bool isActive = activeAt_ && now - *activeAt_ <= internal::activeTime;
    if (isActive && ++ticks_ % internal::ticksPerReturn == 0) {
        returnExpired();
        probeSilentNodes();
        for (auto entry = suspicions_.begin(); entry != suspicions_.end();) {
            const bool isOver = now - entry->second.until_ > settings_.silenceTimeout_;
            entry = isOver ? suspicions_.erase(entry) : std::next(entry);
        }
        coordinator_.expire();
        ownShares_.expire();
    }
}

void QuotaController::beginStop()
{
    stopping_ = true;
    forgetView();
}

bool QuotaController::onPeerRequest(const std::string &type, const nlohmann::json &body, const Answer &answer)
{
    if (type != internal::askType && type != internal::levelType) {
        return false;
    }
    const std::string account = body.is_object() ? internal::textOf(body, "account") : std::string();
    if (account.empty()) {
        answer({});
        return true;
    }
    noteActivity();
    if (type == internal::askType) {
        answerAsk(body, answer);
        return true;
    }
    if (const std::optional<QuotaLimit> limit = hooks_.limitOf_(account)) {
        coordinator_.takeOver(
            account, *limit, QuotaState{internal::numberOf(body, "level"), internal::numberOf(body, "per_program")});
    }
    answer({{"noted", true}});
    return true;
}

void QuotaController::answerAsk(const nlohmann::json &body, const Answer &answer)
{
    const std::string account = internal::textOf(body, "account");
    const std::optional<QuotaLimit> limit = hooks_.limitOf_(account);
    if (!limit) {
        answer({{"unknown", true}});
        return;
    }
    const std::optional<QuotaNode> first = coordinatorOf(account);
    if (!first) {
        answer(grantToPeer(body, *limit));
        return;
    }
    const auto over = body.find("over");
    const bool isPassedOverByAsker = over != body.end() && over->is_array()
        && std::find(over->begin(), over->end(), nlohmann::json(first->name_)) != over->end();
    if (isPassedOverByAsker && !internal::isSet(body, "relayed")) {
        relay(*first, body, answer);
        return;
    }
    answer({{"redirect", first->name_}});
}

void QuotaController::relay(const QuotaNode &first, const nlohmann::json &body, const Answer &answer)
{
    nlohmann::json relayed = body;
    relayed["relayed"] = true;
    hooks_.count_("quota_messages_total", "relay");
    hooks_.askPeer_(first.address_,
                    internal::askType,
                    relayed,
                    settings_.askTimeout_,
                    [this, alive = alive_, first, body, answer](const std::optional<nlohmann::json> &answered) {
                        if (!*alive) {
                            return;
                        }
                        const bool isAnswer = answered && answered->is_object();
                        if (isAnswer && !answered->contains("redirect") && !answered->contains("unknown")) {
                            answer(*answered);
                            return;
                        }
                        suspect(first, answered.has_value());
                        const std::string account = internal::textOf(body, "account");
                        const std::optional<QuotaLimit> limit = hooks_.limitOf_(account);
                        answer(limit ? grantToPeer(body, *limit) : nlohmann::json{{"unknown", true}});
                    });
}

nlohmann::json QuotaController::grantToPeer(const nlohmann::json &body, const QuotaLimit &limit)
{
    const std::string account = internal::textOf(body, "account");
    QuotaAsk ask;
    ask.kind_ = valueOf<QuotaKind>(internal::textOf(body, "kind")).value_or(QuotaKind::Other);
    ask.isWaiting_ = internal::isSet(body, "waiting");
    ask.advance_ = static_cast<std::uint32_t>(internal::numberOf(body, "advance"));
    ask.requestsPerProgram_ = internal::numberOf(body, "per_program");
    coordinator_.putBack(account, limit, internal::numberOf(body, "returned"));
    return internal::toJson(coordinator_.grant(account, limit, ask, shareOf(account)));
}

nlohmann::json QuotaController::state() const
{
    nlohmann::json levels = nlohmann::json::object();
    constexpr std::size_t maxListed = 100;
    for (const std::string &account : coordinator_.accounts()) {
        if (levels.size() < maxListed) {
            levels[account] = coordinator_.levelOf(account).value_or(0.0);
        }
    }
    return levels;
}

} // namespace filbertgw
