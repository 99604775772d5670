#ifndef FILBERTGW_CONFIG_CONFIGRECORD_H
#define FILBERTGW_CONFIG_CONFIGRECORD_H

#include "core/failure.h"
#include "core/ids.h"
#include "core/nametable.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace filbertgw {

/** \brief Kinds of configuration records that this version supports. */
enum class RecordKind : std::uint8_t { Template, Endpoint, Model, Account, Weights, Drain };

template<>
struct NameTable<RecordKind>
{
    static constexpr std::array<std::pair<RecordKind, std::string_view>, 6> entries{{
        {RecordKind::Template, "template"},
        {RecordKind::Endpoint, "endpoint"},
        {RecordKind::Model, "model"},
        {RecordKind::Account, "account"},
        {RecordKind::Weights, "weights"},
        {RecordKind::Drain, "drain"},
    }};
};

/**
 * \brief Schema versions that this version supports.
 *
 * Schema 2 differs in endpoints only: `operations` is an object that gives each operation its own `idempotent` and
 * `price_micros`, instead of schema 1's list of names and its list `non_idempotent`.
 */
constexpr std::int64_t oldestSchema = 1;
constexpr std::int64_t newestSchema = 2;

/** \brief Kind and name; identifies the object that a record configures. */
using RecordKey = std::pair<std::string, std::string>;

/** \brief The only name of a record of kind `weights`. */
constexpr const char *weightsName = "default";

/** \brief Field of the entries of a peer's snapshot; a record that has it is invalid. */
constexpr const char *snapshotField = "snapshot";

/** \brief Maximum CBOR size of a record in bytes; well below the frame and datagram buffers of a node. */
constexpr std::size_t maxRecordBytes = 64 * 1024;

/** \brief Maximum nesting depth of a record; the JSON library's writers recurse once per level. */
constexpr int maxRecordDepth = 16;

/** \brief The key of a record whose `kind` and `name` are strings. */
RecordKey keyOf(const nlohmann::json &record);

/** \brief Validates the fields common to all schemas; the record may be of an unknown schema or kind. */
std::vector<Failure> validateHeader(const nlohmann::json &record);

/** \brief Like validateRecord(), but accepts the copies that nodes append too. */
std::vector<Failure> validateStored(const nlohmann::json &record);

/** \brief True if this version supports the record's schema. */
bool isKnownSchema(const nlohmann::json &record);

/** \brief True if this version supports the record's kind, which must be a string. */
bool isKnownKind(const nlohmann::json &record);

/** \brief True if the record removes the object that it names. */
bool isRemoval(const nlohmann::json &record);

/** \brief Value of a field that is an integer in [min, max], otherwise the fallback. */
std::int64_t
integerOr(const nlohmann::json &object, const char *field, std::int64_t fallback, std::int64_t min, std::int64_t max);

namespace internal {

/** \brief True if no value is nested deeper than `depth`, which also bounds the recursion. */
bool isNestedAtMost(const nlohmann::json &value, int depth);

/** \brief Encodes a record as CBOR, which takes about a fifth of the memory of the parsed record. */
std::string pack(const nlohmann::json &record);
nlohmann::json unpack(const std::string &packed);

} // namespace internal

} // namespace filbertgw

#endif
