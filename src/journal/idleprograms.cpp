#include "journal/idleprograms.h"

#include "journal/programid.h"

#include <algorithm>
#include <tuple>

namespace filbertgw::internal {

namespace {

bool isBefore(const IdleProgram &a, const IdleProgram &b)
{
    return std::tie(a.slot_, a.random_) < std::tie(b.slot_, b.random_);
}

} // namespace

std::uint32_t wholeSeconds(Time time)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

const IdleProgram *IdlePrograms::find(const ProgramId &program) const
{
    const std::optional<ProgramIdParts> parts = programs_.empty() ? std::nullopt : splitProgramId(program);
    if (!parts) {
        return nullptr;
    }
    IdleProgram key;
    key.slot_ = parts->slot_;
    key.random_ = parts->random_;
    const std::vector<IdleProgram>::const_iterator found =
        std::lower_bound(programs_.begin(), programs_.end(), key, isBefore);
    const bool isFound = found != programs_.end() && !isBefore(key, *found);
    return isFound ? &*found : nullptr;
}

IdleProgram *IdlePrograms::find(const ProgramId &program)
{
    const IdleProgram *found = static_cast<const IdlePrograms *>(this)->find(program);
    return found == nullptr ? nullptr : &programs_[static_cast<std::size_t>(found - programs_.data())];
}

bool IdlePrograms::insert(const TreeState &tree, Offset checkpoint, Time time)
{
    const ChainState &chain = tree.chains_.at(tree.root_);
    const bool fits = tree.chains_.size() == 1 && !chain.intent_ && !chain.endReason_;
    const std::optional<ProgramIdParts> parts = splitProgramId(tree.root_);
    if (!fits || !parts) {
        return false;
    }
    IdleProgram idle;
    idle.slot_ = parts->slot_;
    idle.random_ = parts->random_;
    idle.checkpoint_ = checkpoint;
    idle.fencing_ = tree.fencing_;
    idle.idleSinceS_ = wholeSeconds(tree.lastTime_);
    idle.checkpointS_ = wholeSeconds(time);
    idle.deadlineS_ = wholeSeconds(chain.deadline_);
    setOwner(idle, tree.owner_);
    if (programs_.size() == programs_.capacity()) {
        // Growth by an eighth: doubling would waste up to half of the memory.
        programs_.reserve(programs_.size() + programs_.size() / 8 + 16);
    }
    programs_.insert(std::lower_bound(programs_.begin(), programs_.end(), idle, isBefore), idle);
    return true;
}

void IdlePrograms::erase(const IdleProgram &program)
{
    programs_.erase(programs_.begin() + (&program - programs_.data()));
}

NodeId IdlePrograms::ownerOf(const IdleProgram &program) const
{
    return ownerNames_.at(program.owner_);
}

void IdlePrograms::setOwner(IdleProgram &program, const NodeId &node)
{
    program.owner_ = ownerIndex(node);
}

std::uint16_t IdlePrograms::ownerIndex(const NodeId &node)
{
    const std::vector<NodeId>::const_iterator found = std::find(ownerNames_.begin(), ownerNames_.end(), node);
    if (found != ownerNames_.end()) {
        return static_cast<std::uint16_t>(found - ownerNames_.begin());
    }
    ownerNames_.push_back(node);
    return static_cast<std::uint16_t>(ownerNames_.size() - 1);
}

} // namespace filbertgw::internal
