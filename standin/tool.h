#ifndef FILBERTGW_STANDIN_TOOL_H
#define FILBERTGW_STANDIN_TOOL_H

#include "standin.h"

namespace filbertgw::standin {

/** \brief Settings of a tool; faults can be changed by `POST /control`. */
struct ToolOptions
{
    std::string address_ = "127.0.0.1:0";
    Duration delay_{0}; ///< From the action to the answer.
    Fault hang_; ///< The action takes place, the answer never comes.
    Fault loss_; ///< The action takes place, the connection closes without an answer.
    Fault refusal_; ///< 503, and the action does not take place.
    std::uint64_t seed_ = 1;
};

/**
 * \brief A tool or plain service: `POST /call/NAME`.
 *
 * Every request that reaches it executes, also a second one with the same Idempotency-Key: `GET /executions` shows how
 * often each key was executed, so that tests find an action that took place twice.
 */
class Tool
{
public:
    Tool(IoLoop &loop, ToolOptions options);

    const HttpServer &server() const;

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void execute(const std::string &name, const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void control(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void sendExecutions(const std::shared_ptr<HttpReply> &reply) const;

    IoLoop &loop_;
    ToolOptions options_;
    std::mt19937_64 random_;
    std::map<std::string, std::uint64_t> executions_; ///< By Idempotency-Key.
    std::map<std::string, std::uint64_t> byName_;
    std::uint64_t total_ = 0;
    std::unique_ptr<HttpServer> server_;
};

} // namespace filbertgw::standin

#endif
