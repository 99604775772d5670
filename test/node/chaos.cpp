#include "processfleet.h"

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
struct Observations
{
    std::mutex mutex_;
    std::vector<std::string> violations_;
    std::set<std::string> answeredCalls_; ///< Idempotency keys of non-idempotent calls that were answered.
    std::set<std::string> notRunCalls_; ///< Keys of calls sent once and refused as not run.
    std::map<std::string, std::map<std::string, std::string>>
        responses_; ///< Response bodies by program and request id.

    void violation(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        violations_.push_back(text);
    }
};

/** \brief A fleet with fault injection. A node counts as fault-free until it is killed or paused for the first time. */
class Chaos
{
public:
    Chaos()
    {
        for (std::atomic<bool> &faultFree : faultFree_) {
            faultFree = true;
        }
    }

    void kill(int number)
    {
        faultFree_[std::size_t(number)] = false;
        fleet_.node(number).signal(SIGKILL);
        fleet_.node(number).wait();
        restart(number);
    }

    void pause(int number)
    {
        faultFree_[std::size_t(number)] = false;
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

    bool isFaultFree(int number) const
    {
        return faultFree_[std::size_t(number)];
    }

    ProcessFleet fleet_;
    Observations observations_;
    std::atomic<int> unfinishedPrograms_{programCount};

private:
    void restart(int number)
    {
        fleet_.startNode(number);
        EXPECT_TRUE(waitFor([&] { return fleet_.isReady(number); })) << "node " << number << " does not become ready";
    }

    std::string stateOf(int observer, int number) const
    {
        const Response response =
            sendRequest(fleet_.http(observer), "GET", "/state?section=membership", ProcessFleet::operatorKey);
        if (response.json_.is_object()) {
            for (const nlohmann::json &member : response.json_["members"]) {
                if (member["id"] == fleet_.nodeName(number)) {
                    return member["state"].get<std::string>();
                }
            }
        }
        return "";
    }

    std::array<std::atomic<bool>, nodeCount + 1> faultFree_;
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

    void run(const std::string &textMarker)
    {
        std::string program;
        waitFor([&] {
            const nlohmann::json body{{"budget", {{"tokens", budgetTokens}, {"calls", 50}, {"money_micros", 1000}}},
                                      {"request_id", "create-" + textMarker}};
            const Response response = send("POST", "/v1/programs", body);
            program = response.status_ == 200 ? response.json_["program"].get<std::string>() : "";
            return !program.empty();
        });
        for (int turn = 0; turn < 4; ++turn) {
            const std::string id = textMarker + "-" + std::to_string(turn);
            nlohmann::json model =
                chaos_.fleet_.modelCall("m" + id, textMarker + " turn " + std::to_string(turn) + ".");
            complete(program, model);
            complete(program, order("t" + id, textMarker));
            sendOnce(program, order("o" + id, textMarker));
        }
        check(program, textMarker);
        chaos_.unfinishedPrograms_ -= 1;
    }

private:
    static nlohmann::json order(const std::string &request, const std::string &textMarker)
    {
        return {{"request_id", request}, {"kind", "tool"}, {"target", "salary-order"}, {"input", textMarker}};
    }

    Response send(const std::string &method, const std::string &target, const nlohmann::json &body)
    {
        // Like a load balancer, sends only to nodes that are ready. A node that begins a planned stop is unready at
        // once but accepts connections for at least 300 ms more, so it never cuts a request that was sent to it
        // meanwhile.
        for (int tries = 0; tries < nodeCount && !chaos_.fleet_.isReady(node_); ++tries) {
            node_ = node_ % nodeCount + 1;
        }
        const int node = node_;
        const bool wasFaultFree = chaos_.isFaultFree(node);
        const Response response = sendRequest(chaos_.fleet_.http(node), method, target, ProcessFleet::callerKey, body);
        const bool cut = response.outcome_ == HttpOutcome::Interrupted || response.outcome_ == HttpOutcome::TimedOut;
        if (cut && wasFaultFree && chaos_.isFaultFree(node)) {
            chaos_.observations_.violation("H9: a request was cut by a node that was never killed or paused: "
                                           + target);
        }
        if (response.outcome_ != HttpOutcome::Complete || response.status_ == 503) {
            node_ = node_ % nodeCount + 1;
        }
        return response;
    }

    void complete(const std::string &program, const nlohmann::json &call)
    {
        const std::string request = call["request_id"].get<std::string>();
        Response response;
        const bool ended = waitFor([&] {
            response = send("POST", "/v1/programs/" + program + "/calls", call);
            const bool unknown = response.json_.is_object() && response.json_.contains("error")
                && response.json_["error"]["type"] == "outcome_unknown";
            return response.status_ == 200 || unknown;
        });
        if (!ended) {
            chaos_.observations_.violation(request + " never ended: " + response.text_);
        }
        const std::lock_guard<std::mutex> lock(chaos_.observations_.mutex_);
        if (response.status_ == 200 && call["kind"] == "tool") {
            chaos_.observations_.answeredCalls_.insert(program + "/" + request);
        }
        if (response.status_ == 200) {
            chaos_.observations_.responses_[program][request] = response.text_;
        }
    }

    void sendOnce(const std::string &program, const nlohmann::json &call)
    {
        const Response response = send("POST", "/v1/programs/" + program + "/calls", call);
        const std::string key = program + "/" + call["request_id"].get<std::string>();
        const std::lock_guard<std::mutex> lock(chaos_.observations_.mutex_);
        if (response.status_ == 200) {
            chaos_.observations_.answeredCalls_.insert(key);
        } else if (response.json_.is_object() && response.json_.contains("error")
                   && response.json_["error"]["promise"] == "not_run") {
            chaos_.observations_.notRunCalls_.insert(key);
        }
    }

    void check(const std::string &program, const std::string &textMarker)
    {
        Response history;
        Response status;
        waitFor([&] {
            history = send("GET", "/v1/programs/" + program + "/history", nullptr);
            status = send("GET", "/v1/programs/" + program, nullptr);
            return history.status_ == 200 && status.status_ == 200;
        });
        const std::string text = history.json_.is_object() ? history.json_.value("history", "") : "";
        std::size_t at = 0;
        for (int turn = 0; turn < 4; ++turn) {
            for (const char *kind : {"m", "t"}) {
                const std::string request = " " + (kind + textMarker) + "-" + std::to_string(turn) + "\n";
                const std::size_t found = text.find(request);
                if (found == std::string::npos || found < at || text.find(request, found + 1) != std::string::npos) {
                    chaos_.observations_.violation("H1, H2: turn" + request
                                                   + " is missing, doubled or out of order: " + text);
                    return;
                }
                at = found;
            }
        }
        for (std::size_t position = text.find("program-"); position != std::string::npos;
             position = text.find("program-", position + 1)) {
            if (text.compare(position, textMarker.size(), textMarker) != 0) {
                chaos_.observations_.violation("H2: " + program + " has text of another program");
                return;
            }
        }
        if (status.json_["spent"].value("tokens", std::int64_t(0)) > budgetTokens) {
            chaos_.observations_.violation("H3: " + program + " has spent more than its budget");
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
    for (const std::string &key : chaos.observations_.answeredCalls_) {
        EXPECT_TRUE(executions.contains(key)) << "answered without a run: " << key;
    }
    for (const std::string &key : chaos.observations_.notRunCalls_) {
        EXPECT_FALSE(executions.contains(key)) << "H6: " << key;
    }
}

} // namespace

// Guards against a violation of the promises H1 to H10 as far as callers, tools and engines can observe them while
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
    for (int round = 0; round < rounds || chaos.unfinishedPrograms_ > programCount / 2; ++round) {
        chaos.kill(round % nodeCount + 1);
        chaos.stop((round + 1) % nodeCount + 1);
        chaos.pause((round + 2) % nodeCount + 1);
    }
    for (std::thread &driver : drivers) {
        driver.join();
    }
    EXPECT_TRUE(chaos.observations_.violations_.empty()) << ::testing::PrintToString(chaos.observations_.violations_);
    checkExecutions(chaos, sendRequest(chaos.fleet_.toolAddress(), "GET", "/executions", "").json_["executions"]);
    for (const auto &[program, responses] : chaos.observations_.responses_) {
        for (const auto &[request, bytes] : responses) {
            const std::string target = "/v1/programs/" + program + "/calls/" + request;
            EXPECT_EQ(sendRequest(chaos.fleet_.http(1), "GET", target, ProcessFleet::callerKey).text_, bytes)
                << "H5: " << target;
        }
        const Response ended =
            sendRequest(chaos.fleet_.http(2), "DELETE", "/v1/programs/" + program, ProcessFleet::callerKey);
        EXPECT_EQ(ended.status_, 200) << ended.text_;
    }
    for (int engine = 1; engine <= 2; ++engine) {
        const std::string address = processAddress(ProcessFleet::enginePort + engine);
        EXPECT_TRUE(waitFor([&] { return sendRequest(address, "GET", "/v1/pinned", "").json_["programs"].empty(); }))
            << "H4";
    }
    const std::string weights = chaos.fleet_.directory_ + "/weights.json";
    std::ofstream(weights) << R"({"kind":"weights","name":"default","body":{"latency":2,"wasted_cache":1}})";
    EXPECT_EQ(chaos.fleet_.publish(weights), 0) << "H10";
}

// Guards against a configuration record that isn't applied at every node, and against two conflicting records that are
// both accepted.
TEST(Serve, RecordIsInForceAtEveryNode)
{
    ProcessFleet fleet;
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
            const Response state =
                sendRequest(fleet.http(number), "GET", "/state?section=config", ProcessFleet::operatorKey);
            states.insert(state.text_);
        }
        return states.size() == 1 && states.begin()->find("superseded") != std::string::npos;
    })) << ::testing::PrintToString(states);
}
