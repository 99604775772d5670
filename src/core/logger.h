#ifndef FILBERTGW_CORE_LOGGER_H
#define FILBERTGW_CORE_LOGGER_H

#include "core/nametable.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <utility>

namespace filbertgw {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

template<>
struct NameTable<LogLevel>
{
    static constexpr std::array<std::pair<LogLevel, std::string_view>, 4> entries{{
        {LogLevel::Debug, "debug"},
        {LogLevel::Info, "info"},
        {LogLevel::Warning, "warning"},
        {LogLevel::Error, "error"},
    }};
};

/**
 * \brief Formats fields as `key=value` pairs: `event`, `program` and `request` first, then the others by name.
 *
 * A value with a space, a quote, an equals sign or a control character is quoted and escaped, so that one event is
 * always one line. The value of a field whose name marks it as a secret (such as `api_key`) is replaced by `***`.
 */
std::string formatLogFields(const std::string &event, const nlohmann::json &fields);

/** \brief Writes one `key=value` line for each event to standard error, by Boost.Log. */
class Logger
{
public:
    Logger(std::string node, LogLevel minimumLevel);
    void log(LogLevel level, const std::string &event, const nlohmann::json &fields) const;
    /** \brief The line that log() writes, without the newline. */
    std::string line(LogLevel level, const std::string &event, const nlohmann::json &fields) const;

private:
    std::string node_;
    LogLevel minimumLevel_;
};

} // namespace filbertgw

#endif
