#include "ledger/turnpeers.h"

#include <algorithm>
#include <utility>

namespace filbertgw {

namespace internal {
namespace {

const char *const findType = "turns_find";
const char *const keptType = "turn_kept";
/** Longest time that the announcement of a turn may take; nobody waits for it. */
constexpr Duration announceTimeout{1'000'000};

/** \brief Turns that are asked of one holder. */
struct TurnQuery
{
    std::vector<std::string> turns_;
    Time deadline_{0};
    TurnFound found_;
};

/** \brief What a holder has found for another node so far. */
struct PendingAnswer
{
    nlohmann::json body_ = {{"turns", nlohmann::json::object()},
                            {"missing", nlohmann::json::array()},
                            {"unavailable", nlohmann::json::array()}};
    std::size_t open_ = 0;
    std::function<void(const nlohmann::json &)> send_; ///< Empty once the answer was sent.

    void send()
    {
        const std::function<void(const nlohmann::json &)> answer = std::move(send_);
        send_ = nullptr;
        if (answer) {
            answer(body_);
        }
    }
};

std::string nameOf(const PartitionId &partition)
{
    return partition.stream_ + '/' + std::to_string(partition.partition_);
}

bool lists(const nlohmann::json &answer, const char *name, const std::string &id)
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

nlohmann::json encode(const FoundTurn &found, Time now)
{
    const Duration left = std::max<Duration>(Duration{0}, found.expires_ - now);
    return {{"turn", found.turn_->toJson()}, {"left_ms", static_cast<std::uint64_t>(left.count()) / 1'000}};
}

FoundTurn turnIn(const nlohmann::json &answer, const std::string &id, Time now)
{
    if (!answer.contains("turns") || !answer["turns"].is_object() || !answer["turns"].contains(id)) {
        return {};
    }
    const nlohmann::json &entry = answer["turns"][id];
    const bool isEntry = entry.is_object() && entry.contains("turn") && entry.contains("left_ms")
        && entry["left_ms"].is_number_unsigned();
    std::optional<RetainedTurn> turn = isEntry ? RetainedTurn::fromJson(entry["turn"]) : std::nullopt;
    if (!turn) {
        return {};
    }
    const std::uint64_t leftMs = std::min(entry["left_ms"].get<std::uint64_t>(), RetainedTurn::longestRetentionMs);
    return FoundTurn{std::make_shared<const RetainedTurn>(std::move(*turn)), now + std::chrono::milliseconds(leftMs)};
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
    void findHere(const std::string &turn, const TurnFound &found);
    void find(const internal::TurnQuery &query);
    void findLater(const internal::TurnQuery &query);
    void ask(const std::string &holder, const internal::TurnQuery &query);
    void answered(const internal::TurnQuery &query, const nlohmann::json &answer);
    void serveFind(const nlohmann::json &body, const std::function<void(const nlohmann::json &)> &answer);
    void takeAnnouncement(const nlohmann::json &body);

    TurnPeersHooks hooks_;
    TurnPeersSettings settings_;
    TurnReplicas &replicas_;
    std::map<std::string, Time> silentUntil_; ///< Holders that did not answer, by address.
    bool stopped_ = false;
};

/** \return nothing if this node looks for the turn itself. */
std::optional<std::string> TurnPeers::Private::holderOf(const std::string &turn)
{
    const PartitionId partition = replicas_.nameOf(replicas_.partitionOf(turn));
    const std::optional<std::string> holder = hooks_.holderOf_(internal::nameOf(partition));
    if (!holder) {
        return std::nullopt;
    }
    const auto silent = silentUntil_.find(*holder);
    if (silent == silentUntil_.end()) {
        return holder;
    }
    if (silent->second > hooks_.now_()) {
        return std::nullopt;
    }
    silentUntil_.erase(silent);
    return holder;
}

void TurnPeers::Private::findHere(const std::string &turn, const TurnFound &found)
{
    replicas_.find(turn, [turn, found](ChainStatus status, const FoundTurn &kept) { found(turn, status, kept); });
}

void TurnPeers::Private::find(const internal::TurnQuery &query)
{
    if (!hooks_.knowsHolders_()) {
        findLater(query);
        return;
    }
    std::map<std::string, internal::TurnQuery> byHolder;
    std::vector<std::string> here;
    for (const std::string &turn : query.turns_) {
        const std::optional<std::string> holder = holderOf(turn);
        if (!holder) {
            here.push_back(turn);
            continue;
        }
        internal::TurnQuery &part = byHolder[*holder];
        part.turns_.push_back(turn);
        part.deadline_ = query.deadline_;
        part.found_ = query.found_;
    }
    for (const std::pair<const std::string, internal::TurnQuery> &entry : byHolder) {
        ask(entry.first, entry.second);
    }
    for (const std::string &turn : here) {
        findHere(turn, query.found_);
    }
}

void TurnPeers::Private::ask(const std::string &holder, const internal::TurnQuery &query)
{
    const auto arrived = [self = shared_from_this(), holder, query](const std::optional<nlohmann::json> &answer) {
        if (self->stopped_) {
            return;
        }
        if (answer && answer->is_object()) {
            self->answered(query, *answer);
            return;
        }
        self->silentUntil_[holder] = self->hooks_.now_() + self->settings_.silentFor_;
        for (const std::string &turn : query.turns_) {
            self->findHere(turn, query.found_);
        }
    };
    hooks_.askPeer_(holder, internal::findType, {{"turns", query.turns_}}, settings_.askTimeout_, arrived);
}

void TurnPeers::Private::answered(const internal::TurnQuery &query, const nlohmann::json &answer)
{
    internal::TurnQuery open{{}, query.deadline_, query.found_};
    for (const std::string &turn : query.turns_) {
        const FoundTurn kept = internal::turnIn(answer, turn, hooks_.now_());
        if (kept.turn_) {
            query.found_(turn, ChainStatus::Found, kept);
        } else if (internal::lists(answer, "missing", turn)) {
            query.found_(turn, ChainStatus::Missing, FoundTurn());
        } else if (internal::lists(answer, "unavailable", turn)) {
            findHere(turn, query.found_);
        } else {
            open.turns_.push_back(turn);
        }
    }
    if (!open.turns_.empty()) {
        findLater(open);
    }
}

void TurnPeers::Private::findLater(const internal::TurnQuery &query)
{
    if (hooks_.now_() >= query.deadline_) {
        for (const std::string &turn : query.turns_) {
            query.found_(turn, ChainStatus::Unavailable, FoundTurn());
        }
        return;
    }
    hooks_.after_(settings_.askAgain_, [self = shared_from_this(), query] {
        if (!self->stopped_) {
            self->find(query);
        }
    });
}

/** Answers with all turns, or after answerAfter_ with those that were found by then. */
void TurnPeers::Private::serveFind(const nlohmann::json &body,
                                   const std::function<void(const nlohmann::json &)> &answer)
{
    if (!body.is_object() || !body.contains("turns") || !body["turns"].is_array()) {
        answer({});
        return;
    }
    const std::shared_ptr<internal::PendingAnswer> pending = std::make_shared<internal::PendingAnswer>();
    pending->send_ = answer;
    pending->open_ = body["turns"].size();
    const auto arrived = [pending,
                          now = hooks_.now_](const std::string &turn, ChainStatus status, const FoundTurn &kept) {
        if (status == ChainStatus::Found) {
            pending->body_["turns"][turn] = internal::encode(kept, now());
        } else {
            pending->body_[status == ChainStatus::Missing ? "missing" : "unavailable"].push_back(turn);
        }
        if (--pending->open_ == 0) {
            pending->send();
        }
    };
    for (const nlohmann::json &turn : body["turns"]) {
        if (turn.is_string()) {
            findHere(turn.get<std::string>(), arrived);
        } else {
            --pending->open_;
        }
    }
    if (pending->open_ == 0) {
        pending->send();
        return;
    }
    hooks_.after_(settings_.answerAfter_, [pending] { pending->send(); });
}

void TurnPeers::Private::takeAnnouncement(const nlohmann::json &body)
{
    if (!body.is_object() || !body.contains("id") || !body["id"].is_string() || !body.contains("turn")) {
        return;
    }
    std::optional<RetainedTurn> turn = RetainedTurn::fromJson(body["turn"]);
    if (turn) {
        replicas_.note(body["id"].get<std::string>(), std::make_shared<const RetainedTurn>(std::move(*turn)));
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
    return !d_->hooks_.holderOf_(internal::nameOf(partition)).has_value();
}

void TurnPeers::find(const std::vector<std::string> &turns, const TurnFound &found)
{
    d_->find(internal::TurnQuery{turns, d_->hooks_.now_() + d_->settings_.findTimeout_, found});
}

void TurnPeers::announce(const std::string &id, const RetainedTurnPointer &turn)
{
    const std::optional<std::string> holder = d_->holderOf(id);
    if (!holder) {
        d_->replicas_.note(id, turn);
        return;
    }
    d_->hooks_.askPeer_(*holder,
                        internal::keptType,
                        {{"id", id}, {"turn", turn->toJson()}},
                        internal::announceTimeout,
                        [](const std::optional<nlohmann::json> &) {});
}

bool TurnPeers::onPeerRequest(const std::string &type,
                              const nlohmann::json &body,
                              const std::function<void(const nlohmann::json &)> &answer)
{
    if (type == internal::findType) {
        d_->serveFind(body, answer);
        return true;
    }
    if (type == internal::keptType) {
        d_->takeAnnouncement(body);
        answer({{"kept", true}});
        return true;
    }
    return false;
}

} // namespace filbertgw
