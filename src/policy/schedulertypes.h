#ifndef FILBERTGW_POLICY_SCHEDULERTYPES_H
#define FILBERTGW_POLICY_SCHEDULERTYPES_H

#include "core/failure.h"
#include "core/ids.h"
#include "core/nametable.h"
#include "core/time.h"
#include "program/programtypes.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Size of a KV-cache block, in tokens; prefixes are compared block by block. */
constexpr std::int64_t cacheBlockTokens = 16;

/** \brief What the scheduler knows of an endpoint from configuration, the VM list and the endpoint's own announcement.
 */
struct EndpointInfo
{
    EndpointId id_;
    CallKind kind_ = CallKind::Model; ///< Model engine, tool or plain service.
    FailureDomain domain_;
    std::string address_; ///< host:port
    std::vector<ModelId> models_; ///< Models of an engine, or names of a tool's or service's calls.
    bool refusesOldFencing_ = false;
    bool checksOrders_ = false; ///< Checks the signature of orders.
    bool leaving_ = false; ///< Gets no new work.
    std::int64_t cacheTokens_ = 1'000'000; ///< KV memory.
    std::int32_t maxStreams_ = 24; ///< Streams that it decodes at once.
};

/** \brief An engine's load report; late by about a second. */
struct LoadReport
{
    EndpointId endpoint_;
    Time measuredAt_{0}; ///< When the engine measured it, by this node's clock less the known lag.
    std::int32_t running_ = 0; ///< Streams that decode.
    std::int32_t waiting_ = 0; ///< Requests in its queue.
    std::int64_t waitingPromptTokens_ = 0; ///< Prompt tokens not yet computed.
    std::int64_t cacheUsedTokens_ = 0;
    std::int64_t pinnedTokens_ = 0;
    std::int32_t livePrograms_ = 0; ///< Programs with cached blocks that were not released.
    std::vector<ModelId> models_; ///< Loaded models.
    bool leaving_ = false;
};

/** \brief What an engine says of its cache; late, and some are lost. */
struct CacheEvent
{
    enum class Kind : std::uint8_t { Stored, Evicted, Cleared };
    EndpointId endpoint_;
    Kind kind_ = Kind::Stored;
    std::uint64_t sequence_ = 0; ///< Without gaps at the engine; a gap here means lost events.
    ProgramId program_; ///< Program whose prefix it concerns; empty for Cleared and for shared prefixes.
    std::uint64_t sharedPrefix_ = 0; ///< Hash of a shared prefix, 0 for a program's own.
    std::int64_t tokens_ = 0; ///< Length of the program's prefix that is cached now.
};

/** \brief A call that is to be run, with what is known of its program. */
struct ScheduleRequest
{
    RequestId requestId_;
    ProgramId program_;
    ProgramId root_;
    AccountId account_;
    CallKind kind_ = CallKind::Model;
    std::string target_;
    bool idempotent_ = true;
    bool runAlone_ = false;
    std::int64_t promptTokens_ = 0; ///< Whole prompt, cached or not.
    std::int64_t sharedTokens_ = 0; ///< Head of the prompt that other programs share.
    std::uint64_t sharedPrefix_ = 0; ///< Hash of that head, 0 if none.
    std::int64_t maxTokens_ = 0;
    EndpointId homeEngine_; ///< From the journal; after a takeover the only hint.
    std::uint32_t turn_ = 0; ///< Turns of the program before this one.
    Time programStarted_{0};
    Time deadline_{0}; ///< 0 for none.
    Offset fencing_ = 0;
};

/** \brief An order to send a request to an endpoint now. */
struct StartOrder
{
    RequestId requestId_;
    ProgramId program_;
    EndpointId endpoint_;
    std::int32_t priority_ = 0; ///< Lower runs first at the engine.
    EndpointId importFrom_; ///< Engine whose cache of the program is moved first, empty for none.
    std::uint32_t attempt_ = 0;
    bool alone_ = false; ///< The engine runs it beside no other request, and says so; for a suspect of a crash.
    bool hedge_ = false; ///< A second copy; the first to answer wins, the other is cancelled.
    std::string reason_; ///< Why this endpoint; shown in `state`.
};

/** \brief How one attempt at an endpoint went. */
enum class AttemptStatus : std::uint8_t { Answered, NotSent, Rejected, TimedOut, ConnectionLost, Crashed, Cancelled };

template<>
struct NameTable<AttemptStatus>
{
    static constexpr std::array<std::pair<AttemptStatus, std::string_view>, 7> entries{{
        {AttemptStatus::Answered, "answered"},
        {AttemptStatus::NotSent, "not_sent"},
        {AttemptStatus::Rejected, "rejected"},
        {AttemptStatus::TimedOut, "timed_out"},
        {AttemptStatus::ConnectionLost, "connection_lost"},
        {AttemptStatus::Crashed, "crashed"},
        {AttemptStatus::Cancelled, "cancelled"},
    }};
};

/** \brief Result of one attempt; reported exactly once for each StartOrder. */
struct AttemptResult
{
    RequestId requestId_;
    ProgramId program_;
    EndpointId endpoint_;
    std::uint32_t attempt_ = 0;
    AttemptStatus status_ = AttemptStatus::Answered;
    std::int64_t promptTokens_ = 0;
    std::int64_t cachedTokens_ = 0; ///< Prompt tokens that the engine had in its cache.
    std::int64_t generatedTokens_ = 0;
    Duration latency_{0};
    Duration firstToken_{0}; ///< From sending to the first token.
};

/** \brief What an order to an engine's memory or models asks for; always a wanted state, never a step. */
enum class OrderKind : std::uint8_t { Pin, Release, Export, Import, LoadModel, LoadAdapter, SetRole, Cancel };

template<>
struct NameTable<OrderKind>
{
    static constexpr std::array<std::pair<OrderKind, std::string_view>, 8> entries{{
        {OrderKind::Pin, "pin"},
        {OrderKind::Release, "release"},
        {OrderKind::Export, "export"},
        {OrderKind::Import, "import"},
        {OrderKind::LoadModel, "load_model"},
        {OrderKind::LoadAdapter, "load_adapter"},
        {OrderKind::SetRole, "set_role"},
        {OrderKind::Cancel, "cancel"},
    }};
};

/** \brief An order to an engine; repeated until it is observed. */
struct EndpointOrder
{
    OrderKind kind_ = OrderKind::Release;
    EndpointId endpoint_;
    ProgramId program_; ///< For Pin, Release, Export, Import and Cancel.
    RequestId requestId_; ///< For Cancel.
    std::string subject_; ///< Model, adapter or role.
    EndpointId peer_; ///< Import: where the cache comes from.
    Offset fencing_ = 0;
    std::string reason_;
};

/** \brief End of a scheduled call, when it needs no further attempt. */
struct ScheduleResult
{
    RequestId requestId_;
    ProgramId program_;
    DispatchStatus status_ = DispatchStatus::Answered;
    std::optional<Failure> failure_;
    EndpointId endpoint_;
    std::uint32_t crashes_ = 0;
};

} // namespace filbertgw

#endif
