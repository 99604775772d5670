#include "ledger/turnpeers.h"

#include <algorithm>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

const char *const findType = "turns_find";
const char *const announceType = "turn_kept";
/** Of the announcement of a turn, for which no caller waits. */
constexpr Duration announceTimeout{1'000'000};

/** \brief A lookup of several turns. */
struct TurnQuery
{
    std::vector<std::string> turns_;
    Time deadline_{0};
    TurnLookupCallback onResult_;
};

/** \brief Results collected for the lookup of another node. */
struct PendingAnswer
{
    nlohmann::json body_ = {{"turns", nlohmann::json::object()},
                            {"missing", nlohmann::json::array()},
                            {"unavailable", nlohmann::json::array()}};
    std::size_t remaining_ = 0;
    std::function<void(const nlohmann::json &)> send_; ///< Empty once the answer has been sent.

    void send()
    {
        const std::function<void(const nlohmann::json &)> answer = std::move(send_);
        send_ = nullptr;
        if (answer) {
            answer(body_);
        }
    }
};

std::string partitionName(const PartitionId &partition)
{
    return partition.stream_ + '/' + std::to_string(partition.partition_);
}

bool containsId(const nlohmann::json &answer, const char *name, const std::string &id)
{
    if (!answer.contains(name) || !answer[name].is_array()) {
        return false;
    }
    for (const nlohmann::json &entry : answer[name]) {
        if (entry == id) {
            return true;
        }
    }
    return false;
}

/** The time left is for nodes of the former version; others go by the time in the record. */
nlohmann::json encodeTurn(const FoundTurn &found, Time now)
{
    const Duration left = std::max<Duration>(Duration{0}, found.keptUntil_ - now);
    return {{"turn", found.turn_->toJson()}, {"left_ms", static_cast<std::uint64_t>(left.count()) / 1'000}};
}

std::optional<RetainedTurn> decodeTurn(const nlohmann::json &answer, const std::string &id)
{
    if (!answer.contains("turns") || !answer["turns"].is_object() || !answer["turns"].contains(id)) {
        return {};
    }
    const nlohmann::json &entry = answer["turns"][id];
    return entry.is_object() && entry.contains("turn") ? RetainedTurn::fromJson(entry["turn"]) : std::nullopt;
}

} // namespace
} // namespace internal

struct TurnPeers::Private : std::enable_shared_from_this<TurnPeers::Private>
{
    explicit Private(TurnReplicas &replicas)
        : replicas_(replicas)
    {
    }

    std::optional<std::string> holderOf(const std::string &turn);
    void findLocally(const std::string &turn, const TurnLookupCallback &onResult);
    void find(const internal::TurnQuery &query);
    void retryLater(const internal::TurnQuery &query);
    void queryHolder(const std::string &holder, const internal::TurnQuery &query);
    void onHolderAnswer(const internal::TurnQuery &query, const nlohmann::json &answer);
    void handleFind(const nlohmann::json &body, const std::function<void(const nlohmann::json &)> &answer);
    void handleAnnouncement(const nlohmann::json &body);

    TurnPeersHooks hooks_;
    TurnPeersSettings settings_;
    TurnReplicas &replicas_;
    std::map<std::string, Time> skippedUntil_; ///< Holders that did not answer, by address.
    bool stopped_ = false;
};

/** \return nothing if this node looks up the turn itself. */
std::optional<std::string> TurnPeers::Private::holderOf(const std::string &turn)
{
    const PartitionId partition = replicas_.partitionId(replicas_.partitionOf(turn));
    const std::optional<std::string> holder = hooks_.holderOf_(internal::partitionName(partition));
    if (!holder) {
        return std::nullopt;
    }
    const auto skipped = skippedUntil_.find(*holder);
    if (skipped == skippedUntil_.end()) {
        return holder;
    }
    if (skipped->second > hooks_.now_()) {
        return std::nullopt;
    }
    skippedUntil_.erase(skipped);
    return holder;
}

void TurnPeers::Private::findLocally(const std::string &turn, const TurnLookupCallback &onResult)
{
    replicas_.find(turn,
                   [turn, onResult](ChainStatus status, const FoundTurn &found) { onResult(turn, status, found); });
}

void TurnPeers::Private::find(const internal::TurnQuery &query)
{
    if (!hooks_.knowsHolders_()) {
        retryLater(query);
        return;
    }
    std::map<std::string, internal::TurnQuery> byHolder;
    std::vector<std::string> local;
    for (const std::string &turn : query.turns_) {
        const std::optional<std::string> holder = holderOf(turn);
        if (!holder) {
            local.push_back(turn);
            continue;
        }
        internal::TurnQuery &part = byHolder[*holder];
        part.turns_.push_back(turn);
        part.deadline_ = query.deadline_;
        part.onResult_ = query.onResult_;
    }
    for (const std::pair<const std::string, internal::TurnQuery> &entry : byHolder) {
        queryHolder(entry.first, entry.second);
    }
    for (const std::string &turn : local) {
        findLocally(turn, query.onResult_);
    }
}

void TurnPeers::Private::queryHolder(const std::string &holder, const internal::TurnQuery &query)
{
    const auto onAnswer = [self = shared_from_this(), holder, query](const std::optional<nlohmann::json> &answer) {
        if (self->stopped_) {
            return;
        }
        if (answer && answer->is_object()) {
            self->onHolderAnswer(query, *answer);
            return;
        }
        self->skippedUntil_[holder] = self->hooks_.now_() + self->settings_.skipDuration_;
        for (const std::string &turn : query.turns_) {
            self->findLocally(turn, query.onResult_);
        }
    };
    hooks_.askPeer_(holder, internal::findType, {{"turns", query.turns_}}, settings_.queryTimeout_, onAnswer);
}

void TurnPeers::Private::onHolderAnswer(const internal::TurnQuery &query, const nlohmann::json &answer)
{
    internal::TurnQuery pending{{}, query.deadline_, query.onResult_};
    for (const std::string &turn : query.turns_) {
        std::optional<RetainedTurn> found = internal::decodeTurn(answer, turn);
        if (found) {
            const RetainedTurnPointer shared = std::make_shared<const RetainedTurn>(std::move(*found));
            query.onResult_(turn, ChainStatus::Found, replicas_.found(shared));
        } else if (internal::containsId(answer, "missing", turn)) {
            query.onResult_(turn, ChainStatus::Missing, FoundTurn());
        } else if (internal::containsId(answer, "unavailable", turn)) {
            findLocally(turn, query.onResult_);
        } else {
            pending.turns_.push_back(turn);
        }
    }
    if (!pending.turns_.empty()) {
        retryLater(pending);
    }
}

void TurnPeers::Private::retryLater(const internal::TurnQuery &query)
{
    if (hooks_.now_() >= query.deadline_) {
        for (const std::string &turn : query.turns_) {
            query.onResult_(turn, ChainStatus::Unavailable, FoundTurn());
        }
        return;
    }
    hooks_.after_(settings_.pollInterval_, [self = shared_from_this(), query] {
        if (!self->stopped_) {
            self->find(query);
        }
    });
}

/** Answers once all turns are looked up, or after maxAnswerDelay_ with the results so far. */
void TurnPeers::Private::handleFind(const nlohmann::json &body,
                                    const std::function<void(const nlohmann::json &)> &answer)
{
    if (!body.is_object() || !body.contains("turns") || !body["turns"].is_array()) {
        answer({});
        return;
    }
    const std::shared_ptr<internal::PendingAnswer> pending = std::make_shared<internal::PendingAnswer>();
    pending->send_ = answer;
    pending->remaining_ = body["turns"].size();
    const auto onAnswer = [pending,
                           now = hooks_.now_](const std::string &turn, ChainStatus status, const FoundTurn &found) {
        if (status == ChainStatus::Found) {
            pending->body_["turns"][turn] = internal::encodeTurn(found, now());
        } else {
            pending->body_[status == ChainStatus::Missing ? "missing" : "unavailable"].push_back(turn);
        }
        if (--pending->remaining_ == 0) {
            pending->send();
        }
    };
    for (const nlohmann::json &turn : body["turns"]) {
        if (turn.is_string()) {
            findLocally(turn.get<std::string>(), onAnswer);
        } else {
            --pending->remaining_;
        }
    }
    if (pending->remaining_ == 0) {
        pending->send();
        return;
    }
    hooks_.after_(settings_.maxAnswerDelay_, [pending] { pending->send(); });
}

void TurnPeers::Private::handleAnnouncement(const nlohmann::json &body)
{
    if (!body.is_object() || !body.contains("id") || !body["id"].is_string() || !body.contains("turn")) {
        return;
    }
    std::optional<RetainedTurn> turn = RetainedTurn::fromJson(body["turn"]);
    if (turn) {
        replicas_.insert(body["id"].get<std::string>(), std::make_shared<const RetainedTurn>(std::move(*turn)));
    }
}

TurnPeers::TurnPeers(TurnPeersHooks hooks, TurnPeersSettings settings, TurnReplicas &replicas)
    : d_(std::make_shared<Private>(replicas))
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = settings;
}

TurnPeers::~TurnPeers()
{
    d_->stopped_ = true;
}

bool TurnPeers::isHolder(const PartitionId &partition) const
{
    return !d_->hooks_.holderOf_(internal::partitionName(partition)).has_value();
}

void TurnPeers::find(const std::vector<std::string> &turns, const TurnLookupCallback &onResult)
{
    d_->find(internal::TurnQuery{turns, d_->hooks_.now_() + d_->settings_.findTimeout_, onResult});
}

void TurnPeers::announce(const std::string &id, const RetainedTurnPointer &turn)
{
    const std::optional<std::string> holder = d_->holderOf(id);
    if (!holder) {
        d_->replicas_.insert(id, turn);
        return;
    }
    d_->hooks_.askPeer_(*holder,
                        internal::announceType,
                        {{"id", id}, {"turn", turn->toJson()}},
                        internal::announceTimeout,
                        [](const std::optional<nlohmann::json> &) {});
}

bool TurnPeers::onPeerRequest(const std::string &type,
                              const nlohmann::json &body,
                              const std::function<void(const nlohmann::json &)> &answer)
{
    if (type == internal::findType) {
        d_->handleFind(body, answer);
        return true;
    }
    if (type == internal::announceType) {
        d_->handleAnnouncement(body);
        answer({{"kept", true}});
        return true;
    }
    return false;
}

} // namespace filbertgw
