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

/** \brief What a call is sent to. */
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

/** \brief An amount of what a budget limits; also used for usage and reservations. */
struct Spend
{
    std::int64_t tokens_ = 0; ///< Prompt plus generated tokens.
    std::int64_t calls_ = 0;
    std::int64_t moneyMicros_ = 0; ///< Millionths of the account's currency unit.
};

/** \brief A request to create a program, checked and authenticated. */
struct CreateRequest
{
    RequestId requestId_; ///< A repeated create with the same id and account returns the same program.
    AccountId account_;
    ProgramId parent_; ///< Empty for the root of a tree.
    Spend budget_; ///< Of the whole tree; ignored for a sub-agent, which spends its root's budget.
    Time deadline_{0}; ///< 0 for none.
    std::uint32_t maxTurns_ = 200;
};

/** \brief One call of a program, checked and authenticated. */
struct CallRequest
{
    RequestId requestId_; ///< Unique within its program.
    ProgramId program_;
    AccountId account_;
    CallKind kind_ = CallKind::Model;
    std::string target_; ///< Name of a model, tool or plain service.
    std::string input_; ///< Text that the call adds to the history, or a tool's JSON argument.
    std::int64_t maxTokens_ = 0; ///< Most tokens to generate; 0 for the model's default.
    bool idempotent_ = true; ///< From configuration, not from the caller.
    std::int64_t priceMicros_ = 0; ///< Worst-case price of the call.
    Time deadline_{0}; ///< When the call is given up; 0 for the program's deadline.
};

/** \brief The final answer to a call; recorded, so that a repeated request id gets the same bytes. */
struct CallAnswer
{
    RequestId requestId_;
    ProgramId program_;
    std::optional<Failure> failure_;
    std::string body_; ///< Generated text or the tool's answer.
    Spend usage_;
    bool replayed_ = false; ///< True if it comes from the journal and was not run for this request.
};

/** \brief An order to run one call; its reservation, and for non-idempotent calls its intent, is durable. */
struct Dispatch
{
    CallRequest call_;
    std::string prompt_; ///< Whole history plus the call's input, for model calls.
    ProgramId root_; ///< Root of the program's tree.
    Offset fencing_ = 0;
    std::uint32_t attempt_ = 0; ///< Number of earlier dispatches of the same request.
    EndpointId homeEngine_; ///< Engine of the program's last model call, empty if none.
    std::string contentHash_; ///< Of kind, target, prompt and input, hex; key of quarantine.
    bool runAlone_ = false; ///< After a crash: no other request may run beside it on the engine.
};

/** \brief How a dispatched call ended. */
enum class DispatchStatus : std::uint8_t {
    Answered,
    NotSent, ///< Certain that no endpoint received it.
    Failed, ///< The endpoint answered with an error and, for a non-idempotent call, says that it did not run.
    Unknown, ///< Sent, but no whole answer came.
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

/** \brief Outcome of a Dispatch, reported exactly once for each. */
struct DispatchOutcome
{
    ProgramId program_;
    RequestId requestId_;
    DispatchStatus status_ = DispatchStatus::Unknown;
    std::optional<Failure> failure_; ///< Set unless answered.
    std::string body_;
    Spend usage_; ///< Real usage, as far as it is known; the reservation counts where it is not.
    EndpointId endpoint_; ///< Where it ran last.
    std::uint32_t crashes_ = 0; ///< Endpoints that crashed while they ran it and no other request convicts.
};

} // namespace filbertgw

#endif
