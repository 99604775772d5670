#ifndef FILBERTGW_CLI_COMMANDS_H
#define FILBERTGW_CLI_COMMANDS_H

#include <string>
#include <vector>

namespace filbertgw {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1; ///< The command ran and did not reach its aim.
constexpr int exitUsage = 2; ///< Bad arguments or settings.

/** \brief Runs `filbertgw` with the arguments after its name. \return the exit status. */
int runCommand(const std::vector<std::string> &arguments);

} // namespace filbertgw

#endif
