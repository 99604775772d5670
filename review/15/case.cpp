#include "../standins-3/standins.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>

// A client that the users don't control sends many short turns at once which go on from one long conversation. Every
// request is inside the limits. Counted is how often a process exceeds the memory of its machine and is killed for it.
namespace filbertgw::review {

namespace {

constexpr std::size_t nodes = 3;
constexpr unsigned memoryMb = 120;
constexpr std::size_t turns = 5;
constexpr std::size_t inputBytes = 95'000;
constexpr std::size_t crowd = 300;
constexpr std::size_t ordinary = 10;
constexpr int attacks = 3;
constexpr std::size_t attackedNodes = 2;
constexpr int endsThatBreakTheRule = 3;
constexpr double restartSeconds = 1.0;
constexpr auto workTime = std::chrono::milliseconds(1500);
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

class Case
{
public:
    Case()
        : record_("review/15/record.txt")
        , deployment_(nodes, memoryMb)
    {
    }

    int run();

private:
    void startEngines();
    Answer askTurn(std::size_t node, const std::string &id, const std::string &body);
    bool holdConversation();
    bool sendCrowd(std::size_t node);

    Record record_;
    Deployment deployment_;
    std::vector<std::unique_ptr<Engine>> engines_;
    std::string lastTurn_;
    std::atomic<bool> isWorking_{false};
};

void Case::startEngines()
{
    const std::vector<std::string> zones{"za", "zb", "zc"};
    for (std::size_t i = 0; i < 14; ++i) {
        Engine::Identity identity;
        identity.id_ = "i-" + newId();
        identity.service_ = "models";
        identity.zone_ = zones[i % zones.size()];
        identity.host_ = deployment_.host(20 + i);
        identity.port_ = deployment_.enginePort();
        engines_.push_back(std::make_unique<Engine>(
            deployment_.store(), identity, [this](Connection &connection, const Message &request) {
                if (isWorking_) {
                    std::this_thread::sleep_for(workTime);
                }
                const std::string attempt = request.header("x-filbertgw-attempt-id");
                return connection.write(
                    response(200,
                             {{"X-Filbertgw-Attempt-Id", attempt}, {"X-Filbertgw-Response-Stamp", "stamp." + attempt}},
                             "id: 1\ndata: piece one\n\nid: 2\ndata: piece two\n\n",
                             "text/event-stream"));
            }));
    }
    deployment_.store().put(
        "op",
        "config",
        R"({"version":7,"routes":[{"name":"turns","host":"agents.example","path_prefix":"/turns/","type":"streaming",)"
        R"("timeout_ms":3000,"slo_ms":200,"priority":0,"service":"models","max_attempts":1,"retain":true,)"
        R"("retain_s":60,"session_affinity":true,"resumable":false,"gap_target_ms":250}],)"
        R"("services":[{"name":"models","health_path":"/health","max_conns":180,"protocol":"h1","tls":false,)"
        R"("engine":{"slots":16,"kv_capacity":487206,"tokens_per_event":22,"models":[{"name":"m"}]}}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000}})");
}

Answer Case::askTurn(std::size_t node, const std::string &id, const std::string &body)
{
    Headers headers{{"Host", "agents.example"},
                    {"X-Filbertgw-Attempt-Id", id},
                    {"X-Filbertgw-Model", "m"},
                    {"X-Filbertgw-Time-Left-Ms", "3000"}};
    if (!lastTurn_.empty()) {
        headers.emplace_back("X-Filbertgw-Previous-Turn", lastTurn_);
    }
    return ask(deployment_.host(node + 1), deployment_.clientPort(), "POST", "/turns/4b", headers, body, 3.5);
}

bool Case::holdConversation()
{
    for (std::size_t turn = 0; turn < turns; ++turn) {
        const std::string id = newId();
        const Answer answer = askTurn(nodes - 1, id, std::string(inputBytes, 'x'));
        record_.add("turn " + id + ", " + std::to_string(inputBytes) + " bytes: " + std::to_string(answer.status_));
        if (answer.status_ != 200 || !answer.isWhole_) {
            return false;
        }
        lastTurn_ = id;
    }
    return true;
}

/** \return true if the node was killed for its memory */
bool Case::sendCrowd(std::size_t node)
{
    const std::size_t size = hasTrouble() ? crowd : ordinary;
    record_.add(std::to_string(size) + " turns at once at node " + std::to_string(node + 1));
    std::atomic<std::size_t> served{0};
    std::atomic<std::size_t> open{size};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < size; ++i) {
        clients.emplace_back([this, node, &served, &open] {
            const Answer answer = askTurn(node, newId(), "a question");
            served += answer.status_ == 200 && answer.isWhole_ ? 1 : 0;
            --open;
        });
    }
    bool isKilled = false;
    std::size_t most = 0;
    while (open > 0) {
        if (!isKilled) {
            most = std::max(most, deployment_.residentKilobytes(node));
            isKilled = deployment_.killIfOverMemory(node);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record_.add("served " + std::to_string(served) + "; most memory seen " + std::to_string(most) + " kB of "
                + std::to_string(memoryMb * 1024) + (isKilled ? "; killed for its memory" : ""));
    if (isKilled) {
        sleepUntil(now() + restartSeconds);
        deployment_.startAgain(node);
    }
    return isKilled;
}

int Case::run()
{
    startEngines();
    if (!deployment_.start() || !deployment_.waitUntilReady(20.0)) {
        return exitNotRun;
    }
    sleepUntil(now() + 3.0);
    if (!holdConversation()) {
        return exitNotRun;
    }
    isWorking_ = true;
    std::array<int, attackedNodes> ends{};
    for (int attack = 0; attack < attacks; ++attack) {
        for (std::size_t node = 0; node < attackedNodes; ++node) {
            ends[node] += sendCrowd(node) ? 1 : 0;
            if (!deployment_.waitUntilReady(20.0)) {
                record_.add("a node is not ready again after 20 s");
                return exitNotRun;
            }
        }
    }
    std::array<char, 200> text{};
    std::snprintf(text.data(), text.size(), "killed for memory: node 1 %d times, node 2 %d times", ends[0], ends[1]);
    record_.add(text.data());
    std::cout << text.data() << std::endl;
    const bool isBroken = ends[0] >= endsThatBreakTheRule && ends[1] >= endsThatBreakTheRule;
    return isBroken ? exitBroken : EXIT_SUCCESS;
}

} // namespace

} // namespace filbertgw::review

int main()
{
    return filbertgw::review::Case().run();
}
