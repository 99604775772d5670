#ifndef FILBERTGW_PROGRAM_PROGRAMCONTROLLER_H
#define FILBERTGW_PROGRAM_PROGRAMCONTROLLER_H

#include "blackboard/blackboard.h"
#include "journal/logtypes.h"
#include "program/programtypes.h"

#include <boost/leaf/capture.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <functional>
#include <memory>
#include <string>

namespace filbertgw {

/** \brief Dependencies of a ProgramController; all are called from the decision loop. */
struct ProgramHooks
{
    Clock now_;
    RandomSource random_;
    LogAccess log_;
    std::function<void(const Dispatch &)> dispatch_; ///< Runs a call; answered by ProgramController::onOutcome().
    std::function<void(const ProgramId &, const RequestId &)> cancel_; ///< Cancels a dispatched call.
    std::function<void(const ProgramId &)> programEnded_; ///< The program's cache on the engines can be released.
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_; ///< Writes a log line.
    std::function<bool(const NodeId &)> isAlive_; ///< By the membership; a suspected node counts as alive.
    std::function<NodeId(std::uint32_t slot)> preferredNode_; ///< By the slot map of the membership.
};

/** \brief Owner of a program as seen by this node; determines where requests for the program are handled. */
enum class Ownership : std::uint8_t {
    Own, ///< This node is the owner, or is claiming the program.
    Other, ///< Another live node is the owner.
    Unknown, ///< The journal hasn't been read to its end, or the store is down during a takeover.
};

/** \brief Result of ProgramController::ownerOf(). */
struct OwnerView
{
    Ownership ownership_ = Ownership::Unknown;
    NodeId node_; ///< The owner, if it is known.
};

/** \brief Settings of a ProgramController; the defaults are those of the settings table. */
struct ProgramSettings
{
    Duration retention_ = std::chrono::hours(24); ///< Time for which the log keeps entries.
    Duration idleTimeout_ = std::chrono::minutes(10); ///< Time after the last record until a program is compacted.
    Duration idleExpiry_ = std::chrono::hours(24 * 30); ///< Time after the last record until a program is ended.
    Duration ownerWaitLimit_ = std::chrono::seconds(10); ///< Time that a request waits for a takeover or the store.
    Duration longPoll_ = std::chrono::seconds(10); ///< Time that a read of the journal waits for new entries.
    Duration storeTimeout_ = std::chrono::seconds(2); ///< The store counts as down if a record takes longer.
    Duration massLossPause_ = std::chrono::seconds(10); ///< Time after a mass loss with claims on demand only.
    std::uint32_t massLossClaimsPerSecond_ = 50; ///< Rate of claims without demand after this pause.
    /** \brief Time after which another node may have taken over; a call whose record took longer isn't sent. */
    Duration lease_ = std::chrono::seconds(3);
    /** \brief Time after the start of a drain in which a tree with a running call still starts other calls. */
    Duration drainGrace_ = std::chrono::seconds(20);
    std::uint32_t loopRepeats_ = 8; ///< Number of consecutive equal turns that ends a program.
    std::size_t maxQueuedCalls_ = 64; ///< Per program.
    std::size_t maxRequestBytes_ = 1U << 20U;
    std::size_t backlogBytes_ = 8U << 20U;
    std::int64_t defaultMaxTokens_ = 1024; ///< For calls without a limit of their own.
    Spend allowance_{8192, 2, 0}; ///< Reserved for later calls, in addition to the tokens of the history.
};

/** \brief Safeguards that bench/promises disables one at a time, to verify its checkers; `serve` enables all. */
struct ProgramSafeguards
{
    bool fencing_ = true;
    bool intent_ = true;
    bool readBack_ = true;
    bool budget_ = true;
    bool dedup_ = true;
};

/**
 * \brief Runs the programs that this node owns.
 *
 * It orders the calls of a program, enforces budgets, runs non-idempotent calls at most once, takes over programs of
 * dead nodes, writes checkpoints and quarantines requests that crash endpoints. It performs no I/O of its own: it reads
 * and writes the journal through ProgramHooks::log_ and runs calls through ProgramHooks::dispatch_.
 *
 * \sa JournalFold, JournalWriter
 */
class ProgramController
{
public:
    using CreateDone = std::function<void(const Result<ProgramId> &)>;
    using AnswerDone = std::function<void(const CallAnswer &)>;

    /** \brief Builds a ProgramController. */
    class Builder;

    ProgramController(const ProgramController &) = delete;
    ProgramController &operator=(const ProgramController &) = delete;

    ~ProgramController();

    /** \brief Starts tailing the journal. */
    void start();
    /** \brief Handles timeouts, checkpoints and takeovers. To be called at least every 100 ms. */
    void tick();
    /** \brief Handles a change of the membership: claims programs of dead nodes for which this node is preferred. */
    void onMembership();

    /** \brief Creates a program; `done` is called once it is durable, or with a failure. */
    void create(const CreateRequest &request, CreateDone done);
    /** \brief Queues a call; `done` is called exactly once. Only valid if ownerOf() returns Ownership::Own. */
    void submit(const CallRequest &request, AnswerDone done);
    /** \brief Ends a program and its sub-agents; the answer passed to `done` has no body. */
    void end(const ProgramId &program, const AccountId &account, AnswerDone done);
    /** \brief The recorded answer to a request; empty if the request is unknown or still running. */
    std::optional<CallAnswer> recordedAnswer(const ProgramId &program, const RequestId &request) const;
    /** \brief The caller of a request has disconnected. The call continues, and its answer is kept in the journal. */
    void onCallerGone(const ProgramId &program, const RequestId &request);

    /** \brief A dispatched call has ended. */
    void onOutcome(const DispatchOutcome &outcome);
    /**
     * \brief Reserves the budget for another attempt within the same dispatch. \return false if it isn't covered
     *
     * To be called before each attempt that follows one that may have run, since every run has a cost. On false, the
     * dispatch has to end as DispatchStatus::Unknown; a repeated request then gets a reservation of its own.
     */
    bool reserveRetry(const ProgramId &program, const RequestId &request);

    /** \brief Owner of a program by the part of the journal that has been read. */
    OwnerView ownerOf(const ProgramId &program) const;
    /** \brief Account of a program; empty if the program is unknown or idle. */
    AccountId accountOf(const ProgramId &program) const;

    /** \brief Starts a planned stop: releases every program to other nodes once its running call has ended. */
    void drain();
    /** \brief True if drain() was called, no program is owned here and nothing waits for the journal. */
    bool isDrained() const;
    /** \brief True once the journal has been read to its end. */
    bool isReady() const;
    /** \brief False while the log is unreachable or too slow (ProgramSettings::storeTimeout_). */
    bool isStoreUp() const;

    /** \brief State of a program with its calls, spending and pending intent; null if the program is unknown. */
    nlohmann::json explain(const ProgramId &program) const;
    /** \brief History of a program as text; identical on every node that has read the same entries. */
    std::string history(const ProgramId &program) const;
    /** \brief True if a program exists and hasn't ended. Engines may release the cache of programs that aren't live. */
    bool isLive(const ProgramId &program) const;
    /** \brief Offset of the last folded journal entry. */
    Offset journalOffset() const;
    /** \brief Counters and the state of the journal, for `state` and `metrics`. */
    nlohmann::json dump() const;

private:
    struct Private;
    explicit ProgramController(std::shared_ptr<Private> d);
    std::shared_ptr<Private> d_; ///< Shared, so that pending callbacks can hold a weak pointer.
};

class ProgramController::Builder
{
public:
    /** \param blackboard supplies MembershipSection::massLoss_; has to outlive the controller */
    Builder(NodeId self, const Blackboard &blackboard, ProgramHooks hooks);

    Builder &setSettings(const ProgramSettings &settings);
    Builder &setSafeguards(const ProgramSafeguards &safeguards);
    std::unique_ptr<ProgramController> build();

private:
    NodeId self_;
    const Blackboard &blackboard_;
    ProgramHooks hooks_;
    ProgramSettings settings_;
    ProgramSafeguards safeguards_;
};

/** \brief A failed Result that owns its Failure, so that it can outlive the scope in which it was created. */
template<typename T>
Result<T> failedResult(const Failure &failure)
{
    return boost::leaf::capture(boost::leaf::make_shared_context([](const Failure & /*carried*/) {}),
                                [&failure]() -> Result<T> { return boost::leaf::new_error(failure); });
}

/** \brief The Failure of a failed Result. */
template<typename T>
Failure failureOf(const Result<T> &result)
{
    return boost::leaf::try_handle_all(
        // LEAF has no const access to the error, since an error can be read only once.
        [&result]() -> Result<Failure> { return const_cast<Result<T> &>(result).error(); },
        [](const Failure &failure) { return failure; },
        []() { return Failure(); });
}

} // namespace filbertgw

#endif
