#ifndef FILBERTGW_JOURNAL_TREETABLE_H
#define FILBERTGW_JOURNAL_TREETABLE_H

#include "journal/treestate.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace filbertgw::internal {

/** \brief Program trees in memory, indexed by root, by program and by create request. */
class TreeTable
{
public:
    using Trees = std::unordered_map<ProgramId, std::unique_ptr<TreeState>>;

    const Trees &all() const
    {
        return trees_;
    }
    /** \brief The tree with this root, or null. */
    TreeState *find(const ProgramId &root) const;
    /** \brief The tree that a program belongs to, or null. */
    TreeState *findOf(const ProgramId &program) const;
    /** \brief Program that was created by an account with a request id; empty if none. */
    ProgramId createdBy(const AccountId &account, const RequestId &request) const;

    /** \brief Adds a tree, or replaces the tree with the same root. */
    void insert(TreeState tree);
    /** \brief Indexes a sub-agent that is already in the tree by its id and its create request. */
    void insertSubAgent(const TreeState &tree, const ProgramId &program, const CreateBody &body);
    void erase(const ProgramId &root);
    /** \brief Erases a tree that has no sub-agents. */
    void eraseWithoutSubAgents(const ProgramId &root);

private:
    Trees trees_;
    std::unordered_map<ProgramId, ProgramId> rootOf_; ///< Root of each sub-agent.
    std::map<std::pair<AccountId, RequestId>, ProgramId> createdBy_;
};

} // namespace filbertgw::internal

#endif
