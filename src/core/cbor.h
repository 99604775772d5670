#ifndef FILBERTGW_CORE_CBOR_H
#define FILBERTGW_CORE_CBOR_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace filbertgw {

namespace internal {

/** \brief CBOR major types (RFC 8949, section 3.1). */
enum class CborMajorType : std::uint8_t {
    Unsigned = 0,
    Negative = 1,
    Bytes = 2,
    Text = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
    Simple = 7,
};

} // namespace internal

/** \brief What texts may contain. */
enum class CborText : std::uint8_t {
    Bytes, ///< Anything.
    Utf8,
};

/**
 * \brief Decodes a CBOR item that another process wrote.
 *
 * Items that are nested deeply, or claim to hold more than they do, are refused before they are decoded: decoding is
 * recursive, and would allocate what they claim.
 * \return a discarded value if the item is refused
 */
nlohmann::json decodeCbor(const std::string &bytes, CborText text = CborText::Bytes);

/** \brief Parses a JSON text that another process wrote; values nested more deeply than 64 levels are left out. */
nlohmann::json decodeJson(const std::string &text);

} // namespace filbertgw

#endif
