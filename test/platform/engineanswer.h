#ifndef FILBERTGW_TEST_PLATFORM_ENGINEANSWER_H
#define FILBERTGW_TEST_PLATFORM_ENGINEANSWER_H

#include "core/nametable.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace filbertgw::testing {

/** \brief What an engine sends in answer to a request that it runs. */
enum class AnswerForm : std::uint8_t {
    Whole,
    BreakBetweenEvents, ///< The stream breaks off after a number of events.
    BreakInsideEvent, ///< The stream breaks off inside the event after that number.
    Json, ///< 200, and a body that is no event stream; so are the next two.
    Html, ///< With blank lines, as between events.
    EmptyBody,
    BeginsAnew, ///< An event stream from the first event on, whatever was asked for; the next three don't go on either.
    LeavesOneOut,
    RepeatsOne,
    EmptyStream,
    ErrorStatus, ///< 500 with a text.
    CutHead, ///< The connection ends inside the head.
};

/** \brief How the end of an answer is marked. */
enum class AnswerFraming : std::uint8_t { Chunks, Length, Connection };

/** \brief How a connection ends. */
enum class ConnectionEnd : std::uint8_t { KeptOpen, Fin, Reset };

/** \brief When a copy of an earlier answer follows on a connection. */
enum class AnswerCopy : std::uint8_t {
    None,
    Early, ///< At once after the answer.
    Late, ///< Where the next answer is expected.
    Pieces, ///< As Late, in two pieces.
};

/** \brief How one request is answered. */
struct AnswerPlan
{
    AnswerForm form_ = AnswerForm::Whole;
    AnswerFraming framing_ = AnswerFraming::Chunks;
    ConnectionEnd cut_ = ConnectionEnd::Fin; ///< Of answers that break off.
    std::uint64_t eventsBeforeBreak_ = 3;
    bool isStamped_ = true;
    AnswerCopy copy_ = AnswerCopy::None;
};

/** \brief What an answer is about. */
struct AnswerSubject
{
    std::string engine_;
    std::string version_;
    std::string attempt_;
    std::string token_; ///< Names the client's stream or request; part of each event.
    std::string stamp_;
    std::uint64_t run_ = 0;
    std::uint64_t lastEventId_ = 0;
    std::uint64_t events_ = 0; ///< Of the whole stream; 0 for a plain answer.
    Duration eventGap_{5'000};
};

/** \brief Bytes that are sent after a delay. */
struct AnswerPiece
{
    Duration delay_{0};
    std::string bytes_;
};

/** \brief An answer as the bytes to send. */
struct AnswerScript
{
    std::vector<AnswerPiece> pieces_;
    ConnectionEnd end_ = ConnectionEnd::KeptOpen;
    int status_ = 200;
    std::string body_; ///< Of answers that are no stream.
};

/** \brief True if the answer is a success whose body is no event stream. */
bool isNoEventStream(AnswerForm form);
/** \brief The data of an event; a function of the version that makes it, the stream and the number. */
std::string eventData(const AnswerSubject &subject, std::uint64_t number);
AnswerScript buildAnswer(const AnswerPlan &plan, const AnswerSubject &subject);
/** \brief An answer with a length. */
std::string wholeAnswer(int status, const std::map<std::string, std::string> &headers, const std::string &body);

} // namespace filbertgw::testing

namespace filbertgw {

template<>
struct NameTable<testing::AnswerForm>
{
    static constexpr std::array<std::pair<testing::AnswerForm, std::string_view>, 12> entries{{
        {testing::AnswerForm::Whole, "whole"},
        {testing::AnswerForm::BreakBetweenEvents, "break_between_events"},
        {testing::AnswerForm::BreakInsideEvent, "break_inside_event"},
        {testing::AnswerForm::Json, "json"},
        {testing::AnswerForm::Html, "html"},
        {testing::AnswerForm::EmptyBody, "empty_body"},
        {testing::AnswerForm::BeginsAnew, "begins_anew"},
        {testing::AnswerForm::LeavesOneOut, "leaves_one_out"},
        {testing::AnswerForm::RepeatsOne, "repeats_one"},
        {testing::AnswerForm::EmptyStream, "empty_stream"},
        {testing::AnswerForm::ErrorStatus, "error_status"},
        {testing::AnswerForm::CutHead, "cut_head"},
    }};
};

template<>
struct NameTable<testing::AnswerFraming>
{
    static constexpr std::array<std::pair<testing::AnswerFraming, std::string_view>, 3> entries{{
        {testing::AnswerFraming::Chunks, "chunks"},
        {testing::AnswerFraming::Length, "length"},
        {testing::AnswerFraming::Connection, "connection"},
    }};
};

} // namespace filbertgw

#endif
