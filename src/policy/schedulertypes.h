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

/** \brief Properties of an endpoint from the configuration, the VM list and its own announcement. */
struct EndpointInfo
{
    EndpointId id_;
    CallKind kind_ = CallKind::Model; ///< Model engine, tool or plain service.
    FailureDomain domain_;
    std::string address_; ///< host:port
    std::vector<ModelId> models_; ///< Models of an engine, or names of the calls of a tool or service.
    bool refusesOldFencing_ = false; ///< Rejects requests and orders with an outdated fencing offset.
    bool checksOrders_ = false; ///< Verifies the signature of orders.
    bool leaving_ = false; ///< Gets no new work.
    std::int64_t cacheTokens_ = 1'000'000; ///< Size of the KV memory.
    std::int32_t maxStreams_ = 24; ///< Maximum number of concurrently decoding streams.
};

/** \brief Load report of an engine; about a second old on arrival. */
struct LoadReport
{
    EndpointId endpoint_;
    Time measuredAt_{0}; ///< Time of the measurement: this node's clock minus the known lag.
    std::int32_t running_ = 0; ///< Decoding streams.
    std::int32_t waiting_ = 0; ///< Queued requests.
    std::int64_t waitingPromptTokens_ = 0; ///< Prompt tokens not yet computed.
    std::int64_t cacheUsedTokens_ = 0;
    std::int64_t pinnedTokens_ = 0;
    std::int32_t livePrograms_ = 0; ///< Programs with cached blocks that were not released.
    std::vector<ModelId> models_; ///< Loaded models.
    bool leaving_ = false;
};

/** \brief Change of an engine's cache; delayed, and some events are lost. */
struct CacheEvent
{
    enum class Kind : std::uint8_t { Stored, Evicted, Cleared };
    EndpointId endpoint_;
    Kind kind_ = Kind::Stored;
    std::uint64_t sequence_ = 0; ///< Consecutive at the engine; a gap means lost events.
    ProgramId program_; ///< Program of the prefix; empty for Cleared and for shared prefixes.
    std::uint64_t sharedPrefix_ = 0; ///< Hash of a shared prefix; 0 for a program's own prefix.
    std::int64_t tokens_ = 0; ///< Length of the prefix that is still cached.
};

/** \brief A call to schedule, with the state of its program. */
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
    std::int64_t promptTokens_ = 0; ///< Whole prompt, including cached tokens.
    std::int64_t sharedTokens_ = 0; ///< Length of the prefix that is shared with other programs.
    std::uint64_t sharedPrefix_ = 0; ///< Hash of that prefix; 0 if there is none.
    std::int64_t maxTokens_ = 0;
    EndpointId homeEngine_; ///< From the journal; after a takeover nothing else is known of the cache.
    std::uint32_t turn_ = 0; ///< Number of the program's turns before this one.
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
    std::int32_t priority_ = 0; ///< The engine runs lower values first.
    EndpointId importFrom_; ///< Engine from which the program's cache is moved first; empty for none.
    std::uint32_t attempt_ = 0;
    bool alone_ = false; ///< The engine runs no other request beside it and confirms that; for suspects of a crash.
    bool hedge_ = false; ///< Hedged request: the first answer is used, the other copy is cancelled.
    std::string reason_; ///< Why this endpoint was chosen; shown in `state`.
};

/** \brief Outcome of one attempt at an endpoint. */
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
    std::int64_t cachedTokens_ = 0; ///< Prompt tokens that were cached on the engine.
    std::int64_t generatedTokens_ = 0;
    Duration latency_{0};
    Duration firstToken_{0}; ///< Time to first token, from sending.
};

/** \brief Kind of an order to an engine; each names a desired state, so repeating it is harmless. */
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

/** \brief An order to an engine; repeated until its effect is observed. */
struct EndpointOrder
{
    OrderKind kind_ = OrderKind::Release;
    EndpointId endpoint_;
    ProgramId program_; ///< For Pin, Release, Export, Import and Cancel.
    RequestId requestId_; ///< For Cancel.
    std::string subject_; ///< Name of the model, adapter or role.
    EndpointId peer_; ///< For Import: engine from which the cache is copied.
    Offset fencing_ = 0;
    std::string reason_;
};

/** \brief Final result of a scheduled call. */
struct ScheduleResult
{
    RequestId requestId_;
    ProgramId program_;
    DispatchStatus status_ = DispatchStatus::Answered;
    std::optional<Failure> failure_;
    EndpointId endpoint_;
    std::uint32_t crashes_ = 0; ///< Crashes attributed to the call; 0 unless it is a poison request.
};

} // namespace filbertgw

#endif
