#ifndef FILBERTGW_JOURNAL_TREEUPDATES_H
#define FILBERTGW_JOURNAL_TREEUPDATES_H

#include "journal/treestate.h"

namespace filbertgw::internal {

/*
 * What each type of record changes in a TreeState. A function that returns false has changed nothing, because the
 * record isn't valid in this state. Who may write the record is checked before.
 */

/** \brief The tree that a create record at this offset and log time begins. */
TreeState makeTree(const Record &record, const CreateBody &body, Offset offset, Time time);
bool addSubAgent(TreeState &tree, const ProgramId &program, const CreateBody &body);
/** \brief A new owner: open intents end as unknown, and what the former owner reserved counts as spent. */
bool changeOwner(TreeState &tree, const NodeId &owner, const ClaimBody &body, Offset offset);
void reserve(TreeState &tree, const ReserveBody &body);
/** \param checkDuplicates refuse a second intent, and one whose request has a turn. */
bool openIntent(TreeState &tree, ChainState &chain, const IntentBody &intent, bool checkDuplicates);
/** \param closesIntent whether the turn is the outcome of the chain's open intent. */
bool recordTurn(TreeState &tree, ChainState &chain, const TurnBody &turn, bool closesIntent);
void release(TreeState &tree, const ReleaseBody &body);
/** \brief Ends a program of the tree and the sub-agents below it. */
void endProgram(TreeState &tree, const ProgramId &program, FailureType reason);

} // namespace filbertgw::internal

#endif
