#ifndef FILBERTGW_JOURNAL_RECORD_H
#define FILBERTGW_JOURNAL_RECORD_H

#include "core/failure.h"
#include "core/ids.h"
#include "core/nametable.h"
#include "program/programtypes.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace filbertgw {

/** \brief Newest record schema that this version applies. */
constexpr std::uint32_t recordSchema = 1;

/** \brief Maximum size of a record, in bytes of JSON text. */
constexpr std::size_t maxRecordBytes = 4U << 20U;

/** \brief Maximum nesting of arrays and objects in a record. */
constexpr std::size_t maxRecordDepth = 24;

enum class RecordType : std::uint8_t {
    Claim,
    Create,
    Reserve,
    Intent,
    Outcome,
    Turn,
    Checkpoint,
    Release,
    End,
    Quarantine,
};

template<>
struct NameTable<RecordType>
{
    static constexpr std::array<std::pair<RecordType, std::string_view>, 10> entries{{
        {RecordType::Claim, "claim"},
        {RecordType::Create, "create"},
        {RecordType::Reserve, "reserve"},
        {RecordType::Intent, "intent"},
        {RecordType::Outcome, "outcome"},
        {RecordType::Turn, "turn"},
        {RecordType::Checkpoint, "checkpoint"},
        {RecordType::Release, "release"},
        {RecordType::End, "end"},
        {RecordType::Quarantine, "quarantine"},
    }};
};

/** \brief Takes ownership of a program tree; its own offset becomes the tree's fencing token. */
struct ClaimBody
{
    Offset supersedes_ = 0; ///< Latest fencing token that the claimant has read.
    Spend reserved_; ///< Allowance for calls of the new owner.
};

/** \brief Creates a program; a root's fencing token is the offset of this record until the first claim. */
struct CreateBody
{
    RequestId requestId_;
    AccountId account_;
    ProgramId parent_; ///< Empty for a root.
    Spend budget_; ///< Budget of the whole tree; unused for a sub-agent.
    Time deadline_{0};
    std::uint32_t maxTurns_ = 0;
    Spend reserved_; ///< Allowance for future turns; for a sub-agent, the outstanding total of the tree.
    Spend spent_; ///< For a sub-agent, spent in the tree outside of turns since the last record.
};

/** \brief Sets the outstanding reservations of a tree. */
struct ReserveBody
{
    Spend reserved_; ///< Outstanding total of the tree after this record.
    Spend spent_; ///< Part of the previous total that was spent and belongs to no turn.
};

/** \brief Announces a non-idempotent call before it is sent. */
struct IntentBody
{
    RequestId requestId_;
    std::string requestHash_; ///< Hash of kind, target and input.
    CallKind kind_ = CallKind::Tool;
    std::string target_;
    std::string input_;
    Spend reserved_; ///< Outstanding total of the tree, this call included.
    Spend spent_;
};

/** \brief How a recorded call ended. */
enum class TurnStatus : std::uint8_t {
    Answered,
    Unknown, ///< Non-idempotent, sent, outcome unknown; never sent again.
    Abandoned, ///< Intent cancelled before the call was sent, or the endpoint reported that the call did not run.
    Refused, ///< Never run, and permanently refused: a delayed copy of the request must not run after later calls.
};

template<>
struct NameTable<TurnStatus>
{
    static constexpr std::array<std::pair<TurnStatus, std::string_view>, 4> entries{{
        {TurnStatus::Answered, "answered"},
        {TurnStatus::Unknown, "unknown"},
        {TurnStatus::Abandoned, "abandoned"},
        {TurnStatus::Refused, "refused"},
    }};
};

/** \brief One finished call; body of `turn` and of `outcome` (the latter closes an intent). */
struct TurnBody
{
    std::uint64_t sequence_ = 0; ///< Position in the chain, from 0.
    TurnStatus status_ = TurnStatus::Answered;
    RequestId requestId_;
    std::string requestHash_;
    std::string contentHash_; ///< After an answered call, content with this hash is no longer a suspect.
    CallKind kind_ = CallKind::Model;
    std::string target_;
    std::string input_;
    std::string answer_;
    FailureType refusal_ = FailureType::NotRun; ///< For Refused.
    bool refusalNotRun_ = false; ///< For Refused: true if it is certain that no earlier attempt was run either.
    Spend usage_;
    EndpointId endpoint_;
    Spend reserved_; ///< Outstanding total of the tree after this call.
    Spend spent_; ///< Spent outside of turns since the last record.
};

/** \brief Complete state of a program tree, so that older entries may expire. */
struct CheckpointBody
{
    Offset coveredOffset_ = 0; ///< The state includes every record of the tree up to this offset.
    bool idle_ = false; ///< Readers keep only the offset of this record in memory.
    nlohmann::json state_;
};

/** \brief Gives up ownership of a tree, so that another node may claim it without waiting. */
struct ReleaseBody
{
    Spend spent_; ///< Spent outside of turns since the last record.
};

/** \brief Ends a program and its sub-agents. */
struct EndBody
{
    FailureType reason_ = FailureType::ProgramEnded; ///< Failure that later calls return.
};

/** \brief Attributes a crash to a content hash; the second attributed crash quarantines it. */
struct QuarantineBody
{
    std::string contentHash_;
    bool isPoison_ = false; ///< False for the first crash: requests with this content are then suspects and run alone.
};

using RecordBody = std::variant<ClaimBody,
                                CreateBody,
                                ReserveBody,
                                IntentBody,
                                TurnBody,
                                CheckpointBody,
                                ReleaseBody,
                                EndBody,
                                QuarantineBody>;

/** \brief One record of the journal. */
struct Record
{
    RecordId id_; ///< `writer#number`; the numbers of a writer increase in append order.
    std::uint32_t schema_ = recordSchema;
    RecordType type_ = RecordType::Claim;
    ProgramId program_;
    ProgramId root_; ///< Root of the program's tree; the program itself for a root.
    NodeId node_;
    Offset fencing_ = 0; ///< Offset of the claim that the writer holds; 0 in claims and in creates of a root.
    RecordBody body_;
    nlohmann::json extra_ = nlohmann::json::object(); ///< Unknown fields of the record.
    nlohmann::json bodyExtra_ = nlohmann::json::object(); ///< Unknown fields of its body.
};

/** \brief The record as JSON, unknown fields included. */
nlohmann::json toJson(const Record &record);

/**
 * \brief Parses a record with checks of types, sizes and depth.
 * \return nothing if the record is malformed; `error` then gives the reason. Of a record with a newer schema only id,
 * schema and program are parsed.
 */
std::optional<Record> parseRecord(const nlohmann::json &json, std::string &error);

/** \brief Like parseRecord(), but from JSON text. */
std::optional<Record> parseRecordText(std::string_view text, std::string &error);

nlohmann::json spendToJson(const Spend &spend);
/** \brief Parses the three amounts; returns false if one is missing, negative or too large. */
bool spendFromJson(const nlohmann::json &json, Spend &spend);

nlohmann::json turnToJson(const TurnBody &turn);
bool turnFromJson(const nlohmann::json &json, TurnBody &turn);

/**
 * \brief True if the value nests no deeper than maxRecordDepth and its size is at most maxRecordBytes.
 *
 * The size is that of strings and keys, plus 8 bytes per value.
 */
bool isBounded(const nlohmann::json &json);

Spend operator+(const Spend &a, const Spend &b);
Spend operator-(const Spend &a, const Spend &b);
bool operator==(const Spend &a, const Spend &b);
/** \brief True if every amount of `a` is at most that of `b`. */
bool fitsIn(const Spend &a, const Spend &b);
Spend minimum(const Spend &a, const Spend &b);
Spend maximum(const Spend &a, const Spend &b);
/** \brief Replaces negative amounts by 0. */
Spend clampedToZero(const Spend &spend);

} // namespace filbertgw

#endif
