#ifndef FILBERTGW_NODE_CALLERSTREAM_H
#define FILBERTGW_NODE_CALLERSTREAM_H

#include "net/httptypes.h"
#include "node/apitypes.h"
#include "node/streamdeduplicator.h"

#include <memory>
#include <string>

namespace filbertgw {

/** \brief How answers to calls are written: this gateway's own JSON, or that of OpenAI's chat completions. */
enum class ResponseFormat : std::uint8_t { Native, ChatCompletion };

/** \brief Writes the answer of one call to its caller, streamed as server-sent events or as one JSON object. */
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
    CallerStream(std::shared_ptr<HttpReply> reply, ResponseFormat format, bool streamed, std::string model);

    /** \brief A sink that writes here. */
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
    std::string chunkPrefix_; ///< Of an event, up to its text as JSON string.
    std::string chunkSuffix_;
    bool started_ = false;
    StreamDeduplicator text_;
};

/** \brief Sends a failure as typed JSON error with its status and Retry-After header. */
void sendFailure(HttpReply &reply, const Failure &failure);

/** \brief Body of a call's answer as OpenAI's chat.completion object. */
nlohmann::json chatCompletion(const nlohmann::json &body, const std::string &model);

} // namespace filbertgw

#endif
