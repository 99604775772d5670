#include "core/settings.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace filbertgw {
namespace internal {
namespace {

constexpr std::int64_t mebibyte = 1024 * 1024;
constexpr std::int64_t hourMs = 3'600'000;
constexpr std::int64_t minKeyCharacters = 16; ///< Shorter keys can be guessed.

constexpr std::uint8_t serve = static_cast<std::uint8_t>(Command::Serve);
constexpr std::uint8_t publish = static_cast<std::uint8_t>(Command::Publish);
constexpr std::uint8_t records = static_cast<std::uint8_t>(Command::Records);
constexpr std::uint8_t state = static_cast<std::uint8_t>(Command::State);

// clang-format off
const std::vector<SettingRow> &rows()
{
    using T = SettingType;
    using S = Setting;
    static const std::vector<SettingRow> table{
        {S::NodeName, "node-name", T::Text, 1, 64, "", "", serve, true, "name of this node; unique in the fleet"},
        {S::Domain, "domain", T::Text, 1, 64, "", "default", serve, false, "failure domain that this node is in"},
        {S::Listen, "listen", T::Address, 0, 0, "", "127.0.0.1:8080", serve, false, "address for callers and operators"},
        {S::PeerListen, "peer-listen", T::Address, 0, 0, "", "127.0.0.1:8081", serve, false, "address of the links between nodes (TCP)"},
        {S::UdpListen, "udp-listen", T::Address, 0, 0, "", "127.0.0.1:8082", serve, false, "address of the membership datagrams (UDP)"},
        {S::Advertise, "advertise", T::Text, 0, 255, "", "", serve, false, "host name that other nodes reach this node by; empty for the hosts of the listening addresses"},
        {S::Log, "log", T::Address, 0, 0, "", "", serve | publish | records, true, "address of the platform's log"},
        {S::LogTimeoutMs, "log-timeout-ms", T::Number, 100, 60'000, "", "5000", serve | publish | records, false, "time after which the response of the log counts as lost"},
        {S::VmList, "vm-list", T::Text, 0, 255, "", "", serve, false, "address of the platform's VM list; empty for none"},
        {S::Members, "members", T::Text, 0, 65'536, "", "", serve, false, "nodes known at the start: NAME/DOMAIN/UDP/PEER/HTTP, separated by commas, the last three as host:port"},
        {S::PeerKeys, "peer-keys", T::Secret, minKeyCharacters, 1024, "", "", serve, true, "keys of the links between nodes, separated by commas; the first signs, all are accepted"},
        {S::OperatorKeys, "operator-keys", T::Secret, minKeyCharacters, 1024, "", "", serve | publish | state, false, "bearer keys of the operators, separated by commas; a client sends the first; without one a node refuses operators"},
        {S::OrderKeys, "order-keys", T::Secret, minKeyCharacters, 1024, "", "", serve, false, "keys that sign orders to endpoints that check them, separated by commas; the first signs"},
        {S::LogLevel, "log-level", T::Choice, 0, 0, "debug info warning error", "info", serve, false, "least severity of the lines that are logged"},
        {S::HeaderBytes, "header-bytes", T::Number, 1024, mebibyte, "", "16384", serve, false, "most bytes of the head of a request"},
        {S::BodyBytes, "body-bytes", T::Number, 1024, 64 * mebibyte, "", "4194304", serve, false, "most bytes of the body of a request"},
        {S::WriteBufferBytes, "write-buffer-bytes", T::Number, 4096, 64 * mebibyte, "", "4194304", serve, false, "bytes that wait for a slow caller before it is disconnected"},
        {S::IdleSeconds, "idle-seconds", T::Number, 1, 3600, "", "60", serve, false, "time after which an idle connection is closed"},
        {S::ReadSeconds, "read-seconds", T::Number, 1, 600, "", "15", serve, false, "most time to receive one request"},
        {S::Connections, "connections", T::Number, 1, 65'536, "", "4096", serve, false, "most open connections of callers"},
        {S::AnswerBytes, "answer-bytes", T::Number, 4096, 64 * mebibyte, "", "4194304", serve, false, "most bytes of the answer of an endpoint"},
        {S::BacklogBytes, "backlog-bytes", T::Number, 65'536, 1024 * mebibyte, "", "8388608", serve, false, "most bytes of records that wait for the log"},
        {S::CallTimeoutMs, "call-timeout-ms", T::Number, 100, hourMs, "", "600000", serve, false, "most time of a call that names no timeout and whose program has no deadline"},
        {S::PollMs, "poll-ms", T::Number, 50, 10'000, "", "1000", serve, false, "time between two load reports of an engine"},
        {S::RetentionMs, "retention-ms", T::Number, 10'000, 365 * 24 * hourMs, "", "604800000", serve, false, "time for which the log keeps entries"},
        {S::DrainMs, "drain-ms", T::Number, 0, hourMs, "", "600000", serve, false, "time that a planned stop waits for running calls"},
        {S::Nodes, "nodes", T::Text, 0, 65'536, "", "", publish, false, "nodes that --wait polls: host:port, separated by commas"},
        {S::Node, "node", T::Address, 0, 0, "", "127.0.0.1:8080", state, false, "node to ask"},
        {S::Wait, "wait", T::Flag, 0, 0, "", "0", publish, false, "wait until every node of --nodes has the records in force"},
        {S::WaitMs, "wait-ms", T::Number, 0, hourMs, "", "10000", publish, false, "most time that --wait waits"},
        {S::Program, "explain", T::Text, 0, 64, "", "", state, false, "program to explain; without it the whole state is printed"},
    };
    return table;
}
// clang-format on

std::optional<std::int64_t> parseNumber(const std::string &text)
{
    std::int64_t value = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    const std::optional<std::int64_t> port = parseNumber(text.substr(colon + 1));
    return port && *port >= 0 && *port <= 65'535;
}

std::string rangeText(const SettingRow &row)
{
    switch (row.type_) {
    case SettingType::Number:
        return "an integer from " + std::to_string(row.min_) + " to " + std::to_string(row.max_);
    case SettingType::Address:
        return "host:port";
    case SettingType::Choice:
        return "one of: " + row.choices_;
    case SettingType::Flag:
        return "0 or 1";
    case SettingType::Secret:
        return "keys of at least " + std::to_string(row.min_) + " characters";
    case SettingType::Text:
        break;
    }
    return "text of " + std::to_string(row.min_) + " to " + std::to_string(row.max_) + " characters";
}

bool isSecretValid(const SettingRow &row, const std::string &value)
{
    const std::vector<std::string> keys = split(value, ',');
    const auto longEnough = [&row](const std::string &key) { return std::int64_t(key.size()) >= row.min_; };
    return std::all_of(keys.begin(), keys.end(), longEnough);
}

bool isNumberValid(const SettingRow &row, const std::string &value)
{
    const std::optional<std::int64_t> number = parseNumber(value);
    return number && *number >= row.min_ && *number <= row.max_;
}

bool isChoiceValid(const SettingRow &row, const std::string &value)
{
    const std::vector<std::string> choices = split(row.choices_, ' ');
    return std::find(choices.begin(), choices.end(), value) != choices.end();
}

bool isValid(const SettingRow &row, const std::string &value)
{
    switch (row.type_) {
    case SettingType::Number:
        return isNumberValid(row, value);
    case SettingType::Address:
        return isAddress(value);
    case SettingType::Choice:
        return isChoiceValid(row, value);
    case SettingType::Flag:
        return value == "0" || value == "1";
    case SettingType::Secret:
        return isSecretValid(row, value);
    case SettingType::Text:
        break;
    }
    return std::int64_t(value.size()) >= row.min_ && std::int64_t(value.size()) <= row.max_;
}

/** \brief One line that names the setting, what is wrong and what is allowed; without the value of a secret. */
std::string errorLine(const SettingRow &row, const std::string &source, const std::string &value)
{
    const std::string shown = row.type_ == SettingType::Secret ? "" : " '" + value + "'";
    return "invalid value" + shown + " for " + source + ": must be " + rangeText(row);
}

bool appliesTo(const SettingRow &row, Command command)
{
    return (row.commands_ & static_cast<std::uint8_t>(command)) != 0;
}

std::string upperSnakeCase(const std::string &flag)
{
    std::string name = flag;
    std::replace(name.begin(), name.end(), '-', '_');
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return char(std::toupper(c)); });
    return name;
}

constexpr int helpOption = 1000; ///< Codes of getopt_long for options without a row in the table.
constexpr int markdownOption = 1001;

std::vector<option> optionsOf(Command command)
{
    std::vector<option> options;
    for (std::size_t index = 0; index < rows().size(); ++index) {
        const SettingRow &row = rows()[index];
        if (appliesTo(row, command)) {
            const int argument = row.type_ == SettingType::Flag ? no_argument : required_argument;
            options.push_back({row.flag_.c_str(), argument, nullptr, int(index) + 1});
        }
    }
    options.push_back({"help", no_argument, nullptr, helpOption});
    options.push_back({"help-markdown", no_argument, nullptr, markdownOption});
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

std::string defaultText(const SettingRow &row)
{
    if (row.required_) {
        return "required";
    }
    return row.default_.empty() ? "none" : row.default_;
}

} // namespace
} // namespace internal

const std::vector<SettingRow> &Settings::table()
{
    return internal::rows();
}

std::string Settings::environmentVariable(const SettingRow &row)
{
    return "FILBERTGW_" + internal::upperSnakeCase(row.flag_);
}

Settings::Parsed Settings::parse(Command command, std::vector<std::string> arguments, const Environment &environment)
{
    Parsed parsed;
    std::set<Setting> given;
    const auto assign = [&](const SettingRow &row, const std::string &source, const std::string &value) {
        given.insert(row.setting_);
        if (!internal::isValid(row, value)) {
            parsed.errors_.push_back(internal::errorLine(row, source, value));
        }
        parsed.settings_.values_[row.setting_] = value;
    };

    std::string program = "filbertgw";
    std::vector<char *> argv{program.data()};
    for (std::string &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const std::vector<option> options = internal::optionsOf(command);
    optind = 0; // Restarts getopt_long, which keeps its position in a global variable.
    opterr = 0;
    const int argc = int(argv.size()) - 1;
    int code = 0;
    while ((code = getopt_long(argc, argv.data(), ":", options.data(), nullptr)) != -1) {
        if (code == internal::helpOption) {
            parsed.help_ = true;
        } else if (code == internal::markdownOption) {
            parsed.markdown_ = true;
        } else if (code == ':') {
            parsed.errors_.push_back("a value is missing after " + std::string(argv[std::size_t(optind) - 1]));
        } else if (code == '?') {
            parsed.errors_.push_back("unknown option " + std::string(argv[std::size_t(optind) - 1]));
        } else {
            const SettingRow &row = table()[std::size_t(code) - 1];
            assign(row, "--" + row.flag_, row.type_ == SettingType::Flag ? "1" : optarg);
        }
    }
    for (int index = optind; index < argc; ++index) {
        parsed.arguments_.emplace_back(argv[std::size_t(index)]);
    }

    for (const SettingRow &row : table()) {
        if (!internal::appliesTo(row, command) || given.count(row.setting_) != 0) {
            continue;
        }
        const char *value = environment(environmentVariable(row));
        if (value != nullptr) {
            assign(row, environmentVariable(row), value);
        } else if (row.required_) {
            parsed.errors_.push_back("--" + row.flag_ + " or " + environmentVariable(row)
                                     + " is required: " + row.help_);
        } else {
            parsed.settings_.values_[row.setting_] = row.default_;
        }
    }
    return parsed;
}

std::string Settings::help(Command command)
{
    std::ostringstream text;
    for (const SettingRow &row : table()) {
        if (!internal::appliesTo(row, command)) {
            continue;
        }
        text << "  --" << row.flag_ << (row.type_ == SettingType::Flag ? "" : " VALUE") << "  ("
             << environmentVariable(row) << ")\n"
             << "      " << row.help_ << "\n      " << internal::rangeText(row)
             << "; default: " << internal::defaultText(row) << "\n";
    }
    text << "  --help\n      print this text\n";
    return text.str();
}

std::string Settings::markdown()
{
    std::ostringstream text;
    text << "# Settings\n\nEvery setting is a flag of a subcommand of `filbertgw` or an environment variable; a flag "
            "wins. Pass keys by environment variables: flags are visible in the list of processes. This page is the "
            "output of `filbertgw serve --help-markdown`.\n\n"
            "| flag | environment variable | value | default | subcommands | meaning |\n"
            "| --- | --- | --- | --- | --- | --- |\n";
    const std::vector<std::pair<Command, std::string>> commands{{Command::Serve, "serve"},
                                                                {Command::Publish, "publish"},
                                                                {Command::Records, "records"},
                                                                {Command::State, "state"}};
    for (const SettingRow &row : table()) {
        std::string names;
        for (const std::pair<Command, std::string> &command : commands) {
            if (internal::appliesTo(row, command.first)) {
                names += (names.empty() ? "" : ", ") + command.second;
            }
        }
        text << "| `--" << row.flag_ << "` | `" << environmentVariable(row) << "` | " << internal::rangeText(row)
             << " | " << internal::defaultText(row) << " | " << names << " | " << row.help_ << " |\n";
    }
    return text.str();
}

const std::string &Settings::text(Setting setting) const
{
    static const std::string noValue;
    const auto found = values_.find(setting);
    return found == values_.end() ? noValue : found->second;
}

std::int64_t Settings::number(Setting setting) const
{
    return internal::parseNumber(text(setting)).value_or(0);
}

bool Settings::flag(Setting setting) const
{
    return text(setting) == "1";
}

Duration Settings::milliseconds(Setting setting) const
{
    return std::chrono::milliseconds(number(setting));
}

std::vector<std::string> Settings::list(Setting setting) const
{
    return internal::split(text(setting), ',');
}

} // namespace filbertgw
