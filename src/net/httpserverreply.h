#ifndef FILBERTGW_NET_HTTPSERVERREPLY_H
#define FILBERTGW_NET_HTTPSERVERREPLY_H

#include "net/httpconnection.h"

namespace filbertgw::internal {

/** \brief The answer side of one request; its last copy closes the connection if the answer hasn't ended. */
class HttpServerReply : public HttpReply
{
public:
    HttpServerReply(std::shared_ptr<HttpConnection> connection, std::uint64_t request)
        : connection_(std::move(connection))
        , request_(request)
    {
    }
    HttpServerReply(const HttpServerReply &) = delete;
    HttpServerReply &operator=(const HttpServerReply &) = delete;
    ~HttpServerReply() override
    {
        connection_->abort(request_);
    }

    void setHeader(const std::string &name, const std::string &value) override
    {
        connection_->setHeader(request_, name, value);
    }
    void send(int status, const std::string &contentType, const std::string &body) override
    {
        connection_->send(request_, status, contentType, body);
    }
    void startStream(int status, const std::string &contentType) override
    {
        connection_->startStream(request_, status, contentType);
    }
    void write(const std::string &part) override
    {
        connection_->write(request_, part);
    }
    void finish() override
    {
        connection_->finish(request_);
    }
    void abort() override
    {
        connection_->abort(request_);
    }
    void onClosed(std::function<void()> closed) override
    {
        connection_->onClosed(request_, std::move(closed));
    }

private:
    std::shared_ptr<HttpConnection> connection_;
    std::uint64_t request_;
};

} // namespace filbertgw::internal

#endif
