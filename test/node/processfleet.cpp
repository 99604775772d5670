#include "processfleet.h"

#include "config/accountkeys.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace filbertgw::testing {
namespace {

constexpr int logPort = 7000;
constexpr int toolPort = 7200;
constexpr int httpPort = 8000; // Node n listens at the base port plus n.
constexpr int peerPort = 8100;
constexpr int udpPort = 8200;
constexpr int engines = 2;

nlohmann::json record(const std::string &kind, const std::string &name, const nlohmann::json &body)
{
    return {{"kind", kind}, {"name", name}, {"schema", 2}, {"body", body}};
}

nlohmann::json account(const std::string &name, const std::string &key)
{
    return record("account", name, {{"keys", {saltedKeyHash("0123456789abcdef", key)}}});
}

} // namespace

ProcessFleet::ProcessFleet()
{
    const ::testing::TestInfo *info = ::testing::UnitTest::GetInstance()->current_test_info();
    const std::string name = std::string(info->name()) + "-" + std::to_string(getpid());
    directory_ = ::testing::TempDir() + "filbertgw-" + name;
    std::filesystem::create_directories(directory_);
}

ProcessFleet::~ProcessFleet()
{
    processes_.clear();
    if (!::testing::Test::HasFailure()) {
        std::filesystem::remove_all(directory_);
    }
}

void ProcessFleet::startStandin(const std::string &name,
                                const std::string &kind,
                                int port,
                                const std::vector<std::string> &flags)
{
    const std::string address = processAddress(port);
    const std::string host = address.substr(0, address.find(':'));
    std::vector<std::string> arguments{kind, "--host", host, "--port", std::to_string(port)};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    processes_[name] = std::make_unique<Process>("filbertgw-standin", arguments, directory_ + "/" + name + ".err");
}

std::string ProcessFleet::nodeName(int number) const
{
    return "n" + std::to_string(number);
}

int ProcessFleet::numberOf(const std::string &name) const
{
    return std::stoi(name.substr(1));
}

std::string ProcessFleet::http(int number) const
{
    return processAddress(httpPort + number);
}

std::vector<std::string> ProcessFleet::nodeArguments(int number) const
{
    std::string members;
    for (int other = 1; other <= nodes_; ++other) {
        members += (members.empty() ? "" : ",") + nodeName(other) + "/d" + std::to_string(other) + "/"
            + processAddress(udpPort + other) + "/" + processAddress(peerPort + other) + "/" + http(other);
    }
    return {"serve",
            "--node-name=" + nodeName(number),
            "--domain=d" + std::to_string(number),
            "--listen=" + http(number),
            "--peer-listen=" + processAddress(peerPort + number),
            "--udp-listen=" + processAddress(udpPort + number),
            "--log=" + processAddress(logPort),
            "--members=" + members,
            "--peer-keys=" + std::string(peerKey),
            "--operator-keys=" + std::string(operatorKey),
            "--poll-ms=200"};
}

void ProcessFleet::startNode(int number)
{
    const std::string name = nodeName(number);
    processes_[name] = std::make_unique<Process>("filbertgw", nodeArguments(number), directory_ + "/" + name + ".err");
}

bool ProcessFleet::isReady(int number) const
{
    constexpr Duration timeout = std::chrono::seconds(1); // A paused node accepts connections but never responds.
    return sendRequest(http(number), "GET", "/readyz", "", nullptr, {}, timeout).status_ == 200;
}

std::string ProcessFleet::writeRecords() const
{
    nlohmann::json records = nlohmann::json::array();
    for (int engine = 1; engine <= engines; ++engine) {
        records.push_back(record("endpoint",
                                 "engine-" + std::to_string(engine),
                                 {{"kind", "model"},
                                  {"domain", "d1"},
                                  {"address", processAddress(enginePort + engine)},
                                  {"models", {"m"}}}));
    }
    const nlohmann::json operations{{"look-up", {{"idempotent", true}}}, {"salary-order", {{"idempotent", false}}}};
    records.push_back(record(
        "endpoint",
        "finance",
        {{"kind", "tool"}, {"domain", "d1"}, {"address", processAddress(toolPort)}, {"operations", operations}}));
    records.push_back(record("model", "m", {{"default_max_tokens", 64}}));
    records.push_back(account("office", callerKey));
    records.push_back(account("other", otherKey));
    const std::string path = directory_ + "/records.json";
    std::ofstream(path) << records.dump(1);
    return path;
}

void ProcessFleet::start(int nodes)
{
    nodes_ = nodes;
    startStandin("log", "log", logPort, {});
    for (int engine = 1; engine <= engines; ++engine) {
        std::vector<std::string> flags = engineFlags_;
        flags.insert(flags.end(), {"--model", "m"});
        startStandin("engine-" + std::to_string(engine), "engine", enginePort + engine, flags);
    }
    startStandin("finance", "tool", toolPort, {});
    const std::string reads = "/streams/config/entries?from=1&max=1&wait_ms=0";
    ASSERT_TRUE(waitFor([&] { return sendRequest(processAddress(logPort), "GET", reads, "").status_ == 200; }));
    for (int number = 1; number <= nodes; ++number) {
        startNode(number);
    }
    ASSERT_EQ(publish(writeRecords()), 0) << readFile(directory_ + "/publish.err");
    for (int number = 1; number <= nodes; ++number) {
        ASSERT_TRUE(waitFor([&] { return isReady(number); })) << readFile(directory_ + "/" + nodeName(number) + ".err");
    }
}

std::string ProcessFleet::toolAddress() const
{
    return processAddress(toolPort);
}

int ProcessFleet::publish(const std::string &path) const
{
    std::string nodes;
    for (int number = 1; number <= nodes_; ++number) {
        nodes += (nodes.empty() ? "" : ",") + http(number);
    }
    const std::vector<std::string> arguments{"publish",
                                             path,
                                             "--log=" + processAddress(logPort),
                                             "--wait",
                                             "--wait-ms=60000",
                                             "--nodes=" + nodes,
                                             "--operator-keys=" + std::string(operatorKey)};
    Process process("filbertgw", arguments, directory_ + "/publish.err");
    return process.wait();
}

Process &ProcessFleet::node(int number)
{
    return *processes_.at(nodeName(number));
}

Process &ProcessFleet::standin(const std::string &name)
{
    return *processes_.at(name);
}

std::string ProcessFleet::create(int number) const
{
    const Response response = sendRequest(http(number), "POST", "/v1/programs", callerKey, nlohmann::json::object());
    EXPECT_EQ(response.status_, 200) << response.text_;
    return response.status_ == 200 ? response.json_["program"].get<std::string>() : "";
}

Response ProcessFleet::call(int number, const std::string &program, const nlohmann::json &body) const
{
    return sendRequest(http(number), "POST", "/v1/programs/" + program + "/calls", callerKey, body);
}

nlohmann::json ProcessFleet::modelCall(const std::string &request, const std::string &input) const
{
    return {{"request_id", request}, {"kind", "model"}, {"target", "m"}, {"input", input}};
}

} // namespace filbertgw::testing
