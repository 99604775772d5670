#ifndef FILBERTGW_NODE_CALLERSTREAM_H
#define FILBERTGW_NODE_CALLERSTREAM_H

#include "net/httptypes.h"
#include "node/apitypes.h"
#include "node/streamdeduplicator.h"

#include <memory>
#include <string>

namespace filbertgw {

/** \brief Format of responses to calls: this gateway's own JSON, or OpenAI's chat completions. */
enum class ResponseFormat : std::uint8_t { Native, ChatCompletion };

/** \brief Writes the response to one call, as a stream of server-sent events or as one JSON object. */
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
    CallerStream(std::shared_ptr<HttpReply> reply, ResponseFormat format, bool streamed, std::string model);

    /** \brief Callbacks that write to this stream; they keep it alive. */
    ApiSink sink();

    void text(const std::string &text);
    void rerun();
    void done(const ApiResult &result);

private:
    void ensureStarted();
    void writeUpdate(const StreamDeduplicator::Update &update);
    void writeData(const nlohmann::json &data);
    nlohmann::json finalChunk(const nlohmann::json &body) const;

    std::shared_ptr<HttpReply> reply_;
    ResponseFormat format_;
    bool streamed_;
    std::string model_;
    std::string chunkPrefix_; ///< Start of an event, up to its text as a JSON string.
    std::string chunkSuffix_;
    bool started_ = false;
    StreamDeduplicator text_;
};

/** \brief Sends a failure as a JSON error object with its HTTP status and Retry-After header. */
void sendFailure(HttpReply &reply, const Failure &failure);

/** \brief Converts the result of a call to OpenAI's chat.completion object. */
nlohmann::json chatCompletion(const nlohmann::json &body, const std::string &model);

} // namespace filbertgw

#endif
