#ifndef FILBERTGW_NET_LOGCLIENT_H
#define FILBERTGW_NET_LOGCLIENT_H

#include "journal/logtypes.h"
#include "net/httpclient.h"

namespace filbertgw {

/**
 * \brief LogAccess over HTTP.
 *
 * An append ends as Rejected only if it was not sent or the log answered with an error; a lost answer is Unknown.
 */
class LogClient
{
public:
    LogClient(IoLoop &loop, HttpClient &http, std::string address, Duration timeout);
    ~LogClient();
    LogAccess access();

private:
    struct Private;
    std::shared_ptr<Private> d_;
};

} // namespace filbertgw

#endif
