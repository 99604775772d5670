#include "fleet.h"

#include "cli/publisher.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace filbertgw;
using namespace filbertgw::testing;

namespace {

constexpr std::uint64_t sessionSeed = 7;

std::string readText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** \brief Runs one session file: nodes, configuration records and steps at their virtual times. */
class Session
{
public:
    Session(std::string records, const nlohmann::json &script)
        : script_(script)
        , records_(std::move(records))
        , fleet_(sessionSeed)
    {
    }

    std::string run()
    {
        for (const nlohmann::json &node : script_.at("nodes")) {
            fleet_.addNode(node.at("name").get<std::string>(), node.at("domain").get<std::string>());
        }
        publishRecords();
        fleet_.startNodes();
        for (const nlohmann::json &step : script_.at("steps")) {
            fleet_.clock_.runUntil(std::chrono::milliseconds(step.at("at_ms").get<std::int64_t>()));
            runStep(step);
        }
        fleet_.clock_.runUntil(std::chrono::milliseconds(script_.at("end_ms").get<std::int64_t>()));
        showEnd();
        return fleet_.text();
    }

private:
    void publishRecords()
    {
        std::vector<nlohmann::json> records;
        std::string error;
        for (const nlohmann::json &file : script_.at("records")) {
            ASSERT_TRUE(readRecords(records_ + file.get<std::string>() + ".json", records, error)) << error;
        }
        std::size_t number = 0;
        for (nlohmann::json &record : records) {
            record["id"] = "c" + std::to_string(++number);
            record["replaces"] = 0;
        }
        fleet_.log_.appendNow("config", records);
    }

    std::string substitute(std::string text) const
    {
        for (const auto &[name, value] : saved_) {
            const std::string mark = "$" + name;
            for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at + value.size())) {
                text.replace(at, mark.size(), value);
            }
        }
        return text;
    }

    void runStep(const nlohmann::json &step)
    {
        const std::string what = step.at("do").get<std::string>();
        takeSaved();
        if (what == "request") {
            request(step);
        } else if (what == "kill") {
            fleet_.kill(step.at("node").get<std::string>());
        } else if (what == "drain") {
            fleet_.record("drain " + step.at("node").get<std::string>());
            fleet_.node(step.at("node").get<std::string>()).drain();
        } else if (what == "log_down" || what == "log_up") {
            fleet_.record(what);
            fleet_.log_.down_ = what == "log_down";
        } else if (what == "lose_response") {
            fleet_.record(what);
            fleet_.log_.loseNextResponse_ = true;
        } else if (what == "crash" || what == "restart") {
            const std::string address = step.at("address").get<std::string>();
            fleet_.record(what + " " + address);
            what == "crash" ? fleet_.endpoints_.crash(address) : fleet_.endpoints_.restart(address);
        } else if (what == "leaving") {
            fleet_.record("leaving " + step.at("address").get<std::string>());
            fleet_.endpoints_.leaving_.insert(step.at("address").get<std::string>());
        } else if (what == "delay") {
            fleet_.endpoints_.toolDelays_[step.at("call").get<std::string>()] =
                std::chrono::milliseconds(step.at("ms").get<std::int64_t>());
        } else if (what == "poison") {
            fleet_.endpoints_.poison_ = step.at("text").get<std::string>();
        } else if (what == "hang") {
            fleet_.endpoints_.hanging_.insert(step.at("call").get<std::string>());
        } else if (what == "publish") {
            fleet_.record("publish " + step.at("record").dump());
            fleet_.log_.appendNow("config", {step.at("record")});
        } else {
            ADD_FAILURE() << "unknown step " << what;
        }
    }

    void request(const nlohmann::json &step)
    {
        const std::string label = "#" + std::to_string(++requests_);
        HttpRequest request;
        request.method_ = step.value("method", "POST");
        request.target_ = substitute(step.at("target").get<std::string>());
        request.headers_["authorization"] = "Bearer " + step.value("key", script_.at("key").get<std::string>());
        if (step.contains("program_header")) {
            request.headers_["x-program"] = substitute(step.at("program_header").get<std::string>());
        }
        request.body_ = step.contains("body") ? substitute(step.at("body").dump()) : "";
        const std::shared_ptr<RecordedReply> reply =
            fleet_.request(step.value("node", script_.at("nodes")[0].at("name").get<std::string>()), label, request);
        if (step.contains("save")) {
            waiting_[step.at("save").get<std::string>()] = reply;
        }
    }

    void takeSaved()
    {
        for (const auto &[name, reply] : waiting_) {
            const nlohmann::json body = nlohmann::json::parse(reply->body(), nullptr, false);
            if (body.is_object() && body.contains("program")) {
                saved_[name] = body["program"].get<std::string>();
            }
        }
    }

    void showEnd()
    {
        takeSaved();
        for (const char *stream : {"config", "journal"}) {
            for (const LogEntry &entry : fleet_.log_.entries(stream)) {
                fleet_.record(std::string("log ") + stream + " " + std::to_string(entry.offset_) + " "
                              + entry.body_.dump());
            }
        }
        for (const std::string &call : fleet_.endpoints_.toolCalls()) {
            fleet_.record("tool " + call);
        }
        const std::string last = script_.at("explain_at").get<std::string>();
        for (const auto &[name, program] : saved_) {
            fleet_.record("explain " + name + " " + fleet_.node(last).explain(ProgramId(program)).dump(1));
        }
    }

    nlohmann::json script_;
    std::string records_;
    Fleet fleet_;
    std::map<std::string, std::shared_ptr<RecordedReply>> waiting_;
    std::map<std::string, std::string> saved_;
    int requests_ = 0;
};

std::vector<std::string> sessionNames()
{
    std::vector<std::string> names;
    for (const auto &entry : std::filesystem::directory_iterator(FILBERTGW_TEST_DIR "/golden/sessions")) {
        if (entry.path().extension() == ".json") {
            names.push_back(entry.path().stem().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

class GoldenTest : public ::testing::TestWithParam<std::string>
{
};

} // namespace

// Guards against any change of answers, log records or decisions that nobody meant. `scripts/golden` records anew.
TEST_P(GoldenTest, SessionIsByteForByteTheSame)
{
    const std::string base = std::string(FILBERTGW_TEST_DIR) + "/golden/sessions/" + GetParam();
    const std::string records = std::string(FILBERTGW_TEST_DIR) + "/golden/records/";
    const nlohmann::json script = nlohmann::json::parse(readText(base + ".json"));
    const std::string text = Session(records, script).run();
    EXPECT_EQ(text, Session(records, script).run()) << "two runs differ";
    if (std::getenv("FILBERTGW_RECORD_GOLDEN") != nullptr) {
        std::ofstream(base + ".golden") << text;
    }
    EXPECT_EQ(text, readText(base + ".golden"));
}

INSTANTIATE_TEST_SUITE_P(Sessions,
                         GoldenTest,
                         ::testing::ValuesIn(sessionNames()),
                         [](const ::testing::TestParamInfo<std::string> &info) { return info.param; });
