#include "cli/publisher.h"

#include "config/configcontroller.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace filbertgw {
namespace internal {
namespace {

constexpr int maxAppendAttempts = 5;
constexpr Duration pollInterval = std::chrono::milliseconds(50);

std::string recordName(const nlohmann::json &record)
{
    const auto text = [&record](const char *field) {
        const bool has = record.contains(field) && record[field].is_string();
        return has ? record[field].get<std::string>() : std::string("?");
    };
    return text("kind") + "/" + text("name");
}

} // namespace
} // namespace internal

RecordId randomRecordId()
{
    std::random_device device;
    std::ostringstream text;
    text << "c" << std::hex << device() << device() << device() << device();
    return RecordId(text.str());
}

bool printErrors(const PreparedRecord &prepared)
{
    for (const Failure &failure : prepared.errors_) {
        std::cerr << internal::recordName(prepared.record_) << ": " << failure.detail_ << "\n";
    }
    return prepared.errors_.empty();
}

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

bool Publisher::readToEnd()
{
    do {
        LogPage page;
        if (!client_.readPage(settings_.text(Setting::Log), configStream, publication_.nextOffset(), page)) {
            return false;
        }
        publication_.onPage(page);
    } while (!publication_.isAtEnd());
    return true;
}

bool Publisher::prepare(const std::vector<nlohmann::json> &drafts)
{
    bool valid = true;
    for (const nlohmann::json &draft : drafts) {
        const PreparedRecord prepared = publication_.prepare(draft, randomRecordId());
        valid = printErrors(prepared) && valid;
        records_.push_back(prepared.record_);
    }
    return valid;
}

// An append whose response was lost may have taken effect, so each try reads the stream back. Records are deduplicated
// by their ids, so a second copy has no effect.
bool Publisher::append()
{
    for (int attempt = 0; attempt < internal::maxAppendAttempts; ++attempt) {
        client_.append(settings_.text(Setting::Log), configStream, records_);
        const RecordId last(records_.back()["id"].get<std::string>());
        if (readToEnd() && publication_.outcome(last)) {
            return true;
        }
    }
    return false;
}

bool Publisher::report()
{
    bool accepted = true;
    for (const nlohmann::json &record : records_) {
        const std::optional<PublicationOutcome> outcome =
            publication_.outcome(RecordId(record["id"].get<std::string>()));
        if (!outcome) {
            accepted = false;
            continue;
        }
        const bool inForce = outcome->result_ == FoldResult::Accepted;
        accepted = accepted && inForce;
        lastOffset_ = inForce ? std::max(lastOffset_, outcome->offset_) : lastOffset_;
        std::cout << internal::recordName(record) << " offset " << outcome->offset_ << " " << nameOf(outcome->result_)
                  << (outcome->detail_.empty() ? "" : ": ") << outcome->detail_ << "\n";
    }
    return accepted;
}

int Publisher::publish(const std::vector<nlohmann::json> &drafts)
{
    if (!readToEnd()) {
        std::cerr << "filbertgw publish: the log can't be reached\n";
        return 1;
    }
    if (!prepare(drafts) || records_.empty()) {
        return 1;
    }
    if (!append()) {
        std::cerr << "filbertgw publish: the log did not confirm the records; run `filbertgw records` to see them\n";
        return 1;
    }
    if (!report()) {
        return 1;
    }
    return settings_.flag(Setting::Wait) ? waitForNodes() : 0;
}

int Publisher::waitForNodes()
{
    const std::vector<std::string> nodes = settings_.list(Setting::Nodes);
    const std::vector<std::string> keys = settings_.list(Setting::OperatorKeys);
    const std::string key = keys.empty() ? "" : keys.front();
    const Time start = client_.loop().now();
    PublicationProgress progress(lastOffset_);
    do {
        for (const std::string &node : nodes) {
            const HttpResult result = client_.get(node, "/state?section=config", key);
            const nlohmann::json state = nlohmann::json::parse(result.body_, nullptr, false);
            if (state.is_object()) {
                progress.onNodeState(node, {{"config", state}});
            } else {
                progress.onNodeUnreachable(node);
            }
        }
        if (!progress.isDone()) {
            client_.runUntil([] { return false; }, internal::pollInterval);
        }
    } while (!progress.isDone() && client_.loop().now() - start < settings_.milliseconds(Setting::WaitMs));
    const Duration elapsed = client_.loop().now() - start;
    std::cout << "in force at " << progress.inForce() << " of " << progress.nodes() << " nodes after "
              << std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count() << " ms\n";
    for (const auto &[node, offset] : progress.behind()) {
        std::cout << "behind: " << node << " at offset " << offset << "\n";
    }
    return progress.isDone() ? 0 : 1;
}

} // namespace filbertgw
