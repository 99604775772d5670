#include "ledger/turnstore.h"

#include "core/numbers.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace filbertgw {

namespace internal {
namespace {

/**
 * Ancestors that may be deleted earlier than this after the retention of the new turn are stored again: the whole chain
 * is merged into the record of the new turn or, if that is too large, only those ancestors are appended again. Covers
 * the time from the end of a response to the lookup for the next turn.
 */
constexpr Duration renewalMargin{5'000'000};

/** \brief One lookup of a chain. */
struct Lookup
{
    std::string newest_;
    std::unordered_map<std::string, FoundTurn> turns_; ///< Found so far.
    std::size_t remaining_ = 0; ///< Number of turns that are being looked up.
    std::function<void(const TurnChain &)> onResult_; ///< Empty once called.
};

/** \brief Records that are being stored for one turn: its own and those of ancestors that are stored again. */
struct PendingStore
{
    std::unordered_map<std::string, FoundTurn> remaining_; ///< Not durable yet, by id.
    std::function<void()> onDurable_;
};

/** \brief Copy of a turn whose text includes the texts of all its ancestors, so that it needs none of them. */
EndedTurn mergeChain(const EndedTurn &turn)
{
    EndedTurn merged;
    merged.id_ = turn.id_;
    merged.retention_ = turn.retention_;
    for (const ChainTurn &ancestor : turn.chain_) {
        merged.text_ += ancestor.found_.turn_->text_;
    }
    merged.text_ += turn.text_;
    return merged;
}

} // namespace
} // namespace internal

struct TurnStore::Private : std::enable_shared_from_this<TurnStore::Private>
{
    using LookupPointer = std::shared_ptr<internal::Lookup>;

    Private(TurnStoreHooks hooks, TurnStoreSettings settings);
    void cache(const std::string &id, const FoundTurn &turn);
    FoundTurn cached(const std::string &id) const;
    static RetainedTurnPointer recordOf(const EndedTurn &turn);
    void appendRecord(std::uint64_t number, const std::string &id);
    void onAppended(std::uint64_t number, const std::string &id, const FoundTurn &stored, StoreStatus status);
    void lookUp(const LookupPointer &lookup, const std::vector<std::string> &turns);
    void onTurnResult(const LookupPointer &lookup, const std::string &id, ChainStatus status, const FoundTurn &turn);
    void lookUpAncestors(const LookupPointer &lookup);
    void finish(const LookupPointer &lookup, ChainStatus status);

    TurnStoreHooks hooks_;
    TurnStoreSettings settings_;
    TurnReplicas replicas_;
    TurnPeers peers_;
    std::unordered_map<std::string, FoundTurn> cached_;
    std::deque<std::string> cacheOrder_;
    std::size_t cachedBytes_ = 0;
    std::unordered_map<std::uint64_t, internal::PendingStore> pending_;
    std::uint64_t nextNumber_ = 1;
    bool stopped_ = false;
};

TurnStore::Private::Private(TurnStoreHooks hooks, TurnStoreSettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
    , replicas_(TurnReplicasHooks{hooks_.now_,
                                  hooks_.timeOfDay_,
                                  hooks_.after_,
                                  hooks_.store_,
                                  [this](const PartitionId &partition) { return peers_.isHolder(partition); },
                                  hooks_.logEvent_},
                settings_.replicas_)
    , peers_(TurnPeersHooks{hooks_.now_, hooks_.after_, hooks_.holderOf_, hooks_.knowsHolders_, hooks_.askPeer_},
             settings_.peers_,
             replicas_)
{
}

void TurnStore::Private::cache(const std::string &id, const FoundTurn &turn)
{
    const auto entry = cached_.find(id);
    if (entry != cached_.end()) {
        entry->second.keptUntil_ = std::max(entry->second.keptUntil_, turn.keptUntil_);
        return;
    }
    cached_.emplace(id, turn);
    cachedBytes_ += turn.turn_->bytes();
    cacheOrder_.push_back(id);
    while (cachedBytes_ > settings_.maxCacheBytes_ && cacheOrder_.size() > 1) {
        const auto oldest = cached_.find(cacheOrder_.front());
        cachedBytes_ -= oldest->second.turn_->bytes();
        cached_.erase(oldest);
        cacheOrder_.pop_front();
    }
}

FoundTurn TurnStore::Private::cached(const std::string &id) const
{
    const auto entry = cached_.find(id);
    return entry == cached_.end() ? FoundTurn() : entry->second;
}

RetainedTurnPointer TurnStore::Private::recordOf(const EndedTurn &turn)
{
    RetainedTurn record;
    for (const ChainTurn &ancestor : turn.chain_) {
        record.ancestors_.push_back(ancestor.id_);
    }
    record.text_ = turn.text_;
    record.retention_ = turn.retention_;
    return std::make_shared<const RetainedTurn>(std::move(record));
}

void TurnStore::Private::appendRecord(std::uint64_t number, const std::string &id)
{
    const auto pending = pending_.find(number);
    if (pending == pending_.end() || stopped_) {
        return;
    }
    RetainedTurn record = *pending->second.remaining_.at(id).turn_;
    record.storedAt_ = hooks_.timeOfDay_();
    StoreAppend append;
    append.to_ = replicas_.partitionId(replicas_.partitionOf(id));
    append.timeout_ = settings_.appendTimeout_;
    append.records_.push_back(KeyedRecord{id, record.encode()});
    const Time keptUntil = hooks_.now_() + record.retention_ + TurnReplicas::retentionSlack;
    const FoundTurn stored{std::make_shared<const RetainedTurn>(std::move(record)), keptUntil};
    const auto onResult = [self = shared_from_this(), number, id, stored](const StoreAppendResult &result) {
        if (!self->stopped_) {
            self->onAppended(number, id, stored, result.status_);
        }
    };
    hooks_.store_.append_(std::move(append), onResult);
}

void TurnStore::Private::onAppended(std::uint64_t number,
                                    const std::string &id,
                                    const FoundTurn &stored,
                                    StoreStatus status)
{
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
        return;
    }
    if (status != StoreStatus::Ok) {
        hooks_.after_(settings_.retryDelay_,
                      [self = shared_from_this(), number, id] { self->appendRecord(number, id); });
        return;
    }
    internal::PendingStore &pending = found->second;
    pending.remaining_.erase(id);
    cache(id, stored);
    peers_.announce(id, stored.turn_);
    if (pending.remaining_.empty()) {
        const std::function<void()> onDurable = std::move(pending.onDurable_);
        pending_.erase(found);
        onDurable();
    }
}

void TurnStore::Private::lookUp(const LookupPointer &lookup, const std::vector<std::string> &turns)
{
    std::vector<std::string> unknown;
    for (const std::string &id : turns) {
        const FoundTurn turn = cached(id);
        if (turn.turn_) {
            lookup->turns_[id] = turn;
        } else {
            unknown.push_back(id);
        }
    }
    lookup->remaining_ = unknown.size();
    if (unknown.empty()) {
        lookUpAncestors(lookup);
        return;
    }
    peers_.find(unknown,
                [self = shared_from_this(), lookup](const std::string &id, ChainStatus status, const FoundTurn &turn) {
                    if (!self->stopped_) {
                        self->onTurnResult(lookup, id, status, turn);
                    }
                });
}

void TurnStore::Private::onTurnResult(const LookupPointer &lookup,
                                      const std::string &id,
                                      ChainStatus status,
                                      const FoundTurn &turn)
{
    if (status != ChainStatus::Found) {
        finish(lookup, status);
        return;
    }
    cache(id, turn);
    lookup->turns_[id] = turn;
    if (--lookup->remaining_ == 0) {
        lookUpAncestors(lookup);
    }
}

/** Looks up the ancestors of the newest turn that are not known yet; its record lists all of them. */
void TurnStore::Private::lookUpAncestors(const LookupPointer &lookup)
{
    std::vector<std::string> unresolved;
    for (const std::string &ancestor : lookup->turns_.at(lookup->newest_).turn_->ancestors_) {
        if (lookup->turns_.count(ancestor) == 0) {
            unresolved.push_back(ancestor);
        }
    }
    if (unresolved.empty()) {
        finish(lookup, ChainStatus::Found);
    } else {
        lookUp(lookup, unresolved);
    }
}

void TurnStore::Private::finish(const LookupPointer &lookup, ChainStatus status)
{
    if (!lookup->onResult_) {
        return;
    }
    TurnChain chain;
    chain.status_ = status;
    if (status == ChainStatus::Found) {
        std::vector<std::string> ids = lookup->turns_.at(lookup->newest_).turn_->ancestors_;
        ids.push_back(lookup->newest_);
        for (const std::string &id : ids) {
            const FoundTurn &turn = lookup->turns_.at(id);
            chain.text_ += turn.turn_->text_;
            chain.turns_.push_back(ChainTurn{id, turn});
        }
    }
    const std::function<void(const TurnChain &)> answer = std::move(lookup->onResult_);
    lookup->onResult_ = nullptr;
    answer(chain);
}

TurnStore::TurnStore(TurnStoreHooks hooks, TurnStoreSettings settings)
    : d_(std::make_shared<Private>(std::move(hooks), settings))
{
}

TurnStore::~TurnStore()
{
    d_->stopped_ = true;
    // Lookups that wait for a read share ownership of the private data, which can therefore outlive this object.
    d_->replicas_.stop();
}

std::uint64_t TurnStore::store(const EndedTurn &turn, std::function<void()> onDurable)
{
    const std::uint64_t number = d_->nextNumber_++;
    internal::PendingStore pending;
    pending.onDurable_ = std::move(onDurable);
    const Time mustBeKeptUntil = d_->hooks_.now_() + turn.retention_ + internal::renewalMargin;
    const auto expiresTooEarly = [mustBeKeptUntil](const ChainTurn &ancestor) {
        return ancestor.found_.keptUntil_ < mustBeKeptUntil;
    };
    const auto expiresEarlier = [](const ChainTurn &left, const ChainTurn &right) {
        return left.found_.keptUntil_ < right.found_.keptUntil_;
    };
    const bool mustRenew = std::any_of(turn.chain_.begin(), turn.chain_.end(), expiresTooEarly);
    EndedTurn toStore = mustRenew ? internal::mergeChain(turn) : turn;
    const bool isMerged = mustRenew && fits(toStore);
    if (mustRenew) {
        const ChainTurn &first = *std::min_element(turn.chain_.begin(), turn.chain_.end(), expiresEarlier);
        d_->hooks_.logEvent_(
            "chain_renewed",
            {{"turn", turn.id_},
             {"turns", turn.chain_.size()},
             {"first", first.id_},
             {"left_ms", toMilliseconds(std::max(Duration{0}, first.found_.keptUntil_ - d_->hooks_.now_()))},
             {"merged", isMerged}});
    }
    if (mustRenew && !isMerged) {
        toStore = turn;
        for (const ChainTurn &ancestor : turn.chain_) {
            if (expiresTooEarly(ancestor)) {
                pending.remaining_[ancestor.id_] = ancestor.found_;
            }
        }
    }
    pending.remaining_[turn.id_] = FoundTurn{Private::recordOf(toStore), Time{0}};
    std::vector<std::string> ids;
    for (const std::pair<const std::string, FoundTurn> &entry : pending.remaining_) {
        ids.push_back(entry.first);
    }
    d_->pending_.emplace(number, std::move(pending));
    for (const std::string &id : ids) {
        d_->appendRecord(number, id);
    }
    return number;
}

void TurnStore::abandon(std::uint64_t number)
{
    d_->pending_.erase(number);
}

bool TurnStore::fits(const EndedTurn &turn) const
{
    constexpr std::size_t overhead = 1024; // For the key and the framing of the record.
    return Private::recordOf(turn)->bytes() + overhead <= d_->settings_.maxRecordBytes_;
}

void TurnStore::findChain(const std::string &turn, std::function<void(const TurnChain &)> answer)
{
    const Private::LookupPointer lookup = std::make_shared<internal::Lookup>();
    lookup->newest_ = turn;
    lookup->onResult_ = std::move(answer);
    d_->lookUp(lookup, {turn});
}

bool TurnStore::onPeerRequest(const std::string &type,
                              const nlohmann::json &body,
                              const std::function<void(const nlohmann::json &)> &answer)
{
    return d_->peers_.onPeerRequest(type, body, answer);
}

std::size_t TurnStore::cachedBytes() const
{
    return d_->cachedBytes_ + d_->replicas_.bytes();
}

} // namespace filbertgw
