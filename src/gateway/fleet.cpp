#include "gateway/fleet.h"

#include "core/stablehash.h"
#include "store/streamtail.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>

namespace filbertgw {

namespace internal {
namespace {

const char *const nodeStream = "nodes";
constexpr Duration registerRetry{500'000};
/** A known node that was not heard of for this long does not count any more. */
constexpr Duration forgetAfter{15'000'000};

/** Reports of a living node that may be lost in a row. */
constexpr std::size_t reportsInALife = 3;

struct KnownNode
{
    FleetMember member_;
    Time learned_{0};
    Time heard_{0};
    bool everHeard_ = false;
    bool reportedAlive_ = false;
    bool ledgerCurrent_ = false;
    bool ledgerComplete_ = false;
};

} // namespace
} // namespace internal

namespace internal {
namespace {

/** Weight of a node in a rendezvous hash: of several nodes the one with the highest weight is chosen. */
std::uint64_t weightOf(const FleetMember &member, const std::string &key)
{
    return stableHash(member.name_ + '/' + key);
}

} // namespace
} // namespace internal

struct Fleet::Private : std::enable_shared_from_this<Fleet::Private>
{
    void registerSelf();
    void takeRecord(const KeyedRecord &record);
    void sendReports();
    void answerIntroduction(const std::string &name, const nlohmann::json &report);
    NodeReport currentReport();
    std::size_t rounds(std::size_t nodes) const;
    std::string encode(const NodeReport &report) const;
    Duration aliveFor() const;
    bool isAlive(const internal::KnownNode &node) const;
    bool isCounted(const internal::KnownNode &node) const;
    void noteAlive();
    std::optional<FleetMember> choose(const std::string &program, bool needsCurrent, bool maySelf) const;

    FleetHooks hooks_;
    FleetSettings settings_;
    std::unique_ptr<StreamTail> tail_;
    std::map<std::string, internal::KnownNode> nodes_; ///< Without this one.
    std::size_t nextTarget_ = 0; ///< Index of the next node that is reported to.
    std::deque<std::vector<ReadPart>> readParts_; ///< Of each report that some nodes have not got yet, the newest last.
    Time started_{0};
    Time listed_{0}; ///< When the list of nodes was complete for the first time.
    bool stopped_ = false;
};

void Fleet::Private::registerSelf()
{
    StoreAppend append;
    append.to_ = PartitionId{internal::nodeStream, 0};
    const nlohmann::json value = {{"datagrams", settings_.self_.datagramAddress_},
                                  {"links", settings_.self_.linkAddress_}};
    append.records_.push_back(KeyedRecord{settings_.self_.name_, value.dump()});
    hooks_.store_.append_(std::move(append), [self = shared_from_this()](const StoreAppended &result) {
        if (result.status_ == StoreStatus::Ok || self->stopped_) {
            return;
        }
        self->hooks_.after_(internal::registerRetry, [self] {
            if (!self->stopped_) {
                self->registerSelf();
            }
        });
    });
}

void Fleet::Private::takeRecord(const KeyedRecord &record)
{
    if (record.key_ == settings_.self_.name_) {
        return;
    }
    const nlohmann::json body =
        record.value_ ? nlohmann::json::parse(*record.value_, nullptr, false) : nlohmann::json();
    const bool isNode = body.is_object() && body.contains("datagrams") && body["datagrams"].is_string()
        && body.contains("links") && body["links"].is_string();
    if (!isNode) {
        nodes_.erase(record.key_);
        return;
    }
    internal::KnownNode &node = nodes_[record.key_];
    node.member_ = FleetMember{record.key_, body["datagrams"].get<std::string>(), body["links"].get<std::string>()};
    node.learned_ = hooks_.now_();
}

/** Takes up a node that is not in the list yet, and lets it hear of this one at once. */
void Fleet::Private::answerIntroduction(const std::string &name, const nlohmann::json &report)
{
    const bool isIntroduction = report.contains("d") && report["d"].is_string() && report.contains("u")
        && report["u"].is_string() && name != settings_.self_.name_;
    if (!isIntroduction || nodes_.count(name) != 0) {
        return;
    }
    internal::KnownNode &node = nodes_[name];
    node.member_ = FleetMember{name, report["d"].get<std::string>(), report["u"].get<std::string>()};
    node.learned_ = hooks_.now_();
    hooks_.sendDatagram_(node.member_.datagramAddress_, encode(currentReport()));
}

/** Reports that it takes until each of so many nodes has got one. */
std::size_t Fleet::Private::rounds(std::size_t nodes) const
{
    return (nodes + settings_.reportTargets_ - 1) / settings_.reportTargets_;
}

/** What this node says now; parts are said again until all nodes have heard of them. */
NodeReport Fleet::Private::currentReport()
{
    NodeReport report = hooks_.report_();
    readParts_.push_back(std::move(report.readParts_));
    report.readParts_.clear();
    for (const std::vector<ReadPart> &parts : readParts_) {
        report.readParts_.insert(report.readParts_.end(), parts.begin(), parts.end());
    }
    return report;
}

std::string Fleet::Private::encode(const NodeReport &report) const
{
    nlohmann::json load = nlohmann::json::array();
    for (const std::pair<std::string, std::uint32_t> &entry : report.load_) {
        load.push_back({entry.first, entry.second});
    }
    nlohmann::json parts = nlohmann::json::array();
    for (const ReadPart &read : report.readParts_) {
        parts.push_back({read.endpoint_, read.part_, read.tokens_});
    }
    nlohmann::json paces = nlohmann::json::array();
    for (const ServicePace &pace : report.paces_) {
        paces.push_back({pace.service_, pace.sums_.weight_, pace.sums_.timeLeft_, pace.sums_.stretch_});
    }
    nlohmann::json body = {{"p", parts},
                           {"v", paces},
                           {"n", settings_.self_.name_},
                           {"c", report.ledgerCurrent_},
                           {"k", report.ledgerComplete_},
                           {"l", load}};
    if (hooks_.now_() - started_ < settings_.introduction_) {
        body["d"] = settings_.self_.datagramAddress_;
        body["u"] = settings_.self_.linkAddress_;
    }
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(body);
    return {bytes.begin(), bytes.end()};
}

void Fleet::Private::sendReports()
{
    noteAlive();
    if (listed_ == Time{0} && tail_->isComplete()) {
        listed_ = hooks_.now_();
    }
    std::vector<const internal::KnownNode *> targets;
    for (const std::pair<const std::string, internal::KnownNode> &entry : nodes_) {
        if (isCounted(entry.second)) {
            targets.push_back(&entry.second);
        }
    }
    if (!targets.empty()) {
        while (readParts_.size() >= rounds(targets.size())) {
            readParts_.pop_front();
        }
        const std::string datagram = encode(currentReport());
        const std::size_t count = std::min(targets.size(), settings_.reportTargets_);
        for (std::size_t i = 0; i < count; ++i) {
            hooks_.sendDatagram_(targets[(nextTarget_ + i) % targets.size()]->member_.datagramAddress_, datagram);
        }
        nextTarget_ = (nextTarget_ + count) % targets.size();
    }
    hooks_.after_(settings_.reportPeriod_, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->sendReports();
        }
    });
}

/** Time within which each node reports to each other one, and lost reports are made up for. */
Duration Fleet::Private::aliveFor() const
{
    const std::size_t rounds = nodes_.size() / settings_.reportTargets_ + 1;
    return std::max<Duration>(settings_.aliveFor_, settings_.reportPeriod_ * (internal::reportsInALife * rounds));
}

bool Fleet::Private::isAlive(const internal::KnownNode &node) const
{
    return node.everHeard_ && hooks_.now_() - node.heard_ <= aliveFor();
}

bool Fleet::Private::isCounted(const internal::KnownNode &node) const
{
    return hooks_.now_() - std::max(node.heard_, node.learned_) <= internal::forgetAfter;
}

void Fleet::Private::noteAlive()
{
    for (std::pair<const std::string, internal::KnownNode> &entry : nodes_) {
        const bool alive = isAlive(entry.second);
        if (alive != entry.second.reportedAlive_) {
            entry.second.reportedAlive_ = alive;
            hooks_.onAlive_(entry.first, alive);
        }
    }
}

std::optional<FleetMember> Fleet::Private::choose(const std::string &program, bool needsCurrent, bool maySelf) const
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
        if (isAlive(node) && (needsCurrent ? node.ledgerCurrent_ : node.ledgerComplete_)) {
            consider(node.member_);
        }
    }
    if (maySelf && hooks_.ledgerComplete_()) {
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
    tail.onRecord_ = [d = d_.get()](const KeyedRecord &record) { d->takeRecord(record); };
    StreamTailSettings tailSettings;
    tailSettings.partition_ = PartitionId{internal::nodeStream, 0};
    tailSettings.pause_ = Duration{500'000};
    tailSettings.wait_ = Duration{3'000'000};
    tailSettings.retry_ = Duration{500'000};
    d_->tail_ = std::make_unique<StreamTail>(std::move(tail), std::move(tailSettings));
}

Fleet::~Fleet()
{
    d_->stopped_ = true;
    d_->tail_.reset();
}

void Fleet::start()
{
    d_->started_ = d_->hooks_.now_();
    d_->registerSelf();
    d_->tail_->start();
    d_->sendReports();
}

void Fleet::onDatagram(const std::string &datagram)
{
    const nlohmann::json body = nlohmann::json::from_cbor(datagram, true, false);
    const bool isReport = body.is_object() && body.contains("n") && body["n"].is_string() && body.contains("c")
        && body["c"].is_boolean() && body.contains("k") && body["k"].is_boolean() && body.contains("l")
        && body["l"].is_array();
    if (!isReport) {
        return;
    }
    d_->answerIntroduction(body["n"].get<std::string>(), body);
    const auto known = d_->nodes_.find(body["n"].get<std::string>());
    if (known == d_->nodes_.end()) {
        return;
    }
    NodeReport report;
    report.ledgerCurrent_ = body["c"].get<bool>();
    report.ledgerComplete_ = body["k"].get<bool>();
    for (const nlohmann::json &entry : body["l"]) {
        if (entry.is_array() && entry.size() == 2 && entry[0].is_string() && entry[1].is_number_unsigned()) {
            report.load_.emplace_back(entry[0].get<std::string>(), entry[1].get<std::uint32_t>());
        }
    }
    if (body.contains("p") && body["p"].is_array()) {
        for (const nlohmann::json &entry : body["p"]) {
            if (entry.is_array() && entry.size() == 3 && entry[0].is_string() && entry[1].is_string()
                && entry[2].is_number_unsigned()) {
                report.readParts_.push_back(
                    ReadPart{entry[0].get<std::string>(), entry[1].get<std::string>(), entry[2].get<std::uint64_t>()});
            }
        }
    }
    if (body.contains("v") && body["v"].is_array()) {
        for (const nlohmann::json &entry : body["v"]) {
            if (entry.is_array() && entry.size() == 4 && entry[0].is_string() && entry[1].is_number()
                && entry[2].is_number() && entry[3].is_number()) {
                report.paces_.push_back(
                    ServicePace{entry[0].get<std::string>(),
                                PaceSums{entry[1].get<double>(), entry[2].get<double>(), entry[3].get<double>()}});
            }
        }
    }
    known->second.heard_ = d_->hooks_.now_();
    known->second.everHeard_ = true;
    known->second.ledgerCurrent_ = report.ledgerCurrent_;
    known->second.ledgerComplete_ = report.ledgerComplete_;
    d_->hooks_.onReport_(known->first, report);
}

std::optional<FleetMember> Fleet::currentNode(const std::string &program) const
{
    return d_->choose(program, true, false);
}

std::optional<FleetMember> Fleet::homeOf(const std::string &program) const
{
    if ((alive() + 1) * 2 <= known() + 1) {
        return std::nullopt;
    }
    return d_->choose(program, false, true);
}

std::optional<FleetMember> Fleet::witnessOf(const std::string &program) const
{
    return d_->choose(program, false, false);
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

bool Fleet::isSettled() const
{
    return d_->listed_ != Time{0} && d_->hooks_.now_() - d_->listed_ >= d_->settings_.hearAll_;
}

bool Fleet::knowsNoOutage() const
{
    if (!isSettled()) {
        return false;
    }
    return std::none_of(d_->nodes_.begin(), d_->nodes_.end(), [this](const auto &entry) {
        return d_->isAlive(entry.second) && entry.second.ledgerComplete_ && !entry.second.ledgerCurrent_;
    });
}

std::optional<FleetMember> Fleet::aliveNode(const std::string &name) const
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
