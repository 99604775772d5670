#ifndef FILBERTGW_JOURNAL_PROGRAMID_H
#define FILBERTGW_JOURNAL_PROGRAMID_H

#include "core/ids.h"

#include <cstdint>
#include <optional>

namespace filbertgw {

/** \brief Parts of a program id: 'p', three hexadecimal digits of slot, sixteen of the random part. */
struct ProgramIdParts
{
    std::uint16_t slot_ = 0;
    std::uint64_t random_ = 0;
};

/** \brief The parts of an id; nothing if it isn't of the form that nodes make. \sa makeProgramId */
std::optional<ProgramIdParts> splitProgramId(const ProgramId &program);

/** \brief The id with these parts. */
ProgramId joinProgramId(const ProgramIdParts &parts);

} // namespace filbertgw

#endif
