#include "net/httpserver.h"
#include "net/ioloopprivate.h"
#include "platform/platformnode.h"
#include "platform/storeclient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <map>

namespace filbertgw::platform {

namespace {

using Tcp = boost::asio::ip::tcp;

std::string replaced(std::string text, const std::string &what, const std::string &with)
{
    for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + with.size())) {
        text.replace(at, what.size(), with);
    }
    return text;
}

std::uint16_t freePort(boost::asio::io_context &context)
{
    return Tcp::acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)).local_endpoint().port();
}

/** \brief The platform's store, as far as a node needs it: logs with keys in memory. */
class MemoryStore
{
public:
    explicit MemoryStore(IoLoop &loop)
        : loop_(loop)
    {
        server_ = *HttpServer::listen(
            loop, "127.0.0.1:0", HttpLimits(), [this](const HttpRequest &request, const auto &reply) {
                answer(request, reply);
            });
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        logs_[topic].push_back(KeyedRecord{key, value, 0});
    }
    std::uint16_t port() const
    {
        return server_->port();
    }

private:
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + '=');
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t start = at + name.size() + 1;
        return target.substr(start, target.find('&', start) - start);
    }
    static std::string base64(const std::string &bytes)
    {
        std::string text(bytes.size() / 3 * 4 + 5, '\0');
        const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                         reinterpret_cast<const unsigned char *>(bytes.data()),
                                         static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(size));
        return text;
    }

    void answer(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
    {
        const std::string topic = parameter(request.target_, "topic") + '/' + parameter(request.target_, "part");
        std::vector<KeyedRecord> &log = logs_[topic];
        if (request.target_.find("/-/log-append") == 0) {
            const StorePage page = decodeRecords(std::string(16, '\0') + request.body_, log.size());
            log.insert(log.end(), page.records_.begin(), page.records_.end());
            reply->send(200, "application/json", nlohmann::json{{"offset", 0}, {"end", log.size()}}.dump());
        } else if (request.target_.find("/-/log-newest") == 0) {
            nlohmann::json items = nlohmann::json::array();
            for (std::size_t i = 0; i < log.size(); ++i) {
                items.push_back({{"key", log[i].key_}, {"value", base64(*log[i].value_)}, {"offset", i}});
            }
            reply->send(200, "application/json", nlohmann::json{{"items", items}, {"end", log.size()}}.dump());
        } else {
            constexpr Duration wait{200'000};
            const std::size_t from = std::stoull(parameter(request.target_, "from"));
            loop_.after(from < log.size() ? Duration{0} : wait, [&log, from, reply] {
                const std::uint64_t end = log.size();
                std::string body;
                for (int shift = 56; shift >= 0; shift -= 8) {
                    body += static_cast<char>(end >> static_cast<unsigned>(shift));
                }
                body += std::string(8, '\0');
                const std::size_t first = std::min(from, log.size());
                body += encodeRecords(
                    std::vector<KeyedRecord>(log.begin() + static_cast<std::ptrdiff_t>(first), log.end()));
                reply->send(200, "application/octet-stream", body);
            });
        }
    }

    IoLoop &loop_;
    std::map<std::string, std::vector<KeyedRecord>> logs_;
    std::unique_ptr<HttpServer> server_;
};

/** \brief What an engine writes as the answer to one request, and how it goes on. */
struct EngineScript
{
    std::string bytes_; ///< `%ID%` stands for the id of the request.
    enum class End : std::uint8_t {
        KeepOpen,
        Close,
        Reset,
    } end_ = End::KeepOpen;
};

/** \brief Engines that answer the first request with one script and later ones with another. */
class ScriptedEngines
{
public:
    explicit ScriptedEngines(boost::asio::io_context &context)
        : context_(context)
    {
    }

    std::uint16_t listen()
    {
        acceptors_.push_back(
            std::make_unique<Tcp::acceptor>(context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)));
        accept(*acceptors_.back());
        return acceptors_.back()->local_endpoint().port();
    }

    std::vector<EngineScript> scripts_;
    std::vector<std::string> requests_; ///< Those of clients.

private:
    struct Connection
    {
        explicit Connection(Tcp::socket socket)
            : socket_(std::move(socket))
        {
        }
        Tcp::socket socket_;
        std::string input_;
        std::array<char, 4096> buffer_{};
    };

    void accept(Tcp::acceptor &acceptor)
    {
        acceptor.async_accept([this, &acceptor](const boost::system::error_code &error, Tcp::socket socket) {
            if (!error) {
                read(std::make_shared<Connection>(std::move(socket)));
                accept(acceptor);
            }
        });
    }
    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket_.async_read_some(
            boost::asio::buffer(connection->buffer_),
            [this, connection](const boost::system::error_code &error, std::size_t size) {
                if (error) {
                    return;
                }
                connection->input_.append(connection->buffer_.data(), size);
                const std::size_t end = connection->input_.find("\r\n\r\n");
                if (end != std::string::npos) {
                    answer(*connection, connection->input_.substr(0, end + 2));
                    connection->input_.clear();
                }
                if (connection->socket_.is_open()) {
                    read(connection);
                }
            });
    }
    void answer(Connection &connection, const std::string &request)
    {
        EngineScript script{"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
        const std::string name = "x-filbertgw-attempt-id: ";
        const std::size_t at = request.find(name);
        if (at != std::string::npos) {
            const std::size_t start = at + name.size();
            script = scripts_[std::min(requests_.size(), scripts_.size() - 1)];
            script.bytes_ = replaced(script.bytes_, "%ID%", request.substr(start, request.find('\r', start) - start));
            requests_.push_back(request);
        }
        boost::system::error_code error;
        boost::asio::write(connection.socket_, boost::asio::buffer(script.bytes_), error);
        if (script.end_ == EngineScript::End::Reset) {
            connection.socket_.set_option(boost::asio::socket_base::linger(true, 0), error);
        }
        if (script.end_ != EngineScript::End::KeepOpen) {
            connection.socket_.close(error);
        }
    }

    boost::asio::io_context &context_;
    std::vector<std::unique_ptr<Tcp::acceptor>> acceptors_;
};

/** \brief A whole node in a process of its own, beside a store and engines in this one. */
class NodeFixture : public testing::Test
{
protected:
    NodeFixture()
    {
        store_.put("keyed.op/0",
                   "config",
                   R"({"version":1,"services":[{"name":"s","max_conns":50}],"routes":[
{"name":"once","host":"h","path_prefix":"/once","type":"non_idempotent","timeout_ms":4000,"max_attempts":3,"service":"s"},
{"name":"again","host":"h","path_prefix":"/again","type":"idempotent","timeout_ms":4000,"max_attempts":3,"service":"s"},
{"name":"stream","host":"h","path_prefix":"/stream","type":"streaming","timeout_ms":20000,"max_attempts":3,"service":"s"},
{"name":"resume","host":"h","path_prefix":"/resume","type":"streaming","resumable":true,"timeout_ms":4000,
"max_attempts":2,"service":"s"}]})");
        for (const char *id : {"e1", "e2"}) {
            nlohmann::json entry{{"service", "s"}, {"zone", "z"}, {"version", "v"}, {"slots", 4}, {"state", "ready"}};
            entry["sequence"] = 1;
            entry["address"] = "127.0.0.1:" + std::to_string(engines_.listen());
            store_.put("keyed.servers/0", id, entry.dump());
        }
    }

    ~NodeFixture() override
    {
        if (node_ > 0) {
            ::kill(node_, SIGKILL);
            ::waitpid(node_, nullptr, 0);
        }
        std::remove(settingsPath_.c_str());
    }

    /** \brief Starts the node and waits until it is ready. A port may be taken by then: it is started again. */
    void startNode()
    {
        std::uint16_t readyPort = 0;
        runUntil([this, &readyPort] {
            if (node_ == 0 || ::waitpid(node_, nullptr, WNOHANG) == node_) {
                readyPort = launch();
            }
            const std::string question = "GET /-/readiness HTTP/1.1\r\nConnection: close\r\n\r\n";
            return ask(readyPort, question).find("200 OK") != std::string::npos;
        });
    }

    /** \return the port for questions whether the node is ready. */
    std::uint16_t launch()
    {
        clientPort_ = freePort(context_);
        const std::uint16_t readyPort = freePort(context_);
        const std::uint16_t peerPort = freePort(context_);
        const std::string ip = "127.0.0.1";
        nlohmann::json settings{{"node_name", "n1"}, {"zone", "z"}, {"ip", ip}};
        settings["listen"] = {{"frontend", ip + ':' + std::to_string(clientPort_)},
                              {"ready", ip + ':' + std::to_string(readyPort)}};
        settings["port_range"] = {peerPort, peerPort + 10};
        settings["bounds"] = {{"grace_s", 1.0}};
        settings["platform"] = {{"address", ip + ':' + std::to_string(store_.port())}, {"parts", 1}};
        settingsPath_ = testing::TempDir() + "enginefaults-" + std::to_string(::getpid()) + ".json";
        std::ofstream(settingsPath_) << settings.dump();
        context_.notify_fork(boost::asio::execution_context::fork_prepare);
        node_ = ::fork();
        if (node_ == 0) {
            // Otherwise this process may take the signals to the node.
            context_.notify_fork(boost::asio::execution_context::fork_child);
            ::dup2(::open("/dev/null", O_WRONLY), STDOUT_FILENO);
            ::setenv("FILBERTGW_SETTINGS", settingsPath_.c_str(), 1);
            ::_exit(runPlatformNode({}));
        }
        context_.notify_fork(boost::asio::execution_context::fork_parent);
        return readyPort;
    }

    /** \brief Runs the loop of the store and the engines between questions, until one is answered with yes. */
    void runUntil(const std::function<bool()> &isDone)
    {
        constexpr int most = 20'000;
        for (int i = 0; i < most; ++i) {
            if (isDone()) {
                return;
            }
            context_.restart();
            context_.run_for(std::chrono::milliseconds(1));
        }
        FAIL() << "the condition was not reached";
    }

    /**
     * \brief Sends a request and runs the loop until the node closes.
     *
     * \param onBytes gets what has arrived so far.
     * \return the answer, with `(reset)` at its end if the connection was reset.
     */
    std::string ask(std::uint16_t port,
                    const std::string &request,
                    const std::function<void(const std::string &)> &onBytes = nullptr)
    {
        Tcp::socket socket(context_);
        boost::system::error_code error;
        socket.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), port), error);
        if (error) {
            return {};
        }
        boost::asio::write(socket, boost::asio::buffer(request), error);
        socket.non_blocking(true);
        std::string answer;
        runUntil([&socket, &answer, &onBytes] {
            std::array<char, 4096> buffer{};
            boost::system::error_code state;
            answer.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), state));
            answer += state == boost::asio::error::connection_reset ? "(reset)" : "";
            if (onBytes) {
                onBytes(answer);
            }
            return state && state != boost::asio::error::would_block;
        });
        return answer;
    }

    std::string askClient(const std::string &path,
                          const std::string &version,
                          const std::function<void(const std::string &)> &onBytes = nullptr,
                          std::size_t uploadBytes = 0)
    {
        return ask(clientPort_,
                   "POST " + path + " HTTP/" + version + "\r\nHost: h\r\nConnection: close\r\n"
                       + "X-Filbertgw-Attempt-Id: a1\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n"
                       + std::string(uploadBytes, 'x'),
                   onBytes);
    }

    IoLoop loop_;
    boost::asio::io_context &context_ = loop_.d().context_;
    MemoryStore store_{loop_};
    ScriptedEngines engines_{context_};
    std::uint16_t clientPort_ = 0;
    pid_t node_ = 0;
    std::string settingsPath_;
};

} // namespace

/** \brief A fault of an engine, and how the client's answer begins and ends. */
struct EngineFaultCase
{
    const char *name_;
    const char *path_;
    std::vector<EngineScript> scripts_;
    std::size_t requests_; ///< That engines get.
    std::string start_;
    std::string end_;
    const char *version_ = "1.1";
    std::size_t uploadBytes_ = 0; ///< Of the request's body. Engines read its first bytes only.
};

class EngineFault : public NodeFixture, public testing::WithParamInterface<EngineFaultCase>
{
};

// Guards against an engine's cut answer that a client gets as whole, and a cut head that makes an answer.
TEST_P(EngineFault, IsNotHidden)
{
    engines_.scripts_ = GetParam().scripts_;
    startNode();
    const std::string answer = askClient(GetParam().path_, GetParam().version_, nullptr, GetParam().uploadBytes_);
    EXPECT_EQ(answer.substr(0, GetParam().start_.size()), GetParam().start_) << answer;
    const std::string end = answer.substr(answer.size() - std::min(answer.size(), GetParam().end_.size()));
    EXPECT_EQ(end, GetParam().end_) << answer;
    EXPECT_EQ(engines_.requests_.size(), GetParam().requests_);
}

namespace {

using End = EngineScript::End;

const std::string stamped = "X-Filbertgw-Attempt-Id: %ID%\r\nX-Filbertgw-Response-Stamp: s\r\n";
const std::string cutHead = "HTTP/1.1 200 OK\r\n" + stamped + "Content-Le";
const std::string wholeAnswer = "HTTP/1.1 200 OK\r\n" + stamped + "Content-Length: 2\r\n\r\nhi";
const std::string streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + stamped;
const std::string one = "id: 1\ndata: a\n\n";
const std::string two = "id: 2\ndata: b\n\n";
const std::string chunkOne = "f\r\n" + one + "\r\n";
const std::string chunkTwo = "f\r\n" + two + "\r\n";
const std::string lastChunk = "0\r\n\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string badGateway = "HTTP/1.1 502";
const std::string unframedAnswer = "HTTP/1.1 200 OK\r\n" + stamped + "\r\nthe begin of a text";
constexpr std::size_t uploadBytes = 3'000'000;

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Table,
    EngineFault,
    testing::Values(
        EngineFaultCase{"CutHeadOnce", "/once", {{cutHead, End::Close}}, 1, badGateway, "}"},
        EngineFaultCase{"CutHeadResetOnce", "/once", {{cutHead, End::Reset}}, 1, badGateway, "}"},
        EngineFaultCase{"CutStatusLineOnce", "/once", {{"HTTP/1.1 200", End::Close}}, 1, badGateway, "}"},
        EngineFaultCase{
            "CutHeadAfterNotRun",
            "/once",
            {{"HTTP/1.1 503 No\r\nX-Filbertgw-Not-Executed: 1\r\nX-Filbertgw-Attempt-Id: %ID%\r\n", End::Close}},
            1,
            badGateway,
            "}"},
        EngineFaultCase{
            "CutHeadAgain", "/again", {{cutHead, End::Close}, {wholeAnswer}}, 2, "HTTP/1.1 200", "\r\n\r\nhi"},
        EngineFaultCase{"RefusalInCutHead",
                        "/once",
                        {{"HTTP/1.1 200 OK\r\n" + stamped
                          + "X: aHTTP/1.1 503 No\r\nX-Filbertgw-Attempt-Id: %ID%\r\n"
                            "X-Filbertgw-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno"}},
                        1,
                        badGateway,
                        "}"},
        EngineFaultCase{"AnswerInCutRefusal",
                        "/once",
                        {{"HTTP/1.1 503 No\r\nX-Filbertgw-Not-Executed: 1\r\nX: a" + wholeAnswer}},
                        1,
                        badGateway,
                        "}"},
        EngineFaultCase{"CutStreamHead", "/stream", {{streamHead, End::Close}}, 1, badGateway, "}"},
        EngineFaultCase{"CutStreamHeadResumable",
                        "/resume",
                        {{streamHead, End::Close}, {streamHead + chunked + chunkOne + lastChunk}},
                        2,
                        "HTTP/1.1 200",
                        chunkOne + lastChunk},
        EngineFaultCase{"ChunksCutBetweenEvents",
                        "/stream",
                        {{streamHead + chunked + chunkOne, End::Close}},
                        1,
                        "HTTP/1.1 200",
                        chunkOne},
        EngineFaultCase{"ChunksCutInEvent",
                        "/stream",
                        {{streamHead + chunked + chunkOne + "f\r\nid: 2\nda", End::Close}},
                        1,
                        "HTTP/1.1 200",
                        chunkOne},
        EngineFaultCase{"LastChunkCut",
                        "/stream",
                        {{streamHead + chunked + chunkOne + "0\r\n", End::Close}},
                        1,
                        "HTTP/1.1 200",
                        chunkOne},
        EngineFaultCase{"Http10ClientChunksCut",
                        "/stream",
                        {{streamHead + chunked + chunkOne, End::Close}},
                        1,
                        "HTTP/1.0 200",
                        one + "(reset)",
                        "1.0"},
        EngineFaultCase{"UnframedClosedInEvent",
                        "/stream",
                        {{streamHead + "\r\n" + one + "id: 2\nda", End::Close}},
                        1,
                        "HTTP/1.1 200",
                        chunkOne},
        EngineFaultCase{"UnframedResetBetweenEvents",
                        "/stream",
                        {{streamHead + "\r\n" + one, End::Reset}},
                        1,
                        "HTTP/1.1 200",
                        chunkOne},
        // Nothing tells this end from that of the whole stream, which the protocol allows.
        EngineFaultCase{"UnframedClosedBetweenEvents",
                        "/stream",
                        {{streamHead + "\r\n" + one, End::Close}},
                        1,
                        "HTTP/1.1 200",
                        chunkOne + lastChunk},
        EngineFaultCase{
            "UnframedResumedInEvent",
            "/resume",
            {{streamHead + "\r\n" + one + "id: 2\nda", End::Close}, {streamHead + chunked + chunkTwo + lastChunk}},
            2,
            "HTTP/1.1 200",
            chunkOne + chunkTwo + lastChunk}),
    [](const testing::TestParamInfo<EngineFaultCase> &info) { return info.param.name_; });

// An engine that answers a long upload before it has read it. A reset may take the place of the rest of its answer.
INSTANTIATE_TEST_SUITE_P(
    Upload,
    EngineFault,
    testing::Values(
        EngineFaultCase{"ResetOnce", "/once", {{unframedAnswer, End::Reset}}, 1, badGateway, "}", "1.1", uploadBytes},
        EngineFaultCase{"ClosedOnce", "/once", {{unframedAnswer, End::Close}}, 1, badGateway, "}", "1.1", uploadBytes},
        EngineFaultCase{"ResetAgain",
                        "/again",
                        {{unframedAnswer, End::Reset}, {wholeAnswer}},
                        2,
                        "HTTP/1.1 200",
                        "\r\n\r\nhi",
                        "1.1",
                        uploadBytes},
        EngineFaultCase{"StreamReset",
                        "/stream",
                        {{streamHead + "\r\n" + one, End::Reset}},
                        1,
                        "HTTP/1.1 200",
                        chunkOne,
                        "1.1",
                        uploadBytes},
        EngineFaultCase{"StreamResumed",
                        "/resume",
                        {{streamHead + "\r\n" + one, End::Reset}, {streamHead + chunked + chunkTwo + lastChunk}},
                        2,
                        "HTTP/1.1 200",
                        chunkOne + chunkTwo + lastChunk,
                        "1.1",
                        uploadBytes},
        EngineFaultCase{"WholeRefusalReset",
                        "/once",
                        {{"HTTP/1.1 413 Large\r\n" + stamped + "Content-Length: 2\r\n\r\nno", End::Reset}},
                        1,
                        "HTTP/1.1 413",
                        "\r\n\r\nno",
                        "1.1",
                        uploadBytes},
        EngineFaultCase{
            "WholeAnswerKept", "/once", {{wholeAnswer}}, 1, "HTTP/1.1 200", "\r\n\r\nhi", "1.1", uploadBytes}),
    [](const testing::TestParamInfo<EngineFaultCase> &info) { return info.param.name_; });

/** \brief How the node ends while it relays a stream. */
struct NodeEndCase
{
    const char *name_;
    int signal_;
    const char *version_;
    std::string end_; ///< Of the client's answer.
};

class NodeEnd : public NodeFixture, public testing::WithParamInterface<NodeEndCase>
{
};

// Guards against a stream that seems complete because the node's process ended in the middle of it.
TEST_P(NodeEnd, LeavesNoStreamThatLooksComplete)
{
    engines_.scripts_ = {{streamHead + chunked + chunkOne}};
    startNode();
    bool isSignalled = false;
    const auto signalOnce = [this, &isSignalled](const std::string &answer) {
        if (!isSignalled && answer.find(one) != std::string::npos) {
            isSignalled = ::kill(node_, GetParam().signal_) == 0;
        }
    };
    const std::string answer = askClient("/stream", GetParam().version_, signalOnce);
    EXPECT_TRUE(isSignalled);
    const std::string end = answer.substr(answer.size() - std::min(answer.size(), GetParam().end_.size()));
    EXPECT_EQ(end, GetParam().end_) << answer;
}

INSTANTIATE_TEST_SUITE_P(Table,
                         NodeEnd,
                         testing::Values(NodeEndCase{"Http11Stopped", SIGTERM, "1.1", chunkOne},
                                         NodeEndCase{"Http11Killed", SIGKILL, "1.1", chunkOne},
                                         NodeEndCase{"Http10Stopped", SIGTERM, "1.0", one + "(reset)"},
                                         NodeEndCase{"Http10Killed", SIGKILL, "1.0", one + "(reset)"}),
                         [](const testing::TestParamInfo<NodeEndCase> &info) { return info.param.name_; });

/** \brief The answer of a second engine that does not continue the stream of the first one. */
struct NoContinuationCase
{
    const char *name_;
    EngineScript script_;
};

class NoContinuation : public NodeFixture, public testing::WithParamInterface<NoContinuationCase>
{
};

// Guards against an error's text in the middle of a stream, and a broken stream that ends as if it were complete.
TEST_P(NoContinuation, BreaksTheStream)
{
    engines_.scripts_ = {{streamHead + chunked + chunkOne, End::Close}, GetParam().script_};
    startNode();
    const std::string answer = askClient("/resume", "1.1");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200") << answer;
    EXPECT_EQ(answer.find("boom"), std::string::npos) << answer;
    EXPECT_EQ(answer.substr(answer.size() - std::min(answer.size(), chunkOne.size())), chunkOne) << answer;
    EXPECT_EQ(answer.find(chunkOne), answer.rfind(chunkOne)) << answer;
    EXPECT_GE(engines_.requests_.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    NoContinuation,
    testing::Values(
        NoContinuationCase{"Error", {"HTTP/1.1 500 No\r\n" + stamped + "Content-Length: 12\r\n\r\ndata: boom\n\n"}},
        NoContinuationCase{"EmptyError", {"HTTP/1.1 500 No\r\n" + stamped + "Content-Length: 0\r\n\r\n"}},
        NoContinuationCase{"ErrorInEvents",
                           {"HTTP/1.1 500 No\r\nContent-Type: text/event-stream\r\n" + stamped
                            + "Content-Length: 19\r\n\r\nid: 2\ndata: boom!\n\n"}},
        NoContinuationCase{"UnframedError", {"HTTP/1.1 500 No\r\n" + stamped + "\r\nboom\n\n", End::Close}},
        NoContinuationCase{"NotFound", {"HTTP/1.1 404 No\r\n" + stamped + "Content-Length: 6\r\n\r\nboom\n\n"}},
        NoContinuationCase{"Unsigned", {"HTTP/1.1 500 No\r\nContent-Length: 6\r\n\r\nboom\n\n"}},
        NoContinuationCase{"NotRun",
                           {"HTTP/1.1 503 No\r\nX-Filbertgw-Attempt-Id: %ID%\r\nX-Filbertgw-Not-Executed: 1\r\n"
                            "Content-Length: 6\r\n\r\nboom\n\n"}},
        NoContinuationCase{"NotRunAndSigned",
                           {"HTTP/1.1 503 No\r\n" + stamped
                            + "X-Filbertgw-Not-Executed: 1\r\n"
                              "Content-Length: 6\r\n\r\nboom\n\n"}},
        NoContinuationCase{"NoContent", {"HTTP/1.1 204 No Content\r\n" + stamped + "\r\n"}},
        NoContinuationCase{"AnotherKindOfBody",
                           {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + stamped
                            + "Content-Length: 17\r\n\r\n{\"error\":\"boom\"}"}},
        NoContinuationCase{
            "TextThatEndsALine",
            {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + stamped + "Content-Length: 6\r\n\r\nboom\n\n"}},
        NoContinuationCase{"CutHead", {streamHead + "X: boom", End::Close}},
        NoContinuationCase{"NotHttp", {"boom\n\n", End::Close}},
        NoContinuationCase{"HeadInItsBody",
                           {streamHead + chunked + "15\r\n" + "HTTP/1.1 500 boom\r\n\r\n\r\n" + lastChunk}},
        NoContinuationCase{"TheSameEventAgain", {streamHead + chunked + chunkOne + lastChunk}}),
    [](const testing::TestParamInfo<NoContinuationCase> &info) { return info.param.name_; });

} // namespace filbertgw::platform
