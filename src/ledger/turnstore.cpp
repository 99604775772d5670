#include "ledger/turnstore.h"

#include "core/stablehash.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace filbertgw {

namespace internal {
namespace {

/** A turn stays readable for this long after its retention, since clocks and requests are late. */
constexpr Duration retentionSlack{5'000'000};
constexpr Duration sweepPeriod{1'000'000};

struct CachedTurn
{
    std::string previous_;
    std::string text_;
};

/** \brief One lookup of a chain; walks from the newest turn to the oldest. */
struct Lookup
{
    std::vector<std::uint32_t> partitions_; ///< Where the wanted turn may be, most likely one first.
    std::string wanted_; ///< Turn that is looked for now.
    std::vector<std::string> found_; ///< Newest first.
    std::size_t read_ = 0; ///< Partitions that have been read for the wanted turn.
    bool scanned_ = false; ///< So have all others.
    std::function<void(ChainStatus, std::string)> answer_;
};

/** \brief A read of every partition that finds out where turns are. */
struct Scan
{
    std::vector<std::shared_ptr<Lookup>> lookups_;
    std::unordered_map<std::string, std::uint32_t> partitionOf_;
    std::uint32_t next_ = 0; ///< Partition to be read next.
    std::uint32_t reading_ = 0;
    bool unreadable_ = false;
};

struct PendingStore
{
    StoreAppend append_;
    std::string turn_;
    std::uint32_t partition_ = 0;
    Duration retention_{0};
    std::function<void()> durable_;
};

struct ExpiringTurn
{
    Time when_{0};
    std::string id_;
    std::uint32_t partition_ = 0;
};

} // namespace
} // namespace internal

struct TurnStore::Private : std::enable_shared_from_this<TurnStore::Private>
{
    using LookupPointer = std::shared_ptr<internal::Lookup>;
    using ScanPointer = std::shared_ptr<internal::Scan>;

    std::uint32_t partitions() const;
    std::uint32_t partitionFor(const std::string &conversation) const;
    PartitionId idOf(std::uint32_t partition) const;
    void cache(const std::string &id, internal::CachedTurn turn);
    void send(std::uint64_t number);
    void appended(std::uint64_t number, StoreStatus status);
    void advance(const LookupPointer &lookup);
    void finish(const LookupPointer &lookup, ChainStatus status);
    void readPartition(std::uint32_t partition, const LookupPointer &lookup, const std::string &after);
    void takePage(const StorePage &page, const LookupPointer &lookup);
    void joinScan(const LookupPointer &lookup);
    void startScan();
    void scanMore(const ScanPointer &scan);
    void scanPartition(const ScanPointer &scan, std::uint32_t partition, const std::string &after);
    void scanEnded(const ScanPointer &scan);
    void sweep();

    TurnStoreHooks hooks_;
    TurnStoreSettings settings_;
    std::unordered_map<std::string, internal::CachedTurn> cached_;
    std::deque<std::string> cacheOrder_;
    std::size_t cachedBytes_ = 0;
    std::unordered_map<std::uint64_t, internal::PendingStore> pending_;
    std::deque<internal::ExpiringTurn> expiring_; ///< Written by this node.
    std::vector<LookupPointer> waitingForScan_; ///< Join the next scan: the one that runs began before them.
    bool scanning_ = false;
    std::uint64_t nextNumber_ = 1;
    bool stopped_ = false;
};

std::uint32_t TurnStore::Private::partitions() const
{
    return settings_.streams_ * settings_.partitionsPerStream_;
}

std::uint32_t TurnStore::Private::partitionFor(const std::string &conversation) const
{
    return static_cast<std::uint32_t>(stableHash(conversation) % partitions());
}

PartitionId TurnStore::Private::idOf(std::uint32_t partition) const
{
    return PartitionId{"turns-" + std::to_string(partition / settings_.partitionsPerStream_),
                       partition % settings_.partitionsPerStream_};
}

void TurnStore::Private::cache(const std::string &id, internal::CachedTurn turn)
{
    const std::size_t bytes = id.size() + turn.previous_.size() + turn.text_.size();
    if (!cached_.emplace(id, std::move(turn)).second) {
        return;
    }
    cachedBytes_ += bytes;
    cacheOrder_.push_back(id);
    while (cachedBytes_ > settings_.cacheBytes_ && cacheOrder_.size() > 1) {
        const auto oldest = cached_.find(cacheOrder_.front());
        cachedBytes_ -= oldest->first.size() + oldest->second.previous_.size() + oldest->second.text_.size();
        cached_.erase(oldest);
        cacheOrder_.pop_front();
    }
}

void TurnStore::Private::send(std::uint64_t number)
{
    const auto pending = pending_.find(number);
    if (pending == pending_.end() || stopped_) {
        return;
    }
    hooks_.store_.append_(pending->second.append_, [self = shared_from_this(), number](const StoreAppended &result) {
        if (!self->stopped_) {
            self->appended(number, result.status_);
        }
    });
}

void TurnStore::Private::appended(std::uint64_t number, StoreStatus status)
{
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
        return;
    }
    if (status != StoreStatus::Ok) {
        hooks_.after_(settings_.retry_, [self = shared_from_this(), number] { self->send(number); });
        return;
    }
    const internal::PendingStore pending = std::move(found->second);
    pending_.erase(found);
    expiring_.push_back(internal::ExpiringTurn{
        hooks_.now_() + pending.retention_ + internal::retentionSlack, pending.turn_, pending.partition_});
    pending.durable_();
}

void TurnStore::Private::advance(const LookupPointer &lookup)
{
    while (!lookup->wanted_.empty()) {
        const auto turn = cached_.find(lookup->wanted_);
        if (turn == cached_.end()) {
            break;
        }
        lookup->found_.push_back(lookup->wanted_);
        lookup->wanted_ = turn->second.previous_;
        lookup->read_ = 0;
        lookup->scanned_ = false;
    }
    if (lookup->wanted_.empty()) {
        finish(lookup, ChainStatus::Found);
    } else if (lookup->read_ < lookup->partitions_.size()) {
        readPartition(lookup->partitions_[lookup->read_++], lookup, {});
    } else if (!lookup->scanned_) {
        joinScan(lookup);
    } else {
        finish(lookup, ChainStatus::Missing);
    }
}

void TurnStore::Private::joinScan(const LookupPointer &lookup)
{
    waitingForScan_.push_back(lookup);
    if (!scanning_) {
        startScan();
    }
}

void TurnStore::Private::startScan()
{
    scanning_ = true;
    const ScanPointer scan = std::make_shared<internal::Scan>();
    scan->lookups_.swap(waitingForScan_);
    scanMore(scan);
}

void TurnStore::Private::scanMore(const ScanPointer &scan)
{
    while (scan->reading_ < settings_.scanReads_ && scan->next_ < partitions() && !scan->unreadable_) {
        ++scan->reading_;
        scanPartition(scan, scan->next_++, {});
    }
    if (scan->reading_ == 0) {
        scanEnded(scan);
    }
}

void TurnStore::Private::scanPartition(const ScanPointer &scan, std::uint32_t partition, const std::string &after)
{
    hooks_.store_.newest_(idOf(partition), after, [self = shared_from_this(), scan, partition](const StorePage &page) {
        if (self->stopped_) {
            return;
        }
        for (const KeyedRecord &record : page.records_) {
            scan->partitionOf_[record.key_] = partition;
        }
        scan->unreadable_ = scan->unreadable_ || page.status_ != StoreStatus::Ok;
        if (page.more_ && !page.records_.empty() && !scan->unreadable_) {
            self->scanPartition(scan, partition, page.records_.back().key_);
            return;
        }
        --scan->reading_;
        self->scanMore(scan);
    });
}

void TurnStore::Private::scanEnded(const ScanPointer &scan)
{
    for (const LookupPointer &lookup : scan->lookups_) {
        const auto partition = scan->partitionOf_.find(lookup->wanted_);
        if (partition != scan->partitionOf_.end()) {
            lookup->scanned_ = true;
            readPartition(partition->second, lookup, {});
        } else {
            finish(lookup, scan->unreadable_ ? ChainStatus::Unavailable : ChainStatus::Missing);
        }
    }
    hooks_.after_(settings_.scanPause_, [self = shared_from_this()] {
        if (self->stopped_) {
            return;
        }
        self->scanning_ = false;
        if (!self->waitingForScan_.empty()) {
            self->startScan();
        }
    });
}

void TurnStore::Private::readPartition(std::uint32_t partition, const LookupPointer &lookup, const std::string &after)
{
    const auto arrived = [self = shared_from_this(), partition, lookup](const StorePage &page) {
        if (self->stopped_) {
            return;
        }
        if (page.status_ != StoreStatus::Ok) {
            self->finish(lookup, ChainStatus::Unavailable);
            return;
        }
        self->takePage(page, lookup);
        if (page.more_ && !page.records_.empty()) {
            self->readPartition(partition, lookup, page.records_.back().key_);
            return;
        }
        self->advance(lookup);
    };
    hooks_.store_.newest_(idOf(partition), after, arrived);
}

/** Keeps the records of the wanted chain; a page holds the turns of other programs as well. */
void TurnStore::Private::takePage(const StorePage &page, const LookupPointer &lookup)
{
    std::unordered_map<std::string, const KeyedRecord *> byId;
    for (const KeyedRecord &record : page.records_) {
        if (record.value_) {
            byId.emplace(record.key_, &record);
        }
    }
    std::string next = lookup->wanted_;
    for (auto turn = cached_.find(next); turn != cached_.end(); turn = cached_.find(next)) {
        next = turn->second.previous_;
    }
    for (auto record = byId.find(next); record != byId.end(); record = byId.find(next)) {
        const std::string &value = *record->second->value_;
        const std::size_t end = value.find('\n');
        if (end == std::string::npos) {
            return;
        }
        internal::CachedTurn turn{value.substr(0, end), value.substr(end + 1)};
        const std::string id = next;
        next = turn.previous_;
        byId.erase(record);
        cache(id, std::move(turn));
    }
}

void TurnStore::Private::finish(const LookupPointer &lookup, ChainStatus status)
{
    if (!lookup->answer_) {
        return;
    }
    std::string text;
    if (status == ChainStatus::Found) {
        std::for_each(lookup->found_.rbegin(), lookup->found_.rend(), [this, &text, &status](const std::string &id) {
            const auto turn = cached_.find(id);
            if (turn == cached_.end()) {
                status = ChainStatus::Unavailable; // Dropped from the cache while the rest was read.
                return;
            }
            text += turn->second.text_;
        });
    }
    const std::function<void(ChainStatus, std::string)> answer = std::move(lookup->answer_);
    lookup->answer_ = nullptr;
    answer(status, std::move(text));
}

/** Deletes turns of this node whose retention is over. */
void TurnStore::Private::sweep()
{
    const Time now = hooks_.now_();
    std::map<std::uint32_t, std::vector<KeyedRecord>> due;
    while (!expiring_.empty() && expiring_.front().when_ <= now) {
        due[expiring_.front().partition_].push_back(KeyedRecord{expiring_.front().id_, std::nullopt});
        expiring_.pop_front();
    }
    for (std::pair<const std::uint32_t, std::vector<KeyedRecord>> &entry : due) {
        StoreAppend append;
        append.to_ = idOf(entry.first);
        append.records_ = std::move(entry.second);
        hooks_.store_.append_(std::move(append), [](const StoreAppended &) {});
    }
    hooks_.after_(internal::sweepPeriod, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->sweep();
        }
    });
}

TurnStore::TurnStore(TurnStoreHooks hooks, TurnStoreSettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = settings;
    d_->sweep();
}

TurnStore::~TurnStore()
{
    d_->stopped_ = true;
}

std::uint64_t TurnStore::store(const std::string &conversation, RetainedTurn turn, std::function<void()> durable)
{
    const std::uint64_t number = d_->nextNumber_++;
    internal::PendingStore pending;
    pending.turn_ = turn.id_;
    pending.partition_ = d_->partitionFor(conversation);
    pending.retention_ = turn.retention_;
    pending.durable_ = std::move(durable);
    pending.append_.to_ = d_->idOf(pending.partition_);
    pending.append_.timeout_ = d_->settings_.appendTimeout_;
    pending.append_.records_.push_back(KeyedRecord{turn.id_, turn.previous_ + '\n' + turn.text_});
    d_->pending_.emplace(number, std::move(pending));
    d_->cache(turn.id_, internal::CachedTurn{std::move(turn.previous_), std::move(turn.text_)});
    d_->send(number);
    return number;
}

void TurnStore::abandon(std::uint64_t number)
{
    d_->pending_.erase(number);
}

bool TurnStore::fits(std::size_t bytes) const
{
    constexpr std::size_t overhead = 1024; // Key, previous turn and framing.
    return bytes + overhead <= d_->settings_.recordBytes_;
}

void TurnStore::chain(const std::vector<std::string> &conversations,
                      const std::string &turn,
                      std::function<void(ChainStatus, std::string)> answer)
{
    const Private::LookupPointer lookup = std::make_shared<internal::Lookup>();
    for (const std::string &conversation : conversations) {
        const std::uint32_t partition = d_->partitionFor(conversation);
        const auto known = std::find(lookup->partitions_.begin(), lookup->partitions_.end(), partition);
        if (known == lookup->partitions_.end()) {
            lookup->partitions_.push_back(partition);
        }
    }
    lookup->wanted_ = turn;
    lookup->answer_ = std::move(answer);
    d_->advance(lookup);
}

std::size_t TurnStore::cachedBytes() const
{
    return d_->cachedBytes_;
}

} // namespace filbertgw
