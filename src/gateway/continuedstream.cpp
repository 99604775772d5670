#include "gateway/gatewaycall.h"

// The part of GatewayCall that decides whether a run continues the stream of which the client has events.
namespace filbertgw::internal {

namespace {

/** An empty run may be a truncated one: so many must agree that the client has the whole stream. */
constexpr std::uint32_t maxEmptyRuns = 2;

} // namespace

bool GatewayCall::continuesStream() const
{
    return !sequence_.lastId().empty();
}

bool GatewayCall::isStreamHead(const AttemptHead &head) const
{
    const bool isFirst = !continuesStream() && !isRelayStarted_;
    return (isFirst || head.status_ == 200) && formatOf(head) != AnswerFormat::Other;
}

bool GatewayCall::isConfirmedEnd()
{
    ++emptyRuns_;
    if (route_->maxAttempts_ <= 1) {
        return formatOf(head_) == AnswerFormat::EventStream; // No second run may confirm it.
    }
    return emptyRuns_ >= maxEmptyRuns;
}

bool GatewayCall::endsStream()
{
    if (splitter_.isInsideEvent()) {
        return false;
    }
    if (attemptEvents_ > 0 || (continuesStream() && isConfirmedEnd())) {
        return true;
    }
    reportRejectedAnswer("no_event", {});
    return false;
}

void GatewayCall::reportRejectedAnswer(const char *reason, const std::string &event)
{
    gateway_->hooks_.count_("stream_answers_rejected_total", reason);
    gateway_->hooks_.logEvent_("stream_answer_rejected",
                               {{"request", request_->id_},
                                {"program", request_->program_},
                                {"endpoint", lastEndpoint_},
                                {"reason", reason},
                                {"status", head_.status_},
                                {"after_event", sequence_.lastId()},
                                {"event", event}});
}

} // namespace filbertgw::internal
