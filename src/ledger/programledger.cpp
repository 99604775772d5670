#include "ledger/programledger.h"

#include "ledger/batchappender.h"
#include "store/streamtail.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace filbertgw {

namespace internal {
namespace {

const char *const ledgerStream = "ledger";
constexpr char spendingPrefix = 'p';
/** An allowance is the remaining budget divided by this, so that enough remains if the node that holds it is lost. */
constexpr std::uint64_t allowanceDivisor = 3;
/** Maximum number of own spending records in an append; further ones follow in the next append. */
constexpr std::size_t maxBatchRecords = 2000;
constexpr Duration idleCheckInterval{5'000'000};
/** A program's budget is 1.5 times the most that it needs, so that it can end although this part counts as spent. */
constexpr std::uint64_t outageReserveDivisor = 3;
/** Records are not relied on to exist for this time before they may be deleted; longer than an outage. */
constexpr Duration retentionMargin{30'000'000};

/** \brief A turn that waits until its reservation and all records before it have been read back. */
struct WaitingTurn
{
    std::string program_;
    std::uint64_t budget_ = 0;
    std::uint64_t tokens_ = 0; ///< To be reserved.
    std::uint64_t fromAllowance_ = 0; ///< Taken from an allowance that did not cover the whole turn.
    std::uint64_t batch_ = 0; ///< Number of the batch that contains its reservation.
    Time deadline_{0};
    bool isAllowance_ = false; ///< True for the reservation of an allowance; no turn waits for its decision.
    std::function<void(BudgetDecision)> onDecision_;
};

/** \brief A record of this node, as it was read. */
struct OwnRecord
{
    SpendingRecord record_;
    std::uint64_t offset_ = 0;
};

} // namespace
} // namespace internal

struct ProgramLedger::Private : std::enable_shared_from_this<ProgramLedger::Private>
{
    Private(ProgramLedgerHooks hooks, ProgramLedgerSettings settings);

    void onRecord(const KeyedRecord &record);
    void onReachable(bool reachable);
    bool awaitsPeerRecords() const;
    void recordPeerGrants();
    void onSpending(const KeyedRecord &read);
    void decideSnapshotTurns();
    Duration batchDelay() const;
    void scheduleFlush(Duration delay);
    void flush();
    static KeyedRecord reserveRecord(const std::string &program, std::optional<std::string> value);
    void reportUnrecorded();
    void onBatchDurable();
    void decideTurns(const std::string &program, const SpendingRecord &own);
    void releaseReservation(const internal::WaitingTurn &turn);
    void acquireAllowance(const TurnReservation &turn);
    void expireWaitingTurns();
    void removeIdlePrograms();

    ProgramLedgerHooks hooks_;
    ProgramLedgerSettings settings_;
    std::unique_ptr<StreamTail> tail_;
    SpendingTable spending_;
    std::vector<KeyedRecord> otherRecords_; ///< Deletions and records of other writers for the next batch.
    std::deque<internal::WaitingTurn> waiting_; ///< Turns whose reservation has not been sent yet.
    std::deque<internal::WaitingTurn> sent_; ///< Turns whose reservation has been sent but not read back yet.
    std::map<std::string, internal::OwnRecord> ownInSnapshot_; ///< By program; not decided by yet.
    std::unique_ptr<BatchAppender> appender_;
    std::vector<std::pair<std::string, SpendingRecord>> ownInBatch_; ///< Own spending in the current batch, by program.
    Time recordReadAt_{0}; ///< When a record of a program was last read.
    std::set<std::string> sentReserves_; ///< Programs whose outage reserve has been sent to the store.
    Time firstReachedAt_{0}; ///< When the store was reached for the first time.
    Time regainedAt_{0}; ///< End of the last outage that was longer than maxAge_.
    Time flushAt_{0}; ///< When the next batch is due; 0 if none is scheduled.
    bool firstTurnWaits_ = false; ///< A program has started since the last batch.
    bool stopped_ = false;
};

ProgramLedger::Private::Private(ProgramLedgerHooks hooks, ProgramLedgerSettings settings)
    : hooks_(std::move(hooks))
    , settings_(std::move(settings))
    , spending_(settings_.writer_, hooks_.now_)
{
}

void ProgramLedger::Private::onRecord(const KeyedRecord &record)
{
    if (record.key_.size() < 2) {
        return;
    }
    if (record.key_[0] == internal::spendingPrefix) {
        if (record.value_) {
            recordReadAt_ = hooks_.now_();
        }
        onSpending(record);
    }
}

void ProgramLedger::Private::onReachable(bool reachable)
{
    const Time now = hooks_.now_();
    if (reachable && firstReachedAt_ == Time{0}) {
        firstReachedAt_ = now;
    }
    // Also true at startup, when other nodes may still have grants from an outage to record.
    if (reachable && now - tail_->currentAsOf() > settings_.maxAge_) {
        regainedAt_ = now;
        hooks_.after_(settings_.recordPeerGrantsDelay_, [self = shared_from_this()] {
            if (!self->stopped_) {
                self->recordPeerGrants();
            }
        });
    }
    if (hooks_.onReachable_) {
        hooks_.onReachable_(reachable);
    }
}

/** True while other nodes may still have to record grants that they received without the store. */
bool ProgramLedger::Private::awaitsPeerRecords() const
{
    if (regainedAt_ == Time{0} || hooks_.now_() - regainedAt_ >= settings_.recoveryDelay_) {
        return false;
    }
    const bool hasJustStarted = regainedAt_ == firstReachedAt_;
    return !hasJustStarted || !hooks_.allGrantsRecorded_ || !hooks_.allGrantsRecorded_();
}

/** Records grants of writers that have not recorded them themselves and may have died. */
void ProgramLedger::Private::recordPeerGrants()
{
    for (const ProgramSpending &grant : spending_.unrecordedGrants()) {
        const SpendingRecord record{grant.spending_.tokens_, grant.spending_.batch_, 0, true};
        if (grant.spending_.writer_ == SpendingTable::outageReserveWriter) {
            sentReserves_.insert(grant.program_);
        }
        otherRecords_.push_back(
            KeyedRecord{internal::spendingPrefix + grant.program_ + '/' + grant.spending_.writer_, record.encode()});
    }
    scheduleFlush(batchDelay());
}

void ProgramLedger::Private::onSpending(const KeyedRecord &read)
{
    const std::string key = read.key_.substr(1);
    const std::optional<std::string> &value = read.value_;
    const std::size_t slash = key.rfind('/');
    if (slash == std::string::npos) {
        return;
    }
    const std::string program = key.substr(0, slash);
    const std::string writer = key.substr(slash + 1);
    const std::optional<SpendingRecord> record = value ? SpendingRecord::decode(*value) : std::nullopt;
    if (writer != settings_.writer_) {
        spending_.applyRecord(program, writer, record);
    } else if (record && record->recordedByPeer_) {
        if (record->tokens_ != spending_.own(program)) {
            // Another node has overwritten this node's record with an older total.
            spending_.markDirty(program);
            scheduleFlush(batchDelay());
        }
    } else if (record && tail_->isReadingSnapshot()) {
        ownInSnapshot_[program] = internal::OwnRecord{*record, read.offset_};
    } else if (record) {
        ownInSnapshot_.erase(program);
        decideTurns(program, *record);
    }
}

/**
 * Decides the turns whose reservations were read among the newest records, where older reservations of other writers
 * may follow. They are decided once all records before their own have been reported.
 */
void ProgramLedger::Private::decideSnapshotTurns()
{
    const std::map<std::string, internal::OwnRecord> read = std::exchange(ownInSnapshot_, {});
    for (const std::pair<const std::string, internal::OwnRecord> &own : read) {
        if (own.second.offset_ < tail_->position()) {
            decideTurns(own.first, own.second.record_);
        } else {
            ownInSnapshot_.insert(own);
        }
    }
}

Duration ProgramLedger::Private::batchDelay() const
{
    const std::size_t nodes = hooks_.nodes_ ? hooks_.nodes_() : 1;
    const Duration maxDelay = firstTurnWaits_ ? settings_.maxFirstTurnDelay_ : settings_.maxBatchDelay_;
    return std::clamp<Duration>(settings_.batchDelayPerNode_ * nodes, settings_.minBatchDelay_, maxDelay);
}

void ProgramLedger::Private::scheduleFlush(Duration delay)
{
    if (delay == Duration{0}) {
        flush();
        return;
    }
    const Time at = hooks_.now_() + delay;
    const bool isPlanned = flushAt_ != Time{0} && flushAt_ <= at;
    if (stopped_ || isPlanned || appender_->isBusy()) {
        return;
    }
    flushAt_ = at;
    hooks_.after_(delay, [self = shared_from_this(), at] {
        if (self->flushAt_ == at) {
            self->flushAt_ = Time{0};
            self->flush();
        }
    });
}

void ProgramLedger::Private::flush()
{
    if (stopped_ || appender_->isBusy() || (spending_.dirty().empty() && otherRecords_.empty())) {
        return;
    }
    firstTurnWaits_ = false;
    const std::uint64_t number = appender_->nextBatch();
    std::vector<KeyedRecord> batch;
    batch.swap(otherRecords_);
    ownInBatch_ = spending_.takeDirty(internal::maxBatchRecords, number);
    for (const std::pair<std::string, SpendingRecord> &entry : ownInBatch_) {
        batch.push_back(
            KeyedRecord{internal::spendingPrefix + entry.first + '/' + settings_.writer_, entry.second.encode()});
        // In the same append: the store must never show a part of what an outage granted without the reserve.
        if (const std::optional<SpendingRecord> reserve = spending_.unrecordedReserve(entry.first)) {
            batch.push_back(reserveRecord(entry.first, reserve->encode()));
            sentReserves_.insert(entry.first);
        }
    }
    // Turns of programs whose spending did not fit into this batch wait for a later one.
    for (auto turn = waiting_.begin(); turn != waiting_.end();) {
        if (spending_.isDirty(turn->program_)) {
            ++turn;
            continue;
        }
        turn->batch_ = number;
        sent_.push_back(std::move(*turn));
        turn = waiting_.erase(turn);
    }
    appender_->append(std::move(batch));
}

KeyedRecord ProgramLedger::Private::reserveRecord(const std::string &program, std::optional<std::string> value)
{
    return KeyedRecord{internal::spendingPrefix + program + '/' + SpendingTable::outageReserveWriter, std::move(value)};
}

/** Reports the programs with spending that is not recorded yet. */
void ProgramLedger::Private::reportUnrecorded()
{
    if (!hooks_.onUnrecorded_) {
        return;
    }
    for (const std::pair<std::string, SpendingRecord> &entry : ownInBatch_) {
        hooks_.onUnrecorded_(entry.first);
    }
    for (const std::string &program : spending_.dirty()) {
        hooks_.onUnrecorded_(program);
    }
}

void ProgramLedger::Private::onBatchDurable()
{
    for (const std::pair<std::string, SpendingRecord> &entry : ownInBatch_) {
        spending_.setOwnRecorded(entry.first, entry.second.tokens_);
    }
    ownInBatch_.clear();
    const auto isAwaited = [](const internal::WaitingTurn &turn) { return !turn.isAllowance_; };
    if (std::any_of(sent_.begin(), sent_.end(), isAwaited)) {
        tail_->readNow();
    }
    if (std::any_of(waiting_.begin(), waiting_.end(), isAwaited)) {
        flush();
    } else if (!spending_.dirty().empty() || !otherRecords_.empty()) {
        scheduleFlush(batchDelay());
    }
}

/**
 * Decides the turns whose reservations are contained in \p own, a record of this node that has been read back. Records
 * of other nodes count if they precede it, so that the first of several concurrent reservations is granted.
 */
void ProgramLedger::Private::decideTurns(const std::string &program, const SpendingRecord &own)
{
    std::vector<internal::WaitingTurn> turns;
    std::uint64_t spent = own.tokens_;
    for (auto turn = sent_.begin(); turn != sent_.end();) {
        if (turn->program_ != program || turn->batch_ != own.batch_) {
            ++turn;
            continue;
        }
        spent -= std::min(spent, turn->tokens_);
        turns.push_back(std::move(*turn));
        turn = sent_.erase(turn);
    }
    for (const internal::WaitingTurn &turn : turns) {
        const bool fits = spent + spending_.totalOfOthers(program) + turn.tokens_ <= turn.budget_;
        if (fits) {
            spent += turn.tokens_;
        } else {
            releaseReservation(turn);
        }
        turn.onDecision_(fits ? BudgetDecision::Granted : BudgetDecision::Exhausted);
    }
}

/** Releases the tokens of a turn that was not granted. */
void ProgramLedger::Private::releaseReservation(const internal::WaitingTurn &turn)
{
    if (!turn.isAllowance_) {
        spending_.subtractOwn(turn.program_, turn.tokens_);
        spending_.returnAllowance(turn.program_, turn.fromAllowance_);
    }
    scheduleFlush(batchDelay());
}

/** Reserves part of the remaining budget for later turns, which then need not wait for the store. */
void ProgramLedger::Private::acquireAllowance(const TurnReservation &turn)
{
    const std::uint64_t spent = spending_.total(turn.program_);
    const std::uint64_t rest = turn.budget_ - std::min(turn.budget_, spent);
    const std::uint64_t tokens = rest / internal::allowanceDivisor;
    if (tokens < turn.tokens_ || spending_.hasPendingAllowance(turn.program_)) {
        return;
    }
    spending_.addPendingAllowance(turn.program_, tokens);
    internal::WaitingTurn allowance{
        turn.program_, turn.budget_, tokens, 0, 0, hooks_.now_() + settings_.allowanceTimeout_, true, nullptr};
    allowance.onDecision_ = [this, program = turn.program_, tokens](BudgetDecision decision) {
        spending_.resolvePendingAllowance(program, tokens, decision == BudgetDecision::Granted);
    };
    waiting_.push_back(std::move(allowance));
    hooks_.after_(settings_.allowanceTimeout_, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->expireWaitingTurns();
        }
    });
}

/** Refuses turns whose reservation was not read back in time, and releases the reservation. */
void ProgramLedger::Private::expireWaitingTurns()
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
            releaseReservation(turn);
            turn.onDecision_(BudgetDecision::Unavailable);
        }
    }
    scheduleFlush(batchDelay());
}

void ProgramLedger::Private::removeIdlePrograms()
{
    for (const std::string &program : spending_.removeIdle(hooks_.now_() - settings_.retention_)) {
        otherRecords_.push_back(
            KeyedRecord{internal::spendingPrefix + program + '/' + settings_.writer_, std::nullopt});
        if (sentReserves_.erase(program) > 0) {
            otherRecords_.push_back(reserveRecord(program, std::nullopt));
        }
    }
    if (!otherRecords_.empty()) {
        scheduleFlush(batchDelay());
    }
    hooks_.after_(internal::idleCheckInterval, [self = shared_from_this()] {
        if (!self->stopped_) {
            self->removeIdlePrograms();
        }
    });
}

ProgramLedger::ProgramLedger(ProgramLedgerHooks hooks, ProgramLedgerSettings settings)
    : d_(std::make_shared<Private>(std::move(hooks), std::move(settings)))
{
    BatchAppenderHooks appender;
    appender.after_ = d_->hooks_.after_;
    appender.store_ = d_->hooks_.store_;
    appender.onDurable_ = [d = d_.get()] { d->onBatchDurable(); };
    appender.onSlow_ = [d = d_.get()] { d->reportUnrecorded(); };
    BatchAppenderSettings appenderSettings;
    appenderSettings.writer_ = d_->settings_.writer_;
    appenderSettings.partition_ = PartitionId{internal::ledgerStream, d_->settings_.partition_};
    appenderSettings.slowThreshold_ = d_->settings_.slowAppendThreshold_;
    d_->appender_ = std::make_unique<BatchAppender>(std::move(appender), std::move(appenderSettings));
    StreamTailHooks tail;
    tail.now_ = d_->hooks_.now_;
    tail.after_ = d_->hooks_.after_;
    tail.store_ = d_->hooks_.store_;
    tail.onReachable_ = [d = d_.get()](bool reachable) { d->onReachable(reachable); };
    tail.onRecord_ = [d = d_.get()](const KeyedRecord &record) { d->onRecord(record); };
    tail.onAdvanced_ = [d = d_.get()] { d->decideSnapshotTurns(); };
    StreamTailSettings tailSettings;
    tailSettings.partition_ = PartitionId{internal::ledgerStream, d_->settings_.partition_};
    tailSettings.pause_ = d_->settings_.readPause_;
    tailSettings.wait_ = d_->settings_.maxAge_ / 3;
    tailSettings.adaptsHedgeDelay_ = true;
    d_->tail_ = std::make_unique<StreamTail>(std::move(tail), std::move(tailSettings));
}

ProgramLedger::~ProgramLedger()
{
    d_->stopped_ = true;
    d_->appender_.reset();
    d_->tail_.reset();
}

void ProgramLedger::start()
{
    d_->tail_->start();
    d_->removeIdlePrograms();
}

bool ProgramLedger::isCurrent() const
{
    return d_->tail_->isComplete() && age() <= d_->settings_.maxAge_ && !d_->awaitsPeerRecords();
}

Duration ProgramLedger::age() const
{
    return d_->hooks_.now_() - d_->tail_->currentAsOf();
}

bool ProgramLedger::knowsGrants() const
{
    // Compares the time of the last read, not the current time: the result must not become true during an outage, in
    // which other nodes have made decisions.
    return isComplete() && d_->tail_->currentAsOf() - d_->firstReachedAt_ >= d_->settings_.recoveryDelay_;
}

bool ProgramLedger::hasRecords() const
{
    return d_->recordReadAt_ != Time{0}
    && d_->hooks_.now_() - d_->recordReadAt_ < d_->settings_.retention_ - internal::retentionMargin;
}

std::uint64_t ProgramLedger::outageReserveOf(std::uint64_t budget)
{
    return budget / internal::outageReserveDivisor;
}

void ProgramLedger::setOutageReserve(const std::string &program, std::uint64_t tokens)
{
    d_->spending_.setOutageReserve(program, tokens);
}

std::uint64_t ProgramLedger::outageReserve(const std::string &program) const
{
    return d_->spending_.outageReserve(program);
}

void ProgramLedger::dropUnsentReserve(const std::string &program)
{
    if (d_->sentReserves_.count(program) == 0 && d_->spending_.unrecordedReserve(program)) {
        d_->spending_.applyRecord(program, SpendingTable::outageReserveWriter, std::nullopt);
    }
}

void ProgramLedger::releaseOutageReserve(const std::string &program)
{
    d_->spending_.applyRecord(program, SpendingTable::outageReserveWriter, std::nullopt);
    d_->sentReserves_.erase(program);
    d_->otherRecords_.push_back(Private::reserveRecord(program, std::nullopt));
    d_->scheduleFlush(d_->batchDelay());
}

std::uint64_t ProgramLedger::own(const std::string &program) const
{
    return d_->spending_.own(program);
}

std::uint64_t ProgramLedger::granted(const std::string &program) const
{
    return spent(program) - outageReserve(program);
}

bool ProgramLedger::isRecorded(const std::string &program) const
{
    return d_->spending_.isRecorded(program);
}

bool ProgramLedger::isReachable() const
{
    return d_->tail_->isReachable();
}

bool ProgramLedger::isComplete() const
{
    return d_->tail_->isComplete();
}

/** Only for the root agent: a program sends many turns of sub-agents at once, also through several nodes, which do not
 * know of each other's turns yet. */
bool ProgramLedger::isFirstTurn(const TurnReservation &turn) const
{
    return turn.isRootAgentTurn_ && spent(turn.program_) == 0;
}

bool ProgramLedger::takeAllowance(const TurnReservation &turn)
{
    return d_->spending_.takeAllowance(turn.program_, turn.tokens_);
}

bool ProgramLedger::hasPendingAllowance(const std::string &program) const
{
    return d_->spending_.hasPendingAllowance(program);
}

std::vector<std::string> ProgramLedger::allowanceHolders(const TurnReservation &turn) const
{
    return d_->spending_.allowanceHolders(turn.program_, turn.tokens_);
}

std::vector<std::string> ProgramLedger::formerAllowanceHolders(const TurnReservation &turn) const
{
    return d_->spending_.allowanceHolders(turn.program_, SpendingTable::minRecordedAllowance);
}

void ProgramLedger::releaseAllowances()
{
    d_->spending_.releaseAllowances();
    d_->scheduleFlush(d_->batchDelay());
}

void ProgramLedger::reserve(const TurnReservation &turn,
                            const ReservationOptions &options,
                            const std::function<void(BudgetDecision)> &onDecision)
{
    if (takeAllowance(turn)) {
        onDecision(BudgetDecision::Granted);
        return;
    }
    if (options.outageReserve_ > 0 && spent(turn.program_) == 0) {
        setOutageReserve(turn.program_, options.outageReserve_);
    }
    const std::uint64_t spentBefore = spent(turn.program_);
    const bool runsUnrecorded = options.mayRunUnrecorded_ && isFirstTurn(turn);
    const std::uint64_t fromAllowance = d_->spending_.takeWholeAllowance(turn.program_);
    const std::uint64_t tokens = turn.tokens_ - std::min(fromAllowance, turn.tokens_);
    const bool fits = spentBefore + tokens <= turn.budget_;
    if (!fits || !isCurrent()) {
        d_->spending_.returnAllowance(turn.program_, fromAllowance);
        onDecision(fits ? BudgetDecision::Unavailable : BudgetDecision::Exhausted);
        return;
    }
    d_->spending_.addOwn(turn.program_, tokens);
    if (!runsUnrecorded) {
        const Time deadline = d_->hooks_.now_() + d_->settings_.reservationTimeout_;
        d_->waiting_.push_back(
            internal::WaitingTurn{turn.program_, turn.budget_, tokens, fromAllowance, 0, deadline, false, onDecision});
    }
    if (options.mayAcquireAllowance_) {
        d_->acquireAllowance(turn);
    }
    if (runsUnrecorded) {
        d_->firstTurnWaits_ = true;
        d_->scheduleFlush(d_->batchDelay());
        onDecision(BudgetDecision::Granted);
        return;
    }
    d_->hooks_.after_(d_->settings_.reservationTimeout_, [d = d_] {
        if (!d->stopped_) {
            d->expireWaitingTurns();
        }
    });
    d_->flush();
}

BudgetDecision ProgramLedger::reserveWithoutStore(const TurnReservation &turn)
{
    const std::uint64_t before = granted(turn.program_);
    const bool mayContinue = before <= outageReserve(turn.program_);
    if (!knowsGrants() || !turn.isRootAgentTurn_ || !mayContinue) {
        return BudgetDecision::Unavailable;
    }
    if (before + turn.tokens_ > turn.budget_) {
        return BudgetDecision::Exhausted;
    }
    addPending(turn.program_, turn.tokens_);
    return BudgetDecision::Granted;
}

bool ProgramLedger::isWithinReserve(const TurnReservation &turn) const
{
    const std::uint64_t total = granted(turn.program_);
    return total <= turn.budget_ && total <= outageReserve(turn.program_) + turn.tokens_;
}

void ProgramLedger::revokeForPeer(const TurnReservation &turn, const WriterSpending &spending)
{
    d_->spending_.revokeGrant(turn.program_, spending, turn.tokens_);
}

BudgetDecision ProgramLedger::decideForPeer(const TurnReservation &turn, const WriterSpending &spending)
{
    if (!knowsGrants()) {
        return BudgetDecision::Unavailable;
    }
    d_->spending_.applyGrant(turn.program_, spending);
    BudgetDecision decision = BudgetDecision::Granted;
    if (granted(turn.program_) > turn.budget_) {
        decision = BudgetDecision::Exhausted;
    } else if (!isWithinReserve(turn)) {
        decision = BudgetDecision::Unavailable;
    }
    if (decision != BudgetDecision::Granted) {
        d_->spending_.revokeGrant(turn.program_, spending, turn.tokens_);
    }
    return decision;
}

void ProgramLedger::applyGrant(const std::string &program, const WriterSpending &spending)
{
    d_->spending_.applyGrant(program, spending);
}

void ProgramLedger::addPending(const std::string &program, std::uint64_t tokens)
{
    d_->spending_.addOwn(program, tokens);
    d_->scheduleFlush(d_->batchDelay());
}

WriterSpending ProgramLedger::ownSpending(const std::string &program)
{
    return d_->spending_.nextOwnSpending(program);
}

std::vector<WriterSpending> ProgramLedger::ownReport(const std::string &program)
{
    std::vector<WriterSpending> report{ownSpending(program)};
    if (const std::uint64_t reserve = outageReserve(program)) {
        report.push_back(WriterSpending{SpendingTable::outageReserveWriter, reserve, 0, 0, 1, 0});
    }
    return report;
}

std::vector<WriterSpending> ProgramLedger::spendingByWriter(const std::string &program)
{
    return d_->spending_.byWriter(program);
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
    d_->spending_.settle(program, reserved, used);
    d_->scheduleFlush(d_->batchDelay());
}

std::uint64_t ProgramLedger::spent(const std::string &program) const
{
    return d_->spending_.total(program);
}

bool ProgramLedger::isFlushed() const
{
    return !d_->appender_->isBusy() && d_->spending_.dirty().empty() && d_->otherRecords_.empty();
}

std::size_t ProgramLedger::programCount() const
{
    return d_->spending_.size();
}

} // namespace filbertgw
