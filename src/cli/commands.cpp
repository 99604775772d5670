#include "cli/commands.h"

#include "cli/publisher.h"
#include "cli/syncclient.h"
#include "config/configcontroller.h"
#include "config/publication.h"
#include "core/nametable.h"
#include "core/settings.h"
#include "node/errortable.h"
#include "node/node.h"

#include <cstdlib>
#include <iostream>

namespace filbertgw {

template<>
struct NameTable<Command>
{
    static constexpr std::array<std::pair<Command, std::string_view>, 6> entries{{
        {Command::Serve, "serve"},
        {Command::Publish, "publish"},
        {Command::Records, "records"},
        {Command::State, "state"},
        {Command::Check, "check"},
        {Command::Version, "version"},
    }};
};

namespace internal {
namespace {

const char *const version = "filbertgw 0.1.0";

const char *const usage =
    "usage: filbertgw serve|gateway|publish FILE|records|state|check FILE|explain ID|version [options]\n"
    "       filbertgw COMMAND --help\n";

const char *describe(Command command)
{
    switch (command) {
    case Command::Serve:
        return "filbertgw serve [options]\nRuns an entry node until SIGTERM or POST /drain.\n";
    case Command::Publish:
        return "filbertgw publish FILE [options]\nAppends the configuration records of a file to the log and prints "
               "the outcome of each.\nA record without `replaces` replaces the version in force.\n";
    case Command::Records:
        return "filbertgw records [options]\nPrints the configuration records in the log, one JSON object per "
               "line.\n";
    case Command::State:
        return "filbertgw state [options]\nPrints the state of a node as JSON, or explains one program.\n";
    case Command::Check:
        return "filbertgw check FILE\nValidates the configuration records of a file without publishing them.\n";
    case Command::Version:
        return "filbertgw version\nPrints the version.\n";
    }
    return "";
}

bool takesFile(Command command)
{
    return command == Command::Publish || command == Command::Check;
}

int check(const std::string &path)
{
    std::vector<nlohmann::json> records;
    std::string error;
    if (!readRecords(path, records, error)) {
        std::cerr << "filbertgw check: " << error << "\n";
        return exitFailure;
    }
    int status = exitSuccess;
    for (const nlohmann::json &record : records) {
        if (!printErrors(Publication().prepare(record, randomRecordId()))) {
            status = exitFailure;
        }
    }
    std::cout << records.size() << " records checked\n";
    return status;
}

int publish(const Settings &settings, const std::string &path)
{
    std::vector<nlohmann::json> records;
    std::string error;
    if (!readRecords(path, records, error)) {
        std::cerr << "filbertgw publish: " << error << "\n";
        return exitFailure;
    }
    return Publisher(settings).publish(records);
}

int records(const Settings &settings)
{
    SyncClient client(settings.milliseconds(Setting::LogTimeoutMs));
    std::vector<LogEntry> entries;
    if (!client.readAll(settings.text(Setting::Log), configStream, entries)) {
        std::cerr << "filbertgw records: the log can't be reached\n";
        return exitFailure;
    }
    for (const LogEntry &entry : entries) {
        std::cout << jsonText({{"offset", entry.offset_}, {"entry", entry.body_}}) << "\n";
    }
    return exitSuccess;
}

int state(const Settings &settings)
{
    constexpr Duration timeout = std::chrono::seconds(10);
    SyncClient client(timeout);
    const std::vector<std::string> keys = settings.list(Setting::OperatorKeys);
    const std::string &program = settings.text(Setting::Program);
    const std::string target = program.empty() ? "/state" : "/state?program=" + program;
    const HttpResult result = client.get(settings.text(Setting::Node), target, keys.empty() ? "" : keys.front());
    if (result.outcome_ != HttpOutcome::Complete || result.status_ != 200) {
        std::cerr << "filbertgw state: " << settings.text(Setting::Node) << " answered with status " << result.status_
                  << " " << result.body_ << "\n";
        return exitFailure;
    }
    const nlohmann::json json = nlohmann::json::parse(result.body_, nullptr, false);
    std::cout << json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    return exitSuccess;
}

int run(Command command, const Settings::Parsed &parsed)
{
    switch (command) {
    case Command::Serve:
        return serveNode(parsed.settings_);
    case Command::Publish:
        return publish(parsed.settings_, parsed.arguments_.front());
    case Command::Records:
        return records(parsed.settings_);
    case Command::State:
        return state(parsed.settings_);
    case Command::Check:
        return check(parsed.arguments_.front());
    case Command::Version:
        std::cout << version << "\n";
        return exitSuccess;
    }
    return exitUsage;
}

} // namespace
} // namespace internal

int runCommand(const std::vector<std::string> &arguments)
{
    const std::optional<Command> command = arguments.empty() ? std::nullopt : valueOf<Command>(arguments.front());
    if (!command) {
        const bool isHelpRequested =
            !arguments.empty() && (arguments.front() == "--help" || arguments.front() == "help");
        (isHelpRequested ? std::cout : std::cerr) << internal::usage;
        return isHelpRequested ? exitSuccess : exitUsage;
    }
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    const auto environment = [](const std::string &name) -> const char * { return std::getenv(name.c_str()); };
    Settings::Parsed parsed = Settings::parse(*command, rest, environment);
    if (parsed.help_) {
        std::cout << internal::describe(*command) << "\n" << Settings::help(*command);
        return exitSuccess;
    }
    if (parsed.markdown_) {
        std::cout << Settings::markdown();
        return exitSuccess;
    }
    const std::size_t expectedArguments = internal::takesFile(*command) ? 1 : 0;
    if (parsed.arguments_.size() != expectedArguments) {
        parsed.errors_.push_back(expectedArguments == 1 ? "exactly one FILE is required" : "unexpected argument");
    }
    for (const std::string &error : parsed.errors_) {
        std::cerr << "filbertgw " << nameOf(*command) << ": " << error << "\n";
    }
    return parsed.errors_.empty() ? internal::run(*command, parsed) : exitUsage;
}

} // namespace filbertgw
