#ifndef FILBERTGW_TEST_PLATFORM_RULECHECKER_H
#define FILBERTGW_TEST_PLATFORM_RULECHECKER_H

#include "clientrequest.h"
#include "enginerecord.h"

namespace filbertgw::testing {

/** \brief A rule that was broken, and how. */
struct Violation
{
    std::string rule_;
    std::string what_;
    std::string token_; ///< Of the client's request.
};

/** \brief The rule of a stream with events of two versions; unlike other cases of ORDER, two streams are allowed. */
extern const char *const mixedVersions;

/** \brief Checks what a client received: ORDER, MIXED, REFUSED. */
std::vector<Violation> checkRequest(const ClientRequest &request, const EngineRecord &record);
/** \brief Checks what the engines ran, for all requests of a deployment: TWICE, REFUSED, UNASKED, BUDGET. */
std::vector<Violation> checkRuns(const std::vector<std::shared_ptr<ClientRequest>> &requests,
                                 const EngineRecord &record);
/** \brief What was sent, run and received for a request, by time. */
std::string traceOf(const ClientRequest &request, const EngineRecord &record, Time began);

} // namespace filbertgw::testing

#endif
