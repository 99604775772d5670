#include "realfleet.h"

#include <gtest/gtest.h>

#include <signal.h>

#include <array>
#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>

using namespace filbertgw;
using namespace filbertgw::testing;

namespace {

constexpr int nodeCount = 3;
constexpr int programCount = 50;
constexpr int driverCount = 10;
constexpr int rounds = 2;
constexpr std::int64_t budgetTokens = 100'000;

/** \brief Observations of the callers; shared between their threads. */
struct Seen
{
    std::mutex mutex_;
    std::vector<std::string> violations_;
    std::set<std::string> answered_; ///< Idempotency keys of non-idempotent calls that were answered.
    std::set<std::string> notRun_; ///< Keys of calls sent once and refused as not run.
    std::map<std::string, std::map<std::string, std::string>> answers_; ///< Bytes by program and request.

    void violation(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        violations_.push_back(text);
    }
};

/** \brief A fleet with fault injection. A run of a node process is clean until it is killed or paused. */
class Chaos
{
public:
    Chaos()
    {
        for (std::atomic<bool> &clean : clean_) {
            clean = true;
        }
    }

    void kill(int number)
    {
        clean_[std::size_t(number)] = false;
        fleet_.node(number).signal(SIGKILL);
        fleet_.node(number).wait();
        restart(number);
    }

    void pause(int number)
    {
        clean_[std::size_t(number)] = false;
        const int other = number % nodeCount + 1;
        // The observer may have just started and not know every member yet.
        EXPECT_TRUE(waitFor([&] { return stateOf(other, number) == "alive"; })) << "the node is not known";
        fleet_.node(number).signal(SIGSTOP);
        EXPECT_TRUE(waitFor([&] { return stateOf(other, number) == "dead"; })) << "the pause was not noticed";
        fleet_.node(number).signal(SIGCONT);
        EXPECT_TRUE(waitFor([&] { return stateOf(other, number) == "alive"; })) << "the node did not come back";
    }

    void stop(int number)
    {
        fleet_.node(number).signal(SIGTERM);
        EXPECT_EQ(fleet_.node(number).wait(), 0) << readFile(fleet_.node(number).errorFile());
        restart(number);
    }

    bool isClean(int number) const
    {
        return clean_[std::size_t(number)];
    }

    RealFleet fleet_;
    Seen seen_;
    std::atomic<int> open_{programCount}; ///< Programs that are not finished.

private:
    void restart(int number)
    {
        fleet_.startNode(number);
        EXPECT_TRUE(waitFor([&] { return fleet_.isReady(number); })) << "node " << number << " does not become ready";
    }

    std::string stateOf(int observer, int number) const
    {
        const Answer answer = ask(fleet_.http(observer), "GET", "/state?section=membership", RealFleet::operatorKey);
        if (answer.json_.is_object()) {
            for (const nlohmann::json &member : answer.json_["members"]) {
                if (member["id"] == fleet_.nodeName(number)) {
                    return member["state"].get<std::string>();
                }
            }
        }
        return "";
    }

    std::array<std::atomic<bool>, nodeCount + 1> clean_;
};

/** \brief A client that runs programs turn by turn and retries each turn with the same request id until it ends. */
class Caller
{
public:
    Caller(Chaos &chaos, int number)
        : chaos_(chaos)
        , node_(number % nodeCount + 1)
    {
    }

    void run(const std::string &marker)
    {
        std::string program;
        waitFor([&] {
            const nlohmann::json body{{"budget", {{"tokens", budgetTokens}, {"calls", 50}, {"money_micros", 1000}}},
                                      {"request_id", "create-" + marker}};
            const Answer answer = send("POST", "/v1/programs", body);
            program = answer.status_ == 200 ? answer.json_["program"].get<std::string>() : "";
            return !program.empty();
        });
        for (int turn = 0; turn < 4; ++turn) {
            const std::string id = marker + "-" + std::to_string(turn);
            nlohmann::json model = chaos_.fleet_.modelCall("m" + id, marker + " turn " + std::to_string(turn) + ".");
            complete(program, model);
            complete(program, order("t" + id, marker));
            sendOnce(program, order("o" + id, marker));
        }
        check(program, marker);
        chaos_.open_ -= 1;
    }

private:
    static nlohmann::json order(const std::string &request, const std::string &marker)
    {
        return {{"request_id", request}, {"kind", "tool"}, {"target", "salary-order"}, {"input", marker}};
    }

    Answer send(const std::string &method, const std::string &target, const nlohmann::json &body)
    {
        // Like a load balancer, sends only to nodes that are ready. A node that begins a planned stop is unready at
        // once but accepts connections for at least 300 ms more, so it never cuts a request that was sent to it
        // meanwhile.
        for (int tries = 0; tries < nodeCount && !chaos_.fleet_.isReady(node_); ++tries) {
            node_ = node_ % nodeCount + 1;
        }
        const int node = node_;
        const bool wasClean = chaos_.isClean(node);
        const Answer answer = ask(chaos_.fleet_.http(node), method, target, RealFleet::callerKey, body);
        const bool cut = answer.outcome_ == HttpOutcome::Interrupted || answer.outcome_ == HttpOutcome::TimedOut;
        if (cut && wasClean && chaos_.isClean(node)) {
            chaos_.seen_.violation("H9: a request was cut by a node that was never killed or paused: " + target);
        }
        if (answer.outcome_ != HttpOutcome::Complete || answer.status_ == 503) {
            node_ = node_ % nodeCount + 1;
        }
        return answer;
    }

    void complete(const std::string &program, const nlohmann::json &call)
    {
        const std::string request = call["request_id"].get<std::string>();
        Answer answer;
        const bool ended = waitFor([&] {
            answer = send("POST", "/v1/programs/" + program + "/calls", call);
            const bool unknown = answer.json_.is_object() && answer.json_.contains("error")
                && answer.json_["error"]["type"] == "outcome_unknown";
            return answer.status_ == 200 || unknown;
        });
        if (!ended) {
            chaos_.seen_.violation(request + " never ended: " + answer.text_);
        }
        const std::lock_guard<std::mutex> lock(chaos_.seen_.mutex_);
        if (answer.status_ == 200 && call["kind"] == "tool") {
            chaos_.seen_.answered_.insert(program + "/" + request);
        }
        if (answer.status_ == 200) {
            chaos_.seen_.answers_[program][request] = answer.text_;
        }
    }

    void sendOnce(const std::string &program, const nlohmann::json &call)
    {
        const Answer answer = send("POST", "/v1/programs/" + program + "/calls", call);
        const std::string key = program + "/" + call["request_id"].get<std::string>();
        const std::lock_guard<std::mutex> lock(chaos_.seen_.mutex_);
        if (answer.status_ == 200) {
            chaos_.seen_.answered_.insert(key);
        } else if (answer.json_.is_object() && answer.json_.contains("error")
                   && answer.json_["error"]["promise"] == "not_run") {
            chaos_.seen_.notRun_.insert(key);
        }
    }

    void check(const std::string &program, const std::string &marker)
    {
        Answer history;
        Answer status;
        waitFor([&] {
            history = send("GET", "/v1/programs/" + program + "/history", nullptr);
            status = send("GET", "/v1/programs/" + program, nullptr);
            return history.status_ == 200 && status.status_ == 200;
        });
        const std::string text = history.json_.is_object() ? history.json_.value("history", "") : "";
        std::size_t at = 0;
        for (int turn = 0; turn < 4; ++turn) {
            for (const char *kind : {"m", "t"}) {
                const std::string request = " " + (kind + marker) + "-" + std::to_string(turn) + "\n";
                const std::size_t found = text.find(request);
                if (found == std::string::npos || found < at || text.find(request, found + 1) != std::string::npos) {
                    chaos_.seen_.violation("H1, H2: turn" + request + " is missing, doubled or out of order: " + text);
                    return;
                }
                at = found;
            }
        }
        for (std::size_t mark = text.find("program-"); mark != std::string::npos;
             mark = text.find("program-", mark + 1)) {
            if (text.compare(mark, marker.size(), marker) != 0) {
                chaos_.seen_.violation("H2: " + program + " has text of another program");
                return;
            }
        }
        if (status.json_["spent"].value("tokens", std::int64_t(0)) > budgetTokens) {
            chaos_.seen_.violation("H3: " + program + " has spent more than its budget");
        }
    }

    Chaos &chaos_;
    int node_;
};

void checkExecutions(const Chaos &chaos, const nlohmann::json &executions)
{
    for (const auto &[key, count] : executions.items()) {
        EXPECT_EQ(count.get<int>(), 1) << "H7: " << key;
    }
    for (const std::string &key : chaos.seen_.answered_) {
        EXPECT_TRUE(executions.contains(key)) << "answered without a run: " << key;
    }
    for (const std::string &key : chaos.seen_.notRun_) {
        EXPECT_FALSE(executions.contains(key)) << "H6: " << key;
    }
}

} // namespace

// Guards against a violation of the promises H1 to H10, as far as callers, tools and engines can observe them, while
// nodes are killed, paused and stopped.
TEST(Serve, PromisesHoldWhileNodesAreKilledPausedAndStopped)
{
    Chaos chaos;
    chaos.fleet_.engineFlags_ = {"--token-ms", "2"};
    chaos.fleet_.start(nodeCount);
    std::vector<std::thread> drivers;
    for (int driver = 0; driver < driverCount; ++driver) {
        drivers.emplace_back([&chaos, driver] {
            for (int number = driver; number < programCount; number += driverCount) {
                Caller(chaos, number)
                    .run("program-" + std::string(1, char('a' + number % 26)) + std::to_string(number) + ".");
            }
        });
    }
    for (int round = 0; round < rounds || chaos.open_ > programCount / 2; ++round) {
        chaos.kill(round % nodeCount + 1);
        chaos.stop((round + 1) % nodeCount + 1);
        chaos.pause((round + 2) % nodeCount + 1);
    }
    for (std::thread &driver : drivers) {
        driver.join();
    }
    EXPECT_TRUE(chaos.seen_.violations_.empty()) << ::testing::PrintToString(chaos.seen_.violations_);
    checkExecutions(chaos, ask(chaos.fleet_.toolAddress(), "GET", "/executions", "").json_["executions"]);
    for (const auto &[program, answers] : chaos.seen_.answers_) {
        for (const auto &[request, bytes] : answers) {
            const std::string target = "/v1/programs/" + program + "/calls/" + request;
            EXPECT_EQ(ask(chaos.fleet_.http(1), "GET", target, RealFleet::callerKey).text_, bytes) << "H5: " << target;
        }
        const Answer ended = ask(chaos.fleet_.http(2), "DELETE", "/v1/programs/" + program, RealFleet::callerKey);
        EXPECT_EQ(ended.status_, 200) << ended.text_;
    }
    for (int engine = 1; engine <= 2; ++engine) {
        const std::string address = ownAddress(RealFleet::enginePort + engine);
        EXPECT_TRUE(waitFor([&] { return ask(address, "GET", "/v1/pinned", "").json_["programs"].empty(); })) << "H4";
    }
    const std::string weights = chaos.fleet_.directory_ + "/weights.json";
    std::ofstream(weights) << R"({"kind":"weights","name":"default","body":{"latency":2,"wasted_cache":1}})";
    EXPECT_EQ(chaos.fleet_.publish(weights), 0) << "H10";
}

// Guards against a configuration record that isn't applied at every node, and against two conflicting records that are
// both accepted.
TEST(Serve, RecordIsInForceAtEveryNode)
{
    RealFleet fleet;
    fleet.start(nodeCount);
    const std::string first = fleet.directory_ + "/first.json";
    const std::string second = fleet.directory_ + "/second.json";
    std::ofstream(first) << R"({"kind":"weights","name":"default","replaces":0,"body":{"latency":2,"wasted_cache":1}})";
    std::ofstream(second)
        << R"({"kind":"weights","name":"default","replaces":0,"body":{"latency":9,"wasted_cache":1}})";
    EXPECT_EQ(fleet.publish(first), 0);
    EXPECT_EQ(fleet.publish(second), 1) << "a superseded record must not be reported as accepted";
    std::set<std::string> states;
    EXPECT_TRUE(waitFor([&] {
        states.clear();
        for (int number = 1; number <= nodeCount; ++number) {
            const Answer state = ask(fleet.http(number), "GET", "/state?section=config", RealFleet::operatorKey);
            states.insert(state.text_);
        }
        return states.size() == 1 && states.begin()->find("superseded") != std::string::npos;
    })) << ::testing::PrintToString(states);
}
