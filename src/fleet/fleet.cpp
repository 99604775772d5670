#include "fleet/fleet.h"

#include "core/cbor.h"
#include "core/stablehash.h"
#include "fleet/fleetgroups.h"
#include "placement/accountadmission.h"
#include "store/streamtail.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

const char *const nodeStream = "nodes";
constexpr Duration registrationRetryDelay{500'000};
/** A node that was not seen for this long is no longer counted as known. */
constexpr Duration forgetTimeout{15'000'000};

/** Consecutive reports of a live node that may be lost. */
constexpr std::size_t reportsPerLivenessTimeout = 3;
/** One in this many summaries lists the members of the group; an idle node sends one in this many reports. */
constexpr std::size_t roundsPerFullReport = 3;
/** One in this many rounds of reports contains the running requests by account. With maxSummaryAccounts, a node of 65
 * in 9 groups sends less than 2 KB/s for this. */
constexpr std::uint64_t roundsPerAccounts = 8;
/** Accounts of each service in the summary of a group; the others are summed. */
constexpr std::size_t maxSummaryAccounts = 16;
/** A node whose record was read counts for the groups for so long if it was not seen: it may be gone. */
constexpr Duration groupingDelay{500'000};
/** Endpoints that fail requests in the summary of a group. */
constexpr std::size_t maxSummaryOutcomes = 64;

struct KnownNode
{
    FleetMember member_;
    Time learnedAt_{0}; ///< When its record was read, or its introduction received.
    Time lastSeenAt_{0}; ///< Last report of the node itself, or of its group with the node as a live member.
    bool wasSeen_ = false; ///< lastSeenAt_ is set.
    bool publishedAlive_ = false; ///< Liveness as last passed to onLivenessChanged_.
    Time lostAt_{0}; ///< When it was last found to be dead or to have been restarted; 0 if it never was.
    bool introducesItself_ = true; ///< Its last report contained its addresses, as for some time after a start.
    LedgerState ledger_;
    bool reachesEndpoints_ = true;
    Time reportedAt_{0}; ///< Arrival of the last report that it sent to this node itself.
    NodeReport report_; ///< That report, without prompt parts, crashes, limits and origins.
    Time accountsReportedAt_{0}; ///< Arrival of report_.accounts_, which are kept until the next ones.

    void markSeen(Time now, const LedgerState &ledger, bool reachesEndpoints)
    {
        lastSeenAt_ = now;
        wasSeen_ = true;
        ledger_ = ledger;
        reachesEndpoints_ = reachesEndpoints;
    }
};

/** Rendezvous hash: of several nodes the one with the highest weight for a key is chosen. */
std::uint64_t weightOf(const FleetMember &member, const std::string &key)
{
    return stableHash(member.name_ + '/' + key);
}

} // namespace
} // namespace internal

struct Fleet::Private : std::enable_shared_from_this<Fleet::Private>
{
    void registerSelf();
    void applyRecord(const KeyedRecord &record);
    void sendReports();
    void updateTargets();
    void reportToDirectTargets(const NodeReport &report);
    void reportToGroups(const NodeReport &report);
    /** \brief Tells nodes of other groups that this one is alive, in case they divide the fleet otherwise. */
    void announce(const NodeReport &report);
    void applyIntroduction(const FleetMember &node);
    void applyReport(internal::KnownNode &sender, FleetMessage message);
    void applySummary(const FleetMessage &message);
    NodeReport currentReport();
    FleetMessage makeMessage(NodeReport report) const;
    FleetMessage makeSummary(const NodeReport &own, bool withMembers) const;
    std::vector<AccountLoad> groupAccounts(std::vector<AccountLoad> load) const;
    std::vector<EndpointOutcomes> groupOutcomes(const std::vector<EndpointOutcomes> &own) const;
    void send(const FleetMember &to, const std::string &datagram) const;
    std::size_t roundsToReach(std::size_t nodes) const;
    Duration livenessTimeout() const;
    bool isAlive(const internal::KnownNode &node) const;
    bool isCounted(const internal::KnownNode &node) const;
    bool wasSeenLately(const internal::KnownNode &node) const;
    bool isReporting(const internal::KnownNode &node) const;
    void publishLiveness();
    std::optional<FleetMember> choose(const std::string &program, bool requireCurrent, bool includeSelf) const;
    std::vector<FleetMember> rank(const std::string &key,
                                  std::size_t count,
                                  const std::function<bool(const internal::KnownNode &)> &isWanted) const;

    FleetHooks hooks_;
    FleetSettings settings_;
    std::unique_ptr<StreamTail> tail_;
    std::map<std::string, internal::KnownNode> nodes_; ///< Other nodes, by name.
    std::vector<const FleetMember *> directTargets_; ///< Nodes that get direct reports, round robin.
    std::size_t nextTarget_ = 0; ///< Index into directTargets_.
    /** All nodes, while it is not known of some whether they are gone: others may divide the fleet otherwise. */
    std::vector<const FleetMember *> announcementTargets_;
    std::size_t nextAnnouncement_ = 0; ///< Index into announcementTargets_.
    std::optional<FleetGroups> groups_; ///< Not set in a small fleet.
    std::vector<const FleetMember *> groupedNodes_; ///< The nodes that groups_ was built from.
    std::uint64_t round_ = 0; ///< Number of reports to groups.
    std::uint64_t reports_ = 0; ///< Number of rounds of reports.
    bool isIdle_ = false; ///< The last report contained no load and no prompt parts.
    std::map<std::string, std::uint64_t> groupCounts_; ///< Groups of each domain, as of its last summary.
    /** By report, the newest last; sent again until all direct targets have got them. */
    std::deque<std::vector<CachedPart>> cachedParts_;
    std::vector<CachedPart> relayedParts_; ///< Reported within the group, not in a summary yet.
    Time startedAt_{0};
    Time listCompleteAt_{0}; ///< When the list of nodes was first read to its end.
    bool stopped_ = false;
};

void Fleet::Private::registerSelf()
{
    StoreAppend append;
    append.to_ = PartitionId{internal::nodeStream, 0};
    const nlohmann::json value = {{"datagrams", settings_.self_.datagramAddress_},
                                  {"links", settings_.self_.linkAddress_},
                                  {"domain", settings_.self_.domain_}};
    append.records_.push_back(KeyedRecord{settings_.self_.name_, value.dump()});
    hooks_.store_.append_(std::move(append), [self = shared_from_this()](const StoreAppendResult &result) {
        if (result.status_ == StoreStatus::Ok || self->stopped_) {
            return;
        }
        self->hooks_.after_(internal::registrationRetryDelay, [self] {
            if (!self->stopped_) {
                self->registerSelf();
            }
        });
    });
}

void Fleet::Private::applyRecord(const KeyedRecord &record)
{
    if (record.key_ == settings_.self_.name_) {
        return;
    }
    const nlohmann::json body = record.value_ ? decodeJson(*record.value_) : nlohmann::json();
    const bool isNode = body.is_object() && body.contains("datagrams") && body["datagrams"].is_string()
        && body.contains("links") && body["links"].is_string();
    if (!isNode) {
        nodes_.erase(record.key_);
        updateTargets();
        return;
    }
    internal::KnownNode &node = nodes_[record.key_];
    const bool hasDomain = body.contains("domain") && body["domain"].is_string();
    groupedNodes_.clear(); // The domain may have changed, so the groups are built again.
    node.member_ = FleetMember{record.key_,
                               body["datagrams"].get<std::string>(),
                               body["links"].get<std::string>(),
                               hasDomain ? body["domain"].get<std::string>() : std::string()};
    node.learnedAt_ = hooks_.now_();
}

/** Adds a node that the record store has not listed yet, and sends it a report at once. */
void Fleet::Private::applyIntroduction(const FleetMember &node)
{
    if (node.name_ == settings_.self_.name_ || nodes_.count(node.name_) != 0) {
        return;
    }
    internal::KnownNode &known = nodes_[node.name_];
    known.member_ = node;
    known.learnedAt_ = hooks_.now_();
    const NodeReport report = currentReport();
    const bool isInOtherDomain = groups_ && !node.domain_.empty() && node.domain_ != settings_.self_.domain_;
    send(node, encode(isInOtherDomain ? makeSummary(report, true) : makeMessage(report)));
}

void Fleet::Private::send(const FleetMember &to, const std::string &datagram) const
{
    hooks_.sendDatagram_(to.datagramAddress_, datagram);
}

/** Number of rounds in which each of \p nodes gets a direct report. */
std::size_t Fleet::Private::roundsToReach(std::size_t nodes) const
{
    return std::max<std::size_t>(1, (nodes + settings_.maxDirectTargets_ - 1) / settings_.maxDirectTargets_);
}

/** The current report of this node. Prompt parts are repeated until each direct target has got them. */
NodeReport Fleet::Private::currentReport()
{
    NodeReport report = hooks_.report_();
    // Targets that take turns might always get the reports without accounts.
    const bool takeTurns = directTargets_.size() > settings_.maxDirectTargets_;
    if (!takeTurns && reports_ % internal::roundsPerAccounts != 0) {
        report.accounts_.reset();
    }
    cachedParts_.push_back(std::move(report.cachedParts_));
    report.cachedParts_.clear();
    for (const std::vector<CachedPart> &parts : cachedParts_) {
        report.cachedParts_.insert(report.cachedParts_.end(), parts.begin(), parts.end());
    }
    return report;
}

FleetMessage Fleet::Private::makeMessage(NodeReport report) const
{
    FleetMessage message;
    message.sender_ = settings_.self_.name_;
    message.report_ = std::move(report);
    if (hooks_.now_() - startedAt_ < settings_.introductionPeriod_) {
        message.introduction_ = settings_.self_;
    }
    return message;
}

/** Summary of the recent reports of this node's group, this node included. */
FleetMessage Fleet::Private::makeSummary(const NodeReport &own, bool withMembers) const
{
    FleetMessage message = makeMessage(own);
    message.group_ = groups_->localGroup();
    if (withMembers) {
        message.members_.push_back(GroupMember{settings_.self_.name_, own.ledger_, own.reachesEndpoints_});
    }
    std::map<std::string, std::uint32_t> load(own.load_.begin(), own.load_.end());
    std::map<std::string, PaceSums> paces;
    for (const ServicePace &pace : own.paces_) {
        paces[pace.service_] += pace.sums_;
    }
    for (const FleetMember *peer : groups_->peers()) {
        const internal::KnownNode &node = nodes_.at(peer->name_);
        if (!isReporting(node)) {
            continue;
        }
        ++message.report_.nodes_;
        if (withMembers) {
            message.members_.push_back(GroupMember{peer->name_, node.ledger_, node.reachesEndpoints_});
        }
        for (const std::pair<std::string, std::uint32_t> &entry : node.report_.load_) {
            load[entry.first] += entry.second;
        }
        for (const ServicePace &pace : node.report_.paces_) {
            paces[pace.service_] += pace.sums_;
        }
    }
    message.report_.load_.assign(load.begin(), load.end());
    message.report_.paces_.clear();
    for (const std::pair<const std::string, PaceSums> &entry : paces) {
        message.report_.paces_.push_back(ServicePace{entry.first, entry.second});
    }
    message.report_.outcomes_ = groupOutcomes(own.outcomes_);
    if (own.accounts_) {
        message.report_.accounts_ = groupAccounts(*own.accounts_);
    }
    std::vector<CachedPart> &parts = message.report_.cachedParts_;
    parts.insert(parts.end(), relayedParts_.begin(), relayedParts_.end());
    return message;
}

/** Outcomes at endpoints that fail requests, of all nodes of the group, those that fail most first. */
std::vector<EndpointOutcomes> Fleet::Private::groupOutcomes(const std::vector<EndpointOutcomes> &own) const
{
    std::map<std::string, EndpointOutcomes> sums;
    const auto add = [&sums](const std::vector<EndpointOutcomes> &outcomes) {
        for (const EndpointOutcomes &entry : outcomes) {
            EndpointOutcomes &sum = sums[entry.endpoint_];
            sum.endpoint_ = entry.endpoint_;
            sum.requests_ += entry.requests_;
            sum.failures_ += entry.failures_;
        }
    };
    add(own);
    for (const FleetMember *peer : groups_->peers()) {
        const internal::KnownNode &node = nodes_.at(peer->name_);
        if (isReporting(node)) {
            add(node.report_.outcomes_);
        }
    }
    std::vector<EndpointOutcomes> result;
    for (const std::pair<const std::string, EndpointOutcomes> &entry : sums) {
        result.push_back(entry.second);
    }
    const auto failsMore = [](const EndpointOutcomes &a, const EndpointOutcomes &b) {
        return a.failures_ > b.failures_;
    };
    std::sort(result.begin(), result.end(), failsMore);
    result.resize(std::min(result.size(), internal::maxSummaryOutcomes));
    return result;
}

/** Running requests of the group by account, this node included. */
std::vector<AccountLoad> Fleet::Private::groupAccounts(std::vector<AccountLoad> load) const
{
    const Time oldest = hooks_.now_() - settings_.reportPeriod_ * (2 * internal::roundsPerAccounts);
    for (const FleetMember *peer : groups_->peers()) {
        const internal::KnownNode &node = nodes_.at(peer->name_);
        if (isReporting(node) && node.report_.accounts_ && node.accountsReportedAt_ >= oldest) {
            load.insert(load.end(), node.report_.accounts_->begin(), node.report_.accounts_->end());
        }
    }
    return largestLoads(sumOfLoads(load), internal::maxSummaryAccounts);
}

/**
 * Determines the direct targets and, in a large fleet, the groups.
 *
 * Records of former nodes stay in the store. A node that has started reads them all and can't tell at once which nodes
 * are gone, while the others know that. Until then it also announces itself without groups.
 */
void Fleet::Private::updateTargets()
{
    std::vector<const FleetMember *> grouped;
    std::vector<const internal::KnownNode *> present;
    bool areAllSeen = true;
    directTargets_.clear();
    announcementTargets_.clear();
    for (const std::pair<const std::string, internal::KnownNode> &entry : nodes_) {
        const internal::KnownNode &node = entry.second;
        if (!isCounted(node)) {
            continue;
        }
        const bool isSeen = wasSeenLately(node);
        areAllSeen = areAllSeen && isSeen;
        announcementTargets_.push_back(&node.member_);
        if (isSeen || hooks_.now_() - node.learnedAt_ <= internal::groupingDelay) {
            present.push_back(&node);
        }
    }
    const bool isLarge = present.size() > settings_.maxDirectTargets_ && !settings_.self_.domain_.empty();
    for (const internal::KnownNode *node : present) {
        (isLarge && !node->member_.domain_.empty() ? grouped : directTargets_).push_back(&node->member_);
    }
    if (areAllSeen) {
        announcementTargets_.clear();
    }
    if (grouped == groupedNodes_) {
        return;
    }
    groupedNodes_ = grouped;
    groups_.reset();
    if (!grouped.empty()) {
        groups_.emplace(settings_.self_, grouped);
    }
}

void Fleet::Private::reportToDirectTargets(const NodeReport &report)
{
    if (directTargets_.empty()) {
        return;
    }
    const std::string datagram = encode(makeMessage(report));
    const std::size_t count = std::min(directTargets_.size(), settings_.maxDirectTargets_);
    for (std::size_t i = 0; i < count; ++i) {
        send(*directTargets_[(nextTarget_ + i) % directTargets_.size()], datagram);
    }
    nextTarget_ = (nextTarget_ + count) % directTargets_.size();
}

void Fleet::Private::announce(const NodeReport &report)
{
    if (announcementTargets_.empty()) {
        return;
    }
    NodeReport state; // Without what summaries of the group contain, so that nothing counts twice.
    state.ledger_ = report.ledger_;
    state.reachesEndpoints_ = report.reachesEndpoints_;
    state.configurationVersion_ = report.configurationVersion_;
    state.mayMissGrants_ = report.mayMissGrants_;
    const std::string datagram = encode(makeMessage(state));
    const std::size_t count = std::min(announcementTargets_.size(), settings_.maxDirectTargets_);
    for (std::size_t i = 0; i < count; ++i) {
        const FleetMember &target = *announcementTargets_[nextAnnouncement_++ % announcementTargets_.size()];
        const bool getsReports =
            std::find(directTargets_.begin(), directTargets_.end(), &target) != directTargets_.end();
        if (!getsReports && !(groups_ && groups_->isPeer(target.name_))) {
            send(target, datagram);
        }
    }
}

void Fleet::Private::reportToGroups(const NodeReport &report)
{
    if (!groups_) {
        return;
    }
    const bool isFullRound = ++round_ % internal::roundsPerFullReport == 0;
    const bool isIdle =
        report.load_.empty() && report.cachedParts_.empty() && report.outcomes_.empty() && report.ejections_.empty();
    const bool wasIdle = std::exchange(isIdle_, isIdle);
    if (!wasIdle || !isIdle_ || isFullRound) {
        const std::string own = encode(makeMessage(report));
        for (const FleetMember *peer : groups_->peers()) {
            send(*peer, own);
        }
    }
    const std::string sum = encode(makeSummary(report, isFullRound));
    const auto isReportingPeer = [this](const FleetMember &peer) { return isReporting(nodes_.at(peer.name_)); };
    for (const FleetMember *target : groups_->summaryTargets(isReportingPeer)) {
        send(*target, sum);
    }
    relayedParts_.clear();
}

void Fleet::Private::sendReports()
{
    publishLiveness();
    if (listCompleteAt_ == Time{0} && tail_->isComplete()) {
        listCompleteAt_ = hooks_.now_();
    }
    updateTargets();
    if (!directTargets_.empty() || !announcementTargets_.empty() || groups_) {
        ++reports_;
        const NodeReport report = currentReport();
        reportToDirectTargets(report);
        reportToGroups(report);
        announce(report);
        while (cachedParts_.size() >= roundsToReach(directTargets_.size())) {
            cachedParts_.pop_front();
        }
    }
    hooks_.after_(settings_.reportPeriod_, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->sendReports();
        }
    });
}

/** Applies the report of a node; prompt parts from within the group are relayed to other groups. */
void Fleet::Private::applyReport(internal::KnownNode &sender, FleetMessage message)
{
    hooks_.onReport_(message.sender_, message.report_);
    if (groups_ && groups_->isPeer(message.sender_)) {
        relayedParts_.insert(
            relayedParts_.end(), message.report_.cachedParts_.begin(), message.report_.cachedParts_.end());
    }
    message.report_.cachedParts_.clear();
    message.report_.crashes_.clear();
    message.report_.limits_.clear();
    message.report_.ejections_.clear();
    message.report_.origins_.clear();
    sender.reportedAt_ = hooks_.now_();
    if (message.report_.accounts_) {
        sender.accountsReportedAt_ = sender.reportedAt_;
    } else {
        message.report_.accounts_ = std::move(sender.report_.accounts_);
    }
    sender.report_ = std::move(message.report_);
}

/** Applies the summary of a group. */
void Fleet::Private::applySummary(const FleetMessage &message)
{
    const FleetGroup &group = *message.group_;
    for (const GroupMember &member : message.members_) {
        const auto known = nodes_.find(member.name_);
        if (known != nodes_.end()) {
            known->second.markSeen(hooks_.now_(), member.ledger_, member.reachesEndpoints_);
        }
    }
    // If the number of groups in the domain has changed, clear the reports of the former groups.
    const std::uint64_t before = std::exchange(groupCounts_[group.domain_], group.count_);
    for (std::uint64_t index = 0; before != group.count_ && index < before; ++index) {
        hooks_.onReport_(FleetGroup{group.domain_, index, before}.name(), NodeReport());
    }
    hooks_.onReport_(group.name(), message.report_);
}

/** Time within which each live node is seen, even if some of its reports are lost. */
Duration Fleet::Private::livenessTimeout() const
{
    const std::size_t slowest =
        std::max(roundsToReach(directTargets_.size()), groups_ ? internal::roundsPerFullReport : 1);
    return std::max<Duration>(settings_.livenessTimeout_,
                              settings_.reportPeriod_ * (internal::reportsPerLivenessTimeout * slowest));
}

bool Fleet::Private::isAlive(const internal::KnownNode &node) const
{
    return node.wasSeen_ && hooks_.now_() - node.lastSeenAt_ <= livenessTimeout();
}

bool Fleet::Private::isCounted(const internal::KnownNode &node) const
{
    return hooks_.now_() - std::max(node.lastSeenAt_, node.learnedAt_) <= internal::forgetTimeout;
}

bool Fleet::Private::wasSeenLately(const internal::KnownNode &node) const
{
    return node.wasSeen_ && hooks_.now_() - node.lastSeenAt_ <= internal::forgetTimeout;
}

/** True if the last report of a peer is recent enough for the summary of the group. */
bool Fleet::Private::isReporting(const internal::KnownNode &node) const
{
    return node.reportedAt_ != Time{0} && hooks_.now_() - node.reportedAt_ <= settings_.summaryTimeout_;
}

void Fleet::Private::publishLiveness()
{
    for (std::pair<const std::string, internal::KnownNode> &entry : nodes_) {
        const bool alive = isAlive(entry.second);
        if (alive != entry.second.publishedAlive_) {
            entry.second.publishedAlive_ = alive;
            if (!alive) {
                entry.second.lostAt_ = hooks_.now_();
            }
            hooks_.onLivenessChanged_(entry.first, alive);
        }
    }
}

std::vector<FleetMember> Fleet::Private::rank(const std::string &key,
                                              std::size_t count,
                                              const std::function<bool(const internal::KnownNode &)> &isWanted) const
{
    using Ranked = std::pair<std::uint64_t, const FleetMember *>;
    std::vector<Ranked> live;
    for (const std::pair<const std::string, internal::KnownNode> &entry : nodes_) {
        if (isAlive(entry.second) && isWanted(entry.second)) {
            live.emplace_back(internal::weightOf(entry.second.member_, key), &entry.second.member_);
        }
    }
    std::sort(
        live.begin(), live.end(), [](const Ranked &left, const Ranked &right) { return left.first > right.first; });
    const auto isInOtherDomain = [&live](const Ranked &node) {
        return node.second->domain_ != live.front().second->domain_;
    };
    const auto second = std::find_if(live.begin(), live.end(), isInOtherDomain);
    if (second != live.end()) {
        std::rotate(live.begin() + 1, second, second + 1);
    }
    live.resize(std::min(live.size(), count));
    std::vector<FleetMember> nodes;
    for (const Ranked &node : live) {
        nodes.push_back(*node.second);
    }
    return nodes;
}

std::optional<FleetMember>
Fleet::Private::choose(const std::string &program, bool requireCurrent, bool includeSelf) const
{
    std::optional<FleetMember> best;
    std::uint64_t highest = 0;
    const auto consider = [&best, &highest, &program](const FleetMember &member) {
        const std::uint64_t weight = internal::weightOf(member, program);
        if (!best || weight > highest) {
            best = member;
            highest = weight;
        }
    };
    for (const std::pair<const std::string, internal::KnownNode> &entry : nodes_) {
        const internal::KnownNode &node = entry.second;
        if (isAlive(node) && (requireCurrent ? node.ledger_.current_ : node.ledger_.complete_)) {
            consider(node.member_);
        }
    }
    if (includeSelf && hooks_.ledgerComplete_()) {
        consider(settings_.self_);
    }
    return best;
}

Fleet::Fleet(FleetHooks hooks, FleetSettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = std::move(settings);
    StreamTailHooks tail;
    tail.now_ = d_->hooks_.now_;
    tail.after_ = d_->hooks_.after_;
    tail.store_ = d_->hooks_.store_;
    tail.onRecord_ = [d = d_.get()](const KeyedRecord &record) { d->applyRecord(record); };
    StreamTailSettings tailSettings;
    tailSettings.partition_ = PartitionId{internal::nodeStream, 0};
    tailSettings.pause_ = Duration{500'000};
    tailSettings.wait_ = Duration{3'000'000};
    tailSettings.retryDelay_ = Duration{500'000};
    d_->tail_ = std::make_unique<StreamTail>(std::move(tail), std::move(tailSettings));
}

Fleet::~Fleet()
{
    d_->stopped_ = true;
    d_->tail_.reset();
}

void Fleet::start()
{
    d_->startedAt_ = d_->hooks_.now_();
    d_->registerSelf();
    d_->tail_->start();
    d_->sendReports();
}

void Fleet::onDatagram(const std::string &datagram)
{
    std::optional<FleetMessage> message = decodeFleetMessage(datagram);
    if (!message) {
        return;
    }
    if (message->introduction_) {
        d_->applyIntroduction(*message->introduction_);
    }
    const auto sender = d_->nodes_.find(message->sender_);
    if (sender == d_->nodes_.end()) {
        return;
    }
    const bool wasRunning = sender->second.wasSeen_ && !sender->second.introducesItself_;
    sender->second.introducesItself_ = message->introduction_.has_value();
    if (wasRunning && sender->second.introducesItself_) {
        sender->second.lostAt_ = d_->hooks_.now_();
    }
    sender->second.markSeen(d_->hooks_.now_(), message->report_.ledger_, message->report_.reachesEndpoints_);
    if (message->report_.configurationVersion_ > 0 && d_->hooks_.onConfigurationOffered_) {
        d_->hooks_.onConfigurationOffered_(sender->second.member_, message->report_.configurationVersion_);
    }
    if (message->group_) {
        d_->applySummary(*message);
    } else {
        d_->applyReport(sender->second, std::move(*message));
    }
}

std::optional<FleetMember> Fleet::nodeWithCurrentLedger(const std::string &program) const
{
    return d_->choose(program, true, false);
}

std::optional<FleetMember> Fleet::coordinatorOf(const std::string &program) const
{
    if ((alive() + 1) * 2 <= known() + 1) {
        return std::nullopt;
    }
    return d_->choose(program, false, true);
}

bool Fleet::hasCoordinated(const std::string &program, Duration window) const
{
    const Time since = d_->hooks_.now_() - window;
    const std::uint64_t own = internal::weightOf(d_->settings_.self_, program);
    const auto mayHaveCoordinated = [since, own, &program](const auto &entry) {
        const internal::KnownNode &node = entry.second;
        return node.wasSeen_ && node.lastSeenAt_ >= since && internal::weightOf(node.member_, program) > own;
    };
    return d_->startedAt_ <= since && std::none_of(d_->nodes_.begin(), d_->nodes_.end(), mayHaveCoordinated);
}

std::optional<FleetMember> Fleet::backupCoordinatorOf(const std::string &program) const
{
    return d_->choose(program, false, false);
}

std::vector<FleetMember> Fleet::successorsOf(const std::string &program, std::size_t count) const
{
    using Ranked = std::pair<std::uint64_t, const FleetMember *>;
    std::vector<Ranked> live;
    for (const std::pair<const std::string, internal::KnownNode> &entry : d_->nodes_) {
        if (entry.second.ledger_.complete_ && d_->isAlive(entry.second)) {
            live.emplace_back(internal::weightOf(entry.second.member_, program), &entry.second.member_);
        }
    }
    const auto end = live.begin() + static_cast<std::ptrdiff_t>(std::min(count, live.size()));
    std::partial_sort(live.begin(), end, live.end(), std::greater<>());
    std::vector<FleetMember> nodes;
    for (auto node = live.begin(); node != end; ++node) {
        nodes.push_back(*node->second);
    }
    return nodes;
}

std::size_t Fleet::lostSince(Time since) const
{
    return static_cast<std::size_t>(std::count_if(d_->nodes_.begin(), d_->nodes_.end(), [since](const auto &entry) {
        return entry.second.lostAt_ != Time{0} && entry.second.lostAt_ >= since;
    }));
}

std::size_t Fleet::missingSince(Time since) const
{
    return static_cast<std::size_t>(
        std::count_if(d_->nodes_.begin(), d_->nodes_.end(), [this, since](const auto &entry) {
            return entry.second.wasSeen_ && entry.second.lastSeenAt_ >= since && !d_->isAlive(entry.second);
        }));
}

bool Fleet::hasPeerWithAllGrants() const
{
    return std::any_of(d_->nodes_.begin(), d_->nodes_.end(), [this](const auto &entry) {
        const internal::KnownNode &node = entry.second;
        return d_->isReporting(node) && node.report_.ledger_.complete_ && !node.report_.mayMissGrants_;
    });
}

std::optional<FleetMember> Fleet::holderOf(const std::string &state) const
{
    const internal::KnownNode *holder = nullptr;
    std::uint64_t highest = internal::weightOf(d_->settings_.self_, state);
    for (const std::pair<const std::string, internal::KnownNode> &entry : d_->nodes_) {
        const std::uint64_t weight = internal::weightOf(entry.second.member_, state);
        if (weight > highest && d_->isAlive(entry.second)) {
            highest = weight;
            holder = &entry.second;
        }
    }
    return holder == nullptr ? std::nullopt : std::optional<FleetMember>(holder->member_);
}

bool Fleet::isChosen(const std::string &key, std::size_t count) const
{
    const std::uint64_t own = internal::weightOf(d_->settings_.self_, key);
    std::size_t ahead = 0;
    for (const std::pair<const std::string, internal::KnownNode> &entry : d_->nodes_) {
        const bool isAhead = d_->isAlive(entry.second) && internal::weightOf(entry.second.member_, key) > own;
        ahead += isAhead ? 1 : 0;
    }
    return ahead < count;
}

std::vector<FleetMember> Fleet::ranked(const std::string &key, std::size_t count) const
{
    return d_->rank(key, count, [](const internal::KnownNode &) { return true; });
}

std::vector<FleetMember> Fleet::reachingEndpoints(const std::string &key, std::size_t count) const
{
    return d_->rank(key, count, [](const internal::KnownNode &node) { return node.reachesEndpoints_; });
}

bool Fleet::isDiscoveryComplete() const
{
    return d_->listCompleteAt_ != Time{0} && d_->hooks_.now_() - d_->listCompleteAt_ >= d_->settings_.discoveryTime_;
}

bool Fleet::allGrantsRecorded() const
{
    if (!isDiscoveryComplete()) {
        return false;
    }
    return std::none_of(d_->nodes_.begin(), d_->nodes_.end(), [this](const auto &entry) {
        return d_->isAlive(entry.second) && entry.second.ledger_.complete_ && !entry.second.ledger_.current_;
    });
}

std::vector<SeenMember> Fleet::seenWithin(Duration window) const
{
    std::vector<SeenMember> members;
    const Time since = d_->hooks_.now_() - window;
    for (const std::pair<const std::string, internal::KnownNode> &entry : d_->nodes_) {
        const internal::KnownNode &node = entry.second;
        if (node.wasSeen_ && node.lastSeenAt_ >= since) {
            members.push_back(SeenMember{node.member_, node.lastSeenAt_, d_->isAlive(node)});
        }
    }
    return members;
}

std::optional<FleetMember> Fleet::findAlive(const std::string &name) const
{
    const auto found = d_->nodes_.find(name);
    return found != d_->nodes_.end() && d_->isAlive(found->second) ? std::optional(found->second.member_)
                                                                   : std::nullopt;
}

bool Fleet::isSelf(const FleetMember &member) const
{
    return member.name_ == d_->settings_.self_.name_;
}

std::size_t Fleet::known() const
{
    return static_cast<std::size_t>(std::count_if(
        d_->nodes_.begin(), d_->nodes_.end(), [this](const auto &entry) { return d_->isCounted(entry.second); }));
}

std::size_t Fleet::alive() const
{
    return static_cast<std::size_t>(std::count_if(
        d_->nodes_.begin(), d_->nodes_.end(), [this](const auto &entry) { return d_->isAlive(entry.second); }));
}

} // namespace filbertgw
