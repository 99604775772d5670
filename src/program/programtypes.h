#ifndef FILBERTGW_PROGRAM_PROGRAMTYPES_H
#define FILBERTGW_PROGRAM_PROGRAMTYPES_H

#include "core/failure.h"
#include "core/ids.h"
#include "core/nametable.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief Kind of the target of a call. */
enum class CallKind : std::uint8_t { Model, Tool, Service, SubAgent };

template<>
struct NameTable<CallKind>
{
    static constexpr std::array<std::pair<CallKind, std::string_view>, 4> entries{{
        {CallKind::Model, "model"},
        {CallKind::Tool, "tool"},
        {CallKind::Service, "service"},
        {CallKind::SubAgent, "subagent"},
    }};
};

/** \brief Amounts that a budget limits; also used for usage and reservations. */
struct Spend
{
    std::int64_t tokens_ = 0; ///< Prompt plus generated tokens.
    std::int64_t calls_ = 0;
    std::int64_t moneyMicros_ = 0; ///< Millionths of the account's currency unit.
};

/** \brief A validated and authenticated request to create a program. */
struct CreateRequest
{
    RequestId requestId_; ///< A repeated create with the same id and account returns the same program.
    AccountId account_;
    ProgramId parent_; ///< Empty for the root of a tree.
    Spend budget_; ///< Of the whole tree; ignored for a sub-agent, which shares the budget of its root.
    Time deadline_{0}; ///< 0 for none.
    std::uint32_t maxTurns_ = 200;
};

/** \brief A validated and authenticated call of a program. */
struct CallRequest
{
    RequestId requestId_; ///< Unique within its program.
    ProgramId program_;
    AccountId account_;
    CallKind kind_ = CallKind::Model;
    std::string target_; ///< Name of a model, tool or plain service.
    std::string input_; ///< Text that is appended to the history, or the JSON argument of a tool.
    std::int64_t maxTokens_ = 0; ///< Maximum number of generated tokens; 0 for ProgramSettings::defaultMaxTokens_.
    bool idempotent_ = true; ///< Set by the configuration, not by the caller.
    std::int64_t priceMicros_ = 0; ///< Worst-case price of the call.
    Time deadline_{0}; ///< 0 for the deadline of the program.
};

/** \brief The final answer to a call. It is recorded, so that a repeated request gets an identical answer. */
struct CallAnswer
{
    RequestId requestId_;
    ProgramId program_;
    std::optional<Failure> failure_;
    std::string body_; ///< Generated text or the answer of the tool.
    Spend usage_;
    bool replayed_ = false; ///< True if it was read from the journal instead of running the call.
};

/** \brief A call to run. Its reservation is durable, and so is the intent of a non-idempotent call. */
struct Dispatch
{
    CallRequest call_;
    std::string prompt_; ///< History followed by the input; for model calls only.
    ProgramId root_; ///< Root of the program's tree.
    Offset fencing_ = 0;
    std::uint32_t attempt_ = 0; ///< Number of earlier dispatches of the same request.
    EndpointId homeEngine_; ///< Engine of the program's last model call; empty if there is none.
    std::string contentHash_; ///< SHA-256 of kind, target and content in hexadecimal; identifies content in quarantine.
    bool runAlone_ = false; ///< Suspected of a crash: no other request may run on the engine at the same time.
};

/** \brief How a dispatched call ended. */
enum class DispatchStatus : std::uint8_t {
    Answered,
    NotSent, ///< Not received by any endpoint.
    Failed, ///< The endpoint returned an error and, for a non-idempotent call, stated that it didn't run.
    Unknown, ///< Sent, but no complete answer was received.
};

template<>
struct NameTable<DispatchStatus>
{
    static constexpr std::array<std::pair<DispatchStatus, std::string_view>, 4> entries{{
        {DispatchStatus::Answered, "answered"},
        {DispatchStatus::NotSent, "not_sent"},
        {DispatchStatus::Failed, "failed"},
        {DispatchStatus::Unknown, "unknown"},
    }};
};

/** \brief Outcome of a Dispatch; reported exactly once. */
struct DispatchOutcome
{
    ProgramId program_;
    RequestId requestId_;
    DispatchStatus status_ = DispatchStatus::Unknown;
    std::optional<Failure> failure_; ///< Set unless the call was answered.
    std::string body_;
    Spend usage_; ///< Actual usage where it is known; otherwise the reservation is charged.
    EndpointId endpoint_; ///< Endpoint of the last attempt.
    std::uint32_t crashes_ = 0; ///< Endpoints that crashed while running it, without another suspect.
};

} // namespace filbertgw

#endif
