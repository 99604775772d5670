#include "ledger/turnreplicas.h"

#include "core/numbers.h"
#include "core/stablehash.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace filbertgw {

namespace internal {
namespace {

constexpr Duration sweepInterval{1'000'000};
constexpr std::uint32_t maxBackoffDoublings = 8;

/** \brief A lookup that waits for a read of its partition. */
struct PendingLookup
{
    std::string turn_;
    Time deadline_{0};
    TurnReplicas::LookupCallback onResult_;
};

/** \brief A turn in memory and the offset of its record. */
struct ReplicaTurn
{
    FoundTurn found_;
    Time knownSince_{0}; ///< When this node learned of the record, which was written before.
    std::optional<std::uint64_t> offset_; ///< Empty if the turn was announced and its record not read.

    /** \brief When the turn may be deleted from the store. */
    Time deletableAt() const
    {
        return knownSince_ + found_.turn_->retention_ + TurnReplicas::retentionSlack;
    }
};

/** \brief Turns that were removed from a copy. */
struct ExpiredTurns
{
    std::vector<KeyedRecord> deletions_; ///< Records that delete them from the store.
    Duration knownFor_ = Duration::max(); ///< Shortest time for which this node has known one of them.
};

/** \brief This node's copy of one partition. */
struct Replica
{
    std::unordered_map<std::string, ReplicaTurn> turns_;
    std::vector<PendingLookup> waiting_; ///< Started since the current read began.
    std::vector<PendingLookup> inCurrentRead_; ///< Answered by the current read.
    std::uint64_t nextOffset_ = 0; ///< Offset after the last record read.
    Time lastUse_{0};
    Time lastCleanup_{0}; ///< Last deletion of expired turns.
    std::uint32_t failures_ = 0; ///< Consecutive failed reads.
    bool loaded_ = false; ///< The newest records have been read; later ones are read from nextOffset_.
    bool cleanupDue_ = false; ///< Expired turns are deleted after the next read.
    bool queued_ = false; ///< Waits for its read, or the read is in flight.
};

} // namespace
} // namespace internal

struct TurnReplicas::Private : std::enable_shared_from_this<TurnReplicas::Private>
{
    std::uint32_t partitionOf(const std::string &turn) const;
    PartitionId partitionId(std::uint32_t partition) const;
    void insert(internal::Replica &replica,
                const std::string &id,
                RetainedTurnPointer turn,
                std::optional<std::uint64_t> offset);
    FoundTurn found(RetainedTurnPointer turn) const;
    void applyRecord(internal::Replica &replica, const KeyedRecord &record);
    void erase(internal::Replica &replica, const std::string &id);
    void enqueue(std::uint32_t partition);
    void startReads();
    void startRead(std::uint32_t partition);
    void readNewest(std::uint32_t partition, const std::string &after);
    void onNewestPage(std::uint32_t partition, bool isFirst, const StorePage &page);
    void readRecords(std::uint32_t partition);
    void onRecordsPage(std::uint32_t partition, const StorePage &page);
    void onReadEnd(std::uint32_t partition, bool succeeded);
    void answerLookups(internal::Replica &replica);
    void scheduleRetry(std::uint32_t partition);
    void expireLookups(std::uint32_t partition);
    void sweep();
    internal::ExpiredTurns removeExpired(internal::Replica &replica);
    void deleteExpired(std::uint32_t partition);
    void evictPartitions();

    TurnReplicasHooks hooks_;
    TurnReplicasSettings settings_;
    std::unordered_map<std::uint32_t, internal::Replica> replicas_;
    std::deque<std::uint32_t> queue_; ///< Partitions to be read.
    std::uint32_t readsInFlight_ = 0;
    std::size_t bytes_ = 0;
    bool stopped_ = false;
};

std::uint32_t TurnReplicas::Private::partitionOf(const std::string &turn) const
{
    return static_cast<std::uint32_t>(stableHash(turn) % (settings_.streams_ * settings_.partitionsPerStream_));
}

PartitionId TurnReplicas::Private::partitionId(std::uint32_t partition) const
{
    return PartitionId{"kept-turns-" + std::to_string(partition / settings_.partitionsPerStream_),
                       partition % settings_.partitionsPerStream_};
}

void TurnReplicas::Private::insert(internal::Replica &replica,
                                   const std::string &id,
                                   RetainedTurnPointer turn,
                                   std::optional<std::uint64_t> offset)
{
    const auto entry = replica.turns_.find(id);
    if (offset && entry != replica.turns_.end() && entry->second.offset_ == offset) {
        return; // The same record read again does not extend the retention.
    }
    erase(replica, id); // A rewritten record extends the retention.
    bytes_ += turn->bytes();
    replica.turns_.emplace(id, internal::ReplicaTurn{found(std::move(turn)), hooks_.now_(), offset});
}

FoundTurn TurnReplicas::Private::found(RetainedTurnPointer turn) const
{
    const Duration age = hooks_.timeOfDay_() - turn->storedAt_;
    // The clock of the writer is wrong, or this one.
    const bool isFuture = age < -maxClockDifference;
    const Duration left = turn->retention_ + retentionSlack - maxClockDifference - age;
    const bool isKnown = turn->storedAt_ != Time{0} && !isFuture && left > Duration{0};
    return FoundTurn{std::move(turn), isKnown ? hooks_.now_() + left : Time{0}};
}

void TurnReplicas::Private::applyRecord(internal::Replica &replica, const KeyedRecord &record)
{
    if (!record.value_) {
        erase(replica, record.key_);
        return;
    }
    std::optional<RetainedTurn> turn = RetainedTurn::decode(*record.value_);
    if (turn) {
        insert(replica, record.key_, std::make_shared<const RetainedTurn>(std::move(*turn)), record.offset_);
    }
}

void TurnReplicas::Private::erase(internal::Replica &replica, const std::string &id)
{
    const auto entry = replica.turns_.find(id);
    if (entry != replica.turns_.end()) {
        bytes_ -= entry->second.found_.turn_->bytes();
        replica.turns_.erase(entry);
    }
}

void TurnReplicas::Private::enqueue(std::uint32_t partition)
{
    internal::Replica &replica = replicas_[partition];
    if (!replica.queued_) {
        replica.queued_ = true;
        queue_.push_back(partition);
        startReads();
    }
}

void TurnReplicas::Private::startReads()
{
    while (readsInFlight_ < settings_.concurrentReads_ && !queue_.empty()) {
        const std::uint32_t partition = queue_.front();
        queue_.pop_front();
        startRead(partition);
    }
}

void TurnReplicas::Private::startRead(std::uint32_t partition)
{
    internal::Replica &replica = replicas_[partition];
    if (replica.waiting_.empty() && !replica.cleanupDue_) {
        replica.queued_ = false;
        return;
    }
    ++readsInFlight_;
    replica.inCurrentRead_.swap(replica.waiting_);
    if (replica.loaded_) {
        readRecords(partition);
    } else {
        readNewest(partition, {});
    }
}

void TurnReplicas::Private::readNewest(std::uint32_t partition, const std::string &after)
{
    const auto onPage = [self = shared_from_this(), partition, isFirst = after.empty()](const StorePage &page) {
        if (!self->stopped_) {
            self->onNewestPage(partition, isFirst, page);
        }
    };
    hooks_.store_.newest_(StoreNewest{partitionId(partition), after, settings_.readTimeout_}, onPage);
}

void TurnReplicas::Private::onNewestPage(std::uint32_t partition, bool isFirst, const StorePage &page)
{
    if (page.status_ != StoreStatus::Ok) {
        onReadEnd(partition, false);
        return;
    }
    internal::Replica &replica = replicas_[partition];
    if (isFirst) {
        // The pages are not a consistent snapshot: changes after the first page are read again as records.
        replica.nextOffset_ = page.end_;
    }
    for (const KeyedRecord &record : page.records_) {
        applyRecord(replica, record);
    }
    if (page.more_) {
        // An empty page before the last one does not tell which records follow.
        page.records_.empty() ? onReadEnd(partition, false) : readNewest(partition, page.records_.back().key_);
        return;
    }
    replica.loaded_ = true;
    onReadEnd(partition, true);
}

void TurnReplicas::Private::readRecords(std::uint32_t partition)
{
    const StoreRead request{
        partitionId(partition), replicas_[partition].nextOffset_, Duration{0}, settings_.readTimeout_};
    hooks_.store_.read_(request, [self = shared_from_this(), partition](const StorePage &page) {
        if (!self->stopped_) {
            self->onRecordsPage(partition, page);
        }
    });
}

void TurnReplicas::Private::onRecordsPage(std::uint32_t partition, const StorePage &page)
{
    internal::Replica &replica = replicas_[partition];
    if (page.status_ == StoreStatus::Trimmed) {
        replica.loaded_ = false;
        readNewest(partition, {});
        return;
    }
    if (page.status_ != StoreStatus::Ok) {
        onReadEnd(partition, false);
        return;
    }
    for (const KeyedRecord &record : page.records_) {
        applyRecord(replica, record);
        replica.nextOffset_ = std::max(replica.nextOffset_, record.offset_ + 1);
    }
    if (replica.nextOffset_ < page.end_) {
        // An empty page before the end does not tell which records follow.
        page.records_.empty() ? onReadEnd(partition, false) : readRecords(partition);
        return;
    }
    onReadEnd(partition, true);
}

void TurnReplicas::Private::onReadEnd(std::uint32_t partition, bool succeeded)
{
    --readsInFlight_;
    internal::Replica &replica = replicas_[partition];
    replica.failures_ = succeeded ? 0 : std::min(replica.failures_ + 1, internal::maxBackoffDoublings);
    if (succeeded) {
        answerLookups(replica);
        if (replica.cleanupDue_) {
            replica.cleanupDue_ = false;
            deleteExpired(partition);
        }
    } else {
        replica.waiting_.insert(replica.waiting_.end(),
                                std::make_move_iterator(replica.inCurrentRead_.begin()),
                                std::make_move_iterator(replica.inCurrentRead_.end()));
        replica.inCurrentRead_.clear();
        expireLookups(partition);
    }
    if (replica.waiting_.empty()) {
        replica.cleanupDue_ = false;
        replica.queued_ = false;
    } else if (succeeded) {
        queue_.push_back(partition);
    } else {
        scheduleRetry(partition);
    }
    startReads();
}

/** Answers the lookups that waited for the read that has ended. */
void TurnReplicas::Private::answerLookups(internal::Replica &replica)
{
    std::vector<std::pair<internal::PendingLookup, FoundTurn>> answered;
    for (internal::PendingLookup &lookup : replica.inCurrentRead_) {
        const auto entry = replica.turns_.find(lookup.turn_);
        answered.emplace_back(std::move(lookup), entry == replica.turns_.end() ? FoundTurn() : entry->second.found_);
    }
    replica.inCurrentRead_.clear();
    for (const std::pair<internal::PendingLookup, FoundTurn> &entry : answered) {
        entry.first.onResult_(entry.second.turn_ ? ChainStatus::Found : ChainStatus::Missing, entry.second);
    }
}

void TurnReplicas::Private::scheduleRetry(std::uint32_t partition)
{
    const std::uint32_t failures = replicas_[partition].failures_;
    const Duration pause =
        std::min<Duration>(settings_.maxRetryDelay_, settings_.minRetryDelay_ * (1U << failures) / 2);
    hooks_.after_(pause, [self = shared_from_this(), partition] {
        if (!self->stopped_) {
            self->queue_.push_back(partition);
            self->startReads();
        }
    });
}

/** Answers lookups that have passed their deadline with Unavailable. */
void TurnReplicas::Private::expireLookups(std::uint32_t partition)
{
    const Time now = hooks_.now_();
    internal::Replica &replica = replicas_[partition];
    std::vector<internal::PendingLookup> expired;
    for (std::vector<internal::PendingLookup> *lookups : {&replica.waiting_, &replica.inCurrentRead_}) {
        const auto firstExpired = std::stable_partition(
            lookups->begin(), lookups->end(), [now](const auto &lookup) { return lookup.deadline_ > now; });
        expired.insert(expired.end(), std::make_move_iterator(firstExpired), std::make_move_iterator(lookups->end()));
        lookups->erase(firstExpired, lookups->end());
    }
    for (const internal::PendingLookup &lookup : expired) {
        lookup.onResult_(ChainStatus::Unavailable, FoundTurn());
    }
}

void TurnReplicas::Private::sweep()
{
    const Time now = hooks_.now_();
    std::vector<std::uint32_t> due;
    for (std::pair<const std::uint32_t, internal::Replica> &entry : replicas_) {
        internal::Replica &replica = entry.second;
        const bool hasExpired = std::any_of(replica.turns_.begin(), replica.turns_.end(), [now](const auto &turn) {
            return turn.second.deletableAt() <= now;
        });
        if (!hasExpired || now - replica.lastCleanup_ < settings_.cleanupInterval_) {
            continue;
        }
        replica.lastCleanup_ = now;
        if (hooks_.isHolder_(partitionId(entry.first))) {
            replica.cleanupDue_ = true;
            due.push_back(entry.first);
        } else {
            removeExpired(replica);
        }
    }
    for (const std::uint32_t partition : due) {
        enqueue(partition);
    }
    evictPartitions();
    hooks_.after_(internal::sweepInterval, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->sweep();
        }
    });
}

/** Removes expired turns from memory. */
internal::ExpiredTurns TurnReplicas::Private::removeExpired(internal::Replica &replica)
{
    const Time now = hooks_.now_();
    internal::ExpiredTurns expired;
    for (auto turn = replica.turns_.begin(); turn != replica.turns_.end();) {
        if (turn->second.deletableAt() > now) {
            ++turn;
            continue;
        }
        expired.deletions_.push_back(KeyedRecord{turn->first, std::nullopt});
        expired.knownFor_ = std::min(expired.knownFor_, now - turn->second.knownSince_);
        bytes_ -= turn->second.found_.turn_->bytes();
        turn = replica.turns_.erase(turn);
    }
    return expired;
}

/** Deletes expired turns from the store, right after a read so that a turn that was rewritten is kept. */
void TurnReplicas::Private::deleteExpired(std::uint32_t partition)
{
    StoreAppend append;
    append.to_ = partitionId(partition);
    internal::ExpiredTurns expired = removeExpired(replicas_[partition]);
    append.records_ = std::move(expired.deletions_);
    if (append.records_.empty()) {
        return;
    }
    hooks_.logEvent_("turns_deleted",
                     {{"partition", append.to_.stream_ + '/' + std::to_string(append.to_.partition_)},
                      {"turns", append.records_.size()},
                      {"known_ms", toMilliseconds(expired.knownFor_)}});
    hooks_.store_.append_(std::move(append), [self = shared_from_this(), partition](const StoreAppendResult &result) {
        if (result.status_ != StoreStatus::Ok && !self->stopped_) {
            self->replicas_[partition].loaded_ = false; // Turns that were not deleted are read and deleted again.
        }
    });
}

/** Evicts whole partitions while the turns take too much memory; the next lookup reads them again. */
void TurnReplicas::Private::evictPartitions()
{
    while (bytes_ > settings_.maxBytes_) {
        auto oldest = replicas_.end();
        for (auto entry = replicas_.begin(); entry != replicas_.end(); ++entry) {
            const bool isCandidate = !entry->second.queued_ && !entry->second.turns_.empty();
            if (isCandidate && (oldest == replicas_.end() || entry->second.lastUse_ < oldest->second.lastUse_)) {
                oldest = entry;
            }
        }
        if (oldest == replicas_.end()) {
            return;
        }
        for (const std::pair<const std::string, internal::ReplicaTurn> &turn : oldest->second.turns_) {
            bytes_ -= turn.second.found_.turn_->bytes();
        }
        replicas_.erase(oldest);
    }
}

TurnReplicas::TurnReplicas(TurnReplicasHooks hooks, TurnReplicasSettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = settings;
    d_->sweep();
}

TurnReplicas::~TurnReplicas()
{
    stop();
}

void TurnReplicas::stop()
{
    d_->stopped_ = true;
    d_->queue_.clear();
    // Callbacks of lookups may own this object, so they are destroyed only after the map is empty.
    std::unordered_map<std::uint32_t, internal::Replica> dropped;
    dropped.swap(d_->replicas_);
}

std::uint32_t TurnReplicas::partitionOf(const std::string &turn) const
{
    return d_->partitionOf(turn);
}

PartitionId TurnReplicas::partitionId(std::uint32_t partition) const
{
    return d_->partitionId(partition);
}

void TurnReplicas::find(const std::string &turn, LookupCallback onResult)
{
    const std::uint32_t partition = d_->partitionOf(turn);
    internal::Replica &replica = d_->replicas_[partition];
    replica.lastUse_ = d_->hooks_.now_();
    const auto entry = replica.turns_.find(turn);
    if (entry != replica.turns_.end()) {
        const FoundTurn found = entry->second.found_;
        onResult(ChainStatus::Found, found);
        return;
    }
    replica.waiting_.push_back(
        internal::PendingLookup{turn, replica.lastUse_ + d_->settings_.findTimeout_, std::move(onResult)});
    d_->hooks_.after_(d_->settings_.findTimeout_, [d = d_, partition] {
        if (!d->stopped_) {
            d->expireLookups(partition);
        }
    });
    d_->enqueue(partition);
}

void TurnReplicas::insert(const std::string &id, RetainedTurnPointer turn)
{
    internal::Replica &replica = d_->replicas_[d_->partitionOf(id)];
    replica.lastUse_ = d_->hooks_.now_();
    d_->insert(replica, id, std::move(turn), std::nullopt);
}

FoundTurn TurnReplicas::found(RetainedTurnPointer turn) const
{
    return d_->found(std::move(turn));
}

std::size_t TurnReplicas::bytes() const
{
    return d_->bytes_;
}

} // namespace filbertgw
