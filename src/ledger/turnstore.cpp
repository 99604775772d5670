#include "ledger/turnstore.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace filbertgw {

namespace internal {
namespace {

/** A turn stays in the store for this long after its retention, since clocks and requests are late. */
constexpr Duration deletionSlack{5'000'000};
constexpr Duration sweepPeriod{1'000'000};

/** \brief One lookup of a chain. */
struct Lookup
{
    std::string newest_;
    std::unordered_map<std::string, KeptTurnPointer> turns_; ///< Found so far.
    std::size_t open_ = 0; ///< Turns that are being looked for.
    std::function<void(const TurnChain &)> answer_; ///< Empty once answered.
};

struct PendingStore
{
    StoreAppend append_;
    std::string id_;
    KeptTurnPointer turn_;
    std::function<void()> durable_;
};

struct ExpiringTurn
{
    Time when_{0};
    std::string id_;
};

} // namespace
} // namespace internal

struct TurnStore::Private : std::enable_shared_from_this<TurnStore::Private>
{
    using LookupPointer = std::shared_ptr<internal::Lookup>;

    Private(TurnStoreHooks hooks, TurnStoreSettings settings);
    void cache(const std::string &id, const KeptTurnPointer &turn);
    KeptTurnPointer cached(const std::string &id) const;
    void send(std::uint64_t number);
    void appended(std::uint64_t number, StoreStatus status);
    void look(const LookupPointer &lookup, const std::vector<std::string> &turns);
    void arrived(const LookupPointer &lookup, const std::string &id, ChainStatus status, const KeptTurnPointer &turn);
    void lookForAncestors(const LookupPointer &lookup);
    void finish(const LookupPointer &lookup, ChainStatus status);
    void sweep();

    TurnStoreHooks hooks_;
    TurnStoreSettings settings_;
    TurnReplicas replicas_;
    TurnPeers peers_;
    std::unordered_map<std::string, KeptTurnPointer> cached_;
    std::deque<std::string> cacheOrder_;
    std::size_t cachedBytes_ = 0;
    std::unordered_map<std::uint64_t, internal::PendingStore> pending_;
    std::deque<internal::ExpiringTurn> expiring_; ///< Written by this node.
    std::uint64_t nextNumber_ = 1;
    bool stopped_ = false;
};

TurnStore::Private::Private(TurnStoreHooks hooks, TurnStoreSettings settings)
    : hooks_(std::move(hooks))
    , settings_(settings)
    , replicas_(TurnReplicasHooks{hooks_.now_, hooks_.after_, hooks_.store_}, settings_.replicas_)
    , peers_(TurnPeersHooks{hooks_.now_, hooks_.after_, hooks_.holderOf_, hooks_.askPeer_}, settings_.peers_, replicas_)
{
}

void TurnStore::Private::cache(const std::string &id, const KeptTurnPointer &turn)
{
    if (!cached_.emplace(id, turn).second) {
        return;
    }
    cachedBytes_ += turn->bytes();
    cacheOrder_.push_back(id);
    while (cachedBytes_ > settings_.cacheBytes_ && cacheOrder_.size() > 1) {
        const auto oldest = cached_.find(cacheOrder_.front());
        cachedBytes_ -= oldest->second->bytes();
        cached_.erase(oldest);
        cacheOrder_.pop_front();
    }
}

KeptTurnPointer TurnStore::Private::cached(const std::string &id) const
{
    const auto known = cached_.find(id);
    return known == cached_.end() ? nullptr : known->second;
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
    expiring_.push_back(
        internal::ExpiringTurn{hooks_.now_() + pending.turn_->retention_ + internal::deletionSlack, pending.id_});
    peers_.announce(pending.id_, pending.turn_);
    pending.durable_();
}

void TurnStore::Private::look(const LookupPointer &lookup, const std::vector<std::string> &turns)
{
    std::vector<std::string> unknown;
    for (const std::string &id : turns) {
        const KeptTurnPointer turn = cached(id);
        if (turn) {
            lookup->turns_[id] = turn;
        } else {
            unknown.push_back(id);
        }
    }
    lookup->open_ = unknown.size();
    if (unknown.empty()) {
        lookForAncestors(lookup);
        return;
    }
    peers_.find(
        unknown,
        [self = shared_from_this(), lookup](const std::string &id, ChainStatus status, const KeptTurnPointer &turn) {
            if (!self->stopped_) {
                self->arrived(lookup, id, status, turn);
            }
        });
}

void TurnStore::Private::arrived(const LookupPointer &lookup,
                                 const std::string &id,
                                 ChainStatus status,
                                 const KeptTurnPointer &turn)
{
    if (status != ChainStatus::Found) {
        finish(lookup, status);
        return;
    }
    cache(id, turn);
    lookup->turns_[id] = turn;
    if (--lookup->open_ == 0) {
        lookForAncestors(lookup);
    }
}

/** The newest turn is known, and after the second step all before it are. */
void TurnStore::Private::lookForAncestors(const LookupPointer &lookup)
{
    std::vector<std::string> open;
    for (const std::string &ancestor : lookup->turns_.at(lookup->newest_)->ancestors_) {
        if (lookup->turns_.count(ancestor) == 0) {
            open.push_back(ancestor);
        }
    }
    if (open.empty()) {
        finish(lookup, ChainStatus::Found);
    } else {
        look(lookup, open);
    }
}

void TurnStore::Private::finish(const LookupPointer &lookup, ChainStatus status)
{
    if (!lookup->answer_) {
        return;
    }
    TurnChain chain;
    chain.status_ = status;
    if (status == ChainStatus::Found) {
        chain.turns_ = lookup->turns_.at(lookup->newest_)->ancestors_;
        chain.turns_.push_back(lookup->newest_);
        for (const std::string &id : chain.turns_) {
            chain.text_ += lookup->turns_.at(id)->text_;
        }
    }
    const std::function<void(const TurnChain &)> answer = std::move(lookup->answer_);
    lookup->answer_ = nullptr;
    answer(chain);
}

/** Deletes turns of this node whose retention is over. */
void TurnStore::Private::sweep()
{
    const Time now = hooks_.now_();
    std::map<std::uint32_t, std::vector<KeyedRecord>> due;
    while (!expiring_.empty() && expiring_.front().when_ <= now) {
        const std::string &id = expiring_.front().id_;
        due[replicas_.partitionOf(id)].push_back(KeyedRecord{id, std::nullopt});
        expiring_.pop_front();
    }
    for (std::pair<const std::uint32_t, std::vector<KeyedRecord>> &entry : due) {
        StoreAppend append;
        append.to_ = replicas_.nameOf(entry.first);
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
    : d_(std::make_shared<Private>(std::move(hooks), settings))
{
    d_->sweep();
}

TurnStore::~TurnStore()
{
    d_->stopped_ = true;
}

std::uint64_t TurnStore::store(const std::string &id, KeptTurn turn, std::function<void()> durable)
{
    const std::uint64_t number = d_->nextNumber_++;
    internal::PendingStore pending;
    pending.id_ = id;
    pending.append_.to_ = d_->replicas_.nameOf(d_->replicas_.partitionOf(id));
    pending.append_.timeout_ = d_->settings_.appendTimeout_;
    pending.append_.records_.push_back(KeyedRecord{id, turn.encode()});
    pending.turn_ = std::make_shared<const KeptTurn>(std::move(turn));
    pending.durable_ = std::move(durable);
    d_->cache(id, pending.turn_);
    d_->pending_.emplace(number, std::move(pending));
    d_->send(number);
    return number;
}

void TurnStore::abandon(std::uint64_t number)
{
    d_->pending_.erase(number);
}

bool TurnStore::fits(const KeptTurn &turn) const
{
    constexpr std::size_t overhead = 1024; // Key and framing.
    return turn.bytes() + overhead <= d_->settings_.recordBytes_;
}

void TurnStore::chain(const std::string &turn, std::function<void(const TurnChain &)> answer)
{
    const Private::LookupPointer lookup = std::make_shared<internal::Lookup>();
    lookup->newest_ = turn;
    lookup->answer_ = std::move(answer);
    d_->look(lookup, {turn});
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
