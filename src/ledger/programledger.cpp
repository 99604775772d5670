#include "ledger/programledger.h"

#include "store/streamtail.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace filbertgw {

namespace internal {
namespace {

const char *const ledgerStream = "ledger";
constexpr char spendingPrefix = 'p';
/** A turn starts without a durable reservation only if this many more of its size fit into the budget. */
constexpr std::uint64_t ampleTurns = 4;
/** Records in one append; the rest follows in the next one. */
constexpr std::size_t groupRecords = 2000;
constexpr Duration appendRetry{100'000};
constexpr Duration expiryPeriod{5'000'000};

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/** \brief What one node has recorded of a program. */
struct SpendingRecord
{
    std::uint64_t tokens_ = 0;
    std::uint64_t group_ = 0; ///< Number of the append among those of the writer.
};

std::string encode(const SpendingRecord &record)
{
    return std::to_string(record.tokens_) + ' ' + std::to_string(record.group_);
}

std::optional<SpendingRecord> decode(const std::string &value)
{
    const std::size_t space = value.find(' ');
    const std::optional<std::uint64_t> tokens = parseNumber(value.substr(0, space));
    const std::optional<std::uint64_t> group =
        space == std::string::npos ? std::nullopt : parseNumber(value.substr(space + 1));
    if (!tokens || !group) {
        return std::nullopt;
    }
    return SpendingRecord{*tokens, *group};
}

struct Spending
{
    std::vector<std::pair<std::string, std::uint64_t>> others_; ///< Tokens by writer.
    std::uint64_t own_ = 0; ///< Handed out or reserved by this node.
    bool ownRecorded_ = false;
    bool dirty_ = false;
    Time lastUse_{0};

    std::uint64_t total() const
    {
        return own_ + totalOfOthers();
    }
    std::uint64_t totalOfOthers() const
    {
        std::uint64_t sum = 0;
        for (const std::pair<std::string, std::uint64_t> &other : others_) {
            sum += other.second;
        }
        return sum;
    }
};

/** \brief A turn that waits until its reservation has been read back, after everything that came before it. */
struct WaitingTurn
{
    std::string program_;
    std::uint64_t budget_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint64_t group_ = 0; ///< Number of the append that its reservation is in.
    Time deadline_{0};
    std::function<void(BudgetDecision)> decided_;
};

} // namespace
} // namespace internal

struct ProgramLedger::Private : std::enable_shared_from_this<ProgramLedger::Private>
{
    void onRecord(const KeyedRecord &record);
    void onReachable(bool reachable);
    bool awaitsRecords() const;
    void vouch();
    void onSpending(const std::string &key, const std::optional<std::string> &value);
    void setOther(const std::string &program, const std::string &writer, std::optional<std::uint64_t> tokens);
    void markDirty(const std::string &program, internal::Spending &spending);
    void flushSoon(Duration delay);
    void flush();
    void watchGroup();
    void reportUnrecorded();
    void sendGroup();
    void groupAppended(const StoreAppended &result);
    void groupDurable();
    void decideWaiting(const std::string &program, const internal::SpendingRecord &own);
    void expireWaiting();
    void expire();

    ProgramLedgerHooks hooks_;
    ProgramLedgerSettings settings_;
    std::unique_ptr<StreamTail> tail_;
    std::unordered_map<std::string, internal::Spending> programs_;
    std::vector<std::string> dirty_;
    std::vector<KeyedRecord> others_; ///< Deletions and records of other writers that wait for the next group.
    std::unordered_map<std::string, std::uint64_t> granted_; ///< Without the store, by program and writer.
    std::deque<internal::WaitingTurn> waiting_; ///< Reserved in dirty_ or later.
    std::deque<internal::WaitingTurn> sent_; ///< Their reservation has been sent and was not read back yet.
    StoreAppend group_;
    WriterSequence sequence_;
    Time firstReached_{0}; ///< When the store was reached for the first time.
    Time regained_{0}; ///< End of the last loss of the store that made the knowledge outdated.
    bool appending_ = false;
    bool flushPlanned_ = false;
    bool stopped_ = false;
};

void ProgramLedger::Private::onRecord(const KeyedRecord &record)
{
    if (record.key_.size() < 2) {
        return;
    }
    if (record.key_[0] == internal::spendingPrefix) {
        onSpending(record.key_.substr(1), record.value_);
    }
}

void ProgramLedger::Private::onReachable(bool reachable)
{
    const Time now = hooks_.now_();
    if (reachable && firstReached_ == Time{0}) {
        firstReached_ = now;
    }
    // Also at the start: others may still have to record what they were granted in an outage.
    if (reachable && now - tail_->currentAsOf() > settings_.currentFor_) {
        regained_ = now;
        hooks_.after_(settings_.vouchDelay_, [self = shared_from_this()] {
            if (!self->stopped_) {
                self->vouch();
            }
        });
    }
    if (hooks_.onReachable_) {
        hooks_.onReachable_(reachable);
    }
}

/** True while other nodes may still have to record what they were granted without the store. */
bool ProgramLedger::Private::awaitsRecords() const
{
    if (regained_ == Time{0} || hooks_.now_() - regained_ >= settings_.regainDelay_) {
        return false;
    }
    const bool hasJustStarted = regained_ == firstReached_;
    return !hasJustStarted || !hooks_.allRecorded_ || !hooks_.allRecorded_();
}

/** Records what was granted to writers that have not recorded it themselves: they may have died. */
void ProgramLedger::Private::vouch()
{
    for (const std::pair<const std::string, std::uint64_t> &grant : granted_) {
        others_.push_back(KeyedRecord{internal::spendingPrefix + grant.first, internal::encode({grant.second, 0})});
    }
    granted_.clear();
    flushSoon(settings_.groupDelay_);
}

void ProgramLedger::Private::onSpending(const std::string &key, const std::optional<std::string> &value)
{
    const std::size_t slash = key.rfind('/');
    if (slash == std::string::npos) {
        return;
    }
    const std::string program = key.substr(0, slash);
    const std::string writer = key.substr(slash + 1);
    const std::optional<internal::SpendingRecord> record = value ? internal::decode(*value) : std::nullopt;
    if (writer != settings_.writer_) {
        granted_.erase(key);
        setOther(program, writer, record ? std::optional<std::uint64_t>(record->tokens_) : std::nullopt);
    } else if (record) {
        decideWaiting(program, *record);
    }
}

/** Sets or, without a number, removes what another writer has spent. */
void ProgramLedger::Private::setOther(const std::string &program,
                                      const std::string &writer,
                                      std::optional<std::uint64_t> tokens)
{
    internal::Spending &spending = programs_[program];
    spending.lastUse_ = hooks_.now_();
    for (auto other = spending.others_.begin(); other != spending.others_.end(); ++other) {
        if (other->first == writer) {
            if (tokens) {
                other->second = *tokens;
            } else {
                spending.others_.erase(other);
            }
            return;
        }
    }
    if (tokens) {
        spending.others_.emplace_back(writer, *tokens);
    }
}

void ProgramLedger::Private::markDirty(const std::string &program, internal::Spending &spending)
{
    spending.lastUse_ = hooks_.now_();
    if (!spending.dirty_) {
        spending.dirty_ = true;
        dirty_.push_back(program);
    }
}

void ProgramLedger::Private::flushSoon(Duration delay)
{
    if (delay == Duration{0}) {
        flush();
        return;
    }
    if (flushPlanned_ || appending_) {
        return;
    }
    flushPlanned_ = true;
    hooks_.after_(delay, [self = shared_from_this()] {
        self->flushPlanned_ = false;
        self->flush();
    });
}

void ProgramLedger::Private::flush()
{
    if (appending_ || stopped_ || (dirty_.empty() && others_.empty())) {
        return;
    }
    group_.to_ = PartitionId{internal::ledgerStream, 0};
    group_.records_.clear();
    group_.records_.swap(others_);
    ++sequence_.sequence_;
    std::vector<std::string> later;
    for (const std::string &program : dirty_) {
        if (group_.records_.size() >= internal::groupRecords) {
            later.push_back(program);
            continue;
        }
        internal::Spending &spending = programs_[program];
        spending.dirty_ = false;
        spending.ownRecorded_ = true;
        group_.records_.push_back(KeyedRecord{internal::spendingPrefix + program + '/' + settings_.writer_,
                                              internal::encode({spending.own_, sequence_.sequence_})});
    }
    dirty_.swap(later);
    // A turn whose program is still dirty keeps waiting for a later group.
    for (auto turn = waiting_.begin(); turn != waiting_.end();) {
        if (programs_[turn->program_].dirty_) {
            ++turn;
            continue;
        }
        turn->group_ = sequence_.sequence_;
        sent_.push_back(std::move(*turn));
        turn = waiting_.erase(turn);
    }
    group_.sequence_ = sequence_;
    appending_ = true;
    watchGroup();
    sendGroup();
}

/** Reports, again and again while the group is not durable, the programs whose spending is not recorded. */
void ProgramLedger::Private::watchGroup()
{
    hooks_.after_(settings_.unrecordedAfter_, [self = shared_from_this(), number = sequence_.sequence_] {
        if (self->stopped_ || !self->appending_ || number != self->sequence_.sequence_) {
            return;
        }
        self->reportUnrecorded();
        self->watchGroup();
    });
}

void ProgramLedger::Private::reportUnrecorded()
{
    if (!hooks_.onUnrecorded_) {
        return;
    }
    const std::string ownEnd = '/' + settings_.writer_;
    for (const KeyedRecord &record : group_.records_) {
        const bool isOwn = record.value_ && record.key_.size() > ownEnd.size()
            && record.key_.compare(record.key_.size() - ownEnd.size(), ownEnd.size(), ownEnd) == 0;
        if (isOwn) {
            hooks_.onUnrecorded_(record.key_.substr(1, record.key_.size() - ownEnd.size() - 1));
        }
    }
    for (const std::string &program : dirty_) {
        hooks_.onUnrecorded_(program);
    }
}

void ProgramLedger::Private::sendGroup()
{
    hooks_.store_.append_(group_, [self = shared_from_this()](const StoreAppended &result) {
        if (!self->stopped_) {
            self->groupAppended(result);
        }
    });
}

void ProgramLedger::Private::groupAppended(const StoreAppended &result)
{
    if (result.status_ == StoreStatus::Ok) {
        groupDurable();
        return;
    }
    if (result.status_ == StoreStatus::Fenced && result.expectedSequence_ == sequence_.sequence_ + 1) {
        // An earlier try took effect and its answer was lost.
        groupDurable();
        return;
    }
    if (result.status_ == StoreStatus::Fenced) {
        ++sequence_.epoch_;
        group_.sequence_ = sequence_;
    }
    // The same group under the same number: it takes effect once, however many tries arrive.
    hooks_.after_(internal::appendRetry, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->sendGroup();
        }
    });
}

void ProgramLedger::Private::groupDurable()
{
    appending_ = false;
    group_.records_.clear();
    if (!sent_.empty()) {
        tail_->readNow();
    }
    if (!waiting_.empty()) {
        flush();
    } else if (!dirty_.empty() || !others_.empty()) {
        flushSoon(settings_.groupDelay_);
    }
}

/**
 * Decides about the turns whose reservations are in a record that has been read back: what other nodes have recorded
 * before it counts, what comes later does not. So the first of several concurrent reservations is granted.
 */
void ProgramLedger::Private::decideWaiting(const std::string &program, const internal::SpendingRecord &own)
{
    std::vector<internal::WaitingTurn> turns;
    std::uint64_t spent = own.tokens_;
    for (auto turn = sent_.begin(); turn != sent_.end();) {
        if (turn->program_ != program || turn->group_ != own.group_) {
            ++turn;
            continue;
        }
        spent -= std::min(spent, turn->tokens_);
        turns.push_back(std::move(*turn));
        turn = sent_.erase(turn);
    }
    for (const internal::WaitingTurn &turn : turns) {
        internal::Spending &spending = programs_[program];
        const bool fits = spent + spending.totalOfOthers() + turn.tokens_ <= turn.budget_;
        if (fits) {
            spent += turn.tokens_;
        } else {
            spending.own_ -= turn.tokens_;
            markDirty(program, spending);
            flushSoon(settings_.groupDelay_);
        }
        turn.decided_(fits ? BudgetDecision::Granted : BudgetDecision::Exhausted);
    }
}

/** Gives up on turns whose reservation does not become durable in time; the reservation is taken back. */
void ProgramLedger::Private::expireWaiting()
{
    const Time now = hooks_.now_();
    for (std::deque<internal::WaitingTurn> *queue : {&waiting_, &sent_}) {
        std::vector<internal::WaitingTurn> late;
        for (auto turn = queue->begin(); turn != queue->end();) {
            if (turn->deadline_ > now) {
                ++turn;
                continue;
            }
            late.push_back(std::move(*turn));
            turn = queue->erase(turn);
        }
        for (const internal::WaitingTurn &turn : late) {
            internal::Spending &spending = programs_[turn.program_];
            spending.own_ -= turn.tokens_;
            markDirty(turn.program_, spending);
            turn.decided_(BudgetDecision::Unavailable);
        }
    }
    flushSoon(settings_.groupDelay_);
}

void ProgramLedger::Private::expire()
{
    const Time oldest = hooks_.now_() - settings_.retention_;
    for (auto entry = programs_.begin(); entry != programs_.end();) {
        if (entry->second.lastUse_ >= oldest || entry->second.dirty_) {
            ++entry;
            continue;
        }
        if (entry->second.ownRecorded_) {
            others_.push_back(
                KeyedRecord{internal::spendingPrefix + entry->first + '/' + settings_.writer_, std::nullopt});
        }
        entry = programs_.erase(entry);
    }
    if (!others_.empty()) {
        flushSoon(settings_.groupDelay_);
    }
    hooks_.after_(internal::expiryPeriod, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->expire();
        }
    });
}

ProgramLedger::ProgramLedger(ProgramLedgerHooks hooks, ProgramLedgerSettings settings)
    : d_(std::make_shared<Private>())
{
    d_->hooks_ = std::move(hooks);
    d_->settings_ = std::move(settings);
    d_->sequence_.writer_ = d_->settings_.writer_;
    StreamTailHooks tail;
    tail.now_ = d_->hooks_.now_;
    tail.after_ = d_->hooks_.after_;
    tail.store_ = d_->hooks_.store_;
    tail.onReachable_ = [d = d_.get()](bool reachable) { d->onReachable(reachable); };
    tail.onRecord_ = [d = d_.get()](const KeyedRecord &record) { d->onRecord(record); };
    StreamTailSettings tailSettings;
    tailSettings.partition_ = PartitionId{internal::ledgerStream, 0};
    tailSettings.pause_ = d_->settings_.readPause_;
    tailSettings.wait_ = d_->settings_.currentFor_ / 3;
    d_->tail_ = std::make_unique<StreamTail>(std::move(tail), std::move(tailSettings));
}

ProgramLedger::~ProgramLedger()
{
    d_->stopped_ = true;
    d_->tail_.reset();
}

void ProgramLedger::start()
{
    d_->tail_->start();
    d_->expire();
}

bool ProgramLedger::isCurrent() const
{
    const Time now = d_->hooks_.now_();
    return d_->tail_->isComplete() && now - d_->tail_->currentAsOf() <= d_->settings_.currentFor_
        && !d_->awaitsRecords();
}

bool ProgramLedger::knowsGrants() const
{
    // As of the last read: it must not become true within an outage, since others have decided until then.
    return isComplete() && d_->tail_->currentAsOf() - d_->firstReached_ >= d_->settings_.regainDelay_;
}

bool ProgramLedger::isReachable() const
{
    return d_->tail_->isReachable();
}

bool ProgramLedger::isComplete() const
{
    return d_->tail_->isComplete();
}

void ProgramLedger::reserve(const TurnReservation &turn, std::function<void(BudgetDecision)> decided)
{
    const auto known = d_->programs_.find(turn.program_);
    const std::uint64_t before = known == d_->programs_.end() ? 0 : known->second.total();
    if (before + turn.tokens_ > turn.budget_) {
        decided(BudgetDecision::Exhausted);
        return;
    }
    if (!isCurrent()) {
        decided(BudgetDecision::Unavailable);
        return;
    }
    internal::Spending &spending = d_->programs_[turn.program_];
    const bool begins = before == 0 && turn.mainLine_;
    const bool servedHereOnly = spending.own_ > 0 && spending.others_.empty();
    const bool ample = before + (1 + internal::ampleTurns) * turn.tokens_ <= turn.budget_;
    spending.own_ += turn.tokens_;
    d_->markDirty(turn.program_, spending);
    if (begins || (servedHereOnly && ample)) {
        d_->flushSoon(d_->settings_.groupDelay_);
        decided(BudgetDecision::Granted);
        return;
    }
    const Time deadline = d_->hooks_.now_() + d_->settings_.strictTimeout_;
    d_->waiting_.push_back(
        internal::WaitingTurn{turn.program_, turn.budget_, turn.tokens_, 0, deadline, std::move(decided)});
    d_->hooks_.after_(d_->settings_.strictTimeout_, [d = d_] {
        if (!d->stopped_) {
            d->expireWaiting();
        }
    });
    d_->flush();
}

BudgetDecision
ProgramLedger::reserveWithoutStore(const TurnReservation &turn, const std::string &writer, std::uint64_t own)
{
    if (!knowsGrants()) {
        return BudgetDecision::Unavailable;
    }
    const bool isOwn = writer == d_->settings_.writer_;
    if (!isOwn && own > 0) {
        d_->setOther(turn.program_, writer, own);
    }
    const internal::Spending &spending = d_->programs_[turn.program_];
    if (spending.total() + turn.tokens_ > turn.budget_) {
        return BudgetDecision::Exhausted;
    }
    if (isOwn) {
        takeGrant(turn.program_, turn.tokens_);
    } else {
        noteGrant(turn.program_, writer, own + turn.tokens_);
    }
    return BudgetDecision::Granted;
}

void ProgramLedger::noteGrant(const std::string &program, const std::string &writer, std::uint64_t spent)
{
    if (writer == d_->settings_.writer_) {
        return;
    }
    // Notes may overtake each other; too high a figure only refuses too much, until the writer's own record is read.
    const internal::Spending &spending = d_->programs_[program];
    for (const std::pair<std::string, std::uint64_t> &other : spending.others_) {
        if (other.first == writer) {
            spent = std::max(spent, other.second);
        }
    }
    d_->setOther(program, writer, spent);
    d_->granted_[program + '/' + writer] = spent;
}

void ProgramLedger::takeGrant(const std::string &program, std::uint64_t tokens)
{
    internal::Spending &spending = d_->programs_[program];
    spending.own_ += tokens;
    d_->markDirty(program, spending);
    d_->flushSoon(d_->settings_.groupDelay_);
}

std::uint64_t ProgramLedger::ownSpending(const std::string &program) const
{
    const auto found = d_->programs_.find(program);
    return found == d_->programs_.end() ? 0 : found->second.own_;
}

std::vector<std::pair<std::string, std::uint64_t>> ProgramLedger::spendingByWriter(const std::string &program) const
{
    const auto found = d_->programs_.find(program);
    if (found == d_->programs_.end()) {
        return {};
    }
    std::vector<std::pair<std::string, std::uint64_t>> result = found->second.others_;
    result.emplace_back(d_->settings_.writer_, found->second.own_);
    return result;
}

const std::string &ProgramLedger::writer() const
{
    return d_->settings_.writer_;
}

void ProgramLedger::settle(const std::string &program, std::uint64_t reserved, std::uint64_t used)
{
    if (reserved == used) {
        return;
    }
    internal::Spending &spending = d_->programs_[program];
    spending.own_ = spending.own_ + used - reserved;
    d_->markDirty(program, spending);
    d_->flushSoon(d_->settings_.groupDelay_);
}

std::uint64_t ProgramLedger::spent(const std::string &program) const
{
    const auto found = d_->programs_.find(program);
    return found == d_->programs_.end() ? 0 : found->second.total();
}

bool ProgramLedger::isFlushed() const
{
    return !d_->appending_ && d_->dirty_.empty() && d_->others_.empty();
}

std::size_t ProgramLedger::programs() const
{
    return d_->programs_.size();
}

} // namespace filbertgw
