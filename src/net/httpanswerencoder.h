#ifndef FILBERTGW_NET_HTTPANSWERENCODER_H
#define FILBERTGW_NET_HTTPANSWERENCODER_H

#include <string>

namespace filbertgw::internal {

/** \brief Body of an error answer to a request that the server itself refuses. The texts must need no JSON escapes. */
std::string refusalBody(const std::string &type, const std::string &message);

/** \brief Appends the answers of one connection to a buffer, in the form that the protocol of each request needs. */
class HttpAnswerEncoder
{
public:
    explicit HttpAnswerEncoder(std::string &output);

    /** \brief The next answer is to a request of this form. */
    void begin(bool isHttp10, bool headOnly, bool keepAlive);
    /** \brief The next answer is to a request that could not be read, and the last on the connection. */
    void beginRefusal();
    /** \brief A header of the next answer. One with a line break is left out, since it could add others. */
    void addHeader(const std::string &name, const std::string &value);
    /** \brief The next answer asks the caller to close the connection. */
    void setLast();

    void appendWhole(int status, const std::string &contentType, const std::string &body);
    void appendStreamHead(int status, const std::string &contentType);
    void appendPart(const std::string &part);
    void appendStreamEnd();

    /** \brief False once an answer asked the caller to close the connection. */
    bool keepsAlive() const
    {
        return keepAlive_;
    }
    bool isHeadOnly() const
    {
        return headOnly_;
    }
    /** \brief True if only the end of the connection ends a stream. */
    bool endsStreamsByClosing() const
    {
        return !chunked_;
    }

private:
    void appendHead(int status, const std::string &contentType);

    std::string &output_;
    std::string extraHeaders_; ///< Header lines of the next answer.
    bool keepAlive_ = true;
    bool chunked_ = true; ///< False for HTTP/1.0.
    bool headOnly_ = false;
};

} // namespace filbertgw::internal

#endif
