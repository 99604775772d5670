#ifndef FILBERTGW_MEMORY_RELEASETEXT_H
#define FILBERTGW_MEMORY_RELEASETEXT_H

#include <string>

namespace filbertgw {

/** \brief Empties a text and frees its memory; clear() and the assignment of an empty text keep it in libstdc++. */
inline void releaseText(std::string &text)
{
    std::string().swap(text);
}

} // namespace filbertgw

#endif
