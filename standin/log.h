#ifndef FILBERTGW_STANDIN_LOG_H
#define FILBERTGW_STANDIN_LOG_H

#include "standin.h"

#include <deque>
#include <map>

namespace filbertgw::standin {

/** \brief Settings of the log; faults can be changed by `POST /control`. */
struct LogOptions
{
    std::string address_ = "127.0.0.1:0";
    Duration delay_{0}; ///< From the action to the answer.
    Fault loss_; ///< The append takes effect, the connection closes without an answer.
    std::string outage_ = "none"; ///< none, refuse (503) or hang (no answer).
    std::uint64_t keepEntries_ = 1'000'000; ///< Per stream.
    Duration keepTime_{86'400'000'000};
    std::uint64_t seed_ = 1;
};

/** \brief The platform's log as in section 4 of docs/design.md. */
class Log
{
public:
    Log(IoLoop &loop, LogOptions options);

    const HttpServer &server() const;

private:
    struct Entry
    {
        std::uint64_t offset_;
        Time time_;
        std::string text_; ///< The record as JSON.
    };
    struct Reader
    {
        std::uint64_t from_;
        std::uint64_t most_;
        std::shared_ptr<HttpReply> reply_;
        std::uint64_t timer_;
    };
    struct Stream
    {
        std::deque<Entry> entries_;
        std::uint64_t next_ = 1;
        std::map<std::uint64_t, Reader> readers_; ///< Long polls, by number.
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void append(Stream &stream, const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void read(const std::string &name, const Target &target, const std::shared_ptr<HttpReply> &reply);
    void wakeReaders(Stream &stream);
    void retain(Stream &stream);
    void
    sendPage(const Stream &stream, std::uint64_t from, std::uint64_t most, const std::shared_ptr<HttpReply> &reply);
    void control(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void answer(const std::shared_ptr<HttpReply> &reply, const std::string &body, bool lost);

    IoLoop &loop_;
    LogOptions options_;
    std::mt19937_64 random_;
    std::map<std::string, Stream> streams_;
    std::uint64_t nextReader_ = 1;
    std::uint64_t appends_ = 0;
    std::unique_ptr<HttpServer> server_;
};

} // namespace filbertgw::standin

#endif
