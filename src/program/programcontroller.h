#ifndef FILBERTGW_PROGRAM_PROGRAMCONTROLLER_H
#define FILBERTGW_PROGRAM_PROGRAMCONTROLLER_H

#include "blackboard/blackboard.h"
#include "journal/logtypes.h"
#include "program/programtypes.h"

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
    std::function<void(const std::string &event, const nlohmann::json &fields)> log_event_; ///< One log line.
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

private:
    struct Private;
    explicit ProgramController(std::unique_ptr<Private> d);
    std::unique_ptr<Private> d_;
};

} // namespace filbertgw

#endif
