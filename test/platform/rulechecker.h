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
/** \brief How many streams begin and go on, for the rule LOST; counted are resumable streams. */
struct StreamShares
{
    std::size_t sent_ = 0;
    std::size_t begun_ = 0; ///< Their client got an event.
    std::size_t takenUp_ = 0; ///< Their client named the last event that it had.
    std::size_t wentOn_ = 0; ///< An answer to that was a success with an event, or whole.
    std::size_t takeUpTries_ = 0;
    std::size_t takeUpTriesServed_ = 0;
};

StreamShares countStreams(const std::vector<std::shared_ptr<ClientRequest>> &requests);
/** \brief Checks LOST for streams that are taken up, where all engines answer them as they should. */
std::vector<Violation> checkShares(const StreamShares &shares);
/** \brief What was sent, run and received for a request, by time. */
std::string traceOf(const ClientRequest &request, const EngineRecord &record, Time began);

} // namespace filbertgw::testing

#endif
