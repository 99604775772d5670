#include "ledger/turnreplicas.h"

#include "core/stablehash.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace filbertgw {

namespace internal {
namespace {

constexpr Duration sweepPeriod{1'000'000};
constexpr std::uint32_t mostDoublings = 8;

/** \brief A question that waits for a read of its partition. */
struct Question
{
    std::string turn_;
    Time deadline_{0};
    TurnReplicas::Found found_;
};

/** \brief A turn in memory, and its record in the store. */
struct ReplicaTurn
{
    FoundTurn found_;
    std::optional<std::uint64_t> offset_; ///< Nothing if the record was not read, but announced.
};

/** \brief What this node has of one partition. */
struct Replica
{
    std::unordered_map<std::string, ReplicaTurn> turns_;
    std::vector<Question> waiting_; ///< Asked since the read under way began.
    std::vector<Question> inRead_; ///< Answered by the read under way.
    std::uint64_t position_ = 0; ///< Offset after the last record that was read.
    Time used_{0};
    Time cleaned_{0}; ///< When turns were deleted last.
    std::uint32_t failures_ = 0; ///< Reads that failed in a row.
    bool loaded_ = false; ///< The newest records were read; later ones are read from position_.
    bool cleanDue_ = false; ///< Turns that are over are to be deleted after the next read.
    bool queued_ = false; ///< Waits for its read, or for the end of the one under way.
};

} // namespace
} // namespace internal

struct TurnReplicas::Private : std::enable_shared_from_this<TurnReplicas::Private>
{
    std::uint32_t partitionOf(const std::string &turn) const;
    PartitionId nameOf(std::uint32_t partition) const;
    void take(internal::Replica &replica,
              const std::string &id,
              RetainedTurnPointer turn,
              std::optional<std::uint64_t> offset);
    void takeRecord(internal::Replica &replica, const KeyedRecord &record);
    void erase(internal::Replica &replica, const std::string &id);
    void enqueue(std::uint32_t partition);
    void startReads();
    void startRead(std::uint32_t partition);
    void readNewest(std::uint32_t partition, const std::string &after);
    void newestArrived(std::uint32_t partition, bool isFirst, const StorePage &page);
    void readRecords(std::uint32_t partition);
    void recordsArrived(std::uint32_t partition, const StorePage &page);
    void readEnded(std::uint32_t partition, bool succeeded);
    void answer(internal::Replica &replica);
    void retryLater(std::uint32_t partition);
    void expireQuestions(std::uint32_t partition);
    void sweep();
    std::vector<KeyedRecord> takeExpired(internal::Replica &replica);
    void clean(std::uint32_t partition);
    void dropUnused();

    TurnReplicasHooks hooks_;
    TurnReplicasSettings settings_;
    std::unordered_map<std::uint32_t, internal::Replica> replicas_;
    std::deque<std::uint32_t> queue_; ///< Partitions to be read.
    std::uint32_t reading_ = 0;
    std::size_t bytes_ = 0;
    bool stopped_ = false;
};

std::uint32_t TurnReplicas::Private::partitionOf(const std::string &turn) const
{
    return static_cast<std::uint32_t>(stableHash(turn) % (settings_.streams_ * settings_.partitionsPerStream_));
}

PartitionId TurnReplicas::Private::nameOf(std::uint32_t partition) const
{
    return PartitionId{"kept-turns-" + std::to_string(partition / settings_.partitionsPerStream_),
                       partition % settings_.partitionsPerStream_};
}

void TurnReplicas::Private::take(internal::Replica &replica,
                                 const std::string &id,
                                 RetainedTurnPointer turn,
                                 std::optional<std::uint64_t> offset)
{
    const auto known = replica.turns_.find(id);
    if (offset && known != replica.turns_.end() && known->second.offset_ == offset) {
        return; // The same record, read again: it keeps the turn no longer than before.
    }
    erase(replica, id); // A record that was written again keeps the turn for longer.
    const Time expires = hooks_.now_() + turn->retention_ + retentionSlack;
    bytes_ += turn->bytes();
    replica.turns_.emplace(id, internal::ReplicaTurn{FoundTurn{std::move(turn), expires}, offset});
}

void TurnReplicas::Private::takeRecord(internal::Replica &replica, const KeyedRecord &record)
{
    if (!record.value_) {
        erase(replica, record.key_);
        return;
    }
    std::optional<RetainedTurn> turn = RetainedTurn::decode(*record.value_);
    if (turn) {
        take(replica, record.key_, std::make_shared<const RetainedTurn>(std::move(*turn)), record.offset_);
    }
}

void TurnReplicas::Private::erase(internal::Replica &replica, const std::string &id)
{
    const auto known = replica.turns_.find(id);
    if (known != replica.turns_.end()) {
        bytes_ -= known->second.found_.turn_->bytes();
        replica.turns_.erase(known);
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
    while (reading_ < settings_.concurrentReads_ && !queue_.empty()) {
        const std::uint32_t partition = queue_.front();
        queue_.pop_front();
        startRead(partition);
    }
}

void TurnReplicas::Private::startRead(std::uint32_t partition)
{
    internal::Replica &replica = replicas_[partition];
    if (replica.waiting_.empty() && !replica.cleanDue_) {
        replica.queued_ = false;
        return;
    }
    ++reading_;
    replica.inRead_.swap(replica.waiting_);
    if (replica.loaded_) {
        readRecords(partition);
    } else {
        readNewest(partition, {});
    }
}

void TurnReplicas::Private::readNewest(std::uint32_t partition, const std::string &after)
{
    const auto arrived = [self = shared_from_this(), partition, isFirst = after.empty()](const StorePage &page) {
        if (!self->stopped_) {
            self->newestArrived(partition, isFirst, page);
        }
    };
    hooks_.store_.newest_(StoreNewest{nameOf(partition), after, settings_.readTimeout_}, arrived);
}

void TurnReplicas::Private::newestArrived(std::uint32_t partition, bool isFirst, const StorePage &page)
{
    if (page.status_ != StoreStatus::Ok) {
        readEnded(partition, false);
        return;
    }
    internal::Replica &replica = replicas_[partition];
    if (isFirst) {
        // Pages are no snapshot: what changes after the first one is read again as records.
        replica.position_ = page.end_;
    }
    for (const KeyedRecord &record : page.records_) {
        takeRecord(replica, record);
    }
    if (page.more_) {
        // An empty page that is not the last one says nothing about the records that follow.
        page.records_.empty() ? readEnded(partition, false) : readNewest(partition, page.records_.back().key_);
        return;
    }
    replica.loaded_ = true;
    readEnded(partition, true);
}

void TurnReplicas::Private::readRecords(std::uint32_t partition)
{
    const StoreRead request{nameOf(partition), replicas_[partition].position_, Duration{0}, settings_.readTimeout_};
    hooks_.store_.read_(request, [self = shared_from_this(), partition](const StorePage &page) {
        if (!self->stopped_) {
            self->recordsArrived(partition, page);
        }
    });
}

void TurnReplicas::Private::recordsArrived(std::uint32_t partition, const StorePage &page)
{
    internal::Replica &replica = replicas_[partition];
    if (page.status_ == StoreStatus::Trimmed) {
        replica.loaded_ = false;
        readNewest(partition, {});
        return;
    }
    if (page.status_ != StoreStatus::Ok) {
        readEnded(partition, false);
        return;
    }
    for (const KeyedRecord &record : page.records_) {
        takeRecord(replica, record);
        replica.position_ = std::max(replica.position_, record.offset_ + 1);
    }
    if (replica.position_ < page.end_) {
        // An empty page before the end says nothing about the records that follow.
        page.records_.empty() ? readEnded(partition, false) : readRecords(partition);
        return;
    }
    readEnded(partition, true);
}

void TurnReplicas::Private::readEnded(std::uint32_t partition, bool succeeded)
{
    --reading_;
    internal::Replica &replica = replicas_[partition];
    replica.failures_ = succeeded ? 0 : std::min(replica.failures_ + 1, internal::mostDoublings);
    if (succeeded) {
        answer(replica);
        if (replica.cleanDue_) {
            replica.cleanDue_ = false;
            clean(partition);
        }
    } else {
        replica.waiting_.insert(replica.waiting_.end(),
                                std::make_move_iterator(replica.inRead_.begin()),
                                std::make_move_iterator(replica.inRead_.end()));
        replica.inRead_.clear();
        expireQuestions(partition);
    }
    if (replica.waiting_.empty()) {
        replica.cleanDue_ = false;
        replica.queued_ = false;
    } else if (succeeded) {
        queue_.push_back(partition);
    } else {
        retryLater(partition);
    }
    startReads();
}

/** Answers what the read that has ended was for. */
void TurnReplicas::Private::answer(internal::Replica &replica)
{
    std::vector<std::pair<internal::Question, FoundTurn>> answered;
    for (internal::Question &question : replica.inRead_) {
        const auto known = replica.turns_.find(question.turn_);
        answered.emplace_back(std::move(question), known == replica.turns_.end() ? FoundTurn() : known->second.found_);
    }
    replica.inRead_.clear();
    for (const std::pair<internal::Question, FoundTurn> &entry : answered) {
        entry.first.found_(entry.second.turn_ ? ChainStatus::Found : ChainStatus::Missing, entry.second);
    }
}

void TurnReplicas::Private::retryLater(std::uint32_t partition)
{
    const std::uint32_t failures = replicas_[partition].failures_;
    const Duration pause = std::min<Duration>(settings_.longestRetry_, settings_.firstRetry_ * (1U << failures) / 2);
    hooks_.after_(pause, [self = shared_from_this(), partition] {
        if (!self->stopped_) {
            self->queue_.push_back(partition);
            self->startReads();
        }
    });
}

/** Gives up on questions that have waited for too long. */
void TurnReplicas::Private::expireQuestions(std::uint32_t partition)
{
    const Time now = hooks_.now_();
    internal::Replica &replica = replicas_[partition];
    std::vector<internal::Question> late;
    for (std::vector<internal::Question> *questions : {&replica.waiting_, &replica.inRead_}) {
        const auto firstLate = std::stable_partition(
            questions->begin(), questions->end(), [now](const auto &question) { return question.deadline_ > now; });
        late.insert(late.end(), std::make_move_iterator(firstLate), std::make_move_iterator(questions->end()));
        questions->erase(firstLate, questions->end());
    }
    for (const internal::Question &question : late) {
        question.found_(ChainStatus::Unavailable, FoundTurn());
    }
}

void TurnReplicas::Private::sweep()
{
    const Time now = hooks_.now_();
    std::vector<std::uint32_t> due;
    for (std::pair<const std::uint32_t, internal::Replica> &entry : replicas_) {
        internal::Replica &replica = entry.second;
        const bool hasExpired = std::any_of(replica.turns_.begin(), replica.turns_.end(), [now](const auto &turn) {
            return turn.second.found_.expires_ <= now;
        });
        if (!hasExpired || now - replica.cleaned_ < settings_.cleanPeriod_) {
            continue;
        }
        replica.cleaned_ = now;
        if (hooks_.isHolder_(nameOf(entry.first))) {
            replica.cleanDue_ = true;
            due.push_back(entry.first);
        } else {
            takeExpired(replica);
        }
    }
    for (const std::uint32_t partition : due) {
        enqueue(partition);
    }
    dropUnused();
    hooks_.after_(internal::sweepPeriod, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->sweep();
        }
    });
}

/** Removes the turns that are over from memory. \return their deletions. */
std::vector<KeyedRecord> TurnReplicas::Private::takeExpired(internal::Replica &replica)
{
    const Time now = hooks_.now_();
    std::vector<KeyedRecord> deletions;
    for (auto turn = replica.turns_.begin(); turn != replica.turns_.end();) {
        if (turn->second.found_.expires_ > now) {
            ++turn;
            continue;
        }
        deletions.push_back(KeyedRecord{turn->first, std::nullopt});
        bytes_ -= turn->second.found_.turn_->bytes();
        turn = replica.turns_.erase(turn);
    }
    return deletions;
}

/** Deletes the turns that are over; right after a read, so that one which was written again stays. */
void TurnReplicas::Private::clean(std::uint32_t partition)
{
    StoreAppend append;
    append.to_ = nameOf(partition);
    append.records_ = takeExpired(replicas_[partition]);
    if (append.records_.empty()) {
        return;
    }
    hooks_.store_.append_(std::move(append), [self = shared_from_this(), partition](const StoreAppended &result) {
        if (result.status_ != StoreStatus::Ok && !self->stopped_) {
            self->replicas_[partition].loaded_ = false; // What was not deleted is learned, and deleted, once more.
        }
    });
}

/** Drops whole partitions while the turns take too much memory; they are read anew when they are asked for. */
void TurnReplicas::Private::dropUnused()
{
    while (bytes_ > settings_.replicaBytes_) {
        auto oldest = replicas_.end();
        for (auto entry = replicas_.begin(); entry != replicas_.end(); ++entry) {
            const bool isCandidate = !entry->second.queued_ && !entry->second.turns_.empty();
            if (isCandidate && (oldest == replicas_.end() || entry->second.used_ < oldest->second.used_)) {
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
    // Callbacks of questions may own this object: they are destroyed after the map is empty.
    std::unordered_map<std::uint32_t, internal::Replica> dropped;
    dropped.swap(d_->replicas_);
}

std::uint32_t TurnReplicas::partitionOf(const std::string &turn) const
{
    return d_->partitionOf(turn);
}

PartitionId TurnReplicas::nameOf(std::uint32_t partition) const
{
    return d_->nameOf(partition);
}

void TurnReplicas::find(const std::string &turn, Found found)
{
    const std::uint32_t partition = d_->partitionOf(turn);
    internal::Replica &replica = d_->replicas_[partition];
    replica.used_ = d_->hooks_.now_();
    const auto known = replica.turns_.find(turn);
    if (known != replica.turns_.end()) {
        const FoundTurn kept = known->second.found_;
        found(ChainStatus::Found, kept);
        return;
    }
    replica.waiting_.push_back(internal::Question{turn, replica.used_ + d_->settings_.findTimeout_, std::move(found)});
    d_->hooks_.after_(d_->settings_.findTimeout_, [d = d_, partition] {
        if (!d->stopped_) {
            d->expireQuestions(partition);
        }
    });
    d_->enqueue(partition);
}

void TurnReplicas::note(const std::string &id, RetainedTurnPointer turn)
{
    internal::Replica &replica = d_->replicas_[d_->partitionOf(id)];
    replica.used_ = d_->hooks_.now_();
    d_->take(replica, id, std::move(turn), std::nullopt);
}

std::size_t TurnReplicas::bytes() const
{
    return d_->bytes_;
}

} // namespace filbertgw
