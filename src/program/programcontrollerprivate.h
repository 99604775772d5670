#ifndef FILBERTGW_PROGRAM_PROGRAMCONTROLLERPRIVATE_H
#define FILBERTGW_PROGRAM_PROGRAMCONTROLLERPRIVATE_H

#include "journal/journalfold.h"
#include "journal/journalwriter.h"
#include "program/ownedtree.h"
#include "program/programcontroller.h"

#include <set>
#include <unordered_map>
#include <utility>

namespace filbertgw {

namespace internal {

/** \brief Period of the look at all owned programs. */
constexpr Duration scanPeriod = std::chrono::seconds(1);
/** \brief When a caller may ask again while a takeover or a read of the journal is under way. */
constexpr Duration shortRetryDelay = std::chrono::milliseconds(100);
/** \brief When a caller may ask again while the store is unavailable. */
constexpr Duration storeRetryDelay = std::chrono::seconds(2);

using FoldedHook = std::function<void(const JournalFoldResult &)>;

struct PendingRecord
{
    Time since_{0};
    FoldedHook folded_;
};

/** \brief A request that waits for a takeover, a read-back or the store. */
struct WaitingRequest
{
    ProgramId program_;
    Time expiresAt_{0};
    bool unknownProgram_ = false; ///< Waits until the journal is proven to hold no such program.
    std::function<void()> retry_;
    std::function<void(const Failure &)> fail_;
};

Failure makeFailure(FailureType type, bool notRun, const char *detail, Duration retryAfter = Duration(0));

/** \brief Hash of a call's kind, target and input; the same request id with another hash is a conflict. */
std::string requestHashOf(const CallRequest &request);

/** \brief Most tokens that a program's prompt can have: measured by the engine, and one a byte for what is newer. */
std::int64_t maxPromptTokens(const ChainState &chain);

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
    using ChainCalls = internal::ChainCalls;
    using FoldedHook = internal::FoldedHook;
    using WaitingRequest = internal::WaitingRequest;
    using PendingRecord = internal::PendingRecord;
    using OwnedTree = internal::OwnedTree;
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
    std::unordered_map<ProgramId, std::shared_ptr<OwnedTree>> ownedTrees_; ///< Trees that this node owns, by root.
    std::set<ProgramId> pendingClaims_;
    std::set<Offset> restoring_; ///< Checkpoints that are being read back.
    std::vector<WaitingRequest> waitingRequests_;
    std::map<std::pair<AccountId, RequestId>, std::vector<CreateDone>> pendingCreates_;
    bool ready_ = false;
    bool tailReachable_ = true;
    bool tailReadPending_ = false;
    Time nextTailRead_{0};
    Time nextScan_{0};
    Time nextIdleScan_{0};
    Time massLossStart_{0};
    Time lastTick_{0};
    bool verifyingOwnership_ = false; ///< After a pause, until the journal has been read to its end.
    bool verifyRetryDue_ = false; ///< The log couldn't be reached for that.
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
    void completePendingRecord(const JournalFoldResult &result);
    std::uint64_t write(Record record, FoldedHook folded);
    Record makeRecord(RecordType type, const ProgramId &program, const ProgramId &root, RecordBody body) const;

    std::shared_ptr<OwnedTree> ownedTree(const ProgramId &root) const;
    std::shared_ptr<OwnedTree> ownedTreeAt(const ProgramId &root, Offset fencing) const;
    ProgramId rootOf(const ProgramId &program) const;
    bool isStoreUp() const;
    bool isOwnerGone(const NodeId &owner) const;
    NodeId preferredNodeFor(const ProgramId &program) const;
    OwnerView ownerViewOf(const ProgramId &root, const NodeId &owner) const;

    void addOwnedTree(const ProgramId &root, Offset fencing, bool takenOver);
    void ensureClaim(const ProgramId &root);
    void dropTree(const ProgramId &root);
    void claimOrphans();
    void scanIdlePrograms();
    void restoreCheckpoint(Offset checkpoint);
    void restoreWantedCheckpoints();
    void waitForOwner(const ProgramId &program,
                      Time deadline,
                      bool unknownProgram,
                      std::function<void()> retry,
                      std::function<void(const Failure &)> fail);
    bool isVerifyingOwnership();
    void verifyOwnership();
    void onOwnershipRead(bool reached, const LogPage &page);
    void applyPage(const LogPage &page);
    void probeJournalEnd(const ProgramId &program);
    void onJournalProbe(const ProgramId &program, const LogPage &page);
    void retryWaitingFor(const ProgramId &root);
    void expireWaiting();
    void retryWaiting();

    void create(const CreateRequest &request, CreateDone done);
    void writeCreate(const CreateRequest &request);
    void finishCreate(const std::pair<AccountId, RequestId> &key, const Result<ProgramId> &result);
    void submitCall(CallRequest request, Time waitUntil, AnswerDone done);
    bool ensureOwned(const ProgramId &program,
                     Time waitUntil,
                     const std::function<void()> &retry,
                     const std::function<void(const Failure &)> &fail);
    void attachOrEnqueue(const CallRequest &request, const ProgramId &root, const AnswerDone &done);
    void enqueue(const CallRequest &request, const ProgramId &root, const AnswerDone &done);
    void end(const ProgramId &program, const AccountId &account, Time waitUntil, const AnswerDone &done);
    void writeEnd(const ProgramId &root, const ProgramId &program, FailureType reason, std::function<void()> done);

    void startNextCall(const ProgramId &root, const ProgramId &program);
    bool
    findRefusal(const ProgramId &root, const TreeState &tree, const ChainState &chain, Call &call, Failure &failure);
    void prepareCall(const ChainState &chain, Call &call) const;
    void startCall(const ProgramId &root, const std::shared_ptr<Call> &call);
    void writeReservation(const ProgramId &root, const std::shared_ptr<Call> &call);
    void writeIntent(const ProgramId &root, const std::shared_ptr<Call> &call);
    void recordAbandoned(const ProgramId &root,
                         const std::shared_ptr<Call> &call,
                         const Failure &failure,
                         const Spend &cost);
    void recordRefused(const ProgramId &root, const std::shared_ptr<Call> &call, const Failure &failure);
    void dispatch(const ProgramId &root, const std::shared_ptr<Call> &call);
    void failUnsent(const ProgramId &root, const std::shared_ptr<Call> &call);
    void recordTurn(const ProgramId &root,
                    const std::shared_ptr<Call> &call,
                    TurnStatus status,
                    const DispatchOutcome &outcome,
                    const Failure &failure);
    void failUnrecorded(const ProgramId &root, const std::shared_ptr<Call> &call, const DispatchOutcome &outcome);
    void recordCrashes(const Call &call, const DispatchOutcome &outcome);
    void onOutcome(const DispatchOutcome &outcome);
    void finishCurrentCall(const ProgramId &root, const ProgramId &program);
    BudgetEntry
    prepareBudget(const ProgramId &root, const ProgramId &program, const Spend &usage, const Spend &worst) const;
    Spend allowanceFor(const ChainState &chain, const Spend &largest) const;
    bool isCertainlyNotRun(const OwnedTree &owned, const Call &call) const;
    void answer(Call &call, const CallAnswer &answer) const;
    void answerFailure(Call &call, const Failure &failure) const;
    Time deadlineOf(const ProgramId &root, const CallRequest &request) const;

    void tick();
    void tickTree(const ProgramId &root);
    void expireOverdueCalls(const ProgramId &root);
    void expireCall(const ProgramId &root, const std::shared_ptr<Call> &call);
    void writeCheckpoint(const ProgramId &root, bool idle);
    void writeSettlement(const ProgramId &root);
    void releaseIfNotRunning(const ProgramId &root);
};

} // namespace filbertgw

#endif
