#include "standin.h"

#include <getopt.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace filbertgw::standin {

namespace {

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const char *begin = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size() && std::from_chars(begin, begin + 2, value, 16).ptr == begin + 2) {
            result.push_back(static_cast<char>(value));
            i += 2;
        } else {
            result.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return result;
}

bool parseNumber(const std::string &text, std::uint64_t &value)
{
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

bool parseDecimal(const std::string &text, double &value)
{
    char *end = nullptr;
    value = std::strtod(text.c_str(), &end);
    return !text.empty() && *end == '\0' && std::isfinite(value) && value >= 0;
}

void printHelp(const std::string &command, const std::vector<Option> &options)
{
    std::printf("usage: filbertgw-standin %s [options]\n", command.c_str());
    for (const Option &option : options) {
        const std::string name = "--" + option.name_ + (option.hasValue_ ? " VALUE" : "");
        std::printf("  %-28s %s\n", name.c_str(), option.help_.c_str());
    }
    std::printf("  %-28s %s\n", "--help", "print this help");
}

} // namespace

std::uint64_t Target::number(const std::string &name, std::uint64_t fallback) const
{
    const auto found = query_.find(name);
    std::uint64_t value = 0;
    return found != query_.end() && parseNumber(found->second, value) ? value : fallback;
}

Target parseTarget(const std::string &target)
{
    Target result;
    const std::size_t mark = target.find('?');
    result.path_ = decodePercent(target.substr(0, mark));
    std::size_t position = mark == std::string::npos ? target.size() : mark + 1;
    while (position < target.size()) {
        const std::size_t end = std::min(target.find('&', position), target.size());
        const std::string pair = target.substr(position, end - position);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            result.query_[decodePercent(pair.substr(0, equals))] = decodePercent(pair.substr(equals + 1));
        }
        position = end + 1;
    }
    return result;
}

std::string header(const HttpRequest &request, const std::string &name)
{
    const auto found = request.headers_.find(name);
    return found == request.headers_.end() ? std::string() : found->second;
}

void sendJson(const std::shared_ptr<HttpReply> &reply, int status, const nlohmann::json &body)
{
    reply->send(status, "application/json", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void sendError(const std::shared_ptr<HttpReply> &reply, int status, const std::string &type, const std::string &message)
{
    sendJson(reply, status, {{"error", {{"type", type}, {"message", message}}}});
}

HttpLimits serverLimits()
{
    HttpLimits limits;
    limits.bodyBytes_ = 64 * 1024 * 1024;
    limits.writeBufferBytes_ = 64 * 1024 * 1024;
    limits.connections_ = 16'384;
    return limits;
}

std::unique_ptr<HttpServer> listenOrExit(IoLoop &loop, const std::string &address, HttpHandler handler)
{
    Result<std::unique_ptr<HttpServer>> server = HttpServer::listen(loop, address, serverLimits(), std::move(handler));
    if (!server) {
        std::fprintf(stderr, "filbertgw-standin: cannot listen on %s\n", address.c_str());
        std::exit(2);
    }
    return std::move(*server);
}

int serve(IoLoop &loop, const HttpServer &server)
{
    loop.onStopSignal([&loop] { loop.stop(); });
    std::printf("listening port=%u\n", static_cast<unsigned>(server.port()));
    std::fflush(stdout);
    loop.run();
    return 0;
}

bool Fault::takesPlace(std::mt19937_64 &random)
{
    if (next_ > 0) {
        --next_;
        return true;
    }
    return share_ > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share_;
}

void Fault::update(const nlohmann::json &control, const std::string &name)
{
    const auto share = control.find(name);
    const auto next = control.find(name + "_next");
    if (share != control.end() && share->is_number()) {
        share_ = share->get<double>();
    }
    if (next != control.end() && next->is_number_unsigned()) {
        next_ = next->get<std::uint64_t>();
    }
}

void updateDuration(Duration &duration, const nlohmann::json &control, const std::string &name)
{
    const auto found = control.find(name);
    if (found != control.end() && found->is_number() && found->get<double>() >= 0) {
        duration = fromSeconds(found->get<double>() / 1000);
    }
}

Option textOption(const std::string &name, const std::string &help, std::string &value)
{
    return Option{name, help, true, [&value](const std::string &text) {
                      value = text;
                      return !text.empty();
                  }};
}

Option numberOption(const std::string &name, const std::string &help, std::uint64_t &value)
{
    return Option{name, help, true, [&value](const std::string &text) { return parseNumber(text, value); }};
}

Option shareOption(const std::string &name, const std::string &help, double &value)
{
    return Option{
        name, help, true, [&value](const std::string &text) { return parseDecimal(text, value) && value <= 1; }};
}

Option durationOption(const std::string &name, const std::string &help, Duration &value)
{
    return Option{name, help, true, [&value](const std::string &text) {
                      double milliseconds = 0;
                      const bool valid = parseDecimal(text, milliseconds);
                      value = fromSeconds(milliseconds / 1000);
                      return valid;
                  }};
}

Option flagOption(const std::string &name, const std::string &help, bool &value)
{
    return Option{name, help, false, [&value](const std::string &) {
                      value = true;
                      return true;
                  }};
}

void parseOptions(int argc, char **argv, const std::string &command, const std::vector<Option> &options)
{
    constexpr int first = 1000; // Beyond every character, so that '?' stays the mark of an error.
    std::vector<option> table;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const int argument = options[i].hasValue_ ? required_argument : no_argument;
        table.push_back(option{options[i].name_.c_str(), argument, nullptr, first + static_cast<int>(i)});
    }
    table.push_back(option{"help", no_argument, nullptr, 'h'});
    table.push_back(option{nullptr, 0, nullptr, 0});
    int found = 0;
    while ((found = getopt_long(argc, argv, "h", table.data(), nullptr)) != -1) {
        if (found == 'h') {
            printHelp(command, options);
            std::exit(0);
        }
        if (found < first) {
            std::exit(2); // getopt_long has printed the reason.
        }
        const Option &chosen = options[static_cast<std::size_t>(found - first)];
        if (!chosen.set_(optarg == nullptr ? "" : optarg)) {
            std::fprintf(stderr, "%s: invalid value of --%s: %s\n", argv[0], chosen.name_.c_str(), optarg);
            std::exit(2);
        }
    }
    if (optind < argc) {
        std::fprintf(stderr, "%s: unexpected argument: %s\n", argv[0], argv[optind]);
        std::exit(2);
    }
}

std::string parseServerOptions(int argc, char **argv, const std::string &command, std::vector<Option> options)
{
    std::string host = "127.0.0.1";
    std::uint64_t port = 0;
    options.insert(options.begin(),
                   {textOption("host", "address to listen on", host),
                    numberOption("port", "port to listen on; 0 picks one", port)});
    parseOptions(argc, argv, command, options);
    return host + ":" + std::to_string(port);
}

} // namespace filbertgw::standin
