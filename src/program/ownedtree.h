#ifndef FILBERTGW_PROGRAM_OWNEDTREE_H
#define FILBERTGW_PROGRAM_OWNEDTREE_H

#include "program/budgettracker.h"
#include "program/programcontroller.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace filbertgw::internal {

enum class CallPhase : std::uint8_t {
    Queued,
    Reserving, ///< Waits for its reservation to be folded.
    Announcing, ///< Waits for its intent to be folded.
    Running, ///< Dispatched.
    Recording, ///< Waits for its turn or outcome to be folded.
};

} // namespace filbertgw::internal

template<>
struct filbertgw::NameTable<filbertgw::internal::CallPhase>
{
    using Phase = filbertgw::internal::CallPhase;
    static constexpr std::array<std::pair<Phase, std::string_view>, 5> entries{{
        {Phase::Queued, "queued"},
        {Phase::Reserving, "reserving"},
        {Phase::Announcing, "announcing"},
        {Phase::Running, "running"},
        {Phase::Recording, "recording"},
    }};
};

namespace filbertgw::internal {

/** \brief A call that is queued or in progress. */
struct Call
{
    CallRequest request_;
    std::string requestHash_;
    std::string contentHash_;
    std::vector<ProgramController::AnswerDone> waiters_; ///< Callers that wait for the answer; empty once answered.
    CallPhase phase_ = CallPhase::Queued;
    Time startedAt_{0}; ///< Time at which it left the queue.
    Spend worstCase_; ///< Amount in use: the worst case of all runs allowed so far.
    Spend worstCasePerRun_;
    std::string prompt_;
    bool runAlone_ = false;
    bool givenUp_ = false; ///< Its callers have been answered with a failure.
    bool callerGone_ = false;
};

/** \brief Calls of one program (one chain) of a tree. */
struct ChainCalls
{
    std::deque<std::shared_ptr<Call>> queue_;
    std::shared_ptr<Call> current_;
    std::map<RequestId, std::uint32_t> attempts_; ///< Number of dispatches of requests without a turn.
};

/** \brief State of a program tree that only its owner has, in addition to TreeState. */
struct OwnedTree
{
    Offset fencing_ = 0;
    bool takenOver_ = false; ///< Claimed from another owner. Failed idempotent calls of that owner are not recorded.
    bool releasing_ = false;
    bool checkpointing_ = false;
    bool compacting_ = false; ///< The pending checkpoint is the last one before the program is kept in compact form.
    BudgetTracker budgetTracker_;
    Spend largestCall_; ///< Componentwise maximum of the worst cases of all calls so far.
    std::map<ProgramId, ChainCalls> chains_;
    std::map<ProgramId, bool> ending_; ///< Programs whose end record is pending.

    bool isBusy() const
    {
        for (const std::pair<const ProgramId, ChainCalls> &entry : chains_) {
            if (entry.second.current_ || !entry.second.queue_.empty()) {
                return true;
            }
        }
        return false;
    }
    bool isRunning() const
    {
        for (const std::pair<const ProgramId, ChainCalls> &entry : chains_) {
            if (entry.second.current_) {
                return true;
            }
        }
        return false;
    }
};

} // namespace filbertgw::internal

#endif
