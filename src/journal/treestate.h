#ifndef FILBERTGW_JOURNAL_TREESTATE_H
#define FILBERTGW_JOURNAL_TREESTATE_H

#include "journal/record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief State of one program (a chain of calls) according to the journal. */
struct ChainState
{
    ProgramId id_;
    ProgramId parent_; ///< Empty for a root.
    Time deadline_{0}; ///< 0 for none.
    std::uint32_t maxTurns_ = 0;
    std::uint64_t nextSequence_ = 0;
    std::vector<TurnBody> turns_; ///< In order of sequence.
    std::optional<IntentBody> intent_; ///< Non-idempotent call that is announced and not yet closed.
    std::optional<FailureType> endReason_; ///< Set once the program has ended.
    std::uint32_t repeats_ = 0; ///< Number of identical turns at the end of the history.
    EndpointId homeEngine_; ///< Engine of the last model call.
};

/** \brief State of a program tree according to the journal: its owner, its budget and its programs. */
struct TreeState
{
    ProgramId root_;
    AccountId account_;
    RequestId createRequest_;
    NodeId owner_; ///< Empty after a release.
    Offset fencing_ = 0;
    Spend budget_;
    Spend spent_; ///< Settled spending, and reservations of former owners.
    Spend reserved_; ///< Outstanding reservations of the owner; spent plus reserved never exceeds the budget.
    Time lastTime_{0}; ///< Log time of the last record, checkpoints excluded.
    Offset lastOffset_ = 0; ///< Offset of the last record, checkpoints excluded.
    Time replayFromTime_{0}; ///< Log time of the entry at replayFromOffset_.
    Offset replayFromOffset_ = 0; ///< Oldest entry that a new reader needs: the last checkpoint or the create record.
    std::map<ProgramId, ChainState> chains_; ///< All programs of the tree, the root included.

    const ChainState *chain(const ProgramId &program) const;
    bool isEnded() const; ///< True once the root has ended.
};

/** \brief The recorded turn of a request, or null. */
const TurnBody *findTurn(const ChainState &chain, const RequestId &request);

nlohmann::json toJson(const TreeState &tree);
/** \brief Parses the state in a checkpoint; returns nothing if it is malformed. */
std::optional<TreeState> treeFromJson(const nlohmann::json &json);

/** \brief The answer that a repeated call with the id of this turn's request gets. */
CallAnswer answerOf(const ProgramId &program, const TurnBody &turn);

} // namespace filbertgw

#endif
