#include "engine.h"
#include "log.h"
#include "net/httpclient.h"
#include "net/logclient.h"
#include "net/ordersignature.h"
#include "tool.h"
#include "vms.h"

#include <gtest/gtest.h>

#include <optional>

using namespace filbertgw;
using namespace filbertgw::standin;
using Json = nlohmann::json;

namespace {

/** \brief Asks a stand-in that runs on the same loop. */
class StandinFixture : public ::testing::Test
{
public:
    void runUntil(const std::function<bool()> &done)
    {
        // Ends a hung test; nothing else depends on the limit.
        const std::uint64_t limit = loop_.after(std::chrono::seconds(60), [] { FAIL() << "no answer"; });
        const std::uint64_t check = loop_.every(std::chrono::milliseconds(1), [this, &done] {
            if (done() || HasFailure()) {
                loop_.stop();
            }
        });
        loop_.run();
        loop_.cancel(limit);
        loop_.cancel(check);
    }

    HttpCall call(const HttpServer &server, const std::string &method, const std::string &target, const Json &body)
    {
        HttpCall result;
        result.address_ = "127.0.0.1:" + std::to_string(server.port());
        result.request_ = HttpRequest{method, target, {}, body.is_null() ? std::string() : body.dump()};
        return result;
    }

    HttpResult finish(HttpCall next)
    {
        std::optional<HttpResult> result;
        next.onDone_ = [&result](const HttpResult &done) { result = done; };
        client_.start(std::move(next));
        runUntil([&result] { return result.has_value(); });
        return result.value_or(HttpResult{});
    }

    HttpResult ask(const HttpServer &server, const std::string &method, const std::string &target, const Json &body)
    {
        return finish(call(server, method, target, body));
    }

    Json json(const HttpServer &server, const std::string &method, const std::string &target, const Json &body = {})
    {
        return Json::parse(ask(server, method, target, body).body_, nullptr, false);
    }

    HttpCall chat(const Engine &engine, const std::string &program, const Json &messages)
    {
        HttpCall result = call(engine.server(), "POST", "/v1/chat/completions", {{"messages", messages}});
        result.request_.headers_["x-program"] = program;
        result.request_.headers_["x-request-id"] = "r-" + program;
        return result;
    }

    IoLoop loop_;
    HttpClient client_{loop_};
};

const Json firstTurn = Json::array({{{"role", "user"}, {"content", "Count the crates of lot 7."}}});

std::string contentOf(const HttpResult &result)
{
    const Json answer = Json::parse(result.body_, nullptr, false);
    return answer.is_object() && answer.contains("choices")
        ? answer["choices"][0]["message"]["content"].get<std::string>()
        : std::string();
}

Json usageOf(const HttpResult &result)
{
    const Json answer = Json::parse(result.body_, nullptr, false);
    return answer.is_object() ? answer.value("usage", Json()) : Json();
}

} // namespace

// Guards against an engine whose answer doesn't show which history it was given, and against a cache that doesn't
// hold a program's previous turn.
TEST_F(StandinFixture, EngineAnswersFromTheWholeHistoryAndCachesIt)
{
    EngineOptions options;
    options.answerTokens_ = 8;
    const Engine engine(loop_, options);
    const HttpResult first = finish(chat(engine, "p", firstTurn));
    const std::string prompt = "Count the crates of lot 7.";
    EXPECT_EQ(contentOf(first), answerText(prompt, 8));
    EXPECT_EQ(usageOf(first), (Json{{"prompt_tokens", 7}, {"cached_tokens", 0}, {"completion_tokens", 8}}));
    Json messages = firstTurn;
    messages.push_back({{"role", "assistant"}, {"content", contentOf(first)}});
    messages.push_back({{"role", "user"}, {"content", "And now?"}});
    const HttpResult second = finish(chat(engine, "p", messages));
    EXPECT_EQ(contentOf(second), answerText(*promptText(messages), 8));
    const std::uint64_t history = (prompt + contentOf(first)).size() / 4;
    EXPECT_EQ(usageOf(second)["cached_tokens"], history);
    const HttpResult other = finish(chat(engine, "q", messages));
    EXPECT_EQ(usageOf(other)["cached_tokens"], 0);
    EXPECT_EQ(contentOf(other), contentOf(second));
}

// Guards against a stream that lacks tokens, the usage or its end.
TEST_F(StandinFixture, EngineStreamsTokensUsageAndEnd)
{
    EngineOptions options;
    options.answerTokens_ = 5;
    const Engine engine(loop_, options);
    HttpCall next = chat(engine, "p", firstTurn);
    next.request_.body_ = Json{{"messages", firstTurn}, {"stream", true}, {"max_tokens", 3}}.dump();
    const HttpResult result = finish(next);
    std::vector<Json> events;
    std::string text;
    std::size_t position = 0;
    while ((position = result.body_.find("data: {", position)) != std::string::npos) {
        const std::size_t end = result.body_.find("\n\n", position);
        events.push_back(Json::parse(result.body_.substr(position + 6, end - position - 6), nullptr, false));
        text += events.back()["choices"][0]["delta"].value("content", "");
        position = end;
    }
    ASSERT_EQ(events.size(), 4U);
    EXPECT_EQ(text, answerText(*promptText(firstTurn), 3));
    EXPECT_EQ(events[3]["usage"]["completion_tokens"], 3);
    EXPECT_EQ(result.body_.substr(result.body_.size() - 16), "\n\ndata: [DONE]\n\n");
}

struct OrderCase
{
    const char *name_;
    const char *signingKey_; ///< Empty for no signature.
    std::string signedBody_; ///< Empty for the body that is sent.
    Duration clockError_;
    int status_;
};

class SignedOrder : public StandinFixture, public ::testing::WithParamInterface<OrderCase>
{
};

// Guards against orders that are obeyed without a proof, or refused while a key is rotated.
TEST_P(SignedOrder, IsCheckedByTheEngine)
{
    EngineOptions options;
    options.orderKeys_ = {"new", "old"};
    const Engine engine(loop_, options);
    const Json body{{"action", "pin"}, {"program", "p"}, {"fencing", 3}};
    HttpCall order = call(engine.server(), "POST", "/v1/control", body);
    const std::string signedBody = GetParam().signedBody_.empty() ? body.dump() : GetParam().signedBody_;
    if (*GetParam().signingKey_ != '\0') {
        order.request_.headers_[orderSignatureHeader] =
            signOrder(GetParam().signingKey_, loop_.now() + GetParam().clockError_, "/v1/control", signedBody);
    }
    EXPECT_EQ(finish(order).status_, GetParam().status_);
    EXPECT_EQ(json(engine.server(), "GET", "/v1/pinned")["programs"].size(), GetParam().status_ == 200 ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         SignedOrder,
                         ::testing::Values(OrderCase{"NewKey", "new", "", Duration{0}, 200},
                                           OrderCase{"OldKey", "old", "", Duration{0}, 200},
                                           OrderCase{"ClockTenSecondsOff", "new", "", Duration{10'000'000}, 200},
                                           OrderCase{"NoSignature", "", "", Duration{0}, 401},
                                           OrderCase{"UnknownKey", "other", "", Duration{0}, 401},
                                           OrderCase{"AnotherBody", "new", "{}", Duration{0}, 401},
                                           OrderCase{"TooOld", "new", "", Duration{-40'000'000}, 401},
                                           OrderCase{"FromTheFuture", "new", "", Duration{40'000'000}, 401}),
                         [](const ::testing::TestParamInfo<OrderCase> &info) { return std::string(info.param.name_); });

// Guards against orders of a former owner that take effect.
TEST_F(StandinFixture, EngineRefusesOldFencingTokens)
{
    EngineOptions options;
    options.rejectsOldFencing_ = true;
    const Engine engine(loop_, options);
    const auto status = [this, &engine](const char *action, int fencing) {
        return ask(engine.server(), "POST", "/v1/control", {{"action", action}, {"program", "p"}, {"fencing", fencing}})
            .status_;
    };
    EXPECT_EQ(status("pin", 5), 200);
    EXPECT_EQ(status("release", 4), 409);
    EXPECT_EQ(json(engine.server(), "GET", "/v1/pinned")["programs"].size(), 1U);
    HttpCall late = chat(engine, "p", firstTurn);
    late.request_.headers_["x-fencing"] = "4";
    EXPECT_EQ(finish(late).status_, 409);
    EXPECT_EQ(status("release", 6), 200);
    EXPECT_EQ(status("release", 6), 200);
    EXPECT_EQ(json(engine.server(), "GET", "/v1/pinned")["programs"].size(), 0U);
}

// Guards against cache orders and events that contradict the cache.
TEST_F(StandinFixture, EngineExportsImportsAndReportsEvents)
{
    EngineOptions options;
    options.answerTokens_ = 4;
    const Engine engine(loop_, options);
    const auto order = [this, &engine](const char *action) {
        return ask(engine.server(), "POST", "/v1/control", {{"action", action}, {"program", "p"}}).status_;
    };
    finish(chat(engine, "p", firstTurn));
    EXPECT_EQ(order("export"), 200);
    EXPECT_EQ(usageOf(finish(chat(engine, "other", firstTurn)))["cached_tokens"], 0);
    EXPECT_EQ(json(engine.server(), "GET", "/v1/load")["live_programs"], 1);
    EXPECT_EQ(order("import"), 200);
    EXPECT_EQ(usageOf(finish(chat(engine, "p", firstTurn)))["cached_tokens"], 6);
    EXPECT_EQ(order("release"), 200);
    EXPECT_EQ(json(engine.server(), "GET", "/v1/load")["live_programs"], 1);
    std::vector<std::string> events;
    const Json shown = json(engine.server(), "GET", "/v1/cache_events?from=1");
    for (const Json &event : shown["events"]) {
        events.push_back(event["kind"].get<std::string>() + " " + event["program"].get<std::string>());
    }
    EXPECT_EQ(events,
              (std::vector<std::string>{"stored p", "evicted p", "stored other", "stored p", "stored p", "evicted p"}));
    EXPECT_EQ(json(engine.server(), "GET", "/v1/cache_events?from=6")["events"].size(), 1U);
}

// Guards against a cancelled or crashed request that goes on, and a queue that ignores priorities.
TEST_F(StandinFixture, EngineQueuesByPriorityCancelsAndCrashes)
{
    EngineOptions options;
    options.streams_ = 1;
    options.answerTokens_ = 1'000'000'000;
    options.tokenDelay_ = Duration{1000};
    options.crashText_ = "poison";
    bool crashed = false;
    options.crash_ = [&crashed] { crashed = true; };
    const Engine engine(loop_, options);
    std::vector<std::string> ended;
    for (const auto &[program, priority] :
         std::vector<std::pair<std::string, std::string>>{{"running", "0"}, {"low", "1"}, {"high", "2"}}) {
        HttpCall next = chat(engine, program, firstTurn);
        next.request_.headers_["x-priority"] = priority;
        next.onDone_ = [&ended, program = program](const HttpResult &) { ended.push_back(program); };
        client_.start(std::move(next));
    }
    const auto isQueued = [this, &engine](int running, int queued) {
        const Json load = json(engine.server(), "GET", "/v1/load");
        return load["running"] == running && load["waiting"] == queued;
    };
    while (!isQueued(1, 2)) { }
    for (const char *program : {"running", "high", "low"}) {
        const std::string id = std::string("r-") + program;
        EXPECT_EQ(json(engine.server(), "POST", "/v1/cancel", {{"request_id", id}})["cancelled"], 1);
    }
    runUntil([&ended] { return ended.size() == 3; });
    EXPECT_TRUE(isQueued(0, 0));
    client_.start(chat(engine, "p", Json::array({{{"role", "user"}, {"content", "some poison"}}})));
    runUntil([&crashed] { return crashed; });
}

// Guards against an engine that confirms to run a request alone while it runs others, or that lets others in beside it.
TEST_F(StandinFixture, EngineRunsASuspectAloneAndSaysSo)
{
    EngineOptions options;
    options.streams_ = 4;
    options.answerTokens_ = 1'000'000'000;
    options.tokenDelay_ = Duration{1000};
    const Engine engine(loop_, options);
    std::string said;
    std::size_t ended = 0;
    for (const char *program : {"before", "suspect", "after"}) {
        HttpCall next = chat(engine, program, firstTurn);
        const bool isSuspect = program == std::string("suspect");
        if (isSuspect) {
            Json body = Json::parse(next.request_.body_);
            body["stream"] = true;
            next.request_.body_ = body.dump();
            next.request_.headers_["x-alone"] = "1";
            next.onPart_ = [&said](int /*status*/, const std::string &part) { said += part; };
        }
        next.onDone_ = [&ended](const HttpResult &) { ++ended; };
        client_.start(std::move(next));
        const Json expected = isSuspect ? Json{1, 1} : program == std::string("after") ? Json{1, 2} : Json{1, 0};
        for (Json load; Json{load["running"], load["waiting"]} != expected;) {
            load = json(engine.server(), "GET", "/v1/load");
        }
    }
    EXPECT_EQ(said, "");
    const auto cancel = [this, &engine](const std::string &program) {
        return json(engine.server(), "POST", "/v1/cancel", {{"request_id", "r-" + program}})["cancelled"];
    };
    EXPECT_EQ(cancel("before"), 1);
    runUntil([&said] { return said.find("data:") != std::string::npos; });
    EXPECT_EQ(said.rfind(": alone\n\n", 0), 0U);
    EXPECT_EQ(json(engine.server(), "GET", "/v1/load")["running"], 1);
    EXPECT_EQ(cancel("suspect"), 1);
    EXPECT_EQ(cancel("after"), 1);
    runUntil([&ended] { return ended == 3; });
}

struct ToolCase
{
    const char *name_;
    Json control_;
    HttpOutcome outcome_;
    int status_;
    int executions_;
};

class ToolFaults : public StandinFixture, public ::testing::WithParamInterface<ToolCase>
{
};

// Guards against a fault that hides an action from the counter, or counts one that did not take place.
TEST_P(ToolFaults, AreCountedTruthfully)
{
    const Tool tool(loop_, ToolOptions{});
    EXPECT_EQ(ask(tool.server(), "POST", "/control", GetParam().control_).status_, 200);
    HttpCall order = call(tool.server(), "POST", "/call/salary", {{"amount", 5}});
    order.request_.headers_["idempotency-key"] = "k1";
    order.timeout_ = GetParam().outcome_ == HttpOutcome::TimedOut ? Duration{200'000} : order.timeout_;
    const HttpResult result = finish(order);
    EXPECT_EQ(result.outcome_, GetParam().outcome_);
    EXPECT_EQ(result.status_, GetParam().status_);
    const Json counted = json(tool.server(), "GET", "/executions");
    EXPECT_EQ(counted["executions"].value("k1", 0), GetParam().executions_);
    EXPECT_EQ(counted["total"], GetParam().executions_);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ToolFaults,
    ::testing::Values(ToolCase{"None", Json::object(), HttpOutcome::Complete, 200, 1},
                      ToolCase{"Delay", {{"delay_ms", 5}}, HttpOutcome::Complete, 200, 1},
                      ToolCase{"AnswerLost", {{"loss_next", 1}}, HttpOutcome::Interrupted, 0, 1},
                      ToolCase{
                          "AnswerLostAfterDelay", {{"delay_ms", 5}, {"loss", 1.0}}, HttpOutcome::Interrupted, 0, 1},
                      ToolCase{"Hang", {{"hang", 1.0}}, HttpOutcome::TimedOut, 0, 1},
                      ToolCase{"Refusal", {{"refusal_next", 1}}, HttpOutcome::Complete, 503, 0}),
    [](const ::testing::TestParamInfo<ToolCase> &info) { return std::string(info.param.name_); });

namespace {

class LogFixture : public StandinFixture
{
public:
    AppendResult append(const std::vector<Json> &entries)
    {
        std::optional<AppendResult> result;
        access_.append_("journal", entries, [&result](const AppendResult &done) { result = done; });
        runUntil([&result] { return result.has_value(); });
        return result.value_or(AppendResult{});
    }

    LogPage read(Offset from, bool expectReached = true)
    {
        std::optional<LogPage> result;
        access_.read_("journal", from, Duration{0}, [&result, expectReached](bool reached, const LogPage &page) {
            EXPECT_EQ(reached, expectReached);
            result = page;
        });
        runUntil([&result] { return result.has_value(); });
        return result.value_or(LogPage{});
    }

    void control(const Json &body)
    {
        EXPECT_EQ(ask(log_.server(), "POST", "/control", body).status_, 200);
    }

    Log log_{loop_, LogOptions{}};
    LogClient logClient_{loop_, client_, "127.0.0.1:" + std::to_string(log_.server().port()), Duration{500'000}};
    LogAccess access_ = logClient_.access();
};

} // namespace

// Guards against offsets with gaps, entries that change on their way, and a long poll that is not woken.
TEST_F(LogFixture, KeepsEntriesInOrderAndWakesReaders)
{
    const Json record{{"id", "a"}, {"unknown", {1, 2.5, "x"}}};
    EXPECT_EQ(append({record, record}).firstOffset_, 1U);
    EXPECT_EQ(append({record}).firstOffset_, 3U);
    const LogPage page = read(2);
    EXPECT_EQ(page.firstOffset_, 1U);
    EXPECT_EQ(page.nextOffset_, 4U);
    ASSERT_EQ(page.entries_.size(), 2U);
    EXPECT_EQ(page.entries_[0].offset_, 2U);
    EXPECT_EQ(page.entries_[0].body_, record);
    std::optional<LogPage> awaited;
    access_.read_("journal", 4, Duration{30'000'000}, [&awaited](bool, const LogPage &next) { awaited = next; });
    append({{{"id", "late"}}});
    runUntil([&awaited] { return awaited.has_value(); });
    ASSERT_EQ(awaited->entries_.size(), 1U);
    EXPECT_EQ(awaited->entries_[0].body_["id"], "late");
}

struct LogFaultCase
{
    const char *name_;
    Json control_;
    AppendStatus status_;
    std::uint64_t kept_; ///< Entries in the log afterwards.
};

class LogFaults : public LogFixture, public ::testing::WithParamInterface<LogFaultCase>
{
};

// Guards against an append that took effect and is called rejected, or the reverse.
TEST_P(LogFaults, AppendStatusIsTrue)
{
    control(GetParam().control_);
    EXPECT_EQ(append({{{"id", "a"}}}).status_, GetParam().status_);
    control({{"outage", "none"}, {"delay_ms", 0}, {"loss", 0}});
    EXPECT_EQ(read(1).entries_.size(), GetParam().kept_);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LogFaults,
                         ::testing::Values(LogFaultCase{"None", Json::object(), AppendStatus::Durable, 1},
                                           LogFaultCase{"Slow", {{"delay_ms", 10}}, AppendStatus::Durable, 1},
                                           LogFaultCase{"TooSlow", {{"delay_ms", 5000}}, AppendStatus::Unknown, 1},
                                           LogFaultCase{"AnswerLost", {{"loss_next", 1}}, AppendStatus::Unknown, 1},
                                           LogFaultCase{"Refuses", {{"outage", "refuse"}}, AppendStatus::Rejected, 0},
                                           LogFaultCase{"Hangs", {{"outage", "hang"}}, AppendStatus::Unknown, 0}),
                         [](const ::testing::TestParamInfo<LogFaultCase> &info) {
                             return std::string(info.param.name_);
                         });

// Guards against a log that grows for ever, or whose readers don't learn what they have missed.
TEST_F(LogFixture, RetainsABoundedNumberOfEntries)
{
    control({{"keep_entries", 3}});
    for (int i = 1; i <= 10; ++i) {
        append({{{"id", i}}});
    }
    const LogPage page = read(1);
    EXPECT_EQ(page.firstOffset_, 8U);
    ASSERT_EQ(page.entries_.size(), 3U);
    EXPECT_EQ(page.entries_[0].body_["id"], 8);
    control({{"outage", "refuse"}});
    read(1, false);
}

// Guards against a VM list that can't be changed, accepts nonsense or is not late when it should be.
TEST_F(StandinFixture, VmsAreChangedAndLate)
{
    VmsOptions options;
    options.vms_ = Json::array({parseVm("name=e1,address=127.0.0.1:1,domain=palermo")});
    const Vms vms(loop_, options);
    EXPECT_EQ(json(vms.server(), "GET", "/vms")[0]["state"], "live");
    const Json leaving = parseVm("name=e1,address=127.0.0.1:1,domain=palermo,state=leaving");
    ask(vms.server(), "POST", "/control", {{"set", leaving}});
    EXPECT_EQ(json(vms.server(), "GET", "/vms"), Json::array({leaving}));
    EXPECT_EQ(ask(vms.server(), "POST", "/control", {{"set", {{"name", "e2"}}}}).status_, 400);
    ask(vms.server(), "POST", "/control", {{"late_ms", 3'600'000}, {"remove", "e1"}});
    EXPECT_EQ(json(vms.server(), "GET", "/vms"), Json::array({leaving}));
    ask(vms.server(), "POST", "/control", {{"late_ms", 0}});
    EXPECT_EQ(json(vms.server(), "GET", "/vms"), Json::array());
    EXPECT_TRUE(parseVm("name=e1,address=a").is_null());
}
