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

/** \brief Period of the checks of all owned programs. */
constexpr Duration scanPeriod = std::chrono::seconds(1);
/** \brief Retry delay for callers during a takeover or a read of the journal. */
constexpr Duration shortRetryDelay = std::chrono::milliseconds(100);
/** \brief Retry delay for callers while the store is unavailable. */
constexpr Duration storeRetryDelay = std::chrono::seconds(2);

using FoldedHook = std::function<void(const JournalFoldResult &)>;

/** \brief A record that is written and not yet folded. */
struct PendingRecord
{
    Time since_{0};
    FoldedHook folded_; ///< Called with the result; may be null.
};

/** \brief A request that waits for a takeover, the read of a checkpoint or the store. */
struct WaitingRequest
{
    ProgramId program_;
    Time expiresAt_{0};
    bool unknownProgram_ = false; ///< Fails once the journal has been read to its end without finding the program.
    std::function<void()> retry_;
    std::function<void(const Failure &)> fail_;
};

Failure makeFailure(FailureType type, bool notRun, const char *detail, Duration retryAfter = Duration(0));

/** \brief Hash of kind, target and input; a request id that is reused with another hash is a conflict. */
std::string requestHashOf(const CallRequest &request);

/** \brief Upper bound of the prompt's tokens: the engine's last count plus one token for each byte added since. */
std::int64_t maxPromptTokens(const ChainState &chain);

std::int64_t byteCount(const std::string &text);

} // namespace internal

/**
 * \brief Implementation of a ProgramController.
 *
 * The member functions are grouped by topic in one file each: journal, ownership, creation, submission, calls, timers.
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
    std::string writerName_; ///< Prefix of the ids of this process's records.
    std::uint64_t lastRecord_ = 0;
    std::map<std::uint64_t, PendingRecord> pending_; ///< Records that are not yet folded, by number.
    std::unordered_map<ProgramId, std::shared_ptr<OwnedTree>> ownedTrees_; ///< By root.
    std::set<ProgramId> pendingClaims_; ///< Roots whose claim is pending.
    std::set<Offset> restoring_; ///< Offsets of checkpoints that are being read.
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
    bool verifyRetryDue_ = false; ///< The last read for this failed and has to be repeated.
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

    /** \brief The tree with this root if this node owns it; otherwise null. */
    std::shared_ptr<OwnedTree> ownedTree(const ProgramId &root) const;
    std::shared_ptr<OwnedTree> ownedTreeAt(const ProgramId &root, Offset fencing) const;
    ProgramId rootOf(const ProgramId &program) const;
    bool isStoreUp() const;
    /** \brief True if programs of this owner can be claimed. */
    bool isOwnerGone(const NodeId &owner) const;
    NodeId preferredNodeFor(const ProgramId &program) const;
    OwnerView ownerViewOf(const ProgramId &root, const NodeId &owner) const;

    void addOwnedTree(const ProgramId &root, Offset fencing, bool takenOver);
    void ensureClaim(const ProgramId &root);
    void dropTree(const ProgramId &root);
    /** \brief Claims programs whose owner is gone, at a limited rate after a mass loss. */
    void claimOrphans();
    void scanIdlePrograms();
    /** \brief Reads a checkpoint and restores its idle program. */
    void restoreCheckpoint(Offset checkpoint);
    void restoreRequiredCheckpoints();
    /** \brief Queues a request; it is retried when the state of its program changes, until the deadline. */
    void waitForOwner(const ProgramId &program,
                      Time deadline,
                      bool unknownProgram,
                      std::function<void()> retry,
                      std::function<void(const Failure &)> fail);
    /** \brief True after a pause of this process, until the journal has been read to its end; detects the pause. */
    bool isVerifyingOwnership();
    void verifyOwnership();
    void onOwnershipRead(bool reached, const LogPage &page);
    /** \brief Folds the entries of a page that follow directly on the last folded entry. */
    void applyPage(const LogPage &page);
    void probeJournalEnd(const ProgramId &program);
    void onJournalProbe(const ProgramId &program, const LogPage &page);
    /** \brief Retries the requests that wait for a program of this tree. */
    void retryWaitingFor(const ProgramId &root);
    void expireWaiting();
    void retryWaiting();

    void create(const CreateRequest &request, CreateDone done);
    void writeCreate(const CreateRequest &request);
    void finishCreate(const std::pair<AccountId, RequestId> &key, const Result<ProgramId> &result);
    void submitCall(CallRequest request, Time waitUntil, AnswerDone done);
    /** \brief True if this node owns the program; otherwise the request waits or fails. */
    bool ensureOwned(const ProgramId &program,
                     Time waitUntil,
                     const std::function<void()> &retry,
                     const std::function<void(const Failure &)> &fail);
    /** \brief Adds the caller to a queued or running call with the same request id, or queues a new call. */
    void attachOrEnqueue(const CallRequest &request, const ProgramId &root, const AnswerDone &done);
    void enqueue(const CallRequest &request, const ProgramId &root, const AnswerDone &done);
    void end(const ProgramId &program, const AccountId &account, Time waitUntil, const AnswerDone &done);
    void writeEnd(const ProgramId &root, const ProgramId &program, FailureType reason, std::function<void()> done);

    /** \brief Starts the next queued call of a program if none is in progress. */
    void startNextCall(const ProgramId &root, const ProgramId &program);
    /** \brief True if the call must not be started; `failure` is then the reason. */
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
    /** \brief Fails a call that has not been sent. */
    void failUnsent(const ProgramId &root, const std::shared_ptr<Call> &call);
    void recordTurn(const ProgramId &root,
                    const std::shared_ptr<Call> &call,
                    TurnStatus status,
                    const DispatchOutcome &outcome,
                    const Failure &failure);
    /** \brief Fails a call without recording a turn, so that it may run again. */
    void failUnrecorded(const ProgramId &root, const std::shared_ptr<Call> &call, const DispatchOutcome &outcome);
    void recordCrashes(const Call &call, const DispatchOutcome &outcome);
    void onOutcome(const DispatchOutcome &outcome);
    void finishCurrentCall(const ProgramId &root, const ProgramId &program);
    BudgetEntry
    prepareBudget(const ProgramId &root, const ProgramId &program, const Spend &usage, const Spend &worst) const;
    /** \brief Amount to reserve for later calls of a program. */
    Spend allowanceFor(const ChainState &chain, const Spend &largest) const;
    /** \brief True if no earlier attempt of the call can have run. */
    bool isCertainlyNotRun(const OwnedTree &owned, const Call &call) const;
    void answer(Call &call, const CallAnswer &answer) const;
    void answerFailure(Call &call, const Failure &failure) const;
    Time deadlineOf(const ProgramId &root, const CallRequest &request) const;

    void tick();
    void tickTree(const ProgramId &root);
    void expireOverdueCalls(const ProgramId &root);
    void expireCall(const ProgramId &root, const std::shared_ptr<Call> &call);
    void writeCheckpoint(const ProgramId &root, bool idle);
    /** \brief Records costs that are not part of any record, and releases amounts in use. */
    void writeSettlement(const ProgramId &root);
    /** \brief Releases a tree to other nodes, unless a call is running or a checkpoint or end is pending. */
    void releaseIfNotRunning(const ProgramId &root);
};

} // namespace filbertgw

#endif
