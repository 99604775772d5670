#ifndef FILBERTGW_CORE_STABLEHASH_H
#define FILBERTGW_CORE_STABLEHASH_H

#include <cstdint>
#include <string>

namespace filbertgw {

namespace internal {

/** \brief Mixes the bits, so that each input bit affects all output bits. */
inline std::uint64_t mixBits(std::uint64_t hash)
{
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace internal

/** \brief FNV-1a with a final mix. Unlike std::hash, it is the same on every node and in every version. */
inline std::uint64_t stableHash(const std::string &text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    // With FNV alone, texts that differ in their last characters only have similar upper bits.
    return internal::mixBits(hash);
}

/** \brief Hash of a pair of hashes. */
inline std::uint64_t stableHash(std::uint64_t first, std::uint64_t second)
{
    return internal::mixBits(internal::mixBits(first) + 0x9e3779b97f4a7c15ULL * second);
}

} // namespace filbertgw

#endif
