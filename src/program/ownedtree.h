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

/** \brief A call that the owner works on. */
struct Call
{
    CallRequest request_;
    std::string requestHash_;
    std::string contentHash_;
    std::vector<ProgramController::AnswerDone> waiters_; ///< Empty once answered.
    CallPhase phase_ = CallPhase::Queued;
    Time startedAt_{0}; ///< When its reservation or intent was written.
    Spend worstCase_; ///< In use: the worst case of each run that was allowed.
    Spend worstCasePerRun_;
    std::string prompt_;
    bool runAlone_ = false;
    bool givenUp_ = false; ///< Its callers have their final answer.
    bool callerGone_ = false;
};

/** \brief Calls of one program of a tree. */
struct ChainCalls
{
    std::deque<std::shared_ptr<Call>> queue_;
    std::shared_ptr<Call> current_;
    std::map<RequestId, std::uint32_t> attempts_; ///< Dispatches of requests that have no turn yet.
};

/** \brief What the owner of a tree keeps beside the journal's state. */
struct OwnedTree
{
    Offset fencing_ = 0;
    bool takenOver_ = false; ///< Claimed from an earlier owner, whose failed idempotent calls left no trace.
    bool releasing_ = false;
    bool checkpointing_ = false;
    bool compacting_ = false; ///< A checkpoint is under way after which only the compact form is kept.
    BudgetTracker budgetTracker_;
    Spend largestCall_; ///< Largest worst case of a call so far, amount by amount.
    std::map<ProgramId, ChainCalls> chains_;
    std::map<ProgramId, bool> ending_; ///< Programs whose end is under way.

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
