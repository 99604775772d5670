#ifndef FILBERTGW_CORE_FAILURE_H
#define FILBERTGW_CORE_FAILURE_H

#include "core/nametable.h"
#include "core/time.h"

#include <boost/leaf/result.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace filbertgw {

/** \brief Every kind of failure that is reported to a caller or an operator. */
enum class FailureType : std::uint8_t {
    NotRun,
    OutcomeUnknown,
    BudgetExceeded,
    DeadlinePassed,
    Quarantined,
    Unauthenticated,
    Forbidden,
    NotFound,
    InvalidRequest,
    TooLarge,
    RateLimited,
    Overloaded,
    StoreUnavailable,
    OwnerUnavailable,
    EndpointFailed,
    LoopDetected,
    Conflict,
    ProgramEnded,
};

template<>
struct NameTable<FailureType>
{
    static constexpr std::array<std::pair<FailureType, std::string_view>, 18> entries{{
        {FailureType::NotRun, "not_run"},
        {FailureType::OutcomeUnknown, "outcome_unknown"},
        {FailureType::BudgetExceeded, "budget_exceeded"},
        {FailureType::DeadlinePassed, "deadline_passed"},
        {FailureType::Quarantined, "quarantined"},
        {FailureType::Unauthenticated, "unauthenticated"},
        {FailureType::Forbidden, "forbidden"},
        {FailureType::NotFound, "not_found"},
        {FailureType::InvalidRequest, "invalid_request"},
        {FailureType::TooLarge, "too_large"},
        {FailureType::RateLimited, "rate_limited"},
        {FailureType::Overloaded, "overloaded"},
        {FailureType::StoreUnavailable, "store_unavailable"},
        {FailureType::OwnerUnavailable, "owner_unavailable"},
        {FailureType::EndpointFailed, "endpoint_failed"},
        {FailureType::LoopDetected, "loop_detected"},
        {FailureType::Conflict, "conflict"},
        {FailureType::ProgramEnded, "program_ended"},
    }};
};

/** \brief The error object of every Result. */
struct Failure
{
    FailureType type_ = FailureType::NotRun;
    bool notRun_ = false; ///< True only if it is certain that the request had no effect.
    std::string detail_; ///< Human-readable; not meant to be parsed.
    Duration retryAfter_{0}; ///< Time until a retry is worthwhile; 0 means that a retry doesn't help.
};

/** \brief A value or a failure. \sa Failure */
template<typename T>
using Result = boost::leaf::result<T>;

} // namespace filbertgw

#endif
