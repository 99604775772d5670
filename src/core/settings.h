#ifndef FILBERTGW_CORE_SETTINGS_H
#define FILBERTGW_CORE_SETTINGS_H

#include "core/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief Subcommands of `filbertgw`; the values are bits of SettingRow::commands_. */
enum class Command : std::uint8_t { Serve = 1, Publish = 2, Records = 4, State = 8, Check = 16, Version = 32 };

/** \brief Every setting; the table in settings.cpp has one row for each. */
enum class Setting : std::uint8_t {
    NodeName,
    Domain,
    Listen,
    PeerListen,
    UdpListen,
    Advertise,
    Log,
    LogTimeoutMs,
    VmList,
    Members,
    PeerKeys,
    OperatorKeys,
    OrderKeys,
    LogLevel,
    HeaderBytes,
    BodyBytes,
    WriteBufferBytes,
    IdleSeconds,
    ReadSeconds,
    Connections,
    AnswerBytes,
    BacklogBytes,
    CallTimeoutMs,
    PollMs,
    RetentionMs,
    DrainMs,
    Nodes,
    Node,
    Wait,
    WaitMs,
    Program,
};

/** \brief Type of a setting; determines how its text is validated. */
enum class SettingType : std::uint8_t {
    Text,
    Address, ///< host:port
    Number, ///< Integer within a range.
    Flag, ///< Option without an argument; 1 or 0 in the environment.
    Choice, ///< One word of a fixed list.
    Secret, ///< Comma-separated keys; never printed.
};

/** \brief One row of the settings table. */
struct SettingRow
{
    Setting setting_;
    std::string flag_; ///< Without the leading dashes.
    SettingType type_;
    std::int64_t min_; ///< Smallest Number; least length of a Text and of each key of a Secret, in characters.
    std::int64_t max_;
    std::string choices_; ///< Words of a Choice, separated by spaces.
    std::string default_;
    std::uint8_t commands_; ///< Bits of Command.
    bool required_;
    std::string help_;
};

/**
 * \brief Settings of a `filbertgw` process, from flags and FILBERTGW_* environment variables; a flag takes precedence.
 *
 * The table of settings is also the source of the help text and of docs/settings.md.
 */
class Settings
{
public:
    using Environment = std::function<const char *(const std::string &name)>;

    /** \brief Result of parse(). */
    struct Parsed;

    /**
     * \brief Parses the arguments that follow the subcommand.
     * \param environment returns the value of a variable, or null; `std::getenv` outside of tests
     */
    static Parsed parse(Command command, std::vector<std::string> arguments, const Environment &environment);

    static const std::vector<SettingRow> &table();
    /** \brief Name of the environment variable of a row. */
    static std::string environmentVariable(const SettingRow &row);
    /** \brief Text of `--help`. */
    static std::string help(Command command);
    /** \brief Text of docs/settings.md. */
    static std::string markdown();

    const std::string &text(Setting setting) const;
    std::int64_t number(Setting setting) const;
    bool flag(Setting setting) const;
    Duration milliseconds(Setting setting) const;
    /** \brief The non-empty elements of a comma-separated setting. */
    std::vector<std::string> list(Setting setting) const;

private:
    std::map<Setting, std::string> values_;
};

struct Settings::Parsed
{
    Settings settings_;
    std::vector<std::string> arguments_; ///< Positional arguments.
    std::vector<std::string> errors_; ///< One message for each invalid or missing setting.
    bool help_ = false;
    bool markdown_ = false;
};

} // namespace filbertgw

#endif
