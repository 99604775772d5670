#ifndef FILBERTGW_JOURNAL_TREETABLE_H
#define FILBERTGW_JOURNAL_TREETABLE_H

#include "journal/treestate.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace filbertgw::internal {

/** \brief Program trees in memory, found by root, by any of their programs, or by the request that created one. */
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

    /** \brief Adds a tree, or replaces the one with its root. */
    void insert(TreeState tree);
    /** \brief Makes a sub-agent, which is in the tree already, known by its id and its request. */
    void insertSubAgent(const TreeState &tree, const ProgramId &program, const CreateBody &body);
    void erase(const ProgramId &root);
    /** \brief Erases a tree that has no sub-agents. */
    void eraseWithoutSubAgents(const ProgramId &root);

private:
    Trees trees_;
    std::unordered_map<ProgramId, ProgramId> rootOf_; ///< Of sub-agents.
    std::map<std::pair<AccountId, RequestId>, ProgramId> createdBy_;
};

} // namespace filbertgw::internal

#endif
