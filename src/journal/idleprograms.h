#ifndef FILBERTGW_JOURNAL_IDLEPROGRAMS_H
#define FILBERTGW_JOURNAL_IDLEPROGRAMS_H

#include "core/ids.h"
#include "core/time.h"
#include "journal/treestate.h"

#include <cstdint>
#include <vector>

namespace filbertgw {

/** \brief In-memory entry of an idle program: the offset of its checkpoint and the fields that decide ownership. */
struct IdleProgram
{
    std::uint64_t random_ = 0; ///< Random part of the id.
    Offset checkpoint_ = 0;
    Offset fencing_ = 0;
    std::uint32_t idleSinceS_ = 0; ///< Log time of its last record, in seconds.
    std::uint32_t checkpointS_ = 0; ///< Log time of the checkpoint, in seconds.
    std::uint32_t deadlineS_ = 0; ///< 0 for none.
    std::uint16_t slot_ = 0;
    std::uint16_t owner_ = 0; ///< Index into the table of node names.
};

namespace internal {

/** \brief The time in seconds, rounded down. */
std::uint32_t wholeSeconds(Time time);

/** \brief Sorted table of idle programs, searched by program id. */
class IdlePrograms
{
public:
    /** \brief The idle program with this id; null if there is none. */
    const IdleProgram *find(const ProgramId &program) const;
    IdleProgram *find(const ProgramId &program);
    const std::vector<IdleProgram> &all() const
    {
        return programs_;
    }

    /**
     * \brief Adds a tree whose checkpoint is at this offset and log time.
     * \return false if the tree can't be stored as an idle program: it has sub-agents, an open intent or an end, or its
     * id isn't of the form that splitProgramId() parses.
     */
    bool insert(const TreeState &tree, Offset checkpoint, Time time);
    void erase(const IdleProgram &program);

    NodeId ownerOf(const IdleProgram &program) const;
    /** \brief Sets the owner; an empty node means that the program was released. */
    void setOwner(IdleProgram &program, const NodeId &node);

private:
    std::uint16_t ownerIndex(const NodeId &node);

    std::vector<IdleProgram> programs_; ///< Sorted by slot and random part.
    std::vector<NodeId> ownerNames_;
};

} // namespace internal

} // namespace filbertgw

#endif
