#ifndef FILBERTGW_STANDIN_ENGINE_H
#define FILBERTGW_STANDIN_ENGINE_H

#include "standin.h"

#include <deque>
#include <list>
#include <optional>
#include <set>

namespace filbertgw::standin {

/** \brief Settings of a model engine; those of faults and delays can be changed by `POST /control`. */
struct EngineOptions
{
    std::string address_ = "127.0.0.1:0";
    Duration firstTokenDelay_{0};
    Duration tokenDelay_{0};
    std::uint64_t prefillTokensPerSecond_ = 0; ///< Adds to the delay of the first token; 0 for none.
    std::uint64_t answerTokens_ = 64; ///< Longest answer; a smaller max_tokens counts.
    std::uint64_t streams_ = 24; ///< Running at once; more wait in a queue.
    std::uint64_t queue_ = 256;
    std::uint64_t cacheTokens_ = 1'000'000;
    std::set<std::string> models_; ///< Loaded; empty for any.
    Duration loadDelay_{0}; ///< Of a model or an adapter.
    bool rejectsOldFencing_ = false;
    std::vector<std::string> orderKeys_; ///< If not empty, control and cancel orders must be signed.
    std::string crashText_; ///< A prompt with this text ends the process at its first token.
    std::function<void()> crash_; ///< Ends the process with status 70, if not set.
    Fault loss_; ///< The answer is cut after its first half.
    Duration reportPeriod_{0}; ///< Load reports are taken so often; 0 for each request.
    Duration reportLate_{0};
    Duration eventLate_{0};
    Fault eventLoss_;
    std::string state_ = "live"; ///< live or leaving, as the engine says itself.
    std::uint64_t seed_ = 1;
};

/**
 * \brief A model engine with streamed OpenAI-style answers and a prefix cache by program.
 *
 * A prompt is the text of its messages, one after the other; a token is four bytes of it. The answer is a function of
 * the prompt only, see answerText(), so that a test finds a history that lacks a turn or mixes two.
 */
class Engine
{
public:
    Engine(IoLoop &loop, EngineOptions options);

    const HttpServer &server() const;

private:
    struct Stream
    {
        std::string requestId_;
        std::string program_;
        std::string prompt_;
        std::string digest_;
        std::string text_;
        std::string eventHead_;
        std::uint64_t promptTokens_ = 0;
        std::uint64_t cachedTokens_ = 0;
        std::uint64_t tokens_ = 0;
        std::uint64_t emitted_ = 0;
        std::int64_t priority_ = 0;
        bool isStreamed_ = false;
        bool isAlone_ = false; ///< Runs beside nothing else, and the answer's first line says so.
        bool isLost_ = false;
        bool isEnded_ = false;
        std::shared_ptr<HttpReply> reply_;
    };
    using StreamPointer = std::shared_ptr<Stream>;

    struct Cached
    {
        std::string text_;
        std::uint64_t used_ = 0; ///< Order of the last use.
        bool isPinned_ = false;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void complete(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void admit(const StreamPointer &stream);
    bool canBegin(const Stream &stream) const;
    void begin(const StreamPointer &stream);
    void firstToken(const StreamPointer &stream);
    void scheduleStep();
    void step();
    void emit(const StreamPointer &stream);
    void end(const StreamPointer &stream, const char *reason);
    void leave(const StreamPointer &stream);
    void beginQueued();

    void order(const HttpRequest &request, const Target &target, const std::shared_ptr<HttpReply> &reply);
    void cancel(const nlohmann::json &body, const std::shared_ptr<HttpReply> &reply);
    void controlOrder(const nlohmann::json &body, const std::shared_ptr<HttpReply> &reply);
    void cacheOrder(const std::string &action, const std::string &program, const std::shared_ptr<HttpReply> &reply);
    bool isFenced(const std::string &subject, std::uint64_t fencing);
    void remember(const Stream &stream);
    void evict();
    std::uint64_t cacheTokens() const;
    void addEvent(const std::string &kind, const std::string &program, std::uint64_t tokens);
    void sendEvents(std::uint64_t from, const std::shared_ptr<HttpReply> &reply) const;
    nlohmann::json loadReport() const;
    void sendLoad(const std::shared_ptr<HttpReply> &reply);
    void sendPinned(const std::shared_ptr<HttpReply> &reply) const;
    void control(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);

    IoLoop &loop_;
    EngineOptions options_;
    std::mt19937_64 random_;
    std::set<StreamPointer> running_; ///< Begun, the first token included.
    std::vector<StreamPointer> decoding_; ///< Past the first token.
    std::list<StreamPointer> queue_;
    std::map<std::string, Cached> cache_;
    std::map<std::string, Cached> exported_;
    std::map<std::string, std::uint64_t> fencing_;
    std::deque<nlohmann::json> events_;
    std::deque<std::pair<Time, nlohmann::json>> reports_;
    std::string role_ = "both";
    std::uint64_t cacheBytes_ = 0;
    std::uint64_t uses_ = 0;
    std::uint64_t nextEvent_ = 1;
    std::uint64_t completed_ = 0;
    std::uint64_t prefilledTokens_ = 0;
    bool stepScheduled_ = false;
    std::unique_ptr<HttpServer> server_;
};

/** \brief The text of a prompt as the engine sees it; nothing if the messages are malformed. */
std::optional<std::string> promptText(const nlohmann::json &messages);

/** \brief The answer to a prompt: its SHA-256 as first token, then words that follow from it. */
std::string answerText(const std::string &prompt, std::uint64_t tokens);

} // namespace filbertgw::standin

#endif
