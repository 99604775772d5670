#include "core/logger.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <mutex>

namespace filbertgw {
namespace internal {
namespace {

constexpr std::size_t maxValueBytes = 512; ///< Longer values are truncated, so that the size of a log line is bounded.

bool isSecretName(const std::string &name)
{
    static constexpr std::array<std::string_view, 4> words{"secret", "password", "authorization", "_key"};
    for (const std::string_view word : words) {
        if (name.find(word) != std::string::npos) {
            return true;
        }
    }
    return name == "key";
}

bool needsQuotes(const std::string &value)
{
    const auto special = [](unsigned char c) { return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f; };
    return value.empty() || std::any_of(value.begin(), value.end(), special);
}

std::string valueText(const nlohmann::json &value)
{
    std::string text = value.is_string() ? value.get<std::string>()
                                         : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxValueBytes) {
        text = text.substr(0, maxValueBytes) + "...";
    }
    if (!needsQuotes(text)) {
        return text;
    }
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

void appendField(std::string &line, const std::string &name, const nlohmann::json &value)
{
    line += ' ' + name + '=' + (isSecretName(name) ? "***" : valueText(value));
}

void setUpSink()
{
    static std::once_flag once;
    std::call_once(once, [] {
        namespace expressions = boost::log::expressions;
        boost::log::add_common_attributes();
        boost::log::add_console_log(std::cerr,
                                    boost::log::keywords::auto_flush = true,
                                    boost::log::keywords::format = expressions::stream << expressions::smessage);
    });
}

} // namespace
} // namespace internal

std::string formatLogFields(const std::string &event, const nlohmann::json &fields)
{
    static const std::array<const char *, 2> leadingFields{"program", "request"};
    std::string line = "event=" + internal::valueText(event);
    for (const char *name : leadingFields) {
        if (fields.contains(name)) {
            internal::appendField(line, name, fields[name]);
        }
    }
    for (const auto &[name, value] : fields.items()) {
        if (name != leadingFields[0] && name != leadingFields[1]) {
            internal::appendField(line, name, value);
        }
    }
    return line;
}

Logger::Logger(std::string node, LogLevel minimumLevel)
    : node_(std::move(node))
    , minimumLevel_(minimumLevel)
{
    internal::setUpSink();
}

void Logger::log(LogLevel level, const std::string &event, const nlohmann::json &fields) const
{
    if (level < minimumLevel_) {
        return;
    }
    static boost::log::sources::logger source;
    BOOST_LOG(source) << line(level, event, fields);
}

std::string Logger::line(LogLevel level, const std::string &event, const nlohmann::json &fields) const
{
    const boost::posix_time::ptime now = boost::posix_time::microsec_clock::universal_time();
    return "time=" + boost::posix_time::to_iso_extended_string(now) + "Z level=" + std::string(nameOf(level))
        + " node=" + internal::valueText(node_) + ' ' + formatLogFields(event, fields);
}

} // namespace filbertgw
