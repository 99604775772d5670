#include "config/configcontroller.h"

#include "config/configfold.h"

#include <algorithm>

namespace filbertgw {

namespace {

/** \brief Time beyond its wait after which a read counts as lost; a later response is ignored. */
constexpr Duration readGrace = std::chrono::seconds(10);
/** \brief Bounds of the random delay after a failed read. */
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(1000);
/** \brief Entries are fetched from a peer that has been ahead for this long; an available log delivers sooner. */
constexpr Duration lagTolerance = std::chrono::milliseconds(300);
/** \brief Time after which an outstanding fetch is abandoned and another peer is tried. */
constexpr Duration fetchTimeout = std::chrono::seconds(2);
/** \brief Maximum number of peers that are tracked as ahead. */
constexpr std::size_t maxPeersAhead = 16;
/** \brief Records whose age one tick checks; 21,000 accounts take under a minute at 10 ticks a second. */
constexpr std::size_t scanPerTick = 64;
/** \brief Maximum number of copies in one append; copying all records of the target fleet takes up to 7 minutes. */
constexpr std::size_t maxCopiesPerAppend = 64;
/** \brief Minimum time between two appends of copies. */
constexpr Duration copyInterval = std::chrono::seconds(1);
/** \brief Time before the next scan starts at the first record; by then the fold has read the copies. */
constexpr Duration rescanInterval = std::chrono::seconds(30);
/**
 * \brief Each rank delays its copies by this fraction of the retention time more than the rank before it, so that
 * normally one node appends all copies: 20 min for 7 days, longer than the 7 minutes that copying all records takes.
 */
constexpr int copyDelayDivisor = 500;
constexpr Duration defaultRetention = std::chrono::hours(7 * 24);
constexpr Duration defaultPollWait = std::chrono::seconds(2);

struct SnapshotHeader
{
    std::uint64_t source_ = 0;
    bool first_ = false;
    bool last_ = false;
};

SnapshotHeader snapshotHeaderOf(const nlohmann::json &json)
{
    const auto isTrue = [&json](const char *field) { return json.count(field) != 0 && json[field] == true; };
    if (!json.is_object() || json.count("source") == 0 || !json["source"].is_number_integer()) {
        return {};
    }
    return {json["source"].get<std::uint64_t>(), isTrue("first"), isTrue("last")};
}

} // namespace

struct ConfigController::Private
{
    Private(Blackboard &blackboard, ConfigHooks hooks, Duration retention, Duration pollWait)
        : section_(blackboard.write<ConfigSection>())
        , hooks_(std::move(hooks))
        , retention_(retention)
        , pollWait_(pollWait)
        , fold_(section_)
    {
    }

    void read();
    void onRead(bool reached, const LogPage &page);
    void onEntries(const std::vector<LogEntry> &entries);
    void onEndOfStream();
    void scheduleRetry();
    void fetchIfBehind();
    void onSnapshot(const std::vector<LogEntry> &entries);
    void appendDueCopies();
    Duration copyAge() const;
    Offset bestPeerOffset() const;
    void notify(Offset before);

    ConfigSection &section_;
    ConfigHooks hooks_;
    Duration retention_;
    Duration pollWait_;
    ConfigFold fold_;
    std::uint64_t source_ = 0; ///< Identifies this controller's snapshots, so that a receiver doesn't mix parts of two.

    bool started_ = false;
    bool caughtUp_ = false; ///< The end of the stream, or a peer's offset, has been reached at least once.
    std::uint64_t readNumber_ = 0; ///< Number of the newest read; responses to older ones are ignored.
    bool reading_ = false;
    Time readDeadline_{0};
    Time nextRead_{0};

    bool gap_ = false; ///< The next entries have expired; the remaining ones are collected up to the end of the stream.
    Offset gapNext_ = 0;
    std::vector<PackedEntry> gapEntries_;

    std::map<NodeId, Offset> peersAhead_;
    Time behindSince_{0};
    bool fetching_ = false;
    Time fetchDeadline_{0};
    NodeId fetchPeer_;
    std::uint64_t snapshotSource_ = 0;
    std::vector<PackedEntry> snapshot_;
    Offset snapshotNext_ = 0; ///< 0 if no snapshot is in progress.

    bool appending_ = false;
    Time nextCopies_{0};
    std::shared_ptr<bool> alive_ =
        std::make_shared<bool>(true); ///< Callbacks hold weak references, to detect destruction.
};

void ConfigController::Private::read()
{
    reading_ = true;
    const std::uint64_t number = ++readNumber_;
    const bool catchingUp = gap_ || !caughtUp_;
    const Duration wait = catchingUp ? Duration(0) : pollWait_;
    readDeadline_ = hooks_.now_() + wait + readGrace;
    const Offset from = gap_ ? gapNext_ : section_.offset_ + 1;
    const std::weak_ptr<bool> alive = alive_;
    hooks_.log_.read_(configStream, from, wait, [this, alive, number](bool reached, const LogPage &page) {
        if (!alive.expired() && number == readNumber_) {
            reading_ = false;
            onRead(reached, page);
        }
    });
}

void ConfigController::Private::scheduleRetry()
{
    const std::uint64_t range = static_cast<std::uint64_t>((maxRetryDelay - minRetryDelay).count());
    nextRead_ = hooks_.now_() + minRetryDelay + Duration(hooks_.random_() % range);
}

void ConfigController::Private::onRead(bool reached, const LogPage &page)
{
    if (!reached) {
        scheduleRetry();
        return;
    }
    const Offset before = section_.offset_;
    const Offset next = gap_ ? gapNext_ : section_.offset_ + 1;
    const Offset firstSeen = page.entries_.empty() ? page.firstOffset_ : page.entries_.front().offset_;
    if (!gap_ && firstSeen > next) {
        gap_ = true;
        gapNext_ = firstSeen;
    }
    if (page.entries_.empty()) {
        onEndOfStream();
    } else {
        onEntries(page.entries_);
    }
    notify(before);
    nextRead_ = hooks_.now_();
}

void ConfigController::Private::onEntries(const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        if (!gap_) {
            fold_.fold(entry);
        } else if (entry.offset_ >= gapNext_) {
            gapEntries_.push_back(packEntry(entry));
            gapNext_ = entry.offset_ + 1;
        }
    }
}

void ConfigController::Private::onEndOfStream()
{
    if (gap_) {
        fold_.foldAfterGap(gapEntries_);
        gap_ = false;
        gapEntries_.clear();
        gapEntries_.shrink_to_fit();
    }
    caughtUp_ = true;
}

void ConfigController::Private::notify(Offset before)
{
    for (auto peer = peersAhead_.begin(); peer != peersAhead_.end();) {
        peer = peer->second <= section_.offset_ ? peersAhead_.erase(peer) : std::next(peer);
    }
    if (section_.offset_ != before && hooks_.changed_) {
        hooks_.changed_();
    }
}

Offset ConfigController::Private::bestPeerOffset() const
{
    Offset best = 0;
    for (const std::pair<const NodeId, Offset> &peer : peersAhead_) {
        best = std::max(best, peer.second);
    }
    return best;
}

void ConfigController::Private::fetchIfBehind()
{
    const Time now = hooks_.now_();
    if (fetching_ && now >= fetchDeadline_) {
        fetching_ = false;
        peersAhead_.erase(fetchPeer_);
        snapshotNext_ = 0;
        snapshot_.clear();
    }
    if (peersAhead_.empty() || fetching_ || !hooks_.fetchFromPeer_) {
        return;
    }
    if (now < behindSince_ + lagTolerance) {
        return;
    }
    fetching_ = true;
    fetchDeadline_ = now + fetchTimeout;
    if (snapshotNext_ != 0 && peersAhead_.count(fetchPeer_) != 0) {
        hooks_.fetchFromPeer_(fetchPeer_, snapshotNext_ | snapshotContinuation);
        return;
    }
    snapshotNext_ = 0;
    snapshot_.clear();
    fetchPeer_ =
        std::next(peersAhead_.begin(), static_cast<std::ptrdiff_t>(hooks_.random_() % peersAhead_.size()))->first;
    hooks_.fetchFromPeer_(fetchPeer_, section_.offset_ + 1);
}

void ConfigController::Private::onSnapshot(const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        if (!entry.body_.is_object() || entry.body_.count(snapshotField) == 0) {
            return;
        }
        const SnapshotHeader header = snapshotHeaderOf(entry.body_[snapshotField]);
        if (header.first_) {
            snapshotSource_ = header.source_;
            snapshot_.clear();
        } else if (header.source_ != snapshotSource_) {
            snapshot_.clear();
            snapshotNext_ = 0;
            return;
        }
        if (header.last_) {
            fold_.applySnapshot(snapshot_, entry.offset_, entry.body_.value("ids", nlohmann::json()));
            caughtUp_ = true;
            snapshot_.clear();
            snapshot_.shrink_to_fit();
            snapshotNext_ = 0;
            return;
        }
        snapshot_.push_back(
            packEntry(LogEntry{entry.offset_, entry.time_, entry.body_.value("record", nlohmann::json())}));
        snapshotNext_ = entry.offset_ + 1;
    }
}

Duration ConfigController::Private::copyAge() const
{
    const Duration byRank = hooks_.rank_ ? retention_ / copyDelayDivisor * hooks_.rank_() : Duration(0);
    return retention_ / 2 + std::min(byRank, retention_ / 4);
}

void ConfigController::Private::appendDueCopies()
{
    if (appending_ || !caughtUp_ || hooks_.now_() < nextCopies_) {
        return;
    }
    std::vector<nlohmann::json> copies = fold_.dueCopies(hooks_.now_(), copyAge(), scanPerTick, maxCopiesPerAppend);
    if (copies.empty()) {
        return;
    }
    appending_ = true;
    nextCopies_ = hooks_.now_() + (fold_.isScanAtStart() ? rescanInterval : copyInterval);
    const std::weak_ptr<bool> alive = alive_;
    hooks_.log_.append_(configStream, std::move(copies), [this, alive](const AppendResult &) {
        // The result is not needed: the fold reads the copies if they were stored, otherwise they stay due.
        if (!alive.expired()) {
            appending_ = false;
        }
    });
}

ConfigController::ConfigController(std::unique_ptr<Private> d)
    : d_(std::move(d))
{
}

ConfigController::~ConfigController() = default;

void ConfigController::start()
{
    d_->started_ = true;
    d_->source_ = d_->hooks_.random_() | 1U;
    d_->read();
}

void ConfigController::tick()
{
    if (!d_->started_) {
        return;
    }
    const Time now = d_->hooks_.now_();
    if (d_->reading_ && now >= d_->readDeadline_) {
        d_->reading_ = false;
        ++d_->readNumber_;
        d_->scheduleRetry();
    }
    if (!d_->reading_ && now >= d_->nextRead_) {
        d_->read();
    }
    d_->fetchIfBehind();
    d_->appendDueCopies();
}

void ConfigController::onPeerOffset(const NodeId &peer, Offset offset)
{
    if (offset <= d_->section_.offset_) {
        return;
    }
    if (d_->peersAhead_.empty()) {
        d_->behindSince_ = d_->hooks_.now_();
    }
    if (d_->peersAhead_.size() < maxPeersAhead || d_->peersAhead_.count(peer) != 0) {
        d_->peersAhead_[peer] = offset;
    }
}

void ConfigController::onPeerEntries(const std::vector<LogEntry> &entries)
{
    d_->fetching_ = false;
    if (entries.empty()) {
        d_->peersAhead_.erase(d_->fetchPeer_);
        return;
    }
    const Offset before = d_->section_.offset_;
    const Offset target = d_->bestPeerOffset();
    const nlohmann::json &first = entries.front().body_;
    if (first.is_object() && first.count(snapshotField) != 0) {
        d_->onSnapshot(entries);
    } else if (entries.front().offset_ <= before + 1) {
        for (const LogEntry &entry : entries) {
            if (entry.offset_ <= d_->section_.offset_ + 1) {
                d_->fold_.fold(entry);
            }
        }
        d_->caughtUp_ = d_->caughtUp_ || d_->section_.offset_ >= target;
    }
    d_->notify(before);
    d_->fetchIfBehind();
}

std::vector<LogEntry> ConfigController::entriesFrom(Offset from, std::size_t limit) const
{
    return d_->fold_.entriesFrom(from, limit, d_->source_);
}

bool ConfigController::isReady() const
{
    return d_->caughtUp_ && !d_->section_.inForce_.empty();
}

nlohmann::json ConfigController::record(const std::string &kind, const std::string &name) const
{
    return d_->fold_.record({kind, name}).value_or(nlohmann::json());
}

ConfigController::Builder::Builder(Blackboard &blackboard, ConfigHooks hooks)
    : blackboard_(blackboard)
    , hooks_(std::move(hooks))
    , retention_(defaultRetention)
    , pollWait_(defaultPollWait)
{
}

ConfigController::Builder &ConfigController::Builder::retention(Duration retention)
{
    retention_ = retention;
    return *this;
}

ConfigController::Builder &ConfigController::Builder::pollWait(Duration wait)
{
    pollWait_ = wait;
    return *this;
}

std::unique_ptr<ConfigController> ConfigController::Builder::build()
{
    const ConfigSection &section = blackboard_.write<ConfigSection>();
    blackboard_.setDumper("config", [&section] { return dumpConfig(section); });
    return std::unique_ptr<ConfigController>(
        new ConfigController(std::make_unique<Private>(blackboard_, hooks_, retention_, pollWait_)));
}

nlohmann::json dumpConfig(const ConfigSection &section)
{
    nlohmann::json records = nlohmann::json::array();
    for (const std::pair<const RecordKey, Offset> &entry : section.inForce_) {
        if (entry.first.first != nameOf(RecordKind::Account)) {
            records.push_back({{"kind", entry.first.first}, {"name", entry.first.second}, {"offset", entry.second}});
        }
    }
    nlohmann::json rejected = nlohmann::json::array();
    for (const RejectedRecord &record : section.rejected_) {
        rejected.push_back({{"offset", record.offset_},
                            {"kind", record.kind_},
                            {"name", record.name_},
                            {"reason", record.reason_},
                            {"detail", record.detail_}});
    }
    nlohmann::json draining = nlohmann::json::array();
    for (const std::pair<const EndpointId, EndpointInfo> &entry : section.endpoints_) {
        if (entry.second.leaving_) {
            draining.push_back(entry.first.value());
        }
    }
    return {{"offset", section.offset_},
            {"schemas", {oldestSchema, newestSchema}},
            {"in_force", records},
            {"accounts", section.accounts_.size()},
            {"draining", draining},
            {"held", rejected}};
}

} // namespace filbertgw
