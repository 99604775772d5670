#ifndef FILBERTGW_JOURNAL_PROGRAMID_H
#define FILBERTGW_JOURNAL_PROGRAMID_H

#include "core/ids.h"

#include <cstdint>
#include <optional>

namespace filbertgw {

/** \brief Parts of a program id, which is 'p', three hexadecimal digits of the slot and sixteen of the random part. */
struct ProgramIdParts
{
    std::uint16_t slot_ = 0;
    std::uint64_t random_ = 0;
};

/** \brief Splits an id; returns nothing if it isn't of the form that nodes generate. \sa makeProgramId */
std::optional<ProgramIdParts> splitProgramId(const ProgramId &program);

/** \brief Composes an id of its parts; inverse of splitProgramId(). */
ProgramId joinProgramId(const ProgramIdParts &parts);

} // namespace filbertgw

#endif
