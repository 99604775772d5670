#ifndef FILBERTGW_TEST_PLATFORM_CLIENTREQUEST_H
#define FILBERTGW_TEST_PLATFORM_CLIENTREQUEST_H

#include "net/httpclient.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw::testing {

/** \brief An event as a client reads it. */
struct ReceivedEvent
{
    std::string id_;
    std::string data_;
};

/** \brief The body of an answer, read as a series of events. */
struct ReceivedEvents
{
    std::vector<ReceivedEvent> events_;
    std::string rest_; ///< What follows the last whole event.
    std::string strange_; ///< The first block that is no event.
};

ReceivedEvents readEvents(const std::string &body);

/** \brief One client attempt and what came back. */
struct ClientTry
{
    std::string node_; ///< Address of the node.
    std::string attempt_;
    std::string lastEventId_; ///< As sent; so is the next one.
    std::string resumes_;
    Time sentAt_{0};
    Time endedAt_{0};
    bool hasEnded_ = false;
    HttpResult result_;
    std::map<std::string, std::string> headers_; ///< Of the answer; names in lower case.
    int status_ = 0;
    std::string body_;
    std::uint64_t heads_ = 0;

    bool isSuccess() const;
};

/** \brief Kind of a client's request, as its route declares it. */
struct ClientRoute
{
    std::string name_;
    std::string path_;
    bool isStreaming_ = false;
    bool isResumable_ = false;
    bool isIdempotent_ = false;
    bool retainsTurns_ = false;
    std::uint32_t maxAttempts_ = 1;
};

/** \brief What a client wants, over all of its attempts. */
struct ClientTask
{
    ClientRoute route_;
    std::string token_;
    std::uint64_t events_ = 0; ///< Of the whole stream.
    std::string body_;
    std::string engineBody_; ///< What an engine is to receive.
    std::string program_;
    std::string previousTurn_;
    std::string key_; ///< Of a client account; empty for none.
    Duration timeLeft_{3'000'000};
    std::size_t mostTries_ = 5;
    std::size_t leavesAfter_ = 0; ///< Events after which the client closes its first connection; 0 for never.
};

/**
 * \brief A client that retries, and takes streams up, as the platform's clients do.
 *
 * It keeps everything it received; \sa checkRequest().
 */
class ClientRequest : public std::enable_shared_from_this<ClientRequest>
{
public:
    struct Hooks
    {
        std::function<std::string()> pickNode_;
        std::function<std::string()> newAttemptId_;
        std::function<void()> onDone_;
    };

    ClientRequest(IoLoop &loop, HttpClient &http, ClientTask task, Hooks hooks);

    void start();

    const ClientTask &task() const;
    const std::vector<std::shared_ptr<ClientTry>> &tries() const;
    bool isServed() const;
    /** \brief The id of the attempt whose answer was whole. */
    const std::string &servedAttempt() const;
    /** \brief The data of all events, in the order of their arrival. */
    std::vector<std::string> output() const;

private:
    void sendTry();
    void tryEnded();
    /** \brief Closes the connection of the first attempt if the client wants to leave after the events that it has. */
    void leaveIfPlanned(const ClientTry &attempt);
    bool mayRetry(const ClientTry &ended) const;
    Duration pauseAfter(const ClientTry &ended) const;

    IoLoop &loop_;
    HttpClient &http_;
    ClientTask task_;
    Hooks hooks_;
    std::vector<std::shared_ptr<ClientTry>> tries_;
    std::string lastEventId_;
    std::string origin_; ///< Attempt that brought the first event.
    std::uint64_t call_ = 0; ///< The last one started.
    bool isServed_ = false;
    bool hasLeft_ = false;
};

} // namespace filbertgw::testing

#endif
