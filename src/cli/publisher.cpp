#include "cli/publisher.h"

#include "blackboard/blackboard.h"
#include "config/configcontroller.h"
#include "node/errortable.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

namespace filbertgw {
namespace internal {
namespace {

constexpr int appendAttempts = 5;
constexpr Duration pollPause = std::chrono::milliseconds(50);

std::string randomRecordId()
{
    std::random_device device;
    std::ostringstream text;
    text << "c" << std::hex << device() << device() << device() << device();
    return text.str();
}

std::pair<std::string, std::string> keyOf(const nlohmann::json &record)
{
    return {record.value("kind", ""), record.value("name", "")};
}

} // namespace
} // namespace internal

bool readRecords(const std::string &path, std::vector<nlohmann::json> &records, std::string &error)
{
    std::ifstream file(path);
    std::ostringstream buffer;
    buffer << file.rdbuf();
    if (!file) {
        error = "cannot read " + path;
        return false;
    }
    nlohmann::json whole = nlohmann::json::parse(buffer.str(), nullptr, false);
    if (whole.is_object()) {
        records.push_back(whole);
    } else if (whole.is_array()) {
        records.insert(records.end(), whole.begin(), whole.end());
    } else {
        std::istringstream lines(buffer.str());
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty()) {
                records.push_back(nlohmann::json::parse(line, nullptr, false));
            }
        }
    }
    for (const nlohmann::json &record : records) {
        if (!record.is_object()) {
            error = path + " does not hold JSON objects";
            return false;
        }
    }
    return true;
}

Publisher::Publisher(const Settings &settings)
    : settings_(settings)
    , client_(settings.milliseconds(Setting::LogTimeoutMs))
{
}

bool Publisher::fold(Offset upTo, ConfigSection &section)
{
    Blackboard blackboard;
    LogClient log(
        client_.loop(), client_.http(), settings_.text(Setting::Log), settings_.milliseconds(Setting::LogTimeoutMs));
    ConfigHooks hooks;
    hooks.now_ = [this] { return client_.loop().now(); };
    hooks.random_ = [] { return std::uint64_t(std::random_device()()); };
    hooks.log_ = log.access();
    hooks.changed_ = [] {};
    hooks.fetchFromPeer_ = [](const NodeId &, Offset) {};
    // A command never re-appends records that near their expiry; that is left to the nodes.
    hooks.rank_ = [] { return std::uint32_t(1'000'000); };
    const std::unique_ptr<ConfigController> controller = ConfigController::Builder(blackboard, hooks).build();
    controller->start();
    const auto folded = [&] {
        controller->tick();
        return blackboard.read<ConfigSection>().offset_ >= upTo;
    };
    const bool reached = client_.runUntil(folded, settings_.milliseconds(Setting::LogTimeoutMs) * 2);
    section = blackboard.read<ConfigSection>();
    return reached;
}

Offset Publisher::findRecord(const std::string &id)
{
    std::vector<LogEntry> entries;
    Offset next = 1;
    client_.readAll(settings_.text(Setting::Log), configStream, entries, next);
    for (const LogEntry &entry : entries) {
        if (entry.body_.value("id", "") == id) {
            return entry.offset_;
        }
    }
    return 0;
}

bool Publisher::fillIn(std::vector<nlohmann::json> &records)
{
    std::vector<LogEntry> entries;
    Offset next = 1;
    ConfigSection section;
    if (!client_.readAll(settings_.text(Setting::Log), configStream, entries, next)) {
        return false;
    }
    if (next > 1 && !fold(next - 1, section)) {
        return false;
    }
    for (nlohmann::json &record : records) {
        if (!record.contains("id")) {
            record["id"] = internal::randomRecordId();
        }
        if (!record.contains("replaces")) {
            const auto found = section.inForce_.find(internal::keyOf(record));
            record["replaces"] = found == section.inForce_.end() ? Offset(0) : found->second;
        }
    }
    return true;
}

bool Publisher::appendOnce(const std::vector<nlohmann::json> &records, Offset &first)
{
    for (int attempt = 0; attempt < internal::appendAttempts; ++attempt) {
        const AppendResult result = client_.append(settings_.text(Setting::Log), configStream, records);
        first = result.firstOffset_;
        if (result.status_ == AppendStatus::Durable) {
            return true;
        }
        // The response may be lost after the append took effect; the record ids tell.
        first = findRecord(records.front().value("id", ""));
        if (first != 0) {
            return true;
        }
    }
    return false;
}

int Publisher::publish(std::vector<nlohmann::json> records)
{
    if (!fillIn(records)) {
        std::cerr << "filbertgw publish: the log can't be reached\n";
        return 1;
    }
    bool valid = true;
    for (const nlohmann::json &record : records) {
        for (const Failure &failure : validateRecord(record)) {
            std::cerr << record.value("kind", "?") << "/" << record.value("name", "?") << ": " << failure.detail_
                      << "\n";
            valid = false;
        }
    }
    if (!valid || records.empty()) {
        return 1;
    }
    Offset first = 0;
    if (!appendOnce(records, first)) {
        std::cerr << "filbertgw publish: the log did not confirm the records; run `filbertgw records` to see them\n";
        return 1;
    }
    const int status = report(records, first);
    if (status != 0 || !settings_.flag(Setting::Wait)) {
        return status;
    }
    return waitForNodes(first + records.size() - 1);
}

int Publisher::report(const std::vector<nlohmann::json> &records, Offset first)
{
    ConfigSection section;
    if (!fold(first + records.size() - 1, section)) {
        std::cerr << "filbertgw publish: the log can't be read back\n";
        return 1;
    }
    int status = 0;
    for (std::size_t index = 0; index < records.size(); ++index) {
        const Offset offset = first + index;
        const std::pair<std::string, std::string> key = internal::keyOf(records[index]);
        const auto inForce = section.inForce_.find(key);
        std::string outcome = inForce != section.inForce_.end() && inForce->second == offset ? "accepted" : "replaced";
        for (const HeldRecord &held : section.held_) {
            if (held.offset_ == offset) {
                outcome = held.reason_ + (held.detail_.empty() ? "" : ": " + held.detail_);
                status = 1;
            }
        }
        std::cout << key.first << "/" << key.second << " offset " << offset << " " << outcome << "\n";
    }
    return status;
}

int Publisher::waitForNodes(Offset offset)
{
    const std::vector<std::string> nodes = settings_.list(Setting::Nodes);
    const std::vector<std::string> keys = settings_.list(Setting::OperatorKeys);
    const std::string key = keys.empty() ? "" : keys.front();
    const Time start = client_.loop().now();
    std::set<std::string> inForce;
    while (inForce.size() < nodes.size() && client_.loop().now() - start < settings_.milliseconds(Setting::WaitMs)) {
        for (const std::string &node : nodes) {
            const HttpResult result =
                inForce.count(node) != 0 ? HttpResult() : client_.get(node, "/state?section=node", key);
            const nlohmann::json state = nlohmann::json::parse(result.body_, nullptr, false);
            if (state.is_object() && state.value("config_offset", Offset(0)) >= offset) {
                inForce.insert(node);
            }
        }
        client_.runUntil([] { return false; }, internal::pollPause);
    }
    const Duration took = client_.loop().now() - start;
    std::cout << "in force at " << inForce.size() << " of " << nodes.size() << " nodes after "
              << std::chrono::duration_cast<std::chrono::milliseconds>(took).count() << " ms\n";
    return inForce.size() == nodes.size() ? 0 : 1;
}

} // namespace filbertgw
