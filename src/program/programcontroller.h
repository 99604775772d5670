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

/** \brief What a ProgramController needs from outside; all are called from the decision loop. */
struct ProgramHooks
{
    Clock now_;
    RandomSource random_;
    LogAccess log_;
    std::function<void(const Dispatch &)> dispatch_; ///< Runs a call; answered by ProgramController::onOutcome().
    std::function<void(const ProgramId &, const RequestId &)> cancel_; ///< Cancels a dispatched call.
    std::function<void(const ProgramId &)> programEnded_; ///< Engine memory of the program is to be released.
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_; ///< One log line.
    std::function<bool(const NodeId &)> isAlive_; ///< Membership's view; a suspected node counts as alive.
    std::function<NodeId(std::uint32_t slot)> preferredNode_; ///< Membership's slot map.
};

/** \brief Where a request for a program has to go. */
enum class Ownership : std::uint8_t {
    Own, ///< This node is the owner, or is claiming the program.
    Other, ///< Another live node is the owner.
    Unknown, ///< The journal has not been read far enough, or the store is down during a takeover.
};

/** \brief Answer to the question who owns a program. */
struct OwnerView
{
    Ownership ownership_ = Ownership::Unknown;
    NodeId node_; ///< The owner, if it is known.
};

/** \brief Settings of a ProgramController; the defaults are those of the settings table. */
struct ProgramSettings
{
    Duration retention_ = std::chrono::hours(24); ///< How long the log keeps entries.
    Duration idleTimeout_ = std::chrono::minutes(10); ///< Idle programs are kept in the compact form.
    Duration idleExpiry_ = std::chrono::hours(24 * 30); ///< Programs that are idle for so long are ended.
    Duration ownerWaitLimit_ = std::chrono::seconds(10); ///< How long a request waits for a takeover or the store.
    Duration longPoll_ = std::chrono::seconds(10);
    Duration storeTimeout_ = std::chrono::seconds(2); ///< A record that waits longer means that the store is down.
    Duration massLossPause_ = std::chrono::seconds(10); ///< After a mass loss programs move on demand only.
    std::uint32_t massLossClaimsPerSecond_ = 50; ///< Claims a second without demand after that.
    Duration lease_ =
        std::chrono::seconds(3); ///< An intent that took longer is withdrawn: another node may own by now.
    Duration drainGrace_ = std::chrono::seconds(20); ///< While draining, a tree with a running call goes on so long.
    std::uint32_t loopRepeats_ = 8; ///< Equal turns in a row that end a program.
    std::size_t maxQueuedCalls_ = 64; ///< Of one program.
    std::size_t maxRequestBytes_ = 1U << 20U;
    std::size_t backlogBytes_ = 8U << 20U;
    std::int64_t defaultMaxTokens_ = 1024; ///< Of a call that names no limit.
    Spend allowance_{8192, 2, 0}; ///< Reserved ahead besides the history's own tokens.
};

/** \brief Safeguards that the promises bench switches off one at a time; all are on in `serve`. */
struct ProgramSafeguards
{
    bool fencing_ = true;
    bool intent_ = true;
    bool readBack_ = true;
    bool budget_ = true;
    bool dedup_ = true;
};

/**
 * \brief Runs the programs that this node owns: order, budget, at-most-once, takeover, checkpoints, quarantine.
 *
 * Pure decision code: events in, effects out through ProgramHooks. It tails the journal itself by
 * ProgramHooks::log_ and writes to it through a JournalWriter.
 *
 * \sa JournalFold, JournalWriter
 */
class ProgramController
{
public:
    using CreateDone = std::function<void(const Result<ProgramId> &)>;
    using AnswerDone = std::function<void(const CallAnswer &)>;

    /** \brief Builds a controller; defaults are those of the settings table. */
    class Builder;

    ProgramController(const ProgramController &) = delete;
    ProgramController &operator=(const ProgramController &) = delete;

    ~ProgramController();

    /** \brief Starts tailing the journal. */
    void start();
    /** \brief Does what is due by time: timeouts, checkpoints, takeovers. Call at least every 100 ms. */
    void tick();
    /** \brief Membership has changed; claims the programs of dead nodes that this node is preferred for. */
    void onMembership();

    /** \brief Creates a program; done is called once it is durable, or with a failure. */
    void create(const CreateRequest &request, CreateDone done);
    /** \brief Queues a call; done is called exactly once. Only valid where ownerOf() says Own. */
    void submit(const CallRequest &request, AnswerDone done);
    /** \brief Ends a program and its sub-agents; done carries no body. */
    void end(const ProgramId &program, const AccountId &account, AnswerDone done);
    /** \brief The recorded answer of a request; nothing if the request is unknown or still running. */
    std::optional<CallAnswer> recordedAnswer(const ProgramId &program, const RequestId &request) const;
    /** \brief The caller of a request is gone; the call goes on, its answer stays in the journal. */
    void onCallerGone(const ProgramId &program, const RequestId &request);

    /** \brief A dispatched call has ended. */
    void onOutcome(const DispatchOutcome &outcome);
    /**
     * \brief Asks whether a dispatched call may be sent once more within the same dispatch.
     *
     * To be asked before each attempt that follows one that may have run, because every run costs. If the answer is
     * false, the dispatch has to end as Unknown; a repeated request then gets a reservation of its own.
     */
    bool reserveRetry(const ProgramId &program, const RequestId &request);

    /** \brief Who owns a program, by the journal as far as it was read. */
    OwnerView ownerOf(const ProgramId &program) const;
    /** \brief Account of a program, empty if the program is unknown. */
    AccountId accountOf(const ProgramId &program) const;

    /** \brief Planned stop: hands over every program once its running call has ended. */
    void drain();
    /** \brief True when no program is owned here and nothing waits for the journal. */
    bool isDrained() const;
    /** \brief True when the journal has been read to its end once. */
    bool isReady() const;
    /** \brief False while the log can't be reached. */
    bool isStoreUp() const;

    /** \brief State of one program with its calls, spending and what it waits for; null if unknown. */
    nlohmann::json explain(const ProgramId &program) const;
    /** \brief History of a program as text; byte for byte the same on every node. */
    std::string history(const ProgramId &program) const;
    /** \brief True if a program exists and hasn't ended; what engines hold for others may be released. */
    bool isLive(const ProgramId &program) const;
    /** \brief Offset up to which the journal is folded. */
    Offset journalOffset() const;
    /** \brief Counters and the journal's state, for `state` and `metrics`. */
    nlohmann::json dump() const;

private:
    struct Private;
    explicit ProgramController(std::shared_ptr<Private> d);
    std::shared_ptr<Private> d_; ///< Shared with callbacks that are under way; they hold it weakly.
};

class ProgramController::Builder
{
public:
    /** \brief `blackboard` supplies MembershipSection::massLoss_ and has to outlive the controller. */
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

/** \brief A failed Result whose Failure is carried along, so that it outlives the call that made it. */
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
        // Results can be read only once by LEAF's interface, which is why it has no const access.
        [&result]() -> Result<Failure> { return const_cast<Result<T> &>(result).error(); },
        [](const Failure &failure) { return failure; },
        []() { return Failure(); });
}

} // namespace filbertgw

#endif
