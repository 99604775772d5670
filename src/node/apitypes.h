#ifndef FILBERTGW_NODE_APITYPES_H
#define FILBERTGW_NODE_APITYPES_H

#include "core/failure.h"
#include "core/ids.h"
#include "core/nametable.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace filbertgw {

/** \brief Operations on a program that the API offers to callers. */
enum class ApiOperation : std::uint8_t { Create, Call, CallAnswer, Status, History, End };

template<>
struct NameTable<ApiOperation>
{
    static constexpr std::array<std::pair<ApiOperation, std::string_view>, 6> entries{{
        {ApiOperation::Create, "create"},
        {ApiOperation::Call, "call"},
        {ApiOperation::CallAnswer, "call_answer"},
        {ApiOperation::Status, "status"},
        {ApiOperation::History, "history"},
        {ApiOperation::End, "end"},
    }};
};

/** \brief An authenticated request of a caller; forwarded to the program's owner unless this node owns the program. */
struct ApiRequest
{
    ApiOperation operation_ = ApiOperation::Status;
    AccountId account_;
    ProgramId program_; ///< Empty for the creation of a root program.
    RequestId requestId_;
    nlohmann::json body_ = nlohmann::json::object();
    std::uint32_t hops_ = 0; ///< Number of nodes that have forwarded it.
};

/** \brief Final result of an ApiRequest. */
struct ApiResult
{
    std::optional<Failure> failure_;
    nlohmann::json body_; ///< For a call `{program, request_id, body, usage}`.
};

/** \brief Callbacks for the streamed text and the result of an ApiRequest. */
struct ApiSink
{
    std::function<void(const std::string &text)> text_; ///< Generated text as it arrives; empty if not streamed.
    std::function<void()> rerun_; ///< The call is run again and its text starts from the beginning.
    std::function<void(const ApiResult &)> done_; ///< Exactly once, unless the request is cancelled.
};

/** \brief Reports that the caller has disconnected; the owner still runs the request to its end. */
using ApiCancel = std::function<void()>;

} // namespace filbertgw

#endif
