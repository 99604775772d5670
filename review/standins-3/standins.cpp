#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>

namespace filbertgw::review {

namespace {

constexpr double heartbeatSeconds = 1.2;
constexpr double appendSeconds = 0.004;
constexpr double idleSeconds = 120.0;
constexpr std::size_t longestPage = 1024 * 1024;
constexpr std::size_t mostItems = 500;
constexpr std::size_t repeatsKept = 5;
constexpr std::size_t peerPorts = 16;
const std::string keyedPrefix = "keyed.";
const std::vector<std::string> zones{"za", "zb", "zc"};

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

sockaddr_in addressOf(const std::string &host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

int connectTo(const std::string &host, std::uint16_t port, double timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = addressOf(host, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd waiting{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        const bool isReady = errno == EINPROGRESS && ::poll(&waiting, 1, static_cast<int>(timeout * 1000.0)) == 1;
        if (!isReady || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(descriptor);
            return -1;
        }
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

int listenAt(const std::string &host, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(host, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(descriptor, 1024) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t start = target.find('?');
    std::size_t at = start == std::string::npos ? target.size() : start + 1;
    while (at < target.size()) {
        const std::size_t end = std::min(target.find('&', at), target.size());
        const std::string pair = target.substr(at, end - at);
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] = equals == std::string::npos ? "" : decodePercent(pair.substr(equals + 1));
        at = end + 1;
    }
    return query;
}

std::string textIn(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::uint64_t numberIn(const std::map<std::string, std::string> &query, const std::string &name)
{
    return std::strtoull(textIn(query, name).c_str(), nullptr, 10);
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return text;
}

std::string encodeBase64(const std::string &bytes)
{
    static const char *const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t size = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (j < size ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += j <= size ? letters[(group >> (18U - 6U * j)) & 63U] : '=';
        }
    }
    return text;
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

} // namespace

double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void sleepUntil(double time)
{
    const double left = time - now();
    if (left > 0.0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
    }
}

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard<std::mutex> lock(mutex);
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

Record::Record(const std::string &path)
    : file_(path)
{
}

void Record::add(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", now());
    file_ << time.data() << line << std::endl;
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers_.find(name);
    return found == headers_.end() ? std::string() : found->second;
}

Connection::Connection(int descriptor)
    : descriptor_(descriptor)
{
}

Connection::~Connection()
{
    ::close(descriptor_);
}

int Connection::descriptor() const
{
    return descriptor_;
}

bool Connection::fill(double deadline)
{
    pollfd waiting{descriptor_, POLLIN, 0};
    const double left = std::max(0.0, deadline - now());
    if (::poll(&waiting, 1, static_cast<int>(left * 1000.0) + 1) != 1) {
        return false;
    }
    std::vector<char> buffer(64 * 1024);
    const ssize_t size = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        return false;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(size));
    return true;
}

bool Connection::readLine(std::string &line, double deadline)
{
    std::size_t end = input_.find("\r\n");
    while (end == std::string::npos) {
        if (!fill(deadline)) {
            return false;
        }
        end = input_.find("\r\n");
    }
    line = input_.substr(0, end);
    input_.erase(0, end + 2);
    return true;
}

bool Connection::readBytes(std::string &bytes, std::size_t size, double deadline)
{
    while (input_.size() < size) {
        if (!fill(deadline)) {
            bytes += input_;
            input_.clear();
            return false;
        }
    }
    bytes += input_.substr(0, size);
    input_.erase(0, size);
    return true;
}

bool Connection::readChunks(std::string &bytes, double deadline)
{
    std::string line;
    while (readLine(line, deadline)) {
        const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
        std::string ignored;
        if (size == 0) {
            return readLine(ignored, deadline);
        }
        if (!readBytes(bytes, size, deadline) || !readBytes(ignored, 2, deadline)) {
            return false;
        }
    }
    return false;
}

bool Connection::read(Message &message, double deadline, bool isResponse)
{
    message = Message();
    std::string line;
    if (!readLine(line, deadline)) {
        return false;
    }
    const std::size_t first = line.find(' ');
    const std::size_t second = std::min(line.find(' ', first + 1), line.size());
    if (first == std::string::npos) {
        return false;
    }
    if (isResponse) {
        message.status_ = std::atoi(line.c_str() + first + 1);
    } else {
        message.method_ = line.substr(0, first);
        message.target_ = line.substr(first + 1, second - first - 1);
    }
    while (readLine(line, deadline)) {
        if (line.empty()) {
            break;
        }
        const std::size_t colon = line.find(':');
        const std::size_t value = std::min(line.find_first_not_of(' ', colon + 1), line.size());
        message.headers_[lowerCase(line.substr(0, colon))] = line.substr(value);
    }
    if (!line.empty()) {
        return false;
    }
    if (lowerCase(message.header("transfer-encoding")) == "chunked") {
        return readChunks(message.body_, deadline);
    }
    return readBytes(message.body_, std::strtoull(message.header("content-length").c_str(), nullptr, 10), deadline);
}

bool Connection::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t size = ::send(descriptor_, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    return ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

Server::Server(const std::string &host, std::uint16_t port, Handler handler)
    : handler_(std::move(handler))
    , descriptor_(listenAt(host, port))
{
    if (descriptor_ >= 0) {
        thread_ = std::thread([this] { accept(); });
    }
}

Server::~Server()
{
    stopping_ = true;
    if (descriptor_ >= 0) {
        ::shutdown(descriptor_, SHUT_RDWR);
        thread_.join();
        ::close(descriptor_);
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const int descriptor : descriptors_) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    while (open_ > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

bool Server::isListening() const
{
    return descriptor_ >= 0;
}

void Server::accept()
{
    while (!stopping_) {
        const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++open_;
        std::thread([this, accepted] {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                descriptors_.insert(accepted);
            }
            {
                Connection connection(accepted);
                Message request;
                while (!stopping_ && connection.read(request, now() + idleSeconds, false)
                       && handler_(connection, request)) { }
                const std::lock_guard<std::mutex> lock(mutex_);
                descriptors_.erase(accepted);
            }
            --open_;
        }).detach();
    }
}

std::string response(int status, const Headers &headers, const std::string &body, const std::string &type)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const std::pair<std::string, std::string> &header : headers) {
        text += header.first + ": " + header.second + "\r\n";
    }
    return text + "Content-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Client::Client(const std::string &host, std::uint16_t port)
{
    const int descriptor = connectTo(host, port, 1.0);
    if (descriptor >= 0) {
        connection_ = std::make_unique<Connection>(descriptor);
    }
}

Answer Client::ask(const std::string &method,
                   const std::string &target,
                   const Headers &headers,
                   const std::string &body,
                   double timeout)
{
    const double started = now();
    Answer answer;
    if (!connection_) {
        return answer;
    }
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    for (const std::pair<std::string, std::string> &header : headers) {
        text += header.first + ": " + header.second + "\r\n";
    }
    if (!body.empty() || method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    connection_->write(text + "\r\n" + body);
    Message message;
    answer.isWhole_ = connection_->read(message, started + timeout, true);
    answer.status_ = message.status_;
    answer.headers_ = message.headers_;
    answer.body_ = message.body_;
    answer.time_ = now() - started;
    if (!answer.isWhole_ || message.header("connection") == "close") {
        connection_.reset();
    }
    return answer;
}

Answer ask(const std::string &host,
           std::uint16_t port,
           const std::string &method,
           const std::string &target,
           const Headers &headers,
           const std::string &body,
           double timeout)
{
    return Client(host, port).ask(method, target, headers, body, timeout);
}

Store::Store(const std::string &host, std::uint16_t port)
    : server_(std::make_unique<Server>(
        host, port, [this](Connection &connection, const Message &request) { return serve(connection, request); }))
{
}

Store::~Store()
{
    stopping_ = true;
    changed_.notify_all();
    server_.reset();
}

void Store::add(Partition &partition, const std::string &record)
{
    const std::size_t size = record.empty() ? 0 : static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(std::min<std::size_t>(1, record.size()), size);
    if (record.size() > size + 1) {
        partition.newest_[key] = {record.substr(size + 1), partition.records_.size()};
    } else {
        partition.newest_.erase(key);
    }
    partition.records_.push_back(record);
}

void Store::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    add(partitions_[keyedPrefix + topic + "/0"],
        std::string(1, static_cast<char>(key.size())) + key + value.value_or(std::string()));
    changed_.notify_all();
}

Store::Partition &Store::partition(const Query &query)
{
    return partitions_[textIn(query, "topic") + '/' + std::to_string(numberIn(query, "part"))];
}

bool Store::serve(Connection &connection, const Message &request)
{
    const std::string path = request.target_.substr(0, request.target_.find('?'));
    const Query query = queryOf(request.target_);
    if (path == "/-/log-append") {
        return connection.write(append(query, request.body_));
    }
    if (path == "/-/log-read") {
        return connection.write(response(200, {}, read(query), "application/octet-stream"));
    }
    if (path == "/-/log-newest") {
        return connection.write(response(200, {}, newest(query)));
    }
    return connection.write(response(404, {}, "{}"));
}

std::string Store::append(const Query &query, const std::string &body)
{
    double doneAt = 0.0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        Partition &target = partition(query);
        target.freeAt_ = std::max(target.freeAt_, now()) + appendSeconds;
        doneAt = target.freeAt_;
    }
    sleepUntil(doneAt);
    const std::lock_guard<std::mutex> lock(mutex_);
    Partition &target = partition(query);
    const bool hasProducer = query.count("producer") > 0;
    const std::uint64_t sequence = numberIn(query, "sequence");
    if (hasProducer) {
        Producer &producer = target.producers_[textIn(query, "producer")];
        const std::uint64_t epoch = numberIn(query, "epoch");
        if (epoch < producer.epoch_) {
            return response(409, {}, R"({"why":"fenced"})");
        }
        if (epoch > producer.epoch_) {
            producer = Producer();
            producer.epoch_ = epoch;
        }
        const auto repeated = producer.responses_.find(sequence);
        if (repeated != producer.responses_.end()) {
            return repeated->second;
        }
        if (producer.last_ && sequence != *producer.last_ + 1) {
            return response(409, {}, R"({"why":"seq","sequence":)" + std::to_string(*producer.last_ + 1) + '}');
        }
    }
    const std::string offset = std::to_string(target.records_.size());
    for (std::size_t at = 0; at + 4 <= body.size();) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < 4; ++i) {
            size = (size << 8U) | static_cast<unsigned char>(body[at + i]);
        }
        add(target, body.substr(at + 4, size));
        at += 4 + size;
    }
    changed_.notify_all();
    const std::string end = std::to_string(target.records_.size());
    const std::string answer = response(200, {}, "{\"offset\":" + offset + ",\"end\":" + end + '}');
    if (hasProducer) {
        Producer &producer = target.producers_[textIn(query, "producer")];
        producer.last_ = sequence;
        producer.responses_[sequence] = answer;
        if (producer.responses_.size() > repeatsKept) {
            producer.responses_.erase(producer.responses_.begin());
        }
    }
    return answer;
}

std::string Store::read(const Query &query)
{
    const std::uint64_t from = numberIn(query, "from");
    const double deadline = now() + static_cast<double>(numberIn(query, "wait_ms")) / 1000.0;
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_ && partition(query).records_.size() <= from && now() < deadline) {
        changed_.wait_for(lock, std::chrono::duration<double>(std::max(0.001, deadline - now())));
    }
    const Partition &source = partition(query);
    std::string page = bigEndian(source.records_.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < source.records_.size() && page.size() < longestPage; ++i) {
        page += bigEndian(source.records_[i].size(), 4) + source.records_[i];
    }
    return page;
}

std::string Store::newest(const Query &query)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const Partition &source = partition(query);
    std::string items;
    std::size_t count = 0;
    auto next = source.newest_.upper_bound(textIn(query, "after"));
    for (; next != source.newest_.end() && count < mostItems && items.size() < longestPage; ++next, ++count) {
        items += (items.empty() ? "" : ",") + ("{\"key\":" + quoted(next->first)) + ",\"value\":"
            + quoted(encodeBase64(next->second.first)) + ",\"offset\":" + std::to_string(next->second.second) + '}';
    }
    return "{\"items\":[" + items + "],\"has_more\":" + (next != source.newest_.end() ? "true" : "false")
        + ",\"end\":" + std::to_string(source.records_.size()) + '}';
}

Engine::Engine(Store &store, Identity identity, Handler handler)
    : store_(store)
    , identity_(std::move(identity))
    , handler_(std::move(handler))
    , bornMs_(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count()))
    , server_(std::make_unique<Server>(
          identity_.host_,
          identity_.port_,
          [this](Connection &connection, const Message &request) { return serve(connection, request); }))
    , heartbeat_([this] { beat(); })
{
}

Engine::~Engine()
{
    stopping_ = true;
    heartbeat_.join();
    server_.reset();
}

void Engine::goDark()
{
    dark_ = true;
}

bool Engine::isDark() const
{
    return dark_;
}

const Engine::Identity &Engine::identity() const
{
    return identity_;
}

std::string Engine::entry() const
{
    return "{\"service\":" + quoted(identity_.service_)
        + ",\"address\":" + quoted(identity_.host_ + ':' + std::to_string(identity_.port_))
        + ",\"zone\":" + quoted(identity_.zone_) + ",\"version\":\"v1\",\"slots\":" + std::to_string(identity_.slots_)
        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":" + std::to_string(sequence_)
        + ",\"born\":" + std::to_string(bornMs_) + '}';
}

/** The platform removes the entry after three heartbeat intervals of silence. */
void Engine::beat()
{
    double next = now();
    double last = next;
    bool isListed = false;
    while (!stopping_) {
        if (!dark_ && now() >= next) {
            ++sequence_;
            store_.put("servers", identity_.id_, entry());
            last = now();
            next = last + heartbeatSeconds;
            isListed = true;
        }
        if (isListed && now() >= last + 3 * heartbeatSeconds) {
            store_.put("servers", identity_.id_, std::nullopt);
            isListed = false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

bool Engine::serve(Connection &connection, const Message &request)
{
    while (dark_ && !stopping_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    if (stopping_) {
        return false;
    }
    if (request.target_ == "/-/report") {
        return connection.write(response(200,
                                         {},
                                         "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,"
                                         "\"active\":0,\"kv_used\":0,\"kv_total\":487206,\"handles\":0,\"born\":"
                                             + std::to_string(bornMs_) + '}'));
    }
    if (request.target_ == "/-/kv-list") {
        return connection.write(response(200, {}, R"({"epoch":1,"next":0,"held":[]})"));
    }
    if (request.target_ == "/health") {
        return connection.write(response(200, {{"X-Filbertgw-Instance-Id", identity_.id_}}, ""));
    }
    const std::string attempt = request.header("x-filbertgw-attempt-id");
    if (attempt.empty()) {
        return connection.write(response(400, {{"X-Filbertgw-Not-Executed", "1"}}, ""));
    }
    const std::string expected = request.header("x-filbertgw-expect-instance");
    if (!expected.empty() && expected != identity_.id_) {
        return connection.write(
            response(421, {{"X-Filbertgw-Not-Executed", "1"}, {"X-Filbertgw-Attempt-Id", attempt}}, ""));
    }
    return handler_(connection, request);
}

Deployment::Deployment(std::size_t nodes, unsigned memoryMb)
    : memoryMb_(memoryMb)
    , pids_(nodes, 0)
{
    folder_ = (std::filesystem::temp_directory_path() / ("filbertgw-review-" + newId())).string();
    std::filesystem::create_directories(folder_);
    const unsigned process = static_cast<unsigned>(::getpid());
    base_ = "127." + std::to_string(1 + process % 200) + '.' + std::to_string(1 + process / 200 % 200) + '.';
    for (unsigned first = 21000 + process % 500 * 20; firstPort_ == 0; first += 40) {
        bool isFree = true;
        for (std::size_t number = 1; number <= nodes + 1 && isFree; ++number) {
            for (unsigned port = first; port < first + 4 + peerPorts && isFree; ++port) {
                const int descriptor = listenAt(host(number), static_cast<std::uint16_t>(port));
                isFree = descriptor >= 0;
                if (isFree) {
                    ::close(descriptor);
                }
            }
        }
        if (isFree) {
            firstPort_ = static_cast<std::uint16_t>(first);
        }
    }
    store_ = std::make_unique<Store>(host(nodes + 1), static_cast<std::uint16_t>(firstPort_ + 3));
}

Deployment::~Deployment()
{
    for (const pid_t process : pids_) {
        if (process > 0) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    store_.reset();
    const char *const keep = std::getenv("KEEP");
    if (keep == nullptr) {
        std::filesystem::remove_all(folder_);
    }
}

std::string Deployment::host(std::size_t number) const
{
    return base_ + std::to_string(number);
}

std::uint16_t Deployment::clientPort() const
{
    return firstPort_;
}

std::uint16_t Deployment::enginePort() const
{
    return static_cast<std::uint16_t>(firstPort_ + 2);
}

Store &Deployment::store()
{
    return *store_;
}

std::size_t Deployment::size() const
{
    return pids_.size();
}

const std::string &Deployment::folder() const
{
    return folder_;
}

pid_t Deployment::pid(std::size_t node) const
{
    return pids_[node];
}

bool Deployment::isRunning(std::size_t node) const
{
    siginfo_t info{};
    return ::waitid(P_PID, static_cast<id_t>(pids_[node]), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == 0;
}

std::size_t Deployment::residentKilobytes(std::size_t node) const
{
    std::ifstream file("/proc/" + std::to_string(pids_[node]) + "/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

bool Deployment::killIfOverMemory(std::size_t node)
{
    if (pids_[node] == 0 || residentKilobytes(node) <= std::size_t{memoryMb_} * 1024) {
        return false;
    }
    ::kill(pids_[node], SIGKILL);
    ::waitpid(pids_[node], nullptr, 0);
    pids_[node] = 0;
    return true;
}

bool Deployment::startAgain(std::size_t node)
{
    return startNode(node);
}

bool Deployment::start()
{
    bool isStarted = true;
    for (std::size_t node = 0; node < pids_.size(); ++node) {
        isStarted = startNode(node) && isStarted;
    }
    return isStarted;
}

bool Deployment::startNode(std::size_t node)
{
    const std::string name = "edge-" + zones[node % zones.size()] + '-' + std::to_string(node + 1);
    const std::string ip = host(node + 1);
    const std::string path = folder_ + '/' + name;
    const auto port = [this](unsigned offset) { return std::to_string(firstPort_ + offset); };
    std::ofstream(path + ".json")
        << "{\"node_name\":" << quoted(name) << ",\"role\":\"gateway\",\"machine_class\":\"edge\",\"serves\":[\"edge\"]"
        << ",\"ip\":" << quoted(ip) << ",\"zone\":" << quoted(zones[node % zones.size()])
        << R"(,"region":"region-1","zones":{"za":"region-1","zb":"region-1","zc":"region-1"})"
        << ",\"listen\":{\"frontend\":" << quoted(ip + ':' + port(0)) << ",\"ready\":" << quoted(ip + ':' + port(1))
        << "},\"port_range\":[" << port(4) << ',' << port(4 + peerPorts - 1) << "],\"seeds\":[],\"bootstrap\":true"
        << R"(,"in_failure_budget":false,"limits":{"cpu_share":0.5,"cores":1,"memory_mb":)" << memoryMb_
        << R"(,"max_fds":8200,"bandwidth_mbps":1000.0,"disk_mb":0},"data_dir":null,"discovery":"platform")"
        << R"(,"entry_mode":"vip","heartbeat_ms":1200)"
        << R"(,"contracts":["base","drain","config","cost","recover","agent","stream","engine","platform"])"
        << R"(,"bounds":{"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"apply_ms":2000)"
        << R"(,"recover_s":12},"platform":{"address":)" << quoted(host(pids_.size() + 1) + ':' + port(3))
        << R"(,"form":"log","writes_per_s":800,"reads_per_s":2000,"parts":8,"append_ms":4.0,"part_mb_s":20.0)"
        << R"(,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"retain_s":300,"part_mb":200)"
        << R"(,"ttl_min_ms":1000}})";
    const pid_t process = ::fork();
    if (process < 0) {
        return false;
    }
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if this program is ended.
        ::setenv("FILBERTGW_SETTINGS", (path + ".json").c_str(), 1);
        const int log = ::open((path + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl("target/filbertgw", "target/filbertgw", "gateway", nullptr);
        ::_exit(127);
    }
    pids_[node] = process;
    return true;
}

bool Deployment::waitUntilReady(double timeout)
{
    const double deadline = now() + timeout;
    for (std::size_t node = 0; node < pids_.size(); ++node) {
        while (
            ask(host(node + 1), static_cast<std::uint16_t>(firstPort_ + 1), "GET", "/-/readiness", {}, "", 1.0).status_
            != 200) {
            if (now() > deadline || !isRunning(node)) {
                return false;
            }
            sleepUntil(now() + 0.1);
        }
    }
    return true;
}

} // namespace filbertgw::review
