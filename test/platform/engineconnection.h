#ifndef FILBERTGW_TEST_PLATFORM_ENGINECONNECTION_H
#define FILBERTGW_TEST_PLATFORM_ENGINECONNECTION_H

#include "engineprocess.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace filbertgw::testing {

/** \brief One connection to an engine. */
class EngineConnection : public std::enable_shared_from_this<EngineConnection>
{
public:
    EngineConnection(EngineProcess &engine, boost::asio::ip::tcp::socket socket);
    ~EngineConnection();

    void read();
    void close(ConnectionEnd end);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void onRequest();
    EngineRun describeRequest() const;
    void runRequest(EngineRun run);
    /** \brief Sends the rest of an answer piece by piece, and then reads on or closes. */
    void play(std::size_t next);
    void finishAnswer();
    void sendWhole(std::string bytes);
    /** \brief Writes bytes and continues unless the connection has ended. */
    void write(std::string bytes, std::function<void()> then);
    void after(Duration delay, std::function<void()> task);
    void leaveSlot();

    EngineProcess *engine_; ///< Null once the engine has ended or the connection is closed.
    IoLoop &loop_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    AnswerScript script_;
    std::string sent_; ///< Bytes of the answer in progress.
    std::string earlier_; ///< Bytes of the answer before, for copies.
    AnswerCopy copy_ = AnswerCopy::None; ///< Of the answer before.
    bool holdsSlot_ = false;
};

} // namespace filbertgw::testing

#endif
