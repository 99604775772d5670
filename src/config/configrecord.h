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

/** \brief Kinds of configuration records that this version applies. */
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
 * \brief Schema versions that this version applies.
 *
 * Schema 2 differs in endpoints only: `operations` is an object that gives each operation its own `idempotent` and
 * `price_micros`, in place of schema 1's list of names and its list `non_idempotent`.
 */
constexpr std::int64_t oldestSchema = 1;
constexpr std::int64_t newestSchema = 2;

/** \brief Kind and name; identifies the thing that a record configures. */
using RecordKey = std::pair<std::string, std::string>;

/** \brief The only name of a record of kind `weights`. */
constexpr const char *weightsName = "default";

/** \brief Member of an entry that belongs to a peer's snapshot; a record that has it is invalid. */
constexpr const char *snapshotField = "snapshot";

/** \brief Largest record, as JSON text in bytes. Keeps a record well below the frame and datagram buffers of a node. */
constexpr std::size_t maxRecordBytes = 64 * 1024;

/** \brief Deepest nesting of a record; the JSON library's writers recurse once per level. */
constexpr int maxRecordDepth = 16;

/** \brief The key of a record whose `kind` and `name` are strings. */
RecordKey keyOf(const nlohmann::json &record);

/** \brief Errors in the fields that every schema has; the record may be of an unknown schema or kind. */
std::vector<Failure> validateHeader(const nlohmann::json &record);

/** \brief As validateRecord(), but also for copies that nodes append. */
std::vector<Failure> validateStored(const nlohmann::json &record);

/** \brief True if this version applies the record's schema. */
bool isKnownSchema(const nlohmann::json &record);

/** \brief True if this version applies the record's kind, which must be a string. */
bool isKnownKind(const nlohmann::json &record);

/** \brief True if the record, whose fields are valid, says that what it names no longer exists. */
bool isRemoval(const nlohmann::json &record);

/** \brief A member that is an integer in [low, high], or the fallback. */
std::int64_t
integerOr(const nlohmann::json &object, const char *field, std::int64_t fallback, std::int64_t min, std::int64_t max);

namespace internal {

/** \brief True if no value is nested deeper than the limit. Does not recurse beyond it. */
bool isNestedAtMost(const nlohmann::json &value, int depth);

/** \brief A record as CBOR, which takes about a fifth of the memory of a parsed one. */
std::string pack(const nlohmann::json &record);
nlohmann::json unpack(const std::string &packed);

} // namespace internal

} // namespace filbertgw

#endif
