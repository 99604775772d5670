#ifndef FILBERTGW_TEST_PLATFORM_ENGINERECORD_H
#define FILBERTGW_TEST_PLATFORM_ENGINERECORD_H

#include "engineanswer.h"

#include <deque>

namespace filbertgw::testing {

/** \brief A request that an engine began to work on. */
struct EngineRun
{
    std::uint64_t number_ = 0;
    std::string engine_;
    std::string version_;
    std::string method_;
    std::string target_;
    std::map<std::string, std::string> headers_; ///< Names in lower case.
    std::string body_;
    std::string attempt_;
    std::string token_;
    std::uint64_t events_ = 0; ///< Of the whole stream; 0 for an answer that is no stream.
    std::uint64_t lastEventId_ = 0;
    std::string stamp_;
    AnswerPlan plan_;
    int status_ = 200;
    std::string answer_; ///< Body of an answer that is no stream.
    Time at_{0};
};

/** \brief The runs of all engines. */
struct EngineRecord
{
    std::deque<EngineRun> runs_; ///< By number.
    std::uint64_t refusals_ = 0; ///< Answers that say that the request has not run.
    std::uint64_t misdirected_ = 0;
    std::uint64_t copies_ = 0; ///< Second copies of answers.
};

/** \brief What a request asks for. */
struct RequestedAnswer
{
    std::string token_;
    std::uint64_t events_ = 0; ///< 0 for an answer that is no stream.
};

/** \brief Reads the last `[[token|events]]` of a body; without a body the token is the last part of the path. */
RequestedAnswer requestedAnswer(const std::string &target, const std::string &body);
/** \brief A body that asks for a stream, or for a plain answer if there are no events. */
std::string requestBody(const RequestedAnswer &answer);

} // namespace filbertgw::testing

#endif
