#ifndef FILBERTGW_JOURNAL_TREEUPDATES_H
#define FILBERTGW_JOURNAL_TREEUPDATES_H

#include "journal/treestate.h"

namespace filbertgw::internal {

/*
 * Updates of a TreeState, one function for each type of record. A function returns false and changes nothing if the
 * record isn't valid in this state. The caller checks first that the writer may write the record.
 */

/** \brief Creates a tree from a create record at this offset and log time. */
TreeState makeTree(const Record &record, const CreateBody &body, Offset offset, Time time);
bool addSubAgent(TreeState &tree, const ProgramId &program, const CreateBody &body);
/** \brief Changes the owner: closes open intents as unknown and counts the former owner's reservations as spent. */
bool changeOwner(TreeState &tree, const NodeId &owner, const ClaimBody &body, Offset offset);
void reserve(TreeState &tree, const ReserveBody &body);
/** \param checkDuplicates refuse a second open intent, and an intent whose request already has a turn. */
bool openIntent(TreeState &tree, ChainState &chain, const IntentBody &intent, bool checkDuplicates);
/** \param closesIntent whether the turn is the outcome of the chain's open intent. */
bool recordTurn(TreeState &tree, ChainState &chain, const TurnBody &turn, bool closesIntent);
void release(TreeState &tree, const ReleaseBody &body);
/** \brief Ends a program of the tree and the sub-agents below it. */
void endProgram(TreeState &tree, const ProgramId &program, FailureType reason);

} // namespace filbertgw::internal

#endif
