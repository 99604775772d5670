#ifndef FILBERTGW_STANDIN_STANDIN_H
#define FILBERTGW_STANDIN_STANDIN_H

#include "net/httpserver.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace filbertgw::standin {

/** \brief Path and query of a request target. */
struct Target
{
    std::string path_;
    std::map<std::string, std::string> query_;

    /** \brief A number of the query, or a default if it is missing or no number. */
    std::uint64_t number(const std::string &name, std::uint64_t fallback) const;
};

Target parseTarget(const std::string &target);

/** \brief A header of a request, or an empty string. */
std::string header(const HttpRequest &request, const std::string &name);

void sendJson(const std::shared_ptr<HttpReply> &reply, int status, const nlohmann::json &body);
void sendError(const std::shared_ptr<HttpReply> &reply,
               int status,
               const std::string &type,
               const std::string &message);

/** \brief Limits of every stand-in's server. */
HttpLimits serverLimits();

/** \brief Listens or ends the process with one line on stderr and status 2. */
std::unique_ptr<HttpServer> listenOrExit(IoLoop &loop, const std::string &address, HttpHandler handler);

/** \brief Prints `listening port=N` and runs until SIGTERM or SIGINT. \return the exit status. */
int serve(IoLoop &loop, const HttpServer &server);

/** \brief Decides by a seeded sequence, or by a counter of the next cases, whether a fault takes place. */
class Fault
{
public:
    double share_ = 0; ///< Of all cases, from 0 to 1.
    std::uint64_t next_ = 0; ///< So many of the next cases for certain.

    bool takesPlace(std::mt19937_64 &random);
    /** \brief Takes `NAME` as share and `NAME_next` as counter from a control request. */
    void update(const nlohmann::json &control, const std::string &name);
};

/** \brief Sets a duration from a number of milliseconds in a control request, if it is there. */
void updateDuration(Duration &duration, const nlohmann::json &control, const std::string &name);

/** \brief A command-line option that takes a value, or none if set_ ignores it. */
struct Option
{
    std::string name_;
    std::string help_;
    bool hasValue_;
    std::function<bool(const std::string &value)> set_; ///< False if the value is invalid.
};

Option textOption(const std::string &name, const std::string &help, std::string &value);
Option numberOption(const std::string &name, const std::string &help, std::uint64_t &value);
Option shareOption(const std::string &name, const std::string &help, double &value);
/** \brief Milliseconds, with a fraction if needed. */
Option durationOption(const std::string &name, const std::string &help, Duration &value);
Option flagOption(const std::string &name, const std::string &help, bool &value);

/**
 * \brief Reads options by getopt_long.
 *
 * `--help` prints them and ends the process with status 0; an invalid one prints one line and ends it with status 2.
 */
void parseOptions(int argc, char **argv, const std::string &command, const std::vector<Option> &options);

/** \brief As parseOptions(), with `--host` and `--port`. \return the address to listen on. */
std::string parseServerOptions(int argc, char **argv, const std::string &command, std::vector<Option> options);

/** \brief Runs a stand-in until SIGTERM or SIGINT. \return the exit status. */
template<typename StandIn, typename Options>
int run(const Options &options)
{
    IoLoop loop;
    const StandIn standIn(loop, options);
    return serve(loop, standIn.server());
}

int runEngine(int argc, char **argv);
int runTool(int argc, char **argv);
int runLog(int argc, char **argv);
int runVms(int argc, char **argv);

} // namespace filbertgw::standin

#endif
