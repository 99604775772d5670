#include "gatewayfleet.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace filbertgw::testing {

namespace {

const std::array<const char *, 3> zones{"za", "zb", "zc"};
constexpr std::uint16_t peerPorts = 16;
constexpr std::uint16_t firstPort = 20'000; // Below the ports that the kernel gives to clients.
constexpr std::uint16_t portStep = 40;
constexpr int portTries = 100;

bool isFree(const std::string &host, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    const int result = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    ::close(descriptor);
    return result == 0;
}

} // namespace

std::string DeploymentPorts::host(std::size_t number) const
{
    return base_ + std::to_string(number);
}

std::string DeploymentPorts::address(std::size_t number, std::uint16_t port) const
{
    return host(number) + ':' + std::to_string(port);
}

DeploymentPorts findPorts()
{
    // Other tests use addresses whose second number is below 64: the highest bits of a process id.
    const unsigned pid = unsigned(getpid());
    DeploymentPorts ports;
    ports.base_ = "127." + std::to_string(64U + ((pid >> 8U) & 63U)) + '.' + std::to_string(pid & 0xffU) + '.';
    for (int i = 0; i < portTries; ++i) {
        const std::uint16_t first = static_cast<std::uint16_t>(firstPort + portStep * i);
        bool allFree = true;
        for (std::uint16_t port = first; port < first + portStep && allFree; ++port) {
            allFree = isFree(ports.host(1), port);
        }
        if (allFree) {
            ports.client_ = first;
            ports.readiness_ = static_cast<std::uint16_t>(first + 1);
            ports.engine_ = static_cast<std::uint16_t>(first + 2);
            ports.store_ = static_cast<std::uint16_t>(first + 3);
            ports.firstPeer_ = static_cast<std::uint16_t>(first + 4);
            return ports;
        }
    }
    ADD_FAILURE() << "no free ports";
    return ports;
}

GatewayFleet::GatewayFleet(IoLoop &loop,
                           DeploymentPorts ports,
                           std::string directory,
                           std::string program,
                           std::vector<std::string> storeAddresses)
    : ports_(std::move(ports))
    , directory_(std::move(directory))
    , program_(program.empty() ? "filbertgw" : std::move(program))
    , storeAddresses_(std::move(storeAddresses))
    , nodes_(storeAddresses_.size())
    , http_(loop)
{
}

GatewayFleet::~GatewayFleet() = default;

std::size_t GatewayFleet::size() const
{
    return nodes_.size();
}

void GatewayFleet::setLimits(std::uint32_t memoryMb, std::uint32_t descriptors)
{
    memoryMb_ = memoryMb;
    descriptors_ = descriptors;
}

pid_t GatewayFleet::pid(std::size_t node) const
{
    return nodes_[node].process_->pid();
}

std::string GatewayFleet::nameOf(std::size_t node)
{
    return std::string("edge-") + zones[node % zones.size()] + '-' + std::to_string(node + 1);
}

std::string GatewayFleet::settingsPath(std::size_t node) const
{
    return directory_ + '/' + nameOf(node) + ".json";
}

std::string GatewayFleet::clientAddress(std::size_t node) const
{
    return ports_.address(node + 1, ports_.client_);
}

void GatewayFleet::writeSettings(std::size_t node) const
{
    const bool isFirstStart = nodes_[node].logs_.empty();
    const nlohmann::json limits{{"cpu_share", 0.25},
                                {"cores", 1},
                                {"memory_mb", memoryMb_},
                                {"max_fds", descriptors_},
                                {"bandwidth_mbps", 1000.0},
                                {"disk_mb", 0}};
    const nlohmann::json bounds{{"contact_ms", 3000},
                                {"ack_ms", 4000},
                                {"catch_up_s", 7.5},
                                {"drain_ms", 2000},
                                {"grace_s", 8},
                                {"apply_ms", 2000},
                                {"recover_s", 12}};
    const nlohmann::json platform{{"address", storeAddresses_[node]},
                                  {"form", "log"},
                                  {"writes_per_s", 800},
                                  {"reads_per_s", 2000},
                                  {"parts", 8},
                                  {"append_ms", 4.0},
                                  {"part_mb_s", 20.0},
                                  {"read_mb_s", 80.0},
                                  {"record_bytes", 262144},
                                  {"call_bytes", 2097152},
                                  {"retain_s", 300},
                                  {"part_mb", 200},
                                  {"ttl_min_ms", 1000}};
    const nlohmann::json settings{
        {"node_name", nameOf(node)},
        {"role", "gateway"},
        {"machine_class", "edge"},
        {"serves", {"edge"}},
        {"ip", ports_.host(node + 1)},
        {"zone", zones[node % zones.size()]},
        {"region", "region-1"},
        {"zones", {{"za", "region-1"}, {"zb", "region-1"}, {"zc", "region-1"}}},
        {"listen", {{"frontend", clientAddress(node)}, {"ready", ports_.address(node + 1, ports_.readiness_)}}},
        {"port_range", {ports_.firstPeer_, ports_.firstPeer_ + peerPorts - 1}},
        {"seeds", nlohmann::json::array()},
        {"bootstrap", isFirstStart},
        {"limits", limits},
        {"data_dir", nullptr},
        {"discovery", "platform"},
        {"entry_mode", "vip"},
        {"heartbeat_ms", 1200},
        {"bounds", bounds},
        {"platform", platform}};
    std::ofstream(settingsPath(node)) << settings.dump(1);
}

void GatewayFleet::start(std::size_t node)
{
    kill(node);
    writeSettings(node);
    Node &target = nodes_[node];
    target.logs_.push_back(directory_ + '/' + nameOf(node) + '.' + std::to_string(target.logs_.size()) + ".log");
    const std::map<std::string, std::string> environment{{"FILBERTGW_SETTINGS", settingsPath(node)}};
    target.process_ =
        std::make_unique<Process>(program_, std::vector<std::string>{"gateway"}, target.logs_.back(), environment);
}

void GatewayFleet::signal(std::size_t node, int number)
{
    if (isRunning(node)) {
        nodes_[node].process_->signal(number);
    }
}

void GatewayFleet::kill(std::size_t node)
{
    nodes_[node].process_.reset();
}

bool GatewayFleet::isRunning(std::size_t node)
{
    return nodes_[node].process_ && nodes_[node].process_->isRunning();
}

void GatewayFleet::askText(std::size_t node, const std::string &path, std::function<void(const std::string &text)> done)
{
    HttpCall call;
    call.address_ = ports_.address(node + 1, ports_.readiness_);
    call.request_.method_ = "GET";
    call.request_.target_ = path;
    call.timeout_ = Duration{2'000'000};
    call.mayReuse_ = false;
    call.onDone_ = [done = std::move(done)](const HttpResult &result) { done(result.body_); };
    http_.start(std::move(call));
}

void GatewayFleet::askReadiness(std::size_t node, std::function<void(bool)> done)
{
    HttpCall call;
    call.address_ = ports_.address(node + 1, ports_.readiness_);
    call.request_.method_ = "GET";
    call.request_.target_ = "/-/readiness";
    call.timeout_ = Duration{1'000'000};
    call.mayReuse_ = false;
    call.onDone_ = [done = std::move(done)](const HttpResult &result) {
        done(result.outcome_ == HttpOutcome::Complete && result.status_ == 200);
    };
    http_.start(std::move(call));
}

std::string GatewayFleet::logLines(const std::vector<std::string> &texts) const
{
    std::string lines;
    for (const Node &node : nodes_) {
        for (const std::string &path : node.logs_) {
            std::istringstream log(readFile(path));
            std::string line;
            while (std::getline(log, line)) {
                line += ' ';
                const auto isIn = [&line](const std::string &text) { return line.find(text) != std::string::npos; };
                if (std::any_of(texts.begin(), texts.end(), isIn)) {
                    lines += line + '\n';
                }
            }
        }
    }
    return lines;
}

} // namespace filbertgw::testing
