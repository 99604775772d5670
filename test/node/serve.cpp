#include "processfleet.h"

#include <gtest/gtest.h>

#include <signal.h>

#include <thread>

using namespace filbertgw;
using namespace filbertgw::testing;

namespace {

/** \brief Concatenated text of a native stream after its last restart event. */
std::string streamedText(const std::string &events)
{
    std::string text;
    std::istringstream lines(events);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind("event: restart", 0) == 0) {
            text.clear();
        }
        const nlohmann::json data =
            line.rfind("data: {", 0) == 0 ? nlohmann::json::parse(line.substr(6), nullptr, false) : nlohmann::json();
        if (data.is_object() && data.contains("text")) {
            text += data["text"].get<std::string>();
        }
    }
    return text;
}

/** \brief The last `answer` object of a native stream. */
nlohmann::json finalAnswer(const std::string &events)
{
    const std::size_t start = events.rfind("data: {\"answer\":");
    if (start == std::string::npos) {
        return nullptr;
    }
    const std::string line = events.substr(start + 6, events.find('\n', start) - start - 6);
    return nlohmann::json::parse(line)["answer"];
}

} // namespace

// Guards against a node that starts in spite of invalid settings.
TEST(Serve, BadSettingsExitWithTwo)
{
    const std::string file = ::testing::TempDir() + "filbertgw-bad-settings-" + std::to_string(getpid());
    Process process("filbertgw", {"serve", "--poll-ms=0", "--listen=nowhere", "--node-name=a", "--log=h:1"}, file);
    EXPECT_EQ(process.wait(), 2);
    const std::string text = readFile(file);
    std::remove(file.c_str());
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 3) << text;
    EXPECT_NE(text.find("--poll-ms"), std::string::npos) << text;
    EXPECT_NE(text.find("--peer-keys"), std::string::npos) << text;
}

// End-to-end test of the path from the caller through node, owner, engine, tool and journal and back.
TEST(Serve, RunsASessionThroughEveryNode)
{
    ProcessFleet fleet;
    fleet.start(3);
    const std::string program = fleet.create(1);
    const Response first = fleet.call(2, program, fleet.modelCall("r1", "First turn."));
    ASSERT_EQ(first.status_, 200) << first.text_;
    const Response again = fleet.call(3, program, fleet.modelCall("r1", "First turn."));
    EXPECT_EQ(again.text_, first.text_) << "a repeated request id must get the same bytes";
    const nlohmann::json tool{
        {"request_id", "r2"}, {"kind", "tool"}, {"target", "salary-order"}, {"input", {{"months", 12}}}};
    EXPECT_EQ(fleet.call(3, program, tool).status_, 200);

    nlohmann::json streamed = fleet.modelCall("r3", "Second turn.");
    streamed["stream"] = true;
    const Response stream = fleet.call(2, program, streamed);
    ASSERT_FALSE(finalAnswer(stream.text_).is_null()) << stream.text_;
    EXPECT_EQ(streamedText(stream.text_), finalAnswer(stream.text_)["body"].get<std::string>());
    EXPECT_EQ(stream.text_.substr(stream.text_.size() - 14), "data: [DONE]\n\n");

    const std::string path = "/v1/programs/" + program;
    const Response history = sendRequest(fleet.http(1), "GET", path + "/history", ProcessFleet::callerKey);
    EXPECT_EQ(history.text_, sendRequest(fleet.http(3), "GET", path + "/history", ProcessFleet::callerKey).text_);
    EXPECT_EQ(sendRequest(fleet.http(1), "GET", path, ProcessFleet::otherKey).status_, 404);
    EXPECT_EQ(sendRequest(fleet.http(1), "GET", path, "office.wrong").status_, 401);
    EXPECT_EQ(sendRequest(fleet.http(1), "GET", "/state", ProcessFleet::callerKey).status_, 403);
    const Response explained =
        sendRequest(fleet.http(1), "GET", "/state?program=" + program, ProcessFleet::operatorKey);
    EXPECT_FALSE(explained.json_["decisions"].empty()) << explained.text_;
    const Response metrics = sendRequest(fleet.http(1), "GET", "/metrics", ProcessFleet::operatorKey);
    EXPECT_NE(metrics.text_.find("filbertgw_call_seconds_count"), std::string::npos);
    EXPECT_EQ(sendRequest(fleet.http(2), "DELETE", path, ProcessFleet::callerKey).status_, 200);
    EXPECT_EQ(fleet.call(1, program, fleet.modelCall("r4", "After the end.")).status_, 410);
}

// Guards against a program that is lost with its owner, and against history that is lost or mixed with that of another
// program.
TEST(Serve, ProgramContinuesAfterItsOwnerIsKilled)
{
    ProcessFleet fleet;
    fleet.start(3);
    const std::string program = fleet.create(1);
    const std::string otherProgram = fleet.create(2);
    ASSERT_EQ(fleet.call(1, program, fleet.modelCall("r1", "First turn.")).status_, 200);
    ASSERT_EQ(fleet.call(2, otherProgram, fleet.modelCall("b1", "Another program.")).status_, 200);
    const std::string path = "/v1/programs/" + program + "/history";
    const Response before = sendRequest(fleet.http(2), "GET", path, ProcessFleet::callerKey);
    fleet.node(1).signal(SIGKILL);
    Response next;
    EXPECT_TRUE(waitFor([&] {
        next = fleet.call(2, program, fleet.modelCall("r2", "Second turn."));
        return next.status_ == 200;
    })) << next.text_;
    const Response after = sendRequest(fleet.http(3), "GET", path, ProcessFleet::callerKey);
    const std::string fullHistory = after.json_["history"].get<std::string>();
    EXPECT_EQ(fullHistory.find(before.json_["history"].get<std::string>()), 0U) << fullHistory;
    EXPECT_EQ(fullHistory.find("Another program."), std::string::npos);
    EXPECT_EQ(fleet.call(3, program, fleet.modelCall("r2", "Second turn.")).text_, next.text_);
}

// Guards against a planned stop that interrupts a stream or loses a program.
TEST(Serve, PlannedStopCutsNoStream)
{
    ProcessFleet fleet;
    fleet.engineFlags_ = {"--token-ms", "20"};
    fleet.start(3);
    const std::string program = fleet.create(1);
    nlohmann::json body = fleet.modelCall("r1", "A long answer, please.");
    body["stream"] = true;
    Response ownerResponse;
    std::thread caller([&] { ownerResponse = fleet.call(1, program, body); });
    const std::string running = "/state?section=node";
    EXPECT_TRUE(waitFor([&] {
        const Response state = sendRequest(fleet.http(1), "GET", running, ProcessFleet::operatorKey);
        return state.json_.is_object() && state.json_["running_calls"] == 1;
    }));
    fleet.node(1).signal(SIGTERM);
    caller.join();
    EXPECT_EQ(ownerResponse.outcome_, HttpOutcome::Complete);
    ASSERT_FALSE(finalAnswer(ownerResponse.text_).is_null()) << ownerResponse.text_;
    EXPECT_EQ(streamedText(ownerResponse.text_), finalAnswer(ownerResponse.text_)["body"].get<std::string>());
    EXPECT_EQ(fleet.node(1).wait(), 0) << readFile(fleet.node(1).errorFile());
    const Response next = fleet.call(2, program, fleet.modelCall("r2", "Second turn."));
    EXPECT_EQ(next.status_, 200) << next.text_;
}
