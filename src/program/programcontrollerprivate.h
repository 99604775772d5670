#ifndef FILBERTGW_PROGRAM_PROGRAMCONTROLLERPRIVATE_H
#define FILBERTGW_PROGRAM_PROGRAMCONTROLLERPRIVATE_H

#include "journal/journalfold.h"
#include "journal/journalwriter.h"
#include "program/programcontroller.h"
#include "program/treework.h"

#include <set>
#include <unordered_map>
#include <utility>

namespace filbertgw {

namespace internal {

/** \brief Period of the look at all owned programs. */
constexpr Duration scanPeriod = std::chrono::seconds(1);
/** \brief When a caller may ask again while a takeover or a read of the journal is under way. */
constexpr Duration retrySoon = std::chrono::milliseconds(100);
/** \brief When a caller may ask again while the store is unavailable. */
constexpr Duration retryStore = std::chrono::seconds(2);

using FoldedHook = std::function<void(const JournalFoldResult &)>;

struct PendingRecord
{
    Time since_{0};
    FoldedHook folded_;
};

/** \brief A request that waits for a takeover, a read-back or the store. */
struct Parked
{
    ProgramId program_;
    Time giveUpAt_{0};
    bool unknownProgram_ = false; ///< Waits until the journal is proven to hold no such program.
    std::function<void()> retry_;
    std::function<void(const Failure &)> fail_;
};

Failure makeFailure(FailureType type, bool notRun, const char *detail, Duration retryAfter = Duration(0));

/** \brief Hash of a call's kind, target and input; the same request id with another hash is a conflict. */
std::string requestHashOf(const CallRequest &request);

/** \brief Most tokens that a program's prompt can have: measured by the engine, and one a byte for what is newer. */
std::int64_t promptTokensAtMost(const ChainState &chain);

std::int64_t byteCount(const std::string &text);

} // namespace internal

/**
 * \brief State and steps of a ProgramController.
 *
 * The steps are defined in one file each for the journal, ownership, creation, submission, calls and timers.
 */
struct ProgramController::Private : std::enable_shared_from_this<ProgramController::Private>
{
    using Call = internal::Call;
    using ChainWork = internal::ChainWork;
    using FoldedHook = internal::FoldedHook;
    using Parked = internal::Parked;
    using PendingRecord = internal::PendingRecord;
    using TreeWork = internal::TreeWork;
    using json = nlohmann::json;

    NodeId self_;
    const Blackboard *blackboard_ = nullptr;
    ProgramHooks hooks_;
    ProgramSettings settings_;
    ProgramSafeguards safeguards_;
    FoldSettings foldSettings_;
    std::unique_ptr<JournalFold> fold_;
    std::unique_ptr<JournalWriter> writer_;
    std::string writerName_;
    std::uint64_t lastRecord_ = 0;
    std::map<std::uint64_t, PendingRecord> pending_; ///< Records that are not yet folded, by number.
    std::unordered_map<ProgramId, std::shared_ptr<TreeWork>> work_; ///< Trees that this node owns, by root.
    std::set<ProgramId> claiming_;
    std::set<Offset> waking_; ///< Checkpoints that are being read back.
    std::vector<Parked> parked_;
    std::map<std::pair<AccountId, RequestId>, std::vector<CreateDone>> creating_;
    bool ready_ = false;
    bool tailUp_ = true;
    bool reading_ = false;
    Time readAt_{0};
    Time scanAt_{0};
    Time idleScanAt_{0};
    Time massLossAt_{0};
    Time lastTick_{0};
    bool confirming_ = false; ///< After a pause, until the journal has been read to its end.
    bool confirmDue_ = false; ///< The log couldn't be reached for that.
    bool massLoss_ = false;
    bool draining_ = false;
    Time drainStart_{0};

    Time now() const
    {
        return hooks_.now_();
    }
    void logEvent(const std::string &event, const json &fields) const
    {
        if (hooks_.logEvent_) {
            hooks_.logEvent_(event, fields);
        }
    }

    void readTail();
    void onTail(Offset from, bool reached, const LogPage &page);
    void resetFold(Offset firstOffset);
    void handle(const JournalFoldResult &result);
    void notifyWriterOf(const JournalFoldResult &result);
    std::uint64_t write(Record record, FoldedHook folded);
    Record recordFor(RecordType type, const ProgramId &program, const ProgramId &root, RecordBody body) const;

    std::shared_ptr<TreeWork> mine(const ProgramId &root) const;
    std::shared_ptr<TreeWork> mineAt(const ProgramId &root, Offset fencing) const;
    ProgramId rootOf(const ProgramId &program) const;
    bool isStoreUp() const;
    bool isGone(const NodeId &owner) const;
    NodeId preferredFor(const ProgramId &program) const;
    OwnerView viewOf(const ProgramId &root, const NodeId &owner) const;

    void own(const ProgramId &root, Offset fencing, bool takenOver);
    void ensureClaim(const ProgramId &root);
    void dropTree(const ProgramId &root);
    void claimOrphans();
    void scanIdle();
    void wake(Offset checkpoint);
    void wakeWanted();
    void park(const ProgramId &program,
              Time deadline,
              bool unknownProgram,
              std::function<void()> retry,
              std::function<void(const Failure &)> fail);
    bool isConfirming();
    void confirm();
    void onConfirm(bool reached, const LogPage &page);
    void applyProbe(const LogPage &page);
    void probeEnd(const ProgramId &program);
    void onProbe(const ProgramId &program, const LogPage &page);
    void resume(const ProgramId &root);
    void expireParked();
    void retryParked();

    void create(const CreateRequest &request, CreateDone done);
    void writeCreate(const CreateRequest &request);
    void finishCreate(const std::pair<AccountId, RequestId> &key, const Result<ProgramId> &result);
    void route(CallRequest request, Time parkUntil, AnswerDone done);
    bool reach(const ProgramId &program,
               Time parkUntil,
               const std::function<void()> &retry,
               const std::function<void(const Failure &)> &fail);
    void accept(const CallRequest &request, const ProgramId &root, const AnswerDone &done);
    void enqueue(const CallRequest &request, const ProgramId &root, const AnswerDone &done);
    void end(const ProgramId &program, const AccountId &account, Time parkUntil, const AnswerDone &done);
    void writeEnd(const ProgramId &root, const ProgramId &program, FailureType reason, std::function<void()> done);

    void pump(const ProgramId &root, const ProgramId &program);
    bool refuseFront(const ProgramId &root, const TreeState &tree, const ChainState &chain, Call &call, Failure &why);
    void prepareCall(const ChainState &chain, Call &call) const;
    void startCall(const ProgramId &root, const std::shared_ptr<Call> &call);
    void reserveFor(const ProgramId &root, const std::shared_ptr<Call> &call);
    void announce(const ProgramId &root, const std::shared_ptr<Call> &call);
    void abandon(const ProgramId &root, const std::shared_ptr<Call> &call, const Failure &why, const Spend &cost);
    void refuse(const ProgramId &root, const std::shared_ptr<Call> &call, const Failure &why);
    void dispatch(const ProgramId &root, const std::shared_ptr<Call> &call);
    void dropUnsent(const ProgramId &root, const std::shared_ptr<Call> &call);
    void recordTurn(const ProgramId &root,
                    const std::shared_ptr<Call> &call,
                    TurnStatus status,
                    const DispatchOutcome &outcome,
                    const Failure &failure);
    void failIdempotent(const ProgramId &root, const std::shared_ptr<Call> &call, const DispatchOutcome &outcome);
    void countCrashes(const Call &call, const DispatchOutcome &outcome);
    void onOutcome(const DispatchOutcome &outcome);
    void finishCurrent(const ProgramId &root, const ProgramId &program);
    BudgetEntry
    prepareBudget(const ProgramId &root, const ProgramId &program, const Spend &usage, const Spend &worst) const;
    Spend aheadFor(const ChainState &chain, const Spend &largest) const;
    bool isCertainlyNotRun(const TreeWork &work, const Call &call) const;
    void answer(Call &call, const CallAnswer &answer) const;
    void answerFailure(Call &call, const Failure &failure) const;
    Time deadlineOf(const ProgramId &root, const CallRequest &request) const;

    void tick();
    void tickTree(const ProgramId &root);
    void giveUpLate(const ProgramId &root);
    void giveUp(const ProgramId &root, const std::shared_ptr<Call> &call);
    void checkpoint(const ProgramId &root, bool idle);
    void settle(const ProgramId &root);
    void maybeRelease(const ProgramId &root);
};

} // namespace filbertgw

#endif
