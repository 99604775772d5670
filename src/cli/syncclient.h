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

/** \brief Blocking HTTP and log access for the short-lived subcommands. */
class SyncClient
{
public:
    explicit SyncClient(Duration timeout);

    HttpResult get(const std::string &address, const std::string &target, const std::string &key);
    /** \brief Reads one page of a stream. \return false if the log can't be reached. */
    bool readPage(const std::string &log, const std::string &stream, Offset from, LogPage &page);
    /** \brief Reads all retained entries of a stream, oldest first. \return false if the log can't be reached. */
    bool readAll(const std::string &log, const std::string &stream, std::vector<LogEntry> &entries);
    AppendResult append(const std::string &log, const std::string &stream, const std::vector<nlohmann::json> &entries);
    /** \brief Runs the loop until a condition holds or the timeout expires. \return whether the condition holds. */
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
