#include "journal/treetable.h"

namespace filbertgw::internal {

TreeState *TreeTable::find(const ProgramId &root) const
{
    const Trees::const_iterator found = trees_.find(root);
    return found == trees_.end() ? nullptr : found->second.get();
}

TreeState *TreeTable::findOf(const ProgramId &program) const
{
    const std::unordered_map<ProgramId, ProgramId>::const_iterator root = rootOf_.find(program);
    return find(root == rootOf_.end() ? program : root->second);
}

ProgramId TreeTable::createdBy(const AccountId &account, const RequestId &request) const
{
    const std::map<std::pair<AccountId, RequestId>, ProgramId>::const_iterator found =
        createdBy_.find({account, request});
    return found == createdBy_.end() ? ProgramId() : found->second;
}

void TreeTable::insert(TreeState tree)
{
    createdBy_[{tree.account_, tree.createRequest_}] = tree.root_;
    for (const std::pair<const ProgramId, ChainState> &entry : tree.chains_) {
        if (entry.first != tree.root_) {
            rootOf_[entry.first] = tree.root_;
        }
    }
    std::unique_ptr<TreeState> &place = trees_[tree.root_];
    place = std::make_unique<TreeState>(std::move(tree));
}

void TreeTable::insertSubAgent(const TreeState &tree, const ProgramId &program, const CreateBody &body)
{
    createdBy_[{body.account_, body.requestId_}] = program;
    rootOf_[program] = tree.root_;
}

void TreeTable::erase(const ProgramId &root)
{
    const Trees::iterator found = trees_.find(root);
    if (found == trees_.end()) {
        return;
    }
    for (std::map<std::pair<AccountId, RequestId>, ProgramId>::iterator entry =
             createdBy_.lower_bound({found->second->account_, RequestId()});
         entry != createdBy_.end() && entry->first.first == found->second->account_;) {
        const bool isOfTree = found->second->chains_.count(entry->second) != 0;
        entry = isOfTree ? createdBy_.erase(entry) : std::next(entry);
    }
    for (const std::pair<const ProgramId, ChainState> &entry : found->second->chains_) {
        rootOf_.erase(entry.first);
    }
    trees_.erase(found);
}

void TreeTable::eraseWithoutSubAgents(const ProgramId &root)
{
    const Trees::iterator found = trees_.find(root);
    createdBy_.erase({found->second->account_, found->second->createRequest_});
    trees_.erase(found);
}

} // namespace filbertgw::internal
