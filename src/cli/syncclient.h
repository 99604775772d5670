#ifndef FILBERTGW_CLI_SYNCCLIENT_H
#define FILBERTGW_CLI_SYNCCLIENT_H

#include "journal/logtypes.h"
#include "net/httpclient.h"
#include "net/ioloop.h"
#include "net/logclient.h"

#include <functional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief HTTP and log access for the short-lived subcommands: each call returns when its response is there. */
class SyncClient
{
public:
    explicit SyncClient(Duration timeout);

    HttpResult get(const std::string &address, const std::string &target, const std::string &key);
    /** \brief One page of a stream. \return false if the log can't be reached. */
    bool readPage(const std::string &log, const std::string &stream, Offset from, LogPage &page);
    /** \brief Every entry that the log keeps of a stream, oldest first. \return false if the log can't be reached. */
    bool readAll(const std::string &log, const std::string &stream, std::vector<LogEntry> &entries);
    AppendResult append(const std::string &log, const std::string &stream, const std::vector<nlohmann::json> &entries);
    /** \brief Runs the loop until a condition holds or a time has passed. \return whether the condition holds. */
    bool runUntil(const std::function<bool()> &condition, Duration timeout);

    IoLoop &loop();
    HttpClient &http();

private:
    IoLoop loop_;
    HttpClient http_;
    Duration timeout_;
};

} // namespace filbertgw

#endif
