#include "ledger/turnstore.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace filbertgw {

namespace internal {
namespace {

/** A turn before the one that is stored is written again if it stays for less than this beyond the new one. */
constexpr Duration renewalMargin{15'000'000};

/** \brief One lookup of a chain. */
struct Lookup
{
    std::string newest_;
    std::unordered_map<std::string, FoundTurn> turns_; ///< Found so far.
    std::size_t open_ = 0; ///< Turns that are being looked for.
    std::function<void(const TurnChain &)> answer_; ///< Empty once answered.
};

/** \brief Records of one turn that are being stored: its own, and those of turns before it that are written again. */
struct PendingStore
{
    std::unordered_map<std::string, FoundTurn> open_; ///< Not durable yet, by id.
    std::function<void()> durable_;
};

/** \brief A turn whose text contains those of all turns before it, so that it needs none of them. */
EndedTurn joined(const EndedTurn &turn)
{
    EndedTurn whole;
    whole.id_ = turn.id_;
    whole.retention_ = turn.retention_;
    for (const ChainTurn &before : turn.chain_) {
        whole.text_ += before.found_.turn_->text_;
    }
    whole.text_ += turn.text_;
    return whole;
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
    void send(std::uint64_t number, const std::string &id);
    void appended(std::uint64_t number, const std::string &id, StoreStatus status);
    void look(const LookupPointer &lookup, const std::vector<std::string> &turns);
    void arrived(const LookupPointer &lookup, const std::string &id, ChainStatus status, const FoundTurn &turn);
    void lookForAncestors(const LookupPointer &lookup);
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
                                  hooks_.after_,
                                  hooks_.store_,
                                  [this](const PartitionId &partition) { return peers_.isHolder(partition); }},
                settings_.replicas_)
    , peers_(TurnPeersHooks{hooks_.now_, hooks_.after_, hooks_.holderOf_, hooks_.knowsHolders_, hooks_.askPeer_},
             settings_.peers_,
             replicas_)
{
}

void TurnStore::Private::cache(const std::string &id, const FoundTurn &turn)
{
    const auto known = cached_.find(id);
    if (known != cached_.end()) {
        known->second.expires_ = std::max(known->second.expires_, turn.expires_);
        return;
    }
    cached_.emplace(id, turn);
    cachedBytes_ += turn.turn_->bytes();
    cacheOrder_.push_back(id);
    while (cachedBytes_ > settings_.cacheBytes_ && cacheOrder_.size() > 1) {
        const auto oldest = cached_.find(cacheOrder_.front());
        cachedBytes_ -= oldest->second.turn_->bytes();
        cached_.erase(oldest);
        cacheOrder_.pop_front();
    }
}

FoundTurn TurnStore::Private::cached(const std::string &id) const
{
    const auto known = cached_.find(id);
    return known == cached_.end() ? FoundTurn() : known->second;
}

RetainedTurnPointer TurnStore::Private::recordOf(const EndedTurn &turn)
{
    RetainedTurn record;
    for (const ChainTurn &before : turn.chain_) {
        record.ancestors_.push_back(before.id_);
    }
    record.text_ = turn.text_;
    record.retention_ = turn.retention_;
    return std::make_shared<const RetainedTurn>(std::move(record));
}

void TurnStore::Private::send(std::uint64_t number, const std::string &id)
{
    const auto pending = pending_.find(number);
    if (pending == pending_.end() || stopped_) {
        return;
    }
    StoreAppend append;
    append.to_ = replicas_.nameOf(replicas_.partitionOf(id));
    append.timeout_ = settings_.appendTimeout_;
    append.records_.push_back(KeyedRecord{id, pending->second.open_.at(id).turn_->encode()});
    hooks_.store_.append_(std::move(append), [self = shared_from_this(), number, id](const StoreAppended &result) {
        if (!self->stopped_) {
            self->appended(number, id, result.status_);
        }
    });
}

void TurnStore::Private::appended(std::uint64_t number, const std::string &id, StoreStatus status)
{
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
        return;
    }
    if (status != StoreStatus::Ok) {
        hooks_.after_(settings_.retry_, [self = shared_from_this(), number, id] { self->send(number, id); });
        return;
    }
    internal::PendingStore &pending = found->second;
    FoundTurn turn = std::move(pending.open_.at(id));
    pending.open_.erase(id);
    turn.expires_ = hooks_.now_() + turn.turn_->retention_ + TurnReplicas::retentionSlack;
    cache(id, turn);
    peers_.announce(id, turn.turn_);
    if (pending.open_.empty()) {
        const std::function<void()> durable = std::move(pending.durable_);
        pending_.erase(found);
        durable();
    }
}

void TurnStore::Private::look(const LookupPointer &lookup, const std::vector<std::string> &turns)
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
    lookup->open_ = unknown.size();
    if (unknown.empty()) {
        lookForAncestors(lookup);
        return;
    }
    peers_.find(unknown,
                [self = shared_from_this(), lookup](const std::string &id, ChainStatus status, const FoundTurn &turn) {
                    if (!self->stopped_) {
                        self->arrived(lookup, id, status, turn);
                    }
                });
}

void TurnStore::Private::arrived(const LookupPointer &lookup,
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
    if (--lookup->open_ == 0) {
        lookForAncestors(lookup);
    }
}

/** The newest turn is known, and after the second step all before it are. */
void TurnStore::Private::lookForAncestors(const LookupPointer &lookup)
{
    std::vector<std::string> open;
    for (const std::string &ancestor : lookup->turns_.at(lookup->newest_).turn_->ancestors_) {
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
        std::vector<std::string> ids = lookup->turns_.at(lookup->newest_).turn_->ancestors_;
        ids.push_back(lookup->newest_);
        for (const std::string &id : ids) {
            const FoundTurn &turn = lookup->turns_.at(id);
            chain.text_ += turn.turn_->text_;
            chain.turns_.push_back(ChainTurn{id, turn});
        }
    }
    const std::function<void(const TurnChain &)> answer = std::move(lookup->answer_);
    lookup->answer_ = nullptr;
    answer(chain);
}

TurnStore::TurnStore(TurnStoreHooks hooks, TurnStoreSettings settings)
    : d_(std::make_shared<Private>(std::move(hooks), settings))
{
}

TurnStore::~TurnStore()
{
    d_->stopped_ = true;
    // Lookups that wait for a read own the private data, which therefore outlive this object.
    d_->replicas_.stop();
}

std::uint64_t TurnStore::store(const EndedTurn &turn, std::function<void()> durable)
{
    const std::uint64_t number = d_->nextNumber_++;
    internal::PendingStore pending;
    pending.durable_ = std::move(durable);
    const Time needed = d_->hooks_.now_() + turn.retention_ + internal::renewalMargin;
    const auto endsEarly = [needed](const ChainTurn &before) { return before.found_.expires_ < needed; };
    const bool renews = std::any_of(turn.chain_.begin(), turn.chain_.end(), endsEarly);
    EndedTurn whole = renews ? internal::joined(turn) : turn;
    if (renews && !fits(whole)) {
        whole = turn;
        for (const ChainTurn &before : turn.chain_) {
            if (endsEarly(before)) {
                pending.open_[before.id_] = before.found_;
            }
        }
    }
    pending.open_[turn.id_] = FoundTurn{Private::recordOf(whole), Time{0}};
    std::vector<std::string> ids;
    for (const std::pair<const std::string, FoundTurn> &entry : pending.open_) {
        ids.push_back(entry.first);
    }
    d_->pending_.emplace(number, std::move(pending));
    for (const std::string &id : ids) {
        d_->send(number, id);
    }
    return number;
}

void TurnStore::abandon(std::uint64_t number)
{
    d_->pending_.erase(number);
}

bool TurnStore::fits(const EndedTurn &turn) const
{
    constexpr std::size_t overhead = 1024; // Key and framing.
    return Private::recordOf(turn)->bytes() + overhead <= d_->settings_.recordBytes_;
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
