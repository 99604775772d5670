#ifndef FILBERTGW_REVIEW_STANDINS_H
#define FILBERTGW_REVIEW_STANDINS_H

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace filbertgw::review {

/** \brief Seconds since the program began. */
double now();
void sleepUntil(double time);
/** \brief False if the environment has TROUBLE=0. */
bool hasTrouble();

/** \brief The file record.txt of a case: what was sent, answered and run, with times. */
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct Message
{
    std::string method_;
    std::string target_;
    int status_ = 0;
    std::map<std::string, std::string> headers_; ///< Names in lower case.
    std::string body_;

    std::string header(const std::string &name) const;
};

/** \brief One accepted connection, used by the thread that serves it. */
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** \brief Reads a request or a response. \return false if the connection ended or the time is over. */
    bool read(Message &message, double deadline, bool isResponse);
    bool write(const std::string &bytes);
    /** \brief True if the peer has closed the connection. */
    bool isClosedByPeer() const;
    int descriptor() const;

private:
    bool fill(double deadline);
    bool readLine(std::string &line, double deadline);
    bool readBytes(std::string &bytes, std::size_t size, double deadline);
    bool readChunks(std::string &bytes, double deadline);

    int descriptor_;
    std::string input_;
};

/** \brief Listens at a loopback address; each connection has a thread of its own. */
class Server
{
public:
    using Handler = std::function<bool(Connection &connection, const Message &request)>;

    /** \param handler answers a request; false closes the connection */
    Server(const std::string &host, std::uint16_t port, Handler handler);
    ~Server();
    bool isListening() const;

private:
    void accept();

    Handler handler_;
    int descriptor_ = -1;
    std::atomic<bool> stopping_{false};
    std::atomic<int> open_{0};
    std::mutex mutex_;
    std::set<int> descriptors_;
    std::thread thread_;
};

std::string response(int status,
                     const std::vector<std::pair<std::string, std::string>> &headers,
                     const std::string &body,
                     const std::string &type = "application/json");

/** \brief Result of a request of a client. */
struct Answer
{
    int status_ = 0; ///< 0 if there was none.
    bool isWhole_ = false;
    std::map<std::string, std::string> headers_;
    std::string body_;
    double time_ = 0.0; ///< Seconds that it took.
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/** \brief A connection of a client that is kept for several requests. */
class Client
{
public:
    Client(const std::string &host, std::uint16_t port);
    /** \return status 0 if the connection is of no use any more */
    Answer ask(const std::string &method,
               const std::string &target,
               const Headers &headers,
               const std::string &body,
               double timeout);

private:
    std::unique_ptr<Connection> connection_;
};

/** \brief Sends one request on a connection of its own. */
Answer ask(const std::string &host,
           std::uint16_t port,
           const std::string &method,
           const std::string &target,
           const Headers &headers,
           const std::string &body,
           double timeout);

/** \brief The platform's log store, as PROTOCOL.md tells. */
class Store
{
public:
    Store(const std::string &host, std::uint16_t port);
    ~Store();
    /** \brief Writes a record of the operator or of an engine; without a value the key is dropped. */
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);

private:
    /** \brief Appends of a writer; a repeat of one of the last five gets its first response again. */
    struct Producer
    {
        std::uint64_t epoch_ = 0;
        std::optional<std::uint64_t> last_;
        std::map<std::uint64_t, std::string> responses_; ///< By sequence number.
    };
    struct Partition
    {
        std::vector<std::string> records_;
        std::map<std::string, std::pair<std::string, std::uint64_t>> newest_; ///< Value and offset.
        std::map<std::string, Producer> producers_;
        double freeAt_ = 0.0;
    };
    using Query = std::map<std::string, std::string>;

    bool serve(Connection &connection, const Message &request);
    std::string append(const Query &query, const std::string &body);
    std::string read(const Query &query);
    std::string newest(const Query &query);
    Partition &partition(const Query &query);
    static void add(Partition &partition, const std::string &record);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Partition> partitions_;
    std::atomic<bool> stopping_{false};
    std::unique_ptr<Server> server_;
};

/** \brief What an engine is asked to run. */
struct Run
{
    std::string engine_;
    Message request_;
};

/** \brief An engine that keeps the pages' rules; what it does with a request is set by the case. */
class Engine
{
public:
    struct Identity
    {
        std::string id_;
        std::string service_;
        std::string zone_;
        std::string host_;
        std::uint16_t port_ = 0;
        unsigned slots_ = 16;
    };
    /** \brief Answers a request that was accepted; false closes the connection. */
    using Handler = std::function<bool(Connection &connection, const Message &request)>;

    Engine(Store &store, Identity identity, Handler handler);
    ~Engine();
    /** \brief Silent from now on, as behind a dead switch: no heartbeat, no answer, no new connection is served. */
    void goDark();
    /** \brief True while it is dark. */
    bool isDark() const;
    const Identity &identity() const;

private:
    bool serve(Connection &connection, const Message &request);
    void beat();
    std::string entry() const;

    Store &store_;
    Identity identity_;
    Handler handler_;
    std::uint64_t bornMs_ = 0;
    std::atomic<std::uint64_t> sequence_{0};
    std::atomic<bool> dark_{false};
    std::atomic<bool> stopping_{false};
    std::unique_ptr<Server> server_;
    std::thread heartbeat_;
};

/** \brief Gateways of the deploy file as processes; the destructor ends them. */
class Deployment
{
public:
    /** \param memoryMb as `limits.memory_mb` of the settings */
    Deployment(std::size_t nodes, unsigned memoryMb);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    std::string host(std::size_t number) const;
    std::uint16_t clientPort() const;
    std::uint16_t enginePort() const;
    Store &store();
    bool start();
    /** \brief Waits until all nodes say that they are ready. */
    bool waitUntilReady(double timeout);
    pid_t pid(std::size_t node) const;
    bool isRunning(std::size_t node) const;
    /** \brief Kills a process that uses more memory than its settings allow, as the platform does. \return true if so
     */
    bool killIfOverMemory(std::size_t node);
    /** \brief Starts a node that was killed. */
    bool startAgain(std::size_t node);
    /** \brief Resident memory in kB. */
    std::size_t residentKilobytes(std::size_t node) const;
    std::size_t size() const;
    const std::string &folder() const;

private:
    bool startNode(std::size_t node);

    std::string folder_;
    std::string base_; ///< First three numbers of the addresses.
    std::uint16_t firstPort_ = 0;
    unsigned memoryMb_;
    std::vector<pid_t> pids_;
    std::unique_ptr<Store> store_;
};

/** \brief An id that no other request has. */
std::string newId();

} // namespace filbertgw::review

#endif
