#include "node/callerstream.h"

#include "node/errortable.h"

namespace filbertgw {
namespace internal {
namespace {

const char *const jsonType = "application/json";
const char *const eventsType = "text/event-stream";

} // namespace
} // namespace internal

void sendFailure(HttpReply &reply, const Failure &failure)
{
    if (failure.retryAfter_.count() > 0) {
        reply.setHeader("Retry-After", std::to_string(retryAfterSeconds(failure)));
    }
    reply.send(httpStatusOf(failure.type_), internal::jsonType, jsonText(errorObject(failure)));
}

nlohmann::json chatCompletion(const nlohmann::json &body, const std::string &model)
{
    return {{"id", body.value("request_id", "")},
            {"object", "chat.completion"},
            {"model", model},
            {"program", body.value("program", "")},
            {"choices",
             {{{"index", 0},
               {"finish_reason", "stop"},
               {"message", {{"role", "assistant"}, {"content", body.value("body", "")}}}}}},
            {"usage", {{"total_tokens", body.at("usage").value("tokens", std::int64_t(0))}}}};
}

CallerStream::CallerStream(std::shared_ptr<HttpReply> reply, ResponseFormat format, bool streamed, std::string model)
    : reply_(std::move(reply))
    , format_(format)
    , streamed_(streamed)
    , model_(std::move(model))
{
    // Only the text differs between events, so the rest of an event is built once.
    if (format_ == ResponseFormat::Native) {
        chunkPrefix_ = "data: {\"text\":";
        chunkSuffix_ = "}\n\n";
        return;
    }
    chunkPrefix_ = "data: {\"choices\":[{\"delta\":{\"content\":";
    chunkSuffix_ = "},\"finish_reason\":null,\"index\":0}],\"model\":" + jsonText(model_)
        + ",\"object\":\"chat.completion.chunk\"}\n\n";
}

ApiSink CallerStream::sink()
{
    const std::shared_ptr<CallerStream> self = shared_from_this();
    ApiSink sink;
    if (streamed_) {
        sink.text_ = [self](const std::string &text) { self->text(text); };
        sink.rerun_ = [self] { self->rerun(); };
    }
    sink.done_ = [self](const ApiResult &result) { self->done(result); };
    return sink;
}

void CallerStream::ensureStarted()
{
    if (!started_) {
        started_ = true;
        reply_->startStream(200, internal::eventsType);
    }
}

void CallerStream::writeData(const nlohmann::json &data)
{
    reply_->write("data: " + jsonText(data) + "\n\n");
}

nlohmann::json CallerStream::finalChunk(const nlohmann::json &body) const
{
    if (format_ == ResponseFormat::Native) {
        return {{"answer", body}};
    }
    nlohmann::json completion = chatCompletion(body, model_);
    completion["object"] = "chat.completion.chunk";
    completion["choices"][0].erase("message");
    completion["choices"][0]["delta"] = nlohmann::json::object();
    return completion;
}

void CallerStream::writeUpdate(const StreamDeduplicator::Update &update)
{
    if (update.restart_) {
        reply_->write("event: restart\ndata: {}\n\n");
    }
    if (!update.text_.empty()) {
        reply_->write(chunkPrefix_ + jsonText(update.text_) + chunkSuffix_);
    }
}

void CallerStream::text(const std::string &text)
{
    ensureStarted();
    writeUpdate(text_.add(text));
}

void CallerStream::rerun()
{
    text_.rerun();
}

void CallerStream::done(const ApiResult &result)
{
    if (!streamed_ || (result.failure_ && !started_)) {
        if (result.failure_) {
            sendFailure(*reply_, *result.failure_);
        } else {
            const bool native = format_ == ResponseFormat::Native;
            reply_->send(
                200, internal::jsonType, jsonText(native ? result.body_ : chatCompletion(result.body_, model_)));
        }
        return;
    }
    ensureStarted();
    if (result.failure_) {
        writeData(errorObject(*result.failure_));
    } else {
        writeUpdate(text_.complete(result.body_.value("body", "")));
        writeData(finalChunk(result.body_));
    }
    reply_->write("data: [DONE]\n\n");
    reply_->finish();
}

} // namespace filbertgw
