#ifndef FILBERTGW_CLI_COMMANDS_H
#define FILBERTGW_CLI_COMMANDS_H

#include <string>
#include <vector>

namespace filbertgw {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1; ///< The command failed.
constexpr int exitUsage = 2; ///< Invalid arguments or settings.

/** \brief Runs the `filbertgw` command line; the arguments start with the subcommand. \return the exit status. */
int runCommand(const std::vector<std::string> &arguments);

} // namespace filbertgw

#endif
